// Tests that concurrent changes never revert the configuration, and that taking
// a zone out causes no late starts and no lost or duplicated tasks.
#include "unit/Fakes.h"

#include <gtest/gtest.h>

using namespace fakes;
using model::TaskState;

namespace {

/// One daemon and two workers in each of the zones "a" and "b".
struct TwoZones : Cluster {
  Daemon *A = nullptr;
  Daemon *B = nullptr;
  TwoZones() {
    for (const char *zone : {"a", "b"})
      for (const char *n : {"1", "2"})
        WorkerFleet.add(std::string(zone) + n, zone, 2).RunTime = 20s;
    A = &daemon("da", "a");
    B = &daemon("db", "b");
    EXPECT_TRUE(Sim.runUntil([&] { return A->isOwner() && B->isOwner(); }));
    Sim.runFor(1500ms);
  }
  /// Returns how often a task ran in a zone.
  int runs(const std::string &task, const std::string &zone) const {
    return static_cast<int>(std::count_if(
        WorkerFleet.Log.begin(), WorkerFleet.Log.end(), [&](const auto &it) {
          return it.Task.str() == task &&
                 WorkerFleet.Workers.at(it.Worker.str()).Worker.Zone.str() ==
                     zone;
        }));
  }
};

TEST(ControlZones, ConcurrentChangesHaveOneWinnerAndConsecutiveVersions) {
  TwoZones c;
  for (int n = 0; n < 5; ++n) {
    c.setZoneOut(*c.A, "a", n % 2 == 0);
    c.setZoneOut(*c.B, "b", false);
    c.Sim.runFor(2s);
  }
  ASSERT_EQ(10u, c.Changes.size());
  std::set<std::uint64_t> versions;
  int lost = 0;
  for (const auto &it : c.Changes) {
    lost += it.Accepted ? 0 : 1;
    EXPECT_TRUE(!it.Accepted || versions.insert(it.Current.Version).second);
  }
  EXPECT_EQ(5, lost);
  EXPECT_EQ(5u, *versions.rbegin());
  EXPECT_EQ(5u, c.B->ControlPlane->configuration().Version);
}

TEST(ControlZones, RulesRequireTheCurrentVersion) {
  TwoZones c;
  std::vector<base::Result<control::ChangeOutcome>> seen;
  auto put = [&](std::string text, std::uint64_t version) -> awaitable<void> {
    auto outcome =
        co_await c.A->ControlPlane->putRules(text, version, "tester");
    seen.push_back(std::move(outcome));
  };
  c.Sim.spawn(put("zone-out b # mabena: test", 0));
  c.Sim.runFor(1s);
  c.Sim.spawn(put("zone-out a # mabena: test", 0));
  c.Sim.spawn(put("nonsense", 1));
  c.setZoneOut(*c.A, "b", false);
  c.Sim.runFor(2s);
  ASSERT_EQ(3u, seen.size());
  EXPECT_TRUE(seen[0].value().Accepted);
  EXPECT_EQ(Errc::RulesRejected, seen[1].error().Code);
  EXPECT_FALSE(seen[2].value().Accepted);
  EXPECT_EQ("zone-out b # mabena: test", seen[2].value().Current.RulesText);
  // The rule keeps the zone out, so an operator cannot bring it in.
  EXPECT_EQ(1, c.ChangesFailed);
  EXPECT_TRUE(c.B->ControlPlane->zones()[1].OutOfService);
}

TEST(ControlZones, PendingReadDoesNotRevertANewerVersion) {
  TwoZones c;
  c.setZoneOut(*c.A, "b", true);
  c.Sim.runFor(2s);
  std::vector<std::uint64_t> seen;
  c.B->ControlPlane->onConfiguration(
      [&](const auto &it) { seen.push_back(it.Version); });
  // Delays store responses by seconds, so that a peer's offer arrives before
  // them.
  c.B->NetworkLink.Delay = 4s;
  c.Sim.runFor(3s);
  control::Configuration offered = c.A->ControlPlane->configuration();
  offered.Version = 7;
  offered.WriteId = "offered";
  offered.ZonesOut = {base::ZoneId("a")};
  c.B->ControlPlane->offerConfiguration(offered);
  c.Sim.runFor(20s);
  EXPECT_EQ(7u, c.B->ControlPlane->configuration().Version);
  offered.Version = 6;
  c.B->ControlPlane->offerConfiguration(offered);
  EXPECT_EQ(std::vector<std::uint64_t>{7}, seen);
}

TEST(ControlZones, ZoneOutDuringAStartMovesEachTaskOnce) {
  for (int n = 0; n < 60; ++n) {
    TwoZones c;
    c.admit(*c.A, Cluster::job(3, "j1"));
    c.Sim.runFor(8ms * n);
    c.setZoneOut(*c.B, "a", true);
    ASSERT_TRUE(c.Sim.runUntil([&] {
      return c.WorkerFleet.finished("j1.0") + c.WorkerFleet.finished("j1.1") +
                 c.WorkerFleet.finished("j1.2") ==
             3;
    })) << n;
    c.Sim.runFor(5s);
    for (const char *task : {"j1.0", "j1.1", "j1.2"}) {
      EXPECT_EQ(1, c.runs(task, "b")) << n;
      EXPECT_EQ(1, c.WorkerFleet.finished(task)) << n;
    }
    EXPECT_EQ("", c.violations()) << n;
    EXPECT_FALSE(c.state("j1", 0, "a")) << n;
  }
}

TEST(ControlZones, FrozenOwnerStartsNothingInAZoneTakenOut) {
  for (int n = 1; n <= 12; ++n)
    for (base::Duration frozen :
         {base::Duration(900ms), base::Duration(3500ms)}) {
      TwoZones c;
      c.A->NetworkLink.FreezeAfterTxn = c.A->NetworkLink.Txns + n;
      c.admit(*c.A, Cluster::job(2, "j1"));
      c.Sim.runUntil([&] { return c.A->NetworkLink.Frozen; }, 5s);
      c.setZoneOut(*c.B, "a", true);
      c.Sim.runFor(frozen);
      c.A->NetworkLink.Frozen = false;
      EXPECT_TRUE(c.Sim.runUntil([&] {
        return c.WorkerFleet.finished("j1.0") == 1;
      })) << n;
      EXPECT_EQ("", c.violations()) << n;
    }
}

TEST(ControlZones, LateStoreResponsesDoNotExtendTheStartPermission) {
  for (int n = 0; n < 40; ++n) {
    TwoZones c;
    c.admit(*c.A, Cluster::job(2, "j1"));
    c.Sim.runFor(10ms * n);
    // The owner keeps renewing its workers' leases but receives no new
    // configuration.
    c.A->NetworkLink.ResponseDelay = 4s;
    c.Sim.runFor(150ms);
    c.setZoneOut(*c.B, "a", true);
    c.Sim.runFor(15s);
    EXPECT_EQ("", c.violations()) << n;
    c.A->NetworkLink.ResponseDelay = {};
    EXPECT_TRUE(c.Sim.runUntil([&] {
      return c.WorkerFleet.finished("j1.0") == 1;
    })) << n;
  }
}

TEST(ControlZones, CommitsDetectAZoneTakenOutWithoutPolling) {
  TwoZones c;
  c.WorkerFleet.Workers["a1"].RunTime = c.WorkerFleet.Workers["a2"].RunTime =
      300ms;
  c.admit(*c.A, Cluster::job(200, "j1"));
  c.Sim.runFor(1s);
  c.A->NetworkLink.PollsFail = true;
  c.setZoneOut(*c.B, "a", true);
  c.Sim.runFor(10s);
  EXPECT_EQ("", c.violations());
  EXPECT_EQ(1u, c.A->ControlPlane->configuration().Version);
}

TEST(ControlZones, ServicesKeepRunningAndQueuedTasksMove) {
  TwoZones c;
  model::JobSpec service = Cluster::job(2, "s");
  service.Kind = model::TaskKind::Service;
  c.admit(*c.A, service);
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 2; }));
  c.admit(*c.A, Cluster::job(4, "j1"));
  c.Sim.runFor(1s);
  c.setZoneOut(*c.A, "a", true);
  c.Sim.runFor(4s);
  EXPECT_FALSE(c.WorkerFleet.Log[0].End || c.WorkerFleet.Log[1].End);
  c.admit(*c.A, Cluster::job(1, "j2"));
  ASSERT_TRUE(c.Sim.runUntil([&] {
    return c.WorkerFleet.finished("j1.3") == 1 &&
           c.WorkerFleet.finished("j2.0") == 1;
  }));
  EXPECT_EQ(0, c.runs("j2.0", "a"));
  c.setZoneOut(*c.A, "a", false);
  c.Sim.runFor(1200ms);
  EXPECT_NEAR(0.1, c.A->Scheduler->Share, 0.05);
  c.Sim.runFor(15s);
  EXPECT_NEAR(0.58, c.A->Scheduler->Share, 0.05);
  c.Sim.runFor(20s);
  EXPECT_EQ(1, c.A->Scheduler->Share);
  EXPECT_EQ("", c.violations());
}

