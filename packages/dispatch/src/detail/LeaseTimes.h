/// \file
/// How long leases and permissions that cannot be ended by a message last.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_LEASETIMES_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_LEASETIMES_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/dispatch/ShardOptions.h"

namespace endivedoor::dispatch::detail {

/// Margin for the granularity of timers, added before a lease is considered
/// expired.
constexpr std::chrono::milliseconds LeaseExpiryMargin{100};
/// Longest time from the sending of a poll to the arrival of the next one at
/// the worker: wait and timeout of a poll that is not answered, and the delay
/// after it.
constexpr std::chrono::milliseconds MaxPollCycle{3500};

/// Returns the time after which a lease requested now has expired on any
/// worker, whatever the error of its clock.
base::Duration maxLeaseLifetime(const ShardOptions &options);

/// Returns the time after which a lease that a worker grants now has expired,
/// whatever deadline was requested.
base::Duration longestLeaseLifetime(const ShardOptions &options);

/// Returns the time after which no call that was sent before now has any effect
/// on a later incarnation of its worker. A deadline on the clock of the earlier
/// one lies far ahead there, so neither a start nor a lease is refused as late.
base::Duration lateCallLifetime(const ShardOptions &options);

/// Returns the time after which no lease and no start of an owner has any
/// effect that may not know that it was replaced just now. Its permission was
/// last renewed before that; a worker's clock was read up to MaxPollCycle
/// earlier.
base::Duration maxPermissionLifetime(const ShardOptions &options);

} // namespace endivedoor::dispatch::detail

#endif
