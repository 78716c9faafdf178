/// \file
/// Quarantine of workers that fail what they start.
#ifndef ENDIVEDOOR_POLICY_DETAIL_HEALTH_H
#define ENDIVEDOOR_POLICY_DETAIL_HEALTH_H

#include "detail/SchedulerRecords.h"

#include <array>

namespace endivedoor::policy::detail {

/// Tells workers that fail everything from jobs that fail everywhere, and
/// decides when a quarantined worker is probed.
class Health {
public:
  Health(SchedulerRecords &records, bool enabled)
      : Records(records), Enabled(enabled) {}

  /// A task of \p job failed on the worker, or its start did. Returns whether
  /// the worker is now quarantined and was not before.
  bool recordFailure(Index worker, Index job, base::TimePoint now);
  /// A task that was started at \p startedAt ended well there, or has been
  /// running long enough. Tasks started before the last failure prove nothing:
  /// a worker that fails new starts may keep old tasks running. Returns whether
  /// this ended a quarantine.
  bool recordSuccess(Index worker, base::TimePoint startedAt);

  bool isQuarantined(Index worker) const {
    return worker < Workers.size() && Workers[worker].Quarantined;
  }
  /// Returns the workers whose next probe is due.
  const std::vector<Index> &dueProbes(base::TimePoint now);
  /// A task was started on a quarantined worker as a probe.
  void recordProbeStart(Index worker, base::TimePoint now);
  /// A task left the worker without showing whether the worker is healthy; a
  /// quarantined one is probed again after its interval.
  void recordProbeLost(Index worker, base::TimePoint now);
  /// Whether a failure of the job says nothing about a worker: its tasks
  /// failed on several workers and never finished on any.
  bool isSuspect(const JobRec &job) const;
  void reset(Index worker);

private:
  struct WorkerHealth {
    /// Jobs that failed in a row, each counted once.
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
