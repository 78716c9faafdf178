/// \file
/// Sizes and run times learned per task class.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ESTIMATOR_H
#define ENDIVEDOOR_POLICY_DETAIL_ESTIMATOR_H

#include "detail/Interner.h"

#include "endivedoor/base/Clock.h"

#include <array>
#include <cstdint>
#include <vector>

namespace endivedoor::policy::detail {

/// Histogram with buckets that grow by a fixed ratio; older samples weigh less.
class DecayedQuantile {
public:
  /// \param value at least 0; values up to 2^28 are told apart.
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

/// Estimates of one class. Amounts without enough samples are negative.
struct Estimate {
  double MilliCores = -1;
  double MemoryMb = -1;
  double RunTimeMs = -1;
  /// Changes with every change of the amounts.
  std::uint32_t Version = 0;
};

/// Decayed quantiles per class with a margin of 1 + 0.5/sqrt(samples).
class Estimator {
public:
  /// A measured use of a task, without the effect of a throttle.
  void addUsage(Index taskClass, double milliCores, double memoryMb,
                base::TimePoint now);
  /// The run time of a task that finished.
  void addRunTime(Index taskClass, double ms, base::TimePoint now);
  /// Cost: O(1); the quantiles are renewed after every sixteenth sample.
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
