#include "detail/Placement.h"
#include "detail/ShardState.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::dispatch {

namespace detail {

using base::EventCode;
using namespace std::chrono_literals;

/// Run numbers of a term start at a multiple of this. They are thus higher than
/// those of earlier terms, which the current owner may not know.
constexpr std::int64_t RunNumbersPerTerm = 1024;
/// A stop command that has not taken effect is sent again after this time. The
/// time doubles with each command that was not answered, up to
/// MaxStopRetryInterval; the commands end with the lease of the worker.
constexpr auto StopRetryInterval = 700ms;
constexpr auto MaxStopRetryInterval = 5600ms;
/// A run whose start was not answered is stopped if the worker has not listed
/// it within this time.
constexpr auto UnconfirmedTimeout = 300ms;
/// Limit of a run's time as a multiple of its estimate, at least MinStuckTime.
/// A filler is considered stuck only after FillerStuckFactor times this limit;
/// for any other stuck run, it is the time for which the worker is avoided.
constexpr double StuckFactor = 2.5;
constexpr auto MinStuckTime = 1500ms;
/// A run that has used no CPU for this long is considered stuck once it has run
/// for MinStuckTime.
constexpr auto MaxIdleTime = 1500ms;
/// A waiting step is logged after this time, and at this interval from then on.
constexpr auto WaitLogInterval = 2000ms;
/// A filler job of which nothing has run for this long gets one run on the
/// least unsuitable worker. Longer than MoveDelay, so that shards where it may
/// suit are tried first.
constexpr auto StarvationTime = 2500ms;
/// Longest wait of a suspect for a worker without other suspects, for each
/// crash up to MaxIsolationCrashes; together shorter than callers wait before
/// they count a task as lost.
constexpr auto IsolationWaitPerCrash = 1000ms;
constexpr std::size_t MaxIsolationCrashes = 2;
/// Factor by which the run time and idle time limits are extended for fillers.
constexpr int FillerStuckFactor = 3;

void ShardState::openDueOccurrences(base::WallTime wall, TimePoint now) {
  for (JobEntry *job : LiveJobs) {
    const model::JobGraph &graph = job->Job.Graph;
    if (!job->isLive() || graph.Occurrences == 0)
      continue;
    for (std::int32_t k = 0; k < graph.Occurrences; ++k) {
      auto due = base::WallTime(graph.FirstDue + k * graph.Interval);
      if (wall < due)
        break;
      if (!job->Occurrences.contains(k))
        openOccurrence(*job, k, now);
    }
  }
}

void ShardState::startTask(JobEntry &job, const TaskKey &key, TaskEntry &task,
                           WorkerState &worker, TimePoint now,
                           std::int64_t number) {
  const model::StepSpec &step = stepOf(job, key);
  Run run;
  run.Worker = &worker;
  run.Number = number;
  if (!step.LongRunning)
    fenceAcknowledgement(worker);
  run.Token = tokenOf(worker);
  run.PhaseSince = run.Started = run.LastBusy = now;
  StepEntry &entry =
      job.Occurrences[key.Occurrence].Steps[static_cast<std::size_t>(key.Step)];
  if (task.Runs.empty())
    --entry.WaitingCount;
  task.LastRun = number;
  task.LostWithLease = false;
  task.Runs.push_back(run);
  ++job.RunCount;
  ++entry.RunCount;
  RunId id{key, number};
  if (!step.LongRunning)
    worker.StartsInDoubt[id] = TimePoint::max();
  MetricsRegistry.countStart(
      CurrentUrgency,
      LearnedTimes.quantile({job.Job.Queue, key.Step, step.Image}, 0.5)
          .has_value());
  reserve(worker, job, key, run);
  if (step.LongRunning && now < worker.AvoidUntil) {
    worker.Trials.onStarted(id, count(step.Size.Cpu), now);
    Events.emit(EventCode::WorkerOnTrial,
                {{"worker", worker.Profile.Id.str()}, {"task", taskText(key)}});
  }
  addStarted(job, step, now);
  if (step.LongRunning)
    endIdleRoom(worker, now);
  useReservation(key, worker);
  // The run may not have ended when held capacity on its worker is due.
  for (WorkerReservation &it : worker.Held)
    if (now + expectedTime(job, static_cast<std::size_t>(key.Step), 0.9) >
        it.Capacity.Due)
      it.Capacity.UsedWhenDue += worker.Runs.at(id).Size;
  if (task.isSuspect())
    worker.SuspectRuns.insert(id);
  WorkerCommand command;
  command.Type = WorkerCommand::Kind::Start;
  command.Worker = worker.ref();
  command.Run = id;
  command.Payload = job.Job.Graph.Payload;
  command.Checkpoint = task.Checkpoint;
  task.Runs.back().Resumed = !task.Checkpoint.empty();
  command.Deadline = startDeadline(worker, now);
  command.Token = run.Token;
  worker.LatestDeadline = std::max(worker.LatestDeadline, command.Deadline);
  std::vector<base::EventField> fields{
      {"task", taskText(key)},
      {"run", std::to_string(number)},
      {"worker", worker.Profile.Id.str()},
      {"born", std::to_string(worker.Profile.StartTime.count())},
      {"freeCpu", std::to_string(count(worker.Profile.Capacity.Cpu) -
                                 count(worker.Used.Cpu))},
      {"waitedMs", std::to_string((now - job.Accepted) / 1ms)},
      {"recordsMs", std::to_string((now - RecordsAsOf) / 1ms)}};
  if (step.LongRunning) {
    fields.push_back({"cpu", std::to_string(count(step.Size.Cpu))});
    fields.push_back(
        {"unservedMs",
         std::to_string((now - task.WaitingSince.value_or(now)) / 1ms)});
  }
  std::string earlier;
  for (const RunEnding &it : task.Endings)
    earlier += (earlier.empty() ? "" : "; ") + std::to_string(it.Number) + " " +
               it.Evidence;
  if (!earlier.empty())
    fields.push_back({"earlier", earlier});
  Events.emit(EventCode::RunStarted, std::move(fields));
  Outbox.push_back(std::move(command));
}

std::int64_t nextRun(const JobEntry &job, const TaskEntry &task,
                     std::int64_t term) {
  std::int64_t base = job.Inherited ? (term - 1) * RunNumbersPerTerm : 0;
  // Terms of other shards have used numbers up to EarlierLastRun. Each owner of
  // this shard needs higher ones than those before it, also if it has none.
  return std::max(task.LastRun, job.EarlierLastRun + base) + 1;
}

StepCounts runsByWorker(const StepEntry &entry) {
  StepCounts counts;
  if (entry.RunCount == 0)
    return counts;
  for (const TaskEntry &task : entry.Tasks)
    for (const Run &it : task.Runs)
      ++counts[it.Worker];
  return counts;
}

bool ShardState::isKnownUnplaceable(const model::StepSpec &step) const {
  return std::any_of(UnplaceableSteps.begin(), UnplaceableSteps.end(),
                     [&](const model::StepSpec *it) {
                       return it->Filler == step.Filler &&
                              it->Image == step.Image &&
                              it->Requirement == step.Requirement &&
                              count(it->Size.Cpu) <= count(step.Size.Cpu) &&
                              count(it->Size.Memory) <=
                                  count(step.Size.Memory) &&
                              it->Size.Accelerators <= step.Size.Accelerators &&
                              it->LongRunning == step.LongRunning;
                     });
}

/// Logs at an interval why a step is waiting.
void ShardState::logWait(const JobEntry &job, const Occurrence &o,
                         std::int32_t step, StepEntry &entry, TimePoint now) {
  if (!entry.WaitingSince)
    entry.WaitingSince = now;
  if (now - *entry.WaitingSince < WaitLogInterval ||
      now - entry.WaitLoggedAt < WaitLogInterval)
    return;
  entry.WaitLoggedAt = now;
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  PlacementRejections rejections = countRejections(*this, job, spec, now);
  std::vector<base::EventField> fields{
      {"job", formatJobNumber(job.Job.Id)},
      {"step", std::to_string(o.Number) + "." + std::to_string(step)},
      {"idle", std::to_string(entry.WaitingCount)},
      {"waitedMs", std::to_string((now - *entry.WaitingSince) / 1ms)},
      {"cpu", std::to_string(count(spec.Size.Cpu))},
      {"memory", std::to_string(count(spec.Size.Memory))},
      {"workers", std::to_string(rejections.Workers)},
      {"unusable", std::to_string(rejections.Unusable)},
      {"zoneOut", std::to_string(rejections.ZoneOutOfService)},
      {"noLabel", std::to_string(rejections.MissingLabel)},
      {"noCpu", std::to_string(rejections.NoCpu)},
      {"noMemory", std::to_string(rejections.NoMemory)},
      {"keptForShort", std::to_string(ShortTasks.expected())},
      {"other", std::to_string(rejections.Other)}};
  if (spec.LongRunning) {
    LongRunningRooms rooms = countRooms(*this, job, spec, now);
    fields.push_back({"rooms", std::to_string(rooms.Workers)});
    fields.push_back(
        {"largestRoomCpu", std::to_string(count(rooms.LargestCpu))});
    fields.push_back({"reservations", std::to_string(Reservations.size())});
    fields.push_back(
        {"unservedMs",
         std::to_string((now - entry.UnservedSince.value_or(now)) / 1ms)});
  }
  Events.emit(EventCode::TaskWaits, std::move(fields));
}

void ShardState::logLimitWait(const JobEntry &job, const Occurrence &o,
                              std::int32_t step, StepEntry &entry,
                              TimePoint now) {
  if (!entry.LimitedSince)
    entry.LimitedSince = now;
  if (now - *entry.LimitedSince < WaitLogInterval ||
      now - entry.WaitLoggedAt < WaitLogInterval)
    return;
  entry.WaitLoggedAt = now;
  const AccountState *account = accountOf(job);
  Events.emit(EventCode::TaskWaits,
              {{"job", formatJobNumber(job.Job.Id)},
               {"step", std::to_string(o.Number) + "." + std::to_string(step)},
               {"idle", std::to_string(entry.WaitingCount)},
               {"waitedMs", std::to_string((now - *entry.LimitedSince) / 1ms)},
               {"limitOf", job.Job.Account},
               {"usedCpu", std::to_string(account->Demand.Used.Cpu)},
               {"shareCpu", std::to_string(account->Share.held().Cpu)},
               {"limitCpu", std::to_string(account->Share.limit().Cpu)}});
}

/// Returns whether a task must be started where no other suspect runs.
static bool needsIsolation(const TaskEntry &task, const StepEntry &entry,
                           TimePoint now) {
  if (!task.isSuspect())
    return false;
  auto wait = IsolationWaitPerCrash *
              std::min(task.Crashes.Runs.size(), MaxIsolationCrashes);
  return !entry.WaitingSince || now - *entry.WaitingSince < wait;
}

void ShardState::startStep(JobEntry &job, Occurrence &o, std::int32_t step,
                           std::optional<TimePoint> waitingSince,
                           TimePoint now) {
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
  bool starved = spec.Filler && job.RunCount == 0 && entry.WaitingSince &&
                 now - *entry.WaitingSince > StarvationTime;
  // Capacity may be held for this step that others of the program cannot use.
  if (!starved && !hasReservation(job, o, step) && isKnownUnplaceable(spec)) {
    logWait(job, o, step, entry, now);
    return;
  }
  auto counts = runsByWorker(entry);
  for (std::int32_t i = 0; i < spec.Count && entry.WaitingCount > 0; ++i) {
    TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    if (!task.isWaiting() ||
        (waitingSince && task.WaitingSince != waitingSince) ||
        (task.LostWithLease && !MayStartLost) ||
        HeldTasks.contains({job.Job.Id, o.Number, step, i}))
      continue;
    if (StartBudget == 0)
      return;
    if (spec.LongRunning && CurrentUrgency != policy::Urgency::Overdue &&
        Options.WaitingOrder != policy::WaitingRule::Priority &&
        count(spec.Size.Cpu) > LongRunningBudget) {
      logWait(job, o, step, entry, now);
      return;
    }
    TaskKey key{job.Job.Id, o.Number, step, i};
    bool isolated = needsIsolation(task, entry, now);
    bool allowed = isWithinLimit(job, spec, 1, now);
    if (allowed)
      entry.LimitedSince.reset();
    if (!allowed && !wantsMoreReady(job)) {
      withdrawAnnouncement(job, task);
      logLimitWait(job, o, step, entry, now);
      return;
    }
    WorkerState *worker = chooseWorker(
        *this, job, spec, counts, now,
        {.Task = key,
         .Starved = starved && job.RunCount == 0,
         .Isolated = isolated,
         .Waited = spec.LongRunning ? now - task.WaitingSince.value_or(now)
                                    : base::Duration::zero()});
    if (!allowed) {
      // A long-running task gets a worker only after a reservation, which it
      // must not take before its share.
      if (worker || spec.LongRunning)
        addReady(job, spec, entry.WaitingCount, 1);
      withdrawAnnouncement(job, task);
      logLimitWait(job, o, step, entry, now);
      return;
    }
    if (!worker)
      logWait(job, o, step, entry, now);
    // Other tasks of the step may have room elsewhere.
    if (!worker && hasLateStart(key))
      continue;
    if (!worker && isolated) {
      withdrawAnnouncement(job, task);
      continue;
    }
    if (!worker)
      reserveSoonest(job, o, step, entry.WaitingCount, counts, now);
    if (!worker && !spec.LongRunning) {
      // A limit per worker applies to this job only, so the failure says
      // nothing about other jobs of the same program.
      if (spec.MaxPerWorker == 0)
        UnplaceableSteps.push_back(&spec);
      return;
    }
    if (!worker)
      return;
    std::int64_t run = nextRun(job, task, Term);
    if (!announceRun(job, key, task, run)) {
      if (!job.isLive())
        return;
      worker->ReservedForSuspect = true;
      continue;
    }
    // Not before: an announced run waits for the store, and must not have to
    // wait for a worker of its own again.
    entry.WaitingSince.reset();
    entry.LimitedSince.reset();
    startTask(job, key, task, *worker, now, run);
    if (spec.LongRunning)
      LongRunningBudget -= count(spec.Size.Cpu);
    --StartBudget;
    ++counts[worker];
  }
}

void ShardState::startGang(JobEntry &job, Occurrence &o, std::int32_t step,
                           TimePoint now) {
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
  // A gang starts as a whole, so every member of its previous run must have
  // ended.
  if (entry.WaitingCount < spec.Count || StartBudget == 0 || isAnyTaskHeld(job))
    return;
  bool lost = std::any_of(entry.Tasks.begin(), entry.Tasks.end(),
                          [](const TaskEntry &it) { return it.LostWithLease; });
  if (lost && !MayStartLost)
    return;
  bool isolated = std::any_of(
      entry.Tasks.begin(), entry.Tasks.end(),
      [&](const TaskEntry &it) { return needsIsolation(it, entry, now); });
  std::vector<WorkerState *> places =
      chooseGang(*this, job, spec, now, isolated);
  if (places.empty()) {
    reserveForGang(job, o, step, now);
    logWait(job, o, step, entry, now);
    return;
  }
  if (!isWithinLimit(job, spec, spec.Count, now)) {
    addReady(job, spec, spec.Count, spec.Count);
    for (TaskEntry &it : entry.Tasks)
      withdrawAnnouncement(job, it);
    logLimitWait(job, o, step, entry, now);
    return;
  }
  std::int64_t run = 0;
  std::string checkpoint;
  for (const TaskEntry &it : entry.Tasks) {
    run = std::max(run, nextRun(job, it, Term));
    if (!it.Checkpoint.empty())
      checkpoint = it.Checkpoint;
  }
  bool announced = true;
  for (std::int32_t i = 0; i < spec.Count; ++i)
    announced = announceRun(job, {job.Job.Id, o.Number, step, i},
                            entry.Tasks[static_cast<std::size_t>(i)], run) &&
                announced;
  if (!announced) {
    for (WorkerState *it : places)
      it->ReservedForSuspect = it->ReservedForSuspect || isolated;
    return;
  }
  entry.WaitingSince.reset();
  entry.LimitedSince.reset();
  --StartBudget;
  for (std::int32_t i = 0; i < spec.Count; ++i) {
    TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    task.Checkpoint = checkpoint;
    startTask(job, {job.Job.Id, o.Number, step, i}, task,
              *places[static_cast<std::size_t>(i)], now, run);
  }
}

/// Returns whether all steps that \p step depends on are done.
static bool isReady(const JobEntry &job, const Occurrence &o,
                    std::size_t step) {
  for (std::int32_t before : job.Job.Graph.Steps[step].Dependencies) {
    auto b = static_cast<std::size_t>(before);
    if (o.Steps[b].DoneCount < job.Job.Graph.Steps[b].Count)
      return false;
  }
  return true;
}

/// Time over which the CPU demand of filler programs is averaged. Jobs of one
/// program come at intervals of seconds; a worker that few programs suit must
/// not be given away in between.
constexpr double DemandMemorySeconds = 10;
/// Interval of the updates; each costs a prediction per program and worker.
constexpr auto DemandInterval = 500ms;
/// Demand in thousandths of a core below which a program is forgotten.
constexpr double MinDemand = 100;

void ShardState::updateDemandRatios(TimePoint now) {
  if (now - DemandAsOf < DemandInterval)
    return;
  double passed = std::chrono::duration<double>(now - DemandAsOf).count();
  double keep = std::exp(-passed / DemandMemorySeconds);
  DemandAsOf = now;
  for (auto &[image, cpu] : FillerDemand)
    cpu *= keep;
  for (const JobEntry *job : LiveJobs)
    for (const auto &[number, o] : job->Occurrences)
      for (std::size_t i = 0; i < o.Steps.size(); ++i) {
        const model::StepSpec &step = job->Job.Graph.Steps[i];
        if (!step.Filler || !isReady(*job, o, i))
          continue;
        std::int64_t open = step.Count - o.Steps[i].DoneCount;
        FillerDemand[step.Image] +=
            (1 - keep) * static_cast<double>(open * count(step.Size.Cpu));
      }
  std::erase_if(FillerDemand,
                [](const auto &it) { return it.second < MinDemand; });
  DemandRatios = computeDemandRatios(*this, FillerDemand, now);
}

/// Position of a step among the waiting ones: its urgency or kind, its
/// priority and what its account has started per weight if there are accounts,
/// and the rest of the order of waiting work.
using StartOrder = std::tuple<policy::Urgency, std::int64_t, std::int32_t,
                              double, policy::WaitingKey>;

/// \param startedPerWeight 0 if there are no accounts.
static StartOrder startOrder(const policy::WaitingWork &work,
                             double startedPerWeight,
                             policy::WaitingRule rule) {
  policy::WaitingKey key = policy::waitingKey(work, rule);
  bool byPriority = rule == policy::WaitingRule::Priority;
  return {std::get<0>(key), byPriority ? std::get<1>(key) : 0,
          byPriority || startedPerWeight > 0 ? work.Priority : 0,
          startedPerWeight, key};
}

base::Duration ShardState::expectedTime(const JobEntry &job, std::size_t step,
                                        double q) const {
  const model::StepSpec &spec = job.Job.Graph.Steps[step];
  job.TimesCache.resize(job.Job.Graph.Steps.size());
  LearnedTime &cached = job.TimesCache[step];
  if (cached.Quantile != q || cached.Revision != LearnedTimes.revision())
    cached = {
        q, LearnedTimes.revision(),
        LearnedTimes
            .quantile(
                {job.Job.Queue, static_cast<std::int32_t>(step), spec.Image}, q)
            .value_or(spec.Estimate)};
  return cached.Time;
}

base::Duration ShardState::expectedPath(const JobEntry &job,
                                        const Occurrence *o,
                                        std::size_t step) const {
  const model::JobGraph &graph = job.Job.Graph;
  // Dependencies point to earlier steps, so the chain ends come last.
  std::vector<base::Duration> paths(graph.Steps.size());
  base::Duration longest{0};
  for (std::size_t i = graph.Steps.size(); i-- > step;) {
    const model::StepSpec &spec = graph.Steps[i];
    if (!o || o->Steps[i].DoneCount < spec.Count)
      paths[i] += expectedTime(job, i, policy::slowestOf(spec.Count));
    longest = std::max(longest, paths[i]);
    for (std::int32_t before : spec.Dependencies)
      if (before >= 0 && static_cast<std::size_t>(before) < i)
        paths[static_cast<std::size_t>(before)] =
            std::max(paths[static_cast<std::size_t>(before)], paths[i]);
  }
  return o ? paths[step] : longest;
}

/// Interval at which the expected paths of a waiting step are computed again if
/// work is ordered by priority. Computed in every plan, they delayed the starts
/// of small nodes. Orders by laxity need the current paths.
constexpr auto PathsInterval = 1000ms;

policy::WaitingWork ShardState::waitingWork(const JobEntry &job,
                                            const Occurrence &o,
                                            std::size_t step,
                                            TimePoint now) const {
  const model::StepSpec &spec = job.Job.Graph.Steps[step];
  const StepEntry &entry = o.Steps[step];
  policy::WaitingWork work;
  work.Waited = now - entry.UnservedSince.value_or(now);
  work.Priority = job.Job.Policy.Priority;
  work.WaitingCpu = entry.WaitingCount * count(spec.Size.Cpu);
  if (spec.LongRunning) {
    work.Objective = job.Job.Policy.Target;
    work.TimeLeft = work.Objective - work.Waited;
    return work;
  }
  // Occurrences of a recurring job have the objective of a job each.
  // The caller's critical path is that of the real run times, so wrong declared
  // times must not shift the deadline either.
  ExpectedPaths &paths = entry.Paths;
  bool byPriority = Options.WaitingOrder == policy::WaitingRule::Priority;
  if (!byPriority || now - paths.AsOf >= PathsInterval)
    paths = {now, expectedPath(job, nullptr, 0), expectedPath(job, &o, step)};
  work.Objective =
      job.Job.Policy.Target + std::chrono::duration_cast<base::Duration>(
                                  paths.OfJob * job.Job.Policy.Stretch);
  work.TimeLeft = std::max(job.Accepted, o.Created) + work.Objective - now;
  work.RemainingPath = paths.Remaining;
  return work;
}

void ShardState::updateLongRunningBudget(std::int64_t shortCpu, TimePoint now) {
  std::int64_t free = 0, running = 0;
  for (const auto &[id, w] : Workers) {
    running += count(w->Used.Cpu) - w->LongRunningCpu;
    if (w->isUsable() && !ZonesOutOfService.contains(w->Profile.Zone))
      free += std::max<std::int64_t>(0, count(w->Profile.Capacity.Cpu) -
                                            count(w->Used.Cpu));
  }
  if (ShortTasksObserved)
    ShortTasks.observe(running + shortCpu, now - *ShortTasksObserved);
  ShortTasksObserved = now;
  LongRunningBudget =
      Options.WaitingOrder == policy::WaitingRule::Priority
          ? free
          : free - std::max<std::int64_t>(0, ShortTasks.expected() - running);
}

/// Returns since when the waiting tasks of a long-running step have waited.
static std::set<TimePoint> waitsOf(const StepEntry &entry) {
  std::set<TimePoint> waits;
  for (const TaskEntry &it : entry.Tasks)
    if (it.isWaiting())
      waits.insert(*it.WaitingSince);
  return waits;
}

void ShardState::startReadySteps(TimePoint now) {
  bool unverified = mayRunAnyTask();
  UnplaceableSteps.clear();
  for (auto &[id, w] : Workers) {
    w->ReservedForSuspect = false;
    w->ServedCache.reset();
  }
  updateDemandRatios(now);
  resetReady();
  if (!hasUnverifiedWorkers())
    for (auto &[name, account] : Accounts)
      account.Share.setVerified();
  struct ReadyStep {
    StartOrder Order;
    policy::Urgency Urgency;
    JobEntry *Job;
    Occurrence *At;
    std::size_t Step;
    /// Of which tasks of a long-running step; nothing for all of them.
    std::optional<TimePoint> WaitingSince;
  };
  std::vector<ReadyStep> ready;
  std::int64_t shortCpu = 0;
  for (JobEntry *job : LiveJobs) {
    if (!job->isLive() || job->Moving || (unverified && job->Inherited))
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t i = 0; !o.Complete && i < o.Steps.size(); ++i) {
        StepEntry &entry = o.Steps[i];
        const model::StepSpec &spec = job->Job.Graph.Steps[i];
        bool isWaiting = entry.WaitingCount > 0 && isReady(*job, o, i);
        if (spec.LongRunning &&
            (isWaiting || entry.UnservedSince || !InheritedWaits.empty()))
          updateWaits(*job, o, static_cast<std::int32_t>(i), now);
        if (!isWaiting) {
          if (!job->OfferInFlight) {
            entry.UnservedSince.reset();
            entry.WaitingSince.reset();
          }
          continue;
        }
        if (!entry.UnservedSince)
          entry.UnservedSince = now;
        policy::WaitingWork work = waitingWork(*job, o, i, now);
        if (!spec.LongRunning && !spec.Filler &&
            policy::urgencyOf(work) == policy::Urgency::InTime)
          shortCpu += work.WaitingCpu;
        auto add = [&, at = &o](std::optional<TimePoint> since) {
          ready.push_back({startOrder(work, startedPerWeight(*job, now),
                                      Options.WaitingOrder),
                           policy::urgencyOf(work), job, at, i, since});
        };
        if (!spec.LongRunning || spec.Gang) {
          add(std::nullopt);
          continue;
        }
        // A task that has just lost its run must not go before those of other
        // jobs because others of its own have waited longer.
        for (TimePoint since : waitsOf(entry)) {
          work.TimeLeft += work.Waited - (now - since);
          work.Waited = now - since;
          add(since);
        }
      }
  }
  // From now on, every wait begins under this owner.
  if (!unverified && !hasUnverifiedWorkers())
    InheritedWaits.clear();
  updateLongRunningBudget(shortCpu, now);
  // Stable: equally urgent work keeps the order of acceptance.
  std::stable_sort(
      ready.begin(), ready.end(),
      [](const ReadyStep &a, const ReadyStep &b) { return a.Order < b.Order; });
  for (const ReadyStep &it : ready) {
    // An earlier step of the job may have ended it.
    if (!it.Job->isLive())
      continue;
    CurrentUrgency = it.Urgency;
    auto step = static_cast<std::int32_t>(it.Step);
    if (it.Job->Job.Graph.Steps[it.Step].Gang)
      startGang(*it.Job, *it.At, step, now);
    else
      startStep(*it.Job, *it.At, step, it.WaitingSince, now);
  }
  limitReady();
}

