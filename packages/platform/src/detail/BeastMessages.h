/// \file
/// Conversion between the message types of Http.h and those of Boost.Beast.
#ifndef ENDIVEDOOR_PLATFORM_DETAIL_BEASTMESSAGES_H
#define ENDIVEDOOR_PLATFORM_DETAIL_BEASTMESSAGES_H

#include "endivedoor/platform/Http.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

namespace endivedoor::platform::detail {

namespace http = boost::beast::http;

/// Returns whether \p name is a hop-by-hop header or Content-Length. Beast sets
/// these headers itself, so they are never copied between messages.
inline bool isHopByHopHeader(std::string_view name) {
  for (std::string_view it :
       {"connection", "content-length", "transfer-encoding", "keep-alive"})
    if (boost::beast::iequals(name, it))
      return true;
  return false;
}

template <bool IsRequest>
HttpHeaders copyHeaders(const http::message<IsRequest, http::string_body> &m) {
  HttpHeaders headers;
  for (const auto &it : m)
    if (!isHopByHopHeader(it.name_string()))
      headers.emplace_back(it.name_string(), it.value());
  return headers;
}

template <bool IsRequest>
void setHeaders(http::message<IsRequest, http::string_body> &m,
                const HttpHeaders &headers) {
  for (const auto &[key, value] : headers)
    if (!isHopByHopHeader(key))
      m.insert(key, value);
}

} // namespace endivedoor::platform::detail

#endif
