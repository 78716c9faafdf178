#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using base::EventCode;
using base::TimePoint;
using namespace std::chrono_literals;

/// Longest time of a call on its way, from the calls' time limit.
constexpr auto TransferTime = 1000ms;

namespace detail {

void ShardState::loseRuns(WorkerState &worker, const char *cause) {
  std::vector<RunId> lost;
  for (const auto &[id, held] : worker.Runs)
    lost.push_back(id);
  for (const RunId &it : lost) {
    JobEntry *job = nullptr;
    if (TaskEntry *task = findTask(it.Task, &job); task && job)
      removeRun(*job, it.Task, it.Run);
    release(worker, it);
  }
  worker.Strays.clear();
  worker.SuspectUntil.reset();
  if (!lost.empty())
    Events.emit(EventCode::RunsLost, {{"worker", worker.Profile.Id.str()},
                                      {"cause", cause},
                                      {"runs", std::to_string(lost.size())}});
}

void ShardState::beginLife(WorkerState &worker, const char *cause,
                           TimePoint now) {
  std::vector<RunId> lost;
  for (const auto &[id, held] : worker.Runs) {
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(id.Task, &job);
    if (!task)
      continue;
    for (Run &it : task->Runs) {
      if (it.Number != id.Run || it.Where != &worker)
        continue;
      bool earlier = it.Phase != RunPhase::Starting &&
                     it.Phase != RunPhase::Doubtful && worker.Clock &&
                     it.Since < worker.Clock->At;
      if (earlier) {
        lost.push_back(id);
        continue;
      }
      // The order may have reached the new life, whose list will tell.
      it.Phase = RunPhase::Doubtful;
      it.Since = now;
    }
  }
  for (const RunId &it : lost)
    if (JobEntry *job = findJob(it.Task.Job))
      removeRun(*job, it.Task, it.Run);
  worker.Strays.clear();
  worker.Synced = false;
  worker.Clock.reset();
  worker.Promised = WorkerTime{0};
  worker.ProcessedEnds = worker.LastSeen = 0;
  worker.PendingEnds.clear();
  Events.emit(EventCode::RunsLost,
              {{"worker", worker.Profile.Id.str()},
               {"cause", cause},
               {"runs", std::to_string(lost.size())},
               {"doubtful", std::to_string(worker.Runs.size())}});
}

void ShardState::adopt(WorkerState &worker, const RunningTask &row,
                       TimePoint now) {
  JobEntry *job = nullptr;
  TaskEntry *task = findTask(row.Id.Task, &job);
  if (!task) {
    worker.Strays.emplace(row.Id, TimePoint{});
    return;
  }
  const model::StepSpec &step = stepOf(*job, row.Id.Task);
  // A run that is not wanted still takes room until it has been stopped.
  bool wanted =
      job->isLive() && !task->Done && (task->Runs.empty() || step.Speculative);
  if (task->Runs.empty() && !task->Done)
    --job->Occurrences[row.Id.Task.Occurrence]
          .Steps[static_cast<std::size_t>(row.Id.Task.Step)]
          .Idle;
  Run run;
  run.Where = &worker;
  run.Number = row.Id.Run;
  run.Phase = wanted ? RunPhase::Running : RunPhase::Stopping;
  run.Since = run.Started = run.LastBusy = now;
  run.Percent = run.Paced = step.Lasting ? 100 : row.Percent;
  task->Runs.push_back(run);
  task->LastRun = std::max(task->LastRun, run.Number);
  ++job->Runs;
  job->Started = true;
  reserve(worker, row.Id, step);
}

} // namespace detail

/// Time after which a lease that is asked for now has run out on any worker.
static base::Duration leaseTime(const ShardOptions &options) {
  return std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double, std::milli>(options.Hold) *
             ClockDrift) +
         detail::LapseMargin;
}

void Shard::suspect(const std::vector<RosterEntry> &roster, bool active,
                    TimePoint now) {
  detail::ShardState &s = *Self;
  TimePoint until = now + leaseTime(s.Options);
  if (active)
    until += s.Options.OwnerGrace + TransferTime;
  for (const RosterEntry &it : roster) {
    auto &entry = s.Workers[it.Id];
    if (!entry)
      entry = std::make_unique<detail::WorkerState>();
    entry->Profile.Id = it.Id;
    entry->Profile.Endpoint = it.Endpoint;
    entry->InRoster = true;
    entry->SuspectUntil = until;
  }
}

void Shard::earlierOwnersEnded(TimePoint now) {
  detail::ShardState &s = *Self;
  TimePoint until = now + leaseTime(s.Options);
  for (auto &[id, w] : s.Workers)
    if (w->SuspectUntil)
      w->SuspectUntil = std::min(*w->SuspectUntil, until);
}

} // namespace endivedoor::dispatch