void ShardState::startLongRunningSteps(TimePoint now) {
  struct WaitingTasks {
    StartOrder Order;
    policy::Urgency Urgency;
    JobEntry *Job;
    Occurrence *At;
    std::size_t Step;
    TimePoint Since;
  };
  bool unverified = mayRunAnyTask();
  std::vector<WaitingTasks> waiting;
  for (JobEntry *job : LiveJobs) {
    if (!job->isLive() || !job->isLongRunning() || job->Moving ||
        (unverified && job->Inherited))
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t i = 0; i < o.Steps.size(); ++i) {
        StepEntry &entry = o.Steps[i];
        const model::StepSpec &spec = job->Job.Graph.Steps[i];
        // Shares of accounts are settled by the plans of all work.
        if (entry.WaitingCount == 0 || !spec.LongRunning || spec.Gang ||
            entry.LimitedSince || !isReady(*job, o, i))
          continue;
        updateWaits(*job, o, static_cast<std::int32_t>(i), now);
        policy::WaitingWork work = waitingWork(*job, o, i, now);
        for (TimePoint since : waitsOf(entry)) {
          work.TimeLeft += work.Waited - (now - since);
          work.Waited = now - since;
          waiting.push_back({startOrder(work, startedPerWeight(*job, now),
                                        Options.WaitingOrder),
                             policy::urgencyOf(work), job, &o, i, since});
        }
      }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const WaitingTasks &a, const WaitingTasks &b) {
                     return a.Order < b.Order;
                   });
  for (const WaitingTasks &it : waiting) {
    if (!it.Job->isLive())
      continue;
    CurrentUrgency = it.Urgency;
    startStep(*it.Job, *it.At, static_cast<std::int32_t>(it.Step), it.Since,
              now);
  }
}

