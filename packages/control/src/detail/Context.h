/// \file
/// State shared by all components of the control plane.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_CONTEXT_H
#define ENDIVEDOOR_CONTROL_DETAIL_CONTEXT_H

#include "endivedoor/control/Control.h"

#include <boost/asio/steady_timer.hpp>

#include <random>

namespace endivedoor::control::detail {

/// Settings, platform clients and counters of one Control instance.
struct Context {
  boost::asio::any_io_executor Executor;
  const model::Settings &Settings;
  platform::Store &Store;
  platform::WorkerClient &Workers;
  platform::HostList &Hosts;
  const base::Clock &Clock;
  base::EventLog &Events;
  base::InstanceId Instance;
  SleepFunction Sleep;
  std::mt19937_64 Random;
  Counters Metrics;
  bool Stopping = false;
  bool StoreDown = false;
  std::uint64_t LastWriteNumber = 0;

  /// Returns a write id that is unique across all daemons.
  std::string nextWriteId();
  /// Counts a failed store call and emits an event when the store becomes
  /// reachable or unreachable.
  /// \param error the error of the call, or null if it succeeded. A rejected
  /// request counts as a failure, but shows that the store is reachable.
  void recordStoreResult(const base::Error *error);
  /// Starts a detached coroutine on the control thread.
  void spawn(boost::asio::awaitable<void> coroutine);
};

/// Exponential backoff with jitter. The upper bound doubles from 100 ms to 5 s;
/// each delay is drawn between half of the bound and the bound.
class Backoff {
public:
  base::Duration nextDelay(std::mt19937_64 &random);
  void reset() { Failures = 0; }

private:
  int Failures = 0;
};

/// An event that is set once and that several coroutines may wait for.
class OneShotEvent {
public:
  explicit OneShotEvent(const boost::asio::any_io_executor &executor);
  boost::asio::awaitable<void> wait();
  void set();

private:
  boost::asio::steady_timer Timer;
  bool IsSet = false;
};

} // namespace endivedoor::control::detail

#endif
