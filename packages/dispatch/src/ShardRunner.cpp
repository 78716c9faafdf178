#include "detail/ShardRunner.h"

#include "detail/ColocationRecords.h"
#include "detail/Loads.h"
#include "detail/ShardState.h"
#include "detail/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::EventCode;
using base::TimePoint;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Long-poll wait at a worker with runs; bounds the age of its gauges.
constexpr auto BusyPollWait = 500ms;
/// The same while long-running tasks are tried there.
constexpr auto TrialPollWait = 100ms;
/// Long-poll wait at an idle worker.
constexpr auto IdlePollWait = 2000ms;
/// Timeout of a call, in addition to the requested wait.
constexpr auto CallTimeout = 900ms;
/// Delay between two polls of a worker; runs that end within it are reported
/// together.
constexpr auto PollBatchDelay = 25ms;
constexpr auto PollRetryDelay = 300ms;
/// The same while ends are not acknowledged because a start is in doubt: the
/// worker answers each poll at once.
constexpr auto HeldEndsDelay = 100ms;
/// A call of which nothing was sent and that fails sooner than this was refused
/// by the worker's host; the path to a host that is cut off times out.
constexpr auto MaxRefusalTime = 300ms;
static_assert(IdlePollWait + CallTimeout + PollRetryDelay < MaxPollCycle);
/// Maximum wait of a watch of the shard's records. An answer arrives at least
/// this often, so that the records count as current between two answers.
constexpr auto RecordWatchWait = 500ms;
/// Time from the acknowledgement of a cancellation, or of a zone's going out of
/// service, to the last start that ignores it.
constexpr auto RecordEffectTime = 3000ms;
/// No task is started from records that are older; a start takes up to 1.5 s
/// to reach its worker. Longer than two waits of a watch.
constexpr auto MaxRecordAge = 1500ms;
/// Time from the acknowledgement of a worker's notice that it leaves to the
/// last start on it: 2 s, less what a worker's clock may be slow by.
constexpr auto WorkerEffectTime = 1900ms;
/// No task is started from worker entries that are older: the call that starts
/// it takes the rest of the time.
constexpr auto MaxWorkerEntryAge = WorkerEffectTime - CallTimeout;
/// A call that takes longer is logged. Longer than CallTimeout, so that it
/// shows a delay in the node itself.
constexpr auto SlowCall = 1000ms;

constexpr const char *FencedCause =
    "a worker has seen a higher fencing token, or none is left for the term";

ShardRunner::ShardRunner(RunnerContext context, Term term)
    : Context(std::move(context)), CurrentTerm(std::move(term)),
      State(
          Context.Options.Shard, CurrentTerm.Shard, CurrentTerm.Number,
          base::FencingToken{static_cast<std::uint64_t>(CurrentTerm.Revision)},
          Context.Events, Context.MetricsRegistry),
      Sources({{"shard", RecordEffectTime, MaxRecordAge,
                [this]() -> std::optional<RecordsAge> {
                  if (!Mirror)
                    return std::nullopt;
                  return RecordsAge{Mirror->lastAnsweredCall(),
                                    Mirror->isReachable()};
                }},
               {"operators", RecordEffectTime, MaxRecordAge,
                Context.OperatorRecords},
               {"workers", WorkerEffectTime, MaxWorkerEntryAge,
                Context.WorkerEntries}},
              Context.LastStoreContact, Context.Events),
      PlanTimer(Context.Executor), RoomTimer(Context.Executor),
      CommitTimer(Context.Executor) {}

void ShardRunner::start() {
  asio::co_spawn(
      Context.Executor, [self = shared_from_this()] { return self->load(); },
      asio::detached);
}

void ShardRunner::stop() {
  Stopped = true;
  Mirror.reset();
  PlanTimer.cancel();
  RoomTimer.cancel();
  CommitTimer.cancel();
}

void ShardRunner::endTerm(const char *cause) {
  if (Stopped)
    return;
  auto self = shared_from_this();
  Context.Events.emit(EventCode::ShardGivenUp,
                      {{"shard", std::to_string(CurrentTerm.Shard)},
                       {"term", std::to_string(CurrentTerm.Number)},
                       {"cause", cause}});
  stop();
  Context.OnTermEnded(*this);
}

TimePoint ShardRunner::permissionEnd() const {
  // An answered call proves nothing about the shard: the store also answers an
  // owner that has been replaced and has not heard of it yet.
  TimePoint proved = Mirror ? Mirror->lastAnsweredCall() : TimePoint{};
  return std::min(Context.LeaseRenewedAt(), proved) +
         Context.Options.Shard.OwnerGrace;
}

