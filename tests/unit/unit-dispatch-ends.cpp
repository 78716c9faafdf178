// Load pattern: runs end while their records wait for the store, and workers
// and owners are lost in between. Faults of what a worker may forget: the next
// owner starts a task again whose end is neither stored nor listed.
#include "detail/LeaseTimes.h"
#include "support/ShardFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

class AcknowledgedEnds : public ShardFixture {
protected:
  std::int64_t acknowledged(const std::string &id) {
    return TestShard.nextPoll(base::WorkerId(id), now(), true)
        ->Request.AcknowledgedEnd;
  }

  /// Answers a poll with one more end.
  void end(const std::string &id, const RunId &run, RunOutcome outcome) {
    PollReport report;
    report.Ended = {{++Ends[id], run, outcome, ""}};
    poll(id, report);
  }

  /// A step that keeps the job from being complete.
  static model::StepSpec stepAfter(std::int32_t before) {
    model::StepSpec s = step(1);
    s.Dependencies = {before};
    return s;
  }

  std::map<std::string, std::int64_t> Ends;
};

// The end of the second member changed nothing and was acknowledged at once.
// With the first worker and the owner lost before the record was stored, no one
// knew that the gang was done.
TEST_F(AcknowledgedEnds, SecondMemberOfAGang_WaitsForTheRecordOfTheFirst) {
  model::StepSpec gang = step(2, 20000);
  gang.Gang = true;
  addWorker("w1");
  addWorker("w2");
  TestShard.addJob(job(1, {gang, stepAfter(0)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  confirmStarts(orders);
  for (const WorkerCommand &it : orders)
    end(it.Worker.Id.str(), it.Run, RunOutcome::Done);
  EXPECT_EQ(acknowledged("w1"), 0);
  EXPECT_EQ(acknowledged("w2"), 0);
  storeWrites();
  EXPECT_EQ(acknowledged("w1"), 1);
  EXPECT_EQ(acknowledged("w2"), 1);
}

// The same while a write of the job is in flight: what it stores is older.
TEST_F(AcknowledgedEnds, EndDuringAWrite_WaitsForTheNextWrite) {
  model::StepSpec gang = step(2, 20000);
  gang.Gang = true;
  addWorker("w1");
  addWorker("w2");
  TestShard.addJob(job(1, {step(1), gang}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 3u);
  confirmStarts(orders);
  std::erase_if(orders, [&](const WorkerCommand &it) {
    bool single = it.Run.Task.Step == 0;
    if (single)
      end(it.Worker.Id.str(), it.Run, RunOutcome::Done);
    return single;
  });
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(100);
  ASSERT_EQ(writes.size(), 1u);
  for (const WorkerCommand &it : orders)
    end(it.Worker.Id.str(), it.Run, RunOutcome::Done);
  TestShard.onStored(writes, now());
  std::string second = orders[1].Worker.Id.str();
  EXPECT_LT(acknowledged(second), Ends[second]);
  storeWrites();
  EXPECT_EQ(acknowledged(second), Ends[second]);
}

// The end of a copy that lost the race changes nothing either.
TEST_F(AcknowledgedEnds, EndOfACopy_WaitsForTheRecordOfTheFirst) {
  model::StepSpec speculative = step(1);
  speculative.Speculative = true;
  addWorker("w1");
  addWorker("w2");
  TestShard.addJob(job(1, {speculative, stepAfter(0)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  std::string first = orders[0].Worker.Id.str();
  std::string second = first == "w1" ? "w2" : "w1";
  RunId copy{orders[0].Run.Task, orders[0].Run.Number + 1};
  PollReport running;
  running.Running = {{copy, "", 100, 0, false}};
  poll(second, running);
  end(first, orders[0].Run, RunOutcome::Done);
  end(second, copy, RunOutcome::Done);
  EXPECT_EQ(acknowledged(second), 0);
  storeWrites();
  EXPECT_EQ(acknowledged(second), 1);
}

// The owner's clock is behind that of the earlier owner: the occurrence is not
// due here yet, its run counted as one of an unknown task, and its end was
// acknowledged without a record.
class EarlyOccurrence : public AcknowledgedEnds {
protected:
  void SetUp() override {
    model::AcceptedJob repeated = job(1, {step(2)});
    repeated.Graph.Occurrences = 2;
    repeated.Graph.FirstDue =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Time.wallNow().time_since_epoch()) +
        2000ms;
    repeated.Graph.Interval = 60s;
    TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}}, {},
                             now());
    TestShard.addJob(repeated, 1, true, now());
    plan();
  }

  static RunId run(std::int32_t occurrence, std::int32_t index) {
    return {{JobNumber{1}, occurrence, 0, index}, 1};
  }
};

TEST_F(EarlyOccurrence, EndBeforeTheDueTime_IsStoredAndTheTaskNotStarted) {
  PollReport report;
  report.Ended = {{1, run(0, 0), RunOutcome::Done, ""}};
  addWorker("w1", report);
  EXPECT_EQ(acknowledged("w1"), 0);
  storeWrites();
  EXPECT_EQ(acknowledged("w1"), 1);
  Time.advance(2100ms);
  poll("w1");
  std::vector<WorkerCommand> orders = plan();
  EXPECT_TRUE(
      std::none_of(orders.begin(), orders.end(), [](const WorkerCommand &it) {
        return it.Run.Task == run(0, 0).Task;
      }));
}

TEST_F(EarlyOccurrence, RunBeforeTheDueTime_GoesOn) {
  PollReport report;
  report.Running = {{run(0, 0), "", 100, 0, false}};
  addWorker("w1", report);
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
}

// A row that names no occurrence of the job must not create one.
TEST_F(EarlyOccurrence, OccurrenceBeyondTheLast_IsUnknown) {
  PollReport report;
  report.Ended = {{1, run(2, 0), RunOutcome::Done, ""}};
  report.Running = {{run(-1, 0), "", 100, 0, false}};
  addWorker("w1", report);
  EXPECT_EQ(acknowledged("w1"), 1);
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
}

// A worker listed a run while the job's move was in flight. The job stayed in
// the tables after it had moved, so both shards started its tasks.
TEST_F(AcknowledgedEnds, RunListedDuringAMove_IsStoppedAndTheJobGone) {
  addWorker("w1");
  model::AcceptedJob moved = job(1, {step(2, WorkerMilliCores + 1)});
  TestShard.addJob(moved, 5, false, now());
  plan();
  Time.advance(2100ms);
  poll("w1");
  plan();
  std::vector<dispatch::JobMove> moves = TestShard.takeMoves(1, now());
  ASSERT_EQ(moves.size(), 1u);
  PollReport late;
  late.Running = {{{{JobNumber{1}, 0, 0, 0}, 1}, "", 100, 0, false}};
  poll("w1", late);
  TestShard.onMoveFinished(JobNumber{1}, true, moves[0].Revision, now());
  EXPECT_FALSE(TestShard.isLive(JobNumber{1}));
  EXPECT_EQ(plan(WorkerCommand::Kind::Stop).size(), 1u);
  EXPECT_EQ(TestShard.liveJobCount(), 0u);
}

/// Reads fields of the latest event of a kind; empty if there is none.
class EndTrace : public AcknowledgedEnds {
protected:
  std::string field(base::EventCode code, const std::string &name) {
    std::string value;
    for (const base::EventRecord &it : Events.snapshot())
      for (const auto &[key, text] : it.Fields)
        if (it.Code == code && key == name)
          value = text;
    return value;
  }
};

// The incident of repeated runs could not be traced without these fields.
TEST_F(EndTrace, End_TellsIncarnationRecordAndAcknowledgement) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1), stepAfter(0)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  confirmStarts(orders);
  end("w1", orders[0].Run, RunOutcome::Done);
  EXPECT_EQ(field(base::EventCode::RunEnded, "end"), "1");
  EXPECT_EQ(field(base::EventCode::RunEnded, "born"), "1000");
  acknowledged("w1");
  EXPECT_EQ(field(base::EventCode::EndsAcknowledged, "ends"), "");
  storeWrites();
  Time.advance(40ms);
  end("w1", {{JobNumber{9}, 0, 0, 0}, 1}, RunOutcome::Done);
  EXPECT_EQ(field(base::EventCode::RunEnded, "known"), "no");
  EXPECT_EQ(field(base::EventCode::EndsAcknowledged, "ends"), "1:40");
  EXPECT_EQ(field(base::EventCode::EndsAcknowledged, "token"),
            std::to_string(7 * dispatch::TokensPerTerm));
  EXPECT_EQ(field(base::EventCode::EndsAcknowledged, "born"), "1000");
  acknowledged("w1");
  EXPECT_EQ(field(base::EventCode::EndsAcknowledged, "ends"), "2");
}

TEST_F(EndTrace, Start_TellsHowEarlierRunsEnded) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  EXPECT_EQ(field(base::EventCode::RunStarted, "earlier"), "");
  confirmStarts(orders);
  end("w1", orders[0].Run, RunOutcome::Failed);
  orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  TestShard.onStart(orders[0], CommandResult::NoCapacity, now());
  Time.advance(600ms);
  orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(field(base::EventCode::RunStarted, "earlier"),
            "1 reported failed; 2 start refused");
}

