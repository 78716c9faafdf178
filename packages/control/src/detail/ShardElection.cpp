#include "detail/ShardElection.h"

#include "detail/Codec.h"
#include "detail/Keys.h"

namespace endivedoor::control::detail {

using base::Errc;
using platform::StoreOp;

platform::Async<std::optional<Ownership>> ShardElection::campaign() {
  auto seen =
      co_await Ctx.Store.range(ownerKey(Ctx.Settings.Zone), std::string(), 1);
  Ctx.storeAnswered(seen ? nullptr : &seen.error());
  if (!seen)
    co_return seen.error();
  if (!seen.value().empty())
    co_return std::optional<Ownership>();
  auto ttl =
      std::chrono::ceil<std::chrono::seconds>(Ctx.Settings.Timing.OwnerLease);
  auto lease = co_await Ctx.Store.grantLease(ttl);
  Ctx.storeAnswered(lease ? nullptr : &lease.error());
  if (!lease)
    co_return lease.error();
  co_return co_await takeKey(lease.value());
}

/// Creates the owner key. The same transaction is sent again after a lost
/// answer; the write id then tells an own key from another's.
platform::Async<std::optional<Ownership>>
ShardElection::takeKey(platform::LeaseId lease) {
  std::string key = ownerKey(Ctx.Settings.Zone);
  std::string value = boost::json::serialize(
      boost::json::object{{"name", Ctx.Settings.Name},
                          {"instance", Ctx.Instance.str()},
                          {"writeId", Ctx.nextWriteId()}});
  platform::StoreTxn request;
  request.Compares.push_back(
      {key, platform::StoreCompare::Field::CreateRevision, 0});
  request.Success.push_back(StoreOp::put(key, value, lease));
  request.Success.push_back(StoreOp::range(key));
  request.Failure.push_back(StoreOp::range(key));
  Backoff backoff;
  base::Error error;
  for (int n = 0; n < 4; ++n) {
    auto answer = co_await Ctx.Store.txn(request);
    Ctx.storeAnswered(answer ? nullptr : &answer.error());
    if (!answer) {
      error = answer.error();
      // The store refuses a put under a lease that has lapsed.
      if (error.Code == Errc::StoreRejected)
        break;
      co_await Ctx.Sleep(backoff.next(Ctx.Random));
      continue;
    }
    const auto &ranges = answer.value().Ranges;
    if (ranges.empty() || ranges[0].empty() || ranges[0][0].Value != value)
      co_return std::optional<Ownership>();
    Ownership won;
    won.Number =
        base::Epoch{static_cast<std::uint64_t>(ranges[0][0].CreateRevision)};
    won.Lease = lease;
    co_return std::optional<Ownership>(won);
  }
  co_return error;
}

boost::asio::awaitable<void> ShardElection::keep(Ownership won,
                                                 std::function<bool()> wanted) {
  base::Duration interval = Ctx.Settings.Timing.OwnerLease / 3;
  while (wanted()) {
    auto kept = co_await Ctx.Store.keepAlive(won.Lease);
    Ctx.storeAnswered(kept ? nullptr : &kept.error());
    if (!kept && kept.error().Code == Errc::StoreRejected)
      co_return;
    co_await Ctx.Sleep(interval);
  }
}

boost::asio::awaitable<void> ShardElection::release(Ownership won) {
  auto released = co_await Ctx.Store.revokeLease(won.Lease);
  Ctx.storeAnswered(released ? nullptr : &released.error());
}

} // namespace endivedoor::control::detail
