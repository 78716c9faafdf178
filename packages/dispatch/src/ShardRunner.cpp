#include "detail/ShardRunner.h"

#include "detail/Loads.h"
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
/// Changes within this time share a commit.
constexpr auto CommitDelay = 25ms;
constexpr auto CommitRetry = 200ms;
/// How often the load record is stored; half of the 2 s that it may be old.
constexpr auto LoadInterval = 800ms;
/// How often what was learned is stored; a successor loses this much.
constexpr auto PairsInterval = 2000ms;
/// Wait of a hold at a worker with runs; bounds the age of its gauges.
constexpr auto BusyWait = 500ms;
/// Wait of a hold at an idle worker.
constexpr auto IdleWait = 2000ms;
/// Allowance for the transfer of an answer.
constexpr auto CallTimeout = 900ms;
/// Ends within this time share one hold.
constexpr auto HoldPause = 25ms;
constexpr auto HoldRetry = 300ms;
/// Entries of a commit for one job: two conditions or writes, two deletes.
constexpr std::size_t EntriesOfJob = 4;
/// Entries of a mark that a job has begun: a condition and a write.
constexpr std::size_t EntriesOfMark = 2;
/// The owner's condition, the load record and the record of pairs.
constexpr std::size_t FixedEntries = 3;
constexpr std::size_t JobsOfCommit =
    (MaxCommitEntries - FixedEntries) / EntriesOfJob;

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

asio::awaitable<void> ShardRunner::commitLoop() {
  auto self = shared_from_this();
  while (!Stopped) {
    co_await commitOnce();
    if (Stopped)
      co_return;
    if (!Flushing && Context.FindShard)
      co_await moveJobs();
    if (Stopped)
      co_return;
    if (State.hasWrites()) {
      co_await sleepFor(CommitDelay);
      continue;
    }
    CommitTimer.expires_after(LoadInterval);
    co_await CommitTimer.async_wait(AsTuple);
    if (!Stopped)
      co_await sleepFor(CommitDelay);
  }
}

void ShardRunner::addLoad(Commit &commit) {
  TimePoint now = Context.Time.now();
  if (now - LoadStored < LoadInterval)
    return;
  std::string load = encodeLoad(State.load());
  if (load == StoredLoad)
    return;
  commit.Writes.push_back({keys::load(Current.Shard), load});
  // With a record that is stored anyway.
  std::vector<policy::PairFacts> facts = State.pairs().facts();
  if (now - PairsStored < PairsInterval || facts.empty())
    return;
  PairsStored = now;
  commit.Writes.push_back({keys::pairs(Current.Shard), encodePairs(facts)});
}

asio::awaitable<void> ShardRunner::storeRoster() {
  std::vector<RosterEntry> roster = State.roster();
  if (roster == StoredRoster)
    co_return;
  Commit commit;
  commit.Conditions = {{keys::owner(Current.Shard), Current.Revision},
                       {keys::roster(Current.Shard), RosterRevision}};
  std::string value = encodeRoster(roster);
  commit.Writes = {{keys::roster(Current.Shard), value}};
  base::Result<CommitOutcome> done = co_await Context.Store.commit(commit);
  if (Stopped || !done)
    co_return;
  if (!done.value().Applied) {
    for (const StoredItem &it : done.value().Current) {
      if (it.Key == keys::owner(Current.Shard) &&
          it.Revision != Current.Revision)
        co_return lose("another node has taken the shard");
      if (it.Key != keys::roster(Current.Shard))
        continue;
      RosterRevision = it.Revision;
      // An own write whose answer was lost.
      if (base::Result<std::vector<RosterEntry>> list =
              decodeRoster(it.Value)) {
        StoredRoster = list.value();
        State.rosterStored(StoredRoster);
      }
    }
    co_return;
  }
  RosterRevision = done.value().Revision;
  StoredRoster = roster;
  State.rosterStored(roster);
  poke();
}

