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
    entry.View.Name = it.Name;
    entry.View.Zone = it.Zone;
    Entries.push_back(std::move(entry));
  }
}

Receipt MemberTable::receive(const Sender &sender, const PeerMessage &message,
                             base::TimePoint now) {
  auto at = Index.find(sender.Name);
  if (at == Index.end())
    return Receipt::Unknown;
  Entry &it = Entries[at->second];
  bool newRun = sender.Incarnation > it.View.Incarnation;
  if (newRun) {
    it.View.Incarnation = sender.Incarnation;
    it.View.ConfigVersion = 0;
    // A raised incarnation of the same process is not a new run for the log.
    it.NewRun = !it.Instance.empty() && it.Instance != sender.Instance;
    it.Instance = sender.Instance;
    it.Announced = MemberState::Joining;
  } else if (sender.Incarnation < it.View.Incarnation ||
             sender.Instance != it.Instance) {
    return Receipt::StaleRun;
  } else if (message.Time <= it.Latest) {
    return Receipt::Repeated;
  }
  it.Latest = message.Time;
  it.HeardAt = now;
  if (const auto *body = std::get_if<Heartbeat>(&message.Body)) {
    it.Announced = std::max(it.Announced, body->State);
    it.View.ConfigVersion =
        std::max(it.View.ConfigVersion, body->ConfigVersion);
  }
  return newRun ? Receipt::NewRun : Receipt::Accepted;
}

StaleIncarnation MemberTable::latestRun(const std::string &name) const {
  const Entry &it = Entries[Index.at(name)];
  return {it.View.Incarnation, it.Instance};
}

MemberState MemberTable::stateOf(const Entry &entry,
                                 base::TimePoint now) const {
  base::Duration silence = now - entry.HeardAt.value_or(Start);
  if (silence >= DeadAfter)
    return MemberState::Dead;
  if (silence >= SuspectedAfter || !entry.HeardAt)
    return MemberState::Suspected;
  return entry.Announced;
}

std::vector<MemberChange> MemberTable::advance(base::TimePoint now) {
  std::vector<MemberChange> changes;
  for (Entry &it : Entries) {
    MemberState state = stateOf(it, now);
    if (state != it.Reported || it.NewRun)
      changes.push_back({it.View.Name, it.Reported, state, it.NewRun});
    it.Reported = state;
    it.NewRun = false;
  }
  return changes;
}

Member MemberTable::viewOf(const Entry &entry, base::TimePoint now) const {
  Member view = entry.View;
  view.State = stateOf(entry, now);
  if (entry.HeardAt)
    view.LastHeard = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *entry.HeardAt);
  return view;
}

std::optional<Member> MemberTable::find(const std::string &name,
                                        base::TimePoint now) const {
  auto at = Index.find(name);
  if (at == Index.end())
    return std::nullopt;
  return viewOf(Entries[at->second], now);
}

std::vector<Member> MemberTable::members(base::TimePoint now) const {
  std::vector<Member> all;
  for (const Entry &it : Entries)
    all.push_back(viewOf(it, now));
  return all;
}

} // namespace endivedoor::peer::detail
