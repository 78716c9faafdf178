// Regression tests for faults found on the users' test bench: takeovers that
// stop or repeat running tasks, lost cancellations, and wrong accounting of
// free capacity.
#include "support/ShardFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

using ShardTakeover = ShardFixture;
using ShardStart = ShardFixture;
using ShardCancel = ShardFixture;

dispatch::RunStatus runningStatus(std::uint64_t job, std::int32_t index,
                                  std::int64_t run) {
  return {{{JobNumber{job}, 0, 0, index}, run}, "", 100, 0, false};
}

// A new owner must account for the runs that an earlier owner started.
TEST_F(ShardTakeover, ReportedRuns_KeepTheirResources) {
  model::StepSpec longRunning = step(6, 5000);
  longRunning.LongRunning = true;
  longRunning.Target = 18ms;
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}},
                           {{2, now(), true}}, now());
  TestShard.addJob(job(1, {longRunning}), 5, true, now());
  PollReport report;
  for (std::int32_t i = 0; i < 6; ++i)
    report.Running.push_back(runningStatus(1, i, 1));
  addWorker("w1", report);
  TestShard.addJob(job(2, {step(1)}), 200, false, now());
  EXPECT_TRUE(plan().empty());
  poll("w1", report);
  EXPECT_TRUE(plan().empty());
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  // The waiting task needs 4 cores, but only 2 are free.
  EXPECT_EQ(count(TestShard.load().ShortTaskHeadroom),
            WorkerMilliCores - 30000 - 4000);
  // No further long-running task of 5 cores fits in addition to the six.
  EXPECT_EQ(count(TestShard.load().LongRunningHeadroom), 0);
}

// An unreachable worker may still run tasks of jobs inherited from an earlier
// owner.
TEST_F(ShardTakeover, SilentWorker_BlocksInheritedJobsOnly) {
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}},
                            {base::WorkerId("w2"), {"10.0.0.2", 8080}}},
                           {{2, now(), true}}, now());
  TestShard.addJob(job(1, {step(1)}), 5, true, now());
  TestShard.addJob(job(2, {step(1)}), 200, false, now());
  addWorker("w2");
  std::vector<WorkerCommand> commands = plan();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].Run.Task.Job, JobNumber{2});
  EXPECT_EQ(commands[0].Run.Number, 1);
  confirmStarts(commands);
  Time.advance(30s);
  plan();
  poll("w2");
  commands = plan();
  EXPECT_TRUE(std::any_of(
      commands.begin(), commands.end(), [](const WorkerCommand &it) {
        return it.Run.Task.Job == JobNumber{1} && it.Run.Number > 1024;
      }));
}

// A delayed entry from before a worker's latest restart must not count as
// another restart: the tasks on that worker would be started a second time
// elsewhere.
TEST_F(ShardStart, EntryOfAnEarlierIncarnation_LosesNoRuns) {
  addWorker("w1");
  PollReport report;
  report.StartTime = 2000ms;
  poll("w1", report);
  model::WorkerProfile reborn = worker("w1");
  reborn.StartTime = 2000ms;
  TestShard.updateWorker(reborn, now());
  poll("w1", report);
  useAfterRestart("w1", report);
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  Time.advance(50ms);
  report.Running.push_back(runningStatus(1, 0, orders[0].Run.Number));
  poll("w1", report);
  TestShard.updateWorker(worker("w1"), now());
  addWorker("w2");
  EXPECT_TRUE(plan().empty());
}

// A start command that reaches a worker just after a crash runs in the new
// incarnation. Soak seed 13: the entry of the new incarnation came later, and
// the task was started again.
TEST_F(ShardStart, StartInNewIncarnation_IsNotRepeated) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  model::WorkerProfile reborn = worker("w1");
  reborn.StartTime = 2000ms;
  TestShard.updateWorker(reborn, now());
  addWorker("w2");
  EXPECT_TRUE(plan().empty());
  PollReport report;
  report.StartTime = 2000ms;
  report.Running.push_back(runningStatus(1, 0, orders[0].Run.Number));
  poll("w1", report);
  Time.advance(1s);
  EXPECT_TRUE(plan().empty());
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
}

