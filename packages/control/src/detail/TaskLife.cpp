#include "detail/TaskLife.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::EventCode;
using model::TaskState;
using policy::EndReason;

constexpr std::size_t FailedWorkersLimit = 3;
// Bounds the attempts in a zone that has fewer than three workers.
constexpr std::int32_t FailuresLimit = 10;
constexpr std::chrono::seconds LongestPause{30};
// An id is refused for this long after its job has left or been cancelled;
// commands stay in an inbox far shorter than this while a zone has an owner.
constexpr std::chrono::hours TombstoneTime{1};
// A checkpoint shares a store value with other records.
constexpr std::size_t CheckpointBytes = 256 * 1024;

TaskLife::TaskLife(Context &context, TaskTable &table,
                   policy::Scheduler &scheduler, Quarantine &quarantine,
                   JobEnded ended)
    : Ctx(context), Table(table), Scheduler(scheduler), Bad(quarantine),
      OnJobEnded(std::move(ended)) {}

const model::JobSpec &TaskLife::spec(const TaskRecord &task) const {
  return Table.jobs().at(task.Task.Job).Spec;
}

std::vector<base::EventField> TaskLife::fields(const TaskRecord &task) const {
  return {{"zone", Ctx.Settings.Zone.str()},
          {"worker", task.Task.Worker.str()},
          {"job", task.Task.Job.str()},
          {"task", task.Task.Id.str()},
          {"attempt", std::to_string(base::toNumber(task.Task.LatestAttempt))}};
}

void TaskLife::apply(const Command &command) {
  if (command.What == Command::Kind::Cancel)
    cancel(command.Job);
  else
    accept(command);
}

void TaskLife::accept(const Command &command) {
  const Tombstone *stone = Table.tombstone(command.Job);
  bool cancelled = stone != nullptr && stone->Cancelled;
  if (const JobRecord *known = Table.job(command.Job))
    cancelled = known->Cancelled;
  // An admission may arrive twice after a lost answer; tasks that another zone
  // hands over arrive once.
  if (command.What == Command::Kind::Admit &&
      (Table.job(command.Job) != nullptr ||
       (stone != nullptr && !stone->Cancelled)))
    return;
  std::vector<base::TaskId> added = Table.addJob(command);
  Ctx.Events.emit(EventCode::JobAccepted,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"job", command.Job.str()},
                   {"tasks", std::to_string(added.size())}});
  if (cancelled) {
    cancel(command.Job);
    return;
  }
  for (const base::TaskId &it : added)
    Scheduler.enqueue(it, command.Spec);
}

/// Notes the cancellation also of an unknown job: its tasks may be on their way
/// from another zone.
void TaskLife::cancel(const base::JobId &id) {
  JobRecord *job = Table.job(id);
  if (job == nullptr) {
    Table.addTombstone(id, {true, Ctx.Clock.wallNow() + TombstoneTime});
    return;
  }
  job->Cancelled = true;
  Table.touchJob(id);
  for (const base::TaskId &it : job->Tasks)
    cancelTask(*Table.task(it));
  Ctx.Events.emit(EventCode::JobCancelled,
                  {{"zone", Ctx.Settings.Zone.str()}, {"job", id.str()}});
}

/// An attempt that may run keeps its resources until the worker has stopped it.
void TaskLife::cancelTask(TaskRecord &task) {
  if (isEnd(task.Task.State))
    return;
  bool unsent =
      task.Start == StartPhase::Planned || task.Start == StartPhase::Durable;
  if (!task.Holding)
    Scheduler.cancel(task.Task.Id);
  else if (unsent)
    release(task, EndReason::Cancelled);
  end(task, TaskState::Cancelled);
}

void TaskLife::refuse(const base::JobId &id, const std::string &reason) {
  JobRecord *job = Table.job(id);
  if (job == nullptr)
    return;
  for (const base::TaskId &it : job->Tasks) {
    TaskRecord &task = *Table.task(it);
    if (task.Task.State != TaskState::Queued)
      continue;
    Scheduler.cancel(it);
    end(task, TaskState::Failed);
  }
  Ctx.Events.emit(EventCode::JobRefused, {{"zone", Ctx.Settings.Zone.str()},
                                          {"job", id.str()},
                                          {"reason", reason}});
}

void TaskLife::enqueueLoaded() {
  for (const auto &[id, task] : Table.tasks())
    if (task.Task.State == TaskState::Queued)
      Scheduler.enqueue(id, spec(task));
}

void TaskLife::enqueueDue() {
  while (!Delayed.empty() && Delayed.begin()->first <= Ctx.Clock.now()) {
    const TaskRecord *task = Table.task(Delayed.begin()->second);
    if (task != nullptr && task->Task.State == TaskState::Queued)
      Scheduler.enqueue(task->Task.Id, spec(*task));
    Delayed.erase(Delayed.begin());
  }
}

void TaskLife::plan(TaskRecord &task, const base::WorkerId &worker,
                    base::FencingToken token) {
  task.Task.State = TaskState::Starting;
  task.Task.LatestAttempt = base::Attempt{
      static_cast<std::uint32_t>(base::toNumber(task.Task.LatestAttempt)) + 1};
  task.Task.Worker = worker;
  task.Task.Token = token;
  task.Start = StartPhase::Planned;
  task.EvictCalled = false;
  Table.hold(task);
  Table.touch(task);
  Bad.planned(worker);
}

