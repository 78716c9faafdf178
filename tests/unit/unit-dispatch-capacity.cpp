// Tests placement, headroom and routing on workers whose capacity shrinks and
// grows while they run. A start must not take a worker over its latest
// capacity; runs in progress may exceed it and keep counting until they end.
#include "detail/NodeRecords.h"
#include "detail/Routing.h"
#include "support/InMemoryStore.h"
#include "support/ShardFixture.h"

#include "endivedoor/dispatch/DispatchNode.h"
#include "endivedoor/dispatch/PrefixMirror.h"
#include "endivedoor/dispatch/Records.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cmath>
#include <functional>

using namespace endivedoor;
using namespace endivedoor::tests;
using model::JobState;

namespace {

constexpr std::int64_t TaskMilliCores = 4000;
constexpr std::int64_t WorkerMebiBytes = 128000;

class CapacityFixture : public ShardFixture {
protected:
  static model::WorkerProfile sized(const std::string &id, std::int64_t cpu,
                                    std::int64_t memory = WorkerMebiBytes) {
    model::WorkerProfile w = worker(id);
    w.Capacity.Cpu = base::MilliCores{cpu};
    w.Capacity.Memory = base::MebiBytes{memory};
    return w;
  }

  /// Delivers an entry of the worker with another capacity.
  void resize(const std::string &id, std::int64_t cpu,
              std::int64_t memory = WorkerMebiBytes) {
    TestShard.updateWorker(sized(id, cpu, memory), now());
  }

  void addJob(std::uint64_t id, const model::StepSpec &s) {
    TestShard.addJob(job(id, {s}), ++Revision, false, now());
  }

  /// Plans and confirms all starts; returns them.
  std::vector<WorkerCommand> start() {
    std::vector<WorkerCommand> starts = plan();
    confirmStarts(starts);
    for (const WorkerCommand &it : starts)
      Running[it.Worker.Id.str()].push_back(it.Run);
    return starts;
  }

  /// Ends the first \p n of the worker's runs and lists them as ended.
  void endRuns(const std::string &id, std::size_t n,
               RunOutcome outcome = RunOutcome::Done) {
    for (std::size_t i = 0; i < n && !Running[id].empty(); ++i) {
      Ended[id].push_back(
          {std::ssize(Ended[id]) + 1, Running[id].front(), outcome, ""});
      Running[id].erase(Running[id].begin());
    }
    report(id);
  }

  void report(const std::string &id) {
    PollReport report;
    for (const RunId &it : Running[id])
      report.Running.push_back({it, "", 100, 1, true});
    report.Ended = Ended[id];
    poll(id, report);
  }

  static std::size_t startsOn(const std::vector<WorkerCommand> &starts,
                              const std::string &id) {
    return static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(), [&](const auto &it) {
          return it.Worker.Id == base::WorkerId(id);
        }));
  }

  std::map<std::string, std::vector<RunId>> Running;
  std::map<std::string, std::vector<dispatch::EndedRun>> Ended;
};

using CapacityStart = CapacityFixture;
using CapacityPlacement = CapacityFixture;
using CapacityReservation = CapacityFixture;
using CapacityHeadroom = CapacityFixture;
using CapacityTakeover = CapacityFixture;
using CapacityMove = CapacityFixture;
using CapacityFiller = CapacityFixture;

TEST_F(CapacityStart, AfterShrink_KeepsToTheNewCapacity) {
  addWorker("w1");
  resize("w1", TaskMilliCores + 1000);
  addJob(1, step(9));
  EXPECT_EQ(start().size(), 1u);
  EXPECT_TRUE(start().empty());
}

TEST_F(CapacityStart, AfterShrinkOfMemory_KeepsToTheNewCapacity) {
  addWorker("w1");
  resize("w1", WorkerMilliCores, 2500);
  addJob(1, step(9));
  EXPECT_EQ(start().size(), 2u);
  EXPECT_TRUE(start().empty());
}

TEST_F(CapacityStart, AfterGrowth_UsesTheNewCapacityAtOnce) {
  addWorker("w1");
  resize("w1", TaskMilliCores);
  addJob(1, step(9));
  EXPECT_EQ(start().size(), 1u);
  EXPECT_TRUE(start().empty());
  resize("w1", WorkerMilliCores);
  EXPECT_EQ(start().size(), 7u);
}

