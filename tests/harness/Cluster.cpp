#include "harness/Cluster.h"

#include "harness/Http.h"

#include "endivedoor/model/Settings.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace endivedoor::harness {

namespace fs = std::filesystem;
namespace json = boost::json;
using namespace std::chrono_literals;

// Offsets from the base port. Zone z has its callers, operators and peers at
// 100 * z, its workers at 100 * z + 60, and its links to other zones' workers
// and to the platform above 300.
constexpr int CallersOffset = 0, OperatorsOffset = 20, PeersOffset = 40,
              WorkersOffset = 60, LinksOffset = 300, StoreOffset = 901,
              HostListOffset = 902, ProxyOffset = 910;

std::string program(const std::string &name) {
  return std::string(ENDIVEDOOR_BIN_DIR) + "/" + name;
}

bool waitFor(std::chrono::milliseconds limit,
             const std::function<bool()> &condition) {
  auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end)
      return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

Cluster::Cluster(ClusterConfig config, std::string folder)
    : Config(std::move(config)), Folder(std::move(folder)) {
  fs::remove_all(Folder);
  fs::create_directories(Folder);
  if (Config.SettingsFolder.empty())
    assignAddresses();
  else
    readSettings();
}

void Cluster::assignAddresses() {
  StoreAddress = address(StoreOffset);
  for (std::size_t z = 0; z < Config.Zones.size(); ++z) {
    const ZoneConfig &zone = Config.Zones[z];
    int base = static_cast<int>(z) * 100;
    HostLists.push_back(address(HostListOffset + static_cast<int>(z)));
    for (int i = 1; i <= zone.EntryHosts; ++i) {
      DaemonInstance instance;
      instance.Name = zone.Name + "-" + std::to_string(i);
      instance.Zone = zone.Name;
      instance.Callers = address(base + CallersOffset + i);
      instance.Operators = address(base + OperatorsOffset + i);
      instance.Peer = address(base + PeersOffset + i);
      instance.SettingsFile = Folder + "/" + instance.Name + ".yaml";
      Daemons.push_back(std::move(instance));
    }
  }
}

void Cluster::readSettings() {
  std::vector<fs::path> files;
  for (const fs::directory_entry &it :
       fs::directory_iterator(Config.SettingsFolder))
    files.push_back(it.path());
  std::sort(files.begin(), files.end());
  for (const fs::path &it : files) {
    std::ifstream in(it);
    std::stringstream text;
    text << in.rdbuf();
    model::Settings settings =
        model::parseSettings(it.string(), text.str()).Value;
    DaemonInstance instance;
    instance.Name = settings.Name;
    instance.Zone = settings.Zone.str();
    instance.Callers = settings.Callers;
    instance.Operators = settings.Operators;
    instance.Peer = settings.Peer;
    instance.SettingsFile = it.string();
    Daemons.push_back(std::move(instance));
    StoreAddress = settings.Store.at(0);
    HostLists = {settings.HostList};
  }
}

Cluster::~Cluster() {
  for (DaemonInstance &it : Daemons)
    it.Child.reset();
}

model::Address Cluster::address(int offset) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(Config.BasePort + offset)};
}

model::Address Cluster::workerAddress(const std::string &zone,
                                      int index) const {
  for (std::size_t z = 0; z < Config.Zones.size(); ++z)
    if (Config.Zones[z].Name == zone)
      return address(static_cast<int>(z) * 100 + WorkersOffset + index);
  return {};
}

DaemonInstance &Cluster::daemon(const std::string &name) {
  auto it = std::find_if(Daemons.begin(), Daemons.end(),
                         [&](const auto &d) { return d.Name == name; });
  return it == Daemons.end() ? Daemons.front() : *it;
}

std::vector<DaemonInstance *> Cluster::daemonsOf(const std::string &zone) {
  std::vector<DaemonInstance *> found;
  for (DaemonInstance &it : Daemons)
    if (it.Zone == zone)
      found.push_back(&it);
  return found;
}

DaemonInstance *Cluster::owner(const std::string &zone) {
  for (DaemonInstance &it : Daemons) {
    json::value answer = callJson(it.Operators, "/v1/zones");
    if (!answer.is_object())
      continue;
    for (const json::value &row : answer.at("zones").as_array())
      if (row.at("zone").as_string() == zone &&
          !row.at("owner").as_string().empty())
        return &daemon(std::string(row.at("owner").as_string()));
  }
  return nullptr;
}

/// Formats a link for the command line of the fault proxy.
static std::string formatLink(const std::string &name,
                              const model::Address &listen,
                              const model::Address &to) {
  return name + "=" + listen.str() + "->" + to.str();
}

