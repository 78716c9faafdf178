// Measures the time of one plan of a shard by waiting tasks, runs and workers.
// docs/CAPACITY.md gives the processor time that a node has for control.
#include "endivedoor/dispatch/Shard.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace endivedoor;
using namespace std::chrono_literals;

namespace {

/// A shard whose workers are all in use by short tasks, or have room for one
/// more step in each plan.
class LoadedShard {
public:
  LoadedShard(int workers, int runs, int waiting, bool room) {
    constexpr int tasksPerJob = 25;
    // Tasks of one core. The last worker keeps room if something is to start.
    int perWorker = (runs + workers - 1) / workers;
    for (int i = 0; i < workers; ++i)
      addWorker(i, perWorker);
    for (int n = 0; n < runs; n += tasksPerJob)
      submit(std::min(tasksPerJob, runs - n), 1000);
    while (startAll() > 0)
      ;
    if (room)
      addWorker(workers, 1 << 20);
    for (int n = 0; n < waiting; n += tasksPerJob)
      submit(std::min(tasksPerJob, waiting - n), 1500);
    HasRoom = room;
  }

  /// Returns the mean time of a plan in microseconds.
  double measure() {
    constexpr int plans = 100;
    base::Duration sum{0};
    for (int i = 0; i < plans; ++i) {
      // Shorter in total than runs may go without a report.
      Time.advance(10ms);
      base::TimePoint begin = Real.now();
      auto orders = MeasuredShard.plan(Time.now(), Time.wallNow(), true,
                                       HasRoom ? 1 : 1000);
      sum += Real.now() - begin;
      confirm(orders);
    }
    return std::chrono::duration<double, std::micro>(sum).count() / plans;
  }

private:
  void addWorker(int number, std::int64_t cores) {
    model::WorkerProfile w;
    w.Id = base::WorkerId("w" + std::to_string(1000 + number));
    w.Service = base::ServiceName("desk");
    w.Endpoint = {"10.0.0.1", 8080};
    w.Zone = base::ZoneId("a");
    w.Capacity.Cpu = base::MilliCores{cores * 1000};
    w.Capacity.Memory = base::MebiBytes{1 << 30};
    w.StartTime = 1000ms;
    MeasuredShard.updateWorker(w, Time.now());
    MeasuredShard.onRosterStored(MeasuredShard.roster());
    MeasuredShard.nextPoll(w.Id, Time.now(), true);
    dispatch::PollReport report;
    report.Clock = std::chrono::duration_cast<std::chrono::milliseconds>(
        Time.now().time_since_epoch());
    report.StartTime = w.StartTime;
    MeasuredShard.onPoll(w.Id, report, Time.now(), Time.now());
  }

  void submit(int tasks, std::int64_t cpu) {
    model::AcceptedJob job;
    job.Id = model::JobNumber{++LastJob};
    job.Queue = "queue-" + std::to_string(LastJob % 8);
    job.Policy.Service = base::ServiceName("desk");
    job.Policy.MaxAttempts = 3;
    job.Policy.Target = 1h;
    model::StepSpec step;
    step.Count = tasks;
    step.Size.Cpu = base::MilliCores{cpu};
    step.Size.Memory = base::MebiBytes{100};
    step.Estimate = 60s;
    step.Image = "registry/program-" + std::to_string(LastJob % 20);
    job.Graph.Steps.push_back(std::move(step));
    MeasuredShard.addJob(std::move(job), std::int64_t(LastJob), false,
                         Time.now());
  }

  std::size_t startAll() {
    auto orders = MeasuredShard.plan(Time.now(), Time.wallNow(), true, 1000);
    confirm(orders);
    return orders.size();
  }

  void confirm(const std::vector<dispatch::WorkerCommand> &orders) {
    for (const dispatch::WorkerCommand &it : orders)
      if (it.Type == dispatch::WorkerCommand::Kind::Start)
        MeasuredShard.onStart(it, dispatch::CommandResult::Done, Time.now());
  }

  base::SystemClock Real;
  base::ManualClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"bench", Hybrid, 64};
  dispatch::Metrics MetricsRegistry;
  // Long leases, as the workers are not polled during the measurement.
  dispatch::ShardOptions Options{.MaxLease = 1h, .LeaseDuration = 1h};
  dispatch::Shard MeasuredShard{
      Options, 0, 1, base::FencingToken{7}, Events, MetricsRegistry};
  std::uint64_t LastJob = 0;
  bool HasRoom = false;
};

} // namespace

int main() {
  FLAGS_minloglevel = google::GLOG_ERROR;
  std::printf("%8s %8s %8s %14s %14s\n", "workers", "runs", "waiting",
              "no room, us", "one start, us");
  for (int workers : {12, 48, 490})
    for (int runs : {0, 500, 1500})
      for (int waiting : {0, 100, 1000, 5000}) {
        double full = LoadedShard(workers, runs, waiting, false).measure();
        double open = LoadedShard(workers, runs, waiting, true).measure();
        std::printf("%8d %8d %8d %14.1f %14.1f\n", workers, runs, waiting, full,
                    open);
        std::fflush(stdout);
      }
}
