#include "detail/AccountRecords.h"

#include "endivedoor/dispatch/Records.h"
#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <charconv>

namespace endivedoor::dispatch {

namespace json = boost::json;
using base::Errc;
using base::fail;
using policy::AccountAmounts;

/// Largest number of shards in a record.
constexpr std::size_t MaxShards = 4096;

namespace keys {

std::string accountPrefix() { return "endivedoor/a/"; }

std::string account(const std::string &name) {
  constexpr char digits[] = "0123456789abcdef";
  std::string key = accountPrefix();
  for (char it : name) {
    auto c = static_cast<unsigned char>(it);
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    if (plain) {
      key += it;
      continue;
    }
    key += '%';
    key += digits[c >> 4U];
    key += digits[c & 15U];
  }
  return key;
}

} // namespace keys

namespace detail {

static void amountsToJson(json::object &to, const char *key,
                          const AccountAmounts &amounts) {
  if (!amounts.isZero())
    to[key] = json::object{{"cpu", amounts.Cpu},
                           {"memory", amounts.Memory},
                           {"accelerators", amounts.Accelerators}};
}

std::string encodeShares(const policy::ShareRecord &record) {
  json::array shares;
  for (const auto &[shard, entry] : record) {
    json::object to;
    to["shard"] = shard;
    amountsToJson(to, "held", entry.Held);
    amountsToJson(to, "wanted", entry.Wanted);
    shares.push_back(std::move(to));
  }
  return json::serialize(json::object{{"shares", std::move(shares)}});
}

static AccountAmounts amountsFromJson(const platform::JsonView &v,
                                      const char *key) {
  AccountAmounts amounts;
  if (!v.has(key))
    return amounts;
  platform::JsonView from = v.object(key);
  amounts.Cpu = from.optionalNumber("cpu", 0, policy::MaxShareAmount);
  amounts.Memory = from.optionalNumber("memory", 0, policy::MaxShareAmount);
  amounts.Accelerators =
      from.optionalNumber("accelerators", 0, policy::MaxShareAmount);
  return amounts;
}

base::Result<policy::ShareRecord> decodeShares(const std::string &text) {
  if (text.size() > limits::MaxRecordBytes)
    return fail(Errc::ParseFailed, "share record is too large");
  base::Result<json::value> value = platform::parseJson(text);
  if (!value)
    return value.as_failure();
  std::string fault;
  platform::JsonView v(value.value(), fault);
  policy::ShareRecord record;
  for (const platform::JsonView &it : v.list("shares", MaxShards)) {
    auto shard = static_cast<std::int32_t>(
        it.number("shard", 0, static_cast<std::int64_t>(MaxShards) - 1));
    policy::ShareEntry entry{amountsFromJson(it, "held"),
                             amountsFromJson(it, "wanted")};
    if (!record.emplace(shard, entry).second)
      it.setError("shard", "occurs twice");
  }
  if (!v.has("shares"))
    v.setError("shares", "is missing");
  if (!v.ok())
    return fail(Errc::ParseFailed, fault);
  return record;
}

base::Result<std::string> accountOfKey(std::string_view key) {
  std::string prefix = keys::accountPrefix();
  if (!key.starts_with(prefix))
    return fail(Errc::ParseFailed, "not a key of an account");
  std::string name;
  for (std::size_t i = prefix.size(); i < key.size(); ++i) {
    if (key[i] != '%') {
      name += key[i];
      continue;
    }
    unsigned code = 0;
    std::string_view digits = key.substr(i + 1, 2);
    auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (digits.size() != 2 || ec != std::errc() ||
        end != digits.data() + digits.size())
      return fail(Errc::ParseFailed, "malformed escape in an account's key");
    name += static_cast<char>(static_cast<unsigned char>(code));
    i += 2;
  }
  return name;
}

} // namespace detail

} // namespace endivedoor::dispatch
