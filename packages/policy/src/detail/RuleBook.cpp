#include "detail/RuleBook.h"

#include <utility>

namespace endivedoor::policy::detail {

void RuleBook::set(Table &table, Index n, std::int64_t value, Index rule) {
  if (n >= table.size())
    table.resize(n + 1);
  table[n] = {value, rule};
}

void RuleBook::apply(const model::RuleSet &rules) {
  std::vector<Counter> before = std::exchange(Counters, {});
  for (Table *it : {&Zones, &Racks, &Quotas, &Reserves, &Latencies, &Deadlines,
                    &ZonesOut, &WorkersOut})
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

void RuleBook::compile(const model::AtLeastZones &it, Index rule) {
  set(Zones, S.Services.intern(it.Service), it.Zones, rule);
}
void RuleBook::compile(const model::SpreadRacks &it, Index rule) {
  set(Racks, S.Services.intern(it.Service), it.MaxPerRack, rule);
}
void RuleBook::compile(const model::ReserveShare &it, Index rule) {
  set(Reserves, S.Zones.intern(it.Zone), it.Percent, rule);
}
void RuleBook::compile(const model::TeamQuota &it, Index rule) {
  set(Quotas, S.Teams.intern(it.Team), it.Slots, rule);
}
void RuleBook::compile(const model::SeparateClass &it, Index rule) {
  Separations.push_back(
      {S.Classes.intern(it.Class), S.Services.intern(it.Service), rule});
}
void RuleBook::compile(const model::LatencyTarget &it, Index rule) {
  set(Latencies, S.Services.intern(it.Service), it.P95.count(), rule);
}
void RuleBook::compile(const model::ClassDeadline &it, Index rule) {
  set(Deadlines, S.Classes.intern(it.Class), it.Within.count(), rule);
}
void RuleBook::compile(const model::ZoneOut &it, Index rule) {
  set(ZonesOut, S.Zones.intern(it.Zone), 1, rule);
  OutRules.push_back(rule);
}
void RuleBook::compile(const model::WorkerOut &it, Index rule) {
  set(WorkersOut, S.referWorker(it.Worker), 1, rule);
  OutRules.push_back(rule);
}

std::int32_t RuleBook::batchSlots(const WorkerRec &worker) const {
  Limit reserve = get(Reserves, worker.Zone);
  if (!reserve.set())
    return worker.Capacity.Slots;
  // Rounded up, so that a small worker keeps at least the share free.
  std::int64_t kept = (worker.Capacity.Slots * reserve.Value + 99) / 100;
  return worker.Capacity.Slots - std::int32_t(kept);
}

std::optional<base::Duration> RuleBook::deadline(Index taskClass) const {
  Limit it = get(Deadlines, taskClass);
  if (!it.set())
    return std::nullopt;
  return std::chrono::milliseconds(it.Value);
}

bool RuleBook::isOut(Index worker) const {
  return get(WorkersOut, worker).set() ||
         get(ZonesOut, S.Workers[worker].Zone).set();
}

void RuleBook::countStart() {
  for (Index rule : OutRules)
    ++Counters[rule].Status.Kept;
}

std::vector<RuleStatus> RuleBook::statuses() const {
  std::vector<RuleStatus> all;
  for (const Counter &it : Counters)
    all.push_back(it.Status);
  return all;
}

} // namespace endivedoor::policy::detail
