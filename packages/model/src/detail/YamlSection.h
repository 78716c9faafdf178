/// \file
/// A mapping of a YAML text whose faults are collected.
#ifndef ENDIVEDOOR_MODEL_SRC_DETAIL_YAMLSECTION_H
#define ENDIVEDOOR_MODEL_SRC_DETAIL_YAMLSECTION_H

#include "endivedoor/model/Settings.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::model::detail {

/// Collects faults and remembers where each value was written.
struct YamlDiagnostics {
  std::string File;
  std::vector<Diagnostic> Entries;
  /// Place of each value by its path, for faults found after reading.
  std::map<std::string, YAML::Mark> Marks;

  void add(const YAML::Mark &mark, base::Errc code, std::string text,
           std::string hint);
  /// Adds a fault at the place of \p path, or of its nearest section if the
  /// value is a default.
  void addAt(const std::string &path, base::Errc code, std::string text,
             std::string hint);
};

/// Bounds of a value, both included.
template <typename T> struct Bounds {
  T Least;
  T Most;
};

/// One mapping with a fixed set of keys. A read leaves the target unchanged
/// when the key is absent or its value is faulty.
class YamlSection {
public:
  /// Reports unknown and repeated keys at once.
  YamlSection(YamlDiagnostics &diagnostics, const YAML::Node &node,
              std::string path, std::vector<std::string> keys);

  /// Returns the value of \p key, if present and not null.
  std::optional<YAML::Node> find(const std::string &key) const;
  /// Returns the value of \p key; an absent one is a fault.
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

  /// Reads one scalar as a name or address; anything else is a fault.
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
