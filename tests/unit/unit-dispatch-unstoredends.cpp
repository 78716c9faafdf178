// Ends of runs that an owner has read and not stored, while the worker leaves
// its tables: the next owner must find the tasks in the roster. Fault: a task
// starts again after its end, because only the earlier owner knew of it.
#include "support/NodeFixture.h"
#include "support/ShardFixture.h"
#include "support/StoreLink.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

/// An owner has read the end of a task on w1 and not stored it. The next owner
/// can use w2.
class UnstoredEnds : public ShardFixture {
protected:
  static constexpr std::uint64_t Ended = 1;

  /// A step that keeps the job from being complete.
  static model::StepSpec stepAfter(std::int32_t before) {
    model::StepSpec s = step(1);
    s.Dependencies = {before};
    return s;
  }

  void SetUp() override { readEnd(step(1)); }

  void readEnd(const model::StepSpec &first) {
    addWorker("w1");
    TestShard.addJob(job(Ended, {first, stepAfter(0)}), 5, false, now());
    std::vector<WorkerCommand> orders = plan();
    ASSERT_EQ(orders.size(), 1u);
    confirmStarts(orders);
    Run = orders[0].Run;
    poll("w1", listOfEnd());
  }

  PollReport listOfEnd() const {
    PollReport report;
    report.Ended = {{1, Run, RunOutcome::Done, ""}};
    return report;
  }

  void planWithoutStore(Shard &shard) {
    Time.advance(10ms);
    shard.plan(now(), Time.wallNow(), true);
  }

  void fallSilent(Shard &shard, const std::string &id) {
    shard.onPollFailed(base::WorkerId(id), "no answer in time", now());
  }

  /// Starts the next term from the roster at hand; w1 has not answered it yet.
  void handOver(const std::vector<dispatch::FormerTerm> &former = {}) {
    Next.markUnverified(TestShard.roster(), former, now());
    Next.addJob(job(Ended, {step(1), stepAfter(0)}), 5, true, now());
    Next.updateWorker(worker("w1"), now());
    Next.updateWorker(worker("w2"), now());
    answerNext("w2", {});
    Next.onRosterSent(Next.roster());
    Next.onRosterStored(Next.roster());
  }

  void answerNext(const std::string &id, PollReport report) {
    Next.nextPoll(base::WorkerId(id), now(), true);
    report.Clock = std::chrono::duration_cast<std::chrono::milliseconds>(
        now().time_since_epoch());
    if (report.StartTime == 0ms)
      report.StartTime = 1000ms;
    base::TimePoint sent = now();
    Time.advance(1ms);
    Next.onPoll(base::WorkerId(id), report, sent, now());
  }

  /// Returns how often the next owner starts the task within a time, while w1
  /// does not answer.
  std::size_t startsByNext(std::chrono::milliseconds time) {
    std::size_t n = 0;
    for (std::chrono::milliseconds i{0}; i < time; i += 100ms) {
      Time.advance(100ms);
      answerNext("w2", {});
      for (const WorkerCommand &it : Next.plan(now(), Time.wallNow(), true))
        n += it.Type == WorkerCommand::Kind::Start && it.Run.Task == Run.Task;
    }
    return n;
  }

  bool hasRow(const std::string &id) {
    std::vector<dispatch::RosterEntry> rows = TestShard.roster();
    return std::any_of(rows.begin(), rows.end(), [&](const auto &it) {
      return it.Id == base::WorkerId(id);
    });
  }

  RunId Run;
  Shard Next{{}, 0, Term + 1, base::FencingToken{8}, Events, MetricsRegistry};
};

// Issue 75, TWICE 6 on srsl-main: the entries of all workers had expired with
// the leases of the store, and the worker left the roster before its ends were
// stored.
TEST_F(UnstoredEnds, EntryRemoved_TaskIsHeldByTheNextOwner) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
  answerNext("w1", listOfEnd());
  EXPECT_EQ(startsByNext(8s), 0u);
}

