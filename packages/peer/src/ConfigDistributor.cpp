#include "endivedoor/peer/detail/ConfigDistributor.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace endivedoor::peer::detail {

bool ConfigDistributor::tryRecordSend(const Member &to, std::uint64_t version,
                                      base::TimePoint now) {
  if (to.State == MemberState::Dead || to.ConfigVersion >= version)
    return false;
  Sent &last = LastSent[to.Name];
  if (last.Version >= version && now - last.At < RetryDelay)
    return false;
  last = {version, now};
  return true;
}

std::vector<ConfigMessage>
ConfigDistributor::sendToZone(const SharedDocument &document,
                              const std::string &except, base::TimePoint now) {
  std::vector<ConfigMessage> messages;
  for (const Member &it : GetPeers())
    if (it.Zone == Zone && it.Name != except &&
        tryRecordSend(it, document->Version, now))
      messages.push_back({it.Name, document});
  return messages;
}

std::vector<ConfigMessage>
ConfigDistributor::sendToRelays(const SharedDocument &document,
                                base::TimePoint now) {
  std::vector<ConfigMessage> messages;
  std::set<base::ZoneId> coveredZones{Zone};
  for (const Member &it : GetPeers()) {
    bool canRelay =
        it.State == MemberState::Live || it.State == MemberState::Joining;
    if (canRelay && !coveredZones.contains(it.Zone) &&
        tryRecordSend(it, document->Version, now)) {
      coveredZones.insert(it.Zone);
      messages.push_back({it.Name, document});
    }
  }
  return messages;
}

std::vector<ConfigMessage> ConfigDistributor::publish(std::uint64_t version,
                                                      std::string json,
                                                      base::TimePoint now) {
  if (version <= ActiveVersion)
    return {};
  expireReceived(now);
  ActiveVersion = version;
  NextPullAt.reset();
  ActiveDocument = std::make_shared<const ConfigDocument>(
      ConfigDocument{version, std::move(json), false});
  // A version received from a peer is not pushed again: the daemon that first
  // accepted it does that. The others only announce it in their heartbeats.
  if (version <= ReceivedVersion)
    return {};
  std::vector<ConfigMessage> messages = sendToZone(ActiveDocument, "", now);
  ConfigDocument forward = *ActiveDocument;
  forward.Forward = true;
  std::vector<ConfigMessage> relays = sendToRelays(
      std::make_shared<const ConfigDocument>(std::move(forward)), now);
  messages.insert(messages.end(), relays.begin(), relays.end());
  return messages;
}

ConfigDistributor::ReceiveResult
ConfigDistributor::receive(const std::string &from,
                           const ConfigDocument &document,
                           base::TimePoint now) {
  expireReceived(now);
  if (document.Version <= std::max(ActiveVersion, ReceivedVersion))
    return {};
  ReceivedVersion = document.Version;
  ReceivedAt = now;
  ReceiveResult result{true, {}};
  if (document.Forward) {
    ConfigDocument copy = document;
    copy.Forward = false;
    result.Messages = sendToZone(
        std::make_shared<const ConfigDocument>(std::move(copy)), from, now);
  }
  return result;
}

std::vector<ConfigMessage>
ConfigDistributor::answerRequest(const std::string &from,
                                 const ConfigRequest &request,
                                 base::TimePoint now) {
  if (ActiveVersion <= request.HaveVersion)
    return {};
  for (const Member &it : GetPeers())
    if (it.Name == from && tryRecordSend(it, ActiveVersion, now))
      return {{from, ActiveDocument}};
  return {};
}

std::optional<Member> ConfigDistributor::choosePullSource() {
  std::optional<Member> best;
  auto rank = [&](const Member &it) {
    return std::tuple(it.Name != LastRequestedPeer,
                      it.State != MemberState::Suspected, it.Zone == Zone,
                      it.ConfigVersion);
  };
  for (const Member &it : GetPeers())
    if (it.State != MemberState::Dead && it.ConfigVersion > ActiveVersion &&
        (!best || rank(it) > rank(*best)))
      best = it;
  return best;
}

void ConfigDistributor::expireReceived(base::TimePoint now) {
  if (ReceivedVersion > ActiveVersion && now - ReceivedAt >= RetryDelay)
    ReceivedVersion = ActiveVersion;
}

std::vector<ConfigMessage>
ConfigDistributor::requestNewer(base::TimePoint now) {
  std::optional<Member> peer = choosePullSource();
  expireReceived(now);
  // A document that was received is given time to become active.
  if (!peer || ReceivedVersion > ActiveVersion) {
    NextPullAt.reset();
    return {};
  }
  if (!NextPullAt)
    NextPullAt = now + PullDelay;
  if (now < *NextPullAt)
    return {};
  NextPullAt = now + RetryDelay;
  LastRequestedPeer = peer->Name;
  return {{peer->Name, nullptr}};
}

} // namespace endivedoor::peer::detail
