#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using base::EventCode;
using base::TimePoint;
using detail::JobEntry;
using detail::Run;
using detail::RunPhase;
using detail::TaskEntry;
using detail::WorkerState;
using namespace std::chrono_literals;

/// A worker on which a start failed gets no other start for this long.
constexpr auto CommandFailureBackoff = 500ms;
/// Factor by which each successful run lowers a worker's failure score.
constexpr double FailureDecay = 0.7;
/// Failure score from which a worker is avoided.
constexpr double FailureThreshold = 2.5;
/// How long a failing worker is avoided, per unit of its failure score.
constexpr auto AvoidTimePerFailure = 1500ms;
/// How long an end whose row cannot be read stays unacknowledged. Longer than
/// some idle polls, so that a row that was damaged on the way is read again;
/// the list of the worker must not fill up behind it.
constexpr auto UnreadableEndTimeout = 10s;
/// Longest time for which ends are not acknowledged because starts are in
/// doubt. Longer than one start is; well below the time in which the list of a
/// worker, of 500 rows, fills up.
constexpr auto MaxEndsHold = 2 * MaxCallDelay;
/// Upper bound of the failure score that counts for the avoidance time.
constexpr double MaxCountedFailures = 4;

namespace detail {

std::optional<WorkerTime> ShardState::workerClock(const WorkerState &worker,
                                                  TimePoint now) const {
  if (!worker.Clock)
    return std::nullopt;
  return worker.Clock->Clock +
         std::chrono::duration_cast<WorkerTime>(now - worker.Clock->ReceivedAt);
}

void ShardState::reserve(WorkerState &worker, JobEntry &job,
                         const TaskKey &task, const Run &run) {
  const model::StepSpec &step = stepOf(job, task);
  base::Resources size = step.Size;
  if (step.Filler) {
    worker.FillerCpu += count(size.Cpu);
    size.Cpu = base::MilliCores{0};
  } else if (step.LongRunning) {
    worker.LongRunningCpu += count(size.Cpu);
    worker.LongRunningMemory += count(size.Memory);
    if (step.Target.count() > 0)
      worker.Serving.emplace(step.Image, step.Target);
  }
  worker.Used += size;
  auto [held, added] = worker.Runs.emplace(
      RunId{task, run.Number},
      RunReservation{size, &job, &step, run.Started, run.Adopted});
  if (added)
    addUse(held->second);
  worker.ServedCache.reset();
  worker.EndsCache.reset();
}

void ShardState::release(WorkerState &worker, const RunId &run) {
  auto it = worker.Runs.find(run);
  if (it == worker.Runs.end())
    return;
  const model::StepSpec &step = *it->second.Step;
  worker.Used -= it->second.Size;
  removeUse(it->second);
  worker.Runs.erase(it);
  worker.SuspectRuns.erase(run);
  worker.ServedCache.reset();
  worker.EndsCache.reset();
  RoomsChanged = RoomsChanged || step.LongRunning;
  if (step.Filler)
    worker.FillerCpu -= count(step.Size.Cpu);
  if (step.Filler || !step.LongRunning)
    return;
  worker.LongRunningCpu -= count(step.Size.Cpu);
  worker.LongRunningMemory -= count(step.Size.Memory);
  auto serving = worker.Serving.find(step.Image);
  if (step.Target.count() > 0 && serving != worker.Serving.end())
    worker.Serving.erase(serving);
}

/// Names the outcome that a worker reported, for the log.
static const char *reportedOutcome(RunOutcome outcome) {
  switch (outcome) {
  case RunOutcome::Done:
    return "reported done";
  case RunOutcome::Failed:
    return "reported failed";
  case RunOutcome::Stopped:
    return "reported stopped";
  case RunOutcome::LeaseExpired:
    return "reported lapsed";
  case RunOutcome::GangBroken:
  case RunOutcome::GangIncomplete:
    return "reported with its gang";
  }
  return "reported";
}

void ShardState::queueAcknowledgement(WorkerState &worker, std::int64_t end,
                                      const TaskKey &task,
                                      std::uint64_t version) {
  std::deque<UnacknowledgedEnd> &ends = worker.UnacknowledgedEnds;
  auto at = std::find_if(
      ends.rbegin(), ends.rend(),
      [&](const UnacknowledgedEnd &it) { return it.SequenceNumber < end; });
  ends.insert(at.base(), {end, task, version, std::nullopt});
}

bool ShardState::isUnstored(const UnacknowledgedEnd &end) const {
  const JobEntry *job = findJob(end.Task.Job);
  return job && job->State != model::JobState::Cancelled &&
         job->StoredVersion < end.Version;
}

void ShardState::processEnds(WorkerState &worker, const PollReport &report,
                             TimePoint now) {
  for (std::int64_t it : report.UnreadableEnds)
    if (it > worker.LastProcessedEnd)
      worker.UnreadableEnds.emplace(it, now);
  for (const EndedRun &it : report.Ended)
    if (worker.UnreadableEnds.erase(it.SequenceNumber) > 0 ||
        it.SequenceNumber > worker.LastProcessedEnd)
      processEnd(worker, it, now);
  std::erase_if(worker.UnreadableEnds, [&](const auto &it) {
    if (now - it.second < UnreadableEndTimeout)
      return false;
    Events.emit(EventCode::WorkerRowInvalid,
                {{"worker", worker.Profile.Id.str()},
                 {"end", std::to_string(it.first)},
                 {"action", "acknowledged unread"}});
    worker.LastProcessedEnd = std::max(worker.LastProcessedEnd, it.first);
    queueAcknowledgement(worker, it.first, {}, 0);
    return true;
  });
}

void ShardState::processEnd(WorkerState &worker, const EndedRun &end,
                            TimePoint now) {
  worker.LastProcessedEnd =
      std::max(worker.LastProcessedEnd, end.SequenceNumber);
  worker.OrphanRuns.erase(end.Id);
  worker.StartsInDoubt.erase(end.Id);
  forgetLateStart(end.Id);
  JobEntry *job = nullptr;
  TaskEntry *task = findReportedTask(end.Id.Task, &job, now);
  if (!task) {
    Events.emit(EventCode::RunEnded,
                {{"task", taskText(end.Id.Task)},
                 {"run", std::to_string(end.Id.Number)},
                 {"worker", worker.Profile.Id.str()},
                 {"how", std::to_string(static_cast<int>(end.Outcome))},
                 {"end", std::to_string(end.SequenceNumber)},
                 {"born", std::to_string(worker.Profile.StartTime.count())},
                 {"known", "no"}});
    queueAcknowledgement(worker, end.SequenceNumber, {}, 0);
    return;
  }
  const model::StepSpec &step = stepOf(*job, end.Id.Task);
  TimePoint started = now;
  bool wholeRun = false;
  auto isEnded = [&](const Run &it) {
    return it.Number == end.Id.Number && it.Worker == &worker;
  };
  for (const Run &it : task->Runs)
    if (isEnded(it)) {
      started = it.Started;
      wholeRun = !it.Adopted && !it.Resumed;
    }
  if (wholeRun && end.Outcome == RunOutcome::Done && !step.LongRunning) {
    auto expected =
        expectedTime(*job, static_cast<std::size_t>(end.Id.Task.Step), 0.5);
    if (expected.count() > 0)
      MetricsRegistry.observeRunTime(
          std::chrono::duration<double>(now - started) / expected);
    LearnedTimes.record({job->Job.Queue, end.Id.Task.Step, step.Image},
                        now - started);
  }
  if (end.Outcome == RunOutcome::Failed)
    worker.Trials.onFailed(end.Id, now);
  if (std::none_of(task->Runs.begin(), task->Runs.end(), isEnded))
    task->addEnding(end.Id.Number, reportedOutcome(end.Outcome));
  removeRun(*job, end.Id.Task, end.Id.Number, worker.Profile.Id,
            reportedOutcome(end.Outcome));
  task->LastRun = std::max(task->LastRun, end.Id.Number);
  if (end.Id.Number >= task->UnresolvedRun)
    task->UnresolvedRun = 0;
  markStarted(*job, now);
  if (!end.Checkpoint.empty())
    task->Checkpoint = end.Checkpoint;
  bool progressed = false;
  if (end.Outcome == RunOutcome::Done && !step.LongRunning && !task->Done) {
    Occurrence &o = job->Occurrences[end.Id.Task.Occurrence];
    auto finishTask = [&](TaskEntry &t, StepEntry &entry) {
      if (t.Done)
        return;
      t.Done = true;
      ++entry.DoneCount;
      if (t.Runs.empty())
        --entry.WaitingCount;
    };
    StepEntry &entry = o.Steps[static_cast<std::size_t>(end.Id.Task.Step)];
    // The end of one member of a gang completes all members.
    if (step.Gang)
      for (TaskEntry &it : entry.Tasks)
        finishTask(it, entry);
    else
      finishTask(*task, entry);
    if (!step.Gang && !task->Runs.empty())
      Events.emit(EventCode::CopyDecided,
                  {{"task", taskText(end.Id.Task)},
                   {"run", std::to_string(end.Id.Number)},
                   {"stopped", std::to_string(task->Runs.front().Number)}});
    worker.FailureScore *= FailureDecay;
    checkComplete(*job, o);
    progressed = true;
  } else if (end.Outcome == RunOutcome::Failed) {
    // Consecutive failures of one job count once: a broken job fails on every
    // worker and says nothing about this one.
    if (worker.LastFailedJob != end.Id.Task.Job)
      worker.FailureScore += 1;
    worker.LastFailedJob = end.Id.Task.Job;
    if (worker.FailureScore >= FailureThreshold)
      worker.avoid(std::chrono::duration_cast<base::Duration>(
                       AvoidTimePerFailure *
                       std::min(worker.FailureScore, MaxCountedFailures)),
                   now);
    bool known = std::find(task->FailedRuns.begin(), task->FailedRuns.end(),
                           end.Id.Number) != task->FailedRuns.end();
    if (!step.LongRunning && !known) {
      task->FailedRuns.push_back(end.Id.Number);
      progressed = true;
      if (static_cast<std::int32_t>(task->FailedRuns.size()) >=
          job->Job.Policy.MaxAttempts)
        finishJob(*job, model::JobState::Failed);
    }
  }
  Events.emit(EventCode::RunEnded,
              {{"task", taskText(end.Id.Task)},
               {"run", std::to_string(end.Id.Number)},
               {"worker", worker.Profile.Id.str()},
               {"how", std::to_string(static_cast<int>(end.Outcome))},
               {"end", std::to_string(end.SequenceNumber)},
               {"ms", std::to_string((now - started) / 1ms)},
               {"born", std::to_string(worker.Profile.StartTime.count())}});
  // The final record of a cancelled job has already been stored.
  if (progressed && job->State != model::JobState::Cancelled)
    markDirty(*job);
  // Also an end that changes nothing waits for what other ends of the job have
  // changed: the next owner may read them from this list only.
  queueAcknowledgement(worker, end.SequenceNumber, end.Id.Task, job->Version);
}

void ShardState::confirmRun(JobEntry &job, TaskEntry &task, Run &run,
                            TimePoint now) {
  run.Phase = RunPhase::Running;
  run.PhaseSince = now;
  run.Confirmed = true;
  // A later wait is another one. A start that fails goes on with this one.
  task.WaitingSince.reset();
  markStarted(job, now);
}

void ShardState::processRunning(WorkerState &worker, const PollReport &report,
                                TimePoint sent, TimePoint now) {
  std::set<RunId> listed;
  for (const RunStatus &row : report.Running) {
    listed.insert(row.Id);
    worker.StartsInDoubt.erase(row.Id);
    forgetLateStart(row.Id);
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(row.Id.Task, &job);
    Run *run = nullptr;
    if (task)
      for (Run &it : task->Runs)
        if (it.Number == row.Id.Number && it.Worker == &worker)
          run = &it;
    if (!run) {
      if (!worker.OrphanRuns.contains(row.Id))
        adoptRun(worker, row, now);
      continue;
    }
    if (run->Phase == RunPhase::Unconfirmed)
      Events.emit(EventCode::UnconfirmedRunListed,
                  {{"task", taskText(row.Id.Task)},
                   {"run", std::to_string(row.Id.Number)},
                   {"worker", worker.Profile.Id.str()},
                   {"born", std::to_string(worker.Profile.StartTime.count())},
                   {"ms", std::to_string((now - run->Started) / 1ms)}});
    if (run->Phase == RunPhase::Starting ||
        run->Phase == RunPhase::Unconfirmed) {
      confirmRun(*job, *task, *run, now);
    }
    run->Listed = true;
    worker.Trials.onListed(row.Id);
    if (stepOf(*job, row.Id.Task).LongRunning && !run->Passed &&
        now - run->Started >= TrialTime) {
      run->Passed = true;
      worker.FailureScore *= FailureDecay;
    }
    run->PossibleCrash.reset();
    // The worker was unreachable for a while but has not crashed.
    if (!task->isSuspect() && task->Crashes.AnnouncedRun == run->Number) {
      task->Crashes.AnnouncedRun = 0;
      markDirty(*job);
    }
    run->SpeedPercent = row.SpeedPercent;
    run->HasGauge = row.HasGauge;
    run->Gauge = row.Gauge;
    if (!row.HasGauge || row.Gauge > 0 || run->OrderedPercent < 100)
      run->LastBusy = now;
    if (!row.Checkpoint.empty())
      task->Checkpoint = row.Checkpoint;
  }
  // The missing run may be one whose end cannot be read, or one that a late
  // call is yet to start.
  if (report.MoreEnded || report.RunningIncomplete ||
      !worker.UnreadableEnds.empty() || !worker.TokenAnswered)
    return;
  // Runs that the worker must know of but reports neither as running nor as
  // ended.
  std::vector<RunId> missing;
  for (const auto &[id, held] : worker.Runs) {
    if (listed.contains(id))
      continue;
    TaskEntry *task = findTask(id.Task);
    if (!task)
      continue;
    for (const Run &it : task->Runs) {
      if (it.Number != id.Number || it.Worker != &worker)
        continue;
      bool confirmed = it.Phase == RunPhase::Running && it.PhaseSince < sent;
      bool stopped = it.StopConfirmed && *it.StopConfirmed < sent;
      if (confirmed || stopped || isStartRefused(worker, it))
        missing.push_back(id);
    }
  }
  for (const RunId &it : missing) {
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(it.Task, &job);
    if (!task)
      continue;
    const char *evidence = "not listed";
    for (const Run &run : task->Runs) {
      if (run.Number != it.Number || run.Worker != &worker)
        continue;
      if (run.StopConfirmed)
        evidence = "stop confirmed, not listed";
      else if (isStartRefused(worker, run))
        evidence = "start refused from now on, not listed";
      if (run.PossibleCrash)
        countCrash(*job, it.Task, *task, run, *run.PossibleCrash, now);
      noteLateStart(*job, it.Task, run, now);
    }
    removeRun(*job, it.Task, it.Number, worker.Profile.Id, evidence);
  }
  std::erase_if(worker.OrphanRuns,
                [&](const auto &it) { return !listed.contains(it.first); });
}

base::Duration ShardState::leaseDuration(TimePoint now) const {
  return std::min<base::Duration>(Options.LeaseDuration, PermissionEnd - now);
}

WorkerTime ShardState::startDeadline(const WorkerState &worker,
                                     TimePoint now) const {
  WorkerTime clock = *workerClock(worker, now);
  // A short deadline is safe only if the worker already holds a lease until the
  // poll after the current one. That may be late if this process was.
  auto nextPoll = std::max(worker.PollSent + MaxPollCycle,
                           now + Options.StartDeadline + PollDelayMargin);
  bool holdsLease = worker.ConfirmedDeadline >= *workerClock(worker, nextPoll);
  if (!holdsLease)
    return clock + std::chrono::floor<WorkerTime>(leaseDuration(now));
  TimePoint end =
      std::min({now + Options.StartDeadline, StartsValidUntil, PermissionEnd});
  return clock + std::chrono::duration_cast<WorkerTime>(end - now);
}

void ShardState::onStopConfirmed(WorkerState &worker, const RunId &run,
                                 TimePoint now) {
  auto it = worker.Runs.find(run);
  if (it == worker.Runs.end() || it->second.StopConfirmed)
    return;
  it->second.StopConfirmed = now;
  worker.EndsCache.reset();
  RoomsChanged = true;
  RoomOpened |= it->second.Step->LongRunning && areRoomsWanted();
}

void ShardState::expireLeases(TimePoint now) {
  if (RosterUnknownUntil && now >= *RosterUnknownUntil) {
    RosterUnknownUntil.reset();
    markInheritedLost();
  }
  for (auto &[id, w] : Workers) {
    if (w->LongestLeaseUntil && now >= *w->LongestLeaseUntil) {
      w->LongestLeaseUntil.reset();
      w->LongestLease = false;
    }
    // The worker answers, but a skipped row may be a run of an inherited task.
    if (w->Synced && w->UnverifiedUntil && now >= *w->UnverifiedUntil)
      w->UnverifiedUntil.reset();
    if (w->UnverifiedUntil && now >= *w->UnverifiedUntil) {
      markLostWithLease(*w);
      dropRuns(*w, "lease of an earlier owner expired", now);
    }
    bool hasRuns = !w->Runs.empty() || !w->OrphanRuns.empty();
    if (w->RestartLeaseUntil && now >= *w->RestartLeaseUntil) {
      w->RestartLeaseUntil.reset();
      if (!w->Clock && hasRuns) {
        markLostWithLease(*w);
        dropRuns(*w, "no answer since the worker restarted", now);
        continue;
      }
    }
    if (!w->Clock || !(hasRuns || (w->SilentSince && w->Synced)))
      continue;
    auto leaseLeft = std::chrono::duration<double, std::milli>(
                         w->LatestDeadline - w->Clock->Clock) *
                     MaxClockDriftFactor;
    if (now < w->Clock->ReceivedAt +
                  std::chrono::duration_cast<base::Duration>(leaseLeft) +
                  LeaseExpiryMargin)
      continue;
    w->Synced = false;
    markLostWithLease(*w);
    dropRuns(*w, "worker lease expired", now);
  }
  // What only this owner knows of a worker stays in the roster until it is
  // stored.
  for (auto it = Workers.begin(); it != Workers.end();) {
    WorkerState &w = *it->second;
    std::erase_if(w.EndsBeforeRestart, [&](const UnacknowledgedEnd &end) {
      return !isUnstored(end);
    });
    if (!mayForget(w)) {
      ++it;
      continue;
    }
    Events.emit(EventCode::WorkerForgotten,
                {{"worker", it->first.str()},
                 {"unstoredEnds", std::to_string(countUnstoredEnds(w))}});
    FormerIncarnations[it->first] = w.LongestLease ? 0ms : w.Incarnation;
    ForgottenGeneration = std::max(ForgottenGeneration, w.Generation);
    it = Workers.erase(it);
  }
}

void ShardState::endSilence(WorkerState &worker, TimePoint now) {
  worker.SilentSince.reset();
  worker.Refused = false;
  for (const auto &[id, held] : worker.Runs) {
    TaskEntry *task = findTask(id.Task);
    if (!task)
      continue;
    for (Run &it : task->Runs) {
      if (it.Number != id.Number || it.Worker != &worker)
        continue;
      // It is not known whether the run was idle during the silence.
      it.LastBusy = now;
      it.Stops.Unanswered = 0;
    }
  }
  for (auto &[run, attempts] : worker.OrphanRuns)
    attempts.Unanswered = 0;
  Events.emit(EventCode::WorkerHeard, {{"worker", worker.Profile.Id.str()}});
}

} // namespace detail

