// Tests of tasks that crash the workers that start them. Before crashes were
// counted, such a task was started again for as long as the shard had workers,
// and each crash ended the runs of other jobs.
#include "support/ShardFixture.h"

#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace endivedoor;
using namespace endivedoor::tests;

namespace {

class CrashFixture : public ShardFixture {
protected:
  void SetUp() override {
    for (const char *it : {"w1", "w2", "w3", "w4"})
      addWorker(it);
  }

  PollReport listOf(const std::string &worker) {
    PollReport report;
    for (const RunId &it : Running[worker])
      report.Running.push_back({it, "", 100, 0, false});
    return report;
  }

  /// Lets the workers carry out the planned starts and list them.
  std::vector<WorkerCommand> startAll() {
    std::vector<WorkerCommand> commands = plan();
    if (commands.empty()) {
      storeWrites();
      commands = plan();
    }
    confirmStarts(commands);
    for (const WorkerCommand &it : commands)
      Running[it.Worker.Id.str()].insert(it.Run);
    Time.advance(20ms);
    for (const WorkerCommand &it : commands)
      poll(it.Worker.Id.str(), listOf(it.Worker.Id.str()));
    return commands;
  }

  /// The worker crashes; later another incarnation with another id answers at
  /// its address.
  void crash(const std::string &worker) {
    TestShard.onPollFailed(base::WorkerId(worker), "connection reset", now());
    Running.erase(worker);
    Time.advance(3s);
    PollReport report;
    report.WrongIncarnation = true;
    poll(worker, report);
    TestShard.unlistWorker(base::WorkerId(worker));
    addWorker("w" + std::to_string(++NextWorker));
  }

  std::optional<model::JobState> finalStateOf(std::uint64_t job) {
    for (const dispatch::JobWrite &it : TestShard.takeWrites(100))
      if (it.Job == JobNumber{job})
        return it.Final;
    return std::nullopt;
  }

  std::map<std::string, std::set<RunId>> Running;
  int NextWorker = 4;
};

using CrashingTask = CrashFixture;
using CrashedWorker = CrashFixture;

TEST_F(CrashingTask, AloneOnItsWorkers_IsGivenUpAfterTwoCrashes) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  for (int i = 0; i < 2; ++i) {
    std::vector<WorkerCommand> commands = startAll();
    ASSERT_EQ(commands.size(), 1u) << "start " << i;
    crash(commands[0].Worker.Id.str());
  }
  EXPECT_EQ(finalStateOf(1), model::JobState::Failed);
  EXPECT_TRUE(plan().empty());
}

// The count must survive the owner: an owner that starts a suspect before its
// crash is stored leaves the next owner without it.
TEST_F(CrashingTask, CrashNotStored_IsNotStartedAgain) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  TestShard.addJob(job(2, {step(1)}), 201, false, now());
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 2u);
  crash(commands[0].Worker.Id.str());
  TestShard.addJob(job(3, {step(1)}), 202, false, now());
  commands = plan();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].Run.Task.Job, JobNumber{3});
  EXPECT_TRUE(plan().empty());
  storeWrites();
  EXPECT_FALSE(plan().empty());
}

TEST_F(CrashingTask, NewOwner_ContinuesTheCount) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  crash(startAll().at(0).Worker.Id.str());
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  base::Result<dispatch::JobProgress> stored =
      dispatch::decodeProgress(dispatch::encodeProgress(writes[0].Progress));
  ASSERT_TRUE(stored);
  TestShard.onStored(writes, now());
  EXPECT_TRUE(plan().empty());
  // The next owner gets the same job under another number.
  TestShard.cancelJob(JobNumber{1}, now());
  TestShard.addJob(job(2, {step(1)}), 300, true, now());
  TestShard.restore(JobNumber{2}, stored.value(), 301);
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  crash(commands[0].Worker.Id.str());
  EXPECT_EQ(finalStateOf(2), model::JobState::Failed);
}

