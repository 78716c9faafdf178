#include "detail/Estimator.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy::detail {

/// Number of buckets per doubling of the value; adjacent buckets differ by a
/// factor of 1.19.
static constexpr double BucketsPerDoubling = 4;
static constexpr std::chrono::seconds DecayInterval{60};
/// Weight growth per decay interval; gives samples a half-life of ten
/// intervals, that is, ten minutes.
static const double GrowthPerInterval = std::exp2(0.1);
/// Below this number of samples, declared amounts are used instead of
/// estimates.
static constexpr std::uint64_t MinSamples = 4;
static constexpr std::uint64_t UpdateInterval = 16;

void DecayedQuantile::add(double value, base::TimePoint now) {
  if (Samples == 0)
    LastDecay = now;
  // Increasing the weight of new samples is equivalent to decaying the old
  // ones, and costs one multiplication per interval instead of one per bucket.
  for (; now - LastDecay >= DecayInterval; LastDecay += DecayInterval) {
    Weight *= GrowthPerInterval;
    if (now - LastDecay > 1000 * DecayInterval)
      LastDecay = now;
  }
  if (Weight > 1e6) {
    for (float &bucket : Buckets)
      bucket = float(bucket / Weight);
    Weight = 1;
  }
  double position = BucketsPerDoubling * std::log2(std::max(1.0, value));
  std::size_t n = std::min(std::size_t(position), BucketCount - 1);
  Buckets[n] += float(Weight);
  ++Samples;
}

double DecayedQuantile::quantile(double q) const {
  double total = 0;
  for (float bucket : Buckets)
    total += bucket;
  if (total <= 0)
    return 0;
  double rank = q * total;
  for (std::size_t n = 0; n < BucketCount; ++n) {
    if (rank <= Buckets[n] && Buckets[n] > 0)
      return std::exp2((double(n) + rank / Buckets[n]) / BucketsPerDoubling);
    rank -= Buckets[n];
  }
  return std::exp2(double(BucketCount) / BucketsPerDoubling);
}

Estimator::ClassRec &Estimator::record(Index taskClass) {
  if (taskClass >= Classes.size())
    Classes.resize(taskClass + 1);
  return Classes[taskClass];
}

void Estimator::addUsage(Index taskClass, double milliCores, double memoryMb,
                         base::TimePoint now) {
  ClassRec &rec = record(taskClass);
  rec.Cpu.add(milliCores, now);
  rec.Memory.add(memoryMb, now);
}

void Estimator::addRunTime(Index taskClass, double ms, base::TimePoint now) {
  record(taskClass).RunTime.add(ms, now);
}

static bool isDue(std::uint64_t samples, std::uint64_t samplesAtUpdate) {
  return samples >= MinSamples &&
         (samplesAtUpdate == 0 || samples >= samplesAtUpdate + UpdateInterval);
}

static double withMargin(double value, std::uint64_t samples) {
  return value * (1 + 0.5 / std::sqrt(double(samples)));
}

const Estimate &Estimator::estimate(Index taskClass) {
  ClassRec &rec = record(taskClass);
  std::uint64_t usage = rec.Cpu.samples(), runs = rec.RunTime.samples();
  if (isDue(usage, rec.UsageSamplesAtUpdate)) {
    rec.UsageSamplesAtUpdate = usage;
    // CPU usage of the tasks on a worker adds up, so a moderate quantile is
    // sufficient. A single task that exceeds its memory is killed, which
    // requires a high quantile.
    rec.Current.MilliCores = withMargin(rec.Cpu.quantile(0.6), usage);
    rec.Current.MemoryMb = withMargin(rec.Memory.quantile(0.98), usage);
    ++rec.Current.Version;
  }
  if (isDue(runs, rec.RunTimeSamplesAtUpdate)) {
    rec.RunTimeSamplesAtUpdate = runs;
    rec.Current.RunTimeMs = withMargin(rec.RunTime.quantile(0.9), runs);
    ++rec.Current.Version;
  }
  return rec.Current;
}

} // namespace endivedoor::policy::detail