// review/8: a worker that refuses starts made all jobs that were tried there
// count as begun.
TEST_F(ShardStart, RefusedOrUnansweredStart_LeavesTheJobPending) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  TestShard.addJob(job(2, {step(1)}), 201, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  EXPECT_EQ(TestShard.load().Pending["q"], 2);
  TestShard.onStart(orders[0], CommandResult::Unhealthy, now());
  TestShard.onStart(orders[1], base::fail(base::Errc::WorkerAnswerLost, ""),
                    now());
  EXPECT_EQ(TestShard.load().Pending["q"], 2);
  PollReport report;
  report.Running.push_back({orders[1].Run, "", 100, 0, false});
  poll("w1", report);
  EXPECT_EQ(TestShard.load().Pending["q"], 1);
  EXPECT_EQ(TestShard.takeStartedMarks(9).size(), 1u);
}

TEST_F(ShardStart, RunOfAnEarlierIncarnation_StartsElsewhereImmediately) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  Time.advance(50ms);
  PollReport report;
  report.Running.push_back(runningStatus(1, 0, orders[0].Run.Number));
  poll("w1", report);
  addWorker("w2");
  model::WorkerProfile reborn = worker("w1");
  reborn.StartTime = 2000ms;
  TestShard.updateWorker(reborn, now());
  // The crash and the next run are stored before the run starts.
  EXPECT_TRUE(plan().empty());
  storeWrites();
  EXPECT_EQ(plan().size(), 1u);
}

// After a power failure, a worker that never returns must not delay all
// inherited tasks for as long as a live earlier owner could renew its lease.
TEST_F(ShardTakeover, EndedOwner_ShortensTheWait) {
  auto startsAfter = [&](base::Duration time) {
    Time.advance(time);
    return !plan().empty();
  };
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}},
                           {{2, now(), true}}, now());
  TestShard.addJob(job(1, {step(1)}), 5, true, now());
  addWorker("w2");
  EXPECT_FALSE(startsAfter(1s));
  TestShard.onEarlierOwnersEnded(now());
  EXPECT_FALSE(startsAfter(6s));
  poll("w2");
  EXPECT_TRUE(startsAfter(300ms));
}

// The resource usage of a run whose job has ended is unknown.
TEST_F(ShardTakeover, RunOfUnknownJob_BlocksStartsOnItsWorker) {
  PollReport report;
  report.Running.push_back(runningStatus(9, 0, 1));
  addWorker("w1", report);
  TestShard.addJob(job(2, {step(1)}), 200, false, now());
  EXPECT_TRUE(plan().empty());
  Time.advance(1s);
  ASSERT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
  poll("w1");
  EXPECT_EQ(plan().size(), 1u);
}

// Cancel records come before job records in a listing.
TEST_F(ShardCancel, ReadBeforeItsJob_StartsNothing) {
  addWorker("w1");
  TestShard.cancelJob(JobNumber{1}, now());
  TestShard.addJob(job(1, {step(1)}), 5, true, now());
  EXPECT_TRUE(plan().empty());
}

TEST_F(ShardCancel, RunningTask_IsStoppedAndItsRecordsRemoved) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 5, false, now());
  confirmStarts(plan());
  TestShard.cancelJob(JobNumber{1}, now());
  std::vector<WorkerCommand> stops = plan(WorkerCommand::Kind::Stop);
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_TRUE(TestShard.takeWrites(10).empty());
  PollReport report;
  report.Ended = {{1, stops[0].Run, RunOutcome::Stopped, ""}};
  poll("w1", report);
  plan();
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(10);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].Final, model::JobState::Cancelled);
}

/// Returns a field of the latest event with a code, or "" if there is none.
std::string lastField(const base::EventLog &events, base::EventCode code,
                      const std::string &name) {
  std::string value;
  for (const base::EventRecord &it : events.snapshot())
    if (it.Code == code)
      for (const base::EventField &field : it.Fields)
        if (field.first == name)
          value = field.second;
  return value;
}

// Without the age of the records and the cause of a stop, the log of a day does
// not tell why a task of a cancelled job was started.
TEST_F(ShardStart, Log_NamesTheAgeOfTheRecords) {
  addWorker("w1");
  TestShard.setRecordsAsOf(now());
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  Time.advance(500ms);
  ASSERT_EQ(plan().size(), 1u);
  EXPECT_EQ(lastField(Events, base::EventCode::RunStarted, "recordsMs"), "510");
}