// An owner that was replaced right after it had started a suspect has not seen
// the crash; the next one finds that the announced run is gone.
TEST_F(CrashingTask, AnnouncedRunWithoutTrace_CountsAsCrash) {
  dispatch::JobProgress progress;
  progress.Occurrences.push_back({0, false, {{}}});
  progress.Occurrences[0].Tasks[0].Crashes = {{1, 2, 3}, 0, 4, 0ms, 2};
  TestShard.addJob(job(1, {step(1)}), 5, true, now());
  TestShard.restore(JobNumber{1}, progress, 6);
  EXPECT_TRUE(plan().empty());
  EXPECT_EQ(finalStateOf(1), model::JobState::Failed);
}

// Soak seed 3: a start without an answer, an announced run that was never sent
// and one crash that was seen made a job fail that could be done.
TEST_F(CrashingTask, OneConfirmedCrash_DoesNotSuffice) {
  dispatch::JobProgress progress;
  progress.Occurrences.push_back({0, false, {{}}});
  progress.Occurrences[0].Tasks[0].Crashes = {{1}, 1, 2};
  TestShard.addJob(job(1, {step(1)}), 5, true, now());
  TestShard.restore(JobNumber{1}, progress, 6);
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  crash(commands[0].Worker.Id.str());
  EXPECT_FALSE(finalStateOf(1));
}

TEST_F(CrashingTask, AnnouncedRunThatIsFound_IsNoCrash) {
  dispatch::JobProgress progress;
  progress.Occurrences.push_back({0, false, {{}}});
  progress.Occurrences[0].Tasks[0].Crashes = {{1, 2, 3}, 0, 4, 0ms, 2};
  TestShard.addJob(job(1, {step(1)}), 5, true, now());
  TestShard.restore(JobNumber{1}, progress, 6);
  RunId announced{{JobNumber{1}, 0, 0, 0}, 4};
  PollReport report;
  report.Running.push_back({announced, "", 50, 4000, true});
  addWorker("w5", report);
  report = {};
  report.Ended.push_back({1, announced, RunOutcome::Stopped, ""});
  poll("w5", report);
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_FALSE(finalStateOf(1));
}

TEST_F(CrashingTask, HandoverToAnotherShard_CarriesTheCount) {
  dispatch::JobPart part;
  part.Tasks.push_back({0, 2, {{5, 9}, 1, 0, 700ms, 2}});
  part.HomeShard = 4;
  model::AcceptedJob accepted = job(1, {step(3)});
  base::Result<std::string> record =
      dispatch::encodeJob(accepted, nullptr, &part);
  ASSERT_TRUE(record);
  auto decoded = dispatch::decodePart(record.value());
  ASSERT_TRUE(decoded && decoded.value());
  const dispatch::CrashRecord &crashes = decoded.value()->Tasks.at(0).Crashes;
  EXPECT_EQ(crashes.Runs, (std::vector<std::int64_t>{5, 9}));
  EXPECT_EQ(crashes.LatestStarts, 1);
  EXPECT_EQ(crashes.LongestRun, 700ms);
  EXPECT_EQ(crashes.Confirmed, 2);
  EXPECT_EQ(decoded.value()->HomeShard, 4);
}

// A run that a cut-off owner announced, and of which no worker knows, was
// forgotten when its task was delegated or its job moved.
TEST_F(CrashingTask, AnnouncedByACutOffOwner_CountsBeforeTheTaskLeaves) {
  model::StepSpec longRunning = step(1, WorkerMilliCores + 1);
  longRunning.LongRunning = true;
  dispatch::JobProgress progress;
  progress.Occurrences.push_back({0, false, {{}}});
  progress.Occurrences[0].Tasks[0].Crashes = {{1}, 1, 2, 10ms, 1};
  TestShard.addJob(job(1, {longRunning}), 5, true, now());
  TestShard.restore(JobNumber{1}, progress, 6);
  plan();
  TestShard.onRoomGrant({JobNumber{1}, 0, 0, 0}, {4}, now());
  EXPECT_FALSE(TestShard.takeGranted(now()));
  Time.advance(100ms);
  storeWrites();
  std::optional<dispatch::Delegation> offered = TestShard.takeGranted(now());
  ASSERT_TRUE(offered);
  const dispatch::CrashRecord &crashes = offered->Part.Tasks.at(0).Crashes;
  EXPECT_EQ(crashes.Runs, (std::vector<std::int64_t>{1, 2}));
  EXPECT_EQ(crashes.AnnouncedRun, 0);
}

