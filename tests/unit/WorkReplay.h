/// \file
/// Replay of seeded arrivals, run times and a loss of workers on real shards,
/// for tests of the order and the placement of waiting work.
#ifndef ENDIVEDOOR_TESTS_UNIT_WORKREPLAY_H
#define ENDIVEDOOR_TESTS_UNIT_WORKREPLAY_H

#include "endivedoor/dispatch/Shard.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace endivedoor::tests {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

enum class WorkKind { Short, Filler, LongRunning, Large };

struct ReplayOptions {
  std::uint32_t Seed = 1;
  std::int32_t Workers = 40;
  std::int32_t Shards = 1;
  milliseconds Length{12000};
  /// Arrivals per second.
  double ShortRate = 1.7;
  double FillerRate = 1.3;
  double LargeRate = 0;
  /// Fraction of all CPU that the long-running tasks declare.
  double LongRunningShare = 0.8;
  /// Declared run times are this much too long or too short, by program.
  double EstimateError = 0.5;
  /// Relative spread of the run times of one program.
  double Spread = 0.5;
  /// Factor of the run times on every fifth worker.
  double Slowness = 1;
  /// The tasks of short jobs may be copied.
  bool Speculative = false;
  /// Factor of all declared run times.
  double Declared = 1;
  /// Size of a large task; a large job of more tasks is a gang.
  std::int64_t LargeCpu = 12000;
  std::int32_t LargeTasks = 1;
  /// A third of the workers is lost at this time; none for 0.
  milliseconds LossAt{4000};
  milliseconds LossTime{5000};
  dispatch::ShardOptions Shard{.WaitingOrder =
                                   policy::WaitingRule::LeastLaxity};
};

/// What happened to the work of one kind. A long-running job counts once for
/// each restart of a task.
struct KindReport {
  std::int32_t Jobs = 0;
  std::int32_t InTime = 0;
  std::int32_t Unserved = 0;
  double WaitSum = 0;
  double LongestWait = 0;
  /// Sum of the times from acceptance to the end, of jobs that have ended.
  double EndSum = 0;
  /// Runs that were started, and the sum of their times in seconds.
  std::int32_t Runs = 0;
  double RunTime = 0;

  void addWait(base::Duration waited) {
    double seconds = std::chrono::duration<double>(waited).count();
    WaitSum += seconds;
    LongestWait = std::max(LongestWait, seconds);
  }
  double share() const { return Jobs ? double(InTime) / Jobs : 1; }
  double meanWait() const {
    return Jobs > Unserved ? WaitSum / (Jobs - Unserved) : 0;
  }
};

class WorkReplay {
public:
  explicit WorkReplay(ReplayOptions options)
      : Options(options), Random(Options.Seed) {
    FLAGS_minloglevel = google::GLOG_ERROR;
    // Workers report lost runs early, so that a replay is short.
    Options.Shard.LeaseDuration = 1000ms;
    for (std::int32_t i = 0; i < Options.Shards; ++i)
      Shards.push_back(std::make_unique<dispatch::Shard>(
          Options.Shard, i, 1, base::FencingToken{7}, Events, MetricsRegistry));
    std::int64_t cpu = 0;
    for (std::int32_t i = 0; i < Options.Workers; ++i) {
      FakeWorker &w = Workers.emplace_back();
      w.Profile.Id = base::WorkerId("w" + std::to_string(100 + i));
      w.Profile.Service = base::ServiceName("desk");
      w.Profile.Endpoint = {"10.0.0.1", 8080};
      w.Profile.Zone = base::ZoneId("a");
      w.Profile.Capacity.Cpu = base::MilliCores{i % 2 ? 24000 : 16000};
      w.Profile.Capacity.Memory = base::MebiBytes{256000};
      w.Profile.StartTime = 1000ms;
      w.Owner = Shards[static_cast<std::size_t>(i % Options.Shards)].get();
      cpu += count(w.Profile.Capacity.Cpu);
      join(w);
    }
    double tasks = Options.LongRunningShare * double(cpu) / 3200;
    for (; tasks >= 14; tasks -= 14)
      submit(WorkKind::LongRunning);
    if (tasks >= 1)
      submit(WorkKind::LongRunning, std::int32_t(tasks));
  }

  /// Runs all arrivals and waits some seconds for the rest of the work.
  void run() {
    std::map<WorkKind, double> rates{{WorkKind::Short, Options.ShortRate},
                                     {WorkKind::Filler, Options.FillerRate},
                                     {WorkKind::Large, Options.LargeRate}};
    std::map<WorkKind, double> due;
    for (auto [kind, rate] : rates)
      due[kind] = interval(rate);
    for (auto at = 0ms; at < Options.Length + 5000ms; at += Tick) {
      for (auto [kind, rate] : rates)
        for (; at < Options.Length && due[kind] * 1000 <= double(at.count());
             due[kind] += interval(rate))
          submit(kind);
      if (Options.LossAt > 0ms && at == Options.LossAt)
        setLost(true);
      // The lease of a worker has expired after 1.2 s.
      if (Options.LossAt > 0ms &&
          at == Options.LossAt + 1200ms + Options.LossTime)
        setLost(false);
      step();
      Time.advance(Tick);
    }
    for (auto &[id, job] : Jobs)
      countJob(job);
  }

