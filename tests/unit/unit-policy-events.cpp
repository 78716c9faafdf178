// Guards against events that come twice, out of order or about unknown ids, as
// they do after a change of owner.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

TEST_F(PolicyTest, UnknownIdsAreIgnored) {
  Chooser->cancel(task("none"));
  Chooser->ended(task("none"), EndReason::Finished);
  Chooser->startFailed(task("none"), base::WorkerId("none"));
  Chooser->removeWorker(base::WorkerId("none"));
  measure("none", 0s, 5);
  EXPECT_TRUE(Chooser->decide(10).empty());
}

TEST_F(PolicyTest, RepeatedEnqueueStartsOnce) {
  Chooser->upsertWorker(worker("w", "z", "r"));
  Chooser->enqueue(task("t"), batch("j"));
  Chooser->enqueue(task("t"), batch("j"));
  EXPECT_EQ(starts().size(), 1u);
  Chooser->enqueue(task("t"), batch("j"));
  EXPECT_TRUE(starts().empty());
}

TEST_F(PolicyTest, RepeatedEndFreesOnce) {
  Chooser->upsertWorker(worker("w", "z", "r", size(2, 2, 8, 8000)));
  for (const char *id : {"a", "b", "c", "d"})
    Chooser->enqueue(task(id), batch(id));
  ASSERT_EQ(starts().size(), 2u);
  std::string first = only<StartTask>(Last)[0].Task.str();
  Chooser->ended(task(first), EndReason::Finished);
  Chooser->ended(task(first), EndReason::Finished);
  EXPECT_EQ(starts().size(), 1u);
}

TEST_F(PolicyTest, CancelledTaskNeverStarts) {
  Chooser->enqueue(task("a"), batch("j"));
  Chooser->enqueue(task("b"), batch("j"));
  Chooser->cancel(task("a"));
  Chooser->cancel(task("a"));
  Chooser->upsertWorker(worker("w", "z", "r"));
  EXPECT_EQ(starts(), (std::map<std::string, std::string>{{"b", "w"}}));
}

TEST_F(PolicyTest, TaskFoundOnWorkerThatIsNamedLaterIsCounted) {
  Chooser->started(task("a"), batch("a", size(2, 1, 1, 100)),
                   base::WorkerId("w"));
  Chooser->started(task("a"), batch("a", size(2, 1, 1, 100)),
                   base::WorkerId("w"));
  Chooser->enqueue(task("b"), batch("b"));
  Chooser->upsertWorker(worker("w", "z", "r", size(2, 8, 8, 8000)));
  EXPECT_TRUE(starts().empty());
  Chooser->ended(task("a"), EndReason::Finished);
  EXPECT_EQ(starts().count("b"), 1u);
}

TEST_F(PolicyTest, RefusalFromAnotherWorkerIsStale) {
  Chooser->upsertWorker(worker("w", "z", "r"));
  Chooser->enqueue(task("a"), batch("a"));
  ASSERT_EQ(starts().size(), 1u);
  Chooser->startFailed(task("a"), base::WorkerId("other"));
  EXPECT_TRUE(starts().empty());
}

} // namespace
} // namespace endivedoor::policy
