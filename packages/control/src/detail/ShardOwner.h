/// \file
/// Owner of a zone's shard during one epoch.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_SHARDOWNER_H
#define ENDIVEDOOR_CONTROL_DETAIL_SHARDOWNER_H

#include "detail/ConfigManager.h"
#include "detail/Journal.h"
#include "detail/RuleReport.h"
#include "detail/ShardElection.h"
#include "detail/TaskLifecycle.h"
#include "detail/TaskTable.h"
#include "detail/TaskTransfer.h"
#include "detail/WorkerCalls.h"
#include "detail/WorkerLeases.h"

namespace endivedoor::control::detail {

/// Loads the shard, claims the placement leases of its workers, and turns
/// scheduler decisions into durable start intents and start requests. Runs
/// until another daemon owns the shard or this daemon stops.
class ShardOwner final : public WorkerObserver,
                         public std::enable_shared_from_this<ShardOwner> {
public:
  ShardOwner(Context &context, ConfigManager &config, Ownership shardOwnership,
             std::unique_ptr<policy::Scheduler> scheduler,
             const ServiceZoneCounter &zones);

  /// Runs until the shard is lost or, during a shutdown, the last changes are
  /// durable.
  boost::asio::awaitable<void> run();
  /// Gives up ownership immediately; nothing is written or sent afterwards.
  void stepDown(const std::string &reason);
  /// Returns whether this object may still act as the owner.
  bool isActive() const;
  /// Sets the time until which the owner may commit its last changes during a
  /// shutdown.
  void drainUntil(base::TimePoint deadline) { DrainDeadline = deadline; }

  const TaskTable &table() const { return Table; }
  const RuleReport &report() const { return Report; }
  bool isLoaded() const { return Loaded; }
  const Ownership &ownership() const { return ShardOwnership; }
  std::vector<WorkerState> workerStates() const;

  void onReport(WorkerEntry &worker,
                const platform::RenewReply &reply) override;
  void onRestart(WorkerEntry &worker) override;
  void onLeasesExpired(WorkerEntry &worker) override;
  void onChange(WorkerEntry &worker) override;
  std::vector<platform::AttemptRef>
  acknowledgedAttempts(const WorkerEntry &worker) override;

private:
  /// A prepared commit and the bookkeeping needed to finish it.
  struct PendingCommit {
    WriteBatch Content;
    DirtySet Changes;
    std::vector<platform::AttemptRef> PlannedStarts;
    std::vector<base::TaskId> MovedTasks;
    bool ReportWritten = false;
    bool ZoneIn = false;
  };

  boost::asio::awaitable<void> load();
  boost::asio::awaitable<void> compact();
  boost::asio::awaitable<bool> commitRound();
  base::Duration commitDelay() const;
  void tick();
  void tickEverySecond();
  void applyConfiguration();
  void updateAdmission();
  void applyDecisions();
  void applyDecision(const policy::StartTask &decision);
  void applyDecision(const policy::ThrottleTask &decision);
  void applyDecision(const policy::EvictTask &decision);
  void applyDecision(const policy::RefuseJob &decision);
  std::string startRejectionReason(const TaskRecord *task,
                                   const WorkerEntry *worker);
  PendingCommit prepareCommit();
  void finishCommit(PendingCommit &commit, const CommitResult &result);
  void applyInbox(std::vector<platform::StoreEntry> entries);
  void reconcileAttempt(WorkerEntry &worker,
                        const platform::AttemptReport &report);
  void handleRunningAttempt(WorkerEntry &worker, TaskRecord &task);
  void reconcileMissingAttempts(WorkerEntry &worker,
                                const platform::RenewReply &reply);
  bool canNoLongerStart(const TaskRecord &task, const WorkerEntry &worker,
                        std::uint64_t sequence) const;
  TaskRecord *findCurrentAttempt(const WorkerEntry &worker,
                                 const base::TaskId &task,
                                 base::Attempt attempt);
  void loseTasksOnUnknownWorkers();
  void removeExpiredJobs();
  void updateQuarantinedWorkers();
  void evacuateZone();

  Context &Ctx;
  ConfigManager &Config;
  Ownership ShardOwnership;
  std::unique_ptr<policy::Scheduler> Scheduler;
  bool Active = true;
  bool Loaded = false;
  base::TimePoint DrainDeadline;
  base::TimePoint TakeoverTime;
  TaskTable Table;
  Quarantine WorkerQuarantine;
  WorkerLeases Leases;
  RuleReport Report;
  TaskLifecycle Lifecycle;
  std::unique_ptr<Journal> ShardJournal;
  WorkerCalls Calls;
  TaskTransfer Transfers;
  std::optional<std::uint64_t> AppliedConfigVersion;
  bool ZoneWasOut = false;
  std::optional<base::TimePoint> RampStart;
  base::TimePoint LastSecondTick;
  /// Workers that have been passed to the scheduler.
  std::set<base::WorkerId> KnownToScheduler;
  /// Workers that were quarantined at the last update of the scheduler.
  std::set<base::WorkerId> ReportedQuarantined;
  /// Inbox keys whose commands are applied but which are not yet deleted.
  std::set<std::string> ConsumedInboxKeys;
  /// Inbox keys that could not be parsed; each is reported only once.
  std::set<std::string> UnreadableInboxKeys;
  int IdleCommits = 0;
};

} // namespace endivedoor::control::detail

#endif
