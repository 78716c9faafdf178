#include "detail/ShardOwner.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::EventCode;
using model::TaskState;

// A store value is limited to 1 MB, which the segment shares with the base64
// overhead and the moved tasks.
constexpr std::size_t MaxSegmentBytes = 400 * 1024;
// Moved tasks are only added to a commit with a small segment, because the size
// limit applies to the whole request.
constexpr std::size_t MaxSegmentBytesWithMoves = 100 * 1024;
constexpr std::size_t MaxStartsPerCommit = 256;
// After this many commits without a change, the commit interval is tripled, so
// that the inbox is read less often.
constexpr int IdleCommitsLimit = 20;
constexpr std::chrono::hours JobRetention{1};
constexpr double InitialRampShare = 0.1;

ShardOwner::ShardOwner(Context &context, ConfigManager &config,
                       Ownership shardOwnership,
                       std::unique_ptr<policy::Scheduler> scheduler,
                       const ServiceZoneCounter &zones)
    : Ctx(context), Config(config), ShardOwnership(shardOwnership),
      Scheduler(std::move(scheduler)), TakeoverTime(context.Clock.now()),
      Leases(context, shardOwnership.Epoch, *this,
             [this] { return isActive(); }),
      Report(context, config, Table, Leases, zones),
      Lifecycle(context, Table, *Scheduler, WorkerQuarantine,
                [this](const JobRecord &job) { Report.recordJobEnd(job); }),
      Calls(context, config, Table, Lifecycle, Leases,
            [this] { return isActive(); }),
      Transfers(context, config, Table) {}

bool ShardOwner::isActive() const {
  return Active && (!Ctx.Stopping || Ctx.Clock.now() < DrainDeadline);
}

void ShardOwner::stepDown(const std::string &reason) {
  if (!Active)
    return;
  Active = false;
  Ctx.Events.emit(
      EventCode::OwnerLost,
      {{"zone", Ctx.Settings.Zone.str()},
       {"epoch", std::to_string(base::toNumber(ShardOwnership.Epoch))},
       {"reason", reason}});
}

/// Loads the journal, retrying until it succeeds. The journal no longer changes
/// meanwhile: commits of older epochs fail because this owner's key exists.
boost::asio::awaitable<void> ShardOwner::load() {
  Backoff backoff;
  while (isActive()) {
    Table = TaskTable();
    ShardJournal = std::make_unique<Journal>(Ctx, Config, ShardOwnership.Epoch,
                                             [this] { return isActive(); });
    auto loaded =
        co_await ShardJournal->load([this](const boost::json::value &op) {
          FieldReader reader(op);
          if (!reader.has("row"))
            return Table.apply(op);
          auto row = rowFromJson(reader.child("row"));
          if (!row)
            return base::Result<void>(row.error());
          Report.apply(std::move(row.value()));
          return base::Result<void>(base::success());
        });
    if (loaded) {
      Loaded = true;
      co_return;
    }
    Ctx.Events.emit(EventCode::JournalBroken,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"error", loaded.error().message()}});
    co_await Ctx.Sleep(backoff.nextDelay(Ctx.Random));
  }
}

boost::asio::awaitable<void> ShardOwner::run() {
  auto self = shared_from_this();
  Calls.setOwner(self);
  co_await load();
  if (!isActive())
    co_return;
  Lifecycle.enqueueLoadedTasks();
  Ctx.spawn(Leases.run(self));
  while (isActive()) {
    bool keepRunning = co_await commitRound();
    if (!keepRunning)
      break;
    co_await Ctx.Sleep(commitDelay());
  }
  Active = false;
}

base::Duration ShardOwner::commitDelay() const {
  base::Duration interval = Ctx.Settings.Timing.CommitInterval;
  return IdleCommits > IdleCommitsLimit ? interval * 3 : interval;
}

/// Updates the state, commits the changes and applies the result; returns false
/// when the owner has to stop.
boost::asio::awaitable<bool> ShardOwner::commitRound() {
  tick();
  PendingCommit commit = prepareCommit();
  CommitResult result = co_await ShardJournal->commit(commit.Content);
  if (!isActive())
    co_return false;
  finishCommit(commit, result);
  if (result.Outcome == CommitOutcome::Fenced) {
    stepDown("another daemon owns the shard");
    co_return false;
  }
  if (result.Outcome != CommitOutcome::Committed)
    co_return true;
  if (Ctx.Stopping)
    co_return Table.dirty();
  Calls.sendStarts();
  applyInbox(std::move(result.Inbox));
  if (ShardJournal->needsCompaction())
    co_await compact();
  co_return isActive();
}

/// Writes a snapshot of all records. It may include changes that are not yet
/// committed: each of them either has already happened or is a planned start,
/// which a new owner treats as a start that may have been sent.
boost::asio::awaitable<void> ShardOwner::compact() {
  std::vector<std::string> records = Table.encodeAll();
  for (std::string &record : Report.encodeAll())
    records.push_back(std::move(record));
  CommitOutcome outcome = co_await ShardJournal->compact(std::move(records));
  if (outcome == CommitOutcome::Fenced && isActive())
    stepDown("another daemon owns the shard");
}

