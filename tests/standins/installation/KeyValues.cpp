#include "KeyValues.h"

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

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
/// Changes that are kept for watches.
constexpr std::size_t HistoryLength = 5000;
constexpr std::size_t ItemsOfPage = 200;
/// How long a call hangs before its connection is closed.
constexpr auto HangTime = 8s;
constexpr auto LeaseSweep = 40ms;
const std::string Root = "/endivedoor/";

/// Returns the value of a name in the query of a path.
static std::string query(const std::string &path, const std::string &name) {
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

KeyValues::KeyValues(asio::io_context &io, const base::Clock &clock,
                     std::uint64_t seed)
    : Io(io), Time(clock), Random(seed) {
  asio::co_spawn(Io, expireLeases(), asio::detached);
}

void KeyValues::write(const std::string &key, Item item) {
  auto [it, added] = Items.try_emplace(key);
  item.Revision = Revision;
  item.Created = added ? Revision : it->second.Created;
  it->second = item;
  History.push_back({key, Revision, false, item});
}

void KeyValues::remove(const std::string &key) {
  if (Items.erase(key) > 0)
    History.push_back({key, Revision, true, {}});
}

void KeyValues::wake() {
  while (History.size() > HistoryLength) {
    Compacted = History.front().Revision;
    History.pop_front();
  }
  for (asio::steady_timer *it : Waiting)
    it->cancel();
}

void KeyValues::put(const std::string &key, const std::string &value) {
  ++Revision;
  write(key, {value, 0, 0, 0});
  wake();
}

void KeyValues::erase(const std::string &key) {
  ++Revision;
  remove(key);
  wake();
}

void KeyValues::dropHistory() {
  Compacted = Revision;
  History.clear();
  wake();
}

void KeyValues::setFaults(Faults faults) {
  if (Current.Down != Outage::None && !Current.Lapse)
    for (auto &[id, it] : Leases)
      it.Expires = Time.now() + it.Ttl;
  Current = faults;
  wake();
}

Awaitable<void> KeyValues::expireLeases() {
  while (true) {
    co_await pause(LeaseSweep);
    if (Current.Down != Outage::None && !Current.Lapse)
      continue;
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (Time.now() < it->second.Expires) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto &[key, item] : Items)
        if (item.Lease == it->first)
          keys.push_back(key);
      for (const std::string &key : keys)
        erase(key);
      it = Leases.erase(it);
    }
  }
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

HttpResponse KeyValues::transact(const json::value &body) {
  Fields f(&body);
  json::array current;
  bool holds = true;
  static const json::array none;
  auto list = [&](const char *name) -> const json::array & {
    const json::array *it = f.list(name);
    return it ? *it : none;
  };
  for (const json::value &it : list("expected_revision")) {
    Fields row(&it);
    std::string key = row.text("key");
    auto item = Items.find(key);
    bool there = item != Items.end();
    holds =
        holds && row.number("revision") == (there ? item->second.Revision : 0);
    if (there)
      current.push_back(itemJson(key, item->second.Value, item->second.Revision,
                                 item->second.Created, item->second.Lease));
  }
  std::size_t entries = list("expected_revision").size() + list("puts").size() +
                        list("deletes").size();
  constexpr std::size_t maxEntries = 32;
  if (entries > maxEntries)
    return jsonAnswer(400, {{"error", "too many entries"}});
  for (const json::value &it : list("puts")) {
    std::int64_t id = Fields(&it).number("lease");
    if (id != 0 && !Leases.contains(id))
      return jsonAnswer(404, {{"error", "no such lease"}});
    std::string key = Fields(&it).text("key");
    if (key.starts_with("op/") || key.starts_with("servers/"))
      return jsonAnswer(403, {{"error", key}});
  }
  if (!holds)
    return jsonAnswer(412, json::object{{"items", std::move(current)}});
  ++Revision;
  for (const json::value &it : list("puts")) {
    Fields row(&it);
    write(row.text("key"), {fromBase64(row.text("value")).value_or(""), 0, 0,
                            row.number("lease")});
  }
  for (const json::value &it : list("deletes"))
    if (it.is_string())
      remove(std::string(it.as_string()));
  wake();
  return jsonAnswer(200, json::object{{"revision", Revision}});
}

HttpResponse KeyValues::read(const std::string &key) const {
  auto it = Items.find(key);
  if (it == Items.end())
    return jsonAnswer(404, json::object{{"as_of", Revision}});
  json::object body = itemJson(key, it->second.Value, it->second.Revision,
                               it->second.Created, it->second.Lease);
  body["as_of"] = Revision;
  return jsonAnswer(200, body);
}

