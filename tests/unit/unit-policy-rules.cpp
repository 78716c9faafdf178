// Checks the placement rules, and that a rule that cannot be satisfied is
// reported with its text and contract.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyRules : public PolicyTest {
protected:
  void addServices(int n, const std::string &name = "orders") {
    for (int i = 0; i < n; ++i) {
      std::string id = name + std::to_string(i);
      TestedScheduler->enqueue(makeTaskId(id), makeServiceJob(id, name));
    }
  }
  RuleStatus status() { return TestedScheduler->ruleStatus().at(0); }
};

TEST_F(PolicyRules, RackShareIsLimited) {
  for (int n = 0; n < 6; ++n)
    TestedScheduler->upsertWorker(
        makeWorker("w" + std::to_string(n), "z", n < 3 ? "r1" : "r2"));
  addRule(model::SpreadRacks{base::ServiceName("orders"), 2},
          "spread racks service orders max 2");
  addServices(7);
  std::map<char, int> racks;
  for (const auto &[id, host] : startedWorkers())
    ++racks[host[1] < '3' ? '1' : '2'];
  EXPECT_EQ(racks, (std::map<char, int>{{'1', 2}, {'2', 2}}));
  EXPECT_EQ(status().Kept, 4u);
  TestedScheduler->ended(makeTaskId("orders0"), EndReason::WorkerLost);
  EXPECT_EQ(startedWorkers().size(), 1u);
}

TEST_F(PolicyRules, ServiceTakesEnoughZonesFirst) {
  for (const char *zone : {"z1", "z2", "z3"})
    for (int n = 0; n < 2; ++n)
      TestedScheduler->upsertWorker(
          makeWorker(std::string(zone) + std::to_string(n), zone, zone));
  addRule(model::AtLeastZones{3, base::ServiceName("orders")},
          "at-least 3 zones service orders");
  addServices(3);
  std::set<std::string> zones;
  for (const auto &[id, host] : startedWorkers())
    zones.insert(host.substr(0, 2));
  EXPECT_EQ(zones.size(), 3u);
  TestedScheduler->ended(makeTaskId("orders0"), EndReason::WorkerLost);
  startedWorkers();
  EXPECT_EQ(status().Violated, 1u);
  EXPECT_EQ(status().Rule, "at-least 3 zones service orders");
  EXPECT_EQ(status().Contract, base::ContractName("karoo"));
  EXPECT_NE(status().WorstCase.find("2 of 3 zones"), std::string::npos);
}

// Regression test: a service task blocked only by the rack limit caused the
// eviction of a batch task every 100 ms, although no eviction could make room
// for it.
TEST_F(PolicyRules, RackLimitEvictsNoBatchTask) {
  for (int n = 0; n < 2; ++n)
    TestedScheduler->upsertWorker(
        makeWorker("w" + std::to_string(n), "z", "r1"));
  addRule(model::SpreadRacks{base::ServiceName("orders"), 2},
          "spread racks service orders max 2");
  addServices(3);
  TestedScheduler->enqueue(makeTaskId("batch"), makeBatchJob("batch"));
  EXPECT_EQ(startedWorkers().size(), 3u);
  for (int n = 0; n < 5; ++n) {
    Clock.advance(std::chrono::milliseconds(600));
    EXPECT_TRUE(
        decisionsOfType<EvictTask>(TestedScheduler->decide(10)).empty());
  }
}

// Without a rule that requires it, all tasks of a service could be placed on
// one worker, so that the loss of that worker stopped the service.
TEST_F(PolicyRules, ServiceWithoutRulesUsesTwoWorkers) {
  for (int n = 0; n < 6; ++n)
    TestedScheduler->upsertWorker(
        makeWorker("w" + std::to_string(n), "z", "r1"));
  addServices(2);
  std::set<std::string> workers;
  for (const auto &[id, host] : startedWorkers())
    workers.insert(host);
  EXPECT_EQ(workers.size(), 2u);
}

