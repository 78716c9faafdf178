#include "detail/Queue.h"

#include <algorithm>

namespace endivedoor::policy::detail {

static constexpr std::chrono::hours DefaultDeadline{24};

QueueKey Queue::keyOf(Index job) const {
  const JobRec &it = S.Jobs[job];
  std::int32_t rank = it.Urgent                             ? 0
                      : it.Kind == model::TaskKind::Service ? 1
                                                            : 2;
  return {rank, ByLatestStart ? it.LatestStart : 0, it.Arrival, job};
}

std::int64_t Queue::latestStart(const JobRec &job) {
  if (job.Kind == model::TaskKind::Service)
    return job.AdmittedAt.time_since_epoch().count();
  base::Duration run = job.DeclaredRunTime;
  double measured = Measured ? Sizes.estimate(job.Class).RunTimeMs : -1;
  if (measured >= 0)
    run = base::Duration(std::int64_t(measured * 1e6));
  base::TimePoint end = job.Deadline.value_or(job.AdmittedAt + DefaultDeadline);
  return std::max(end - run, job.AdmittedAt).time_since_epoch().count();
}

void Queue::add(Index job, std::optional<base::Duration> classDeadline) {
  JobRec &it = S.Jobs[job];
  if (it.InQueue)
    return;
  if (classDeadline &&
      (!it.Deadline || it.AdmittedAt + *classDeadline < *it.Deadline))
    it.Deadline = it.AdmittedAt + *classDeadline;
  it.LatestStart = latestStart(it);
  it.Arrival = Arrivals++;
  it.InQueue = true;
  Keys.insert(keyOf(job));
}

void Queue::remove(Index job) {
  JobRec &it = S.Jobs[job];
  if (!it.InQueue)
    return;
  Keys.erase(keyOf(job));
  it.InQueue = false;
}

void Queue::refresh() {
  std::set<QueueKey> fresh;
  for (const QueueKey &key : Keys) {
    JobRec &it = S.Jobs[key.Job];
    it.LatestStart = latestStart(it);
    fresh.insert(keyOf(key.Job));
  }
  Keys.swap(fresh);
}

} // namespace endivedoor::policy::detail
