#include "endivedoor/dispatch/Refusal.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::dispatch {

using namespace std::chrono_literals;

constexpr std::chrono::seconds MinReturnDelay = 1s;
/// A caller that comes back later than this finds its result useless.
constexpr std::chrono::seconds MaxReturnDelay = 8s;
/// Width of the range over which callers are spread, as a fraction of the
/// delay.
constexpr double ReturnSpread = 0.5;

std::chrono::seconds returnDelay(base::Duration storeAway, double draw) {
  double away = std::chrono::duration<double>(storeAway).count();
  double factor = 1 + ReturnSpread * (draw - 0.5);
  // Retry-After has whole seconds; rounding up keeps early callers away.
  auto delay = std::chrono::seconds(std::llround(std::ceil(away * factor)));
  return std::clamp(delay, MinReturnDelay, MaxReturnDelay);
}

} // namespace endivedoor::dispatch
