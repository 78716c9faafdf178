#include "detail/ShardElection.h"

#include "detail/Codec.h"
#include "detail/Keys.h"

namespace endivedoor::control::detail {

using base::Errc;
using platform::StoreOp;

platform::Async<std::optional<Ownership>> ShardElection::campaign() {
  auto existing =
      co_await Ctx.Store.range(ownerKey(Ctx.Settings.Zone), std::string(), 1);
  Ctx.recordStoreResult(existing ? nullptr : &existing.error());
  if (!existing)
    co_return existing.error();
  if (!existing.value().empty())
    co_return std::optional<Ownership>();
  auto ttl =
      std::chrono::ceil<std::chrono::seconds>(Ctx.Settings.Timing.OwnerLease);
  auto lease = co_await Ctx.Store.grantLease(ttl);
  Ctx.recordStoreResult(lease ? nullptr : &lease.error());
  if (!lease)
    co_return lease.error();
  co_return co_await createOwnerKey(lease.value());
}

/// Creates the owner key. If the response is lost, the same transaction is sent
/// again. The write id in the value then shows whether this daemon or another
/// one created the key.
platform::Async<std::optional<Ownership>>
ShardElection::createOwnerKey(platform::LeaseId lease) {
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
  for (int attempt = 0; attempt < 4; ++attempt) {
    auto response = co_await Ctx.Store.txn(request);
    Ctx.recordStoreResult(response ? nullptr : &response.error());
    if (!response) {
      error = response.error();
      // The store rejects a put under an expired lease.
      if (error.Code == Errc::StoreRejected)
        break;
      co_await Ctx.Sleep(backoff.nextDelay(Ctx.Random));
      continue;
    }
    const auto &ranges = response.value().Ranges;
    if (ranges.empty() || ranges[0].empty() || ranges[0][0].Value != value)
      co_return std::optional<Ownership>();
    Ownership ownership;
    ownership.Epoch =
        base::Epoch{static_cast<std::uint64_t>(ranges[0][0].CreateRevision)};
    ownership.Lease = lease;
    co_return std::optional<Ownership>(ownership);
  }
  co_return error;
}

boost::asio::awaitable<void>
ShardElection::keepLeaseAlive(Ownership ownership,
                              std::function<bool()> shouldContinue) {
  base::Duration interval = Ctx.Settings.Timing.OwnerLease / 3;
  while (shouldContinue()) {
    auto renewal = co_await Ctx.Store.keepAlive(ownership.Lease);
    Ctx.recordStoreResult(renewal ? nullptr : &renewal.error());
    if (!renewal && renewal.error().Code == Errc::StoreRejected)
      co_return;
    co_await Ctx.Sleep(interval);
  }
}

boost::asio::awaitable<void> ShardElection::release(Ownership ownership) {
  auto result = co_await Ctx.Store.revokeLease(ownership.Lease);
  Ctx.recordStoreResult(result ? nullptr : &result.error());
}

} // namespace endivedoor::control::detail