// The same while a worker of the cut-off owner may still list the run.
TEST_F(CrashingTask, AnnouncedOnACutOffWorker_TaskStaysUntilItIsKnown) {
  model::StepSpec longRunning = step(1, WorkerMilliCores + 1);
  longRunning.LongRunning = true;
  TaskKey task{JobNumber{1}, 0, 0, 0};
  dispatch::RosterEntry entry;
  entry.Id = base::WorkerId("silent");
  entry.Term = Term - 1;
  entry.Tasks = std::vector<TaskKey>{task};
  TestShard.markUnverified({entry}, {{Term - 1, now(), true}}, now());
  dispatch::JobProgress progress;
  progress.Occurrences.push_back({0, false, {{}}});
  progress.Occurrences[0].Tasks[0].Crashes = {{1}, 1, 2, 10ms, 1};
  TestShard.addJob(job(1, {longRunning}), 5, true, now());
  TestShard.restore(JobNumber{1}, progress, 6);
  plan();
  TestShard.onRoomGrant(task, {4}, now());
  EXPECT_FALSE(TestShard.takeGranted(now()));
  for (const dispatch::JobWrite &it : TestShard.takeWrites(9))
    EXPECT_NE(it.Job, JobNumber{1});
}

// The home shard runs the other tasks of the job and must stop them.
TEST_F(CrashingTask, DelegatedTaskGivenUp_EndsTheJobInItsHomeShard) {
  model::StepSpec longRunning = step(2);
  longRunning.LongRunning = true;
  dispatch::JobPart part;
  part.Tasks.push_back({0, 1, {{5}, 1, 0, 10ms, 1}});
  part.HomeShard = 4;
  TestShard.addJob(job(1, {longRunning}), 200, false, now(), &part);
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  crash(commands[0].Worker.Id.str());
  EXPECT_FALSE(finalStateOf(1));
  std::vector<dispatch::CancelForward> forwards =
      TestShard.takeCancelForwards(9);
  ASSERT_EQ(forwards.size(), 1u);
  EXPECT_EQ(forwards[0].Shard, 4);
  TestShard.onCancelForwards(forwards, true);
  EXPECT_EQ(finalStateOf(1), model::JobState::Failed);
}

TEST_F(CrashingTask, GangMember_FailsTheGangAfterTwoCrashes) {
  model::StepSpec gang = step(2, 20000);
  gang.Gang = true;
  TestShard.addJob(job(1, {gang}), 200, false, now());
  for (int i = 0; i < 2; ++i) {
    std::vector<WorkerCommand> commands = startAll();
    ASSERT_EQ(commands.size(), 2u) << "start " << i;
    std::string other = commands[1].Worker.Id.str();
    crash(commands[0].Worker.Id.str());
    Running[other].erase(commands[1].Run);
    PollReport report;
    report.Ended.push_back(
        {i + 1, commands[1].Run, RunOutcome::GangBroken, ""});
    poll(other, report);
  }
  EXPECT_EQ(finalStateOf(1), model::JobState::Failed);
}

// One crash makes all tasks of a worker suspects. Two suspects on one worker
// would leave it open again which of them crashes workers.
TEST_F(CrashedWorker, Suspects_StartOnDifferentWorkers) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  TestShard.addJob(job(2, {step(1)}), 201, false, now());
  TestShard.addJob(job(3, {step(1)}), 202, false, now());
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 3u);
  ASSERT_EQ(commands[0].Worker.Id, commands[2].Worker.Id);
  crash(commands[0].Worker.Id.str());
  commands = startAll();
  std::set<base::WorkerId> workers;
  for (const WorkerCommand &it : commands)
    workers.insert(it.Worker.Id);
  EXPECT_EQ(commands.size(), 3u);
  EXPECT_EQ(workers.size(), 3u);
}