// A start that has been decided on and waits to be sent must not leave after
// the job's cancellation has been read.
TEST_F(ShardCancel, StartNotSentYet_IsWithdrawn) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_TRUE(TestShard.isStartWanted(orders[0]));
  TestShard.cancelJob(JobNumber{1}, now());
  EXPECT_FALSE(TestShard.isStartWanted(orders[0]));
  TestShard.withdrawStart(orders[0]);
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  EXPECT_EQ(count(TestShard.load().ShortTaskHeadroom), WorkerMilliCores);
}

TEST_F(ShardCancel, Log_NamesTheCauseOfAStop) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  confirmStarts(plan());
  PollReport report;
  report.Running = {runningStatus(1, 0, 1), runningStatus(9, 0, 1)};
  poll("w1", report);
  ASSERT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
  EXPECT_EQ(lastField(Events, base::EventCode::StopSent, "cause"),
            "unknown run");
  TestShard.cancelJob(JobNumber{1}, now());
  ASSERT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
  EXPECT_EQ(lastField(Events, base::EventCode::StopSent, "cause"), "job ended");
  // A repeated stop keeps its first cause.
  Time.advance(800ms);
  ASSERT_EQ(plan(WorkerCommand::Kind::Stop).size(), 2u);
}

/// Starts of a worker whose polls are answered.
class ShardStartDeadline : public ShardFixture {
protected:
  dispatch::WorkerTime clock() const {
    return std::chrono::duration_cast<dispatch::WorkerTime>(
        now().time_since_epoch());
  }
  /// Sends a poll that is not answered, as the next command finds it.
  void sendPoll() {
    Pending = *TestShard.nextPoll(base::WorkerId("w1"), now(), true);
    PendingSent = now();
  }
  void answerPoll(std::vector<dispatch::RunStatus> running) {
    PollReport report;
    report.Clock = clock();
    report.StartTime = 1000ms;
    report.Running = std::move(running);
    TestShard.onPoll(base::WorkerId("w1"), report, PendingSent, now());
  }
  /// Adds a worker with an idle poll that is waiting.
  void addPolledWorker() {
    addWorker("w1");
    poll("w1");
    sendPoll();
    TestShard.addJob(job(1, {step(1)}), 200, false, now());
  }

  dispatch::PlannedPoll Pending;
  base::TimePoint PendingSent;
};

// A worker carries out a start command until its deadline, however long it was
// delayed on the way: it must refuse it before the time in which a cancellation
// must take effect.
TEST_F(ShardStartDeadline, DelayedStart_IsRefusedAfter1500Ms) {
  addPolledWorker();
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_LE(orders[0].Deadline, clock() + 1500ms);
  EXPECT_GE(orders[0].Deadline, clock() + 1400ms);
}

// The poll that was waiting at the idle worker is answered 2 s after the start,
// or not at all; the lease must last until the next one has extended it.
TEST_F(ShardStartDeadline, WaitingPoll_LeaseOutlastsThePollAfterIt) {
  addPolledWorker();
  confirmStarts(plan());
  dispatch::WorkerTime held = Pending.Request.Deadline;
  // Timeout of the waiting poll, delay before the next one, and its way.
  Time.advance(3500ms);
  EXPECT_GT(held, clock());
  EXPECT_TRUE(plan().empty());
  sendPoll();
  EXPECT_GT(Pending.Request.Deadline, clock() + 5900ms);
  answerPoll({runningStatus(1, 0, 1)});
  EXPECT_TRUE(plan().empty());
}

// It is not known whether the worker has received the lease of a poll that was
// not answered, and the next poll requests none, so the first start after the
// silence must bring one that lasts.
TEST_F(ShardStartDeadline, UnansweredPolls_StartBringsAWholeLease) {
  addPolledWorker();
  Time.advance(3200ms);
  TestShard.onPollFailed(base::WorkerId("w1"), "no answer", now());
  sendPoll();
  EXPECT_TRUE(plan().empty());
  answerPoll({});
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_GT(orders[0].Deadline, clock() + 5500ms);
}

// A node that was paused for 2 s finds the answer of the poll late.
TEST_F(ShardStartDeadline, PausedOwner_KeepsTheRun) {
  addPolledWorker();
  std::vector<WorkerCommand> orders = plan();
  confirmStarts(orders);
  dispatch::WorkerTime held = Pending.Request.Deadline;
  Time.advance(2000ms);
  answerPoll({runningStatus(1, 0, 1)});
  Time.advance(2000ms);
  EXPECT_GT(held, clock());
  sendPoll();
  EXPECT_TRUE(plan().empty());
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
}

