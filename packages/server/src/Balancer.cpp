#include "endivedoor/server/Balancer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace endivedoor::server {

namespace asio = boost::asio;
using base::Errc;
using base::fail;

/// A queued request retries its selection at this interval even without a
/// notification, since a concurrency limit can grow on another thread.
constexpr auto RecheckInterval = std::chrono::milliseconds(20);
/// Time for which an unreachable target is avoided. Polling detects within this
/// time whether the target is down.
constexpr auto AvoidTime = std::chrono::milliseconds(1500);
constexpr double LatencyWeight = 1.0 / 16;

static std::int64_t nanoseconds(base::TimePoint t) {
  return t.time_since_epoch().count();
}

TargetPermit::TargetPermit(Balancer &owner, std::shared_ptr<Target> target)
    : Owner(&owner), SelectedTarget(std::move(target)) {}

TargetPermit::TargetPermit(TargetPermit &&other) noexcept
    : Owner(std::exchange(other.Owner, nullptr)),
      SelectedTarget(std::move(other.SelectedTarget)), Status(other.Status),
      Latency(other.Latency) {}

TargetPermit::~TargetPermit() {
  if (!Owner)
    return;
  if (Status == Completion::Answered)
    SelectedTarget->Limit.releaseAnswered(Latency);
  else if (Status == Completion::Failed)
    SelectedTarget->Limit.releaseFailed();
  else
    SelectedTarget->Limit.releaseUnsent();
  Owner->recordCompletion(*SelectedTarget, Latency);
}

void TargetPermit::recordAnswer(base::Duration latency) {
  Status = Completion::Answered;
  Latency = latency;
  SelectedTarget->LastAnswer.store(nanoseconds(Owner->Clock.now()));
  SelectedTarget->AvoidUntil.store(0);
}

void TargetPermit::recordFailure() { Status = Completion::Failed; }

void TargetPermit::recordUnreachable() {
  SelectedTarget->AvoidUntil.store(nanoseconds(Owner->Clock.now() + AvoidTime));
}

Balancer::Balancer(asio::any_io_executor executor,
                   const RouteTableHolder &routes,
                   const platform::HttpClient &client,
                   ThreadConnections &connections, const base::Clock &clock,
                   std::size_t maxQueued, std::uint64_t seed)
    : Executor(std::move(executor)), Routes(routes), Client(client),
      Connections(connections), Clock(clock), MaxQueued(maxQueued),
      Random(static_cast<std::minstd_rand::result_type>(seed)) {}

bool Balancer::hasConnection(const Target &target) {
  return Connections.at(target.Endpoint).hasCapacity() ||
         Client.idleConnections(target.Endpoint) > 0;
}

bool Balancer::isUsable(const Target &target, const TriedTargets &tried,
                        bool includeAvoided) {
  if (!includeAvoided && target.AvoidUntil.load() > nanoseconds(Clock.now()))
    return false;
  for (const std::shared_ptr<Target> &it : tried)
    if (it.get() == &target)
      return false;
  return target.Limit.hasCapacity() && hasConnection(target);
}

std::shared_ptr<Target> Balancer::selectFromTier(const TargetList &targets,
                                                 const TriedTargets &tried,
                                                 bool includeAvoided) {
  if (targets.empty())
    return nullptr;
  std::size_t n = targets.size();
  std::size_t first = Random() % n;
  std::size_t second = n > 1 ? (first + 1 + Random() % (n - 1)) % n : first;
  bool firstOk = isUsable(*targets[first], tried, includeAvoided);
  bool secondOk =
      second != first && isUsable(*targets[second], tried, includeAvoided);
  if (firstOk && secondOk)
    return targets[first]->Limit.outstanding() <=
                   targets[second]->Limit.outstanding()
               ? targets[first]
               : targets[second];
  if (firstOk || secondOk)
    return targets[firstOk ? first : second];
  for (std::size_t i = 1; i < n; ++i)
    if (isUsable(*targets[(first + i) % n], tried, includeAvoided))
      return targets[(first + i) % n];
  return nullptr;
}

std::shared_ptr<Target> Balancer::selectTarget(const RouteTable::Tiers &tiers,
                                               const TriedTargets &tried) {
  for (bool includeAvoided : {false, true})
    for (const TargetList &targets : tiers) {
      std::shared_ptr<Target> target =
          selectFromTier(targets, tried, includeAvoided);
      if (target && target->Limit.tryAcquire())
        return target;
    }
  return nullptr;
}

