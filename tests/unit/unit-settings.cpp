// Tests settings validation: invalid settings must be rejected as a whole, with
// every error and its position, and no input may crash the parser.
#include "endivedoor/model/DispatchSettings.h"
#include "endivedoor/model/Settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sys/resource.h>

using namespace endivedoor;
using namespace endivedoor::model;
using base::Errc;
using namespace std::chrono_literals;

namespace {

/// Limits the address space to 1 GiB, so that an unbounded allocation throws
/// std::bad_alloc instead of exhausting the memory of the host.
const bool IsMemoryLimited = [] {
  const rlimit limit{1 << 30, 1 << 30};
  return setrlimit(RLIMIT_AS, &limit) == 0;
}();

const std::string Minimal = R"(name: g-1
zone: germiston
listen: {callers: 127.0.0.1:21101, operators: 127.0.0.1:21201, peer: 127.0.0.1:21301}
store: [127.0.0.1:21901]
hostList: 127.0.0.1:21902
zones: [germiston, midrand]
)";

std::string list(const std::vector<Diagnostic> &faults) {
  std::string text;
  for (const Diagnostic &it : faults)
    text += it.message() + "\n";
  return text;
}

/// Parses the minimal settings with \p extraYaml appended.
SettingsOutcome parseWithMinimal(const std::string &extraYaml) {
  return parseSettings("s.yaml", Minimal + extraYaml);
}

bool hasDiagnostic(const SettingsOutcome &out, Errc code, std::size_t line,
                   const std::string &text) {
  return std::any_of(out.Diagnostics.begin(), out.Diagnostics.end(),
                     [&](const auto &it) {
                       return it.Code == code && it.Line == line &&
                              it.message().find(text) != std::string::npos;
                     });
}

// The default values must pass validation.
TEST(Settings, MinimalFileIsAcceptedWithDefaults) {
  SettingsOutcome out = parseWithMinimal("");
  EXPECT_EQ(list(out.Diagnostics), "");
  EXPECT_EQ(out.Value.Zone, base::ZoneId("germiston"));
  EXPECT_EQ(out.Value.Callers, (Address{"127.0.0.1", 21101}));
  EXPECT_EQ(out.Value.Timing.PlacementLease, 1500ms);
  EXPECT_EQ(out.Value.Zones.size(), 2u);
}

// Every accepted key must set its field.
TEST(Settings, EveryKeySetsItsField) {
  SettingsOutcome out = parseWithMinimal(R"(peers:
  - {name: m-1, zone: midrand, peer: 127.0.0.1:21304, operator: 127.0.0.1:21204}
entryHosts: 7
trafficThreads: 3
shardsPerZone: 1
seed: 42
limits: {headerBytes: 8KiB, bodyBytes: 2MiB, rulesBytes: 100KiB,
  peerMessageBytes: 512KiB, callerConnections: 11, queuedRequests: 12,
  queuedCommands: 13, keptEvents: 17, callerMemory: 32MiB}
timing: {storeTimeout: 400ms, ownerLease: 4s, configPoll: 900ms,
  commitInterval: 50ms, startPermit: 800ms, placementLease: 1600ms,
  placementRenew: 400ms, taskLease: 1m, statusPoll: 300ms, heartbeat: 200ms,
  peerSuspected: 1s, peerDead: 2s, zoneRamp: 5s, requestTimeout: 7s,
  drainDelay: 0ms, drainLimit: 2m}
)");
  EXPECT_EQ(list(out.Diagnostics), "");
  const Settings &s = out.Value;
  ASSERT_EQ(s.Peers.size(), 1u);
  EXPECT_EQ(s.Peers[0].Operator, (Address{"127.0.0.1", 21204}));
  EXPECT_EQ(s.Peers[0].Zone, base::ZoneId("midrand"));
  EXPECT_EQ(std::tie(s.EntryHosts, s.TrafficThreads, s.ShardsPerZone),
            std::make_tuple(7, 3, 1));
  EXPECT_EQ(s.Seed, 42u);
  const LimitSettings &l = s.Limits;
  EXPECT_EQ(
      (std::vector{l.HeaderBytes, l.BodyBytes, l.RulesBytes, l.PeerMessageBytes,
                   l.CallerConnections, l.QueuedRequests, l.QueuedCommands,
                   l.RetainedEvents, l.CallerMemory}),
      (std::vector<std::size_t>{8192, 2097152, 102400, 524288, 11, 12, 13, 17,
                                33554432}));
  const TimingSettings &t = s.Timing;
  EXPECT_EQ((std::vector{t.StoreTimeout, t.OwnerLease, t.ConfigPoll,
                         t.CommitInterval, t.StartPermit, t.PlacementLease,
                         t.PlacementRenew, t.TaskLease, t.StatusPoll,
                         t.Heartbeat, t.PeerSuspected, t.PeerDead, t.ZoneRamp,
                         t.RequestTimeout, t.DrainDelay, t.DrainLimit}),
            (std::vector<std::chrono::milliseconds>{
                400ms, 4s, 900ms, 50ms, 800ms, 1600ms, 400ms, 1min, 300ms,
                200ms, 1s, 2s, 5s, 7s, 0ms, 2min}));
}

