// Load pattern: workers that stop answering, for a while or for good, with
// tasks on them. Faults of a wait whose end depends on the party that is gone.
#include "support/ShardFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

/// A worker "lost" with one task, and an idle worker "other" that answers.
class SilentWorker : public ShardFixture {
protected:
  void SetUp() override {
    addWorker("lost");
    poll("lost");
    TestShard.addJob(job(1, {step(1)}), 200, false, now());
    Started = plan();
    ASSERT_EQ(Started.size(), 1u);
    confirmStarts(Started);
    report("lost");
    addWorker("other");
  }

  /// Lists the task as running on a worker, and ends that happened there.
  void report(const std::string &id, std::vector<dispatch::EndedRun> ended = {},
              std::chrono::milliseconds startTime = 1000ms) {
    PollReport report;
    if (ended.empty())
      report.Running.push_back({Started[0].Run, "", 100, 4000, true});
    report.Ended = std::move(ended);
    report.StartTime = startTime;
    poll(id, report);
    LastLease = now();
  }

  /// Lets the poll of the lost worker time out, as the runner does, and polls
  /// the other one.
  void failPoll(bool mayExtendLeases = true) {
    Planned =
        *TestShard.nextPoll(base::WorkerId("lost"), now(), mayExtendLeases);
    if (Planned.Request.Deadline.count() != 0)
      LastLease = now();
    Time.advance(900ms);
    TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
    Time.advance(300ms);
    poll("other");
  }

  std::vector<WorkerCommand> Started;
  dispatch::PlannedPoll Planned;
  /// When the latest poll that requested a lease was sent.
  base::TimePoint LastLease;
};

// A poll of a silent worker that requests a lease moves the end of the lease on
// with each repetition: on hajar-endive, seed 1, the tasks of a lost worker
// waited until the end of the day.
TEST_F(SilentWorker, LostForGood_TaskStartsElsewhereAfterTheLease) {
  std::optional<base::Duration> started;
  base::TimePoint begin = now();
  while (!started && now() - begin < 20s) {
    failPoll();
    for (int i = 0; i < 8 && !started; ++i) {
      std::vector<WorkerCommand> orders = plan();
      if (!orders.empty()) {
        EXPECT_EQ(orders[0].Worker.Id.str(), "other");
        started = now() - LastLease;
      }
    }
  }
  ASSERT_TRUE(started);
  EXPECT_GE(*started, 6200ms);
  // One cycle of the polls in this test, in which nothing is planned.
  EXPECT_LE(*started, 6230ms + 1300ms);
}

// Restarted before the lease has expired, the task runs twice.
TEST_F(SilentWorker, LeaseOfTheLastPoll_IsWaitedFor) {
  failPoll();
  while (now() - LastLease < 6190ms) {
    ASSERT_TRUE(plan().empty());
    poll("other");
  }
  while (now() - LastLease < 6250ms)
    if (!plan().empty())
      return;
  FAIL() << "the task was not started after the lease";
}

// A long wait delays the renewal of the lease by up to 2 s once the worker
// answers again.
TEST_F(SilentWorker, Poll_RequestsNoLeaseUntilTheFirstAnswer) {
  failPoll();
  EXPECT_FALSE(Planned.Silent);
  EXPECT_GT(Planned.Request.Deadline.count(), 0);
  failPoll();
  EXPECT_TRUE(Planned.Silent);
  EXPECT_EQ(Planned.Request.Deadline.count(), 0);
  report("lost");
  EXPECT_TRUE(plan().empty());
  dispatch::PlannedPoll next =
      *TestShard.nextPoll(base::WorkerId("lost"), now(), true);
  EXPECT_FALSE(next.Silent);
  EXPECT_GT(next.Request.Deadline,
            std::chrono::duration_cast<dispatch::WorkerTime>(
                now().time_since_epoch()) +
                5900ms);
  EXPECT_TRUE(next.HasRuns);
}

// A start on a worker that is gone costs its task the whole lease.
TEST_F(SilentWorker, NewTasks_StartElsewhere) {
  failPoll();
  TestShard.addJob(job(2, {step(6)}), 201, false, now());
  std::vector<WorkerCommand> orders = plan();
  EXPECT_EQ(orders.size(), 6u);
  for (const WorkerCommand &it : orders)
    EXPECT_EQ(it.Worker.Id.str(), "other");
}

