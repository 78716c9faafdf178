#include "endivedoor/server/TargetPoller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endivedoor::server {

namespace asio = boost::asio;
using base::EventCode;

constexpr auto OtherZonesPollInterval = std::chrono::milliseconds(2000);
constexpr auto HostListPollInterval = std::chrono::milliseconds(1000);
/// Granularity of the poll schedule.
constexpr auto PollTimerInterval = std::chrono::milliseconds(20);
constexpr int MaxMissedPolls = 3;
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

TargetPoller::TargetPoller(asio::any_io_executor executor,
                           const model::Settings &config,
                           platform::WorkerClient &workers,
                           platform::HostList &hosts, const base::Clock &clock,
                           base::EventLog &events, ConnectionShare &share,
                           RouteTableHolder &routes, ChangeCallback onChange,
                           std::uint64_t seed)
    : Executor(executor), Config(config), Workers(workers), Hosts(hosts),
      Clock(clock), Events(events), Share(share), Routes(routes),
      OnChange(std::move(onChange)),
      Random(static_cast<std::minstd_rand::result_type>(seed)),
      HostTimer(executor), WorkerTimer(executor) {}

void TargetPoller::start() {
  asio::co_spawn(Executor, pollHosts(), asio::detached);
  asio::co_spawn(Executor, pollWorkers(), asio::detached);
}

void TargetPoller::stop() {
  Stopping = true;
  HostTimer.cancel();
  WorkerTimer.cancel();
}

void TargetPoller::setOutOfService(std::set<base::ZoneId> zones,
                                   std::set<base::WorkerId> workers) {
  ZonesOut = std::move(zones);
  WorkersOut = std::move(workers);
  for (auto &[id, it] : AllWorkers)
    updateTargets(it);
  publish();
}

std::size_t TargetPoller::reachableWorkers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(AllWorkers, [](const auto &it) {
        return it.second.HasAnswered && it.second.ConsecutiveMisses == 0;
      }));
}

std::chrono::milliseconds
TargetPoller::interval(const PolledWorker &worker) const {
  return worker.Info.Zone == Config.Zone ? Config.Timing.StatusPoll
                                         : OtherZonesPollInterval;
}

asio::awaitable<void> TargetPoller::pollHosts() {
  ++InProgress;
  while (!Stopping) {
    base::Result<std::vector<model::Worker>> hosts = co_await Hosts.fetch();
    if (hosts)
      applyHosts(hosts.value());
    else if (!IsHostListStale)
      Events.emit(EventCode::HostListStale,
                  {{"cause", hosts.error().message()}});
    IsHostListStale = !hosts;
    if (Stopping)
      break;
    HostTimer.expires_after(HostListPollInterval);
    co_await HostTimer.async_wait(AsTuple);
  }
  --InProgress;
}

void TargetPoller::applyHosts(const std::vector<model::Worker> &hosts) {
  base::TimePoint now = Clock.now();
  for (auto &[id, it] : AllWorkers)
    it.IsListed = false;
  for (const model::Worker &host : hosts) {
    auto [at, added] = AllWorkers.try_emplace(host.Id);
    PolledWorker &it = at->second;
    base::Resources capacity = it.Info.Capacity;
    if (!added && it.Info.Endpoint != host.Endpoint) {
      // The host was replaced by one with the same id.
      it.Services.clear();
      it.Targets.clear();
      it.ReportsLeaving = false;
    }
    it.Info = host;
    it.Info.Capacity = capacity;
    it.IsListed = true;
    if (added) {
      // A random initial delay spreads the polls over the interval.
      std::uniform_int_distribution<std::int64_t> phase(
          0, Config.Timing.StatusPoll.count() / 2);
      it.NextPoll = now + std::chrono::milliseconds(phase(Random));
    }
    updateTargets(it);
  }
  removeUnlistedWorkers();
  publish();
}

/// The host list can be outdated, so a worker that is no longer listed stays in
/// use as long as it answers.
void TargetPoller::removeUnlistedWorkers() {
  std::erase_if(AllWorkers, [](const auto &it) {
    const PolledWorker &worker = it.second;
    return !worker.IsListed && !worker.InProgress &&
           worker.ConsecutiveMisses >= MaxMissedPolls && worker.Targets.empty();
  });
}

