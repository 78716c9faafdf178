/// \file
/// Messages between daemons as plain values, so that protobuf stays behind this
/// adapter.
#ifndef ENDIVEDOOR_PEER_DETAIL_CODEC_H
#define ENDIVEDOOR_PEER_DETAIL_CODEC_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Error.h"
#include "endivedoor/base/HybridClock.h"
#include "endivedoor/peer/Counters.h"
#include "endivedoor/peer/Member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace endivedoor::peer::detail {

struct Heartbeat {
  MemberState State = MemberState::Joining;
  std::uint64_t ConfigVersion = 0;
};
struct ConfigRequest {
  std::uint64_t HaveVersion = 0;
};
struct ConfigDocument {
  std::uint64_t Version = 0;
  std::string Json;
  bool Forward = false;
};
struct StaleIncarnation {
  std::uint64_t KnownIncarnation = 0;
  base::InstanceId KnownInstance;
};

/// A message; the index of the body is its MessageKind.
struct PeerMessage {
  base::HybridTime Time;
  std::variant<Heartbeat, ConfigRequest, ConfigDocument, StaleIncarnation> Body;
};

/// Clocks of hosts may differ by this much; a message from further ahead is
/// refused, because it would move the hybrid clocks of all daemons.
inline constexpr std::chrono::minutes MaxClockSkew{5};

/// Writes a message.
std::string encode(const PeerMessage &message);

/// Reads a message and checks every field.
///
/// \param now wall time of this host, for the check of the stamps.
/// Errors: PeerMessageInvalid (detail: the field).
base::Result<PeerMessage> decode(std::string_view bytes, base::WallTime now);

/// Who opened a connection: the ZeroMQ routing id.
struct Sender {
  std::string Name;
  base::InstanceId Instance;
  /// Milliseconds of wall time at the start of this run; raised when peers know
  /// a later run of the same name.
  std::uint64_t Incarnation = 0;
};

/// Writes "1/<incarnation>/<name>/<instance>", where 1 is the protocol's
/// version. ZeroMQ limits it to 255 bytes; a longer instance is cut.
std::string encodeSender(const Sender &sender);

/// \param now wall time of this host, for the check of the incarnation.
/// Errors: PeerMessageInvalid.
base::Result<Sender> decodeSender(std::string_view routingId,
                                  base::WallTime now);

} // namespace endivedoor::peer::detail

#endif
