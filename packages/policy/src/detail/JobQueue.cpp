#include "detail/JobQueue.h"

#include <algorithm>

namespace endivedoor::policy::detail {

static constexpr std::chrono::hours DefaultDeadline{24};

QueueKey JobQueue::keyOf(Index job) const {
  const JobRec &jobRec = Records.Jobs[job];
  std::int32_t rank = jobRec.Urgent                             ? 0
                      : jobRec.Kind == model::TaskKind::Service ? 1
                                                                : 2;
  return {rank, ByLatestStart ? jobRec.LatestStart : 0, jobRec.Arrival, job};
}

std::int64_t JobQueue::latestStart(const JobRec &job) {
  if (job.Kind == model::TaskKind::Service)
    return job.AdmittedAt.time_since_epoch().count();
  base::Duration run = job.DeclaredRunTime;
  double measured =
      UseMeasuredRunTimes ? Estimates.estimate(job.Class).RunTimeMs : -1;
  if (measured >= 0)
    run = base::Duration(std::int64_t(measured * 1e6));
  base::TimePoint end = job.Deadline.value_or(job.AdmittedAt + DefaultDeadline);
  return std::max(end - run, job.AdmittedAt).time_since_epoch().count();
}

void JobQueue::add(Index job, std::optional<base::Duration> classDeadline) {
  JobRec &jobRec = Records.Jobs[job];
  if (jobRec.InQueue)
    return;
  if (classDeadline && (!jobRec.Deadline ||
                        jobRec.AdmittedAt + *classDeadline < *jobRec.Deadline))
    jobRec.Deadline = jobRec.AdmittedAt + *classDeadline;
  jobRec.LatestStart = latestStart(jobRec);
  jobRec.Arrival = Arrivals++;
  jobRec.InQueue = true;
  Keys.insert(keyOf(job));
}

void JobQueue::remove(Index job) {
  JobRec &jobRec = Records.Jobs[job];
  if (!jobRec.InQueue)
    return;
  Keys.erase(keyOf(job));
  jobRec.InQueue = false;
}

void JobQueue::refresh() {
  std::set<QueueKey> fresh;
  for (const QueueKey &key : Keys) {
    JobRec &jobRec = Records.Jobs[key.Job];
    jobRec.LatestStart = latestStart(jobRec);
    fresh.insert(keyOf(key.Job));
  }
  Keys.swap(fresh);
}

} // namespace endivedoor::policy::detail
