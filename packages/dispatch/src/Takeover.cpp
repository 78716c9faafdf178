#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using base::EventCode;
using base::TimePoint;
using detail::ShardState;
using namespace std::chrono_literals;

namespace detail {

void ShardState::dropRuns(WorkerState &worker, const char *cause,
                          TimePoint now) {
  std::vector<RunId> lost;
  for (const auto &[id, held] : worker.Runs)
    lost.push_back(id);
  for (const RunId &it : lost) {
    JobEntry *job = nullptr;
    if (TaskEntry *task = findTask(it.Task, &job); task && job) {
      // The worker may have restarted unnoticed and refuses nothing then.
      for (const Run &run : task->Runs)
        if (run.Number == it.Number && run.Worker == &worker)
          noteLateStart(*job, it.Task, run, now);
      removeRun(*job, it.Task, it.Number, worker.Profile.Id, cause);
    }
    release(worker, it);
  }
  worker.OrphanRuns.clear();
  worker.UnverifiedUntil.reset();
  // The row of the earlier owner's term ends here. If ends have been read from
  // a part of the list, the next owner must ask the worker again.
  if (worker.UsedInTerm != Term && !unstoredShortTasks(worker).empty()) {
    std::set<TaskKey> tasks = tasksOn(worker);
    worker.UsedInTerm = Term;
    worker.PossibleTasks.emplace(tasks.begin(), tasks.end());
    worker.LeaseLeft.reset();
  }
  if (!lost.empty())
    Events.emit(EventCode::RunsLost, {{"worker", worker.Profile.Id.str()},
                                      {"cause", cause},
                                      {"runs", std::to_string(lost.size())}});
}

void ShardState::markLostWithLease(const WorkerState &worker) {
  for (const auto &[id, held] : worker.Runs)
    if (TaskEntry *task = findTask(id.Task))
      task->LostWithLease = true;
  if (!worker.UnverifiedUntil)
    return;
  if (!worker.PossibleTasks || PlannedAt < worker.TasksKnownAt)
    return markInheritedLost();
  for (const TaskKey &it : *worker.PossibleTasks)
    if (TaskEntry *task = findTask(it); task && task->Runs.empty())
      task->LostWithLease = true;
}

void ShardState::markInheritedLost() {
  for (JobEntry *job : LiveJobs) {
    if (!job->Inherited)
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (StepEntry &step : o.Steps)
        for (TaskEntry &it : step.Tasks)
          it.LostWithLease |= it.isPending() && it.Runs.empty();
  }
}

void ShardState::handleRestart(WorkerState &worker, const char *cause,
                               TimePoint now) {
  recordCrash(worker, true, now);
  std::vector<RunId> lost;
  for (const auto &[id, held] : worker.Runs) {
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(id.Task, &job);
    if (!task)
      continue;
    for (Run &it : task->Runs) {
      if (it.Number != id.Number || it.Worker != &worker)
        continue;
      if (it.Listed) {
        lost.push_back(id);
        continue;
      }
      // The command may have reached the restarted worker; its next list of
      // runs shows whether it did.
      it.Phase = RunPhase::Unconfirmed;
      it.PhaseSince = now;
      it.Stops = {};
      it.StopConfirmed.reset();
    }
  }
  for (const RunId &it : lost)
    if (JobEntry *job = findJob(it.Task.Job))
      removeRun(*job, it.Task, it.Number, worker.Profile.Id, cause);
  Events.emit(EventCode::WorkerRestarted,
              {{"worker", worker.Profile.Id.str()},
               {"born", std::to_string(worker.Profile.StartTime.count())},
               {"cause", cause},
               {"silent", worker.SilentSince ? "yes" : "no"},
               {"lost", std::to_string(lost.size())},
               {"doubtful", std::to_string(worker.Runs.size())},
               {"unstoredEnds", std::to_string(countUnstoredEnds(worker))}});
  worker.OrphanRuns.clear();
  worker.Synced = false;
  worker.Clock.reset();
  worker.RestartLeaseUntil = now + lateCallLifetime(Options);
  if (worker.TokenAnswered)
    renewToken(worker);
  if (worker.Incarnation)
    worker.Incarnation = 0ms;
  worker.LatestDeadline = WorkerTime{0};
  worker.PollDeadline = worker.ConfirmedDeadline = WorkerTime{0};
  worker.LastProcessedEnd = worker.AcknowledgedEnd = worker.ForgottenEnd = 0;
  std::copy_if(worker.UnacknowledgedEnds.begin(),
               worker.UnacknowledgedEnds.end(),
               std::back_inserter(worker.EndsBeforeRestart),
               [&](const UnacknowledgedEnd &it) { return isUnstored(it); });
  worker.UnacknowledgedEnds.clear();
  worker.UnreadableEnds.clear();
  worker.Trials = {};
  if (lost.empty() && worker.Runs.empty())
    return;
  Events.emit(EventCode::RunsLost,
              {{"worker", worker.Profile.Id.str()},
               {"cause", cause},
               {"runs", std::to_string(lost.size())},
               {"doubtful", std::to_string(worker.Runs.size())}});
}

void ShardState::adoptRun(WorkerState &worker, const RunStatus &row,
                          TimePoint now) {
  JobEntry *job = nullptr;
  TaskEntry *task = findReportedTask(row.Id.Task, &job, now);
  if (!task) {
    worker.OrphanRuns.emplace(row.Id, StopAttempts{});
    return;
  }
  if (worker.UsedInTerm == Term)
    Events.emit(EventCode::LateRunListed,
                {{"task", taskText(row.Id.Task)},
                 {"run", std::to_string(row.Id.Number)},
                 {"worker", worker.Profile.Id.str()},
                 {"born", std::to_string(worker.Profile.StartTime.count())},
                 {"running", std::to_string(task->Runs.size())}});
  const model::StepSpec &step = stepOf(*job, row.Id.Task);
  // An unwanted run still occupies capacity until it has been stopped.
  bool wanted =
      job->isLive() && task->isPending() &&
      (task->Runs.empty() || (step.Speculative && task->Runs.size() == 1));
  StepEntry &entry = job->Occurrences[row.Id.Task.Occurrence]
                         .Steps[static_cast<std::size_t>(row.Id.Task.Step)];
  if (task->Runs.empty() && task->isPending())
    --entry.WaitingCount;
  Run run;
  run.Worker = &worker;
  run.Number = row.Id.Number;
  run.Phase = wanted ? RunPhase::Running : RunPhase::Stopping;
  run.PhaseSince = run.Started = run.LastBusy = now;
  run.Adopted = run.Confirmed = run.Listed = true;
  run.SpeedPercent = run.OrderedPercent =
      step.LongRunning ? 100 : row.SpeedPercent;
  // Both may still run; which is the copy does not matter.
  task->Copied = task->Copied || !task->Runs.empty();
  task->Runs.push_back(run);
  task->LostWithLease = false;
  task->LastRun = std::max(task->LastRun, run.Number);
  if (run.Number >= task->UnresolvedRun)
    task->UnresolvedRun = 0;
  ++job->RunCount;
  ++entry.RunCount;
  markStarted(*job, now);
  reserve(worker, *job, row.Id.Task, run);
  if (task->isSuspect())
    worker.SuspectRuns.insert(row.Id);
}

void ShardState::updateHeldTasks() {
  HeldTasks.clear();
  for (const auto &[id, w] : Workers)
    if (w->UnverifiedUntil && w->PossibleTasks)
      HeldTasks.insert(w->PossibleTasks->begin(), w->PossibleTasks->end());
}

} // namespace detail