// An announced run that was not started would count as a crash at the next
// takeover.
TEST_F(CrashedWorker, SuspectsWithoutAWorker_AreNotAnnounced) {
  for (std::uint64_t i = 1; i <= 6; ++i)
    TestShard.addJob(job(i, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 6u);
  crash(commands[0].Worker.Id.str());
  EXPECT_TRUE(plan().empty());
  int announced = 0;
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(100);
  for (const dispatch::JobWrite &it : writes)
    announced +=
        it.Progress.Occurrences.at(0).Tasks.at(0).Crashes.AnnouncedRun > 0;
  EXPECT_EQ(announced, 4);
  TestShard.onStored(writes, now());
  TestShard.withdrawAnnouncements();
  EXPECT_EQ(TestShard.takeWrites(100).size(), 4u);
}

// kcs-orders trouble-1: a suspect that was announced beside another one after
// its wait was withdrawn in the next pass, because the wait had begun anew.
TEST_F(CrashedWorker, NoWorkerWithoutSuspects_SuspectStartsAfterAWait) {
  std::vector<model::StepSpec> longRunning = {step(4, 3000)};
  longRunning[0].LongRunning = true;
  longRunning[0].MaxPerWorker = 1;
  TestShard.addJob(job(1, longRunning), 200, false, now());
  TestShard.addJob(job(2, {step(1)}), 201, false, now());
  TestShard.addJob(job(3, {step(1)}), 202, false, now());
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 6u);
  std::set<std::string> workers;
  for (const WorkerCommand &it : commands)
    workers.insert(it.Worker.Id.str());
  for (const std::string &it : workers)
    crash(it);
  int started = 0;
  for (int i = 0; i < 40; ++i) {
    Time.advance(100ms);
    commands = plan();
    confirmStarts(commands);
    started += static_cast<int>(commands.size());
    storeWrites();
  }
  EXPECT_EQ(started, 6);
}

TEST_F(CrashedWorker, Suspect_AvoidsLongRunningTasks) {
  model::StepSpec longRunning = step(1);
  longRunning.LongRunning = true;
  TestShard.addJob(job(1, {longRunning}), 200, false, now());
  std::string dear = startAll().at(0).Worker.Id.str();
  // Best fit prefers the worker that is already in use.
  TestShard.addJob(job(2, {step(1, 30000)}), 201, false, now());
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  ASSERT_NE(commands[0].Worker.Id.str(), dear);
  crash(commands[0].Worker.Id.str());
  commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_NE(commands[0].Worker.Id.str(), dear);
}

TEST_F(CrashedWorker, PlannedLeave_IsNoCrash) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  for (int i = 0; i < 5; ++i) {
    std::vector<WorkerCommand> commands = startAll();
    ASSERT_EQ(commands.size(), 1u) << "start " << i;
    std::string id = commands[0].Worker.Id.str();
    model::WorkerProfile leaving = worker(id);
    leaving.Draining = true;
    TestShard.updateWorker(leaving, now());
    crash(id);
    storeWrites();
  }
}

// A worker that is cut off says nothing about its tasks.
TEST_F(CrashedWorker, ExpiredLease_IsNoCrash) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  for (int i = 0; i < 5; ++i) {
    std::vector<WorkerCommand> commands = startAll();
    ASSERT_EQ(commands.size(), 1u) << "start " << i;
    std::string silent = commands[0].Worker.Id.str();
    TestShard.onPollFailed(base::WorkerId(silent), "timeout", now());
    TestShard.unlistWorker(base::WorkerId(silent));
    Time.advance(7s);
    addWorker("w" + std::to_string(++NextWorker));
  }
}

// A start that was sent while the worker restarted may run in its new
// incarnation. It counts as a crash only if the new incarnation lacks it.
TEST_F(CrashedWorker, UnansweredStart_CountsOnlyIfTheRunIsGone) {
  for (bool gone : {false, true}) {
    std::uint64_t id = gone ? 2 : 1;
    TestShard.addJob(job(id, {step(1)}), 200, false, now());
    std::vector<WorkerCommand> commands = plan();
    ASSERT_EQ(commands.size(), 1u);
    std::string at = commands[0].Worker.Id.str();
    model::WorkerProfile reborn = worker(at);
    reborn.StartTime = gone ? 3000ms : 2000ms;
    TestShard.updateWorker(reborn, now());
    PollReport report;
    report.StartTime = reborn.StartTime;
    if (!gone)
      report.Running.push_back({commands[0].Run, "", 100, 0, false});
    poll(at, report);
    Time.advance(400ms);
    for (const WorkerCommand &it : plan(WorkerCommand::Kind::Stop))
      TestShard.onStop(it, CommandResult::Done, now());
    Time.advance(10ms);
    poll(at, report);
    // The removal of the first, cancelled job may be due as well.
    std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(9);
    EXPECT_EQ(
        std::count_if(writes.begin(), writes.end(),
                      [&](const auto &it) { return it.Job == JobNumber{id}; }),
        gone ? 1 : 0);
    TestShard.cancelJob(JobNumber{id}, now());
  }
}