TEST_F(CapacityStart, RunsOverTheCapacity_BlockStartsUntilEnoughHaveEnded) {
  addWorker("w1");
  addJob(1, step(8));
  ASSERT_EQ(start().size(), 8u);
  resize("w1", 4 * TaskMilliCores);
  addJob(2, step(3));
  EXPECT_TRUE(start().empty());
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  endRuns("w1", 4);
  EXPECT_TRUE(start().empty());
  endRuns("w1", 1);
  EXPECT_EQ(start().size(), 1u);
}

// Starts that the window of calls held back are decided on again.
TEST_F(CapacityStart, HeldBackByTheCallWindow_KeepsToTheNewCapacity) {
  addWorker("w1");
  addJob(1, step(8));
  Time.advance(10ms);
  EXPECT_EQ(TestShard.plan(now(), Time.wallNow(), true, 2).size(), 2u);
  resize("w1", 3 * TaskMilliCores);
  EXPECT_EQ(plan().size(), 1u);
  EXPECT_TRUE(plan().empty());
}

TEST_F(CapacityStart, InFlight_CountsAgainstTheNewCapacity) {
  addWorker("w1");
  addJob(1, step(4));
  std::vector<WorkerCommand> sent = plan();
  ASSERT_EQ(sent.size(), 4u);
  resize("w1", 4 * TaskMilliCores);
  addJob(2, step(2));
  EXPECT_TRUE(plan().empty());
  confirmStarts(sent);
  EXPECT_TRUE(plan().empty());
}

TEST_F(CapacityStart, RejectedStart_IsRepeatedWithinTheNewCapacity) {
  addWorker("w1");
  addJob(1, step(2));
  std::vector<WorkerCommand> sent = plan();
  ASSERT_EQ(sent.size(), 2u);
  resize("w1", TaskMilliCores);
  TestShard.onStart(sent[0], CommandResult::Done, now());
  TestShard.onStart(sent[1], CommandResult::NoCapacity, now());
  Time.advance(2s);
  Running["w1"] = {sent[0].Run};
  report("w1");
  EXPECT_TRUE(plan().empty());
  resize("w1", 2 * TaskMilliCores);
  std::vector<WorkerCommand> again = plan();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].Run.Task, sent[1].Run.Task);
}

TEST_F(CapacityStart, StartWithLostAnswer_CountsUntilItsStopIsListed) {
  addWorker("w1");
  addJob(1, step(1));
  std::vector<WorkerCommand> sent = plan();
  ASSERT_EQ(sent.size(), 1u);
  resize("w1", TaskMilliCores);
  TestShard.onStart(sent[0], base::fail(base::Errc::WorkerAnswerLost, "lost"),
                    now());
  addJob(2, step(1));
  Time.advance(700ms);
  poll("w1");
  Time.advance(10ms);
  std::vector<WorkerCommand> orders =
      TestShard.plan(now(), Time.wallNow(), true);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Type, WorkerCommand::Kind::Stop);
  TestShard.onStop(orders[0], CommandResult::Done, now());
  EXPECT_TRUE(plan().empty());
  Time.advance(1ms);
  poll("w1");
  EXPECT_EQ(plan().size(), 1u);
}

TEST_F(CapacityStart, StoppedRun_CountsUntilItsEndIsListed) {
  addWorker("w1");
  addJob(1, step(1));
  ASSERT_EQ(start().size(), 1u);
  resize("w1", TaskMilliCores);
  addJob(2, step(1));
  TestShard.cancelJob(JobNumber{1}, now());
  std::vector<WorkerCommand> stops = plan(WorkerCommand::Kind::Stop);
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_TRUE(plan().empty());
  TestShard.onStop(stops[0], CommandResult::Done, now());
  EXPECT_TRUE(plan().empty());
  Time.advance(1ms);
  report("w1");
  EXPECT_TRUE(plan().empty());
  endRuns("w1", 1, RunOutcome::Stopped);
  EXPECT_EQ(plan().size(), 1u);
}

// An entry of a worker that runs more than it offers must not make it
// attractive: best fit prefers the least free CPU.
TEST_F(CapacityPlacement, WorkerOverItsCapacity_IsNotTheBestFit) {
  addWorker("w1");
  addJob(1, step(8));
  ASSERT_EQ(start().size(), 8u);
  resize("w1", 2 * TaskMilliCores);
  addWorker("w2");
  addJob(2, step(2));
  std::vector<WorkerCommand> starts = start();
  ASSERT_EQ(starts.size(), 2u);
  EXPECT_EQ(startsOn(starts, "w2"), 2u);
}

