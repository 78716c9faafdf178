/// \file
/// Adaptive limit of the requests in progress at one target.
#ifndef ENDIVEDOOR_SERVER_CONCURRENCYLIMIT_H
#define ENDIVEDOOR_SERVER_CONCURRENCYLIMIT_H

#include "endivedoor/base/Clock.h"

#include <cstdint>
#include <mutex>

namespace endivedoor::server {

/// Shrinks when the recent answer times rise above their long-term average or
/// requests fail, and grows while it is used and neither happens. Thread-safe.
class ConcurrencyLimit {
public:
  /// \param maximum largest number of requests in progress, at least 1; also
  /// the initial limit.
  explicit ConcurrencyLimit(std::int32_t maximum);

  /// Changes the largest limit.
  void setMaximum(std::int32_t maximum);
  /// Counts one more request in progress if the limit allows it.
  bool tryAcquire();
  /// Ends a request that was answered after \p latency.
  void releaseAnswered(base::Duration latency);
  /// Ends a request that was refused or got no answer.
  void releaseFailed();
  /// Ends a request that was not sent.
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
  /// Averages of the answer time in seconds; 0 before the first answer.
  double RecentLatency = 0;
  double LongTermLatency = 0;
};

} // namespace endivedoor::server

#endif
