#include "endivedoor/peer/detail/ConfigSpreader.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace endivedoor::peer::detail {

bool ConfigSpreader::maySend(const Member &to, std::uint64_t version,
                             base::TimePoint now) {
  if (to.State == MemberState::Dead || to.ConfigVersion >= version)
    return false;
  Sent &last = LastSent[to.Name];
  if (last.Version >= version && now - last.At < RetryAfter)
    return false;
  last = {version, now};
  return true;
}

std::vector<ConfigSend>
ConfigSpreader::sendToZone(const SharedDocument &document,
                           const std::string &except, base::TimePoint now) {
  std::vector<ConfigSend> sends;
  for (const Member &it : Peers())
    if (it.Zone == Zone && it.Name != except &&
        maySend(it, document->Version, now))
      sends.push_back({it.Name, document});
  return sends;
}

std::vector<ConfigSend>
ConfigSpreader::sendToRelays(const SharedDocument &document,
                             base::TimePoint now) {
  std::vector<ConfigSend> sends;
  std::set<base::ZoneId> served{Zone};
  for (const Member &it : Peers()) {
    bool relays =
        it.State == MemberState::Live || it.State == MemberState::Joining;
    if (relays && !served.contains(it.Zone) &&
        maySend(it, document->Version, now)) {
      served.insert(it.Zone);
      sends.push_back({it.Name, document});
    }
  }
  return sends;
}

std::vector<ConfigSend> ConfigSpreader::publish(std::uint64_t version,
                                                std::string json,
                                                base::TimePoint now) {
  if (version <= InForce)
    return {};
  expireOffer(now);
  InForce = version;
  PullAt.reset();
  Latest = std::make_shared<const ConfigDocument>(
      ConfigDocument{version, std::move(json), false});
  // The daemon that accepted the version spreads it; the others only announce
  // it in their heartbeats.
  if (version <= Offered)
    return {};
  std::vector<ConfigSend> sends = sendToZone(Latest, "", now);
  ConfigDocument forward = *Latest;
  forward.Forward = true;
  std::vector<ConfigSend> relays = sendToRelays(
      std::make_shared<const ConfigDocument>(std::move(forward)), now);
  sends.insert(sends.end(), relays.begin(), relays.end());
  return sends;
}

ConfigSpreader::Delivery ConfigSpreader::receive(const std::string &from,
                                                 const ConfigDocument &document,
                                                 base::TimePoint now) {
  expireOffer(now);
  if (document.Version <= std::max(InForce, Offered))
    return {};
  Offered = document.Version;
  OfferedAt = now;
  Delivery delivery{true, {}};
  if (document.Forward) {
    ConfigDocument copy = document;
    copy.Forward = false;
    delivery.Sends = sendToZone(
        std::make_shared<const ConfigDocument>(std::move(copy)), from, now);
  }
  return delivery;
}

std::vector<ConfigSend> ConfigSpreader::answer(const std::string &from,
                                               const ConfigRequest &request,
                                               base::TimePoint now) {
  if (InForce <= request.HaveVersion)
    return {};
  for (const Member &it : Peers())
    if (it.Name == from && maySend(it, InForce, now))
      return {{from, Latest}};
  return {};
}

std::optional<Member> ConfigSpreader::newestPeer() {
  std::optional<Member> best;
  auto rank = [&](const Member &it) {
    return std::tuple(it.Name != AskedLast, it.State != MemberState::Suspected,
                      it.Zone == Zone, it.ConfigVersion);
  };
  for (const Member &it : Peers())
    if (it.State != MemberState::Dead && it.ConfigVersion > InForce &&
        (!best || rank(it) > rank(*best)))
      best = it;
  return best;
}

void ConfigSpreader::expireOffer(base::TimePoint now) {
  if (Offered > InForce && now - OfferedAt >= RetryAfter)
    Offered = InForce;
}

std::vector<ConfigSend> ConfigSpreader::advance(base::TimePoint now) {
  std::optional<Member> peer = newestPeer();
  expireOffer(now);
  // A document that arrived is given time to come into force.
  if (!peer || Offered > InForce) {
    PullAt.reset();
    return {};
  }
  if (!PullAt)
    PullAt = now + PullDelay;
  if (now < *PullAt)
    return {};
  PullAt = now + RetryAfter;
  AskedLast = peer->Name;
  return {{peer->Name, nullptr}};
}

} // namespace endivedoor::peer::detail
