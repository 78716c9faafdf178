// Tests the handling of workers that fail, become unreachable, restart or
// respond late, and the rejection of invalid scheduling decisions.
#include "unit/Fakes.h"

#include <gtest/gtest.h>

using namespace fakes;
using model::TaskState;

namespace {

struct OneZone : Cluster {
  Daemon *D = nullptr;
  explicit OneZone(int workers, std::int32_t slots = 2) {
    for (int n = 1; n <= workers; ++n)
      WorkerFleet.add("w" + std::to_string(n), "a", slots);
    D = &daemon("d1");
    EXPECT_TRUE(Sim.runUntil([&] { return D->isOwner(); }));
    Sim.runFor(1500ms);
  }
  FakeWorker &worker(const std::string &name) {
    return WorkerFleet.Workers.at(name);
  }
};

TEST(ControlWorkers, DelayedStartHasNoEffect) {
  OneZone c(1);
  c.D->NetworkLink.StartDelay = 10s;
  c.admit(*c.D, Cluster::job(1, "j1"));
  c.Sim.runFor(9s);
  EXPECT_EQ(0u, c.WorkerFleet.Log.size());
  c.D->NetworkLink.StartDelay = {};
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.WorkerFleet.finished("j1.0") == 1; }));
  c.Sim.runFor(20s);
  EXPECT_EQ(1u, c.WorkerFleet.Log.size());
  EXPECT_EQ("", c.violations());
}

TEST(ControlWorkers, CancellingManyJobsStopsAllTasks) {
  OneZone c(8, 8);
  for (auto &[name, it] : c.WorkerFleet.Workers)
    it.RunTime = 1h;
  for (int n = 0; n < 300; ++n)
    c.admit(*c.D, Cluster::job(5, "j" + std::to_string(n)));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 64; }));
  std::uint64_t before = c.Data.Calls;
  for (int n = 0; n < 300; ++n)
    c.cancel(*c.D, base::JobId("j" + std::to_string(n)));
  c.Sim.runFor(4s);
  EXPECT_LT(c.Data.Calls - before, 100u);
  for (const TaskRun &it : c.WorkerFleet.Log)
    EXPECT_TRUE(it.End);
  c.Sim.runFor(2s);
  for (int n = 0; n < 300; ++n)
    EXPECT_EQ(TaskState::Cancelled, c.state("j" + std::to_string(n), 4));
  EXPECT_EQ("", c.violations());
  for (const auto &it : c.D->ControlPlane->workers())
    EXPECT_EQ(8, it.FreeResources.Slots);
}

TEST(ControlWorkers, TaskOfUnreachableWorkerRestartsAfterTheTaskLease) {
  OneZone c(2);
  for (const char *it : {"w1", "w2"})
    c.worker(it).RunTime = 1h;
  c.admit(*c.D, Cluster::job(1, "j1"));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 1; }));
  c.Sim.runFor(1s);
  c.worker("w1").Dead = true;
  c.Sim.runFor(29s);
  EXPECT_EQ(1u, c.WorkerFleet.Log.size());
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 2; }, 5s));
  EXPECT_EQ("w2", c.WorkerFleet.Log[1].Worker.str());
  c.worker("w1").Dead = false;
  c.Sim.runFor(5s);
  EXPECT_EQ("", c.violations());
  EXPECT_EQ(TaskState::Running, c.state("j1"));
}

TEST(ControlWorkers, TaskOfRestartedWorkerRestartsWithoutDelay) {
  OneZone c(1);
  c.worker("w1").RunTime = 10s;
  c.admit(*c.D, Cluster::job(1, "j1"));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 1; }));
  c.Sim.runFor(1s);
  c.WorkerFleet.reboot(c.worker("w1"));
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 2; }, 3s));
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.WorkerFleet.finished("j1.0") == 1; }));
  EXPECT_EQ("", c.violations());
}

TEST(ControlWorkers, TaskFailsPermanentlyAfterThreeWorkers) {
  OneZone c(3, 1);
  for (auto &[name, it] : c.WorkerFleet.Workers)
    it.FailsAll = true;
  c.worker("w2").Worker.Leaving = c.worker("w3").Worker.Leaving = true;
  c.Sim.runFor(2s);
  c.admit(*c.D, Cluster::job(1, "j1"));
  // Only one worker at a time accepts the task.
  for (std::size_t n = 1; n < 3; ++n) {
    ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == n; }));
    c.worker("w" + std::to_string(n)).Worker.Leaving = true;
    c.worker("w" + std::to_string(n + 1)).Worker.Leaving = false;
  }
  ASSERT_TRUE(
      c.Sim.runUntil([&] { return c.state("j1") == TaskState::Failed; }));
  EXPECT_EQ(3u, c.WorkerFleet.Log.size());
  EXPECT_EQ("", c.violations());
}

