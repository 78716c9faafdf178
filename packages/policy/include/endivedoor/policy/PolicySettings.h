/// \file
/// Settings of the production scheduler.
#ifndef ENDIVEDOOR_POLICY_POLICYSETTINGS_H
#define ENDIVEDOOR_POLICY_POLICYSETTINGS_H

#include "endivedoor/policy/Scheduler.h"

#include <chrono>
#include <cstdint>

namespace endivedoor::policy {

/// Thresholds of the latency guard. Ratios are the measured 95th percentile
/// divided by the service's target.
struct GuardSettings {
  bool Throttle = true;
  bool Evict = true;
  /// Neighbours are throttled at or above this ratio.
  double HighRatio = 1.1;
  /// Throttles are lifted at or below this ratio.
  double LowRatio = 0.9;
  /// Neighbours may be evicted at or above this ratio.
  double EvictRatio = 1.2;
  /// How long the ratio must stay at or above EvictRatio before an eviction.
  std::chrono::milliseconds EvictAfter{8000};
  /// How long the ratio must stay at or below LowRatio before a throttle is
  /// lifted.
  std::chrono::milliseconds LiftAfter{4000};
  /// Minimum run time of a task before it may be evicted.
  std::chrono::milliseconds MinRunTime{20000};
  /// How long a class is not placed on a worker, if possible, after an eviction
  /// there.
  std::chrono::milliseconds CoolDown{60000};
  /// Measurements taken within this time after an action on the worker trigger
  /// no further action.
  std::chrono::milliseconds SettleTime{1000};
  /// Maximum throttle in percent.
  std::int32_t MaxThrottlePercent = 90;
  /// Selects the victim with the best ratio of latency reduction to lost work;
  /// the youngest task if disabled.
  bool ChooseVictim = true;
};

/// Guard settings without hysteresis, for measuring the benefit of hysteresis.
inline GuardSettings guardWithoutHysteresis() {
  using std::chrono::milliseconds;
  GuardSettings s;
  s.LowRatio = s.HighRatio;
  s.EvictAfter = s.LiftAfter = s.MinRunTime = s.CoolDown = milliseconds(0);
  s.SettleTime = milliseconds(0);
  return s;
}

/// Enabled strategies and their parameters.
struct PolicySettings {
  GuardSettings Guard;
  /// Uses CPU, memory and run time estimates per class instead of the declared
  /// values.
  bool MeasuredSizes = true;
  /// Prefers workers with the lowest predicted interference.
  bool InterferenceCost = true;
  /// Defers a batch task until its latest start while it would raise a service
  /// above DeferRatio of its target on every worker.
  bool DeferBatchTasks = true;
  double DeferRatio = 1.0;
  /// Consolidates services on some workers and leaves the others to batch
  /// tasks.
  bool ConsolidateServices = true;
  /// Attributes delayed measurements to the workload at the time of the
  /// measurement; to the current workload if disabled.
  bool AttributeToHistory = true;
  /// Orders jobs by latest start; by arrival if disabled.
  bool OrderByLatestStart = true;
  /// Quarantines workers on which all tasks fail, and probes them.
  bool Quarantine = true;
  /// Evicts batch tasks in favour of urgent tasks and services that have been
  /// waiting for at least UrgentWait.
  bool EvictForUrgent = true;
  std::chrono::milliseconds UrgentWait{500};
  /// Number of workers evaluated per start.
  std::uint32_t Candidates = 16;
  /// A job that fits no worker is refused only if no new worker has appeared
  /// for this time, because workers become known one by one after a change of
  /// owner.
  std::chrono::milliseconds RefuseAfter{3000};
};

/// Creates the production scheduler with custom settings.
///
/// \param clock time source; must outlive the scheduler.
/// \param seed seed of the random number generator.
std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed,
                                         const PolicySettings &settings);

} // namespace endivedoor::policy

#endif
