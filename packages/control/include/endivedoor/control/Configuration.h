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

/// Rules and what is out of service. Version 0 is the empty configuration
/// before the first one.
struct Configuration {
  std::uint64_t Version = 0;
  std::string RulesText;
  std::set<base::ZoneId> ZonesOut;
  std::set<base::WorkerId> WorkersOut;
  /// Tells this write from another with the same content.
  std::string WriteId;
  std::string Author;
  /// Mod revision of the store key this version was read from; 0 if it came
  /// from a peer.
  std::int64_t ModRevision = 0;
};

/// Writes a configuration as the JSON text kept in the store and sent to peers.
std::string toJson(const Configuration &config);

/// Reads the JSON text of a configuration.
///
/// Errors: ParseFailed (not JSON, a field missing or of the wrong type).
base::Result<Configuration> configurationFromJson(const std::string &text);

} // namespace endivedoor::control

#endif
