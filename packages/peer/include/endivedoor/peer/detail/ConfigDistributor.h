/// \file
/// Protocol logic for distributing configurations, independent of sockets.
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

/// A document that is shared by all messages that contain it.
using SharedDocument = std::shared_ptr<const ConfigDocument>;

/// A message to send; a request for a newer document if Document is null.
struct ConfigMessage {
  std::string To;
  SharedDocument Document;
};

/// Decides which configurations to push, forward and request, and how to answer
/// requests. The active version never decreases.
class ConfigDistributor {
public:
  using PeerProvider = std::function<std::vector<Member>()>;

  /// \param zone own zone.
  /// \param getPeers returns the current peers, without this daemon.
  ConfigDistributor(base::ZoneId zone, PeerProvider getPeers)
      : Zone(std::move(zone)), GetPeers(std::move(getPeers)) {}

  /// Records that a version became active on this daemon. \returns the messages
  /// to send. Cost: linear in the number of peers.
  std::vector<ConfigMessage> publish(std::uint64_t version, std::string json,
                                     base::TimePoint now);

  struct ReceiveResult {
    /// The document is new and must be passed to the daemon.
    bool IsNew = false;
    std::vector<ConfigMessage> Messages;
  };
  /// Handles a document received from a peer.
  ReceiveResult receive(const std::string &from, const ConfigDocument &document,
                        base::TimePoint now);

  /// Handles the request of a peer for a version newer than the one it has.
  std::vector<ConfigMessage> answerRequest(const std::string &from,
                                           const ConfigRequest &request,
                                           base::TimePoint now);

  /// Requests a newer version if a peer has had one for PullDelay.
  std::vector<ConfigMessage> requestNewer(base::TimePoint now);

  /// Records that the last document for \p to could not be sent, so that it can
  /// be sent again immediately.
  void sendFailed(const std::string &to) { LastSent.erase(to); }

  /// Returns the version that is active on this daemon; 0 if none.
  std::uint64_t activeVersion() const { return ActiveVersion; }

  /// A push usually arrives within this time, so an earlier request would only
  /// double the traffic.
  static constexpr std::chrono::milliseconds PullDelay{150};
  /// Time after which an unanswered request is sent to another peer and an
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
  /// Discards the version of a received document that did not become active, so
  /// that a document with a wrong version does not block later ones.
  void expireReceived(base::TimePoint now);

  base::ZoneId Zone;
  PeerProvider GetPeers;
  std::uint64_t ActiveVersion = 0;
  SharedDocument ActiveDocument;
  /// Highest version received from a peer, and the time it was received.
  std::uint64_t ReceivedVersion = 0;
  base::TimePoint ReceivedAt;
  struct Sent {
    std::uint64_t Version = 0;
    base::TimePoint At;
  };
  /// Last document sent to each peer; limits the number of documents that are
  /// queued for a slow peer.
  std::map<std::string, Sent> LastSent;
  std::optional<base::TimePoint> NextPullAt;
  /// Used to send a retry to a different peer.
  std::string LastRequestedPeer;
};

} // namespace endivedoor::peer::detail

#endif