HttpResponse KeyValues::range(const std::string &prefix,
                              const std::string &after) const {
  json::array items;
  bool more = false;
  for (const auto &[key, it] : Items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after))
      continue;
    more = items.size() == ItemsOfPage;
    if (more)
      break;
    items.push_back(itemJson(key, it.Value, it.Revision, it.Created, it.Lease));
  }
  return jsonAnswer(200, json::object{{"items", std::move(items)},
                                      {"has_more", more},
                                      {"as_of", Revision}});
}

Awaitable<HttpResponse> KeyValues::watch(std::string prefix, std::int64_t after,
                                         milliseconds wait) {
  base::TimePoint end = Time.now() + wait;
  while (true) {
    if (after < Compacted)
      co_return jsonAnswer(410, {{"error", "history is gone"}});
    if (Current.Down != Outage::None)
      co_return noAnswer();
    json::array events;
    for (const Change &it : History) {
      if (it.Revision <= after || !it.Key.starts_with(prefix))
        continue;
      if (it.Deleted)
        events.push_back(json::object{
            {"key", it.Key}, {"revision", it.Revision}, {"deleted", true}});
      else
        events.push_back(itemJson(it.Key, it.Written.Value, it.Revision,
                                  it.Written.Created, it.Written.Lease));
    }
    if (!events.empty() || Time.now() >= end)
      co_return jsonAnswer(200, json::object{{"events", std::move(events)},
                                             {"as_of", Revision}});
    asio::steady_timer timer(Io);
    timer.expires_after(end - Time.now());
    Waiting.insert(&timer);
    co_await timer.async_wait(Tuple);
    Waiting.erase(&timer);
  }
}

HttpResponse KeyValues::lease(const HttpRequest &request) {
  if (request.Path == Root + "kv-lease") {
    base::Result<json::value> body = installation::parseBody(request.Body);
    if (!body)
      return jsonAnswer(400, {{"error", "body"}});
    milliseconds ttl(Fields(&body.value()).number("ttl_ms"));
    Leases[++LastLease] = {ttl, Time.now() + ttl};
    return jsonAnswer(
        200, json::object{{"lease", LastLease}, {"ttl_ms", ttl.count()}});
  }
  std::int64_t id =
      std::atoll(request.Path.substr(request.Path.rfind('/') + 1).c_str());
  auto it = Leases.find(id);
  if (it == Leases.end())
    return jsonAnswer(404, {{"error", "the lease has ended"}});
  it->second.Expires =
      request.Method == "DELETE" ? Time.now() : Time.now() + it->second.Ttl;
  return jsonAnswer(200, json::object{{"ttl_ms", it->second.Ttl.count()}});
}

Awaitable<HttpResponse> KeyValues::serve(HttpRequest request) {
  const std::string &path = request.Path;
  if (path.starts_with(Root + "kv-txn")) {
    base::Result<json::value> body = installation::parseBody(request.Body);
    co_return body ? transact(body.value())
                   : jsonAnswer(400, {{"error", "body"}});
  }
  if (path.starts_with(Root + "kv-key"))
    co_return read(query(path, "key"));
  if (path.starts_with(Root + "kv-range"))
    co_return range(query(path, "prefix"), query(path, "after"));
  if (path.starts_with(Root + "kv-watch"))
    co_return co_await watch(
        query(path, "prefix"), std::atoll(query(path, "after").c_str()),
        milliseconds(std::atoll(query(path, "wait_ms").c_str())));
  if (path.starts_with(Root + "kv-lease") || path.starts_with(Root + "kv-keep"))
    co_return lease(request);
  co_return jsonAnswer(404, {{"error", "path"}});
}

/// The transaction takes effect, at once or late, and is not answered.
Awaitable<HttpResponse> KeyValues::loseAnswer(HttpRequest request) {
  if (Current.Late > 0ms)
    co_await pause(Current.Late);
  co_await serve(std::move(request));
  if (Current.Late == 0ms)
    co_await pause(HangTime);
  co_return noAnswer();
}

Awaitable<HttpResponse> KeyValues::handle(HttpRequest request) {
  if (request.Path.starts_with(Root)) {
    std::string kind = request.Path.substr(Root.size());
    ++Calls[kind.substr(0, kind.find_first_of("?/"))];
  }
  if (Current.Down == Outage::Hang) {
    co_await pause(HangTime);
    co_return noAnswer();
  }
  if (Current.Down == Outage::Busy)
    co_return jsonAnswer(503, {{"error", "busy"}});
  if (Current.Down == Outage::Reset)
    co_return noAnswer();
  if (Current.Delay > 0ms)
    co_await pause(Current.Delay);
  std::bernoulli_distribution lost(Current.Lost);
  if (request.Path.starts_with(Root + "kv-txn") && lost(Random))
    co_return co_await loseAnswer(std::move(request));
  co_return co_await serve(std::move(request));
}

} // namespace endivedoor::standin
