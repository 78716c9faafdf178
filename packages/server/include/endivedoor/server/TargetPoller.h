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
  using Changed = std::function<void()>;

  /// \param changed called after each publication.
  TargetPoller(boost::asio::any_io_executor executor,
               const model::Settings &config, platform::WorkerClient &workers,
               platform::HostList &hosts, const base::Clock &clock,
               base::EventLog &events, ConnectionShare &share,
               RouteTableHolder &routes, Changed changed, std::uint64_t seed);

  void start();
  /// Starts no more calls.
  void stop();
  /// Returns whether no call is in progress after stop().
  bool idle() const { return InProgress == 0; }

  /// Sets what is out of service. Targets on workers that are out are not used;
  /// those in zones that are out are used only if there are no others.
  void setOut(std::set<base::ZoneId> zones, std::set<base::WorkerId> workers);

  /// Returns the number of workers that answer.
  std::size_t reachableWorkers() const;

private:
  struct Known {
    model::Worker Info;
    bool IsListed = true;
    /// The worker itself says that it leaves.
    bool SaysLeaving = false;
    bool HasAnswered = false;
    bool InProgress = false;
    int Missed = 0;
    base::TimePoint Due;
    std::vector<base::ServiceName> Services;
    std::map<base::ServiceName, std::shared_ptr<Target>> Targets;
  };

  boost::asio::awaitable<void> pollHosts();
  boost::asio::awaitable<void> pollWorkers();
  boost::asio::awaitable<void> pollOne(base::WorkerId id);
  void applyHosts(const std::vector<model::Worker> &hosts);
  void applyStatus(Known &worker, const platform::WorkerStatus &status);
  bool applyMiss(Known &worker);
  bool isInUse(const Known &worker) const;
  bool answersRequests(const Known &worker) const;
  void updateTargets(Known &worker);
  void forgetUnlisted();
  void publish();
  std::chrono::milliseconds interval(const Known &worker) const;

  boost::asio::any_io_executor Executor;
  const model::Settings &Config;
  platform::WorkerClient &Workers;
  platform::HostList &Hosts;
  const base::Clock &Time;
  base::EventLog &Events;
  ConnectionShare &Share;
  RouteTableHolder &Routes;
  Changed OnChange;
  std::minstd_rand Random;
  boost::asio::steady_timer HostTimer;
  boost::asio::steady_timer WorkerTimer;
  std::map<base::WorkerId, Known> AllWorkers;
  std::set<base::ZoneId> ZonesOut;
  std::set<base::WorkerId> WorkersOut;
  TargetList Published;
  std::vector<base::ZoneId> PublishedOut;
  std::size_t InProgress = 0;
  bool Stopping = false;
  bool IsHostListStale = false;
};

} // namespace endivedoor::server

#endif
