// Replays start commands against links of given rates. Guards against a small
// node that fills its own link: large quiet-1 with links of 2 Mbit/s, where
// 3,327 of 6,477 starts got no answer in time and the node lost its lease.
#include "detail/CallWindow.h"

#include <gtest/gtest.h>

#include <deque>

using namespace endivedoor;
using namespace std::chrono_literals;
using dispatch::detail::CallWindow;

namespace {

/// A link that carries one command after the other.
class CallWindowReplay : public testing::Test {
protected:
  static constexpr auto Timeout = 900ms;
  static constexpr auto RoundTrip = 10ms;

  struct Call {
    base::TimePoint Sent;
    base::TimePoint Answered;
  };

  /// Offers \p perSecond commands for \p time on a link that carries one every
  /// \p perCall.
  void replay(int perSecond, base::Duration perCall, base::Duration time) {
    base::TimePoint now{}, linkFree{};
    std::deque<Call> calls;
    double due = 0;
    for (; now < base::TimePoint(time); now += 1ms) {
      while (!calls.empty() && (calls.front().Answered <= now ||
                                now - calls.front().Sent >= Timeout)) {
        bool answered = calls.front().Answered <= now;
        ++(answered ? Answers : Timeouts);
        Window.onFinished(now - calls.front().Sent, answered, now);
        calls.pop_front();
      }
      due += perSecond / 1000.0;
      while (due >= 1 && Window.available() > 0) {
        due -= 1;
        linkFree = std::max(linkFree, now) + perCall;
        calls.push_back({now, linkFree + RoundTrip});
        Window.onSent();
      }
      LongestQueue = std::max(LongestQueue, linkFree - now);
    }
  }

  CallWindow Window;
  int Answers = 0, Timeouts = 0;
  base::Duration LongestQueue{};
};

TEST_F(CallWindowReplay, CongestedLink_AnswersStayWithinTheTimeout) {
  // 400 starts a second on a link for 100.
  replay(400, 10ms, 20s);
  EXPECT_EQ(Timeouts, 0);
  // The link stays in use, and other calls wait less than a lease renewal may.
  EXPECT_GT(Answers, 1800);
  EXPECT_LT(LongestQueue, 900ms);
}

TEST_F(CallWindowReplay, VerySlowLink_StillMakesProgress) {
  replay(400, 50ms, 20s);
  EXPECT_GT(Answers, 300);
  EXPECT_LE(Window.limit(), 16u);
}

TEST_F(CallWindowReplay, FastLink_HoldsNothingBack) {
  replay(3000, 100us, 5s);
  EXPECT_EQ(Timeouts, 0);
  EXPECT_GT(Answers, 14900);
}

// Workers of a zone that was cut off do not answer; the others must get their
// starts.
TEST_F(CallWindowReplay, SilentWorkers_DoNotReduceTheLimit) {
  std::size_t before = Window.limit();
  for (int i = 0; i < 500; ++i) {
    bool silent = i % 5 == 0;
    Window.onSent();
    Window.onFinished(silent ? Timeout : RoundTrip, !silent,
                      base::TimePoint(i * 50ms));
  }
  EXPECT_EQ(Window.limit(), before);
  EXPECT_EQ(Window.available(), before);
}

} // namespace
