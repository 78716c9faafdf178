/// \file
/// This daemon's part in the group of daemons: membership and configuration.
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

/// Exchanges heartbeats and configurations with the daemons of the settings.
///
/// Belongs to the thread of its executor; every call is made there.
class PeerNode {
public:
  /// \param executor runs all operations and handlers.
  /// \param settings own name and zone, peers, limits and timing; copied.
  /// \param hybrid stamps messages and is moved forward by received ones.
  /// \param clock measures silence.
  /// \param instance identifies this run of the daemon.
  PeerNode(boost::asio::any_io_executor executor,
           const model::Settings &settings, base::HybridClock &hybridClock,
           const base::Clock &clock, base::EventLog &events,
           base::InstanceId instance);
  ~PeerNode();

  /// Binds the peer address and begins to send heartbeats.
  ///
  /// Errors: PeerSocketFailed (the address cannot be bound, or ZeroMQ refuses a
  /// socket).
  base::Result<void> start();

  /// Closes all connections. Messages already queued are sent within 100 ms or
  /// lost; call setState(Leaving) before.
  void stop();

  /// Announces a state at once. States only move forward in the order Joining,
  /// Live, Leaving; any other value is ignored.
  void setState(MemberState state);

  /// Returns this daemon first, then every peer of the settings in their order.
  std::vector<Member> members() const;

  /// Tells the peers that a configuration is in force here.
  ///
  /// To be called for every version that comes into force, wherever it came
  /// from. A version that no peer sent before is pushed at once: to the peers
  /// of this zone, and to one live peer in each other zone, which forwards it
  /// there. A version that is not higher than the last one is ignored.
  ///
  /// \param json the document; a JSON object whose "version" is \p version.
  /// Cost: one encoding, one shared buffer for all peers.
  void publishConfiguration(std::uint64_t version, std::string json);

  /// Sets the handler of documents that come from peers. It is called only for
  /// versions above the one in force and above those delivered before, except
  /// that a version that was not published within a second is asked for again.
  void onConfiguration(std::function<void(std::string json)> handler);

  const Counters &counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::peer

#endif
