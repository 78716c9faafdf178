/// \file
/// The lines of several processes about one thing, in order.
#ifndef ENDIVEDOOR_CLI_DETAIL_LOGFILTER_H
#define ENDIVEDOOR_CLI_DETAIL_LOGFILTER_H

#include <string>
#include <vector>

namespace endivedoor::cli::detail {

/// Splits a log file and appends the lines that are events.
void appendEventLines(const std::string &text, std::vector<std::string> &lines);

/// Returns the lines that name \p id, ordered by their hybrid logical time, and
/// with them those about the shards and workers that they name which change who
/// acts: owners, lost and regained peers.
std::vector<std::string>
selectRelatedLines(const std::vector<std::string> &lines,
                   const std::string &id);

} // namespace endivedoor::cli::detail

#endif
