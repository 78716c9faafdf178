/// \file
/// What all parts of the control plane share.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_CONTEXT_H
#define ENDIVEDOOR_CONTROL_DETAIL_CONTEXT_H

#include "endivedoor/control/Control.h"

#include <boost/asio/steady_timer.hpp>

#include <random>

namespace endivedoor::control::detail {

/// References to the surroundings, and the counters. One for each Control.
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

  /// Returns an id that no other write of any daemon has.
  std::string nextWriteId();
  /// Counts the outcome of a store call and reports changes between reached and
  /// unreached.
  void recordStoreResult(const base::Error *error);
  /// Runs a coroutine on the control thread.
  void spawn(boost::asio::awaitable<void> coroutine);
};

/// Exponential backoff with jitter: 100 ms doubling to 5 s, each time between a
/// half and the whole of it.
class Backoff {
public:
  base::Duration nextDelay(std::mt19937_64 &random);
  void reset() { Failures = 0; }

private:
  int Failures = 0;
};

/// An event that happens once and that several coroutines may wait for.
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
