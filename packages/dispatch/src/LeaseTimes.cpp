#include "detail/LeaseTimes.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

/// Returns the time after which a lease of the given duration has expired on
/// any clock.
static base::Duration lifetime(std::chrono::milliseconds lease) {
  return std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double, std::milli>(lease) *
             MaxClockDriftFactor) +
         LeaseExpiryMargin;
}

base::Duration maxLeaseLifetime(const ShardOptions &options) {
  return lifetime(options.LeaseDuration);
}

base::Duration longestLeaseLifetime(const ShardOptions &options) {
  return lifetime(std::max(options.LeaseDuration, options.MaxLease));
}

base::Duration lateCallLifetime(const ShardOptions &options) {
  return MaxCallDelay + longestLeaseLifetime(options);
}

base::Duration maxPermissionLifetime(const ShardOptions &options) {
  auto clockError = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(options.OwnerGrace +
                                                MaxPollCycle) *
      (MaxClockDriftFactor - 1));
  return options.OwnerGrace + clockError + LeaseExpiryMargin;
}

} // namespace endivedoor::dispatch::detail
