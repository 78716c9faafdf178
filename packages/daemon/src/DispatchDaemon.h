/// \file
/// The daemon for an installation's own platform: creates and connects the
/// components, and controls the life cycle of the process.
#ifndef ENDIVEDOOR_DAEMON_DISPATCHDAEMON_H
#define ENDIVEDOOR_DAEMON_DISPATCHDAEMON_H

#include "endivedoor/base/LineSink.h"
#include "endivedoor/installation/Installation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <thread>

namespace endivedoor::daemon {

/// The daemon is never destroyed, because suspended coroutines refer to its
/// members until the process ends.
class DispatchDaemon {
public:
  explicit DispatchDaemon(model::DispatchSettings settings);

  /// Runs until a stop signal is received. The calling thread becomes the
  /// control thread.
  ///
  /// \returns the exit status: 0 after a planned stop, 1 if the daemon cannot
  /// start.
  int run();

private:
  boost::asio::awaitable<void> handleSignals();
  boost::asio::awaitable<void> watchReadiness();
  boost::asio::awaitable<void> flushLog();
  boost::asio::awaitable<void> stop();
  boost::asio::awaitable<void> waitUntil(base::TimePoint time);

  model::DispatchSettings Config;
  base::BootClock Clock;
  base::HybridClock Hybrid{Clock};
  base::LineSink LogSink;
  base::EventLog Events;
  dispatch::Metrics MetricsRegistry;
  boost::asio::io_context Io{1};
  boost::asio::io_context TrafficIo{1};
  boost::asio::signal_set Signals;
  installation::Installation Platform;
  dispatch::DispatchNode Node;
  installation::HttpFrontend Frontend;
  std::thread Traffic;
  bool Configured = false;
  bool Stopping = false;
};

} // namespace endivedoor::daemon

#endif