TEST_F(ShardStart, FullWorker_GetsNoMoreStarts) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(9)}), 5, false, now());
  EXPECT_EQ(plan().size(), 8u);
  EXPECT_TRUE(plan().empty());
}

// A worker discards an ended run once it is acknowledged.
TEST_F(ShardStart, EndedRun_IsAcknowledgedOnlyAfterItIsStored) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(2)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  confirmStarts(orders);
  PollReport report;
  report.Ended = {{1, orders[0].Run, RunOutcome::Done, ""}};
  report.Running = {{orders[1].Run, "", 50, 0, false}};
  poll("w1", report);
  auto seen = [&] {
    return TestShard.nextPoll(base::WorkerId("w1"), now(), true)
        ->Request.AcknowledgedEnd;
  };
  EXPECT_EQ(seen(), 0);
  storeWrites();
  EXPECT_EQ(seen(), 1);
}

TEST_F(ShardStart, LostAnswer_IsStoppedBeforeTheTaskStartsElsewhere) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  TestShard.onStart(orders[0],
                    base::fail(base::Errc::WorkerAnswerLost, "timeout"), now());
  Time.advance(1s);
  EXPECT_TRUE(plan().empty());
  Time.advance(1s);
  std::vector<WorkerCommand> stops = plan(WorkerCommand::Kind::Stop);
  ASSERT_EQ(stops.size(), 1u);
  TestShard.onStop(stops[0], CommandResult::Done, now());
  Time.advance(1ms);
  poll("w1");
  EXPECT_TRUE(plan().empty());
  Time.advance(dispatch::MaxCallDelay);
  poll("w1");
  orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Number, 2);
}

TEST_F(ShardStart, ExpiredLease_ReleasesTheTask) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 5, false, now());
  confirmStarts(plan());
  Time.advance(5s);
  EXPECT_TRUE(plan().empty());
  addWorker("w2");
  EXPECT_TRUE(plan().empty());
  Time.advance(2s);
  poll("w2");
  EXPECT_EQ(plan().size(), 1u);
}

// A worker that is only slow to report must keep what it runs: starting it
// again elsewhere would run it twice, giving it up would lose it.
TEST_F(ShardStart, SilenceWithinTheLease_NeitherRepeatsNorDropsTheRun) {
  addWorker("w1");
  addWorker("w2");
  TestShard.addJob(job(1, {step(1)}), 5, false, now());
  auto orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  std::string silent = orders[0].Worker.Id.str();
  std::string other = silent == "w1" ? "w2" : "w1";
  for (int i = 0; i < 5; ++i) {
    TestShard.onPollFailed(base::WorkerId(silent), "timeout", now());
    Time.advance(1s);
    poll(other);
    EXPECT_TRUE(plan().empty());
    EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  }
  PollReport report;
  report.Running.push_back({orders[0].Run, "", 100, 0, false});
  poll(silent, report);
  report = {};
  report.Ended.push_back({1, orders[0].Run, RunOutcome::Done, ""});
  poll(silent, report);
  auto writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].Final, model::JobState::Succeeded);
}

// After a change of owner, the roster still names workers that have left the
// directory meanwhile. They must be asked what they run, but get no work.
TEST_F(ShardTakeover, WorkerThatHasLeft_GetsNoStarts) {
  TestShard.markUnverified({{base::WorkerId("gone"), {"10.0.0.9", 8080}}}, {},
                           now());
  EXPECT_TRUE(TestShard.hasWorker(base::WorkerId("gone")));
  poll("gone");
  TestShard.addJob(job(1, {step(1)}), 5, false, now());
  EXPECT_TRUE(plan().empty());
  addWorker("w1");
  auto orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Worker.Id.str(), "w1");
}

using ShardPlacement = ShardFixture;

TEST_F(ShardPlacement, DrainingWorker_GetsNoStarts) {
  addWorker("w1");
  model::WorkerProfile draining = worker("w1");
  draining.Draining = true;
  TestShard.updateWorker(draining, now());
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  EXPECT_TRUE(plan().empty());
  addWorker("w2");
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Worker.Id, base::WorkerId("w2"));
}