void Balancer::registerForConnections(const RouteTable::Tiers &tiers) {
  for (const TargetList &targets : tiers)
    for (const std::shared_ptr<Target> &it : targets)
      Connections.registerWaiter(it->Endpoint);
}

/// Returns whether all targets have refused the request.
static bool allTried(const RouteTable::Tiers &tiers,
                     const Balancer::TriedTargets &tried) {
  for (const TargetList &targets : tiers)
    for (const std::shared_ptr<Target> &it : targets)
      if (std::ranges::find(tried, it) == tried.end())
        return false;
  return true;
}

base::Result<void> Balancer::checkQueueLimits(const ServiceState &state,
                                              const std::string &service,
                                              base::TimePoint deadline) const {
  if (state.Queue.size() >= MaxQueued)
    return fail(Errc::Overloaded, service + ": request queue is full");
  double perRequest = state.AverageLatency / std::max(1, state.InProgress);
  std::chrono::duration<double> estimate(
      perRequest * static_cast<double>(state.Queue.size()));
  if (Clock.now() + std::chrono::duration_cast<base::Duration>(estimate) >=
      deadline)
    return fail(Errc::Overloaded,
                service + ": estimated queueing time exceeds the deadline");
  return base::success();
}

platform::Async<TargetPermit> Balancer::acquire(std::string service,
                                                base::TimePoint deadline,
                                                TriedTargets tried) {
  std::shared_ptr<const RouteTable> table = Routes.load();
  const RouteTable::Tiers *tiers = table->find(service);
  if (!tiers || allTried(*tiers, tried))
    co_return fail(Errc::NoTarget, service);
  if (Clock.now() >= deadline)
    co_return fail(Errc::DeadlinePassed, service);
  ServiceState &state = Services[service];
  if (state.Queue.empty())
    if (std::shared_ptr<Target> target = selectTarget(*tiers, tried)) {
      ++state.InProgress;
      co_return TargetPermit(*this, std::move(target));
    }
  if (base::Result<void> room = checkQueueLimits(state, service, deadline);
      !room)
    co_return room.as_failure();
  co_return co_await wait(std::move(service), deadline, std::move(tried));
}

platform::Async<TargetPermit> Balancer::wait(std::string service,
                                             base::TimePoint deadline,
                                             TriedTargets tried) {
  ServiceState &state = Services[service];
  Waiter waiter(Executor);
  state.Queue.push_back(&waiter);
  struct QueueGuard {
    Balancer &Owner;
    ServiceState &State;
    Waiter &CurrentWaiter;
    ~QueueGuard() {
      std::erase(State.Queue, &CurrentWaiter);
      Owner.wakeFirst(State);
    }
  } queueGuard{*this, state, waiter};

  while (true) {
    std::shared_ptr<const RouteTable> table = Routes.load();
    const RouteTable::Tiers *tiers = table->find(service);
    if (!tiers || allTried(*tiers, tried))
      co_return fail(Errc::NoTarget, service);
    if (state.Queue.front() == &waiter) {
      std::shared_ptr<Target> target = selectTarget(*tiers, tried);
      if (!target) {
        // Register before the second attempt, so that a connection that becomes
        // free in between is not missed.
        registerForConnections(*tiers);
        target = selectTarget(*tiers, tried);
      }
      if (target) {
        ++state.InProgress;
        co_return TargetPermit(*this, std::move(target));
      }
    }
    base::Duration remaining = deadline - Clock.now();
    if (remaining <= base::Duration(0))
      co_return fail(Errc::DeadlinePassed,
                     service + ": while the request was queued");
    table.reset();
    waiter.Timer.expires_after(
        std::min<base::Duration>(remaining, RecheckInterval));
    if (!std::exchange(waiter.Notified, false))
      co_await waiter.Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiter.Notified = false;
  }
}

void Balancer::wakeFirst(ServiceState &state) {
  if (state.Queue.empty())
    return;
  state.Queue.front()->Notified = true;
  state.Queue.front()->Timer.cancel();
}

void Balancer::wakeAll() {
  for (auto &[name, state] : Services)
    wakeFirst(state);
}

std::size_t Balancer::queued() const {
  std::size_t n = 0;
  for (const auto &[name, state] : Services)
    n += state.Queue.size();
  return n;
}

void Balancer::recordCompletion(const Target &target, base::Duration latency) {
  ServiceState &state = Services[target.Service.str()];
  --state.InProgress;
  double seconds = std::chrono::duration<double>(latency).count();
  if (seconds > 0)
    state.AverageLatency += (seconds - state.AverageLatency) * LatencyWeight;
  wakeFirst(state);
}

} // namespace endivedoor::server
