#include "detail/TaskLifecycle.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::EventCode;
using model::TaskState;
using policy::EndReason;

constexpr std::size_t FailedWorkersLimit = 3;
// Limits the attempts in a zone with fewer than three workers, where
// FailedWorkersLimit is never reached.
constexpr std::int32_t FailuresLimit = 10;
constexpr std::chrono::seconds MaxRetryDelay{30};
// A job id is not accepted again for this long after the job has moved to
// another zone or been cancelled. While a zone has an owner, commands stay in
// its inbox for a much shorter time.
constexpr std::chrono::hours TombstoneLifetime{1};
// A checkpoint shares the size limit of a store value with other records.
constexpr std::size_t MaxCheckpointBytes = 256 * 1024;

TaskLifecycle::TaskLifecycle(Context &context, TaskTable &table,
                             policy::Scheduler &scheduler,
                             Quarantine &quarantine,
                             JobEndedCallback onJobEnded)
    : Ctx(context), Table(table), Scheduler(scheduler),
      WorkerQuarantine(quarantine), OnJobEnded(std::move(onJobEnded)) {}

const model::JobSpec &TaskLifecycle::jobSpec(const TaskRecord &task) const {
  return Table.jobs().at(task.Task.Job).Spec;
}

std::vector<base::EventField>
TaskLifecycle::eventFields(const TaskRecord &task) const {
  return {{"zone", Ctx.Settings.Zone.str()},
          {"worker", task.Task.Worker.str()},
          {"job", task.Task.Job.str()},
          {"task", task.Task.Id.str()},
          {"attempt", std::to_string(base::toNumber(task.Task.LatestAttempt))}};
}

void TaskLifecycle::applyCommand(const Command &command) {
  if (command.Type == Command::Kind::Cancel)
    cancelJob(command.Job);
  else
    acceptJob(command);
}

void TaskLifecycle::acceptJob(const Command &command) {
  const Tombstone *tombstone = Table.findTombstone(command.Job);
  bool cancelled = tombstone != nullptr && tombstone->Cancelled;
  if (const JobRecord *existing = Table.findJob(command.Job))
    cancelled = existing->Cancelled;
  // An admission may arrive twice if the response to the first write was lost.
  // Tasks moved from another zone arrive only once.
  if (command.Type == Command::Kind::Admit &&
      (Table.findJob(command.Job) != nullptr ||
       (tombstone != nullptr && !tombstone->Cancelled)))
    return;
  std::vector<base::TaskId> added = Table.addJob(command);
  Ctx.Events.emit(EventCode::JobAccepted,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"job", command.Job.str()},
                   {"tasks", std::to_string(added.size())}});
  if (cancelled) {
    cancelJob(command.Job);
    return;
  }
  for (const base::TaskId &it : added)
    Scheduler.enqueue(it, command.Spec);
}

/// Records the cancellation of an unknown job as well, because its tasks may
/// still arrive from another zone.
void TaskLifecycle::cancelJob(const base::JobId &id) {
  JobRecord *job = Table.findJob(id);
  if (job == nullptr) {
    Table.addTombstone(id, {true, Ctx.Clock.wallNow() + TombstoneLifetime});
    return;
  }
  job->Cancelled = true;
  Table.markJobChanged(id);
  for (const base::TaskId &it : job->Tasks)
    cancelTask(*Table.findTask(it));
  Ctx.Events.emit(EventCode::JobCancelled,
                  {{"zone", Ctx.Settings.Zone.str()}, {"job", id.str()}});
}

/// Cancels a task. An attempt that may be running keeps its resources until the
/// worker has stopped it.
void TaskLifecycle::cancelTask(TaskRecord &task) {
  if (isTerminal(task.Task.State))
    return;
  bool unsent =
      task.Start == StartPhase::Planned || task.Start == StartPhase::Durable;
  if (!task.HoldsResources)
    Scheduler.cancel(task.Task.Id);
  else if (unsent)
    releaseAttempt(task, EndReason::Cancelled);
  endTask(task, TaskState::Cancelled);
}

