#include "detail/ShardOwner.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::EventCode;
using model::TaskState;

// A segment shares the 1 MB of a store value with base64 and the moved tasks.
constexpr std::size_t SegmentBytes = 400 * 1024;
// Tasks move only beside a small segment, since a request is limited as a
// whole.
constexpr std::size_t MovesBesideBytes = 100 * 1024;
constexpr std::size_t StartsPerCommit = 256;
// After this many commits without a change, the inbox is read less often.
constexpr int IdleRoundsLimit = 20;
constexpr std::chrono::hours JobRetention{1};
constexpr double RampFirstShare = 0.1;

ShardOwner::ShardOwner(Context &context, ConfigKeeper &keeper, Ownership won,
                       std::unique_ptr<policy::Scheduler> scheduler,
                       const ZoneCounter &zones)
    : Ctx(context), Keeper(keeper), Won(won), Scheduler(std::move(scheduler)),
      TakenOver(context.Clock.now()),
      Leases(context, won.Number, *this, [this] { return alive(); }),
      Report(context, keeper, Table, Leases, zones),
      Life(context, Table, *Scheduler, Bad,
           [this](const JobRecord &job) { Report.jobEnded(job); }),
      Calls(context, keeper, Table, Life, Leases, [this] { return alive(); }),
      Moves(context, keeper, Table) {}

bool ShardOwner::alive() const {
  return Alive && (!Ctx.Stopping || Ctx.Clock.now() < DrainDeadline);
}

void ShardOwner::stepDown(const std::string &reason) {
  if (!Alive)
    return;
  Alive = false;
  Ctx.Events.emit(EventCode::OwnerLost,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"epoch", std::to_string(base::toNumber(Won.Number))},
                   {"reason", reason}});
}

/// Reads the journal until it succeeds. It no longer changes: commits of older
/// epochs fail since this owner's key exists.
boost::asio::awaitable<void> ShardOwner::load() {
  Backoff backoff;
  while (alive()) {
    Table = TaskTable();
    Log = std::make_unique<Journal>(Ctx, Keeper, Won.Number,
                                    [this] { return alive(); });
    auto loaded = co_await Log->load([this](const boost::json::value &op) {
      FieldReader in(op);
      if (!in.has("row"))
        return Table.apply(op);
      auto row = rowFromJson(in.child("row"));
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
    co_await Ctx.Sleep(backoff.next(Ctx.Random));
  }
}

boost::asio::awaitable<void> ShardOwner::run() {
  auto self = shared_from_this();
  Calls.keepAlive(self);
  co_await load();
  if (!alive())
    co_return;
  Life.enqueueLoaded();
  Ctx.spawn(Leases.run(self));
  while (alive()) {
    bool more = co_await round();
    if (!more)
      break;
    co_await Ctx.Sleep(pause());
  }
  Alive = false;
}

base::Duration ShardOwner::pause() const {
  base::Duration interval = Ctx.Settings.Timing.CommitInterval;
  return IdleRounds > IdleRoundsLimit ? interval * 3 : interval;
}

/// One commit with what leads to it and what follows from it; returns false
/// when the owner is done.
boost::asio::awaitable<bool> ShardOwner::round() {
  tick();
  Flight flight = prepare();
  CommitResult result = co_await Log->commit(flight.Content);
  if (!alive())
    co_return false;
  settle(flight, result);
  if (result.Outcome == CommitOutcome::Fenced) {
    stepDown("another daemon owns the shard");
    co_return false;
  }
  if (result.Outcome != CommitOutcome::Committed)
    co_return true;
  if (Ctx.Stopping)
    co_return Table.dirty();
  Calls.sendStarts();
  takeInbox(std::move(result.Inbox));
  if (Log->wantsCompaction())
    co_await compact();
  co_return alive();
}

/// Records of changes that are not committed yet may enter the snapshot: each
/// is either true already or, for a planned start, treated by a new owner as a
/// start that may have been sent.
boost::asio::awaitable<void> ShardOwner::compact() {
  std::vector<std::string> records = Table.encodeAll();
  for (std::string &it : Report.encodeAll())
    records.push_back(std::move(it));
  CommitOutcome outcome = co_await Log->compact(std::move(records));
  if (outcome == CommitOutcome::Fenced && alive())
    stepDown("another daemon owns the shard");
}

void ShardOwner::tick() {
  Life.enqueueDue();
  applyConfiguration();
  updateAdmission();
  recheckQuarantine();
  if (Ctx.Clock.now() - LastSecond >= std::chrono::seconds(1)) {
    LastSecond = Ctx.Clock.now();
    tickEverySecond();
  }
  if (Keeper.isOut(Ctx.Settings.Zone))
    leaveZone();
  else if (!Ctx.Stopping)
    decide();
}

void ShardOwner::tickEverySecond() {
  Report.sample();
  loseUnknownWorkers();
  forgetOldJobs();
  Table.dropTombstones(Ctx.Clock.wallNow());
}

void ShardOwner::applyConfiguration() {
  if (AppliedVersion == Keeper.current().Version)
    return;
  bool first = !AppliedVersion;
  AppliedVersion = Keeper.current().Version;
  Scheduler->applyRules(Keeper.rules());
  for (const auto &[id, entry] : Leases.all())
    changed(*entry);
  bool out = Keeper.isOut(Ctx.Settings.Zone);
  if (out != ZoneWasOut) {
    Ctx.Events.emit(out ? EventCode::ZoneTakenOut : EventCode::ZoneReturned,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"version", std::to_string(*AppliedVersion)}});
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
    std::chrono::duration<double> since = Ctx.Clock.now() - *RampStart;
    std::chrono::duration<double> ramp = Ctx.Settings.Timing.ZoneRamp;
    share = RampFirstShare + (1 - RampFirstShare) * (since / ramp);
  }
  if (share >= 1)
    RampStart.reset();
  Scheduler->setAdmission(true, std::min(share, 1.0));
}

