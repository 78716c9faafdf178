/// \file
/// Capacity that long-running tasks leave to tasks that end.
///
/// Load pattern: workers are lost, and what is left has less capacity than the
/// long-running tasks declare. In the moment in which these restart, few short
/// tasks wait. The long-running ones take all free capacity and, as they do not
/// end, keep it from every short job that arrives until workers return.
#ifndef ENDIVEDOOR_POLICY_SHORTDEMAND_H
#define ENDIVEDOOR_POLICY_SHORTDEMAND_H

#include <chrono>
#include <cstdint>

namespace endivedoor::policy {

/// Decayed mean and deviation of the CPU that short tasks demand together.
class ShortDemand {
public:
  /// \param cpu declared CPU of the short tasks that run or are ready and can
  /// be in time, in thousandths of a core.
  /// \param elapsed time since the previous observation.
  void observe(std::int64_t cpu, std::chrono::nanoseconds elapsed);
  /// Returns the CPU to keep for short tasks, running ones included.
  std::int64_t expected() const;

private:
  /// Sum of the weights of all observations so far; 1 after a long time.
  /// Without it, a new owner would start from a demand of 0.
  double Weight = 0;
  double Sum = 0;
  double SquareSum = 0;
};

} // namespace endivedoor::policy

#endif
