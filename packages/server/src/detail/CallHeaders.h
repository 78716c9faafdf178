/// \file
/// Reads and builds the headers of requests to services.
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

/// What the headers of a request say; absent ones are empty.
struct CallHeaders {
  std::string RequestId;
  std::string Key;
  std::optional<std::chrono::milliseconds> Deadline;
};

/// Errors: RequestMalformed (a header that stands twice, an id or key that is
/// empty, longer than 128 bytes or not visible ASCII, a deadline that is not a
/// whole number of milliseconds).
base::Result<CallHeaders> readCallHeaders(const platform::HttpHeaders &headers);

/// Returns the service of a path /s/<service>/..., or an empty view.
std::string_view serviceFromPath(std::string_view path);

/// Returns the headers to pass on to a target: those of the caller without the
/// ones that concern the connection, with the request id and without a
/// deadline.
platform::HttpHeaders forwardedHeaders(const platform::HttpHeaders &headers,
                                       const std::string &requestId);

/// Removes the headers of a target's answer that are not for callers.
void removeHopByHopHeaders(platform::HttpHeaders &headers);

} // namespace endivedoor::server::detail

#endif