namespace {

/// Logs the rows of an inherited roster, some to a line.
class RosterLog {
public:
  RosterLog(base::EventLog &events, const ShardState &shard)
      : Events(events), Shard(shard) {}
  ~RosterLog() { flush(); }
  RosterLog(const RosterLog &) = delete;
  RosterLog &operator=(const RosterLog &) = delete;

  void add(const RosterEntry &row, base::Duration wait) {
    constexpr std::size_t rowsPerLine = 16;
    Text += (Text.empty() ? "" : " ") + row.Id.str() + ":" +
            std::to_string(row.Term) + ":" +
            (row.Tasks ? std::to_string(row.Tasks->size()) : "any") + ":" +
            std::to_string(std::max<std::int64_t>(0, wait / 1ms)) + "ms";
    if (++Rows == rowsPerLine)
      flush();
  }

private:
  void flush() {
    if (Rows > 0)
      Events.emit(EventCode::RosterRead,
                  {{"shard", std::to_string(Shard.Number)},
                   {"term", std::to_string(Shard.Term)},
                   {"rows", Text}});
    Rows = 0;
    Text.clear();
  }

  base::EventLog &Events;
  const ShardState &Shard;
  std::string Text;
  std::size_t Rows = 0;
};

} // namespace

void Shard::markUnverified(const std::vector<RosterEntry> &roster,
                           const std::vector<FormerTerm> &former,
                           TimePoint now) {
  detail::ShardState &s = *State;
  base::Duration leases = detail::maxLeaseLifetime(s.Options);
  base::Duration longestLeases = detail::longestLeaseLifetime(s.Options);
  base::Duration lateCalls = detail::lateCallLifetime(s.Options);
  base::Duration permission = detail::maxPermissionLifetime(s.Options);
  RosterLog log(s.Events, s);
  for (const RosterEntry &it : roster) {
    std::int64_t term = it.Term > 0 ? it.Term : s.Term - 1;
    // The owner of that term, and earlier ones that may still act: the worker
    // may have restarted and forgotten the higher token.
    TimePoint replaced = now;
    for (const FormerTerm &f : former)
      if (f.Number >= term)
        replaced = std::min(replaced, f.ReplacedAt);
    auto known = s.Workers.find(it.Id);
    // The worker's entry shows a restart that the earlier owner may not know
    // of.
    bool announced = known != s.Workers.end() &&
                     detail::isOtherIncarnation(
                         it.Incarnation, known->second->Profile.StartTime);
    bool restarted = announced || it.Incarnation == 0ms;
    base::Duration lifetime = restarted         ? lateCalls
                              : it.LongestLease ? longestLeases
                                                : leases;
    TimePoint until = replaced + lifetime;
    TimePoint lastCall = replaced;
    TimePoint tasksKnownAt{};
    for (const FormerTerm &f : former) {
      if (!f.MayAct || f.Number > term || f.ReplacedAt + permission <= now)
        continue;
      lastCall = std::max(lastCall, f.ReplacedAt + permission);
      until = std::max(until, restarted ? lastCall + lateCalls : lastCall);
      if (f.Number < term)
        tasksKnownAt = std::max(tasksKnownAt, f.ReplacedAt + permission);
    }
    if (it.LeaseLeft && !announced)
      until = std::min<TimePoint>(until, now + *it.LeaseLeft);
    log.add(it, until - now);
    if (until <= now) {
      auto &incarnation = known != s.Workers.end()
                              ? known->second->Incarnation
                              : s.FormerIncarnations[it.Id];
      incarnation = restarted || it.LongestLease ? 0ms : it.Incarnation;
      if (!it.LateStarts.empty()) {
        // It has no runs, but a later owner must know of the starts too.
        detail::WorkerState &w = s.workerEntry(it.Id);
        w.Profile.Id = it.Id;
        w.Profile.Endpoint = it.Endpoint;
        w.UsedInTerm = it.Term;
        w.PossibleTasks.emplace();
        s.inheritLateStarts(it, now);
      }
      continue;
    }
    detail::WorkerState &w = s.workerEntry(it.Id);
    w.Profile.Id = it.Id;
    w.Profile.Endpoint = it.Endpoint;
    w.UsedInTerm = it.Term;
    w.PossibleTasks = it.Tasks;
    w.TasksKnownAt = tasksKnownAt;
    w.UnverifiedUntil = until;
    w.UnverifiedUntilIfRestarted = std::max(until, lastCall + lateCalls);
    w.Incarnation = announced ? 0ms : it.Incarnation;
    w.LongestLease = it.LongestLease;
    s.inheritLateStarts(it, now);
  }
}

