#include "DispatchDaemon.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <unistd.h>

namespace endivedoor::daemon {

namespace asio = boost::asio;
using base::EventCode;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// How often readiness is looked at; well below the balancer's second.
constexpr auto ReadinessInterval = 200ms;
/// Log lines reach the reader at the latest after this time.
constexpr auto FlushInterval = 250ms;
/// The balancer asks each second and takes a node out after two misses.
constexpr auto BalancerDelay = 2500ms;
/// Part of the stop's grace that is kept for the end of the process.
constexpr auto ExitReserve = 800ms;

static std::string makeInstance(const std::string &name) {
  std::random_device device;
  char buf[24];
  std::snprintf(buf, sizeof buf, "-%08x%08x", device(), device());
  return name + buf;
}

static dispatch::DispatchOptions
optionsOf(const model::DispatchSettings &config) {
  dispatch::DispatchOptions options;
  options.Name = config.Name;
  options.Instance = makeInstance(config.Name);
  options.Shard.MaxLease = config.LongestHold;
  options.Shard.LeaseDuration =
      std::min(options.Shard.LeaseDuration, config.LongestHold);
  options.Shard.MaxTargetMissTime = config.HarmTime;
  options.NodeLease = std::max(options.NodeLease, config.ShortestLease);
  options.Cores = config.ProcessorShare;
  options.WorkersPerShard = config.WorkersPerShard;
  return options;
}

DispatchDaemon::DispatchDaemon(model::DispatchSettings settings)
    : Config(std::move(settings)), Lines(STDOUT_FILENO),
      Events(Config.Name, Hybrid, Config.KeptEvents),
      Signals(Io, SIGTERM, SIGINT, SIGHUP),
      Platform(Io.get_executor(), Config, Time, Events, Times),
      Node(Io.get_executor(), optionsOf(Config), Platform.store(),
           Platform.workers(), Time, Events, Times),
      Front(TrafficIo.get_executor(), Io.get_executor(), Config, Node, Events,
            Times) {
  Events.setSink(&Lines);
  Events.setLimit(Config.LinesPerSecond);
}

int DispatchDaemon::run() {
  if (base::Result<void> done = Front.start(); !done) {
    Events.emit(EventCode::DaemonCannotStart,
                {{"cause", done.error().message()}});
    Lines.flush();
    return 1;
  }
  Events.emit(EventCode::DaemonStarted, {{"zone", Config.Zone.str()},
                                         {"callers", Config.Callers.str()},
                                         {"store", Config.Store.str()}});
  Platform.startWatches(Node, [this](model::QueueConfiguration config) {
    Configured = true;
    Front.configure(std::move(config));
  });
  Node.start();
  asio::co_spawn(Io, handleSignals(), asio::detached);
  asio::co_spawn(Io, watchReadiness(), asio::detached);
  asio::co_spawn(Io, flushLog(), asio::detached);
  Traffic = std::thread([this] {
    auto guard = asio::make_work_guard(TrafficIo);
    TrafficIo.run();
  });
  Io.run();
  Events.emit(EventCode::DaemonStopped);
  Lines.flush();
  return 0;
}

asio::awaitable<void> DispatchDaemon::waitUntil(base::TimePoint time) {
  asio::steady_timer timer(Io, time - Time.now());
  co_await timer.async_wait(AsTuple);
}

asio::awaitable<void> DispatchDaemon::watchReadiness() {
  while (!Stopping) {
    Front.setReady(Configured && Node.isConnected());
    co_await waitUntil(Time.now() + ReadinessInterval);
  }
}

asio::awaitable<void> DispatchDaemon::flushLog() {
  while (true) {
    std::uint64_t held = Events.takeHeldBack();
    std::uint64_t dropped = Lines.takeDropped();
    if (held + dropped > 0)
      Events.emit(EventCode::LogLinesDropped,
                  {{"heldBack", std::to_string(held)},
                   {"dropped", std::to_string(dropped)}});
    Lines.flush();
    co_await waitUntil(Time.now() + FlushInterval);
  }
}

asio::awaitable<void> DispatchDaemon::handleSignals() {
  while (true) {
    auto [ec, signal] = co_await Signals.async_wait(AsTuple);
    if (ec)
      co_return;
    if (signal == SIGHUP) {
      // Every setting is fixed for the life of the process.
      Events.emit(EventCode::SettingsUnchanged);
      continue;
    }
    if (Stopping) {
      Events.emit(EventCode::StopForced);
      Io.stop();
      co_return;
    }
    Stopping = true;
    asio::co_spawn(Io, stop(), asio::detached);
  }
}

asio::awaitable<void> DispatchDaemon::stop() {
  Events.emit(EventCode::DaemonStopping);
  base::TimePoint begun = Time.now();
  base::TimePoint end = begun + Config.StopGrace - ExitReserve;
  Front.setReady(false);
  co_await Node.leave();
  co_await waitUntil(std::min(begun + BalancerDelay, end));
  asio::post(TrafficIo, [this] { Front.beginDrain(); });
  auto read = [this]() -> asio::awaitable<std::size_t> {
    co_return Front.openConnections();
  };
  while (Time.now() < end) {
    co_await waitUntil(Time.now() + 50ms);
    std::size_t open =
        co_await asio::co_spawn(TrafficIo, read, asio::use_awaitable);
    if (open == 0)
      break;
  }
  Io.stop();
}

} // namespace endivedoor::daemon
