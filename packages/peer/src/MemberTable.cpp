#include "endivedoor/peer/detail/MemberTable.h"

#include <algorithm>

namespace endivedoor::peer::detail {

MemberTable::MemberTable(const std::vector<model::PeerSettings> &peers,
                         const model::TimingSettings &timing,
                         base::TimePoint now)
    : SuspectedAfter(timing.PeerSuspected), DeadAfter(timing.PeerDead),
      Start(now) {
  for (const model::PeerSettings &it : peers) {
    Index.emplace(it.Name, Entries.size());
    Entry entry;
    entry.Info.Name = it.Name;
    entry.Info.Zone = it.Zone;
    Entries.push_back(std::move(entry));
  }
}

MessageDisposition MemberTable::receive(const Sender &sender,
                                        const PeerMessage &message,
                                        base::TimePoint now) {
  auto found = Index.find(sender.Name);
  if (found == Index.end())
    return MessageDisposition::UnknownSender;
  Entry &entry = Entries[found->second];
  bool newRun = sender.Incarnation > entry.Info.Incarnation;
  if (newRun) {
    entry.Info.Incarnation = sender.Incarnation;
    entry.Info.ConfigVersion = 0;
    // A process that raises its incarnation keeps its instance id; this is not
    // logged as a new run.
    entry.NewRun = !entry.Instance.empty() && entry.Instance != sender.Instance;
    entry.Instance = sender.Instance;
    entry.Announced = MemberState::Joining;
  } else if (sender.Incarnation < entry.Info.Incarnation ||
             sender.Instance != entry.Instance) {
    return MessageDisposition::StaleRun;
  } else if (message.Time <= entry.LastTimestamp) {
    return MessageDisposition::Repeated;
  }
  entry.LastTimestamp = message.Time;
  entry.LastReceivedAt = now;
  if (const auto *body = std::get_if<Heartbeat>(&message.Body)) {
    entry.Announced = std::max(entry.Announced, body->State);
    entry.Info.ConfigVersion =
        std::max(entry.Info.ConfigVersion, body->ConfigVersion);
  }
  return newRun ? MessageDisposition::NewRun : MessageDisposition::Accepted;
}

StaleIncarnation MemberTable::latestRun(const std::string &name) const {
  const Entry &entry = Entries[Index.at(name)];
  return {entry.Info.Incarnation, entry.Instance};
}

MemberState MemberTable::stateOf(const Entry &entry,
                                 base::TimePoint now) const {
  base::Duration silence = now - entry.LastReceivedAt.value_or(Start);
  if (silence >= DeadAfter)
    return MemberState::Dead;
  if (silence >= SuspectedAfter || !entry.LastReceivedAt)
    return MemberState::Suspected;
  return entry.Announced;
}

std::vector<MemberChange> MemberTable::updateStates(base::TimePoint now) {
  std::vector<MemberChange> changes;
  for (Entry &it : Entries) {
    MemberState state = stateOf(it, now);
    if (state != it.LastReported || it.NewRun)
      changes.push_back({it.Info.Name, it.LastReported, state, it.NewRun});
    it.LastReported = state;
    it.NewRun = false;
  }
  return changes;
}

Member MemberTable::memberInfo(const Entry &entry, base::TimePoint now) const {
  Member info = entry.Info;
  info.State = stateOf(entry, now);
  if (entry.LastReceivedAt)
    info.SinceLastMessage =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - *entry.LastReceivedAt);
  return info;
}

std::optional<Member> MemberTable::find(const std::string &name,
                                        base::TimePoint now) const {
  auto found = Index.find(name);
  if (found == Index.end())
    return std::nullopt;
  return memberInfo(Entries[found->second], now);
}

std::vector<Member> MemberTable::members(base::TimePoint now) const {
  std::vector<Member> all;
  for (const Entry &it : Entries)
    all.push_back(memberInfo(it, now));
  return all;
}

} // namespace endivedoor::peer::detail
