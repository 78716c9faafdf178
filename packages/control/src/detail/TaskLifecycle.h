/// \file
/// State transitions of tasks.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKLIFECYCLE_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKLIFECYCLE_H

#include "detail/Context.h"
#include "detail/Quarantine.h"
#include "detail/TaskTable.h"

namespace endivedoor::control::detail {

/// Performs every state transition of a task: updates the records, the
/// scheduler and the counters, and emits the events. Makes no scheduling
/// decisions and sends no requests.
class TaskLifecycle {
public:
  using JobEndedCallback = std::function<void(const JobRecord &)>;
  TaskLifecycle(Context &context, TaskTable &table,
                policy::Scheduler &scheduler, Quarantine &quarantine,
                JobEndedCallback onJobEnded);

  /// Applies a command from the inbox. Idempotent.
  void applyCommand(const Command &command);
  /// Fails the queued tasks of a job that can never run in this zone.
  void refuseJob(const base::JobId &job, const std::string &reason);
  /// Passes the queued tasks of a loaded table to the scheduler.
  void enqueueLoadedTasks();
  /// Queues failed tasks whose retry delay has elapsed.
  void enqueueDueRetries();

  /// queued -> starting.
  void planStart(TaskRecord &task, const base::WorkerId &worker,
                 base::FencingToken token);
  /// starting -> queued, for an attempt that certainly never ran.
  void revertStart(TaskRecord &task, const std::string &reason);
  /// Lets the scheduler choose a worker for a queued task again.
  void reschedule(const TaskRecord &task);
  /// starting -> running.
  void markRunning(TaskRecord &task);
  /// running -> evicting.
  void markEvicting(TaskRecord &task);
  /// Handles the end of an attempt with a known result.
  void markFinished(TaskRecord &task);
  void markFailed(TaskRecord &task);
  void markEvicted(TaskRecord &task, const std::string &checkpoint);
  /// Handles the end of an attempt that has no result or has been stopped;
  /// the task is queued again.
  void markLost(TaskRecord &task, const std::string &reason);

  /// Returns the fields that are common to all events about a task.
  std::vector<base::EventField> eventFields(const TaskRecord &task) const;

private:
  void acceptJob(const Command &command);
  void cancelJob(const base::JobId &id);
  void cancelTask(TaskRecord &task);
  void releaseAttempt(TaskRecord &task, policy::EndReason reason);
  void requeue(TaskRecord &task, base::Duration delay);
  void endTask(TaskRecord &task, model::TaskState state);
  const model::JobSpec &jobSpec(const TaskRecord &task) const;

  Context &Ctx;
  TaskTable &Table;
  policy::Scheduler &Scheduler;
  Quarantine &WorkerQuarantine;
  JobEndedCallback OnJobEnded;
  std::multimap<base::TimePoint, base::TaskId> DelayedRetries;
};

} // namespace endivedoor::control::detail

#endif
