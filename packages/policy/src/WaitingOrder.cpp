// Load pattern: see the header. The order "long-running first, then priority,
// then deadline" served first what was already late, and restarting
// long-running tasks took all capacity that was left after a loss of workers.
#include "endivedoor/policy/WaitingOrder.h"

#include <algorithm>

namespace endivedoor::policy {

using std::chrono::nanoseconds;

Urgency urgencyOf(const WaitingWork &work) {
  if (work.Waited >= AgingFactor * work.Objective)
    return Urgency::Overdue;
  return work.TimeLeft >= work.RemainingPath ? Urgency::InTime : Urgency::Late;
}

static std::int64_t inSteps(nanoseconds time) {
  nanoseconds step = LaxityGranularity;
  std::int64_t n = time / step;
  // Rounds down, so that work that has just become late differs from work that
  // is just in time.
  return time < nanoseconds{0} && time % step != nanoseconds{0} ? n - 1 : n;
}

/// CPU time that the work needs at least, in core milliseconds.
static std::int64_t cpuTime(const WaitingWork &work) {
  auto path =
      std::chrono::duration_cast<std::chrono::milliseconds>(work.RemainingPath);
  return work.WaitingCpu * std::max<std::int64_t>(1, path.count()) / 1000;
}

WaitingKey waitingKey(const WaitingWork &work, WaitingRule rule) {
  if (rule == WaitingRule::Priority) {
    bool longRunning = work.RemainingPath == nanoseconds{0};
    return {Urgency::InTime, longRunning ? 0 : 1, work.Priority, work.TimeLeft,
            work.RemainingPath};
  }
  Urgency urgency = urgencyOf(work);
  std::int64_t order = 0;
  if (urgency == Urgency::Overdue) {
    // What has waited longest beyond its bound goes first.
    order = inSteps(AgingFactor * work.Objective - work.Waited);
  } else if (urgency == Urgency::InTime) {
    switch (rule) {
    case WaitingRule::Priority:
    case WaitingRule::LeastLaxity:
      order = inSteps(work.TimeLeft - work.RemainingPath);
      break;
    case WaitingRule::EarliestDeadline:
      order = inSteps(work.TimeLeft);
      break;
    case WaitingRule::ValueDensity:
      order = cpuTime(work);
      break;
    }
  }
  return {urgency, order, work.Priority, work.RemainingPath, work.TimeLeft};
}

} // namespace endivedoor::policy
