// End-to-end demonstration: runs a user's installation as real processes with
// traffic, takes a zone out and back in, prints the report and exits. The
// summary contains only deterministic results and is compared with the golden
// file.
#include "harness/Cluster.h"
#include "harness/Http.h"
#include "harness/RecordChecks.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <signal.h>
#include <sstream>
#include <thread>

using namespace endivedoor;
using namespace endivedoor::harness;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr auto TrafficTime = 24s;
constexpr auto ZoneOutAt = 6s, ZoneInAt = 14s;
/// P4: no start later than this after the command reported the zone out.
constexpr Micros StartBound = 3'000'000;

/// Settings that differ between the installations of the two users.
struct SiteConfig {
  std::string Name;
  std::vector<ZoneConfig> Zones;
  int WorkersPerRack = 8;
  std::uint16_t BasePort = 0;
  std::string Service;
  std::string BatchClass;
  /// Customer whose report is printed.
  std::string Contract;
  std::string ZoneOut;
};

const std::vector<SiteConfig> Sites = {
    {"karoo",
     {{"germiston", 3, 17}, {"midrand", 3, 17}, {"vereeniging", 2, 16}},
     8,
     21400,
     "orders",
     "delivery-run",
     "mabena",
     "midrand"},
    {"siam",
     {{"bkk-a", 3, 22}, {"bkk-b", 3, 22}, {"bkk-c", 2, 21}},
     11,
     22400,
     "loans",
     "term-batch",
     "siam-schools",
     "bkk-b"},
};

class Session {
public:
  Session(const SiteConfig &site, std::string folder)
      : Config(site), Folder(std::move(folder)),
        TestCluster(clusterConfig(site), Folder) {}

  int run();
  const std::string &summary() const { return Summary; }

private:
  static ClusterConfig clusterConfig(const SiteConfig &site) {
    ClusterConfig config;
    config.Zones = site.Zones;
    config.WorkersPerRack = site.WorkersPerRack;
    config.BasePort = site.BasePort;
    config.SettingsFolder =
        std::string(ENDIVEDOOR_SOURCE_DIR) + "/config/" + site.Name;
    return config;
  }

  void print(const std::string &line) { std::cout << line << std::endl; }
  /// Adds a line to the summary.
  void addToSummary(const std::string &line) {
    Summary += line + "\n";
    print("  " + line);
  }
  void reportViolations(const std::string &what,
                        const std::vector<std::string> &found) {
    addToSummary(what + ": " + (found.empty() ? "yes" : "NO"));
    for (const std::string &it : found)
      print("    " + it);
  }

  /// Runs the operators' program; prints its output; returns its exit status.
  int runOperatorCommand(std::vector<std::string> arguments);
  void submit(const std::string &zone, const json::object &job);
  json::object serviceJob() const;
  json::object batchJob(std::chrono::milliseconds runTime) const;
  bool cancelLastJob();
  bool waitForServices();
  void runTrafficAndZoneChange();
  void checkRecords();

  const SiteConfig &Config;
  std::string Folder;
  Cluster TestCluster;
  std::string Summary;
  std::vector<std::string> Jobs;
  Micros OutReported = 0, InSent = 0;
  json::object CallerSummary;
};

int Session::runOperatorCommand(std::vector<std::string> arguments) {
  std::string line = "$ endivedoor";
  for (const std::string &it : arguments)
    line += " " + it;
  print(line);
  arguments.insert(arguments.begin(), program("endivedoor"));
  for (const DaemonInstance &it : TestCluster.daemons())
    arguments.push_back("--daemon=" + it.Operators.str());
  std::string file = Folder + "/operator.out";
  std::remove(file.c_str());
  Process child(std::move(arguments), file);
  std::optional<int> status = child.wait(20s);
  std::ifstream in(file);
  for (std::string out; std::getline(in, out);)
    print("  " + out);
  return status.value_or(-1);
}

