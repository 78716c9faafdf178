#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using detail::JobEntry;
using detail::TaskEntry;
using model::JobNumber;
using model::JobState;

std::vector<BeginMark> Shard::takeMarks(std::size_t limit) {
  detail::ShardState &s = *Self;
  std::vector<BeginMark> marks;
  for (std::size_t left = s.Begun.size(); left > 0 && marks.size() < limit;
       --left) {
    JobEntry *job = s.findJob(s.Begun.front());
    s.Begun.pop_front();
    if (!job || !job->isLive())
      continue;
    // A commit must not depend on its own writes.
    if (job->InWrite) {
      s.Begun.push_back(job->Job.Id);
      continue;
    }
    job->InWrite = true;
    marks.push_back({job->Job.Id, job->IndexRevision});
  }
  return marks;
}

void Shard::onMarked(const std::vector<BeginMark> &marks, bool stored) {
  detail::ShardState &s = *Self;
  for (const BeginMark &it : marks) {
    JobEntry *job = s.findJob(it.Job);
    if (!job)
      continue;
    job->InWrite = false;
    job->IndexRevision = it.Revision;
    if (!stored)
      s.Begun.push_back(it.Job);
    if (job->Version != job->StoredVersion)
      s.Dirty.push_back(it.Job);
  }
}

/// How long a step waits for a worker of its shard before another shard is
/// tried; as old as the load records of the others may be.
constexpr auto MoveAfter = std::chrono::seconds(2);

/// Returns whether a step of the job has waited for long.
static bool hasWaited(const JobEntry &job, base::TimePoint now) {
  for (const auto &[number, o] : job.Occurrences)
    for (const detail::StepEntry &it : o.Steps)
      if (it.Idle > 0 && it.WaitsSince && now - *it.WaitsSince > MoveAfter)
        return true;
  return false;
}

std::vector<JobMove> Shard::takeMoves(std::size_t limit, base::TimePoint now) {
  detail::ShardState &s = *Self;
  std::vector<JobMove> moves;
  bool suspects = s.hasSuspects();
  for (JobEntry *job : s.Live) {
    if (moves.size() == limit)
      break;
    bool settled = job->isLive() && job->Runs == 0 && !job->InWrite &&
                   !job->Moving && job->Version == job->StoredVersion &&
                   !(suspects && job->Inherited);
    if (!settled || now - job->MoveTried < MoveAfter || !hasWaited(*job, now))
      continue;
    JobMove move{job->Job,
                 job->Started ? JobState::Running : JobState::Queued,
                 {progressOf(*job), job->EarlierRuns},
                 job->IndexRevision};
    for (const auto &[number, o] : job->Occurrences)
      for (const detail::StepEntry &step : o.Steps)
        for (const TaskEntry &it : step.Tasks)
          move.Facts.LastRun = std::max(move.Facts.LastRun, it.LastRun);
    job->Moving = true;
    moves.push_back(std::move(move));
  }
  return moves;
}

void Shard::onMoveTried(JobNumber job, bool moved, std::int64_t revision,
                        base::TimePoint now) {
  detail::ShardState &s = *Self;
  JobEntry *entry = s.findJob(job);
  if (!entry)
    return;
  entry->Moving = false;
  entry->MoveTried = now;
  entry->IndexRevision = revision;
  if (!moved || entry->Runs > 0)
    return;
  std::erase(s.Live, entry);
  s.Jobs.erase(job);
}

void Shard::restore(JobNumber job, const Handover &facts) {
  JobEntry *entry = Self->findJob(job);
  if (!entry)
    return;
  entry->EarlierRuns = facts.LastRun;
  entry->Started = facts.LastRun > 0;
  restore(job, facts.Progress, 0);
}

} // namespace endivedoor::dispatch