void Shard::updateWorker(const model::WorkerProfile &profile, TimePoint now) {
  detail::ShardState &s = *State;
  WorkerState &w = s.workerEntry(profile.Id);
  bool restarted = w.Profile.StartTime.count() != 0 &&
                   profile.StartTime > w.Profile.StartTime;
  // The directory entry may be older than the worker's own latest answer.
  std::chrono::milliseconds startTime =
      std::max(profile.StartTime, w.Profile.StartTime);
  if (profile.Draining != w.Profile.Draining || !w.Listed)
    s.Events.emit(base::EventCode::WorkerOffered,
                  {{"worker", profile.Id.str()},
                   {"zone", profile.Zone.str()},
                   {"draining", profile.Draining ? "yes" : "no"},
                   {"shard", std::to_string(s.Number)}});
  if (startTime > w.Profile.StartTime)
    w.IncarnationKnownAt = now;
  w.Profile = profile;
  w.Profile.StartTime = startTime;
  w.EntryStartTime = profile.StartTime;
  w.Listed = true;
  w.Withdrawn = false;
  s.checkInheritedIncarnation(w, profile.StartTime);
  if (restarted)
    s.handleRestart(w, "worker restarted", now);
  s.updatePossibleTasks(w);
  s.RoomsChanged = true;
}

