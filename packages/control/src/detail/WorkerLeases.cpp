#include "detail/WorkerLeases.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::Errc;
using base::EventCode;

WorkerLeases::WorkerLeases(Context &context, base::Epoch epoch,
                           WorkerObserver &observer,
                           std::function<bool()> isActive)
    : Ctx(context), Epoch(epoch), Observer(observer),
      IsActive(std::move(isActive)) {}

WorkerEntry *WorkerLeases::find(const base::WorkerId &id) {
  auto it = Entries.find(id);
  return it == Entries.end() ? nullptr : it->second.get();
}

boost::asio::awaitable<void> WorkerLeases::run(std::shared_ptr<void> owner) {
  Backoff backoff;
  while (IsActive()) {
    auto hosts = co_await Ctx.Hosts.fetch();
    if (!IsActive())
      co_return;
    base::Duration delay = std::chrono::seconds(1);
    if (hosts) {
      mergeHosts(hosts.value(), owner);
      backoff.reset();
    } else {
      delay = std::max(delay, backoff.nextDelay(Ctx.Random));
    }
    co_await Ctx.Sleep(delay);
  }
}

/// The host list may be stale, so it only adds workers and updates their
/// endpoints, racks and leaving states. Whether a worker exists is determined
/// by its own responses.
void WorkerLeases::mergeHosts(const std::vector<model::Worker> &hosts,
                              std::shared_ptr<void> owner) {
  for (const model::Worker &it : hosts) {
    if (it.Zone != Ctx.Settings.Zone)
      continue;
    auto [entry, added] = Entries.try_emplace(it.Id);
    if (added) {
      entry->second = std::make_unique<WorkerEntry>();
      entry->second->Worker = it;
      entry->second->LeavingInHostList = it.Leaving;
      entry->second->LastContact = Ctx.Clock.now();
      Ctx.spawn(maintainLease(*entry->second, owner));
      continue;
    }
    WorkerEntry &existing = *entry->second;
    existing.Worker.Endpoint = it.Endpoint;
    existing.Worker.Rack = it.Rack;
    existing.LeavingInHostList = it.Leaving;
    updateLeaving(existing);
  }
}

void WorkerLeases::updateLeaving(WorkerEntry &worker) {
  bool leaving = worker.LeavingInHostList || worker.ReportsLeaving;
  if (leaving == worker.Worker.Leaving)
    return;
  worker.Worker.Leaving = leaving;
  if (leaving)
    Ctx.Events.emit(EventCode::WorkerLeaving,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"worker", worker.Worker.Id.str()}});
  Observer.onChange(worker);
}

boost::asio::awaitable<void>
WorkerLeases::maintainLease(WorkerEntry &worker,
                            [[maybe_unused]] std::shared_ptr<void> owner) {
  base::Duration interval = Ctx.Settings.Timing.PlacementRenew;
  while (IsActive()) {
    base::TimePoint startedAt = Ctx.Clock.now();
    if (!worker.LeaseHeld) {
      co_await claim(worker);
      if (!IsActive())
        co_return;
    }
    if (worker.LeaseHeld)
      co_await renew(worker);
    if (!IsActive())
      co_return;
    checkTaskLeases(worker);
    base::Duration elapsed = Ctx.Clock.now() - startedAt;
    // A lost lease is claimed again soon, but not in a tight loop.
    base::Duration delay = worker.LeaseHeld ? interval - elapsed : interval / 4;
    co_await Ctx.Sleep(
        std::max<base::Duration>(delay, std::chrono::milliseconds(1)));
  }
}

/// Records the end of a call. Only a call that certainly did not reach the
/// worker leaves the time of the last contact unchanged.
void WorkerLeases::recordContact(WorkerEntry &worker,
                                 const base::Error *error) {
  bool answered = error == nullptr || error->Code == Errc::LeaseHeld ||
                  error->Code == Errc::LeaseStale;
  if (error == nullptr || error->Code != Errc::WorkerUnreachable)
    worker.LastContact = Ctx.Clock.now();
  if (answered == worker.Reachable)
    return;
  worker.Reachable = answered;
  if (!answered)
    Ctx.Events.emit(EventCode::WorkerUnreached,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"worker", worker.Worker.Id.str()},
                     {"error", error->message()}});
  Observer.onChange(worker);
}

