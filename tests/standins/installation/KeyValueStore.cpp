#include "KeyValueStore.h"

#include "Wire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endivedoor::standin {

using installation::Fields;
using installation::fromBase64;
using installation::toBase64;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum number of changes kept for watches.
constexpr std::size_t MaxHistoryLength = 5000;
constexpr std::size_t PageSize = 200;
/// Time for which a call hangs before its connection is closed.
constexpr auto HangDuration = 8s;
constexpr auto LeaseSweepInterval = 40ms;
const std::string PathPrefix = "/endivedoor/";

/// Returns the value of a query parameter of a path, or an empty string.
static std::string queryParameter(const std::string &path,
                                  const std::string &name) {
  std::size_t at = path.find('?');
  while (at != std::string::npos) {
    std::size_t begin = at + 1;
    at = path.find('&', begin);
    std::string pair = path.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    if (pair.starts_with(name + "="))
      return platform::decodePathSegment(pair.substr(name.size() + 1));
  }
  return {};
}

KeyValueStore::KeyValueStore(asio::io_context &io, const base::Clock &clock,
                             std::uint64_t seed)
    : Io(io), Time(clock), Random(seed) {
  asio::co_spawn(Io, expireLeases(), asio::detached);
}

void KeyValueStore::write(const std::string &key, Item item) {
  auto [it, added] = Items.try_emplace(key);
  item.Revision = Revision;
  item.CreateRevision = added ? Revision : it->second.CreateRevision;
  it->second = item;
  History.push_back({key, Revision, false, item});
}

void KeyValueStore::remove(const std::string &key) {
  if (Items.erase(key) > 0)
    History.push_back({key, Revision, true, {}});
}

void KeyValueStore::wakeWatches() {
  while (History.size() > MaxHistoryLength) {
    CompactedRevision = History.front().Revision;
    History.pop_front();
  }
  for (asio::steady_timer *it : WaitingWatches)
    it->cancel();
}

void KeyValueStore::put(const std::string &key, const std::string &value) {
  ++Revision;
  write(key, {value, 0, 0, 0});
  wakeWatches();
}

void KeyValueStore::erase(const std::string &key) {
  ++Revision;
  remove(key);
  wakeWatches();
}

std::optional<std::string> KeyValueStore::find(const std::string &key) const {
  auto it = Items.find(key);
  if (it == Items.end())
    return std::nullopt;
  return it->second.Value;
}

void KeyValueStore::dropHistory() {
  CompactedRevision = Revision;
  History.clear();
  wakeWatches();
}

void KeyValueStore::setFaults(Faults faults) {
  if (ActiveFaults.OutageMode != Outage::None && !ActiveFaults.ExpireLeases)
    for (auto &[id, it] : Leases)
      it.Expires = Time.now() + it.Ttl;
  ActiveFaults = faults;
  wakeWatches();
}

Awaitable<void> KeyValueStore::expireLeases() {
  while (true) {
    co_await sleepFor(LeaseSweepInterval);
    if (ActiveFaults.OutageMode != Outage::None && !ActiveFaults.ExpireLeases)
      continue;
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (Time.now() < it->second.Expires) {
        ++it;
        continue;
      }
      removeKeysOf(it->first);
      it = Leases.erase(it);
    }
  }
}

void KeyValueStore::removeKeysOf(std::int64_t lease) {
  std::vector<std::string> keys;
  for (const auto &[key, item] : Items)
    if (item.Lease == lease)
      keys.push_back(key);
  for (const std::string &key : keys)
    erase(key);
}

void KeyValueStore::endLeases() {
  for (const auto &[id, it] : Leases)
    removeKeysOf(id);
  Leases.clear();
}

static json::object itemJson(const std::string &key, const std::string &value,
                             std::int64_t revision, std::int64_t created,
                             std::int64_t lease) {
  return {{"key", key},
          {"value", toBase64(value)},
          {"revision", revision},
          {"created", created},
          {"lease", lease}};
}

