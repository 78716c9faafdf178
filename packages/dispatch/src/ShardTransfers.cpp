// Transfers of work from ShardRunner to other shards: whole jobs, and tasks of
// long-running jobs.
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::EventCode;
using namespace std::chrono_literals;

/// Maximum number of jobs of which tasks are delegated between two commits, and
/// of jobs that are offered; an offer that no shard takes costs no call.
constexpr std::size_t MaxDelegationsPerRound = 2;
constexpr std::size_t MaxOffersPerRound = 16;
/// Maximum number of jobs moved between two commits; each move costs one call.
constexpr std::size_t MaxMovesPerRound = 2;

/// Bounds the memory for what other shards run of jobs.
constexpr std::size_t MaxKnownParts = 512;

/// Interval at which the load records are read, as that of their writes.
constexpr std::chrono::milliseconds PeerLoadInterval{800};

asio::awaitable<void> ShardRunner::readPeerLoads() {
  auto self = shared_from_this();
  while (!Stopped && Context.PeerLoads) {
    co_await sleepFor(PeerLoadInterval);
    if (Stopped)
      co_return;
    const std::map<std::int32_t, ShardLoad> *loads =
        co_await Context.PeerLoads();
    if (Stopped)
      co_return;
    if (!loads) {
      State.clearRoomRequests();
      continue;
    }
    for (const auto &[shard, load] : *loads) {
      if (shard == CurrentTerm.Shard)
        continue;
      State.setRoomRequests(shard, load.Requests, Context.Time.now());
      if (State.hasAccounts())
        State.setPeerStartedCpu(shard, load.StartedCpu);
    }
    requestPlan();
  }
}

asio::awaitable<void> ShardRunner::transferWork() {
  std::size_t delegated = 0;
  for (std::size_t i = 0;
       i < MaxOffersPerRound && delegated < MaxDelegationsPerRound; ++i) {
    std::vector<Delegation> offers =
        State.takeDelegations(1, Context.Time.now());
    if (offers.empty())
      break;
    bool done = co_await delegateTasks(std::move(offers.front()));
    if (Stopped)
      co_return;
    delegated += done;
  }
  for (JobMove &it : State.takeMoves(MaxMovesPerRound, Context.Time.now())) {
    ShardChoice to = co_await Context.FindShard(it.Job, CurrentTerm.Shard);
    if (Stopped)
      co_return;
    if (to.Shard)
      co_await moveJob(it, *to.Shard);
    else
      State.onMoveFinished(it.Job.Id, false, it.Revision, Context.Time.now());
    if (Stopped)
      co_return;
  }
}

/// Retries until the outcome is known: a job that may have moved must not be
/// started here.
asio::awaitable<void> ShardRunner::moveJob(JobMove move, std::int32_t to) {
  model::JobNumber id = move.Job.Id;
  std::int32_t from = CurrentTerm.Shard;
  base::Result<std::string> record = encodeJob(move.Job, &move.Handover);
  if (!record) {
    // The job stays; a record that its new owner cannot read would lose it.
    Context.Events.emit(
        EventCode::JobNotMoved,
        {{"job", formatJobNumber(id)}, {"cause", record.error().message()}});
    State.onMoveFinished(id, false, move.Revision, Context.Time.now());
    co_return;
  }
  while (!Stopped) {
    Commit commit;
    commit.Conditions = {{keys::owner(from), CurrentTerm.Revision},
                         {keys::index(id), move.Revision}};
    commit.Writes = {{keys::index(id),
                      encodeIndex({to, move.State, false, move.Job.Account})},
                     {keys::job(to, id), record.value()}};
    commit.Deletes = {keys::job(from, id), keys::progress(from, id)};
    base::Result<CommitOutcome> done =
        co_await Context.Store.commit(std::move(commit));
    if (Stopped)
      co_return;
    if (!done) {
      co_await sleepFor(CommitRetryDelay);
      continue;
    }
    std::int64_t revision = done.value().Revision;
    bool moved = done.value().Applied;
    for (const StoredItem &it : done.value().CurrentItems) {
      if (moved)
        break;
      if (it.Key == keys::owner(from) && it.Revision != CurrentTerm.Revision)
        co_return endTerm("another node has acquired the shard");
      if (it.Key != keys::index(id))
        continue;
      revision = it.Revision;
      base::Result<JobIndexEntry> index = decodeIndex(it.Value);
      moved = index && index.value().Shard != from;
      cancelIfIndexed(it, id);
    }
    State.onMoveFinished(id, moved, revision, Context.Time.now());
    if (moved)
      Context.Events.emit(EventCode::JobMoved, {{"job", formatJobNumber(id)},
                                                {"from", std::to_string(from)},
                                                {"to", std::to_string(to)}});
    co_return;
  }
}

void ShardRunner::emitNotDelegated(const Delegation &offer, const char *cause,
                                   const std::string &weighed) {
  Context.Events.emit(EventCode::TasksNotDelegated,
                      {{"job", formatJobNumber(offer.Job.Id)},
                       {"from", std::to_string(CurrentTerm.Shard)},
                       {"tasks", std::to_string(offer.Part.Tasks.size())},
                       {"cause", cause},
                       {"shards", weighed}});
}

