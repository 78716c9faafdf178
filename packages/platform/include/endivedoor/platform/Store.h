/// \file
/// Interface of the platform's key-value store: transactions, leases and reads.
#ifndef ENDIVEDOOR_PLATFORM_STORE_H
#define ENDIVEDOOR_PLATFORM_STORE_H

#include "endivedoor/platform/Async.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endivedoor::platform {

/// A key with its value and revisions.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
};

/// Identifies a lease of the store; 0 means no lease.
enum class LeaseId : std::int64_t {};

/// A condition of a transaction: the key has the expected revision.
struct StoreCompare {
  enum class Field { CreateRevision, ModRevision };
  std::string Key;
  Field ComparedField = Field::ModRevision;
  /// 0 requires that the key does not exist.
  std::int64_t ExpectedRevision = 0;
};

/// An operation of a transaction.
struct StoreOp {
  enum class Kind { Put, Delete, Range };
  Kind OpKind = Kind::Range;
  std::string Key;
  std::string Value;
  /// Lease that the key of a put is attached to.
  LeaseId Lease{0};
  /// Exclusive end of a range or delete; empty means the single key.
  std::string RangeEnd;
  /// Maximum number of entries of a range; 0 means no limit.
  std::int64_t Limit = 0;

  static StoreOp put(std::string key, std::string value, LeaseId lease = {});
  static StoreOp remove(std::string key);
  static StoreOp range(std::string key, std::string end = {},
                       std::int64_t limit = 0);
  /// Reads all keys that begin with \p prefix.
  static StoreOp rangePrefix(std::string prefix, std::int64_t limit = 0);
};

/// Applies Success atomically if every compare is true, otherwise Failure.
struct StoreTxn {
  std::vector<StoreCompare> Compares;
  std::vector<StoreOp> Success;
  std::vector<StoreOp> Failure;
};

struct StoreTxnResult {
  bool Succeeded = false;
  /// The store's revision after the transaction.
  std::int64_t Revision = 0;
  /// Entries of each range operation of the applied branch, in its order.
  std::vector<std::vector<StoreEntry>> Ranges;
};

/// Number of calls made so far, by kind; failed calls are included.
struct StoreCallCounts {
  std::uint64_t Txn = 0;
  std::uint64_t Range = 0;
  std::uint64_t Grant = 0;
  std::uint64_t KeepAlive = 0;
  std::uint64_t Revoke = 0;
};

/// Key-value store. Methods run on the executor that awaits them.
///
/// Errors of every method: StoreUnavailable (the call did not take effect),
/// StoreAnswerLost (it may have taken effect; the caller must read the state
/// back), StoreRejected (the store rejected the call), PlatformAnswerInvalid
/// (the response violates the protocol).
class Store {
public:
  virtual ~Store() = default;

  /// Applies a transaction. Cost: one call.
  virtual Async<StoreTxnResult> txn(StoreTxn request) = 0;

  /// Reads entries from \p key to \p end (exclusive; empty for the single key).
  /// Cost: one call.
  virtual Async<std::vector<StoreEntry>> range(std::string key, std::string end,
                                               std::int64_t limit) = 0;

  /// Grants a lease that expires \p ttl after its last renewal. Cost: one call.
  virtual Async<LeaseId> grantLease(std::chrono::seconds ttl) = 0;

  /// Renews a lease. Errors: StoreRejected if it has expired. Cost: one call.
  virtual Async<void> keepAlive(LeaseId lease) = 0;

  /// Revokes a lease and deletes its keys. Cost: one call.
  virtual Async<void> revokeLease(LeaseId lease) = 0;

  /// Returns the number of calls made through this object. Cost: none.
  virtual StoreCallCounts counts() const { return {}; }
};

/// Returns the exclusive end of the range of all keys that begin with
/// \p prefix.
std::string prefixEnd(std::string prefix);

} // namespace endivedoor::platform

#endif
