#include "endivedoor/server/RetryBudget.h"

#include <algorithm>

namespace endivedoor::server {

constexpr std::int64_t MinimumPerSecond = 3;
constexpr std::int64_t RequestsPerRetry = 10;
constexpr auto BucketWidth = std::chrono::milliseconds(100);

RetryBudget::Bucket &RetryBudget::current() {
  std::int64_t tick = Time.now().time_since_epoch() / BucketWidth;
  Bucket &it = Window[static_cast<std::size_t>(tick) % Buckets];
  if (it.Tick != tick)
    it = Bucket{tick, 0, 0};
  return it;
}

void RetryBudget::addRequest() {
  std::lock_guard lock(Mutex);
  ++current().Requests;
}

bool RetryBudget::tryRetry() {
  std::lock_guard lock(Mutex);
  Bucket &now = current();
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const Bucket &it : Window)
    if (it.Tick + static_cast<std::int64_t>(Buckets) > now.Tick) {
      requests += it.Requests;
      retries += it.Retries;
    }
  if (retries >= std::max(MinimumPerSecond, requests / RequestsPerRetry))
    return false;
  ++now.Retries;
  return true;
}

} // namespace endivedoor::server
