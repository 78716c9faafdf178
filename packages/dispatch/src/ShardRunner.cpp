#include "detail/ShardRunner.h"

#include "detail/PairRecords.h"
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

/// Events within this time lead to one plan.
constexpr auto PlanDelay = 8ms;
/// A plan is made at least this often, for leases, due times and pacing.
constexpr auto PlanInterval = 150ms;
/// Wait of a hold at a worker with runs; bounds the age of its gauges.
constexpr auto BusyWait = 500ms;
/// Wait of a hold at an idle worker.
constexpr auto IdleWait = 2000ms;
/// Allowance for the transfer of an answer.
constexpr auto CallTimeout = 900ms;
/// Ends within this time share one hold.
constexpr auto HoldPause = 25ms;
constexpr auto HoldRetry = 300ms;

ShardRunner::ShardRunner(RunnerContext context, Term term)
    : Context(std::move(context)), Current(std::move(term)),
      State(Context.Options.Shard, Current.Shard, Current.Number,
            base::FencingToken{static_cast<std::uint64_t>(Current.Revision)},
            Context.Events, Context.Times),
      PlanTimer(Context.Executor), CommitTimer(Context.Executor) {}

void ShardRunner::start() {
  asio::co_spawn(
      Context.Executor, [self = shared_from_this()] { return self->load(); },
      asio::detached);
}

void ShardRunner::stop() {
  Stopped = true;
  Mirror.reset();
  PlanTimer.cancel();
  CommitTimer.cancel();
}

void ShardRunner::lose(const char *cause) {
  if (Stopped)
    return;
  Context.Events.emit(EventCode::ShardGivenUp,
                      {{"shard", std::to_string(Current.Shard)},
                       {"term", std::to_string(Current.Number)},
                       {"cause", cause}});
  stop();
  Context.Lost(Current.Shard);
}

bool ShardRunner::mayOrder() const {
  return Context.Time.now() - Context.LastWord() <
         Context.Options.Shard.OwnerGrace;
}

asio::awaitable<void> ShardRunner::load() {
  auto self = shared_from_this();
  while (!Stopped) {
    base::Result<std::optional<StoredItem>> roster =
        co_await Context.Store.read(keys::roster(Current.Shard));
    if (Stopped)
      co_return;
    if (!roster) {
      co_await sleepFor(CommitRetry);
      continue;
    }
    if (roster.value()) {
      RosterRevision = roster.value()->Revision;
      base::Result<std::vector<RosterEntry>> list =
          decodeRoster(roster.value()->Value);
      if (!list)
        co_return lose("the roster cannot be read");
      StoredRoster = list.value();
      State.suspect(list.value(), !Current.Earlier.empty(), Context.Time.now());
    }
    break;
  }
  // Without it the new owner learns anew.
  base::Result<std::optional<StoredItem>> pairs =
      co_await Context.Store.read(keys::pairs(Current.Shard));
  if (Stopped)
    co_return;
  if (pairs && pairs.value()) {
    base::Result<std::vector<policy::PairFacts>> facts =
        decodePairs(pairs.value()->Value);
    if (facts)
      State.pairs().adopt(facts.value());
    else
      Context.Events.emit(EventCode::RecordUnreadable,
                          {{"key", keys::pairs(Current.Shard)}});
  }
  std::vector<StoredItem> progress;
  while (!Stopped) {
    base::Result<Listing> list =
        co_await Context.Store.list(keys::progressOf(Current.Shard));
    if (Stopped)
      co_return;
    if (list) {
      progress = std::move(list.value().Items);
      break;
    }
    co_await sleepFor(CommitRetry);
  }
  PrefixMirror::Handlers handlers;
  handlers.Written = [this](const StoredItem &item) { onItem(item); };
  handlers.Deleted = [](const std::string &) {};
  handlers.Synced = [this, progress = std::move(progress)]() mutable {
    if (!Loaded) {
      Loaded = true;
      std::string prefix = keys::progressOf(Current.Shard);
      for (const StoredItem &it : progress) {
        base::Result<model::JobNumber> id =
            parseJobNumber(it.Key.substr(prefix.size()));
        base::Result<JobProgress> record = decodeProgress(it.Value);
        if (id && record)
          State.restore(id.value(), record.value(), it.Revision);
        else
          Context.Events.emit(EventCode::RecordUnreadable, {{"key", it.Key}});
      }
      progress.clear();
      Context.Events.emit(EventCode::ShardLoaded,
                          {{"shard", std::to_string(Current.Shard)},
                           {"term", std::to_string(Current.Number)}});
      auto self = shared_from_this();
      asio::co_spawn(
          Context.Executor, [self] { return self->planLoop(); },
          asio::detached);
      asio::co_spawn(
          Context.Executor, [self] { return self->commitLoop(); },
          asio::detached);
      spawnHolds();
    }
    poke();
  };
  Mirror = std::make_unique<PrefixMirror>(Context.Executor, Context.Store,
                                          keys::shard(Current.Shard),
                                          std::move(handlers), Context.Events);
  Mirror->start();
}