void Session::submit(const std::string &zone, const json::object &job) {
  platform::HttpRequest request{"POST", "/v1/jobs", {}, json::serialize(job)};
  auto answer = call(TestCluster.daemonsOf(zone).front()->Callers, request);
  if (answer && answer.value().Status == 201) {
    json::value body = json::parse(answer.value().Body);
    Jobs.emplace_back(body.at("job").as_string());
  }
}

json::object Session::serviceJob() const {
  return {{"name", Config.Service},
          {"team", "desk"},
          {"contract", Config.Contract},
          {"class", Config.Service},
          {"kind", "service"},
          {"service", Config.Service},
          {"tasks", 4},
          {"slots", 1},
          {"connections", 16},
          {"milliCores", 2000},
          {"memoryMb", 4096},
          {"payload", R"({"serviceMs":8})"}};
}

json::object Session::batchJob(std::chrono::milliseconds runTime) const {
  json::object payload{{"runMs", runTime.count()}};
  return {{"name", Config.BatchClass},
          {"team", "planning"},
          {"contract", Config.Contract},
          {"class", Config.BatchClass},
          {"kind", "batch"},
          {"tasks", 20},
          {"slots", 1},
          {"milliCores", 2000},
          {"memoryMb", 2048},
          {"declaredRunTimeMs", 3000},
          {"deadlineMs", 60000},
          {"payload", json::serialize(payload)}};
}

bool Session::cancelLastJob() {
  if (Jobs.empty())
    return false;
  const std::string &job = Jobs.back();
  const DaemonInstance &daemon = TestCluster.daemons().front();
  auto hasState = [&](const std::string &state) {
    return waitFor(10s, [&] {
      json::value answer = callJson(daemon.Operators, "/v1/jobs/" + job);
      return answer.is_object() && answer.at("state").as_string() == state;
    });
  };
  return hasState("running") &&
         runOperatorCommand({"job", "cancel", job}) == 0 &&
         hasState("cancelled");
}

bool Session::waitForServices() {
  return waitFor(15s, [&] {
    for (const DaemonInstance &it : TestCluster.daemons()) {
      auto answer = call(it.Callers,
                         {"GET", "/s/" + Config.Service + "/warm", {}, ""}, 2s);
      if (!answer || answer.value().Status != 200)
        return false;
    }
    return true;
  });
}

void Session::runTrafficAndZoneChange() {
  std::string targets;
  for (const DaemonInstance &it : TestCluster.daemons())
    targets += (targets.empty() ? "" : ",") + it.Callers.str();
  std::string file = Folder + "/caller.out";
  auto start = std::chrono::steady_clock::now();
  Process caller({program("standin-caller"), "--target=" + targets,
                  "--rate=300", "--service=" + Config.Service, "--bookings=0.1",
                  "--repeats=0.2", "--jobs=0.02",
                  "--seconds=" + std::to_string(TrafficTime.count()),
                  "--log=" + Folder + "/caller.jsonl"},
                 file);
  std::this_thread::sleep_until(start + ZoneOutAt);
  int out =
      runOperatorCommand({"zone", "out", Config.ZoneOut,
                          "--author=" + Config.Name, "--reason=power work"});
  OutReported = nowMicros();
  addToSummary("zone out " + Config.ZoneOut + ": " +
               (out == 0 ? "done" : "FAILED"));
  std::this_thread::sleep_until(start + ZoneInAt);
  InSent = nowMicros();
  int in =
      runOperatorCommand({"zone", "in", Config.ZoneOut,
                          "--author=" + Config.Name, "--reason=power is back"});
  addToSummary("zone in " + Config.ZoneOut + ": " +
               (in == 0 ? "done" : "FAILED"));
  std::optional<int> status = caller.wait(TrafficTime + 30s);
  addToSummary(std::string("caller exited with status 0: ") +
               (status == 0 ? "yes" : "NO"));
  std::ifstream text(file);
  std::string last;
  for (std::string line; std::getline(text, line);)
    last = line;
  boost::system::error_code ec;
  json::value value = json::parse(last, ec);
  if (!ec && value.is_object())
    CallerSummary = value.as_object();
  print("  caller: " + json::serialize(CallerSummary));
}

