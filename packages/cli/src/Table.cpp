#include "endivedoor/cli/detail/Table.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace endivedoor::cli::detail {

namespace json = boost::json;

std::string replaceControlCharacters(std::string_view text, bool keepLines) {
  std::string out(text);
  for (char &c : out) {
    auto byte = static_cast<unsigned char>(c);
    if ((byte < 0x20 || byte == 0x7f) && !(keepLines && c == '\n'))
      c = c == '\t' ? ' ' : '?';
  }
  return out;
}

json::value getMember(const json::value &object, std::string_view key) {
  const json::object *it = object.if_object();
  const json::value *value = it ? it->if_contains(key) : nullptr;
  return value ? *value : json::value();
}

std::string formatCell(const json::value &value) {
  if (value.is_null())
    return "-";
  if (value.is_bool())
    return value.get_bool() ? "yes" : "no";
  if (!value.is_string())
    return replaceControlCharacters(json::serialize(value));
  std::string text =
      replaceControlCharacters(std::string_view(value.get_string()));
  return text.empty() ? "-" : text;
}

std::string formatTable(const TextRow &header,
                        const std::vector<TextRow> &rows) {
  std::vector<std::size_t> widths(header.size());
  auto widen = [&](const TextRow &row) {
    for (std::size_t i = 0; i < header.size() && i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  };
  widen(header);
  std::for_each(rows.begin(), rows.end(), widen);
  auto line = [&](const TextRow &row) {
    std::string text;
    for (std::size_t i = 0; i < header.size(); ++i) {
      std::string cell = i < row.size() ? row[i] : "";
      if (i + 1 < header.size())
        cell.resize(widths[i] + 2, ' ');
      text += cell;
    }
    text.erase(text.find_last_not_of(' ') + 1);
    return text + "\n";
  };
  std::string text = line(header);
  for (const TextRow &it : rows)
    text += line(it);
  return text;
}

std::string formatObjects(const json::value &objects,
                          const std::vector<Column> &columns) {
  TextRow header;
  for (const Column &it : columns)
    header.push_back(it.Header);
  std::vector<TextRow> rows;
  const json::array *list = objects.if_array();
  for (const json::value &object : list ? *list : json::array()) {
    TextRow row;
    for (const Column &it : columns)
      row.push_back(formatCell(getMember(object, it.Key)));
    rows.push_back(std::move(row));
  }
  return formatTable(header, rows);
}

} // namespace endivedoor::cli::detail
