/// \file
/// Runs daemons in one process that distribute configurations in one of several
/// modes.
#ifndef ENDIVEDOOR_BENCH_PEERS_FLEET_H
#define ENDIVEDOOR_BENCH_PEERS_FLEET_H

#include "ConfigStore.h"

#include "endivedoor/peer/Peer.h"
#include "endivedoor/platform/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endivedoor::bench {

/// Configuration distribution modes. Daemons exchange heartbeats in all of
/// them.
enum class DistributionMode {
  /// Every daemon polls the store.
  PollAll,
  /// One daemon in each zone polls the store and relays to its zone.
  PollRelay,
  /// The accepting daemon pushes; see PeerNode.
  Push
};

/// Totals since the start.
struct Totals {
  std::uint64_t HeartbeatBytes = 0;
  std::uint64_t ConfigBytes = 0;
  std::uint64_t StoreBytes = 0;
  std::uint64_t StoreCalls = 0;
  double ProcessorSeconds = 0;
};

class Fleet {
public:
  Fleet(DistributionMode mode, std::size_t nodes, std::size_t zones,
        std::size_t documentBytes, std::uint64_t seed);
  ~Fleet();

  /// Starts all daemons and waits until all know each other. \returns whether
  /// they did within a minute.
  bool start();
  /// Runs for \p time with a change each \p interval; none if it is 0.
  void run(std::chrono::milliseconds time, std::chrono::milliseconds interval);
  /// Runs for 3 s so that the last changes are applied.
  void drain() { run(std::chrono::seconds(3), {}); }

  Totals totals() const;
  /// Returns the time from the acceptance of each change until it is in force
  /// on all daemons, without changes that were replaced before that.
  std::vector<double> propagationSeconds() const;
  std::size_t changes() const { return Changes.size(); }

private:
  struct Daemon;
  struct Change {
    base::TimePoint At;
    base::TimePoint Last;
    std::size_t Daemons = 0;
  };
  model::Settings settingsOf(std::size_t i, bool ownZoneOnly) const;
  std::unique_ptr<peer::PeerNode> makeNode(std::size_t i, bool ownZoneOnly);
  void acceptChange();
  void onApplied(std::size_t i, std::uint64_t version, const std::string &json);
  boost::asio::awaitable<void> poll(std::size_t i);

  DistributionMode Mode;
  std::size_t Nodes, Zones, DocumentBytes;
  std::uint64_t Seed;
  boost::asio::io_context Io;
  base::SystemClock Clock;
  base::HybridClock Hybrid{Clock};
  base::EventLog Events{"bench", Hybrid, 16};
  ConfigStore Store;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::map<std::uint64_t, Change> Changes;
  std::uint64_t StoreBytes = 0;
};

} // namespace endivedoor::bench

#endif
