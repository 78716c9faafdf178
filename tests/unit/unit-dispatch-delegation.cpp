// Placement of long-running tasks across the shards of an installation that is
// almost full. Load pattern: workers leave while their long-running jobs run;
// then every shard has tasks that fit nowhere, and capacity for small ones.
#include "support/NodeFixture.h"
#include "support/StoreLink.h"

#include "endivedoor/dispatch/Records.h"

namespace {

using namespace endivedoor;
using namespace endivedoor::tests;
using dispatch::SubmitOutcome;

/// Shards with the same number of workers of 32 cores each, all owned by one
/// node.
class NearlyFullShards : public NodeFixture {
protected:
  static model::WorkerProfile worker(int number) {
    model::WorkerProfile w;
    w.Id = base::WorkerId("w" + std::to_string(number));
    w.Service = base::ServiceName("desk");
    w.Endpoint = {"10.0.0.1", 8080};
    w.Zone = base::ZoneId("a");
    w.Capacity.Cpu = base::MilliCores{32000};
    w.Capacity.Memory = base::MebiBytes{128000};
    return w;
  }

  DispatchNode &startShards(int shards, int workers) {
    Store.put(dispatch::keys::layout(),
              R"({"shards":)" + std::to_string(shards) + "}");
    Workers.KeepRunning = true;
    DispatchNode &node = addNode("n1", Link, Workers);
    for (int i = 3; i < workers; ++i)
      node.updateWorker(worker(i));
    EXPECT_TRUE(runUntil([&] {
      return node.ownedShards() == static_cast<std::size_t>(shards);
    }));
    runFor(500ms);
    return node;
  }

  static model::AcceptedJob lastingJob(std::uint64_t id, std::int32_t tasks,
                                       std::int64_t cpu) {
    model::AcceptedJob j = job(id, tasks);
    j.Graph.Steps.resize(1);
    j.Graph.Steps[0].LongRunning = true;
    j.Graph.Steps[0].Size.Cpu = base::MilliCores{cpu};
    return j;
  }

  void submit(DispatchNode &node, const model::AcceptedJob &job) {
    ASSERT_EQ(await(node.submit(job)), SubmitOutcome::Accepted);
  }

  std::size_t runningTasks(std::uint64_t job) const {
    std::set<model::TaskKey> tasks;
    for (const auto &[worker, running] : Workers.Running)
      for (const dispatch::RunStatus &it : running)
        if (it.Id.Task.Job == JobNumber{job})
          tasks.insert(it.Id.Task);
    return tasks.size();
  }

  StoreLink Link{Store};

  bool allRun(std::uint64_t job, std::size_t tasks) {
    return runUntil([&] { return runningTasks(job) == tasks; }, 6000ms);
  }
};

// Room for a task counted as none if it was less than the mean task of the
// shard.
TEST_F(NearlyFullShards, RoomBelowTheMeanTask_TakesASmallerTask) {
  DispatchNode &node = startShards(2, 6);
  submit(node, lastingJob(1, 6, 20000));
  ASSERT_TRUE(allRun(1, 6));
  runFor(2500ms);
  submit(node, lastingJob(2, 6, 11000));
  EXPECT_TRUE(allRun(2, 6)) << runningTasks(2);
}

// The demand of tasks that fit nowhere was subtracted from the room for all
// others.
TEST_F(NearlyFullShards, TasksThatFitNowhere_HideNoRoomFromSmallerOnes) {
  DispatchNode &node = startShards(2, 6);
  model::AcceptedJob even = lastingJob(1, 12, 10000);
  even.Graph.Steps[0].MaxPerWorker = 2;
  submit(node, even);
  ASSERT_TRUE(allRun(1, 12));
  submit(node, lastingJob(2, 6, 30000));
  runFor(2500ms);
  submit(node, lastingJob(3, 6, 12000));
  EXPECT_TRUE(allRun(3, 6)) << runningTasks(3);
}

// All waiting tasks of a job were offered to one shard, or none.
TEST_F(NearlyFullShards, NoShardHasRoomForAll_TasksAreSplit) {
  DispatchNode &node = startShards(3, 6);
  submit(node, lastingJob(1, 6, 20000));
  EXPECT_TRUE(allRun(1, 6)) << runningTasks(1);
}

// A shard that ran a part of the job already could not take more of its tasks.
TEST_F(NearlyFullShards, ShardWithAPart_TakesTasksOfALostWorkerToo) {
  DispatchNode &node = startShards(2, 6);
  submit(node, lastingJob(1, 4, 20000));
  ASSERT_TRUE(allRun(1, 4));
  runFor(2500ms);
  bool first =
      Store.valueOf(dispatch::keys::index(JobNumber{1})).find("\"shard\":0") !=
      std::string::npos;
  std::string own = dispatch::keys::roster(first ? 0 : 1);
  for (int i = 0; i < 6; ++i) {
    model::WorkerProfile w = worker(i);
    if (Store.valueOf(own).find('"' + w.Id.str() + '"') == std::string::npos)
      continue;
    w.Draining = true;
    node.updateWorker(w);
    break;
  }
  ASSERT_TRUE(runUntil([&] { return runningTasks(1) == 3; }, 2000ms));
  EXPECT_TRUE(allRun(1, 4)) << runningTasks(1);
  runFor(1000ms);
  EXPECT_EQ(Workers.StartCounts.size(), 5u);
}

// The callers count a long-running task as lost 3 s after a worker has room for
// it, whatever short work there is in that room (srsl-main-grown,
// grown-revoke-then-leave, seed 12: 37 s after the loss of its run).
TEST_F(NearlyFullShards,
       RoomUnderShortWorkInAnotherShard_IsTakenWithinTheCallersBound) {
  DispatchNode &node = startShards(2, 6);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    submit(node, lastingJob(i, 1, 20000));
    ASSERT_TRUE(allRun(i, 1));
  }
  submit(node, lastingJob(10, 1, 16000));
  runFor(4500ms);
  model::AcceptedJob shortWork = job(11, 18);
  shortWork.Graph.Steps.resize(1);
  shortWork.Graph.Steps[0].Size.Cpu = base::MilliCores{4000};
  submit(node, shortWork);
  runFor(2500ms);
  ASSERT_EQ(runningTasks(10), 0u);
  auto shardOf = [&](std::uint64_t id) {
    std::string index = Store.valueOf(dispatch::keys::index(JobNumber{id}));
    return index.find("\"shard\":0") != std::string::npos ? 0 : 1;
  };
  for (std::uint64_t i = 1; i <= 6; ++i)
    if (shardOf(i) != shardOf(10)) {
      EXPECT_EQ(await(node.cancel(JobNumber{i})),
                dispatch::CancelOutcome::Cancelled);
      break;
    }
  EXPECT_TRUE(runUntil([&] { return runningTasks(10) == 1; }, 3000ms));
}

