// Replays serving jobs whose load swings within seconds while fillers run
// beside them. Taken together, these tests guard against a model that takes the
// swing of the load for the effect of fillers.
#include "endivedoor/policy/ColocationModel.h"
#include "endivedoor/policy/ServingLoad.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <numbers>
#include <random>
#include <string>
#include <vector>

using namespace endivedoor;
using namespace std::chrono_literals;
using policy::ColocationModel;
using policy::ServingLoad;

namespace {

/// Response times follow 1 / (1 - load - pressure of the fillers).
struct SwingingJob {
  double Phase = 0;
  static constexpr double IdleMs = 4;
  static constexpr double TargetMs = 18;

  double load(double t) const {
    constexpr double period = 10;
    return 0.42 + 0.21 * std::sin(2 * std::numbers::pi * t / period + Phase);
  }
  /// Ratio of target to response time, without fillers.
  double headroom(double t) const { return TargetMs / IdleMs * (1 - load(t)); }
  /// Gauge in whole ms beside fillers that take \p lost of the headroom.
  double gauge(double t, double lost) const {
    return std::round(TargetMs / std::max(0.05, headroom(t) - lost));
  }
};

class SwingingLoad : public testing::Test {
protected:
  base::TimePoint at(double t) const {
    return base::TimePoint(1h) + std::chrono::duration_cast<base::Duration>(
                                     std::chrono::duration<double>(t));
  }
  /// Measures each of 14 tasks twice a second.
  void measure(double from, double to) {
    for (double t = from; t < to; t += 1.0 / 28)
      Load.observe(at(t), SwingingJob::TargetMs / Job.gauge(t, 0), 1);
  }

  SwingingJob Job;
  ServingLoad Load;
};

TEST_F(SwingingLoad, Estimate_FollowsTheSwing) {
  measure(0, 20);
  for (double t = 20; t < 30; t += 0.5) {
    measure(t, t + 0.5);
    double actual = Job.headroom(t + 0.5);
    // Gauges are in whole ms, so that half a ms is not seen.
    double rounding = actual * actual / SwingingJob::TargetMs / 2;
    EXPECT_NEAR(Load.headroomAt(at(t + 0.5)), actual, 0.1 + rounding) << t;
  }
}

TEST_F(SwingingLoad, LowestHeadroom_IsThatOfThePeak) {
  measure(0, 20);
  EXPECT_NEAR(Load.lowest(at(20)), Job.headroom(2.5), 0.15);
  EXPECT_EQ(Load.observedTime(at(20)), ServingLoad::Window);
}

// The line must not promise more than the job has ever had, nor less.
TEST_F(SwingingLoad, Forecast_StaysWithinWhatWasSeen) {
  measure(0, 20);
  for (double t = 20; t < 30; t += 0.5) {
    measure(t, t + 0.5);
    double later = Load.forecast(at(t + 0.5), 2s);
    EXPECT_GT(later, Job.headroom(2.5) - 0.3) << t;
    EXPECT_LT(later, Job.headroom(7.5) + 0.3) << t;
  }
}

// One task on a failing worker must not make all tasks of the job look loaded.
TEST_F(SwingingLoad, OneSlowTask_DoesNotShiftTheEstimate) {
  int n = 0;
  for (double t = 0; t < 20; t += 1.0 / 28, ++n)
    Load.observe(at(t), n % 14 == 0 ? 0.2 : Job.headroom(t), 1);
  EXPECT_NEAR(Load.headroomAt(at(20)), Job.headroom(20), 0.2);
}

TEST_F(SwingingLoad, WithoutMeasurements_IsUnknown) {
  EXPECT_FALSE(Load.isKnown(at(0)));
  measure(0, 2);
  EXPECT_TRUE(Load.isKnown(at(2)));
  EXPECT_FALSE(Load.isKnown(at(6)));
}

/// Twelve jobs of six programs on 60 workers, and nine fillers that each
/// disturb the programs of one group. Every fifth pair is never placed together
/// while the model learns.
class FleetReplay {
public:
  explicit FleetReplay(std::uint64_t seed) : Random(seed) {
    for (std::size_t j = 0; j < Jobs.size(); ++j)
      Jobs[j].Phase = Uniform(Random) * 2 * std::numbers::pi;
  }

