/// \file
/// Workloads of the experiment: zone sizes, task classes with their actual
/// behaviour, and fault times.
#ifndef ENDIVEDOOR_EXPERIMENTS_POLICY_LOAD_H
#define ENDIVEDOOR_EXPERIMENTS_POLICY_LOAD_H

#include "endivedoor/base/Units.h"
#include "endivedoor/model/Rules.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace endivedoor::experiment {

using Random = std::mt19937_64;
/// Returns a number in [0, 1).
double uniform(Random &random);
double uniform(Random &random, double from, double to);
/// Returns a factor whose logarithm is normal with mean 0.
double logNormal(Random &random, double sigma);

/// Actual behaviour of the tasks of a class, and their declared amounts.
struct TaskClassProfile {
  std::string Name;
  bool Service = false;
  double Cores = 1;
  double MemoryMb = 1000;
  /// Seconds of a batch task on an idle worker; the mean of a log-normal.
  double Seconds = 60;
  /// Pressure on memory bandwidth and on the shared cache.
  double Bandwidth = 0;
  double Cache = 0;
  /// Sensitivity of a service to memory bandwidth and cache pressure.
  double BandwidthSensitivity = 0;
  double CacheSensitivity = 0;
  double BaseMs = 0;
  double TargetMs = 0;
  /// Ratio of declared to actual amount.
  double DeclaredCores = 1;
  double DeclaredMemory = 1;
  double DeclaredSeconds = 1;

  bool isNoisy() const { return Bandwidth + Cache > 0.4; }
};

/// Workers and workload of one customer.
struct Load {
  std::string Name;
  std::int32_t Zones = 1;
  std::int32_t WorkersPerZone = 1;
  std::int32_t WorkersPerRack = 8;
  base::Resources Worker;
  std::vector<TaskClassProfile> Classes;
  /// Tasks of each service.
  std::int32_t TasksPerService = 1;
  /// Mean arrivals of batch tasks a second, outside and inside waves.
  double Arrivals = 1;
  double WaveArrivals = 1;
  /// Share of noisy tasks among the arrivals outside waves.
  double NoisyShare = 0.15;
  /// Tasks in one batch job.
  std::int32_t TasksPerJob = 4;
  double Seconds = 600;
  /// Start of the waves of noisy tasks and their length, all in s.
  double WavePeriod = 150;
  double WaveLength = 45;
  /// When the first zone is out; never if 0.
  double ZoneOutAt = 0;
  double ZoneReturnsAt = 0;
  /// Period in which a share of the workers fails every task.
  double FaultyFrom = 0;
  double FaultyUntil = 0;
  double FaultyShare = 0.05;
  /// When a third of the batch jobs of the last minute is cancelled.
  std::vector<double> CancelAt;
  /// Batch tasks queued at the start; half of them of each of two quiet
  /// classes.
  std::int32_t InitialBatch = 0;
};

/// Builds a user's load. The classes' declared amounts are drawn from \p seed.
Load karoo(std::uint64_t seed);
Load siam(std::uint64_t seed);
Load designZone(std::uint64_t seed);
/// Builds a small load of one minute for tests.
Load shortLoad(std::uint64_t seed);

/// Latency targets of the services.
model::RuleSet rulesOf(const Load &load);

} // namespace endivedoor::experiment

#endif
