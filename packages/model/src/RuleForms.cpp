#include "detail/RuleForms.h"

#include "endivedoor/model/Scalars.h"

namespace endivedoor::model::detail {

namespace {

using Captures = std::vector<Capture>;

std::optional<std::int64_t> wholeNumber(std::string_view text) {
  std::optional<std::uint64_t> n = parseNumber(text);
  if (!n || *n > INT32_MAX)
    return n ? std::optional<std::int64_t>(INT32_MAX) : std::nullopt;
  return static_cast<std::int64_t>(*n);
}

std::optional<std::int64_t> percent(std::string_view text) {
  if (!text.ends_with('%'))
    return std::nullopt;
  return wholeNumber(text.substr(0, text.size() - 1));
}

std::optional<std::int64_t> milliseconds(std::string_view text) {
  std::optional<std::chrono::milliseconds> value = parseDuration(text);
  if (!value)
    return std::nullopt;
  return value->count();
}

constexpr std::int64_t Minute = 60 * 1000;
constexpr std::int64_t Day = 24 * 60 * Minute;

constexpr NumberKind NumberKinds[] = {
    {"<zones>", wholeNumber, 1, 1000, "a whole number", "1 to 1000"},
    {"<tasks>", wholeNumber, 1, 100000, "a whole number", "1 to 100000"},
    {"<slots>", wholeNumber, 0, 10000000, "a whole number", "0 to 10000000"},
    {"<percent>", percent, 0, 100, "a percentage such as 25%", "0% to 100%"},
    {"<p95>", milliseconds, 1, 10 * Minute, "a duration such as 250ms",
     "1ms to 10m"},
    {"<within>", milliseconds, 1000, 365 * Day, "a duration such as 2h",
     "1s to 8760h"},
};

std::int32_t narrow(const Capture &it) {
  return static_cast<std::int32_t>(it.Number);
}

RuleBody atLeastZones(const Captures &c) {
  return AtLeastZones{narrow(c[0]), base::ServiceName(c[1].Text)};
}
RuleBody spreadRacks(const Captures &c) {
  return SpreadRacks{base::ServiceName(c[0].Text), narrow(c[1])};
}
RuleBody reserveShare(const Captures &c) {
  return ReserveShare{narrow(c[0]), base::ZoneId(c[1].Text)};
}
RuleBody teamQuota(const Captures &c) {
  return TeamQuota{base::TeamName(c[0].Text), narrow(c[1])};
}
RuleBody separateClass(const Captures &c) {
  return SeparateClass{base::TaskClass(c[0].Text),
                       base::ServiceName(c[1].Text)};
}
RuleBody latencyTarget(const Captures &c) {
  return LatencyTarget{base::ServiceName(c[0].Text),
                       std::chrono::milliseconds(c[1].Number)};
}
RuleBody classDeadline(const Captures &c) {
  return ClassDeadline{base::TaskClass(c[0].Text),
                       std::chrono::milliseconds(c[1].Number)};
}
RuleBody zoneOut(const Captures &c) { return ZoneOut{base::ZoneId(c[0].Text)}; }
RuleBody workerOut(const Captures &c) {
  return WorkerOut{base::WorkerId(c[0].Text)};
}

} // namespace

std::string RuleForm::str() const {
  std::string text;
  for (const std::string &it : Words)
    text += (text.empty() ? "" : " ") + it;
  return text;
}

const std::vector<RuleForm> &ruleForms() {
  static const std::vector<RuleForm> forms = {
      {{"at-least", "<zones>", "zones", "service", "<service>"}, atLeastZones},
      {{"spread", "racks", "service", "<service>", "max", "<tasks>"},
       spreadRacks},
      {{"reserve", "<percent>", "zone", "<zone>"}, reserveShare},
      {{"quota", "team", "<team>", "slots", "<slots>"}, teamQuota},
      {{"separate", "class", "<class>", "service", "<service>"}, separateClass},
      {{"latency", "service", "<service>", "p95", "<p95>"}, latencyTarget},
      {{"deadline", "class", "<class>", "<within>"}, classDeadline},
      {{"zone-out", "<zone>"}, zoneOut},
      {{"worker-out", "<worker>"}, workerOut},
  };
  return forms;
}

const NumberKind *findNumberKind(std::string_view placeholder) {
  for (const NumberKind &it : NumberKinds)
    if (it.Name == placeholder)
      return &it;
  return nullptr;
}

} // namespace endivedoor::model::detail
