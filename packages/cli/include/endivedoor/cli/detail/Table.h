/// \file
/// Tables for people, from JSON answers.
#ifndef ENDIVEDOOR_CLI_DETAIL_TABLE_H
#define ENDIVEDOOR_CLI_DETAIL_TABLE_H

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::cli::detail {

using TextRow = std::vector<std::string>;

/// Aligns columns with two spaces between them.
std::string formatTable(const TextRow &header,
                        const std::vector<TextRow> &rows);

/// A column and the key of its value in each object.
struct Column {
  std::string Header;
  std::string Key;
};

/// Writes an array of objects as a table; a missing value is "-".
std::string formatObjects(const boost::json::value &objects,
                          const std::vector<Column> &columns);

/// Writes a JSON value for people: text without quotes, "yes" or "no".
std::string formatCell(const boost::json::value &value);

/// Replaces control characters, so that an answer cannot steer the terminal.
std::string replaceControlCharacters(std::string_view text,
                                     bool keepLines = false);

/// Returns the member \p key of an object, or null.
boost::json::value getMember(const boost::json::value &object,
                             std::string_view key);

} // namespace endivedoor::cli::detail

#endif
