/// \file
/// Formatting of JSON responses as text tables.
#ifndef ENDIVEDOOR_CLI_DETAIL_TABLE_H
#define ENDIVEDOOR_CLI_DETAIL_TABLE_H

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::cli::detail {

using TextRow = std::vector<std::string>;

/// Formats a table with aligned columns, separated by two spaces.
std::string formatTable(const TextRow &header,
                        const std::vector<TextRow> &rows);

/// Header of a column and the key of its value in each object.
struct Column {
  std::string Header;
  std::string Key;
};

/// Formats an array of objects as a table; a missing value is shown as "-".
std::string formatObjects(const boost::json::value &objects,
                          const std::vector<Column> &columns);

/// Formats a JSON value for display: strings without quotes, booleans as "yes"
/// or "no", null and empty strings as "-".
std::string formatCell(const boost::json::value &value);

/// Replaces control characters, so that a response cannot inject terminal
/// escape sequences.
std::string replaceControlCharacters(std::string_view text,
                                     bool keepLines = false);

/// Returns the member \p key of an object, or null.
boost::json::value getMember(const boost::json::value &object,
                             std::string_view key);

} // namespace endivedoor::cli::detail

#endif
