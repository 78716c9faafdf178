/// \file
/// Settings of a daemon that runs jobs on the platform of an installation.
#ifndef ENDIVEDOOR_MODEL_DISPATCHSETTINGS_H
#define ENDIVEDOOR_MODEL_DISPATCHSETTINGS_H

#include "endivedoor/model/Settings.h"

namespace endivedoor::model {

/// Limits on what the clients of the HTTP servers make the daemon hold.
struct CallerLimitSettings {
  /// Memory for connections, requests and responses, in MiB; shared by the
  /// servers for callers, health and metrics. Holds the maximum number of
  /// connections, at 40 KiB each, and requests beside them.
  std::size_t MemoryMiB = 144;
  /// Maximum number of connections of callers.
  std::size_t Connections = 3000;
  /// Maximum time from the first byte of a request to the end of its header.
  std::chrono::milliseconds HeaderTimeout{10000};
  /// Time within which a body has to bring 16 KiB, or its end.
  std::chrono::milliseconds BodyTimeout{10000};
  /// Maximum time for sending a response, plus one second for each 16 KiB.
  std::chrono::milliseconds ResponseTimeout{10000};
  /// A connection that is idle for this long is closed.
  std::chrono::milliseconds IdleTimeout{60000};
};

struct DispatchSettings {
  std::string Name;
  base::ZoneId Zone;
  /// Listen address for callers.
  Address Callers;
  /// Listen address for the readiness probes of the load balancer.
  Address Health;
  /// Listen address for metrics.
  Address Metrics;
  Address Store;
  /// Longest lease that a worker grants.
  std::chrono::milliseconds MaxLease{10000};
  /// Time for which a long-running task may exceed its target response time.
  std::chrono::milliseconds MaxTargetMissTime{4000};
  /// Time between the stop signal and the kill.
  std::chrono::milliseconds StopGrace{6000};
  /// Shortest lease that the store supports.
  std::chrono::milliseconds MinStoreLease{1000};
  /// Requests that need the key of a client account are refused while the
  /// configuration has not been read for longer than RevokeTime.
  bool RevokeFailClosed = false;
  std::chrono::milliseconds RevokeTime{5000};
  /// Cores that the daemon may use.
  double Cores = 1;
  /// Rate of the host's network link, in Mbit/s.
  double LinkMbps = 1000;
  /// Number of workers per shard owner.
  std::int32_t WorkersPerShard = 72;
  /// Maximum number of log lines per second and event code; further lines are
  /// suppressed and counted. 0 means no limit.
  std::size_t LogLinesPerSecond = 200;
  /// Number of events retained in memory for the timeline.
  std::size_t RetainedEvents = 256;
  CallerLimitSettings Limits;
};

struct DispatchSettingsOutcome {
  DispatchSettings Value;
  std::vector<Diagnostic> Diagnostics;
};

/// Returns whether a settings file is for the platform of an installation: it
/// has the key "installation".
bool isDispatchSettings(const std::string &text);

/// Parses settings from the text of a YAML file.
///
/// \param file name used in diagnostics.
/// \returns the settings; they are valid only if there are no diagnostics.
DispatchSettingsOutcome parseDispatchSettings(const std::string &file,
                                              const std::string &text);

} // namespace endivedoor::model

#endif
