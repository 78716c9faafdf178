/// \file
/// The owner of a zone's shard during one epoch.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_SHARDOWNER_H
#define ENDIVEDOOR_CONTROL_DETAIL_SHARDOWNER_H

#include "detail/ConfigKeeper.h"
#include "detail/Journal.h"
#include "detail/RuleReport.h"
#include "detail/ShardElection.h"
#include "detail/TaskLife.h"
#include "detail/TaskTable.h"
#include "detail/WorkerCalls.h"
#include "detail/WorkerLeases.h"
#include "detail/ZoneMoves.h"

namespace endivedoor::control::detail {

/// Loads the shard, claims its workers, and turns decisions of the scheduler
/// into durable intents and starts until another daemon owns the shard or this
/// one stops.
class ShardOwner final : public WorkerObserver,
                         public std::enable_shared_from_this<ShardOwner> {
public:
  ShardOwner(Context &context, ConfigKeeper &keeper, Ownership won,
             std::unique_ptr<policy::Scheduler> scheduler,
             const ZoneCounter &zones);

  /// Serves until the shard is lost or, after the daemon was told to stop, the
  /// last changes are durable.
  boost::asio::awaitable<void> run();
  /// Ends the service at once; nothing is written or sent any more.
  void stepDown(const std::string &reason);
  /// Returns whether this object may still act as owner.
  bool alive() const;
  /// Until when a stopping owner may try to make its last changes durable.
  void drainUntil(base::TimePoint deadline) { DrainDeadline = deadline; }

  const TaskTable &table() const { return Table; }
  const RuleReport &report() const { return Report; }
  bool loaded() const { return Loaded; }
  const Ownership &ownership() const { return Won; }
  std::vector<WorkerState> workers() const;

  void reported(WorkerEntry &worker,
                const platform::RenewReply &reply) override;
  void restarted(WorkerEntry &worker) override;
  void lapsed(WorkerEntry &worker) override;
  void changed(WorkerEntry &worker) override;
  std::vector<platform::AttemptRef>
  acknowledged(const WorkerEntry &worker) override;

private:
  /// What a commit in flight contains.
  struct Flight {
    Draft Content;
    DirtySet Taken;
    std::vector<platform::AttemptRef> Planned;
    std::vector<base::TaskId> Moved;
    bool ReportWritten = false;
    bool ZoneIn = false;
  };

  boost::asio::awaitable<void> load();
  boost::asio::awaitable<void> compact();
  boost::asio::awaitable<bool> round();
  base::Duration pause() const;
  void tick();
  void tickEverySecond();
  void applyConfiguration();
  void updateAdmission();
  void decide();
  void follow(const policy::StartTask &decision);
  void follow(const policy::ThrottleTask &decision);
  void follow(const policy::EvictTask &decision);
  void follow(const policy::RefuseJob &decision);
  std::string startObstacle(const TaskRecord *task, const WorkerEntry *worker);
  Flight prepare();
  void settle(Flight &flight, const CommitResult &result);
  void takeInbox(std::vector<platform::StoreEntry> entries);
  void compareAttempt(WorkerEntry &worker,
                      const platform::AttemptReport &report);
  void stillRuns(WorkerEntry &worker, TaskRecord &task);
  void compareMissing(WorkerEntry &worker, const platform::RenewReply &reply);
  bool isOver(const TaskRecord &task, const WorkerEntry &worker,
              std::uint64_t sequence) const;
  TaskRecord *live(const WorkerEntry &worker, const base::TaskId &task,
                   base::Attempt number);
  void loseUnknownWorkers();
  void forgetOldJobs();
  void recheckQuarantine();
  void leaveZone();

  Context &Ctx;
  ConfigKeeper &Keeper;
  Ownership Won;
  std::unique_ptr<policy::Scheduler> Scheduler;
  bool Alive = true;
  bool Loaded = false;
  base::TimePoint DrainDeadline;
  base::TimePoint TakenOver;
  TaskTable Table;
  Quarantine Bad;
  WorkerLeases Leases;
  RuleReport Report;
  TaskLife Life;
  std::unique_ptr<Journal> Log;
  WorkerCalls Calls;
  ZoneMoves Moves;
  std::optional<std::uint64_t> AppliedVersion;
  bool ZoneWasOut = false;
  std::optional<base::TimePoint> RampStart;
  base::TimePoint LastSecond;
  /// Workers that the scheduler knows.
  std::set<base::WorkerId> Introduced;
  /// Workers whose quarantine the scheduler knows.
  std::set<base::WorkerId> HeldBack;
  /// Inbox keys whose commands are applied but not yet deleted.
  std::set<std::string> Consumed;
  std::set<std::string> Unreadable;
  int IdleRounds = 0;
};

} // namespace endivedoor::control::detail

#endif