TEST_F(ShardPlacement, ZoneOutOfService_GetsNoStarts) {
  addWorker("w1");
  TestShard.setZonesOutOfService({base::ZoneId("a")});
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  EXPECT_TRUE(plan().empty());
  TestShard.setZonesOutOfService({});
  EXPECT_EQ(plan().size(), 1u);
}

// A gang member that starts without the others waits for them and wastes its
// resources.
TEST_F(ShardPlacement, Gang_StartsAsAWholeWithOneRunNumber) {
  addWorker("w1");
  model::StepSpec gang = step(3, 16000);
  gang.Gang = true;
  TestShard.addJob(job(1, {gang}), 200, false, now());
  EXPECT_TRUE(plan().empty());
  addWorker("w2");
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 3u);
  for (const WorkerCommand &it : orders)
    EXPECT_EQ(it.Run.Number, orders[0].Run.Number);
}

TEST_F(ShardPlacement, GangWithAFailedMember_IsStoppedAndRestarted) {
  addWorker("w1");
  model::StepSpec gang = step(2, 1000);
  gang.Gang = true;
  TestShard.addJob(job(1, {gang}), 200, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  confirmStarts(orders);
  PollReport report;
  report.Ended.push_back({1, orders[0].Run, RunOutcome::Failed, ""});
  report.Running.push_back(runningStatus(1, orders[1].Run.Task.Index, 1));
  poll("w1", report);
  std::vector<WorkerCommand> stops = plan(WorkerCommand::Kind::Stop);
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].Run, orders[1].Run);
  PollReport ended;
  ended.Ended.push_back({2, orders[1].Run, RunOutcome::GangBroken, ""});
  poll("w1", ended);
  orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  EXPECT_EQ(orders[0].Run.Number, 2);
}

TEST_F(ShardPlacement, DueTimes_StartOneOccurrenceEach) {
  addWorker("w1");
  model::AcceptedJob repeated = job(1, {step(1)});
  repeated.Graph.Occurrences = 2;
  repeated.Graph.FirstDue =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.wallNow().time_since_epoch()) +
      1000ms;
  repeated.Graph.Interval = 500ms;
  TestShard.addJob(repeated, 200, false, now());
  EXPECT_TRUE(plan().empty());
  Time.advance(1000ms);
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task.Occurrence, 0);
  Time.advance(500ms);
  orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task.Occurrence, 1);
}

/// A shard with one worker that runs two of three tasks of a long-running job.
class ShardDelegation : public ShardFixture {
protected:
  void SetUp() override {
    addWorker("w1");
    model::StepSpec lasting = step(3, 15000);
    lasting.LongRunning = true;
    TestShard.addJob(job(1, {lasting}), 1, false, now());
    Started = plan();
    ASSERT_EQ(Started.size(), 2u);
    confirmStarts(Started);
    Time.advance(2s);
    plan();
  }

  /// The list of a worker on which both tasks still run.
  PollReport running() const {
    PollReport report;
    for (const WorkerCommand &it : Started)
      report.Running.push_back({it.Run, "", 100, 0, false});
    return report;
  }

  PollReport stopped() const {
    PollReport report;
    std::int64_t n = 0;
    for (const WorkerCommand &it : Started)
      report.Ended.push_back({++n, it.Run, RunOutcome::Stopped, ""});
    return report;
  }

  std::vector<WorkerCommand> Started;
};

// The first jobs of the table were offered again and again, and later ones
// never.
TEST_F(ShardDelegation, SeveralWaitingJobs_AreOfferedInTurn) {
  for (std::uint64_t id = 2; id <= 5; ++id) {
    model::StepSpec lasting = step(2, 400);
    lasting.LongRunning = true;
    lasting.MaxPerWorker = 1;
    TestShard.addJob(job(id, {lasting}), 1, false, now());
  }
  confirmStarts(plan());
  Time.advance(2s);
  plan();
  std::set<std::uint64_t> offered;
  for (int i = 0; i < 5; ++i) {
    auto offers = TestShard.takeDelegations(1, now());
    ASSERT_EQ(offers.size(), 1u) << i;
    offered.insert(static_cast<std::uint64_t>(offers[0].Job.Id));
    TestShard.onDelegationFinished(offers[0], std::nullopt, 0, now());
    Time.advance(400ms);
  }
  EXPECT_EQ(offered.size(), 5u);
}

