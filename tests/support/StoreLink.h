/// \file
/// Connection of one node to a store that other nodes use too.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_STORELINK_H
#define ENDIVEDOOR_TESTS_SUPPORT_STORELINK_H

#include "support/InMemoryStore.h"

#include <functional>

namespace endivedoor::tests {

/// Forwards calls to a store. While it is cut, calls fail and have no effect.
class StoreLink final : public dispatch::MetadataStore {
  static auto unavailable() {
    return base::fail(base::Errc::StoreUnavailable, "the link is cut");
  }

public:
  bool Cut = false;
  /// Renewals of leases are answered also while the link is cut.
  bool RenewalsPass = false;
  /// Times that a commit and a read take before they reach the store.
  std::chrono::milliseconds CommitDelay{1}, ReadDelay{1};
  int Renewals = 0;
  /// Commits that write this key fail and have no effect; empty for none.
  std::string FailingKey;
  /// Called with each commit before it reaches the store; may be empty.
  std::function<void(const dispatch::Commit &)> BeforeCommit;
  /// Called with the key of each read that has been sent; may be empty.
  std::function<void(const std::string &)> BeforeRead;

  explicit StoreLink(dispatch::MetadataStore &store) : Store(store) {}

  Async<dispatch::CommitOutcome> commit(dispatch::Commit request) override {
    co_await delay(CommitDelay);
    bool fails = std::any_of(
        request.Writes.begin(), request.Writes.end(),
        [&](const dispatch::Write &it) { return it.Key == FailingKey; });
    if (Cut || fails)
      co_return unavailable();
    if (BeforeCommit)
      BeforeCommit(request);
    co_return co_await Store.commit(std::move(request));
  }
  Async<std::optional<dispatch::StoredItem>> read(std::string key) override {
    if (BeforeRead)
      BeforeRead(key);
    co_await delay(ReadDelay);
    if (Cut)
      co_return unavailable();
    co_return co_await Store.read(std::move(key));
  }
  Async<dispatch::Listing> list(std::string prefix) override {
    co_await delay();
    if (Cut)
      co_return unavailable();
    co_return co_await Store.list(std::move(prefix));
  }
  Async<dispatch::Changes> watch(std::string prefix, std::int64_t after,
                                 std::chrono::milliseconds wait) override {
    co_await delay();
    if (Cut)
      co_return unavailable();
    base::Result<dispatch::Changes> changes =
        co_await Store.watch(std::move(prefix), after, wait);
    // The answer of a call that waits is lost with the connection.
    if (Cut)
      co_return unavailable();
    co_return changes;
  }
  Async<dispatch::LeaseId> grantLease(std::chrono::milliseconds ttl) override {
    co_await delay();
    if (Cut)
      co_return unavailable();
    co_return co_await Store.grantLease(ttl);
  }
  Async<void> renewLease(dispatch::LeaseId lease) override {
    ++Renewals;
    co_await delay();
    if (Cut && !RenewalsPass)
      co_return unavailable();
    co_return co_await Store.renewLease(lease);
  }
  Async<void> revokeLease(dispatch::LeaseId lease) override {
    co_await delay();
    if (Cut)
      co_return unavailable();
    co_return co_await Store.revokeLease(lease);
  }

private:
  static asio::awaitable<void>
  delay(std::chrono::milliseconds time = std::chrono::milliseconds(1)) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  dispatch::MetadataStore &Store;
};

} // namespace endivedoor::tests

#endif
