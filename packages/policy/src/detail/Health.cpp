#include "detail/Health.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// docs/design.md, section 4: three failures in a row of different jobs; probes
/// at intervals that grow from 5 s to 5 min.
static constexpr std::uint8_t StreakLimit = 3;
static constexpr std::chrono::seconds FirstInterval{5};
static constexpr std::chrono::seconds LastInterval{300};

Health::WorkerHealth &Health::record(Index worker) {
  if (worker >= Workers.size())
    Workers.resize(worker + 1);
  return Workers[worker];
}

bool Health::isSuspect(const JobRec &job) const {
  return job.Finished == 0 && job.FailedOn.size() >= 2;
}

bool Health::failed(Index worker, Index job, base::TimePoint now) {
  JobRec &rec = S.Jobs[job];
  // Judged before this failure is added: the second worker that fails a job
  // still counts, the third does not.
  bool suspect = isSuspect(rec);
  if (std::find(rec.FailedOn.begin(), rec.FailedOn.end(), worker) ==
      rec.FailedOn.end())
    rec.FailedOn.push_back(worker);
  WorkerHealth &it = record(worker);
  it.LastFailure = now;
  if (!Enabled)
    return false;
  if (it.Quarantined) {
    it.Interval = std::min<base::Duration>(2 * it.Interval, LastInterval);
    it.NextProbe = now + it.Interval;
    return false;
  }
  auto end = it.Streak.begin() + it.StreakLength;
  bool repeated = std::find(it.Streak.begin(), end, job) != end;
  // A job that finishes elsewhere is a witness against the worker each time.
  if (suspect || (repeated && rec.Finished == 0))
    return false;
  it.Streak[it.StreakLength++] = job;
  if (it.StreakLength < StreakLimit)
    return false;
  it.Quarantined = true;
  it.Interval = FirstInterval;
  it.NextProbe = now + it.Interval;
  Quarantined.push_back(worker);
  return true;
}

bool Health::succeeded(Index worker, base::TimePoint startedAt) {
  if (worker >= Workers.size() || startedAt <= Workers[worker].LastFailure)
    return false;
  bool ended = Workers[worker].Quarantined;
  forget(worker);
  return ended;
}

void Health::forget(Index worker) {
  if (worker >= Workers.size())
    return;
  if (Workers[worker].Quarantined)
    std::erase(Quarantined, worker);
  Workers[worker] = WorkerHealth();
}

const std::vector<Index> &Health::dueProbes(base::TimePoint now) {
  Due.clear();
  for (Index it : Quarantined)
    if (Workers[it].NextProbe <= now)
      Due.push_back(it);
  return Due;
}

void Health::probeLost(Index worker, base::TimePoint now) {
  if (isQuarantined(worker))
    Workers[worker].NextProbe = now + Workers[worker].Interval;
}

void Health::probeStarted(Index worker, base::TimePoint now) {
  WorkerHealth &it = record(worker);
  // Without an answer the next probe waits for the longest interval.
  it.NextProbe = now + LastInterval;
}

} // namespace endivedoor::policy::detail
