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

/// One row of the event catalogue.
struct EventInfo {
  EventCode Code;
  std::string_view Name;
  Severity Level;
  std::string_view Text;
  std::string_view Action;
};

/// Returns the whole event catalogue in the order of declaration.
const std::vector<EventInfo> &eventCatalogue();

/// Returns the catalogue row of \p code.
const EventInfo &eventInfo(EventCode code);

class LineSink;

/// A named value of an event, for example {"worker", "g-07"}.
using EventField = std::pair<std::string, std::string>;

/// An event as kept in the ring of a process.
struct EventRecord {
  HybridTime Time;
  EventCode Code;
  std::vector<EventField> Fields;
};

/// Writes events to the log and keeps the latest ones in memory. Thread-safe.
class EventLog {
public:
  /// \param process name of this process, written on each line.
  /// \param hybrid clock that stamps the events.
  /// \param capacity number of events kept in memory.
  EventLog(std::string process, HybridClock &hlc, std::size_t capacity);

  /// Logs an event as one line: E<number> <text> key=value ... Cost: one lock,
  /// one write.
  void emit(EventCode code, std::vector<EventField> fields = {});

  /// Returns the kept events, oldest first.
  std::vector<EventRecord> snapshot() const;

  /// Returns how often each event has been emitted, lines that were held back
  /// included.
  std::map<EventCode, std::uint64_t> counts() const;

  /// Sends the lines to \p sink alone. Must outlive the log.
  void setSink(LineSink *sink);
  /// Holds back lines of one event beyond \p perSecond; 0 means no limit.
  /// Warnings and errors count like others.
  void setRateLimit(std::size_t linesPerSecond);
  /// Returns the number of lines held back since the last call.
  std::uint64_t takeSuppressed();

  const std::string &process() const { return Process; }

private:
  std::string Process;
  HybridClock &Hlc;
  std::size_t Capacity;
  mutable std::mutex Mutex;
  std::deque<EventRecord> Ring;
  /// Lines of one event in the present second.
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

/// Ends the process with the event InvariantBroken.
[[noreturn]] void failInvariant(std::string_view detail);

} // namespace endivedoor::base

#endif
