// The part of AdaptiveScheduler that starts, refuses and makes room for waiting
// jobs.
#include "detail/AdaptiveScheduler.h"
#include "detail/Admission.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// How often latest starts are computed anew from the run times measured since.
static constexpr std::chrono::seconds RefreshInterval{5};

void AdaptiveScheduler::refreshQueue() {
  if (Clock.now() - LastRefresh < RefreshInterval)
    return;
  LastRefresh = Clock.now();
  Waiting.refresh();
}

void AdaptiveScheduler::startWaiting(std::size_t maxStarts,
                                     std::vector<Decision> &out) {
  std::size_t starts = 0;
  for (auto it = Waiting.begin(); it != Waiting.end() && starts < maxStarts;) {
    Index n = it->Job;
    // The job leaves the queue when its last task starts or it is refused.
    ++it;
    starts += startJob(n, maxStarts - starts, out);
  }
}

/// Whether batch tasks make room for the job's tasks.
static bool isPressing(const JobRec &job) {
  return job.Urgent || job.Kind == model::TaskKind::Service;
}

std::size_t AdaptiveScheduler::startJob(Index n, std::size_t maxStarts,
                                        std::vector<Decision> &out) {
  base::TimePoint now = Clock.now();
  std::size_t starts = 0;
  while (starts < maxStarts && S.Jobs[n].QueuedTasks > 0) {
    const JobRec &job = S.Jobs[n];
    if (!isWithinQuota(job)) {
      refuse(n, out);
      break;
    }
    if (!Admission.allows(job.Size.Slots, UsedSlots, TotalSlots))
      break;
    Index worker = Places.choose(job, now);
    if (worker == None) {
      if (!refuse(n, out) && isPressing(job))
        evictForUrgent(n, out);
      break;
    }
    Index task = job.FirstQueued;
    unqueueTask(task);
    place(task, worker);
    Rules.countStart();
    const TaskRec &rec = S.Tasks[task];
    out.push_back(StartTask{rec.Id, S.Workers[worker].Id, rec.Booked});
    ++starts;
  }
  return starts;
}

bool AdaptiveScheduler::refuse(Index n, std::vector<Decision> &out) {
  Shape &shape = Places.shape(S.Jobs[n].Shape);
  if (shape.RefusalChecked == WorkerGeneration || TotalSlots == 0 ||
      Clock.now() - LastNewWorker < Settings.RefuseAfter)
    return false;
  std::optional<std::string> reason = refusalReason(S, Rules, S.Jobs[n]);
  if (!reason) {
    shape.RefusalChecked = WorkerGeneration;
    return false;
  }
  out.push_back(RefuseJob{S.Jobs[n].Id, *reason});
  while (S.Jobs[n].QueuedTasks > 0) {
    Index task = S.Jobs[n].FirstQueued;
    unqueueTask(task);
    S.dropTask(task);
  }
  return true;
}

/// Whether a worker has room for the job once \p victim is gone.
static bool makesRoom(const WorkerRec &host, const TaskRec &victim,
                      const base::Resources &need) {
  base::Resources free = host.Free;
  free += victim.Booked;
  free.Cpu = need.Cpu;
  return need.fitsIn(free);
}

Index AdaptiveScheduler::victimFor(const JobRec &job) const {
  Index best = None;
  for (Index n = 0; n < S.Workers.size(); ++n) {
    const WorkerRec &host = S.Workers[n];
    if (!Places.isOpen(n) || Fitness.isQuarantined(n))
      continue;
    for (Index task : host.Tasks) {
      const TaskRec &it = S.Tasks[task];
      const JobRec &other = S.Jobs[it.Job];
      if (other.Kind != model::TaskKind::Batch || other.Urgent || it.Evicting ||
          !makesRoom(host, it, Places.need(job)) ||
          !Places.isOpenedBy(task, n, job))
        continue;
      // The youngest task has the least work to lose.
      if (best == None || it.StartedAt > S.Tasks[best].StartedAt)
        best = task;
    }
  }
  return best;
}

void AdaptiveScheduler::evictForUrgent(Index n, std::vector<Decision> &out) {
  const JobRec &job = S.Jobs[n];
  base::TimePoint now = Clock.now();
  if (!Settings.EvictForUrgent ||
      now - S.Tasks[job.FirstQueued].QueuedAt < Settings.UrgentWait ||
      UrgentEvictions >= std::int32_t(job.QueuedTasks))
    return;
  Index victim = victimFor(job);
  if (victim == None)
    return;
  S.Tasks[victim].EvictedForUrgent = true;
  ++UrgentEvictions;
  Latency.evict(victim, "room for urgent job " + job.Id.str(), now, out);
}

} // namespace endivedoor::policy::detail