// Link names: "store:ZONE", "hosts:ZONE", "peer:FROM:DAEMON",
// "worker:FROM:TO:N". Ports are assigned in the order of this list;
// writeSettings() and writeHostList() look them up here.
std::vector<std::string> Cluster::proxyLinks() const {
  std::vector<std::string> links;
  int port = LinksOffset;
  for (const ZoneConfig &from : Config.Zones) {
    links.push_back(formatLink("store:" + from.Name, address(port++), store()));
    links.push_back(formatLink(
        "hosts:" + from.Name, address(port++),
        address(HostListOffset + static_cast<int>(&from - &Config.Zones[0]))));
    for (const DaemonInstance &to : Daemons)
      if (to.Zone != from.Name)
        links.push_back(formatLink("peer:" + from.Name + ":" + to.Name,
                                   address(port++), to.Peer));
    for (const ZoneConfig &to : Config.Zones)
      for (int i = 0; to.Name != from.Name && i < to.Workers; ++i)
        links.push_back(formatLink("worker:" + from.Name + ":" + to.Name + ":" +
                                       std::to_string(i),
                                   address(port++), workerAddress(to.Name, i)));
  }
  return links;
}

/// Returns the address on which the proxy serves the link \p name.
static model::Address findLink(const std::vector<std::string> &links,
                               const std::string &name) {
  for (const std::string &it : links)
    if (it.starts_with(name + "=")) {
      std::string listen = it.substr(0, it.find("->"));
      int port = std::stoi(listen.substr(listen.rfind(':') + 1));
      return {"127.0.0.1", static_cast<std::uint16_t>(port)};
    }
  return {};
}

void Cluster::writeSettings(const DaemonInstance &daemon) const {
  std::vector<std::string> links = proxyLinks();
  std::ofstream out(daemon.SettingsFile);
  out << "name: " << daemon.Name << "\nzone: " << daemon.Zone
      << "\nlisten:\n  callers: " << daemon.Callers.str()
      << "\n  operators: " << daemon.Operators.str()
      << "\n  peer: " << daemon.Peer.str() << "\nstore:\n  - "
      << findLink(links, "store:" + daemon.Zone).str()
      << "\nhostList: " << findLink(links, "hosts:" + daemon.Zone).str()
      << "\nentryHosts: " << Daemons.size() << "\nzones:\n";
  for (const ZoneConfig &it : Config.Zones)
    out << "  - " << it.Name << "\n";
  out << "peers:\n";
  for (const DaemonInstance &it : Daemons) {
    if (it.Name == daemon.Name)
      continue;
    model::Address peer =
        it.Zone == daemon.Zone
            ? it.Peer
            : findLink(links, "peer:" + daemon.Zone + ":" + it.Name);
    out << "  - {name: " << it.Name << ", zone: " << it.Zone
        << ", peer: " << peer.str() << ", operator: " << it.Operators.str()
        << "}\n";
  }
  if (!Config.Timing.empty())
    out << "timing:\n" << Config.Timing;
}

// Lists a zone's own workers by their direct addresses and those of other zones
// by their proxy addresses.
void Cluster::writeHostList(const std::string &file,
                            const std::string &from) const {
  std::vector<std::string> links = proxyLinks();
  json::array hosts;
  for (const ZoneConfig &to : Config.Zones) {
    for (int i = 0; i < to.Workers; ++i) {
      model::Address at = workerAddress(to.Name, i);
      if (to.Name != from && Config.SettingsFolder.empty())
        at = findLink(links, "worker:" + from + ":" + to.Name + ":" +
                                 std::to_string(i));
      std::string rack =
          to.Name + "-r" + std::to_string(i / Config.WorkersPerRack + 1);
      hosts.push_back({{"name", to.Name + "-w-" + std::to_string(i + 1)},
                       {"zone", to.Name},
                       {"rack", rack},
                       {"address", at.str()},
                       {"state", "live"}});
    }
  }
  std::ofstream(file) << json::serialize(json::object{{"hosts", hosts}});
}