bool ShardRunner::maySendCommands() const {
  return Context.Time.now() < permissionEnd();
}

/// Returns whether no other node can own the shard now: the node's lease in the
/// store cannot have expired yet.
bool ShardRunner::ownsShard() const {
  return Context.Time.now() - Context.LeaseRenewedAt() <
         Context.Options.NodeLease;
}

/// Returns whether the jobs, cancellations, zones out of service and workers
/// are recent enough to start tasks.
bool ShardRunner::recordsAreCurrent() {
  return Sources.areCurrent(Context.Time.now());
}

asio::awaitable<void> ShardRunner::load() {
  auto self = shared_from_this();
  while (!Stopped) {
    base::Result<std::optional<StoredItem>> roster =
        co_await Context.Store.read(keys::roster(CurrentTerm.Shard));
    if (Stopped)
      co_return;
    if (!roster) {
      co_await sleepFor(CommitRetryDelay);
      continue;
    }
    if (roster.value()) {
      RosterRevision = roster.value()->Revision;
      base::Result<std::vector<RosterEntry>> list =
          decodeRoster(roster.value()->Value);
      if (list) {
        StoredRoster = list.value();
        State.markUnverified(list.value(), CurrentTerm.Former,
                             Context.Time.now());
      } else {
        // If the term ended here, no later owner could run the shard either.
        reportUnreadable(*roster.value(), list.error());
        State.markRosterUnknown(Context.Time.now());
      }
    }
    break;
  }
  RosterRead = true;
  spawnAccountLoad();
  // Optional as well: without it the waits of the tasks begin again.
  base::Result<std::optional<StoredItem>> load =
      co_await Context.Store.read(keys::load(CurrentTerm.Shard));
  if (Stopped)
    co_return;
  if (load && load.value())
    if (base::Result<ShardLoad> last = decodeLoad(load.value()->Value))
      State.inheritWaits(last.value().Requests, Context.Time.now());
  // The interference record is optional: without it the model starts empty.
  base::Result<std::optional<StoredItem>> pairs =
      co_await Context.Store.read(keys::colocation(CurrentTerm.Shard));
  if (Stopped)
    co_return;
  if (pairs && pairs.value()) {
    base::Result<std::vector<policy::ColocationStatistics>> facts =
        decodeColocation(pairs.value()->Value);
    if (facts)
      State.colocationModel().importStatistics(facts.value());
    else
      reportUnreadable(*pairs.value(), facts.error());
  }
  std::vector<StoredItem> progress;
  while (!Stopped) {
    base::Result<Listing> list =
        co_await Context.Store.list(keys::progressPrefix(CurrentTerm.Shard));
    if (Stopped)
      co_return;
    if (list) {
      progress = std::move(list.value().Items);
      break;
    }
    co_await sleepFor(CommitRetryDelay);
  }
  PrefixMirror::Handlers handlers;
  handlers.Written = [runner = weak_from_this()](const StoredItem &item) {
    if (std::shared_ptr<ShardRunner> self = runner.lock())
      self->onItem(item);
  };
  handlers.Deleted = [](const std::string &) {};
  handlers.Synced = [runner = weak_from_this(),
                     progress = std::move(progress)]() mutable {
    if (std::shared_ptr<ShardRunner> self = runner.lock())
      self->onSynced(std::move(progress));
  };
  Mirror = std::make_unique<PrefixMirror>(
      Context.Executor, Context.Store, keys::shardPrefix(CurrentTerm.Shard),
      std::move(handlers), Context.Time, Context.Events,
      MirrorDelays{.Watch = RecordWatchWait});
  Mirror->start();
}

void ShardRunner::onSynced(std::vector<StoredItem> progress) {
  if (!Loaded) {
    Loaded = true;
    std::string prefix = keys::progressPrefix(CurrentTerm.Shard);
    for (const StoredItem &it : progress) {
      base::Result<model::JobNumber> id =
          parseJobNumber(it.Key.substr(prefix.size()));
      base::Result<JobProgress> record = decodeProgress(it.Value);
      if (id && record)
        State.restore(id.value(), record.value(), it.Revision);
      else
        reportUnreadable(it, id ? record.error() : id.error());
    }
    Context.Events.emit(
        EventCode::ShardLoaded,
        {{"shard", std::to_string(CurrentTerm.Shard)},
         {"term", std::to_string(CurrentTerm.Number)},
         {"waitsFor", State.describeUnverified(Context.Time.now())}});
    auto self = shared_from_this();
    asio::co_spawn(
        Context.Executor, [self] { return self->planLoop(); }, asio::detached);
    asio::co_spawn(
        Context.Executor, [self] { return self->roomLoop(); }, asio::detached);
    asio::co_spawn(
        Context.Executor, [self] { return self->commitLoop(); },
        asio::detached);
    asio::co_spawn(
        Context.Executor, [self] { return self->readPeerModels(); },
        asio::detached);
    asio::co_spawn(
        Context.Executor, [self] { return self->readPeerLoads(); },
        asio::detached);
    spawnPollLoops();
  }
  requestPlan(State.takeRoomOpened());
}

