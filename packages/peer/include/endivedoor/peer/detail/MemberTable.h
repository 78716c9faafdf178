/// \file
/// Membership state, independent of sockets.
#ifndef ENDIVEDOOR_PEER_DETAIL_MEMBERTABLE_H
#define ENDIVEDOOR_PEER_DETAIL_MEMBERTABLE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/peer/Member.h"
#include "endivedoor/peer/detail/Codec.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::peer::detail {

/// A change of the state or run of a member, for the event log.
struct MemberChange {
  std::string Name;
  MemberState From;
  MemberState To;
  bool NewRun = false;
};

enum class MessageDisposition {
  /// The message is new.
  Accepted,
  /// The message is new and the first of a later run of the sender.
  NewRun,
  /// A message with the same or a later timestamp was received before.
  Repeated,
  /// A later run of the same name is known.
  StaleRun,
  /// The name is not in the settings.
  UnknownSender
};

/// The state of the peers as known to this daemon. Duplicate and out-of-order
/// messages are ignored.
class MemberTable {
public:
  MemberTable(const std::vector<model::PeerSettings> &peers,
              const model::TimingSettings &timing, base::TimePoint now);

  /// Records the arrival of a message of any kind.
  ///
  /// Cost: one lookup.
  MessageDisposition receive(const Sender &sender, const PeerMessage &message,
                             base::TimePoint now);

  /// Returns the latest known run of \p name, which must be in the settings.
  StaleIncarnation latestRun(const std::string &name) const;

  /// Updates the states of silent members. \returns all changes since the last
  /// call, including those caused by received messages.
  std::vector<MemberChange> updateStates(base::TimePoint now);

  /// Returns std::nullopt if \p name is not in the settings.
  std::optional<Member> find(const std::string &name,
                             base::TimePoint now) const;
  /// Returns the members in the order of the settings.
  std::vector<Member> members(base::TimePoint now) const;

private:
  struct Entry {
    Member Info;
    base::InstanceId Instance;
    MemberState Announced = MemberState::Joining;
    /// Timestamp of the newest message of this run.
    base::HybridTime LastTimestamp;
    std::optional<base::TimePoint> LastReceivedAt;
    /// State at the last call of updateStates.
    MemberState LastReported = MemberState::Suspected;
    bool NewRun = false;
  };
  MemberState stateOf(const Entry &entry, base::TimePoint now) const;
  Member memberInfo(const Entry &entry, base::TimePoint now) const;

  std::chrono::milliseconds SuspectedAfter;
  std::chrono::milliseconds DeadAfter;
  base::TimePoint Start;
  std::vector<Entry> Entries;
  std::map<std::string, std::size_t> Index;
};

} // namespace endivedoor::peer::detail

#endif
