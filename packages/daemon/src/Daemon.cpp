#include "Daemon.h"

#include "endivedoor/model/Rules.h"
#include "endivedoor/platform/Adapters.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <ctime>
#include <random>
#include <set>

namespace endivedoor::daemon {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Errc;
using base::EventCode;

/// Fits a range of 500 values of up to 100 kB, or of 128 full segments, encoded
/// in base64.
constexpr std::size_t MaxStoreResponseBytes = 192 * 1024 * 1024;
/// The host list of 5,000 workers takes about 1 MB.
constexpr std::size_t MaxPlatformResponseBytes = 16 * 1024 * 1024;
/// An entry host without targets reports readiness after this delay, because
/// possibly no service is running.
constexpr auto NoTargetsReadyDelay = std::chrono::milliseconds(2000);
/// Exceeds HttpServerOptions::DrainGrace, within which requests in transit on
/// open connections arrive. After that, only a caller that has not sent its
/// complete request keeps a connection open.
constexpr auto DrainQuietPeriod = std::chrono::milliseconds(1500);
constexpr auto DrainPollInterval = std::chrono::milliseconds(20);

static std::uint64_t chooseSeed(const model::Settings &config) {
  if (config.Seed != 0)
    return config.Seed;
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

/// Returns an instance ID that is unique for each run, regardless of the seed
/// in the settings.
static base::InstanceId makeInstance(const model::Settings &config) {
  std::random_device device;
  char buf[24];
  std::snprintf(buf, sizeof buf, "-%08x%08x", device(), device());
  return base::InstanceId(config.Name + buf);
}

static platform::HttpClientOptions
makeClientOptions(const model::Settings &config, std::size_t maxResponseBytes) {
  platform::HttpClientOptions options;
  options.Limits = {config.Limits.HeaderBytes, maxResponseBytes};
  return options;
}

Daemon::Daemon(model::Settings settings)
    : Config(std::move(settings)), Seed(chooseSeed(Config)),
      Instance(makeInstance(Config)),
      Events(Config.Name, Hybrid, Config.Limits.RetainedEvents),
      Signals(Io, SIGTERM, SIGINT),
      StoreHttp(Io.get_executor(),
                makeClientOptions(Config, MaxStoreResponseBytes), Clock),
      PlatformHttp(Io.get_executor(),
                   makeClientOptions(Config, MaxPlatformResponseBytes), Clock),
      Store(platform::makeEtcdStore(StoreHttp, Config.Store,
                                    Config.Timing.StoreTimeout)),
      Workers(
          platform::makeWorkerClient(PlatformHttp, Config.Timing.StatusPoll)),
      Hosts(platform::makeHostList(PlatformHttp, Config.HostList,
                                   Config.Timing.StoreTimeout)),
      Control(Io.get_executor(), Config, *Store, *Workers, *Hosts, Clock,
              Events, Instance,
              [this] { return policy::makeScheduler(Clock, Seed); }),
      Peer(Io.get_executor(), Config, Hybrid, Clock, Events, Instance),
      Share(Config.EntryHosts),
      Booking(Io.get_executor(), *Store, Clock, Events, Instance, Seed + 1),
      Jobs(Control, PlatformHttp, Clock, 4 * Config.Timing.StoreTimeout),
      Poller(
          Io.get_executor(), Config, *Workers, *Hosts, Clock, Events, Share,
          Routes,
          [this] {
            for (const std::unique_ptr<TrafficThread> &it : TrafficThreads)
              it->notifyRoutesChanged();
          },
          Seed + 2),
      Operators(Io.get_executor(),
                server::OperatorContext{Config, Control, Jobs, ProcessMetrics,
                                        Events,
                                        [this] { return notReadyReason(); },
                                        [this] { return membersToJson(); },
                                        [this](base::ContractName contract) {
                                          return report(std::move(contract));
                                        }}) {}

int Daemon::run() {
  StartTime = Clock.now();
  if (base::Result<void> done = start(); !done) {
    Events.emit(EventCode::DaemonCannotStart,
                {{"cause", done.error().message()}});
    return 1;
  }
  Events.emit(EventCode::DaemonStarted, {{"zone", Config.Zone.str()},
                                         {"instance", Instance.str()},
                                         {"callers", Config.Callers.str()}});
  Io.run();
  Events.emit(EventCode::DaemonStopped,
              {{"status", std::to_string(ExitStatus)}});
  return ExitStatus;
}

/// Checks that no other process uses the callers' address. The traffic threads
/// bind with SO_REUSEPORT, so their own binding would not detect a second
/// process that does so too.
base::Result<void> Daemon::checkCallersAddress() {
  boost::system::error_code ec;
  asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(Config.Callers.Ip, ec), Config.Callers.Port);
  asio::ip::tcp::acceptor probe(Io);
  if (!ec)
    probe.open(endpoint.protocol(), ec);
  if (!ec)
    probe.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    probe.bind(endpoint, ec);
  if (ec)
    return base::fail(Errc::IoFailed,
                      Config.Callers.str() + ": " + ec.message());
  return base::success();
}

base::Result<void> Daemon::start() {
  BOOST_OUTCOME_TRYV(checkCallersAddress());
  server::TrafficContext context{
      Config,  Clock, Routes, Share, Retries, ProcessMetrics, Io.get_executor(),
      Booking, Jobs};
  for (std::int32_t i = 0; i < Config.TrafficThreads; ++i)
    TrafficThreads.push_back(std::make_unique<TrafficThread>(
        context, Seed + 100 + static_cast<std::uint64_t>(i)));
  connectCallbacks();
  addGauges();
  BOOST_OUTCOME_TRYV(Operators.start());
  BOOST_OUTCOME_TRYV(Peer.start());
  for (const std::unique_ptr<TrafficThread> &it : TrafficThreads) {
    BOOST_OUTCOME_TRYV(it->start());
  }
  asio::co_spawn(Io, handleSignals(), asio::detached);
  Control.start();
  Poller.start();
  Peer.setState(peer::MemberState::Live);
  return base::success();
}

void Daemon::connectCallbacks() {
  Control.onConfiguration([this](const control::Configuration &config) {
    applyConfiguration(config);
  });
  Control.setServiceZoneCounter(
      [this](const base::ServiceName &service) { return countZones(service); });
  Peer.onConfiguration([this](std::string text) {
    base::Result<control::Configuration> config =
        control::configurationFromJson(text);
    if (config)
      Control.offerConfiguration(config.value());
  });
}

/// Applies the zones and workers that are out of service, which rules can list
/// too, and publishes the configuration to the peers.
void Daemon::applyConfiguration(const control::Configuration &config) {
  std::set<base::ZoneId> zones = config.ZonesOut;
  std::set<base::WorkerId> workers = config.WorkersOut;
  model::RulesOutcome rules =
      model::parseRules("rules", config.RulesText, {Config.Zones});
  for (const model::Rule &it : rules.Value.Rules) {
    if (const auto *zone = std::get_if<model::ZoneOut>(&it.Body))
      zones.insert(zone->Zone);
    if (const auto *worker = std::get_if<model::WorkerOut>(&it.Body))
      workers.insert(worker->Worker);
  }
  Poller.setOutOfService(std::move(zones), std::move(workers));
  Peer.publishConfiguration(config.Version, control::toJson(config));
}

std::int32_t Daemon::countZones(const base::ServiceName &service) const {
  std::shared_ptr<const server::RouteTable> table = Routes.load();
  const server::RouteTable::Tiers *tiers = table->find(service.str());
  std::set<base::ZoneId> zones;
  if (tiers)
    for (const server::TargetList &targets : *tiers)
      for (const std::shared_ptr<server::Target> &it : targets)
        zones.insert(it->Zone);
  return static_cast<std::int32_t>(zones.size());
}

std::string Daemon::notReadyReason() const {
  if (Stopping)
    return "the daemon is stopping";
  if (Routes.load()->size() == 0 &&
      Clock.now() - StartTime < NoTargetsReadyDelay)
    return "no target is known yet";
  return {};
}

json::value Daemon::membersToJson() const {
  json::array list;
  for (const peer::Member &it : Peer.members()) {
    json::object member{{"name", it.Name},
                        {"zone", it.Zone.str()},
                        {"state", peer::toText(it.State)},
                        {"incarnation", it.Incarnation},
                        {"configVersion", it.ConfigVersion}};
    if (it.SinceLastMessage)
      member["lastHeardMs"] = it.SinceLastMessage->count();
    list.push_back(std::move(member));
  }
  return list;
}

/// Formats the start of an hour in UTC, for example "2026-12-04 07:00".
static std::string formatHour(std::int64_t hour) {
  std::time_t seconds = hour * 3600;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char buf[32];
  std::size_t n = std::strftime(buf, sizeof buf, "%Y-%m-%d %H:00", &utc);
  return std::string(buf, n);
}

platform::Async<json::value> Daemon::report(base::ContractName contract) {
  base::Result<std::vector<control::ReportRow>> rows =
      co_await Control.report(std::move(contract));
  if (!rows)
    co_return rows.as_failure();
  json::array list;
  for (const control::ReportRow &it : rows.value())
    list.push_back({{"hour", formatHour(it.Hour)},
                    {"zone", it.Zone.str()},
                    {"rule", it.Rule},
                    {"reason", it.Reason},
                    {"kept", it.Kept},
                    {"violated", it.Violated},
                    {"worst", it.Worst}});
  co_return json::value(std::move(list));
}

void Daemon::addGauges() {
  auto add = [this](const char *name, const char *help, auto read) {
    ProcessMetrics.addGauge(std::string("endivedoor_") + name, help,
                            [read] { return static_cast<double>(read()); });
  };
  add("targets", "Targets in use.", [this] { return Routes.load()->size(); });
  add("workers_reachable", "Workers that answer.",
      [this] { return Poller.reachableWorkers(); });
  add("bookings_pending", "Booking records that wait for the store.",
      [this] { return Booking.pendingWrites(); });
  add("config_version", "Version of the configuration in force.",
      [this] { return Control.configuration().Version; });
  add("store_calls", "Calls of the store since the start.", [this] {
    platform::StoreCallCounts n = Store->counts();
    return n.Txn + n.Range + n.Grant + n.KeepAlive + n.Revoke;
  });
  add("store_errors", "Calls of the store that failed.",
      [this] { return Control.counters().StoreErrors; });
  add("commits", "Segments written.",
      [this] { return Control.counters().Commits; });
  add("starts", "Starts that a worker accepted.",
      [this] { return Control.counters().Starts; });
  add("evictions", "Attempts that ended by an eviction.",
      [this] { return Control.counters().Evictions; });
}

asio::awaitable<void> Daemon::sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(Io, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> Daemon::handleSignals() {
  co_await Signals.async_wait(asio::as_tuple(asio::use_awaitable));
  asio::co_spawn(Io, stop(), asio::detached);
  asio::steady_timer limit(Io, Config.Timing.DrainLimit);
  limit.async_wait([this](boost::system::error_code) {
    Events.emit(EventCode::DrainLimitReached);
    exit(1);
  });
  co_await Signals.async_wait(asio::as_tuple(asio::use_awaitable));
  Events.emit(EventCode::StopForced);
  exit(1);
}

void Daemon::exit(int status) {
  ExitStatus = status;
  Io.stop();
}

asio::awaitable<void> Daemon::stop() {
  Events.emit(EventCode::DaemonStopping);
  Stopping = true;
  Peer.setState(peer::MemberState::Leaving);
  for (const std::unique_ptr<TrafficThread> &it : TrafficThreads)
    it->endKeepAlive();
  co_await sleep(Config.Timing.DrainDelay);
  for (const std::unique_ptr<TrafficThread> &it : TrafficThreads)
    it->beginDrain();
  co_await waitForRequests();
  while (Booking.pendingWrites() > 0)
    co_await sleep(DrainPollInterval);
  Poller.stop();
  co_await Control.stop();
  while (Operators.activeRequests() > 0)
    co_await sleep(DrainPollInterval);
  Peer.stop();
  exit(0);
}

/// Returns when no request has been in progress for DrainQuietPeriod, or no
/// connection is open.
asio::awaitable<void> Daemon::waitForRequests() {
  base::TimePoint lastBusy = Clock.now();
  while (Clock.now() - lastBusy < DrainQuietPeriod) {
    TrafficThread::Load sum;
    for (const std::unique_ptr<TrafficThread> &it : TrafficThreads) {
      TrafficThread::Load load = co_await it->load();
      sum.Requests += load.Requests;
      sum.Connections += load.Connections;
    }
    if (sum.Connections == 0)
      co_return;
    if (sum.Requests > 0)
      lastBusy = Clock.now();
    co_await sleep(DrainPollInterval);
  }
}

} // namespace endivedoor::daemon
