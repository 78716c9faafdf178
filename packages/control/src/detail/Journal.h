/// \file
/// The journal of a shard in the store: numbered segments and a snapshot.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_JOURNAL_H
#define ENDIVEDOOR_CONTROL_DETAIL_JOURNAL_H

#include "detail/ConfigManager.h"
#include "detail/Context.h"

#include <boost/json.hpp>

#include <deque>

namespace endivedoor::control::detail {

/// The changes that one commit writes.
struct WriteBatch {
  /// Encoded records; no segment is written if empty.
  std::vector<std::string> Records;
  /// Inbox keys whose commands are contained in Records.
  std::vector<std::string> ConsumedKeys;
  /// Additional keys written in the same transaction.
  std::vector<platform::StoreOp> Puts;
};

enum class CommitOutcome {
  Committed,
  /// Nothing was written; a newer configuration has been applied.
  ConfigurationChanged,
  /// Another daemon owns the shard; this daemon must not write any more.
  Fenced,
  /// The owner was stopped before the outcome was known.
  Stopped
};

struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::Stopped;
  /// Earliest time at which the successful transaction may have been sent; the
  /// configuration in force was current at that time.
  base::TimePoint SentAt;
  /// Unconsumed entries of the inbox; empty if the response was lost.
  std::vector<platform::StoreEntry> Inbox;
};

/// Reads and writes the journal of one shard during one epoch.
class Journal {
public:
  /// \param shouldContinue returns whether the owner may still write; checked
  /// after every wait.
  Journal(Context &context, ConfigManager &config, base::Epoch epoch,
          std::function<bool()> shouldContinue);

  using ApplyRecord =
      std::function<base::Result<void>(const boost::json::value &)>;
  /// Reads the snapshot and all later segments and passes each record to \p
  /// apply. Errors: those of the store; JournalUnreadable.
  platform::Async<void> load(ApplyRecord apply);

  /// Writes \p batch in one transaction that also verifies the owner and the
  /// configuration revision, and reads the inbox. Retries until the outcome is
  /// known or the owner stops.
  boost::asio::awaitable<CommitResult> commit(WriteBatch batch);

  /// Returns whether the segments have become too many or larger than the
  /// snapshot.
  bool needsCompaction() const;
  /// Writes a snapshot of \p records and marks all segments before it as
  /// obsolete.
  boost::asio::awaitable<CommitOutcome>
  compact(std::vector<std::string> records);

private:
  using Entries = std::vector<platform::StoreEntry>;
  platform::Async<Entries> readPrefix(std::string prefix);
  platform::Async<void> loadSnapshot(const ApplyRecord &apply);
  base::Result<void> applyAll(const platform::StoreEntry &entry,
                              const ApplyRecord &apply);
  platform::StoreCompare ownerCompare() const;
  platform::StoreTxn makeTransaction(const WriteBatch &batch,
                                     const std::string &key,
                                     const std::string &value);
  std::optional<CommitOutcome>
  classifyFailure(const platform::StoreTxnResult &answer,
                  const std::string &value);
  void finishCommit(const WriteBatch &batch, std::size_t bytes);
  boost::asio::awaitable<CommitOutcome> writeIfOwner(platform::StoreTxn txn);

  Context &Ctx;
  ConfigManager &Config;
  base::Epoch Epoch;
  std::function<bool()> ShouldContinue;
  std::uint64_t NextSegment = 1;
  std::uint64_t SnapshotSegment = 0;
  std::size_t SnapshotPartCount = 0;
  std::size_t SnapshotBytes = 0;
  std::size_t SegmentBytes = 0;
  std::size_t SegmentCount = 0;
  /// Keys that are no longer needed; each commit deletes some of them.
  std::deque<std::string> ObsoleteKeys;
  std::size_t ObsoleteKeysInFlight = 0;
};

} // namespace endivedoor::control::detail

#endif
