// Part of ShardOwner that reconciles the task records with worker reports.
#include "detail/ShardOwner.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::EventCode;
using model::TaskState;
using platform::AttemptState;

// A worker rejects a start whose lease sequence is more than two behind its
// own.
constexpr std::uint64_t MaxSequenceLag = 2;
// An attempt that has run for this long shows that its worker is healthy.
constexpr std::chrono::seconds HealthyRunTime{5};

/// Returns the task record if the attempt is its latest one and may still run
/// on the worker; null otherwise.
TaskRecord *ShardOwner::findCurrentAttempt(const WorkerEntry &worker,
                                           const base::TaskId &task,
                                           base::Attempt attempt) {
  TaskRecord *record = Table.findTask(task);
  if (record == nullptr || !record->HoldsResources ||
      record->Task.LatestAttempt != attempt ||
      record->Task.Worker != worker.Worker.Id)
    return nullptr;
  return record;
}

void ShardOwner::onReport(WorkerEntry &worker,
                          const platform::RenewReply &reply) {
  for (const platform::AttemptReport &it : reply.Attempts)
    reconcileAttempt(worker, it);
  reconcileMissingAttempts(worker, reply);
  for (const platform::UsageReport &it : reply.Usage) {
    if (findCurrentAttempt(worker, it.Task, it.Attempt) == nullptr)
      continue;
    Scheduler->observe(
        {it.Task, it.Cpu, it.Memory, it.LatencyP95, Ctx.Clock.now() - it.Age});
    Report.recordLatency(it.Task, it.LatencyP95);
  }
}

void ShardOwner::reconcileAttempt(WorkerEntry &worker,
                                  const platform::AttemptReport &report) {
  TaskRecord *task = findCurrentAttempt(worker, report.Task, report.Attempt);
  if (task == nullptr) {
    if (report.State != AttemptState::Running)
      return;
    Ctx.Events.emit(
        EventCode::AttemptUnknown,
        {{"zone", Ctx.Settings.Zone.str()},
         {"worker", worker.Worker.Id.str()},
         {"task", report.Task.str()},
         {"attempt", std::to_string(base::toNumber(report.Attempt))}});
    Calls.stop(worker, {report.Task, report.Attempt});
    return;
  }
  switch (report.State) {
  case AttemptState::Running:
    handleRunningAttempt(worker, *task);
    break;
  case AttemptState::Finished:
    Lifecycle.markFinished(*task);
    break;
  case AttemptState::Failed:
    Lifecycle.markFailed(*task);
    break;
  case AttemptState::Evicted:
    Lifecycle.markEvicted(*task, report.Checkpoint);
    break;
  case AttemptState::Stopped:
    Lifecycle.markLost(*task, "the worker stopped the attempt");
    break;
  }
}

void ShardOwner::handleRunningAttempt(WorkerEntry &worker, TaskRecord &task) {
  if (task.Task.State == TaskState::Cancelled)
    Calls.stop(worker, {task.Task.Id, task.Task.LatestAttempt});
  else if (task.Task.State == TaskState::Starting)
    Lifecycle.markRunning(task);
  else if (task.Task.State == TaskState::Evicting)
    Calls.evict(task);
  else if (Ctx.Clock.now() - task.RunningSince > HealthyRunTime &&
           WorkerQuarantine.recordSuccess(worker.Worker.Id))
    Ctx.Events.emit(EventCode::WorkerReleased, Lifecycle.eventFields(task));
}

/// Returns whether the start of an attempt that the worker does not know can no
/// longer take effect: either the lease has a newer token, or its sequence is
/// so much higher that the worker rejects the start.
bool ShardOwner::canNoLongerStart(const TaskRecord &task,
                                  const WorkerEntry &worker,
                                  std::uint64_t sequence) const {
  return task.Task.Token != worker.Token ||
         sequence > task.SentSequence + MaxSequenceLag;
}

void ShardOwner::reconcileMissingAttempts(WorkerEntry &worker,
                                          const platform::RenewReply &reply) {
  std::set<std::pair<base::TaskId, base::Attempt>> reportedAttempts;
  for (const platform::AttemptReport &it : reply.Attempts)
    reportedAttempts.emplace(it.Task, it.Attempt);
  for (const base::TaskId &id : Table.tasksHoldingResources(worker.Worker.Id)) {
    TaskRecord &task = *Table.findTask(id);
    if (reportedAttempts.count({id, task.Task.LatestAttempt}) > 0)
      continue;
    bool unsent =
        task.Start == StartPhase::Planned || task.Start == StartPhase::Durable;
    if (unsent && task.Task.Token != worker.Token)
      Lifecycle.revertStart(task, "the placement lease has changed");
    else if (!unsent && canNoLongerStart(task, worker, reply.Sequence))
      Lifecycle.markLost(task, "the worker does not know the attempt");
  }
}

/// Clears the token of every attempt, so that the next report resolves the
/// missing ones without waiting for the lease sequence.
void ShardOwner::onRestart(WorkerEntry &worker) {
  for (const base::TaskId &id : Table.tasksHoldingResources(worker.Worker.Id))
    Table.findTask(id)->Task.Token = base::FencingToken{0};
}

void ShardOwner::onLeasesExpired(WorkerEntry &worker) {
  for (const base::TaskId &id : Table.tasksHoldingResources(worker.Worker.Id))
    Lifecycle.markLost(*Table.findTask(id), "the task lease has expired");
}

/// Passes the state of a worker to the scheduler. A worker is first passed on
/// after its attempts have been reconciled, so that the scheduler never
/// underestimates the resources in use.
void ShardOwner::onChange(WorkerEntry &worker) {
  const base::WorkerId &id = worker.Worker.Id;
  if (KnownToScheduler.count(id) == 0 && !worker.Reconciled)
    return;
  model::Worker schedulerView = worker.Worker;
  schedulerView.Leaving = schedulerView.Leaving || !worker.LeaseHeld ||
                          !worker.Reachable || Config.isWorkerOut(id) ||
                          !WorkerQuarantine.allowsStart(id, Ctx.Clock.now());
  Scheduler->upsertWorker(schedulerView);
  if (!KnownToScheduler.insert(id).second)
    return;
  for (const base::TaskId &it : Table.tasksHoldingResources(id))
    Scheduler->started(it, Table.jobs().at(Table.findTask(it)->Task.Job).Spec,
                       id);
}

/// Returns the ended attempts to acknowledge: those whose outcome the journal
/// contains.
std::vector<platform::AttemptRef>
ShardOwner::acknowledgedAttempts(const WorkerEntry &worker) {
  std::vector<platform::AttemptRef> out;
  for (const platform::AttemptReport &it : worker.AttemptReports)
    if (it.State != AttemptState::Running &&
        findCurrentAttempt(worker, it.Task, it.Attempt) == nullptr &&
        Table.isDurable(it.Task))
      out.push_back({it.Task, it.Attempt});
  return out;
}

std::vector<WorkerState> ShardOwner::workerStates() const {
  std::vector<WorkerState> out;
  for (const auto &[id, entry] : Leases.entries()) {
    WorkerState state;
    state.Worker = entry->Worker;
    state.LeaseHeld = entry->LeaseHeld;
    state.Reachable = entry->Reachable;
    state.Quarantined = WorkerQuarantine.isQuarantined(id);
    state.TaskCount =
        static_cast<std::int32_t>(Table.tasksHoldingResources(id).size());
    state.FreeResources = entry->Worker.Capacity;
    state.FreeResources -= Table.usedResources(id);
    out.push_back(std::move(state));
  }
  return out;
}

} // namespace endivedoor::control::detail
