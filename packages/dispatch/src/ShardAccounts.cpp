// Account records of ShardRunner: reading them when a term begins, and the
// conditional writes.
#include "detail/AccountRecords.h"
#include "detail/Loads.h"
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::TimePoint;

void ShardRunner::setAccountLimits(const AccountLimits &limits) {
  State.setAccountLimits(limits);
  spawnAccountLoad();
  requestPlan();
}

void ShardRunner::onAccountItem(const StoredItem &item) {
  base::Result<std::string> account = accountOfKey(item.Key);
  if (!account)
    return reportUnreadable(item, account.error());
  base::Result<policy::ShareRecord> record = decodeShares(item.Value);
  if (record) {
    State.onAccountRecord(account.value(), record.value(), item.Revision);
  } else {
    reportUnreadable(item, record.error());
    State.onAccountRecordUnreadable(account.value(), item.Revision,
                                    Context.Time.now());
  }
  // A planning pass for each change of each account would cost too much.
  if (Loaded && State.isAccountWaiting(account.value()))
    requestPlan();
}

/// The roster must be known first: it tells whether an inherited share counts
/// as used.
void ShardRunner::spawnAccountLoad() {
  if (!RosterRead || LoadingAccounts || Stopped || !State.hasUnloadedAccounts())
    return;
  LoadingAccounts = true;
  asio::co_spawn(
      Context.Executor,
      [self = shared_from_this()] { return self->loadAccounts(); },
      asio::detached);
}

asio::awaitable<void> ShardRunner::loadAccounts() {
  auto self = shared_from_this();
  while (!Stopped && State.hasUnloadedAccounts()) {
    base::Result<Listing> list =
        co_await Context.Store.list(keys::accountPrefix());
    if (Stopped)
      co_return;
    if (!list) {
      co_await sleepFor(CommitRetryDelay);
      continue;
    }
    for (const StoredItem &it : list.value().Items)
      onAccountItem(it);
    State.onAccountsLoaded();
    requestPlan();
  }
  LoadingAccounts = false;
}

void ShardRunner::spawnAccountWrites() {
  for (AccountWrite &it : State.takeAccountWrites(Context.Time.now()))
    asio::co_spawn(
        Context.Executor,
        [self = shared_from_this(), write = std::move(it)] {
          return self->storeAccount(write);
        },
        asio::detached);
}

asio::awaitable<void> ShardRunner::storeAccount(AccountWrite write) {
  auto self = shared_from_this();
  std::string key = keys::account(write.Account);
  Commit commit;
  commit.Conditions = {{keys::owner(CurrentTerm.Shard), CurrentTerm.Revision},
                       {key, write.Write.Revision}};
  commit.Writes = {{key, encodeShares(write.Write.Record)}};
  TimePoint sent = Context.Time.now();
  base::Result<CommitOutcome> done =
      co_await Context.Store.commit(std::move(commit));
  if (Stopped)
    co_return;
  TimePoint now = Context.Time.now();
  if (!done) {
    bool failed = done.error().Code == base::Errc::StoreUnavailable;
    State.onAccountWrite(write.Account,
                         failed ? AccountWriteOutcome::Failed
                                : AccountWriteOutcome::Unknown,
                         0, now);
    co_return;
  }
  if (done.value().Applied) {
    Context.OnStoreContact(sent);
    State.onAccountWrite(write.Account, AccountWriteOutcome::Written,
                         done.value().Revision, now);
    requestPlan();
    co_return;
  }
  State.onAccountWrite(write.Account, AccountWriteOutcome::Conflict, 0, now);
  bool found = false;
  for (const StoredItem &it : done.value().CurrentItems) {
    if (it.Key == keys::owner(CurrentTerm.Shard) &&
        it.Revision != CurrentTerm.Revision)
      co_return endTerm("another node has acquired the shard");
    if (it.Key != key || it.Revision == 0)
      continue;
    found = true;
    onAccountItem(it);
  }
  if (!found)
    State.onAccountRecord(write.Account, {}, 0);
  requestPlan();
}

} // namespace endivedoor::dispatch::detail