// All errors must be reported in one pass.
TEST(Settings, AllErrorsAreReportedAtOnceInOrder) {
  SettingsOutcome out =
      parseWithMinimal("entryHost: 8\nseed: x\nseed: 1\n"
                       "timing:\n  heartbeat: 500\n  peerDead: 1h\n");
  EXPECT_EQ(list(out.Diagnostics),
            "s.yaml:7:1: E202 unknown key \"entryHost\"; did you mean "
            "\"entryHosts\"?\n"
            "s.yaml:8:7: E205 \"seed\" is not a whole number; use 0 to "
            "18446744073709551615\n"
            "s.yaml:9:1: E203 key \"seed\" is repeated; keep one\n"
            "s.yaml:11:14: E205 \"timing.heartbeat\" is not a duration; write "
            "a number and a unit, such as 500ms, 3s or 2m\n"
            "s.yaml:12:13: E206 \"timing.peerDead\" is out of range; use "
            "100ms to 1m\n");
}

struct ConflictCase {
  std::string More;
  Errc Code;
  std::string Text;
};

// Timings that violate a service guarantee, and duplicate addresses, must be
// rejected.
TEST(Settings, ContradictionsAreRejected) {
  const std::string peer =
      "peers:\n  - {name: m-1, zone: midrand, peer: 127.0.0.1:21304, "
      "operator: 127.0.0.1:21204}\n";
  const ConflictCase cases[] = {
      {"timing: {placementRenew: 750ms}", Errc::SettingsContradiction, "two"},
      {"timing: {startPermit: 1500ms}", Errc::SettingsContradiction, "3s"},
      {"timing: {startPermit: 100ms}", Errc::SettingsContradiction, "permit"},
      {"timing: {storeTimeout: 1500ms}", Errc::SettingsContradiction, "lost"},
      {"timing: {configPoll: 3s, storeTimeout: 1s}",
       Errc::SettingsContradiction, "4s"},
      {"timing: {peerSuspected: 900ms}", Errc::SettingsContradiction, "lost"},
      {"timing: {peerDead: 1500ms}", Errc::SettingsContradiction, "peerDead"},
      {"timing: {taskLease: 5s, ownerLease: 4s}", Errc::SettingsContradiction,
       "take over"},
      {"timing: {drainLimit: 5s}", Errc::SettingsContradiction, "planned stop"},
      {"limits: {peerMessageBytes: 64KiB}", Errc::SettingsContradiction,
       "rulesBytes"},
      {"limits: {bodyBytes: 64KiB}", Errc::SettingsContradiction, "rulesBytes"},
      {"limits: {bodyBytes: 99GiB}", Errc::SettingsOutOfRange, "bodyBytes"},
      {"limits: {callerMemory: 8MiB, bodyBytes: 4MiB}",
       Errc::SettingsContradiction, "callerMemory"},
      {"limits: {callerMemory: 7MiB}", Errc::SettingsOutOfRange,
       "callerMemory"},
      {"shardsPerZone: 2", Errc::SettingsOutOfRange, "shardsPerZone"},
      {"limits: {bodyBytes: 1MB}", Errc::SettingsWrongValue, "size"},
      {peer + "entryHosts: 1", Errc::SettingsContradiction, "at least 2"},
      {"peers:\n  - {name: g-1, zone: midrnd, peer: 127.0.0.1:21301, "
       "operator: localhost:1}",
       Errc::SettingsContradiction, "did you mean \"midrand\""},
      {"peers: [{name: g-1, zone: midrand, peer: 127.0.0.1:1, operator: "
       "127.0.0.1:2}]",
       Errc::SettingsContradiction, "name \"g-1\""},
      {"peers: [{name: x, zone: midrand, peer: 127.0.0.1:21301, operator: "
       "127.0.0.1:2}]",
       Errc::SettingsContradiction, "address \"127.0.0.1:21301\""},
      {"peers: [{name: x/y, zone: midrand, peer: 127.0.0.1:0, operator: "
       "127.0.0.1:2, extra: 1}]",
       Errc::SettingsUnknownKey, "peers[0].extra"},
      {"peers: 5", Errc::SettingsWrongValue, "list"},
      {"limits: [1]", Errc::SettingsWrongValue, "mapping"},
      {"---\nname: other", Errc::SettingsSyntax, "document"},
  };
  for (const ConflictCase &it : cases) {
    SettingsOutcome out = parseWithMinimal(it.More);
    bool found =
        std::any_of(out.Diagnostics.begin(), out.Diagnostics.end(),
                    [&](const Diagnostic &f) {
                      return f.Code == it.Code && f.Line > 0 &&
                             f.message().find(it.Text) != std::string::npos;
                    });
    EXPECT_TRUE(found) << it.More << "\n" << list(out.Diagnostics);
  }
}