  const KindReport &report(WorkKind kind) { return Reports[kind]; }

private:
  static constexpr auto Tick = 10ms;
  static constexpr auto LongRunningTarget = 2000ms;

  struct FakeWorker {
    model::WorkerProfile Profile;
    dispatch::Shard *Owner = nullptr;
    std::map<dispatch::RunId, base::TimePoint> Runs;
    std::vector<dispatch::EndedRun> Ended;
    std::int64_t Sequence = 0;
    base::TimePoint NextPoll;
    bool Lost = false;
  };

  struct FakeJob {
    WorkKind Kind = WorkKind::Short;
    dispatch::Shard *Owner = nullptr;
    base::TimePoint Accepted;
    base::Duration Objective{0};
    std::vector<std::vector<base::Duration>> Times;
    std::optional<base::TimePoint> Started, Ended;
    /// Since when each lost long-running task waits.
    std::map<model::TaskKey, base::TimePoint> Waiting;
  };

  double interval(double rate) {
    return rate > 0 ? std::exponential_distribution<>(rate)(Random) : 1e9;
  }

  void join(FakeWorker &w) {
    w.Owner->updateWorker(w.Profile, Time.now());
    w.NextPoll = Time.now();
  }

  void submit(WorkKind kind, std::int32_t tasks = 14) {
    static constexpr std::array programs{"p0", "p1", "p2", "p3"};
    std::size_t program = Random() % programs.size();
    double error =
        1 + Options.EstimateError * (program % 2 ? 1 : -1) * (program > 1);
    bool two = kind == WorkKind::Filler ||
               (kind == WorkKind::Short && Random() % 10 < 6);
    model::AcceptedJob job;
    job.Id = model::JobNumber{++LastJob};
    job.Queue = std::to_string(int(kind));
    job.Policy.Service = base::ServiceName("desk");
    job.Policy.MaxAttempts = 3;
    FakeJob &fake = Jobs[job.Id];
    fake.Kind = kind;
    fake.Accepted = Time.now();
    fake.Owner = Shards[LastJob % Shards.size()].get();
    base::Duration path{0};
    for (std::int32_t s = 0; s < 1 + two; ++s) {
      model::StepSpec step;
      step.Count = 10;
      step.Size.Cpu = base::MilliCores{1800};
      step.Size.Memory = base::MebiBytes{500};
      step.Speculative = Options.Speculative && kind == WorkKind::Short;
      step.Image = "app-" + job.Queue + programs[program];
      milliseconds mean = 800ms;
      if (kind == WorkKind::Filler) {
        step.Count = 20;
        step.Filler = step.SupportsCheckpoints = true;
        mean = 2200ms;
      } else if (kind == WorkKind::LongRunning) {
        step.Count = tasks;
        step.LongRunning = true;
        step.Size.Cpu = base::MilliCores{3200};
      } else if (kind == WorkKind::Large) {
        step.Count = Options.LargeTasks;
        step.Gang = Options.LargeTasks > 1;
        step.Size.Cpu = base::MilliCores{Options.LargeCpu};
      }
      step.Estimate = std::chrono::duration_cast<milliseconds>(
          mean * error * Options.Declared);
      if (s > 0)
        step.Dependencies = {s - 1};
      std::uniform_real_distribution<> spread(1 - Options.Spread,
                                              1 + Options.Spread);
      auto &times = fake.Times.emplace_back();
      for (std::int32_t i = 0; i < step.Count; ++i)
        times.push_back(
            std::chrono::duration_cast<base::Duration>(mean * spread(Random)));
      path += *std::max_element(times.begin(), times.end());
      job.Graph.Steps.push_back(std::move(step));
    }
    job.Policy.Stretch = kind == WorkKind::Filler ? 2 : 1.5;
    job.Policy.Target = kind == WorkKind::Filler ? 1000ms : 250ms;
    if (kind == WorkKind::LongRunning)
      job.Policy.Target = LongRunningTarget;
    fake.Objective =
        job.Policy.Target +
        std::chrono::duration_cast<base::Duration>(path * job.Policy.Stretch);
    fake.Owner->addJob(std::move(job), std::int64_t(LastJob), false,
                       Time.now());
  }

  void setLost(bool lost) {
    for (std::size_t i = 0; i < Workers.size(); i += 3) {
      FakeWorker &w = Workers[i];
      w.Lost = lost;
      if (!lost) {
        join(w);
        continue;
      }
      w.Owner->unlistWorker(w.Profile.Id);
      for (const auto &[run, end] : w.Runs) {
        FakeJob &job = Jobs[run.Task.Job];
        if (job.Kind == WorkKind::LongRunning)
          job.Waiting[run.Task] = Time.now() + 1200ms;
      }
      w.Runs.clear();
      w.Ended.clear();
    }
  }

