/// \file
/// Limits task starts on workers whose attempts fail repeatedly.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_QUARANTINE_H
#define ENDIVEDOOR_CONTROL_DETAIL_QUARANTINE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace endivedoor::control::detail {

/// Tracks consecutive failures of each worker. A worker is quarantined after
/// failures of 3 different jobs without a success in between. It then gets one
/// probe start at a time, at intervals that double from 5 s to 5 min.
class Quarantine {
public:
  /// Records a failed attempt; returns whether it quarantines the worker.
  bool recordFailure(const base::WorkerId &worker, const base::JobId &job,
                     base::TimePoint now);
  /// Records a successful attempt; returns whether it ends a quarantine.
  bool recordSuccess(const base::WorkerId &worker);
  /// Records the end of an attempt that neither failed nor succeeded because of
  /// the worker.
  void recordInconclusive(const base::WorkerId &worker, base::TimePoint now);
  /// Records a planned start. On a quarantined worker it is the probe.
  void recordPlannedStart(const base::WorkerId &worker);

  /// Returns whether a start may be planned on the worker at \p now.
  bool allowsStart(const base::WorkerId &worker, base::TimePoint now) const;
  bool isQuarantined(const base::WorkerId &worker) const;
  /// Returns the ids of all quarantined workers.
  std::vector<base::WorkerId> quarantinedWorkers() const;

private:
  struct WorkerRecord {
    std::set<base::JobId> FailedJobs;
    bool Quarantined = false;
    bool ProbeInFlight = false;
    base::Duration ProbeInterval{0};
    base::TimePoint NextProbe;
  };
  std::map<base::WorkerId, WorkerRecord> Records;
};

} // namespace endivedoor::control::detail

#endif
