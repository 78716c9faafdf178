#include "endivedoor/model/Settings.h"

#include "detail/YamlSection.h"

#include "endivedoor/model/Scalars.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <tuple>

namespace endivedoor::model {

using base::Errc;
using detail::YamlDiagnostics;
using detail::YamlSection;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxSettingsBytes = 1 << 20;
/// Guarantee P4 of docs/design.md: no task starts later than this after a
/// zone-out.
constexpr std::chrono::milliseconds MaxZoneOutDelay{3000};
/// Guarantee P10: a configuration takes effect on all daemons within this time.
constexpr std::chrono::milliseconds MaxConfigDelay{4000};

struct SizeField {
  const char *Key;
  std::size_t LimitSettings::*Member;
  detail::Bounds<std::uint64_t> Range;
};
constexpr SizeField SizeFields[] = {
    {"headerBytes", &LimitSettings::HeaderBytes, {1 << 10, 1 << 20}},
    {"bodyBytes", &LimitSettings::BodyBytes, {1 << 10, 64 << 20}},
    // The store limits a value to 1 MB, including the rest of the document.
    {"rulesBytes", &LimitSettings::RulesBytes, {1 << 10, 480 << 10}},
    {"peerMessageBytes", &LimitSettings::PeerMessageBytes, {4 << 10, 16 << 20}},
    {"callerMemory", &LimitSettings::CallerMemory, {8 << 20, 64ULL << 30}},
};
constexpr SizeField CountFields[] = {
    {"callerConnections", &LimitSettings::CallerConnections, {1, 65536}},
    {"queuedRequests", &LimitSettings::QueuedRequests, {1, 65536}},
    {"queuedCommands", &LimitSettings::QueuedCommands, {1, 1 << 20}},
    {"keptEvents", &LimitSettings::RetainedEvents, {16, 1 << 20}},
};

struct TimeField {
  const char *Key;
  std::chrono::milliseconds TimingSettings::*Member;
  detail::Bounds<std::chrono::milliseconds> Range;
};
constexpr TimeField TimeFields[] = {
    {"storeTimeout", &TimingSettings::StoreTimeout, {10ms, 10s}},
    {"ownerLease", &TimingSettings::OwnerLease, {1s, 60s}},
    {"configPoll", &TimingSettings::ConfigPoll, {50ms, 3s}},
    {"commitInterval", &TimingSettings::CommitInterval, {10ms, 2s}},
    {"startPermit", &TimingSettings::StartPermit, {50ms, 3s}},
    {"placementLease", &TimingSettings::PlacementLease, {100ms, 3s}},
    {"placementRenew", &TimingSettings::PlacementRenew, {20ms, 1s}},
    {"taskLease", &TimingSettings::TaskLease, {5s, 10min}},
    // A worker that is leaving must be removed from the routing tables within
    // 1s.
    {"statusPoll", &TimingSettings::StatusPoll, {50ms, 1s}},
    {"heartbeat", &TimingSettings::Heartbeat, {20ms, 2s}},
    {"peerSuspected", &TimingSettings::PeerSuspected, {50ms, 30s}},
    {"peerDead", &TimingSettings::PeerDead, {100ms, 60s}},
    {"zoneRamp", &TimingSettings::ZoneRamp, {0ms, 1h}},
    {"requestTimeout", &TimingSettings::RequestTimeout, {10ms, 10min}},
    {"drainDelay", &TimingSettings::DrainDelay, {0ms, 5min}},
    {"drainLimit", &TimingSettings::DrainLimit, {100ms, 1h}},
};

template <typename Field> std::vector<std::string> keysOf(const Field &fields) {
  std::vector<std::string> keys;
  for (const auto &it : fields)
    keys.emplace_back(it.Key);
  return keys;
}

void readLimits(YamlDiagnostics &diagnostics, const YAML::Node &node,
                LimitSettings &to) {
  std::vector<std::string> keys = keysOf(SizeFields);
  for (const std::string &it : keysOf(CountFields))
    keys.push_back(it);
  YamlSection section(diagnostics, node, "limits", keys);
  for (const SizeField &it : SizeFields)
    section.readSize(it.Key, to.*it.Member, it.Range);
  for (const SizeField &it : CountFields)
    if (auto n = section.readNumber(it.Key, it.Range))
      to.*it.Member = *n;
}

void readTiming(YamlDiagnostics &diagnostics, const YAML::Node &node,
                TimingSettings &to) {
  YamlSection section(diagnostics, node, "timing", keysOf(TimeFields));
  for (const TimeField &it : TimeFields)
    section.readDuration(it.Key, to.*it.Member, it.Range);
}

/// Calls \p read with each element of the sequence \p key and its path.
template <typename F>
void readList(YamlDiagnostics &diagnostics, const YamlSection &root,
              const std::string &key, bool required, const F &read) {
  std::optional<YAML::Node> list =
      required ? root.require(key) : root.find(key);
  if (!list)
    return;
  if (!list->IsSequence() || (required && list->size() == 0))
    return diagnostics.add(list->Mark(), Errc::SettingsWrongValue,
                           "\"" + key + "\" is not a list with entries",
                           "write one \"- entry\" line each");
  for (std::size_t i = 0; i < list->size(); ++i) {
    std::string path = key + "[" + std::to_string(i) + "]";
    diagnostics.Marks.emplace(path, (*list)[i].Mark());
    read((*list)[i], path);
  }
}

void readPeer(YamlDiagnostics &diagnostics, const YAML::Node &node,
              const std::string &path, Settings &to) {
  YamlSection section(diagnostics, node, path,
                      {"name", "zone", "peer", "operator"});
  PeerSettings peer;
  std::string zone;
  section.readName("name", peer.Name);
  section.readName("zone", zone);
  peer.Zone = base::ZoneId(zone);
  section.readAddress("peer", peer.Peer);
  section.readAddress("operator", peer.Operator);
  to.Peers.push_back(std::move(peer));
}

void readLists(YamlDiagnostics &diagnostics, const YamlSection &root,
               Settings &to) {
  readList(diagnostics, root, "store", true,
           [&](const YAML::Node &node, const std::string &path) {
             if (auto it = root.address(node, path))
               to.Store.push_back(*it);
           });
  readList(diagnostics, root, "zones", true,
           [&](const YAML::Node &node, const std::string &path) {
             if (auto it = root.name(node, path))
               to.Zones.emplace_back(*it);
           });
  readList(diagnostics, root, "peers", false,
           [&](const YAML::Node &node, const std::string &path) {
             readPeer(diagnostics, node, path, to);
           });
}

void readRoot(YamlDiagnostics &diagnostics, const YAML::Node &node,
              Settings &to) {
  YamlSection root(diagnostics, node, "",
                   {"name", "zone", "listen", "store", "hostList", "zones",
                    "peers", "entryHosts", "trafficThreads", "shardsPerZone",
                    "seed", "limits", "timing"});
  if (!node.IsMap())
    return;
  std::string zone;
  root.readName("name", to.Name);
  root.readName("zone", zone);
  to.Zone = base::ZoneId(zone);
  if (auto listen = root.require("listen")) {
    YamlSection section(diagnostics, *listen, "listen",
                        {"callers", "operators", "peer"});
    section.readAddress("callers", to.Callers);
    section.readAddress("operators", to.Operators);
    section.readAddress("peer", to.Peer);
  }
  root.readAddress("hostList", to.HostList);
  readLists(diagnostics, root, to);
  if (auto n = root.readNumber("entryHosts", {1, 1000}))
    to.EntryHosts = static_cast<std::int32_t>(*n);
  if (auto n = root.readNumber("trafficThreads", {1, 64}))
    to.TrafficThreads = static_cast<std::int32_t>(*n);
  // The control package owns one shard per zone; a larger number would be
  // ignored.
  if (auto n = root.readNumber("shardsPerZone", {1, 1}))
    to.ShardsPerZone = static_cast<std::int32_t>(*n);
  if (auto n = root.readNumber("seed",
                               {0, std::numeric_limits<std::uint64_t>::max()}))
    to.Seed = *n;
  if (auto limits = root.find("limits"))
    readLimits(diagnostics, *limits, to.Limits);
  if (auto timing = root.find("timing"))
    readTiming(diagnostics, *timing, to.Timing);
}

/// Reports duplicate values of one kind.
class UniquenessCheck {
public:
  UniquenessCheck(YamlDiagnostics &diagnostics, std::string kind)
      : Diagnostics(diagnostics), Kind(std::move(kind)) {}
  void add(const std::string &value, const std::string &path) {
    // An empty name or port 0 has already been reported as invalid.
    if (value.empty() || value.ends_with(":0"))
      return;
    auto [it, added] = Seen.emplace(value, path);
    if (!added)
      Diagnostics.addAt(path, Errc::SettingsContradiction,
                        Kind + " \"" + value + "\" is used by " + it->second +
                            " and " + path,
                        "give each its own");
  }

private:
  YamlDiagnostics &Diagnostics;
  std::string Kind;
  std::map<std::string, std::string> Seen;
};

void checkUnique(YamlDiagnostics &diagnostics, const Settings &s) {
  UniquenessCheck names(diagnostics, "name"), zones(diagnostics, "zone"),
      addresses(diagnostics, "address");
  names.add(s.Name, "name");
  addresses.add(s.Callers.str(), "listen.callers");
  addresses.add(s.Operators.str(), "listen.operators");
  addresses.add(s.Peer.str(), "listen.peer");
  addresses.add(s.HostList.str(), "hostList");
  for (std::size_t i = 0; i < s.Store.size(); ++i)
    addresses.add(s.Store[i].str(), "store[" + std::to_string(i) + "]");
  for (std::size_t i = 0; i < s.Zones.size(); ++i)
    zones.add(s.Zones[i].str(), "zones[" + std::to_string(i) + "]");
  for (std::size_t i = 0; i < s.Peers.size(); ++i) {
    std::string path = "peers[" + std::to_string(i) + "]";
    names.add(s.Peers[i].Name, path + ".name");
    addresses.add(s.Peers[i].Peer.str(), path + ".peer");
    addresses.add(s.Peers[i].Operator.str(), path + ".operator");
  }
}

void checkZones(YamlDiagnostics &diagnostics, const Settings &s) {
  auto check = [&](const base::ZoneId &zone, const std::string &path) {
    std::vector<std::string> known;
    for (const base::ZoneId &it : s.Zones)
      known.push_back(it.str());
    if (zone.empty() || known.empty() ||
        std::find(known.begin(), known.end(), zone.str()) != known.end())
      return;
    std::optional<std::string> suggestion = closestMatch(zone.str(), known);
    diagnostics.addAt(path, Errc::SettingsContradiction,
                      "zone \"" + zone.str() + "\" is not in \"zones\"",
                      suggestion ? "did you mean \"" + *suggestion + "\"?"
                                 : "add it to zones");
  };
  check(s.Zone, "zone");
  for (std::size_t i = 0; i < s.Peers.size(); ++i)
    check(s.Peers[i].Zone, "peers[" + std::to_string(i) + "].zone");
  if (s.Peers.size() + 1 > static_cast<std::size_t>(s.EntryHosts))
    diagnostics.addAt("entryHosts", Errc::SettingsContradiction,
                      "\"entryHosts\" is less than the peers and this daemon",
                      "use at least " + std::to_string(s.Peers.size() + 1) +
                          ", or workers get more connections than they allow");
}

void checkTiming(YamlDiagnostics &diagnostics, const TimingSettings &t) {
  auto expect = [&](bool holds, const char *key, std::string text,
                    const char *reason) {
    if (!holds)
      diagnostics.addAt(std::string("timing.") + key,
                        Errc::SettingsContradiction, std::move(text), reason);
  };
  expect(t.PlacementLease > 2 * t.PlacementRenew, "placementLease",
         "placementLease is not longer than two placementRenew",
         "one lost renewal must not end the lease");
  expect(t.StartPermit + t.PlacementLease < MaxZoneOutDelay, "startPermit",
         "startPermit + placementLease is not below 3s",
         "no task may start in a zone 3s after it was taken out");
  expect(t.CommitInterval < t.StartPermit, "commitInterval",
         "commitInterval is not below startPermit",
         "a permit must outlive the wait for the next commit");
  expect(2 * t.StoreTimeout < t.OwnerLease, "ownerLease",
         "ownerLease is not longer than two storeTimeout",
         "one lost answer must not end the lease");
  expect(t.ConfigPoll + t.StoreTimeout < MaxConfigDelay, "configPoll",
         "configPoll + storeTimeout is not below 4s",
         "a configuration must be in force everywhere within 4s");
  expect(t.TaskLease > t.OwnerLease + t.PlacementLease, "taskLease",
         "taskLease is not longer than ownerLease + placementLease",
         "a new shard owner must take over before tasks stop");
  expect(t.PeerSuspected >= 2 * t.Heartbeat, "peerSuspected",
         "peerSuspected is shorter than two heartbeats",
         "one lost heartbeat must not cause suspicion");
  expect(t.PeerDead > t.PeerSuspected, "peerDead",
         "peerDead is not longer than peerSuspected",
         "a peer is suspected before it is considered dead");
  expect(t.RequestTimeout + t.DrainDelay <= t.DrainLimit, "drainLimit",
         "drainLimit is shorter than drainDelay + requestTimeout",
         "a planned stop must not interrupt a request");
}

void checkLimits(YamlDiagnostics &diagnostics, const Settings &s) {
  const LimitSettings &l = s.Limits;
  auto threads = static_cast<std::size_t>(s.TrafficThreads);
  // A request and its response are held at the same time.
  if (l.CallerMemory / threads < 2 * (l.HeaderBytes + l.BodyBytes))
    diagnostics.addAt("limits.callerMemory", Errc::SettingsContradiction,
                      "callerMemory is too small for headerBytes and bodyBytes",
                      "use at least 2 * (headerBytes + bodyBytes) for each of "
                      "trafficThreads");
  // JSON escaping at most doubles the size of a rules text, because it contains
  // no control characters except line ends and tabs.
  std::size_t documentBytes = 2 * l.RulesBytes + (16 << 10);
  if (documentBytes > l.BodyBytes)
    diagnostics.addAt("limits.bodyBytes", Errc::SettingsContradiction,
                      "bodyBytes is too small for rulesBytes",
                      "use at least 2 * rulesBytes + 16KiB");
  if (documentBytes > l.PeerMessageBytes)
    diagnostics.addAt("limits.peerMessageBytes", Errc::SettingsContradiction,
                      "peerMessageBytes is too small for rulesBytes",
                      "use at least 2 * rulesBytes + 16KiB");
}

/// Records the start position of a document.
class DocumentStartHandler final : public YAML::EventHandler {
public:
  void OnDocumentStart(const YAML::Mark &mark) override { Start = mark; }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark &, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) override {}
  void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

