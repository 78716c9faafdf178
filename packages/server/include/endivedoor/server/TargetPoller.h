/// \file
/// Determines the available targets by polling and publishes the route table.
#ifndef ENDIVEDOOR_SERVER_TARGETPOLLER_H
#define ENDIVEDOOR_SERVER_TARGETPOLLER_H

#include "endivedoor/base/Event.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/platform/HostList.h"
#include "endivedoor/platform/WorkerClient.h"
#include "endivedoor/server/ConnectionShare.h"
#include "endivedoor/server/RouteTable.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>

namespace endivedoor::server {

/// Polls the status of all workers, those in the zone of this entry host every
/// StatusPoll and those in other zones every 2 s, and the host list every
/// second.
///
/// A worker that is leaving, according to its own status or to the host list,
/// is removed from the route table at once. An unreachable worker is removed
/// after 3 missed polls; the count restarts if one of its targets has answered
/// a request within the polling interval. Not thread-safe: use it only on the
/// control thread. Must outlive the calls in progress; see idle().
class TargetPoller {
public:
  using ChangeCallback = std::function<void()>;

  /// \param onChange called after each publication of a route table.
  TargetPoller(boost::asio::any_io_executor executor,
               const model::Settings &config, platform::WorkerClient &workers,
               platform::HostList &hosts, const base::Clock &clock,
               base::EventLog &events, ConnectionShare &share,
               RouteTableHolder &routes, ChangeCallback onChange,
               std::uint64_t seed);

  void start();
  /// Starts no further calls; calls in progress are not cancelled.
  void stop();
  /// Returns whether no call is in progress any more after stop().
  bool idle() const { return InProgress == 0; }

  /// Sets the zones and workers that are out of service. Targets on such
  /// workers are not used; targets in such zones are used only if no other
  /// target is available.
  void setOutOfService(std::set<base::ZoneId> zones,
                       std::set<base::WorkerId> workers);

  /// Returns the number of reachable workers, which have answered a poll and
  /// not missed one since.
  std::size_t reachableWorkers() const;

private:
  struct PolledWorker {
    model::Worker Info;
    bool IsListed = true;
    /// Set if the worker itself reports that it is leaving.
    bool ReportsLeaving = false;
    bool HasAnswered = false;
    bool InProgress = false;
    int ConsecutiveMisses = 0;
    base::TimePoint NextPoll;
    std::vector<base::ServiceName> Services;
    std::map<base::ServiceName, std::shared_ptr<Target>> Targets;
  };

  boost::asio::awaitable<void> pollHosts();
  boost::asio::awaitable<void> pollWorkers();
  boost::asio::awaitable<void> pollWorker(base::WorkerId id);
  void applyHosts(const std::vector<model::Worker> &hosts);
  void applyStatus(PolledWorker &worker, const platform::WorkerStatus &status);
  bool recordMissedPoll(PolledWorker &worker);
  bool isAvailable(const PolledWorker &worker) const;
  bool answersRequests(const PolledWorker &worker) const;
  void updateTargets(PolledWorker &worker);
  void removeUnlistedWorkers();
  void publish();
  std::chrono::milliseconds interval(const PolledWorker &worker) const;

  boost::asio::any_io_executor Executor;
  const model::Settings &Config;
  platform::WorkerClient &Workers;
  platform::HostList &Hosts;
  const base::Clock &Clock;
  base::EventLog &Events;
  ConnectionShare &Share;
  RouteTableHolder &Routes;
  ChangeCallback OnChange;
  std::minstd_rand Random;
  boost::asio::steady_timer HostTimer;
  boost::asio::steady_timer WorkerTimer;
  std::map<base::WorkerId, PolledWorker> AllWorkers;
  std::set<base::ZoneId> ZonesOut;
  std::set<base::WorkerId> WorkersOut;
  TargetList Published;
  std::vector<base::ZoneId> PublishedZonesOut;
  std::size_t InProgress = 0;
  bool Stopping = false;
  bool IsHostListStale = false;
};

} // namespace endivedoor::server

#endif