asio::awaitable<void> TargetPoller::pollWorkers() {
  ++InProgress;
  while (!Stopping) {
    base::TimePoint now = Clock.now();
    for (auto &[id, it] : AllWorkers) {
      if (it.InProgress || it.NextPoll > now)
        continue;
      it.InProgress = true;
      it.NextPoll = std::max(it.NextPoll + interval(it), now);
      asio::co_spawn(Executor, pollWorker(id), asio::detached);
    }
    WorkerTimer.expires_after(PollTimerInterval);
    co_await WorkerTimer.async_wait(AsTuple);
  }
  --InProgress;
}

asio::awaitable<void> TargetPoller::pollWorker(base::WorkerId id) {
  ++InProgress;
  model::Address to = AllWorkers.at(id).Info.Endpoint;
  base::Result<platform::WorkerStatus> status = co_await Workers.status(to);
  --InProgress;
  // A worker with a poll in progress is never removed, so the lookup succeeds.
  PolledWorker &worker = AllWorkers.at(id);
  worker.InProgress = false;
  if (Stopping || worker.Info.Endpoint != to)
    co_return;
  if (status)
    applyStatus(worker, status.value());
  else if (!recordMissedPoll(worker))
    co_return;
  updateTargets(worker);
  publish();
}

void TargetPoller::applyStatus(PolledWorker &worker,
                               const platform::WorkerStatus &status) {
  worker.ConsecutiveMisses = 0;
  worker.HasAnswered = true;
  worker.ReportsLeaving = status.Leaving;
  if (!(worker.Info.Capacity == status.Capacity)) {
    worker.Info.Capacity = status.Capacity;
    Share.setCapacity(worker.Info.Endpoint, status.Capacity.Connections);
    std::int32_t limit = Share.findOrCreate(worker.Info.Endpoint)->Limit.load();
    for (auto &[service, target] : worker.Targets)
      target->Limit.setMaximum(limit);
  }
  worker.Services.clear();
  for (const platform::ServiceInstance &it : status.Services)
    worker.Services.push_back(it.Service);
}

/// Returns whether the worker has missed enough polls for its targets to be
/// removed.
bool TargetPoller::recordMissedPoll(PolledWorker &worker) {
  if (answersRequests(worker)) {
    worker.ConsecutiveMisses = 0;
    return false;
  }
  return ++worker.ConsecutiveMisses >= MaxMissedPolls;
}

/// Returns whether a target on the worker has answered a request within the
/// last polling interval.
bool TargetPoller::answersRequests(const PolledWorker &worker) const {
  std::int64_t since =
      (Clock.now() - interval(worker)).time_since_epoch().count();
  return std::ranges::any_of(worker.Targets, [&](const auto &it) {
    return it.second->LastAnswer.load() > since;
  });
}

bool TargetPoller::isAvailable(const PolledWorker &worker) const {
  return worker.ConsecutiveMisses < MaxMissedPolls && !worker.ReportsLeaving &&
         !worker.Info.Leaving && !WorkersOut.contains(worker.Info.Id);
}

void TargetPoller::updateTargets(PolledWorker &worker) {
  std::map<base::ServiceName, std::shared_ptr<Target>> targets;
  if (isAvailable(worker))
    for (const base::ServiceName &service : worker.Services) {
      std::shared_ptr<Target> &it = worker.Targets[service];
      if (!it)
        it = std::make_shared<Target>(
            service, worker.Info.Id, worker.Info.Zone, worker.Info.Endpoint,
            Share.findOrCreate(worker.Info.Endpoint)->Limit.load());
      targets[service] = it;
    }
  worker.Targets = std::move(targets);
}

void TargetPoller::publish() {
  TargetList targets;
  for (const auto &[id, worker] : AllWorkers)
    for (const auto &[service, target] : worker.Targets)
      targets.push_back(target);
  std::ranges::sort(targets);
  auto emitDifference = [&](EventCode code, const auto &from,
                            const auto &without) {
    for (const std::shared_ptr<Target> &it : from)
      if (!std::ranges::binary_search(without, it))
        Events.emit(code, {{"service", it->Service.str()},
                           {"worker", it->Worker.str()},
                           {"zone", it->Zone.str()}});
  };
  std::vector<base::ZoneId> zonesOut(ZonesOut.begin(), ZonesOut.end());
  bool isSame = targets == Published && zonesOut == PublishedZonesOut;
  if (isSame)
    return;
  emitDifference(EventCode::TargetAdded, targets, Published);
  emitDifference(EventCode::TargetRemoved, Published, targets);
  Published = std::move(targets);
  PublishedZonesOut = std::move(zonesOut);
  Routes.publish(std::make_shared<const RouteTable>(Published, Config.Zone,
                                                    PublishedZonesOut));
  OnChange();
}

} // namespace endivedoor::server