TEST(ControlWorkers, FailingWorkerIsQuarantinedProbedAndReleased) {
  OneZone c(1, 1);
  c.worker("w1").FailsAll = true;
  c.worker("w1").RunTime = 100ms;
  for (int n = 0; n < 6; ++n)
    c.admit(*c.D, Cluster::job(1, "j" + std::to_string(n)));
  ASSERT_TRUE(c.Sim.runUntil(
      [&] { return c.D->count(base::EventCode::WorkerQuarantined) == 1; }));
  std::size_t runs = c.WorkerFleet.Log.size();
  EXPECT_TRUE(c.D->ControlPlane->workers()[0].Quarantined);
  c.Sim.runFor(4s);
  EXPECT_EQ(runs, c.WorkerFleet.Log.size());
  // The first probe starts after 5 s, the next two about 10 s and 20 s later.
  c.Sim.runFor(4s);
  EXPECT_EQ(runs + 1, c.WorkerFleet.Log.size());
  c.Sim.runFor(32s);
  EXPECT_EQ(runs + 3, c.WorkerFleet.Log.size());
  c.worker("w1").FailsAll = false;
  ASSERT_TRUE(c.Sim.runUntil(
      [&] { return c.D->count(base::EventCode::WorkerReleased) == 1; }));
  ASSERT_TRUE(c.Sim.runUntil(
      [&] {
        int done = 0;
        for (int n = 0; n < 6; ++n)
          done += c.WorkerFleet.finished("j" + std::to_string(n) + ".0");
        return done == 6;
      },
      120s));
}

TEST(ControlWorkers, InvalidDecisionsAreRejected) {
  OneZone c(2, 1);
  c.worker("w1").RunTime = c.worker("w2").RunTime = 1h;
  c.admit(*c.D, Cluster::job(1, "j1"));
  ASSERT_TRUE(c.Sim.runUntil([&] { return c.WorkerFleet.Log.size() == 1; }));
  c.worker("w2").Worker.Leaving = true;
  c.Sim.runFor(2s);
  c.admit(*c.D, Cluster::job(1, "j2"));
  c.Sim.runFor(1s);
  for (const char *worker : {"w1", "w2", "w9"})
    for (const char *task : {"j1.0", "j2.0", "none.0"})
      c.D->Scheduler->ExtraDecisions.push_back(
          policy::StartTask{base::TaskId(task), base::WorkerId(worker)});
  c.Sim.runFor(2s);
  EXPECT_EQ(9, c.D->count(base::EventCode::DecisionRejected));
  EXPECT_EQ(1u, c.WorkerFleet.Log.size());
  c.D->Scheduler->ExtraDecisions.push_back(
      policy::RefuseJob{base::JobId("j2"), "no worker is large enough"});
  c.Sim.runFor(1s);
  EXPECT_EQ(TaskState::Failed, c.state("j2"));
}

TEST(ControlWorkers, UnrecordedAttemptIsStopped) {
  OneZone c(1);
  TaskRun stray;
  stray.Task = base::TaskId("stray.0");
  stray.Number = base::Attempt{1};
  stray.Worker = base::WorkerId("w1");
  stray.Service = true;
  stray.Begin = c.Sim.Clock.now();
  stray.LeaseEnd = stray.Begin + 30s;
  c.WorkerFleet.Log.push_back(stray);
  c.worker("w1").Running.push_back(0);
  c.Sim.runFor(2s);
  EXPECT_EQ(platform::AttemptState::Stopped, c.WorkerFleet.Log[0].State);
  EXPECT_TRUE(c.WorkerFleet.Log[0].Acknowledged);
}

TEST(ControlWorkers, LeavingWorkerReceivesNoStart) {
  OneZone c(1);
  c.worker("w1").Worker.Leaving = true;
  c.Sim.runFor(3s);
  c.admit(*c.D, Cluster::job(1, "j1"));
  c.Sim.runFor(10s);
  EXPECT_EQ(0, c.D->NetworkLink.StartsReceived);
}

} // namespace
