/// \file
/// Sends start, evict, throttle and stop requests to workers.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_WORKERCALLS_H
#define ENDIVEDOOR_CONTROL_DETAIL_WORKERCALLS_H

#include "detail/ConfigManager.h"
#include "detail/TaskLifecycle.h"
#include "detail/WorkerLeases.h"

namespace endivedoor::control::detail {

/// Queues and sends requests to workers. All preconditions of a request are
/// checked after the last suspension point before it is sent, and the worker
/// fences it by token and lease sequence.
class WorkerCalls {
public:
  WorkerCalls(Context &context, const ConfigManager &config, TaskTable &table,
              TaskLifecycle &lifecycle, WorkerLeases &leases,
              std::function<bool()> isActive);

  /// Sets the object that is kept alive while calls run. Called once.
  void setOwner(std::weak_ptr<void> owner) { Owner = std::move(owner); }
  /// Allows starts for the permit duration after \p sentAt, the time when the
  /// commit that proved the zone to be in was sent.
  void permitStarts(base::TimePoint sentAt) { PermitSentAt = sentAt; }
  /// Disallows starts until the next permit.
  void withdrawPermit() { PermitSentAt.reset(); }
  /// Passes the starts of all durable intents to the queues of their workers.
  void sendStarts();
  /// Adds a start intent that has become durable.
  void queueStart(const platform::AttemptRef &attempt);

  void evict(TaskRecord &task);
  void throttle(const TaskRecord &task, std::int32_t percent);
  /// Stops an attempt regardless of its state in the records.
  void stop(WorkerEntry &worker, const platform::AttemptRef &attempt);

private:
  boost::asio::awaitable<void> sendStart(platform::AttemptRef attempt);
  boost::asio::awaitable<void> sendEvict(platform::AttemptRef attempt);
  boost::asio::awaitable<void> sendThrottle(platform::AttemptRef attempt,
                                            std::int32_t percent);
  TaskRecord *findTask(const platform::AttemptRef &attempt);
  bool checkStart(TaskRecord &task, const WorkerEntry &worker);
  platform::StartRequest startRequest(const TaskRecord &task,
                                      const WorkerEntry &worker) const;
  void handleStartResponse(const platform::AttemptRef &attempt,
                           const base::Result<void> &response);
  void enqueue(WorkerEntry &worker,
               std::function<boost::asio::awaitable<void>()> call);

  Context &Ctx;
  const ConfigManager &Config;
  TaskTable &Table;
  TaskLifecycle &Lifecycle;
  WorkerLeases &Leases;
  std::function<bool()> IsActive;
  std::weak_ptr<void> Owner;
  std::optional<base::TimePoint> PermitSentAt;
  /// Durable start intents that have not been sent.
  std::vector<platform::AttemptRef> DurableStarts;
};

} // namespace endivedoor::control::detail

#endif
