// Tests the results that callers get when the metadata store loses answers or
// is unavailable, the handover of shards, and mirrors whose watch history is
// lost.
#include "support/NodeFixture.h"
#include "support/StoreLink.h"

#include "endivedoor/dispatch/DispatchNode.h"
#include "endivedoor/dispatch/PrefixMirror.h"
#include "endivedoor/dispatch/Records.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <set>

using namespace endivedoor;
using namespace endivedoor::tests;
using dispatch::CancelOutcome;
using dispatch::SubmitOutcome;

namespace {

using DispatchNodeCalls = NodeFixture;
using DispatchNodeOwnership = NodeFixture;
using PrefixMirrorWatch = NodeFixture;

TEST_F(DispatchNodeCalls, Job_Completes) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_TRUE(
      runUntil([&] { return stateOf(node, 1) == JobState::Succeeded; }));
  EXPECT_EQ(Workers.StartCounts.size(), 6u);
}

// The entry of a crashed worker stays for some heartbeats after its address has
// a new instance, which rejects each poll at once.
TEST_F(DispatchNodeCalls, ReplacedWorker_IsNotPolledWithoutPause) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  base::WorkerId replaced("w1");
  ASSERT_TRUE(runUntil([&] { return Workers.PollCounts[replaced] > 0; }));
  Workers.Replaced.insert(replaced);
  int before = Workers.PollCounts[replaced];
  runFor(1000ms);
  EXPECT_LE(Workers.PollCounts[replaced] - before, 5);
}

// Each store call is charged for, and is slow when the store is.
TEST_F(DispatchNodeCalls, SingleShard_NeedsNoLoadRecords) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  runFor(100ms);
  int before = Store.ListCalls;
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_EQ(Store.ListCalls, before);
}

// If the answer to a commit is lost, the node reads the record back; it must
// not report the job as refused.
TEST_F(DispatchNodeCalls, LostAnswer_IsNotReportedAsRefused) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  Store.PendingLostAnswers = 1;
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  Store.PendingLostAnswers = 100;
  SubmitOutcome outcome = await(node.submit(job(2)));
  EXPECT_EQ(outcome, SubmitOutcome::Unknown);
  Store.PendingLostAnswers = 0;
}

// Callers query whether a job has started. Storing its running state must not
// block a cancellation.
TEST_F(DispatchNodeCalls, StartedJob_IsReportedAsRunning) {
  Workers.KeepRunning = true;
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_TRUE(runUntil([&] { return stateOf(node, 1) == JobState::Running; }));
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  EXPECT_EQ(stateOf(node, 1), JobState::Cancelled);
}

// Each write of the index entry replaces it, so that one without the account
// would show the job to the callers of every account.
TEST_F(DispatchNodeCalls, IndexEntry_KeepsTheAccountThroughAllStates) {
  Workers.KeepRunning = true;
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  auto accountOf = [&](std::uint64_t id, JobState state) {
    auto index = dispatch::decodeIndex(
        Store.valueOf(dispatch::keys::index(JobNumber{id})));
    return index && index.value().State == state ? index.value().Account : "";
  };
  for (std::uint64_t id : {1, 2}) {
    model::AcceptedJob owned = job(id);
    owned.Account = "north";
    EXPECT_EQ(await(node.submit(owned)), SubmitOutcome::Accepted);
    EXPECT_EQ(accountOf(id, JobState::Queued), "north");
    EXPECT_NE(Store.valueOf(dispatch::keys::job(0, JobNumber{id}))
                  .find(R"("account":"north")"),
              std::string::npos);
    EXPECT_TRUE(
        runUntil([&] { return accountOf(id, JobState::Running) == "north"; }));
    if (id == 1) {
      EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
    }
  }
  EXPECT_EQ(accountOf(1, JobState::Cancelled), "north");
  Workers.KeepRunning = false;
  for (auto &[worker, running] : Workers.Running) {
    for (const dispatch::RunStatus &it : running)
      Workers.EndedRuns[worker].push_back(
          {static_cast<std::int64_t>(Workers.EndedRuns[worker].size()) + 1,
           it.Id, dispatch::RunOutcome::Done, ""});
    running.clear();
  }
  EXPECT_TRUE(
      runUntil([&] { return accountOf(2, JobState::Succeeded) == "north"; }));
}

// If the write of the running state takes effect but its answer is lost, the
// job's completion must still be recorded.
TEST_F(DispatchNodeCalls, RunningStateWithLostAnswer_JobCompletes) {
  Workers.KeepRunning = true;
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.submit(job(1, 1))), SubmitOutcome::Accepted);
  Store.LoseAnswerForKey = dispatch::keys::index(JobNumber{1});
  ASSERT_TRUE(runUntil([&] { return Store.LoseAnswerForKey.empty(); }));
  Workers.KeepRunning = false;
  for (auto &[worker, running] : Workers.Running) {
    for (const dispatch::RunStatus &it : running)
      Workers.EndedRuns[worker].push_back(
          {static_cast<std::int64_t>(Workers.EndedRuns[worker].size()) + 1,
           it.Id, dispatch::RunOutcome::Done, ""});
    running.clear();
  }
  EXPECT_TRUE(
      runUntil([&] { return stateOf(node, 1) == JobState::Succeeded; }));
}