/// Parses the minimal settings of a daemon on an installation's platform with
/// \p extraYaml appended.
DispatchSettingsOutcome parseDispatch(const std::string &extraYaml) {
  return parseDispatchSettings(
      "d.yaml", "name: n-1\nzone: a\nlisten: {callers: 127.0.0.1:1, health: "
                "127.0.0.1:2, metrics: 127.0.0.1:3}\n"
                "installation: {store: 127.0.0.1:4}\n" +
                    extraYaml);
}

// Without limits a client that sends without end uses up the memory of the
// daemon; they must hold for settings files that do not name them.
TEST(CallerLimits, Absent_HaveDefaults) {
  DispatchSettingsOutcome out = parseDispatch("");
  EXPECT_EQ(list(out.Diagnostics), "");
  const CallerLimitSettings &l = out.Value.Limits;
  EXPECT_EQ(l.MemoryMiB, 144u);
  EXPECT_EQ(l.Connections, 3000u);
  EXPECT_EQ(l.HeaderTimeout, 10s);
  EXPECT_EQ(l.BodyTimeout, 10s);
  EXPECT_EQ(l.ResponseTimeout, 10s);
  EXPECT_EQ(l.IdleTimeout, 60s);
  EXPECT_EQ(parseWithMinimal("").Value.Limits.CallerMemory, 256u << 20);
}

TEST(CallerLimits, EveryKey_SetsItsField) {
  DispatchSettingsOutcome out = parseDispatch(
      "limits: {callerMemoryMiB: 8, callerConnections: 65536, "
      "headerTimeout: 100ms, bodyTimeout: 2s, responseTimeout: 10m, "
      "idleTimeout: 6s}\n");
  EXPECT_EQ(list(out.Diagnostics), "");
  const CallerLimitSettings &l = out.Value.Limits;
  EXPECT_EQ(l.MemoryMiB, 8u);
  EXPECT_EQ(l.Connections, 65536u);
  EXPECT_EQ(l.HeaderTimeout, 100ms);
  EXPECT_EQ(l.BodyTimeout, 2s);
  EXPECT_EQ(l.ResponseTimeout, 10min);
  EXPECT_EQ(l.IdleTimeout, 6s);
}