// The incident of unstored ends could not be traced without these fields.
TEST_F(EndTrace, WithdrawnWorker_TellsItsUnstoredEnds) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1), stepAfter(0)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  confirmStarts(orders);
  end("w1", orders[0].Run, RunOutcome::Done);
  TestShard.unlistWorker(base::WorkerId("w1"));
  EXPECT_EQ(field(base::EventCode::WorkerWithdrawn, "unstoredEnds"), "1");
}

TEST_F(EndTrace, InheritedRoster_TellsEachRow) {
  TaskKey task{JobNumber{1}, 0, 0, 0};
  std::string wait =
      std::to_string(dispatch::detail::maxLeaseLifetime({}) / 1ms) + "ms";
  TestShard.markUnverified(
      {{base::WorkerId("w1"), {"10.0.0.1", 8080}, Term - 1, {{task}}},
       {base::WorkerId("w2"), {"10.0.0.2", 8080}, Term - 1}},
      {{Term - 1, now(), false}}, now());
  EXPECT_EQ(field(base::EventCode::RosterRead, "rows"),
            "w1:2:1:" + wait + " w2:2:any:" + wait);
}

// The fence of run numbers: an earlier owner, alive and cut off, has stopped
// its own run of the same number on a worker that only it reaches. The end of
// that run must not end the one that goes on.
TEST_F(AcknowledgedEnds, SameRunNumberOnTwoWorkers_OnlyTheEndedRunEnds) {
  addWorker("w1");
  model::StepSpec serving = step(1);
  serving.LongRunning = true;
  TestShard.addJob(job(1, {serving}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  PollReport running;
  running.Running = {{orders[0].Run, "", 100, 4000, true}};
  poll("w1", running);
  addWorker("w2");
  end("w2", orders[0].Run, RunOutcome::Stopped);
  EXPECT_TRUE(plan().empty());
  end("w1", orders[0].Run, RunOutcome::Stopped);
  EXPECT_EQ(plan().size(), 1u);
}

// Guards against a row that is skipped because a row with a higher number came
// before it in the answer: the worker would forget its end unread.
TEST_F(AcknowledgedEnds, DISABLED_RowsInDescendingOrder_AreAllProcessed) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(2), stepAfter(0)}), 5, false, now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 2u);
  confirmStarts(orders);
  PollReport report;
  report.Ended = {{2, orders[1].Run, RunOutcome::Done, ""},
                  {1, orders[0].Run, RunOutcome::Done, ""}};
  poll("w1", report);
  storeWrites();
  EXPECT_EQ(acknowledged("w1"), 2);
  Time.advance(100ms);
  poll("w1");
  orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task.Step, 1) << "a task starts again after its end";
}

