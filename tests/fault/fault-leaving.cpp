// P8: a leaving target gets no new work later than 3 s after its notice; and
// urgent work starts within 2.4 s although workers leave, die or fail.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

class Leaving : public FaultTest {
protected:
  static constexpr std::uint16_t Port = 13000;
  static constexpr Micros UrgentBound = 2'400'000;

  void admin(int worker, const std::string &path, const std::string &body) {
    ASSERT_TRUE(callJson(TestCluster->workerAddress("east", worker), path, body)
                    .is_object());
  }

  /// Sets a worker of zone east to the leaving state in every host list.
  void announceLeaving(const std::string &worker) {
    for (std::uint16_t z = 0; z < 3; ++z)
      ASSERT_TRUE(callJson({"127.0.0.1", std::uint16_t(Port + 902 + z)},
                           "/admin/hosts/" + worker, R"({"state":"leaving"})")
                      .is_object());
  }

  /// Submits urgent jobs to east until \p time has passed.
  void submitUrgent(milliseconds time) {
    auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      Micros at = nowMicros();
      std::string job = submit("east", Urgent);
      EXPECT_FALSE(job.empty());
      Submitted[job] = at;
      sleep(250ms);
    }
  }

  void expectUrgentStarts() const {
    std::map<std::string, Micros> first;
    for (const json::object &row : TestCluster->records("workers"))
      if (row.at("event").as_string() == "start")
        first.emplace(row.at("job").as_string(), row.at("us").as_int64());
    Micros slowest = 0;
    for (const auto &[job, at] : Submitted) {
      ASSERT_TRUE(first.contains(job)) << job << " never started";
      EXPECT_LE(first[job] - at, UrgentBound) << job;
      slowest = std::max(slowest, first[job] - at);
    }
    std::cout << Submitted.size() << " urgent jobs, the slowest start after "
              << slowest / 1000 << " ms\n";
  }

  /// Returns the starts and requests that reached \p worker after \p from,
  /// including those it refused.
  std::vector<std::string> newWork(const std::string &worker,
                                   Micros from) const {
    std::vector<std::string> found;
    for (const json::object &row : TestCluster->records("workers")) {
      std::string event = row.at("event").as_string().c_str();
      if (row.at("worker").as_string() == worker &&
          row.at("us").as_int64() > from &&
          (event.starts_with("start") || event.starts_with("request")))
        found.push_back(worker + " got " + json::serialize(row));
    }
    return found;
  }

  static constexpr const char *Urgent =
      R"({"name":"refill","team":"orders","contract":"mabena","class":"refill",
      "kind":"batch","tasks":1,"slots":1,"milliCores":1000,"memoryMb":256,
      "urgent":true,"payload":"{\"runMs\":300}"})";
  std::map<std::string, Micros> Submitted;
};

} // namespace

TEST_F(Leaving, WorkersWithNoticeGetNoNewWorkAfterTheBound) {
  ASSERT_NO_FATAL_FAILURE(startCluster(Port));
  startLoad(11s, {"--rate=150", "--jobs=0.03"});
  sleep(2s);
  admin(0, "/admin/leave", R"({"on":true})");
  announceLeaving("east-w-2");
  Micros notice = nowMicros();
  submitUrgent(9s);
  finishLoad();
  for (const char *it : {"east-w-1", "east-w-2"}) {
    EXPECT_FALSE(newWork(it, 0).empty()) << it << " never received work";
    expectNone("P8", newWork(it, notice + StartBound));
  }
  expectJobsFinished(10s);
  expectUrgentStarts();
  checkGuarantees();
}

TEST_F(Leaving, DyingAndFailingWorkersDelayNoUrgentWork) {
  ASSERT_NO_FATAL_FAILURE(startCluster(Port));
  startLoad(12s, {"--rate=150", "--jobs=0.03"});
  sleep(1s);
  admin(0, "/admin/fail-starts", R"({"mode":"refuse"})");
  submitUrgent(3s);
  admin(1, "/admin/die", R"({"restartMs":1500})");
  submitUrgent(3s);
  admin(0, "/admin/fail-starts", R"({"mode":"fail"})");
  admin(2, "/admin/die", R"({"restartMs":0})");
  submitUrgent(4s);
  finishLoad();
  expectJobsFinished(10s);
  expectUrgentStarts();
  checkGuarantees();
}