// Seed 3 of the soak: a run was taken as a survivor although its worker had
// crashed and was not back yet.
TEST_F(CrashedWorker, SilenceAfterAStart_IsNoSurvival) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  crash(startAll().at(0).Worker.Id.str());
  std::string at = startAll().at(0).Worker.Id.str();
  TestShard.onPollFailed(base::WorkerId(at), "connection reset", now());
  storeWrites();
  for (int i = 0; i < 5; ++i) {
    Time.advance(1s);
    plan();
  }
  crash(at);
  EXPECT_EQ(finalStateOf(1), model::JobState::Failed);
}

// Seed 41 of the soak: owners were replaced between the crash of a worker and
// its return, and each successor started the task again.
TEST_F(CrashedWorker, RefusedPoll_StoresTheRunsForTheNextOwner) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  std::vector<WorkerCommand> commands = startAll();
  ASSERT_EQ(commands.size(), 1u);
  base::WorkerId at = commands[0].Worker.Id;
  TestShard.onPollFailed(at, "end of stream", now());
  EXPECT_FALSE(TestShard.hasWrites());
  TestShard.onPollFailed(at, "connection refused", now(), true);
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  TestShard.addJob(job(2, {step(1)}), 300, true, now());
  TestShard.restore(JobNumber{2}, writes[0].Progress, 301);
  EXPECT_TRUE(plan().empty());
  writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes[0].Progress.Occurrences.at(0).Tasks.at(0).Crashes.Runs,
            (std::vector<std::int64_t>{commands[0].Run.Number}));
}

TEST_F(CrashedWorker, SurvivingRun_ClearsItsTask) {
  TestShard.addJob(job(1, {step(1)}), 200, false, now());
  crash(startAll().at(0).Worker.Id.str());
  std::string at = startAll().at(0).Worker.Id.str();
  for (int i = 0; i < 6; ++i) {
    Time.advance(1s);
    PollReport report = listOf(at);
    report.Running[0].SpeedPercent = 50;
    report.Running[0].HasGauge = true;
    report.Running[0].Gauge = 4000;
    poll(at, report);
    plan();
  }
  std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(9);
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_FALSE(writes[0].Final);
  for (const dispatch::OccurrenceProgress &it : writes[0].Progress.Occurrences)
    EXPECT_TRUE(it.Tasks.empty());
}

/// A shard whose workers run tasks for some time, some of which crash their
/// worker soon after the start.
class CrashSimulation {
public:
  /// \param crashing jobs whose task crashes its workers.
  /// \param fuse time from a start to the crash.
  CrashSimulation(std::int32_t workers, std::int32_t jobs,
                  std::set<std::uint64_t> crashing, base::Duration fuse)
      : Crashing(std::move(crashing)), Fuse(fuse) {
    startTerm({});
    for (std::int32_t i = 0; i < workers; ++i)
      addWorker();
    for (std::int32_t i = 1; i <= jobs; ++i) {
      model::AcceptedJob j;
      j.Id = JobNumber{static_cast<std::uint64_t>(i)};
      j.Queue = "q";
      j.Policy.Service = base::ServiceName("desk");
      j.Policy.MaxAttempts = 4;
      model::StepSpec s;
      s.Count = 1;
      s.Size.Cpu = base::MilliCores{4000};
      s.Estimate = 600ms;
      j.Graph.Steps = {s};
      Jobs[j.Id] = j;
      Owner->addJob(j, 100 + i, false, Time.now());
    }
  }

  /// Runs for \p time. The owner is replaced at an interval of \p term.
  void run(base::Duration time, base::Duration term) {
    base::TimePoint end = Time.now() + time, changed = Time.now();
    while (Time.now() < end) {
      if (Time.now() - changed > term) {
        changed = Time.now();
        replaceOwner();
      }
      step();
    }
  }

