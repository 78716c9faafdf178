// Checks the handling of events that are duplicated, out of order or refer to
// unknown ids, as happens after a change of owner.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

TEST_F(PolicyTest, UnknownIdsAreIgnored) {
  TestedScheduler->cancel(makeTaskId("none"));
  TestedScheduler->ended(makeTaskId("none"), EndReason::Finished);
  TestedScheduler->startFailed(makeTaskId("none"), base::WorkerId("none"));
  TestedScheduler->removeWorker(base::WorkerId("none"));
  reportMeasurement("none", 0s, 5);
  EXPECT_TRUE(TestedScheduler->decide(10).empty());
}

TEST_F(PolicyTest, RepeatedEnqueueStartsOnce) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  TestedScheduler->enqueue(makeTaskId("t"), makeBatchJob("j"));
  TestedScheduler->enqueue(makeTaskId("t"), makeBatchJob("j"));
  EXPECT_EQ(startedWorkers().size(), 1u);
  TestedScheduler->enqueue(makeTaskId("t"), makeBatchJob("j"));
  EXPECT_TRUE(startedWorkers().empty());
}

TEST_F(PolicyTest, RepeatedEndReleasesResourcesOnce) {
  TestedScheduler->upsertWorker(
      makeWorker("w", "z", "r", makeResources(2, 2, 8, 8000)));
  for (const char *id : {"a", "b", "c", "d"})
    TestedScheduler->enqueue(makeTaskId(id), makeBatchJob(id));
  ASSERT_EQ(startedWorkers().size(), 2u);
  std::string first = decisionsOfType<StartTask>(LastDecisions)[0].Task.str();
  TestedScheduler->ended(makeTaskId(first), EndReason::Finished);
  TestedScheduler->ended(makeTaskId(first), EndReason::Finished);
  EXPECT_EQ(startedWorkers().size(), 1u);
}

TEST_F(PolicyTest, CancelledTaskNeverStarts) {
  TestedScheduler->enqueue(makeTaskId("a"), makeBatchJob("j"));
  TestedScheduler->enqueue(makeTaskId("b"), makeBatchJob("j"));
  TestedScheduler->cancel(makeTaskId("a"));
  TestedScheduler->cancel(makeTaskId("a"));
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  EXPECT_EQ(startedWorkers(), (std::map<std::string, std::string>{{"b", "w"}}));
}

TEST_F(PolicyTest, TaskOnWorkerRegisteredLaterIsCounted) {
  TestedScheduler->started(makeTaskId("a"),
                           makeBatchJob("a", makeResources(2, 1, 1, 100)),
                           base::WorkerId("w"));
  TestedScheduler->started(makeTaskId("a"),
                           makeBatchJob("a", makeResources(2, 1, 1, 100)),
                           base::WorkerId("w"));
  TestedScheduler->enqueue(makeTaskId("b"), makeBatchJob("b"));
  TestedScheduler->upsertWorker(
      makeWorker("w", "z", "r", makeResources(2, 8, 8, 8000)));
  EXPECT_TRUE(startedWorkers().empty());
  TestedScheduler->ended(makeTaskId("a"), EndReason::Finished);
  EXPECT_EQ(startedWorkers().count("b"), 1u);
}

TEST_F(PolicyTest, RefusalFromAnotherWorkerIsStale) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  TestedScheduler->enqueue(makeTaskId("a"), makeBatchJob("a"));
  ASSERT_EQ(startedWorkers().size(), 1u);
  TestedScheduler->startFailed(makeTaskId("a"), base::WorkerId("other"));
  EXPECT_TRUE(startedWorkers().empty());
}

} // namespace
} // namespace endivedoor::policy
