#include "detail/YamlSection.h"

#include "endivedoor/model/Scalars.h"

#include <algorithm>

namespace endivedoor::model::detail {

using base::Errc;

void YamlDiagnostics::add(const YAML::Mark &mark, Errc code, std::string text,
                          std::string hint) {
  // yaml-cpp counts from 0 and uses -1 for an unknown position.
  auto toOneBased = [](int n) {
    return static_cast<std::size_t>(std::max(n, 0) + 1);
  };
  Entries.push_back({File, toOneBased(mark.line), toOneBased(mark.column), code,
                     std::move(text), std::move(hint)});
}

void YamlDiagnostics::addAt(const std::string &path, Errc code,
                            std::string text, std::string hint) {
  std::string at = path;
  while (!at.empty() && !Marks.contains(at))
    at = at.substr(0, at.find('.') == std::string::npos ? 0 : at.rfind('.'));
  add(at.empty() ? YAML::Mark() : Marks[at], code, std::move(text),
      std::move(hint));
}

YamlSection::YamlSection(YamlDiagnostics &diagnostics, const YAML::Node &node,
                         std::string path, std::vector<std::string> keys)
    : Diagnostics(diagnostics), Mark(node.Mark()), Path(std::move(path)) {
  if (!node.IsMap()) {
    Diagnostics.add(Mark, Errc::SettingsWrongValue,
                    (Path.empty() ? "the file" : "\"" + Path + "\"") +
                        " is not a mapping",
                    "write \"key: value\" lines");
    return;
  }
  for (const auto &it : node) {
    std::string key = it.first.IsScalar() ? it.first.Scalar() : "";
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      std::optional<std::string> suggestion = closestMatch(key, keys);
      Diagnostics.add(it.first.Mark(), Errc::SettingsUnknownKey,
                      "unknown key \"" + pathOf(key) + "\"",
                      suggestion ? "did you mean \"" + *suggestion + "\"?"
                                 : "remove it");
      continue;
    }
    if (!Values.emplace(key, it.second).second)
      Diagnostics.add(it.first.Mark(), Errc::SettingsRepeatedKey,
                      "key \"" + pathOf(key) + "\" is repeated", "keep one");
    Diagnostics.Marks.emplace(pathOf(key), it.second.Mark());
  }
}

std::string YamlSection::pathOf(const std::string &key) const {
  return Path.empty() ? key : Path + "." + key;
}

std::optional<YAML::Node> YamlSection::find(const std::string &key) const {
  auto it = Values.find(key);
  if (it == Values.end())
    return std::nullopt;
  return it->second;
}

std::optional<YAML::Node> YamlSection::require(const std::string &key) const {
  std::optional<YAML::Node> node = find(key);
  if (!node)
    Diagnostics.add(Mark, Errc::SettingsMissingKey,
                    "key \"" + pathOf(key) + "\" is missing", "add it");
  return node;
}

std::optional<std::string> YamlSection::scalar(const YAML::Node &node,
                                               const std::string &path) const {
  if (node.IsScalar())
    return node.Scalar();
  Diagnostics.add(node.Mark(), Errc::SettingsWrongValue,
                  "\"" + path + "\" is not a single value", "write one value");
  return std::nullopt;
}

std::optional<std::string> YamlSection::name(const YAML::Node &node,
                                             const std::string &path) const {
  std::optional<std::string> text = scalar(node, path);
  if (!text || isValidName(*text))
    return text;
  Diagnostics.add(node.Mark(), Errc::SettingsWrongValue,
                  "\"" + path + "\" is not a name",
                  "use 1 to 64 letters, digits, '.', '_' or '-'");
  return std::nullopt;
}

std::optional<Address> YamlSection::address(const YAML::Node &node,
                                            const std::string &path) const {
  std::optional<std::string> text = scalar(node, path);
  std::optional<Address> value;
  if (text && !(value = parseAddress(*text)))
    Diagnostics.add(node.Mark(), Errc::SettingsWrongValue,
                    "\"" + path + "\" is not an address",
                    "write a numeric IPv4 address and a port, such as "
                    "127.0.0.1:21101");
  return value;
}

void YamlSection::readName(const std::string &key, std::string &to) const {
  if (std::optional<YAML::Node> node = require(key))
    to = name(*node, pathOf(key)).value_or(to);
}

void YamlSection::readAddress(const std::string &key, Address &to) const {
  if (std::optional<YAML::Node> node = require(key))
    to = address(*node, pathOf(key)).value_or(to);
}

void YamlSection::readDuration(const std::string &key,
                               std::chrono::milliseconds &to,
                               Bounds<std::chrono::milliseconds> bounds) const {
  std::optional<YAML::Node> node = find(key);
  std::optional<std::string> text;
  if (!node || !(text = scalar(*node, pathOf(key))))
    return;
  std::optional<std::chrono::milliseconds> value = parseDuration(*text);
  if (!value)
    return Diagnostics.add(
        node->Mark(), Errc::SettingsWrongValue,
        "\"" + pathOf(key) + "\" is not a duration",
        "write a number and a unit, such as 500ms, 3s or 2m");
  if (*value < bounds.Min || *value > bounds.Max)
    return Diagnostics.add(node->Mark(), Errc::SettingsOutOfRange,
                           "\"" + pathOf(key) + "\" is out of range",
                           "use " + formatDuration(bounds.Min) + " to " +
                               formatDuration(bounds.Max));
  to = *value;
}

void YamlSection::readSize(const std::string &key, std::size_t &to,
                           Bounds<std::uint64_t> bounds) const {
  std::optional<YAML::Node> node = find(key);
  std::optional<std::string> text;
  if (!node || !(text = scalar(*node, pathOf(key))))
    return;
  std::optional<std::uint64_t> value = parseSize(*text);
  if (!value)
    return Diagnostics.add(node->Mark(), Errc::SettingsWrongValue,
                           "\"" + pathOf(key) + "\" is not a size",
                           "write a number and a unit, such as 64KiB or 1MiB");
  if (*value < bounds.Min || *value > bounds.Max)
    return Diagnostics.add(node->Mark(), Errc::SettingsOutOfRange,
                           "\"" + pathOf(key) + "\" is out of range",
                           "use " + std::to_string(bounds.Min) + "B to " +
                               std::to_string(bounds.Max) + "B");
  to = *value;
}

std::optional<std::uint64_t>
YamlSection::readNumber(const std::string &key,
                        Bounds<std::uint64_t> bounds) const {
  std::optional<YAML::Node> node = find(key);
  std::optional<std::string> text;
  if (!node || !(text = scalar(*node, pathOf(key))))
    return std::nullopt;
  std::optional<std::uint64_t> value = parseNumber(*text);
  if (value && *value >= bounds.Min && *value <= bounds.Max)
    return value;
  Diagnostics.add(node->Mark(),
                  value ? Errc::SettingsOutOfRange : Errc::SettingsWrongValue,
                  "\"" + pathOf(key) + "\" is " +
                      (value ? "out of range" : "not a whole number"),
                  "use " + std::to_string(bounds.Min) + " to " +
                      std::to_string(bounds.Max));
  return std::nullopt;
}

} // namespace endivedoor::model::detail
