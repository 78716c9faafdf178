#include "detail/NodeRecords.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;
using platform::JsonView;

std::string encodeOwner(const OwnerEntry &owner) {
  json::array earlier;
  for (const EarlierOwner &it : owner.EarlierOwners)
    earlier.push_back(json::object{{"node", it.Owner.Node},
                                   {"instance", it.Owner.Instance},
                                   {"term", it.Term}});
  return json::serialize(json::object{{"node", owner.Owner.Node},
                                      {"instance", owner.Owner.Instance},
                                      {"term", owner.Term},
                                      {"earlier", std::move(earlier)}});
}

std::string encodeMember(const Member &member) {
  json::object ended;
  for (const auto &[shard, term] : member.EndedTerms)
    ended[std::to_string(shard)] = term;
  return json::serialize(json::object{{"instance", member.Instance},
                                      {"cores", member.Cores},
                                      {"ended", std::move(ended)}});
}

std::string encodeLayout(std::int32_t shards) {
  return json::serialize(json::object{{"shards", shards}});
}

std::string
encodeAssignment(const std::map<base::WorkerId, std::int32_t> &shards) {
  json::object to;
  for (const auto &[worker, shard] : shards)
    to[worker.str()] = shard;
  return json::serialize(json::object{{"workers", std::move(to)}});
}

base::Result<OwnerEntry> decodeOwner(const std::string &text) {
  base::Result<json::value> value = platform::parseJson(text);
  if (!value)
    return value.as_failure();
  std::string fault;
  JsonView v(value.value(), fault);
  OwnerEntry owner{{v.optionalText("node"), v.optionalText("instance")},
                   v.optionalNumber("term", 0, platform::MaxInt64),
                   {}};
  if (!fault.empty())
    return base::fail(base::Errc::ParseFailed, fault);
  const json::value *earlier =
      value.value().get_object().if_contains("earlier");
  if (earlier && earlier->is_array())
    for (const json::value &it : earlier->as_array()) {
      JsonView row(it, fault);
      // A record of an older version holds no term; any earlier one was lower
      // than that of the record.
      std::int64_t term = row.optionalNumber("term", 0, platform::MaxInt64);
      owner.EarlierOwners.push_back(
          {{row.optionalText("node"), row.optionalText("instance")},
           term > 0 ? term : owner.Term});
      if (!fault.empty())
        return base::fail(base::Errc::ParseFailed, fault);
    }
  return owner;
}

/// Parses the shard number that follows \p prefix in a key.
static std::optional<std::int32_t> parseShardNumber(const std::string &key,
                                                    const std::string &prefix) {
  if (!key.starts_with(prefix))
    return std::nullopt;
  std::int32_t shard = 0;
  const char *end = key.data() + key.size();
  auto [at, ec] = std::from_chars(key.data() + prefix.size(), end, shard);
  if (ec != std::errc() || at != end)
    return std::nullopt;
  return shard;
}

std::string DirectoryView::apply(const StoredItem &item) {
  base::Result<json::value> value = platform::parseJson(item.Value);
  if (!value)
    return value.error().message();
  std::string fault;
  JsonView v(value.value(), fault);
  if (item.Key.starts_with(keys::memberPrefix())) {
    constexpr double minCores = 0.001, maxCores = 1000;
    Member member{
        v.text("instance"), v.optionalReal("cores", minCores, maxCores, 1), {}};
    const json::object *record = value.value().if_object();
    const json::value *ended = record ? record->if_contains("ended") : nullptr;
    if (ended && ended->is_object())
      for (const auto &[shard, term] : ended->get_object())
        if (std::optional<std::int32_t> number = parseShardNumber(shard, "");
            number && term.is_int64())
          member.EndedTerms[*number] = term.get_int64();
    if (fault.empty())
      Members[item.Key.substr(keys::memberPrefix().size())] = member;
    return fault;
  }
  if (std::optional<std::int32_t> shard =
          parseShardNumber(item.Key, keys::shardEntryPrefix())) {
    base::Result<OwnerEntry> owner = decodeOwner(item.Value);
    if (!owner)
      return owner.error().message();
    if (owner.value().Owner.Node.empty()) {
      Owners.erase(*shard);
      Released.insert(*shard);
    } else {
      Released.erase(*shard);
      LastOwners[*shard] = owner.value().Owner.Node;
      Owners[*shard] = owner.value();
    }
  } else if (item.Key == keys::layout()) {
    constexpr std::int32_t maxShards = 4096;
    auto shards = static_cast<std::int32_t>(v.number("shards", 1, maxShards));
    if (fault.empty())
      Shards = shards;
  } else if (item.Key == keys::assignment()) {
    const json::object *record = value.value().if_object();
    const json::value *field =
        record ? record->if_contains("workers") : nullptr;
    const json::object *workers = field ? field->if_object() : nullptr;
    if (!workers)
      return "field workers is not an object";
    Assignment.clear();
    for (const auto &[worker, shard] : *workers)
      if (shard.is_int64())
        Assignment[base::WorkerId(std::string(worker))] =
            static_cast<std::int32_t>(shard.get_int64());
  }
  return fault;
}

void DirectoryView::remove(const std::string &key) {
  if (key.starts_with(keys::memberPrefix()))
    Members.erase(key.substr(keys::memberPrefix().size()));
  if (std::optional<std::int32_t> shard =
          parseShardNumber(key, keys::shardEntryPrefix()))
    Owners.erase(*shard);
}

} // namespace endivedoor::dispatch::detail