std::optional<JobPart> ShardRunner::mergePart(Delegation &offer,
                                              std::int32_t shard,
                                              const StoredPart &current) {
  if (current.Revision == 0)
    return offer.Part;
  JobPart merged = current.Part;
  std::set<TaskPosition> had;
  for (const TaskRef &it : merged.Tasks)
    had.emplace(it.Step, it.Index);
  std::vector<TaskRef> passedOn;
  std::vector<TaskRef> added;
  for (const TaskRef &it : offer.Part.Tasks)
    (had.contains({it.Step, it.Index}) ? passedOn : added).push_back(it);
  State.notePassedOn(offer, shard, passedOn);
  State.limitDelegation(offer, added, Context.Time.now());
  if (added.empty())
    return std::nullopt;
  merged.Tasks.insert(merged.Tasks.end(), added.begin(), added.end());
  merged.LastRun = std::max(merged.LastRun, offer.Part.LastRun);
  merged.Waited = offer.Part.Waited;
  if (merged.FirstRevision == 0)
    merged.FirstRevision = current.Revision;
  return merged;
}

/// Returns what a shard runs of a job, or nothing if the record cannot be read.
static std::optional<StoredPart> readPart(const StoredItem &item) {
  base::Result<std::optional<JobPart>> part = decodePart(item.Value);
  if (!part || !part.value())
    return std::nullopt;
  return StoredPart{item.Revision, std::move(*part.value())};
}

/// Tells the shard that holds the rooms which tasks come instead of those that
/// it has granted them to.
static void addSubstitutes(const Delegation &offer, std::int32_t from,
                           Commit &commit) {
  for (const RoomUse &it : offer.Uses)
    if (it.Used != it.Granted)
      commit.Writes.push_back({keys::roomReturn(*offer.GrantedBy, it.Granted),
                               encodeRoomReturn({from, it.Used})});
}

void ShardRunner::keepPart(model::JobNumber job, std::int32_t shard,
                           StoredPart part) {
  if (KnownParts.size() >= MaxKnownParts)
    KnownParts.clear();
  KnownParts[{job, shard}] = std::move(part);
}

/// Retries until the outcome is known: tasks that another shard may have must
/// not be started here.
///
/// \returns whether another shard has taken tasks.
asio::awaitable<bool> ShardRunner::delegateTasks(Delegation offer) {
  model::JobNumber id = offer.Job.Id;
  std::int32_t from = CurrentTerm.Shard;
  RoomChoice choice{offer.GrantedBy, offer.Part.Tasks, "granted"};
  if (!offer.GrantedBy)
    choice = co_await Context.FindRooms(offer, from);
  if (Stopped)
    co_return false;
  auto keepHere = [&](const char *cause) {
    emitNotDelegated(offer, cause, choice.Weighed);
    State.onDelegationFinished(offer, std::nullopt, 0, Context.Time.now());
    return false;
  };
  if (!choice.Shard)
    co_return keepHere("no room");
  std::int32_t to = *choice.Shard;
  State.limitDelegation(offer, choice.Tasks, Context.Time.now());
  auto known = KnownParts.find({id, to});
  StoredPart current = known == KnownParts.end() ? StoredPart{} : known->second;
  while (!Stopped) {
    std::optional<JobPart> merged = mergePart(offer, to, current);
    if (!merged)
      co_return keepHere("shard had the tasks before");
    base::Result<std::string> record = encodeJob(offer.Job, nullptr, &*merged);
    if (!record)
      co_return keepHere("record cannot be encoded");
    if (!State.isLive(id))
      co_return keepHere("job ended");
    JobWrite write = State.delegate(offer, to);
    Commit commit;
    // A part that is stored after the job's cancellation would miss it.
    commit.Conditions = {{keys::owner(from), CurrentTerm.Revision},
                         {keys::progress(from, id), write.Revision},
                         {keys::cancel(from, id), 0},
                         {keys::job(to, id), current.Revision}};
    commit.Writes = {{keys::progress(from, id), encodeProgress(write.Progress)},
                     {keys::job(to, id), std::move(record.value())}};
    addSubstitutes(offer, from, commit);
    base::Result<CommitOutcome> done = co_await Context.Store.commit(commit);
    while (!done && !Stopped) {
      co_await sleepFor(CommitRetryDelay);
      if (!Stopped)
        done = co_await Context.Store.commit(commit);
    }
    if (Stopped)
      co_return false;
    std::int64_t revision = done.value().Revision;
    bool taken = done.value().Applied;
    const StoredItem *part = nullptr;
    for (const StoredItem &it : done.value().CurrentItems) {
      if (taken)
        break;
      if (it.Key == keys::owner(from) && it.Revision != CurrentTerm.Revision) {
        endTerm("another node has acquired the shard");
        co_return false;
      }
      // Only this owner writes the progress record, so a change is an earlier
      // attempt whose response was lost.
      taken =
          it.Key == keys::progress(from, id) && it.Revision != write.Revision;
      revision = it.Revision;
      if (it.Key == keys::job(to, id) && it.Revision != current.Revision)
        part = &it;
    }
    if (taken) {
      keepPart(id, to, {revision, std::move(*merged)});
      Context.Events.emit(
          EventCode::TasksDelegated,
          {{"job", formatJobNumber(id)},
           {"from", std::to_string(from)},
           {"to", std::to_string(to)},
           {"tasks", std::to_string(offer.Part.Tasks.size())},
           {"waitedMs", std::to_string(offer.Part.Waited / 1ms)},
           {"shards", choice.Weighed}});
      State.onDelegationFinished(offer, to, revision, Context.Time.now());
      co_return true;
    }
    std::optional<StoredPart> changed =
        part ? readPart(*part) : std::optional<StoredPart>();
    if (!changed)
      co_return keepHere("commit condition failed");
    current = std::move(*changed);
  }
  co_return false;
}

} // namespace endivedoor::dispatch::detail
