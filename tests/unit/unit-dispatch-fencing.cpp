// A change of the owner while the earlier owner, or a worker that it uses, is
// alive and only cut off: no task may run twice, however soon the next owner
// starts it.
#include "support/LeasedWorkers.h"
#include "support/NodeFixture.h"
#include "support/ShardFixture.h"
#include "support/StoreLink.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

/// Two nodes with a connection to the store each. The first owns the shard and
/// has started a long-running task.
class IsolatedOwner : public NodeFixture {
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
TEST_F(IsolatedOwner, ExtendsLeases_TaskStartsElsewhereOnceTheyHaveEnded) {
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

// The store may take a key away without a word to its owner, whose lease is
// still renewed. The permission ends all the same.
TEST_F(IsolatedOwner, RenewedLeaseWithoutTheShard_RenewsNoPermission) {
  Links[0]->Cut = Links[0]->RenewalsPass = true;
  Leased.isolate(Leased.Starts[0].Worker);
  Store.erase(dispatch::keys::shardEntry(0));
  ASSERT_TRUE(runUntil([&] { return Leased.Starts.size() == 2; }, 6000ms));
  EXPECT_LT(Leased.leaseEnd(Leased.Starts[0].Worker), Leased.Starts[1].At);
}

// A node that joins again with a new lease owns its shard only once the entry
// of the shard is attached to it: until then, another node may claim the shard.
TEST_F(IsolatedOwner, EntryNotAttachedToTheNewLease_RenewsNoPermission) {
  Nodes.pop_back();
  base::WorkerId worker = Leased.Starts[0].Worker;
  Links[0]->FailingKey = dispatch::keys::shardEntry(0);
  base::TimePoint expired = Time.now();
  Store.expireLease(dispatch::LeaseId{1});
  runFor(2500ms);
  EXPECT_LT(Leased.leaseEnd(worker), expired + Grace + 300ms);
  Links[0]->FailingKey.clear();
  EXPECT_TRUE(
      runUntil([&] { return Leased.leaseEnd(worker) > Time.now() + 1s; }));
}

// review/2 on seeds 5 and 6: the lease of a node that took longer than that to
// release its shards expired, and the next owner had to wait for it.
TEST_F(IsolatedOwner, SlowRelease_KeepsTheLease) {
  Links[0]->CommitDelay = 800ms;
  int before = Links[0]->Renewals;
  asio::co_spawn(Io, First->leave(), asio::detached);
  runFor(750ms);
  // The lease takes 0.4 s.
  EXPECT_GT(Links[0]->Renewals, before + 3);
  EXPECT_TRUE(runUntil([&] { return Second->ownedShards() == 1; }, 8000ms));
}

/// The first shard runs on workers that the next one inherits.
class ShardHandover : public ShardFixture {
protected:
  static constexpr std::uint64_t Running = 1, Waiting = 2;

  void SetUp() override {
    addWorker("w1");
    TestShard.addJob(job(Running, {step(2)}), 5, false, now());
    Started = plan();
    ASSERT_EQ(Started.size(), 2u);
    confirmStarts(Started);
    for (const WorkerCommand &it : Started)
      Report.Running.push_back({it.Run, "", 100, 4000, true});
    poll("w1", Report);
    TestShard.addJob(job(Waiting, {step(2)}), 6, false, now());
  }

  /// Starts the next term; w1 is alive, but does not answer it.
  void handOver(const std::vector<dispatch::FormerTerm> &former) {
    Next.markUnverified(TestShard.roster(), former, now());
    Next.addJob(job(Running, {step(2)}), 5, true, now());
    Next.addJob(job(Waiting, {step(2)}), 6, true, now());
    Next.updateWorker(worker("w2"), now());
    pollNext();
    Next.onRosterStored(Next.roster());
  }

  void pollNext() {
    Next.nextPoll(base::WorkerId("w2"), now(), true);
    PollReport report;
    report.Clock = std::chrono::duration_cast<std::chrono::milliseconds>(
        now().time_since_epoch());
    report.StartTime = 1000ms;
    for (const WorkerCommand &it : StartedByNext)
      report.Running.push_back({it.Run, "", 100, 4000, true});
    base::TimePoint sent = now();
    Time.advance(1ms);
    Next.onPoll(base::WorkerId("w2"), report, sent, now());
  }

  std::size_t startsOf(std::uint64_t job) {
    pollNext();
    std::size_t n = 0;
    for (const WorkerCommand &it : Next.plan(now(), Time.wallNow(), true)) {
      if (it.Type != WorkerCommand::Kind::Start)
        continue;
      StartedByNext.push_back(it);
      Next.onStart(it, CommandResult::Done, now());
    }
    for (const WorkerCommand &it : StartedByNext)
      n += it.Run.Task.Job == JobNumber{job};
    return n;
  }

  std::size_t startsWithoutStore() {
    Time.advance(10ms);
    std::vector<WorkerCommand> orders =
        TestShard.plan(now(), Time.wallNow(), true);
    return static_cast<std::size_t>(
        std::count_if(orders.begin(), orders.end(), [](const auto &it) {
          return it.Type == WorkerCommand::Kind::Start;
        }));
  }

  std::vector<WorkerCommand> Started, StartedByNext;
  PollReport Report;
  Shard Next{{}, 0, Term + 1, base::FencingToken{8}, Events, MetricsRegistry};
};

// review/2: each worker that had left, in planned work, held back all inherited
// tasks of the shard. The tasks that it may run still wait for its lease.
TEST_F(ShardHandover, WorkerThatDrained_HoldsOnlyTheTasksThatItMayRun) {
  model::WorkerProfile draining = worker("w1");
  draining.Draining = true;
  TestShard.updateWorker(draining, now());
  TestShard.plan(now(), Time.wallNow(), true);
  TestShard.unlistWorker(base::WorkerId("w1"));
  handOver({{Term, now(), false}});
  EXPECT_EQ(startsOf(Waiting), 2u);
  Time.advance(6s);
  EXPECT_EQ(startsOf(Running), 0u);
  Time.advance(300ms);
  EXPECT_EQ(startsOf(Running), 2u);
}

// A planned release lists what runs on each worker, also on one that the owner
// does not know to be silent.
TEST_F(ShardHandover, PlannedRelease_HoldsOnlyTheTasksThatRun) {
  TestShard.close(now());
  handOver({{Term, now(), false}});
  EXPECT_EQ(startsOf(Waiting), 2u);
  EXPECT_EQ(startsOf(Running), 0u);
}

// review/2 on seed 3, TWICE 6 with the first version of the list: a task that
// had ended was started again, since only the list of its worker showed the
// end.
TEST_F(ShardHandover, EndThatWasNotStored_HoldsItsTask) {
  PollReport report;
  report.Ended = {{1, Started[0].Run, RunOutcome::Done, ""},
                  {2, Started[1].Run, RunOutcome::Done, ""}};
  poll("w1", report);
  TestShard.close(now());
  handOver({{Term, now(), false}});
  EXPECT_EQ(startsOf(Waiting), 2u);
  EXPECT_EQ(startsOf(Running), 0u);
}

// A lost owner may have started any task on a worker that it used.
TEST_F(ShardHandover, WorkerInUse_HoldsAllTasks) {
  handOver({{Term, now(), true}});
  Time.advance(8s);
  EXPECT_EQ(startsOf(Waiting), 0u);
  Time.advance(400ms);
  EXPECT_EQ(startsOf(Waiting), 2u);
}

// review/3: two owners were lost one after the other, and the wait for a worker
// that only the first could have used began anew with the second.
TEST_F(ShardHandover, WorkerThatTheLastOwnerNeverReached_IsNotWaitedForAgain) {
  base::TimePoint lost = now() - 8s;
  handOver({{Term, lost, true}, {Term + 1, now(), true}});
  EXPECT_EQ(startsOf(Waiting), 0u);
  Time.advance(400ms);
  EXPECT_EQ(startsOf(Waiting), 2u);
}

// The next owner's node may have started after the replacement of an owner, and
// would wait for it from then on.
TEST_F(ShardHandover, InheritedWait_GoesOnWhereItWas) {
  TestShard.markUnverified({{base::WorkerId("w3"), {"10.0.0.3", 8080}, 1}},
                           {{1, now(), false}, {2, now(), false}}, now());
  Time.advance(4s);
  TestShard.close(now());
  handOver({{Term, now(), false}});
  EXPECT_EQ(startsOf(Waiting), 0u);
  Time.advance(2300ms);
  EXPECT_EQ(startsOf(Waiting), 2u);
}

// srsl-main-grown, mix, seed 43: a worker is lost, then its owner, then the
// next one. Its tasks wait for the lease that the first owner could request,
// not for one of each owner.
TEST_F(ShardHandover, WorkerThenTwoOwnersLost_TasksStartOnceTheLeaseHasEnded) {
  TestShard.onPollFailed(base::WorkerId("w1"), "timeout", now());
  TestShard.plan(now(), Time.wallNow(), true);
  TestShard.unlistWorker(base::WorkerId("w1"));
  TestShard.plan(now(), Time.wallNow(), true);
  Time.advance(5s);
  base::TimePoint replaced = now();
  handOver({{Term, replaced, true}});
  EXPECT_EQ(startsOf(Running), 0u);
  Time.advance(2s);
  Shard last{{}, 0, Term + 2, base::FencingToken{9}, Events, MetricsRegistry};
  last.markUnverified(Next.roster(),
                      {{Term, replaced, true}, {Term + 1, now(), true}}, now());
  last.addJob(job(Running, {step(2)}), 5, true, now());
  last.addJob(job(Waiting, {step(2)}), 6, true, now());
  last.updateWorker(worker("w2"), now());
  std::optional<base::TimePoint> started;
  while (!started && now() - replaced < 20s) {
    PollReport report;
    report.Clock = std::chrono::duration_cast<std::chrono::milliseconds>(
        now().time_since_epoch());
    report.StartTime = 1000ms;
    for (const WorkerCommand &it : StartedByNext)
      report.Running.push_back({it.Run, "", 100, 4000, true});
    last.nextPoll(base::WorkerId("w2"), now(), true);
    last.onPoll(base::WorkerId("w2"), report, now(), now());
    last.onRosterStored(last.roster());
    for (const WorkerCommand &it : last.plan(now(), Time.wallNow(), true))
      if (it.Type == WorkerCommand::Kind::Start &&
          it.Run.Task.Job == JobNumber{Running})
        started = now();
    Time.advance(50ms);
  }
  ASSERT_TRUE(started);
  EXPECT_GE(*started - replaced, 8s);
  EXPECT_LE(*started - replaced, 8400ms);
}

// The fence of both: a later owner trusts the roster to name the last term that
// could use a worker.
TEST_F(ShardHandover, InheritedWorker_GetsNothingBeforeTheRosterNamesTheTerm) {
  Next.markUnverified(TestShard.roster(), {{Term, now(), true}}, now());
  Next.addJob(job(Waiting, {step(2)}), 6, true, now());
  Next.updateWorker(worker("w2"), now());
  pollNext();
  auto lease = [&] {
    return Next.nextPoll(base::WorkerId("w2"), now(), true)->Request.Deadline;
  };
  Time.advance(9s);
  EXPECT_EQ(startsOf(Waiting), 0u);
  EXPECT_EQ(lease().count(), 0);
  Next.onRosterStored(Next.roster());
  EXPECT_EQ(startsOf(Waiting), 2u);
  EXPECT_GT(lease().count(), 0);
}

// Found by reading: the runs of all workers would have lapsed, since no roster
// is stored before an unreadable one is known to matter no more.
TEST_F(ShardHandover, UnreadableRoster_LeasesAreRenewed) {
  Next.markRosterUnknown(now());
  Next.updateWorker(worker("w2"), now());
  pollNext();
  EXPECT_GT(Next.nextPoll(base::WorkerId("w2"), now(), true)
                ->Request.Deadline.count(),
            0);
}

// The fence of the lists: a worker that is alive and was only silent gets no
// start while a list without that task may be stored, also if the write of the
// list was not answered.
TEST_F(ShardHandover, SilentWorkerAnswers_GetsNoStartWhileItsListMayBeStored) {
  poll("w1", Report);
  TestShard.onPollFailed(base::WorkerId("w1"), "timeout", now());
  EXPECT_EQ(startsWithoutStore(), 0u);
  std::vector<dispatch::RosterEntry> listed = TestShard.roster();
  ASSERT_TRUE(listed.at(0).Tasks);
  EXPECT_EQ(listed[0].Tasks->size(), 2u);
  TestShard.onRosterSent(listed);
  poll("w1", Report);
  EXPECT_EQ(startsWithoutStore(), 0u);
  EXPECT_FALSE(TestShard.roster().at(0).Tasks);
  storeRoster();
  EXPECT_EQ(startsWithoutStore(), 2u);
}

/// A job that no worker of the shard suits, inherited from an owner that is
/// cut off with a worker that runs one of its tasks.
class JobOfACutOffOwner : public ShardFixture {
protected:
  /// A run that the cut-off owner has started.
  static constexpr std::int64_t EarlierRun = (Term - 2) * 1024 + 5;

  std::optional<dispatch::JobMove> moveJob() {
    model::AcceptedJob moved = job(1, {step(1, WorkerMilliCores + 1)});
    TestShard.addJob(moved, 5, true, now());
    addWorker("w1");
    for (int i = 0; i < 5; ++i) {
      plan();
      Time.advance(1s);
      poll("w1");
    }
    std::vector<dispatch::JobMove> moves = TestShard.takeMoves(1, now());
    return moves.empty() ? std::nullopt : std::optional(moves[0]);
  }
};

// Run numbers began anew in the other shard, so that an end of the cut-off
// owner's run was newer than the run that had taken its place.
TEST_F(JobOfACutOffOwner, JobMoves_RunNumbersGoOnAfterThoseOfAllTerms) {
  std::optional<dispatch::JobMove> move = moveJob();
  ASSERT_TRUE(move);
  EXPECT_GT(move->Handover.LastRun, EarlierRun);
  dispatch::JobHandover handover =
      dispatch::decodeHandover(
          dispatch::encodeJob(move->Job, &move->Handover).value())
          .value()
          .value();
  Shard next{{}, 1, 1, base::FencingToken{9}, Events, MetricsRegistry};
  model::AcceptedJob moved = move->Job;
  moved.Graph.Steps[0].Size.Cpu = base::MilliCores{4000};
  next.addJob(moved, 500, false, now());
  next.restore(JobNumber{1}, handover);
  // The job still counts as pending.
  EXPECT_EQ(next.load().Pending["q"], 1);
  next.updateWorker(worker("w2"), now());
  next.nextPoll(base::WorkerId("w2"), now(), true);
  PollReport report;
  report.Clock = 5s;
  report.StartTime = 1000ms;
  next.onPoll(base::WorkerId("w2"), report, now(), now());
  next.onRosterStored(next.roster());
  std::vector<WorkerCommand> orders = next.plan(now(), Time.wallNow(), true);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_GT(orders[0].Run.Number, EarlierRun);
}

// Both owners of the other shard began after the numbers that came with the
// job, so the end of the first one's run ended that of the second.
TEST_F(JobOfACutOffOwner, OwnersAfterTheMove_UseDifferentRunNumbers) {
  std::optional<dispatch::JobMove> move = moveJob();
  ASSERT_TRUE(move);
  model::AcceptedJob moved = move->Job;
  moved.Graph.Steps[0].Size.Cpu = base::MilliCores{4000};
  std::vector<std::int64_t> numbers;
  for (std::int64_t term : {1, 2, 3}) {
    Shard owner{{}, 1, term, base::FencingToken{9}, Events, MetricsRegistry};
    owner.addJob(moved, 500, term > 1, now());
    owner.restore(JobNumber{1}, move->Handover);
    owner.updateWorker(worker("w2"), now());
    owner.nextPoll(base::WorkerId("w2"), now(), true);
    PollReport report;
    report.Clock = 5s;
    report.StartTime = 1000ms;
    owner.onPoll(base::WorkerId("w2"), report, now(), now());
    owner.onRosterStored(owner.roster());
    for (const WorkerCommand &it : owner.plan(now(), Time.wallNow(), true))
      numbers.push_back(it.Run.Number);
  }
  ASSERT_EQ(numbers.size(), 3u);
  EXPECT_GE(numbers[1], numbers[0] + 1024);
  EXPECT_GE(numbers[2], numbers[1] + 1024);
}

} // namespace