TEST_F(DispatchNodeCalls, StoreUnavailable_JobIsRefusedAndNeverRuns) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  Store.Unavailable = true;
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Refused);
  Store.Unavailable = false;
  runFor(500ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
}

// While the store is known to be unavailable, a call must fail immediately
// instead of waiting until its deadline.
TEST_F(DispatchNodeCalls, StoreKnownToBeUnavailable_IsRefusedImmediately) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  Store.Unavailable = true;
  runFor(400ms);
  auto started = std::chrono::steady_clock::now();
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Refused);
  EXPECT_LT(std::chrono::steady_clock::now() - started, 100ms);
  Store.Unavailable = false;
}

TEST_F(DispatchNodeCalls, RepeatedJob_RunsOnce) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  ASSERT_TRUE(
      runUntil([&] { return stateOf(node, 1) == JobState::Succeeded; }));
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  runFor(200ms);
  for (const auto &[run, starts] : Workers.StartCounts)
    EXPECT_EQ(starts, 1);
  EXPECT_EQ(Workers.StartCounts.size(), 6u);
}

TEST_F(DispatchNodeCalls, Cancel_OfUnknownAndOfLiveJob) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.cancel(JobNumber{9})), CancelOutcome::NoSuchJob);
  model::AcceptedJob waiting = job(1);
  waiting.Graph.Steps[0].Requirement = "no worker has this";
  EXPECT_EQ(await(node.submit(waiting)), SubmitOutcome::Accepted);
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  EXPECT_EQ(stateOf(node, 1), JobState::Cancelled);
  EXPECT_TRUE(runUntil([&] {
    return !Store.has(dispatch::keys::job(0, JobNumber{1})) &&
           !Store.has(dispatch::keys::cancel(0, JobNumber{1}));
  }));
}

// The commits of a submission get no answer and take effect seconds later; the
// caller has cancelled the job in between and was told that there is none.
TEST_F(DispatchNodeCalls, CancelBeforeADelayedSubmission_NothingRuns) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  runFor(100ms);
  constexpr int attempts = 3;
  Store.PendingDelayedCommits = attempts;
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Unknown);
  Store.PendingDelayedCommits = 0;
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::NoSuchJob);
  Store.applyDelayed();
  runFor(500ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  auto state = await(node.jobState(JobNumber{1}));
  ASSERT_TRUE(state);
  EXPECT_FALSE(state.value());
}

// A caller that repeats the submission must not be told that the job is
// accepted.
TEST_F(DispatchNodeCalls, SubmissionAfterItsCancel_IsNotAccepted) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::NoSuchJob);
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Cancelled);
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::NoSuchJob);
  runFor(300ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  EXPECT_FALSE(await(node.jobState(JobNumber{1})).value());
}

// Account north's submission replaces the cancellation that south has stored
// for the same id, but gets no answer and takes effect late; north has
// cancelled the job in between.
TEST_F(DispatchNodeCalls, CancelBeforeADelayedReplacement_NothingRuns) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  runFor(100ms);
  dispatch::Requester north{"north", false}, south{"south", false};
  EXPECT_EQ(await(node.cancel(JobNumber{1}, south)), CancelOutcome::NoSuchJob);
  std::int64_t revision =
      await(Store.read(dispatch::keys::index(JobNumber{1}))).value()->Revision;
  model::AcceptedJob late = job(1);
  late.Account = "north";
  dispatch::Commit commit;
  commit.Conditions = {{dispatch::keys::index(JobNumber{1}), revision}};
  commit.Writes = {
      {dispatch::keys::index(JobNumber{1}),
       dispatch::encodeIndex({0, JobState::Queued, false, "north"})},
      {dispatch::keys::job(0, JobNumber{1}),
       dispatch::encodeJob(late).value()}};
  EXPECT_EQ(await(node.cancel(JobNumber{1}, north)), CancelOutcome::NoSuchJob);
  EXPECT_FALSE(await(Store.commit(commit)).value().Applied);
  runFor(500ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  EXPECT_EQ(await(node.submit(late)), SubmitOutcome::Cancelled);
}

// A lost answer must not keep the submission from replacing another account's
// cancellation.
TEST_F(DispatchNodeCalls, ReplacementAfterLostAnswer_IsAccepted) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  await(node.cancel(JobNumber{1}, {"south", false}));
  Store.LoseAnswerForKey = dispatch::keys::job(0, JobNumber{1});
  model::AcceptedJob owned = job(1);
  owned.Account = "north";
  EXPECT_EQ(await(node.submit(owned)), SubmitOutcome::Accepted);
  EXPECT_TRUE(
      runUntil([&] { return stateOf(node, 1) == JobState::Succeeded; }));
}

// Cancellations of unknown jobs cost one write each, however often they are
// repeated.
TEST_F(DispatchNodeCalls, RepeatedCancelOfAnUnknownJob_WritesOnce) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  await(node.cancel(JobNumber{1}));
  std::string stored = Store.valueOf(dispatch::keys::index(JobNumber{1}));
  EXPECT_FALSE(stored.empty());
  runFor(1000ms);
  int before = Store.CommitCalls;
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::NoSuchJob);
  EXPECT_EQ(Store.CommitCalls, before);
}