void Shard::unlistWorker(const base::WorkerId &worker) {
  auto it = State->Workers.find(worker);
  if (it == State->Workers.end() || !it->second->Listed)
    return;
  it->second->Listed = false;
  it->second->Withdrawn = true;
  State->Events.emit(base::EventCode::WorkerWithdrawn,
                     {{"worker", worker.str()},
                      {"runs", std::to_string(it->second->Runs.size())},
                      {"unstoredEnds",
                       std::to_string(State->countUnstoredEnds(*it->second))}});
  if (it->second->Runs.empty())
    it->second->Synced = false;
}

std::vector<WorkerRef> Shard::workers() const {
  std::vector<WorkerRef> refs;
  for (const auto &[id, w] : State->Workers)
    refs.push_back(w->ref());
  return refs;
}

bool Shard::hasWorker(const base::WorkerId &worker) const {
  return State->Workers.contains(worker);
}

std::optional<PlannedPoll> Shard::nextPoll(const base::WorkerId &worker,
                                           TimePoint now,
                                           bool mayExtendLeases) {
  auto it = State->Workers.find(worker);
  if (it == State->Workers.end())
    return std::nullopt;
  WorkerState &w = *it->second;
  // The poll may reach a later incarnation than the one that is known.
  bool isKnown = w.TokenAnswered && !w.SilentSince;
  // A start may have been carried out after the latest answer.
  std::erase_if(w.StartsInDoubt, [&](const auto &it) {
    return w.IncarnationSeenAt >= it.second;
  });
  bool hasEnds =
      !w.UnacknowledgedEnds.empty() || w.AcknowledgedEnd > w.ForgottenEnd;
  if (w.StartsInDoubt.empty())
    w.EndsHeldSince.reset();
  else if (!w.EndsHeldSince && hasEnds)
    w.EndsHeldSince = now;
  // Where many starts get no answer, one is always in doubt; the list of the
  // worker must not fill up meanwhile.
  bool mayAcknowledge =
      isKnown && (w.StartsInDoubt.empty() ||
                  (w.EndsHeldSince && now - *w.EndsHeldSince >= MaxEndsHold));
  std::string acknowledged;
  while (mayAcknowledge && !w.UnacknowledgedEnds.empty()) {
    const detail::UnacknowledgedEnd &end = w.UnacknowledgedEnds.front();
    if (!w.UnreadableEnds.empty() &&
        w.UnreadableEnds.begin()->first < end.SequenceNumber)
      break;
    if (State->isUnstored(end))
      break;
    w.AcknowledgedEnd = end.SequenceNumber;
    acknowledged +=
        (acknowledged.empty() ? "" : " ") + std::to_string(end.SequenceNumber);
    if (end.StoredAt)
      acknowledged += ":" + std::to_string((now - *end.StoredAt) / 1ms);
    w.UnacknowledgedEnds.pop_front();
  }
  if (!acknowledged.empty())
    State->Events.emit(
        base::EventCode::EndsAcknowledged,
        {{"worker", worker.str()},
         {"born", std::to_string(w.Profile.StartTime.count())},
         {"ends", acknowledged},
         {"token", std::to_string(base::toNumber(State->tokenOf(w)))}});
  PlannedPoll plan;
  plan.Worker = w.ref();
  plan.Synced = w.Synced;
  plan.HasRuns = !w.Runs.empty();
  plan.Silent = w.SilentSince.has_value();
  plan.OnTrial = now < w.AvoidUntil && State->areRoomsWanted();
  plan.Request.Token = w.PollToken = State->tokenOf(w);
  // A worker that has restarted numbers its ends from 1 again and would discard
  // those up to an old number unread.
  plan.Request.ForgottenEnd = isKnown ? w.AcknowledgedEnd : 0;
  if (mayAcknowledge && w.AcknowledgedEnd > w.ForgottenEnd)
    plan.Request.AcknowledgedEnd = w.AcknowledgedEnd;
  w.AcknowledgementInFlight = plan.Request.AcknowledgedEnd > 0;
  if (w.AcknowledgementInFlight)
    w.EndsHeldSince.reset();
  plan.EndsHeld =
      !mayAcknowledge && hasEnds &&
      std::any_of(w.StartsInDoubt.begin(), w.StartsInDoubt.end(),
                  [](const auto &it) { return it.second != TimePoint::max(); });
  plan.Request.IncarnationSeenAt = w.IncarnationSeenAt;
  std::optional<WorkerTime> clock = State->workerClock(w, now);
  // A worker without runs gets a lease too: it may wait with its answer for
  // longer than a start command that arrives meanwhile is valid. A poll of a
  // silent worker requests none: any lease that was sent counts as received, so
  // the runs of a lost worker would never count as ended.
  base::Duration lease = State->leaseDuration(now);
  // A roster that cannot be read allows any lease: the next owner waits for the
  // longest.
  bool allowed = w.MayHoldLease || State->RosterUnknownUntil;
  if (mayExtendLeases && allowed && clock && isKnown && lease > 0ms) {
    plan.Request.Deadline = *clock + std::chrono::floor<WorkerTime>(lease);
    w.LatestDeadline = std::max(w.LatestDeadline, plan.Request.Deadline);
  }
  w.PollSent = now;
  w.PollDeadline = plan.Request.Deadline;
  return plan;
}

