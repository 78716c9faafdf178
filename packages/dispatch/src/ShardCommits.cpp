// Commits of ShardRunner: job records, the roster, load and interference
// records.
#include "detail/ColocationRecords.h"
#include "detail/Loads.h"
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::EventCode;
using base::TimePoint;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Changes within this time are batched into one commit.
constexpr auto CommitDelay = 25ms;
/// Minimum interval between writes of the load record; less than half of the 2
/// s that the record may be old.
constexpr auto LoadInterval = 800ms;
/// Minimum interval between writes of the interference record; the next owner
/// loses at most this much of what was measured.
constexpr auto ColocationInterval = 2000ms;
/// Commit entries per job: two conditions or writes, and two deletes.
constexpr std::size_t EntriesPerJob = 4;
/// Commit entries per started mark: a condition and a write.
constexpr std::size_t EntriesPerMark = 2;
/// Cancellations per commit that are stored for other shards.
constexpr std::size_t MaxCancelForwards = 1;
/// The condition on the owner record, the load record, the interference record
/// and the forwarded cancellations.
constexpr std::size_t FixedEntries = 3 + MaxCancelForwards;
constexpr std::size_t JobsPerCommit =
    (MaxCommitEntries - FixedEntries) / EntriesPerJob;

asio::awaitable<void> ShardRunner::commitLoop() {
  auto self = shared_from_this();
  while (!Stopped) {
    co_await commitOnce();
    if (Stopped)
      co_return;
    // A job that has been cancelled must not move away from its cancellation.
    if (!Flushing && Context.FindShard && maySendCommands() &&
        recordsAreCurrent())
      co_await transferWork();
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

void ShardRunner::addLoadRecord(Commit &commit) {
  TimePoint now = Context.Time.now();
  if (now - LoadStoredAt < LoadInterval)
    return;
  std::string load = encodeLoad(State.load());
  if (load == StoredLoad)
    return;
  commit.Writes.push_back({keys::load(CurrentTerm.Shard), load});
  // The interference record is written only together with a load record, so
  // that it needs no commit of its own.
  std::vector<policy::ColocationStatistics> facts =
      State.colocationModel().statistics();
  if (now - ColocationStoredAt < ColocationInterval || facts.empty())
    return;
  ColocationStoredAt = now;
  commit.Writes.push_back(
      {keys::colocation(CurrentTerm.Shard), encodeColocation(facts)});
}

/// Returns the workers of a roster that have no row in the next one, separated
/// by spaces.
static std::string droppedRows(const std::vector<RosterEntry> &roster,
                               const std::vector<RosterEntry> &next) {
  std::set<base::WorkerId> kept;
  for (const RosterEntry &it : next)
    kept.insert(it.Id);
  std::string text;
  for (const RosterEntry &it : roster)
    if (!kept.contains(it.Id))
      text += (text.empty() ? "" : " ") + it.Id.str();
  return text;
}

asio::awaitable<void> ShardRunner::storeRoster() {
  std::vector<RosterEntry> roster = State.roster();
  // An unreadable roster is replaced only once it names no worker that may
  // still have runs; the next owner would not know of them.
  if ((roster == StoredRoster && !RosterCallLost) || State.isRosterUnknown())
    co_return;
  Commit commit;
  commit.Conditions = {{keys::owner(CurrentTerm.Shard), CurrentTerm.Revision},
                       {keys::roster(CurrentTerm.Shard), RosterRevision}};
  std::string value = encodeRoster(roster);
  commit.Writes = {{keys::roster(CurrentTerm.Shard), value}};
  State.onRosterSent(roster);
  base::Result<CommitOutcome> done = co_await Context.Store.commit(commit);
  RosterCallLost = !done;
  if (Stopped || !done)
    co_return;
  if (!done.value().Applied) {
    for (const StoredItem &it : done.value().CurrentItems) {
      if (it.Key == keys::owner(CurrentTerm.Shard) &&
          it.Revision != CurrentTerm.Revision)
        co_return endTerm("another node has acquired the shard");
      if (it.Key != keys::roster(CurrentTerm.Shard))
        continue;
      RosterRevision = it.Revision;
      // The roster was written by an earlier commit of this owner whose
      // response was lost.
      if (base::Result<std::vector<RosterEntry>> list =
              decodeRoster(it.Value)) {
        StoredRoster = list.value();
        State.onRosterStored(StoredRoster);
      }
    }
    co_return;
  }
  RosterRevision = done.value().Revision;
  if (std::string dropped = droppedRows(StoredRoster, roster); !dropped.empty())
    Context.Events.emit(EventCode::RosterRowsDropped,
                        {{"shard", std::to_string(CurrentTerm.Shard)},
                         {"term", std::to_string(CurrentTerm.Number)},
                         {"revision", std::to_string(RosterRevision)},
                         {"workers", dropped}});
  StoredRoster = roster;
  State.onRosterStored(roster);
  requestPlan();
}

/// Adds the conditions, writes and deletes for one job to a commit.
static void addJobWrite(Commit &commit, std::int32_t shard,
                        const JobWrite &it) {
  if (!it.Final) {
    commit.Conditions.push_back({keys::progress(shard, it.Job), it.Revision});
    commit.Writes.push_back(
        {keys::progress(shard, it.Job), encodeProgress(it.Progress)});
    return;
  }
  if (*it.Final == model::JobState::Cancelled) {
    // The cancel request has already written the index entry.
    commit.Deletes.push_back(keys::cancel(shard, it.Job));
  } else {
    commit.Conditions.push_back({keys::index(it.Job), it.Revision});
    commit.Writes.push_back(
        {keys::index(it.Job),
         encodeIndex({shard, *it.Final, false, it.Account})});
  }
  commit.Deletes.push_back(keys::job(shard, it.Job));
  commit.Deletes.push_back(keys::progress(shard, it.Job));
}

/// Fills the remaining entries of a commit with started marks.
std::vector<StartedMark> ShardRunner::addStartedMarks(Commit &commit) {
  std::size_t entries =
      commit.Conditions.size() + commit.Writes.size() + commit.Deletes.size();
  std::vector<StartedMark> marks =
      State.takeStartedMarks((MaxCommitEntries - entries) / EntriesPerMark);
  for (const StartedMark &it : marks) {
    commit.Conditions.push_back({keys::index(it.Job), it.Revision});
    commit.Writes.push_back(
        {keys::index(it.Job),
         encodeIndex({CurrentTerm.Shard, model::JobState::Running, false,
                      it.Account})});
  }
  return marks;
}

asio::awaitable<void> ShardRunner::commitOnce() {
  co_await storeRoster();
  if (Stopped)
    co_return;
  std::vector<JobWrite> writes = State.takeWrites(JobsPerCommit);
  Commit commit;
  commit.Conditions.push_back(
      {keys::owner(CurrentTerm.Shard), CurrentTerm.Revision});
  for (const JobWrite &it : writes)
    addJobWrite(commit, CurrentTerm.Shard, it);
  addLoadRecord(commit);
  std::vector<CancelForward> forwards =
      State.takeCancelForwards(MaxCancelForwards);
  for (const CancelForward &it : forwards)
    commit.Writes.push_back({keys::cancel(it.Shard, it.Job), "{}"});
  if (commit.Writes.empty() && commit.Deletes.empty())
    co_return;
  std::vector<StartedMark> marks = addStartedMarks(commit);
  TimePoint sent = Context.Time.now();
  base::Result<CommitOutcome> done = co_await Context.Store.commit(commit);
  if (Stopped)
    co_return;
  State.onCancelForwards(forwards, done && done.value().Applied);
  if (!done) {
    State.onNotStored(writes);
    State.onStartedMarks(marks, false);
    co_await sleepFor(CommitRetryDelay);
    co_return;
  }
  if (!done.value().Applied)
    co_return onConflict(writes, marks, done.value());
  Context.OnStoreContact(sent);
  for (const Write &it : commit.Writes)
    if (it.Key == keys::load(CurrentTerm.Shard)) {
      StoredLoad = it.Value;
      LoadStoredAt = sent;
    }
  for (StartedMark &it : marks)
    it.Revision = done.value().Revision;
  State.onStartedMarks(marks, true);
  for (JobWrite &it : writes)
    it.Revision = done.value().Revision;
  State.onStored(writes, Context.Time.now());
}

void ShardRunner::onConflict(std::vector<JobWrite> &writes,
                             std::vector<StartedMark> &marks,
                             const CommitOutcome &outcome) {
  std::map<std::string, StoredItem> current;
  for (const StoredItem &it : outcome.CurrentItems)
    current[it.Key] = it;
  auto owner = current.find(keys::owner(CurrentTerm.Shard));
  if (owner == current.end() || owner->second.Revision != CurrentTerm.Revision)
    return endTerm("another node has acquired the shard");
  // Either an earlier write whose response was lost was applied, or the job was
  // cancelled.
  std::vector<JobWrite> notStored;
  std::vector<JobWrite> stored;
  for (JobWrite &it : writes) {
    if (it.Final == model::JobState::Cancelled) {
      notStored.push_back(it);
      continue;
    }
    std::string key = it.Final ? keys::index(it.Job)
                               : keys::progress(CurrentTerm.Shard, it.Job);
    auto item = current.find(key);
    std::int64_t revision = item == current.end() ? 0 : item->second.Revision;
    if (revision == it.Revision) {
      notStored.push_back(it);
      continue;
    }
    it.Revision = revision;
    if (!it.Final) {
      notStored.push_back(it);
      continue;
    }
    base::Result<JobIndexEntry> index =
        item == current.end() ? base::Result<JobIndexEntry>(JobIndexEntry{})
                              : decodeIndex(item->second.Value);
    // The index entry was changed by a started mark whose response was lost, or
    // by a previous owner.
    if (index && item != current.end() && !isFinal(index.value().State)) {
      notStored.push_back(it);
      continue;
    }
    if (index && index.value().State == model::JobState::Cancelled)
      State.cancelFinished(it.Job);
    stored.push_back(it);
  }
  std::vector<StartedMark> unmarked;
  std::vector<StartedMark> marked;
  for (StartedMark &it : marks) {
    auto item = current.find(keys::index(it.Job));
    std::int64_t revision = item == current.end() ? 0 : item->second.Revision;
    (revision == it.Revision ? unmarked : marked)
        .push_back({it.Job, revision, it.Account});
    if (item != current.end())
      cancelIfIndexed(item->second, it.Job);
  }
  State.onStartedMarks(unmarked, false);
  State.onStartedMarks(marked, true);
  State.onNotStored(notStored);
  State.onStored(stored, Context.Time.now());
}

/// Cancels a job whose index entry says so; the watch may deliver the
/// cancellation later than the conflict that it causes.
void ShardRunner::cancelIfIndexed(const StoredItem &item,
                                  model::JobNumber job) {
  base::Result<JobIndexEntry> index = decodeIndex(item.Value);
  if (index && index.value().State == model::JobState::Cancelled &&
      index.value().Shard == CurrentTerm.Shard)
    State.cancelJob(job, Context.Time.now());
}

asio::awaitable<void> ShardRunner::flush() {
  auto self = shared_from_this();
  Flushing = true;
  State.withdrawAnnouncements();
  State.close(Context.Time.now());
  if (!Stopped && Loaded)
    co_await storeRoster();
  // Maximum number of commits before the shard is released. The next owner
  // reads whatever is not stored by then from the workers' lists.
  constexpr int maxRounds = 8;
  for (int i = 0; i < maxRounds && !Stopped && Loaded && State.hasWrites(); ++i)
    co_await commitOnce();
}

} // namespace endivedoor::dispatch::detail
