// Replays of a shard that short work keeps full while long-running tasks wait.
// A worker has room for each of them beside its long-running tasks, so that
// short work must give way before the callers count the task as lost.
#include "support/ShardFixture.h"

#include <glog/logging.h>

#include <cstdio>
#include <random>

using namespace endivedoor;
using namespace endivedoor::tests;
using std::chrono::milliseconds;

namespace {

/// After this time without a run, the callers count a task as lost.
constexpr milliseconds CallersBound = 6000ms;
constexpr auto Tick = 10ms;
constexpr auto PollInterval = 250ms;
constexpr milliseconds SubmittedAt = 6000ms;

/// A program whose jobs arrive as soon as few of its tasks wait.
struct Stream {
  std::string Image;
  std::int64_t Cpu = 0;
  std::int64_t Memory = 500;
  milliseconds MeanTime{800};
  std::int32_t TasksPerJob = 4;
  /// Jobs are added while fewer tasks wait.
  std::int32_t Backlog = 12;
  milliseconds Target{1000};
  /// Any if negative.
  std::int32_t Priority = -1;
  bool Filler = false;
  /// Declared run time as a multiple of the mean.
  double Declared = 1;
};

struct WaitingSteps {
  std::int32_t Steps = 1;
  std::int32_t TasksPerStep = 1;
  std::int64_t Cpu = 6000;
  std::int64_t Memory = 4000;
};

class FullShardWithShortWork : public ShardFixture,
                               public testing::WithParamInterface<int> {
protected:
  static constexpr std::int32_t Workers = 16;
  static constexpr std::int64_t Cpu = 16000;
  static constexpr std::int64_t Memory = 64000;
  /// Long-running on each worker from the start.
  static constexpr std::int64_t LongRunningCpu = 6000;
  static constexpr std::int64_t Room = Cpu - LongRunningCpu;

  static std::vector<Stream> smallSizes() {
    return {{.Image = "s1", .Cpu = 1000},
            {.Image = "s2", .Cpu = 1800, .MeanTime = 600ms},
            {.Image = "s3", .Cpu = 3200, .MeanTime = 1200ms}};
  }

  static Stream fillers(milliseconds meanTime) {
    return {.Image = "f",
            .Cpu = 800,
            .Memory = 6000,
            .MeanTime = meanTime,
            .TasksPerJob = 10,
            .Backlog = 40,
            .Filler = true};
  }

  void SetUp() override {
    FLAGS_minloglevel = google::GLOG_ERROR;
    for (std::int32_t i = 0; i < Workers; ++i) {
      std::string id = "w" + std::to_string(100 + i);
      model::WorkerProfile w = worker(id);
      w.Capacity.Cpu = base::MilliCores{Cpu};
      w.Capacity.Memory = base::MebiBytes{Memory};
      TestShard.updateWorker(w, now());
      Simulated[w.Id].NextPoll = now();
    }
    submitLongRunning({1, Workers, LongRunningCpu, 4000}, 1);
  }

  /// Expects that long-running steps, which are submitted to the full shard,
  /// start within the bound of the callers.
  void expectBound(const std::vector<Stream> &streams,
                   const WaitingSteps &waiting) {
    Random.seed(static_cast<std::uint32_t>(GetParam()));
    replay(streams, SubmittedAt);
    base::TimePoint submitted = now();
    ASSERT_EQ(std::ssize(LongRunningStarts), Workers);
    LongRunningStarts.clear();
    ShortStarts = 0;
    submitLongRunning(waiting, 0);
    std::int32_t tasks = waiting.Steps * waiting.TasksPerStep;
    replay(streams, 3 * CallersBound, tasks);
    auto late = std::count_if(
        LongRunningStarts.begin(), LongRunningStarts.end(),
        [&](base::TimePoint it) { return it - submitted > CallersBound; });
    std::printf("started %d of %d, %d late, the last after %d ms, and %d short "
                "tasks\n",
                int(LongRunningStarts.size()), int(tasks), int(late),
                int((now() - submitted) / 1ms), int(ShortStarts));
    EXPECT_EQ(std::ssize(LongRunningStarts), tasks);
    EXPECT_EQ(late, 0);
  }

private:
  struct SimulatedWorker {
    std::map<RunId, base::TimePoint> Runs;
    std::vector<dispatch::EndedRun> Ended;
    std::int64_t Sequence = 0;
    base::TimePoint NextPoll;
  };

  /// Runs the streams for some time, or until enough long-running tasks have
  /// started.
  void replay(const std::vector<Stream> &streams, milliseconds time,
              std::ptrdiff_t enough = PTRDIFF_MAX) {
    base::TimePoint end = now() + time;
    while (now() < end && std::ssize(LongRunningStarts) < enough) {
      for (const Stream &it : streams)
        while (Waiting[it.Image] < it.Backlog)
          submit(it);
      advance();
    }
  }

  void submitLongRunning(const WaitingSteps &waiting,
                         std::int32_t maxPerWorker) {
    for (std::int32_t i = 0; i < waiting.Steps; ++i) {
      model::StepSpec spec = step(waiting.TasksPerStep, waiting.Cpu);
      spec.Size.Memory = base::MebiBytes{waiting.Memory};
      spec.LongRunning = true;
      spec.Image = "service";
      spec.MaxPerWorker = maxPerWorker;
      model::AcceptedJob added = job(++LastJob, {spec});
      added.Queue = "serving";
      added.Policy.Target = 2000ms;
      TestShard.addJob(added, ++Revision, false, now());
    }
  }

  void submit(const Stream &stream) {
    model::StepSpec spec = step(stream.TasksPerJob, stream.Cpu);
    spec.Size.Memory = base::MebiBytes{stream.Memory};
    spec.Image = stream.Image;
    spec.Filler = spec.SupportsCheckpoints = stream.Filler;
    spec.Estimate = std::chrono::duration_cast<milliseconds>(stream.MeanTime *
                                                             stream.Declared);
    model::AcceptedJob added = job(++LastJob, {spec});
    added.Queue = stream.Image;
    added.Policy.Target = stream.Target;
    added.Policy.Stretch = 1.5;
    added.Policy.Priority = stream.Priority >= 0
                                ? stream.Priority
                                : static_cast<std::int32_t>(Random() % 3);
    TestShard.addJob(added, ++Revision, false, now());
    MeanTimes[added.Id] = stream.MeanTime;
    Images[added.Id] = stream.Image;
    Waiting[stream.Image] += stream.TasksPerJob;
  }

  bool endDueRuns(SimulatedWorker &w) {
    auto ended = std::erase_if(w.Runs, [&](const auto &it) {
      if (it.second > now())
        return false;
      w.Ended.push_back({++w.Sequence, it.first, RunOutcome::Done, ""});
      return true;
    });
    return ended > 0;
  }

  void advance() {
    for (auto &[id, w] : Simulated)
      if (endDueRuns(w) || w.NextPoll <= now())
        pollWorker(id, w);
    storeRoster();
    for (const WorkerCommand &it : TestShard.plan(now(), Time.wallNow(), true))
      carryOut(it);
    storeWrites();
    Time.advance(Tick);
  }

  void pollWorker(const base::WorkerId &id, SimulatedWorker &w) {
    w.NextPoll = now() + PollInterval;
    auto planned = TestShard.nextPoll(id, now(), true);
    if (!planned)
      return;
    PollReport report;
    report.Clock =
        std::chrono::duration_cast<milliseconds>(now().time_since_epoch());
    report.StartTime = 1000ms;
    std::erase_if(w.Ended, [&](const dispatch::EndedRun &it) {
      return it.SequenceNumber <= planned->Request.AcknowledgedEnd;
    });
    report.Ended = w.Ended;
    for (const auto &[run, end] : w.Runs)
      report.Running.push_back({run, "", 100, 0, false});
    TestShard.onPoll(id, report, now(), now());
  }

  void carryOut(const WorkerCommand &it) {
    SimulatedWorker &w = Simulated[it.Worker.Id];
    JobNumber id = it.Run.Task.Job;
    if (it.Type == WorkerCommand::Kind::Stop) {
      if (w.Runs.erase(it.Run)) {
        w.Ended.push_back({++w.Sequence, it.Run, RunOutcome::Stopped, ""});
        if (MeanTimes.contains(id))
          ++Waiting[Images[id]];
      }
      TestShard.onStop(it, CommandResult::Done, now());
    }
    if (it.Type != WorkerCommand::Kind::Start)
      return;
    auto mean = MeanTimes.find(id);
    if (mean == MeanTimes.end()) {
      w.Runs[it.Run] = base::TimePoint::max();
      LongRunningStarts.push_back(now());
    } else {
      std::uniform_real_distribution<> spread(0.5, 1.5);
      w.Runs[it.Run] = now() + std::chrono::duration_cast<base::Duration>(
                                   mean->second * spread(Random));
      --Waiting[Images[id]];
      ++ShortStarts;
    }
    TestShard.onStart(it, CommandResult::Done, now());
  }

  std::mt19937 Random;
  std::map<base::WorkerId, SimulatedWorker> Simulated;
  std::map<JobNumber, milliseconds> MeanTimes;
  std::map<JobNumber, std::string> Images;
  /// Tasks without a run, by program.
  std::map<std::string, std::int32_t> Waiting;
  std::vector<base::TimePoint> LongRunningStarts;
  std::uint64_t LastJob = 0;
  std::int32_t ShortStarts = 0;
};

INSTANTIATE_TEST_SUITE_P(Seeds, FullShardWithShortWork,
                         testing::Values(1, 2, 3, 4));

// A task of usual size behind small short tasks that take each free piece.
TEST_P(FullShardWithShortWork, LongRunningTask_StartsWithinTheCallersBound) {
  expectBound(smallSizes(), {});
}

// No short task may be left beside it, so the worker must drain.
TEST_P(FullShardWithShortWork,
       LongRunningTaskOfAllRoom_StartsWithinTheCallersBound) {
  expectBound(smallSizes(), {.Cpu = Room});
}

// Declared run times are too short, so reservations end overdue.
TEST_P(FullShardWithShortWork,
       DeclaredTimesTooShort_TaskStartsWithinTheCallersBound) {
  std::vector<Stream> streams = smallSizes();
  for (Stream &it : streams)
    it.Declared = 1.0 / 3;
  expectBound(streams, {.Cpu = Room});
}

// Programs whose run times are hardly learned, declared wrong in both ways.
TEST_P(FullShardWithShortWork, ManyPrograms_TaskStartsWithinTheCallersBound) {
  std::vector<Stream> streams;
  for (int i = 0; i < 40; ++i)
    streams.push_back({.Image = "p" + std::to_string(i),
                       .Cpu = 1000 + 200 * (i % 10),
                       .MeanTime = milliseconds(500 + 60 * i),
                       .Backlog = 4,
                       .Declared = i % 2 ? 1.0 / 3 : 3});
  expectBound(streams, {.Cpu = Room});
}

// Large short tasks hand their room on to each other.
TEST_P(FullShardWithShortWork,
       LargeShortTasks_TaskStartsWithinTheCallersBound) {
  expectBound({{.Image = "l1", .Cpu = 5000, .MeanTime = 1500ms},
               {.Image = "l2", .Cpu = 8000, .MeanTime = 1000ms}},
              {.Cpu = Room});
}

// Short steps pass all reservations on to each other within a plan.
TEST_P(FullShardWithShortWork,
       ShortStepsThatReserve_TasksStartWithinTheCallersBound) {
  std::vector<Stream> streams{{.Image = "s",
                               .Cpu = 500,
                               .MeanTime = 1000ms,
                               .TasksPerJob = 1,
                               .Backlog = 60,
                               .Priority = 0}};
  for (int i = 0; i < 8; ++i)
    streams.push_back({.Image = "l" + std::to_string(i),
                       .Cpu = 6000,
                       .TasksPerJob = 1,
                       .Backlog = 40,
                       .Target = 60s,
                       .Priority = 2});
  expectBound(streams, {.Steps = 8, .Cpu = Room});
}

// More steps wait than may reserve at a time, as after a loss of workers.
TEST_P(FullShardWithShortWork, ManyWaitingSteps_StartWithinTheCallersBound) {
  std::vector<Stream> streams = smallSizes();
  for (Stream &it : streams)
    it.MeanTime *= 2;
  expectBound(streams, {.Steps = 32, .Cpu = 4500});
}

// The same for one step.
TEST_P(FullShardWithShortWork,
       StepOfManyWaitingTasks_StartsWithinTheCallersBound) {
  std::vector<Stream> streams = smallSizes();
  for (Stream &it : streams)
    it.MeanTime *= 2;
  expectBound(streams, {.TasksPerStep = 32, .Cpu = 4500});
}

// Reservations wait for ends that come too late: short work gave way to nobody.
TEST_P(FullShardWithShortWork,
       ShortWorkThatOutlastsTheWait_TaskStartsWithinTheCallersBound) {
  std::vector<Stream> streams = smallSizes();
  for (Stream &it : streams)
    it.MeanTime = 20s;
  expectBound(streams, {.Cpu = Room});
}

// Fillers reserve no CPU, but take each free piece of memory.
TEST_P(FullShardWithShortWork,
       MemoryHeldByFillers_TaskStartsWithinTheCallersBound) {
  std::vector<Stream> streams = smallSizes();
  streams.push_back(fillers(2200ms));
  expectBound(streams, {.Memory = 40000});
}

// The fillers run for longer than a long-running task may wait.
TEST_P(FullShardWithShortWork,
       MemoryHeldBySlowFillers_TaskStartsWithinTheCallersBound) {
  std::vector<Stream> streams = smallSizes();
  streams.push_back(fillers(20s));
  expectBound(streams, {.Memory = 40000});
}

} // namespace