TEST_F(UnstoredEnds, SilentAndEntryRemoved_TaskIsHeldByTheNextOwner) {
  fallSilent(TestShard, "w1");
  planWithoutStore(TestShard);
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

TEST_F(UnstoredEnds, LeaseExpiredAndEntryRemoved_TaskIsHeldByTheNextOwner) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  poll("w1", listOfEnd());
  fallSilent(TestShard, "w1");
  Time.advance(8s);
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

TEST_F(UnstoredEnds, ClosedAndEntryRemoved_TaskIsHeldByTheNextOwner) {
  TestShard.close(now());
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

TEST_F(UnstoredEnds, LeaseOfASilentWorkerExpired_TaskIsHeldByTheNextOwner) {
  fallSilent(TestShard, "w1");
  Time.advance(8s);
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

// The start time in the entry may be wrong; then the worker still lists the
// end. An answer of the new incarnation ends the wait.
TEST_F(UnstoredEnds, WorkerRestarted_TaskStaysInTheRoster) {
  model::WorkerProfile restarted = worker("w1");
  restarted.StartTime = 2000ms;
  TestShard.updateWorker(restarted, now());
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

// The new incarnation has answered: no list has the end any more, and waiting
// would not bring it back.
TEST_F(UnstoredEnds, RestartedWorkerAnswers_RowListsNothing) {
  PollReport restarted;
  restarted.StartTime = 2000ms;
  poll("w1", restarted);
  poll("w1", restarted);
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  for (const dispatch::RosterEntry &it : TestShard.roster())
    EXPECT_TRUE(it.Tasks && it.Tasks->empty());
}

TEST_F(UnstoredEnds, WorkerRestartedAndEntryRemoved_TaskStaysInTheRoster) {
  model::WorkerProfile restarted = worker("w1");
  restarted.StartTime = 2000ms;
  TestShard.updateWorker(restarted, now());
  planWithoutStore(TestShard);
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

TEST_F(UnstoredEnds, OtherInstanceAnswers_TaskStaysInTheRoster) {
  PollReport other;
  other.WrongIncarnation = true;
  poll("w1", other);
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  handOver();
  EXPECT_EQ(startsByNext(3s), 0u);
}

// The price of the row: once the record is stored, it goes, and the next owner
// waits for nothing.
TEST_F(UnstoredEnds, StoredAfterTheEntryWasRemoved_RowIsDropped) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  EXPECT_TRUE(hasRow("w1"));
  storeWrites();
  planWithoutStore(TestShard);
  EXPECT_FALSE(hasRow("w1"));
}

TEST_F(UnstoredEnds, StoredAfterARestart_RowListsNothing) {
  model::WorkerProfile restarted = worker("w1");
  restarted.StartTime = 2000ms;
  TestShard.updateWorker(restarted, now());
  planWithoutStore(TestShard);
  storeWrites();
  planWithoutStore(TestShard);
  std::vector<dispatch::RosterEntry> rows = TestShard.roster();
  ASSERT_EQ(rows.size(), 1u);
  EXPECT_TRUE(rows[0].Tasks && rows[0].Tasks->empty());
}

TEST_F(UnstoredEnds, JobCancelled_RowIsDropped) {
  TestShard.cancelJob(JobNumber{Ended}, now());
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  EXPECT_FALSE(hasRow("w1"));
}

// The worker comes back under its id: what it still lists is known already.
TEST_F(UnstoredEnds, WorkerReturns_OnlyTheNextStepStarts) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  addWorker("w1", listOfEnd());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task.Step, 1);
}

/// The step is long-running: its end is no reason to wait.
class UnstoredEndOfALongRunningTask : public UnstoredEnds {
protected:
  void SetUp() override {
    model::StepSpec serving = step(1);
    serving.LongRunning = true;
    readEnd(serving);
  }
};

// The price: callers count a long-running task as lost after 6 s.
TEST_F(UnstoredEndOfALongRunningTask, EntryRemoved_HoldsNothing) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  EXPECT_FALSE(hasRow("w1"));
}

/// The job runs for an earlier owner on w1, whose list of ends is so long that
/// its first answer has only a part of it.
class PartlyReadWorker : public UnstoredEnds {
protected:
  void SetUp() override {
    Run = {{JobNumber{Ended}, 0, 0, 0}, 1};
    TestShard.markUnverified(
        {{base::WorkerId("w1"), {"10.0.0.1", 8080}, Term - 1}},
        {{Term - 1, now(), false}}, now());
    TestShard.addJob(job(Ended, {step(1), stepAfter(0)}), 5, true, now());
    TestShard.updateWorker(worker("w1"), now());
    PollReport report = listOfEnd();
    report.MoreEnded = true;
    poll("w1", report);
    fallSilent(TestShard, "w1");
  }
};

// The row of the earlier owner went with its lease, and with it the task.
TEST_F(PartlyReadWorker, LeaseOfTheEarlierOwnerExpired_TaskStaysInTheRoster) {
  Time.advance(8s);
  planWithoutStore(TestShard);
  handOver({{Term - 1, now() - 8s, false}, {Term, now(), false}});
  EXPECT_EQ(startsByNext(3s), 0u);
}

// A row without a list would hold all inherited tasks of the next owner.
TEST_F(PartlyReadWorker, UnreadableEndAndLeaseExpired_RowListsTheKnownTask) {
  PollReport report = listOfEnd();
  report.MoreEnded = true;
  report.UnreadableEnds = {2};
  poll("w1", report);
  fallSilent(TestShard, "w1");
  Time.advance(8s);
  planWithoutStore(TestShard);
  std::vector<dispatch::RosterEntry> rows = TestShard.roster();
  ASSERT_EQ(rows.size(), 1u);
  EXPECT_EQ(rows[0].Tasks, std::vector<TaskKey>{Run.Task});
}

TEST_F(PartlyReadWorker, LeaseExpiredAndEntryRemoved_TaskStaysInTheRoster) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  Time.advance(8s);
  planWithoutStore(TestShard);
  handOver({{Term - 1, now() - 8s, false}, {Term, now(), false}});
  EXPECT_EQ(startsByNext(3s), 0u);
}

