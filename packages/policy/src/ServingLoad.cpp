#include "endivedoor/policy/ServingLoad.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy {

using base::TimePoint;
using namespace std::chrono_literals;

/// Time in which the weight of a measurement falls to 1/e. The load swings with
/// a period of about 10 s; a longer time would round off its peaks, a shorter
/// one would follow the rounding of the gauges.
constexpr double ForgettingSeconds = 0.7;
/// Weight from which the estimate counts as known: a few measurements.
constexpr double MinWeight = 1.0;
/// Ridge on the slope of the line, in s^2 of weight; keeps it near 0 while the
/// measurements span only a short time.
constexpr double SlopeRidge = 0.15;
/// A measurement further from the line is limited to this distance, relative to
/// the line. Effects that are not corrected for only lower the headroom, so
/// that a low measurement says less than a high one.
constexpr double MaxShareAbove = 0.25;
constexpr double MaxShareBelow = 0.08;
/// Lowest headroom of a line that limits measurements.
constexpr double MinHeadroom = 0.5;
constexpr auto IntervalLength = 1s;
/// A job without measurements for this long counts as unknown.
constexpr auto MaxAge = 3s;

/// Estimates that an interval needs to count for the lowest headroom.
constexpr std::int64_t MinCount = 3;

static double seconds(base::Duration d) {
  return std::chrono::duration<double>(d).count();
}

static std::int64_t intervalOf(TimePoint t) {
  return t.time_since_epoch() / IntervalLength;
}

void ServingLoad::advance(TimePoint now) {
  double dt = seconds(now - Latest);
  if (dt <= 0)
    return;
  // With the origin moved by dt, each t becomes t - dt.
  SumTT += dt * dt * Weight - 2 * dt * SumT;
  SumTY -= dt * SumY;
  SumT -= dt * Weight;
  double keep = std::exp(-dt / ForgettingSeconds);
  for (double *it : {&Weight, &SumT, &SumTT, &SumY, &SumTY})
    *it *= keep;
  Latest = now;
}

void ServingLoad::observe(TimePoint now, double headroom, double weight) {
  if (First == TimePoint{}) {
    First = Latest = now;
  } else if (isKnown(now)) {
    double line = std::max(MinHeadroom, headroomAt(now));
    headroom = std::clamp(headroom, line * (1 - MaxShareBelow),
                          line * (1 + MaxShareAbove));
  }
  advance(now);
  double t = seconds(now - Latest);
  Weight += weight;
  SumT += weight * t;
  SumTT += weight * t * t;
  SumY += weight * headroom;
  SumTY += weight * t * headroom;
  if (!isKnown(now))
    return;
  std::int64_t number = intervalOf(now);
  Interval &it = History[static_cast<std::size_t>(number) % Intervals];
  double level = headroomAt(now);
  if (it.Number != number)
    it = {number, 0, 0};
  it.Sum += level;
  ++it.Count;
}

bool ServingLoad::isKnown(TimePoint now) const {
  return Weight >= MinWeight && now - Latest < MaxAge;
}

double ServingLoad::slope() const {
  if (Weight <= 0)
    return 0;
  double spread = SumTT - SumT * SumT / Weight + SlopeRidge;
  return (SumTY - SumT * SumY / Weight) / spread;
}

double ServingLoad::headroomAt(TimePoint when) const {
  if (Weight <= 0)
    return 0;
  double t = seconds(std::min<base::Duration>(when - Latest, MaxExtrapolation));
  return SumY / Weight + slope() * (t - SumT / Weight);
}

ServingLoad::Range ServingLoad::range(TimePoint now) const {
  // Means of whole intervals: the minimum of single estimates would be biased
  // by their noise.
  Range range{headroomAt(now), headroomAt(now)};
  bool any = false;
  for (const Interval &it : History)
    if (it.Count >= MinCount &&
        intervalOf(now) - it.Number < static_cast<std::int64_t>(Intervals)) {
      double level = it.Sum / static_cast<double>(it.Count);
      range.Lowest = any ? std::min(range.Lowest, level) : level;
      range.Highest = any ? std::max(range.Highest, level) : level;
      any = true;
    }
  return range;
}

double ServingLoad::lowest(TimePoint now) const { return range(now).Lowest; }

double ServingLoad::forecast(TimePoint now, base::Duration ahead) const {
  Range seen = range(now);
  return std::clamp(headroomAt(now) + slope() * seconds(ahead), seen.Lowest,
                    seen.Highest);
}

base::Duration ServingLoad::observedTime(TimePoint now) const {
  if (First == TimePoint{})
    return base::Duration{0};
  return std::min<base::Duration>(now - First, Window);
}

} // namespace endivedoor::policy
