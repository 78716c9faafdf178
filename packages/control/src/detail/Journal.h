/// \file
/// The durable record of a shard: numbered segments and a snapshot.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_JOURNAL_H
#define ENDIVEDOOR_CONTROL_DETAIL_JOURNAL_H

#include "detail/ConfigManager.h"
#include "detail/Context.h"

#include <boost/json.hpp>

#include <deque>

namespace endivedoor::control::detail {

/// What one commit writes.
struct WriteBatch {
  /// Encoded records; no segment is written if empty.
  std::vector<std::string> Records;
  /// Inbox keys whose commands Ops contain.
  std::vector<std::string> ConsumedKeys;
  /// Further keys written in the same transaction.
  std::vector<platform::StoreOp> Puts;
};

enum class CommitOutcome {
  Committed,
  /// Nothing was written; a newer configuration has been adopted.
  ConfigurationChanged,
  /// Another daemon owns the shard; nothing may be written any more.
  Fenced,
  /// The owner was stopped while it waited.
  Stopped
};

struct CommitResult {
  CommitOutcome Outcome = CommitOutcome::Stopped;
  /// When the successful transaction was sent at the earliest: the
  /// configuration in force was current at that time.
  base::TimePoint SentAt;
  /// Unconsumed entries of the inbox; empty if the answer was lost.
  std::vector<platform::StoreEntry> Inbox;
};

/// Writes and reads the journal of one shard for one epoch.
class Journal {
public:
  /// \param wanted says whether the owner still wants to write; asked after
  /// every wait.
  Journal(Context &context, ConfigManager &config, base::Epoch epoch,
          std::function<bool()> shouldContinue);

  using ApplyRecord =
      std::function<base::Result<void>(const boost::json::value &)>;
  /// Reads the snapshot and all later segments. Errors: those of the store;
  /// JournalUnreadable.
  platform::Async<void> load(ApplyRecord apply);

  /// Writes \p draft in one transaction that also checks the owner and the
  /// configuration, and reads the inbox. Retries until the outcome is known.
  boost::asio::awaitable<CommitResult> commit(WriteBatch batch);

  /// Whether the segments have grown larger than the snapshot.
  bool needsCompaction() const;
  /// Writes a snapshot and makes the segments up to now superfluous.
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
  /// Superfluous keys, deleted a few with each commit.
  std::deque<std::string> ObsoleteKeys;
  std::size_t ObsoleteKeysInFlight = 0;
};

} // namespace endivedoor::control::detail

#endif