std::string Shard::describeUnverified(TimePoint now) const {
  constexpr std::size_t maxWorkers = 20;
  std::string text;
  std::size_t n = 0;
  for (const auto &[id, w] : State->Workers) {
    if (!w->UnverifiedUntil)
      continue;
    if (++n > maxWorkers)
      return text + " and others";
    text +=
        (n > 1 ? " " : "") + id.str() + ":" + std::to_string(w->UsedInTerm) +
        ":" + std::to_string((*w->UnverifiedUntil - now) / 1ms) + "ms:" +
        (w->PossibleTasks ? std::to_string(w->PossibleTasks->size()) : "any") +
        (now < w->TasksKnownAt ? "?" : "") +
        (w->Incarnation == 0ms ? ":restarted" : "");
  }
  return text;
}

void Shard::markRosterUnknown(TimePoint now) {
  State->RosterUnknownUntil =
      now + std::max(detail::maxLeaseLifetime(State->Options),
                     detail::maxPermissionLifetime(State->Options));
}

bool Shard::isRosterUnknown() const {
  return State->RosterUnknownUntil.has_value();
}

void Shard::onEarlierOwnersEnded(TimePoint now) {
  detail::ShardState &s = *State;
  TimePoint until = now + detail::maxLeaseLifetime(s.Options);
  TimePoint longest = now + detail::longestLeaseLifetime(s.Options);
  TimePoint lateCalls = now + detail::lateCallLifetime(s.Options);
  for (auto &[id, w] : s.Workers) {
    w->UnverifiedUntilIfRestarted =
        std::min(w->UnverifiedUntilIfRestarted, lateCalls);
    if (w->UnverifiedUntil)
      w->UnverifiedUntil =
          std::min(*w->UnverifiedUntil, w->Incarnation == 0ms ? lateCalls
                                        : w->LongestLease     ? longest
                                                              : until);
    w->TasksKnownAt = std::min(w->TasksKnownAt, until);
  }
}

} // namespace endivedoor::dispatch
