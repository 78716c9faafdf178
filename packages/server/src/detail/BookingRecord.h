/// \file
/// The value stored for a booking.
#ifndef ENDIVEDOOR_SERVER_DETAIL_BOOKINGRECORD_H
#define ENDIVEDOOR_SERVER_DETAIL_BOOKINGRECORD_H

#include "endivedoor/base/Error.h"
#include "endivedoor/platform/Http.h"

#include <cstdint>
#include <string>

namespace endivedoor::server::detail {

/// AnswerNotKept: the booking ran, but its answer exceeds the size limit of a
/// store value.
enum class BookingState { Claimed, Answered, AnswerNotKept, NotRun, Unknown };

struct BookingRecord {
  BookingState State = BookingState::Claimed;
  /// Run of the daemon that wrote the record.
  std::string Owner;
  /// Unique id of the write.
  std::string WriteId;
  std::string Key;
  std::string Fingerprint;
  /// Wall time in milliseconds since the epoch after which no answer is
  /// expected.
  std::int64_t ExpiresMs = 0;
  platform::HttpResponse Answer;
};

/// Encodes a record as one line of JSON, followed by the body of the answer as
/// raw bytes.
std::string encodeBooking(const BookingRecord &record);

/// Errors: ParseFailed.
base::Result<BookingRecord> decodeBooking(const std::string &text);

} // namespace endivedoor::server::detail

#endif