void ShardState::sendStop(const WorkerState &worker, const RunId &run,
                          const char *cause) {
  WorkerCommand command;
  command.Type = WorkerCommand::Kind::Stop;
  command.Worker = worker.ref();
  command.Token = tokenOf(worker);
  command.Run = run;
  Events.emit(EventCode::StopSent, {{"task", taskText(run.Task)},
                                    {"run", std::to_string(run.Number)},
                                    {"worker", worker.Profile.Id.str()},
                                    {"cause", cause}});
  Outbox.push_back(std::move(command));
}

/// Counts a stop command that is sent now, unless it is too early for one.
static bool isStopDue(StopAttempts &attempts, TimePoint now) {
  base::Duration interval = StopRetryInterval;
  for (int i = 1; i < attempts.Unanswered && interval < MaxStopRetryInterval;
       ++i)
    interval *= 2;
  if (attempts.LastSent != TimePoint{} && now - attempts.LastSent < interval)
    return false;
  attempts.LastSent = now;
  ++attempts.Unanswered;
  return true;
}

void ShardState::stopRun(const TaskKey &key, Run &run, const char *cause,
                         TimePoint now) {
  if (!isStopDue(run.Stops, now))
    return;
  if (run.Phase != RunPhase::Stopping) {
    run.Phase = RunPhase::Stopping;
    run.PhaseSince = now;
  }
  if (!run.StopCause)
    run.StopCause = cause;
  sendStop(*run.Worker, {key, run.Number}, run.StopCause);
}

