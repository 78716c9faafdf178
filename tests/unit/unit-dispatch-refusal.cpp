// Replays outages of the store against the times at which refused callers come
// back. Guards against callers that use up their repeats while the store is
// still away, and against callers that return all at once.
#include "endivedoor/dispatch/Refusal.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

using namespace endivedoor;
using namespace std::chrono_literals;
using dispatch::returnDelay;

namespace {

/// Number of times that a caller repeats a refused request.
constexpr int Repeats = 4;

/// Returns when a caller is served that first calls \p first after the outage
/// began, or nothing if it gives up.
std::optional<base::Duration>
servedAt(base::Duration first, base::Duration outage, std::mt19937_64 &random) {
  std::uniform_real_distribution<double> uniform(0, 1);
  base::Duration at = first;
  for (int i = 0; i <= Repeats; ++i) {
    if (at >= outage)
      return at;
    at += returnDelay(at, uniform(random));
  }
  return std::nullopt;
}

// large scale-1: the store is away for 5.6 s. With a constant delay of 1 s all
// 120 callers of the first 1.6 s used up their four repeats before its return.
TEST(ReturnDelay, OutageOfSeconds_IsOutlastedByFourRepeats) {
  std::mt19937_64 random(1);
  for (base::Duration outage : {2000ms, 4000ms, 5600ms, 8000ms})
    for (base::Duration first = 0ms; first < outage; first += 50ms) {
      auto served = servedAt(first, outage, random);
      ASSERT_TRUE(served) << outage / 1ms << " " << first / 1ms;
      // Nobody comes back much later than the outage has lasted.
      EXPECT_LE(*served, 2.5 * outage + 1s);
    }
}

TEST(ReturnDelay, ShortTrouble_CostsOneSecond) {
  EXPECT_EQ(returnDelay(0ms, 0.99), 1s);
  EXPECT_EQ(returnDelay(300ms, 0.99), 1s);
  EXPECT_EQ(returnDelay(-5ms, 0.5), 1s);
}

TEST(ReturnDelay, LongOutage_IsBounded) {
  EXPECT_EQ(returnDelay(3600s, 0.99), 8s);
}

// Callers that were refused at the same moment must not return together.
TEST(ReturnDelay, CallersRefusedTogether_ReturnSpread) {
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::map<std::chrono::seconds, int> returns;
  for (int i = 0; i < 1000; ++i)
    ++returns[returnDelay(5s, uniform(random))];
  EXPECT_GE(returns.size(), 3u);
  for (const auto &[delay, callers] : returns)
    EXPECT_LT(callers, 500);
}

} // namespace
