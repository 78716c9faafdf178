/// \file
/// In-memory store with the semantics of etcd.
#ifndef ENDIVEDOOR_PLATFORM_MEMORYSTORE_H
#define ENDIVEDOOR_PLATFORM_MEMORYSTORE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/platform/Store.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace endivedoor::platform {

/// Limits of a store; a call that exceeds them fails with StoreRejected.
struct MemoryStoreLimits {
  /// Maximum number of operations or compares in one list of a transaction; the
  /// default of etcd.
  std::size_t TxnOps = 128;
  std::size_t ValueBytes = 1024 * 1024;
};

/// In-memory store for tests and the stand-in store; nothing is persisted.
///
/// Not thread-safe. Calls complete without suspending. Expired leases are
/// removed when the next call is made.
class MemoryStore final : public Store {
public:
  /// Called for each put and delete that took effect, with its revision. The
  /// keys of an ended lease are reported as deletes with the lease set.
  using WriteObserver =
      std::function<void(std::int64_t revision, const StoreOp &write)>;

  /// \param clock must outlive the store.
  explicit MemoryStore(const base::Clock &clock, MemoryStoreLimits limits = {});

  Async<StoreTxnResult> txn(StoreTxn request) override;
  Async<std::vector<StoreEntry>> range(std::string key, std::string end,
                                       std::int64_t limit) override;
  Async<LeaseId> grantLease(std::chrono::seconds ttl) override;
  Async<void> keepAlive(LeaseId lease) override;
  Async<void> revokeLease(LeaseId lease) override;
  StoreCallCounts counts() const override { return Counts; }

  /// While \p on is set, every call fails with StoreUnavailable.
  void setOutage(bool on) { Outage = on; }

  /// Makes the next \p n transactions that write a key with \p prefix take
  /// effect but fail with StoreAnswerLost.
  void dropResponses(std::size_t n, std::string prefix = {});

  void onWrite(WriteObserver observer) { Observer = std::move(observer); }

  /// Removes expired leases and their keys. Every call does this first.
  void expireLeases();

  std::int64_t revision() const { return Revision; }
  /// Returns the time to live of \p lease, or 0 if the lease does not exist.
  std::chrono::seconds leaseTtl(LeaseId lease) const;

private:
  struct Record {
    std::string Value;
    std::int64_t CreateRevision = 0;
    std::int64_t ModRevision = 0;
    LeaseId Lease{0};
  };
  struct Lease {
    std::chrono::seconds Ttl{0};
    base::TimePoint Expires;
    std::set<std::string> Keys;
  };
  using Records = std::map<std::string, Record>;

  base::Result<void> beginCall(std::uint64_t &counter);
  base::Result<StoreTxnResult> apply(const StoreTxn &request);
  base::Result<void> validate(const StoreTxn &request) const;
  base::Result<void> validateOps(const std::vector<StoreOp> &ops) const;
  bool isSatisfied(const StoreCompare &compare) const;
  std::pair<Records::const_iterator, Records::const_iterator>
  findRange(const std::string &key, const std::string &end) const;
  std::vector<StoreEntry> read(const std::string &key, const std::string &end,
                               std::int64_t limit) const;
  void put(const StoreOp &op, std::int64_t revision);
  void remove(const StoreOp &op, std::int64_t revision);
  void detachFromLease(const std::string &key, LeaseId lease);
  void endLease(LeaseId id);
  bool shouldDropResponse(const std::vector<StoreOp> &ops);

  const base::Clock &Clock;
  MemoryStoreLimits Limits;
  Records Entries;
  std::map<LeaseId, Lease> Leases;
  std::int64_t Revision = 1;
  std::int64_t LastLeaseId = 1000;
  bool Outage = false;
  std::size_t ResponsesToDrop = 0;
  std::string DropPrefix;
  WriteObserver Observer;
  StoreCallCounts Counts;
};

} // namespace endivedoor::platform

#endif
