/// \file
/// Parsers of scalar values, shared by the settings, the rules file and the
/// command line.
#ifndef ENDIVEDOOR_MODEL_SCALARS_H
#define ENDIVEDOOR_MODEL_SCALARS_H

#include "endivedoor/model/Worker.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::model {

/// Parses an unsigned decimal number. Returns nothing on overflow.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Parses a duration such as "500ms", "3s", "2m" or "2h".
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses a size such as "512B", "64KiB", "1MiB" or "1GiB" into bytes.
std::optional<std::uint64_t> parseSize(std::string_view text);

/// Parses "ip:port" with a numeric IPv4 address and a port from 1.
std::optional<Address> parseAddress(std::string_view text);

/// Returns whether \p text is a valid name: 1 to 64 letters, digits, '.', '_'
/// or '-'. The set is limited because names become parts of store keys and
/// URLs.
bool isValidName(std::string_view text);

/// Formats a duration in the largest unit that divides it.
std::string formatDuration(std::chrono::milliseconds value);

/// Returns the candidate with the smallest edit distance to \p word, or nothing
/// if none is close enough to be a likely misspelling.
std::optional<std::string>
closestMatch(std::string_view word, const std::vector<std::string> &candidates);

} // namespace endivedoor::model

#endif
