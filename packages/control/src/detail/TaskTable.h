/// \file
/// Records of a shard, with change tracking for the journal.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKTABLE_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKTABLE_H

#include "detail/Codec.h"

#include <map>
#include <optional>
#include <set>

namespace endivedoor::control::detail {

/// Progress of the start of the latest attempt. Kept in memory only: a new
/// owner treats every recorded start as sent.
enum class StartPhase { None, Planned, Durable, Sent };

struct TaskRecord : StoredTask {
  StartPhase Start = StartPhase::None;
  /// Lease sequence in the start request.
  std::uint64_t SentSequence = 0;
  /// A commit in flight moves the task to another zone.
  bool MoveInFlight = false;
  /// An evict request is queued or in flight.
  bool EvictPending = false;
  /// When the attempt was first known to be running.
  base::TimePoint RunningSince;
};

struct JobRecord {
  model::JobSpec Spec;
  base::WallTime AdmittedAt;
  /// Tasks of the job that this zone runs.
  std::vector<base::TaskId> Tasks;
  /// Number of tasks that have not ended.
  std::size_t OpenTasks = 0;
  /// When the last task ended.
  std::optional<base::WallTime> EndedAt;
  /// Tasks that arrive later from another zone are cancelled immediately.
  bool Cancelled = false;
};

/// Marks the id of a removed or cancelled job that must not be accepted again.
struct Tombstone {
  bool Cancelled = false;
  base::WallTime Until;
};

inline bool isTerminal(model::TaskState state) {
  return state == model::TaskState::Finished ||
         state == model::TaskState::Failed ||
         state == model::TaskState::Cancelled;
}

/// Ids of changed records.
struct DirtySet {
  std::set<base::JobId> Jobs;
  std::set<base::TaskId> Tasks;
  bool empty() const { return Jobs.empty() && Tasks.empty(); }
};

/// Jobs, tasks and tombstones of one shard. A changed record is tracked until a
/// commit has made it durable.
class TaskTable {
public:
  JobRecord *findJob(const base::JobId &id);
  TaskRecord *findTask(const base::TaskId &id);
  const std::map<base::JobId, JobRecord> &jobs() const { return Jobs; }
  const std::map<base::TaskId, TaskRecord> &tasks() const { return Tasks; }
  const Tombstone *findTombstone(const base::JobId &id) const;

  /// Adds a job and its tasks; for a known job, adds only the unknown tasks.
  /// Removes the tombstone of the job. Returns the ids of the added tasks; for
  /// an admission, those of all tasks of the job.
  std::vector<base::TaskId> addJob(const Command &command);
  void addTombstone(const base::JobId &id, Tombstone tombstone);
  /// Marks a task as changed.
  void markTaskChanged(const TaskRecord &task);
  /// Marks a job as changed.
  void markJobChanged(const base::JobId &id) { Dirty.Jobs.insert(id); }
  /// Sets a terminal state; returns whether this ended the last open task of
  /// the job.
  bool endTask(TaskRecord &task, model::TaskState state, base::WallTime now);
  /// Removes a moved task without marking it as changed, because its removal is
  /// already durable. Leaves a tombstone if the job has no tasks left.
  void removeMovedTask(const base::TaskId &id, base::WallTime tombstoneUntil);
  /// Removes a job whose tasks have all ended.
  void removeJob(const base::JobId &id);
  void removeExpiredTombstones(base::WallTime now);

  /// Counts the task's resources on its worker until releaseResources().
  void holdResources(TaskRecord &task);
  void releaseResources(TaskRecord &task);
  /// Returns the tasks whose attempts may use resources of a worker.
  std::vector<base::TaskId>
  tasksHoldingResources(const base::WorkerId &worker) const;
  /// Returns the workers that have such tasks.
  std::vector<base::WorkerId> workersWithHeldResources() const;
  /// Returns the sum of the resources of those tasks.
  base::Resources usedResources(const base::WorkerId &worker) const;

  bool dirty() const { return !Dirty.empty(); }
  /// Returns whether the journal contains the latest state of a task.
  bool isDurable(const base::TaskId &id) const;
  /// Encodes changed records up to about \p maxBytes and clears their change
  /// marks; \p changes receives their ids.
  std::vector<std::string> takeChanges(std::size_t maxBytes, DirtySet &changes);
  /// Ends the commit of \p changes; marks the records as changed again if it
  /// failed.
  void finishCommit(const DirtySet &changes, bool committed);

  /// Encodes all records.
  std::vector<std::string> encodeAll() const;
  /// Applies an encoded record. Errors: ParseFailed.
  base::Result<void> apply(const boost::json::value &op);

private:
  base::TaskId addTask(JobRecord &job, StoredTask task);
  void addNewTasks(JobRecord &job, const std::vector<std::int32_t> &indices);
  std::string encodeJob(const base::JobId &id, bool withNewTasks) const;
  base::Result<void> applyTask(StoredTask task);
  void eraseTask(const base::TaskId &id);
  void eraseJob(const base::JobId &id);

  // Ordered maps make the iteration order, and thus every decision,
  // deterministic for a given input.
  std::map<base::JobId, JobRecord> Jobs;
  std::map<base::TaskId, TaskRecord> Tasks;
  std::map<base::JobId, Tombstone> Tombstones;
  std::map<base::WorkerId, std::set<base::TaskId>> HoldingTasks;
  /// Indices of the new tasks of jobs that are not yet in the journal. They are
  /// part of the job's record, so that a crash cannot separate job and tasks.
  std::map<base::JobId, std::vector<std::int32_t>> UncommittedTaskIndices;
  DirtySet Dirty;
  DirtySet InFlight;
};

} // namespace endivedoor::control::detail

#endif
