#include "detail/RuleSyntax.h"

#include "endivedoor/model/Scalars.h"

namespace endivedoor::model::detail {

namespace {

using Captures = std::vector<Capture>;

std::optional<std::int64_t> parseWholeNumber(std::string_view text) {
  std::optional<std::uint64_t> n = parseNumber(text);
  if (!n || *n > INT32_MAX)
    return n ? std::optional<std::int64_t>(INT32_MAX) : std::nullopt;
  return static_cast<std::int64_t>(*n);
}

std::optional<std::int64_t> parsePercent(std::string_view text) {
  if (!text.ends_with('%'))
    return std::nullopt;
  return parseWholeNumber(text.substr(0, text.size() - 1));
}

std::optional<std::int64_t> parseMilliseconds(std::string_view text) {
  std::optional<std::chrono::milliseconds> value = parseDuration(text);
  if (!value)
    return std::nullopt;
  return value->count();
}

constexpr std::int64_t Minute = 60 * 1000;
constexpr std::int64_t Day = 24 * 60 * Minute;

constexpr NumberKind NumberKinds[] = {
    {"<zones>", parseWholeNumber, 1, 1000, "a whole number", "1 to 1000"},
    {"<tasks>", parseWholeNumber, 1, 100000, "a whole number", "1 to 100000"},
    {"<slots>", parseWholeNumber, 0, 10000000, "a whole number",
     "0 to 10000000"},
    {"<percent>", parsePercent, 0, 100, "a percentage such as 25%",
     "0% to 100%"},
    {"<p95>", parseMilliseconds, 1, 10 * Minute, "a duration such as 250ms",
     "1ms to 10m"},
    {"<within>", parseMilliseconds, 1000, 365 * Day, "a duration such as 2h",
     "1s to 8760h"},
};

std::int32_t toInt32(const Capture &it) {
  return static_cast<std::int32_t>(it.Number);
}

RuleBody atLeastZones(const Captures &c) {
  return AtLeastZones{toInt32(c[0]), base::ServiceName(c[1].Text)};
}
RuleBody spreadRacks(const Captures &c) {
  return SpreadRacks{base::ServiceName(c[0].Text), toInt32(c[1])};
}
RuleBody reserveShare(const Captures &c) {
  return ReserveShare{toInt32(c[0]), base::ZoneId(c[1].Text)};
}
RuleBody teamQuota(const Captures &c) {
  return TeamQuota{base::TeamName(c[0].Text), toInt32(c[1])};
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

std::string RuleSyntax::str() const {
  std::string text;
  for (const std::string &it : Words)
    text += (text.empty() ? "" : " ") + it;
  return text;
}

const std::vector<RuleSyntax> &ruleSyntaxes() {
  static const std::vector<RuleSyntax> syntaxes = {
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
  return syntaxes;
}

const NumberKind *findNumberKind(std::string_view placeholder) {
  for (const NumberKind &it : NumberKinds)
    if (it.Name == placeholder)
      return &it;
  return nullptr;
}

} // namespace endivedoor::model::detail