  YAML::Mark Start;
};

/// Returns the start position of the second document, if any. YAML::LoadAll is
/// not used: it adds documents in an endless loop at a flow indicator outside a
/// flow, such as the text ",".
std::optional<YAML::Mark> findSecondDocument(const std::string &text) {
  std::istringstream in(text);
  YAML::Parser parser(in);
  DocumentStartHandler document;
  if (parser.HandleNextDocument(document) &&
      parser.HandleNextDocument(document))
    return document.Start;
  return std::nullopt;
}

} // namespace

std::string Diagnostic::message() const {
  std::string at = File + ":" + std::to_string(Line);
  if (Column > 0)
    at += ":" + std::to_string(Column);
  at += ": E" + std::to_string(static_cast<int>(Code)) + " " + Text;
  return Hint.empty() ? at : at + "; " + Hint;
}

SettingsOutcome parseSettings(const std::string &file,
                              const std::string &text) {
  SettingsOutcome out;
  YamlDiagnostics diagnostics{file, {}, {}};
  if (text.size() > MaxSettingsBytes) {
    diagnostics.add({}, Errc::LimitExceeded, "the file is larger than 1MiB",
                    "");
    out.Diagnostics = std::move(diagnostics.Entries);
    return out;
  }
  try {
    if (std::optional<YAML::Mark> second = findSecondDocument(text))
      diagnostics.add(*second, Errc::SettingsSyntax,
                      "the file holds more than one document",
                      "keep one; remove what follows it");
    readRoot(diagnostics, YAML::Load(text), out.Value);
    checkUnique(diagnostics, out.Value);
    checkZones(diagnostics, out.Value);
    checkTiming(diagnostics, out.Value.Timing);
    checkLimits(diagnostics, out.Value);
  } catch (const YAML::Exception &e) {
    diagnostics.add(e.mark, Errc::SettingsSyntax, "not valid YAML: " + e.msg,
                    "correct the text at this place");
  }
  out.Diagnostics = std::move(diagnostics.Entries);
  std::stable_sort(out.Diagnostics.begin(), out.Diagnostics.end(),
                   [](const Diagnostic &a, const Diagnostic &b) {
                     return std::tie(a.Line, a.Column) <
                            std::tie(b.Line, b.Column);
                   });
  return out;
}

} // namespace endivedoor::model
