/// \file
/// Members of the cluster of daemons.
#ifndef ENDIVEDOOR_PEER_MEMBER_H
#define ENDIVEDOOR_PEER_MEMBER_H

#include "endivedoor/base/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivedoor::peer {

/// State of a daemon. A daemon announces the first three itself, in this order
/// within one run; its peers infer the others from missing messages.
enum class MemberState { Joining, Live, Leaving, Suspected, Dead };

/// Returns the state in lower case, as shown to operators.
std::string_view toText(MemberState state);

/// State of a daemon as known to this daemon.
struct Member {
  std::string Name;
  base::ZoneId Zone;
  MemberState State = MemberState::Suspected;
  /// Distinguishes the runs of a daemon: a later run has a higher number. 0 if
  /// no message was ever received from it.
  std::uint64_t Incarnation = 0;
  /// Version of the configuration that is active on the daemon; 0 if none.
  std::uint64_t ConfigVersion = 0;
  /// Empty if no message was ever received from the daemon.
  std::optional<std::chrono::milliseconds> SinceLastMessage;
};

} // namespace endivedoor::peer

#endif