  std::map<JobNumber, std::vector<base::TimePoint>> Crashes;
  /// Starts after the third crash.
  std::map<JobNumber, int> LateStarts;
  std::map<JobNumber, model::JobState> Finals;

private:
  struct SimulatedWorker {
    model::WorkerProfile Profile;
    std::map<RunId, base::TimePoint> Runs;
    std::vector<dispatch::EndedRun> Ended;
    std::optional<base::TimePoint> BackAt;
    std::int64_t Ends = 0;
    bool Gone = false;
  };

  void startTerm(std::int64_t number) {
    Term = number + 1;
    Owner = std::make_unique<Shard>(
        dispatch::ShardOptions{}, 0, Term,
        base::FencingToken{static_cast<std::uint64_t>(Term)}, Events,
        MetricsRegistry);
  }

  void replaceOwner() {
    startTerm(Term);
    std::vector<dispatch::RosterEntry> roster;
    for (const auto &[id, it] : Workers)
      roster.push_back({it.Profile.Id, it.Profile.Endpoint});
    Owner->markUnverified(roster, {}, Time.now());
    for (const auto &[id, it] : Jobs)
      if (!Finals.contains(id)) {
        Owner->addJob(it, 100, true, Time.now());
        if (Progress.contains(id))
          Owner->restore(id, Progress[id], 100);
      }
    for (auto &[id, it] : Workers)
      if (!it.Gone && !it.BackAt)
        announce(it);
  }

  void announce(SimulatedWorker &w) {
    Owner->updateWorker(w.Profile, Time.now());
  }

  void addWorker() {
    SimulatedWorker w;
    w.Profile.Id = base::WorkerId("w" + std::to_string(++LastWorker));
    w.Profile.Service = base::ServiceName("desk");
    w.Profile.Endpoint = {"10.0.0.1", 8080};
    w.Profile.Zone = base::ZoneId("a");
    w.Profile.Capacity.Cpu = base::MilliCores{32000};
    w.Profile.Capacity.Memory = base::MebiBytes{128000};
    w.Profile.StartTime = 1000ms;
    announce(Workers.emplace(w.Profile.Id, std::move(w)).first->second);
  }

  void step() {
    Time.advance(20ms);
    Owner->onRosterStored(Owner->roster());
    std::vector<WorkerCommand> commands =
        Owner->plan(Time.now(), Time.wallNow(), true);
    for (const WorkerCommand &it : commands)
      execute(it);
    int added = 0;
    for (auto &[id, w] : Workers)
      added += advance(w);
    for (; added > 0; --added)
      addWorker();
    std::vector<dispatch::JobWrite> writes = Owner->takeWrites(100);
    for (dispatch::JobWrite &it : writes) {
      Progress[it.Job] = it.Progress;
      if (it.Final)
        Finals[it.Job] = *it.Final;
      it.Revision = 100;
    }
    Owner->onStored(writes, Time.now());
  }

  void execute(const WorkerCommand &it) {
    SimulatedWorker &w = Workers.at(it.Worker.Id);
    if (w.Gone || w.BackAt) {
      if (it.Type == WorkerCommand::Kind::Start)
        Owner->onStart(it, base::fail(base::Errc::WorkerUnreachable, ""),
                       Time.now());
      return;
    }
    if (it.Type == WorkerCommand::Kind::Start) {
      JobNumber job = it.Run.Task.Job;
      w.Runs[it.Run] = Time.now();
      LateStarts[job] += Crashes[job].size() >= 3;
      Owner->onStart(it, CommandResult::Done, Time.now());
    } else if (it.Type == WorkerCommand::Kind::Stop) {
      if (w.Runs.erase(it.Run) > 0)
        w.Ended.push_back({++w.Ends, it.Run, RunOutcome::Stopped, ""});
      Owner->onStop(it, CommandResult::Done, Time.now());
    }
  }