void ShardRunner::onItem(const StoredItem &item) {
  std::string prefix = keys::shardPrefix(CurrentTerm.Shard);
  if (item.Key == keys::owner(CurrentTerm.Shard)) {
    if (item.Revision > CurrentTerm.Revision)
      endTerm("another node has acquired the shard");
    return;
  }
  constexpr std::size_t kindLength = 2;
  std::string kind = item.Key.substr(prefix.size(), kindLength);
  std::string name = item.Key.substr(prefix.size() + kindLength);
  if (kind == "g/" || kind == "r/")
    return onRoomItem(item, kind == "g/", name);
  base::Result<model::JobNumber> id = parseJobNumber(name);
  if (!id)
    return reportUnreadable(item, id.error());
  if (kind == "c/") {
    base::Result<std::set<std::int32_t>> shards = decodeCancel(item.Value);
    if (!shards)
      reportUnreadable(item, shards.error());
    return State.cancelJob(id.value(), Context.Time.now(),
                           shards ? std::move(shards.value())
                                  : std::set<std::int32_t>{});
  }
  base::Result<model::AcceptedJob> job = decodeJob(id.value(), item.Value);
  if (!job)
    return reportUnreadable(item, job.error());
  base::Result<std::optional<JobHandover>> handover =
      decodeHandover(item.Value);
  if (!handover)
    return reportUnreadable(item, handover.error());
  base::Result<std::optional<JobPart>> part = decodePart(item.Value);
  if (!part)
    return reportUnreadable(item, part.error());
  // An earlier owner may have started tasks of a part before others were added
  // to its record.
  std::int64_t since = part.value() && part.value()->FirstRevision > 0
                           ? part.value()->FirstRevision
                           : item.Revision;
  bool inherited = since <= CurrentTerm.Revision;
  State.addJob(std::move(job.value()), item.Revision, inherited,
               Context.Time.now(), part.value() ? &*part.value() : nullptr);
  if (handover.value())
    State.restore(id.value(), *handover.value());
}

void ShardRunner::onRoomItem(const StoredItem &item, bool granted,
                             const std::string &name) {
  base::Result<model::TaskKey> task = parseRoomTask(name);
  if (!task)
    return reportUnreadable(item, task.error());
  if (granted) {
    base::Result<RoomGrant> grant = decodeRoomGrant(item.Value);
    if (!grant)
      return reportUnreadable(item, grant.error());
    State.onRoomGrant(task.value(), grant.value(), Context.Time.now());
    spawnGrantUse();
  } else {
    base::Result<RoomReturn> returned = decodeRoomReturn(item.Value);
    if (!returned)
      return reportUnreadable(item, returned.error());
    State.onRoomReturned(task.value(), returned.value(), Context.Time.now());
    requestPlan(true);
  }
  spawnRoomCommits();
}

/// Logs a record that is skipped. The record stays in the store, so that the
/// next owner reads it again; a job stays accepted and visible.
void ShardRunner::reportUnreadable(const StoredItem &item,
                                   const base::Error &error) {
  Context.Events.emit(EventCode::RecordUnreadable,
                      {{"key", item.Key},
                       {"bytes", std::to_string(item.Value.size())},
                       {"cause", error.message()}});
}

void ShardRunner::dropEndedOwners(
    const std::function<bool(const EarlierOwner &)> &hasEnded) {
  if (CurrentTerm.EarlierOwners.empty())
    return;
  std::erase_if(CurrentTerm.EarlierOwners, hasEnded);
  if (CurrentTerm.EarlierOwners.empty()) {
    State.onEarlierOwnersEnded(Context.Time.now());
    requestPlan();
  }
}

void ShardRunner::setZonesOutOfService(std::set<base::ZoneId> zones) {
  State.setZonesOutOfService(std::move(zones));
  requestPlan();
}