void TaskLifecycle::refuseJob(const base::JobId &id,
                              const std::string &reason) {
  JobRecord *job = Table.findJob(id);
  if (job == nullptr)
    return;
  for (const base::TaskId &it : job->Tasks) {
    TaskRecord &task = *Table.findTask(it);
    if (task.Task.State != TaskState::Queued)
      continue;
    Scheduler.cancel(it);
    endTask(task, TaskState::Failed);
  }
  Ctx.Events.emit(EventCode::JobRefused, {{"zone", Ctx.Settings.Zone.str()},
                                          {"job", id.str()},
                                          {"reason", reason}});
}

void TaskLifecycle::enqueueLoadedTasks() {
  for (const auto &[id, task] : Table.tasks())
    if (task.Task.State == TaskState::Queued)
      Scheduler.enqueue(id, jobSpec(task));
}

void TaskLifecycle::enqueueDueRetries() {
  while (!DelayedRetries.empty() &&
         DelayedRetries.begin()->first <= Ctx.Clock.now()) {
    const TaskRecord *task = Table.findTask(DelayedRetries.begin()->second);
    if (task != nullptr && task->Task.State == TaskState::Queued)
      Scheduler.enqueue(task->Task.Id, jobSpec(*task));
    DelayedRetries.erase(DelayedRetries.begin());
  }
}

void TaskLifecycle::planStart(TaskRecord &task, const base::WorkerId &worker,
                              base::FencingToken token) {
  task.Task.State = TaskState::Starting;
  task.Task.LatestAttempt = base::Attempt{
      static_cast<std::uint32_t>(base::toNumber(task.Task.LatestAttempt)) + 1};
  task.Task.Worker = worker;
  task.Task.Token = token;
  task.Start = StartPhase::Planned;
  task.EvictPending = false;
  Table.holdResources(task);
  Table.markTaskChanged(task);
  WorkerQuarantine.recordPlannedStart(worker);
}

void TaskLifecycle::revertStart(TaskRecord &task, const std::string &reason) {
  ++Ctx.Metrics.RefusedStarts;
  auto info = eventFields(task);
  info.emplace_back("reason", reason);
  Ctx.Events.emit(EventCode::StartNotTaken, std::move(info));
  Table.releaseResources(task);
  Table.markTaskChanged(task);
  task.Start = StartPhase::None;
  WorkerQuarantine.recordInconclusive(task.Task.Worker, Ctx.Clock.now());
  if (isTerminal(task.Task.State)) {
    Scheduler.ended(task.Task.Id, EndReason::Cancelled);
    return;
  }
  task.Task.State = TaskState::Queued;
  reschedule(task);
}

/// Reports the attempt to the scheduler as WorkerLost rather than Failed. A
/// start that did not reach the worker, or that it rejected for lack of
/// resources or a stale lease, says nothing about the worker's health. Counted
/// as failures, such starts quarantined a restarted worker, which then got no
/// tasks for 5 s.
void TaskLifecycle::reschedule(const TaskRecord &task) {
  Scheduler.ended(task.Task.Id, EndReason::WorkerLost);
  Scheduler.enqueue(task.Task.Id, jobSpec(task));
}

void TaskLifecycle::markRunning(TaskRecord &task) {
  task.Task.State = TaskState::Running;
  task.Start = StartPhase::None;
  task.RunningSince = Ctx.Clock.now();
  Table.markTaskChanged(task);
  Ctx.Events.emit(EventCode::TaskStarted, eventFields(task));
}

void TaskLifecycle::markEvicting(TaskRecord &task) {
  if (task.Task.State != TaskState::Running)
    return;
  task.Task.State = TaskState::Evicting;
  Table.markTaskChanged(task);
}