// Guards against an owner that polls a worker without an entry for as long as
// it answers, also once it belongs to another shard.
TEST_F(UnstoredEnds, AnswersWithoutAnEntryAndEndIsStored_IsForgotten) {
  TestShard.unlistWorker(base::WorkerId("w1"));
  planWithoutStore(TestShard);
  poll("w1", listOfEnd());
  planWithoutStore(TestShard);
  EXPECT_TRUE(TestShard.hasWorker(base::WorkerId("w1")));
  storeWrites();
  poll("w1");
  planWithoutStore(TestShard);
  EXPECT_FALSE(TestShard.hasWorker(base::WorkerId("w1")));
}

// A run that must be stopped is forgotten with its worker as well: nobody would
// stop it any more.
TEST_F(UnstoredEnds, RunOfAnUnknownJobAndEntryRemoved_IsStoppedAllTheSame) {
  storeWrites();
  PollReport report;
  report.Running = {{{{JobNumber{9}, 0, 0, 0}, 1}, "", 100, 0, false}};
  poll("w1", report);
  TestShard.unlistWorker(base::WorkerId("w1"));
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
  EXPECT_TRUE(TestShard.hasWorker(base::WorkerId("w1")));
  Time.advance(1s);
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
}

/// Two nodes and one store. The first node has read the end of a task and
/// stores its roster, but not the progress of the job.
class OwnerWithoutProgressRecords : public NodeFixture {
protected:
  void SetUp() override {
    Link.FailingKey = dispatch::keys::progress(0, JobNumber{1});
    First = &addNode("n1", Link, Workers);
    ASSERT_TRUE(runUntil([&] { return First->ownedShards() == 1; }));
    Second = &addNode("n2");
    model::AcceptedJob task = job(1, 1);
    // Fits no worker, so that the job goes on.
    task.Graph.Steps[1].Size.Cpu = base::MilliCores{64000};
    ASSERT_EQ(await(First->submit(task)), dispatch::SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([&] { return !Workers.StartCounts.empty(); }));
    runFor(200ms);
    for (const auto &[id, ends] : Workers.EndedRuns)
      if (!ends.empty())
        Used = id;
  }

  /// The store ends the lease of the first node.
  void replaceOwner() {
    Link.Cut = true;
    Store.expireLease(dispatch::LeaseId{1});
    ASSERT_TRUE(runUntil([&] { return Second->ownedShards() == 1; }));
  }

  StoreLink Link{Store};
  DispatchNode *First = nullptr;
  DispatchNode *Second = nullptr;
  /// The worker that has run the task.
  base::WorkerId Used;
};

// Issue 75 with whole owners: the next one started the task before the worker
// had answered its first poll.
TEST_F(OwnerWithoutProgressRecords,
       EntriesRemoved_NextOwnerStartsNothingTwice) {
  Workers.Silent.insert(Used);
  runFor(10ms);
  for (const char *it : {"w0", "w1", "w2"})
    First->unlistWorker(base::WorkerId(it));
  runFor(300ms);
  replaceOwner();
  runFor(1000ms);
  EXPECT_EQ(Workers.StartCounts.size(), 1u);
  Workers.Silent.clear();
  runFor(1000ms);
  EXPECT_EQ(Workers.StartCounts.size(), 1u);
}

} // namespace
