/// \file
/// Counters of the messages exchanged between daemons.
#ifndef ENDIVEDOOR_PEER_COUNTERS_H
#define ENDIVEDOOR_PEER_COUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace endivedoor::peer {

/// Kind of a message between daemons.
enum class MessageKind {
  Heartbeat,
  ConfigRequest,
  ConfigDocument,
  StaleIncarnation
};
inline constexpr std::size_t MessageKindCount = 4;

/// Number and total size of messages, without ZeroMQ framing and TCP headers.
struct Traffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  void add(std::size_t bytes) {
    ++Messages;
    Bytes += bytes;
  }
};

/// Counters since the start of the daemon, indexed by MessageKind.
struct Counters {
  std::array<Traffic, MessageKindCount> Sent;
  std::array<Traffic, MessageKindCount> Received;
  /// Not sent because the peer is not connected or its send queue is full.
  std::array<Traffic, MessageKindCount> Dropped;
  /// Received and rejected: malformed, or from a sender that is not in the
  /// settings.
  Traffic Rejected;
  /// Received and ignored, because they were out of order, duplicated or from
  /// an earlier run of the sender.
  Traffic Stale;
};

} // namespace endivedoor::peer

#endif
