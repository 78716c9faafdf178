/// \file
/// Scheduling state and decisions of one shard: its jobs, workers and records.
#ifndef ENDIVEDOOR_DISPATCH_SHARD_H
#define ENDIVEDOOR_DISPATCH_SHARD_H

#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/Metrics.h"
#include "endivedoor/dispatch/Records.h"
#include "endivedoor/dispatch/ShardOptions.h"
#include "endivedoor/dispatch/TaskWorker.h"
#include "endivedoor/policy/AccountShares.h"
#include "endivedoor/policy/ColocationModel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace endivedoor::dispatch {

namespace detail {
struct ShardState;
}

/// A command to a worker.
struct WorkerCommand {
  enum class Kind { Start, Stop, Throttle };
  Kind Type = Kind::Start;
  WorkerRef Worker;
  RunId Run;
  /// For Kind::Start.
  std::string Payload;
  std::string Checkpoint;
  WorkerTime Deadline{0};
  /// The deadline and the run are meant for the incarnation that has answered
  /// this token, and for no later one.
  base::FencingToken Token{0};
  /// For Kind::Throttle.
  std::int32_t SpeedPercent = 100;
};

/// The next poll of a worker.
struct PlannedPoll {
  WorkerRef Worker;
  PollRequest Request;
  /// The worker's run lists have been received under the current token.
  bool Synced = false;
  /// The worker has runs of this shard.
  bool HasRuns = false;
  /// The worker has not answered the previous poll. This one must not wait, and
  /// its answer must be followed at once by the poll that renews the lease.
  bool Silent = false;
  /// The worker is avoided, and its list shows whether tasks on trial run.
  bool OnTrial = false;
  /// Ends are not acknowledged because a start got no answer. The worker lists
  /// them in each answer and does not wait.
  bool EndsHeld = false;
};

/// Load figures that a shard publishes to other nodes.
struct ShardLoad {
  /// Number of jobs without a started task, by queue.
  std::map<std::string, std::int64_t> Pending;
  /// CPU capacity that remains once the waiting tasks of each kind are placed;
  /// negative if they do not all fit.
  base::MilliCores ShortTaskHeadroom{0};
  base::MilliCores LongRunningHeadroom{0};
  base::MilliCores FillerHeadroom{0};
  /// What single workers have beside their long-running tasks once those that
  /// wait in the shard are placed: the largest, by service.
  std::map<std::string, std::vector<base::Resources>> LongRunningRooms;
  /// FillerHeadroom in thousandths of a core for single filler programs, on the
  /// workers whose serving tasks they do not make miss their targets.
  std::map<std::string, std::int64_t> FillerCpu;
  /// CPU in thousandths of a core that each account has started in the last ten
  /// seconds; the empty name stands for jobs without an account. Empty if the
  /// configuration has no accounts.
  std::map<std::string, std::int64_t> StartedCpu;
  /// Waiting tasks for which the shard asks the others, longest wait first.
  std::vector<RoomRequest> Requests;
};

/// Room that is to be announced to the shard in which a task waits.
struct RoomOffer {
  model::TaskKey Task;
  std::int32_t To = 0;
  RoomGrant Grant = {};
};

/// Changes of the records of rooms that need no condition.
struct RoomRecordChanges {
  /// Rooms of other shards for which this one has no use.
  std::vector<RoomGrantId> Returned;
  /// Tasks of this shard whose grants have ended.
  std::vector<RoomGrantId> EndedGrants;
  /// Tasks of other shards whose returned rooms have been read.
  std::vector<model::TaskKey> ReadReturns;

  bool empty() const {
    return Returned.empty() && EndedGrants.empty() && ReadReturns.empty();
  }
};

/// What the configuration grants to a client account.
struct AccountLimit {
  /// Limit of all running tasks on all workers; an amount of 0 means no limit.
  base::Resources MaxRunning;
  /// When an amount without a limit got one in this process; empty if the
  /// first configuration had it.
  std::optional<base::TimePoint> LimitedSince;
  /// Fair share of scarce capacity, relative to the other accounts.
  double Weight = 1;
  friend bool operator==(const AccountLimit &, const AccountLimit &) = default;
};

/// By the names of the accounts.
using AccountLimits = std::map<std::string, AccountLimit>;

/// A conditional write of an account's record.
struct AccountWrite {
  std::string Account;
  policy::ShareWrite Write;
};

enum class AccountWriteOutcome {
  Written,
  /// Another version of the record has been written.
  Conflict,
  /// The store is unavailable; the write had no effect.
  Failed,
  /// The write may still take effect.
  Unknown
};

