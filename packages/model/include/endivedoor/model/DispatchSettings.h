/// \file
/// Settings of a daemon that runs jobs on an installation's own platform.
#ifndef ENDIVEDOOR_MODEL_DISPATCHSETTINGS_H
#define ENDIVEDOOR_MODEL_DISPATCHSETTINGS_H

#include "endivedoor/model/Settings.h"

namespace endivedoor::model {

struct DispatchSettings {
  std::string Name;
  base::ZoneId Zone;
  /// Where callers connect.
  Address Callers;
  /// Where the balancer asks for readiness.
  Address Health;
  /// Where metrics are served.
  Address Metrics;
  Address Store;
  /// Longest lease that a worker grants.
  std::chrono::milliseconds MaxLease{10000};
  /// Time for which a lasting task may be over its target.
  std::chrono::milliseconds MaxTargetMissTime{4000};
  /// Time between the stop signal and the kill.
  std::chrono::milliseconds StopGrace{6000};
  /// Shortest lease of the store.
  std::chrono::milliseconds MinStoreLease{1000};
  /// Cores that the daemon may use.
  double Cores = 1;
  /// Workers that one shard owner is to serve.
  std::int32_t WorkersPerShard = 72;
  /// Log lines of one event in a second; more are held back and counted. 0
  /// means no limit.
  std::size_t LogLinesPerSecond = 200;
  /// Events kept in memory for the time line.
  std::size_t RetainedEvents = 256;
};

struct DispatchSettingsOutcome {
  DispatchSettings Value;
  std::vector<Diagnostic> Diagnostics;
};

/// Whether a settings file is one for an installation's own platform: it has
/// the key "installation".
bool isDispatchSettings(const std::string &text);

/// Reads settings from the text of a YAML file.
///
/// \param file name used in faults.
/// \returns the settings; they are valid only if there is no fault.
DispatchSettingsOutcome parseDispatchSettings(const std::string &file,
                                              const std::string &text);

} // namespace endivedoor::model

#endif
