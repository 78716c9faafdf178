#include "detail/WorkerCalls.h"

namespace endivedoor::control::detail {

using base::Errc;
using base::EventCode;
using model::TaskState;

// A worker that answers slowly gets no more calls than it can take; reports
// bring up again what was left out.
constexpr std::size_t QueuedCallsLimit = 64;

WorkerCalls::WorkerCalls(Context &context, const ConfigKeeper &keeper,
                         TaskTable &table, TaskLife &life, WorkerLeases &leases,
                         std::function<bool()> wanted)
    : Ctx(context), Keeper(keeper), Table(table), Life(life), Leases(leases),
      Wanted(std::move(wanted)) {}

void WorkerCalls::enqueue(WorkerEntry &worker,
                          std::function<boost::asio::awaitable<void>()> call) {
  Leases.enqueue(worker, std::move(call), Owner.lock());
}

TaskRecord *WorkerCalls::find(const platform::AttemptRef &attempt) {
  TaskRecord *task = Table.task(attempt.Task);
  if (task == nullptr || !task->Holding ||
      task->Task.LatestAttempt != attempt.Number)
    return nullptr;
  return task;
}

void WorkerCalls::ready(const platform::AttemptRef &attempt) {
  TaskRecord *task = find(attempt);
  if (task == nullptr || task->Start != StartPhase::Planned)
    return;
  task->Start = StartPhase::Durable;
  Ready.push_back(attempt);
}

void WorkerCalls::sendStarts() {
  std::vector<platform::AttemptRef> due = std::move(Ready);
  Ready.clear();
  for (const platform::AttemptRef &it : due) {
    const TaskRecord *task = find(it);
    WorkerEntry *worker =
        task == nullptr ? nullptr : Leases.find(task->Task.Worker);
    if (worker != nullptr)
      enqueue(*worker, [this, it] { return sendStart(it); });
  }
}

/// Checks everything that a start depends on; there is no suspension point
/// between this and the send.
bool WorkerCalls::mayStart(TaskRecord &task, const WorkerEntry &worker) {
  if (Keeper.isOut(Ctx.Settings.Zone)) {
    Life.startRefused(task, "the zone is out");
    return false;
  }
  if (!worker.Held || worker.Token != task.Task.Token) {
    Life.startRefused(task, "the placement lease has changed");
    return false;
  }
  if (worker.Worker.Leaving || Keeper.isWorkerOut(worker.Worker.Id)) {
    Life.startRefused(task, "the worker is leaving or out");
    return false;
  }
  bool fresh =
      Permit && Ctx.Clock.now() - *Permit < Ctx.Settings.Timing.StartPermit;
  if (!fresh) {
    // The intent stays durable; the next commit brings a new permit.
    Ctx.Events.emit(EventCode::StartPermitExpired, Life.fields(task));
    Ready.push_back({task.Task.Id, task.Task.LatestAttempt});
  }
  return fresh;
}

platform::StartRequest
WorkerCalls::startRequest(const TaskRecord &task,
                          const WorkerEntry &worker) const {
  const model::JobSpec &spec = Table.jobs().at(task.Task.Job).Spec;
  platform::StartRequest request;
  request.Task = task.Task.Id;
  request.Number = task.Task.LatestAttempt;
  request.Token = task.Task.Token;
  request.Sequence = worker.Sequence;
  request.Job = task.Task.Job;
  request.Class = spec.Class;
  request.Kind = spec.Kind;
  request.Service = spec.Service;
  request.Size = spec.Size;
  request.Resume = task.Task.Checkpoint;
  request.Payload = spec.Payload;
  return request;
}

boost::asio::awaitable<void>
WorkerCalls::sendStart(platform::AttemptRef attempt) {
  TaskRecord *task = find(attempt);
  if (task == nullptr || task->Start != StartPhase::Durable ||
      task->Task.State != TaskState::Starting)
    co_return;
  WorkerEntry &worker = *Leases.find(task->Task.Worker);
  if (!mayStart(*task, worker))
    co_return;
  task->Start = StartPhase::Sent;
  task->SentSequence = worker.Sequence;
  auto answer = co_await Ctx.Workers.start(worker.Worker.Endpoint,
                                           startRequest(*task, worker));
  if (Wanted())
    startAnswered(attempt, answer);
}

void WorkerCalls::startAnswered(const platform::AttemptRef &attempt,
                                const base::Result<void> &answer) {
  if (answer)
    ++Ctx.Metrics.Starts;
  TaskRecord *task = find(attempt);
  // A report of the worker may have told the outcome before.
  if (task == nullptr || task->Start != StartPhase::Sent)
    return;
  if (answer) {
    if (task->Task.State == TaskState::Starting)
      Life.running(*task);
    return;
  }
  const base::Error &error = answer.error();
  // An unknown outcome, or an attempt that the worker already has: the next
  // reports tell.
  if (error.Code == Errc::WorkerAnswerLost ||
      error.Code == Errc::PlatformAnswerInvalid ||
      error.Detail.find("duplicate") != std::string::npos)
    return;
  if (error.Detail.find("start-failed") != std::string::npos)
    Life.failed(*task);
  else
    Life.startRefused(*task, error.message());
}

void WorkerCalls::evict(TaskRecord &task) {
  WorkerEntry *worker = Leases.find(task.Task.Worker);
  if (worker == nullptr || task.EvictCalled)
    return;
  Life.evicting(task);
  task.EvictCalled = true;
  platform::AttemptRef attempt{task.Task.Id, task.Task.LatestAttempt};
  enqueue(*worker, [this, attempt] { return sendEvict(attempt); });
}

boost::asio::awaitable<void>
WorkerCalls::sendEvict(platform::AttemptRef attempt) {
  TaskRecord *task = find(attempt);
  if (task == nullptr || task->Task.State != TaskState::Evicting)
    co_return;
  WorkerEntry &worker = *Leases.find(task->Task.Worker);
  auto answer =
      co_await Ctx.Workers.evict(worker.Worker.Endpoint, attempt, worker.Token);
  if (!Wanted())
    co_return;
  task = find(attempt);
  if (task == nullptr)
    co_return;
  // Without an answer, the next report tells whether the attempt still runs.
  task->EvictCalled = false;
  if (answer)
    Life.evicted(*task, answer.value());
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
  const TaskRecord *task = find(attempt);
  if (task == nullptr)
    co_return;
  WorkerEntry &worker = *Leases.find(task->Task.Worker);
  auto answer = co_await Ctx.Workers.throttle(worker.Worker.Endpoint, attempt,
                                              worker.Token, percent);
  static_cast<void>(answer);
}

void WorkerCalls::stop(WorkerEntry &worker,
                       const platform::AttemptRef &attempt) {
  if (worker.Calls.size() >= QueuedCallsLimit)
    return;
  WorkerEntry *target = &worker;
  enqueue(worker, [this, target, attempt]() -> boost::asio::awaitable<void> {
    auto answer = co_await Ctx.Workers.stop(target->Worker.Endpoint, attempt,
                                            target->Token);
    static_cast<void>(answer);
  });
}

} // namespace endivedoor::control::detail