/// An earlier term of a shard.
struct FormerTerm {
  std::int64_t Number = 0;
  /// By when a later owner had replaced that of the term.
  base::TimePoint ReplacedAt;
  /// Its owner may not know that yet, and act until its permission ends.
  /// Otherwise it had stopped by then.
  bool MayAct = false;
};

/// Scheduler of one shard for one term of ownership. Has no clock and does no
/// I/O: the caller passes in events with their times and carries out the
/// returned commands and writes.
///
/// Not thread-safe.
class Shard {
public:
  /// \param number shard number.
  /// \param term ownership term, from 1.
  /// \param token number of this term at the workers, higher than that of any
  /// earlier term. Its fencing tokens there are TokensPerTerm numbers from
  /// token * TokensPerTerm.
  Shard(ShardOptions options, std::int32_t number, std::int64_t term,
        base::FencingToken token, base::EventLog &events, Metrics &metrics);
  ~Shard();

  /// Adds a job that is already stored, or the tasks that have been added to
  /// the part of it that this shard runs.
  ///
  /// \param revision store revision of its index record.
  /// \param inherited whether an earlier owner may have started tasks of it.
  /// \param part the tasks that this shard runs; null for the whole job.
  void addJob(model::AcceptedJob job, std::int64_t revision, bool inherited,
              base::TimePoint now, const JobPart *part = nullptr);
  /// Restores the progress that an earlier owner recorded.
  void restore(model::JobNumber job, const JobProgress &progress,
               std::int64_t revision);
  /// Stops all tasks of a job whose cancellation has been stored.
  ///
  /// \param shards shards of its parts for which it has been stored as well.
  void cancelJob(model::JobNumber job, base::TimePoint now,
                 std::set<std::int32_t> shards = {});

  /// Adds the workers that an earlier owner may have used. Tasks of inherited
  /// jobs that no worker lists are not started until each of these workers has
  /// answered or its lease has expired.
  ///
  /// \param former the earlier terms of the shard that are known; without any,
  /// the latest ended now.
  void markUnverified(const std::vector<RosterEntry> &roster,
                      const std::vector<FormerTerm> &former,
                      base::TimePoint now);
  /// Returns the workers that inherited tasks wait for, for the log: the term
  /// that may have used each, how long it is waited for at most, and how many
  /// tasks it may run.
  std::string describeUnverified(base::TimePoint now) const;
  /// The roster cannot be read: tasks of inherited jobs that no worker lists
  /// are not started until any lease of an earlier owner has expired.
  void markRosterUnknown(base::TimePoint now);
  /// Returns whether leases of earlier owners may still hold on unknown
  /// workers.
  bool isRosterUnknown() const;
  /// No earlier owner sends commands any more: the leases that it requested
  /// before now expire in the usual time.
  void onEarlierOwnersEnded(base::TimePoint now);

  /// Adds or updates a worker from its directory entry.
  void updateWorker(const model::WorkerProfile &profile, base::TimePoint now);
  /// The worker's directory entry was removed: it gets no new tasks. Its runs
  /// count as running until the worker reports otherwise or its lease expires.
  void unlistWorker(const base::WorkerId &worker);
  void setZonesOutOfService(std::set<base::ZoneId> zones);
  /// Sets the limits of the accounts in the newest configuration; empty if it
  /// has no accounts.
  void setAccountLimits(const AccountLimits &limits);
  /// Passes in a version of an account's record.
  ///
  /// \param revision revision of the record; 0 if there is none.
  void onAccountRecord(const std::string &account,
                       const policy::ShareRecord &record,
                       std::int64_t revision);
  void onAccountRecordUnreadable(const std::string &account,
                                 std::int64_t revision, base::TimePoint now);
  /// The records of all accounts have been read since the term began. No task
  /// of a limited account starts before that.
  void onAccountsLoaded();
  /// Returns whether a limited account needs onAccountsLoaded().
  bool hasUnloadedAccounts() const;
  /// Returns the writes of account records that are due.
  std::vector<AccountWrite> takeAccountWrites(base::TimePoint now);
  /// Returns whether takeAccountWrites() should be called again after
  /// policy::AccountShare::WriteInterval.
  bool hasDeferredAccountWrites() const;
  /// \param revision revision of the record, if it was written.
  void onAccountWrite(const std::string &account, AccountWriteOutcome outcome,
                      std::int64_t revision, base::TimePoint now);
  /// Returns whether the configuration has, or had, accounts.
  bool hasAccounts() const;
  /// Passes in the latest sums in another shard's load record.
  void setPeerStartedCpu(std::int32_t shard,
                         std::map<std::string, std::int64_t> started);
  /// Returns whether tasks of the account wait for a larger share.
  bool isAccountWaiting(const std::string &account) const;