// A node adds tasks to a part after another one has claimed the part's shard
// and before it reads the record. The tasks that an earlier owner has started
// ran twice, because the record was newer than the claim.
TEST_F(NearlyFullShards, PartExtendedDuringATakeover_RunsItsTasksOnce) {
  DispatchNode &node = startShards(2, 6);
  submit(node, lastingJob(1, 6, 20000));
  ASSERT_TRUE(allRun(1, 6));
  runFor(1000ms);
  bool first =
      Store.valueOf(dispatch::keys::index(JobNumber{1})).find("\"shard\":0") !=
      std::string::npos;
  std::int32_t other = first ? 1 : 0;
  std::string key = dispatch::keys::job(other, JobNumber{1});
  std::int64_t revision = await(Store.read(key)).value()->Revision;
  bool extended = false;
  Store.BeforeList = [&](const std::string &prefix) {
    if (extended || prefix != dispatch::keys::shardPrefix(other))
      return;
    extended = true;
    std::string value = Store.valueOf(key);
    std::string field = "\"part\":{";
    value.replace(value.find(field), field.size(),
                  field + "\"first\":" + std::to_string(revision) + ",");
    Store.put(key, value);
  };
  for (int i = 0; i < 6; ++i)
    Workers.Silent.insert(worker(i).Id);
  Nodes.clear();
  DispatchNode &next = addNode("n1");
  // Two workers are free, so that only the wait keeps the tasks from them.
  for (int i = 3; i < 8; ++i)
    next.updateWorker(worker(i));
  ASSERT_TRUE(runUntil([&] { return next.ownedShards() == 2; }));
  runFor(2000ms);
  EXPECT_TRUE(extended);
  EXPECT_EQ(Workers.StartCounts.size(), 6u);
  for (const auto &[run, starts] : Workers.StartCounts)
    EXPECT_EQ(starts, 1) << run.Task.Index;
}

// The fence of a delegation: the owner reads no index entry before it, so a
// cancellation that it has not seen must keep the part from being stored.
TEST_F(NearlyFullShards, JobCancelledUnseenByItsOwner_NoPartIsStored) {
  std::size_t cancelled = 0, stored = 0;
  Link.BeforeCommit = [&](const dispatch::Commit &commit) {
    JobNumber id{1};
    for (std::int32_t from : {0, 1}) {
      auto writes = [&](const std::string &key) {
        return std::any_of(
            commit.Writes.begin(), commit.Writes.end(),
            [&](const dispatch::Write &it) { return it.Key == key; });
      };
      if (writes(dispatch::keys::progress(from, id)) &&
          writes(dispatch::keys::job(1 - from, id))) {
        Store.put(dispatch::keys::cancel(from, id), "{}");
        ++cancelled;
      }
    }
  };
  DispatchNode &node = startShards(2, 6);
  submit(node, lastingJob(1, 4, 20000));
  for (int i = 0; i < 300; ++i) {
    runFor(10ms);
    stored += !Store.valueOf(dispatch::keys::job(0, JobNumber{1})).empty() &&
              !Store.valueOf(dispatch::keys::job(1, JobNumber{1})).empty();
  }
  EXPECT_EQ(cancelled, 1u);
  EXPECT_EQ(stored, 0u);
  EXPECT_EQ(runningTasks(1), 0u);
}

} // namespace
