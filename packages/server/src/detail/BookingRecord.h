/// \file
/// The value that the store keeps for a booking.
#ifndef ENDIVEDOOR_SERVER_DETAIL_BOOKINGRECORD_H
#define ENDIVEDOOR_SERVER_DETAIL_BOOKINGRECORD_H

#include "endivedoor/base/Error.h"
#include "endivedoor/platform/Http.h"

#include <cstdint>
#include <string>

namespace endivedoor::server::detail {

/// AnswerNotKept: the booking ran, but its answer is larger than a store value
/// may be.
enum class BookingState { Claimed, Answered, AnswerNotKept, NotRun, Unknown };

struct BookingRecord {
  BookingState State = BookingState::Claimed;
  /// Daemon that made the claim.
  std::string Owner;
  /// Tells this write from all others.
  std::string WriteId;
  std::string Key;
  std::string Fingerprint;
  /// Wall time in milliseconds after which no answer is expected.
  std::int64_t ExpiresMs = 0;
  platform::HttpResponse Answer;
};

/// Writes a record as one line of JSON, followed by the bytes of the answer's
/// body.
std::string encodeBooking(const BookingRecord &record);

/// Errors: ParseFailed.
base::Result<BookingRecord> decodeBooking(const std::string &text);

} // namespace endivedoor::server::detail

#endif