void ShardOwner::tick() {
  Lifecycle.enqueueDueRetries();
  applyConfiguration();
  updateAdmission();
  updateQuarantinedWorkers();
  if (Ctx.Clock.now() - LastSecondTick >= std::chrono::seconds(1)) {
    LastSecondTick = Ctx.Clock.now();
    tickEverySecond();
  }
  if (Config.isZoneOut(Ctx.Settings.Zone))
    evacuateZone();
  else if (!Ctx.Stopping)
    applyDecisions();
}

void ShardOwner::tickEverySecond() {
  Report.sample();
  loseTasksOnUnknownWorkers();
  removeExpiredJobs();
  Table.removeExpiredTombstones(Ctx.Clock.wallNow());
}

void ShardOwner::applyConfiguration() {
  if (AppliedConfigVersion == Config.current().Version)
    return;
  bool first = !AppliedConfigVersion;
  AppliedConfigVersion = Config.current().Version;
  Scheduler->applyRules(Config.rules());
  for (const auto &[id, entry] : Leases.entries())
    onChange(*entry);
  bool out = Config.isZoneOut(Ctx.Settings.Zone);
  if (out != ZoneWasOut) {
    Ctx.Events.emit(out ? EventCode::ZoneTakenOut : EventCode::ZoneReturned,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"version", std::to_string(*AppliedConfigVersion)}});
    if (!out && !first)
      RampStart = Ctx.Clock.now();
  }
  ZoneWasOut = out;
}

void ShardOwner::updateAdmission() {
  if (ZoneWasOut) {
    Calls.withdrawPermit();
    RampStart.reset();
    Scheduler->setAdmission(false, 0);
    return;
  }
  double share = 1;
  if (RampStart) {
    std::chrono::duration<double> elapsed = Ctx.Clock.now() - *RampStart;
    std::chrono::duration<double> ramp = Ctx.Settings.Timing.ZoneRamp;
    share = InitialRampShare + (1 - InitialRampShare) * (elapsed / ramp);
  }
  if (share >= 1)
    RampStart.reset();
  Scheduler->setAdmission(true, std::min(share, 1.0));
}

/// While the zone is out, cancels unsent starts and evicts running batch tasks.
/// Services keep running until the operator stops them.
void ShardOwner::evacuateZone() {
  for (const base::WorkerId &worker : Table.workersWithHeldResources())
    for (const base::TaskId &id : Table.tasksHoldingResources(worker)) {
      TaskRecord &task = *Table.findTask(id);
      if (task.Start == StartPhase::Planned ||
          task.Start == StartPhase::Durable)
        Lifecycle.revertStart(task, "the zone is out");
      else if (task.Task.State == TaskState::Running &&
               Table.jobs().at(task.Task.Job).Spec.Kind ==
                   model::TaskKind::Batch)
        Calls.evict(task);
    }
}

void ShardOwner::updateQuarantinedWorkers() {
  std::set<base::WorkerId> affected = std::move(ReportedQuarantined);
  ReportedQuarantined.clear();
  for (const base::WorkerId &it : WorkerQuarantine.quarantinedWorkers())
    ReportedQuarantined.insert(it);
  affected.insert(ReportedQuarantined.begin(), ReportedQuarantined.end());
  for (const base::WorkerId &it : affected)
    if (WorkerEntry *entry = Leases.find(it))
      onChange(*entry);
}

/// Marks attempts on workers that the host list has never contained as lost
/// once their task leases must have expired.
void ShardOwner::loseTasksOnUnknownWorkers() {
  base::Duration limit =
      Ctx.Settings.Timing.TaskLease + Ctx.Settings.Timing.PlacementLease;
  if (Ctx.Clock.now() - TakeoverTime <= limit)
    return;
  for (const base::WorkerId &worker : Table.workersWithHeldResources())
    if (Leases.find(worker) == nullptr)
      for (const base::TaskId &id : Table.tasksHoldingResources(worker))
        Lifecycle.markLost(*Table.findTask(id),
                           "the worker is not in the host list");
}

void ShardOwner::removeExpiredJobs() {
  base::WallTime cutoff = Ctx.Clock.wallNow() - JobRetention;
  std::vector<base::JobId> expired;
  for (const auto &[id, job] : Table.jobs())
    if (job.EndedAt && *job.EndedAt < cutoff &&
        std::none_of(job.Tasks.begin(), job.Tasks.end(),
                     [&](const base::TaskId &it) {
                       return Table.tasks().at(it).HoldsResources;
                     }))
      expired.push_back(id);
  for (const base::JobId &it : expired)
    Table.removeJob(it);
}

void ShardOwner::applyDecisions() {
  for (const policy::Decision &it : Scheduler->decide(MaxStartsPerCommit))
    std::visit([this](const auto &decision) { applyDecision(decision); }, it);
}

