/// \file
/// Settings of a daemon, parsed from YAML and fully validated at startup.
#ifndef ENDIVEDOOR_MODEL_SETTINGS_H
#define ENDIVEDOOR_MODEL_SETTINGS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Worker.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endivedoor::model {

/// A peer daemon, as listed in the settings.
struct PeerSettings {
  std::string Name;
  base::ZoneId Zone;
  Address Peer;
  Address Operator;
};

/// Limits on the size and number of external inputs.
struct LimitSettings {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  std::size_t RulesBytes = 256 * 1024;
  std::size_t PeerMessageBytes = 1024 * 1024;
  std::size_t CallerConnections = 4096;
  /// Memory for connections, requests and responses of callers, in bytes;
  /// divided among the traffic threads. The operators' server may use as much
  /// again.
  std::size_t CallerMemory = 256 * 1024 * 1024;
  /// Maximum number of requests of one service that wait for a free connection
  /// to a target.
  std::size_t QueuedRequests = 256;
  /// Maximum number of commands that wait for the inbox.
  std::size_t QueuedCommands = 4096;
  std::size_t RetainedEvents = 4096;
};

/// Timeouts and intervals of docs/design.md, section 4.
struct TimingSettings {
  std::chrono::milliseconds StoreTimeout{500};
  std::chrono::milliseconds OwnerLease{3000};
  std::chrono::milliseconds ConfigPoll{1000};
  std::chrono::milliseconds CommitInterval{100};
  std::chrono::milliseconds StartPermit{1000};
  std::chrono::milliseconds PlacementLease{1500};
  std::chrono::milliseconds PlacementRenew{500};
  std::chrono::milliseconds TaskLease{30000};
  std::chrono::milliseconds StatusPoll{500};
  std::chrono::milliseconds Heartbeat{500};
  std::chrono::milliseconds PeerSuspected{1500};
  std::chrono::milliseconds PeerDead{3000};
  std::chrono::milliseconds ZoneRamp{30000};
  std::chrono::milliseconds RequestTimeout{10000};
  std::chrono::milliseconds DrainDelay{1000};
  std::chrono::milliseconds DrainLimit{30000};
};

struct Settings {
  std::string Name;
  base::ZoneId Zone;
  /// Listen address for callers.
  Address Callers;
  /// Listen address for operators and the health checks of the load balancer.
  Address Operators;
  /// Listen address for other daemons.
  Address Peer;
  std::vector<Address> Store;
  Address HostList;
  /// All zones, including the daemon's own.
  std::vector<base::ZoneId> Zones;
  std::vector<PeerSettings> Peers;
  /// Number of entry hosts that share the connections to each worker.
  std::int32_t EntryHosts = 8;
  std::int32_t TrafficThreads = 2;
  std::int32_t ShardsPerZone = 1;
  /// Seed of all random number generators; 0 uses a seed from the system.
  std::uint64_t Seed = 0;
  LimitSettings Limits;
  TimingSettings Timing;
};

/// An error found in a text: its position, a description and a hint for its
/// correction.
struct Diagnostic {
  std::string File;
  /// Counted from 1.
  std::size_t Line = 0;
  /// Counted from 1; 0 refers to the whole line.
  std::size_t Column = 0;
  base::Errc Code = base::Errc::InvalidArgument;
  std::string Text;
  std::string Hint;

  /// Returns "file:line:column: E<number> text; hint".
  std::string message() const;
};

/// Settings, or the diagnostics of all errors in the text.
struct SettingsOutcome {
  Settings Value;
  std::vector<Diagnostic> Diagnostics;
};

/// Parses settings from the text of a YAML file.
///
/// \param file name used in diagnostics.
/// \param text the YAML text.
/// \returns the settings; they are valid only if there are no diagnostics.
/// Cost: linear in the text.
SettingsOutcome parseSettings(const std::string &file, const std::string &text);

} // namespace endivedoor::model

#endif
