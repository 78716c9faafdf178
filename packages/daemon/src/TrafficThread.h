/// \file
/// A thread that serves callers.
#ifndef ENDIVEDOOR_DAEMON_TRAFFICTHREAD_H
#define ENDIVEDOOR_DAEMON_TRAFFICTHREAD_H

#include "endivedoor/server/CallerServer.h"

#include <boost/asio/io_context.hpp>

#include <thread>

namespace endivedoor::daemon {

/// Runs one CallerServer on a thread of its own. The methods are called on the
/// control thread.
class TrafficThread {
public:
  /// Numbers of active requests and open connections at one point in time.
  struct Load {
    std::size_t Requests = 0;
    std::size_t Connections = 0;
  };

  TrafficThread(server::TrafficContext context, std::uint64_t seed);

  /// Binds the callers' address and starts the thread. Errors: IoFailed.
  base::Result<void> start();
  /// Closes each connection after its next response.
  void endKeepAlive();
  /// Stops accepting connections.
  void beginDrain();
  /// Reads the load on the traffic thread.
  boost::asio::awaitable<Load> load();
  /// Makes waiting requests check the new route table.
  void notifyRoutesChanged() { Callers.routesChanged(); }

private:
  boost::asio::io_context Io{1};
  server::CallerServer Callers;
  std::thread Thread;
};

} // namespace endivedoor::daemon

#endif
