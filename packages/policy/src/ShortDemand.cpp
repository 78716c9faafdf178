// Load pattern: see the header.
#include "endivedoor/policy/ShortDemand.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy {

/// Some ten short jobs of a shard arrive in this time, so that the mean does
/// not follow single jobs.
constexpr std::chrono::seconds DecayTime{10};

void ShortDemand::observe(std::int64_t cpu, std::chrono::nanoseconds elapsed) {
  if (elapsed.count() <= 0)
    return;
  double weight =
      1 - std::exp(-std::chrono::duration<double>(elapsed) / DecayTime);
  auto value = static_cast<double>(cpu);
  Weight += weight * (1 - Weight);
  Sum += weight * (value - Sum);
  SquareSum += weight * (value * value - SquareSum);
}

std::int64_t ShortDemand::expected() const {
  if (Weight <= 0)
    return 0;
  double mean = Sum / Weight;
  double variance = std::max(0.0, SquareSum / Weight - mean * mean);
  return static_cast<std::int64_t>(mean + std::sqrt(variance));
}

} // namespace endivedoor::policy
