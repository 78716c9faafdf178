// Checks that a worker whose tasks fail receives only probe tasks, and that a
// job that fails on every worker quarantines none of them.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyQuarantine : public PolicyTest {
protected:
  PolicyQuarantine() {
    TestedScheduler->upsertWorker(makeWorker("bad", "z", "r"));
  }
  void add(const std::string &id) {
    TestedScheduler->enqueue(makeTaskId(id), makeBatchJob(id));
  }
  /// Makes one job fail on the worker. Returns whether it was started there.
  bool failOne(const std::string &id) {
    add(id);
    bool there = startedWorkers().count(id) == 1;
    if (there)
      TestedScheduler->ended(makeTaskId(id), EndReason::Failed);
    else
      TestedScheduler->cancel(makeTaskId(id));
    return there;
  }
};

TEST_F(PolicyQuarantine, ThreeJobsInARowThenProbesAtGrowingIntervals) {
  EXPECT_TRUE(failOne("a"));
  EXPECT_TRUE(failOne("b"));
  EXPECT_TRUE(failOne("c"));
  EXPECT_FALSE(failOne("d"));
  Clock.advance(5s);
  EXPECT_TRUE(failOne("e")); // the first probe
  EXPECT_FALSE(failOne("f"));
  Clock.advance(5s);
  EXPECT_FALSE(failOne("g"));
  Clock.advance(5s);
  EXPECT_TRUE(failOne("h"));
}

TEST_F(PolicyQuarantine, OneProbeAtATimeAndReturnAfterSuccess) {
  for (const char *id : {"a", "b", "c"})
    failOne(id);
  Clock.advance(5s);
  add("p1");
  add("p2");
  EXPECT_EQ(startedWorkers().size(), 1u);
  TestedScheduler->ended(makeTaskId("p1"), EndReason::Finished);
  TestedScheduler->ended(makeTaskId("p2"), EndReason::Finished);
  add("q");
  EXPECT_EQ(startedWorkers().count("q"), 1u);
}

TEST_F(PolicyQuarantine, TasksStartedEarlierDoNotPreventQuarantine) {
  add("old");
  ASSERT_EQ(startedWorkers().size(), 1u);
  Clock.advance(20s);
  for (const char *id : {"a", "b", "c"}) {
    ASSERT_TRUE(failOne(id));
    Clock.advance(1s);
    reportMeasurement("old", 0s, 0);
  }
  EXPECT_FALSE(failOne("d"));
}

TEST_F(PolicyQuarantine, JobFailingEverywhereQuarantinesNoWorker) {
  for (int n = 0; n < 5; ++n)
    TestedScheduler->upsertWorker(
        makeWorker("w" + std::to_string(n), "z", "r"));
  for (int n = 0; n < 60; ++n) {
    add("never");
    ASSERT_EQ(startedWorkers().count("never"), 1u) << n;
    TestedScheduler->ended(makeTaskId("never"), EndReason::Failed);
    Clock.advance(1s);
  }
}

TEST_F(PolicyQuarantine, RetryGoesToAnotherWorker) {
  TestedScheduler->upsertWorker(makeWorker("good", "z", "r"));
  add("t");
  std::string first = startedWorkers()["t"];
  TestedScheduler->startFailed(makeTaskId("t"), base::WorkerId(first));
  EXPECT_NE(startedWorkers()["t"], first);
}

} // namespace
} // namespace endivedoor::policy
