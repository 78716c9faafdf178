#include "detail/Journal.h"

#include "detail/Codec.h"
#include "detail/Keys.h"

#include <algorithm>

namespace endivedoor::control::detail {

namespace json = boost::json;
using base::Errc;
using platform::StoreOp;

// The store accepts values of up to 1 MB, which includes the base64 overhead
// and the JSON envelope.
constexpr std::size_t MaxPartBytes = 600 * 1024;
// A store transaction may have at most 128 operations.
constexpr std::size_t MaxDeletionsPerCommit = 48;
// The inbox is read in small pages, since each value may be large.
constexpr std::int64_t InboxPageSize = 32;
constexpr std::size_t MinCompactionBytes = 256 * 1024;
constexpr std::size_t MaxSegments = 500;
constexpr std::int64_t ReadPageSize = 16;

Journal::Journal(Context &context, ConfigManager &config, base::Epoch epoch,
                 std::function<bool()> shouldContinue)
    : Ctx(context), Config(config), Epoch(epoch),
      ShouldContinue(std::move(shouldContinue)) {}

platform::Async<Journal::Entries> Journal::readPrefix(std::string prefix) {
  Entries all;
  std::string endKey = platform::prefixEnd(prefix);
  std::string startKey = prefix;
  for (;;) {
    auto page = co_await Ctx.Store.range(startKey, endKey, ReadPageSize);
    Ctx.recordStoreResult(page ? nullptr : &page.error());
    if (!page)
      co_return page.error();
    for (platform::StoreEntry &it : page.value())
      all.push_back(std::move(it));
    if (page.value().size() < static_cast<std::size_t>(ReadPageSize))
      co_return all;
    // The smallest key after the last one read.
    startKey = all.back().Key + std::string(1, '\0');
  }
}

base::Result<void> Journal::applyAll(const platform::StoreEntry &entry,
                                     const ApplyRecord &apply) {
  auto value = parseJson(entry.Value);
  if (!value)
    return base::fail(Errc::JournalUnreadable, entry.Key);
  FieldReader in(value.value());
  for (const json::value &it : in.list("ops"))
    if (auto applied = apply(it); !applied)
      return base::fail(Errc::JournalUnreadable,
                        entry.Key + ": " + applied.error().Detail);
  if (in.failed())
    return base::fail(Errc::JournalUnreadable, entry.Key);
  return base::success();
}

platform::Async<void> Journal::loadSnapshot(const ApplyRecord &apply) {
  std::string headKey = snapshotHeadKey(Ctx.Settings.Zone);
  auto head = co_await Ctx.Store.range(headKey, std::string(), 1);
  Ctx.recordStoreResult(head ? nullptr : &head.error());
  if (!head)
    co_return head.error();
  if (!head.value().empty()) {
    auto value = parseJson(head.value().front().Value);
    if (!value)
      co_return base::Error{Errc::JournalUnreadable, headKey};
    FieldReader in(value.value());
    SnapshotSegment = static_cast<std::uint64_t>(in.number("segment"));
    SnapshotPartCount = static_cast<std::size_t>(in.number("parts"));
    if (in.failed())
      co_return base::Error{Errc::JournalUnreadable, headKey};
  }
  auto parts = co_await readPrefix(snapshotPrefix(Ctx.Settings.Zone));
  if (!parts)
    co_return parts.error();
  std::size_t partCount = 0;
  for (const platform::StoreEntry &it : parts.value()) {
    std::string expectedKey =
        snapshotPartKey(Ctx.Settings.Zone, SnapshotSegment, partCount);
    if (partCount == SnapshotPartCount || it.Key != expectedKey) {
      ObsoleteKeys.push_back(it.Key);
      continue;
    }
    auto applied = applyAll(it, apply);
    if (!applied)
      co_return applied.error();
    SnapshotBytes += it.Value.size();
    ++partCount;
  }
  if (partCount != SnapshotPartCount)
    co_return base::Error{Errc::JournalUnreadable,
                          headKey + ": a snapshot part is missing"};
  co_return base::success();
}

platform::Async<void> Journal::load(ApplyRecord apply) {
  auto loaded = co_await loadSnapshot(apply);
  if (!loaded)
    co_return loaded.error();
  NextSegment = SnapshotSegment + 1;
  auto segments = co_await readPrefix(segmentPrefix(Ctx.Settings.Zone));
  if (!segments)
    co_return segments.error();
  for (const platform::StoreEntry &it : segments.value()) {
    if (it.Key < segmentKey(Ctx.Settings.Zone, NextSegment)) {
      ObsoleteKeys.push_back(it.Key);
      continue;
    }
    if (it.Key != segmentKey(Ctx.Settings.Zone, NextSegment))
      co_return base::Error{Errc::JournalUnreadable,
                            it.Key + ": the preceding segment is missing"};
    auto applied = applyAll(it, apply);
    if (!applied)
      co_return applied.error();
    ++NextSegment;
    ++SegmentCount;
    SegmentBytes += it.Value.size();
  }
  co_return base::success();
}

platform::StoreCompare Journal::ownerCompare() const {
  return {ownerKey(Ctx.Settings.Zone),
          platform::StoreCompare::Field::CreateRevision,
          static_cast<std::int64_t>(base::toNumber(Epoch))};
}

platform::StoreTxn Journal::makeTransaction(const WriteBatch &batch,
                                            const std::string &key,
                                            const std::string &value) {
  using Field = platform::StoreCompare::Field;
  platform::StoreTxn out;
  out.Compares.push_back(ownerCompare());
  out.Compares.push_back(
      {ConfigKey, Field::ModRevision, Config.current().ModRevision});
  if (!value.empty()) {
    out.Compares.push_back({key, Field::CreateRevision, 0});
    out.Success.push_back(StoreOp::put(key, value));
  }
  for (const StoreOp &it : batch.Puts)
    out.Success.push_back(it);
  for (const std::string &it : batch.ConsumedKeys)
    out.Success.push_back(StoreOp::remove(it));
  ObsoleteKeysInFlight = std::min(ObsoleteKeys.size(), MaxDeletionsPerCommit);
  for (std::size_t n = 0; n < ObsoleteKeysInFlight; ++n)
    out.Success.push_back(StoreOp::remove(ObsoleteKeys[n]));
  out.Success.push_back(
      StoreOp::rangePrefix(inboxPrefix(Ctx.Settings.Zone), InboxPageSize));
  out.Failure.push_back(StoreOp::range(ownerKey(Ctx.Settings.Zone)));
  out.Failure.push_back(StoreOp::range(ConfigKey));
  out.Failure.push_back(StoreOp::range(key));
  return out;
}

/// Returns why the conditions of a transaction failed. No value means that this
/// transaction had already been applied and was sent again after its response
/// was lost.
std::optional<CommitOutcome>
Journal::classifyFailure(const platform::StoreTxnResult &answer,
                         const std::string &value) {
  const auto &ranges = answer.Ranges;
  if (ranges.size() != 3 || ranges[0].empty() ||
      ranges[0][0].CreateRevision !=
          static_cast<std::int64_t>(base::toNumber(Epoch)))
    return CommitOutcome::Fenced;
  if (!ranges[1].empty())
    Config.adopt(ranges[1].front());
  if (!ranges[2].empty() && ranges[2][0].Value == value)
    return std::nullopt;
  // Only this owner writes segments in its epoch, so any other value means that
  // the shard has another owner.
  if (!ranges[2].empty())
    return CommitOutcome::Fenced;
  return CommitOutcome::ConfigurationChanged;
}

void Journal::finishCommit(const WriteBatch &batch, std::size_t bytes) {
  ObsoleteKeys.erase(ObsoleteKeys.begin(),
                     ObsoleteKeys.begin() +
                         static_cast<std::ptrdiff_t>(ObsoleteKeysInFlight));
  ObsoleteKeysInFlight = 0;
  if (batch.Records.empty())
    return;
  ++NextSegment;
  ++SegmentCount;
  SegmentBytes += bytes;
  ++Ctx.Metrics.Commits;
}

static std::string encodeSegment(const std::string &writeId,
                                 const std::vector<std::string> &records) {
  std::string out =
      "{\"writeId\":" + json::serialize(json::string(writeId)) + ",\"ops\":[";
  for (std::size_t n = 0; n < records.size(); ++n)
    out += (n == 0 ? "" : ",") + records[n];
  return out + "]}";
}

boost::asio::awaitable<CommitResult> Journal::commit(WriteBatch batch) {
  std::string key = segmentKey(Ctx.Settings.Zone, NextSegment);
  std::string value;
  if (!batch.Records.empty())
    value = encodeSegment(Ctx.nextWriteId(), batch.Records);
  platform::StoreTxn txn = makeTransaction(batch, key, value);
  std::optional<base::TimePoint> firstLostSentAt;
  Backoff backoff;
  CommitResult result;
  while (ShouldContinue()) {
    base::TimePoint sentAt = Ctx.Clock.now();
    auto answer = co_await Ctx.Store.txn(txn);
    Ctx.recordStoreResult(answer ? nullptr : &answer.error());
    if (!ShouldContinue())
      break;
    if (!answer) {
      if (answer.error().Code != Errc::StoreUnavailable && !firstLostSentAt)
        firstLostSentAt = sentAt;
      co_await Ctx.Sleep(backoff.nextDelay(Ctx.Random));
      continue;
    }
    result.SentAt = sentAt;
    if (answer.value().Succeeded) {
      if (!answer.value().Ranges.empty())
        result.Inbox = std::move(answer.value().Ranges.front());
    } else if (auto failure = classifyFailure(answer.value(), value)) {
      result.Outcome = *failure;
      co_return result;
    } else {
      result.SentAt = firstLostSentAt.value_or(sentAt);
    }
    finishCommit(batch, value.size());
    Ctx.Metrics.LastCommit = result.SentAt;
    result.Outcome = CommitOutcome::Committed;
    co_return result;
  }
  co_return result;
}

bool Journal::needsCompaction() const {
  return SegmentCount >= MaxSegments ||
         SegmentBytes >= std::max(MinCompactionBytes, SnapshotBytes);
}

/// Applies an idempotent transaction whose only condition is the ownership of
/// the shard.
boost::asio::awaitable<CommitOutcome>
Journal::writeIfOwner(platform::StoreTxn txn) {
  txn.Compares.push_back(ownerCompare());
  Backoff backoff;
  while (ShouldContinue()) {
    auto answer = co_await Ctx.Store.txn(txn);
    Ctx.recordStoreResult(answer ? nullptr : &answer.error());
    if (!ShouldContinue())
      break;
    if (answer)
      co_return answer.value().Succeeded ? CommitOutcome::Committed
                                         : CommitOutcome::Fenced;
    co_await Ctx.Sleep(backoff.nextDelay(Ctx.Random));
  }
  co_return CommitOutcome::Stopped;
}

/// Groups records into values of at most MaxPartBytes; a larger record gets a
/// value of its own.
static std::vector<std::string>
encodeSnapshotParts(const std::string &writeId,
                    const std::vector<std::string> &records) {
  std::vector<std::string> out;
  std::vector<std::string> group;
  std::size_t bytes = 0;
  for (const std::string &it : records) {
    if (bytes + it.size() > MaxPartBytes && !group.empty()) {
      out.push_back(encodeSegment(writeId, group));
      group.clear();
      bytes = 0;
    }
    group.push_back(it);
    bytes += it.size();
  }
  out.push_back(encodeSegment(writeId, group));
  return out;
}

boost::asio::awaitable<CommitOutcome>
Journal::compact(std::vector<std::string> records) {
  const base::ZoneId &zone = Ctx.Settings.Zone;
  std::uint64_t lastSegment = NextSegment - 1;
  std::vector<std::string> parts =
      encodeSnapshotParts(Ctx.nextWriteId(), records);
  std::size_t bytes = 0;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    bytes += parts[n].size();
    platform::StoreTxn put;
    put.Success.push_back(StoreOp::put(snapshotPartKey(zone, lastSegment, n),
                                       std::move(parts[n])));
    CommitOutcome outcome = co_await writeIfOwner(std::move(put));
    if (outcome != CommitOutcome::Committed)
      co_return outcome;
  }
  platform::StoreTxn head;
  head.Success.push_back(
      StoreOp::put(snapshotHeadKey(zone),
                   json::serialize(json::object{
                       {"segment", static_cast<std::int64_t>(lastSegment)},
                       {"parts", static_cast<std::int64_t>(parts.size())}})));
  CommitOutcome outcome = co_await writeIfOwner(std::move(head));
  if (outcome != CommitOutcome::Committed)
    co_return outcome;
  for (std::size_t n = 0;
       n < SnapshotPartCount && SnapshotSegment != lastSegment; ++n)
    ObsoleteKeys.push_back(snapshotPartKey(zone, SnapshotSegment, n));
  for (std::uint64_t n = lastSegment - SegmentCount + 1; n <= lastSegment; ++n)
    ObsoleteKeys.push_back(segmentKey(zone, n));
  SnapshotSegment = lastSegment;
  SnapshotPartCount = parts.size();
  SnapshotBytes = bytes;
  SegmentCount = 0;
  SegmentBytes = 0;
  Ctx.Events.emit(base::EventCode::JournalCompacted,
                  {{"zone", zone.str()},
                   {"segment", std::to_string(lastSegment)},
                   {"bytes", std::to_string(bytes)}});
  co_return CommitOutcome::Committed;
}

} // namespace endivedoor::control::detail