/// Returns why a task must not be started on a worker, or an empty string if it
/// may be started.
std::string ShardOwner::startRejectionReason(const TaskRecord *task,
                                             const WorkerEntry *worker) {
  if (task == nullptr || task->HoldsResources ||
      task->Task.State != TaskState::Queued)
    return "the task is not queued";
  if (worker == nullptr || !worker->LeaseHeld || !worker->Reconciled)
    return "the placement lease is not held";
  if (worker->Worker.Leaving || Config.isWorkerOut(worker->Worker.Id))
    return "the worker is leaving or out";
  if (!WorkerQuarantine.allowsStart(worker->Worker.Id, Ctx.Clock.now()))
    return "the worker is quarantined";
  base::Resources free = worker->Worker.Capacity;
  free -= Table.usedResources(worker->Worker.Id);
  if (!Table.jobs().at(task->Task.Job).Spec.Size.fitsIn(free))
    return "the worker lacks free resources";
  return {};
}

void ShardOwner::applyDecision(const policy::StartTask &decision) {
  TaskRecord *task = Table.findTask(decision.Task);
  const WorkerEntry *worker = Leases.find(decision.Worker);
  std::string rejectionReason = startRejectionReason(task, worker);
  if (rejectionReason.empty()) {
    Lifecycle.planStart(*task, decision.Worker, worker->Token);
    return;
  }
  Ctx.Events.emit(EventCode::DecisionRejected,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"worker", decision.Worker.str()},
                   {"task", decision.Task.str()},
                   {"reason", rejectionReason}});
  if (task != nullptr && !task->HoldsResources &&
      task->Task.State == TaskState::Queued)
    Lifecycle.reschedule(*task);
}

void ShardOwner::applyDecision(const policy::ThrottleTask &decision) {
  const TaskRecord *task = Table.findTask(decision.Task);
  if (task != nullptr && task->Task.State == TaskState::Running)
    Calls.throttle(*task, decision.Percent);
}

void ShardOwner::applyDecision(const policy::EvictTask &decision) {
  TaskRecord *task = Table.findTask(decision.Task);
  if (task != nullptr && task->Task.State == TaskState::Running)
    Calls.evict(*task);
}

void ShardOwner::applyDecision(const policy::RefuseJob &decision) {
  Lifecycle.refuseJob(decision.Job, decision.Reason);
}

ShardOwner::PendingCommit ShardOwner::prepareCommit() {
  PendingCommit commit;
  commit.ZoneIn = !Config.isZoneOut(Ctx.Settings.Zone);
  commit.Content.Records = Table.takeChanges(MaxSegmentBytes, commit.Changes);
  for (const base::TaskId &it : commit.Changes.Tasks) {
    const TaskRecord &task = *Table.findTask(it);
    if (task.Start == StartPhase::Planned)
      commit.PlannedStarts.push_back({it, task.Task.LatestAttempt});
  }
  if (Table.dirty())
    return commit;
  // Inbox keys are only deleted in the commit whose segment contains the last
  // changes of their commands.
  commit.Content.ConsumedKeys.assign(ConsumedInboxKeys.begin(),
                                     ConsumedInboxKeys.end());
  std::size_t bytes = 0;
  for (const std::string &it : commit.Content.Records)
    bytes += it.size();
  if (!commit.ZoneIn && bytes < MaxSegmentBytesWithMoves)
    commit.MovedTasks = Transfers.appendTransfers(commit.Content);
  if (Report.isWriteDue() ||
      (Ctx.Stopping && !commit.Content.Records.empty())) {
    Report.appendChanges(commit.Content.Records, commit.Content.Puts);
    commit.ReportWritten = true;
  }
  return commit;
}

void ShardOwner::finishCommit(PendingCommit &commit,
                              const CommitResult &result) {
  bool committed = result.Outcome == CommitOutcome::Committed;
  Table.finishCommit(commit.Changes, committed);
  Transfers.finishCommit(commit.MovedTasks, committed, *Scheduler);
  if (commit.ReportWritten)
    Report.finishCommit(committed);
  if (!committed)
    return;
  for (const std::string &it : commit.Content.ConsumedKeys)
    ConsumedInboxKeys.erase(it);
  for (const platform::AttemptRef &it : commit.PlannedStarts)
    Calls.queueStart(it);
  if (commit.ZoneIn)
    Calls.permitStarts(result.SentAt);
  else
    Calls.withdrawPermit();
  IdleCommits = commit.Content.Records.empty() ? IdleCommits + 1 : 0;
}

void ShardOwner::applyInbox(std::vector<platform::StoreEntry> entries) {
  std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) {
    return a.CreateRevision < b.CreateRevision;
  });
  for (const platform::StoreEntry &it : entries) {
    if (ConsumedInboxKeys.count(it.Key) > 0 ||
        UnreadableInboxKeys.count(it.Key) > 0)
      continue;
    auto commands = batchFromJson(it.Value);
    if (!commands) {
      UnreadableInboxKeys.insert(it.Key);
      Ctx.Events.emit(EventCode::JournalBroken,
                      {{"zone", Ctx.Settings.Zone.str()},
                       {"key", it.Key},
                       {"error", commands.error().message()}});
      continue;
    }
    for (const Command &command : commands.value())
      Lifecycle.applyCommand(command);
    ConsumedInboxKeys.insert(it.Key);
    IdleCommits = 0;
  }
}

} // namespace endivedoor::control::detail
