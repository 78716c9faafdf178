// Tests election and the life cycle of a job (admission, commit, start, end and
// cancellation) without faults.
#include "unit/Fakes.h"

#include <gtest/gtest.h>

#include <thread>

using namespace fakes;
using model::TaskState;

namespace {

TEST(ControlBasics, JobsRunToCompletion) {
  Cluster c;
  c.WorkerFleet.add("w1", "a");
  Daemon &d = c.daemon("d1");
  ASSERT_TRUE(c.Sim.runUntil([&] { return d.isOwner(); }));
  c.admit(d, Cluster::job(2, "j1"));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.Admitted.size() == 1; }, 100ms));
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 2; }, 2400ms));
  ASSERT_TRUE(c.Sim.runUntil([&] {
    return c.state("j1") == TaskState::Finished &&
           c.state("j1", 1) == TaskState::Finished;
  }));
  c.Sim.runFor(2s);
  // Ended attempts are acknowledged once their end is durable, and not before.
  for (const TaskRun &it : c.WorkerFleet.Log)
    EXPECT_TRUE(it.Acknowledged);
  EXPECT_EQ(0u, c.Data.count("/endivedoor/zones/a/inbox/"));
  EXPECT_EQ(2u, d.ControlPlane->counters().Starts);
  EXPECT_EQ("", c.violations());
}

TEST(ControlBasics, CancelledJobIsStopped) {
  Cluster c;
  c.WorkerFleet.add("w1", "a", 1).RunTime = 1h;
  Daemon &d = c.daemon("d1");
  c.admit(d, Cluster::job(2, "j1"));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 1; }));
  c.cancel(d, base::JobId("j1"));
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.WorkerFleet.Log[0].End.has_value(); }, 2s));
  c.Sim.runFor(2s);
  EXPECT_EQ(TaskState::Cancelled, c.state("j1"));
  EXPECT_EQ(TaskState::Cancelled, c.state("j1", 1));
  EXPECT_EQ(1u, c.WorkerFleet.Log.size());
  EXPECT_EQ(1, d.ControlPlane->workers()[0].FreeResources.Slots);
}

TEST(ControlBasics, PlannedStopTransfersOwnershipWithinTwoSeconds) {
  Cluster c;
  c.WorkerFleet.add("w1", "a").RunTime = 10s;
  Daemon &first = c.daemon("d1");
  ASSERT_TRUE(c.Sim.runUntil([&] { return first.isOwner(); }));
  Daemon &second = c.daemon("d2");
  c.admit(second, Cluster::job(1, "j1"));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 1; }));
  c.Sim.spawn(first.ControlPlane->stop());
  ASSERT_TRUE(c.Sim.runUntil([&] { return second.isOwner(); }, 2s));
  EXPECT_EQ(1, first.count(base::EventCode::OwnerHandedOver));
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.state("j1") == TaskState::Finished; }));
  EXPECT_EQ(1u, c.WorkerFleet.Log.size());
}

TEST(ControlBasics, LoopsRunOnTheSystemTimer) {
  Cluster c;
  c.WorkerFleet.add("w1", "a").RunTime = 10ms;
  c.Daemons.push_back(
      std::make_unique<Daemon>(c.Sim, c.Data, c.WorkerFleet, "d1", "a", true));
  Daemon &d = *c.Daemons.back();
  auto within = [&](auto done) {
    for (int n = 0; n < 10000 && !done(); ++n) {
      c.Sim.runFor(1ms);
      std::this_thread::sleep_for(1ms);
    }
    return done();
  };
  ASSERT_TRUE(within([&] { return d.isOwner(); }));
  c.admit(d, Cluster::job(1, "j1"));
  ASSERT_TRUE(within([&] { return c.state("j1") == TaskState::Finished; }));
  c.Sim.spawn(d.ControlPlane->stop());
  ASSERT_TRUE(
      within([&] { return d.count(base::EventCode::OwnerHandedOver) == 1; }));
}

} // namespace
