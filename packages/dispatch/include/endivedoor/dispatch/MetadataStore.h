/// \file
/// Interface to the metadata store: revisions, conditional commits, leases and
/// watches.
#ifndef ENDIVEDOOR_DISPATCH_METADATASTORE_H
#define ENDIVEDOOR_DISPATCH_METADATASTORE_H

#include "endivedoor/platform/Async.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::dispatch {

using platform::Async;

/// Identifies a lease; 0 means no lease.
enum class LeaseId : std::int64_t {};

struct StoredItem {
  std::string Key;
  std::string Value;
  /// Revision of the last change; 0 means that the key does not exist.
  std::int64_t Revision = 0;
};

struct Condition {
  std::string Key;
  /// Expected revision of the key; 0 requires that the key does not exist.
  std::int64_t Revision = 0;
};

struct Write {
  std::string Key;
  std::string Value;
  LeaseId Lease{0};
};

/// A transaction: applied atomically if every condition holds.
struct Commit {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
  std::vector<std::string> Deletes;
};

struct CommitOutcome {
  bool Applied = false;
  std::int64_t Revision = 0;
  /// If not applied: the current items of the keys in the conditions.
  std::vector<StoredItem> CurrentItems;
};

struct Listing {
  std::vector<StoredItem> Items;
  /// Revision of the listing. A watch that starts after it misses no change.
  std::int64_t AsOf = 0;
};

/// A change of one key; a revision of 0 in Item means that it was deleted.
struct Change {
  StoredItem Item;
  std::int64_t Revision = 0;
  bool Deleted = false;
};

struct Changes {
  std::vector<Change> List;
  std::int64_t AsOf = 0;
  /// The store has compacted the requested revisions; the caller must list
  /// again.
  bool HistoryLost = false;
};

/// Maximum number of conditions, writes and deletes in one commit.
constexpr std::size_t MaxCommitEntries = 32;

/// All methods run on the executor of the awaiting coroutine.
///
/// Errors of every method: StoreUnavailable (the call had no effect),
/// StoreAnswerLost (the outcome is unknown; the call may still take effect
/// seconds later if its conditions hold then), StoreRejected (the store refused
/// the call), PlatformAnswerInvalid.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;
  virtual Async<CommitOutcome> commit(Commit request) = 0;
  virtual Async<std::optional<StoredItem>> read(std::string key) = 0;
  /// Reads every item whose key starts with \p prefix. Pages are read one by
  /// one and do not form a snapshot. Cost: one call per page.
  virtual Async<Listing> list(std::string prefix) = 0;
  /// Waits up to \p wait for changes after the revision \p after.
  virtual Async<Changes> watch(std::string prefix, std::int64_t after,
                               std::chrono::milliseconds wait) = 0;
  virtual Async<LeaseId> grantLease(std::chrono::milliseconds ttl) = 0;
  /// Errors: StoreRejected if the lease has expired or was revoked.
  virtual Async<void> renewLease(LeaseId lease) = 0;
  virtual Async<void> revokeLease(LeaseId lease) = 0;
};

} // namespace endivedoor::dispatch

#endif
