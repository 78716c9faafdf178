/// \file
/// Limits the retries of the whole process.
#ifndef ENDIVEDOOR_SERVER_RETRYBUDGET_H
#define ENDIVEDOOR_SERVER_RETRYBUDGET_H

#include "endivedoor/base/Clock.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace endivedoor::server {

/// Limits the retries in a sliding window of one second to 10% of the requests,
/// but allows at least 3. Thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(const base::Clock &clock) : Clock(clock) {}
  /// Counts a request from a caller.
  void addRequest();
  /// Counts a retry and returns true if the budget allows it.
  bool tryRetry();

private:
  static constexpr std::size_t BucketCount = 10;
  struct Bucket {
    std::int64_t Tick = 0;
    std::int64_t Requests = 0;
    std::int64_t Retries = 0;
  };

  Bucket &currentBucket();

  const base::Clock &Clock;
  std::mutex Mutex;
  std::array<Bucket, BucketCount> Window;
};

} // namespace endivedoor::server

#endif