TEST_F(DispatchNodeOwnership, PlannedStop_HandsOverImmediately) {
  DispatchNode &first = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return first.ownedShards() == 1; }));
  DispatchNode &second = addNode("n2");
  runFor(300ms);
  auto leave = [](DispatchNode &node) -> asio::awaitable<bool> {
    co_await node.leave();
    co_return true;
  };
  EXPECT_TRUE(await(leave(first)));
  EXPECT_TRUE(runUntil([&] { return second.ownedShards() == 1; }, 1000ms));
  EXPECT_EQ(await(second.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_TRUE(
      runUntil([&] { return stateOf(second, 1) == JobState::Succeeded; }));
}

// A process that was paused must not act on what it was allowed before: another
// node may own the shard by now.
TEST_F(DispatchNodeOwnership, PausedOwner_StartsNothingBeforeTheStoreAnswers) {
  Workers.KeepRunning = true;
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  // Three workers hold one such task each; the fourth waits for room.
  model::AcceptedJob large = job(1, 4);
  large.Graph.Steps.resize(1);
  large.Graph.Steps[0].Size.Cpu = base::MilliCores{20000};
  EXPECT_EQ(await(node.submit(large)), SubmitOutcome::Accepted);
  ASSERT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 3; }));
  Store.Unavailable = true;
  Time.Offset += 20s;
  model::WorkerProfile added;
  added.Id = base::WorkerId("w2");
  added.Service = base::ServiceName("desk");
  added.Endpoint = {"10.0.0.1", 8080};
  added.Zone = base::ZoneId("a");
  added.Capacity.Cpu = base::MilliCores{64000};
  added.Capacity.Memory = base::MebiBytes{128000};
  node.updateWorker(added);
  runFor(1000ms);
  EXPECT_EQ(Workers.StartCounts.size(), 3u);
  Store.Unavailable = false;
  EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() >= 4; }));
}

/// Starts a job of four tasks, of which the last one waits for room, and gives
/// it room on demand.
class DispatchNodeRecords : public NodeFixture {
protected:
  DispatchNode &startJobWithAWaitingTask() {
    Workers.KeepRunning = true;
    DispatchNode &node = addNode("n1");
    EXPECT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
    model::AcceptedJob large = job(1, 4);
    large.Graph.Steps.resize(1);
    large.Graph.Steps[0].Size.Cpu = base::MilliCores{20000};
    EXPECT_EQ(await(node.submit(large)), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 3; }));
    runFor(100ms);
    return node;
  }

  static void addRoom(DispatchNode &node) {
    model::WorkerProfile added;
    added.Id = base::WorkerId("w2");
    added.Service = base::ServiceName("desk");
    added.Endpoint = {"10.0.0.1", 8080};
    added.Zone = base::ZoneId("a");
    added.Capacity.Cpu = base::MilliCores{64000};
    added.Capacity.Memory = base::MebiBytes{128000};
    node.updateWorker(added);
  }
};

// The store answers lease renewals, but not the watch of the shard's records,
// so the owner does not learn of a cancellation. Callers expect that no task
// starts 3 s after the cancellation was acknowledged.
TEST_F(DispatchNodeRecords, SilentWatch_StartsNoTaskOfACancelledJob) {
  DispatchNode &node = startJobWithAWaitingTask();
  Store.SilentWatchPrefix = dispatch::keys::shardPrefix(0);
  runFor(100ms);
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  runFor(2000ms);
  addRoom(node);
  runFor(3000ms);
  EXPECT_EQ(Workers.StartCounts.size(), 3u);
  EXPECT_EQ(node.ownedShards(), 1u);
  Store.SilentWatchPrefix.clear();
  EXPECT_TRUE(runUntil([&] { return Workers.StopCounts.size() == 3; }));
  EXPECT_EQ(Workers.StartCounts.size(), 3u);
}

// Starts that were held back go on once the watch is answered.
TEST_F(DispatchNodeRecords, SilentWatchAnsweredAgain_StartsTheWaitingTask) {
  DispatchNode &node = startJobWithAWaitingTask();
  Store.SilentWatchPrefix = dispatch::keys::shardPrefix(0);
  runFor(2500ms);
  addRoom(node);
  runFor(500ms);
  EXPECT_EQ(Workers.StartCounts.size(), 3u);
  Store.SilentWatchPrefix.clear();
  EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 4; }));
}

// A process that was paused for less than the grace period finds answers that
// it has not read yet.
TEST_F(DispatchNodeRecords, PausedOwner_ReadsTheRecordsBeforeItStarts) {
  DispatchNode &node = startJobWithAWaitingTask();
  Store.SilentWatchPrefix = dispatch::keys::shardPrefix(0);
  runFor(50ms);
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  Time.Offset += 4s;
  addRoom(node);
  runFor(300ms);
  EXPECT_EQ(Workers.StartCounts.size(), 3u);
}

