/// \file
/// Helpers for JSON over HTTP, shared by the HTTP clients.
#ifndef ENDIVEDOOR_PLATFORM_DETAIL_HTTPCALLS_H
#define ENDIVEDOOR_PLATFORM_DETAIL_HTTPCALLS_H

#include "endivedoor/platform/Http.h"
#include "endivedoor/platform/Json.h"

#include <boost/json/serialize.hpp>

namespace endivedoor::platform::detail {

inline HttpRequest jsonPost(std::string path, const boost::json::value &body) {
  return {"POST",
          std::move(path),
          {{"Content-Type", "application/json"}},
          boost::json::serialize(body)};
}

/// Parses the body of a response as JSON and converts it with \p read. Errors:
/// PlatformAnswerInvalid.
template <typename F>
auto parseResponse(const std::string &body, F read)
    -> base::Result<std::invoke_result_t<F, const JsonView &>> {
  base::Result<boost::json::value> value = parseJson(body);
  if (!value)
    return base::fail(base::Errc::PlatformAnswerInvalid, value.error().Detail);
  std::string error;
  auto result = read(JsonView(value.value(), error));
  if (!error.empty())
    return base::fail(base::Errc::PlatformAnswerInvalid, error);
  return result;
}

} // namespace endivedoor::platform::detail

#endif
