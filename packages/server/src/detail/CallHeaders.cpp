#include "detail/CallHeaders.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace endivedoor::server::detail {

using base::Errc;
using base::fail;
using boost::beast::iequals;
using platform::HttpHeaders;

constexpr std::size_t MaxTokenLength = 128;
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;

/// Returns whether a header applies to a single connection (RFC 9110, section
/// 7.6.1). Those that the HTTP adapters already remove are not listed.
static bool isHopByHopHeader(std::string_view name) {
  for (std::string_view it :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Expect", "Host"})
    if (iequals(name, it))
      return true;
  return false;
}

static bool isToken(std::string_view text) {
  return !text.empty() && text.size() <= MaxTokenLength &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < 127; });
}

/// Reads a header that may occur at most once; \p out is unchanged if it is
/// absent.
static base::Result<void> readToken(const HttpHeaders &headers,
                                    const char *name, std::string &out) {
  bool isFound = false;
  for (const auto &[key, value] : headers) {
    if (!iequals(key, name))
      continue;
    if (isFound)
      return fail(Errc::RequestMalformed,
                  std::string(name) + ": header occurs more than once");
    if (!isToken(value))
      return fail(Errc::RequestMalformed,
                  std::string(name) +
                      ": must be 1 to 128 visible ASCII characters");
    isFound = true;
    out = value;
  }
  return base::success();
}

base::Result<CallHeaders> readCallHeaders(const HttpHeaders &headers) {
  CallHeaders out;
  std::string deadline;
  BOOST_OUTCOME_TRYV(readToken(headers, RequestIdHeader, out.RequestId));
  BOOST_OUTCOME_TRYV(readToken(headers, IdempotencyKeyHeader, out.Key));
  BOOST_OUTCOME_TRYV(readToken(headers, DeadlineHeader, deadline));
  if (deadline.empty())
    return out;
  std::int64_t ms = 0;
  const char *end = deadline.data() + deadline.size();
  auto [p, ec] = std::from_chars(deadline.data(), end, ms);
  if (ec != std::errc() || p != end || ms < 0)
    return fail(Errc::RequestMalformed, std::string(DeadlineHeader) +
                                            ": must be a non-negative integer");
  out.Deadline = std::chrono::milliseconds(std::min(ms, MaxDeadlineMs));
  return out;
}

std::string_view serviceFromPath(std::string_view path) {
  if (!path.starts_with("/s/"))
    return {};
  std::string_view rest = path.substr(3);
  return rest.substr(0, rest.find_first_of("/?#"));
}

HttpHeaders forwardedHeaders(const HttpHeaders &headers,
                             const std::string &requestId) {
  HttpHeaders out;
  out.reserve(headers.size() + 2);
  for (const auto &it : headers)
    if (!isHopByHopHeader(it.first) && !iequals(it.first, RequestIdHeader) &&
        !iequals(it.first, DeadlineHeader))
      out.push_back(it);
  out.emplace_back(RequestIdHeader, requestId);
  return out;
}

void removeHopByHopHeaders(HttpHeaders &headers) {
  std::erase_if(headers,
                [](const auto &it) { return isHopByHopHeader(it.first); });
}

} // namespace endivedoor::server::detail
