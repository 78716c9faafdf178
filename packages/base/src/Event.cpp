#include "endivedoor/base/Event.h"

#include "endivedoor/base/Error.h"
#include "endivedoor/base/LineSink.h"

#include <glog/logging.h>

namespace endivedoor::base {

const std::vector<EventInfo> &eventCatalogue() {
  static const std::vector<EventInfo> catalogue = {
#define ENDIVEDOOR_EVENT(name, number, severity, text, action)                 \
  {EventCode::name, #name, Severity::severity, text, action},
#include "endivedoor/base/Events.def"
#undef ENDIVEDOOR_EVENT
  };
  return catalogue;
}

const EventInfo &eventInfo(EventCode code) {
  for (const EventInfo &it : eventCatalogue())
    if (it.Code == code)
      return it;
  failInvariant("event code outside the catalogue");
}

/// Quotes a value that is empty or contains a space, quote, line end or '=', so
/// that a log line can be split back into its fields.
static std::string quoteValue(const std::string &value) {
  if (value.find_first_of(" \"\n=") == std::string::npos && !value.empty())
    return value;
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

static const char *levelName(Severity level) {
  switch (level) {
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  case Severity::Fatal:
    break;
  }
  return "fatal";
}

static std::string formatLine(const std::string &process, HybridTime time,
                              const EventInfo &info,
                              const std::vector<EventField> &fields) {
  std::string line = "event=" + std::to_string(static_cast<int>(info.Code)) +
                     " name=" + std::string(info.Name) +
                     " text=" + quoteValue(std::string(info.Text)) +
                     " process=" + process +
                     " hlc=" + std::to_string(time.WallMicros) + "." +
                     std::to_string(time.Counter);
  for (const auto &[key, value] : fields)
    line += " " + key + "=" + quoteValue(value);
  return line;
}

EventLog::EventLog(std::string process, HybridClock &hlc, std::size_t capacity)
    : Process(std::move(process)), Hlc(hlc), Capacity(capacity) {}

void EventLog::emit(EventCode code, std::vector<EventField> fields) {
  const EventInfo &info = eventInfo(code);
  HybridTime time = Hlc.tick();
  LineSink *sink = nullptr;
  {
    std::lock_guard lock(Mutex);
    Ring.push_back({time, code, fields});
    if (Ring.size() > Capacity)
      Ring.pop_front();
    if (!withinRateLimit(code, time))
      return;
    sink = Sink;
  }
  std::string line = formatLine(Process, time, info, fields);
  if (sink) {
    google::LogSeverity level =
        info.Level == Severity::Info ? google::GLOG_INFO : google::GLOG_WARNING;
    google::LogMessage(__FILE__, __LINE__, level, sink, false).stream()
        << "level=" << levelName(info.Level) << " " << line;
    return;
  }
  switch (info.Level) {
  case Severity::Info:
    LOG(INFO) << line;
    break;
  case Severity::Warning:
    LOG(WARNING) << line;
    break;
  case Severity::Error:
    LOG(ERROR) << line;
    break;
  case Severity::Fatal:
    LOG(FATAL) << line;
  }
}

bool EventLog::withinRateLimit(EventCode code, HybridTime time) {
  constexpr std::int64_t microsPerSecond = 1'000'000;
  LineRate &rate = Rates[code];
  ++rate.Total;
  auto second = static_cast<std::int64_t>(time.WallMicros) / microsPerSecond;
  if (rate.Second != second) {
    rate.Second = second;
    rate.Lines = 0;
  }
  if (MaxLinesPerSecond == 0 || ++rate.Lines <= MaxLinesPerSecond)
    return true;
  ++Suppressed;
  return false;
}

std::map<EventCode, std::uint64_t> EventLog::counts() const {
  std::lock_guard lock(Mutex);
  std::map<EventCode, std::uint64_t> counts;
  for (const auto &[code, rate] : Rates)
    counts[code] = rate.Total;
  return counts;
}

void EventLog::setSink(LineSink *sink) {
  std::lock_guard lock(Mutex);
  Sink = sink;
}

void EventLog::setRateLimit(std::size_t linesPerSecond) {
  std::lock_guard lock(Mutex);
  MaxLinesPerSecond = linesPerSecond;
}

std::uint64_t EventLog::takeSuppressed() {
  std::lock_guard lock(Mutex);
  return std::exchange(Suppressed, 0);
}

std::vector<EventRecord> EventLog::snapshot() const {
  std::lock_guard lock(Mutex);
  return {Ring.begin(), Ring.end()};
}

void failInvariant(std::string_view detail) {
  LOG(FATAL) << "event=" << static_cast<int>(EventCode::InvariantBroken)
             << " name=InvariantBroken detail="
             << quoteValue(std::string(detail));
  __builtin_unreachable();
}

} // namespace endivedoor::base
