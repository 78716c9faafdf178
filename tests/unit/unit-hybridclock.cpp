// Guards the order of the timeline: a receipt must never be stamped before the
// message it answers.
#include "endivedoor/base/HybridClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace endivedoor::base;

namespace {

TEST(HybridClock, StandingWallClockStillGrows) {
  ManualClock wall;
  HybridClock hybrid(wall);
  HybridTime first = hybrid.tick();
  EXPECT_LT(first, hybrid.tick());
}

RC_GTEST_PROP(HybridClock, ReceiptIsLaterThanSendUnderSkew, ()) {
  ManualClock fast, slow;
  fast.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 60000)));
  HybridClock sender(fast), receiver(slow);
  HybridTime sent = sender.tick();
  RC_ASSERT(sent < receiver.receive(sent));
  RC_ASSERT(sent < receiver.tick());
}

} // namespace
