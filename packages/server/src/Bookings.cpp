#include "endivedoor/server/Bookings.h"

#include "detail/BookingRecord.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace endivedoor::server {

namespace asio = boost::asio;
using base::Errc;
using base::fail;
using detail::BookingRecord;
using detail::BookingState;
using platform::StoreEntry;

/// The store accepts values of up to 1 MB.
constexpr std::size_t MaxValueBytes = 1000 * 1000;
/// Bounds the memory of background writes, each of which may hold an answer of
/// 1 MiB.
constexpr std::size_t MaxPendingWrites = 64;
/// Maximum time that a caller waits for the resolution of an uncertain claim.
constexpr auto MaxClaimDuration = std::chrono::milliseconds(2000);
constexpr auto InitialBackoff = std::chrono::milliseconds(20);
constexpr auto MaxBackoff = std::chrono::milliseconds(5000);

static std::string hashText(const std::string &text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  char buf[33];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return buf;
}

std::string requestFingerprint(const platform::HttpRequest &request) {
  return hashText(request.Method + " " + request.Path + "\n" + request.Body);
}

Bookings::Bookings(asio::any_io_executor executor, platform::Store &store,
                   const base::Clock &clock, base::EventLog &events,
                   base::InstanceId owner, std::uint64_t seed)
    : Executor(std::move(executor)), Store(store), Clock(clock), Events(events),
      Owner(std::move(owner)), Random(seed) {}

std::string Bookings::newWriteId() {
  return Owner.str() + "-b" + std::to_string(++WriteCounter);
}

BookingRecord Bookings::makeRecord(const BookingClaim &claim,
                                   BookingState state) {
  BookingRecord record;
  record.State = state;
  record.Owner = Owner.str();
  record.WriteId = newWriteId();
  record.Key = claim.Key;
  record.Fingerprint = claim.Fingerprint;
  record.ExpiresMs = claim.ExpiresMs;
  return record;
}

