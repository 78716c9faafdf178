/// \file
/// Estimates of resource usage and run time per task class.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ESTIMATOR_H
#define ENDIVEDOOR_POLICY_DETAIL_ESTIMATOR_H

#include "detail/Interner.h"

#include "endivedoor/base/Clock.h"

#include <array>
#include <cstdint>
#include <vector>

namespace endivedoor::policy::detail {

/// Quantile estimator: a histogram with exponentially growing buckets and
/// exponential decay of old samples.
class DecayedQuantile {
public:
  /// \param value at least 0; values above 2^28 are counted in the last bucket.
  void add(double value, base::TimePoint now);
  /// Returns the \p q quantile within 9%, 0 without samples. Cost: O(buckets).
  double quantile(double q) const;
  /// Returns the number of samples, not decayed.
  std::uint64_t samples() const { return Samples; }

private:
  static constexpr std::size_t BucketCount = 112;
  std::array<float, BucketCount> Buckets{};
  double Weight = 1;
  std::uint64_t Samples = 0;
  base::TimePoint LastDecay{};
};

/// Estimates for one task class. Amounts without enough samples are negative.
struct Estimate {
  double MilliCores = -1;
  double MemoryMb = -1;
  double RunTimeMs = -1;
  /// Incremented whenever the estimates are recomputed.
  std::uint32_t Version = 0;
};

/// Estimates from decayed quantiles per class, increased by a margin factor of
/// 1 + 0.5/sqrt(samples).
class Estimator {
public:
  /// Adds a usage sample of a task, already corrected for throttling.
  void addUsage(Index taskClass, double milliCores, double memoryMb,
                base::TimePoint now);
  /// Adds the run time of a finished task.
  void addRunTime(Index taskClass, double ms, base::TimePoint now);
  /// Returns the current estimates.
  /// Cost: O(1); the quantiles are recomputed after every sixteenth sample.
  const Estimate &estimate(Index taskClass);

private:
  struct ClassRec {
    DecayedQuantile Cpu, Memory, RunTime;
    Estimate Current;
    std::uint64_t UsageSamplesAtUpdate = 0, RunTimeSamplesAtUpdate = 0;
  };
  ClassRec &record(Index taskClass);

  std::vector<ClassRec> Classes;
};

} // namespace endivedoor::policy::detail

#endif
