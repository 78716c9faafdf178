// Guards the placement rules, and that a rule that cannot be kept is reported
// with its text and contract.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyRules : public PolicyTest {
protected:
  void addServices(int n, const std::string &name = "orders") {
    for (int i = 0; i < n; ++i) {
      std::string id = name + std::to_string(i);
      Chooser->enqueue(task(id), service(id, name));
    }
  }
  RuleStatus status() { return Chooser->ruleStatus().at(0); }
};

TEST_F(PolicyRules, RackHoldsAtMostItsShare) {
  for (int n = 0; n < 6; ++n)
    Chooser->upsertWorker(
        worker("w" + std::to_string(n), "z", n < 3 ? "r1" : "r2"));
  rule(model::SpreadRacks{base::ServiceName("orders"), 2},
       "spread racks service orders max 2");
  addServices(7);
  std::map<char, int> racks;
  for (const auto &[id, host] : starts())
    ++racks[host[1] < '3' ? '1' : '2'];
  EXPECT_EQ(racks, (std::map<char, int>{{'1', 2}, {'2', 2}}));
  EXPECT_EQ(status().Kept, 4u);
  Chooser->ended(task("orders0"), EndReason::WorkerLost);
  EXPECT_EQ(starts().size(), 1u);
}

TEST_F(PolicyRules, ServiceTakesEnoughZonesFirst) {
  for (const char *zone : {"z1", "z2", "z3"})
    for (int n = 0; n < 2; ++n)
      Chooser->upsertWorker(
          worker(std::string(zone) + std::to_string(n), zone, zone));
  rule(model::AtLeastZones{3, base::ServiceName("orders")},
       "at-least 3 zones service orders");
  addServices(3);
  std::set<std::string> zones;
  for (const auto &[id, host] : starts())
    zones.insert(host.substr(0, 2));
  EXPECT_EQ(zones.size(), 3u);
  Chooser->ended(task("orders0"), EndReason::WorkerLost);
  starts();
  EXPECT_EQ(status().Violated, 1u);
  EXPECT_EQ(status().Rule, "at-least 3 zones service orders");
  EXPECT_EQ(status().Contract, base::ContractName("karoo"));
  EXPECT_NE(status().WorstCase.find("2 of 3 zones"), std::string::npos);
}

// Guards against evictions that cannot help: in a session, a service task that
// only the rack limit kept waiting had a batch task evicted every 100 ms.
TEST_F(PolicyRules, RackLimitEvictsNoBatchTask) {
  for (int n = 0; n < 2; ++n)
    Chooser->upsertWorker(worker("w" + std::to_string(n), "z", "r1"));
  rule(model::SpreadRacks{base::ServiceName("orders"), 2},
       "spread racks service orders max 2");
  addServices(3);
  Chooser->enqueue(task("batch"), batch("batch"));
  EXPECT_EQ(starts().size(), 3u);
  for (int n = 0; n < 5; ++n) {
    Clock.advance(std::chrono::milliseconds(600));
    EXPECT_TRUE(only<EvictTask>(Chooser->decide(10)).empty());
  }
}

// Guards against a service that ends with a single worker because its tasks
// gathered there; no rule asks for more.
TEST_F(PolicyRules, ServiceWithoutRulesUsesTwoWorkers) {
  for (int n = 0; n < 6; ++n)
    Chooser->upsertWorker(worker("w" + std::to_string(n), "z", "r1"));
  addServices(2);
  std::set<std::string> workers;
  for (const auto &[id, host] : starts())
    workers.insert(host);
  EXPECT_EQ(workers.size(), 2u);
}

TEST_F(PolicyRules, SeparatedClassAndServiceNeverMeet) {
  Chooser->upsertWorker(worker("w1", "z", "r"));
  Chooser->upsertWorker(worker("w2", "z", "r"));
  rule(model::SeparateClass{base::TaskClass("sampling"),
                            base::ServiceName("orders")},
       "separate class sampling service orders");
  for (int n = 0; n < 6; ++n) {
    model::JobSpec job = batch("s" + std::to_string(n));
    job.Class = base::TaskClass("sampling");
    Chooser->enqueue(task(job.Id.str()), job);
    addServices(n + 1);
  }
  std::map<std::string, std::set<char>> kinds;
  for (const auto &[id, host] : starts())
    kinds[host].insert(id[0]);
  for (const auto &[host, kind] : kinds)
    EXPECT_EQ(kind.size(), 1u) << host;
  EXPECT_EQ(status().Violated, 0u);
  model::JobSpec found = batch("found");
  found.Class = base::TaskClass("sampling");
  std::string host =
      kinds.begin()->second.count('o') ? kinds.begin()->first : "w2";
  Chooser->started(task("found"), found, base::WorkerId(host));
  EXPECT_EQ(status().Violated, 1u);
}

TEST_F(PolicyRules, ReserveIsKeptFreeOfBatch) {
  Chooser->upsertWorker(worker("w", "z", "r"));
  rule(model::ReserveShare{25, base::ZoneId("z")}, "reserve 25% zone z");
  for (int n = 0; n < 10; ++n)
    Chooser->enqueue(task("b" + std::to_string(n)),
                     batch("b" + std::to_string(n)));
  EXPECT_EQ(starts().size(), 6u);
  addServices(3);
  EXPECT_EQ(starts().size(), 2u);
}

TEST_F(PolicyRules, NothingStartsOnWhatIsOutOrLeaving) {
  Chooser->upsertWorker(worker("w1", "z1", "r"));
  Chooser->upsertWorker(worker("w2", "z2", "r"));
  Chooser->upsertWorker(worker("w3", "z2", "r"));
  model::Worker leaving = worker("w4", "z2", "r");
  leaving.Leaving = true;
  Chooser->upsertWorker(leaving);
  rule(model::ZoneOut{base::ZoneId("z1")}, "zone-out z1");
  rule(model::WorkerOut{base::WorkerId("w2")}, "worker-out w2");
  for (int n = 0; n < 20; ++n)
    Chooser->enqueue(task("b" + std::to_string(n)),
                     batch("b" + std::to_string(n)));
  for (const auto &[id, host] : starts())
    EXPECT_EQ(host, "w3");
  Rules.Rules.clear();
  Chooser->applyRules(Rules);
  EXPECT_EQ(starts().size(), 12u);
}

TEST_F(PolicyRules, ReturningZoneFillsGradually) {
  Chooser->setAdmission(false, 0);
  for (int n = 0; n < 5; ++n)
    Chooser->upsertWorker(worker("w" + std::to_string(n), "z", "r"));
  for (int n = 0; n < 60; ++n)
    Chooser->enqueue(task("b" + std::to_string(n)),
                     batch("b" + std::to_string(n)));
  EXPECT_TRUE(starts().empty());
  Chooser->setAdmission(true, 0.1);
  EXPECT_EQ(starts().size(), 4u);
  EXPECT_TRUE(starts().empty());
  Chooser->setAdmission(true, 0.5);
  EXPECT_EQ(starts().size(), 16u);
  Chooser->setAdmission(true, 1);
  EXPECT_EQ(starts().size(), 20u);
}

} // namespace
} // namespace endivedoor::policy
