#include "detail/Health.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// Quarantine after three consecutive failures of different jobs; the probe
/// interval grows from 5 s to 5 min (docs/design.md, section 4).
static constexpr std::uint8_t QuarantineThreshold = 3;
static constexpr std::chrono::seconds InitialProbeInterval{5};
static constexpr std::chrono::seconds MaxProbeInterval{300};

Health::WorkerHealth &Health::record(Index worker) {
  if (worker >= Workers.size())
    Workers.resize(worker + 1);
  return Workers[worker];
}

bool Health::isSuspect(const JobRec &job) const {
  return job.Finished == 0 && job.FailedOn.size() >= 2;
}

bool Health::recordFailure(Index worker, Index job, base::TimePoint now) {
  JobRec &rec = Records.Jobs[job];
  // Evaluated before this failure is added: a job's failure on its second
  // worker still counts, on its third it does not.
  bool suspect = isSuspect(rec);
  if (std::find(rec.FailedOn.begin(), rec.FailedOn.end(), worker) ==
      rec.FailedOn.end())
    rec.FailedOn.push_back(worker);
  WorkerHealth &health = record(worker);
  health.LastFailure = now;
  if (!Enabled)
    return false;
  if (health.Quarantined) {
    health.ProbeInterval =
        std::min<base::Duration>(2 * health.ProbeInterval, MaxProbeInterval);
    health.NextProbe = now + health.ProbeInterval;
    return false;
  }
  auto end =
      health.ConsecutiveFailures.begin() + health.ConsecutiveFailureCount;
  bool repeated =
      std::find(health.ConsecutiveFailures.begin(), end, job) != end;
  // Repeated failures of a job count only if tasks of the job have finished
  // elsewhere.
  if (suspect || (repeated && rec.Finished == 0))
    return false;
  health.ConsecutiveFailures[health.ConsecutiveFailureCount++] = job;
  if (health.ConsecutiveFailureCount < QuarantineThreshold)
    return false;
  health.Quarantined = true;
  health.ProbeInterval = InitialProbeInterval;
  health.NextProbe = now + health.ProbeInterval;
  QuarantinedWorkers.push_back(worker);
  return true;
}

bool Health::recordSuccess(Index worker, base::TimePoint startedAt) {
  if (worker >= Workers.size() || startedAt <= Workers[worker].LastFailure)
    return false;
  bool ended = Workers[worker].Quarantined;
  reset(worker);
  return ended;
}

void Health::reset(Index worker) {
  if (worker >= Workers.size())
    return;
  if (Workers[worker].Quarantined)
    std::erase(QuarantinedWorkers, worker);
  Workers[worker] = WorkerHealth();
}

const std::vector<Index> &Health::dueProbes(base::TimePoint now) {
  DueWorkers.clear();
  for (Index worker : QuarantinedWorkers)
    if (Workers[worker].NextProbe <= now)
      DueWorkers.push_back(worker);
  return DueWorkers;
}

void Health::recordProbeLost(Index worker, base::TimePoint now) {
  if (isQuarantined(worker))
    Workers[worker].NextProbe = now + Workers[worker].ProbeInterval;
}

void Health::recordProbeStart(Index worker, base::TimePoint now) {
  WorkerHealth &health = record(worker);
  // If the probe gives no result, the next one is due after the maximum
  // interval.
  health.NextProbe = now + MaxProbeInterval;
}

} // namespace endivedoor::policy::detail
