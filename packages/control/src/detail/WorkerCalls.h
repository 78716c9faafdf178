/// \file
/// Sends starts, evictions, throttles and stops to workers.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_WORKERCALLS_H
#define ENDIVEDOOR_CONTROL_DETAIL_WORKERCALLS_H

#include "detail/ConfigManager.h"
#include "detail/TaskLifecycle.h"
#include "detail/WorkerLeases.h"

namespace endivedoor::control::detail {

/// Every condition of a call is checked after the last suspension point before
/// it is sent, and fenced at the worker by token and lease sequence.
class WorkerCalls {
public:
  WorkerCalls(Context &context, const ConfigManager &config, TaskTable &table,
              TaskLifecycle &lifecycle, WorkerLeases &leases,
              std::function<bool()> isActive);

  /// Sets who stays alive while calls run. Called once.
  void setOwner(std::weak_ptr<void> owner) { Owner = std::move(owner); }
  /// Starts are allowed for one permit time after \p sentAt, when a commit was
  /// sent that proved the zone to be in.
  void permitStarts(base::TimePoint sentAt) { PermitSentAt = sentAt; }
  /// No start is allowed until the next permit.
  void withdrawPermit() { PermitSentAt.reset(); }
  /// Queues the starts of all durable intents.
  void sendStarts();
  /// Notes an intent that has become durable.
  void queueStart(const platform::AttemptRef &attempt);

  void evict(TaskRecord &task);
  void throttle(const TaskRecord &task, std::int32_t percent);
  /// Stops an attempt whatever the records say of it.
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
  /// Durable intents whose start has not been sent.
  std::vector<platform::AttemptRef> DurableStarts;
};

} // namespace endivedoor::control::detail

#endif
