/// \file
/// Fixture of the fault tests: starts an installation of three zones, puts load
/// on it, and checks all guarantees against the records of the stand-in
/// programs.
#ifndef ENDIVEDOOR_TESTS_FAULT_FAULTFIXTURE_H
#define ENDIVEDOOR_TESTS_FAULT_FAULTFIXTURE_H

#include "harness/Cluster.h"
#include "harness/Http.h"
#include "harness/RecordChecks.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <random>
#include <set>
#include <signal.h>
#include <thread>

namespace endivedoor::fault {

using namespace harness;
using namespace std::chrono_literals;
namespace json = boost::json;
using std::chrono::milliseconds;

/// P4 and P8: no start later than this after the zone-out or the notice.
constexpr Micros StartBound = 3'000'000;
/// Seed of all random delays and of the load.
constexpr std::uint64_t Seed = 20261204;

class FaultTest : public ::testing::Test {
protected:
  /// Starts the installation on the ports from \p basePort; each test program
  /// has its own. Each request takes about \p serviceMs.
  void startCluster(std::uint16_t basePort, int entryHosts = 2,
                    int serviceMs = 5) {
    ClusterConfig config;
    for (const char *it : Zones)
      config.Zones.push_back({it, entryHosts, 3});
    config.BasePort = basePort;
    config.HostListLag = 500ms;
    // The shortest task lease that the settings allow, so that a lost worker
    // is replaced within the time of a test.
    config.Timing = "  taskLease: 5s\n  zoneRamp: 1s\n  requestTimeout: 2s\n"
                    "  drainDelay: 500ms\n  drainLimit: 10s\n";
    const auto *info = ::testing::UnitTest::GetInstance()->current_test_info();
    TestCluster = std::make_unique<Cluster>(
        config, std::string(ENDIVEDOOR_FAULT_FOLDER) + "/" +
                    info->test_suite_name() + "." + info->name());
    ASSERT_TRUE(TestCluster->start());
    for (const char *it : Zones)
      ASSERT_FALSE(submit(it, service(serviceMs)).empty());
    ASSERT_TRUE(waitFor(8s, [&] { return servicesAnswer(); }));
  }

  /// Returns the job's id, or an empty text if it was not acknowledged.
  std::string submit(const std::string &zone, const std::string &job) {
    json::value body = callJson(TestCluster->daemonsOf(zone).front()->Callers,
                                "/v1/jobs", job);
    return body.is_object() ? std::string(body.at("job").as_string()) : "";
  }

  bool servicesAnswer() {
    for (const DaemonInstance &it : TestCluster->daemons()) {
      auto answer = call(it.Callers, {"GET", "/s/orders/warm", {}, ""}, 2s);
      if (!answer || answer.value().Status != 200)
        return false;
    }
    return true;
  }

  /// Starts the load; finishLoad() waits for its end.
  void startLoad(std::chrono::seconds time, std::vector<std::string> extra = {
                                                "--rate=80", "--jobs=0.15"}) {
    std::string targets;
    for (const DaemonInstance &it : TestCluster->daemons())
      targets += (targets.empty() ? "" : ",") + it.Callers.str();
    std::vector<std::string> arguments = {
        program("standin-caller"),
        "--target=" + targets,
        "--bookings=0.2",
        "--repeats=0.3",
        "--timeout=5s",
        "--seconds=" + std::to_string(time.count()),
        "--seed=" + std::to_string(Seed),
        "--log=" + TestCluster->folder() + "/caller.jsonl"};
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    LoadTime = time;
    Load = std::make_unique<Process>(arguments,
                                     TestCluster->folder() + "/caller.out");
  }

  /// Waits for the end of the load and checks its answers.
  void finishLoad() {
    ASSERT_TRUE(Load);
    // P5: the caller exits with a nonzero status if it received the response to
    // another request.
    EXPECT_EQ(Load->wait(LoadTime + 10s), std::optional<int>(0));
    std::ifstream text(Load->logFile());
    for (std::string line; std::getline(text, line);)
      std::cout << "load: " << line << "\n";
  }

