/// \file
/// Line-based difference of two texts.
#ifndef ENDIVEDOOR_CLI_DETAIL_LINEDIFF_H
#define ENDIVEDOOR_CLI_DETAIL_LINEDIFF_H

#include <string>

namespace endivedoor::cli::detail {

/// Returns the lines that differ, in order, prefixed with "- " (only in \p
/// before) or "+ " (only in \p after). Time and memory grow with the product of
/// the numbers of changed lines; above 4 million, the change is shown as one
/// replacement.
std::string diffLines(const std::string &before, const std::string &after);

} // namespace endivedoor::cli::detail

#endif