TEST_F(PolicyRules, SeparatedClassAndServiceNeverShareAWorker) {
  TestedScheduler->upsertWorker(makeWorker("w1", "z", "r"));
  TestedScheduler->upsertWorker(makeWorker("w2", "z", "r"));
  addRule(model::SeparateClass{base::TaskClass("sampling"),
                               base::ServiceName("orders")},
          "separate class sampling service orders");
  for (int n = 0; n < 6; ++n) {
    model::JobSpec job = makeBatchJob("s" + std::to_string(n));
    job.Class = base::TaskClass("sampling");
    TestedScheduler->enqueue(makeTaskId(job.Id.str()), job);
    addServices(n + 1);
  }
  std::map<std::string, std::set<char>> kinds;
  for (const auto &[id, host] : startedWorkers())
    kinds[host].insert(id[0]);
  for (const auto &[host, kind] : kinds)
    EXPECT_EQ(kind.size(), 1u) << host;
  EXPECT_EQ(status().Violated, 0u);
  model::JobSpec found = makeBatchJob("found");
  found.Class = base::TaskClass("sampling");
  std::string host =
      kinds.begin()->second.count('o') ? kinds.begin()->first : "w2";
  TestedScheduler->started(makeTaskId("found"), found, base::WorkerId(host));
  EXPECT_EQ(status().Violated, 1u);
}

TEST_F(PolicyRules, ReserveIsKeptFreeOfBatch) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  addRule(model::ReserveShare{25, base::ZoneId("z")}, "reserve 25% zone z");
  for (int n = 0; n < 10; ++n)
    TestedScheduler->enqueue(makeTaskId("b" + std::to_string(n)),
                             makeBatchJob("b" + std::to_string(n)));
  EXPECT_EQ(startedWorkers().size(), 6u);
  addServices(3);
  EXPECT_EQ(startedWorkers().size(), 2u);
}

TEST_F(PolicyRules, NoTaskStartsInOutZoneOrOnLeavingWorker) {
  TestedScheduler->upsertWorker(makeWorker("w1", "z1", "r"));
  TestedScheduler->upsertWorker(makeWorker("w2", "z2", "r"));
  TestedScheduler->upsertWorker(makeWorker("w3", "z2", "r"));
  model::Worker leaving = makeWorker("w4", "z2", "r");
  leaving.Leaving = true;
  TestedScheduler->upsertWorker(leaving);
  addRule(model::ZoneOut{base::ZoneId("z1")}, "zone-out z1");
  addRule(model::WorkerOut{base::WorkerId("w2")}, "worker-out w2");
  for (int n = 0; n < 20; ++n)
    TestedScheduler->enqueue(makeTaskId("b" + std::to_string(n)),
                             makeBatchJob("b" + std::to_string(n)));
  for (const auto &[id, host] : startedWorkers())
    EXPECT_EQ(host, "w3");
  Rules.Rules.clear();
  TestedScheduler->applyRules(Rules);
  EXPECT_EQ(startedWorkers().size(), 12u);
}

TEST_F(PolicyRules, ReturningZoneFillsGradually) {
  TestedScheduler->setAdmission(false, 0);
  for (int n = 0; n < 5; ++n)
    TestedScheduler->upsertWorker(
        makeWorker("w" + std::to_string(n), "z", "r"));
  for (int n = 0; n < 60; ++n)
    TestedScheduler->enqueue(makeTaskId("b" + std::to_string(n)),
                             makeBatchJob("b" + std::to_string(n)));
  EXPECT_TRUE(startedWorkers().empty());
  TestedScheduler->setAdmission(true, 0.1);
  EXPECT_EQ(startedWorkers().size(), 4u);
  EXPECT_TRUE(startedWorkers().empty());
  TestedScheduler->setAdmission(true, 0.5);
  EXPECT_EQ(startedWorkers().size(), 16u);
  TestedScheduler->setAdmission(true, 1);
  EXPECT_EQ(startedWorkers().size(), 20u);
}

} // namespace
} // namespace endivedoor::policy
