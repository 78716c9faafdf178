#include "detail/WorkerCalls.h"

namespace endivedoor::control::detail {

using base::Errc;
using base::EventCode;
using model::TaskState;

// Limits the queue of a slow worker. A stop request that is dropped is repeated
// after the next report that still contains the attempt.
constexpr std::size_t MaxQueuedCalls = 64;

WorkerCalls::WorkerCalls(Context &context, const ConfigManager &config,
                         TaskTable &table, TaskLifecycle &lifecycle,
                         WorkerLeases &leases, std::function<bool()> isActive)
    : Ctx(context), Config(config), Table(table), Lifecycle(lifecycle),
      Leases(leases), IsActive(std::move(isActive)) {}

void WorkerCalls::enqueue(WorkerEntry &worker,
                          std::function<boost::asio::awaitable<void>()> call) {
  Leases.enqueueCall(worker, std::move(call), Owner.lock());
}

TaskRecord *WorkerCalls::findTask(const platform::AttemptRef &attempt) {
  TaskRecord *task = Table.findTask(attempt.Task);
  if (task == nullptr || !task->HoldsResources ||
      task->Task.LatestAttempt != attempt.Attempt)
    return nullptr;
  return task;
}

void WorkerCalls::queueStart(const platform::AttemptRef &attempt) {
  TaskRecord *task = findTask(attempt);
  if (task == nullptr || task->Start != StartPhase::Planned)
    return;
  task->Start = StartPhase::Durable;
  DurableStarts.push_back(attempt);
}

void WorkerCalls::sendStarts() {
  std::vector<platform::AttemptRef> starts = std::move(DurableStarts);
  DurableStarts.clear();
  for (const platform::AttemptRef &it : starts) {
    const TaskRecord *task = findTask(it);
    WorkerEntry *worker =
        task == nullptr ? nullptr : Leases.find(task->Task.Worker);
    if (worker != nullptr)
      enqueue(*worker, [this, it] { return sendStart(it); });
  }
}

/// Checks all preconditions of a start. There must be no suspension point
/// between this check and sending the request.
bool WorkerCalls::checkStart(TaskRecord &task, const WorkerEntry &worker) {
  if (Config.isZoneOut(Ctx.Settings.Zone)) {
    Lifecycle.revertStart(task, "the zone is out");
    return false;
  }
  if (!worker.LeaseHeld || worker.Token != task.Task.Token) {
    Lifecycle.revertStart(task, "the placement lease has changed");
    return false;
  }
  if (worker.Worker.Leaving || Config.isWorkerOut(worker.Worker.Id)) {
    Lifecycle.revertStart(task, "the worker is leaving or out");
    return false;
  }
  bool permitted = PermitSentAt && Ctx.Clock.now() - *PermitSentAt <
                                       Ctx.Settings.Timing.StartPermit;
  if (!permitted) {
    // The intent stays durable; the next commit renews the permit.
    Ctx.Events.emit(EventCode::StartPermitExpired, Lifecycle.eventFields(task));
    DurableStarts.push_back({task.Task.Id, task.Task.LatestAttempt});
  }
  return permitted;
}

platform::StartRequest
WorkerCalls::startRequest(const TaskRecord &task,
                          const WorkerEntry &worker) const {
  const model::JobSpec &spec = Table.jobs().at(task.Task.Job).Spec;
  platform::StartRequest request;
  request.Task = task.Task.Id;
  request.Attempt = task.Task.LatestAttempt;
  request.Token = task.Task.Token;
  request.Sequence = worker.Sequence;
  request.Job = task.Task.Job;
  request.Class = spec.Class;
  request.Kind = spec.Kind;
  request.Service = spec.Service;
  request.Resources = spec.Size;
  request.ResumeCheckpoint = task.Task.Checkpoint;
  request.Payload = spec.Payload;
  return request;
}

boost::asio::awaitable<void>
WorkerCalls::sendStart(platform::AttemptRef attempt) {
  TaskRecord *task = findTask(attempt);
  if (task == nullptr || task->Start != StartPhase::Durable ||
      task->Task.State != TaskState::Starting)
    co_return;
  WorkerEntry &worker = *Leases.find(task->Task.Worker);
  if (!checkStart(*task, worker))
    co_return;
  task->Start = StartPhase::Sent;
  task->SentSequence = worker.Sequence;
  auto response = co_await Ctx.Workers.start(worker.Worker.Endpoint,
                                             startRequest(*task, worker));
  if (IsActive())
    handleStartResponse(attempt, response);
}

void WorkerCalls::handleStartResponse(const platform::AttemptRef &attempt,
                                      const base::Result<void> &response) {
  if (response)
    ++Ctx.Metrics.Starts;
  TaskRecord *task = findTask(attempt);
  // A report of the worker may already have contained the outcome.
  if (task == nullptr || task->Start != StartPhase::Sent)
    return;
  if (response) {
    if (task->Task.State == TaskState::Starting)
      Lifecycle.markRunning(*task);
    return;
  }
  const base::Error &error = response.error();
  // The outcome is unknown, or the worker already has the attempt: the next
  // reports show its state.
  if (error.Code == Errc::WorkerAnswerLost ||
      error.Code == Errc::PlatformAnswerInvalid ||
      error.Detail.find("duplicate") != std::string::npos)
    return;
  if (error.Detail.find("start-failed") != std::string::npos)
    Lifecycle.markFailed(*task);
  else
    Lifecycle.revertStart(*task, error.message());
}

void WorkerCalls::evict(TaskRecord &task) {
  WorkerEntry *worker = Leases.find(task.Task.Worker);
  if (worker == nullptr || task.EvictPending)
    return;
  Lifecycle.markEvicting(task);
  task.EvictPending = true;
  platform::AttemptRef attempt{task.Task.Id, task.Task.LatestAttempt};
  enqueue(*worker, [this, attempt] { return sendEvict(attempt); });
}

boost::asio::awaitable<void>
WorkerCalls::sendEvict(platform::AttemptRef attempt) {
  TaskRecord *task = findTask(attempt);
  if (task == nullptr || task->Task.State != TaskState::Evicting)
    co_return;
  WorkerEntry &worker = *Leases.find(task->Task.Worker);
  auto response =
      co_await Ctx.Workers.evict(worker.Worker.Endpoint, attempt, worker.Token);
  if (!IsActive())
    co_return;
  task = findTask(attempt);
  if (task == nullptr)
    co_return;
  // Without a response, the next report shows whether the attempt still runs.
  task->EvictPending = false;
  if (response)
    Lifecycle.markEvicted(*task, response.value());
}

void WorkerCalls::throttle(const TaskRecord &task, std::int32_t percent) {
  WorkerEntry *worker = Leases.find(task.Task.Worker);
  if (worker == nullptr)
    return;
  platform::AttemptRef attempt{task.Task.Id, task.Task.LatestAttempt};
  enqueue(*worker,
          [this, attempt, percent] { return sendThrottle(attempt, percent); });
}

boost::asio::awaitable<void>
WorkerCalls::sendThrottle(platform::AttemptRef attempt, std::int32_t percent) {
  const TaskRecord *task = findTask(attempt);
  if (task == nullptr)
    co_return;
  WorkerEntry &worker = *Leases.find(task->Task.Worker);
  auto response = co_await Ctx.Workers.throttle(worker.Worker.Endpoint, attempt,
                                                worker.Token, percent);
  static_cast<void>(response);
}

void WorkerCalls::stop(WorkerEntry &worker,
                       const platform::AttemptRef &attempt) {
  if (worker.PendingCalls.size() >= MaxQueuedCalls)
    return;
  WorkerEntry *entry = &worker;
  enqueue(worker, [this, entry, attempt]() -> boost::asio::awaitable<void> {
    auto response = co_await Ctx.Workers.stop(entry->Worker.Endpoint, attempt,
                                              entry->Token);
    static_cast<void>(response);
  });
}

} // namespace endivedoor::control::detail
