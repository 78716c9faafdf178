/// \file
/// Headroom of a serving job below its response time target as its own load
/// varies.
#ifndef ENDIVEDOOR_POLICY_SERVINGLOAD_H
#define ENDIVEDOOR_POLICY_SERVINGLOAD_H

#include "endivedoor/base/Clock.h"

#include <array>
#include <cstddef>

namespace endivedoor::policy {

/// Follows the headroom that the tasks of one serving job would have without
/// fillers: the ratio of target to response time, so that 1 is just at the
/// target.
///
/// All tasks of a job share its load, so that the measurements of all of them
/// count together. Fits a straight line to the measurements with exponential
/// forgetting, which follows a rising load without lag.
class ServingLoad {
public:
  /// \param headroom measured ratio, corrected for the fillers beside the task.
  /// \param weight weight of the measurement, in (0, 1].
  void observe(base::TimePoint now, double headroom, double weight);

  /// Returns whether there are enough recent measurements for an estimate.
  bool isKnown(base::TimePoint now) const;
  /// Returns the headroom expected at \p when; extrapolates by at most
  /// MaxExtrapolation beyond the latest measurement.
  double headroomAt(base::TimePoint when) const;
  /// Returns the lowest headroom of the last Window, averaged over a second.
  double lowest(base::TimePoint now) const;
  /// Returns the headroom expected after \p ahead if the load goes on to change
  /// as it does now, but not beyond the range of the last Window.
  double forecast(base::TimePoint now, base::Duration ahead) const;
  /// Returns for how long the job has been measured, at most Window.
  base::Duration observedTime(base::TimePoint now) const;

  static constexpr std::chrono::seconds Window{12};
  static constexpr std::chrono::milliseconds MaxExtrapolation{800};

private:
  /// Lowest and highest headroom of the last Window.
  struct Range {
    double Lowest = 0;
    double Highest = 0;
  };
  Range range(base::TimePoint now) const;
  /// Returns the change of the headroom per second.
  double slope() const;

  struct Interval {
    std::int64_t Number = -1;
    double Sum = 0;
    std::int64_t Count = 0;
  };
  /// Moves the origin of the sums to \p now and lets them decay.
  void advance(base::TimePoint now);

  base::TimePoint Latest;
  base::TimePoint First;
  /// Sums of the weights w, of w t, w t^2, w y and w t y, where t is the time
  /// of a measurement after Latest in seconds (0 or less) and y its headroom.
  double Weight = 0, SumT = 0, SumTT = 0, SumY = 0, SumTY = 0;
  static constexpr std::size_t Intervals = 12;
  std::array<Interval, Intervals> History;
};

} // namespace endivedoor::policy

#endif
