// Starts that get no answer. The call may be carried out seconds later, also by
// a later incarnation of its worker that has not answered the current token
// yet. Until that is impossible, a short task does not run, and a long-running
// one only on this worker: the incarnation that begins the late run has lost
// the other one.
#include "detail/Rooms.h"
#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using base::EventCode;

void ShardState::noteLateStart(const JobEntry &job, const TaskKey &key,
                               const Run &run, TimePoint now) {
  TimePoint until = run.AnswerLostAt.value_or(now) + MaxCallDelay;
  // Tasks with copies may run twice.
  if (run.Confirmed || until <= now || stepOf(job, key).Speculative)
    return;
  LateStarts[key].push_back({run.Number, run.Worker->Profile.Id, until});
  listLateStart(*run.Worker, key, until);
  Events.emit(
      EventCode::LateStartPossible,
      {{"task", taskText(key)},
       {"run", std::to_string(run.Number)},
       {"worker", run.Worker->Profile.Id.str()},
       {"ms", std::to_string((until - now) / std::chrono::milliseconds(1))}});
}

void ShardState::forgetLateStart(const RunId &run) {
  auto starts = LateStarts.find(run.Task);
  if (starts == LateStarts.end())
    return;
  std::erase_if(starts->second,
                [&](const LateStart &it) { return it.Run == run.Number; });
  if (starts->second.empty())
    LateStarts.erase(starts);
}

void ShardState::forgetLateStarts(WorkerState &worker) {
  worker.UnansweredStarts.clear();
  worker.ListedLateStarts.clear();
  for (auto &[task, starts] : LateStarts)
    std::erase_if(starts, [&](const LateStart &it) {
      return it.Worker == worker.Profile.Id;
    });
  std::erase_if(LateStarts, [](const auto &it) { return it.second.empty(); });
}

/// How long a long-running task waits for late starts. The rest of the time
/// until its callers count it as lost is left for finding room.
constexpr base::Duration LongRunningHold = LostAfter - LongRunningWait;

/// Returns whether a late start may be carried out, or may have been by an
/// incarnation that has not answered since.
static bool mayAct(const LateStart &start, const WorkerState *worker,
                   const ShardOptions &options, TimePoint now) {
  if (now < start.Until)
    return true;
  if (now >= start.Until + longestLeaseLifetime(options))
    return false;
  // A worker that has left the directory may come back under its id.
  return !worker || !worker->TokenAnswered || worker->SilentSince ||
         worker->IncarnationSeenAt < start.Until;
}

void ShardState::updateLateStarts(TimePoint now) {
  // The lists are not shortened with each answer, which would cost a commit.
  // They end with the time in which the start may begin: each next owner waits
  // anew.
  for (auto &[id, w] : Workers) {
    std::erase_if(w->UnansweredStarts,
                  [&](const auto &it) { return now >= it.second; });
    if (w->UnansweredStarts.empty())
      w->ListedLateStarts.clear();
  }
  for (auto &[key, starts] : LateStarts) {
    const JobEntry *job = findJob(key.Job);
    bool longRunning = job && stepOf(*job, key).LongRunning;
    std::erase_if(starts, [&](LateStart &it) {
      auto found = Workers.find(it.Worker);
      const WorkerState *worker =
          found == Workers.end() ? nullptr : found->second.get();
      it.Ignored =
          longRunning && now >= it.Until - MaxCallDelay + LongRunningHold;
      return !mayAct(it, worker, Options, now);
    });
  }
  std::erase_if(LateStarts, [](const auto &it) { return it.second.empty(); });
}

bool ShardState::hasLateStart(const TaskKey &task) const {
  auto starts = LateStarts.find(task);
  return starts != LateStarts.end() &&
         std::any_of(starts->second.begin(), starts->second.end(),
                     [](const LateStart &it) { return !it.Ignored; });
}

void ShardState::listLateStart(WorkerState &worker, const TaskKey &task,
                               TimePoint until) {
  worker.UnansweredStarts[task] = until;
  std::vector<TaskKey> &listed = worker.ListedLateStarts;
  if (std::binary_search(listed.begin(), listed.end(), task))
    return;
  listed.clear();
  for (const auto &[key, end] : worker.UnansweredStarts)
    listed.push_back(key);
}

void ShardState::inheritLateStarts(const RosterEntry &row, TimePoint now) {
  auto worker = Workers.find(row.Id);
  // The clock of the earlier owner is not known, nor are the numbers of runs.
  TimePoint until = now + MaxCallDelay;
  for (const TaskKey &it : row.LateStarts) {
    LateStarts[it].push_back({0, row.Id, until});
    if (worker == Workers.end())
      continue;
    listLateStart(*worker->second, it, until);
    worker->second->StartsInDoubt[{it, 0}] = until;
  }
}

bool ShardState::mayStartOn(const WorkerState &worker, const TaskKey &task,
                            bool longRunning) const {
  auto starts = LateStarts.find(task);
  if (starts == LateStarts.end())
    return true;
  // The worker may restart after a short task is done there: the late start
  // would repeat it.
  return longRunning &&
         std::all_of(starts->second.begin(), starts->second.end(),
                     [&](const LateStart &it) {
                       return it.Ignored || it.Worker == worker.Profile.Id;
                     });
}

} // namespace endivedoor::dispatch::detail
