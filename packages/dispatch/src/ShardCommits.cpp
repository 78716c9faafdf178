// What a runner stores: the records of jobs, the roster, and what others read
// of the shard.
#include "detail/Loads.h"
#include "detail/PairRecords.h"
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::EventCode;
using base::TimePoint;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Changes within this time share a commit.
constexpr auto CommitDelay = 25ms;
/// How often the load record is stored; half of the 2 s that it may be old.
constexpr auto LoadInterval = 800ms;
/// How often what was learned is stored; a successor loses this much.
constexpr auto PairsInterval = 2000ms;
/// Entries of a commit for one job: two conditions or writes, two deletes.
constexpr std::size_t EntriesOfJob = 4;
/// Entries of a mark that a job has begun: a condition and a write.
constexpr std::size_t EntriesOfMark = 2;
/// The owner's condition, the load record and the record of pairs.
constexpr std::size_t FixedEntries = 3;
constexpr std::size_t JobsOfCommit =
    (MaxCommitEntries - FixedEntries) / EntriesOfJob;

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
  // Commits before the shard is handed over; what is not stored by then is in
  // the workers' lists.
  constexpr int rounds = 8;
  for (int i = 0; i < rounds && !Stopped && Loaded && State.hasWrites(); ++i)
    co_await commitOnce();
}

} // namespace endivedoor::dispatch::detail
