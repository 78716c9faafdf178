/// \file
/// The events of all daemons in one order.
#ifndef ENDIVEDOOR_CLI_DETAIL_TIMELINE_H
#define ENDIVEDOOR_CLI_DETAIL_TIMELINE_H

#include "endivedoor/base/Error.h"
#include "endivedoor/base/HybridClock.h"

#include <boost/json/value.hpp>

#include <map>
#include <string>
#include <vector>

namespace endivedoor::cli::detail {

struct TimelineEvent {
  base::HybridTime Time;
  std::string Process;
  std::int64_t Code = 0;
  std::string Name;
  std::map<std::string, std::string> Fields;
};

/// Reads the answer of GET /v1/events.
///
/// Errors: CliAnswerInvalid (detail: the part).
base::Result<std::vector<TimelineEvent>>
readEvents(const boost::json::value &response);

/// Sorts events by hybrid time and removes those that were read twice. Hybrid
/// time puts the receipt of a message after its sending, however far the hosts'
/// clocks differ.
std::vector<TimelineEvent> mergeEvents(std::vector<TimelineEvent> events);

/// Keeps events whose fields hold every pair of \p wanted.
std::vector<TimelineEvent>
filterEvents(std::vector<TimelineEvent> events,
             const std::map<std::string, std::string> &wanted);

/// One line an event: time in UTC, process, name, fields.
std::string formatText(const std::vector<TimelineEvent> &events);
boost::json::value formatJson(const std::vector<TimelineEvent> &events);
/// Chrome's trace-event format, one process a daemon.
boost::json::value formatTrace(const std::vector<TimelineEvent> &events);

} // namespace endivedoor::cli::detail

#endif