TEST_F(CapacityPlacement, TaskWithoutCpu_AvoidsAWorkerOverItsCapacity) {
  addWorker("w1");
  addJob(1, step(8));
  ASSERT_EQ(start().size(), 8u);
  resize("w1", 2 * TaskMilliCores);
  addJob(2, step(1, 0));
  EXPECT_TRUE(start().empty());
  addWorker("w2");
  EXPECT_EQ(startsOn(start(), "w2"), 1u);
}

// Fillers reserve no CPU, but a worker over its capacity has none to leave
// idle.
TEST_F(CapacityFiller, WorkerOverItsCapacity_GetsNoFillers) {
  model::StepSpec serving = step(6, 5000);
  serving.LongRunning = true;
  addWorker("w1");
  addJob(1, serving);
  ASSERT_EQ(start().size(), 6u);
  model::StepSpec fillers = step(1, 1000);
  fillers.Filler = true;
  fillers.Image = "filler";
  resize("w1", 20000);
  addJob(2, fillers);
  EXPECT_TRUE(start().empty());
  // A job of fillers that waits for long gets a run on a worker that does not
  // suit it; that worker must not be over its capacity either.
  for (int i = 0; i < 6; ++i) {
    Time.advance(600ms);
    report("w1");
    EXPECT_TRUE(start().empty());
  }
  resize("w1", WorkerMilliCores);
  EXPECT_EQ(start().size(), 1u);
}

TEST_F(CapacityFiller, RoomWithoutCpu_DoesNotOutrankOtherWorkers) {
  addWorker("w1");
  resize("w1", 0);
  addWorker("w2");
  model::StepSpec fillers = step(1, 0);
  fillers.Filler = true;
  fillers.Image = "filler";
  addJob(1, fillers);
  EXPECT_EQ(startsOn(start(), "w2"), 1u);
}

TEST_F(CapacityPlacement, SmallerOfTwoWorkers_TakesWhatStillFits) {
  addWorker("w1");
  addWorker("w2");
  resize("w1", 10000);
  addJob(1, step(1, 8000));
  EXPECT_EQ(startsOn(start(), "w1"), 1u);
  addJob(2, step(1, 12000));
  EXPECT_EQ(startsOn(start(), "w2"), 1u);
}

TEST_F(CapacityReservation, ForLongRunningTask_MovesToTheWorkerThatStillFits) {
  addWorker("w1");
  addWorker("w2");
  addJob(1, step(16));
  ASSERT_EQ(start().size(), 16u);
  model::StepSpec large = step(1, 30000);
  large.LongRunning = true;
  addJob(2, large);
  addJob(3, step(20));
  EXPECT_TRUE(start().empty());
  // The first reservation was for either of the two.
  resize("w1", 4 * TaskMilliCores);
  endRuns("w1", 8);
  endRuns("w2", 1);
  std::vector<WorkerCommand> starts = start();
  EXPECT_EQ(startsOn(starts, "w1"), 4u);
  EXPECT_EQ(startsOn(starts, "w2"), 0u);
  endRuns("w2", 7);
  starts = start();
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].Run.Task.Job, JobNumber{2});
  EXPECT_EQ(startsOn(starts, "w2"), 1u);
}

TEST_F(CapacityReservation, LongRunningTaskThatFitsNowhere_ReservesNothing) {
  addWorker("w1");
  resize("w1", 4 * TaskMilliCores);
  model::StepSpec large = step(1, 30000);
  large.LongRunning = true;
  addJob(1, large);
  addJob(2, step(9));
  EXPECT_EQ(start().size(), 4u);
  resize("w1", WorkerMilliCores);
  EXPECT_TRUE(start().empty());
  endRuns("w1", 4);
  std::vector<WorkerCommand> starts = start();
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].Run.Task.Job, JobNumber{1});
}

