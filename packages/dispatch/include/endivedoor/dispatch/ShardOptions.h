/// \file
/// Bounds of an installation that the decisions of a shard depend on.
#ifndef ENDIVEDOOR_DISPATCH_SHARDOPTIONS_H
#define ENDIVEDOOR_DISPATCH_SHARDOPTIONS_H

#include <chrono>

namespace endivedoor::dispatch {

using std::chrono::milliseconds;

struct ShardOptions {
  /// Longest lease that a worker grants.
  milliseconds MaxLease{10000};
  /// Time for which each hold asks. Tasks outlive a cut of the network that is
  /// shorter, and start elsewhere after a longer one.
  milliseconds LeaseDuration{6000};
  /// Time for which a lasting task may be over its target.
  milliseconds MaxTargetMissTime{4000};
  /// An owner gives no orders later than this after its last word from the
  /// store. It outlives a store outage of usual length.
  milliseconds OwnerGrace{8000};
};

/// Largest error of a worker's clock, from the platform's bounds (2% slow).
constexpr double MaxClockDriftFactor = 1.0 / 0.98;

} // namespace endivedoor::dispatch

#endif
