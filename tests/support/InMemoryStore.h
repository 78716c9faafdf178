/// \file
/// In-memory metadata store with faults that tests enable.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_INMEMORYSTORE_H
#define ENDIVEDOOR_TESTS_SUPPORT_INMEMORYSTORE_H

#include "endivedoor/dispatch/MetadataStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace endivedoor::tests {

namespace asio = boost::asio;
using dispatch::Async;

class InMemoryStore final : public dispatch::MetadataStore {
public:
  /// Calls fail with StoreUnavailable and have no effect, except for
  /// revokeLease().
  bool Unavailable = false;
  /// Number of next commits that take effect but fail with StoreAnswerLost.
  int PendingLostAnswers = 0;
  /// The next commit that writes this key takes effect but fails with
  /// StoreAnswerLost.
  std::string LoseAnswerForKey;
  /// Number of next commits that fail with StoreAnswerLost and take effect only
  /// when applyDelayed() is called.
  int PendingDelayedCommits = 0;
  int CommitCalls = 0;
  /// Number of next watches that report lost history.
  int PendingHistoryLosses = 0;
  /// Watches of this prefix get no answer within their timeout; empty for none.
  std::string SilentWatchPrefix;
  /// Time that the answer to a watch takes.
  std::chrono::milliseconds WatchDelay{1};
  int ListCalls = 0;
  /// Time that a listing takes. The caller is suspended meanwhile, which it is
  /// not with 0.
  std::chrono::milliseconds ListDelay{0};
  /// Called before each listing with its prefix; null for none.
  std::function<void(const std::string &prefix)> BeforeList;

  void put(const std::string &key, const std::string &value) {
    apply({{}, {{key, value}}, {}});
  }
  void erase(const std::string &key) { apply({{}, {}, {key}}); }
  /// Applies the delayed commits whose conditions still hold.
  void applyDelayed() {
    for (const dispatch::Commit &it : std::exchange(DelayedCommits, {}))
      if (holds(it))
        apply(it);
  }
  bool has(const std::string &key) const { return Items.contains(key); }
  std::string valueOf(const std::string &key) const {
    auto it = Items.find(key);
    return it == Items.end() ? std::string() : it->second.Value;
  }
  /// Expires a lease and removes its keys.
  void expireLease(dispatch::LeaseId lease) {
    std::vector<std::string> keys;
    for (const auto &[key, it] : KeyLeases)
      if (it == lease)
        keys.push_back(key);
    for (const std::string &it : keys)
      erase(it);
    ExpiredLeases.insert(lease);
  }

  Async<dispatch::CommitOutcome> commit(dispatch::Commit c) override {
    if (Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable,
                           "store is unavailable");
    ++CommitCalls;
    if (PendingDelayedCommits > 0) {
      --PendingDelayedCommits;
      DelayedCommits.push_back(std::move(c));
      co_return base::fail(base::Errc::StoreAnswerLost,
                           "answer to the commit was lost");
    }
    dispatch::CommitOutcome outcome;
    for (const dispatch::Condition &it : c.Conditions) {
      auto item = Items.find(it.Key);
      outcome.CurrentItems.push_back(item == Items.end()
                                         ? dispatch::StoredItem{it.Key, "", 0}
                                         : item->second);
    }
    if (holds(c)) {
      outcome.Applied = true;
      outcome.Revision = apply(c);
    }
    for (const dispatch::Write &it : c.Writes)
      if (it.Key == LoseAnswerForKey) {
        LoseAnswerForKey.clear();
        co_return base::fail(base::Errc::StoreAnswerLost,
                             "answer to the commit was lost");
      }
    if (PendingLostAnswers > 0) {
      --PendingLostAnswers;
      co_return base::fail(base::Errc::StoreAnswerLost,
                           "answer to the commit was lost");
    }
    co_return outcome;
  }

  Async<std::optional<dispatch::StoredItem>> read(std::string key) override {
    if (Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable,
                           "store is unavailable");
    auto it = Items.find(key);
    co_return it == Items.end()
        ? std::optional<dispatch::StoredItem>()
        : std::optional<dispatch::StoredItem>(it->second);
  }

  Async<dispatch::Listing> list(std::string prefix) override {
    ++ListCalls;
    if (ListDelay.count() > 0) {
      asio::steady_timer timer(co_await asio::this_coro::executor, ListDelay);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (BeforeList)
      BeforeList(prefix);
    if (Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable,
                           "store is unavailable");
    dispatch::Listing listing;
    listing.AsOf = Revision;
    for (const auto &[key, item] : Items)
      if (key.starts_with(prefix))
        listing.Items.push_back(item);
    co_return listing;
  }

  Async<dispatch::Changes> watch(std::string prefix, std::int64_t after,
                                 std::chrono::milliseconds wait) override {
    // Calls time out 900 ms after the requested wait.
    constexpr std::chrono::milliseconds timeout{900};
    bool silent = prefix == SilentWatchPrefix;
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             silent ? wait + timeout : WatchDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (silent)
      co_return base::fail(base::Errc::StoreAnswerLost, "no answer in time");
    if (Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable,
                           "store is unavailable");
    dispatch::Changes changes;
    if (PendingHistoryLosses > 0) {
      --PendingHistoryLosses;
      changes.HistoryLost = true;
      co_return changes;
    }
    changes.AsOf = Revision;
    for (const dispatch::Change &it : History)
      if (it.Revision > after && it.Item.Key.starts_with(prefix))
        changes.List.push_back(it);
    co_return changes;
  }

  Async<dispatch::LeaseId> grantLease(std::chrono::milliseconds) override {
    if (Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable,
                           "store is unavailable");
    co_return dispatch::LeaseId{++LastLease};
  }
  Async<void> renewLease(dispatch::LeaseId lease) override {
    if (Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable,
                           "store is unavailable");
    if (ExpiredLeases.contains(lease))
      co_return base::fail(base::Errc::StoreRejected, "lease has ended");
    co_return base::success();
  }
  Async<void> revokeLease(dispatch::LeaseId lease) override {
    expireLease(lease);
    co_return base::success();
  }

private:
  bool holds(const dispatch::Commit &c) const {
    return std::all_of(
        c.Conditions.begin(), c.Conditions.end(), [&](const auto &it) {
          auto item = Items.find(it.Key);
          return it.Revision ==
                 (item == Items.end() ? 0 : item->second.Revision);
        });
  }

  std::int64_t apply(const dispatch::Commit &c) {
    ++Revision;
    for (const dispatch::Write &it : c.Writes) {
      Items[it.Key] = {it.Key, it.Value, Revision};
      KeyLeases[it.Key] = it.Lease;
      History.push_back({Items[it.Key], Revision, false});
    }
    for (const std::string &it : c.Deletes)
      if (Items.erase(it) > 0)
        History.push_back({{it, "", 0}, Revision, true});
    return Revision;
  }

  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  std::map<std::string, dispatch::StoredItem> Items;
  std::map<std::string, dispatch::LeaseId> KeyLeases;
  std::set<dispatch::LeaseId> ExpiredLeases;
  std::deque<dispatch::Change> History;
  std::vector<dispatch::Commit> DelayedCommits;
};

} // namespace endivedoor::tests

#endif