TEST_F(CapacityReservation, Gang_StartsAsAWholeOnlyWithinTheNewCapacity) {
  addWorker("w1");
  addWorker("w2");
  resize("w1", 4 * TaskMilliCores);
  resize("w2", TaskMilliCores);
  model::StepSpec gang = step(6);
  gang.Gang = true;
  addJob(1, gang);
  EXPECT_TRUE(start().empty());
  resize("w2", 2 * TaskMilliCores);
  std::vector<WorkerCommand> starts = start();
  EXPECT_EQ(startsOn(starts, "w1"), 4u);
  EXPECT_EQ(startsOn(starts, "w2"), 2u);
}

TEST_F(CapacityReservation, GangWithoutCpu_AvoidsAWorkerOverItsCapacity) {
  addWorker("w1");
  addJob(1, step(8));
  ASSERT_EQ(start().size(), 8u);
  resize("w1", 2 * TaskMilliCores);
  model::StepSpec gang = step(2, 0);
  gang.Gang = true;
  addJob(2, gang);
  EXPECT_TRUE(start().empty());
  addWorker("w2");
  EXPECT_EQ(startsOn(start(), "w2"), 2u);
}

TEST_F(CapacityHeadroom, RunsOverTheCapacity_LeaveTheRoomOfOtherWorkers) {
  addWorker("w1");
  addJob(1, step(8));
  ASSERT_EQ(start().size(), 8u);
  addWorker("w2");
  resize("w1", 2 * TaskMilliCores);
  dispatch::ShardLoad load = TestShard.load();
  EXPECT_EQ(count(load.ShortTaskHeadroom), WorkerMilliCores);
  EXPECT_EQ(count(load.FillerHeadroom), WorkerMilliCores);
}

TEST_F(CapacityHeadroom, LongRunningOverTheCapacity_LeaveTheRoomOfOthers) {
  addWorker("w1");
  model::StepSpec serving = step(6, 5000);
  serving.LongRunning = true;
  addJob(1, serving);
  ASSERT_EQ(start().size(), 6u);
  addWorker("w2");
  resize("w1", 10000);
  EXPECT_EQ(count(TestShard.load().LongRunningHeadroom), 30000);
}

TEST_F(CapacityHeadroom, Growth_IsReportedAtOnce) {
  addWorker("w1");
  resize("w1", 10000);
  EXPECT_EQ(count(TestShard.load().ShortTaskHeadroom), 10000);
  resize("w1", WorkerMilliCores);
  EXPECT_EQ(count(TestShard.load().ShortTaskHeadroom), WorkerMilliCores);
}

// The roster has no capacities.
TEST_F(CapacityTakeover, RosterWorkerWithoutEntry_GetsNoStarts) {
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}}, {},
                           now());
  addJob(1, step(9));
  addJob(2, step(1, 0));
  poll("w1");
  EXPECT_TRUE(start().empty());
  EXPECT_EQ(count(TestShard.load().ShortTaskHeadroom), -9 * TaskMilliCores);
  resize("w1", 2 * TaskMilliCores);
  EXPECT_EQ(start().size(), 3u);
}

TEST_F(CapacityTakeover, RunsFoundOverTheCapacity_BlockStarts) {
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}}, {},
                           now());
  TestShard.addJob(job(1, {step(6)}), 1, true, now());
  for (std::int32_t i = 0; i < 6; ++i)
    Running["w1"].push_back({{JobNumber{1}, 0, 0, i}, 1});
  report("w1");
  resize("w1", 4 * TaskMilliCores);
  addJob(2, step(1));
  EXPECT_TRUE(start().empty());
  EXPECT_TRUE(plan(WorkerCommand::Kind::Stop).empty());
  endRuns("w1", 3);
  EXPECT_EQ(start().size(), 1u);
}

// The gauges of a roster worker may arrive before its entry.
TEST_F(CapacityTakeover, GaugesWithoutCapacity_TeachTheModelNothing) {
  model::StepSpec serving = step(1, 8000);
  serving.LongRunning = true;
  serving.Target = 18ms;
  serving.Image = "service";
  model::StepSpec fillers = step(1, 3200);
  fillers.Filler = true;
  fillers.Image = "filler";
  policy::ColocationModel &learned = TestShard.colocationModel();
  for (int i = 0; i < 400; ++i) {
    double share = 0.01 * (i % 10);
    learned.observe("service", 30 * share, {{"filler", share}});
  }
  double before = learned.slope("service", "filler");
  ASSERT_GT(before, 10);
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}}, {},
                           now());
  TestShard.addJob(job(1, {serving}), 1, true, now());
  TestShard.addJob(job(2, {fillers}), 2, true, now());
  PollReport report;
  report.Running = {{{{JobNumber{1}, 0, 0, 0}, 1}, "", 100, 8, true},
                    {{{JobNumber{2}, 0, 0, 0}, 1}, "", 100, 3200, true}};
  for (int i = 0; i < 20; ++i) {
    Time.advance(500ms);
    poll("w1", report);
    plan();
  }
  EXPECT_DOUBLE_EQ(learned.slope("service", "filler"), before);
  for (const policy::ColocationStatistics &it : learned.statistics())
    for (double sum : it.RightHandSide)
      EXPECT_TRUE(std::isfinite(sum));
}