/// Adds the conditions, writes and deletes of one record.
static void addWrite(Commit &commit, std::int32_t shard, const JobWrite &it) {
  if (!it.Final) {
    commit.Conditions.push_back({keys::progress(shard, it.Job), it.Revision});
    commit.Writes.push_back(
        {keys::progress(shard, it.Job), encodeProgress(it.Progress)});
    return;
  }
  if (*it.Final == model::JobState::Cancelled) {
    // The caller's cancellation has written the index.
    commit.Deletes.push_back(keys::cancel(shard, it.Job));
  } else {
    commit.Conditions.push_back({keys::index(it.Job), it.Revision});
    commit.Writes.push_back(
        {keys::index(it.Job), encodeIndex({shard, *it.Final})});
  }
  commit.Deletes.push_back(keys::job(shard, it.Job));
  commit.Deletes.push_back(keys::progress(shard, it.Job));
}

/// Adds marks of begun jobs to a commit that has room for them.
std::vector<BeginMark> ShardRunner::addMarks(Commit &commit) {
  std::size_t entries =
      commit.Conditions.size() + commit.Writes.size() + commit.Deletes.size();
  std::vector<BeginMark> marks =
      State.takeMarks((MaxCommitEntries - entries) / EntriesOfMark);
  for (const BeginMark &it : marks) {
    commit.Conditions.push_back({keys::index(it.Job), it.Revision});
    commit.Writes.push_back(
        {keys::index(it.Job),
         encodeIndex({Current.Shard, model::JobState::Running})});
  }
  return marks;
}

asio::awaitable<void> ShardRunner::commitOnce() {
  co_await storeRoster();
  if (Stopped)
    co_return;
  std::vector<JobWrite> writes = State.takeWrites(JobsOfCommit);
  Commit commit;
  commit.Conditions.push_back({keys::owner(Current.Shard), Current.Revision});
  for (const JobWrite &it : writes)
    addWrite(commit, Current.Shard, it);
  addLoad(commit);
  if (commit.Writes.empty() && commit.Deletes.empty())
    co_return;
  std::vector<BeginMark> marks = addMarks(commit);
  TimePoint sent = Context.Time.now();
  base::Result<CommitOutcome> done = co_await Context.Store.commit(commit);
  if (Stopped)
    co_return;
  if (!done) {
    State.onNotStored(writes);
    State.onMarked(marks, false);
    co_await sleepFor(CommitRetry);
    co_return;
  }
  if (!done.value().Applied)
    co_return onConflict(writes, marks, done.value());
  Context.StoreAnswered(sent);
  for (const Write &it : commit.Writes)
    if (it.Key == keys::load(Current.Shard)) {
      StoredLoad = it.Value;
      LoadStored = sent;
    }
  for (BeginMark &it : marks)
    it.Revision = done.value().Revision;
  State.onMarked(marks, true);
  for (JobWrite &it : writes)
    it.Revision = done.value().Revision;
  State.onStored(writes, Context.Time.now());
}