void Shard::onPollFailed(const base::WorkerId &worker, const std::string &cause,
                         TimePoint now, bool refused) {
  auto it = State->Workers.find(worker);
  if (it == State->Workers.end())
    return;
  WorkerState &w = *it->second;
  bool wasSilent = w.SilentSince.has_value();
  if (!wasSilent) {
    w.SilentSince = now;
    State->renewToken(w);
  }
  w.AcknowledgementInFlight = false;
  if (refused && !w.Refused) {
    w.Refused = true;
    State->announceLoss(w);
  }
  if (wasSilent)
    return;
  State->Events.emit(base::EventCode::WorkerSilent,
                     {{"worker", worker.str()},
                      {"cause", cause},
                      {"pollMs", std::to_string((now - w.PollSent) / 1ms)},
                      {"lastEnd", std::to_string(w.LastProcessedEnd)},
                      {"acknowledgedEnd", std::to_string(w.AcknowledgedEnd)},
                      {"draining", w.Profile.Draining ? "yes" : "no"},
                      {"runs", std::to_string(w.Runs.size())}});
}

void Shard::onPoll(const base::WorkerId &worker, const PollReport &report,
                   TimePoint sent, TimePoint received) {
  detail::ShardState &s = *State;
  auto it = s.Workers.find(worker);
  if (it == s.Workers.end())
    return;
  WorkerState &w = *it->second;
  w.AcknowledgementInFlight = false;
  if (report.Fenced) {
    s.Fenced |= w.PollToken == s.tokenOf(w);
    return;
  }
  if (report.WrongIncarnation) {
    // Commands carry the id of the worker they are meant for, so the worker
    // that answered has carried out none of them.
    s.recordCrash(w, false, received);
    s.dropRuns(w, "different worker instance answered", received);
    s.forgetLateStarts(w);
    s.handleRestart(w, "different worker instance answered", received);
    return;
  }
  // A poll that was sent later can no longer be answered by an earlier
  // incarnation; then the start time in the entry was wrong.
  if (report.StartTime.count() != 0 && report.StartTime < w.Profile.StartTime &&
      sent <= w.IncarnationKnownAt) {
    s.Events.emit(base::EventCode::WorkerAnswerOutdated,
                  {{"worker", worker.str()},
                   {"start", std::to_string(report.StartTime.count())},
                   {"current", std::to_string(w.Profile.StartTime.count())}});
    return;
  }
  if (w.PollDeadline.count() != 0)
    w.ConfirmedDeadline = w.PollDeadline;
  if (w.Profile.StartTime.count() != 0 && report.StartTime.count() != 0 &&
      report.StartTime != w.Profile.StartTime) {
    s.handleRestart(w, "worker reported a new start time", received);
    w.IncarnationKnownAt = received;
  }
  w.IncarnationSeenAt = sent;
  if (w.SilentSince)
    s.endSilence(w, received);
  if (report.StartTime.count() != 0)
    w.Profile.StartTime = report.StartTime;
  if (report.InvalidRow != w.InvalidRow && !report.InvalidRow.empty())
    s.Events.emit(base::EventCode::WorkerRowInvalid,
                  {{"worker", worker.str()}, {"row", report.InvalidRow}});
  w.InvalidRow = report.InvalidRow;
  w.Clock = detail::ClockSample{report.Clock, received};
  // An answer to an earlier token tells what runs, but calls for an earlier
  // incarnation may still act.
  bool current = w.PollToken >= s.fenceOf(w);
  if (current) {
    w.AnsweredToken = w.PollToken;
    w.ForgottenEnd = std::max(w.ForgottenEnd, report.AcknowledgedEnd);
  }
  if (current && !w.TokenAnswered)
    s.onTokenAnswered(w, report.StartTime, report.Clock, received);
  if (w.RestartLeaseUntil)
    w.LatestDeadline =
        std::max(w.LatestDeadline,
                 report.Clock +
                     std::chrono::ceil<WorkerTime>(std::max(
                         base::Duration{0}, *w.RestartLeaseUntil - received)));
  s.processEnds(w, report, received);
  bool firstReport = !w.Synced;
  s.processRunning(w, report, sent, received);
  s.observeInterference(w, received);
  // An earlier owner may have requested a lease just before this poll.
  if (firstReport && current && (!w.Runs.empty() || !w.OrphanRuns.empty()))
    w.LatestDeadline =
        std::max(w.LatestDeadline, report.Clock + s.Options.LeaseDuration);
  if (report.MoreEnded || !current)
    return;
  if (!report.RunningIncomplete && w.UnreadableEnds.empty())
    w.UnverifiedUntil.reset();
  if (!firstReport)
    return s.updatePossibleTasks(w);
  w.Synced = true;
  if (w.UsedInTerm != s.Term) {
    w.UsedInTerm = s.Term;
    w.PossibleTasks.reset();
    w.LeaseLeft.reset();
  }
  s.updatePossibleTasks(w);
  s.Events.emit(
      base::EventCode::WorkerSynced,
      {{"worker", worker.str()},
       {"born", std::to_string(w.Profile.StartTime.count())},
       {"running", std::to_string(report.Running.size())},
       {"firstEnd", report.Ended.empty()
                        ? "none"
                        : std::to_string(report.Ended.front().SequenceNumber)},
       {"token", std::to_string(base::toNumber(s.tokenOf(w)))}});
}