boost::asio::awaitable<void> WorkerLeases::claim(WorkerEntry &worker) {
  auto lease =
      co_await Ctx.Workers.claim(worker.Worker.Endpoint, Ctx.Instance.str(),
                                 Epoch, Ctx.Settings.Timing.PlacementLease);
  if (!IsActive())
    co_return;
  recordContact(worker, lease ? nullptr : &lease.error());
  if (!lease)
    co_return;
  worker.LeaseHeld = true;
  worker.Reconciled = false;
  worker.Token = lease.value().Token;
  worker.Sequence = lease.value().Sequence;
  if (!worker.BootId.empty() && worker.BootId != lease.value().BootId)
    Observer.onRestart(worker);
  worker.BootId = lease.value().BootId;
  worker.Worker.Capacity = lease.value().Capacity;
  Ctx.Events.emit(EventCode::WorkerClaimed,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"worker", worker.Worker.Id.str()},
                   {"token", std::to_string(base::toNumber(worker.Token))},
                   {"boot", worker.BootId}});
}

boost::asio::awaitable<void> WorkerLeases::renew(WorkerEntry &worker) {
  platform::RenewRequest request;
  request.Holder = Ctx.Instance.str();
  request.Token = worker.Token;
  request.Ttl = Ctx.Settings.Timing.PlacementLease;
  request.TaskTtl = Ctx.Settings.Timing.TaskLease;
  request.Acknowledged = Observer.acknowledgedAttempts(worker);
  auto reply = co_await Ctx.Workers.renew(worker.Worker.Endpoint, request);
  if (!IsActive())
    co_return;
  recordContact(worker, reply ? nullptr : &reply.error());
  if (!reply) {
    if (reply.error().Code == Errc::LeaseStale) {
      worker.LeaseHeld = false;
      worker.Reconciled = false;
      Observer.onChange(worker);
    }
    co_return;
  }
  worker.Sequence = std::max(worker.Sequence, reply.value().Sequence);
  worker.AttemptReports = reply.value().Attempts;
  bool firstReport = !worker.Reconciled;
  worker.Reconciled = true;
  worker.ReportsLeaving = reply.value().Leaving;
  updateLeaving(worker);
  Observer.onReport(worker, reply.value());
  if (firstReport)
    Observer.onChange(worker);
}

/// Reports expired task leases. Running tasks stop by themselves one task lease
/// after the last renewal, and no start takes effect later than one placement
/// lease after it.
void WorkerLeases::checkTaskLeases(WorkerEntry &worker) {
  base::Duration limit =
      Ctx.Settings.Timing.TaskLease + Ctx.Settings.Timing.PlacementLease;
  if (Ctx.Clock.now() - worker.LastContact > limit)
    Observer.onLeasesExpired(worker);
}

void WorkerLeases::enqueueCall(
    WorkerEntry &worker, std::function<boost::asio::awaitable<void>()> call,
    std::shared_ptr<void> owner) {
  worker.PendingCalls.push_back(std::move(call));
  if (worker.CallInFlight)
    return;
  worker.CallInFlight = true;
  Ctx.spawn(runPendingCalls(worker, std::move(owner)));
}

boost::asio::awaitable<void>
WorkerLeases::runPendingCalls(WorkerEntry &worker,
                              [[maybe_unused]] std::shared_ptr<void> owner) {
  while (!worker.PendingCalls.empty() && IsActive()) {
    auto call = std::move(worker.PendingCalls.front());
    worker.PendingCalls.pop_front();
    co_await call();
  }
  worker.PendingCalls.clear();
  worker.CallInFlight = false;
}

} // namespace endivedoor::control::detail