  /// Returns whether a new incarnation of the worker has appeared.
  bool advance(SimulatedWorker &w) {
    if (w.Gone)
      return false;
    PollReport report;
    report.Clock = std::chrono::duration_cast<std::chrono::milliseconds>(
        Time.now().time_since_epoch());
    report.StartTime = w.Profile.StartTime;
    if (w.BackAt && Time.now() < *w.BackAt) {
      Owner->onPollFailed(w.Profile.Id, "connection refused", Time.now(), true);
      return false;
    }
    if (w.BackAt) {
      w.Gone = true;
      report.WrongIncarnation = true;
      Owner->onPoll(w.Profile.Id, report, Time.now(), Time.now());
      Owner->unlistWorker(w.Profile.Id);
      return true;
    }
    bool crashes = false;
    for (auto it = w.Runs.begin(); it != w.Runs.end();) {
      JobNumber job = it->first.Task.Job;
      bool fatal = Crashing.contains(base::toNumber(job));
      crashes = crashes || (fatal && Time.now() - it->second >= Fuse);
      if (!fatal && Time.now() - it->second > 600ms) {
        w.Ended.push_back({++w.Ends, it->first, RunOutcome::Done, ""});
        it = w.Runs.erase(it);
      } else {
        ++it;
      }
    }
    if (crashes) {
      for (const auto &[run, since] : w.Runs)
        if (Crashing.contains(base::toNumber(run.Task.Job)) &&
            Time.now() - since >= Fuse)
          Crashes[run.Task.Job].push_back(Time.now());
      w.Runs.clear();
      w.Ended.clear();
      w.BackAt = Time.now() + 3s;
      return false;
    }
    Owner->nextPoll(w.Profile.Id, Time.now(), true);
    for (const auto &[run, since] : w.Runs)
      report.Running.push_back({run, "", 50, 4000, true});
    report.Ended = w.Ended;
    Owner->onPoll(w.Profile.Id, report, Time.now(), Time.now());
    return false;
  }

  std::set<std::uint64_t> Crashing;
  base::Duration Fuse;
  base::ManualClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 64};
  dispatch::Metrics MetricsRegistry;
  std::unique_ptr<Shard> Owner;
  std::int64_t Term = 0;
  std::map<JobNumber, model::AcceptedJob> Jobs;
  std::map<JobNumber, dispatch::JobProgress> Progress;
  std::map<base::WorkerId, SimulatedWorker> Workers;
  int LastWorker = 0;
};

// A full shard with some tasks that crash their workers, and owners that are
// replaced meanwhile: each such job is given up in time, all others succeed.
RC_GTEST_PROP(CrashingTasks, AmongOthers_AreFoundAndOnlyThey, ()) {
  auto jobs = *rc::gen::inRange(20, 60);
  auto crashing = *rc::gen::container<std::set<std::uint64_t>>(
      3, rc::gen::inRange<std::uint64_t>(1, 20));
  auto fuse = std::chrono::milliseconds(*rc::gen::inRange(10, 400));
  auto term = std::chrono::milliseconds(*rc::gen::inRange(9000, 30000));
  CrashSimulation simulation(8, jobs, crashing, fuse);
  simulation.run(120s, term);
  for (std::int32_t i = 1; i <= jobs; ++i) {
    JobNumber id{static_cast<std::uint64_t>(i)};
    RC_ASSERT(simulation.Finals.contains(id));
    RC_ASSERT(simulation.LateStarts[id] <= 2);
    RC_ASSERT(simulation.Finals[id] == (crashing.contains(base::toNumber(id))
                                            ? model::JobState::Failed
                                            : model::JobState::Succeeded));
  }
}

// Owners that are replaced before they see the crashes that they caused.
RC_GTEST_PROP(CrashingTasks, OwnersReplacedInSeries_KeepTheBound, ()) {
  auto fuse = std::chrono::milliseconds(*rc::gen::inRange(10, 400));
  auto term = std::chrono::milliseconds(*rc::gen::inRange(500, 9000));
  CrashSimulation simulation(8, 30, {1, 2, 3}, fuse);
  simulation.run(60s, term);
  for (const auto &[id, starts] : simulation.LateStarts)
    RC_ASSERT(starts <= 2);
  for (const auto &[id, state] : simulation.Finals)
    RC_ASSERT(state == model::JobState::Succeeded || base::toNumber(id) <= 3);
}

} // namespace
