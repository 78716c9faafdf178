#include "endivedoor/base/Event.h"

#include "endivedoor/base/Error.h"

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
  breakInvariant("event code outside the catalogue");
}

/// Quotes a value that holds a space or a quote, so that a line splits back
/// into its fields.
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

EventLog::EventLog(std::string process, HybridClock &hybrid,
                   std::size_t capacity)
    : Process(std::move(process)), Hybrid(hybrid), Capacity(capacity) {}

void EventLog::emit(EventCode code, std::vector<EventField> fields) {
  const EventInfo &info = eventInfo(code);
  HybridTime time = Hybrid.tick();
  std::string line = formatLine(Process, time, info, fields);
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
  std::lock_guard lock(Mutex);
  Ring.push_back({time, code, std::move(fields)});
  if (Ring.size() > Capacity)
    Ring.pop_front();
}

std::vector<EventRecord> EventLog::snapshot() const {
  std::lock_guard lock(Mutex);
  return {Ring.begin(), Ring.end()};
}

void breakInvariant(std::string_view detail) {
  LOG(FATAL) << "event=" << static_cast<int>(EventCode::InvariantBroken)
             << " name=InvariantBroken detail="
             << quoteValue(std::string(detail));
  __builtin_unreachable();
}

} // namespace endivedoor::base