// A new incarnation may offer less than the one whose entry was read last.
TEST_F(CapacityTakeover, NewIncarnationWithoutEntry_GetsNoStarts) {
  addWorker("w1");
  PollReport reborn;
  reborn.StartTime = 2000ms;
  poll("w1", reborn);
  poll("w1", reborn);
  addJob(1, step(3));
  EXPECT_TRUE(start().empty());
  EXPECT_EQ(count(TestShard.load().ShortTaskHeadroom), -3 * TaskMilliCores);
  model::WorkerProfile entry = sized("w1", TaskMilliCores);
  entry.StartTime = 2000ms;
  TestShard.updateWorker(entry, now());
  poll("w1", reborn);
  useAfterRestart("w1", reborn);
  EXPECT_EQ(plan().size(), 1u);
}

TEST_F(CapacityTakeover, LateEntryOfAnEarlierIncarnation_OffersNoCapacity) {
  model::WorkerProfile entry = sized("w1", TaskMilliCores);
  entry.StartTime = 2000ms;
  PollReport report;
  report.StartTime = 2000ms;
  TestShard.updateWorker(entry, now());
  poll("w1", report);
  resize("w1", WorkerMilliCores);
  addJob(1, step(3));
  EXPECT_LE(plan().size(), 1u);
}

// A step that was found unplaceable in one pass is tried again in the next.
TEST_F(CapacityMove, JobThatFitsNowhere_StartsWhenTheCapacityGrows) {
  addWorker("w1");
  resize("w1", 2 * TaskMilliCores);
  addJob(1, step(1, 10000));
  addJob(2, step(1, 12000));
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(start().empty());
    Time.advance(100ms);
  }
  resize("w1", WorkerMilliCores);
  EXPECT_EQ(start().size(), 2u);
}

TEST_F(CapacityMove, JobThatFitsNoShard_IsOfferedAgainAndStartsAfterGrowth) {
  addWorker("w1");
  resize("w1", 2 * TaskMilliCores);
  addJob(1, step(1, 10000));
  for (int round = 0; round < 3; ++round) {
    EXPECT_TRUE(start().empty());
    Time.advance(2100ms);
    report("w1");
    EXPECT_TRUE(start().empty());
    std::vector<dispatch::JobMove> moves = TestShard.takeMoves(10, now());
    ASSERT_EQ(moves.size(), 1u);
    TestShard.onMoveFinished(JobNumber{1}, false, moves[0].Revision, now());
  }
  resize("w1", WorkerMilliCores);
  EXPECT_EQ(start().size(), 1u);
  EXPECT_TRUE(TestShard.takeMoves(10, now()).empty());
}

class CapacityRouting : public testing::Test {
protected:
  CapacityRouting() {
    View.Shards = 2;
    resize("w0", 0, 8000);
    resize("w1", 1, 8000);
    Job.Policy.Service = base::ServiceName("desk");
    Job.Graph.Steps.resize(1);
    Job.Graph.Steps[0].Size.Cpu = base::MilliCores{TaskMilliCores};
  }

  void resize(const std::string &id, std::int32_t shard, std::int64_t cpu) {
    model::WorkerProfile &worker = Workers.Profiles[base::WorkerId(id)];
    worker.Id = base::WorkerId(id);
    worker.Service = base::ServiceName("desk");
    worker.Capacity.Cpu = base::MilliCores{cpu};
    View.Assignment[worker.Id] = shard;
  }

  std::vector<double> shares() const {
    return dispatch::detail::suitableShares(View, Workers, Job);
  }

  dispatch::detail::DirectoryView View;
  dispatch::detail::WorkerView Workers;
  model::AcceptedJob Job;
};

