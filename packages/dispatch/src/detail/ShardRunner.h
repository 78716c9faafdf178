/// \file
/// Runs one shard for one term of ownership: does the I/O for the decisions of
/// class Shard.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_SHARDRUNNER_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_SHARDRUNNER_H

#include "detail/CallWindow.h"
#include "detail/NodeRecords.h"
#include "detail/PlanPacing.h"
#include "detail/Routing.h"
#include "detail/StartSources.h"

#include "endivedoor/dispatch/DispatchNode.h"
#include "endivedoor/dispatch/PrefixMirror.h"
#include "endivedoor/dispatch/Shard.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace endivedoor::dispatch::detail {

/// One term of shard ownership, as committed to the store.
struct Term {
  std::int32_t Shard = 0;
  std::int64_t Number = 0;
  /// Revision of the owner record; also the fencing token.
  std::int64_t Revision = 0;
  /// Previous owners that may still send commands.
  std::vector<EarlierOwner> EarlierOwners;
  /// The earlier terms whose end this node knows.
  std::vector<FormerTerm> Former;
  /// Revision of the owner record before this term.
  std::int64_t PreviousOwnerRevision = 0;
};

/// Delay before a failed call to the store is retried.
constexpr std::chrono::milliseconds CommitRetryDelay{200};

/// What a shard runs of a job, as of a revision of its record; 0 if there is no
/// record.
struct StoredPart {
  std::int64_t Revision = 0;
  JobPart Part;
};

class ShardRunner;

/// Dependencies of a runner, provided by its node. The functions must keep what
/// they refer to alive.
struct RunnerContext {
  boost::asio::any_io_executor Executor;
  const DispatchOptions &Options;
  MetadataStore &Store;
  TaskWorker &WorkerCalls;
  const base::Clock &Time;
  base::EventLog &Events;
  Metrics &MetricsRegistry;
  /// Start commands in flight of all shards of the node.
  CallWindow &StartCalls;
  /// Returns when the latest successful call to the store was sent.
  std::function<base::TimePoint()> LastStoreContact;
  std::function<void(base::TimePoint sent)> OnStoreContact;
  /// Returns when the latest successful renewal of the node's lease was sent.
  std::function<base::TimePoint()> LeaseRenewedAt;
  /// Returns the age of the operators' records; nothing if it is not checked.
  std::function<std::optional<RecordsAge>()> OperatorRecords;
  /// Returns the age of the workers' entries; nothing if it is not checked.
  std::function<std::optional<RecordsAge>()> WorkerEntries;
  /// Returns another shard with capacity for a job, or std::nullopt. Null if
  /// there is only one shard.
  std::function<boost::asio::awaitable<ShardChoice>(
      const model::AcceptedJob &job, std::int32_t from)>
      FindShard;
  /// Chooses another shard for tasks; set together with FindShard.
  std::function<boost::asio::awaitable<RoomChoice>(const Delegation &offer,
                                                   std::int32_t from)>
      FindRooms;
  /// Returns the load records of all shards, or null if they cannot be read.
  /// Valid until the caller waits. Set together with FindShard.
  std::function<
      boost::asio::awaitable<const std::map<std::int32_t, ShardLoad> *>()>
      PeerLoads;
  std::function<std::int32_t()> ShardCount;
  /// Called when the term has ended.
  std::function<void(const ShardRunner &runner)> OnTermEnded;
};

class ShardRunner : public std::enable_shared_from_this<ShardRunner> {
public:
  ShardRunner(RunnerContext context, Term term);

  void start();
  /// Stops all coroutines. Commands in flight may still take effect.
  void stop();
  /// Stops sending commands and commits all pending writes.
  boost::asio::awaitable<void> flush();