  /// Runs the operators' program; returns its exit status.
  int runOperatorCommand(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), program("endivedoor"));
    for (const DaemonInstance &it : TestCluster->daemons())
      arguments.push_back("--daemon=" + it.Operators.str());
    Process child(std::move(arguments),
                  TestCluster->folder() + "/operator.out");
    return child.wait(15s).value_or(-1);
  }

  /// Returns the ids of the jobs whose admission was acknowledged to the load.
  std::set<std::string> acknowledgedJobs() const {
    std::set<std::string> jobs;
    for (const json::object &row : TestCluster->records("caller"))
      if (row.at("kind").as_string() == "job" &&
          row.at("status").to_number<int>() == 201)
        jobs.emplace(row.at("job").as_string());
    return jobs;
  }

  /// Returns how often the task of each acknowledged job finished, according to
  /// the workers' records. A finish is not counted if its worker died before
  /// the next attempt started: the worker keeps an unacknowledged result only
  /// in memory, so the task had to run again.
  std::map<std::string, int> finishedRuns() const {
    struct Finish {
      std::string Worker;
      Micros At = 0;
    };
    std::map<std::string, std::string> jobOf;
    std::map<std::string, Finish> finishes;
    std::map<std::string, Micros> died;
    std::map<std::string, int> runs;
    for (const std::string &it : acknowledgedJobs())
      runs[it] = 0;
    auto text = [](const json::object &row, const char *key) {
      return std::string(row.at(key).as_string());
    };
    for (const json::object &row : TestCluster->records("workers")) {
      std::string event = text(row, "event"), worker = text(row, "worker");
      Micros at = row.at("us").as_int64();
      if (event == "admin" && text(row, "path") == "/admin/die")
        died[worker] = at;
      if (event != "start" && event != "end")
        continue;
      std::string task = text(row, "task");
      if (event == "start")
        jobOf[task] = text(row, "job");
      auto run = runs.find(jobOf[task]);
      if (run == runs.end())
        continue;
      if (event == "start" && finishes.contains(task) &&
          died[finishes[task].Worker] > finishes[task].At) {
        --run->second;
        finishes.erase(task);
      }
      if (event == "end" && text(row, "reason") == "finished") {
        ++run->second;
        finishes[task] = {worker, at};
      }
    }
    return runs;
  }

  /// Expects that each acknowledged job finishes exactly once.
  void expectJobsFinished(milliseconds limit) {
    waitFor(limit, [&] {
      std::this_thread::sleep_for(200ms);
      for (const auto &[job, n] : finishedRuns())
        if (n == 0)
          return false;
      return true;
    });
    std::map<std::string, int> runs = finishedRuns();
    std::cout << "jobs acknowledged: " << runs.size() << "\n";
    EXPECT_GT(runs.size(), 20u) << "the load admitted too few jobs";
    for (const auto &[job, n] : runs)
      EXPECT_EQ(n, 1) << "finished runs of job " << job;
  }

  static void expectNone(const char *guarantee,
                         const std::vector<std::string> &found) {
    EXPECT_TRUE(found.empty())
        << guarantee << ": " << found.size() << " violations";
    for (std::size_t i = 0; i < std::min<std::size_t>(found.size(), 5); ++i)
      ADD_FAILURE() << guarantee << ": " << found[i];
  }

  /// Checks the guarantees that hold under every fault.
  void checkGuarantees() const {
    Records workers = TestCluster->records("workers");
    Records caller = TestCluster->records("caller");
    expectNone("P1", findOverloads(workers, {}));
    expectNone("P2", findConcurrentAttempts(workers));
    expectNone("P3", findInvalidResumes(workers, {}));
    expectNone("P6", findRunsReportedNotRun(workers, caller));
    expectNone("P7", findRepeatedBookings(workers));
    std::map<std::string, int> events;
    for (const json::object &row : workers)
      ++events[std::string(row.at("event").as_string()) +
               (row.contains("reason") && row.at("event") != "request-refused"
                    ? ":" + std::string(row.at("reason").as_string())
                    : "")];
    EXPECT_FALSE(events.contains("connections-over-limit")) << "P1";
    std::cout << "workers' records:";
    for (const auto &[name, n] : events)
      std::cout << " " << name << "=" << n;
    std::cout << "\n";
  }

  milliseconds randomDelay(int from, int to) {
    return milliseconds(std::uniform_int_distribution(from, to)(Random));
  }
  static void sleep(milliseconds time) { std::this_thread::sleep_for(time); }

  static constexpr const char *Zones[] = {"east", "north", "west"};
  static std::string service(int ms) {
    json::object job = json::parse(R"({"name":"orders","team":"orders",
      "contract":"mabena","class":"orders","kind":"service","service":"orders",
      "tasks":2,"slots":1,"connections":16,"milliCores":2000,"memoryMb":4096})")
                           .as_object();
    job["payload"] = json::serialize(json::object{{"serviceMs", ms}});
    return json::serialize(job);
  }

  std::unique_ptr<Cluster> TestCluster;
  std::unique_ptr<Process> Load;
  std::chrono::seconds LoadTime{0};
  std::mt19937_64 Random{Seed};
};

} // namespace endivedoor::fault

#endif
