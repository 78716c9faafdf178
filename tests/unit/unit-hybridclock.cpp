// Tests that the hybrid logical clock is monotonic, and that a receive
// timestamp is always later than the matching send timestamp.
#include "endivedoor/base/HybridClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace endivedoor::base;

namespace {

TEST(HybridClock, IncreasesWhileWallClockStandsStill) {
  ManualClock wall;
  HybridClock hybrid(wall);
  HybridTime first = hybrid.tick();
  EXPECT_LT(first, hybrid.tick());
}

RC_GTEST_PROP(HybridClock, ReceiveIsLaterThanSendUnderClockSkew, ()) {
  ManualClock fast, slow;
  fast.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 60000)));
  HybridClock sender(fast), receiver(slow);
  HybridTime sent = sender.tick();
  RC_ASSERT(sent < receiver.receive(sent));
  RC_ASSERT(sent < receiver.tick());
}

} // namespace