// A limit that is misspelt or out of range must not silently become the
// default, or none.
TEST(CallerLimits, InvalidValuesAndUnknownKeys_AreRejected) {
  const std::pair<const char *, Errc> cases[] = {
      {"callerMemoryMiB: 7", Errc::SettingsOutOfRange},
      {"callerMemoryMiB: 65537", Errc::SettingsOutOfRange},
      {"callerMemoryMiB: 96MiB", Errc::SettingsWrongValue},
      {"callerMemoryMiB: -1", Errc::SettingsWrongValue},
      {"callerConnections: 0", Errc::SettingsOutOfRange},
      {"callerConnections: 65537", Errc::SettingsOutOfRange},
      {"headerTimeout: 99ms", Errc::SettingsOutOfRange},
      {"headerTimeout: 10", Errc::SettingsWrongValue},
      {"bodyTimeout: 11m", Errc::SettingsOutOfRange},
      {"responseTimeout: 0ms", Errc::SettingsOutOfRange},
      {"idleTimeout: 5s", Errc::SettingsOutOfRange},
      {"idleTimeout: 2h", Errc::SettingsOutOfRange},
      {"callerMemory: 96", Errc::SettingsUnknownKey},
  };
  for (const auto &[line, code] : cases) {
    DispatchSettingsOutcome out =
        parseDispatch("limits:\n  " + std::string(line) + "\n");
    ASSERT_EQ(out.Diagnostics.size(), 1u) << line << list(out.Diagnostics);
    EXPECT_EQ(out.Diagnostics[0].Code, code) << list(out.Diagnostics);
    EXPECT_NE(out.Diagnostics[0].message().find("limits."), std::string::npos)
        << list(out.Diagnostics);
  }
  EXPECT_EQ(parseDispatch("limits: [1]\n").Diagnostics.size(), 1u);
}

// A daemon must not start without an address or in a zone that is not listed.
TEST(Settings, MissingKeysAndUnknownOwnZoneAreRejected) {
  SettingsOutcome out = parseSettings(
      "s.yaml", "zone: gauteng\nlisten: {callers: ::1}\nzones: [midrand]\n");
  for (const char *key :
       {"name", "listen.operators", "listen.peer", "store", "hostList"})
    EXPECT_TRUE(std::any_of(out.Diagnostics.begin(), out.Diagnostics.end(),
                            [&](const Diagnostic &f) {
                              return f.Code == Errc::SettingsMissingKey &&
                                     f.Text == "key \"" + std::string(key) +
                                                   "\" is missing";
                            }))
        << key;
  EXPECT_TRUE(hasDiagnostic(out, Errc::SettingsContradiction, 1, "gauteng"));
  EXPECT_TRUE(hasDiagnostic(out, Errc::SettingsWrongValue, 2, "address"));
}

// Malicious input must not let yaml-cpp exceptions escape the parser, and must
// not cause unbounded recursion or memory use.
TEST(Settings, MaliciousInputIsRejectedWithoutException) {
  ASSERT_TRUE(IsMemoryLimited);
  const std::string maliciousInputs[] = {
      "",
      ",",
      "\t",
      "a: [",
      "name: \xff\xfe",
      std::string(100000, '['),
      std::string(100000, '{'),
      std::string("a\0b", 3),
      "&a [*a]",
      "name: *unknown",
      "? [x]\n: y",
      "<<: {name: x}",
      std::string((1 << 20) + 1, 'a'),
      Minimal + "limits: *x",
      "name: !!binary x",
      "%YAML 9.9\n---\nname: x",
      // yaml-cpp's LoadAll loops forever on these and exhausts memory.
      ",",
      "]",
      Minimal + ",",
      Minimal + "}",
      "? ,",
  };
  for (const std::string &it : maliciousInputs)
    EXPECT_FALSE(parseSettings("s.yaml", it).Diagnostics.empty())
        << it.substr(0, 40);
}

RC_GTEST_PROP(Settings, AnyTextIsHandled, (const std::string &text)) {
  parseSettings("s.yaml", text);
}

// Mutated valid input reaches more of the parser than random input.
RC_GTEST_PROP(Settings, AnyMutationOfValidTextIsHandled, ()) {
  std::string text = Minimal + "seed: 7\ntiming: {heartbeat: 500ms}\n";
  auto edits = *rc::gen::inRange(1, 5);
  for (int i = 0; i < edits; ++i) {
    auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::element('\0', ':', '[', '{', '&', '*', '\n', ' ', '9',
                                 '#', '!', '"', '-', '\xc3');
  }
  for (const Diagnostic &it : parseSettings("s.yaml", text).Diagnostics) {
    RC_ASSERT(it.Line > 0u);
    RC_ASSERT(!it.Text.empty());
  }
}

} // namespace