void Shard::setPermissionEnd(TimePoint end) { State->PermissionEnd = end; }

void Shard::setStartsValidUntil(TimePoint end) {
  State->StartsValidUntil = end;
}

bool Shard::isStartWanted(const WorkerCommand &command) const {
  JobEntry *job = nullptr;
  TaskEntry *task = State->findTask(command.Run.Task, &job);
  return task && job->isLive() && task->isPending() &&
         std::any_of(task->Runs.begin(), task->Runs.end(), [&](const Run &it) {
           return it.Number == command.Run.Number &&
                  it.Phase == RunPhase::Starting && it.Worker->isUsable() &&
                  command.Token >= State->fenceOf(*it.Worker) &&
                  !State->ZonesOutOfService.contains(it.Worker->Profile.Zone) &&
                  it.Worker->Used.fitsIn(it.Worker->Profile.Capacity);
         });
}

void Shard::withdrawStart(const WorkerCommand &command) {
  State->Events.emit(base::EventCode::StartFailed,
                     {{"task", detail::taskText(command.Run.Task)},
                      {"run", std::to_string(command.Run.Number)},
                      {"worker", command.Worker.Id.str()},
                      {"cause", "not sent"}});
  if (auto worker = State->Workers.find(command.Worker.Id);
      worker != State->Workers.end())
    worker->second->StartsInDoubt.erase(command.Run);
  if (JobEntry *job = State->findJob(command.Run.Task.Job))
    State->removeRun(*job, command.Run.Task, command.Run.Number,
                     command.Worker.Id, "start not sent");
}