// A plan during an offer took the step as served, so its wait began anew.
TEST_F(ShardDelegation, DeclinedTask_KeepsItsWait) {
  auto offers = TestShard.takeDelegations(1, now());
  ASSERT_EQ(offers.size(), 1u);
  auto waited = offers[0].Part.Waited;
  EXPECT_GE(waited, 2s);
  plan();
  TestShard.onDelegationFinished(offers[0], std::nullopt, 0, now());
  Time.advance(2s);
  plan();
  offers = TestShard.takeDelegations(1, now());
  ASSERT_EQ(offers.size(), 1u);
  EXPECT_GE(offers[0].Part.Waited, waited + 2s);
}

// While the offer is in flight another shard may have taken the task already.
TEST_F(ShardDelegation, OfferedTask_IsNotStartedHere) {
  auto offers = TestShard.takeDelegations(4, now());
  ASSERT_EQ(offers.size(), 1u);
  ASSERT_EQ(offers[0].Part.Tasks.size(), 1u);
  EXPECT_EQ(offers[0].Part.Tasks[0].Index, 2);
  addWorker("w2");
  poll("w1", running());
  EXPECT_TRUE(plan().empty());
  TestShard.delegate(offers[0], 5);
  TestShard.onDelegationFinished(offers[0], 5, 9, now());
  EXPECT_TRUE(plan().empty());
}

TEST_F(ShardDelegation, DeclinedTask_IsStartedHereOnceThereIsRoom) {
  auto offers = TestShard.takeDelegations(4, now());
  ASSERT_EQ(offers.size(), 1u);
  TestShard.onDelegationFinished(offers[0], std::nullopt, 0, now());
  EXPECT_TRUE(TestShard.takeDelegations(4, now()).empty());
  addWorker("w2");
  EXPECT_EQ(plan().size(), 1u);
}

// The job's records name the shards that the cancellation must reach; they must
// not be forgotten because the runs here end first.
TEST_F(ShardDelegation, CancelledJob_IsRemovedOnlyAfterOtherShardsKnow) {
  auto offers = TestShard.takeDelegations(4, now());
  ASSERT_EQ(offers.size(), 1u);
  TestShard.delegate(offers[0], 5);
  TestShard.onDelegationFinished(offers[0], 5, 9, now());
  TestShard.cancelJob(JobNumber{1}, now());
  poll("w1", stopped());
  plan();
  plan();
  EXPECT_TRUE(TestShard.takeWrites(9).empty());
  auto forwards = TestShard.takeCancelForwards(9);
  ASSERT_EQ(forwards.size(), 1u);
  EXPECT_EQ(forwards[0].Shard, 5);
  TestShard.onCancelForwards(forwards, false);
  EXPECT_TRUE(TestShard.hasWrites());
  forwards = TestShard.takeCancelForwards(9);
  ASSERT_EQ(forwards.size(), 1u);
  TestShard.onCancelForwards(forwards, true);
  plan();
  auto writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].Final, model::JobState::Cancelled);
}

// An order that a worker carries out late starts a task that another shard runs
// by then.
TEST_F(ShardDelegation, LateStartOfADelegatedTask_IsStopped) {
  auto offers = TestShard.takeDelegations(4, now());
  ASSERT_EQ(offers.size(), 1u);
  TestShard.delegate(offers[0], 5);
  TestShard.onDelegationFinished(offers[0], 5, 9, now());
  PollReport report = running();
  report.Running.push_back({{{JobNumber{1}, 0, 0, 2}, 7}, "", 100, 0, false});
  poll("w1", report);
  auto stops = plan(WorkerCommand::Kind::Stop);
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].Run.Number, 7);
}

/// A worker with one serving task of target 18 ms and three fillers, of which
/// the model holds each responsible for a loss of 2.7 targets per response
/// time.
class ShardInterference : public ShardFixture {
protected:
  static constexpr std::int64_t TargetMs = 18;

  void SetUp() override {
    addWorker("w1");
    model::StepSpec serving = step(1, 8000);
    serving.LongRunning = true;
    serving.Target = std::chrono::milliseconds(TargetMs);
    serving.Image = "service";
    model::StepSpec fillers = step(3, 3200);
    fillers.Filler = true;
    fillers.Image = "filler";
    fillers.Estimate = 60s;
    TestShard.addJob(job(1, {serving}), 1, false, now());
    TestShard.addJob(job(2, {fillers}), 2, false, now());
    Runs = plan();
    ASSERT_EQ(Runs.size(), 4u);
    confirmStarts(Runs);
    Time.advance(1s);
  }

