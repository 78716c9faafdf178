/// \file
/// The installation's store: revisions, conditional commits, leases, watches.
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

/// Identifies a lease of the store; 0 means none.
enum class LeaseId : std::int64_t {};

struct StoredItem {
  std::string Key;
  std::string Value;
  /// Revision of the last change; 0 means that the key does not exist.
  std::int64_t Revision = 0;
};

struct Condition {
  std::string Key;
  /// 0 requires that the key does not exist.
  std::int64_t Revision = 0;
};

struct Write {
  std::string Key;
  std::string Value;
  LeaseId Lease{0};
};

/// Applied as a whole if every condition holds.
struct Commit {
  std::vector<Condition> Conditions;
  std::vector<Write> Writes;
  std::vector<std::string> Deletes;
};

struct CommitOutcome {
  bool Applied = false;
  std::int64_t Revision = 0;
  /// If not applied: the items of the conditions as they are.
  std::vector<StoredItem> CurrentItems;
};

struct Listing {
  std::vector<StoredItem> Items;
  /// A watch after this revision misses no change.
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
  /// The store no longer has the changes; the caller must list again.
  bool HistoryLost = false;
};

/// Entries of a commit, conditions included, that the store accepts.
constexpr std::size_t MaxCommitEntries = 32;

/// Methods run on the executor that awaits them.
///
/// Errors of every method: StoreUnavailable (no effect), StoreAnswerLost (the
/// call may take effect, also seconds later, while its conditions hold),
/// StoreRejected (refused), PlatformAnswerInvalid.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;
  virtual Async<CommitOutcome> commit(Commit request) = 0;
  virtual Async<std::optional<StoredItem>> read(std::string key) = 0;
  /// Reads every item whose key begins with \p prefix. Pages are not one
  /// snapshot. Cost: one call for each page.
  virtual Async<Listing> list(std::string prefix) = 0;
  /// Waits at most \p wait for a change after the revision \p after.
  virtual Async<Changes> watch(std::string prefix, std::int64_t after,
                               std::chrono::milliseconds wait) = 0;
  virtual Async<LeaseId> grantLease(std::chrono::milliseconds ttl) = 0;
  /// Errors: StoreRejected if the lease has ended.
  virtual Async<void> renewLease(LeaseId lease) = 0;
  virtual Async<void> revokeLease(LeaseId lease) = 0;
};

} // namespace endivedoor::dispatch

#endif