void Shard::onStart(const WorkerCommand &command,
                    base::Result<CommandResult> result, TimePoint now) {
  detail::ShardState &s = *State;
  // The run may have been removed meanwhile.
  bool answerLost =
      !result && result.error().Code == base::Errc::WorkerAnswerLost;
  if (!answerLost)
    s.forgetLateStart(command.Run);
  if (auto worker = s.Workers.find(command.Worker.Id);
      worker != s.Workers.end()) {
    auto &inDoubt = worker->second->StartsInDoubt;
    if (auto start = inDoubt.find(command.Run);
        start != inDoubt.end() && answerLost)
      start->second = now + MaxCallDelay;
    else if (start != inDoubt.end())
      inDoubt.erase(start);
  }
  JobEntry *job = nullptr;
  TaskEntry *task = s.findTask(command.Run.Task, &job);
  if (!task)
    return;
  auto run =
      std::find_if(task->Runs.begin(), task->Runs.end(), [&](const Run &r) {
        return r.Number == command.Run.Number &&
               r.Worker->Profile.Id == command.Worker.Id;
      });
  if (run == task->Runs.end())
    return;
  WorkerState &w = *run->Worker;
  if (result && result.value() == CommandResult::Done) {
    if (run->Phase == RunPhase::Starting ||
        run->Phase == RunPhase::Unconfirmed) {
      s.confirmRun(*job, *task, *run, now);
    }
    return;
  }
  std::string cause = result ? std::to_string(static_cast<int>(result.value()))
                             : result.error().message();
  s.Events.emit(base::EventCode::StartFailed,
                {{"task", detail::taskText(command.Run.Task)},
                 {"run", std::to_string(command.Run.Number)},
                 {"worker", command.Worker.Id.str()},
                 {"cause", cause}});
  w.avoid(CommandFailureBackoff, now);
  w.Trials.pauseUntil(now + CommandFailureBackoff);
  if (answerLost) {
    run->AnswerLostAt = now;
    s.listLateStart(w, command.Run.Task, now + MaxCallDelay);
    if (run->Phase == RunPhase::Starting) {
      run->Phase = RunPhase::Unconfirmed;
      run->PhaseSince = now;
    }
    return;
  }
  if (result && result.value() == CommandResult::Fenced)
    s.Fenced |= command.Token == s.tokenOf(w);
  s.removeRun(*job, command.Run.Task, command.Run.Number, command.Worker.Id,
              result ? "start refused" : "worker not reached");
}

