/// \file
/// Settings of the scheduler in use.
#ifndef ENDIVEDOOR_POLICY_POLICYSETTINGS_H
#define ENDIVEDOOR_POLICY_POLICYSETTINGS_H

#include "endivedoor/policy/Scheduler.h"

#include <chrono>
#include <cstdint>

namespace endivedoor::policy {

/// Thresholds of the latency guard. Ratios are measured 95th percentile over
/// the service's target.
struct GuardSettings {
  bool Throttle = true;
  bool Evict = true;
  /// Neighbours are throttled at this ratio and above.
  double HighRatio = 1.1;
  /// Throttles are lifted at this ratio and below.
  double LowRatio = 0.9;
  /// Ratio from which on a neighbour may be evicted.
  double EvictRatio = 1.2;
  /// How long the ratio must stay above EvictRatio before an eviction.
  std::chrono::milliseconds EvictAfter{8000};
  /// How long the ratio must stay below LowRatio before a throttle is lifted.
  std::chrono::milliseconds LiftAfter{4000};
  /// A task that has run for less is not evicted.
  std::chrono::milliseconds MinRunTime{20000};
  /// How long a class is kept away from a worker after an eviction there.
  std::chrono::milliseconds CoolDown{60000};
  /// Measurements taken sooner after an action on the worker are not acted on.
  std::chrono::milliseconds SettleTime{1000};
  /// Largest throttle in percent.
  std::int32_t MaxThrottlePercent = 90;
  /// Takes the victim that frees most for the least lost work; the youngest
  /// task if off.
  bool ChooseVictim = true;
};

/// The guard without hysteresis, to measure what hysteresis is worth.
inline GuardSettings guardWithoutHysteresis() {
  using std::chrono::milliseconds;
  GuardSettings s;
  s.LowRatio = s.HighRatio;
  s.EvictAfter = s.LiftAfter = s.MinRunTime = s.CoolDown = milliseconds(0);
  s.SettleTime = milliseconds(0);
  return s;
}

/// Which strategies are in use, and their constants.
struct PolicySettings {
  GuardSettings Guard;
  /// Sizes and run times measured per class instead of the declared ones.
  bool MeasuredSizes = true;
  /// Prefers workers on which the learned interference does least harm.
  bool InterferenceCost = true;
  /// Lets a batch task wait while it would push a service over HoldRatio of
  /// its target on every worker, until its latest start.
  bool DeferBatchTasks = true;
  double DeferRatio = 1.0;
  /// Gathers services on some workers and leaves the others to batch work.
  bool ConsolidateServices = true;
  /// Attributes late measurements to what ran when they were taken; to what
  /// runs now if off.
  bool AttributeToHistory = true;
  /// Latest start first; order of arrival if off.
  bool OrderByLatestStart = true;
  /// Keeps workers that fail everything out, and probes them.
  bool Quarantine = true;
  /// Evicts batch tasks for urgent tasks and services that found no room for
  /// UrgentWait.
  bool EvictForUrgent = true;
  std::chrono::milliseconds UrgentWait{500};
  /// Workers that are scored for one start.
  std::uint32_t Candidates = 16;
  /// A job that fits no worker is refused when no new worker has appeared for
  /// this time: workers become known one by one after a change of owner.
  std::chrono::milliseconds RefuseAfter{3000};
};

/// Builds the scheduler with settings of its own.
///
/// \param clock source of time; must outlive the scheduler.
/// \param seed seed of its random choices.
std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed,
                                         const PolicySettings &settings);

} // namespace endivedoor::policy

#endif
