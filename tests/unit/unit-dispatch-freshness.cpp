// Tests that no task starts from an old view of the workers: entries whose
// watch is late, and changes between the decision on a start and its sending.
#include "support/NodeFixture.h"
#include "support/ShardFixture.h"

#include "endivedoor/dispatch/PrefixMirror.h"

#include <functional>

using namespace endivedoor;
using namespace endivedoor::tests;
using dispatch::SubmitOutcome;

namespace {

struct WorkerChange {
  const char *Name;
  std::function<void(Shard &, model::WorkerProfile, base::TimePoint)> Apply;
};

/// A start has been decided and waits to be sent.
class StartBeforeSending : public ShardFixture,
                           public testing::WithParamInterface<WorkerChange> {};

// kcs-orders, seed 14374917553: starts were sent up to 19 s after the notice
// that their worker leaves.
TEST_P(StartBeforeSending, ChangeOfItsWorker_WithdrawsIt) {
  addWorker("w1");
  addWorker("w2");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  ASSERT_TRUE(TestShard.isStartWanted(orders[0]));
  model::WorkerProfile other =
      worker(orders[0].Worker.Id == base::WorkerId("w1") ? "w2" : "w1");
  other.Zone = base::ZoneId("b");
  TestShard.updateWorker(other, now());
  GetParam().Apply(TestShard, worker(orders[0].Worker.Id.str()), now());
  EXPECT_FALSE(TestShard.isStartWanted(orders[0]));
  TestShard.withdrawStart(orders[0]);
  std::vector<WorkerCommand> again = plan();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].Worker.Id, other.Id);
  EXPECT_TRUE(TestShard.isStartWanted(again[0]));
}

INSTANTIATE_TEST_SUITE_P(
    Changes, StartBeforeSending,
    testing::Values(WorkerChange{"Draining",
                                 [](Shard &shard, model::WorkerProfile w,
                                    base::TimePoint now) {
                                   w.Draining = true;
                                   shard.updateWorker(w, now);
                                 }},
                    WorkerChange{
                        "Unlisted",
                        [](Shard &shard, const model::WorkerProfile &w,
                           base::TimePoint) { shard.unlistWorker(w.Id); }},
                    WorkerChange{"ZoneOutOfService",
                                 [](Shard &shard, const model::WorkerProfile &w,
                                    base::TimePoint) {
                                   shard.setZonesOutOfService({w.Zone});
                                 }},
                    WorkerChange{"SmallerCapacity",
                                 [](Shard &shard, model::WorkerProfile w,
                                    base::TimePoint now) {
                                   w.Capacity.Cpu = base::MilliCores{2000};
                                   shard.updateWorker(w, now);
                                 }}),
    [](const auto &it) { return std::string(it.param.Name); });

using StartFreshness = ShardFixture;

// Only as many starts are withdrawn as the smaller capacity has no room for.
TEST_F(StartFreshness, SmallerCapacity_KeepsTheStartsThatFit) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(2)}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  model::WorkerProfile small = worker("w1");
  small.Capacity.Cpu = base::MilliCores{4000};
  TestShard.updateWorker(small, now());
  EXPECT_FALSE(TestShard.isStartWanted(orders[0]));
  TestShard.withdrawStart(orders[0]);
  EXPECT_TRUE(TestShard.isStartWanted(orders[1]));
  EXPECT_TRUE(plan().empty());
}

// A start that is delayed on its way must not begin when a notice that the
// owner did not know of has come into force.
TEST_F(StartFreshness, OldView_ShortensTheValidityOfAStart) {
  addWorker("w1");
  poll("w1");
  poll("w1");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  TestShard.setStartsValidUntil(now() + 900ms);
  std::vector<WorkerCommand> recent = plan();
  TestShard.setStartsValidUntil(base::TimePoint::max());
  TestShard.addJob(job(2, {step(1)}), 201, false, now());
  std::vector<WorkerCommand> usual = plan();
  ASSERT_EQ(recent.size(), 1u);
  ASSERT_EQ(usual.size(), 1u);
  EXPECT_GE((usual[0].Deadline - recent[0].Deadline).count(), 600);
}

