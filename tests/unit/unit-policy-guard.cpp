// Checks that the latency guard throttles before it evicts, applies hysteresis
// and selects the right victim.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyGuard : public PolicyTest {
protected:
  void SetUp() override { prepare({}); }
  /// Sets up one worker that runs a service with a latency target of 100 ms and
  /// a latency of 40 ms without interference, and a batch task that causes no
  /// interference.
  void prepare(PolicySettings settings) {
    settings.DeferBatchTasks = false;
    buildScheduler(settings);
    Rules.Rules.clear();
    addRule(model::LatencyTarget{base::ServiceName("orders"), 100ms},
            "latency service orders p95 100ms");
    TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
    TestedScheduler->enqueue(makeTaskId("s"), makeServiceJob("s", "orders"));
    ASSERT_EQ(startedWorkers().size(), 1u);
    report(60);
    add("quiet", "quiet", 0);
    report(60);
  }
  /// Starts a batch task that adds \p noise ms to the service latency when it
  /// is not throttled.
  void add(const std::string &id, const std::string &taskClass, double noise) {
    model::JobSpec it = makeBatchJob(id);
    it.Class = base::TaskClass(taskClass);
    TestedScheduler->enqueue(makeTaskId(id), it);
    ASSERT_EQ(startedWorkers().size(), 1u);
    Noise[id] = noise;
  }
  void end(const std::string &id, EndReason reason) {
    TestedScheduler->ended(makeTaskId(id), reason);
    Noise.erase(id);
    Throttle.erase(id);
  }
  int latency() {
    double sum = 40;
    for (const auto &[id, noise] : Noise)
      sum += noise * (100 - Throttle[id]) / 100.0;
    return int(sum);
  }
  /// Reports the latency once per second and applies the resulting decisions.
  void report(int seconds) {
    for (int n = 0; n < seconds; ++n) {
      Clock.advance(1s);
      reportMeasurement("s", 0s, latency());
      for (const Decision &it : TestedScheduler->decide(0)) {
        if (auto *throttled = std::get_if<ThrottleTask>(&it)) {
          Throttle[throttled->Task.str()] = throttled->Percent;
          ++Changes;
        }
        if (auto *evicted = std::get_if<EvictTask>(&it)) {
          Evicted.push_back(evicted->Task.str());
          end(Evicted.back(), EndReason::Evicted);
        }
      }
    }
  }

  std::map<std::string, double> Noise;
  std::map<std::string, int> Throttle;
  int Changes = 0;
  std::vector<std::string> Evicted;
};

TEST_F(PolicyGuard, ThrottlesInterferingTaskBeforeEvictingIt) {
  add("noisy", "noisy", 1500);
  report(6);
  EXPECT_EQ(Throttle["noisy"], 90);
  EXPECT_TRUE(Evicted.empty());
  report(30);
  EXPECT_EQ(Evicted, std::vector<std::string>{"noisy"});
  EXPECT_EQ(Throttle["quiet"], 0);
}

TEST_F(PolicyGuard, SufficientThrottlingPreventsEviction) {
  add("noisy", "noisy", 200);
  report(300);
  EXPECT_GT(Throttle["noisy"], 0);
  EXPECT_LE(latency(), 110);
  EXPECT_TRUE(Evicted.empty());
}

TEST_F(PolicyGuard, YoungTaskIsNotEvicted) {
  add("noisy", "noisy", 1500);
  report(18);
  EXPECT_TRUE(Evicted.empty());
}

TEST_F(PolicyGuard, IsolatedLatencySpikesCauseNoEviction) {
  add("noisy", "noisy", 0);
  for (int n = 0; n < 20; ++n) {
    Noise["noisy"] = 1500;
    report(1);
    Noise["noisy"] = 0;
    report(6);
  }
  EXPECT_TRUE(Evicted.empty());
}

TEST_F(PolicyGuard, BetweenTheThresholdsNothingChanges) {
  add("noisy", "noisy", 200);
  report(10);
  Noise["noisy"] = 0;
  Noise["quiet"] = 60;
  int before = Changes;
  report(60);
  EXPECT_EQ(Changes, before);
  Noise["quiet"] = 0;
  report(60);
  EXPECT_EQ(Throttle["noisy"], 0);
}

TEST_F(PolicyGuard, FewerEvictionsThanWithoutHysteresis) {
  auto wave = [&](PolicySettings settings) {
    Evicted.clear();
    Noise.clear();
    Throttle.clear();
    prepare(settings);
    for (int n = 0; n < 10; ++n) {
      std::string id = "noisy" + std::to_string(n);
      add(id, "noisy", 1500);
      report(12);
      end(id, EndReason::Finished);
      report(5);
    }
    return Evicted.size();
  };
  std::size_t with = wave({});
  PolicySettings without;
  without.Guard = guardWithoutHysteresis();
  std::size_t compared = wave(without);
  EXPECT_GT(compared, 0u);
  EXPECT_LE(3 * with, compared);
}

TEST_F(PolicyGuard, VictimHasBestRatioOfReliefToLostWork) {
  add("harmless-young", "quiet", 0);
  add("long", "noisy", 10);
  report(200);
  add("short", "noisy", 10);
  report(40);
  Noise["long"] = Noise["short"] = 1500;
  report(60);
  ASSERT_FALSE(Evicted.empty());
  EXPECT_EQ(Evicted[0], "short");
}

TEST_F(PolicyGuard, StaleMeasurementsAreIgnored) {
  add("noisy", "noisy", 1500);
  report(5);
  int before = Changes;
  base::TimePoint past = Clock.now() - 8s;
  Clock.advance(10s);
  for (int n = 0; n < 10; ++n)
    reportMeasurement("s", Clock.now() - past, 1500);
  EXPECT_TRUE(TestedScheduler->decide(0).empty());
  EXPECT_EQ(Changes, before);
}

} // namespace
} // namespace endivedoor::policy
