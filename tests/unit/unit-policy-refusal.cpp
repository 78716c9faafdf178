// Guards that a job that can never run is refused with the reason, and that one
// that only has to wait is not.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyRefusal : public PolicyTest {
protected:
  std::string reason(const model::JobSpec &job) {
    Chooser->enqueue(task(job.Id.str()), job);
    Clock.advance(4s);
    std::vector<RefuseJob> all = only<RefuseJob>(Chooser->decide(10));
    return all.empty() ? "" : all[0].Reason;
  }
};

TEST_F(PolicyRefusal, ReasonNamesEachAmountThatIsTooLarge) {
  Chooser->upsertWorker(worker("w", "z", "r"));
  EXPECT_EQ(reason(batch("j", size(9, 1, 1, 200000))),
            "fits no worker: needs slots 9, the largest worker has 8; needs "
            "memory 200000 MB, the largest worker has 125000 MB");
  EXPECT_EQ(reason(batch("k", size(1, 1, 1, 100, 1))),
            "fits no worker: needs accelerators 1, the largest worker has 0");
}

TEST_F(PolicyRefusal, AmountsOnDifferentWorkersDoNotAddUp) {
  Chooser->upsertWorker(worker("w1", "z", "r", size(8, 8, 8, 1000)));
  Chooser->upsertWorker(worker("w2", "z", "r", size(1, 8, 8, 9000)));
  EXPECT_EQ(reason(batch("j", size(8, 1, 1, 9000))),
            "fits no worker: no single worker has all of its amounts");
}

TEST_F(PolicyRefusal, RulesThatMakeAJobImpossibleAreNamed) {
  Chooser->upsertWorker(worker("w", "z", "r"));
  rule(model::TeamQuota{base::TeamName("team"), 1}, "quota team team slots 1");
  rule(model::ReserveShare{50, base::ZoneId("z")}, "reserve 50% zone z");
  EXPECT_NE(reason(batch("j", size(2, 1, 1, 100))).find("rule quota team team"),
            std::string::npos);
  model::JobSpec other = batch("k", size(5, 1, 1, 100));
  other.Team = base::TeamName("other");
  EXPECT_NE(reason(other).find("reserve slots"), std::string::npos);
}

TEST_F(PolicyRefusal, FullOrLeavingWorkerIsNoReason) {
  model::Worker only = worker("w", "z", "r");
  only.Leaving = true;
  Chooser->upsertWorker(only);
  EXPECT_EQ(reason(batch("j")), "");
}

TEST_F(PolicyRefusal, WaitsWhileWorkersAppear) {
  Chooser->enqueue(task("j"), batch("j", size(9, 1, 1, 100)));
  Clock.advance(1h);
  EXPECT_TRUE(Chooser->decide(10).empty());
  Chooser->upsertWorker(worker("w", "z", "r"));
  EXPECT_TRUE(Chooser->decide(10).empty());
  Clock.advance(4s);
  EXPECT_EQ(only<RefuseJob>(Chooser->decide(10)).size(), 1u);
  EXPECT_TRUE(Chooser->decide(10).empty());
}

TEST_F(PolicyRefusal, ProcessorTimeDeclaredTooLargeIsNoReason) {
  Chooser->upsertWorker(worker("w", "z", "r"));
  Chooser->enqueue(task("j"), batch("j", size(1, 1, 100, 100)));
  EXPECT_EQ(starts().size(), 1u);
}

} // namespace
} // namespace endivedoor::policy
