/// \file
/// Selection of the log lines of several processes about one job or worker.
#ifndef ENDIVEDOOR_CLI_DETAIL_LOGFILTER_H
#define ENDIVEDOOR_CLI_DETAIL_LOGFILTER_H

#include <map>
#include <string>
#include <vector>

namespace endivedoor::cli::detail {

/// Splits the text of a log file into lines and appends those that hold an
/// event to \p lines.
void appendEventLines(const std::string &text, std::vector<std::string> &lines);

/// Returns the lines that contain \p id as a whole word, ordered by hybrid
/// logical time. Lines between the first and the last of them that record a
/// change of ownership or reachability of a shard, the store or a worker of
/// these lines are included.
std::vector<std::string>
selectRelatedLines(const std::vector<std::string> &lines,
                   const std::string &id);

/// A record of the store that a daemon could not read.
struct UnreadableRecord {
  /// Length of the record.
  std::string Bytes;
  std::string Cause;
  /// Daemon that reported it last.
  std::string Process;
  int Reports = 0;
};

/// Returns the records that the lines report as unreadable, by key.
std::map<std::string, UnreadableRecord>
selectUnreadableRecords(const std::vector<std::string> &lines);

} // namespace endivedoor::cli::detail

#endif
