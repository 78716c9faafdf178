/// \file
/// Spreading of configurations without sockets.
#ifndef ENDIVEDOOR_PEER_DETAIL_CONFIGDISTRIBUTOR_H
#define ENDIVEDOOR_PEER_DETAIL_CONFIGDISTRIBUTOR_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/peer/Member.h"
#include "endivedoor/peer/detail/Codec.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::peer::detail {

/// A document that is shared by all messages that carry it.
using SharedDocument = std::shared_ptr<const ConfigDocument>;

/// A message to send: a request if there is no document.
struct ConfigMessage {
  std::string To;
  SharedDocument Document;
};

/// Decides which configurations to push, to pass on, to ask for and to answer
/// with. Versions in force only grow.
class ConfigDistributor {
public:
  using PeerProvider = std::function<std::vector<Member>()>;

  /// \param zone own zone.
  /// \param members returns the current peers, without this daemon.
  ConfigDistributor(base::ZoneId zone, PeerProvider getPeers)
      : Zone(std::move(zone)), GetPeers(std::move(getPeers)) {}

  /// A version came into force here. Cost: one look at each peer.
  std::vector<ConfigMessage> publish(std::uint64_t version, std::string json,
                                     base::TimePoint now);

  struct ReceiveResult {
    /// The document is new and goes to the daemon.
    bool IsNew = false;
    std::vector<ConfigMessage> Messages;
  };
  /// A document came from a peer.
  ReceiveResult receive(const std::string &from, const ConfigDocument &document,
                        base::TimePoint now);

  /// A peer asks for a version above the one it has.
  std::vector<ConfigMessage> answerRequest(const std::string &from,
                                           const ConfigRequest &request,
                                           base::TimePoint now);

  /// Asks for a newer version if a peer has had one for some time.
  std::vector<ConfigMessage> requestNewer(base::TimePoint now);

  /// The last document for \p to was not sent, so it may be sent again at once.
  void sendFailed(const std::string &to) { LastSent.erase(to); }

  /// Version in force here; 0 if none.
  std::uint64_t activeVersion() const { return ActiveVersion; }

  /// A push usually arrives within this time, so asking earlier would only
  /// double the traffic.
  static constexpr std::chrono::milliseconds PullDelay{150};
  /// Time after which an unanswered request is repeated to another peer, and an
  /// undelivered document may be sent again.
  static constexpr std::chrono::milliseconds RetryDelay{1000};

private:
  bool tryRecordSend(const Member &to, std::uint64_t version,
                     base::TimePoint now);
  std::vector<ConfigMessage> sendToZone(const SharedDocument &document,
                                        const std::string &except,
                                        base::TimePoint now);
  std::vector<ConfigMessage> sendToRelays(const SharedDocument &document,
                                          base::TimePoint now);
  std::optional<Member> choosePullSource();
  /// Forgets a document that did not come into force, so that one with a wrong
  /// version does not keep out those that follow.
  void expireReceived(base::TimePoint now);

  base::ZoneId Zone;
  PeerProvider GetPeers;
  std::uint64_t ActiveVersion = 0;
  SharedDocument ActiveDocument;
  /// Highest version that a peer sent, and when.
  std::uint64_t ReceivedVersion = 0;
  base::TimePoint ReceivedAt;
  struct Sent {
    std::uint64_t Version = 0;
    base::TimePoint At;
  };
  /// Last document sent to each peer, which bounds what waits for a slow one.
  std::map<std::string, Sent> LastSent;
  std::optional<base::TimePoint> NextPullAt;
  /// Peer of the last request, so that a retry asks another.
  std::string LastRequestedPeer;
};

} // namespace endivedoor::peer::detail

#endif
