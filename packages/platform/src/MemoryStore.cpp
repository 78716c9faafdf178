#include "endivedoor/platform/MemoryStore.h"

#include <algorithm>

namespace endivedoor::platform {

using base::Errc;
using base::fail;

MemoryStore::MemoryStore(const base::Clock &clock, MemoryStoreLimits limits)
    : Clock(clock), Limits(limits) {}

base::Result<void> MemoryStore::beginCall(std::uint64_t &counter) {
  ++counter;
  if (Outage)
    return fail(Errc::StoreUnavailable, "simulated outage");
  expireLeases();
  return base::success();
}

Async<StoreTxnResult> MemoryStore::txn(StoreTxn request) {
  BOOST_OUTCOME_CO_TRYV(beginCall(Counts.Txn));
  co_return apply(request);
}

Async<std::vector<StoreEntry>>
MemoryStore::range(std::string key, std::string end, std::int64_t limit) {
  BOOST_OUTCOME_CO_TRYV(beginCall(Counts.Range));
  co_return read(key, end, limit);
}

Async<LeaseId> MemoryStore::grantLease(std::chrono::seconds ttl) {
  BOOST_OUTCOME_CO_TRYV(beginCall(Counts.Grant));
  if (ttl.count() <= 0)
    co_return fail(Errc::StoreRejected, "lease TTL must be positive");
  LeaseId id{++LastLeaseId};
  Leases[id] = {ttl, Clock.now() + ttl, {}};
  co_return id;
}

Async<void> MemoryStore::keepAlive(LeaseId lease) {
  BOOST_OUTCOME_CO_TRYV(beginCall(Counts.KeepAlive));
  auto it = Leases.find(lease);
  if (it == Leases.end())
    co_return fail(Errc::StoreRejected, "requested lease not found");
  it->second.Expires = Clock.now() + it->second.Ttl;
  co_return base::success();
}

Async<void> MemoryStore::revokeLease(LeaseId lease) {
  BOOST_OUTCOME_CO_TRYV(beginCall(Counts.Revoke));
  if (!Leases.contains(lease))
    co_return fail(Errc::StoreRejected, "requested lease not found");
  endLease(lease);
  co_return base::success();
}

void MemoryStore::dropResponses(std::size_t n, std::string prefix) {
  ResponsesToDrop = n;
  DropPrefix = std::move(prefix);
}

void MemoryStore::expireLeases() {
  base::TimePoint now = Clock.now();
  std::vector<LeaseId> lapsed;
  for (const auto &[id, lease] : Leases)
    if (lease.Expires <= now)
      lapsed.push_back(id);
  for (LeaseId id : lapsed)
    endLease(id);
}

std::chrono::seconds MemoryStore::leaseTtl(LeaseId lease) const {
  auto it = Leases.find(lease);
  return it == Leases.end() ? std::chrono::seconds(0) : it->second.Ttl;
}

void MemoryStore::endLease(LeaseId id) {
  std::set<std::string> keys = std::move(Leases[id].Keys);
  Leases.erase(id);
  if (keys.empty())
    return;
  ++Revision;
  for (const std::string &key : keys) {
    Entries.erase(key);
    StoreOp op = StoreOp::remove(key);
    op.Lease = id;
    if (Observer)
      Observer(Revision, op);
  }
}

static bool isWrite(const StoreOp &op) {
  return op.OpKind != StoreOp::Kind::Range;
}

base::Result<void>
MemoryStore::validateOps(const std::vector<StoreOp> &ops) const {
  std::set<std::string> written;
  for (const StoreOp &op : ops) {
    if (op.Key.empty())
      return fail(Errc::StoreRejected, "key is not provided");
    if (op.Value.size() > Limits.ValueBytes)
      return fail(Errc::StoreRejected, "request is too large");
    if (op.OpKind == StoreOp::Kind::Put && !written.insert(op.Key).second)
      return fail(Errc::StoreRejected, "duplicate key given in txn request");
    if (op.OpKind == StoreOp::Kind::Put && op.Lease != LeaseId{0} &&
        !Leases.contains(op.Lease))
      return fail(Errc::StoreRejected, "requested lease not found");
  }
  for (const StoreOp &op : ops) {
    if (op.OpKind != StoreOp::Kind::Delete)
      continue;
    auto first = written.lower_bound(op.Key);
    if (first == written.end())
      continue;
    if (*first == op.Key ||
        (!op.RangeEnd.empty() &&
         (op.RangeEnd == std::string(1, '\0') || *first < op.RangeEnd)))
      return fail(Errc::StoreRejected, "duplicate key given in txn request");
  }
  return base::success();
}

base::Result<void> MemoryStore::validate(const StoreTxn &request) const {
  for (std::size_t n : {request.Compares.size(), request.Success.size(),
                        request.Failure.size()})
    if (n > Limits.TxnOps)
      return fail(Errc::StoreRejected, "too many operations in txn request");
  BOOST_OUTCOME_TRYV(validateOps(request.Success));
  return validateOps(request.Failure);
}

bool MemoryStore::isSatisfied(const StoreCompare &compare) const {
  auto it = Entries.find(compare.Key);
  if (it == Entries.end())
    return compare.ExpectedRevision == 0;
  return compare.ExpectedRevision ==
         (compare.ComparedField == StoreCompare::Field::CreateRevision
              ? it->second.CreateRevision
              : it->second.ModRevision);
}

base::Result<StoreTxnResult> MemoryStore::apply(const StoreTxn &request) {
  BOOST_OUTCOME_TRYV(validate(request));
  StoreTxnResult result;
  result.Succeeded =
      std::all_of(request.Compares.begin(), request.Compares.end(),
                  [&](const StoreCompare &it) { return isSatisfied(it); });
  const std::vector<StoreOp> &ops =
      result.Succeeded ? request.Success : request.Failure;
  std::int64_t next = Revision + 1;
  for (const StoreOp &op : ops) {
    if (op.OpKind == StoreOp::Kind::Range)
      result.Ranges.push_back(read(op.Key, op.RangeEnd, op.Limit));
    else if (op.OpKind == StoreOp::Kind::Put)
      put(op, next);
    else
      remove(op, next);
  }
  result.Revision = Revision;
  if (shouldDropResponse(ops))
    return fail(Errc::StoreAnswerLost, "response dropped after the write");
  return result;
}

bool MemoryStore::shouldDropResponse(const std::vector<StoreOp> &ops) {
  auto matches = [&](const StoreOp &op) {
    return isWrite(op) && op.Key.starts_with(DropPrefix);
  };
  if (ResponsesToDrop == 0 || std::none_of(ops.begin(), ops.end(), matches))
    return false;
  --ResponsesToDrop;
  return true;
}

std::pair<MemoryStore::Records::const_iterator,
          MemoryStore::Records::const_iterator>
MemoryStore::findRange(const std::string &key, const std::string &end) const {
  if (end.empty())
    return Entries.equal_range(key);
  // As in etcd, a range end of a single zero byte means all keys from the
  // first key on.
  if (end == std::string(1, '\0'))
    return {Entries.lower_bound(key), Entries.end()};
  if (end <= key)
    return {Entries.end(), Entries.end()};
  return {Entries.lower_bound(key), Entries.lower_bound(end)};
}

std::vector<StoreEntry> MemoryStore::read(const std::string &key,
                                          const std::string &end,
                                          std::int64_t limit) const {
  std::vector<StoreEntry> found;
  auto [it, last] = findRange(key, end);
  for (; it != last; ++it) {
    if (limit > 0 && found.size() == static_cast<std::size_t>(limit))
      break;
    found.push_back({it->first, it->second.Value, it->second.CreateRevision,
                     it->second.ModRevision});
  }
  return found;
}

void MemoryStore::detachFromLease(const std::string &key, LeaseId lease) {
  auto it = Leases.find(lease);
  if (it != Leases.end())
    it->second.Keys.erase(key);
}

void MemoryStore::put(const StoreOp &op, std::int64_t revision) {
  Record &record = Entries[op.Key];
  if (record.CreateRevision == 0)
    record.CreateRevision = revision;
  detachFromLease(op.Key, record.Lease);
  record.Value = op.Value;
  record.ModRevision = revision;
  record.Lease = op.Lease;
  if (op.Lease != LeaseId{0})
    Leases[op.Lease].Keys.insert(op.Key);
  Revision = revision;
  if (Observer)
    Observer(revision, op);
}

void MemoryStore::remove(const StoreOp &op, std::int64_t revision) {
  auto [first, last] = findRange(op.Key, op.RangeEnd);
  if (first == last)
    return;
  for (auto it = first; it != last; ++it) {
    detachFromLease(it->first, it->second.Lease);
    if (Observer)
      Observer(revision, StoreOp::remove(it->first));
  }
  Entries.erase(first, last);
  Revision = revision;
}

} // namespace endivedoor::platform