TEST(ControlZones, AdmissionFailsIfEveryZoneIsOutOrTextIsInvalid) {
  TwoZones c;
  c.setZoneOut(*c.A, "a", true);
  c.Sim.runFor(2s);
  c.setZoneOut(*c.A, "b", true);
  c.Sim.runFor(2s);
  c.admit(*c.B, Cluster::job(1, "j1"));
  c.setZoneOut(*c.A, "b", false);
  c.Sim.runFor(2s);
  // Invalid UTF-8, with which the journal could not be read back.
  model::JobSpec spec = Cluster::job(1, "j2");
  spec.Payload = "\xff";
  c.admit(*c.B, spec);
  c.Sim.runFor(1s);
  EXPECT_EQ(2, c.Refused);
}

TEST(ControlZones, RepeatedAdmissionIsIgnoredAfterAMove) {
  TwoZones c;
  c.A->NetworkLink.Frozen = true;
  c.admit(*c.A, Cluster::job(1, "j1"));
  c.A->NetworkLink.Frozen = false;
  std::string prefix = "/endivedoor/zones/a/inbox/";
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.Data.count(prefix) == 1; }));
  platform::StoreEntry batch =
      c.Data.range(prefix, platform::prefixEnd(prefix), 1)[0];
  // The sender, whose response was lost, writes the batch again: while the job
  // is in this zone, and after it has moved.
  auto repeat = [&] {
    c.Data.apply({{}, {platform::StoreOp::put(batch.Key, batch.Value)}, {}});
    c.Sim.runFor(1s);
    EXPECT_EQ(0u, c.Data.count(prefix));
  };
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.runs("j1.0", "a") == 1; }));
  repeat();
  c.setZoneOut(*c.B, "a", true);
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.runs("j1.0", "b") == 1; }));
  c.setZoneOut(*c.B, "a", false);
  c.Sim.runFor(1s);
  repeat();
  c.Sim.runFor(60s);
  EXPECT_EQ(1, c.A->count(base::EventCode::JobAccepted));
  EXPECT_EQ(1, c.WorkerFleet.finished("j1.0"));
  EXPECT_EQ("", c.violations());
}

TEST(ControlZones, CancellationReachesAMovedJob) {
  for (int n = 0; n < 40; ++n) {
    TwoZones c;
    c.WorkerFleet.Workers["a1"].Dead = c.WorkerFleet.Workers["a2"].Dead = true;
    c.Sim.runFor(3s);
    c.admit(*c.A, Cluster::job(2, "j1"));
    c.Sim.runFor(500ms);
    c.setZoneOut(*c.A, "a", true);
    c.Sim.runFor(10ms * n);
    c.cancel(*c.B, base::JobId("j1"));
    c.Sim.runFor(5s);
    for (const TaskRun &it : c.WorkerFleet.Log)
      EXPECT_TRUE(it.End) << n;
    EXPECT_EQ(0, c.WorkerFleet.finished("j1.0")) << n;
    EXPECT_EQ("", c.violations()) << n;
  }
}

} // namespace
