#include "endivedoor/cli/detail/Timeline.h"

#include "endivedoor/cli/detail/Table.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <tuple>

namespace endivedoor::cli::detail {

namespace json = boost::json;
using base::Errc;
using base::Result;

namespace {

auto invalidEvents(const char *part) {
  return base::fail(Errc::CliAnswerInvalid, std::string("events: ") + part);
}

/// End of the year 9999, the last year that is formatted with four digits.
constexpr std::uint64_t MaxMicros = 253402300799ULL * 1000000;

Result<std::uint64_t> readNumber(const json::value &value, std::uint64_t max,
                                 const char *part) {
  boost::system::error_code ec;
  if (!value.is_number())
    return invalidEvents(part);
  auto n = value.to_number<std::uint64_t>(ec);
  if (ec || n > max)
    return invalidEvents(part);
  return n;
}

Result<TimelineEvent> readEvent(const std::string &process,
                                const json::value &from) {
  TimelineEvent to;
  to.Process = process;
  BOOST_OUTCOME_TRY(auto micros,
                    readNumber(getMember(from, "micros"), MaxMicros, "micros"));
  BOOST_OUTCOME_TRY(auto counter, readNumber(getMember(from, "counter"),
                                             UINT32_MAX, "counter"));
  BOOST_OUTCOME_TRY(auto code,
                    readNumber(getMember(from, "code"), 99999, "code"));
  to.Time = {micros, static_cast<std::uint32_t>(counter)};
  to.Code = static_cast<std::int64_t>(code);
  to.Name = formatCell(getMember(from, "name"));
  json::value fields = getMember(from, "fields");
  if (!fields.is_object())
    return fields.is_null() ? Result<TimelineEvent>(to)
                            : invalidEvents("fields");
  for (const auto &it : fields.get_object())
    to.Fields[replaceControlCharacters(std::string_view(it.key()))] =
        formatCell(it.value());
  return to;
}

std::string formatTime(base::HybridTime time) {
  auto seconds = static_cast<std::time_t>(time.WallMicros / 1000000);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  std::size_t n = std::strftime(text, sizeof text, "%F %T", &utc);
  char fraction[16];
  std::snprintf(fraction, sizeof fraction, ".%06u",
                static_cast<unsigned>(time.WallMicros % 1000000));
  return std::string(text, n) + fraction;
}

json::object fieldsToJson(const TimelineEvent &event) {
  json::object fields;
  for (const auto &[key, value] : event.Fields)
    fields[key] = value;
  return fields;
}

} // namespace

Result<std::vector<TimelineEvent>> readEvents(const json::value &response) {
  json::value process = getMember(response, "process");
  json::value list = getMember(response, "events");
  if (!process.is_string())
    return invalidEvents("process");
  if (!list.is_array())
    return invalidEvents("events");
  std::vector<TimelineEvent> events;
  for (const json::value &it : list.get_array()) {
    BOOST_OUTCOME_TRY(auto event, readEvent(formatCell(process), it));
    events.push_back(std::move(event));
  }
  return events;
}

std::vector<TimelineEvent> mergeEvents(std::vector<TimelineEvent> events) {
  auto key = [](const TimelineEvent &it) {
    return std::tie(it.Time, it.Process);
  };
  // A process never assigns the same hybrid time to two events.
  std::stable_sort(
      events.begin(), events.end(),
      [&](const auto &a, const auto &b) { return key(a) < key(b); });
  events.erase(std::unique(events.begin(), events.end(),
                           [&](const auto &a, const auto &b) {
                             return key(a) == key(b);
                           }),
               events.end());
  return events;
}

std::vector<TimelineEvent>
filterEvents(std::vector<TimelineEvent> events,
             const std::map<std::string, std::string> &wanted) {
  auto lacks = [&](const TimelineEvent &event) {
    return std::any_of(wanted.begin(), wanted.end(), [&](const auto &it) {
      auto at = event.Fields.find(it.first);
      return at == event.Fields.end() || at->second != it.second;
    });
  };
  std::erase_if(events, lacks);
  return events;
}

std::string formatText(const std::vector<TimelineEvent> &events) {
  std::vector<TextRow> rows;
  for (const TimelineEvent &it : events) {
    std::string fields;
    for (const auto &[key, value] : it.Fields)
      fields += (fields.empty() ? "" : " ") + key + "=" + value;
    rows.push_back({formatTime(it.Time) + "+" + std::to_string(it.Time.Counter),
                    it.Process, "E" + std::to_string(it.Code), it.Name,
                    fields});
  }
  return formatTable({"TIME (UTC)", "DAEMON", "CODE", "EVENT", "FIELDS"}, rows);
}

json::value formatJson(const std::vector<TimelineEvent> &events) {
  json::array list;
  for (const TimelineEvent &it : events)
    list.push_back(json::object{{"micros", it.Time.WallMicros},
                                {"counter", it.Time.Counter},
                                {"process", it.Process},
                                {"code", it.Code},
                                {"name", it.Name},
                                {"fields", fieldsToJson(it)}});
  return json::object{{"events", std::move(list)}};
}

json::value formatTrace(const std::vector<TimelineEvent> &events) {
  std::map<std::string, std::size_t> pids;
  json::array list;
  for (const TimelineEvent &it : events) {
    auto [at, added] = pids.try_emplace(it.Process, pids.size() + 1);
    if (added)
      list.push_back(
          json::object{{"name", "process_name"},
                       {"ph", "M"},
                       {"pid", at->second},
                       {"args", json::object{{"name", it.Process}}}});
    list.push_back(json::object{{"name", it.Name},
                                {"cat", "E" + std::to_string(it.Code)},
                                {"ph", "i"},
                                {"s", "p"},
                                {"ts", it.Time.WallMicros},
                                {"pid", at->second},
                                {"tid", 0},
                                {"args", fieldsToJson(it)}});
  }
  return json::object{{"traceEvents", std::move(list)},
                      {"displayTimeUnit", "ms"}};
}

} // namespace endivedoor::cli::detail
