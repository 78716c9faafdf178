#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using base::TimePoint;
using detail::WorkerState;

namespace detail {

std::size_t ShardState::countUnstoredEnds(const WorkerState &worker) const {
  auto unstored = [&](const UnacknowledgedEnd &it) { return isUnstored(it); };
  return static_cast<std::size_t>(
      std::count_if(worker.UnacknowledgedEnds.begin(),
                    worker.UnacknowledgedEnds.end(), unstored) +
      std::count_if(worker.EndsBeforeRestart.begin(),
                    worker.EndsBeforeRestart.end(), unstored));
}

std::set<TaskKey>
ShardState::unstoredShortTasks(const WorkerState &worker) const {
  std::set<TaskKey> tasks;
  auto add = [&](const UnacknowledgedEnd &it) {
    // The job of an unstored end is known.
    if (isUnstored(it) && !stepOf(*findJob(it.Task.Job), it.Task).LongRunning)
      tasks.insert(it.Task);
  };
  for (const UnacknowledgedEnd &it : worker.UnacknowledgedEnds)
    add(it);
  for (const UnacknowledgedEnd &it : worker.EndsBeforeRestart)
    add(it);
  return tasks;
}

std::set<TaskKey> ShardState::tasksOn(const WorkerState &worker) const {
  std::set<TaskKey> tasks = unstoredShortTasks(worker);
  for (const auto &[run, held] : worker.Runs)
    tasks.insert(run.Task);
  for (const auto &[run, attempts] : worker.OrphanRuns)
    tasks.insert(run.Task);
  for (const auto &[task, starts] : LateStarts)
    if (std::any_of(starts.begin(), starts.end(), [&](const LateStart &it) {
          return it.Worker == worker.Profile.Id && !it.Ignored;
        }))
      tasks.insert(task);
  return tasks;
}

bool ShardState::mayForget(const WorkerState &worker) const {
  // A silent worker is waited for until its lease has ended, and a row that
  // cannot be read may be a run. The entry of an inherited worker may be yet to
  // come.
  bool answersWithNothingLeft = worker.Withdrawn && !worker.SilentSince &&
                                worker.UnacknowledgedEnds.empty() &&
                                worker.UnreadableEnds.empty() &&
                                worker.InvalidRow.empty();
  return !worker.Listed && !worker.UnverifiedUntil &&
         (!worker.Synced || answersWithNothingLeft) &&
         worker.UnansweredStarts.empty() && tasksOn(worker).empty();
}

void ShardState::updatePossibleTasks(WorkerState &worker) {
  if (worker.UsedInTerm != Term || worker.UnverifiedUntil)
    return;
  bool getsStarts = worker.Listed && worker.Synced && !worker.LongestLease &&
                    !worker.Profile.Draining && !worker.SilentSince && !Closing;
  if (getsStarts) {
    worker.PossibleTasks.reset();
    return;
  }
  // A row that cannot be read may be a run.
  if (!worker.UnreadableEnds.empty() ||
      (worker.Synced && !worker.InvalidRow.empty()))
    return;
  std::set<TaskKey> tasks = tasksOn(worker);
  std::optional<std::vector<TaskKey>> &listed = worker.PossibleTasks;
  // The list is not shortened with each end, which would cost a commit.
  if (listed && tasks.empty() == listed->empty() &&
      std::includes(listed->begin(), listed->end(), tasks.begin(), tasks.end()))
    return;
  listed.emplace(tasks.begin(), tasks.end());
}

void ShardState::updatePossibleTasks() {
  for (auto &[id, w] : Workers)
    updatePossibleTasks(*w);
}

} // namespace detail

/// Returns whether the roster has a row for the worker: this term or an earlier
/// one may have used it, or a start of one may still be carried out there.
static bool hasRow(const WorkerState &worker, std::int64_t term) {
  return worker.UsedInTerm == term || worker.UnverifiedUntil ||
         !worker.ListedLateStarts.empty();
}

static std::optional<std::chrono::milliseconds>
leaseLeft(const WorkerState &worker) {
  return worker.UnverifiedUntil ? worker.LeaseLeft : std::nullopt;
}

std::vector<RosterEntry> Shard::roster() const {
  std::vector<RosterEntry> roster;
  for (const auto &[id, w] : State->Workers)
    if (hasRow(*w, State->Term))
      roster.push_back({id, w->Profile.Endpoint, w->UsedInTerm,
                        w->PossibleTasks, leaseLeft(*w), w->Incarnation,
                        w->LongestLease, w->ListedLateStarts});
  return roster;
}

bool Shard::isRoster(const std::vector<RosterEntry> &roster) const {
  auto row = roster.begin();
  for (const auto &[id, w] : State->Workers) {
    if (!hasRow(*w, State->Term))
      continue;
    if (row == roster.end() || row->Id != id ||
        row->Endpoint != w->Profile.Endpoint || row->Term != w->UsedInTerm ||
        row->Tasks != w->PossibleTasks || row->LeaseLeft != leaseLeft(*w) ||
        row->Incarnation != w->Incarnation ||
        row->LongestLease != w->LongestLease ||
        row->LateStarts != w->ListedLateStarts)
      return false;
    ++row;
  }
  return row == roster.end();
}

void Shard::onRosterSent(const std::vector<RosterEntry> &roster) {
  std::map<base::WorkerId, const RosterEntry *> rows;
  for (const RosterEntry &it : roster)
    rows[it.Id] = &it;
  for (auto &[id, w] : State->Workers) {
    auto row = rows.find(id);
    bool used = row != rows.end() && row->second->Term == State->Term;
    w->MayHoldLease &= used;
    w->InRoster &= used && !row->second->Tasks;
  }
}

void Shard::onRosterStored(const std::vector<RosterEntry> &roster) {
  for (const RosterEntry &it : roster) {
    auto found = State->Workers.find(it.Id);
    if (found == State->Workers.end() || it.Term != State->Term)
      continue;
    found->second->MayHoldLease = true;
    found->second->InRoster = !it.Tasks;
  }
}

void Shard::close(TimePoint now) {
  State->Closing = true;
  State->updatePossibleTasks();
  // This term has requested no lease there: the next owner, whose node may have
  // started meanwhile, need not begin the wait anew.
  for (auto &[id, w] : State->Workers)
    if (w->UnverifiedUntil && w->UsedInTerm != State->Term)
      w->LeaseLeft = std::chrono::ceil<std::chrono::milliseconds>(
          std::max(base::Duration{0}, *w->UnverifiedUntil - now));
}

} // namespace endivedoor::dispatch
