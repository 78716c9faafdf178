// Replays events that come without a pause on nodes of given speeds. Guards
// against a small node that spends its time on plans while the ends of its runs
// wait: kcs-orders mix, where the owner fell seconds behind.
#include "detail/PlanPacing.h"

#include <gtest/gtest.h>

using namespace endivedoor;
using namespace std::chrono_literals;
using namespace dispatch::detail;

namespace {

class PlanPacingReplay : public testing::Test {
protected:
  /// Plans for \p time on a node where each plan takes \p perPlan.
  void replay(base::Duration perPlan, base::Duration time) {
    base::TimePoint until = Time.now() + time;
    while (Time.now() < until) {
      base::TimePoint begin = Time.now();
      Time.advance(perPlan);
      Planned += perPlan;
      ++Plans;
      Pacing.onPlanned(begin, Time.now());
      LongestDelay = std::max(LongestDelay, Pacing.delay(Time.now()));
      Time.advance(Pacing.delay(Time.now()));
    }
  }

  base::ManualClock Time;
  PlanPacing Pacing;
  base::Duration Planned{0}, LongestDelay{0};
  int Plans = 0;
};

TEST_F(PlanPacingReplay, SlowNode_KeepsTimeForCalls) {
  replay(20ms, 10s);
  EXPECT_LE(Planned, 10s * MaxPlanShare + 20ms);
  EXPECT_GE(Planned, 10s * MaxPlanShare - 100ms);
}

TEST_F(PlanPacingReplay, FastNode_PlansAfterThePlanDelay) {
  replay(2ms, 10s);
  EXPECT_EQ(LongestDelay, PlanDelay);
}

TEST_F(PlanPacingReplay, VerySlowPlans_WaitNoLongerThanThePlanInterval) {
  replay(2s, 60s);
  EXPECT_LE(LongestDelay, PlanInterval);
  EXPECT_GE(Plans, 25);
}

TEST_F(PlanPacingReplay, EventAfterAPause_IsPlannedAfterThePlanDelay) {
  replay(20ms, 1s);
  Time.advance(100ms);
  EXPECT_EQ(Pacing.delay(Time.now()), PlanDelay);
}

// Rooms that open one after the other must not take the time that the calls of
// the starts need.
TEST_F(PlanPacingReplay, UrgentPlans_LeaveHalfOfTheTime) {
  for (int i = 0; i < 100; ++i) {
    base::TimePoint begin = Time.now();
    Time.advance(20ms);
    Pacing.onPlanned(begin, Time.now());
    EXPECT_EQ(Pacing.urgentDelay(Time.now()), 20ms);
    EXPECT_LT(Pacing.urgentDelay(Time.now()), Pacing.delay(Time.now()));
    Time.advance(20ms);
    EXPECT_EQ(Pacing.urgentDelay(Time.now()), 0ms);
  }
}

} // namespace