void ShardRunner::onItem(const StoredItem &item) {
  std::string prefix = keys::shard(Current.Shard);
  if (item.Key == keys::owner(Current.Shard)) {
    if (item.Revision > Current.Revision)
      lose("another node has taken the shard");
    return;
  }
  constexpr std::size_t kindLength = 2;
  std::string kind = item.Key.substr(prefix.size(), kindLength);
  base::Result<model::JobNumber> id =
      parseJobNumber(item.Key.substr(prefix.size() + kindLength));
  if (!id) {
    Context.Events.emit(EventCode::RecordUnreadable, {{"key", item.Key}});
    return;
  }
  if (kind == "c/")
    return State.cancelJob(id.value(), Context.Time.now());
  base::Result<model::AcceptedJob> job = decodeJob(id.value(), item.Value);
  if (!job) {
    Context.Events.emit(EventCode::RecordUnreadable, {{"key", item.Key}});
    return;
  }
  base::Result<std::optional<Handover>> facts = decodeHandover(item.Value);
  if (!facts) {
    Context.Events.emit(EventCode::RecordUnreadable, {{"key", item.Key}});
    return;
  }
  bool inherited = item.Revision <= Current.Revision;
  State.addJob(std::move(job.value()), item.Revision, inherited,
               Context.Time.now());
  if (facts.value())
    State.restore(id.value(), *facts.value());
}

void ShardRunner::dropEarlier(
    const std::function<bool(const Process &)> &hasEnded) {
  if (Current.Earlier.empty())
    return;
  std::erase_if(Current.Earlier, hasEnded);
  if (Current.Earlier.empty()) {
    State.earlierOwnersEnded(Context.Time.now());
    poke();
  }
}

void ShardRunner::setZonesOut(std::set<base::ZoneId> zones) {
  State.setZonesOut(std::move(zones));
  poke();
}

void ShardRunner::offerWorker(const model::WorkerProfile &worker) {
  State.offerWorker(worker, Context.Time.now());
  spawnHolds();
  poke();
}

void ShardRunner::withdrawWorker(const base::WorkerId &worker) {
  State.withdrawWorker(worker);
  poke();
}

void ShardRunner::poke() {
  if (PlanDue || Stopped)
    return;
  PlanDue = true;
  PlanTimer.expires_after(PlanDelay);
}

/// A worker's lists mean nothing before the jobs are known: their runs would be
/// taken for strays.
void ShardRunner::spawnHolds() {
  if (!Loaded)
    return;
  for (const WorkerRef &it : State.workers()) {
    if (!Holding.insert(it.Id).second)
      continue;
    asio::co_spawn(
        Context.Executor,
        [self = shared_from_this(), id = it.Id] { return self->holdLoop(id); },
        asio::detached);
  }
}

asio::awaitable<void> ShardRunner::holdLoop(base::WorkerId worker) {
  auto self = shared_from_this();
  while (!Stopped && State.hasWorker(worker)) {
    TimePoint sent = Context.Time.now();
    std::optional<HoldPlan> plan = State.nextHold(worker, sent, mayOrder());
    if (!plan)
      break;
    plan->Request.Wait = !plan->Synced ? 0ms : plan->Busy ? BusyWait : IdleWait;
    base::Result<HoldReport> report = co_await Context.Workers.hold(
        plan->To, plan->Request, plan->Request.Wait + CallTimeout);
    if (Stopped)
      co_return;
    if (!report) {
      State.onHoldFailed(worker, report.error().message());
      co_await sleepFor(HoldRetry);
      continue;
    }
    State.onHold(worker, report.value(), sent, Context.Time.now());
    if (State.isFenced())
      co_return lose("a worker has seen a higher token");
    poke();
    if (State.hasWrites())
      CommitTimer.cancel();
    co_await sleepFor(HoldPause);
  }
  Holding.erase(worker);
}

asio::awaitable<void> ShardRunner::planLoop() {
  auto self = shared_from_this();
  while (!Stopped) {
    PlanDue = false;
    for (Order &it : State.plan(Context.Time.now(), Context.Time.wallNow(),
                                mayOrder() && !Flushing))
      asio::co_spawn(
          Context.Executor,
          [self, order = std::move(it)] { return self->carryOut(order); },
          asio::detached);
    if (State.isFenced())
      co_return lose("a worker has seen a higher token");
    if (State.roster() != StoredRoster)
      CommitTimer.cancel();
    Context.Times.setJobs(State.liveJobs());
    // poke() shortens the wait.
    PlanTimer.expires_after(PlanInterval);
    co_await PlanTimer.async_wait(AsTuple);
    if (PlanDue && !Stopped)
      co_await sleepFor(PlanDelay);
  }
}

asio::awaitable<void> ShardRunner::carryOut(Order order) {
  auto self = shared_from_this();
  if (Stopped)
    co_return;
  base::FencingToken token = State.token();
  switch (order.What) {
  case Order::Kind::Start: {
    StartRequest request;
    request.Id = order.Id;
    request.Payload = order.Payload;
    request.Checkpoint = order.Checkpoint;
    request.Deadline = order.Deadline;
    request.Token = token;
    auto answer = co_await Context.Workers.start(order.To, std::move(request),
                                                 CallTimeout);
    if (!Stopped)
      State.onStart(order, std::move(answer), Context.Time.now());
    break;
  }
  case Order::Kind::Stop: {
    auto answer =
        co_await Context.Workers.stop(order.To, order.Id, token, CallTimeout);
    if (!Stopped)
      State.onStop(order, std::move(answer), Context.Time.now());
    break;
  }
  case Order::Kind::Pace: {
    auto answer = co_await Context.Workers.pace(
        order.To, order.Id, order.Percent, token, CallTimeout);
    if (!Stopped && !answer)
      State.onPaceFailed(order);
    break;
  }
  }
}

} // namespace endivedoor::dispatch::detail
