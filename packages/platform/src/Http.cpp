#include "endivedoor/platform/Http.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <boost/beast/core/string.hpp>

namespace endivedoor::platform {

std::string_view findHeader(const HttpHeaders &headers, std::string_view name) {
  for (const auto &[key, value] : headers)
    if (boost::beast::iequals(key, name))
      return value;
  return {};
}

std::string encodePathSegment(std::string_view text) {
  std::string encoded;
  for (char c : text) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
        c == '.' || c == '_' || c == '~')
      encoded += c;
    else
      encoded += "%" + absl::AsciiStrToUpper(
                           absl::BytesToHexString(absl::string_view(&c, 1)));
  }
  return encoded;
}

std::string decodePathSegment(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    bool isEscape =
        text[i] == '%' && i + 2 < text.size() &&
        absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 1])) &&
        absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 2]));
    if (!isEscape) {
      decoded += text[i];
      continue;
    }
    decoded += absl::HexStringToBytes(absl::string_view(&text[i + 1], 2));
    i += 2;
  }
  return decoded;
}

} // namespace endivedoor::platform
