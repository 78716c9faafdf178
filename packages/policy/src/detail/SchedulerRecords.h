/// \file
/// What a scheduler knows: workers, jobs and tasks, and the ledger of what is
/// taken on each worker.
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

/// Tasks of one service on a worker.
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
  /// Capacity minus what is booked. Negative amounts are possible when a
  /// worker's capacity shrinks or tasks are found running.
  base::Resources Free;
  /// Estimated processor use of its tasks, in thousandths of a core.
  std::int64_t CpuLoad = 0;
  /// Slots taken by batch tasks.
  std::int32_t BatchSlots = 0;
  std::vector<ServiceCount> Services;
  bool Known = false;
  bool Leaving = false;
  /// Removed by the host list while tasks are still booked on it.
  bool Removed = false;
  std::vector<Index> Tasks;
};

struct JobRec {
  base::JobId Id;
  Index Class = 0;
  /// None for batch.
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
  /// Tasks that are queued or placed.
  std::uint32_t LiveTasks = 0;
  std::uint32_t Finished = 0;
  /// Workers on which tasks of this job failed, each once.
  std::vector<Index> FailedOn;
  /// List of queued tasks, linked through TaskRec.
  Index FirstQueued = None;
  Index LastQueued = None;
  std::uint32_t QueuedTasks = 0;
  /// Order among queued jobs; see Queue.
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
  /// Estimated processor use counted in WorkerRec::CpuLoad.
  std::int64_t CpuLoad = 0;
  base::TimePoint QueuedAt;
  base::TimePoint StartedAt;
  std::int32_t Throttle = 0;
  Phase State = Phase::Unused;
  /// Was throttled at some time of this attempt.
  bool WasThrottled = false;
  bool Evicting = false;
  bool EvictedForUrgent = false;
};

/// Records by number. Booking and queueing keep the sums consistent; deciding
/// is done elsewhere.
class SchedulerRecords {
public:
  Interner<base::WorkerId> WorkerIds;
  Interner<base::ZoneId> Zones;
  Interner<base::RackId> Racks;
  Interner<base::TaskClass> Classes;
  Interner<base::ServiceName> Services;
  Interner<base::TeamName> Teams;
  /// By number of WorkerIds.
  std::vector<WorkerRec> Workers;
  std::vector<JobRec> Jobs;
  std::vector<TaskRec> Tasks;

  /// Adds or updates a worker; its bookings stay.
  Index upsertWorker(const model::Worker &worker);
  /// Returns the number of a worker that may be unknown yet: tasks can be found
  /// on a worker before the host list names it. Its capacity is then 0.
  Index internWorker(const base::WorkerId &id);
  /// Returns the number of a known worker, or None.
  Index findWorker(const base::WorkerId &id) const;
  Index findTask(const base::TaskId &id) const;

  /// Returns the job's number; copies what is needed of \p spec at the first
  /// call.
  Index upsertJob(const model::JobSpec &spec, const base::Clock &clock);
  /// Adds a task that is neither queued nor placed yet.
  Index addTask(const base::TaskId &id, Index job);
  /// Forgets a task that is neither queued nor placed.
  void removeTask(Index task);

  /// Appends the task to its job's list of queued tasks.
  void pushQueued(Index task, base::TimePoint now);
  void unlinkQueued(Index task);

  /// Counts the task's amounts as taken on a worker.
  void allocate(Index task, Index worker, const base::Resources &amounts,
                std::int64_t cpuLoad, base::TimePoint now);
  /// Frees what the task holds. Returns its worker.
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
  /// Jobs without tasks, oldest first. They are remembered for a while because
  /// their evicted and failed tasks come back.
  std::vector<Index> IdleJobs;
  std::size_t IdleHead = 0;
};

} // namespace endivedoor::policy::detail

#endif