void Shard::onStop(const WorkerCommand &command,
                   base::Result<CommandResult> result, TimePoint now) {
  detail::ShardState &s = *State;
  if (!result)
    return;
  auto worker = s.Workers.find(command.Worker.Id);
  if (worker != s.Workers.end())
    if (auto orphan = worker->second->OrphanRuns.find(command.Run);
        orphan != worker->second->OrphanRuns.end())
      orphan->second.Unanswered = 0;
  TaskEntry *task = s.findTask(command.Run.Task);
  if (!task)
    return;
  for (Run &it : task->Runs) {
    if (it.Number != command.Run.Number ||
        it.Worker->Profile.Id != command.Worker.Id)
      continue;
    it.Stops.Unanswered = 0;
    if (result.value() != CommandResult::Done)
      continue;
    it.StopConfirmed = now;
    s.onStopConfirmed(*it.Worker, command.Run, now);
  }
}

bool Shard::isRoomAwaited(const base::WorkerId &worker, TimePoint now) const {
  auto w = State->Workers.find(worker);
  return w != State->Workers.end() && State->areRoomsWanted() &&
         std::any_of(w->second->Runs.begin(), w->second->Runs.end(),
                     [&](const auto &it) {
                       const detail::RunReservation &held = it.second;
                       return held.Step->LongRunning && held.StopConfirmed &&
                              now - *held.StopConfirmed < detail::StopTime;
                     });
}

void Shard::onThrottle(const WorkerCommand &command,
                       base::Result<CommandResult> result) {
  // Refused as fenced, it had no effect: the worker has seen a newer token.
  if (result && result.value() != CommandResult::Fenced)
    return;
  TaskEntry *task = State->findTask(command.Run.Task);
  if (!task)
    return;
  constexpr std::int32_t unknown = -1;
  for (Run &it : task->Runs)
    if (it.Number == command.Run.Number &&
        it.Worker->Profile.Id == command.Worker.Id)
      it.OrderedPercent = unknown;
}

} // namespace endivedoor::dispatch
