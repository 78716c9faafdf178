// Starting and refusal of queued jobs and eviction on their behalf, as part of
// AdaptiveScheduler.
#include "detail/AdaptiveScheduler.h"
#include "detail/Admission.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// Interval at which latest start times are recomputed from updated run time
/// estimates.
static constexpr std::chrono::seconds RefreshInterval{5};

void AdaptiveScheduler::refreshQueue() {
  if (Clock.now() - LastRefresh < RefreshInterval)
    return;
  LastRefresh = Clock.now();
  QueuedJobs.refresh();
}

void AdaptiveScheduler::startQueuedJobs(std::size_t maxStarts,
                                        std::vector<Decision> &out) {
  std::size_t starts = 0;
  for (auto it = QueuedJobs.begin();
       it != QueuedJobs.end() && starts < maxStarts;) {
    Index n = it->Job;
    // Advance first: starting the last task of a job or refusing the job
    // removes it from the queue.
    ++it;
    starts += startJob(n, maxStarts - starts, out);
  }
}

/// Returns whether batch tasks may be evicted in favour of the job.
static bool mayPreemptBatch(const JobRec &job) {
  return job.Urgent || job.Kind == model::TaskKind::Service;
}

std::size_t AdaptiveScheduler::startJob(Index n, std::size_t maxStarts,
                                        std::vector<Decision> &out) {
  base::TimePoint now = Clock.now();
  std::size_t starts = 0;
  while (starts < maxStarts && Records.Jobs[n].QueuedTasks > 0) {
    const JobRec &job = Records.Jobs[n];
    if (!isWithinQuota(job)) {
      refuseIfImpossible(n, out);
      break;
    }
    if (!Admission.allows(job.Size.Slots, UsedSlots, TotalSlots))
      break;
    Index worker = Placer.choose(job, now);
    if (worker == None) {
      if (!refuseIfImpossible(n, out) && mayPreemptBatch(job))
        evictForUrgent(n, out);
      break;
    }
    Index task = job.FirstQueued;
    unqueueTask(task);
    place(task, worker);
    Rules.recordStart();
    const TaskRec &rec = Records.Tasks[task];
    out.push_back(StartTask{rec.Id, Records.Workers[worker].Id, rec.Allocated});
    ++starts;
  }
  return starts;
}

bool AdaptiveScheduler::refuseIfImpossible(Index n,
                                           std::vector<Decision> &out) {
  TaskShape &shape = Placer.shape(Records.Jobs[n].Shape);
  if (shape.RefusalChecked == WorkerGeneration || TotalSlots == 0 ||
      Clock.now() - LastWorkerAdded < Settings.RefuseAfter)
    return false;
  std::optional<std::string> reason =
      refusalReason(Records, Rules, Records.Jobs[n]);
  if (!reason) {
    shape.RefusalChecked = WorkerGeneration;
    return false;
  }
  out.push_back(RefuseJob{Records.Jobs[n].Id, *reason});
  while (Records.Jobs[n].QueuedTasks > 0) {
    Index task = Records.Jobs[n].FirstQueued;
    unqueueTask(task);
    Records.removeTask(task);
  }
  return true;
}

/// Returns whether the worker has enough free resources once \p victim is gone.
/// CPU is not considered.
static bool makesRoom(const WorkerRec &host, const TaskRec &victim,
                      const base::Resources &need) {
  base::Resources free = host.Free;
  free += victim.Allocated;
  free.Cpu = need.Cpu;
  return need.fitsIn(free);
}

Index AdaptiveScheduler::chooseVictim(const JobRec &job) const {
  Index best = None;
  for (Index n = 0; n < Records.Workers.size(); ++n) {
    const WorkerRec &host = Records.Workers[n];
    if (!Placer.isSchedulable(n) || WorkerHealth.isQuarantined(n))
      continue;
    for (Index task : host.Tasks) {
      const TaskRec &taskRec = Records.Tasks[task];
      const JobRec &other = Records.Jobs[taskRec.Job];
      if (other.Kind != model::TaskKind::Batch || other.Urgent ||
          taskRec.Evicting || !makesRoom(host, taskRec, Placer.need(job)) ||
          !Placer.isUnblockedByEviction(task, n, job))
        continue;
      // The youngest task loses the least work.
      if (best == None || taskRec.StartedAt > Records.Tasks[best].StartedAt)
        best = task;
    }
  }
  return best;
}

void AdaptiveScheduler::evictForUrgent(Index n, std::vector<Decision> &out) {
  const JobRec &job = Records.Jobs[n];
  base::TimePoint now = Clock.now();
  if (!Settings.EvictForUrgent ||
      now - Records.Tasks[job.FirstQueued].QueuedAt < Settings.UrgentWait ||
      UrgentEvictions >= std::int32_t(job.QueuedTasks))
    return;
  Index victim = chooseVictim(job);
  if (victim == None)
    return;
  Records.Tasks[victim].EvictedForUrgent = true;
  ++UrgentEvictions;
  ServiceGuard.evict(victim, "room for urgent job " + job.Id.str(), now, out);
}

} // namespace endivedoor::policy::detail