  void poll(FakeWorker &w) {
    w.NextPoll = Time.now() + 250ms;
    auto planned = w.Owner->nextPoll(w.Profile.Id, Time.now(), !w.Lost);
    if (!planned)
      return;
    if (w.Lost)
      return w.Owner->onPollFailed(w.Profile.Id, "lost", Time.now());
    dispatch::PollReport report;
    report.Clock =
        std::chrono::duration_cast<milliseconds>(Time.now().time_since_epoch());
    report.StartTime = w.Profile.StartTime;
    std::erase_if(w.Ended, [&](const dispatch::EndedRun &it) {
      return it.SequenceNumber <= planned->Request.AcknowledgedEnd;
    });
    report.Ended = w.Ended;
    for (const auto &[run, end] : w.Runs)
      report.Running.push_back({run, "", 100, 0, false});
    w.Owner->onPoll(w.Profile.Id, report, Time.now(), Time.now());
  }

  void step() {
    for (FakeWorker &w : Workers) {
      bool ended = false;
      for (auto it = w.Runs.begin(); it != w.Runs.end();) {
        bool over = it->second <= Time.now();
        if (over)
          w.Ended.push_back(
              {++w.Sequence, it->first, dispatch::RunOutcome::Done, ""});
        ended = ended || over;
        it = over ? w.Runs.erase(it) : std::next(it);
      }
      if (ended || w.NextPoll <= Time.now())
        poll(w);
    }
    for (auto &shard : Shards) {
      shard->onRosterStored(shard->roster());
      for (const auto &it : shard->plan(Time.now(), Time.wallNow(), true))
        carryOut(*shard, it);
      auto writes = shard->takeWrites(1000);
      for (dispatch::JobWrite &it : writes) {
        it.Revision = std::int64_t(++LastRevision);
        if (it.Final)
          Jobs[it.Job].Ended = Time.now();
      }
      shard->onStored(writes, Time.now());
    }
  }

  void carryOut(dispatch::Shard &shard, const dispatch::WorkerCommand &it) {
    auto w = std::find_if(Workers.begin(), Workers.end(), [&](FakeWorker &x) {
      return x.Profile.Id == it.Worker.Id;
    });
    if (it.Type == dispatch::WorkerCommand::Kind::Stop) {
      if (w->Runs.erase(it.Run))
        w->Ended.push_back(
            {++w->Sequence, it.Run, dispatch::RunOutcome::Stopped, ""});
      shard.onStop(it, dispatch::CommandResult::Done, Time.now());
    }
    if (it.Type != dispatch::WorkerCommand::Kind::Start)
      return;
    FakeJob &job = Jobs[it.Run.Task.Job];
    auto time = job.Times[static_cast<std::size_t>(it.Run.Task.Step)]
                         [static_cast<std::size_t>(it.Run.Task.Index)];
    if ((w - Workers.begin()) % 5 == 2)
      time =
          std::chrono::duration_cast<base::Duration>(time * Options.Slowness);
    bool longRunning = job.Kind == WorkKind::LongRunning;
    w->Runs[it.Run] = longRunning ? base::TimePoint::max() : Time.now() + time;
    shard.onStart(it, dispatch::CommandResult::Done, Time.now());
    KindReport &report = Reports[job.Kind];
    ++report.Runs;
    report.RunTime += std::chrono::duration<double>(time).count();
    if (auto since = job.Waiting.extract(it.Run.Task)) {
      ++report.Jobs;
      report.InTime += Time.now() - since.mapped() <= LongRunningTarget;
      report.addWait(Time.now() - since.mapped());
    } else if (!longRunning && !job.Started) {
      report.addWait(Time.now() - job.Accepted);
    }
    if (!job.Started)
      job.Started = Time.now();
  }

  void countJob(const FakeJob &job) {
    KindReport &report = Reports[job.Kind];
    if (job.Kind == WorkKind::LongRunning) {
      report.Jobs += std::int32_t(job.Waiting.size());
      report.Unserved += std::int32_t(job.Waiting.size());
      return;
    }
    ++report.Jobs;
    report.Unserved += !job.Started;
    if (job.Ended)
      report.EndSum +=
          std::chrono::duration<double>(*job.Ended - job.Accepted).count();
    report.InTime += job.Ended && *job.Ended - job.Accepted <= job.Objective;
  }

  ReplayOptions Options;
  std::mt19937 Random;
  base::ManualClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"replay", Hybrid, 64};
  dispatch::Metrics MetricsRegistry;
  std::vector<std::unique_ptr<dispatch::Shard>> Shards;
  std::deque<FakeWorker> Workers;
  std::map<model::JobNumber, FakeJob> Jobs;
  std::map<WorkKind, KindReport> Reports;
  std::uint64_t LastJob = 0, LastRevision = 100000;
};

} // namespace endivedoor::tests

#endif
