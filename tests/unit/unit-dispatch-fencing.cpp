// A change of the owner while the earlier owner, or a worker that it uses, is
// alive and only cut off: no task may run twice, however soon the next owner
// starts it.
#include "support/LeasedWorkers.h"
#include "support/NodeFixture.h"
#include "support/StoreLink.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

/// Two nodes with a connection to the store each. The first owns the shard and
/// has started a long-running task.
class CutOffOwner : public NodeFixture {
protected:
  static constexpr auto Grace = 1200ms;

  void SetUp() override {
    ShardLimits.OwnerGrace = Grace;
    ShardLimits.LeaseDuration = 1500ms;
    First = &addLinkedNode("n1");
    ASSERT_TRUE(runUntil([&] { return First->ownedShards() == 1; }));
    Second = &addLinkedNode("n2");
    runFor(300ms);
    model::AcceptedJob task = job(1, 1);
    task.Graph.Steps.resize(1);
    task.Graph.Steps[0].LongRunning = true;
    ASSERT_EQ(await(First->submit(task)), dispatch::SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([&] { return Leased.Starts.size() == 1; }));
    runFor(100ms);
  }

  DispatchNode &addLinkedNode(const std::string &name) {
    Links.push_back(std::make_unique<StoreLink>(Store));
    return addNode(name, *Links.back(), Leased);
  }

  /// Separates the first node and the worker of the task from the store and
  /// from the second node.
  void cutOff() {
    Links[0]->Cut = true;
    Leased.isolate(Leased.Starts[0].Worker);
    CutAt = Time.now();
    runFor(350ms);
    Store.expireLease(dispatch::LeaseId{1});
  }

  LeasedWorkers Leased{Time};
  std::vector<std::unique_ptr<StoreLink>> Links;
  DispatchNode *First = nullptr;
  DispatchNode *Second = nullptr;
  base::TimePoint CutAt;
};

// review/3: the next owner waited for the longest lease after the longest
// permission, 15.2 s with the defaults. Fence: no lease reaches beyond the
// permission of its owner.
TEST_F(CutOffOwner, ExtendsLeases_TaskStartsElsewhereOnceTheyHaveEnded) {
  cutOff();
  ASSERT_TRUE(runUntil([&] { return Leased.Starts.size() == 2; }, 6000ms));
  const LeasedWorkers::Start &before = Leased.Starts[0];
  const LeasedWorkers::Start &after = Leased.Starts[1];
  EXPECT_NE(before.Worker, after.Worker);
  // The first node did go on while it could.
  EXPECT_GT(Leased.leaseEnd(before.Worker), CutAt + 800ms);
  EXPECT_LT(Leased.leaseEnd(before.Worker), after.At);
  // 0.4 s to the claim, the permission and the error of the worker's clock.
  EXPECT_LT(after.At - CutAt, 2300ms);
}

} // namespace
