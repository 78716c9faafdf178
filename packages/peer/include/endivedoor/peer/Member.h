/// \file
/// Members of the group of daemons.
#ifndef ENDIVEDOOR_PEER_MEMBER_H
#define ENDIVEDOOR_PEER_MEMBER_H

#include "endivedoor/base/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivedoor::peer {

/// State of a daemon. The first three are announced by the daemon itself, in
/// this order within one run; the others are concluded from its silence.
enum class MemberState { Joining, Live, Leaving, Suspected, Dead };

/// Returns the state in lower case, as shown to operators.
std::string_view toText(MemberState state);

/// A daemon as this one sees it.
struct Member {
  std::string Name;
  base::ZoneId Zone;
  MemberState State = MemberState::Suspected;
  /// Distinguishes the runs of a daemon: a later run has a higher number. 0 if
  /// it was never heard.
  std::uint64_t Incarnation = 0;
  /// Version of the configuration in force there; 0 if none.
  std::uint64_t ConfigVersion = 0;
  /// Time since its last message; nothing if it was never heard.
  std::optional<std::chrono::milliseconds> SinceLastMessage;
};

} // namespace endivedoor::peer

#endif
