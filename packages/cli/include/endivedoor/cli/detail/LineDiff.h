/// \file
/// Difference of two texts by lines.
#ifndef ENDIVEDOOR_CLI_DETAIL_LINEDIFF_H
#define ENDIVEDOOR_CLI_DETAIL_LINEDIFF_H

#include <string>

namespace endivedoor::cli::detail {

/// Returns the lines that differ, each after "- " (only in \p before) or "+ "
/// (only in \p after), in their order. Cost: product of the numbers of changed
/// lines, at most 4 million; longer changes are shown as one replacement.
std::string diffLines(const std::string &before, const std::string &after);

} // namespace endivedoor::cli::detail

#endif
