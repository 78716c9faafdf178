// Checks that a job that can never run is refused with a reason, and that a job
// that only has to wait is not refused.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyRefusal : public PolicyTest {
protected:
  std::string reason(const model::JobSpec &job) {
    TestedScheduler->enqueue(makeTaskId(job.Id.str()), job);
    Clock.advance(4s);
    std::vector<RefuseJob> all =
        decisionsOfType<RefuseJob>(TestedScheduler->decide(10));
    return all.empty() ? "" : all[0].Reason;
  }
};

TEST_F(PolicyRefusal, ReasonNamesEachAmountThatIsTooLarge) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  EXPECT_EQ(reason(makeBatchJob("j", makeResources(9, 1, 1, 200000))),
            "fits no worker: needs slots 9, the largest worker has 8; needs "
            "memory 200000 MB, the largest worker has 125000 MB");
  EXPECT_EQ(reason(makeBatchJob("k", makeResources(1, 1, 1, 100, 1))),
            "fits no worker: needs accelerators 1, the largest worker has 0");
}

TEST_F(PolicyRefusal, AmountsOnDifferentWorkersDoNotAddUp) {
  TestedScheduler->upsertWorker(
      makeWorker("w1", "z", "r", makeResources(8, 8, 8, 1000)));
  TestedScheduler->upsertWorker(
      makeWorker("w2", "z", "r", makeResources(1, 8, 8, 9000)));
  EXPECT_EQ(reason(makeBatchJob("j", makeResources(8, 1, 1, 9000))),
            "fits no worker: no single worker has all of its amounts");
}

TEST_F(PolicyRefusal, RulesThatMakeAJobImpossibleAreNamed) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  addRule(model::TeamQuota{base::TeamName("team"), 1},
          "quota team team slots 1");
  addRule(model::ReserveShare{50, base::ZoneId("z")}, "reserve 50% zone z");
  EXPECT_NE(reason(makeBatchJob("j", makeResources(2, 1, 1, 100)))
                .find("rule quota team team"),
            std::string::npos);
  model::JobSpec other = makeBatchJob("k", makeResources(5, 1, 1, 100));
  other.Team = base::TeamName("other");
  EXPECT_NE(reason(other).find("reserve slots"), std::string::npos);
}

TEST_F(PolicyRefusal, FullOrLeavingWorkerIsNoReason) {
  model::Worker only = makeWorker("w", "z", "r");
  only.Leaving = true;
  TestedScheduler->upsertWorker(only);
  EXPECT_EQ(reason(makeBatchJob("j")), "");
}

TEST_F(PolicyRefusal, WaitsWhileWorkersAppear) {
  TestedScheduler->enqueue(makeTaskId("j"),
                           makeBatchJob("j", makeResources(9, 1, 1, 100)));
  Clock.advance(1h);
  EXPECT_TRUE(TestedScheduler->decide(10).empty());
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  EXPECT_TRUE(TestedScheduler->decide(10).empty());
  Clock.advance(4s);
  EXPECT_EQ(decisionsOfType<RefuseJob>(TestedScheduler->decide(10)).size(), 1u);
  EXPECT_TRUE(TestedScheduler->decide(10).empty());
}

TEST_F(PolicyRefusal, ProcessorTimeDeclaredTooLargeIsNoReason) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  TestedScheduler->enqueue(makeTaskId("j"),
                           makeBatchJob("j", makeResources(1, 1, 100, 100)));
  EXPECT_EQ(startedWorkers().size(), 1u);
}

} // namespace
} // namespace endivedoor::policy
