// Delegation of waiting long-running tasks to another shard. Load pattern: the
// shards fill unevenly, or workers of one are lost, while its long-running jobs
// run. Such a job cannot move as a whole, so its other tasks wait for as long
// as the job lasts although other shards have capacity.
#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using detail::JobEntry;
using detail::TaskEntry;
using model::JobNumber;
using model::JobState;
using namespace std::chrono_literals;

/// How long tasks wait for a worker of their own shard, and the interval
/// between two offers. Shorter than a caller waits before it counts a task as
/// lost, longer than short tasks take to leave a reserved worker.
constexpr auto DelegationDelay = 1500ms;
/// Maximum number of other shards that run parts of one job; bounds the writes
/// that a cancellation causes.
constexpr std::size_t MaxDelegatedShards = 4;

namespace detail {

void ShardState::markRemote(JobEntry &job, const TaskKey &key) {
  TaskEntry *task = findTask(key);
  if (!task || task->Remote)
    return;
  if (task->Runs.empty() && task->isPending())
    --job.Occurrences[key.Occurrence]
          .Steps[static_cast<std::size_t>(key.Step)]
          .WaitingCount;
  task->Remote = true;
}

void ShardState::queueCancelForwards(JobEntry &job) {
  for (auto &[shard, stored] : job.DelegatedShards) {
    stored = stored || job.CancelledShards.contains(shard);
    if (!stored)
      CancelForwards.push_back({job.Job.Id, shard});
  }
}

} // namespace detail

static bool isLongRunning(const model::JobGraph &graph) {
  return graph.Occurrences == 0 &&
         std::all_of(graph.Steps.begin(), graph.Steps.end(),
                     [](const model::StepSpec &it) {
                       return it.LongRunning && !it.Gang;
                     });
}

std::vector<Delegation> Shard::takeDelegations(std::size_t limit,
                                               base::TimePoint now) {
  detail::ShardState &s = *State;
  std::vector<Delegation> offers;
  bool unverified = s.hasUnverifiedWorkers();
  for (JobEntry *job : s.LiveJobs) {
    if (offers.size() == limit)
      break;
    // A job without runs moves as a whole, unless it is a part.
    bool delegable =
        job->isLive() && isLongRunning(job->Job.Graph) &&
        (job->RunCount > 0 || job->IsPart || !job->DelegatedShards.empty()) &&
        !job->WriteInFlight && !job->Moving &&
        job->Version == job->StoredVersion &&
        job->DelegatedShards.size() < MaxDelegatedShards &&
        !(unverified && job->Inherited);
    if (!delegable || now - job->LastMoveAttempt < DelegationDelay ||
        !detail::hasWaited(*job, DelegationDelay, now))
      continue;
    Delegation offer;
    offer.Job = job->Job;
    offer.Part.LastRun = job->EarlierLastRun;
    offer.Part.HomeShard = job->IsPart ? job->HomeShard : s.Number;
    detail::Occurrence &o = job->Occurrences[0];
    for (std::int32_t step = 0; step < std::ssize(o.Steps); ++step) {
      std::vector<TaskEntry> &tasks = o.Steps[step].Tasks;
      for (std::int32_t i = 0; i < std::ssize(tasks); ++i) {
        TaskEntry &task = tasks[static_cast<std::size_t>(i)];
        if (!task.isPending() || !task.Runs.empty())
          continue;
        // No run is in flight, so none that was announced can be lost.
        task.Crashes.AnnouncedRun = 0;
        offer.Part.Tasks.push_back({step, i, task.Crashes});
        offer.Part.LastRun = std::max(offer.Part.LastRun, task.LastRun);
      }
    }
    for (const TaskRef &it : offer.Part.Tasks)
      s.markRemote(*job, {job->Job.Id, 0, it.Step, it.Index});
    job->WriteInFlight = true;
    offers.push_back(std::move(offer));
  }
  return offers;
}

JobWrite Shard::delegate(const Delegation &offer, std::int32_t shard) {
  JobWrite write;
  write.Job = offer.Job.Id;
  JobEntry *job = State->findJob(offer.Job.Id);
  if (!job)
    return write;
  for (const TaskRef &it : offer.Part.Tasks)
    if (TaskEntry *task = State->findTask({offer.Job.Id, 0, it.Step, it.Index}))
      task->DelegatedTo = shard;
  write.Revision = job->ProgressRevision;
  write.Progress = detail::progressOf(*job);
  return write;
}

void Shard::onDelegationFinished(const Delegation &offer,
                                 std::optional<std::int32_t> shard,
                                 std::int64_t revision, base::TimePoint now) {
  detail::ShardState &s = *State;
  JobEntry *job = s.findJob(offer.Job.Id);
  if (!job)
    return;
  job->WriteInFlight = false;
  job->LastMoveAttempt = now;
  if (job->Version != job->StoredVersion)
    s.Dirty.push_back(offer.Job.Id);
  if (shard) {
    job->ProgressRevision = revision;
    job->DelegatedShards.try_emplace(*shard, false);
    if (!job->isLive())
      s.queueCancelForwards(*job);
    return;
  }
  for (const TaskRef &it : offer.Part.Tasks) {
    TaskEntry *task = s.findTask({offer.Job.Id, 0, it.Step, it.Index});
    if (!task)
      continue;
    task->Remote = false;
    task->DelegatedTo.reset();
    if (task->Runs.empty() && !task->Done)
      ++job->Occurrences[0]
            .Steps[static_cast<std::size_t>(it.Step)]
            .WaitingCount;
  }
}

std::vector<CancelForward> Shard::takeCancelForwards(std::size_t limit) {
  std::vector<CancelForward> forwards;
  while (!State->CancelForwards.empty() && forwards.size() < limit) {
    forwards.push_back(State->CancelForwards.front());
    State->CancelForwards.pop_front();
  }
  return forwards;
}

void Shard::onCancelForwards(const std::vector<CancelForward> &forwards,
                             bool stored) {
  for (const CancelForward &it : forwards) {
    if (!stored) {
      State->CancelForwards.push_back(it);
      continue;
    }
    if (JobEntry *job = State->findJob(it.Job))
      job->DelegatedShards[it.Shard] = true;
  }
}

} // namespace endivedoor::dispatch
