/// \file
/// Hybrid logical clock: orders the events of all processes consistently with
/// causality.
#ifndef ENDIVEDOOR_BASE_HYBRIDCLOCK_H
#define ENDIVEDOOR_BASE_HYBRIDCLOCK_H

#include "endivedoor/base/Clock.h"

#include <compare>
#include <cstdint>
#include <mutex>

namespace endivedoor::base {

/// A hybrid timestamp: wall time in microseconds and a counter that orders
/// events within it.
struct HybridTime {
  std::uint64_t WallMicros = 0;
  std::uint32_t Counter = 0;
  friend auto operator<=>(const HybridTime &, const HybridTime &) = default;
};

/// Thread-safe hybrid logical clock. Algorithm: Kulkarni et al., "Logical
/// Physical Clocks", 2014.
class HybridClock {
public:
  explicit HybridClock(const Clock &clock) : PhysicalClock(clock) {}

  /// Returns the timestamp of a local event or an outgoing message.
  HybridTime tick();

  /// Merges the timestamp of a received message; returns the timestamp of the
  /// receipt, which is later.
  HybridTime receive(HybridTime remote);

private:
  std::uint64_t wallMicros() const;

  const Clock &PhysicalClock;
  std::mutex Mutex;
  HybridTime Last;
};

} // namespace endivedoor::base

#endif