void Session::checkRecords() {
  Records workers = TestCluster.records("workers"),
          caller = TestCluster.records("caller");
  print("records: " + std::to_string(workers.size()) + " of workers, " +
        std::to_string(caller.size()) + " of callers");
  reportViolations("no worker exceeded its capacity",
                   findOverloads(workers, {}));
  reportViolations("no task ran on two workers at once",
                   findConcurrentAttempts(workers));
  reportViolations("no checkpoint resumed twice, none lost",
                   findInvalidResumes(workers, {}));
  reportViolations(
      "no start in " + Config.ZoneOut + " later than 3 s after it was out",
      findStarts(workers, Config.ZoneOut, OutReported + StartBound, InSent));
  reportViolations("no booking ran twice", findRepeatedBookings(workers));
  reportViolations("no request reported not-run had run",
                   findRunsReportedNotRun(workers, caller));
  addToSummary(std::string("requests were answered: ") +
               (workers.size() > 1000 && caller.size() > 1000 ? "yes" : "NO"));
}

int Session::run() {
  int workers = 0;
  for (const ZoneConfig &it : Config.Zones)
    workers += it.Workers;
  print("starting " + std::to_string(TestCluster.daemons().size()) +
        " daemons, " + std::to_string(workers) +
        " workers, the store and the host list");
  bool up = TestCluster.start(30s);
  addToSummary(std::string("all daemons ready, every zone has an owner: ") +
               (up ? "yes" : "NO"));
  if (!up)
    return 1;
  std::string rules =
      std::string(ENDIVEDOOR_SOURCE_DIR) + "/config/" + Config.Name + ".rules";
  addToSummary(std::string("rules applied: ") +
               (runOperatorCommand(
                    {"rules", "apply", rules, "--author=" + Config.Name}) == 0
                    ? "yes"
                    : "NO"));
  for (const ZoneConfig &it : Config.Zones) {
    submit(it.Name, serviceJob());
    submit(it.Name, batchJob(4s));
  }
  addToSummary("jobs admitted: " + std::to_string(Jobs.size()));
  addToSummary("service " + Config.Service + " answers at every entry host: " +
               (waitForServices() ? "yes" : "NO"));
  runTrafficAndZoneChange();
  submit(Config.Zones.front().Name, batchJob(1h));
  addToSummary(std::string("job cancelled: ") +
               (cancelLastJob() ? "yes" : "NO"));
  runOperatorCommand({"status"});
  runOperatorCommand({"report", "--contract=" + Config.Contract});
  for (DaemonInstance &it : TestCluster.daemons())
    it.Child->signal(SIGTERM);
  bool clean = true;
  for (DaemonInstance &it : TestCluster.daemons())
    clean = it.Child->wait(15s) == 0 && clean;
  addToSummary(std::string("planned stop of all daemons with status 0: ") +
               (clean ? "yes" : "NO"));
  checkRecords();
  return 0;
}

std::string option(int argc, char **argv, const std::string &name) {
  for (int i = 1; i < argc; ++i)
    if (std::string it = argv[i]; it.starts_with("--" + name + "="))
      return it.substr(name.size() + 3);
  return {};
}

} // namespace

int main(int argc, char **argv) {
  std::string folder = option(argc, argv, "folder");
  std::string golden = option(argc, argv, "golden");
  std::string name = option(argc, argv, "site");
  auto site =
      std::find_if(Sites.begin(), Sites.end(), [&](const SiteConfig &it) {
        return it.Name == (name.empty() ? "karoo" : name);
      });
  if (folder.empty() || site == Sites.end()) {
    std::cerr << "usage: endivedoor-session --folder=FOLDER "
                 "[--site=karoo|siam] [--golden=FILE]\n";
    return 2;
  }
  Session session(*site, folder);
  int status = session.run();
  std::cout << "summary\n" << session.summary();
  if (golden.empty())
    return status;
  std::ifstream file(golden);
  std::stringstream text;
  text << file.rdbuf();
  if (text.str() == session.summary())
    return status;
  std::cout << "the summary differs from " << golden << ":\n" << text.str();
  return 1;
}
