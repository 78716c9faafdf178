#include "detail/RuleTable.h"

#include <utility>

namespace endivedoor::policy::detail {

void RuleTable::set(LimitTable &table, Index n, std::int64_t value,
                    Index rule) {
  if (n >= table.size())
    table.resize(n + 1);
  table[n] = {value, rule};
}

void RuleTable::apply(const model::RuleSet &rules) {
  std::vector<Counter> before = std::exchange(Counters, {});
  for (LimitTable *it : {&MinZones, &RackLimits, &Quotas, &Reserves, &Latencies,
                         &Deadlines, &ZonesOut, &WorkersOut})
    it->clear();
  Separations.clear();
  OutRules.clear();
  for (const model::Rule &rule : rules.Rules) {
    Index n = Index(Counters.size());
    Counters.push_back({{rule.Text, rule.Contract, 0, 0, {}}, -1});
    for (const Counter &old : before)
      if (old.Status.Rule == rule.Text && old.Status.Contract == rule.Contract)
        Counters[n] = old;
    std::visit([&](const auto &body) { compile(body, n); }, rule.Body);
  }
}

void RuleTable::compile(const model::AtLeastZones &body, Index rule) {
  set(MinZones, Records.Services.intern(body.Service), body.Zones, rule);
}
void RuleTable::compile(const model::SpreadRacks &body, Index rule) {
  set(RackLimits, Records.Services.intern(body.Service), body.MaxPerRack, rule);
}
void RuleTable::compile(const model::ReserveShare &body, Index rule) {
  set(Reserves, Records.Zones.intern(body.Zone), body.Percent, rule);
}
void RuleTable::compile(const model::TeamQuota &body, Index rule) {
  set(Quotas, Records.Teams.intern(body.Team), body.Slots, rule);
}
void RuleTable::compile(const model::SeparateClass &body, Index rule) {
  Separations.push_back({Records.Classes.intern(body.Class),
                         Records.Services.intern(body.Service), rule});
}
void RuleTable::compile(const model::LatencyTarget &body, Index rule) {
  set(Latencies, Records.Services.intern(body.Service), body.P95.count(), rule);
}
void RuleTable::compile(const model::ClassDeadline &body, Index rule) {
  set(Deadlines, Records.Classes.intern(body.Class), body.MaxDuration.count(),
      rule);
}
void RuleTable::compile(const model::ZoneOut &body, Index rule) {
  set(ZonesOut, Records.Zones.intern(body.Zone), 1, rule);
  OutRules.push_back(rule);
}
void RuleTable::compile(const model::WorkerOut &body, Index rule) {
  set(WorkersOut, Records.internWorker(body.Worker), 1, rule);
  OutRules.push_back(rule);
}

std::int32_t RuleTable::batchSlots(const WorkerRec &worker) const {
  Limit reserve = get(Reserves, worker.Zone);
  if (!reserve.isSet())
    return worker.Capacity.Slots;
  // Rounded up so that small workers reserve at least the configured share.
  std::int64_t kept = (worker.Capacity.Slots * reserve.Value + 99) / 100;
  return worker.Capacity.Slots - std::int32_t(kept);
}

std::optional<base::Duration> RuleTable::deadline(Index taskClass) const {
  Limit limit = get(Deadlines, taskClass);
  if (!limit.isSet())
    return std::nullopt;
  return std::chrono::milliseconds(limit.Value);
}

bool RuleTable::isOut(Index worker) const {
  return get(WorkersOut, worker).isSet() ||
         get(ZonesOut, Records.Workers[worker].Zone).isSet();
}

void RuleTable::recordStart() {
  for (Index rule : OutRules)
    ++Counters[rule].Status.Kept;
}

std::vector<RuleStatus> RuleTable::statuses() const {
  std::vector<RuleStatus> all;
  for (const Counter &counter : Counters)
    all.push_back(counter.Status);
  return all;
}

} // namespace endivedoor::policy::detail
