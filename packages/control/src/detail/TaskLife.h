/// \file
/// The life cycle of tasks.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_TASKLIFE_H
#define ENDIVEDOOR_CONTROL_DETAIL_TASKLIFE_H

#include "detail/Context.h"
#include "detail/Quarantine.h"
#include "detail/TaskTable.h"

namespace endivedoor::control::detail {

/// Makes every change of a task's state: in the records, towards the scheduler,
/// in the counters and the log. Decides nothing and sends nothing.
class TaskLife {
public:
  using JobEnded = std::function<void(const JobRecord &)>;
  TaskLife(Context &context, TaskTable &table, policy::Scheduler &scheduler,
           Quarantine &quarantine, JobEnded ended);

  /// Applies a command of the inbox. Applying one twice changes nothing.
  void apply(const Command &command);
  /// Fails what is queued of a job that can never run here.
  void refuse(const base::JobId &job, const std::string &reason);
  /// Hands the queued tasks of a loaded table to the scheduler.
  void enqueueLoaded();
  /// Queues failed tasks whose pause is over.
  void enqueueDue();

  /// queued -> starting.
  void plan(TaskRecord &task, const base::WorkerId &worker,
            base::FencingToken token);
  /// starting -> queued: the attempt certainly never ran.
  void startRefused(TaskRecord &task, const std::string &reason);
  /// Lets the scheduler choose a worker again for a queued task.
  void chooseAgain(const TaskRecord &task);
  /// starting -> running.
  void running(TaskRecord &task);
  /// running -> evicting.
  void evicting(TaskRecord &task);
  /// The attempt has ended with a result.
  void finished(TaskRecord &task);
  void failed(TaskRecord &task);
  void evicted(TaskRecord &task, const std::string &checkpoint);
  /// The attempt is over without a result, or it has been stopped.
  void lost(TaskRecord &task, const std::string &reason);

  /// Fields that every event of a task carries.
  std::vector<base::EventField> fields(const TaskRecord &task) const;

private:
  void accept(const Command &command);
  void cancel(const base::JobId &id);
  void cancelTask(TaskRecord &task);
  void release(TaskRecord &task, policy::EndReason reason);
  void requeue(TaskRecord &task, base::Duration pause);
  void end(TaskRecord &task, model::TaskState state);
  const model::JobSpec &spec(const TaskRecord &task) const;

  Context &Ctx;
  TaskTable &Table;
  policy::Scheduler &Scheduler;
  Quarantine &Bad;
  JobEnded OnJobEnded;
  std::multimap<base::TimePoint, base::TaskId> Delayed;
};

} // namespace endivedoor::control::detail

#endif
