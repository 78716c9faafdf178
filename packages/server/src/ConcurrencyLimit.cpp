#include "endivedoor/server/ConcurrencyLimit.h"

#include <algorithm>
#include <chrono>

namespace endivedoor::server {

/// Weights of a new sample in the averages of the latency.
constexpr double RecentWeight = 1.0 / 8;
constexpr double LongTermWeight = 1.0 / 256;
/// Latencies up to this multiple of the long-term average are regarded as
/// normal variation.
constexpr double LatencyTolerance = 2.0;
/// Latencies below this value, in seconds, are too short to indicate queueing.
constexpr double MinLatencyBound = 0.001;
constexpr double DecreaseFactor = 0.9;

ConcurrencyLimit::ConcurrencyLimit(std::int32_t maximum)
    : Maximum(std::max(1, maximum)), Limit(Maximum) {}

void ConcurrencyLimit::setMaximum(std::int32_t maximum) {
  std::lock_guard lock(Mutex);
  double next = std::max(1, maximum);
  // A limit that is at the old maximum moves to the new one.
  Limit = Limit == Maximum ? next : std::min(Limit, next);
  Maximum = next;
}

bool ConcurrencyLimit::tryAcquire() {
  std::lock_guard lock(Mutex);
  if (Outstanding + 1 > Limit)
    return false;
  ++Outstanding;
  return true;
}

void ConcurrencyLimit::releaseAnswered(base::Duration latency) {
  double seconds = std::chrono::duration<double>(latency).count();
  std::lock_guard lock(Mutex);
  if (RecentLatency == 0)
    RecentLatency = LongTermLatency = seconds;
  RecentLatency += (seconds - RecentLatency) * RecentWeight;
  LongTermLatency += (seconds - LongTermLatency) * LongTermWeight;
  double bound = std::max(LongTermLatency * LatencyTolerance, MinLatencyBound);
  if (RecentLatency > bound)
    decrease(std::max(DecreaseFactor, bound / RecentLatency));
  else if (Outstanding * 2 >= Limit)
    Limit = std::min(Maximum, Limit + 1 / Limit);
  --Outstanding;
}

void ConcurrencyLimit::releaseFailed() {
  std::lock_guard lock(Mutex);
  decrease(DecreaseFactor);
  --Outstanding;
}

void ConcurrencyLimit::releaseUnsent() {
  std::lock_guard lock(Mutex);
  --Outstanding;
}

void ConcurrencyLimit::decrease(double factor) {
  Limit = std::max(1.0, Limit * factor);
}

bool ConcurrencyLimit::hasCapacity() const {
  std::lock_guard lock(Mutex);
  return Outstanding + 1 <= Limit;
}

std::int32_t ConcurrencyLimit::outstanding() const {
  std::lock_guard lock(Mutex);
  return Outstanding;
}

double ConcurrencyLimit::limit() const {
  std::lock_guard lock(Mutex);
  return Limit;
}

} // namespace endivedoor::server