void ShardState::stopUnneededRuns(TimePoint now) {
  for (JobEntry *job : LiveJobs) {
    if (job->RunCount == 0)
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t s = 0; s < o.Steps.size(); ++s) {
        StepEntry &entry = o.Steps[s];
        if (entry.RunCount == 0)
          continue;
        bool gang = job->Job.Graph.Steps[s].Gang;
        // A gang makes no progress unless all members run.
        bool incomplete = gang && entry.WaitingCount > 0 &&
                          entry.WaitingCount < job->Job.Graph.Steps[s].Count;
        for (std::size_t i = 0; i < entry.Tasks.size(); ++i) {
          TaskEntry &task = entry.Tasks[i];
          TaskKey key{job->Job.Id, number, static_cast<std::int32_t>(s),
                      static_cast<std::int32_t>(i)};
          for (Run &it : task.Runs) {
            bool unconfirmed = it.Phase == RunPhase::Unconfirmed &&
                               now - it.PhaseSince > UnconfirmedTimeout;
            bool unneeded = !job->isLive() || !task.isPending() ||
                            unconfirmed || incomplete;
            const char *cause = !job->isLive()      ? "job ended"
                                : !task.isPending() ? "task done elsewhere"
                                : unconfirmed       ? "unconfirmed start"
                                : incomplete        ? "incomplete gang"
                                                    : "task runs elsewhere";
            if (unneeded || it.Phase == RunPhase::Stopping)
              stopRun(key, it, cause, now);
          }
        }
      }
  }
  for (auto &[id, w] : Workers)
    for (auto &[run, attempts] : w->OrphanRuns)
      if (isStopDue(attempts, now))
        sendStop(*w, run, "unknown run");
}

