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

/// Interval at which readiness and the age of the configuration are updated,
/// well below the load balancer's probe interval of one second.
constexpr auto ReadinessInterval = 200ms;
/// Maximum delay before buffered log lines are written.
constexpr auto FlushInterval = 250ms;
/// The load balancer probes every second and removes a node after two failed
/// probes.
constexpr auto BalancerRemovalDelay = 2500ms;
/// Part of the stop grace period that is reserved for the exit of the process.
constexpr auto ExitReserve = 800ms;

static std::string makeInstance(const std::string &name) {
  std::random_device device;
  char buf[24];
  std::snprintf(buf, sizeof buf, "-%08x%08x", device(), device());
  return name + buf;
}

static dispatch::DispatchOptions
makeDispatchOptions(const model::DispatchSettings &config) {
  dispatch::DispatchOptions options;
  options.Name = config.Name;
  options.Instance = makeInstance(config.Name);
  options.Shard.MaxLease = config.MaxLease;
  options.Shard.LeaseDuration =
      std::min(options.Shard.LeaseDuration, config.MaxLease);
  options.Shard.MaxTargetMissTime = config.MaxTargetMissTime;
  options.NodeLease = std::max(options.NodeLease, config.MinStoreLease);
  options.Cores = config.Cores;
  options.LinkMbps = config.LinkMbps;
  options.WorkersPerShard = config.WorkersPerShard;
  return options;
}

DispatchDaemon::DispatchDaemon(model::DispatchSettings settings)
    : Config(std::move(settings)), LogSink(STDOUT_FILENO),
      Events(Config.Name, Hybrid, Config.RetainedEvents),
      Signals(Io, SIGTERM, SIGINT, SIGHUP),
      Platform(Io.get_executor(), Config, Clock, Events, MetricsRegistry),
      Node(Io.get_executor(), makeDispatchOptions(Config), Platform.store(),
           Platform.workers(), Clock, Events, MetricsRegistry),
      Frontend(TrafficIo.get_executor(), Io.get_executor(), Config, Node, Clock,
               Events, MetricsRegistry) {
  Events.setSink(&LogSink);
  Events.setRateLimit(Config.LogLinesPerSecond);
}

int DispatchDaemon::run() {
  if (base::Result<void> done = Frontend.start(); !done) {
    Events.emit(EventCode::DaemonCannotStart,
                {{"cause", done.error().message()}});
    LogSink.flush();
    return 1;
  }
  Events.emit(EventCode::DaemonStarted, {{"zone", Config.Zone.str()},
                                         {"callers", Config.Callers.str()},
                                         {"store", Config.Store.str()}});
  Platform.startWatches(Node, [this](model::QueueConfiguration config) {
    Configured = true;
    Node.setAccounts(config.Accounts);
    Frontend.configure(std::move(config));
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
  LogSink.flush();
  return 0;
}

asio::awaitable<void> DispatchDaemon::waitUntil(base::TimePoint time) {
  asio::steady_timer timer(Io, time - Clock.now());
  co_await timer.async_wait(AsTuple);
}

asio::awaitable<void> DispatchDaemon::watchReadiness() {
  while (!Stopping) {
    Frontend.setConfigurationReadAt(Platform.operatorEntriesReadAt());
    Frontend.setReady(Configured && Node.isConnected());
    co_await waitUntil(Clock.now() + ReadinessInterval);
  }
}

asio::awaitable<void> DispatchDaemon::flushLog() {
  while (true) {
    std::uint64_t held = Events.takeSuppressed();
    std::uint64_t dropped = LogSink.takeDropped();
    if (held + dropped > 0)
      Events.emit(EventCode::LogLinesDropped,
                  {{"heldBack", std::to_string(held)},
                   {"dropped", std::to_string(dropped)}});
    LogSink.flush();
    co_await waitUntil(Clock.now() + FlushInterval);
  }
}

asio::awaitable<void> DispatchDaemon::handleSignals() {
  while (true) {
    auto [ec, signal] = co_await Signals.async_wait(AsTuple);
    if (ec)
      co_return;
    if (signal == SIGHUP) {
      // Settings are read only at startup; SIGHUP does not reload them.
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
  base::TimePoint begun = Clock.now();
  base::TimePoint end = begun + Config.StopGrace - ExitReserve;
  Frontend.setReady(false);
  co_await Node.leave();
  co_await waitUntil(std::min(begun + BalancerRemovalDelay, end));
  asio::post(TrafficIo, [this] { Frontend.beginDrain(); });
  auto read = [this]() -> asio::awaitable<std::size_t> {
    co_return Frontend.openConnections();
  };
  while (Clock.now() < end) {
    co_await waitUntil(Clock.now() + 50ms);
    std::size_t open =
        co_await asio::co_spawn(TrafficIo, read, asio::use_awaitable);
    if (open == 0)
      break;
  }
  Io.stop();
}

} // namespace endivedoor::daemon
