/// \file
/// HTTP/1.1 message types that do not expose Boost.Beast to their users.
#ifndef ENDIVEDOOR_PLATFORM_HTTP_H
#define ENDIVEDOOR_PLATFORM_HTTP_H

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivedoor::platform {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header \p name (case-insensitive), or an
/// empty view.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

/// Percent-encodes every byte of \p text except letters, digits, "-", ".", "_"
/// and "~" (RFC 3986, section 2.3), for use as one path segment.
std::string encodePathSegment(std::string_view text);

/// Reverses encodePathSegment. Malformed escapes are left unchanged.
std::string decodePathSegment(std::string_view text);

struct HttpRequest {
  std::string Method = "GET";
  /// Path and query, for example "/v1/status".
  std::string Path = "/";
  HttpHeaders Headers;
  std::string Body;
};

struct HttpResponse {
  unsigned Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// Maximum sizes of a message, in bytes, and number of its header fields.
struct HttpLimits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  std::size_t HeaderFields = 128;
};

} // namespace endivedoor::platform

#endif