void ShardState::moveOffDrainingWorkers(TimePoint now) {
  for (auto &[id, w] : Workers) {
    if (!w->Profile.Draining || w->Runs.empty())
      continue;
    for (const auto &[run, held] : w->Runs) {
      JobEntry *job = nullptr;
      TaskEntry *task = findTask(run.Task, &job);
      if (!task || !stepOf(*job, run.Task).LongRunning)
        continue;
      for (Run &it : task->Runs)
        if (it.Worker == w.get() && it.Phase == RunPhase::Running)
          stopRun(run.Task, it, "worker drains", now);
    }
  }
}

void ShardState::stopStuckRuns(TimePoint now) {
  for (JobEntry *job : LiveJobs) {
    if (!job->isLive() || job->RunCount == 0 || job->isLongRunning())
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t s = 0; s < o.Steps.size(); ++s) {
        const model::StepSpec &spec = job->Job.Graph.Steps[s];
        StepEntry &entry = o.Steps[s];
        if (entry.RunCount == 0)
          continue;
        for (std::size_t i = 0; i < entry.Tasks.size(); ++i) {
          TaskEntry &task = entry.Tasks[i];
          if (task.Done)
            continue;
          for (Run &run : task.Runs) {
            // Without reports of its worker nothing is known about the run; it
            // ends with the worker's lease.
            if (run.Worker->SilentSince)
              continue;
            if (run.Phase != RunPhase::Running ||
                now - run.LastBusy <= MaxIdleTime ||
                now - run.Started < MinStuckTime)
              continue;
            auto limit = std::max<base::Duration>(
                MinStuckTime, std::chrono::duration_cast<base::Duration>(
                                  expectedTime(*job, s, 0.9) * StuckFactor));
            // A filler may be idle because other tasks use the whole CPU.
            bool idle = !spec.Filler;
            bool late = now - run.Started > FillerStuckFactor * limit &&
                        now - run.LastBusy > FillerStuckFactor * MaxIdleTime;
            if (!idle && !late)
              continue;
            TaskKey key{job->Job.Id, number, static_cast<std::int32_t>(s),
                        static_cast<std::int32_t>(i)};
            if (idle) {
              run.Worker->avoid(limit, now);
              run.Worker->Trials.pauseUntil(now + TrialTime);
            }
            Events.emit(EventCode::RunStuck,
                        {{"task", taskText(key)},
                         {"run", std::to_string(run.Number)},
                         {"worker", run.Worker->Profile.Id.str()},
                         {"ms", std::to_string((now - run.Started) / 1ms)}});
            stopRun(key, run, "stuck", now);
          }
        }
      }
  }
}

} // namespace detail

