// Grants of room between ShardRunner and the other shards. They do not wait for
// the commits of job records: a room is idle until its task has come.
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iterator>

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Grants in one commit: each has a condition and a write, beside the condition
/// on the owner record.
constexpr std::size_t MaxGrantsPerCommit = (MaxCommitEntries - 1) / 2;
/// Other changes of the records of rooms in one commit.
constexpr std::size_t MaxChangesPerCommit = MaxCommitEntries - 1;
/// Maximum number of granted delegations in flight; each takes three calls.
constexpr std::size_t MaxGrantedInFlight = 4;
/// Delay until a grant is tried again whose job has a commit in flight.
constexpr auto GrantRetryDelay = 25ms;

void ShardRunner::spawnRoomCommits() {
  if (StoringRooms || Stopped || Flushing ||
      !State.hasRoomRecords(Context.Time.now()))
    return;
  StoringRooms = true;
  asio::co_spawn(
      Context.Executor,
      [self = shared_from_this()] { return self->storeRooms(); },
      asio::detached);
}

asio::awaitable<void> ShardRunner::storeRooms() {
  auto self = shared_from_this();
  while (!Stopped && !Flushing && State.hasRoomRecords(Context.Time.now()))
    if (!co_await storeRoomsOnce() && !Stopped)
      co_await sleepFor(CommitRetryDelay);
  StoringRooms = false;
}

/// Returns whether the store has answered.
asio::awaitable<bool> ShardRunner::storeRoomsOnce() {
  std::vector<RoomOffer> offers = State.takeRoomOffers(MaxGrantsPerCommit);
  // Without an answer, the room is free again after a short time.
  if (!offers.empty() && !co_await storeGrants(std::move(offers)))
    co_return false;
  if (Stopped)
    co_return true;
  RoomRecordChanges changes =
      State.takeRoomChanges(MaxChangesPerCommit, Context.Time.now());
  if (changes.empty())
    co_return true;
  std::int32_t own = CurrentTerm.Shard;
  Commit commit;
  commit.Conditions = {{keys::owner(own), CurrentTerm.Revision}};
  for (const RoomOffer &it : changes.Returned)
    commit.Writes.push_back(
        {keys::roomReturn(it.To, it.Task), encodeRoomGrant({own})});
  for (const model::TaskKey &it : changes.EndedGrants)
    commit.Deletes.push_back(keys::roomGrant(own, it));
  for (const model::TaskKey &it : changes.ReadReturns)
    commit.Deletes.push_back(keys::roomReturn(own, it));
  base::Result<CommitOutcome> done =
      co_await Context.Store.commit(std::move(commit));
  if (Stopped)
    co_return true;
  if (done && !done.value().Applied)
    endTerm("another node has acquired the shard");
  else if (!done)
    State.onRoomChangesKept(changes);
  co_return done.has_value();
}

asio::awaitable<bool> ShardRunner::storeGrants(std::vector<RoomOffer> offers) {
  std::int32_t own = CurrentTerm.Shard;
  Commit commit;
  commit.Conditions = {{keys::owner(own), CurrentTerm.Revision}};
  for (const RoomOffer &it : offers) {
    std::string key = keys::roomGrant(it.To, it.Task);
    commit.Conditions.push_back({key, 0});
    commit.Writes.push_back({key, encodeRoomGrant({own})});
  }
  base::Result<CommitOutcome> done =
      co_await Context.Store.commit(std::move(commit));
  if (Stopped || !done)
    co_return done.has_value();
  if (done.value().Applied)
    co_return true;
  std::set<std::string> granted;
  for (const StoredItem &it : done.value().CurrentItems) {
    if (it.Key == keys::owner(own) && it.Revision != CurrentTerm.Revision) {
      endTerm("another node has acquired the shard");
      co_return true;
    }
    if (it.Revision != 0)
      granted.insert(it.Key);
  }
  auto declined = std::stable_partition(
      offers.begin(), offers.end(), [&](const RoomOffer &it) {
        return !granted.contains(keys::roomGrant(it.To, it.Task));
      });
  std::set<std::int32_t> shards;
  for (auto it = declined; it != offers.end(); ++it) {
    State.onRoomOfferDeclined(*it, Context.Time.now());
    shards.insert(it->To);
  }
  offers.erase(declined, offers.end());
  State.onRoomOffersKept(offers);
  // Otherwise, a room would be offered to one granted task after the other.
  for (std::int32_t it : shards)
    co_await readGrantsFor(it);
  if (!Stopped)
    requestPlan();
  co_return true;
}

asio::awaitable<void> ShardRunner::readGrantsFor(std::int32_t shard) {
  if (Stopped)
    co_return;
  std::string prefix = keys::roomGrantPrefix(shard);
  base::Result<Listing> list = co_await Context.Store.list(prefix);
  if (Stopped || !list)
    co_return;
  std::vector<model::TaskKey> tasks;
  for (const StoredItem &it : list.value().Items)
    if (base::Result<model::TaskKey> task =
            parseTask(std::string_view(it.Key).substr(prefix.size())))
      tasks.push_back(task.value());
  State.noteGranted(tasks, Context.Time.now());
}

void ShardRunner::spawnGrantUse() {
  if (Stopped || Flushing || GrantedInFlight >= MaxGrantedInFlight ||
      !State.hasGrants(Context.Time.now()))
    return;
  ++GrantedInFlight;
  asio::co_spawn(
      Context.Executor,
      [self = shared_from_this()] { return self->useGrants(); },
      asio::detached);
}

asio::awaitable<void> ShardRunner::useGrants() {
  auto self = shared_from_this();
  while (!Stopped && !Flushing && State.hasGrants(Context.Time.now())) {
    std::optional<Delegation> offer;
    if (maySendCommands() && recordsAreCurrent())
      offer = State.takeGranted(Context.Time.now());
    if (offer)
      co_await delegateTasks(std::move(*offer));
    else
      co_await sleepFor(GrantRetryDelay);
    spawnRoomCommits();
  }
  --GrantedInFlight;
}

} // namespace endivedoor::dispatch::detail
