#include "detail/CallWindow.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using namespace std::chrono_literals;

constexpr double MinLimit = 4;
constexpr double MaxLimit = 1024;
/// Mean delay of answers above which the link counts as congested; a third of
/// the call timeout, and far above the delay between zones.
constexpr auto CongestedDelay = 300ms;
/// Factor by which congestion reduces the limit.
constexpr double Reduction = 0.7;
/// Minimum time between two reductions: answers to calls sent before the first
/// say nothing about its effect.
constexpr auto ReductionInterval = 300ms;
/// Weight of one answer in the moving average.
constexpr int AverageDivisor = 8;

std::size_t CallWindow::limit() const {
  return static_cast<std::size_t>(Limit);
}

std::size_t CallWindow::available() const {
  return limit() > InFlight ? limit() - InFlight : 0;
}

void CallWindow::onFinished(base::Duration delay, bool answered,
                            base::TimePoint now) {
  bool wasFull = InFlight >= limit();
  if (InFlight > 0)
    --InFlight;
  if (!answered) {
    if (++LostInARow >= limit())
      reduce(now);
    return;
  }
  LostInARow = 0;
  MeanDelay += (delay - MeanDelay) / AverageDivisor;
  if (MeanDelay <= CongestedDelay) {
    // Doubles per round of answers while the link is idle, and grows by one per
    // round near congestion; only while it is in use.
    double growth = MeanDelay <= CongestedDelay / 2 ? 1 : 1 / Limit;
    if (wasFull)
      Limit = std::min(MaxLimit, Limit + growth);
    return;
  }
  reduce(now);
}

void CallWindow::reduce(base::TimePoint now) {
  if (now - LastReduced < ReductionInterval)
    return;
  LastReduced = now;
  LostInARow = 0;
  Limit = std::max(MinLimit, Limit * Reduction);
}

} // namespace endivedoor::dispatch::detail
