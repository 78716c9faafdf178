/// \file
/// The daemon: creates and connects the components, and controls the life cycle
/// of the process.
#ifndef ENDIVEDOOR_DAEMON_DAEMON_H
#define ENDIVEDOOR_DAEMON_DAEMON_H

#include "TrafficThread.h"

#include "endivedoor/control/Control.h"
#include "endivedoor/peer/PeerNode.h"
#include "endivedoor/server/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace endivedoor::daemon {

/// The daemon is never destroyed, because suspended coroutines refer to its
/// members until the process ends.
class Daemon {
public:
  explicit Daemon(model::Settings settings);

  /// Runs until a stop signal is received. The calling thread becomes the
  /// control thread.
  ///
  /// \returns the exit status: 0 after a planned stop, 1 if the daemon cannot
  /// start, the drain limit expires or a second signal is received.
  int run();

private:
  base::Result<void> start();
  base::Result<void> checkCallersAddress();
  void connectCallbacks();
  void addGauges();
  void applyConfiguration(const control::Configuration &config);
  std::string notReadyReason() const;
  std::int32_t countZones(const base::ServiceName &service) const;
  boost::json::value membersToJson() const;
  platform::Async<boost::json::value> report(base::ContractName contract);
  boost::asio::awaitable<void> handleSignals();
  boost::asio::awaitable<void> stop();
  boost::asio::awaitable<void> waitForRequests();
  boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
  void exit(int status);

  model::Settings Config;
  std::uint64_t Seed;
  base::InstanceId Instance;
  base::SystemClock Clock;
  base::HybridClock Hybrid{Clock};
  base::EventLog Events;
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals;
  platform::HttpClient StoreHttp;
  platform::HttpClient PlatformHttp;
  std::unique_ptr<platform::Store> Store;
  std::unique_ptr<platform::WorkerClient> Workers;
  std::unique_ptr<platform::HostList> Hosts;
  control::Control Control;
  peer::PeerNode Peer;
  server::RouteTableHolder Routes;
  server::ConnectionShare Share;
  server::RetryBudget Retries{Clock};
  server::Metrics ProcessMetrics;
  server::Bookings Booking;
  server::JobEndpoints Jobs;
  server::TargetPoller Poller;
  server::OperatorServer Operators;
  std::vector<std::unique_ptr<TrafficThread>> TrafficThreads;
  base::TimePoint StartTime;
  bool Stopping = false;
  int ExitStatus = 0;
};

} // namespace endivedoor::daemon

#endif
