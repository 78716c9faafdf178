/// \file
/// The records of a shard and which of them the journal does not hold yet.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKTABLE_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKTABLE_H

#include "detail/Codec.h"

#include <map>
#include <optional>
#include <set>

namespace endivedoor::control::detail {

/// How far the start of the latest attempt has got. Only in memory: a new
/// owner treats every recorded start as sent.
enum class StartPhase { None, Planned, Durable, Sent };

struct TaskRecord : StoredTask {
  StartPhase Start = StartPhase::None;
  /// Lease sequence that the start carried.
  std::uint64_t SentSequence = 0;
  /// Part of a commit in flight that moves the task to another zone.
  bool MoveInFlight = false;
  /// An evict call is queued or in flight.
  bool EvictPending = false;
  /// When the attempt was first seen running.
  base::TimePoint RunningSince;
};

struct JobRecord {
  model::JobSpec Spec;
  base::WallTime AdmittedAt;
  /// Tasks of the job that this zone runs.
  std::vector<base::TaskId> Tasks;
  /// Number of the tasks that have not ended.
  std::size_t OpenTasks = 0;
  /// When the last of the tasks ended.
  std::optional<base::WallTime> EndedAt;
  /// Tasks that arrive later from another zone are cancelled at once.
  bool Cancelled = false;
};

/// Why a job id must not be accepted again although there is no job record.
struct Tombstone {
  bool Cancelled = false;
  base::WallTime Until;
};

inline bool isTerminal(model::TaskState state) {
  return state == model::TaskState::Finished ||
         state == model::TaskState::Failed ||
         state == model::TaskState::Cancelled;
}

/// Ids whose records went into one commit.
struct DirtySet {
  std::set<base::JobId> Jobs;
  std::set<base::TaskId> Tasks;
  bool empty() const { return Jobs.empty() && Tasks.empty(); }
};

/// Records of jobs, tasks and tombstones of one shard. Every change is marked
/// until a commit has made it durable.
class TaskTable {
public:
  JobRecord *findJob(const base::JobId &id);
  TaskRecord *findTask(const base::TaskId &id);
  const std::map<base::JobId, JobRecord> &jobs() const { return Jobs; }
  const std::map<base::TaskId, TaskRecord> &tasks() const { return Tasks; }
  const Tombstone *findTombstone(const base::JobId &id) const;

  /// Adds a job and its tasks; of a known job only the unknown tasks. Ends a
  /// tombstone of the job. Returns the ids of the tasks added.
  std::vector<base::TaskId> addJob(const Command &command);
  void addTombstone(const base::JobId &id, Tombstone tombstone);
  /// Marks a task as changed.
  void markTaskChanged(const TaskRecord &task);
  /// Marks a job as changed.
  void markJobChanged(const base::JobId &id) { Dirty.Jobs.insert(id); }
  /// Gives a task an end state; returns whether it was the last of its job.
  bool endTask(TaskRecord &task, model::TaskState state, base::WallTime now);
  /// Removes a task without marking it; its removal is already durable.
  void removeMovedTask(const base::TaskId &id, base::WallTime tombstoneUntil);
  /// Removes a job whose tasks have all ended.
  void removeJob(const base::JobId &id);
  void removeExpiredTombstones(base::WallTime now);

  /// Counts the task's resources on its worker until release().
  void holdResources(TaskRecord &task);
  void releaseResources(TaskRecord &task);
  /// Returns the tasks whose attempts may take up resources of a worker.
  std::vector<base::TaskId>
  tasksHoldingResources(const base::WorkerId &worker) const;
  /// Returns the workers that have such tasks.
  std::vector<base::WorkerId> workersWithHeldResources() const;
  /// Returns the resources that those tasks take up.
  base::Resources usedResources(const base::WorkerId &worker) const;

  bool dirty() const { return !Dirty.empty(); }
  /// Whether the journal holds the latest state of a task.
  bool isDurable(const base::TaskId &id) const;
  /// Encodes changed records up to about \p maxBytes and takes them out of the
  /// changed ones; \p taken receives their ids.
  std::vector<std::string> takeChanges(std::size_t maxBytes, DirtySet &changes);
  /// Ends the commit of \p taken; marks the records again if it failed.
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

  // Ordered maps keep every iteration, and with it every decision, the same
  // for the same input.
  std::map<base::JobId, JobRecord> Jobs;
  std::map<base::TaskId, TaskRecord> Tasks;
  std::map<base::JobId, Tombstone> Tombstones;
  std::map<base::WorkerId, std::set<base::TaskId>> HoldingTasks;
  /// Numbers of the new tasks of jobs that the journal does not hold yet. They
  /// are part of the job's record, so that no crash can separate them.
  std::map<base::JobId, std::vector<std::int32_t>> UncommittedTaskIndices;
  DirtySet Dirty;
  DirtySet InFlight;
};

} // namespace endivedoor::control::detail

#endif