/// While the zone is out: no start leaves, and batch tasks are evicted.
/// Services go on until the operator stops them.
void ShardOwner::leaveZone() {
  for (const base::WorkerId &worker : Table.holders())
    for (const base::TaskId &id : Table.held(worker)) {
      TaskRecord &task = *Table.task(id);
      if (task.Start == StartPhase::Planned ||
          task.Start == StartPhase::Durable)
        Life.startRefused(task, "the zone is out");
      else if (task.Task.State == TaskState::Running &&
               Table.jobs().at(task.Task.Job).Spec.Kind ==
                   model::TaskKind::Batch)
        Calls.evict(task);
    }
}

void ShardOwner::recheckQuarantine() {
  std::set<base::WorkerId> before = std::move(HeldBack);
  HeldBack.clear();
  for (const base::WorkerId &it : Bad.workers())
    HeldBack.insert(it);
  before.insert(HeldBack.begin(), HeldBack.end());
  for (const base::WorkerId &it : before)
    if (WorkerEntry *entry = Leases.find(it))
      changed(*entry);
}

/// Attempts on workers that the host list has never named are over when their
/// task leases must have lapsed.
void ShardOwner::loseUnknownWorkers() {
  base::Duration limit =
      Ctx.Settings.Timing.TaskLease + Ctx.Settings.Timing.PlacementLease;
  if (Ctx.Clock.now() - TakenOver <= limit)
    return;
  for (const base::WorkerId &worker : Table.holders())
    if (Leases.find(worker) == nullptr)
      for (const base::TaskId &id : Table.held(worker))
        Life.lost(*Table.task(id), "the worker is not in the host list");
}

void ShardOwner::forgetOldJobs() {
  base::WallTime before = Ctx.Clock.wallNow() - JobRetention;
  std::vector<base::JobId> old;
  for (const auto &[id, job] : Table.jobs())
    if (job.EndedAt && *job.EndedAt < before &&
        std::none_of(job.Tasks.begin(), job.Tasks.end(),
                     [&](const base::TaskId &it) {
                       return Table.tasks().at(it).Holding;
                     }))
      old.push_back(id);
  for (const base::JobId &it : old)
    Table.forgetJob(it);
}

void ShardOwner::decide() {
  for (const policy::Decision &it : Scheduler->decide(StartsPerCommit))
    std::visit([this](const auto &decision) { follow(decision); }, it);
}

/// Says what keeps a task from being started on a worker; empty if nothing.
std::string ShardOwner::startObstacle(const TaskRecord *task,
                                      const WorkerEntry *worker) {
  if (task == nullptr || task->Holding || task->Task.State != TaskState::Queued)
    return "the task is not queued";
  if (worker == nullptr || !worker->Held || !worker->Compared)
    return "the placement lease is not held";
  if (worker->Worker.Leaving || Keeper.isWorkerOut(worker->Worker.Id))
    return "the worker is leaving or out";
  if (!Bad.allows(worker->Worker.Id, Ctx.Clock.now()))
    return "the worker is quarantined";
  base::Resources free = worker->Worker.Capacity;
  free -= Table.used(worker->Worker.Id);
  if (!Table.jobs().at(task->Task.Job).Spec.Size.fitsIn(free))
    return "the worker has no room";
  return {};
}