void ShardRunner::onConflict(std::vector<JobWrite> &writes,
                             std::vector<BeginMark> &marks,
                             const CommitOutcome &outcome) {
  std::map<std::string, StoredItem> current;
  for (const StoredItem &it : outcome.Current)
    current[it.Key] = it;
  auto owner = current.find(keys::owner(Current.Shard));
  if (owner == current.end() || owner->second.Revision != Current.Revision)
    return lose("another node has taken the shard");
  // A write whose answer was lost has been applied, or a caller has cancelled
  // the job.
  std::vector<JobWrite> again;
  std::vector<JobWrite> stored;
  for (JobWrite &it : writes) {
    if (it.Final == model::JobState::Cancelled) {
      again.push_back(it);
      continue;
    }
    std::string key =
        it.Final ? keys::index(it.Job) : keys::progress(Current.Shard, it.Job);
    auto item = current.find(key);
    std::int64_t revision = item == current.end() ? 0 : item->second.Revision;
    if (revision == it.Revision) {
      again.push_back(it);
      continue;
    }
    it.Revision = revision;
    if (!it.Final) {
      again.push_back(it);
      continue;
    }
    base::Result<JobIndex> index = item == current.end()
                                       ? base::Result<JobIndex>(JobIndex{})
                                       : decodeIndex(item->second.Value);
    // A mark whose answer was lost, or of an earlier owner.
    if (index && item != current.end() && !isFinal(index.value().State)) {
      again.push_back(it);
      continue;
    }
    if (index && index.value().State == model::JobState::Cancelled)
      State.cancelFinished(it.Job);
    stored.push_back(it);
  }
  std::vector<BeginMark> unmarked;
  std::vector<BeginMark> marked;
  for (BeginMark &it : marks) {
    auto item = current.find(keys::index(it.Job));
    std::int64_t revision = item == current.end() ? 0 : item->second.Revision;
    (revision == it.Revision ? unmarked : marked).push_back({it.Job, revision});
  }
  State.onMarked(unmarked, false);
  State.onMarked(marked, true);
  State.onNotStored(again);
  State.onStored(stored, Context.Time.now());
}

/// Jobs that are handed over between two commits; each is a call.
constexpr std::size_t MovesOfRound = 2;

asio::awaitable<void> ShardRunner::moveJobs() {
  for (JobMove &it : State.takeMoves(MovesOfRound, Context.Time.now())) {
    std::optional<std::int32_t> to =
        co_await Context.FindShard(it.Job, Current.Shard);
    if (Stopped)
      co_return;
    if (to)
      co_await moveJob(it, *to);
    else
      State.onMoveTried(it.Job.Id, false, it.Revision, Context.Time.now());
    if (Stopped)
      co_return;
  }
}

/// Tries until it is known whether the job has moved: a job that may have moved
/// must not start here.
asio::awaitable<void> ShardRunner::moveJob(JobMove move, std::int32_t to) {
  model::JobNumber id = move.Job.Id;
  std::int32_t from = Current.Shard;
  while (!Stopped) {
    Commit commit;
    commit.Conditions = {{keys::owner(from), Current.Revision},
                         {keys::index(id), move.Revision}};
    commit.Writes = {{keys::index(id), encodeIndex({to, move.State})},
                     {keys::job(to, id), encodeJob(move.Job, &move.Facts)}};
    commit.Deletes = {keys::job(from, id), keys::progress(from, id)};
    base::Result<CommitOutcome> done =
        co_await Context.Store.commit(std::move(commit));
    if (Stopped)
      co_return;
    if (!done) {
      co_await sleepFor(CommitRetry);
      continue;
    }
    std::int64_t revision = done.value().Revision;
    bool moved = done.value().Applied;
    for (const StoredItem &it : done.value().Current) {
      if (moved)
        break;
      if (it.Key == keys::owner(from) && it.Revision != Current.Revision)
        co_return lose("another node has taken the shard");
      if (it.Key != keys::index(id))
        continue;
      revision = it.Revision;
      base::Result<JobIndex> index = decodeIndex(it.Value);
      moved = index && index.value().Shard != from;
    }
    State.onMoveTried(id, moved, revision, Context.Time.now());
    if (moved)
      Context.Events.emit(EventCode::JobMoved, {{"job", jobText(id)},
                                                {"from", std::to_string(from)},
                                                {"to", std::to_string(to)}});
    co_return;
  }
}

asio::awaitable<void> ShardRunner::flush() {
  auto self = shared_from_this();
  Flushing = true;
  /// rounds of commits before the shard is handed over; what is not stored by
  /// then is in the workers' lists.
  constexpr int rounds = 8;
  for (int i = 0; i < rounds && !Stopped && Loaded && State.hasWrites(); ++i)
    co_await commitOnce();
}

} // namespace endivedoor::dispatch::detail