// Tasks start through an outage of the whole store of the usual length.
// Operators take a zone out of service and count on no start there after 3 s;
// only the records of the jobs were compared with their age.
TEST_F(DispatchNodeRecords, OldOperatorRecords_StartNothing) {
  Workers.KeepRunning = true;
  DispatchNode &node = addNode("n1");
  dispatch::RecordsAge age{Time.now(), true};
  bool advances = false;
  node.setOperatorRecords([&] {
    if (advances)
      age.AsOf = Time.now();
    return age;
  });
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  runFor(1600ms);
  EXPECT_EQ(await(node.submit(job(1, 1))), SubmitOutcome::Accepted);
  runFor(500ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  // The watch alone fails: other calls are answered.
  age.Reachable = false;
  runFor(500ms);
  EXPECT_TRUE(Workers.StartCounts.empty());
  age.Reachable = advances = true;
  EXPECT_TRUE(
      runUntil([&] { return Workers.StartCounts.size() == 1; }, 2000ms));
}

TEST_F(DispatchNodeRecords, StoreOutage_StartsTheWaitingTask) {
  DispatchNode &node = startJobWithAWaitingTask();
  Store.Unavailable = true;
  runFor(3000ms);
  addRoom(node);
  EXPECT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 4; }, 500ms));
}

// The owner's lease expires and the shard is claimed again. The fencing token
// of the old owner is then too low.
TEST_F(DispatchNodeOwnership, ExpiredLease_IsTakenOverWithAHigherToken) {
  DispatchNode &first = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return first.ownedShards() == 1; }));
  DispatchNode &second = addNode("n2");
  runFor(300ms);
  base::FencingToken before = Workers.Tokens[base::WorkerId("w0")];
  Store.expireLease(dispatch::LeaseId{1});
  EXPECT_TRUE(runUntil([&] {
    return first.ownedShards() + second.ownedShards() == 1 &&
           Store.has(dispatch::keys::shardEntry(0));
  }));
  EXPECT_EQ(await(second.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_TRUE(
      runUntil([&] { return stateOf(second, 1) == JobState::Succeeded; }));
  EXPECT_GE(Workers.Tokens[base::WorkerId("w0")], before);
}

// A claim that takes effect but whose answer is lost must not leave the shard
// without an owner.
// kcs-orders, seed 688545513997: the earlier owner had given the shard up
// seconds before, but nobody else knew, and inherited tasks waited for 15.2 s.
TEST_F(DispatchNodeOwnership, LostShard_IsRecordedAndEndsTheLongWait) {
  ShardLimits.LeaseDuration = 500ms;
  Workers.KeepRunning = true;
  DispatchNode &first = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return first.ownedShards() == 1; }));
  DispatchNode &second = addNode("n2");
  runFor(300ms);
  EXPECT_EQ(await(first.submit(job(1, 1))), SubmitOutcome::Accepted);
  ASSERT_TRUE(runUntil([&] { return Workers.StartCounts.size() == 1; }));
  // The task's worker is gone, and the first node's lease expires.
  for (const auto &[worker, running] : Workers.Running)
    if (!running.empty())
      Workers.Silent.insert(worker);
  ASSERT_EQ(Workers.Silent.size(), 1u);
  EXPECT_EQ(Store.valueOf(dispatch::keys::member("n1")).find("\"0\":1"),
            std::string::npos);
  Store.expireLease(dispatch::LeaseId{1});
  ASSERT_TRUE(runUntil([&] { return second.ownedShards() == 1; }));
  EXPECT_TRUE(runUntil(
      [&] {
        return Store.valueOf(dispatch::keys::member("n1")).find("\"0\":1") !=
               std::string::npos;
      },
      2000ms));
  EXPECT_EQ(first.ownedShards(), 0u);
  // The lease of 0.5 s, not also the 9 s for an owner that may go on.
  EXPECT_TRUE(
      runUntil([&] { return Workers.StartCounts.size() == 2; }, 3000ms));
}

// Found by reading: the entry of a shard that its owner had kept through a new
// lease was attached to none, and outlived the owner.
TEST_F(DispatchNodeOwnership, RejoinedOwner_IsReplacedWhenItIsLost) {
  DispatchNode &first = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return first.ownedShards() == 1; }));
  Store.expireLease(dispatch::LeaseId{1});
  ASSERT_TRUE(
      runUntil([&] { return Store.has(dispatch::keys::shardEntry(0)); }));
  EXPECT_EQ(first.ownedShards(), 1u);
  DispatchNode &second = addNode("n2");
  runFor(300ms);
  Nodes[0].reset();
  for (std::int64_t lease = 1; lease <= 2; ++lease)
    Store.expireLease(dispatch::LeaseId{lease});
  EXPECT_TRUE(runUntil([&] { return second.ownedShards() == 1; }, 3000ms));
}

// review/1: a machine that was removed for good stayed an earlier owner in the
// record of every later term, which made each later owner wait for it.
TEST_F(DispatchNodeOwnership, RemovedOwner_IsForgottenWhenItsPermissionEnds) {
  ShardLimits.OwnerGrace = 600ms;
  DispatchNode &first = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return first.ownedShards() == 1; }));
  DispatchNode &second = addNode("n2");
  DispatchNode &third = addNode("n3");
  runFor(300ms);
  Nodes[0].reset();
  Store.expireLease(dispatch::LeaseId{1});
  auto ownsShard = [](DispatchNode &node) { return node.ownedShards() == 1; };
  ASSERT_TRUE(runUntil([&] { return ownsShard(second) || ownsShard(third); }));
  // Until then it may act: it may be alive and only cut off.
  EXPECT_NE(Store.valueOf(dispatch::keys::owner(0)).find("n1-1"),
            std::string::npos);
  runFor(1700ms);
  DispatchNode &leaving = ownsShard(second) ? second : third;
  DispatchNode &next = ownsShard(second) ? third : second;
  asio::co_spawn(Io, leaving.leave(), asio::detached);
  ASSERT_TRUE(runUntil([&] { return ownsShard(next); }));
  EXPECT_EQ(Store.valueOf(dispatch::keys::owner(0)).find("n1-1"),
            std::string::npos);
}

