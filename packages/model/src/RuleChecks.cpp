#include "detail/RuleChecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace endivedoor::model::detail {

using base::Errc;

namespace {

/// What a rule is about and the value it demands. Two rules with the same
/// subject and different values contradict each other.
struct Demand {
  std::string Subject;
  std::int64_t Value = 0;
};

struct DemandOf {
  Demand operator()(const AtLeastZones &it) const {
    return {"at-least " + it.Service.str(), it.Zones};
  }
  Demand operator()(const SpreadRacks &it) const {
    return {"spread " + it.Service.str(), it.MaxPerRack};
  }
  Demand operator()(const ReserveShare &it) const {
    return {"reserve " + it.Zone.str(), it.Percent};
  }
  Demand operator()(const TeamQuota &it) const {
    return {"quota " + it.Team.str(), it.Slots};
  }
  Demand operator()(const SeparateClass &it) const {
    return {"separate " + it.Class.str() + " " + it.Service.str()};
  }
  Demand operator()(const LatencyTarget &it) const {
    return {"latency " + it.Service.str(), it.P95.count()};
  }
  Demand operator()(const ClassDeadline &it) const {
    return {"deadline " + it.Class.str(), it.Within.count()};
  }
  Demand operator()(const ZoneOut &it) const {
    return {"zone-out " + it.Zone.str()};
  }
  Demand operator()(const WorkerOut &it) const {
    return {"worker-out " + it.Worker.str()};
  }
};

/// Compares each rule with the earlier ones about the same subject. The same
/// demand by two contracts is allowed: both are reported on at renewal.
void checkRepeats(const std::string &file, const RuleSet &rules,
                  std::vector<TextFault> &faults) {
  struct First {
    std::int64_t Value;
    std::size_t Line;
    std::set<base::ContractName> Contracts;
  };
  std::map<std::string, First> firsts;
  for (const Rule &it : rules.Rules) {
    Demand demand = std::visit(DemandOf{}, it.Body);
    auto [at, added] =
        firsts.try_emplace(demand.Subject, First{demand.Value, it.Line, {}});
    std::string other = " line " + std::to_string(at->second.Line);
    if (at->second.Value != demand.Value)
      faults.push_back({file, it.Line, 0, Errc::RulesContradiction,
                        "\"" + it.Text + "\" contradicts" + other,
                        "change or remove one of the two"});
    else if (!at->second.Contracts.insert(it.Contract).second)
      faults.push_back(
          {file, it.Line, 0, Errc::RulesRepeated,
           "\"" + it.Text + "\" repeats" + other + " for the same contract",
           "remove one of the two"});
  }
}

void checkZoneCounts(const std::string &file, const RuleSet &rules,
                     const RuleScope &scope, std::vector<TextFault> &faults) {
  std::set<base::ZoneId> left(scope.Zones.begin(), scope.Zones.end());
  const auto all = static_cast<std::int32_t>(left.size());
  for (const Rule &it : rules.Rules)
    if (const auto *out = std::get_if<ZoneOut>(&it.Body)) {
      left.erase(out->Zone);
      if (left.empty() && all > 0)
        return faults.push_back({file, it.Line, 0, Errc::RulesImpossible,
                                 "the zone-out rules leave no zone",
                                 "keep one zone in service"});
    }
  for (const Rule &it : rules.Rules) {
    const auto *rule = std::get_if<AtLeastZones>(&it.Body);
    if (!rule || rule->Zones <= static_cast<std::int32_t>(left.size()))
      continue;
    bool impossible = rule->Zones > all;
    faults.push_back(
        {file, it.Line, 0,
         impossible ? Errc::RulesImpossible : Errc::RulesContradiction,
         "\"" + it.Text + "\" needs more zones than the " +
             std::to_string(impossible ? all : static_cast<int>(left.size())) +
             (impossible ? " there are" : " that the zone-out rules leave"),
         impossible ? "demand fewer zones"
                    : "demand fewer zones or remove a zone-out rule"});
  }
}

} // namespace

void checkRules(const std::string &file, const RuleSet &rules,
                const RuleScope &scope, std::vector<TextFault> &faults) {
  checkRepeats(file, rules, faults);
  checkZoneCounts(file, rules, scope, faults);
}

} // namespace endivedoor::model::detail
