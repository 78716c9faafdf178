/// \file
/// At-most-once execution of requests with an idempotency key, based on claims
/// in the store.
#ifndef ENDIVEDOOR_SERVER_BOOKINGS_H
#define ENDIVEDOOR_SERVER_BOOKINGS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/platform/Http.h"
#include "endivedoor/platform/Store.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace endivedoor::server {

namespace detail {
struct BookingRecord;
enum class BookingState;
} // namespace detail

/// A request with an idempotency key.
struct BookingRequest {
  base::ServiceName Service;
  /// Value of the header Idempotency-Key.
  std::string Key;
  /// Hash of method, path and body; must be equal in all requests with the same
  /// key.
  std::string Fingerprint;
  /// Time after which a booking without an answer is regarded as unknown.
  std::chrono::milliseconds Timeout{0};
};

/// The exclusive right to run a booking, once.
struct BookingClaim {
  std::string StoreKey;
  std::string WriteId;
  std::string Key;
  std::string Fingerprint;
  std::int64_t ExpiresMs = 0;
  /// Mod revision of the claim in the store. For an uncertain claim: the mod
  /// revision that its write compares with, or 0 if the key must be absent.
  std::int64_t ModRevision = 0;
  /// Set if the store did not answer the write, which may have taken effect.
  bool IsUncertain = false;
};

/// Either a new claim, or the answer already recorded for the key.
struct ClaimOutcome {
  std::optional<BookingClaim> Claim;
  platform::HttpResponse RecordedAnswer;
};

/// Claims bookings with a compare-and-swap in the store, so that a key runs at
/// most once across all entry hosts.
///
/// Not thread-safe: use it only on the control thread. Must outlive all of its
/// operations; pendingWrites() is 0 when no background write is in progress.
class Bookings {
public:
  /// \param owner identifies this run of the daemon in the claims.
  Bookings(boost::asio::any_io_executor executor, platform::Store &store,
           const base::Clock &clock, base::EventLog &events,
           base::InstanceId owner, std::uint64_t seed);

  /// Claims the key of a request.
  ///
  /// Errors: StoreUnavailable (not claimed; an uncertain claim is released in
  /// the background), BookingInProgress, BookingUnknown, BookingAnswerNotKept,
  /// BookingKeyReused, Overloaded (too many background writes). Cost: one store
  /// call, plus one for each lost answer of the store and one if the key was
  /// claimed before and released.
  platform::Async<ClaimOutcome> claim(BookingRequest request);

  /// Records the answer of a booking that ran. Returns after the first attempt
  /// to write it; retries run in the background.
  boost::asio::awaitable<void> recordAnswer(BookingClaim claim,
                                            platform::HttpResponse answer);
  /// Records that the booking may have run but has no answer.
  boost::asio::awaitable<void> recordUnknown(BookingClaim claim);
  /// Releases a claim in the background. Call this only if the booking
  /// certainly did not run.
  void release(BookingClaim claim);

  /// Returns the number of background writes in progress.
  std::size_t pendingWrites() const { return PendingWrites; }

private:
  platform::Async<platform::StoreTxnResult>
  writeIfRevision(std::string key, std::int64_t expectedRevision,
                  std::string value);
  base::Result<std::optional<ClaimOutcome>>
  evaluateEntry(BookingClaim &claim, const platform::StoreEntry &entry);
  detail::BookingRecord makeRecord(const BookingClaim &claim,
                                   detail::BookingState state);
  boost::asio::awaitable<bool> tryStoreRecord(BookingClaim &claim,
                                              const std::string &text,
                                              const std::string &writeId);
  boost::asio::awaitable<void>
  retryStoreRecord(BookingClaim claim, std::string text, std::string writeId);
  boost::asio::awaitable<void> storeRecord(BookingClaim claim,
                                           detail::BookingRecord record);
  void storeRecordInBackground(BookingClaim claim, std::string text,
                               std::string writeId);
  boost::asio::awaitable<void> backOff(int attempt);
  std::string newWriteId();

  boost::asio::any_io_executor Executor;
  platform::Store &Store;
  const base::Clock &Clock;
  base::EventLog &Events;
  base::InstanceId Owner;
  std::mt19937_64 Random;
  std::uint64_t WriteCounter = 0;
  std::size_t PendingWrites = 0;
};

/// Returns the hash of method, path and body. It detects a key that is reused
/// for a different request, which must not get the recorded answer.
std::string requestFingerprint(const platform::HttpRequest &request);

} // namespace endivedoor::server

#endif