// Each owner in turn gave a shard up whose roster it could not read.
TEST_F(DispatchNodeOwnership, UnreadableRoster_IsReplacedAfterTheLongestLease) {
  ShardLimits.LeaseDuration = 300ms;
  ShardLimits.OwnerGrace = 1000ms;
  Store.put(dispatch::keys::roster(0), "no roster");
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  runFor(1000ms);
  EXPECT_EQ(Store.valueOf(dispatch::keys::roster(0)), "no roster");
  EXPECT_TRUE(
      runUntil([&] { return stateOf(node, 1) == JobState::Succeeded; }));
  EXPECT_NE(Store.valueOf(dispatch::keys::roster(0)), "no roster");
}

// A poll of a silent worker must not hold its answer back, and a lease that was
// sent counts as received.
TEST_F(DispatchNodeCalls, SilentWorkerAnswers_LeaseIsRenewedAtOnce) {
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 1; }));
  base::WorkerId worker("w1");
  ASSERT_TRUE(runUntil([&] { return Workers.PollCounts[worker] > 2; }));
  EXPECT_GT(Workers.LastPolls[worker].Deadline.count(), 0);
  EXPECT_GT(Workers.LastPolls[worker].Wait.count(), 0);
  Workers.Silent.insert(worker);
  int before = Workers.PollCounts[worker];
  ASSERT_TRUE(
      runUntil([&] { return Workers.PollCounts[worker] > before + 1; }));
  EXPECT_EQ(Workers.LastPolls[worker].Deadline.count(), 0);
  EXPECT_EQ(Workers.LastPolls[worker].Wait.count(), 0);
  Workers.Silent.clear();
  before = Workers.PollCounts[worker];
  ASSERT_TRUE(runUntil([&] { return Workers.PollCounts[worker] > before; }));
  EXPECT_TRUE(runUntil(
      [&] { return Workers.LastPolls[worker].Deadline.count() > 0; }, 200ms));
}

TEST_F(DispatchNodeOwnership, ClaimWithLostAnswer_IsRecovered) {
  Store.LoseAnswerForKey = dispatch::keys::owner(0);
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return Store.LoseAnswerForKey.empty(); }));
  EXPECT_TRUE(runUntil([&] { return node.ownedShards() == 1; }, 3000ms));
  EXPECT_EQ(await(node.submit(job(1))), SubmitOutcome::Accepted);
  EXPECT_TRUE(
      runUntil([&] { return stateOf(node, 1) == JobState::Succeeded; }));
}

// review/6: a node whose lease had expired claimed a shard while it joined
// again. Its entry had no lease, and no other node claimed the shard once that
// node was lost.
TEST_F(DispatchNodeOwnership, ClaimWhileTheLeaseIsReplaced_LeavesNoEntry) {
  // Longer than the interval of the lease's renewal.
  constexpr auto readTime = 200ms, commitTime = 600ms;
  StoreLink link(Store);
  std::size_t claims = 0;
  link.BeforeCommit = [&](const dispatch::Commit &commit) {
    for (const dispatch::Write &it : commit.Writes)
      if (it.Key == dispatch::keys::shardEntry(0)) {
        EXPECT_NE(it.Lease, dispatch::LeaseId{0});
        ++claims;
      }
  };
  Store.put(dispatch::keys::layout(), R"({"shards":1})");
  link.ReadDelay = readTime;
  addNode("n1", link, Workers);
  link.BeforeRead = [&](const std::string &key) {
    if (key != dispatch::keys::owner(0) || link.CommitDelay == commitTime)
      return;
    link.CommitDelay = commitTime;
    Store.expireLease(dispatch::LeaseId{1});
  };
  ASSERT_TRUE(runUntil([&] { return claims > 0; }));
}

// The first node to start after a power failure must not claim every shard: a
// single node is too slow for all of them.
TEST_F(DispatchNodeOwnership, FirstNode_LeavesShardsToTheNext) {
  Store.put(dispatch::keys::layout(), R"({"shards":3})");
  DispatchNode &first = addNode("n1");
  runFor(250ms);
  DispatchNode &second = addNode("n2");
  DispatchNode &third = addNode("n3");
  EXPECT_TRUE(runUntil(
      [&] {
        return first.ownedShards() == 1 && second.ownedShards() == 1 &&
               third.ownedShards() == 1;
      },
      1500ms));
}

