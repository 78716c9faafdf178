/// \file
/// Reader of YAML mappings that collects diagnostics.
#ifndef ENDIVEDOOR_MODEL_SRC_DETAIL_YAMLSECTION_H
#define ENDIVEDOOR_MODEL_SRC_DETAIL_YAMLSECTION_H

#include "endivedoor/model/Settings.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::model::detail {

/// Collects diagnostics and records the position of each value.
struct YamlDiagnostics {
  std::string File;
  std::vector<Diagnostic> Entries;
  /// Position of each value by its path, for checks that run after parsing.
  std::map<std::string, YAML::Mark> Marks;

  void add(const YAML::Mark &mark, base::Errc code, std::string text,
           std::string hint);
  /// Adds a diagnostic at the position of \p path, or of its closest enclosing
  /// section if the value is a default.
  void addAt(const std::string &path, base::Errc code, std::string text,
             std::string hint);
};

/// Inclusive bounds of a value.
template <typename T> struct Bounds {
  T Min;
  T Max;
};

/// A mapping with a fixed set of keys. The read functions leave the target
/// unchanged if the key is absent or its value is invalid.
class YamlSection {
public:
  /// Reports unknown and duplicate keys.
  YamlSection(YamlDiagnostics &diagnostics, const YAML::Node &node,
              std::string path, std::vector<std::string> keys);

  /// Returns the value of \p key, if present.
  std::optional<YAML::Node> find(const std::string &key) const;
  /// Returns the value of \p key; reports a missing key.
  std::optional<YAML::Node> require(const std::string &key) const;
  std::string pathOf(const std::string &key) const;

  void readName(const std::string &key, std::string &to) const;
  void readAddress(const std::string &key, Address &to) const;
  void readDuration(const std::string &key, std::chrono::milliseconds &to,
                    Bounds<std::chrono::milliseconds> bounds) const;
  void readSize(const std::string &key, std::size_t &to,
                Bounds<std::uint64_t> bounds) const;
  std::optional<std::uint64_t> readNumber(const std::string &key,
                                          Bounds<std::uint64_t> bounds) const;

  /// Parses a scalar as a name or address; reports any other node.
  std::optional<std::string> name(const YAML::Node &node,
                                  const std::string &path) const;
  std::optional<Address> address(const YAML::Node &node,
                                 const std::string &path) const;

private:
  std::optional<std::string> scalar(const YAML::Node &node,
                                    const std::string &path) const;

  YamlDiagnostics &Diagnostics;
  YAML::Mark Mark;
  std::string Path;
  std::map<std::string, YAML::Node> Values;
};

} // namespace endivedoor::model::detail

#endif
