#include "endivedoor/platform/Http.h"

#include <boost/beast/core/string.hpp>

namespace endivedoor::platform {

std::string_view findHeader(const HttpHeaders &headers, std::string_view name) {
  for (const auto &[key, value] : headers)
    if (boost::beast::iequals(key, name))
      return value;
  return {};
}

} // namespace endivedoor::platform
