#include "TestCluster.h"

#include "Wire.h"

#include "endivedoor/dispatch/Records.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace endivedoor::soak {

namespace fs = std::filesystem;
namespace json = boost::json;
using namespace std::chrono_literals;

// Offsets from the base port. Daemon i has three ports from 110 + 3 * i.
constexpr int ProxyOffset = 0, StoreOffset = 1, WorkerOffset = 10,
              WorkerLinkOffset = 60, DaemonOffset = 110, StoreLinkOffset = 240;
constexpr int PortsPerDaemon = 3;
const char *const QueueHost = "127.0.0.1";
const char *const ShortQueue = "/short/";
const char *const LongQueue = "/long/";
const char *const Zones[] = {"a", "b", "c"};
constexpr std::size_t ZoneCount = std::size(Zones);

std::string TestCluster::address(int offset) const {
  return "127.0.0.1:" + std::to_string(Options.BasePort + offset);
}

TestCluster::TestCluster(asio::io_context &io, const base::Clock &clock,
                         TestClusterOptions options)
    : Store(io, clock, options.Seed), Checker(clock), Io(io), Time(clock),
      Options(std::move(options)),
      Admin(io.get_executor(), clock, platform::HttpLimits{}) {
  fs::create_directories(Options.Folder);
  StoreServer = standin::startServerOrExit(
      Io, standin::parseAddress(address(StoreOffset)),
      [this](platform::HttpRequest request) {
        return Store.handle(std::move(request));
      });
  std::vector<std::string> proxy = {std::string(ENDIVEDOOR_BIN_DIR) +
                                        "/standin-faultproxy",
                                    "--listen=" + address(ProxyOffset)};
  for (int i = 0; i < Options.WorkerCount; ++i) {
    auto number = static_cast<std::size_t>(i);
    model::WorkerProfile profile;
    profile.Id = base::WorkerId("w-" + std::to_string(i));
    profile.Service = base::ServiceName("desk");
    profile.Zone = base::ZoneId(Zones[number % ZoneCount]);
    profile.Endpoint = standin::parseAddress(address(WorkerLinkOffset + i));
    profile.Capacity = WorkerSize;
    profile.Labels = {i % 2 == 0 ? "plain" : "large",
                      "rack-" + std::to_string(i / 4)};
    Workers.push_back(std::make_unique<standin::WorkerServer>(
        Io, clock, Store, Checker, profile,
        standin::parseAddress(address(WorkerOffset + i)),
        Options.Seed * 1000 + number));
    proxy.push_back("--link=worker-" + std::to_string(i) + "=" +
                    address(WorkerLinkOffset + i) + "->" +
                    address(WorkerOffset + i));
  }
  for (int i = 0; i < Options.DaemonCount; ++i)
    proxy.push_back("--link=store-" + std::to_string(i) + "=" +
                    address(StoreLinkOffset + i) + "->" + address(StoreOffset));
  Proxy =
      std::make_unique<harness::Process>(proxy, Options.Folder + "/proxy.log");
  publishConfiguration();
  for (int i = 0; i < Options.DaemonCount; ++i) {
    DaemonSlot slot;
    slot.Name = "entry-" + std::to_string(i);
    int ports = DaemonOffset + PortsPerDaemon * i;
    slot.CallerAddress = standin::parseAddress(address(ports));
    std::ofstream(Options.Folder + "/" + slot.Name + ".yaml")
        << "name: " << slot.Name
        << "\nzone: " << Zones[static_cast<std::size_t>(i) % ZoneCount]
        << "\nlisten:\n  callers: " << address(ports)
        << "\n  health: " << address(ports + 1)
        << "\n  metrics: " << address(ports + 2)
        << "\ninstallation:\n  store: " << address(StoreLinkOffset + i)
        << "\nworkersPerShard: " << std::max(1, Options.WorkerCount / 3)
        << "\nbounds:\n  longestHold: 6000ms\n  harmTime: 4000ms\n"
           "  stopGrace: 6s\n  shortestLease: 1000ms\n";
    Daemons.push_back(std::move(slot));
  }
  for (DaemonSlot &it : Daemons)
    startDaemon(it);
}