TEST_F(CapacityRouting, Shares_FollowTheCapacity) {
  EXPECT_EQ(shares(), (std::vector<double>{1, 1}));
  resize("w0", 0, TaskMilliCores - 1);
  EXPECT_EQ(shares(), (std::vector<double>{0, 1}));
  resize("w1", 1, 0);
  EXPECT_EQ(shares(), (std::vector<double>{0, 0}));
  resize("w0", 0, TaskMilliCores);
  EXPECT_EQ(shares(), (std::vector<double>{1, 0}));
}

/// Fake workers that complete every task as soon as it is started.
class ImmediateWorkers final : public dispatch::TaskWorker {
public:
  std::map<base::WorkerId, std::vector<dispatch::EndedRun>> EndedRuns;
  std::map<JobNumber, std::vector<base::WorkerId>> Starts;

  Async<PollReport> poll(dispatch::WorkerRef worker,
                         dispatch::PollRequest request,
                         std::chrono::milliseconds) override {
    asio::steady_timer timer(co_await asio::this_coro::executor, 2ms);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    PollReport report;
    report.Clock = 1000ms;
    report.StartTime = 1ms;
    for (const dispatch::EndedRun &it : EndedRuns[worker.Id])
      if (it.SequenceNumber > request.AcknowledgedEnd)
        report.Ended.push_back(it);
    co_return report;
  }
  Async<CommandResult> start(dispatch::WorkerRef worker,
                             dispatch::StartRequest request,
                             std::chrono::milliseconds) override {
    Starts[request.Run.Task.Job].push_back(worker.Id);
    std::vector<dispatch::EndedRun> &ended = EndedRuns[worker.Id];
    ended.push_back({std::ssize(ended) + 1, request.Run, RunOutcome::Done, ""});
    co_return CommandResult::Done;
  }
  Async<CommandResult> stop(dispatch::WorkerRef, RunId, base::FencingToken,
                            std::chrono::milliseconds) override {
    co_return CommandResult::Done;
  }
  Async<CommandResult> throttle(dispatch::WorkerRef, RunId, std::int32_t,
                                base::FencingToken,
                                std::chrono::milliseconds) override {
    co_return CommandResult::Done;
  }
};

/// One node with two shards of one worker each.
class CapacityNode : public testing::Test {
protected:
  CapacityNode() {
    Store.put(dispatch::keys::layout(), R"({"shards":2})");
    dispatch::DispatchOptions options;
    options.Name = "n1";
    options.Instance = "n1-1";
    Node = std::make_unique<dispatch::DispatchNode>(Io.get_executor(), options,
                                                    Store, Workers, Time,
                                                    Events, MetricsRegistry);
    resize("w0", WorkerMilliCores);
    resize("w1", WorkerMilliCores);
    Node->start();
  }

  static constexpr std::int64_t WorkerMilliCores = 8000;

  void resize(const std::string &id, std::int64_t cpu) {
    model::WorkerProfile w;
    w.Id = base::WorkerId(id);
    w.Service = base::ServiceName("desk");
    w.Endpoint = {"10.0.0.1", 8080};
    w.Zone = base::ZoneId("a");
    w.Capacity.Cpu = base::MilliCores{cpu};
    w.Capacity.Memory = base::MebiBytes{WorkerMebiBytes};
    Node->updateWorker(w);
  }

  bool runUntil(const std::function<bool()> &done,
                std::chrono::milliseconds limit = 12000ms) {
    auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end)
      Io.run_for(5ms);
    return done();
  }

  dispatch::SubmitOutcome submit(std::uint64_t id) {
    model::AcceptedJob job;
    job.Id = JobNumber{id};
    job.Queue = "q";
    job.Policy.Service = base::ServiceName("desk");
    job.Graph.Steps.resize(1);
    job.Graph.Steps[0].Count = 1;
    job.Graph.Steps[0].Size.Cpu = base::MilliCores{TaskMilliCores};
    job.Graph.Steps[0].Estimate = 100ms;
    std::optional<dispatch::SubmitOutcome> outcome;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          outcome = co_await Node->submit(job);
        },
        asio::detached);
    runUntil([&] { return outcome.has_value(); });
    return outcome.value_or(dispatch::SubmitOutcome::Unknown);
  }

  bool allStarted(std::uint64_t last) const {
    for (std::uint64_t id = 1; id <= last; ++id)
      if (!Workers.Starts.contains(JobNumber{id}))
        return false;
    return true;
  }

  asio::io_context Io{1};
  base::SystemClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 64};
  dispatch::Metrics MetricsRegistry;
  InMemoryStore Store;
  ImmediateWorkers Workers;
  std::unique_ptr<dispatch::DispatchNode> Node;
};

