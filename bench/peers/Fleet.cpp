#include "Fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <sys/resource.h>

namespace endivedoor::bench {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

struct Fleet::Daemon {
  Daemon(asio::io_context &io, const base::Clock &clock)
      : Client(io.get_executor(), clock,
               platform::HttpLimits{16 * 1024, 4 << 20}) {}
  model::PeerSettings Self;
  /// Second address, for the relay in the own zone.
  model::Address Relay;
  std::unique_ptr<peer::PeerNode> Node;
  /// Relays configurations within the zone in mode PollRelay. Separate from
  /// Node, so that Node's push is not involved; its heartbeats, every 2 s, are
  /// excluded from the byte counts.
  std::unique_ptr<peer::PeerNode> ZoneNode;
  platform::HttpClient Client;
  std::uint64_t Version = 0;
};

namespace {

/// Returns free ports; all are held until the last one is found.
std::vector<std::uint16_t> freePorts(std::size_t n) {
  asio::io_context io;
  std::vector<asio::ip::tcp::acceptor> held;
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < n; ++i) {
    held.emplace_back(
        io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    ports.push_back(held.back().local_endpoint().port());
  }
  return ports;
}

/// Adds ZeroMQ's frame header of 2 bytes, or 9 for a long frame.
std::uint64_t framedBytes(const peer::Traffic &traffic, std::uint64_t header) {
  return traffic.Bytes + traffic.Messages * header;
}

double processSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval &t) {
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::uint64_t versionIn(const std::string &text) {
  return json::parse(text).at("version").to_number<std::uint64_t>();
}

} // namespace

Fleet::Fleet(DistributionMode mode, std::size_t nodes, std::size_t zones,
             std::size_t documentBytes, std::uint64_t seed)
    : Mode(mode), Nodes(nodes), Zones(zones), DocumentBytes(documentBytes),
      Seed(seed) {
  std::vector<std::uint16_t> ports = freePorts(2 * nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    Daemons.push_back(std::make_unique<Daemon>(Io, Clock));
    Daemon &it = *Daemons.back();
    it.Self = {"daemon-" + std::to_string(i),
               base::ZoneId("zone-" + std::to_string(i % zones)),
               {"127.0.0.1", ports[2 * i]},
               {}};
    it.Relay = {"127.0.0.1", ports[2 * i + 1]};
  }
}

Fleet::~Fleet() = default;

model::Settings Fleet::settingsOf(std::size_t i, bool ownZoneOnly) const {
  model::Settings settings;
  const model::PeerSettings &self = Daemons[i]->Self;
  settings.Name = self.Name;
  settings.Zone = self.Zone;
  settings.Peer = ownZoneOnly ? Daemons[i]->Relay : self.Peer;
  if (ownZoneOnly) {
    settings.Timing.Heartbeat = 2s;
    settings.Timing.PeerSuspected = 20s;
    settings.Timing.PeerDead = 30s;
  }
  for (const auto &it : Daemons) {
    if (it->Self.Name == self.Name ||
        (ownZoneOnly && it->Self.Zone != self.Zone))
      continue;
    settings.Peers.push_back(it->Self);
    if (ownZoneOnly)
      settings.Peers.back().Peer = it->Relay;
  }
  return settings;
}

std::unique_ptr<peer::PeerNode> Fleet::makeNode(std::size_t i,
                                                bool ownZoneOnly) {
  auto node = std::make_unique<peer::PeerNode>(
      Io.get_executor(), settingsOf(i, ownZoneOnly), Hybrid, Clock, Events,
      base::InstanceId("run-" + std::to_string(i)));
  node->onConfiguration(
      [this, i](std::string text) { onApplied(i, versionIn(text), text); });
  return node;
}

bool Fleet::start() {
  for (std::size_t i = 0; i < Nodes; ++i) {
    Daemon &it = *Daemons[i];
    it.Node = makeNode(i, false);
    if (Mode == DistributionMode::PollRelay)
      it.ZoneNode = makeNode(i, true);
    if (!it.Node->start() || (it.ZoneNode && !it.ZoneNode->start()))
      return false;
    it.Node->setState(peer::MemberState::Live);
    if (it.ZoneNode)
      it.ZoneNode->setState(peer::MemberState::Live);
    bool polls = Mode == DistributionMode::PollAll ||
                 (Mode == DistributionMode::PollRelay && i < Zones);
    if (polls)
      asio::co_spawn(Io, poll(i), asio::detached);
  }
  auto ready = [](const std::unique_ptr<peer::PeerNode> &node) {
    if (!node)
      return true;
    for (const peer::Member &it : node->members())
      if (it.State != peer::MemberState::Live)
        return false;
    return true;
  };
  auto end = Clock.now() + 60s;
  while (Clock.now() < end) {
    Io.run_for(200ms);
    if (std::all_of(Daemons.begin(), Daemons.end(), [&](const auto &it) {
          return ready(it->Node) && ready(it->ZoneNode);
        }))
      return true;
  }
  return false;
}

void Fleet::run(std::chrono::milliseconds time,
                std::chrono::milliseconds interval) {
  auto end = Clock.now() + time;
  auto next = Clock.now() + interval;
  while (Clock.now() < end) {
    bool changes = interval > 0ms;
    auto until = changes ? std::min(end, next) : end;
    Io.run_for(until - Clock.now());
    if (changes && Clock.now() >= next) {
      acceptChange();
      next += interval;
    }
  }
}

void Fleet::acceptChange() {
  std::uint64_t version = Changes.size() + 1;
  // Selects the accepting daemon with a linear congruential generator, so that
  // every run makes the same choices.
  Seed = Seed * 6364136223846793005ULL + 1442695040888963407ULL;
  std::size_t i = (Seed >> 33) % Nodes;
  std::string text = json::serialize(json::object{
      {"version", version}, {"rules", std::string(DocumentBytes, 'r')}});
  Changes[version].At = Clock.now();
  Store.put(version, text);
  onApplied(i, version, text);
}

void Fleet::onApplied(std::size_t i, std::uint64_t version,
                      const std::string &text) {
  Daemon &it = *Daemons[i];
  if (version <= it.Version)
    return;
  it.Version = version;
  ++Changes[version].Daemons;
  Changes[version].Last = Clock.now();
  if (Mode == DistributionMode::Push)
    it.Node->publishConfiguration(version, text);
  // Other zones receive it from their own polling daemon.
  if (Mode == DistributionMode::PollRelay)
    it.ZoneNode->publishConfiguration(version, text);
}

asio::awaitable<void> Fleet::poll(std::size_t i) {
  asio::steady_timer timer(Io);
  // Staggers the polls of the daemons over one second.
  timer.expires_after(1000ms * (i + 1) / Nodes);
  co_await timer.async_wait(asio::use_awaitable);
  for (;;) {
    timer.expires_after(1s);
    Daemon &it = *Daemons[i];
    json::object body{
        {"compare", json::array{json::object{
                        {"key", "L2VuZGl2ZWRvb3IvY29uZmlnL2N1cnJlbnQ="},
                        {"target", "MOD"},
                        {"mod_revision", std::to_string(it.Version)}}}},
        {"failure", json::array{json::object{
                        {"request_range",
                         {{"key", "L2VuZGl2ZWRvb3IvY29uZmlnL2N1cnJlbnQ="}}}}}}};
    platform::HttpRequest request{
        "POST", "/v3/kv/txn", {}, json::serialize(body)};
    StoreBytes += wireBytes(request.Headers, request.Body, 26);
    auto response =
        co_await it.Client.send(Store.address(), std::move(request), 500ms);
    if (response) {
      StoreBytes +=
          wireBytes(response.value().Headers, response.value().Body, 17);
      json::value reply = json::parse(response.value().Body);
      if (!reply.at("succeeded").as_bool()) {
        std::string text(
            reply.at_pointer("/responses/0/response_range/kvs/0/value")
                .as_string());
        if (!text.empty())
          onApplied(i, versionIn(text), text);
      }
    }
    co_await timer.async_wait(asio::use_awaitable);
  }
}

Totals Fleet::totals() const {
  Totals out;
  for (const auto &it : Daemons) {
    out.HeartbeatBytes += framedBytes(it->Node->counters().Sent[0], 2);
    for (const peer::PeerNode *node : {it->Node.get(), it->ZoneNode.get()})
      if (node)
        out.ConfigBytes += framedBytes(node->counters().Sent[1], 2) +
                           framedBytes(node->counters().Sent[2], 9);
  }
  out.StoreBytes = StoreBytes;
  out.StoreCalls = Store.Calls;
  out.ProcessorSeconds = processSeconds() - Store.processorSeconds();
  return out;
}

std::vector<double> Fleet::propagationSeconds() const {
  std::vector<double> out;
  for (const auto &[version, it] : Changes)
    if (it.Daemons == Nodes)
      out.push_back(std::chrono::duration<double>(it.Last - it.At).count());
  std::sort(out.begin(), out.end());
  return out;
}

} // namespace endivedoor::bench
