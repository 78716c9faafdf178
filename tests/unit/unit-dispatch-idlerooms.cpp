// Room that is idle although long-running tasks fit it. Load pattern: hundreds
// of long-running tasks of all sizes wait in an installation without room, and
// callers count each that has waited for 6 s as lost while any room fits it.
#include "support/RoomFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

/// A shard with 4 free cores beside short runs of 8, for which a task of 12
/// waits.
class ShardWithAReservation : public ShardWithARoom {
protected:
  static constexpr std::uint64_t Short = 2, Large = 3, Small = 4;

  void SetUp() override {
    ShardWithARoom::SetUp();
    start(job(Short, {slow(2, 4000)}));
    TestShard.addJob(job(Large, {longRunning(1, 12000)}), ++Revision, false,
                     now());
    plan();
    // The short runs are told to stop, and have not ended yet.
    Time.advance(3600ms);
    report();
    EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 2u);
  }
};

// kcs-orders-grown, grown-leader-race-drain, seed 13: room of 8,400 was idle
// for 0.5 s while a task of 8,400 waited for the second of two stops, and
// smaller ones had waited for 20 s.
TEST_F(ShardWithAReservation, SmallerTaskHasWaited_StartsBeforeTheStopsEnd) {
  TestShard.addJob(job(Small, {longRunning(1, 4000)}), ++Revision, false,
                   now());
  EXPECT_TRUE(plan().empty());
  Time.advance(2s);
  report();
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task, task(Small, 0));
}

// The price of that must not be that large tasks wait for ever: what several
// stops free at a time is for the longest wait.
TEST_F(ShardWithAReservation, AllStopsEnd_LargerTaskStartsFirst) {
  TestShard.addJob(job(Small, {longRunning(1, 4500)}), ++Revision, false,
                   now());
  Time.advance(2s);
  report(Short);
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task, task(Large, 0));
}

// kcs-orders-grown, grown-leader-race-drain, seed 92: as above for 0.7 s, but
// all tasks that fitted were of other shards.
TEST_F(ShardWithAReservation, TaskOfAnotherShardIsOverdue_GetsTheOpenPart) {
  ask(AskingShard, {request(Asking, 4000, 5s)});
  EXPECT_TRUE(offers().empty());
  ask(AskingShard, {request(Asking, 4000, 7s)});
  ASSERT_EQ(offers().size(), 1u);
  delegate(Asking, 4000);
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task, task(Asking));
}

// Found by a review: a gang needs all of its parts at once, and would never
// start among single tasks that wait.
TEST_F(ShardWithARoom, RoomIsReservedForAGang_SingleTaskDoesNotTakeAPart) {
  start(job(2, {slow(1, 8000)}));
  model::StepSpec gang = longRunning(2, 6000);
  gang.Gang = true;
  TestShard.addJob(job(5, {gang}), ++Revision, false, now());
  Time.advance(3s);
  report();
  plan();
  TestShard.addJob(job(6, {longRunning(1, 4000)}), ++Revision, false, now());
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(plan().empty());
    Time.advance(90ms);
    report();
  }
}

// The fence of such a grant: a worker that is alive and cut off may run the
// stopped tasks on.
TEST_F(ShardWithAReservation, WorkerCutOff_OpenPartIsNotOffered) {
  TestShard.onPollFailed(base::WorkerId("w"), "timeout", now());
  ask(AskingShard, {request(Asking, 4000, 7s)});
  EXPECT_TRUE(offers().empty());
  delegate(Asking, 4000);
  EXPECT_TRUE(plan().empty());
}

// kcs-orders-grown, grown-leader-race-drain, seed 11: a grant without an answer
// kept a room of 6,650 idle for over 2 s while 80 tasks waited.
TEST_F(ShardWithARoom, GrantIsNotAnswered_OwnTaskThatWaitsTakesTheIdleRoom) {
  ask(AskingShard, {request(Asking, 12000, 7s)});
  ASSERT_EQ(offers().size(), 1u);
  TestShard.addJob(job(3, {longRunning(1, 12000)}), ++Revision, false, now());
  EXPECT_TRUE(plan().empty());
  Time.advance(250ms);
  report();
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task, task(3, 0));
  // The task that was granted the room waits here like any other.
  delegate(Asking, 12000);
  EXPECT_TRUE(plan().empty());
}

// The time of a grant counts from when the room is idle: a stop takes longer.
TEST_F(ShardWithARoom, GrantBeforeTheStopEnds_IsKeptUntilThen) {
  start(job(2, {slow(3, 4000)}));
  ask(AskingShard, {request(Asking, 12000, 7s)});
  ASSERT_EQ(offers().size(), 1u);
  Time.advance(900ms);
  report();
  plan();
  delegate(Asking, 12000);
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 3u);
}

// srsl-main-grown, grown-leader-race-drain, seed 13: six shards returned a room
// one after the other, for 0.7 s.
TEST_F(ShardWithARoom, RoomIsReturned_SeveralShardsAreAskedAtATime) {
  ask(AskingShard, {request(Asking, 12000, 9s)});
  for (std::int32_t i = 1; i <= 4; ++i)
    ask(AskingShard + i, {request(40 + static_cast<std::uint64_t>(i), 12000,
                                  std::chrono::seconds(9 - i))});
  ASSERT_EQ(offers().size(), 1u);
  TestShard.onRoomReturned(task(Asking), {AskingShard}, now());
  plan();
  std::vector<RoomOffer> offered = TestShard.takeRoomOffers(10);
  ASSERT_EQ(offered.size(), 3u);
  for (const RoomOffer &it : offered)
    EXPECT_EQ(count(it.Grant.Size.Cpu), 12000);
  // The first that comes gets the room, the others wait for the next one.
  delegate(static_cast<std::uint64_t>(offered[2].Task.Job), 12000);
  delegate(static_cast<std::uint64_t>(offered[0].Task.Job), 12000);
  EXPECT_EQ(plan().size(), 1u);
}

} // namespace