// Guards against an end that arrives while the commit of its job's move is in
// flight: the new owner has a record without it, so the worker must keep it.
TEST_F(AcknowledgedEnds, DISABLED_EndDuringAMove_IsNotForgotten) {
  addWorker("w1");
  TestShard.addJob(job(1, {step(1, WorkerMilliCores + 1), step(1)}), 5, false,
                   now());
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  confirmStarts(orders);
  poll("w1", [&] {
    PollReport r;
    r.Running = {{orders[0].Run, "", 100, 0, false}};
    return r;
  }());
  // The lease ends unseen, and no other worker takes the task.
  TestShard.onPollFailed(base::WorkerId("w1"), "lost", now(), false);
  Time.advance(7s);
  plan();
  Time.advance(2100ms);
  plan();
  std::vector<dispatch::JobMove> moves = TestShard.takeMoves(1, now());
  ASSERT_EQ(moves.size(), 1u);
  PollReport late;
  late.Ended = {{1, orders[0].Run, RunOutcome::Done, ""}};
  poll("w1", late);
  TestShard.onMoveFinished(JobNumber{1}, true, moves[0].Revision, now());
  EXPECT_EQ(acknowledged("w1"), 0);
}

// Guards against a list that other systems' ends fill up: none of their numbers
// is acknowledged, so the ends behind them are never listed.
TEST_F(AcknowledgedEnds, DISABLED_ListFullOfForeignRows_MovesOn) {
  addWorker("w1");
  PollReport report;
  report.MoreEnded = true;
  report.InvalidRow = "[500,\"foreign\",1,\"done\",\"\"]";
  poll("w1", report);
  EXPECT_GT(acknowledged("w1"), 0);
}

// Guards against runs that count as lost because the list of ends in the first
// answer is truncated: the lease of the earlier owner was not known before the
// last part of the list.
TEST_F(AcknowledgedEnds, FirstListTruncated_KeepsTheRunsOfTheEarlierOwner) {
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}}, {},
                           now());
  TestShard.addJob(job(1, {step(1)}), 1, true, now());
  addWorker("w2");
  PollReport report;
  report.MoreEnded = true;
  report.Running = {{{{JobNumber{1}, 0, 0, 0}, 1}, "", 100, 0, false}};
  report.Ended = {{1, {{JobNumber{9}, 0, 0, 0}, 1}, RunOutcome::Done, ""}};
  addWorker("w1", report);
  EXPECT_TRUE(plan().empty());
}

} // namespace