Shard::Shard(ShardOptions options, std::int32_t number, std::int64_t term,
             base::FencingToken token, base::EventLog &events, Metrics &metrics)
    : State(std::make_unique<detail::ShardState>(options, number, term, token,
                                                 events, metrics)) {}

Shard::~Shard() = default;

void Shard::setZonesOutOfService(std::set<base::ZoneId> zones) {
  State->ZonesOutOfService = std::move(zones);
}

void Shard::setRecordsAsOf(base::TimePoint asOf) { State->RecordsAsOf = asOf; }

bool Shard::isFenced() const { return State->Fenced; }

std::vector<WorkerCommand> Shard::plan(base::TimePoint now, base::WallTime wall,
                                       bool mayStart, std::size_t maxStarts,
                                       bool ownsShard) {
  detail::ShardState &s = *State;
  s.PlannedAt = now;
  s.expireLeases(now);
  s.updatePossibleTasks();
  s.updateHeldTasks();
  s.updateLateStarts(now);
  s.openDueOccurrences(wall, now);
  s.stopUnneededRuns(now);
  s.moveOffDrainingWorkers(now);
  s.stopStuckRuns(now);
  s.clearSurvivors();
  s.StartBudget = mayStart ? maxStarts : 0;
  s.MayStartLost = ownsShard;
  if (s.StartBudget > 0) {
    // Before the starts, so that short tasks do not take the rooms first.
    s.refreshReservations(now);
    s.grantRooms(now);
    s.startReadySteps(now);
    s.grantIdleRooms(now);
    s.makeRoomForReservations(now);
    s.copyStragglers(now);
    s.noteIdleRooms(now);
  }
  s.throttleFillers(now);
  s.removeEndedJobs();
  return std::exchange(s.Outbox, {});
}

std::vector<WorkerCommand> Shard::planLongRunning(base::TimePoint now,
                                                  std::size_t maxStarts,
                                                  bool ownsShard) {
  detail::ShardState &s = *State;
  s.PlannedAt = now;
  s.updatePossibleTasks();
  s.updateHeldTasks();
  s.updateLateStarts(now);
  s.StartBudget = maxStarts;
  s.MayStartLost = ownsShard;
  if (maxStarts > 0) {
    s.refreshReservations(now);
    s.grantRooms(now);
    s.startLongRunningSteps(now);
    s.grantIdleRooms(now);
    s.makeRoomForReservations(now);
    s.noteIdleRooms(now);
  }
  return std::exchange(s.Outbox, {});
}

} // namespace endivedoor::dispatch
