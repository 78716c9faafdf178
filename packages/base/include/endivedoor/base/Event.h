/// \file
/// Numbered structured log events.
#ifndef ENDIVEDOOR_BASE_EVENT_H
#define ENDIVEDOOR_BASE_EVENT_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/HybridClock.h"

#include <deque>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivedoor::base {

enum class Severity { Info, Warning, Error, Fatal };

/// Number of a log event, as documented in docs/events.md.
enum class EventCode {
#define ENDIVEDOOR_EVENT(name, number, severity, text, action) name = number,
#include "endivedoor/base/Events.def"
#undef ENDIVEDOOR_EVENT
};

/// An entry of the event catalogue.
struct EventInfo {
  EventCode Code;
  std::string_view Name;
  Severity Level;
  std::string_view Text;
  std::string_view Action;
};

/// Returns the whole event catalogue in the order of declaration.
const std::vector<EventInfo> &eventCatalogue();

/// Returns the catalogue entry of \p code.
const EventInfo &eventInfo(EventCode code);

class LineSink;

/// A named value of an event, for example {"worker", "g-07"}.
using EventField = std::pair<std::string, std::string>;

/// An event as retained in the ring buffer of a process.
struct EventRecord {
  HybridTime Time;
  EventCode Code;
  std::vector<EventField> Fields;
};

/// Writes events to the log and retains the most recent ones in memory.
/// Thread-safe.
class EventLog {
public:
  /// \param process name of this process, written on each line.
  /// \param hlc clock that timestamps the events.
  /// \param capacity maximum number of events retained in memory.
  EventLog(std::string process, HybridClock &hlc, std::size_t capacity);

  /// Logs an event as one line of key=value pairs. Cost: one lock, one write.
  void emit(EventCode code, std::vector<EventField> fields = {});

  /// Returns the retained events, oldest first.
  std::vector<EventRecord> snapshot() const;

  /// Returns the number of events emitted with each code, including those whose
  /// log lines were suppressed.
  std::map<EventCode, std::uint64_t> counts() const;

  /// Writes log lines only to \p sink, which must outlive the log.
  void setSink(LineSink *sink);
  /// Suppresses log lines of each event code beyond \p linesPerSecond; 0 means
  /// no limit. The limit applies to all severities.
  void setRateLimit(std::size_t linesPerSecond);
  /// Returns the number of lines suppressed since the last call.
  std::uint64_t takeSuppressed();

  const std::string &process() const { return Process; }

private:
  std::string Process;
  HybridClock &Hlc;
  std::size_t Capacity;
  mutable std::mutex Mutex;
  std::deque<EventRecord> Ring;
  /// Total number of events of one code, and its log lines in the current
  /// second.
  struct LineRate {
    std::uint64_t Total = 0;
    std::int64_t Second = 0;
    std::size_t Lines = 0;
  };

  bool withinRateLimit(EventCode code, HybridTime time);

  std::map<EventCode, LineRate> Rates;
  std::size_t MaxLinesPerSecond = 0;
  std::uint64_t Suppressed = 0;
  LineSink *Sink = nullptr;
};

/// Logs the event InvariantBroken and terminates the process.
[[noreturn]] void failInvariant(std::string_view detail);

} // namespace endivedoor::base

#endif
