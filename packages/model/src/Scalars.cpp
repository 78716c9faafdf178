#include "endivedoor/model/Scalars.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <numeric>

namespace endivedoor::model {

namespace {

struct Unit {
  std::string_view Suffix;
  std::uint64_t Factor;
};

constexpr std::array<Unit, 4> DurationUnits{
    {{"h", 3600000}, {"m", 60000}, {"s", 1000}, {"ms", 1}}};
constexpr std::array<Unit, 4> SizeUnits{
    {{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}};

/// Parses a number with a unit; rejects a result above the range of int64, so
/// that it fits std::chrono.
template <std::size_t N>
std::optional<std::uint64_t> parseUnit(std::string_view text,
                                       const std::array<Unit, N> &units) {
  std::size_t digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos)
    return std::nullopt;
  std::optional<std::uint64_t> n = parseNumber(text.substr(0, digits));
  constexpr std::uint64_t maxValue = std::numeric_limits<std::int64_t>::max();
  for (const Unit &it : units)
    if (it.Suffix == text.substr(digits) && n && *n <= maxValue / it.Factor)
      return *n * it.Factor;
  return std::nullopt;
}

std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t k = 1; k <= b.size(); ++k) {
      std::size_t change = diagonal + (a[i - 1] == b[k - 1] ? 0 : 1);
      diagonal = row[k];
      row[k] = std::min({change, row[k] + 1, row[k - 1] + 1});
    }
  }
  return row.back();
}

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text) {
  std::optional<std::uint64_t> n = parseUnit(text, DurationUnits);
  if (!n)
    return std::nullopt;
  return std::chrono::milliseconds(static_cast<std::int64_t>(*n));
}

std::optional<std::uint64_t> parseSize(std::string_view text) {
  return parseUnit(text, SizeUnits);
}

std::optional<Address> parseAddress(std::string_view text) {
  std::size_t colon = text.find(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code ec;
  std::string ip(text.substr(0, colon));
  boost::asio::ip::make_address_v4(ip, ec);
  std::optional<std::uint64_t> port = parseNumber(text.substr(colon + 1));
  if (ec || !port || *port == 0 || *port > 65535)
    return std::nullopt;
  return Address{ip, static_cast<std::uint16_t>(*port)};
}

bool isValidName(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

std::string formatDuration(std::chrono::milliseconds value) {
  auto n = static_cast<std::uint64_t>(value.count());
  for (const Unit &it : DurationUnits)
    if (n != 0 && n % it.Factor == 0)
      return std::to_string(n / it.Factor) + std::string(it.Suffix);
  return std::to_string(n) + "ms";
}

std::optional<std::string>
closestMatch(std::string_view word,
             const std::vector<std::string> &candidates) {
  // Longer words are hostile input rather than typing errors; the edit distance
  // takes quadratic time.
  if (word.size() > 64)
    return std::nullopt;
  std::optional<std::string> best;
  std::size_t bestDistance = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string &it : candidates) {
    std::size_t n = editDistance(word, it);
    if (n < bestDistance && n < it.size()) {
      bestDistance = n;
      best = it;
    }
  }
  return best;
}

} // namespace endivedoor::model
