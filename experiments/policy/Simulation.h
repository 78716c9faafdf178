/// \file
/// Simulates one run: fake workers execute the load, and one scheduler per zone
/// places it.
#ifndef ENDIVEDOOR_EXPERIMENTS_POLICY_SIMULATION_H
#define ENDIVEDOOR_EXPERIMENTS_POLICY_SIMULATION_H

#include "FakeWorker.h"

#include "endivedoor/policy/Policy.h"

#include <functional>
#include <queue>
#include <unordered_map>

namespace endivedoor::experiment {

/// Creates a scheduler; called once per zone.
using SchedulerFactory = std::function<std::unique_ptr<policy::Scheduler>(
    const base::Clock &, std::uint64_t seed)>;

/// Results of one run.
struct RunMetrics {
  /// 95th percentile over all services and seconds, relative to the
  /// undisturbed latency of each service.
  double LatencyP95 = 0;
  /// Seconds of batch work done that were not lost, a second.
  double Throughput = 0;
  double Evictions = 0;
  /// Seconds of batch work done from the moment the zone leaves to a minute
  /// after its return.
  double OutageWork = 0;
  /// Secondary metrics that show the cost of a gain in the primary ones.
  double Failures = 0;
  double Starts = 0;
  double UnservedSeconds = 0;
  /// Share of batch tasks that ended after their deadline, or had not ended by
  /// then, in percent.
  double LatePercent = 0;
};

class Simulation {
public:
  Simulation(const Load &load, std::uint64_t seed,
             const SchedulerFactory &make);
  /// Runs the whole load. Called once.
  RunMetrics run();

private:
  struct Delivery {
    double At = 0;
    std::uint64_t Number = 0;
    std::int32_t Zone = 0;
    policy::Measurement Value;
    bool operator>(const Delivery &o) const {
      return At != o.At ? At > o.At : Number > o.Number;
    }
  };
  struct ZoneState {
    std::unique_ptr<policy::Scheduler> ZoneScheduler;
    bool Out = false;
    double RampStart = -1;
    std::int64_t Queued = 0;
    std::int64_t Placed = 0;
  };

  void addWorkers(std::uint64_t seed, const SchedulerFactory &make);
  void addJob(std::size_t taskClass, std::int32_t tasks, std::int32_t zone);
  void enqueue(FakeTask &task, std::int32_t zone);
  std::int32_t emptiestZone() const;
  void arrivals();
  void faults();
  void setZoneOut(std::int32_t zone, bool out);
  void rampZones();
  void cancelSome();
  void step();
  void stepWorker(std::size_t n);
  /// Returns whether the task has left the worker.
  bool stepTask(FakeTask &task, const Pressure &at);
  void report(FakeTask &task, const Pressure &at, double latencyMs);
  void killForMemory(std::size_t n);
  void end(FakeTask &task, policy::EndReason reason);
  void deliver();
  void decide();
  void apply(std::int32_t zone, const policy::Decision &it);
  void start(const policy::StartTask &it);
  void evict(const policy::EvictTask &it);
  bool passed(double t) const;

  const Load &Scenario;
  /// Random generators for jobs, for faults and for everything else. They are
  /// separate so that every scheduler gets the same jobs and faults.
  Random JobRandom, FaultRandom, OtherRandom;
  base::ManualClock Clock;
  double Now = 0;
  std::vector<ZoneState> Zones;
  std::vector<FakeWorker> Workers;
  std::unordered_map<std::string, std::unique_ptr<FakeTask>> Tasks;
  std::unordered_map<std::string, std::size_t> WorkerNumbers;
  std::vector<std::string> QueuedOrder;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>>
      PendingMeasurements;
  std::uint64_t Deliveries = 0;
  std::uint64_t Jobs = 0;
  std::vector<float> Latencies;
  double CompletedWork = 0;
  double DueTasks = 0, LateTasks = 0;
  RunMetrics Result;
};

} // namespace endivedoor::experiment

#endif
