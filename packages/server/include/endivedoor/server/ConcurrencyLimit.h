/// \file
/// Adaptive limit of the requests in progress at one target.
#ifndef ENDIVEDOOR_SERVER_CONCURRENCYLIMIT_H
#define ENDIVEDOOR_SERVER_CONCURRENCYLIMIT_H

#include "endivedoor/base/Clock.h"

#include <cstdint>
#include <mutex>

namespace endivedoor::server {

/// Decreases when requests fail or when the recent latency rises well above its
/// long-term average, and otherwise increases while at least half of it is
/// used. Thread-safe.
class ConcurrencyLimit {
public:
  /// \param maximum upper bound of the limit, at least 1; also its initial
  /// value.
  explicit ConcurrencyLimit(std::int32_t maximum);

  /// Changes the upper bound of the limit.
  void setMaximum(std::int32_t maximum);
  /// Counts one more request in progress and returns true if the limit allows
  /// it.
  bool tryAcquire();
  /// Removes a request that was answered after \p latency.
  void releaseAnswered(base::Duration latency);
  /// Removes a request that was refused or got no answer.
  void releaseFailed();
  /// Removes a request that was not sent; the limit does not change.
  void releaseUnsent();

  bool hasCapacity() const;
  std::int32_t outstanding() const;
  double limit() const;

private:
  void decrease(double factor);

  mutable std::mutex Mutex;
  double Maximum;
  double Limit;
  std::int32_t Outstanding = 0;
  /// Exponentially weighted averages of the latency in seconds; 0 before the
  /// first answer.
  double RecentLatency = 0;
  double LongTermLatency = 0;
};

} // namespace endivedoor::server

#endif