void TaskLifecycle::releaseAttempt(TaskRecord &task, EndReason reason) {
  Table.releaseResources(task);
  Table.markTaskChanged(task);
  task.Start = StartPhase::None;
  task.EvictPending = false;
  Scheduler.ended(task.Task.Id, reason);
}

void TaskLifecycle::endTask(TaskRecord &task, TaskState state) {
  if (Table.endTask(task, state, Ctx.Clock.wallNow()))
    OnJobEnded(*Table.findJob(task.Task.Job));
}

void TaskLifecycle::requeue(TaskRecord &task, base::Duration delay) {
  task.Task.State = TaskState::Queued;
  if (delay > base::Duration(0))
    DelayedRetries.emplace(Ctx.Clock.now() + delay, task.Task.Id);
  else
    Scheduler.enqueue(task.Task.Id, jobSpec(task));
}

void TaskLifecycle::markFinished(TaskRecord &task) {
  bool cancelled = isTerminal(task.Task.State);
  releaseAttempt(task, EndReason::Finished);
  if (WorkerQuarantine.recordSuccess(task.Task.Worker))
    Ctx.Events.emit(EventCode::WorkerReleased, eventFields(task));
  if (cancelled)
    return;
  endTask(task, TaskState::Finished);
  Ctx.Events.emit(EventCode::TaskFinished, eventFields(task));
}

void TaskLifecycle::markFailed(TaskRecord &task) {
  bool cancelled = isTerminal(task.Task.State);
  releaseAttempt(task, EndReason::Failed);
  if (WorkerQuarantine.recordFailure(task.Task.Worker, task.Task.Job,
                                     Ctx.Clock.now()))
    Ctx.Events.emit(EventCode::WorkerQuarantined, eventFields(task));
  if (cancelled)
    return;
  ++task.Task.Failures;
  task.FailedOn.insert(task.Task.Worker);
  if (task.FailedOn.size() >= FailedWorkersLimit ||
      task.Task.Failures >= FailuresLimit) {
    endTask(task, TaskState::Failed);
    Ctx.Events.emit(EventCode::TaskFailed, eventFields(task));
    return;
  }
  ++Ctx.Metrics.Retries;
  // The delay keeps a task that always fails from occupying the workers.
  base::Duration delay =
      std::chrono::milliseconds(250) * (1 << task.Task.Failures);
  requeue(task, std::min<base::Duration>(delay, MaxRetryDelay));
  Ctx.Events.emit(EventCode::TaskRetried, eventFields(task));
}

void TaskLifecycle::markEvicted(TaskRecord &task,
                                const std::string &checkpoint) {
  if (checkpoint.size() > MaxCheckpointBytes || !isValidUtf8(checkpoint)) {
    markLost(task, "the checkpoint is too large or not UTF-8");
    return;
  }
  bool cancelled = isTerminal(task.Task.State);
  releaseAttempt(task, EndReason::Evicted);
  WorkerQuarantine.recordInconclusive(task.Task.Worker, Ctx.Clock.now());
  if (cancelled)
    return;
  ++Ctx.Metrics.Evictions;
  if (!checkpoint.empty())
    task.Task.Checkpoint = checkpoint;
  requeue(task, base::Duration(0));
  Ctx.Events.emit(EventCode::TaskEvicted, eventFields(task));
}

void TaskLifecycle::markLost(TaskRecord &task, const std::string &reason) {
  bool cancelled = isTerminal(task.Task.State);
  releaseAttempt(task,
                 cancelled ? EndReason::Cancelled : EndReason::WorkerLost);
  WorkerQuarantine.recordInconclusive(task.Task.Worker, Ctx.Clock.now());
  if (cancelled)
    return;
  ++Ctx.Metrics.Retries;
  requeue(task, base::Duration(0));
  auto info = eventFields(task);
  info.emplace_back("reason", reason);
  Ctx.Events.emit(EventCode::TaskLost, std::move(info));
}

} // namespace endivedoor::control::detail