void TaskLife::startRefused(TaskRecord &task, const std::string &reason) {
  ++Ctx.Metrics.RefusedStarts;
  auto info = fields(task);
  info.emplace_back("reason", reason);
  Ctx.Events.emit(EventCode::StartNotTaken, std::move(info));
  Table.release(task);
  Table.touch(task);
  task.Start = StartPhase::None;
  Bad.ended(task.Task.Worker, Ctx.Clock.now());
  if (isEnd(task.Task.State)) {
    Scheduler.ended(task.Task.Id, EndReason::Cancelled);
    return;
  }
  task.Task.State = TaskState::Queued;
  chooseAgain(task);
}

/// A start that did not reach the worker, or that the worker had no room or no
/// right for, says nothing about the worker's health: as a failed start it
/// would count towards quarantine, and a restarted worker got no work for 5 s.
void TaskLife::chooseAgain(const TaskRecord &task) {
  Scheduler.ended(task.Task.Id, EndReason::WorkerLost);
  Scheduler.enqueue(task.Task.Id, spec(task));
}

void TaskLife::running(TaskRecord &task) {
  task.Task.State = TaskState::Running;
  task.Start = StartPhase::None;
  task.RunningSince = Ctx.Clock.now();
  Table.touch(task);
  Ctx.Events.emit(EventCode::TaskStarted, fields(task));
}

void TaskLife::evicting(TaskRecord &task) {
  if (task.Task.State != TaskState::Running)
    return;
  task.Task.State = TaskState::Evicting;
  Table.touch(task);
}

void TaskLife::release(TaskRecord &task, EndReason reason) {
  Table.release(task);
  Table.touch(task);
  task.Start = StartPhase::None;
  task.EvictCalled = false;
  Scheduler.ended(task.Task.Id, reason);
}

void TaskLife::end(TaskRecord &task, TaskState state) {
  if (Table.endTask(task, state, Ctx.Clock.wallNow()))
    OnJobEnded(*Table.job(task.Task.Job));
}

void TaskLife::requeue(TaskRecord &task, base::Duration pause) {
  task.Task.State = TaskState::Queued;
  if (pause > base::Duration(0))
    Delayed.emplace(Ctx.Clock.now() + pause, task.Task.Id);
  else
    Scheduler.enqueue(task.Task.Id, spec(task));
}

void TaskLife::finished(TaskRecord &task) {
  bool cancelled = isEnd(task.Task.State);
  release(task, EndReason::Finished);
  if (Bad.succeeded(task.Task.Worker))
    Ctx.Events.emit(EventCode::WorkerReleased, fields(task));
  if (cancelled)
    return;
  end(task, TaskState::Finished);
  Ctx.Events.emit(EventCode::TaskFinished, fields(task));
}

void TaskLife::failed(TaskRecord &task) {
  bool cancelled = isEnd(task.Task.State);
  release(task, EndReason::Failed);
  if (Bad.failed(task.Task.Worker, task.Task.Job, Ctx.Clock.now()))
    Ctx.Events.emit(EventCode::WorkerQuarantined, fields(task));
  if (cancelled)
    return;
  ++task.Task.Failures;
  task.FailedOn.insert(task.Task.Worker);
  if (task.FailedOn.size() >= FailedWorkersLimit ||
      task.Task.Failures >= FailuresLimit) {
    end(task, TaskState::Failed);
    Ctx.Events.emit(EventCode::TaskFailed, fields(task));
    return;
  }
  ++Ctx.Metrics.Retries;
  // Failures pause the task, so that a broken one does not fill the workers.
  base::Duration pause =
      std::chrono::milliseconds(250) * (1 << task.Task.Failures);
  requeue(task, std::min<base::Duration>(pause, LongestPause));
  Ctx.Events.emit(EventCode::TaskRetried, fields(task));
}

void TaskLife::evicted(TaskRecord &task, const std::string &checkpoint) {
  if (checkpoint.size() > CheckpointBytes || !isStorable(checkpoint)) {
    lost(task, "the checkpoint is too large or not UTF-8");
    return;
  }
  bool cancelled = isEnd(task.Task.State);
  release(task, EndReason::Evicted);
  Bad.ended(task.Task.Worker, Ctx.Clock.now());
  if (cancelled)
    return;
  ++Ctx.Metrics.Evictions;
  if (!checkpoint.empty())
    task.Task.Checkpoint = checkpoint;
  requeue(task, base::Duration(0));
  Ctx.Events.emit(EventCode::TaskEvicted, fields(task));
}

void TaskLife::lost(TaskRecord &task, const std::string &reason) {
  bool cancelled = isEnd(task.Task.State);
  release(task, cancelled ? EndReason::Cancelled : EndReason::WorkerLost);
  Bad.ended(task.Task.Worker, Ctx.Clock.now());
  if (cancelled)
    return;
  ++Ctx.Metrics.Retries;
  requeue(task, base::Duration(0));
  auto info = fields(task);
  info.emplace_back("reason", reason);
  Ctx.Events.emit(EventCode::TaskLost, std::move(info));
}

} // namespace endivedoor::control::detail