  void learnHarm() {
    for (int i = 0; i < 400; ++i) {
      double share = 0.01 * (i % 10);
      TestShard.colocationModel().observe("service", 27 * share,
                                          {{"filler", share}});
    }
  }

  void report(std::int64_t servedMs) {
    PollReport report;
    for (const WorkerCommand &it : Runs)
      report.Running.push_back(
          {it.Run, "", 100, it.Run.Task.Job == JobNumber{1} ? servedMs : 3200,
           true});
    report.Ended = Ended;
    poll("w1", report);
  }

  /// Lists a run as stopped from now on.
  void endRun(const RunId &run) {
    std::erase_if(Runs, [&](const auto &it) { return it.Run == run; });
    Ended.push_back({std::ssize(Ended) + 1, run, RunOutcome::Stopped, ""});
  }

  std::vector<WorkerCommand> Runs;
  std::vector<dispatch::EndedRun> Ended;
};

// A filler that is stopped while the target is met loses its work for nothing:
// on large scale-1 fillers were stopped at 17 ms of 18, 29% of all runs.
TEST_F(ShardInterference, TargetMet_StopsNoFiller) {
  learnHarm();
  report(TargetMs - 1);
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  report(TargetMs);
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
}

// The gauge shows the effect of a stop only half a second later.
TEST_F(ShardInterference, TargetMissed_StopsOneFillerAndWaitsForTheGauge) {
  learnHarm();
  report(TargetMs * 3);
  std::vector<WorkerCommand> stops = plan(WorkerCommand::Kind::Stop);
  ASSERT_EQ(stops.size(), 1u);
  endRun(stops[0].Run);
  Time.advance(300ms);
  report(TargetMs * 3);
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  Time.advance(400ms);
  report(TargetMs * 3);
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
}

// If the model names no cause, all fillers are paused before the time limit; if
// that helps and all went on, the target would be missed again and again.
TEST_F(ShardInterference, PauseThatHelped_IsFollowedByOneStop) {
  std::vector<WorkerCommand> throttles;
  for (int i = 0; i < 8 && throttles.empty(); ++i) {
    report(TargetMs * 3);
    throttles = plan(WorkerCommand::Kind::Throttle);
    Time.advance(300ms);
  }
  ASSERT_EQ(throttles.size(), 3u);
  EXPECT_EQ(throttles[0].SpeedPercent, 0);
  Time.advance(700ms);
  report(TargetMs / 2);
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
}

// A speed limit that the worker refuses as fenced has no effect: its token was
// renewed while the command was on the way.
TEST_F(ShardInterference, FencedPause_IsSentAgain) {
  std::vector<WorkerCommand> throttles;
  for (int i = 0; i < 8 && throttles.empty(); ++i) {
    report(TargetMs * 3);
    throttles = plan(WorkerCommand::Kind::Throttle);
    Time.advance(300ms);
  }
  ASSERT_EQ(throttles.size(), 3u);
  TestShard.onThrottle(throttles[0], CommandResult::Done);
  TestShard.onThrottle(throttles[1], CommandResult::Fenced);
  TestShard.onThrottle(throttles[2], CommandResult::Done);
  report(TargetMs * 3);
  std::vector<WorkerCommand> again = plan(WorkerCommand::Kind::Throttle);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].Run, throttles[1].Run);
}

// A filler that the model holds harmful beside every serving task of every
// shard must not wait forever while the workers are nearly idle: large quiet-1
// --small seed 3, where a job moved between shards five times and never ran.
TEST_F(ShardInterference, HarmfulEverywhere_OneRunAfterStarvation) {
  for (int i = 0; i < 400; ++i) {
    double share = 0.01 * (i % 10);
    TestShard.colocationModel().observe("service", 40 * share,
                                        {{"harmful", share}});
  }
  model::StepSpec fillers = step(3, 3200);
  fillers.Filler = true;
  fillers.Image = "harmful";
  TestShard.addJob(job(3, {fillers}), 3, false, now());
  base::TimePoint added = now();
  while (now() - added < 2400ms) {
    EXPECT_TRUE(plan().empty());
    Time.advance(140ms);
  }
  Time.advance(300ms);
  EXPECT_EQ(plan().size(), 1u);
  EXPECT_TRUE(plan().empty());
}

} // namespace