HttpResponse KeyValueStore::transact(const json::value &body) {
  Fields f(&body);
  json::array current;
  bool conditionsHold = true;
  static const json::array emptyList;
  auto list = [&](const char *name) -> const json::array & {
    const json::array *it = f.list(name);
    return it ? *it : emptyList;
  };
  for (const json::value &it : list("expected_revision")) {
    Fields row(&it);
    std::string key = row.text("key");
    auto item = Items.find(key);
    bool exists = item != Items.end();
    conditionsHold = conditionsHold && row.number("revision") ==
                                           (exists ? item->second.Revision : 0);
    if (exists)
      current.push_back(itemJson(key, item->second.Value, item->second.Revision,
                                 item->second.CreateRevision,
                                 item->second.Lease));
  }
  std::size_t entries = list("expected_revision").size() + list("puts").size() +
                        list("deletes").size();
  constexpr std::size_t maxEntries = 32;
  if (entries > maxEntries)
    return jsonResponse(400, {{"error", "too many entries"}});
  for (const json::value &it : list("puts")) {
    std::int64_t id = Fields(&it).number("lease");
    if (id != 0 && !Leases.contains(id))
      return jsonResponse(404, {{"error", "no such lease"}});
    std::string key = Fields(&it).text("key");
    if (key.starts_with("op/") || key.starts_with("servers/"))
      return jsonResponse(403, {{"error", key}});
  }
  if (!conditionsHold)
    return jsonResponse(412, json::object{{"items", std::move(current)}});
  ++Revision;
  for (const json::value &it : list("puts")) {
    Fields row(&it);
    write(row.text("key"), {fromBase64(row.text("value")).value_or(""), 0, 0,
                            row.number("lease")});
  }
  for (const json::value &it : list("deletes"))
    if (it.is_string())
      remove(std::string(it.as_string()));
  wakeWatches();
  return jsonResponse(200, json::object{{"revision", Revision}});
}

HttpResponse KeyValueStore::read(const std::string &key) const {
  auto it = Items.find(key);
  if (it == Items.end())
    return jsonResponse(404, json::object{{"as_of", Revision}});
  json::object body = itemJson(key, it->second.Value, it->second.Revision,
                               it->second.CreateRevision, it->second.Lease);
  body["as_of"] = Revision;
  return jsonResponse(200, body);
}

HttpResponse KeyValueStore::range(const std::string &prefix,
                                  const std::string &after) const {
  json::array items;
  bool hasMore = false;
  for (const auto &[key, it] : Items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after))
      continue;
    hasMore = items.size() == PageSize;
    if (hasMore)
      break;
    items.push_back(
        itemJson(key, it.Value, it.Revision, it.CreateRevision, it.Lease));
  }
  return jsonResponse(200, json::object{{"items", std::move(items)},
                                        {"has_more", hasMore},
                                        {"as_of", Revision}});
}

Awaitable<HttpResponse> KeyValueStore::watch(std::string prefix,
                                             std::int64_t after,
                                             milliseconds wait) {
  base::TimePoint end = Time.now() + wait;
  while (true) {
    if (after < CompactedRevision)
      co_return jsonResponse(410, {{"error", "history has been compacted"}});
    if (ActiveFaults.OutageMode != Outage::None)
      co_return closeWithoutResponse();
    json::array events;
    for (const Change &it : History) {
      if (it.Revision <= after || !it.Key.starts_with(prefix))
        continue;
      if (it.Deleted)
        events.push_back(json::object{
            {"key", it.Key}, {"revision", it.Revision}, {"deleted", true}});
      else
        events.push_back(itemJson(it.Key, it.NewItem.Value, it.Revision,
                                  it.NewItem.CreateRevision, it.NewItem.Lease));
    }
    if (!events.empty() || Time.now() >= end)
      co_return jsonResponse(200, json::object{{"events", std::move(events)},
                                               {"as_of", Revision}});
    asio::steady_timer timer(Io);
    timer.expires_after(end - Time.now());
    WaitingWatches.insert(&timer);
    co_await timer.async_wait(AsTuple);
    WaitingWatches.erase(&timer);
  }
}