// A start that is decided on and not sent yet when its worker falls silent must
// not extend the lease there.
TEST_F(SilentWorker, StartNotSentYet_IsWithdrawn) {
  TestShard.addJob(job(2, {step(12)}), 201, false, now());
  std::vector<WorkerCommand> orders = plan();
  auto it = std::find_if(orders.begin(), orders.end(), [](const auto &order) {
    return order.Worker.Id.str() == "lost";
  });
  ASSERT_NE(it, orders.end());
  EXPECT_TRUE(TestShard.isStartWanted(*it));
  TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
  EXPECT_FALSE(TestShard.isStartWanted(*it));
}

// 108 stop commands were sent to one lost worker: a run without reports counted
// as stuck, and the command was repeated every 0.7 s.
TEST_F(SilentWorker, RunWithoutReports_IsNotStopped) {
  failPoll();
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
    Time.advance(100ms);
  }
  // The silence says nothing about whether the run was idle.
  PollReport idle;
  idle.Running.push_back({Started[0].Run, "", 100, 0, true});
  poll("lost", idle);
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
}

// Commands to a worker that is gone take the place of others on a slow link.
TEST_F(SilentWorker, UnansweredStops_BackOffAndEndWithTheLease) {
  TestShard.cancelJob(JobNumber{1}, now());
  base::TimePoint begin = now();
  TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
  std::vector<std::chrono::milliseconds> sent;
  while (now() - begin < 20s)
    if (!plan(WorkerCommand::Kind::Stop).empty())
      sent.push_back(
          std::chrono::duration_cast<std::chrono::milliseconds>(now() - begin));
  // After 0.7 s, 1.4 s and 2.8 s more; the next one would be due after the end
  // of the lease.
  ASSERT_EQ(sent.size(), 4u);
  EXPECT_EQ(sent[1] - sent[0], 700ms);
  EXPECT_EQ(sent[2] - sent[1], 1400ms);
  EXPECT_EQ(sent[3] - sent[2], 2800ms);
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].Final, model::JobState::Cancelled);
}

// The back-off of the silence must not delay the stop of a cancelled task once
// the worker answers.
TEST_F(SilentWorker, AnsweringAgain_GetsTheStopAtOnce) {
  TestShard.cancelJob(JobNumber{1}, now());
  TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
  for (int i = 0; i < 300; ++i)
    plan(WorkerCommand::Kind::Stop);
  report("lost");
  Time.advance(700ms);
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
}

// The size of a run of an unknown task is unknown, so the commands to stop it
// must end with the lease as well.
TEST_F(SilentWorker, UnknownRun_IsForgottenWithTheLease) {
  PollReport unknown;
  unknown.Running.push_back({{{JobNumber{9}, 0, 0, 0}, 1}, "", 100, 0, false});
  poll("other", unknown);
  TestShard.onPollFailed(base::WorkerId("other"), "timeout", now());
  int stops = 0;
  for (int i = 0; i < 3000; ++i) {
    if (i % 50 == 0)
      report("lost");
    stops += static_cast<int>(plan(WorkerCommand::Kind::Stop).size());
  }
  EXPECT_EQ(stops, 4);
}

// A withdrawn worker whose runs had ended was polled until the end of the term
// once it was lost.
TEST_F(SilentWorker, IdleAndWithdrawn_IsForgottenWithTheLease) {
  TestShard.unlistWorker(base::WorkerId("lost"));
  report("lost", {{1, Started[0].Run, RunOutcome::Done, ""}});
  plan();
  storeWrites();
  TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
  Time.advance(6000ms);
  plan();
  EXPECT_TRUE(TestShard.hasWorker(base::WorkerId("lost")));
  Time.advance(300ms);
  plan();
  EXPECT_FALSE(TestShard.hasWorker(base::WorkerId("lost")));
}

// Soak with crashing tasks, seed 304: a restarted worker numbers its ends from
// 1 again, and an acknowledgement of its earlier incarnation made it discard
// them unread; their tasks were started twice.
TEST_F(SilentWorker, Poll_AcknowledgesNoEndsUntilTheFirstAnswer) {
  PollReport ended;
  ended.Running.push_back({Started[0].Run, "", 100, 4000, true});
  ended.Ended.push_back(
      {83, {{JobNumber{9}, 0, 0, 0}, 1}, RunOutcome::Done, ""});
  poll("lost", ended);
  failPoll();
  EXPECT_EQ(Planned.Request.AcknowledgedEnd, 83);
  failPoll();
  EXPECT_EQ(Planned.Request.AcknowledgedEnd, 0);
  // The same incarnation answers: what it had been told before holds again.
  poll("lost", ended);
  EXPECT_EQ(TestShard.nextPoll(base::WorkerId("lost"), now(), true)
                ->Request.AcknowledgedEnd,
            83);
  failPoll();
  // The new incarnation reports the task's end as its first.
  report("lost", {{1, Started[0].Run, RunOutcome::Done, ""}}, 2000ms);
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].Final, model::JobState::Succeeded);
}

