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

} // namespace
