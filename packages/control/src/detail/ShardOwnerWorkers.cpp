// The part of ShardOwner that compares the records with what workers report.
#include "detail/ShardOwner.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::EventCode;
using model::TaskState;
using platform::AttemptState;

// A worker refuses a start whose lease sequence is more than two behind.
constexpr std::uint64_t AcceptedSequenceLag = 2;
// An attempt that has run for this long shows that its worker works.
constexpr std::chrono::seconds ProvenRunTime{5};

/// Returns the record of an attempt if it is the one that may run on the
/// worker.
TaskRecord *ShardOwner::live(const WorkerEntry &worker,
                             const base::TaskId &task, base::Attempt number) {
  TaskRecord *record = Table.task(task);
  if (record == nullptr || !record->Holding ||
      record->Task.LatestAttempt != number ||
      record->Task.Worker != worker.Worker.Id)
    return nullptr;
  return record;
}

void ShardOwner::reported(WorkerEntry &worker,
                          const platform::RenewReply &reply) {
  for (const platform::AttemptReport &it : reply.Tasks)
    compareAttempt(worker, it);
  compareMissing(worker, reply);
  for (const platform::UsageReport &it : reply.Usage) {
    if (live(worker, it.Task, it.Number) == nullptr)
      continue;
    Scheduler->observe(
        {it.Task, it.Cpu, it.Memory, it.P95, Ctx.Clock.now() - it.Age});
    Report.measured(it.Task, it.P95);
  }
}

void ShardOwner::compareAttempt(WorkerEntry &worker,
                                const platform::AttemptReport &report) {
  TaskRecord *task = live(worker, report.Task, report.Number);
  if (task == nullptr) {
    if (report.State != AttemptState::Running)
      return;
    Ctx.Events.emit(
        EventCode::AttemptUnknown,
        {{"zone", Ctx.Settings.Zone.str()},
         {"worker", worker.Worker.Id.str()},
         {"task", report.Task.str()},
         {"attempt", std::to_string(base::toNumber(report.Number))}});
    Calls.stop(worker, {report.Task, report.Number});
    return;
  }
  switch (report.State) {
  case AttemptState::Running:
    stillRuns(worker, *task);
    break;
  case AttemptState::Finished:
    Life.finished(*task);
    break;
  case AttemptState::Failed:
    Life.failed(*task);
    break;
  case AttemptState::Evicted:
    Life.evicted(*task, report.Checkpoint);
    break;
  case AttemptState::Stopped:
    Life.lost(*task, "the worker stopped it");
    break;
  }
}

void ShardOwner::stillRuns(WorkerEntry &worker, TaskRecord &task) {
  if (task.Task.State == TaskState::Cancelled)
    Calls.stop(worker, {task.Task.Id, task.Task.LatestAttempt});
  else if (task.Task.State == TaskState::Starting)
    Life.running(task);
  else if (task.Task.State == TaskState::Evicting)
    Calls.evict(task);
  else if (Ctx.Clock.now() - task.RunningSince > ProvenRunTime &&
           Bad.succeeded(worker.Worker.Id))
    Ctx.Events.emit(EventCode::WorkerReleased, Life.fields(task));
}

/// An attempt that the worker does not know is over when its start can no
/// longer take effect: the lease has a newer token, or a sequence so much
/// higher that the worker refuses the start.
bool ShardOwner::isOver(const TaskRecord &task, const WorkerEntry &worker,
                        std::uint64_t sequence) const {
  return task.Task.Token != worker.Token ||
         sequence > task.SentSequence + AcceptedSequenceLag;
}

void ShardOwner::compareMissing(WorkerEntry &worker,
                                const platform::RenewReply &reply) {
  std::set<std::pair<base::TaskId, base::Attempt>> listed;
  for (const platform::AttemptReport &it : reply.Tasks)
    listed.emplace(it.Task, it.Number);
  for (const base::TaskId &id : Table.held(worker.Worker.Id)) {
    TaskRecord &task = *Table.task(id);
    if (listed.count({id, task.Task.LatestAttempt}) > 0)
      continue;
    bool unsent =
        task.Start == StartPhase::Planned || task.Start == StartPhase::Durable;
    if (unsent && task.Task.Token != worker.Token)
      Life.startRefused(task, "the placement lease has changed");
    else if (!unsent && isOver(task, worker, reply.Sequence))
      Life.lost(task, "the worker does not know it");
  }
}

/// Takes the token from every attempt, so that the next report decides at once.
void ShardOwner::restarted(WorkerEntry &worker) {
  for (const base::TaskId &id : Table.held(worker.Worker.Id))
    Table.task(id)->Task.Token = base::FencingToken{0};
}

void ShardOwner::lapsed(WorkerEntry &worker) {
  for (const base::TaskId &id : Table.held(worker.Worker.Id))
    Life.lost(*Table.task(id), "its task lease has lapsed");
}

/// Tells the scheduler what it must know of a worker. It learns of a worker
/// after the first comparison, so that it never counts too little as taken.
void ShardOwner::changed(WorkerEntry &worker) {
  const base::WorkerId &id = worker.Worker.Id;
  if (Introduced.count(id) == 0 && !worker.Compared)
    return;
  model::Worker view = worker.Worker;
  view.Leaving = view.Leaving || !worker.Held || !worker.Reachable ||
                 Keeper.isWorkerOut(id) || !Bad.allows(id, Ctx.Clock.now());
  Scheduler->upsertWorker(view);
  if (!Introduced.insert(id).second)
    return;
  for (const base::TaskId &it : Table.held(id))
    Scheduler->started(it, Table.jobs().at(Table.task(it)->Task.Job).Spec, id);
}

/// An ended attempt is acknowledged once the journal holds what became of it.
std::vector<platform::AttemptRef>
ShardOwner::acknowledged(const WorkerEntry &worker) {
  std::vector<platform::AttemptRef> out;
  for (const platform::AttemptReport &it : worker.Reports)
    if (it.State != AttemptState::Running &&
        live(worker, it.Task, it.Number) == nullptr && Table.isDurable(it.Task))
      out.push_back({it.Task, it.Number});
  return out;
}

std::vector<WorkerState> ShardOwner::workers() const {
  std::vector<WorkerState> out;
  for (const auto &[id, entry] : Leases.all()) {
    WorkerState state;
    state.Worker = entry->Worker;
    state.LeaseHeld = entry->Held;
    state.Reachable = entry->Reachable;
    state.Quarantined = Bad.quarantined(id);
    state.Tasks = static_cast<std::int32_t>(Table.held(id).size());
    state.Free = entry->Worker.Capacity;
    state.Free -= Table.used(id);
    out.push_back(std::move(state));
  }
  return out;
}

} // namespace endivedoor::control::detail
