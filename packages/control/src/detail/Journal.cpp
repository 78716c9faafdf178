#include "detail/Journal.h"

#include "detail/Codec.h"
#include "detail/Keys.h"

#include <algorithm>

namespace endivedoor::control::detail {

namespace json = boost::json;
using base::Errc;
using platform::StoreOp;

// The store holds values of up to 1 MB; base64 and the envelope need room.
constexpr std::size_t PartBytes = 600 * 1024;
// A transaction of the store has at most 128 operations.
constexpr std::size_t GarbagePerCommit = 48;
// The inbox is read in small pages, since each value may be large.
constexpr std::int64_t InboxPage = 32;
constexpr std::size_t CompactionBytes = 256 * 1024;
constexpr std::size_t CompactionSegments = 500;
constexpr std::int64_t ReadPage = 16;

Journal::Journal(Context &context, ConfigKeeper &keeper, base::Epoch epoch,
                 std::function<bool()> wanted)
    : Ctx(context), Keeper(keeper), Number(epoch), Wanted(std::move(wanted)) {}

platform::Async<Journal::Entries> Journal::readPrefix(std::string prefix) {
  Entries all;
  std::string end = platform::prefixEnd(prefix);
  std::string from = prefix;
  for (;;) {
    auto page = co_await Ctx.Store.range(from, end, ReadPage);
    Ctx.storeAnswered(page ? nullptr : &page.error());
    if (!page)
      co_return page.error();
    for (platform::StoreEntry &it : page.value())
      all.push_back(std::move(it));
    if (page.value().size() < static_cast<std::size_t>(ReadPage))
      co_return all;
    // The smallest key after the last one read.
    from = all.back().Key + std::string(1, '\0');
  }
}

base::Result<void> Journal::applyAll(const platform::StoreEntry &entry,
                                     const ApplyOp &apply) {
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

platform::Async<void> Journal::loadSnapshot(const ApplyOp &apply) {
  std::string headKey = snapshotHeadKey(Ctx.Settings.Zone);
  auto head = co_await Ctx.Store.range(headKey, std::string(), 1);
  Ctx.storeAnswered(head ? nullptr : &head.error());
  if (!head)
    co_return head.error();
  if (!head.value().empty()) {
    auto value = parseJson(head.value().front().Value);
    if (!value)
      co_return base::Error{Errc::JournalUnreadable, headKey};
    FieldReader in(value.value());
    SnapshotNumber = static_cast<std::uint64_t>(in.number("segment"));
    SnapshotParts = static_cast<std::size_t>(in.number("parts"));
    if (in.failed())
      co_return base::Error{Errc::JournalUnreadable, headKey};
  }
  auto parts = co_await readPrefix(snapshotPrefix(Ctx.Settings.Zone));
  if (!parts)
    co_return parts.error();
  std::size_t found = 0;
  for (const platform::StoreEntry &it : parts.value()) {
    std::string wanted =
        snapshotPartKey(Ctx.Settings.Zone, SnapshotNumber, found);
    if (found == SnapshotParts || it.Key != wanted) {
      Garbage.push_back(it.Key);
      continue;
    }
    auto applied = applyAll(it, apply);
    if (!applied)
      co_return applied.error();
    SnapshotBytes += it.Value.size();
    ++found;
  }
  if (found != SnapshotParts)
    co_return base::Error{Errc::JournalUnreadable,
                          headKey + ": a part is missing"};
  co_return base::success();
}

platform::Async<void> Journal::load(ApplyOp apply) {
  auto loaded = co_await loadSnapshot(apply);
  if (!loaded)
    co_return loaded.error();
  NextSegment = SnapshotNumber + 1;
  auto segments = co_await readPrefix(segmentPrefix(Ctx.Settings.Zone));
  if (!segments)
    co_return segments.error();
  for (const platform::StoreEntry &it : segments.value()) {
    if (it.Key < segmentKey(Ctx.Settings.Zone, NextSegment)) {
      Garbage.push_back(it.Key);
      continue;
    }
    if (it.Key != segmentKey(Ctx.Settings.Zone, NextSegment))
      co_return base::Error{Errc::JournalUnreadable,
                            it.Key + ": the segment before it is missing"};
    auto applied = applyAll(it, apply);
    if (!applied)
      co_return applied.error();
    ++NextSegment;
    ++Segments;
    SegmentBytes += it.Value.size();
  }
  co_return base::success();
}

platform::StoreCompare Journal::ownerCompare() const {
  return {ownerKey(Ctx.Settings.Zone),
          platform::StoreCompare::Field::CreateRevision,
          static_cast<std::int64_t>(base::toNumber(Number))};
}

platform::StoreTxn Journal::request(const Draft &draft, const std::string &key,
                                    const std::string &value) {
  using Field = platform::StoreCompare::Field;
  platform::StoreTxn out;
  out.Compares.push_back(ownerCompare());
  out.Compares.push_back(
      {ConfigKey, Field::ModRevision, Keeper.current().ModRevision});
  if (!value.empty()) {
    out.Compares.push_back({key, Field::CreateRevision, 0});
    out.Success.push_back(StoreOp::put(key, value));
  }
  for (const StoreOp &it : draft.Puts)
    out.Success.push_back(it);
  for (const std::string &it : draft.ConsumedKeys)
    out.Success.push_back(StoreOp::remove(it));
  GarbageInFlight = std::min(Garbage.size(), GarbagePerCommit);
  for (std::size_t n = 0; n < GarbageInFlight; ++n)
    out.Success.push_back(StoreOp::remove(Garbage[n]));
  out.Success.push_back(
      StoreOp::rangePrefix(inboxPrefix(Ctx.Settings.Zone), InboxPage));
  out.Failure.push_back(StoreOp::range(ownerKey(Ctx.Settings.Zone)));
  out.Failure.push_back(StoreOp::range(ConfigKey));
  out.Failure.push_back(StoreOp::range(key));
  return out;
}

/// Says why a transaction was refused; no value if it was an own transaction,
/// sent again after its answer was lost, that had already been applied.
std::optional<CommitOutcome>
Journal::readRefusal(const platform::StoreTxnResult &answer,
                     const std::string &value) {
  const auto &ranges = answer.Ranges;
  if (ranges.size() != 3 || ranges[0].empty() ||
      ranges[0][0].CreateRevision !=
          static_cast<std::int64_t>(base::toNumber(Number)))
    return CommitOutcome::Fenced;
  if (!ranges[1].empty())
    Keeper.adopt(ranges[1].front());
  if (!ranges[2].empty() && ranges[2][0].Value == value)
    return std::nullopt;
  // Only this owner writes segments in its epoch.
  if (!ranges[2].empty())
    return CommitOutcome::Fenced;
  return CommitOutcome::ConfigurationChanged;
}

void Journal::settle(const Draft &draft, std::size_t bytes) {
  Garbage.erase(Garbage.begin(),
                Garbage.begin() + static_cast<std::ptrdiff_t>(GarbageInFlight));
  GarbageInFlight = 0;
  if (draft.Ops.empty())
    return;
  ++NextSegment;
  ++Segments;
  SegmentBytes += bytes;
  ++Ctx.Metrics.Commits;
}

static std::string segmentValue(const std::string &writeId,
                                const std::vector<std::string> &ops) {
  std::string out =
      "{\"writeId\":" + json::serialize(json::string(writeId)) + ",\"ops\":[";
  for (std::size_t n = 0; n < ops.size(); ++n)
    out += (n == 0 ? "" : ",") + ops[n];
  return out + "]}";
}

boost::asio::awaitable<CommitResult> Journal::commit(Draft draft) {
  std::string key = segmentKey(Ctx.Settings.Zone, NextSegment);
  std::string value;
  if (!draft.Ops.empty())
    value = segmentValue(Ctx.nextWriteId(), draft.Ops);
  platform::StoreTxn txn = request(draft, key, value);
  std::optional<base::TimePoint> firstLost;
  Backoff backoff;
  CommitResult result;
  while (Wanted()) {
    base::TimePoint sentAt = Ctx.Clock.now();
    auto answer = co_await Ctx.Store.txn(txn);
    Ctx.storeAnswered(answer ? nullptr : &answer.error());
    if (!Wanted())
      break;
    if (!answer) {
      if (answer.error().Code != Errc::StoreUnavailable && !firstLost)
        firstLost = sentAt;
      co_await Ctx.Sleep(backoff.next(Ctx.Random));
      continue;
    }
    result.SentAt = sentAt;
    if (answer.value().Succeeded) {
      if (!answer.value().Ranges.empty())
        result.Inbox = std::move(answer.value().Ranges.front());
    } else if (auto refusal = readRefusal(answer.value(), value)) {
      result.Outcome = *refusal;
      co_return result;
    } else {
      result.SentAt = firstLost.value_or(sentAt);
    }
    settle(draft, value.size());
    Ctx.Metrics.LastCommit = result.SentAt;
    result.Outcome = CommitOutcome::Committed;
    co_return result;
  }
  co_return result;
}

bool Journal::wantsCompaction() const {
  return Segments >= CompactionSegments ||
         SegmentBytes >= std::max(CompactionBytes, SnapshotBytes);
}

/// Applies a transaction whose only condition is the ownership and that may be
/// applied twice.
boost::asio::awaitable<CommitOutcome>
Journal::putFenced(platform::StoreTxn request) {
  request.Compares.push_back(ownerCompare());
  Backoff backoff;
  while (Wanted()) {
    auto answer = co_await Ctx.Store.txn(request);
    Ctx.storeAnswered(answer ? nullptr : &answer.error());
    if (!Wanted())
      break;
    if (answer)
      co_return answer.value().Succeeded ? CommitOutcome::Committed
                                         : CommitOutcome::Fenced;
    co_await Ctx.Sleep(backoff.next(Ctx.Random));
  }
  co_return CommitOutcome::Stopped;
}

/// Groups records into values of at most PartBytes, unless one is larger.
static std::vector<std::string>
partValues(const std::string &writeId, const std::vector<std::string> &ops) {
  std::vector<std::string> out;
  std::vector<std::string> group;
  std::size_t bytes = 0;
  for (const std::string &it : ops) {
    if (bytes + it.size() > PartBytes && !group.empty()) {
      out.push_back(segmentValue(writeId, group));
      group.clear();
      bytes = 0;
    }
    group.push_back(it);
    bytes += it.size();
  }
  out.push_back(segmentValue(writeId, group));
  return out;
}

boost::asio::awaitable<CommitOutcome>
Journal::compact(std::vector<std::string> records) {
  const base::ZoneId &zone = Ctx.Settings.Zone;
  std::uint64_t number = NextSegment - 1;
  std::vector<std::string> parts = partValues(Ctx.nextWriteId(), records);
  std::size_t bytes = 0;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    bytes += parts[n].size();
    platform::StoreTxn put;
    put.Success.push_back(
        StoreOp::put(snapshotPartKey(zone, number, n), std::move(parts[n])));
    CommitOutcome outcome = co_await putFenced(std::move(put));
    if (outcome != CommitOutcome::Committed)
      co_return outcome;
  }
  platform::StoreTxn head;
  head.Success.push_back(
      StoreOp::put(snapshotHeadKey(zone),
                   json::serialize(json::object{
                       {"segment", static_cast<std::int64_t>(number)},
                       {"parts", static_cast<std::int64_t>(parts.size())}})));
  CommitOutcome outcome = co_await putFenced(std::move(head));
  if (outcome != CommitOutcome::Committed)
    co_return outcome;
  for (std::size_t n = 0; n < SnapshotParts && SnapshotNumber != number; ++n)
    Garbage.push_back(snapshotPartKey(zone, SnapshotNumber, n));
  for (std::uint64_t n = number - Segments + 1; n <= number; ++n)
    Garbage.push_back(segmentKey(zone, n));
  SnapshotNumber = number;
  SnapshotParts = parts.size();
  SnapshotBytes = bytes;
  Segments = 0;
  SegmentBytes = 0;
  Ctx.Events.emit(base::EventCode::JournalCompacted,
                  {{"zone", zone.str()},
                   {"segment", std::to_string(number)},
                   {"bytes", std::to_string(bytes)}});
  co_return CommitOutcome::Committed;
}

} // namespace endivedoor::control::detail