  /// Neither a lease nor the time in which a worker may begin a start reaches
  /// beyond \p end. A later owner need not wait any longer than that.
  void setPermissionEnd(base::TimePoint end);
  /// All records that starts depend on are complete as of \p asOf.
  void setRecordsAsOf(base::TimePoint asOf);
  /// Starts that are decided from now on must not begin after \p end, since a
  /// change that is not known here may be in force then.
  void setStartsValidUntil(base::TimePoint end);
  std::vector<WorkerRef> workers() const;
  bool hasWorker(const base::WorkerId &worker) const;
  /// Returns the roster that must be stored before commands are sent to its
  /// workers.
  std::vector<RosterEntry> roster() const;
  /// Returns whether \p roster equals roster(), without a copy.
  bool isRoster(const std::vector<RosterEntry> &roster) const;
  /// The roster may be stored from now on.
  void onRosterSent(const std::vector<RosterEntry> &roster);
  void onRosterStored(const std::vector<RosterEntry> &roster);
  /// No start is sent any more: roster() lists the tasks on each worker, so
  /// that the next owner need not wait for the others.
  void close(base::TimePoint now);

  /// \param mayExtendLeases whether this owner may still extend leases.
  /// \returns nothing if the worker no longer belongs to this shard.
  std::optional<PlannedPoll> nextPoll(const base::WorkerId &worker,
                                      base::TimePoint now,
                                      bool mayExtendLeases);
  /// \param refused whether no process listened at the worker's address.
  void onPollFailed(const base::WorkerId &worker, const std::string &cause,
                    base::TimePoint now, bool refused = false);
  void onPoll(const base::WorkerId &worker, const PollReport &report,
              base::TimePoint sent, base::TimePoint received);
  /// Returns whether the run of a start command is still to be started: its job
  /// is live, no stop has been decided, and its worker still takes starts, has
  /// capacity for it and cannot have restarted since.
  bool isStartWanted(const WorkerCommand &command) const;
  /// The start command is not sent.
  void withdrawStart(const WorkerCommand &command);
  void onStart(const WorkerCommand &command, base::Result<CommandResult> result,
               base::TimePoint now);
  void onStop(const WorkerCommand &command, base::Result<CommandResult> result,
              base::TimePoint now);
  /// Unless the command was carried out, marks the speed limit as unknown, so
  /// that the next plan sends it again.
  void onThrottle(const WorkerCommand &command,
                  base::Result<CommandResult> result);

  /// Decides which runs to start, stop and throttle now.
  ///
  /// \param wall wall-clock time, for jobs with due times.
  /// \param maxStarts maximum number of starts, for the most urgent tasks. A
  /// gang counts as one.
  /// \param ownsShard whether this process surely owns the shard now. Without
  /// that, a later owner may have renewed a lease that has expired here, so the
  /// tasks that were lost with it are not started.
  ///
  /// Cost: linear in the live tasks and the workers.
  std::vector<WorkerCommand> plan(base::TimePoint now, base::WallTime wall,
                                  bool mayStart,
                                  std::size_t maxStarts = SIZE_MAX,
                                  bool ownsShard = true);
  /// Decides which waiting long-running tasks to start now, and for which tasks
  /// of other shards room is held. Other decisions wait for the next plan().
  ///
  /// \param maxStarts as for plan().
  /// \param ownsShard as for plan().
  ///
  /// Cost: the number of these tasks times the number of workers.
  std::vector<WorkerCommand>
  planLongRunning(base::TimePoint now, std::size_t maxStarts, bool ownsShard);

  /// Returns records that must be stored, at most \p limit.
  std::vector<JobWrite> takeWrites(std::size_t limit);
  /// \param stored writes of one commit with their new revisions.
  void onStored(const std::vector<JobWrite> &stored, base::TimePoint now);
  /// The writes were not applied and are queued again.
  void onNotStored(const std::vector<JobWrite> &writes);
  bool hasWrites() const;
  /// Returns jobs that have started and whose index does not say so yet, at
  /// most \p limit. These marks do not trigger a commit of their own; they go
  /// into the next one.
  std::vector<StartedMark> takeStartedMarks(std::size_t limit);
  /// \param marks if \p stored, the marks with their new revisions; otherwise
  /// the marks are queued again with the current revisions of the index.
  void onStartedMarks(const std::vector<StartedMark> &marks, bool stored);
  /// Returns jobs without a run that have waited here for long, at most \p
  /// limit. They are not started until onMoveFinished has been called.
  std::vector<JobMove> takeMoves(std::size_t limit, base::TimePoint now);
  /// \param moved whether another shard has taken the job; if not, it stays
  /// here.
  /// \param revision store revision of its index record.
  void onMoveFinished(model::JobNumber job, bool moved, std::int64_t revision,
                      base::TimePoint now);
  /// Restores the state that the job's earlier shard handed over.
  void restore(model::JobNumber job, const JobHandover &facts);

