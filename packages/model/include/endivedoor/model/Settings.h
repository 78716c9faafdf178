/// \file
/// Settings of a daemon, read from YAML and checked whole at start.
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

/// Another daemon, as listed in the settings.
struct PeerSettings {
  std::string Name;
  base::ZoneId Zone;
  Address Peer;
  Address Operator;
};

/// Largest sizes and numbers of what comes from outside.
struct LimitSettings {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  std::size_t RulesBytes = 256 * 1024;
  std::size_t PeerMessageBytes = 1024 * 1024;
  std::size_t CallerConnections = 4096;
  /// Requests of one service that wait for a free connection to a target.
  std::size_t QueuedRequests = 256;
  /// Commands that wait for the inbox.
  std::size_t QueuedCommands = 4096;
  std::size_t RetainedEvents = 4096;
};

/// Times of docs/design.md, section 4.
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
  /// Where callers connect.
  Address Callers;
  /// Where operators and the balancer's health checks connect.
  Address Operators;
  /// Where other daemons connect.
  Address Peer;
  std::vector<Address> Store;
  Address HostList;
  /// All zones, the own one included.
  std::vector<base::ZoneId> Zones;
  std::vector<PeerSettings> Peers;
  /// Number of entry hosts that share the connections to each worker.
  std::int32_t EntryHosts = 8;
  std::int32_t TrafficThreads = 2;
  std::int32_t ShardsPerZone = 1;
  /// Seed of all random choices; 0 takes one from the system.
  std::uint64_t Seed = 0;
  LimitSettings Limits;
  TimingSettings Timing;
};

/// A fault found in a text: where it is, what is wrong, and what would be
/// right.
struct Diagnostic {
  std::string File;
  /// From 1.
  std::size_t Line = 0;
  /// From 1; 0 if the whole line is meant.
  std::size_t Column = 0;
  base::Errc Code = base::Errc::InvalidArgument;
  std::string Text;
  std::string Hint;

  /// Returns "file:line:column: E<number> text; hint".
  std::string message() const;
};

/// Settings, or every fault of the text at once.
struct SettingsOutcome {
  Settings Value;
  std::vector<Diagnostic> Diagnostics;
};

/// Reads settings from the text of a YAML file.
///
/// \param file name used in faults.
/// \param text the YAML text.
/// \returns the settings; they are valid only if there is no fault.
/// Cost: linear in the text.
SettingsOutcome parseSettings(const std::string &file, const std::string &text);

} // namespace endivedoor::model

#endif
