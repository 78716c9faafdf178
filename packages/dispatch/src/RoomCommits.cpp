// Grants of room between ShardRunner and the other shards. They do not wait for
// the commits of job records: a room is idle until its task has come.
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Grants and other changes of the records of rooms in one commit, beside the
/// condition on the owner record.
constexpr std::size_t MaxRoomWritesPerCommit = MaxCommitEntries - 1;
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
  std::int32_t own = CurrentTerm.Shard;
  Commit commit;
  commit.Conditions = {{keys::owner(own), CurrentTerm.Revision}};
  for (const RoomOffer &it : State.takeRoomOffers(MaxRoomWritesPerCommit))
    commit.Writes.push_back(
        {keys::roomGrant(it.To, it.Task, own), encodeRoomGrant(it.Grant)});
  RoomRecordChanges changes = State.takeRoomChanges(
      MaxRoomWritesPerCommit - commit.Writes.size(), Context.Time.now());
  for (const RoomGrantId &it : changes.Returned)
    commit.Writes.push_back(
        {keys::roomReturn(it.Shard, it.Task), encodeRoomReturn({own})});
  for (const RoomGrantId &it : changes.EndedGrants)
    commit.Deletes.push_back(keys::roomGrant(own, it.Task, it.Shard));
  for (const model::TaskKey &it : changes.ReadReturns)
    commit.Deletes.push_back(keys::roomReturn(own, it));
  if (commit.Writes.empty() && commit.Deletes.empty())
    co_return true;
  base::Result<CommitOutcome> done =
      co_await Context.Store.commit(std::move(commit));
  if (Stopped)
    co_return true;
  // Without an answer, a room that was offered is free again after a short
  // time.
  if (done && !done.value().Applied)
    endTerm("another node has acquired the shard");
  else if (!done)
    State.onRoomChangesKept(changes);
  co_return done.has_value();
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
