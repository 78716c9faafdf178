// Load pattern: see the header.
#include "endivedoor/policy/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy {

using std::chrono::nanoseconds;

/// Lower end of the second bucket, and ratio of the ends of a bucket; the last
/// one begins at about 800 s.
constexpr double FirstBucketSeconds = 0.01;
constexpr double BucketRatio = 1.2;
/// Weight of the earlier runs at each new one. About the last 30 runs count, so
/// that a changed program is learned within a few jobs.
constexpr double Decay = 0.97;
/// Runs from which a quantile is taken; half of the tasks of a usual step.
constexpr std::int64_t MinSamples = 5;

static std::size_t bucketOf(nanoseconds time, std::size_t buckets) {
  double seconds = std::chrono::duration<double>(time).count();
  if (seconds <= FirstBucketSeconds)
    return 0;
  double index = 1 + std::floor(std::log(seconds / FirstBucketSeconds) /
                                std::log(BucketRatio));
  return std::min(buckets - 1, static_cast<std::size_t>(index));
}

/// Returns the time at a fraction of a bucket.
static nanoseconds timeIn(std::size_t bucket, double fraction) {
  double seconds = bucket == 0
                       ? FirstBucketSeconds * fraction
                       : FirstBucketSeconds *
                             std::pow(BucketRatio, static_cast<double>(bucket) -
                                                       1 + fraction);
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(seconds));
}

void RunTimes::record(const ProgramKey &program, nanoseconds time) {
  auto [it, added] = Programs.try_emplace(program);
  Histogram &histogram = it->second;
  for (double &weight : histogram.Weights)
    weight *= Decay;
  histogram.Sum = histogram.Sum * Decay + 1;
  histogram.Weights[bucketOf(time, BucketCount)] += 1;
  ++histogram.Samples;
  histogram.Latest = ++Records;
  if (Programs.size() <= MaxPrograms)
    return;
  Programs.erase(std::min_element(Programs.begin(), Programs.end(),
                                  [](const auto &a, const auto &b) {
                                    return a.second.Latest < b.second.Latest;
                                  }));
}

std::optional<nanoseconds> RunTimes::quantile(ProgramRef program,
                                              double q) const {
  auto it = Programs.find(program);
  if (it == Programs.end() || it->second.Samples < MinSamples)
    return std::nullopt;
  double rest = q * it->second.Sum;
  std::size_t last = 0;
  for (std::size_t i = 0; i < BucketCount; ++i) {
    double weight = it->second.Weights[i];
    if (weight <= 0)
      continue;
    if (rest <= weight)
      return timeIn(i, rest / weight);
    rest -= weight;
    last = i;
  }
  // Rounding can leave a remainder of the sum.
  return timeIn(last, 1);
}

} // namespace endivedoor::policy