/// Decides like plan(), as an owner that is cut off from the store.
class CutOffOwner : public SilentWorker {
protected:
  std::vector<WorkerCommand> planWithoutStore() {
    Time.advance(10ms);
    std::vector<WorkerCommand> orders =
        TestShard.plan(now(), Time.wallNow(), true, SIZE_MAX, false);
    std::erase_if(orders, [](const WorkerCommand &it) {
      return it.Type != WorkerCommand::Kind::Start;
    });
    return orders;
  }
};

// A later owner may have renewed the lease of a worker that this owner does not
// reach: kcs-orders-grown trouble-2, seed 369115295095, where the task of such
// a worker ran twice.
TEST_F(CutOffOwner, TaskLostWithItsLease_WaitsForTheStore) {
  TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
  Time.advance(6300ms);
  poll("other");
  EXPECT_TRUE(planWithoutStore().empty());
  // Other work goes on.
  TestShard.addJob(job(2, {step(1)}), 201, false, now());
  std::vector<WorkerCommand> orders = planWithoutStore();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task.Job, JobNumber{2});
  Time.advance(3s);
  EXPECT_TRUE(planWithoutStore().empty());
  EXPECT_EQ(plan().size(), 1u);
}

TEST_F(CutOffOwner, GangLostWithItsLease_WaitsForTheStore) {
  model::StepSpec gang = step(2, 1000);
  gang.Gang = true;
  TestShard.addJob(job(2, {gang}), 201, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  confirmStarts(orders);
  PollReport rest;
  rest.Running.push_back({Started[0].Run, "", 100, 0, true});
  std::string id = orders[0].Worker.Id.str();
  for (const WorkerCommand &it : orders)
    rest.Running.push_back({it.Run, "", 100, 0, true});
  poll(id, rest);
  TestShard.onPollFailed(base::WorkerId(id), "timeout", now());
  Time.advance(6300ms);
  poll(id == "lost" ? "other" : "lost");
  for (const WorkerCommand &it : planWithoutStore())
    EXPECT_NE(it.Run.Task.Job, JobNumber{2});
  orders = plan();
  EXPECT_GE(std::count_if(orders.begin(), orders.end(),
                          [](const WorkerCommand &it) {
                            return it.Run.Task.Job == JobNumber{2};
                          }),
            2);
}

// A run that its worker has reported as ended is not in doubt.
TEST_F(CutOffOwner, TaskReportedAsStopped_StartsWithoutTheStore) {
  report("lost", {{1, Started[0].Run, RunOutcome::Stopped, ""}});
  EXPECT_EQ(planWithoutStore().size(), 1u);
}

// The runs of an earlier owner on a worker that has never answered this one are
// unknown here.
TEST_F(CutOffOwner, InheritedTaskOfASilentWorker_WaitsForTheStore) {
  TestShard.markUnverified({{base::WorkerId("unknown"), {"10.0.0.9", 8080}}},
                           {}, now());
  TestShard.addJob(job(2, {step(1)}), 5, true, now());
  Time.advance(6300ms);
  report("lost");
  poll("other");
  EXPECT_TRUE(planWithoutStore().empty());
  EXPECT_EQ(plan().size(), 1u);
}

// A start that may have reached the new incarnation of a worker waited for its
// list, also if that incarnation was never heard of again.
TEST_F(SilentWorker, RestartedAndLost_TaskStartsElsewhereAfterTheLongestLease) {
  TestShard.addJob(job(2, {step(12)}), 201, false, now());
  std::vector<WorkerCommand> orders = plan();
  confirmStarts(orders);
  auto there =
      std::count_if(orders.begin(), orders.end(), [](const auto &order) {
        return order.Worker.Id.str() == "lost";
      });
  ASSERT_GT(there, 0);
  model::WorkerProfile reborn = worker("lost");
  reborn.StartTime = 2000ms;
  TestShard.updateWorker(reborn, now());
  TestShard.onPollFailed(base::WorkerId("lost"), "timeout", now());
  PollReport rest;
  for (const WorkerCommand &it : orders)
    if (it.Worker.Id.str() == "other")
      rest.Running.push_back({it.Run, "", 100, 4000, true});
  base::TimePoint begin = now();
  addWorker("third");
  std::ptrdiff_t again = 0;
  while (again == 0 && now() - begin < 30s) {
    Time.advance(100ms);
    poll("other", rest);
    poll("third");
    storeWrites();
    for (const WorkerCommand &it : plan())
      again += it.Run.Task.Job == JobNumber{2};
  }
  EXPECT_EQ(again, there);
  EXPECT_GT(now() - begin, 22300ms);
  EXPECT_LT(now() - begin, 22700ms);
}

using RestartedWorker = SilentWorker;

// The numbers of the earlier incarnation discarded ends of the new one that
// nobody had read, and their tasks were started again.
TEST_F(RestartedWorker, LateAnswerOfTheEarlierIncarnation_ChangesNothing) {
  base::TimePoint sent = now();
  TestShard.nextPoll(base::WorkerId("lost"), sent, true);
  model::WorkerProfile restarted = worker("lost");
  restarted.StartTime = 2000ms;
  TestShard.updateWorker(restarted, now());
  PollReport late;
  late.Clock = 50000ms;
  late.StartTime = 1000ms;
  late.Ended = {{51, Started[0].Run, RunOutcome::Stopped, ""}};
  TestShard.onPoll(base::WorkerId("lost"), late, sent, now());
  dispatch::PlannedPoll next =
      *TestShard.nextPoll(base::WorkerId("lost"), now(), true);
  EXPECT_EQ(next.Request.AcknowledgedEnd, 0);
  EXPECT_EQ(next.Request.Deadline.count(), 0);
  EXPECT_FALSE(next.Synced);
}

// An entry with a wrong start time must not make the worker's own answers count
// as outdated for ever.
TEST_F(RestartedWorker, EntryWithALaterStartTime_IsCorrectedByTheNextAnswer) {
  model::WorkerProfile wrong = worker("lost");
  wrong.StartTime = 9000ms;
  TestShard.updateWorker(wrong, now());
  Time.advance(1ms);
  report("lost");
  EXPECT_TRUE(TestShard.nextPoll(base::WorkerId("lost"), now(), true)->Synced);
}

// A worker that restarts between two polls would discard unread ends.
TEST_F(RestartedWorker, Acknowledgement_NamesTheLastAnsweredPoll) {
  report("lost", {{7, Started[0].Run, RunOutcome::Done, ""}});
  base::TimePoint sent = now() - 1ms;
  storeWrites();
  dispatch::PlannedPoll next =
      *TestShard.nextPoll(base::WorkerId("lost"), now(), true);
  EXPECT_EQ(next.Request.AcknowledgedEnd, 7);
  EXPECT_EQ(next.Request.IncarnationSeenAt, sent);
}

// A start that was late reached the new incarnation, which granted it the
// longest lease. Taken for a lease of the usual length, the task runs twice.
TEST_F(RestartedWorker, SilentAgain_KeepsItsRunsForTheLongestLease) {
  base::TimePoint restart = now();
  report("lost", {}, 2000ms);
  std::optional<base::TimePoint> again;
  while (!again && now() - restart < 30s) {
    failPoll();
    for (int i = 0; i < 8 && !again; ++i) {
      storeWrites();
      if (!plan().empty())
        again = now();
    }
  }
  ASSERT_TRUE(again);
  EXPECT_GT(*again - restart, 22200ms);
  // One cycle of the polls in this test, in which nothing is planned.
  EXPECT_LT(*again - restart, 22700ms + 1300ms);
}

using InvalidRows = SilentWorker;

// A run whose row was skipped must not count as gone: the task runs twice.
TEST_F(InvalidRows, IncompleteList_DropsNoRun) {
  PollReport report;
  report.InvalidRow = "[7]";
  report.RunningIncomplete = true;
  for (int i = 0; i < 5; ++i) {
    poll("lost", report);
    EXPECT_TRUE(plan().empty());
  }
  report.RunningIncomplete = false;
  poll("lost", report);
  EXPECT_EQ(plan().size(), 1u);
  std::vector<base::EventRecord> events = Events.snapshot();
  EXPECT_EQ(std::count_if(events.begin(), events.end(),
                          [](const base::EventRecord &it) {
                            return it.Code == base::EventCode::WorkerRowInvalid;
                          }),
            1);
}

/// The end of the task of "lost" is listed, but cannot be read yet.
class UnreadableEnd : public SilentWorker {
protected:
  void SetUp() override {
    SilentWorker::SetUp();
    Unreadable.InvalidRow = "[1]";
    Unreadable.UnreadableEnds = {1};
    Unreadable.Ended = {Unknown};
    poll("lost", Unreadable);
  }

  std::int64_t acknowledged() {
    return TestShard.nextPoll(base::WorkerId("lost"), now(), true)
        ->Request.AcknowledgedEnd;
  }

  /// Plans, confirms the stops and returns the number of starts.
  std::size_t start() {
    Time.advance(10ms);
    std::size_t starts = 0;
    for (const WorkerCommand &it :
         TestShard.plan(now(), Time.wallNow(), true)) {
      starts += it.Type == WorkerCommand::Kind::Start;
      if (it.Type == WorkerCommand::Kind::Stop)
        TestShard.onStop(it, CommandResult::Done, now());
    }
    return starts;
  }

  const dispatch::EndedRun Unknown{
      2, {{JobNumber{9}, 0, 0, 0}, 1}, RunOutcome::Done, ""};
  PollReport Unreadable;
};

// The number of a later row acknowledged the unreadable one, and the task ran
// again although it was done.
TEST_F(UnreadableEnd, ReadLater_IsStoredBeforeAnyAcknowledgement) {
  EXPECT_EQ(acknowledged(), 0);
  EXPECT_TRUE(plan().empty());
  Time.advance(2s);
  poll("other");
  PollReport report;
  report.Ended = {{1, Started[0].Run, RunOutcome::Done, ""}, Unknown};
  poll("lost", report);
  EXPECT_EQ(acknowledged(), 0);
  storeWrites();
  EXPECT_EQ(acknowledged(), 2);
  EXPECT_TRUE(plan().empty());
}

TEST_F(UnreadableEnd, NeverRead_IsGivenUpAndBlocksNoOtherEnd) {
  base::TimePoint begin = now();
  while (acknowledged() == 0 && now() - begin < 20s) {
    EXPECT_EQ(start(), 0u);
    Time.advance(200ms);
    poll("other");
    poll("lost", Unreadable);
  }
  EXPECT_EQ(acknowledged(), 2);
  EXPECT_GT(now() - begin, 9800ms);
  EXPECT_LT(now() - begin, 10500ms);
  std::vector<base::EventRecord> events = Events.snapshot();
  EXPECT_EQ(std::count_if(events.begin(), events.end(),
                          [](const base::EventRecord &it) {
                            return it.Code == base::EventCode::WorkerRowInvalid;
                          }),
            2);
  // The damaged row must not hold up ends that follow.
  Unreadable.Ended.push_back(Unknown);
  Unreadable.Ended.back().SequenceNumber = 3;
  poll("lost", Unreadable);
  EXPECT_EQ(acknowledged(), 3);
  EXPECT_EQ(start(), 1u);
}

// A restarted worker numbers its ends from 1 again.
TEST_F(UnreadableEnd, OfAnEarlierIncarnation_HoldsUpNothing) {
  PollReport report;
  report.StartTime = 2000ms;
  report.Ended = {Unknown};
  poll("lost", report);
  // The answer was to a poll for the earlier incarnation.
  EXPECT_EQ(acknowledged(), 0);
  poll("lost", report);
  EXPECT_EQ(acknowledged(), 2);
}

// A worker that is asked after a takeover counts as verified only with a whole
// list; an answering worker keeps its other runs when that wait ends.
TEST_F(InvalidRows, IncompleteListAfterATakeover_WaitsForTheLease) {
  TestShard.markUnverified({{base::WorkerId("other"), {"10.0.0.1", 8080}}}, {},
                           now());
  TestShard.addJob(job(2, {step(1)}), 5, true, now());
  PollReport report;
  report.InvalidRow = "[7]";
  report.RunningIncomplete = true;
  poll("other", report);
  EXPECT_TRUE(plan().empty());
  for (int i = 0; i < 61; ++i) {
    Time.advance(100ms);
    poll("other", report);
    PollReport running;
    running.Running.push_back({Started[0].Run, "", 100, 4000, true});
    poll("lost", running);
  }
  EXPECT_EQ(plan().size(), 1u);
}

// Without its roster a shard was given up by each owner in turn.
TEST_F(InvalidRows, UnknownRoster_HoldsInheritedTasksForTheLongestLease) {
  TestShard.markRosterUnknown(now());
  TestShard.addJob(job(2, {step(1)}), 5, true, now());
  base::TimePoint begin = now();
  std::vector<WorkerCommand> orders;
  while (orders.empty() && now() - begin < 20s) {
    Time.advance(50ms);
    report("lost");
    poll("other");
    orders = plan();
    EXPECT_EQ(TestShard.isRosterUnknown(), orders.empty());
  }
  EXPECT_GT(now() - begin, 8300ms);
  EXPECT_LT(now() - begin, 8500ms);
}

} // namespace
