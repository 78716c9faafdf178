/// \file
/// Merging, filtering and formatting of the events of all daemons.
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

/// Parses the response of GET /v1/events.
///
/// Errors: CliAnswerInvalid (detail: the invalid field).
base::Result<std::vector<TimelineEvent>>
readEvents(const boost::json::value &response);

/// Sorts events by hybrid logical time and removes duplicates. Hybrid logical
/// time orders the receipt of a message after its sending, regardless of the
/// clock skew between hosts.
std::vector<TimelineEvent> mergeEvents(std::vector<TimelineEvent> events);

/// Keeps the events whose fields contain every key and value of \p wanted.
std::vector<TimelineEvent>
filterEvents(std::vector<TimelineEvent> events,
             const std::map<std::string, std::string> &wanted);

/// Formats one line per event: time in UTC, process, name, fields.
std::string formatText(const std::vector<TimelineEvent> &events);
boost::json::value formatJson(const std::vector<TimelineEvent> &events);
/// Formats events in Chrome's trace-event format with one process per daemon.
boost::json::value formatTrace(const std::vector<TimelineEvent> &events);

} // namespace endivedoor::cli::detail

#endif