void TestCluster::startDaemon(DaemonSlot &slot) {
  // The ports are free once the previous process has ended.
  slot.Process.reset();
  slot.StartedAt = Time.now();
  slot.Process = std::make_unique<harness::Process>(
      std::vector<std::string>{std::string(ENDIVEDOOR_BIN_DIR) + "/endivedoord",
                               "--settings",
                               Options.Folder + "/" + slot.Name + ".yaml"},
      Options.Folder + "/" + slot.Name + ".log");
}

Awaitable<void> TestCluster::configureLink(std::string name,
                                           std::string settings) {
  co_await sendLinkSettings(name, std::move(settings));
  // The link of a lost worker stays cut.
  for (std::size_t i = 0; i < Workers.size(); ++i) {
    std::string link = "worker-" + std::to_string(i);
    if (Workers[i]->isVanished() && (name == link || name == "worker-*"))
      co_await sendLinkSettings(link, R"({"cut":"both"})");
  }
}

Awaitable<void> TestCluster::sendLinkSettings(std::string name,
                                              std::string settings) {
  platform::HttpRequest request;
  request.Method = "POST";
  request.Path = "/admin/links/" + name;
  request.Body = std::move(settings);
  base::Result<platform::HttpResponse> done = co_await Admin.send(
      standin::parseAddress(address(ProxyOffset)), std::move(request), 2s);
  if (!done || done.value().Status != 200) {
    std::cerr << "cannot set faults at the fault proxy for link " << name
              << "\n";
    std::exit(2);
  }
}

Awaitable<void> TestCluster::loseWorker(std::size_t number) {
  Workers[number]->vanish();
  co_await configureLink("worker-" + std::to_string(number), "{}");
}

std::set<std::string> TestCluster::ownersOf(std::size_t worker) const {
  auto read = [&](const std::string &key) {
    auto record = installation::parseBody(Store.find(key).value_or("{}"));
    return record ? record.value() : json::value();
  };
  json::value layout = read(dispatch::keys::layout());
  std::int64_t shards = installation::Fields(&layout).number("shards");
  std::set<std::string> owners;
  for (std::int32_t shard = 0; shard < shards; ++shard) {
    auto roster = dispatch::decodeRoster(
        Store.find(dispatch::keys::roster(shard)).value_or(""));
    if (!roster || std::none_of(roster.value().begin(), roster.value().end(),
                                [&](const dispatch::RosterEntry &it) {
                                  return it.Id.str() == Workers[worker]->id();
                                }))
      continue;
    json::value owner = read(dispatch::keys::owner(shard));
    owners.insert(installation::Fields(&owner).text("node"));
  }
  return owners;
}

/// Stores the next version of the configuration, with different latency
/// targets.
void TestCluster::publishConfiguration() {
  ++ConfigVersion;
  json::array routes;
  for (const char *prefix : {ShortQueue, LongQueue})
    routes.push_back(json::object{{"name", prefix},
                                  {"host", QueueHost},
                                  {"prefix", prefix},
                                  {"service", "desk"},
                                  {"priority", prefix == ShortQueue ? 0 : 2},
                                  {"max_attempts", MaxAttempts},
                                  {"stretch", 1.5},
                                  {"target_latency_ms", 250 + ConfigVersion}});
  json::object config{{"version", ConfigVersion},
                      {"routes", std::move(routes)},
                      {"services", json::array{json::object{{"name", "desk"}}}},
                      {"limits", json::object{}}};
  Store.put("op/config", json::serialize(config));
}

void TestCluster::clearFaults() {
  Store.setFaults({});
  for (const char *zone : Zones)
    Store.erase(std::string("op/evacuate/") + zone);
  for (auto &it : Workers) {
    it->setFaults({});
    it->setDraining(false);
  }
}

std::vector<std::string> TestCluster::restartCrashed() {
  std::vector<std::string> crashed;
  for (DaemonSlot &it : Daemons)
    if (!it.HeldByFault && it.Process && !it.Process->isRunning()) {
      crashed.push_back(it.Name + ", status " +
                        std::to_string(it.Process->wait(0ms).value_or(0)));
      startDaemon(it);
    }
  return crashed;
}

} // namespace endivedoor::soak
