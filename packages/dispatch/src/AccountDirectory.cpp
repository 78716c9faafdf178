#include "endivedoor/dispatch/AccountDirectory.h"

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <array>
#include <bit>
#include <random>

namespace endivedoor::dispatch {

using base::Errc;
using base::fail;

constexpr absl::string_view AuthorizationHeader = "Authorization";
constexpr absl::string_view Scheme = "Bearer";

namespace {

using Seed = std::array<std::uint64_t, 2>;

/// SipHash-2-4, a hash whose values cannot be predicted without the seed.
class SipHash {
public:
  explicit SipHash(const Seed &seed)
      : V{seed[0] ^ 0x736f6d6570736575, seed[1] ^ 0x646f72616e646f6d,
          seed[0] ^ 0x6c7967656e657261, seed[1] ^ 0x7465646279746573} {}

  std::uint64_t operator()(std::string_view text) {
    constexpr std::size_t wordBytes = 8;
    std::size_t whole = text.size() / wordBytes * wordBytes;
    for (std::size_t i = 0; i < whole; i += wordBytes)
      add(readWord(text.substr(i, wordBytes)));
    add(readWord(text.substr(whole)) | std::uint64_t{text.size()} << 56);
    V[2] ^= 0xff;
    for (int i = 0; i < 4; ++i)
      mix();
    return V[0] ^ V[1] ^ V[2] ^ V[3];
  }

private:
  /// Reads up to 8 bytes in little-endian order.
  static std::uint64_t readWord(std::string_view bytes) {
    std::uint64_t word = 0;
    for (std::size_t i = bytes.size(); i-- > 0;)
      word = word << 8 | static_cast<unsigned char>(bytes[i]);
    return word;
  }

  void add(std::uint64_t word) {
    V[3] ^= word;
    mix();
    mix();
    V[0] ^= word;
  }

  void mix() {
    V[0] += V[1];
    V[2] += V[3];
    V[1] = std::rotl(V[1], 13) ^ V[0];
    V[3] = std::rotl(V[3], 16) ^ V[2];
    V[0] = std::rotl(V[0], 32) + V[3];
    V[2] += V[1];
    V[3] = std::rotl(V[3], 21) ^ V[0];
    V[1] = std::rotl(V[1], 17) ^ V[2];
    V[2] = std::rotl(V[2], 32);
  }

  std::uint64_t V[4];
};

} // namespace

/// Returns the hash of a key under the seed of this process.
static std::uint64_t hashKey(std::string_view key) {
  static const Seed seed = [] {
    std::random_device device;
    auto draw = [&] { return std::uint64_t{device()} << 32 | device(); };
    return Seed{draw(), draw()};
  }();
  return SipHash(seed)(key);
}

/// Compares all bytes, wherever the first difference is.
static bool equalInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size())
    return false;
  volatile unsigned char difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    difference = static_cast<unsigned char>(
        difference |
        (static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i])));
  return difference == 0;
}

base::Result<std::string_view>
findBearerKey(const platform::HttpHeaders &headers) {
  std::size_t count = 0;
  std::string_view value;
  for (const auto &[name, text] : headers)
    if (absl::EqualsIgnoreCase(name, AuthorizationHeader)) {
      ++count;
      value = text;
    }
  if (count == 0)
    return fail(Errc::KeyMissing, "send \"Authorization: Bearer KEY\"");
  if (count > 1)
    return fail(Errc::KeyMalformed, "several Authorization headers");
  auto malformed = [] {
    return fail(Errc::KeyMalformed,
                "the Authorization header is not \"Bearer KEY\"");
  };
  if (!absl::StartsWithIgnoreCase(absl::string_view(value.data(), value.size()),
                                  Scheme))
    return malformed();
  std::string_view rest = value.substr(Scheme.size());
  std::size_t start = rest.find_first_not_of(' ');
  if (start == 0 || start == std::string_view::npos)
    return malformed();
  std::string_view key = rest.substr(start);
  auto isVisible = [](char c) { return c > ' ' && c < '\x7f'; };
  if (!std::all_of(key.begin(), key.end(), isVisible))
    return malformed();
  return key;
}

AccountDirectory::AccountDirectory(
    const std::vector<model::ClientAccount> &accounts) {
  for (const model::ClientAccount &it : accounts) {
    for (const std::string &key : it.ApiKeys)
      Entries.emplace(hashKey(key), Entry{key, Names.size()});
    Names.push_back(it.Name);
  }
}

base::Result<std::string>
AccountDirectory::findAccount(const platform::HttpHeaders &headers) const {
  base::Result<std::string_view> key = findBearerKey(headers);
  if (!key)
    return key.as_failure();
  auto [begin, end] = Entries.equal_range(hashKey(key.value()));
  for (auto it = begin; it != end; ++it)
    if (equalInConstantTime(it->second.Key, key.value()))
      return Names[it->second.Account];
  return fail(Errc::KeyUnknown, "no account has this key");
}

} // namespace endivedoor::dispatch
