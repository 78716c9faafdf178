#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using detail::JobEntry;
using detail::TaskEntry;
using model::JobNumber;
using model::JobState;

std::vector<StartedMark> Shard::takeStartedMarks(std::size_t limit) {
  detail::ShardState &s = *State;
  std::vector<StartedMark> marks;
  for (std::size_t left = s.StartedUnmarked.size();
       left > 0 && marks.size() < limit; --left) {
    JobEntry *job = s.findJob(s.StartedUnmarked.front());
    s.StartedUnmarked.pop_front();
    if (!job || !job->isLive())
      continue;
    // The job has a write in flight, possibly in the same commit, and a commit
    // must not depend on its own writes.
    if (job->WriteInFlight) {
      s.StartedUnmarked.push_back(job->Job.Id);
      continue;
    }
    job->WriteInFlight = true;
    marks.push_back({job->Job.Id, job->IndexRevision, job->Job.Account});
  }
  return marks;
}

void Shard::onStartedMarks(const std::vector<StartedMark> &marks, bool stored) {
  detail::ShardState &s = *State;
  for (const StartedMark &it : marks) {
    JobEntry *job = s.findJob(it.Job);
    if (!job)
      continue;
    job->WriteInFlight = false;
    job->IndexRevision = it.Revision;
    if (!stored)
      s.StartedUnmarked.push_back(it.Job);
    if (job->Version != job->StoredVersion)
      s.Dirty.push_back(it.Job);
  }
}

/// How long a step waits for a worker of its own shard before the job tries
/// another shard. Equals the maximum age of the other shards' load records.
constexpr auto MoveDelay = std::chrono::seconds(2);

namespace detail {

bool hasWaited(const JobEntry &job, base::Duration time, base::TimePoint now) {
  for (const auto &[number, o] : job.Occurrences)
    for (const StepEntry &it : o.Steps)
      if (it.WaitingCount > 0 && it.WaitingSince &&
          now - *it.WaitingSince > time)
        return true;
  return false;
}

void ShardState::orphanRuns(JobEntry &job) {
  std::vector<std::pair<RunId, WorkerState *>> runs;
  for (const auto &[number, o] : job.Occurrences)
    for (std::int32_t step = 0; step < std::ssize(o.Steps); ++step) {
      const std::vector<TaskEntry> &tasks = o.Steps[step].Tasks;
      for (std::int32_t i = 0; i < std::ssize(tasks); ++i)
        for (const Run &it : tasks[i].Runs)
          runs.emplace_back(RunId{{job.Job.Id, number, step, i}, it.Number},
                            it.Worker);
    }
  for (const auto &[id, worker] : runs) {
    removeRun(job, id.Task, id.Number, worker->Profile.Id, "job moved");
    worker->OrphanRuns.emplace(id, StopAttempts{});
  }
}

} // namespace detail

std::vector<JobMove> Shard::takeMoves(std::size_t limit, base::TimePoint now) {
  detail::ShardState &s = *State;
  std::vector<JobMove> moves;
  bool unverified = s.mayRunAnyTask();
  for (JobEntry *job : s.LiveJobs) {
    if (moves.size() == limit)
      break;
    bool movable = job->isLive() && !job->IsPart &&
                   job->DelegatedShards.empty() && job->RunCount == 0 &&
                   !job->WriteInFlight && !job->Moving &&
                   job->Version == job->StoredVersion &&
                   !(unverified && job->Inherited) && !s.isAnyTaskHeld(*job);
    // A job that suits no shard must not move on before it gets a run here.
    auto delay = job->MovedHere ? 2 * MoveDelay : MoveDelay;
    if (!movable || now - job->LastMoveAttempt < delay ||
        !hasWaited(*job, delay, now) || s.countUnresolvedRuns(*job))
      continue;
    // No run is in flight, so none of those announced can be lost.
    for (auto &[number, o] : job->Occurrences)
      for (detail::StepEntry &step : o.Steps)
        for (TaskEntry &it : step.Tasks)
          it.Crashes.AnnouncedRun = 0;
    JobMove move{job->Job,
                 job->Started ? JobState::Running : JobState::Queued,
                 {progressOf(*job), job->EarlierLastRun, job->Started},
                 job->IndexRevision};
    for (const auto &[number, o] : job->Occurrences)
      for (const detail::StepEntry &step : o.Steps)
        for (const TaskEntry &it : step.Tasks)
          move.Handover.LastRun = std::max(
              move.Handover.LastRun, detail::nextRun(*job, it, s.Term) - 1);
    job->Moving = true;
    moves.push_back(std::move(move));
  }
  return moves;
}

void Shard::onMoveFinished(JobNumber job, bool moved, std::int64_t revision,
                           base::TimePoint now) {
  detail::ShardState &s = *State;
  JobEntry *entry = s.findJob(job);
  if (!entry)
    return;
  entry->Moving = false;
  entry->LastMoveAttempt = now;
  entry->IndexRevision = revision;
  entry->MoveDeclined = !moved;
  if (!moved)
    return;
  s.orphanRuns(*entry);
  std::erase(s.LiveJobs, entry);
  s.Jobs.erase(job);
}

void Shard::restore(JobNumber job, const JobHandover &handover) {
  JobEntry *entry = State->findJob(job);
  if (!entry)
    return;
  entry->EarlierLastRun = handover.LastRun;
  entry->MovedHere = true;
  entry->Started = handover.Started;
  restore(job, handover.Progress, 0);
}

} // namespace endivedoor::dispatch
