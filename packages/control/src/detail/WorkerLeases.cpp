#include "detail/WorkerLeases.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::Errc;
using base::EventCode;

WorkerLeases::WorkerLeases(Context &context, base::Epoch epoch,
                           WorkerObserver &observer,
                           std::function<bool()> wanted)
    : Ctx(context), Number(epoch), Observer(observer),
      Wanted(std::move(wanted)) {}

WorkerEntry *WorkerLeases::find(const base::WorkerId &id) {
  auto it = Entries.find(id);
  return it == Entries.end() ? nullptr : it->second.get();
}

boost::asio::awaitable<void> WorkerLeases::run(std::shared_ptr<void> keep) {
  Backoff backoff;
  while (Wanted()) {
    auto hosts = co_await Ctx.Hosts.fetch();
    if (!Wanted())
      co_return;
    base::Duration pause = std::chrono::seconds(1);
    if (hosts) {
      merge(hosts.value(), keep);
      backoff.reset();
    } else {
      pause = std::max(pause, backoff.next(Ctx.Random));
    }
    co_await Ctx.Sleep(pause);
  }
}

/// The list lags, so it only adds workers and leaving notices: whether a worker
/// is there is judged by its own answers.
void WorkerLeases::merge(const std::vector<model::Worker> &hosts,
                         std::shared_ptr<void> keep) {
  for (const model::Worker &it : hosts) {
    if (it.Zone != Ctx.Settings.Zone)
      continue;
    auto [entry, added] = Entries.try_emplace(it.Id);
    if (added) {
      entry->second = std::make_unique<WorkerEntry>();
      entry->second->Worker = it;
      entry->second->ListedLeaving = it.Leaving;
      entry->second->LastContact = Ctx.Clock.now();
      Ctx.spawn(serve(*entry->second, keep));
      continue;
    }
    WorkerEntry &known = *entry->second;
    known.Worker.Endpoint = it.Endpoint;
    known.Worker.Rack = it.Rack;
    known.ListedLeaving = it.Leaving;
    updateLeaving(known);
  }
}

void WorkerLeases::updateLeaving(WorkerEntry &worker) {
  bool leaving = worker.ListedLeaving || worker.SaysLeaving;
  if (leaving == worker.Worker.Leaving)
    return;
  worker.Worker.Leaving = leaving;
  if (leaving)
    Ctx.Events.emit(EventCode::WorkerLeaving,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"worker", worker.Worker.Id.str()}});
  Observer.changed(worker);
}

boost::asio::awaitable<void>
WorkerLeases::serve(WorkerEntry &worker,
                    [[maybe_unused]] std::shared_ptr<void> keep) {
  base::Duration interval = Ctx.Settings.Timing.PlacementRenew;
  while (Wanted()) {
    base::TimePoint begun = Ctx.Clock.now();
    if (!worker.Held) {
      co_await claim(worker);
      if (!Wanted())
        co_return;
    }
    if (worker.Held)
      co_await renew(worker);
    if (!Wanted())
      co_return;
    checkLapse(worker);
    base::Duration spent = Ctx.Clock.now() - begun;
    // A lapsed lease is claimed again soon, but not in a tight loop.
    base::Duration pause = worker.Held ? interval - spent : interval / 4;
    co_await Ctx.Sleep(
        std::max<base::Duration>(pause, std::chrono::milliseconds(1)));
  }
}

/// Notes the end of a call. Only a call that certainly did not reach the worker
/// leaves the time of the last contact as it is.
void WorkerLeases::contacted(WorkerEntry &worker, const base::Error *error) {
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
  Observer.changed(worker);
}

boost::asio::awaitable<void> WorkerLeases::claim(WorkerEntry &worker) {
  auto lease =
      co_await Ctx.Workers.claim(worker.Worker.Endpoint, Ctx.Instance.str(),
                                 Number, Ctx.Settings.Timing.PlacementLease);
  if (!Wanted())
    co_return;
  contacted(worker, lease ? nullptr : &lease.error());
  if (!lease)
    co_return;
  worker.Held = true;
  worker.Compared = false;
  worker.Token = lease.value().Token;
  worker.Sequence = lease.value().Sequence;
  if (!worker.Boot.empty() && worker.Boot != lease.value().Boot)
    Observer.restarted(worker);
  worker.Boot = lease.value().Boot;
  worker.Worker.Capacity = lease.value().Capacity;
  Ctx.Events.emit(EventCode::WorkerClaimed,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"worker", worker.Worker.Id.str()},
                   {"token", std::to_string(base::toNumber(worker.Token))},
                   {"boot", worker.Boot}});
}

boost::asio::awaitable<void> WorkerLeases::renew(WorkerEntry &worker) {
  platform::RenewRequest request;
  request.Holder = Ctx.Instance.str();
  request.Token = worker.Token;
  request.Ttl = Ctx.Settings.Timing.PlacementLease;
  request.TaskTtl = Ctx.Settings.Timing.TaskLease;
  request.Acknowledged = Observer.acknowledged(worker);
  auto reply = co_await Ctx.Workers.renew(worker.Worker.Endpoint, request);
  if (!Wanted())
    co_return;
  contacted(worker, reply ? nullptr : &reply.error());
  if (!reply) {
    if (reply.error().Code == Errc::LeaseStale) {
      worker.Held = false;
      worker.Compared = false;
      Observer.changed(worker);
    }
    co_return;
  }
  worker.Sequence = std::max(worker.Sequence, reply.value().Sequence);
  worker.Reports = reply.value().Tasks;
  bool news = !worker.Compared;
  worker.Compared = true;
  worker.SaysLeaving = reply.value().Leaving;
  updateLeaving(worker);
  Observer.reported(worker, reply.value());
  if (news)
    Observer.changed(worker);
}

/// Running tasks stop by themselves one task lease after the last renewal, and
/// no start takes effect later than one placement lease after it.
void WorkerLeases::checkLapse(WorkerEntry &worker) {
  base::Duration limit =
      Ctx.Settings.Timing.TaskLease + Ctx.Settings.Timing.PlacementLease;
  if (Ctx.Clock.now() - worker.LastContact > limit)
    Observer.lapsed(worker);
}

void WorkerLeases::enqueue(WorkerEntry &worker,
                           std::function<boost::asio::awaitable<void>()> call,
                           std::shared_ptr<void> keep) {
  worker.Calls.push_back(std::move(call));
  if (worker.Calling)
    return;
  worker.Calling = true;
  Ctx.spawn(drainCalls(worker, std::move(keep)));
}

boost::asio::awaitable<void>
WorkerLeases::drainCalls(WorkerEntry &worker,
                         [[maybe_unused]] std::shared_ptr<void> keep) {
  while (!worker.Calls.empty() && Wanted()) {
    auto call = std::move(worker.Calls.front());
    worker.Calls.pop_front();
    co_await call();
  }
  worker.Calls.clear();
  worker.Calling = false;
}

} // namespace endivedoor::control::detail
