/// \file
/// Types and serialization of the messages between daemons. Hides protobuf from
/// the rest of the package.
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

/// A message; the index of the variant in Body is the MessageKind.
struct PeerMessage {
  base::HybridTime Time;
  std::variant<Heartbeat, ConfigRequest, ConfigDocument, StaleIncarnation> Body;
};

/// Maximum clock difference between hosts. A message with a later timestamp is
/// rejected, because it would advance the hybrid clocks of all daemons.
inline constexpr std::chrono::minutes MaxClockSkew{5};

std::string encode(const PeerMessage &message);

/// Parses a message and validates every field.
///
/// \param now wall time of this host, used to validate the timestamp.
/// Errors: PeerMessageInvalid (detail: the field).
base::Result<PeerMessage> decode(std::string_view bytes, base::WallTime now);

/// Identity of the daemon that opened a connection, from its ZeroMQ routing id.
struct Sender {
  std::string Name;
  base::InstanceId Instance;
  /// Wall time at the start of the run in milliseconds; raised if peers know a
  /// later run of the same name.
  std::uint64_t Incarnation = 0;
};

/// Returns the routing id "1/<incarnation>/<name>/<instance>", where 1 is the
/// protocol version. ZeroMQ limits it to 255 bytes; a longer one is truncated.
std::string encodeSender(const Sender &sender);

/// \param now wall time of this host, used to validate the incarnation.
/// Errors: PeerMessageInvalid.
base::Result<Sender> decodeSender(std::string_view routingId,
                                  base::WallTime now);

} // namespace endivedoor::peer::detail

#endif
