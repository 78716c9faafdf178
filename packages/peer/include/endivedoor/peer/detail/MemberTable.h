/// \file
/// Membership without sockets.
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

/// A change of a member's state or run, for the log.
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
  /// A message at least as new was received before.
  Repeated,
  /// A later run of the same name is known.
  StaleRun,
  /// The name is not in the settings.
  UnknownSender
};

/// What this daemon knows of its peers. A late or repeated message changes
/// nothing.
class MemberTable {
public:
  MemberTable(const std::vector<model::PeerSettings> &peers,
              const model::TimingSettings &timing, base::TimePoint now);

  /// Records that a message of any kind arrived.
  ///
  /// Cost: one look-up.
  MessageDisposition receive(const Sender &sender, const PeerMessage &message,
                             base::TimePoint now);

  /// Returns the latest known run of \p name, which must be in the settings.
  StaleIncarnation latestRun(const std::string &name) const;

  /// Concludes silence. \returns the changes since the last call, those of
  /// received messages included.
  std::vector<MemberChange> updateStates(base::TimePoint now);

  /// Returns nothing if \p name is not in the settings.
  std::optional<Member> find(const std::string &name,
                             base::TimePoint now) const;
  /// Returns the members in the order of the settings.
  std::vector<Member> members(base::TimePoint now) const;

private:
  struct Entry {
    Member Info;
    base::InstanceId Instance;
    MemberState Announced = MemberState::Joining;
    /// Stamp of the newest message of this run.
    base::HybridTime LastTimestamp;
    std::optional<base::TimePoint> LastReceivedAt;
    /// State that was last reported as a change.
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