void ShardRunner::updateWorker(const model::WorkerProfile &worker) {
  State.updateWorker(worker, Context.Time.now());
  spawnPollLoops();
  requestPlan();
}

void ShardRunner::unlistWorker(const base::WorkerId &worker) {
  State.unlistWorker(worker);
  requestPlan();
}

void ShardRunner::requestPlan(bool roomOpened) {
  if (Stopped)
    return;
  if (roomOpened && !RoomPlanDue) {
    RoomPlanDue = true;
    RoomTimer.cancel();
  }
  if (PlanDue)
    return;
  PlanDue = true;
  PlanTimer.expires_after(PlanDelay);
}

asio::awaitable<void> ShardRunner::waitForPlan() {
  // requestPlan() shortens the wait.
  co_await PlanTimer.async_wait(AsTuple);
  if (Stopped || !PlanDue)
    co_return;
  PlanTimer.expires_after(Pacing.delay(Context.Time.now()));
  co_await PlanTimer.async_wait(AsTuple);
}

/// Starts polling each worker that is not polled yet. Waits until the jobs are
/// loaded; before that, their runs would be treated as orphans.
void ShardRunner::spawnPollLoops() {
  if (!Loaded)
    return;
  for (const WorkerRef &it : State.workers()) {
    if (!PolledWorkers.insert(it.Id).second)
      continue;
    asio::co_spawn(
        Context.Executor,
        [self = shared_from_this(), id = it.Id] { return self->pollLoop(id); },
        asio::detached);
  }
}

asio::awaitable<void> ShardRunner::pollLoop(base::WorkerId worker) {
  auto self = shared_from_this();
  while (!Stopped && State.hasWorker(worker)) {
    TimePoint sent = Context.Time.now();
    State.setPermissionEnd(permissionEnd());
    std::optional<PlannedPoll> plan =
        State.nextPoll(worker, sent, maySendCommands());
    if (!plan)
      break;
    plan->Request.Wait = !plan->Synced || plan->Silent ? 0ms
                         : plan->OnTrial               ? TrialPollWait
                         : plan->HasRuns               ? BusyPollWait
                                                       : IdlePollWait;
    base::Result<PollReport> report = co_await Context.WorkerCalls.poll(
        plan->Worker, plan->Request, plan->Request.Wait + CallTimeout);
    if (Stopped)
      co_return;
    if (!report) {
      TimePoint failed = Context.Time.now();
      bool refused = report.error().Code == base::Errc::WorkerUnreachable &&
                     failed - sent < MaxRefusalTime;
      State.onPollFailed(worker, report.error().message(), failed, refused);
      if (State.hasWrites())
        CommitTimer.cancel();
      co_await sleepFor(PollRetryDelay);
      continue;
    }
    State.onPoll(worker, report.value(), sent, Context.Time.now());
    if (State.isFenced())
      co_return endTerm(FencedCause);
    requestPlan(State.takeRoomOpened());
    if (State.hasWrites())
      CommitTimer.cancel();
    if (report.value().WrongIncarnation)
      co_await sleepFor(PollRetryDelay);
    else if (plan->EndsHeld)
      co_await sleepFor(HeldEndsDelay);
    else if (!plan->Silent && !State.isRoomAwaited(worker, Context.Time.now()))
      co_await sleepFor(PollBatchDelay);
  }
  PolledWorkers.erase(worker);
}

bool ShardRunner::prepareStarts(TimePoint now) {
  State.setRecordsAsOf(Sources.asOf(now));
  State.setStartsValidUntil(Sources.startsValidUntil(now));
  State.setPermissionEnd(permissionEnd());
  return maySendCommands() && recordsAreCurrent() && !Flushing;
}

void ShardRunner::execute(std::vector<WorkerCommand> orders) {
  for (WorkerCommand &it : orders)
    asio::co_spawn(
        Context.Executor,
        [self = shared_from_this(), order = std::move(it)] {
          return self->executeCommand(order);
        },
        asio::detached);
  if (!State.isRoster(StoredRoster) || State.hasWrites())
    CommitTimer.cancel();
  spawnRoomCommits();
}

asio::awaitable<void> ShardRunner::planLoop() {
  auto self = shared_from_this();
  while (!Stopped) {
    PlanDue = false;
    TimePoint begin = Context.Time.now();
    Sources.observeAges(begin, Context.MetricsRegistry);
    bool mayStart = prepareStarts(begin);
    std::vector<WorkerCommand> orders =
        State.plan(begin, Context.Time.wallNow(), mayStart,
                   Context.StartCalls.available(), ownsShard());
    Pacing.onPlanned(begin, Context.Time.now());
    execute(std::move(orders));
    if (State.isFenced())
      co_return endTerm(FencedCause);
    Context.MetricsRegistry.setLiveJobs(State.liveJobCount());
    spawnAccountWrites();
    if (!PlanDue)
      PlanTimer.expires_after(State.hasDeferredAccountWrites()
                                  ? policy::AccountShare::WriteInterval
                                  : PlanInterval);
    co_await waitForPlan();
  }
}