void Cluster::startStandins() {
  auto run = [&](std::vector<std::string> arguments, const std::string &name) {
    arguments[0] = program(arguments[0]);
    return std::make_unique<Process>(std::move(arguments),
                                     Folder + "/" + name + ".out");
  };
  Standins.push_back(run({"standin-store", "--listen=" + store().str(),
                          "--log=" + Folder + "/store.jsonl"},
                         "store"));
  std::string lag =
      "--lag=" + std::to_string(Config.HostListLag.count()) + "ms";
  for (std::size_t z = 0; z < HostLists.size(); ++z) {
    std::string name = "hosts-" + Config.Zones[z].Name;
    std::string file = Folder + "/" + name + ".json";
    writeHostList(file, Config.Zones[z].Name);
    Standins.push_back(
        run({"standin-hostlist", "--listen=" + HostLists[z].str(),
             "--file=" + file, lag},
            name));
  }
  for (const ZoneConfig &zone : Config.Zones)
    Workers[zone.Name] =
        run({"standin-worker", "--listen=" + workerAddress(zone.Name, 0).str(),
             "--count=" + std::to_string(zone.Workers),
             "--name=" + zone.Name + "-w", "--zone=" + zone.Name,
             "--rack_size=" + std::to_string(Config.WorkersPerRack),
             "--log=" + Folder + "/workers-" + zone.Name + ".jsonl"},
            "workers-" + zone.Name);
  if (!Config.SettingsFolder.empty())
    return;
  std::vector<std::string> proxy = {"standin-faultproxy",
                                    "--listen=" + address(ProxyOffset).str()};
  for (const std::string &it : proxyLinks()) {
    LinkNames.push_back(it.substr(0, it.find('=')));
    proxy.push_back("--link=" + it);
  }
  Standins.push_back(run(std::move(proxy), "proxy"));
}

void Cluster::startDaemon(DaemonInstance &daemon) {
  // Ends the previous process first, because it may still hold the ports.
  daemon.Child.reset();
  daemon.Child = std::make_unique<Process>(
      std::vector<std::string>{program("endivedoord"),
                               "--settings=" + daemon.SettingsFile},
      Folder + "/" + daemon.Name + ".log");
}

static bool isReady(const DaemonInstance &daemon) {
  platform::HttpRequest request;
  request.Path = "/readyz";
  auto answer = call(daemon.Operators, request, 1s);
  return answer && answer.value().Status == 200;
}

bool Cluster::start(std::chrono::milliseconds limit) {
  startStandins();
  bool storeUp = waitFor(
      5s, [&] { return callJson(store(), "/admin/counters").is_object(); });
  if (!storeUp)
    return false;
  for (DaemonInstance &it : Daemons) {
    if (Config.SettingsFolder.empty())
      writeSettings(it);
    startDaemon(it);
  }
  bool ready = waitFor(limit, [&] {
    return std::all_of(Daemons.begin(), Daemons.end(), isReady);
  });
  return ready && waitFor(limit, [&] {
           return std::all_of(
               Config.Zones.begin(), Config.Zones.end(),
               [&](const ZoneConfig &z) { return owner(z.Name) != nullptr; });
         });
}

void Cluster::setLinks(const std::function<bool(const std::string &)> &chosen,
                       const std::string &body) {
  for (const std::string &it : LinkNames)
    if (chosen(it))
      callJson(address(ProxyOffset), "/admin/links/" + it, body);
}

/// Returns the request body that sets the mode of a proxy link.
static std::string linkModeBody(bool cut, const std::string &mode) {
  return json::serialize(json::object{{"cut", cut ? mode : "none"}});
}

void Cluster::setPlatformPartition(const std::string &zone, bool cut,
                                   const std::string &mode) {
  setLinks(
      [&](const std::string &n) {
        return n == "store:" + zone || n == "hosts:" + zone;
      },
      linkModeBody(cut, mode));
}

void Cluster::setZonePartition(const std::string &from, const std::string &to,
                               bool cut, const std::string &mode) {
  setLinks(
      [&](const std::string &n) {
        return n.starts_with("worker:" + from + ":" + to + ":") ||
               n.starts_with("peer:" + from + ":" + to + "-");
      },
      linkModeBody(cut, mode));
}

boost::json::value Cluster::storeAdmin(const std::string &path,
                                       const std::string &body) {
  return callJson(store(), path, body);
}

std::vector<json::object> Cluster::records(const std::string &prefix) const {
  std::vector<json::object> rows;
  for (const fs::directory_entry &it : fs::directory_iterator(Folder)) {
    std::string name = it.path().filename().string();
    if (!name.starts_with(prefix) || it.path().extension() != ".jsonl")
      continue;
    std::ifstream in(it.path());
    for (std::string line; std::getline(in, line);) {
      boost::system::error_code ec;
      json::value row = json::parse(line, ec);
      if (!ec && row.is_object())
        rows.push_back(std::move(row.as_object()));
    }
  }
  std::stable_sort(rows.begin(), rows.end(), [](const auto &a, const auto &b) {
    return a.at("us").as_int64() < b.at("us").as_int64();
  });
  return rows;
}

} // namespace endivedoor::harness