// A worker whose entry disappears and returns must stay assigned to its shard:
// two owners of one worker fence each other indefinitely.
TEST_F(DispatchNodeOwnership, ReturningWorker_KeepsItsShard) {
  Store.put(dispatch::keys::layout(), R"({"shards":3})");
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] {
    return Store.valueOf(dispatch::keys::assignment()).find("w2") !=
           std::string::npos;
  }));
  std::string before = Store.valueOf(dispatch::keys::assignment());
  node.unlistWorker(base::WorkerId("w1"));
  // Adding a worker causes the assignment to be stored again.
  model::WorkerProfile added;
  added.Id = base::WorkerId("w9");
  added.Service = base::ServiceName("desk");
  added.Zone = base::ZoneId("a");
  node.updateWorker(added);
  ASSERT_TRUE(runUntil(
      [&] { return Store.valueOf(dispatch::keys::assignment()) != before; }));
  EXPECT_NE(Store.valueOf(dispatch::keys::assignment()).find("w1"),
            std::string::npos);
}

// A job must not wait indefinitely in a shard whose workers cannot run it while
// another shard's workers can. Soak seed 30.
TEST_F(DispatchNodeOwnership, JobWithoutSuitableWorkers_MovesToAnotherShard) {
  Store.put(dispatch::keys::layout(), R"({"shards":2})");
  DispatchNode &node = addNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 2; }));
  for (std::uint64_t id = 1; id <= 6; ++id) {
    model::AcceptedJob waiting = job(id, 1);
    waiting.Graph.Steps[0].Requirement = "large";
    waiting.Account = "north";
    EXPECT_EQ(await(node.submit(waiting)), SubmitOutcome::Accepted);
  }
  model::WorkerProfile large;
  large.Id = base::WorkerId("w9");
  large.Service = base::ServiceName("desk");
  large.Endpoint = {"10.0.0.9", 8080};
  large.Zone = base::ZoneId("a");
  large.Capacity.Cpu = base::MilliCores{32000};
  large.Capacity.Memory = base::MebiBytes{128000};
  large.Labels = {"large"};
  node.updateWorker(large);
  EXPECT_TRUE(runUntil(
      [&] {
        for (std::uint64_t id = 1; id <= 6; ++id)
          if (stateOf(node, id) != JobState::Succeeded)
            return false;
        return true;
      },
      12000ms));
  for (std::uint64_t id = 1; id <= 6; ++id)
    EXPECT_NE(Store.valueOf(dispatch::keys::index(JobNumber{id}))
                  .find(R"("account":"north")"),
              std::string::npos);
  for (const auto &[run, starts] : Workers.StartCounts)
    EXPECT_EQ(starts, 1);
}

/// Adds workers w3 to w5 and a layout of two shards with three workers each,
/// and submits a long-running job of which each shard can run only a half.
class DispatchNodeDelegation : public NodeFixture {
protected:
  static constexpr std::size_t TaskCount = 6;

  DispatchNode &startJobThatFillsTwoShards() {
    Store.put(dispatch::keys::layout(), R"({"shards":2})");
    Workers.KeepRunning = true;
    DispatchNode &node = addNode("n1");
    for (int i = 3; i < 6; ++i) {
      model::WorkerProfile w;
      w.Id = base::WorkerId("w" + std::to_string(i));
      w.Service = base::ServiceName("desk");
      w.Endpoint = {"10.0.0.1", 8080};
      w.Zone = base::ZoneId("a");
      w.Capacity.Cpu = base::MilliCores{32000};
      w.Capacity.Memory = base::MebiBytes{128000};
      node.updateWorker(w);
    }
    EXPECT_TRUE(runUntil([&] { return node.ownedShards() == 2; }));
    runFor(500ms);
    model::AcceptedJob lasting = job(1, TaskCount);
    lasting.Graph.Steps.resize(1);
    lasting.Graph.Steps[0].LongRunning = true;
    lasting.Graph.Steps[0].Size.Cpu = base::MilliCores{20000};
    EXPECT_EQ(await(node.submit(lasting)), SubmitOutcome::Accepted);
    return node;
  }

  std::size_t runningTasks() const {
    std::set<model::TaskKey> tasks;
    for (const auto &[worker, running] : Workers.Running)
      for (const dispatch::RunStatus &it : running)
        tasks.insert(it.Id.Task);
    return tasks.size();
  }
};

// A task of a long-running job must not wait for as long as the job lasts in a
// full shard while another shard has capacity: kcs-orders-large scale-1, where
// all 68 workers of a shard lacked CPU for one of 24 tasks.
TEST_F(DispatchNodeDelegation, FullShard_DelegatesWaitingTasks) {
  startJobThatFillsTwoShards();
  ASSERT_TRUE(runUntil([&] { return runningTasks() == TaskCount; }, 5000ms));
  runFor(500ms);
  EXPECT_EQ(runningTasks(), TaskCount);
  EXPECT_EQ(Workers.StartCounts.size(), TaskCount);
  for (const auto &[run, starts] : Workers.StartCounts)
    EXPECT_EQ(starts, 1);
}

