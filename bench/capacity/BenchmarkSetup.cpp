#include "BenchmarkSetup.h"

#include "harness/Cluster.h"
#include "harness/Http.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace endivedoor::bench {

namespace fs = std::filesystem;
namespace json = boost::json;
using namespace std::chrono_literals;
using harness::callJson;
using harness::program;

constexpr int BasePort = 26000;
constexpr int Callers = 1, Operators = 2, Peer = 3, Store = 4, StoreLink = 5,
              HostList = 6, Proxy = 7, FirstWorker = 100, FirstLink = 1100;

BenchmarkSetup::BenchmarkSetup(std::string folder, int workers)
    : Folder(std::move(folder)), Workers(workers) {
  fs::remove_all(Folder);
  fs::create_directories(Folder);
}

model::Address BenchmarkSetup::address(int offset) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(BasePort + offset)};
}

std::unique_ptr<harness::Process>
BenchmarkSetup::run(std::vector<std::string> arguments,
                    const std::string &name) const {
  arguments[0] = program(arguments[0]);
  return std::make_unique<harness::Process>(std::move(arguments),
                                            Folder + "/" + name + ".out");
}

void BenchmarkSetup::writeHosts() const {
  json::array hosts;
  for (int i = 0; i < Workers; ++i)
    hosts.push_back({{"name", "w-" + std::to_string(i + 1)},
                     {"zone", "a"},
                     {"rack", "a-r" + std::to_string(i / 8 + 1)},
                     {"address", address(FirstLink + i).str()},
                     {"state", "live"}});
  std::ofstream(Folder + "/hosts.json")
      << json::serialize(json::object{{"hosts", hosts}});
}

void BenchmarkSetup::writeSettings() const {
  std::ofstream(Folder + "/daemon.yaml")
      << "name: a-1\nzone: a\nlisten:\n  callers: " << address(Callers).str()
      << "\n  operators: " << address(Operators).str()
      << "\n  peer: " << address(Peer).str() << "\nstore: ["
      << address(StoreLink).str() << "]\nhostList: " << address(HostList).str()
      << "\nzones: [a]\nentryHosts: 8\n";
}

bool BenchmarkSetup::start() {
  writeHosts();
  writeSettings();
  Standins.push_back(
      run({"standin-store", "--listen=" + address(Store).str()}, "store"));
  Standins.push_back(
      run({"standin-hostlist", "--listen=" + address(HostList).str(),
           "--file=" + Folder + "/hosts.json"},
          "hosts"));
  Standins.push_back(
      run({"standin-worker", "--listen=" + address(FirstWorker).str(),
           "--count=" + std::to_string(Workers), "--name=w", "--zone=a"},
          "workers"));
  std::vector<std::string> proxy = {
      "standin-faultproxy", "--listen=" + address(Proxy).str(),
      "--link=store=" + address(StoreLink).str() + "->" + address(Store).str()};
  for (int i = 0; i < Workers; ++i)
    proxy.push_back("--link=w" + std::to_string(i) + "=" +
                    address(FirstLink + i).str() + "->" +
                    address(FirstWorker + i).str());
  Standins.push_back(run(std::move(proxy), "proxy"));
  harness::waitFor(
      5s, [&] { return callJson(address(Proxy), "/admin/links").is_object(); });
  Daemon =
      run({"endivedoord", "--settings=" + Folder + "/daemon.yaml"}, "daemon");
  return harness::waitFor(30s, [&] {
    json::value answer = callJson(address(Operators), "/v1/workers");
    if (!answer.is_object())
      return false;
    int held = 0;
    for (const json::value &it : answer.at("workers").as_array())
      held += it.at("leaseHeld").as_bool() ? 1 : 0;
    return held == Workers;
  });
}

bool BenchmarkSetup::submit(int tasks, std::chrono::milliseconds runTime) {
  json::object payload{{"runMs", runTime.count()}};
  json::object job{{"name", "bench"},
                   {"team", "bench"},
                   {"contract", "bench"},
                   {"class", "bench"},
                   {"kind", "batch"},
                   {"tasks", tasks},
                   {"slots", 1},
                   {"milliCores", 100},
                   {"memoryMb", 64},
                   {"declaredRunTimeMs", runTime.count()},
                   {"payload", json::serialize(payload)}};
  return callJson(address(Callers), "/v1/jobs", json::serialize(job))
      .is_object();
}

bool BenchmarkSetup::changeConfiguration(int bytes) {
  std::string text = "# " + std::string(static_cast<std::size_t>(bytes), 'x');
  json::object body{{"text", text + std::to_string(Version)},
                    {"baseVersion", Version},
                    {"author", "bench"}};
  platform::HttpRequest request{"PUT", "/v1/rules", {}, json::serialize(body)};
  auto answer = harness::call(address(Operators), std::move(request));
  bool accepted = answer && answer.value().Status == 200;
  Version += accepted ? 1 : 0;
  return accepted;
}

bool BenchmarkSetup::waitForTasks(int tasks, std::chrono::milliseconds limit) {
  return harness::waitFor(limit, [&] {
    json::value answer = callJson(address(Operators), "/v1/workers");
    if (!answer.is_object())
      return false;
    std::int64_t sum = 0;
    for (const json::value &it : answer.at("workers").as_array())
      sum += it.at("tasks").to_number<std::int64_t>();
    return sum >= tasks;
  });
}

static std::string readFile(const std::string &path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

/// User and system time of a process, in seconds.
static double processorSeconds(pid_t pid) {
  std::string text = readFile("/proc/" + std::to_string(pid) + "/stat");
  std::istringstream in(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  // Fields 14 and 15 of the file; the first after the name is field 3.
  for (int n = 3; n <= 15 && in >> field; ++n)
    if (n >= 14)
      ticks += std::stod(field);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

static double residentMb(pid_t pid) {
  std::istringstream in(readFile("/proc/" + std::to_string(pid) + "/statm"));
  double size = 0, resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/// Value of a metric without labels in the Prometheus text.
static double metric(const std::string &text, const std::string &name) {
  std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stod(text.substr(at + name.size() + 2));
}

Totals BenchmarkSetup::totals() const {
  Totals all;
  all.ProcessorSeconds = processorSeconds(Daemon->pid());
  all.ResidentMb = residentMb(Daemon->pid());
  json::value links = callJson(address(Proxy), "/admin/links");
  if (links.is_object())
    for (const json::value &it : links.at("links").as_array()) {
      double bytes = it.at("forwardBytes").to_number<double>() +
                     it.at("backwardBytes").to_number<double>();
      (it.at("name").as_string() == "store" ? all.StoreBytes
                                            : all.WorkerBytes) += bytes;
    }
  json::value calls = callJson(address(Store), "/admin/counters");
  if (calls.is_object())
    for (const auto &it : calls.at("total").as_object())
      all.StoreCalls[std::string(it.key())] = it.value().to_number<double>();
  auto metrics = harness::call(address(Operators), {"GET", "/metrics", {}, ""});
  if (metrics)
    all.Starts = metric(metrics.value().Body, "endivedoor_starts");
  return all;
}

} // namespace endivedoor::bench
