/// \file
/// State of a scheduler: workers, jobs, tasks and the resources allocated on
/// each worker.
#ifndef ENDIVEDOOR_POLICY_DETAIL_SCHEDULERRECORDS_H
#define ENDIVEDOOR_POLICY_DETAIL_SCHEDULERRECORDS_H

#include "detail/Interner.h"

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Job.h"
#include "endivedoor/model/Worker.h"

#include <optional>
#include <vector>

namespace endivedoor::policy::detail {

/// Number of tasks of one service and class on a worker.
struct ServiceCount {
  Index Service = 0;
  Index Class = 0;
  std::int32_t Count = 0;
};

struct WorkerRec {
  base::WorkerId Id;
  Index Zone = 0;
  Index Rack = 0;
  base::Resources Capacity;
  /// Capacity minus allocations. Can be negative after a worker's capacity
  /// shrinks or tasks are found running.
  base::Resources Free;
  /// Estimated CPU usage of its tasks, in thousandths of a core.
  std::int64_t CpuLoad = 0;
  /// Slots allocated to batch tasks.
  std::int32_t BatchSlots = 0;
  std::vector<ServiceCount> Services;
  bool Known = false;
  bool Leaving = false;
  /// Removed from the host list while tasks are still allocated on it.
  bool Removed = false;
  std::vector<Index> Tasks;
};

struct JobRec {
  base::JobId Id;
  Index Class = 0;
  /// None for batch jobs.
  Index Service = None;
  Index Team = 0;
  Index Shape = None;
  model::TaskKind Kind = model::TaskKind::Batch;
  bool Urgent = false;
  bool Refused = false;
  base::Resources Size;
  base::Duration DeclaredRunTime{0};
  std::optional<base::TimePoint> Deadline;
  base::TimePoint AdmittedAt;
  /// Number of tasks that are queued or placed.
  std::uint32_t LiveTasks = 0;
  std::uint32_t Finished = 0;
  /// Distinct workers on which tasks of this job failed.
  std::vector<Index> FailedOn;
  /// Doubly linked list of queued tasks, linked through TaskRec.
  Index FirstQueued = None;
  Index LastQueued = None;
  std::uint32_t QueuedTasks = 0;
  /// Sort key among queued jobs; see JobQueue.
  std::int64_t LatestStart = 0;
  std::uint64_t Arrival = 0;
  bool InQueue = false;
};

enum class Phase : std::uint8_t { Unused, Queued, Placed };

struct TaskRec {
  base::TaskId Id;
  Index Job = None;
  Index Worker = None;
  /// Position in WorkerRec::Tasks.
  Index Position = 0;
  Index Next = None;
  Index Previous = None;
  base::Resources Allocated;
  /// Estimated CPU usage included in WorkerRec::CpuLoad.
  std::int64_t CpuLoad = 0;
  base::TimePoint QueuedAt;
  base::TimePoint StartedAt;
  std::int32_t Throttle = 0;
  Phase State = Phase::Unused;
  /// Whether the task was throttled at any time during this attempt.
  bool WasThrottled = false;
  bool Evicting = false;
  bool EvictedForUrgent = false;
};

/// Worker, job and task records by index. Keeps the aggregates consistent when
/// tasks are queued or allocated, but makes no decisions.
class SchedulerRecords {
public:
  Interner<base::WorkerId> WorkerIds;
  Interner<base::ZoneId> Zones;
  Interner<base::RackId> Racks;
  Interner<base::TaskClass> Classes;
  Interner<base::ServiceName> Services;
  Interner<base::TeamName> Teams;
  /// Indexed like WorkerIds.
  std::vector<WorkerRec> Workers;
  std::vector<JobRec> Jobs;
  std::vector<TaskRec> Tasks;

  /// Adds or updates a worker; its allocations are kept.
  Index upsertWorker(const model::Worker &worker);
  /// Returns the index of a worker and adds a record if necessary: tasks can be
  /// found on a worker before the host list contains it. The capacity of a new
  /// record is 0.
  Index internWorker(const base::WorkerId &id);
  /// Returns the index of a known worker, or None.
  Index findWorker(const base::WorkerId &id) const;
  Index findTask(const base::TaskId &id) const;

  /// Returns the index of the job. The first call copies the relevant fields of
  /// \p spec.
  Index upsertJob(const model::JobSpec &spec, const base::Clock &clock);
  /// Adds a task that is neither queued nor placed yet.
  Index addTask(const base::TaskId &id, Index job);
  /// Removes a task that is neither queued nor placed.
  void removeTask(Index task);

  /// Appends the task to its job's list of queued tasks.
  void pushQueued(Index task, base::TimePoint now);
  void unlinkQueued(Index task);

  /// Allocates the amounts to the task on a worker.
  void allocate(Index task, Index worker, const base::Resources &amounts,
                std::int64_t cpuLoad, base::TimePoint now);
  /// Releases the task's allocation and returns its worker.
  Index release(Index task);

  JobRec &jobOf(Index task) { return Jobs[Tasks[task].Job]; }

private:
  static void adjustServiceCount(WorkerRec &host, const JobRec &job,
                                 std::int32_t delta);
  void addIdleJob(Index job);

  boost::unordered_flat_map<base::TaskId, Index, std::hash<base::TaskId>>
      TaskNumbers;
  boost::unordered_flat_map<base::JobId, Index, std::hash<base::JobId>>
      JobNumbers;
  std::vector<Index> FreeTasks;
  std::vector<Index> FreeJobs;
  /// Jobs without tasks, oldest first. Retained for a while because evicted and
  /// failed tasks are enqueued again.
  std::vector<Index> IdleJobs;
  std::size_t IdleHead = 0;
};

} // namespace endivedoor::policy::detail

#endif
