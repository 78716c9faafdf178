/// \file
/// An in-memory store with fault injection, for unit tests.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_FAULTYSTORE_H
#define ENDIVEDOOR_TESTS_SUPPORT_FAULTYSTORE_H

#include "endivedoor/platform/MemoryStore.h"

#include <deque>

namespace endivedoor::tests {

/// Fault injected into a transaction. RequestLost: it is not applied.
/// ResponseLost: it is applied, but the response is lost. Delayed: the response
/// is lost, and it is applied only by applyDelayed().
enum class Fault { None, Unavailable, RequestLost, ResponseLost, Delayed };

class FaultyStore final : public platform::Store {
public:
  /// Faults of the next transactions; DefaultFault applies once this is empty.
  std::deque<Fault> NextFaults;
  Fault DefaultFault = Fault::None;
  std::vector<platform::StoreTxn> DelayedTxns;
  int Calls = 0;

  platform::Async<platform::StoreTxnResult>
  txn(platform::StoreTxn request) override {
    ++Calls;
    Fault fault = DefaultFault;
    if (!NextFaults.empty()) {
      fault = NextFaults.front();
      NextFaults.pop_front();
    }
    if (fault == Fault::Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable, "fault");
    if (fault == Fault::Delayed)
      DelayedTxns.push_back(request);
    if (fault == Fault::None)
      co_return co_await Inner.txn(std::move(request));
    if (fault == Fault::ResponseLost)
      (void)co_await Inner.txn(std::move(request));
    co_return base::fail(base::Errc::StoreAnswerLost, "fault");
  }

  platform::Async<void> applyDelayed() {
    for (platform::StoreTxn &it : DelayedTxns)
      (void)co_await Inner.txn(std::move(it));
    DelayedTxns.clear();
    co_return base::success();
  }

  platform::Async<std::vector<platform::StoreEntry>>
  range(std::string key, std::string end, std::int64_t limit) override {
    if (DefaultFault == Fault::Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable, "fault");
    co_return co_await Inner.range(key, end, limit);
  }
  platform::Async<platform::LeaseId>
  grantLease(std::chrono::seconds ttl) override {
    return Inner.grantLease(ttl);
  }
  platform::Async<void> keepAlive(platform::LeaseId lease) override {
    return Inner.keepAlive(lease);
  }
  platform::Async<void> revokeLease(platform::LeaseId lease) override {
    return Inner.revokeLease(lease);
  }

private:
  base::SystemClock Time;
  platform::MemoryStore Inner{Time};
};

} // namespace endivedoor::tests

#endif
