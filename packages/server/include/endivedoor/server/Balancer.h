/// \file
/// Chooses a target for each request of one traffic thread.
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

/// The right to send one request to a target; ends when it is destroyed.
class TargetPermit {
public:
  TargetPermit(Balancer &owner, std::shared_ptr<Target> target);
  TargetPermit(TargetPermit &&other) noexcept;
  TargetPermit &operator=(TargetPermit &&) = delete;
  ~TargetPermit();

  const std::shared_ptr<Target> &target() const { return SelectedTarget; }
  /// The target gave a whole answer after \p latency.
  void recordAnswer(base::Duration latency);
  /// The target refused the request, or no whole answer came.
  void recordFailure();
  /// The target could not be reached; nothing was sent.
  void recordUnreachable();

private:
  enum class Completion { NotSent, Answered, Failed };

  Balancer *Owner;
  std::shared_ptr<Target> SelectedTarget;
  Completion Status = Completion::NotSent;
  base::Duration Latency{0};
};

/// Own zone first, the less loaded of two random targets, a bounded queue for
/// each service, and refusal of requests that would miss their deadline in it.
///
/// Belongs to the thread of its executor. Must outlive all requests.
class Balancer {
public:
  /// \param maxQueued largest number of requests of one service that wait.
  /// \param seed seed of the random choices.
  Balancer(boost::asio::any_io_executor executor,
           const RouteTableHolder &routes, const platform::HttpClient &client,
           ThreadConnections &connections, const base::Clock &clock,
           std::size_t maxQueued, std::uint64_t seed);

  using TriedTargets = std::vector<std::shared_ptr<Target>>;

  /// Waits until a target may be used.
  ///
  /// \param deadline time by which the answer must be there.
  /// \param tried targets that have refused this request.
  /// Errors: NoTarget, Overloaded, DeadlinePassed; nothing was sent. Cost: one
  /// look-up and two random choices when a target is free.
  platform::Async<TargetPermit>
  acquire(std::string service, base::TimePoint deadline, TriedTargets tried);

  /// Lets waiting requests look again, after the table or the free connections
  /// have changed.
  void wakeAll();

  /// Returns the number of requests that wait.
  std::size_t queued() const;

private:
  friend class TargetPermit;
  struct Waiter {
    explicit Waiter(boost::asio::any_io_executor executor) : Timer(executor) {}
    boost::asio::steady_timer Timer;
    /// Set by a wake-up that comes before the timer is awaited.
    bool Notified = false;
  };
  struct ServiceState {
    std::deque<Waiter *> Queue;
    std::int32_t InProgress = 0;
    /// Average answer time in seconds.
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
