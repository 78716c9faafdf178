/// \file
/// Requests that must run at most once, claimed in the store.
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
  /// Hash of method and body; a repeat must have the same.
  std::string Fingerprint;
  /// Time by which the booking has an answer or none is to be expected.
  std::chrono::milliseconds Timeout{0};
};

/// The right to run one booking once.
struct BookingClaim {
  std::string StoreKey;
  std::string WriteId;
  std::string Key;
  std::string Fingerprint;
  std::int64_t ExpiresMs = 0;
  /// Mod revision of the claim in the store. Of an uncertain claim: the mod
  /// revision that its write requires, 0 if it requires that the key is absent.
  std::int64_t ModRevision = 0;
  /// The write may have taken effect without an answer.
  bool IsUncertain = false;
};

/// Either a claim, or the answer that was recorded for the key.
struct ClaimOutcome {
  std::optional<BookingClaim> Claim;
  platform::HttpResponse RecordedAnswer;
};

/// Claims bookings by compare-and-swap, so that a key runs at most once across
/// all entry hosts.
///
/// Belongs to the control thread. Must outlive all of its operations; pending()
/// tells when the background writes are done.
class Bookings {
public:
  /// \param owner this run of the daemon, named in the claims.
  Bookings(boost::asio::any_io_executor executor, platform::Store &store,
           const base::Clock &clock, base::EventLog &events,
           base::InstanceId owner, std::uint64_t seed);

  /// Claims a key.
  ///
  /// Errors: StoreUnavailable (not claimed; an uncertain claim is released in
  /// the background), BookingInProgress, BookingUnknown, BookingAnswerNotKept,
  /// BookingKeyReused, Overloaded (too many background writes). Cost: one store
  /// call; one more for each lost answer and for a claim that was released.
  platform::Async<ClaimOutcome> claim(BookingRequest request);

  /// Records the answer of a booking that ran. Returns after the first attempt
  /// to write it; further attempts go on in the background.
  boost::asio::awaitable<void> recordAnswer(BookingClaim claim,
                                            platform::HttpResponse answer);
  /// Records that the booking may have run and has no answer.
  boost::asio::awaitable<void> recordUnknown(BookingClaim claim);
  /// Releases a claim of which certainly nothing ran, in the background.
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

/// Returns the hash of method, path and body, which tells two requests with the
/// same key apart. A repeat that asks for something else must not get the
/// recorded answer.
std::string requestFingerprint(const platform::HttpRequest &request);

} // namespace endivedoor::server

#endif
