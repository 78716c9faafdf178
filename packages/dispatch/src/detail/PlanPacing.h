/// \file
/// When a shard is planned again.
///
/// Load pattern: workers end runs without a pause on a node of a tenth of a
/// core, where a plan takes longer than the delay between two of them.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_PLANPACING_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_PLANPACING_H

#include "endivedoor/base/Clock.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

/// Events within this time are handled by one planning pass.
constexpr std::chrono::milliseconds PlanDelay{8};
/// Maximum time between planning passes; leases, due times and throttling
/// depend on it.
constexpr std::chrono::milliseconds PlanInterval{150};
/// Largest part of the time that plans take while events come without a pause.
/// The rest is left to the calls and commits that the plans cause and wait for,
/// which cost several times as much as the plans.
constexpr double MaxPlanShare = 0.25;
/// The same while rooms open for which tasks wait.
constexpr double MaxUrgentPlanShare = 0.5;

/// Delays a plan that is requested soon after a long one. A plan is never
/// delayed beyond PlanInterval, on which leases and repeated stops depend.
class PlanPacing {
public:
  /// Notes that a plan took from \p begin to \p end.
  void onPlanned(base::TimePoint begin, base::TimePoint end) {
    base::Duration pause = std::chrono::duration_cast<base::Duration>(
        (end - begin) * (1 / MaxPlanShare - 1));
    NotBefore = end + std::min<base::Duration>(pause, PlanInterval - PlanDelay);
    UrgentNotBefore = end + std::chrono::duration_cast<base::Duration>(
                                (end - begin) * (1 / MaxUrgentPlanShare - 1));
  }
  /// Returns the time from an event to the plan that handles it.
  base::Duration delay(base::TimePoint now) const {
    return std::max<base::Duration>(PlanDelay, NotBefore - now);
  }
  /// Returns the same for an event after which a long-running task can start.
  base::Duration urgentDelay(base::TimePoint now) const {
    return std::min(delay(now),
                    std::max<base::Duration>(base::Duration::zero(),
                                             UrgentNotBefore - now));
  }

private:
  base::TimePoint NotBefore;
  base::TimePoint UrgentNotBefore;
};

} // namespace endivedoor::dispatch::detail

#endif
