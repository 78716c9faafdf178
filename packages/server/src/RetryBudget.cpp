#include "endivedoor/server/RetryBudget.h"

#include <algorithm>

namespace endivedoor::server {

constexpr std::int64_t MinRetriesPerSecond = 3;
constexpr std::int64_t RequestsPerRetry = 10;
constexpr auto BucketWidth = std::chrono::milliseconds(100);

RetryBudget::Bucket &RetryBudget::currentBucket() {
  std::int64_t tick = Clock.now().time_since_epoch() / BucketWidth;
  Bucket &it = Window[static_cast<std::size_t>(tick) % BucketCount];
  if (it.Tick != tick)
    it = Bucket{tick, 0, 0};
  return it;
}

void RetryBudget::addRequest() {
  std::lock_guard lock(Mutex);
  ++currentBucket().Requests;
}

bool RetryBudget::tryRetry() {
  std::lock_guard lock(Mutex);
  Bucket &now = currentBucket();
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const Bucket &it : Window)
    if (it.Tick + static_cast<std::int64_t>(BucketCount) > now.Tick) {
      requests += it.Requests;
      retries += it.Retries;
    }
  if (retries >= std::max(MinRetriesPerSecond, requests / RequestsPerRetry))
    return false;
  ++now.Retries;
  return true;
}

} // namespace endivedoor::server