  static double slope(std::size_t program, std::size_t filler) {
    return program % 3 == filler % 3 ? 11 : 1;
  }
  static bool isHeldOut(std::size_t program, std::size_t filler) {
    return (program * 9 + filler) % 5 == 0;
  }

  /// Every worker has two jobs of one program and up to three fillers for 2 s.
  void run(double from, double to) {
    for (double t = from; t < to; t += 0.5)
      for (std::size_t w = 0; w < 60; ++w)
        measure(w, t);
  }

  /// Returns the mean error of the slopes of the pairs that were or were not
  /// held out, relative to the mean slope.
  double error(bool heldOut) const {
    double sum = 0, n = 0, all = 0, pairs = 0;
    for (std::size_t p = 0; p < 6; ++p)
      for (std::size_t f = 0; f < 9; ++f) {
        all += slope(p, f);
        ++pairs;
        if (isHeldOut(p, f) != heldOut)
          continue;
        sum += std::abs(Model.slope(name('s', p), name('f', f)) - slope(p, f));
        ++n;
      }
    return sum / n / (all / pairs);
  }

private:
  static std::string name(char kind, std::size_t n) {
    return kind + std::to_string(n);
  }

  void measure(std::size_t w, double t) {
    std::size_t program = w % 6;
    std::mt19937_64 choice(w * 1000 + static_cast<std::uint64_t>(t / 2));
    std::vector<policy::FillerShare> fillers;
    double lost = 0, explained = 0;
    for (std::size_t i = choice() % 4; i > 0; --i) {
      std::size_t filler = choice() % 9;
      if (isHeldOut(program, filler))
        continue;
      constexpr double share = 0.08;
      fillers.push_back({name('f', filler), share});
      lost += slope(program, filler) * share;
      explained += Model.slope(name('s', program), name('f', filler)) * share;
    }
    base::TimePoint now =
        base::TimePoint(1h) +
        std::chrono::milliseconds(static_cast<int>(t * 1000 + w * 8));
    for (std::size_t j : {program, program + 6}) {
      double headroom = std::min(
          8.0, SwingingJob::TargetMs / std::max(1.0, Jobs[j].gauge(t, lost)));
      if (Loads[j].isKnown(now))
        Model.observe(name('s', program), Loads[j].headroomAt(now) - headroom,
                      fillers, 0.5);
      Loads[j].observe(now, headroom + explained,
                       0.5 / (1 + 50 * explained * explained));
    }
  }

  std::mt19937_64 Random;
  std::uniform_real_distribution<double> Uniform{0, 1};
  std::array<SwingingJob, 12> Jobs;
  std::array<ServingLoad, 12> Loads;
  ColocationModel Model;
};

// A controller acts wrongly for as long as the model is wrong; a model that
// ignored the load of the services was no better at the end of a day than at
// its start.
TEST(ColocationReplay, ErrorOfSlopes_FallsWithinSeconds) {
  for (std::uint64_t seed : {1, 2, 3}) {
    FleetReplay replay(seed);
    double last = 0;
    for (double t : {0.0, 5.0, 10.0}) {
      double to = t == 10 ? 20 : t + 5;
      replay.run(t, to);
      last = replay.error(false);
      std::printf("seed %d, %2.0f s: error of measured pairs %.2f, of held-out "
                  "pairs %.2f\n",
                  static_cast<int>(seed), to, last, replay.error(true));
    }
    EXPECT_LT(last, 0.3) << "seed " << seed;
  }
}

} // namespace
