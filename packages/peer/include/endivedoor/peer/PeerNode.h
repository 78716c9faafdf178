/// \file
/// Membership and distribution of configurations between daemons.
#ifndef ENDIVEDOOR_PEER_PEERNODE_H
#define ENDIVEDOOR_PEER_PEERNODE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Error.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/base/HybridClock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/peer/Counters.h"
#include "endivedoor/peer/Member.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endivedoor::peer {

/// Exchanges heartbeats and configurations with the peers in the settings.
///
/// Not thread-safe: use it only on the thread of its executor.
class PeerNode {
public:
  /// \param executor runs all operations and handlers.
  /// \param settings own name and zone, peers, limits and timing; copied.
  /// \param hybridClock provides the timestamps of sent messages and is
  /// advanced by received ones.
  /// \param clock measures the time since the last message of each peer.
  /// \param instance identifies this run of the daemon.
  PeerNode(boost::asio::any_io_executor executor,
           const model::Settings &settings, base::HybridClock &hybridClock,
           const base::Clock &clock, base::EventLog &events,
           base::InstanceId instance);
  ~PeerNode();

  /// Binds the peer address and starts to send heartbeats.
  ///
  /// Errors: PeerSocketFailed (the address cannot be bound, or ZeroMQ cannot
  /// create a socket).
  base::Result<void> start();

  /// Closes all connections. Queued messages that are not sent within 100 ms
  /// are lost; call setState(Leaving) before.
  void stop();

  /// Sets the state and announces it immediately. States only advance in the
  /// order Joining, Live, Leaving; any other value is ignored.
  void setState(MemberState state);

  /// Returns this daemon, followed by every peer in the order of the settings.
  std::vector<Member> members() const;

  /// Announces to the peers that a configuration is active on this daemon.
  ///
  /// Must be called for every version that becomes active, regardless of its
  /// source. A version that no peer has sent is pushed immediately to the peers
  /// in this zone and to one joining or live peer in each other zone, which
  /// forwards it within its zone. A version that is not higher than the last
  /// one is ignored.
  ///
  /// \param json the document; a JSON object whose "version" is \p version.
  /// Cost: one serialization for each of the two forms of the document (to be
  /// forwarded or not); each buffer is shared by all its recipients.
  void publishConfiguration(std::uint64_t version, std::string json);

  /// Sets the handler of documents received from peers. It is called only for
  /// versions higher than the active one and those already delivered. A version
  /// that is not published within a second of its delivery is requested and
  /// delivered again.
  void onConfiguration(std::function<void(std::string json)> handler);

  const Counters &counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::peer

#endif