/// Waits with exponential backoff and full jitter, so that the daemons do not
/// all retry at once when the store recovers.
asio::awaitable<void> Bookings::backOff(int attempt) {
  auto maxDelay = std::min<std::chrono::milliseconds>(
      InitialBackoff * (1 << std::min(attempt, 8)), MaxBackoff);
  std::uniform_int_distribution<std::int64_t> jitter(1, maxDelay.count());
  asio::steady_timer timer(Executor, std::chrono::milliseconds(jitter(Random)));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Writes a record if the mod revision of the key is \p expectedRevision (0: if
/// the key is absent); otherwise reads the key.
platform::Async<platform::StoreTxnResult>
Bookings::writeIfRevision(std::string key, std::int64_t expectedRevision,
                          std::string value) {
  using Field = platform::StoreCompare::Field;
  platform::StoreTxn txn;
  Field field =
      expectedRevision == 0 ? Field::CreateRevision : Field::ModRevision;
  txn.Compares.push_back({key, field, expectedRevision});
  txn.Success.push_back(platform::StoreOp::put(key, std::move(value)));
  txn.Failure.push_back(platform::StoreOp::range(key));
  co_return co_await Store.txn(std::move(txn));
}

/// Returns the entry read by the failure branch of writeIfRevision(), or null
/// if the key is absent.
static const StoreEntry *currentEntry(const platform::StoreTxnResult &result) {
  if (result.Ranges.empty() || result.Ranges.front().empty())
    return nullptr;
  return &result.Ranges.front().front();
}

/// Returns no outcome if the key was released; the claim can then be retried
/// with the mod revision of the entry.
base::Result<std::optional<ClaimOutcome>>
Bookings::evaluateEntry(BookingClaim &claim, const StoreEntry &entry) {
  base::Result<BookingRecord> read = detail::decodeBooking(entry.Value);
  if (!read)
    return fail(Errc::BookingUnknown,
                claim.Key + ": stored record cannot be decoded");
  BookingRecord &record = read.value();
  if (record.Key != claim.Key || record.Fingerprint != claim.Fingerprint)
    return fail(Errc::BookingKeyReused, claim.Key);
  switch (record.State) {
  case BookingState::Claimed:
    if (record.WriteId == claim.WriteId) {
      claim.ModRevision = entry.ModRevision;
      return ClaimOutcome{claim, {}};
    }
    if (Clock.wallNow().time_since_epoch() <
        std::chrono::milliseconds(record.ExpiresMs))
      return fail(Errc::BookingInProgress, claim.Key);
    return fail(Errc::BookingUnknown,
                claim.Key + ": claim expired without an answer");
  case BookingState::Answered:
    return ClaimOutcome{std::nullopt, std::move(record.Answer)};
  case BookingState::AnswerNotKept:
    return fail(Errc::BookingAnswerNotKept, claim.Key);
  case BookingState::NotRun:
    claim.ModRevision = entry.ModRevision;
    return std::optional<ClaimOutcome>();
  case BookingState::Unknown:
    break;
  }
  return fail(Errc::BookingUnknown, claim.Key);
}

platform::Async<ClaimOutcome> Bookings::claim(BookingRequest request) {
  if (PendingWrites >= MaxPendingWrites)
    co_return fail(Errc::Overloaded, "too many booking writes are pending");
  base::TimePoint claimDeadline =
      Clock.now() + std::min(request.Timeout, MaxClaimDuration);
  BookingClaim claim;
  claim.StoreKey = "/endivedoor/bookings/" +
                   hashText(request.Service.str() + "\n" + request.Key);
  claim.Key = std::move(request.Key);
  claim.Fingerprint = std::move(request.Fingerprint);
  claim.ExpiresMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Clock.wallNow().time_since_epoch() + request.Timeout)
                        .count();
  BookingRecord record = makeRecord(claim, BookingState::Claimed);
  claim.WriteId = record.WriteId;
  std::string text = detail::encodeBooking(record);

  for (int i = 0;; ++i) {
    base::Result<platform::StoreTxnResult> written =
        co_await writeIfRevision(claim.StoreKey, claim.ModRevision, text);
    if (written && written.value().Succeeded) {
      claim.ModRevision = written.value().Revision;
      co_return ClaimOutcome{std::move(claim), {}};
    }
    if (written) {
      // The comparison failed, so no earlier attempt of this write can take
      // effect any more.
      claim.IsUncertain = false;
      const StoreEntry *entry = currentEntry(written.value());
      if (!entry) {
        claim.ModRevision = 0;
        continue;
      }
      base::Result<std::optional<ClaimOutcome>> outcome =
          evaluateEntry(claim, *entry);
      if (!outcome)
        co_return outcome.as_failure();
      if (outcome.value())
        co_return std::move(*outcome.value());
      continue;
    }
    Errc code = written.error().Code;
    if (code != Errc::StoreUnavailable && code != Errc::StoreRejected)
      claim.IsUncertain = true;
    if (!claim.IsUncertain)
      co_return fail(Errc::StoreUnavailable, written.error().Detail);
    if (Clock.now() >= claimDeadline) {
      release(claim);
      co_return fail(Errc::StoreUnavailable, written.error().Detail);
    }
    co_await backOff(i);
  }
}

/// Returns true if no retry is needed: the record is stored, or another process
/// has claimed the key.
asio::awaitable<bool> Bookings::tryStoreRecord(BookingClaim &claim,
                                               const std::string &text,
                                               const std::string &writeId) {
  base::Result<platform::StoreTxnResult> written =
      co_await writeIfRevision(claim.StoreKey, claim.ModRevision, text);
  if (!written)
    co_return false;
  if (written.value().Succeeded)
    co_return true;
  const StoreEntry *entry = currentEntry(written.value());
  if (!entry) {
    claim.ModRevision = 0;
    co_return false;
  }
  base::Result<BookingRecord> record = detail::decodeBooking(entry->Value);
  if (record && record.value().WriteId == claim.WriteId) {
    // The write of the uncertain claim took effect; retry with its mod
    // revision.
    claim.ModRevision = entry->ModRevision;
    co_return false;
  }
  bool isOwn = record && record.value().WriteId == writeId;
  if (!isOwn && !claim.IsUncertain)
    Events.emit(base::EventCode::BookingTaken,
                {{"key", claim.Key},
                 {"owner", record ? record.value().Owner : "unreadable"}});
  co_return true;
}

asio::awaitable<void> Bookings::retryStoreRecord(BookingClaim claim,
                                                 std::string text,
                                                 std::string writeId) {
  for (int i = 0;; ++i) {
    if (i == 1)
      Events.emit(base::EventCode::BookingUnresolved, {{"key", claim.Key}});
    bool done = co_await tryStoreRecord(claim, text, writeId);
    if (done)
      break;
    co_await backOff(i);
  }
  --PendingWrites;
}

void Bookings::storeRecordInBackground(BookingClaim claim, std::string text,
                                       std::string writeId) {
  ++PendingWrites;
  asio::co_spawn(
      Executor,
      retryStoreRecord(std::move(claim), std::move(text), std::move(writeId)),
      asio::detached);
}

asio::awaitable<void> Bookings::storeRecord(BookingClaim claim,
                                            BookingRecord record) {
  std::string text = detail::encodeBooking(record);
  if (text.size() > MaxValueBytes) {
    record.State = BookingState::AnswerNotKept;
    text = detail::encodeBooking(record);
  }
  ++PendingWrites;
  bool done = co_await tryStoreRecord(claim, text, record.WriteId);
  --PendingWrites;
  if (!done)
    storeRecordInBackground(std::move(claim), std::move(text),
                            std::move(record.WriteId));
}

asio::awaitable<void> Bookings::recordAnswer(BookingClaim claim,
                                             platform::HttpResponse answer) {
  BookingRecord record = makeRecord(claim, BookingState::Answered);
  record.Answer = std::move(answer);
  co_await storeRecord(std::move(claim), std::move(record));
}

asio::awaitable<void> Bookings::recordUnknown(BookingClaim claim) {
  BookingRecord record = makeRecord(claim, BookingState::Unknown);
  co_await storeRecord(std::move(claim), std::move(record));
}

void Bookings::release(BookingClaim claim) {
  BookingRecord record = makeRecord(claim, BookingState::NotRun);
  std::string text = detail::encodeBooking(record);
  storeRecordInBackground(std::move(claim), std::move(text),
                          std::move(record.WriteId));
}

} // namespace endivedoor::server