HttpResponse KeyValueStore::handleLease(const HttpRequest &request) {
  if (request.Path == PathPrefix + "kv-lease") {
    base::Result<json::value> body = installation::parseBody(request.Body);
    if (!body)
      return jsonResponse(400, {{"error", "malformed body"}});
    milliseconds ttl(Fields(&body.value()).number("ttl_ms"));
    Leases[++LastLease] = {ttl, Time.now() + ttl};
    return jsonResponse(
        200, json::object{{"lease", LastLease}, {"ttl_ms", ttl.count()}});
  }
  std::int64_t id =
      std::atoll(request.Path.substr(request.Path.rfind('/') + 1).c_str());
  auto it = Leases.find(id);
  if (it == Leases.end())
    return jsonResponse(404, {{"error", "the lease has ended"}});
  it->second.Expires =
      request.Method == "DELETE" ? Time.now() : Time.now() + it->second.Ttl;
  return jsonResponse(200, json::object{{"ttl_ms", it->second.Ttl.count()}});
}

Awaitable<HttpResponse> KeyValueStore::serve(HttpRequest request) {
  const std::string &path = request.Path;
  if (path.starts_with(PathPrefix + "kv-txn")) {
    base::Result<json::value> body = installation::parseBody(request.Body);
    co_return body ? transact(body.value())
                   : jsonResponse(400, {{"error", "malformed body"}});
  }
  if (path.starts_with(PathPrefix + "kv-key"))
    co_return read(queryParameter(path, "key"));
  if (path.starts_with(PathPrefix + "kv-range"))
    co_return range(queryParameter(path, "prefix"),
                    queryParameter(path, "after"));
  if (path.starts_with(PathPrefix + "kv-watch"))
    co_return co_await watch(
        queryParameter(path, "prefix"),
        std::atoll(queryParameter(path, "after").c_str()),
        milliseconds(std::atoll(queryParameter(path, "wait_ms").c_str())));
  if (path.starts_with(PathPrefix + "kv-lease") ||
      path.starts_with(PathPrefix + "kv-keep"))
    co_return handleLease(request);
  co_return jsonResponse(404, {{"error", "unknown path"}});
}

/// Applies the transaction, immediately or late, and sends no response.
Awaitable<HttpResponse> KeyValueStore::applyWithoutAnswer(HttpRequest request) {
  if (ActiveFaults.CommitDelay > 0ms)
    co_await sleepFor(ActiveFaults.CommitDelay);
  co_await serve(std::move(request));
  if (ActiveFaults.CommitDelay == 0ms)
    co_await sleepFor(HangDuration);
  co_return closeWithoutResponse();
}

Awaitable<HttpResponse> KeyValueStore::handle(HttpRequest request) {
  if (request.Path.starts_with(PathPrefix)) {
    std::string kind = request.Path.substr(PathPrefix.size());
    ++CallCounts[kind.substr(0, kind.find_first_of("?/"))];
  }
  if (ActiveFaults.OutageMode == Outage::Hang) {
    co_await sleepFor(HangDuration);
    co_return closeWithoutResponse();
  }
  if (ActiveFaults.OutageMode == Outage::Busy)
    co_return jsonResponse(503, {{"error", "busy"}});
  if (ActiveFaults.OutageMode == Outage::Reset)
    co_return closeWithoutResponse();
  if (ActiveFaults.AnswerDelay > 0ms)
    co_await sleepFor(ActiveFaults.AnswerDelay);
  std::bernoulli_distribution lost(ActiveFaults.LostAnswerRate);
  if (request.Path.starts_with(PathPrefix + "kv-txn") && lost(Random))
    co_return co_await applyWithoutAnswer(std::move(request));
  co_return co_await serve(std::move(request));
}

} // namespace endivedoor::standin
