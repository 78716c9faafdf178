#include "detail/ConfigManager.h"

#include "detail/Codec.h"
#include "detail/Keys.h"

#include <algorithm>

namespace endivedoor::control::detail {

using base::Errc;
using base::EventCode;
using platform::StoreOp;

bool ConfigManager::isZoneOut(const base::ZoneId &zone) const {
  return Current.ZonesOut.count(zone) > 0 || ZonesOutByRule.count(zone) > 0;
}

bool ConfigManager::isWorkerOut(const base::WorkerId &worker) const {
  return Current.WorkersOut.count(worker) > 0 ||
         WorkersOutByRule.count(worker) > 0;
}

std::vector<base::ZoneId> ConfigManager::availableZones() const {
  std::vector<base::ZoneId> inService, owned;
  for (const base::ZoneId &it : Ctx.Settings.Zones) {
    if (isZoneOut(it))
      continue;
    inService.push_back(it);
    // Counts the local zone as owned, since this daemon can become its owner at
    // any time.
    if (Owners.count(it) > 0 || it == Ctx.Settings.Zone)
      owned.push_back(it);
  }
  return owned.empty() ? inService : owned;
}

void ConfigManager::adopt(const Configuration &config) {
  if (config.Version == Current.Version && Current.ModRevision == 0 &&
      config.WriteId == Current.WriteId)
    Current.ModRevision = config.ModRevision;
  if (config.Version <= Current.Version)
    return;
  Current = config;
  updateRules();
  Ctx.Events.emit(EventCode::ConfigurationInForce,
                  {{"version", std::to_string(config.Version)},
                   {"author", config.Author},
                   {"zone", Ctx.Settings.Zone.str()}});
  if (Observer)
    Observer(Current);
}

void ConfigManager::adopt(const platform::StoreEntry &entry) {
  auto config = configurationFromJson(entry.Value);
  if (!config) {
    Ctx.Events.emit(EventCode::ConfigurationUnreadable,
                    {{"error", config.error().message()}});
    return;
  }
  config.value().ModRevision = entry.ModRevision;
  adopt(config.value());
}

void ConfigManager::onChange(
    std::function<void(const Configuration &)> observer) {
  Observer = std::move(observer);
}

void ConfigManager::updateRules() {
  auto parsed = model::parseRules("rules", Current.RulesText,
                                  model::RuleScope{Ctx.Settings.Zones});
  if (!parsed.Diagnostics.empty()) {
    Ctx.Events.emit(EventCode::ConfigurationUnreadable,
                    {{"error", parsed.Diagnostics.front().message()}});
    return;
  }
  Rules = std::move(parsed.Value);
  ZonesOutByRule.clear();
  WorkersOutByRule.clear();
  for (const model::Rule &it : Rules.Rules) {
    if (const auto *zone = std::get_if<model::ZoneOut>(&it.Body))
      ZonesOutByRule.insert(zone->Zone);
    if (const auto *worker = std::get_if<model::WorkerOut>(&it.Body))
      WorkersOutByRule.insert(worker->Worker);
  }
}

static ObservedOwner readOwner(const platform::StoreEntry &entry) {
  ObservedOwner owner;
  owner.Epoch = base::Epoch{static_cast<std::uint64_t>(entry.CreateRevision)};
  auto value = parseJson(entry.Value);
  if (!value)
    return owner;
  FieldReader in(value.value());
  owner.Name = in.text("name");
  owner.Instance = in.text("instance");
  return owner;
}

platform::Async<void> ConfigManager::poll() {
  platform::StoreTxn request;
  request.Success.push_back(StoreOp::range(ConfigKey));
  for (const base::ZoneId &it : Ctx.Settings.Zones)
    request.Success.push_back(StoreOp::range(ownerKey(it)));
  auto answer = co_await Ctx.Store.txn(std::move(request));
  Ctx.recordStoreResult(answer ? nullptr : &answer.error());
  // A read has no side effects, so a lost response is equivalent to a failed
  // call.
  if (!answer)
    co_return base::Error{Errc::StoreUnavailable, answer.error().Detail};
  const auto &ranges = answer.value().Ranges;
  if (ranges.size() != Ctx.Settings.Zones.size() + 1)
    co_return base::Error{Errc::PlatformAnswerInvalid,
                          "the response has the wrong number of ranges"};
  if (!ranges[0].empty())
    adopt(ranges[0].front());
  Owners.clear();
  for (std::size_t n = 1; n < ranges.size(); ++n)
    if (!ranges[n].empty())
      Owners[Ctx.Settings.Zones[n - 1]] = readOwner(ranges[n].front());
  co_return base::success();
}

boost::asio::awaitable<void> ConfigManager::run() {
  Backoff backoff;
  while (!Ctx.Stopping) {
    auto polled = co_await poll();
    base::Duration pause = Ctx.Settings.Timing.ConfigPoll;
    if (polled)
      backoff.reset();
    else
      pause = std::max(pause, backoff.nextDelay(Ctx.Random));
    co_await Ctx.Sleep(pause);
  }
}

ChangeOutcome ConfigManager::reportConflict(const Configuration &rejected) {
  Ctx.Events.emit(EventCode::ConfigurationConflict,
                  {{"version", std::to_string(Current.Version)},
                   {"author", rejected.Author},
                   {"winner", Current.Author}});
  return {false, Current};
}

/// Returns whether the stored configuration \p entry proves that \p next was
/// written.
static bool isOwnWrite(const platform::StoreEntry &entry,
                       const Configuration &next) {
  auto config = configurationFromJson(entry.Value);
  return config && config.value().WriteId == next.WriteId;
}

/// Replaces the previous version by \p next. The write id distinguishes an own
/// write whose response was lost from a write of another operator.
platform::Async<ChangeOutcome> ConfigManager::write(Configuration next) {
  next.WriteId = Ctx.nextWriteId();
  platform::StoreTxn request;
  request.Compares.push_back({ConfigKey,
                              platform::StoreCompare::Field::ModRevision,
                              next.ModRevision});
  request.Success.push_back(StoreOp::put(ConfigKey, toJson(next)));
  request.Success.push_back(StoreOp::range(ConfigKey));
  request.Failure.push_back(StoreOp::range(ConfigKey));
  Backoff backoff;
  bool answerLost = false;
  base::Error error;
  for (int n = 0; n < 4; ++n) {
    auto answer = co_await Ctx.Store.txn(request);
    Ctx.recordStoreResult(answer ? nullptr : &answer.error());
    if (!answer) {
      error = answer.error();
      answerLost = answerLost || error.Code != Errc::StoreUnavailable;
      co_await Ctx.Sleep(backoff.nextDelay(Ctx.Random));
      continue;
    }
    const auto &ranges = answer.value().Ranges;
    if (ranges.empty() || ranges[0].empty())
      co_return base::Error{Errc::PlatformAnswerInvalid,
                            "the configuration key is missing"};
    adopt(ranges[0].front());
    if (isOwnWrite(ranges[0].front(), next)) {
      next.ModRevision = ranges[0].front().ModRevision;
      co_return ChangeOutcome{true, next};
    }
    // Another operator's higher version may have replaced the own write.
    if (answerLost && Current.Version > next.Version)
      co_return base::Error{Errc::StoreAnswerLost, "configuration"};
    co_return reportConflict(next);
  }
  if (answerLost)
    error.Code = Errc::StoreAnswerLost;
  co_return error;
}

static std::string formatFaults(const std::vector<model::Diagnostic> &faults) {
  std::string text;
  for (const model::Diagnostic &it : faults)
    text += (text.empty() ? "" : "\n") + it.message();
  return text;
}

platform::Async<ChangeOutcome>
ConfigManager::putRules(std::string text, std::uint64_t baseVersion,
                        std::string author) {
  if (text.size() > Ctx.Settings.Limits.RulesBytes)
    co_return base::Error{Errc::LimitExceeded, "rules"};
  auto parsed =
      model::parseRules("rules", text, model::RuleScope{Ctx.Settings.Zones});
  if (!parsed.Diagnostics.empty())
    co_return base::Error{Errc::RulesRejected,
                          formatFaults(parsed.Diagnostics)};
  // The operator's base version may be newer than the one this daemon knows.
  if (baseVersion != Current.Version || Current.ModRevision == 0) {
    auto polled = co_await poll();
    if (!polled)
      co_return polled.error();
  }
  Configuration next = Current;
  next.RulesText = std::move(text);
  next.Author = std::move(author);
  next.Version = baseVersion + 1;
  if (baseVersion != Current.Version)
    co_return reportConflict(next);
  co_return co_await write(std::move(next));
}

platform::Async<ChangeOutcome>
ConfigManager::setZoneOut(base::ZoneId zone, bool out, std::string author) {
  const auto &zones = Ctx.Settings.Zones;
  if (std::find(zones.begin(), zones.end(), zone) == zones.end())
    co_return base::Error{Errc::ZoneUnknown, zone.str()};
  auto polled = co_await poll();
  if (!polled)
    co_return polled.error();
  if (!out && ZonesOutByRule.count(zone) > 0)
    co_return base::Error{Errc::ZoneOutByRule, zone.str()};
  Configuration next = Current;
  if (out)
    next.ZonesOut.insert(zone);
  else
    next.ZonesOut.erase(zone);
  next.Author = std::move(author);
  next.Version = Current.Version + 1;
  co_return co_await write(std::move(next));
}

} // namespace endivedoor::control::detail