TEST_F(CapacityNode, AllWorkersShrunk_JobsAreAcceptedAndRunAfterGrowth) {
  ASSERT_TRUE(runUntil([&] { return Node->ownedShards() == 2; }));
  resize("w0", 1000);
  resize("w1", 1000);
  for (std::uint64_t id = 1; id <= 6; ++id)
    EXPECT_EQ(submit(id), dispatch::SubmitOutcome::Accepted);
  Io.run_for(2500ms);
  EXPECT_TRUE(Workers.Starts.empty());
  resize("w1", WorkerMilliCores);
  EXPECT_TRUE(runUntil([&] { return allStarted(6); }));
  for (const auto &[job, workers] : Workers.Starts)
    EXPECT_EQ(workers, std::vector{base::WorkerId("w1")});
}

// The assignment lasts longer than a change of capacity: an owner with runs on
// a worker must not lose it.
TEST_F(CapacityNode, ChangedCapacity_KeepsTheAssignment) {
  ASSERT_TRUE(runUntil([&] {
    return Store.valueOf(dispatch::keys::assignment()).find("w1") !=
           std::string::npos;
  }));
  std::string before = Store.valueOf(dispatch::keys::assignment());
  resize("w0", 0);
  Io.run_for(600ms);
  EXPECT_EQ(Store.valueOf(dispatch::keys::assignment()), before);
  resize("w0", WorkerMilliCores);
  Io.run_for(600ms);
  EXPECT_EQ(Store.valueOf(dispatch::keys::assignment()), before);
}

/// Store whose listing and first watch a test defines.
class ScriptedStore final : public dispatch::MetadataStore {
public:
  dispatch::Listing FirstListing;
  dispatch::Changes FirstChanges;
  bool Watched = false;

  Async<dispatch::CommitOutcome> commit(dispatch::Commit) override {
    co_return unavailable();
  }
  Async<std::optional<dispatch::StoredItem>> read(std::string) override {
    co_return unavailable();
  }
  Async<dispatch::Listing> list(std::string) override {
    co_return FirstListing;
  }
  Async<dispatch::Changes> watch(std::string, std::int64_t,
                                 std::chrono::milliseconds wait) override {
    if (!std::exchange(Watched, true))
      co_return FirstChanges;
    asio::steady_timer timer(co_await asio::this_coro::executor, wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return unavailable();
  }
  Async<dispatch::LeaseId> grantLease(std::chrono::milliseconds) override {
    co_return unavailable();
  }
  Async<void> renewLease(dispatch::LeaseId) override {
    co_return unavailable();
  }
  Async<void> revokeLease(dispatch::LeaseId) override {
    co_return unavailable();
  }

private:
  static base::Error unavailable() {
    return {base::Errc::StoreUnavailable, "not scripted"};
  }
};

// Pages of a listing are no snapshot, so a watch that starts at its revision
// repeats older entries of the same incarnation of a worker.
TEST(CapacityMirror, OlderEntryAfterANewerOne_IsPassedOver) {
  asio::io_context io{1};
  base::SystemClock clock;
  base::HybridClock hybrid{clock};
  base::EventLog events{"test", hybrid, 64};
  ScriptedStore store;
  store.FirstListing = {{{"servers/w1", "shrunk", 9}}, 5};
  store.FirstChanges.List = {{{"servers/w1", "full", 7}, 7, false},
                             {{"servers/w1", "shrunk", 9}, 9, false},
                             {{"servers/w1", "grown", 11}, 11, false}};
  store.FirstChanges.AsOf = 11;
  std::vector<std::string> seen;
  dispatch::PrefixMirror mirror(
      io.get_executor(), store, "servers/",
      {[&](const dispatch::StoredItem &it) { seen.push_back(it.Value); },
       [](const std::string &) {}, [] {}},
      clock, events);
  mirror.start();
  io.run_for(50ms);
  EXPECT_EQ(seen, (std::vector<std::string>{"shrunk", "grown"}));
}

} // namespace
