/// \file
/// Finds out which targets are in use and publishes the route table.
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

/// Reads the status of all workers: those of the own zone every StatusPoll,
/// those of other zones every 2 s; and the host list every second.
///
/// A worker that leaves goes out of the table at once, whether it says so
/// itself or the host list does; an unreachable one after 3 missed polls,
/// unless one of its targets has answered a request in that time. Belongs to
/// the control thread. Must outlive the calls in progress; see idle().
class TargetPoller {
public:
  using ChangeCallback = std::function<void()>;

  /// \param changed called after each publication.
  TargetPoller(boost::asio::any_io_executor executor,
               const model::Settings &config, platform::WorkerClient &workers,
               platform::HostList &hosts, const base::Clock &clock,
               base::EventLog &events, ConnectionShare &share,
               RouteTableHolder &routes, ChangeCallback onChange,
               std::uint64_t seed);

  void start();
  /// Starts no more calls.
  void stop();
  /// Returns whether no call is in progress after stop().
  bool idle() const { return InProgress == 0; }

  /// Sets what is out of service. Targets on workers that are out are not used;
  /// those in zones that are out are used only if there are no others.
  void setOutOfService(std::set<base::ZoneId> zones,
                       std::set<base::WorkerId> workers);

  /// Returns the number of workers that answer.
  std::size_t reachableWorkers() const;

private:
  struct PolledWorker {
    model::Worker Info;
    bool IsListed = true;
    /// The worker itself says that it leaves.
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
