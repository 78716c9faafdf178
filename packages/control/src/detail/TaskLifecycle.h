/// \file
/// The life cycle of tasks.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKLIFECYCLE_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKLIFECYCLE_H

#include "detail/Context.h"
#include "detail/Quarantine.h"
#include "detail/TaskTable.h"

namespace endivedoor::control::detail {

/// Makes every change of a task's state: in the records, towards the scheduler,
/// in the counters and the log. Decides nothing and sends nothing.
class TaskLifecycle {
public:
  using JobEndedCallback = std::function<void(const JobRecord &)>;
  TaskLifecycle(Context &context, TaskTable &table,
                policy::Scheduler &scheduler, Quarantine &quarantine,
                JobEndedCallback onJobEnded);

  /// Applies a command of the inbox. Applying one twice changes nothing.
  void applyCommand(const Command &command);
  /// Fails what is queued of a job that can never run here.
  void refuseJob(const base::JobId &job, const std::string &reason);
  /// Hands the queued tasks of a loaded table to the scheduler.
  void enqueueLoadedTasks();
  /// Queues failed tasks whose pause is over.
  void enqueueDueRetries();

  /// queued -> starting.
  void planStart(TaskRecord &task, const base::WorkerId &worker,
                 base::FencingToken token);
  /// starting -> queued: the attempt certainly never ran.
  void revertStart(TaskRecord &task, const std::string &reason);
  /// Lets the scheduler choose a worker again for a queued task.
  void reschedule(const TaskRecord &task);
  /// starting -> running.
  void markRunning(TaskRecord &task);
  /// running -> evicting.
  void markEvicting(TaskRecord &task);
  /// The attempt has ended with a result.
  void markFinished(TaskRecord &task);
  void markFailed(TaskRecord &task);
  void markEvicted(TaskRecord &task, const std::string &checkpoint);
  /// The attempt is over without a result, or it has been stopped.
  void markLost(TaskRecord &task, const std::string &reason);

  /// Fields that every event of a task carries.
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
