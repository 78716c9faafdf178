/// \file
/// The accepted configuration document.
#ifndef ENDIVEDOOR_CONTROL_CONFIGURATION_H
#define ENDIVEDOOR_CONTROL_CONFIGURATION_H

#include "endivedoor/base/Error.h"
#include "endivedoor/base/Ids.h"

#include <cstdint>
#include <set>
#include <string>

namespace endivedoor::control {

/// The rules, and the zones and workers that are out of service. Version 0 is
/// the empty configuration that applies before the first one is written.
struct Configuration {
  std::uint64_t Version = 0;
  std::string RulesText;
  std::set<base::ZoneId> ZonesOut;
  std::set<base::WorkerId> WorkersOut;
  /// Distinguishes this write from another one with the same content.
  std::string WriteId;
  std::string Author;
  /// Modification revision of the store key that this version was read from; 0
  /// if a peer sent it.
  std::int64_t ModRevision = 0;
};

/// Serializes a configuration to the JSON text that is stored and sent to
/// peers.
std::string toJson(const Configuration &config);

/// Parses the JSON text of a configuration.
///
/// Errors: ParseFailed (not valid JSON, or a field is missing or has the wrong
/// type).
base::Result<Configuration> configurationFromJson(const std::string &text);

} // namespace endivedoor::control

#endif
