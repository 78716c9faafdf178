/// \file
/// Quarantine of workers on which tasks fail.
#ifndef ENDIVEDOOR_POLICY_DETAIL_HEALTH_H
#define ENDIVEDOOR_POLICY_DETAIL_HEALTH_H

#include "detail/SchedulerRecords.h"

#include <array>

namespace endivedoor::policy::detail {

/// Distinguishes faulty workers from faulty jobs and schedules probes of
/// quarantined workers.
class Health {
public:
  Health(SchedulerRecords &records, bool enabled)
      : Records(records), Enabled(enabled) {}

  /// Records that a task of \p job, or its start, failed on the worker. Returns
  /// whether this put the worker into quarantine.
  bool recordFailure(Index worker, Index job, base::TimePoint now);
  /// Records that a task started at \p startedAt finished on the worker or has
  /// run long enough. Ignored for tasks started before the last failure,
  /// because a worker that fails new starts may keep old tasks running. Returns
  /// whether this ended a quarantine.
  bool recordSuccess(Index worker, base::TimePoint startedAt);

  bool isQuarantined(Index worker) const {
    return worker < Workers.size() && Workers[worker].Quarantined;
  }
  /// Returns the workers whose next probe is due.
  const std::vector<Index> &dueProbes(base::TimePoint now);
  /// Records the start of a probe task on a quarantined worker.
  void recordProbeStart(Index worker, base::TimePoint now);
  /// Records that a task left the worker with no conclusion about its health. A
  /// quarantined worker is probed again after its current interval.
  void recordProbeLost(Index worker, base::TimePoint now);
  /// Returns whether failures of the job are ignored as evidence against a
  /// worker: its tasks failed on several workers and never finished on any.
  bool isSuspect(const JobRec &job) const;
  void reset(Index worker);

private:
  struct WorkerHealth {
    /// Jobs of the current run of consecutive failures.
    std::array<Index, 3> ConsecutiveFailures{};
    std::uint8_t ConsecutiveFailureCount = 0;
    bool Quarantined = false;
    base::TimePoint LastFailure{};
    base::TimePoint NextProbe{};
    base::Duration ProbeInterval{0};
  };
  WorkerHealth &record(Index worker);

  SchedulerRecords &Records;
  bool Enabled;
  std::vector<WorkerHealth> Workers;
  std::vector<Index> QuarantinedWorkers;
  std::vector<Index> DueWorkers;
};

} // namespace endivedoor::policy::detail

#endif