  /// Returns tasks of long-running jobs that have waited here for long, at most
  /// \p limit jobs. They are not started until onDelegationFinished has been
  /// called.
  std::vector<Delegation> takeDelegations(std::size_t limit,
                                          base::TimePoint now);
  /// Takes the tasks that are not in \p tasks back from an offer.
  void limitDelegation(Delegation &offer, const std::vector<TaskRef> &tasks,
                       base::TimePoint now);
  /// Notes that a shard had some of the offered tasks before.
  void notePassedOn(const Delegation &offer, std::int32_t shard,
                    const std::vector<TaskRef> &tasks);
  /// Returns the job's progress record with the tasks delegated to a shard, and
  /// its expected revision.
  JobWrite delegate(const Delegation &offer, std::int32_t shard);
  /// \param shard shard that has taken the tasks; std::nullopt if they stay
  /// here.
  /// \param revision store revision of the job's progress record; used only if
  /// a shard has taken the tasks.
  void onDelegationFinished(const Delegation &offer,
                            std::optional<std::int32_t> shard,
                            std::int64_t revision, base::TimePoint now);
  /// Passes in what another shard asks for, from its latest load record.
  void setRoomRequests(std::int32_t shard,
                       const std::vector<RoomRequest> &requests,
                       base::TimePoint now);
  /// Returns whether a long-running task of this shard may start since the
  /// previous call: a run has ended, or a task has come to the room that is
  /// held for it.
  bool takeRoomOpened();
  /// Returns whether a run on the worker is being stopped whose room is wanted.
  bool isRoomAwaited(const base::WorkerId &worker, base::TimePoint now) const;
  /// The load records cannot be read, so no room is held for other shards.
  void clearRoomRequests();
  /// The tasks have waited for that long already, under an earlier owner.
  void inheritWaits(const std::vector<RoomRequest> &requests,
                    base::TimePoint now);
  /// Returns rooms for which grants are to be stored, at most \p limit.
  std::vector<RoomOffer> takeRoomOffers(std::size_t limit);
  /// Another shard holds room for a task. The next takeGranted() returns it if
  /// it still waits, or another task that fits; otherwise, the room is
  /// returned.
  void onRoomGrant(const model::TaskKey &task, const RoomGrant &grant,
                   base::TimePoint now);
  /// The shard of the task uses the room that is held for it for another task,
  /// or for none.
  void onRoomReturned(const model::TaskKey &task, const RoomReturn &returned,
                      base::TimePoint now);
  /// Returns waiting tasks of one job for which another shard holds room, or
  /// nothing. They are not started until onDelegationFinished() has been
  /// called.
  std::optional<Delegation> takeGranted(base::TimePoint now);
  /// Returns whether takeGranted() may return tasks, now or soon.
  bool hasGrants(base::TimePoint now) const;
  /// Returns changes of the records of rooms, at most \p limit.
  RoomRecordChanges takeRoomChanges(std::size_t limit, base::TimePoint now);
  /// The changes were not stored and are due again.
  void onRoomChangesKept(const RoomRecordChanges &changes);
  /// Returns whether grants or changes of the records of rooms are due.
  bool hasRoomRecords(base::TimePoint now) const;
  /// Returns cancellations to be stored for other shards, at most \p limit.
  std::vector<CancelForward> takeCancelForwards(std::size_t limit);
  /// \param stored whether the cancellations were stored; if not, they are
  /// queued again.
  void onCancelForwards(const std::vector<CancelForward> &forwards,
                        bool stored);

  /// Withdraws the announcements of runs that have not been started, before the
  /// shard is released.
  void withdrawAnnouncements();

  /// Records that a job that had ended here was cancelled before its end was
  /// stored.
  void cancelFinished(model::JobNumber job);

  ShardLoad load() const;
  /// The model of how programs on the same worker slow each other.
  policy::ColocationModel &colocationModel();
  std::size_t liveJobCount() const;
  bool isLive(model::JobNumber job) const;
  /// Returns whether another owner has used a higher token, or this term has
  /// used all of its own; both end the term.
  bool isFenced() const;

private:
  std::unique_ptr<detail::ShardState> State;
};

} // namespace endivedoor::dispatch

#endif