  const Term &term() const { return CurrentTerm; }
  bool isStopped() const { return Stopped; }
  /// Removes previous owners that are known to have ended.
  void
  dropEndedOwners(const std::function<bool(const EarlierOwner &)> &hasEnded);
  void setZonesOutOfService(std::set<base::ZoneId> zones);
  void updateWorker(const model::WorkerProfile &worker);
  void unlistWorker(const base::WorkerId &worker);
  void setAccountLimits(const AccountLimits &limits);
  /// Passes in a version of an account's record.
  void onAccountItem(const StoredItem &item);

private:
  boost::asio::awaitable<void> load();
  void onItem(const StoredItem &item);
  /// \param granted whether it is a grant; otherwise, a returned room.
  /// \param name the part of the key that names the task.
  void onRoomItem(const StoredItem &item, bool granted,
                  const std::string &name);
  /// \param progress the progress records; used by the first call only.
  void onSynced(std::vector<StoredItem> progress);
  void reportUnreadable(const StoredItem &item, const base::Error &error);
  /// \param roomOpened whether a long-running task may start now, for which
  /// there is a plan of its own at once.
  void requestPlan(bool roomOpened = false);
  /// Waits until the next plan is due.
  boost::asio::awaitable<void> waitForPlan();
  boost::asio::awaitable<void> planLoop();
  /// Plans long-running tasks when a room opens, as plans of all work come too
  /// late on a busy node.
  boost::asio::awaitable<void> roomLoop();
  /// Passes in what bounds the starts of a plan.
  ///
  /// \returns whether the plan may start anything.
  bool prepareStarts(base::TimePoint now);
  /// Sends the commands of a plan and has stored what it has changed.
  void execute(std::vector<WorkerCommand> orders);
  boost::asio::awaitable<void> commitLoop();
  /// Reads what the other shards have learned about interference.
  boost::asio::awaitable<void> readPeerModels();
  boost::asio::awaitable<void> commitOnce();
  /// Reads the account records if the term needs them and has not done so.
  void spawnAccountLoad();
  boost::asio::awaitable<void> loadAccounts();
  void spawnAccountWrites();
  /// Reads what the other shards ask for, and what the accounts have started
  /// there.
  boost::asio::awaitable<void> readPeerLoads();
  boost::asio::awaitable<void> storeAccount(AccountWrite write);
  /// Moves jobs and delegates tasks that wait here to other shards.
  boost::asio::awaitable<void> transferWork();
  boost::asio::awaitable<bool> delegateTasks(Delegation offer);
  /// Adds the offered tasks to a part that another shard runs already. Takes
  /// those that it has had before back from the offer.
  ///
  /// \returns the new part; nothing if no task is left.
  std::optional<JobPart> mergePart(Delegation &offer, std::int32_t shard,
                                   const StoredPart &current);
  /// Remembers what a shard runs of a job, which saves the next delegation to
  /// it a commit that fails.
  void keepPart(model::JobNumber job, std::int32_t shard, StoredPart part);
  /// Stores grants for other shards, and what has become of those that were
  /// read, unless that is under way.
  void spawnRoomCommits();
  boost::asio::awaitable<void> storeRooms();
  boost::asio::awaitable<bool> storeRoomsOnce();
  /// Delegates tasks for which other shards hold room.
  void spawnGrantUse();
  boost::asio::awaitable<void> useGrants();
  void emitNotDelegated(const Delegation &offer, const char *cause,
                        const std::string &weighed);
  boost::asio::awaitable<void> moveJob(JobMove move, std::int32_t to);
  boost::asio::awaitable<void> storeRoster();
  void addLoadRecord(Commit &commit);
  std::vector<StartedMark> addStartedMarks(Commit &commit);
  void onConflict(std::vector<JobWrite> &writes,
                  std::vector<StartedMark> &marks,
                  const CommitOutcome &outcome);
  boost::asio::awaitable<void> pollLoop(base::WorkerId worker);
  void cancelIfIndexed(const StoredItem &item, model::JobNumber job);
  void spawnPollLoops();
  boost::asio::awaitable<void> executeCommand(WorkerCommand order);
  /// Ends the term, after which the node no longer refers to this runner. May
  /// be called from a callback of the runner's mirror.
  void endTerm(const char *cause);
  /// Returns when the permission to send commands ends, unless it is renewed:
  /// some time after the latest moment at which the node's lease held and the
  /// owner record named this term. No later owner can have claimed the shard
  /// before that moment.
  base::TimePoint permissionEnd() const;
  bool maySendCommands() const;
  bool ownsShard() const;
  bool recordsAreCurrent();

  RunnerContext Context;
  Term CurrentTerm;
  Shard State;
  std::unique_ptr<PrefixMirror> Mirror;
  StartSources Sources;
  boost::asio::steady_timer PlanTimer;
  PlanPacing Pacing;
  boost::asio::steady_timer RoomTimer;
  PlanPacing RoomPacing;
  boost::asio::steady_timer CommitTimer;
  std::set<base::WorkerId> PolledWorkers;
  std::vector<RosterEntry> StoredRoster;
  std::int64_t RosterRevision = 0;
  /// It is not known whether the latest roster was stored.
  bool RosterCallLost = false;
  std::string StoredLoad;
  base::TimePoint LoadStoredAt;
  base::TimePoint ColocationStoredAt{};
  /// Parts that this owner has stored for other shards, as of its latest write.
  std::map<std::pair<model::JobNumber, std::int32_t>, StoredPart> KnownParts;
  /// Delegations of granted tasks in flight.
  std::size_t GrantedInFlight = 0;
  bool StoringRooms = false;
  bool RosterRead = false;
  bool LoadingAccounts = false;
  bool PlanDue = false;
  bool RoomPlanDue = false;
  bool Loaded = false;
  bool Stopped = false;
  bool Flushing = false;
};

} // namespace endivedoor::dispatch::detail

#endif