// The caller's cancellation names the job's own shard only.
TEST_F(DispatchNodeDelegation, CancelledJob_EndsInAllShards) {
  DispatchNode &node = startJobThatFillsTwoShards();
  ASSERT_TRUE(runUntil([&] { return runningTasks() == TaskCount; }, 5000ms));
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  EXPECT_TRUE(runUntil([&] { return runningTasks() == 0; }, 2000ms));
  runFor(1000ms);
  for (std::int32_t shard : {0, 1}) {
    EXPECT_FALSE(Store.has(dispatch::keys::job(shard, JobNumber{1}))) << shard;
    EXPECT_FALSE(Store.has(dispatch::keys::progress(shard, JobNumber{1})))
        << shard;
    EXPECT_FALSE(Store.has(dispatch::keys::cancel(shard, JobNumber{1})))
        << shard;
  }
  EXPECT_EQ(stateOf(node, 1), JobState::Cancelled);
}

// The owner of the job's own shard passed the cancellation on; while it did not
// read it, tasks in the other shard went on.
TEST_F(DispatchNodeDelegation, HomeOwnerWithoutStore_PartsAreCancelled) {
  DispatchNode &node = startJobThatFillsTwoShards();
  ASSERT_TRUE(runUntil([&] { return runningTasks() == TaskCount; }, 5000ms));
  bool first =
      Store.valueOf(dispatch::keys::index(JobNumber{1})).find("\"shard\":0") !=
      std::string::npos;
  Store.SilentWatchPrefix = dispatch::keys::shardPrefix(first ? 0 : 1);
  EXPECT_EQ(await(node.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  EXPECT_TRUE(
      runUntil([&] { return runningTasks() <= TaskCount / 2; }, 2000ms));
}

// The answer to the commit that delegates is lost: the tasks must run in one
// shard only.
TEST_F(DispatchNodeDelegation, LostAnswer_TasksRunOnce) {
  startJobThatFillsTwoShards();
  ASSERT_TRUE(runUntil([&] { return runningTasks() >= TaskCount / 2; }));
  std::int32_t own =
      Store.valueOf(dispatch::keys::index(JobNumber{1})).find("\"shard\":0") !=
              std::string::npos
          ? 0
          : 1;
  Store.LoseAnswerForKey = dispatch::keys::job(1 - own, JobNumber{1});
  ASSERT_TRUE(runUntil([&] { return runningTasks() == TaskCount; }, 5000ms));
  EXPECT_TRUE(Store.LoseAnswerForKey.empty());
  runFor(1000ms);
  EXPECT_EQ(Workers.StartCounts.size(), TaskCount);
}

// Both shards change owners: the new owners must know which tasks each of them
// runs, and a cancellation must still reach both.
TEST_F(DispatchNodeDelegation, NewOwners_KeepThePartsApart) {
  DispatchNode &first = startJobThatFillsTwoShards();
  ASSERT_TRUE(runUntil([&] { return runningTasks() == TaskCount; }, 5000ms));
  DispatchNode &second = addNode("n2");
  runFor(300ms);
  auto leave = [](DispatchNode &node) -> asio::awaitable<bool> {
    co_await node.leave();
    co_return true;
  };
  EXPECT_TRUE(await(leave(first)));
  ASSERT_TRUE(runUntil([&] { return second.ownedShards() == 2; }));
  runFor(3000ms);
  EXPECT_EQ(runningTasks(), TaskCount);
  EXPECT_EQ(Workers.StartCounts.size(), TaskCount);
  EXPECT_EQ(await(second.cancel(JobNumber{1})), CancelOutcome::Cancelled);
  EXPECT_TRUE(runUntil([&] { return runningTasks() == 0; }));
}

// A node cannot poll and start on all workers through a slow link: large
// quiet-1 with links of 2 Mbit/s, where one node owned all 85 workers.
TEST_F(DispatchNodeOwnership, SlowLink_MakesSmallerShards) {
  addNode("n1", 1, 0.2);
  ASSERT_TRUE(runUntil([&] { return Store.has(dispatch::keys::layout()); }));
  EXPECT_EQ(Store.valueOf(dispatch::keys::layout()), R"({"shards":2})");
}

TEST_F(DispatchNodeOwnership, SmallOwner_HandsOverToALargerNode) {
  DispatchNode &small = addNode("n1", 0.1);
  ASSERT_TRUE(runUntil([&] { return small.ownedShards() == 1; }));
  DispatchNode &large = addNode("n2", 1);
  EXPECT_TRUE(runUntil([&] { return large.ownedShards() == 1; }));
  EXPECT_EQ(small.ownedShards(), 0u);
  // The shard is not handed back.
  runFor(2000ms);
  EXPECT_EQ(large.ownedShards(), 1u);
}

TEST_F(PrefixMirrorWatch, LostHistory_CausesANewListing) {
  std::map<std::string, std::string> mirrored;
  Store.put("p/a", "1");
  dispatch::PrefixMirror mirror(
      Io.get_executor(), Store, "p/",
      {[&](const dispatch::StoredItem &it) { mirrored[it.Key] = it.Value; },
       [&](const std::string &key) { mirrored.erase(key); }, [] {}},
      Time, Events);
  mirror.start();
  ASSERT_TRUE(runUntil([&] { return mirrored.size() == 1; }));
  Store.PendingHistoryLosses = 1;
  Store.put("p/b", "2");
  Store.erase("p/a");
  EXPECT_TRUE(runUntil([&] {
    return mirrored == std::map<std::string, std::string>{{"p/b", "2"}};
  }));
  EXPECT_GE(Store.ListCalls, 2);
  Store.Unavailable = true;
  runFor(300ms);
  Store.Unavailable = false;
  Store.put("p/c", "3");
  EXPECT_TRUE(runUntil([&] { return mirrored.contains("p/c"); }));
}

TEST(Records, Handover_RoundTrips) {
  model::AcceptedJob job;
  job.Id = JobNumber{1};
  job.Queue = "q";
  job.Policy.Service = base::ServiceName("s");
  job.Graph.Steps.resize(1);
  dispatch::JobHandover handover;
  handover.LastRun = 7;
  handover.Progress.Occurrences.push_back({1, false, {{0, 2, true, {3}, ""}}});
  auto decoded =
      dispatch::decodeHandover(dispatch::encodeJob(job, &handover).value());
  ASSERT_TRUE(decoded && decoded.value());
  EXPECT_EQ(decoded.value()->LastRun, 7);
  ASSERT_EQ(decoded.value()->Progress.Occurrences.size(), 1u);
  EXPECT_TRUE(decoded.value()->Progress.Occurrences[0].Tasks[0].Done);
  EXPECT_FALSE(
      dispatch::decodeHandover(dispatch::encodeJob(job).value()).value());
  EXPECT_FALSE(dispatch::decodeHandover(R"({"progress":7,"lastRun":1})"));
}

RC_GTEST_PROP(Records, Job_RoundTrips, ()) {
  model::AcceptedJob job;
  job.Id = JobNumber{*rc::gen::arbitrary<std::uint64_t>()};
  job.Queue = "q";
  job.Account = *rc::gen::element<std::string>("", "north", "\"\\\xc3\xa9");
  job.Policy.Service = base::ServiceName("s");
  job.Policy.MaxAttempts = *rc::gen::inRange(1, 9);
  job.Graph.Payload =
      *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
  model::StepSpec step;
  step.Count = *rc::gen::inRange(1, 100);
  step.Size.Cpu = base::MilliCores{*rc::gen::inRange(0, 90000)};
  step.Filler = *rc::gen::arbitrary<bool>();
  step.Image = "i1";
  job.Graph.Steps = {step, step};
  job.Graph.Steps[1].Dependencies = {0};
  auto decoded = dispatch::decodeJob(job.Id, dispatch::encodeJob(job).value());
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded.value().Account == job.Account);
  RC_ASSERT(dispatch::encodeJob(decoded.value()).value() ==
            dispatch::encodeJob(job).value());
}

TEST(Records, Index_RoundTripsAndReadsOlderEntries) {
  auto older = dispatch::decodeIndex(R"({"shard":3,"state":4})");
  ASSERT_TRUE(older);
  EXPECT_EQ(older.value().Shard, 3);
  EXPECT_FALSE(older.value().NeverStored);
  auto never = dispatch::decodeIndex(
      dispatch::encodeIndex({0, JobState::Cancelled, true}));
  ASSERT_TRUE(never);
  EXPECT_TRUE(never.value().NeverStored);
  std::string text = dispatch::encodeIndex({2, JobState::Queued});
  EXPECT_EQ(text, R"({"shard":2,"state":0})");
  EXPECT_EQ(older.value().Account, "");
  auto account = dispatch::decodeIndex(
      dispatch::encodeIndex({5, JobState::Running, false, "north"}));
  ASSERT_TRUE(account);
  EXPECT_EQ(account.value().Account, "north");
  EXPECT_EQ(account.value().State, JobState::Running);
}

// Records of jobs without an account stay readable for earlier versions, and
// their records for this one.
TEST(Records, JobWithoutAccount_HasNoSuchField) {
  model::AcceptedJob job;
  job.Queue = "q";
  job.Policy.Service = base::ServiceName("s");
  std::string text = dispatch::encodeJob(job).value();
  EXPECT_EQ(text.find("account"), std::string::npos);
  EXPECT_EQ(dispatch::decodeJob(job.Id, text).value().Account, "");
}

TEST(Records, MalformedAccount_IsRejected) {
  for (const std::string &it :
       {std::string("7"), std::string("null"), std::string("[]"),
        '"' + std::string(257, 'a') + '"'}) {
    EXPECT_FALSE(
        dispatch::decodeIndex(R"({"shard":2,"state":0,"account":)" + it + "}"))
        << it;
    EXPECT_FALSE(dispatch::decodeJob(
        JobNumber{1},
        R"({"queue":"q","service":"s","steps":[],"account":)" + it + "}"))
        << it;
  }
  model::AcceptedJob job;
  job.Queue = "q";
  job.Policy.Service = base::ServiceName("s");
  job.Account = std::string(257, 'a');
  EXPECT_FALSE(dispatch::encodeJob(job));
}

TEST(Records, MalformedText_IsRejected) {
  for (const char *it : {"", "[]", "{\"steps\":3}", "{\"queue\":1}", "null"}) {
    EXPECT_FALSE(dispatch::decodeJob(JobNumber{1}, it)) << it;
  }
  EXPECT_FALSE(dispatch::decodeIndex("{\"state\":9}"));
  EXPECT_FALSE(dispatch::parseJobNumber("12345678901234567"));
  EXPECT_FALSE(dispatch::parseJobNumber("xyz"));
}

} // namespace
