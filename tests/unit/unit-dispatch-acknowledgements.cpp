// Load pattern: a worker restarts while starts and acknowledgements of ends are
// on the way. Fault of an acknowledgement that acts on a later incarnation: it
// discards the end of a run that a late start has begun there, and the task
// runs again.
#include "support/ShardFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

/// On "w1", a task runs, and a run of a job that this shard does not know has
/// ended.
class AcknowledgementBesideAStart : public ShardFixture {
protected:
  void SetUp() override {
    addWorker("w1");
    TestShard.addJob(job(1, {step(1)}), 200, false, now());
    Started = plan();
    ASSERT_EQ(Started.size(), 1u);
    confirmStarts(Started);
  }

  dispatch::PollRequest nextPoll() {
    return TestShard.nextPoll(base::WorkerId("w1"), now(), true)->Request;
  }

  /// Has w1 list its task and an end, in answer to a poll that has carried an
  /// acknowledgement.
  void listEnd(std::int64_t acknowledged = 0) {
    PollReport report;
    report.Running.push_back({Started[0].Run, "", 100, 0, false});
    report.Ended = {{1, {{JobNumber{9}, 0, 0, 0}, 1}, RunOutcome::Done, ""}};
    report.AcknowledgedEnd = acknowledged;
    poll("w1", report);
  }

  WorkerCommand startAnother() {
    TestShard.addJob(job(2, {step(1)}), 201, false, now());
    std::vector<WorkerCommand> orders = plan();
    EXPECT_EQ(orders.size(), 1u);
    return orders.empty() ? WorkerCommand{} : orders[0];
  }

  std::vector<WorkerCommand> Started;
};

// Soak seed 1032: a start and an acknowledgement, both without an answer, were
// carried out by a later incarnation, and the end of the run was discarded
// unread. Each further poll with the acknowledgement may be the one.
TEST_F(AcknowledgementBesideAStart, OnceAnswered_IsNotSentAgain) {
  listEnd();
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 1);
  TestShard.onPollFailed(base::WorkerId("w1"), "timeout", now());
  listEnd();
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 1);
  listEnd(1);
  dispatch::PollRequest next = nextPoll();
  EXPECT_EQ(next.AcknowledgedEnd, 0);
  EXPECT_EQ(next.ForgottenEnd, 1);
}

TEST_F(AcknowledgementBesideAStart, WhileAStartIsInDoubt_IsHeld) {
  WorkerCommand start = startAnother();
  listEnd();
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 0);
  TestShard.onStart(start, base::fail(base::Errc::WorkerAnswerLost, ""), now());
  listEnd();
  dispatch::PlannedPoll held =
      *TestShard.nextPoll(base::WorkerId("w1"), now(), true);
  EXPECT_EQ(held.Request.AcknowledgedEnd, 0);
  EXPECT_TRUE(held.EndsHeld);
  Time.advance(12s);
  // The start may have been carried out since the latest answer.
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 0);
  listEnd();
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 1);
}

TEST_F(AcknowledgementBesideAStart, OnceTheStartIsAnswered_IsSent) {
  WorkerCommand start = startAnother();
  listEnd();
  TestShard.onStart(start, CommandResult::Done, now());
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 1);
}

// A later incarnation refuses the acknowledgement once it has carried out the
// start.
TEST_F(AcknowledgementBesideAStart, InFlight_HasALowerTokenThanTheStart) {
  listEnd();
  dispatch::PollRequest request = nextPoll();
  ASSERT_EQ(request.AcknowledgedEnd, 1);
  WorkerCommand start = startAnother();
  EXPECT_GT(start.Token, request.Token);
  EXPECT_TRUE(TestShard.isStartWanted(start));
  EXPECT_EQ(nextPoll().Token, start.Token);
}

// A restarted worker numbers its ends from 1 again. Guards against one whose
// ends are not acknowledged because the earlier incarnation had forgotten more.
TEST_F(AcknowledgementBesideAStart, AfterARestart_BeginsAnew) {
  listEnd();
  ASSERT_EQ(nextPoll().AcknowledgedEnd, 1);
  listEnd(1);
  PollReport restarted;
  restarted.StartTime = 2000ms;
  poll("w1", restarted);
  restarted.Ended = {{1, {{JobNumber{9}, 0, 0, 0}, 1}, RunOutcome::Done, ""}};
  poll("w1", restarted);
  EXPECT_EQ(nextPoll().AcknowledgedEnd, 1);
}

} // namespace
