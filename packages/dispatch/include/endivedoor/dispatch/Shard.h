/// \file
/// The state and decisions of one shard: its jobs, its workers, its records.
#ifndef ENDIVEDOOR_DISPATCH_SHARD_H
#define ENDIVEDOOR_DISPATCH_SHARD_H

#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/Metrics.h"
#include "endivedoor/dispatch/Records.h"
#include "endivedoor/dispatch/ShardOptions.h"
#include "endivedoor/dispatch/TaskWorker.h"
#include "endivedoor/policy/ColocationModel.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace endivedoor::dispatch {

namespace detail {
struct ShardState;
}

/// An order for a worker.
struct WorkerCommand {
  enum class Kind { Start, Stop, Throttle };
  Kind Type = Kind::Start;
  WorkerRef Worker;
  RunId Run;
  /// For a start.
  std::string Payload;
  std::string Checkpoint;
  WorkerTime Deadline{0};
  /// For a pace.
  std::int32_t SpeedPercent = 100;
};

/// The next hold of a worker.
struct PlannedPoll {
  WorkerRef Worker;
  PollRequest Request;
  /// The worker's lists are known.
  bool Synced = false;
  /// Runs of this shard are on the worker.
  bool HasRuns = false;
};

/// What a shard tells others about itself.
struct ShardLoad {
  /// Jobs without a started task, by queue.
  std::map<std::string, std::int64_t> Pending;
  /// Processor capacity that is left when the waiting tasks of each sort have
  /// found room; negative if they do not all fit.
  base::MilliCores ShortTaskHeadroom{0};
  base::MilliCores LongRunningHeadroom{0};
  base::MilliCores FillerHeadroom{0};
};

/// One term of ownership of a shard. Holds no clock and does no I/O: the caller
/// passes in what happened and when, and carries out what is returned.
///
/// Not thread-safe.
class Shard {
public:
  /// \param number of the shard.
  /// \param term number of this ownership, from 1.
  /// \param token fencing token of this ownership at the workers.
  Shard(ShardOptions options, std::int32_t number, std::int64_t term,
        base::FencingToken token, base::EventLog &events, Metrics &metrics);
  ~Shard();

  /// Adds a job that is stored.
  ///
  /// \param revision of its index record.
  /// \param inherited an earlier owner may have started tasks of it.
  void addJob(model::AcceptedJob job, std::int64_t revision, bool inherited,
              base::TimePoint now);
  /// Takes over what an earlier owner recorded.
  void restore(model::JobNumber job, const JobProgress &progress,
               std::int64_t revision);
  /// Stops all tasks of a job whose cancellation is stored.
  void cancelJob(model::JobNumber job, base::TimePoint now);

  /// Names the workers that an earlier owner may have used. Tasks of inherited
  /// jobs that no list shows wait until each has answered or its lease has run
  /// out.
  ///
  /// \param active an earlier owner may still prolong leases.
  void markUnverified(const std::vector<RosterEntry> &roster,
                      bool earlierOwnerActive, base::TimePoint now);
  /// No earlier owner gives orders any more: leases that it asked for before
  /// run out.
  void onEarlierOwnersEnded(base::TimePoint now);

  /// Adds or updates a worker from its own entry.
  void updateWorker(const model::WorkerProfile &profile, base::TimePoint now);
  /// A worker's entry is gone: it gets no new work. Its runs count as running
  /// until it says otherwise or its lease has run out.
  void unlistWorker(const base::WorkerId &worker);
  void setZonesOutOfService(std::set<base::ZoneId> zones);
  std::vector<WorkerRef> workers() const;
  bool hasWorker(const base::WorkerId &worker) const;
  /// The roster that must be stored before orders go to its workers.
  std::vector<RosterEntry> roster() const;
  void onRosterStored(const std::vector<RosterEntry> &roster);

  /// \param mayExtend whether this owner may still prolong leases.
  /// \returns nothing if the worker is not of this shard any more.
  std::optional<PlannedPoll> nextPoll(const base::WorkerId &worker,
                                      base::TimePoint now,
                                      bool mayExtendLeases);
  void onPollFailed(const base::WorkerId &worker, const std::string &cause);
  void onPoll(const base::WorkerId &worker, const PollReport &report,
              base::TimePoint sent, base::TimePoint received);
  void onStart(const WorkerCommand &command, base::Result<CommandResult> result,
               base::TimePoint now);
  void onStop(const WorkerCommand &command, base::Result<CommandResult> result,
              base::TimePoint now);
  /// The pace is ordered again with the next plan.
  void onThrottleFailed(const WorkerCommand &command);

  /// Decides what to start, stop and pace now.
  ///
  /// \param wall time of day, for jobs with due times.
  /// Cost: linear in the live tasks and the workers.
  std::vector<WorkerCommand> plan(base::TimePoint now, base::WallTime wall,
                                  bool mayStart);

  /// Returns records that must be stored, at most \p limit.
  std::vector<JobWrite> takeWrites(std::size_t limit);
  /// \param stored the writes of one commit with their new revisions.
  void onStored(const std::vector<JobWrite> &stored, base::TimePoint now);
  /// The writes were not applied and are due again.
  void onNotStored(const std::vector<JobWrite> &writes);
  bool hasWrites() const;
  /// Returns jobs that have begun and are not marked so, at most \p limit. They
  /// wait for a commit that happens anyway.
  std::vector<StartedMark> takeStartedMarks(std::size_t limit);
  /// \param marks stored with their new revisions, or not stored and due again
  /// with the revisions that the index has.
  void onStartedMarks(const std::vector<StartedMark> &marks, bool stored);
  /// Returns jobs that have waited here without a run, at most \p limit. They
  /// are not started before onMoveTried.
  std::vector<JobMove> takeMoves(std::size_t limit, base::TimePoint now);
  /// \param moved another shard has the job now; otherwise it stays here.
  /// \param revision of its index.
  void onMoveFinished(model::JobNumber job, bool moved, std::int64_t revision,
                      base::TimePoint now);
  /// Takes over what a job's earlier shard knew.
  void restore(model::JobNumber job, const JobHandover &facts);

  /// A job that had ended here was cancelled before its end was stored.
  void cancelFinished(model::JobNumber job);

  ShardLoad load() const;
  /// What has been learned about programs that share workers.
  policy::ColocationModel &colocationModel();
  std::size_t liveJobCount() const;
  /// Another owner has used a higher token; this term is over.
  bool isFenced() const;
  base::FencingToken token() const;

private:
  std::unique_ptr<detail::ShardState> State;
};

} // namespace endivedoor::dispatch

#endif