class NodeFreshness : public NodeFixture {
protected:
  void startNode() {
    Workers.KeepRunning = true;
    Node = &addNode("n1");
    Age = {Time.now(), true};
    Node->setWorkerEntries([this] {
      if (Advances)
        Age.AsOf = Time.now();
      return Age;
    });
    ASSERT_TRUE(runUntil([this] { return Node->ownedShards() == 1; }));
    runFor(200ms);
  }

  DispatchNode *Node = nullptr;
  dispatch::RecordsAge Age;
  bool Advances = true;
};

// The watch of the workers' entries stalls while the store answers other calls:
// a worker may have begun to leave.
TEST_F(NodeFreshness, OldWorkerEntries_StartNothing) {
  startNode();
  Advances = false;
  runFor(1100ms);
  EXPECT_EQ(await(Node->submit(job(1, 1))), SubmitOutcome::Accepted);
  runFor(300ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  Age.Reachable = false;
  runFor(300ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  EXPECT_EQ(Events.counts().at(base::EventCode::StartsHeld), 1u);
  EXPECT_FALSE(Events.counts().contains(base::EventCode::StartsResumed));
  Age.Reachable = Advances = true;
  EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 1; }, 500ms));
  EXPECT_EQ(Events.counts().at(base::EventCode::StartsResumed), 1u);
}

TEST_F(NodeFreshness, RecentWorkerEntries_StartTheTask) {
  startNode();
  Advances = false;
  runFor(500ms);
  EXPECT_EQ(await(Node->submit(job(1, 1))), SubmitOutcome::Accepted);
  EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 1; }, 300ms));
}

// Without these, it cannot be told from outside why a node starts nothing.
TEST_F(NodeFreshness, Metrics_ShowTheAgesAndTheDelayOfTheLoop) {
  startNode();
  std::string text = MetricsRegistry.render(Events);
  for (const char *it : {"source_age_seconds_count{source=\"shard\"}",
                         "source_age_seconds_count{source=\"workers\"}",
                         "loop_delay_seconds_count"})
    EXPECT_NE(text.find(std::string("endivedoor_") + it), std::string::npos)
        << it;
}

// An outage of the whole store must not stop the starts.
TEST_F(NodeFreshness, StoreOutage_StartsTheWaitingTask) {
  startNode();
  model::AcceptedJob large = job(1, 4);
  large.Graph.Steps.resize(1);
  large.Graph.Steps[0].Size.Cpu = base::MilliCores{20000};
  EXPECT_EQ(await(Node->submit(large)), SubmitOutcome::Accepted);
  ASSERT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 3; }));
  Store.Unavailable = true;
  Advances = Age.Reachable = false;
  runFor(3000ms);
  model::WorkerProfile grown;
  grown.Id = base::WorkerId("w0");
  grown.Service = base::ServiceName("desk");
  grown.Endpoint = {"10.0.0.1", 8080};
  grown.Zone = base::ZoneId("a");
  grown.Capacity.Cpu = base::MilliCores{64000};
  grown.Capacity.Memory = base::MebiBytes{128000};
  Node->updateWorker(grown);
  EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 4; }, 500ms));
}

using PrefixMirrorAge = NodeFixture;

// On a slow node, the time that an answer takes counted twice in the age of the
// copy, once before the batch delay and once after it.
TEST_F(PrefixMirrorAge, SlowAnswers_AddOnceToTheAgeOfTheCopy) {
  Store.WatchDelay = 400ms;
  dispatch::PrefixMirror mirror(
      Io.get_executor(), Store, "quiet/",
      {[](const auto &) {}, [](const auto &) {}, [] {}}, Time, Events,
      {.Batch = 800ms});
  mirror.start();
  ASSERT_TRUE(runUntil([&] { return mirror.isSynced(); }));
  base::Duration oldest{};
  for (int i = 0; i < 500; ++i) {
    runFor(5ms);
    oldest = std::max(oldest, Time.now() - mirror.lastAnsweredCall());
  }
  EXPECT_LT(oldest, 1400ms);
}

} // namespace
