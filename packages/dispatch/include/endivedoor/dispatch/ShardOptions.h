/// \file
/// Limits of an installation that the decisions of a shard depend on.
#ifndef ENDIVEDOOR_DISPATCH_SHARDOPTIONS_H
#define ENDIVEDOOR_DISPATCH_SHARDOPTIONS_H

#include "endivedoor/policy/WaitingOrder.h"

#include <chrono>
#include <cstdint>

namespace endivedoor::dispatch {

using std::chrono::milliseconds;

struct ShardOptions {
  /// Longest lease that a worker grants.
  milliseconds MaxLease{10000};
  /// Lease that each poll requests. Tasks survive a network partition that is
  /// shorter; after a longer one they are restarted on other workers.
  milliseconds LeaseDuration{6000};
  /// Time after the decision on a start from which the worker refuses it. A
  /// start may be delayed in the node, on its link and at the worker; a
  /// cancellation must take effect within 3 s, of which the age of the records
  /// takes 1.5 s. Longer than the timeout of a call.
  milliseconds StartDeadline{1500};
  /// Time for which a long-running task may miss its response time target.
  milliseconds MaxTargetMissTime{4000};
  /// An owner sends no commands once this much time has passed since the store
  /// last showed that no other node had acquired the shard. Long enough for a
  /// store outage of usual length.
  milliseconds OwnerGrace{8000};
  /// How waiting work is ordered. By priority in the daemon: the orders by
  /// laxity served fillers less in plays of whole days (docs/policy.md).
  policy::WaitingRule WaitingOrder = policy::WaitingRule::Priority;
};

/// Longest time for which a call that was not answered may still be carried
/// out. The platform names no bound ("seconds later"); its tests go up to 12 s.
constexpr milliseconds MaxCallDelay{12000};

/// Number of fencing tokens that one term has at each worker. A busy worker
/// gets some three a second, so that a term uses them up in four days; then it
/// ends, and the shard is claimed anew.
constexpr std::uint64_t TokensPerTerm = 1 << 20;

/// Largest rate error of a worker's clock; the platform guarantees at most 2%
/// slow.
constexpr double MaxClockDriftFactor = 1.0 / 0.98;

} // namespace endivedoor::dispatch

#endif
