#include "endivedoor/model/DispatchSettings.h"

#include "detail/YamlSection.h"

#include <yaml-cpp/yaml.h>

namespace endivedoor::model {

using base::Errc;
using detail::YamlDiagnostics;
using detail::YamlSection;
using namespace std::chrono_literals;

struct DurationField {
  const char *Key;
  std::chrono::milliseconds DispatchSettings::*Member;
  detail::Bounds<std::chrono::milliseconds> Range;
};

constexpr DurationField DurationFields[] = {
    {"longestHold", &DispatchSettings::MaxLease, {1s, 10min}},
    {"harmTime", &DispatchSettings::MaxTargetMissTime, {100ms, 10min}},
    {"stopGrace", &DispatchSettings::StopGrace, {100ms, 1h}},
    {"shortestLease", &DispatchSettings::MinStoreLease, {1ms, 1min}},
    {"revokeTime", &DispatchSettings::RevokeTime, {100ms, 1h}},
};

struct LimitCountField {
  const char *Key;
  std::size_t CallerLimitSettings::*Member;
  detail::Bounds<std::uint64_t> Range;
};

constexpr LimitCountField LimitCountFields[] = {
    // A request has up to 1 MiB of body; several have to fit.
    {"callerMemoryMiB", &CallerLimitSettings::MemoryMiB, {8, 65536}},
    {"callerConnections", &CallerLimitSettings::Connections, {1, 65536}},
};

struct LimitTimeField {
  const char *Key;
  std::chrono::milliseconds CallerLimitSettings::*Member;
  detail::Bounds<std::chrono::milliseconds> Range;
};

constexpr LimitTimeField LimitTimeFields[] = {
    {"headerTimeout", &CallerLimitSettings::HeaderTimeout, {100ms, 10min}},
    {"bodyTimeout", &CallerLimitSettings::BodyTimeout, {100ms, 10min}},
    {"responseTimeout", &CallerLimitSettings::ResponseTimeout, {100ms, 10min}},
    // HttpClient reuses a connection that has been idle for up to 5 s.
    {"idleTimeout", &CallerLimitSettings::IdleTimeout, {6s, 1h}},
};

constexpr const char *RevokeFailClosedKey = "revokeFailClosed";

static void readLimits(YamlDiagnostics &diagnostics, const YAML::Node &node,
                       CallerLimitSettings &to) {
  std::vector<std::string> keys;
  for (const LimitCountField &it : LimitCountFields)
    keys.emplace_back(it.Key);
  for (const LimitTimeField &it : LimitTimeFields)
    keys.emplace_back(it.Key);
  YamlSection section(diagnostics, node, "limits", keys);
  for (const LimitCountField &it : LimitCountFields)
    if (auto n = section.readNumber(it.Key, it.Range))
      to.*it.Member = *n;
  for (const LimitTimeField &it : LimitTimeFields)
    section.readDuration(it.Key, to.*it.Member, it.Range);
}

static void readRoot(YamlDiagnostics &diagnostics, const YAML::Node &node,
                     DispatchSettings &to) {
  YamlSection root(diagnostics, node, "",
                   {"name", "zone", "listen", "installation", "bounds",
                    "workersPerShard", "processorShare", "linkMbps",
                    "keptEvents", "logLinesPerSecond", "limits"});
  root.readName("name", to.Name);
  std::string zone;
  root.readName("zone", zone);
  to.Zone = base::ZoneId(zone);
  if (std::optional<YAML::Node> it = root.require("listen")) {
    YamlSection listen(diagnostics, *it, "listen",
                       {"callers", "health", "metrics"});
    listen.readAddress("callers", to.Callers);
    listen.readAddress("health", to.Health);
    listen.readAddress("metrics", to.Metrics);
  }
  if (std::optional<YAML::Node> it = root.require("installation")) {
    YamlSection section(diagnostics, *it, "installation", {"store"});
    section.readAddress("store", to.Store);
  }
  if (std::optional<YAML::Node> it = root.find("bounds")) {
    std::vector<std::string> keys = {RevokeFailClosedKey};
    for (const DurationField &field : DurationFields)
      keys.emplace_back(field.Key);
    YamlSection bounds(diagnostics, *it, "bounds", keys);
    for (const DurationField &field : DurationFields)
      bounds.readDuration(field.Key, to.*field.Member, field.Range);
    if (std::optional<YAML::Node> flag = bounds.find(RevokeFailClosedKey);
        flag && !YAML::convert<bool>::decode(*flag, to.RevokeFailClosed))
      diagnostics.add(flag->Mark(), Errc::SettingsWrongValue,
                      "\"bounds.revokeFailClosed\" is not a Boolean",
                      "use true or false");
  }
  if (std::optional<YAML::Node> it = root.find("limits"))
    readLimits(diagnostics, *it, to.Limits);
  if (auto n = root.readNumber("workersPerShard", {1, 10000}))
    to.WorkersPerShard = static_cast<std::int32_t>(*n);
  if (auto n = root.readNumber("logLinesPerSecond", {0, 1 << 20}))
    to.LogLinesPerSecond = *n;
  if (std::optional<YAML::Node> it = root.find("processorShare")) {
    constexpr double minCores = 0.001, maxCores = 1000;
    to.Cores = it->as<double>(0);
    // Written so that it rejects NaN, which YAML can express.
    if (!(to.Cores >= minCores && to.Cores <= maxCores))
      diagnostics.add(it->Mark(), Errc::SettingsWrongValue,
                      "\"processorShare\" is not a number of cores",
                      "use 0.001 to 1000");
  }
  if (std::optional<YAML::Node> it = root.find("linkMbps")) {
    constexpr double minMbps = 0.01, maxMbps = 1e6;
    to.LinkMbps = it->as<double>(0);
    if (!(to.LinkMbps >= minMbps && to.LinkMbps <= maxMbps))
      diagnostics.add(it->Mark(), Errc::SettingsWrongValue,
                      "\"linkMbps\" is not a rate in Mbit/s",
                      "use 0.01 to 1000000");
  }
  if (auto n = root.readNumber("keptEvents", {16, 1 << 20}))
    to.RetainedEvents = *n;
}

bool isDispatchSettings(const std::string &text) {
  try {
    YAML::Node node = YAML::Load(text);
    return node.IsMap() && node["installation"];
  } catch (const YAML::Exception &) {
    // parseSettings reports the syntax error.
    return false;
  }
}

DispatchSettingsOutcome parseDispatchSettings(const std::string &file,
                                              const std::string &text) {
  DispatchSettingsOutcome out;
  YamlDiagnostics diagnostics{file, {}, {}};
  try {
    readRoot(diagnostics, YAML::Load(text), out.Value);
  } catch (const YAML::Exception &e) {
    diagnostics.add(e.mark, Errc::SettingsSyntax, "not valid YAML: " + e.msg,
                    "correct the text at this place");
  }
  out.Diagnostics = std::move(diagnostics.Entries);
  return out;
}

} // namespace endivedoor::model
