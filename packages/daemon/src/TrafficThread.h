/// \file
/// A thread that serves callers.
#ifndef ENDIVEDOOR_DAEMON_TRAFFICTHREAD_H
#define ENDIVEDOOR_DAEMON_TRAFFICTHREAD_H

#include "endivedoor/server/CallerServer.h"

#include <boost/asio/io_context.hpp>

#include <thread>

namespace endivedoor::daemon {

/// Runs one CallerServer. Its methods are called on the control thread.
class TrafficThread {
public:
  /// Load of the thread at one moment.
  struct Load {
    std::size_t Requests = 0;
    std::size_t Connections = 0;
  };

  TrafficThread(server::TrafficContext context, std::uint64_t seed);

  /// Binds the callers' address and starts the thread. Errors: IoFailed.
  base::Result<void> start();
  /// Closes each connection after its next answer.
  void endKeepAlive();
  /// Accepts no more connections.
  void beginDrain();
  /// Reads the load on the traffic thread.
  boost::asio::awaitable<Load> load();
  /// Lets waiting requests look at the new route table.
  void notifyRoutesChanged() { Callers.routesChanged(); }

private:
  boost::asio::io_context Io{1};
  server::CallerServer Callers;
  std::thread Thread;
};

} // namespace endivedoor::daemon

#endif
