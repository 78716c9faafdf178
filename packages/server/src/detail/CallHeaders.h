/// \file
/// Parses and builds the headers of requests to services.
#ifndef ENDIVEDOOR_SERVER_DETAIL_CALLHEADERS_H
#define ENDIVEDOOR_SERVER_DETAIL_CALLHEADERS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/platform/Http.h"

#include <chrono>
#include <optional>

namespace endivedoor::server::detail {

constexpr const char *RequestIdHeader = "X-Request-Id";
constexpr const char *DeadlineHeader = "Endivedoor-Deadline-Ms";
constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

/// Parsed headers of a request; members of absent headers are empty.
struct CallHeaders {
  std::string RequestId;
  std::string Key;
  std::optional<std::chrono::milliseconds> Deadline;
};

/// Errors: RequestMalformed (a duplicate header, an id or key that is empty,
/// longer than 128 bytes or not visible ASCII, or a deadline that is not a
/// non-negative integer).
base::Result<CallHeaders> readCallHeaders(const platform::HttpHeaders &headers);

/// Returns the service name in a path /s/<service>/..., or an empty view if
/// there is none.
std::string_view serviceFromPath(std::string_view path);

/// Returns the headers to forward to a target: those of the caller without the
/// hop-by-hop headers and the deadline, and with the given request id.
platform::HttpHeaders forwardedHeaders(const platform::HttpHeaders &headers,
                                       const std::string &requestId);

/// Removes the hop-by-hop headers from a target's answer.
void removeHopByHopHeaders(platform::HttpHeaders &headers);

} // namespace endivedoor::server::detail

#endif
