/// \file
/// Load balancing of requests over targets, one balancer per traffic thread.
#ifndef ENDIVEDOOR_SERVER_BALANCER_H
#define ENDIVEDOOR_SERVER_BALANCER_H

#include "endivedoor/platform/HttpClient.h"
#include "endivedoor/server/ConnectionShare.h"
#include "endivedoor/server/RouteTable.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <random>

namespace endivedoor::server {

class Balancer;

/// A permit to send one request to a target; the destructor releases it and
/// reports the outcome to the concurrency limit of the target.
class TargetPermit {
public:
  TargetPermit(Balancer &owner, std::shared_ptr<Target> target);
  TargetPermit(TargetPermit &&other) noexcept;
  TargetPermit &operator=(TargetPermit &&) = delete;
  ~TargetPermit();

  const std::shared_ptr<Target> &target() const { return SelectedTarget; }
  /// Records that a complete answer was received after \p latency.
  void recordAnswer(base::Duration latency);
  /// Records that the target refused the request, or that no complete answer
  /// was received.
  void recordFailure();
  /// Records that the connection failed and nothing was sent.
  void recordUnreachable();

private:
  enum class Completion { NotSent, Answered, Failed };

  Balancer *Owner;
  std::shared_ptr<Target> SelectedTarget;
  Completion Status = Completion::NotSent;
  base::Duration Latency{0};
};

/// Selects targets by power of two choices, preferring the zone of this entry
/// host. Requests that find no free target wait in a bounded queue for each
/// service; those whose estimated queueing time exceeds their deadline are
/// refused.
///
/// Not thread-safe: use it only on the thread of its executor. Must outlive all
/// requests.
class Balancer {
public:
  /// \param maxQueued maximum number of queued requests for each service.
  /// \param seed seed of the random target selection.
  Balancer(boost::asio::any_io_executor executor,
           const RouteTableHolder &routes, const platform::HttpClient &client,
           ThreadConnections &connections, const base::Clock &clock,
           std::size_t maxQueued, std::uint64_t seed);

  using TriedTargets = std::vector<std::shared_ptr<Target>>;

  /// Waits for a target that can take the request.
  ///
  /// \param deadline time by which the answer must have been received.
  /// \param tried targets that have already refused this request.
  /// Errors: NoTarget, Overloaded, DeadlinePassed; nothing was sent. Cost: one
  /// lookup and two random selections if a target is free.
  platform::Async<TargetPermit>
  acquire(std::string service, base::TimePoint deadline, TriedTargets tried);

  /// Wakes the first queued request of each service to retry its selection,
  /// after the route table or the number of free connections has changed.
  void wakeAll();

  /// Returns the number of queued requests of all services.
  std::size_t queued() const;

private:
  friend class TargetPermit;
  struct Waiter {
    explicit Waiter(boost::asio::any_io_executor executor) : Timer(executor) {}
    boost::asio::steady_timer Timer;
    /// Set by a notification; checked before the timer is awaited, so that an
    /// earlier one is not lost.
    bool Notified = false;
  };
  struct ServiceState {
    std::deque<Waiter *> Queue;
    std::int32_t InProgress = 0;
    /// Exponentially weighted average of the answer time in seconds.
    double AverageLatency = 0;
  };

  std::shared_ptr<Target> selectTarget(const RouteTable::Tiers &tiers,
                                       const TriedTargets &tried);
  std::shared_ptr<Target> selectFromTier(const TargetList &targets,
                                         const TriedTargets &tried,
                                         bool includeAvoided);
  bool isUsable(const Target &target, const TriedTargets &tried,
                bool includeAvoided);
  bool hasConnection(const Target &target);
  void registerForConnections(const RouteTable::Tiers &tiers);
  base::Result<void> checkQueueLimits(const ServiceState &state,
                                      const std::string &service,
                                      base::TimePoint deadline) const;
  void recordCompletion(const Target &target, base::Duration latency);
  void wakeFirst(ServiceState &state);
  platform::Async<TargetPermit>
  wait(std::string service, base::TimePoint deadline, TriedTargets tried);

  boost::asio::any_io_executor Executor;
  const RouteTableHolder &Routes;
  const platform::HttpClient &Client;
  ThreadConnections &Connections;
  const base::Clock &Clock;
  std::size_t MaxQueued;
  std::minstd_rand Random;
  std::map<std::string, ServiceState> Services;
};

} // namespace endivedoor::server

#endif
