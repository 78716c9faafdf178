#include "endivedoor/base/HybridClock.h"

#include <algorithm>

namespace endivedoor::base {

std::uint64_t HybridClock::wallMicros() const {
  auto sinceEpoch = PhysicalClock.wallNow().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch)
          .count());
}

HybridTime HybridClock::tick() {
  std::lock_guard lock(Mutex);
  std::uint64_t wall = wallMicros();
  if (wall > Last.WallMicros)
    Last = {wall, 0};
  else
    ++Last.Counter;
  return Last;
}

HybridTime HybridClock::receive(HybridTime remote) {
  std::lock_guard lock(Mutex);
  std::uint64_t wall = wallMicros();
  HybridTime latest = std::max(Last, remote);
  if (wall > latest.WallMicros)
    Last = {wall, 0};
  else
    Last = {latest.WallMicros, latest.Counter + 1};
  return Last;
}

} // namespace endivedoor::base