void ShardOwner::follow(const policy::StartTask &decision) {
  TaskRecord *task = Table.task(decision.Task);
  const WorkerEntry *worker = Leases.find(decision.Worker);
  std::string obstacle = startObstacle(task, worker);
  if (obstacle.empty()) {
    Life.plan(*task, decision.Worker, worker->Token);
    return;
  }
  Ctx.Events.emit(EventCode::DecisionRejected,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"worker", decision.Worker.str()},
                   {"task", decision.Task.str()},
                   {"reason", obstacle}});
  if (task != nullptr && !task->Holding &&
      task->Task.State == TaskState::Queued)
    Life.chooseAgain(*task);
}

void ShardOwner::follow(const policy::ThrottleTask &decision) {
  const TaskRecord *task = Table.task(decision.Task);
  if (task != nullptr && task->Task.State == TaskState::Running)
    Calls.throttle(*task, decision.Percent);
}

void ShardOwner::follow(const policy::EvictTask &decision) {
  TaskRecord *task = Table.task(decision.Task);
  if (task != nullptr && task->Task.State == TaskState::Running)
    Calls.evict(*task);
}

void ShardOwner::follow(const policy::RefuseJob &decision) {
  Life.refuse(decision.Job, decision.Reason);
}

ShardOwner::Flight ShardOwner::prepare() {
  Flight flight;
  flight.ZoneIn = !Keeper.isOut(Ctx.Settings.Zone);
  flight.Content.Ops = Table.takeChanges(SegmentBytes, flight.Taken);
  for (const base::TaskId &it : flight.Taken.Tasks) {
    const TaskRecord &task = *Table.task(it);
    if (task.Start == StartPhase::Planned)
      flight.Planned.push_back({it, task.Task.LatestAttempt});
  }
  if (Table.dirty())
    return flight;
  // Commands leave the inbox only with the segment that completes them.
  flight.Content.ConsumedKeys.assign(Consumed.begin(), Consumed.end());
  std::size_t bytes = 0;
  for (const std::string &it : flight.Content.Ops)
    bytes += it.size();
  if (!flight.ZoneIn && bytes < MovesBesideBytes)
    flight.Moved = Moves.add(flight.Content);
  if (Report.due() || (Ctx.Stopping && !flight.Content.Ops.empty())) {
    Report.write(flight.Content.Ops, flight.Content.Puts);
    flight.ReportWritten = true;
  }
  return flight;
}

void ShardOwner::settle(Flight &flight, const CommitResult &result) {
  bool committed = result.Outcome == CommitOutcome::Committed;
  Table.settle(flight.Taken, committed);
  Moves.settle(flight.Moved, committed, *Scheduler);
  if (flight.ReportWritten)
    Report.settle(committed);
  if (!committed)
    return;
  for (const std::string &it : flight.Content.ConsumedKeys)
    Consumed.erase(it);
  for (const platform::AttemptRef &it : flight.Planned)
    Calls.ready(it);
  if (flight.ZoneIn)
    Calls.permit(result.SentAt);
  else
    Calls.withdrawPermit();
  IdleRounds = flight.Content.Ops.empty() ? IdleRounds + 1 : 0;
}

void ShardOwner::takeInbox(std::vector<platform::StoreEntry> entries) {
  std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) {
    return a.CreateRevision < b.CreateRevision;
  });
  for (const platform::StoreEntry &it : entries) {
    if (Consumed.count(it.Key) > 0 || Unreadable.count(it.Key) > 0)
      continue;
    auto commands = batchFromJson(it.Value);
    if (!commands) {
      Unreadable.insert(it.Key);
      Ctx.Events.emit(EventCode::JournalBroken,
                      {{"zone", Ctx.Settings.Zone.str()},
                       {"key", it.Key},
                       {"error", commands.error().message()}});
      continue;
    }
    for (const Command &command : commands.value())
      Life.apply(command);
    Consumed.insert(it.Key);
    IdleRounds = 0;
  }
}

} // namespace endivedoor::control::detail