asio::awaitable<void> ShardRunner::roomLoop() {
  auto self = shared_from_this();
  while (!Stopped) {
    if (!RoomPlanDue) {
      // requestPlan() ends the wait.
      RoomTimer.expires_after(PlanInterval);
      co_await RoomTimer.async_wait(AsTuple);
      continue;
    }
    RoomPlanDue = false;
    TimePoint begin = Context.Time.now();
    if (prepareStarts(begin))
      execute(State.planLongRunning(begin, Context.StartCalls.available(),
                                    ownsShard()));
    TimePoint end = Context.Time.now();
    RoomPacing.onPlanned(begin, end);
    co_await sleepFor(RoomPacing.urgentDelay(end));
  }
}

/// Interval at which the record of one other shard is read. The cost does not
/// depend on the number of shards: one read of at most some 80 kB each.
constexpr auto PeerModelInterval = 500ms;

asio::awaitable<void> ShardRunner::readPeerModels() {
  auto self = shared_from_this();
  std::int32_t next = CurrentTerm.Shard;
  while (!Stopped) {
    co_await sleepFor(PeerModelInterval);
    if (Stopped || Context.ShardCount() < 2)
      continue;
    next = (next + 1) % Context.ShardCount();
    if (next == CurrentTerm.Shard)
      next = (next + 1) % Context.ShardCount();
    base::Result<std::optional<StoredItem>> item =
        co_await Context.Store.read(keys::colocation(next));
    if (Stopped)
      co_return;
    if (!item || !item.value())
      continue;
    base::Result<std::vector<policy::ColocationStatistics>> published =
        decodeColocation(item.value()->Value);
    if (published)
      State.colocationModel().setPeerStatistics(next, published.value());
    else
      reportUnreadable(*item.value(), published.error());
  }
}

asio::awaitable<void> ShardRunner::executeCommand(WorkerCommand order) {
  auto self = shared_from_this();
  if (Stopped)
    co_return;
  switch (order.Type) {
  case WorkerCommand::Kind::Start: {
    if (!maySendCommands() || !recordsAreCurrent() ||
        !State.isStartWanted(order)) {
      State.withdrawStart(order);
      requestPlan();
      break;
    }
    StartRequest request;
    request.Run = order.Run;
    request.Payload = order.Payload;
    request.Checkpoint = order.Checkpoint;
    request.Deadline = order.Deadline;
    request.Token = order.Token;
    request.SendBefore = permissionEnd();
    TimePoint sent = Context.Time.now();
    bool wasFull = Context.StartCalls.available() == 0;
    Context.StartCalls.onSent();
    auto answer = co_await Context.WorkerCalls.start(
        order.Worker, std::move(request), CallTimeout);
    TimePoint answered = Context.Time.now();
    Context.StartCalls.onFinished(answered - sent, answer.has_value(),
                                  answered);
    if (answered - sent > SlowCall)
      Context.Events.emit(EventCode::StartSlow,
                          {{"task", taskText(order.Run.Task)},
                           {"run", std::to_string(order.Run.Number)},
                           {"worker", order.Worker.Id.str()},
                           {"ms", std::to_string((answered - sent) / 1ms)},
                           {"answered", answer.has_value() ? "yes" : "no"}});
    if (Stopped)
      co_return;
    State.onStart(order, std::move(answer), Context.Time.now());
    if (wasFull)
      requestPlan();
    break;
  }
  case WorkerCommand::Kind::Stop: {
    auto answer = co_await Context.WorkerCalls.stop(order.Worker, order.Run,
                                                    order.Token, CallTimeout);
    if (Stopped)
      break;
    State.onStop(order, std::move(answer), Context.Time.now());
    requestPlan(State.takeRoomOpened());
    break;
  }
  case WorkerCommand::Kind::Throttle: {
    auto answer = co_await Context.WorkerCalls.throttle(
        order.Worker, order.Run, order.SpeedPercent, order.Token, CallTimeout);
    if (!Stopped)
      State.onThrottle(order, std::move(answer));
    break;
  }
  }
}

} // namespace endivedoor::dispatch::detail
