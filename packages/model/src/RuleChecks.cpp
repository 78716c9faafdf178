#include "detail/RuleChecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace endivedoor::model::detail {

using base::Errc;

namespace {

/// The subject of a rule and the value it requires. Two rules with the same
/// subject and different values contradict each other.
struct Demand {
  std::string Subject;
  std::int64_t Value = 0;
};

struct DemandVisitor {
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
    return {"deadline " + it.Class.str(), it.MaxDuration.count()};
  }
  Demand operator()(const ZoneOut &it) const {
    return {"zone-out " + it.Zone.str()};
  }
  Demand operator()(const WorkerOut &it) const {
    return {"worker-out " + it.Worker.str()};
  }
};

/// Reports rules that duplicate or contradict an earlier one on the same
/// subject. Two contracts may have the same rule, because compliance is
/// reported for each at its renewal.
void checkConflicts(const std::string &file, const RuleSet &rules,
                    std::vector<Diagnostic> &diagnostics) {
  struct First {
    std::int64_t Value;
    std::size_t Line;
    std::set<base::ContractName> Contracts;
  };
  std::map<std::string, First> firsts;
  for (const Rule &it : rules.Rules) {
    Demand demand = std::visit(DemandVisitor{}, it.Body);
    auto [at, added] =
        firsts.try_emplace(demand.Subject, First{demand.Value, it.Line, {}});
    std::string other = " line " + std::to_string(at->second.Line);
    if (at->second.Value != demand.Value)
      diagnostics.push_back({file, it.Line, 0, Errc::RulesContradiction,
                             "\"" + it.Text + "\" contradicts" + other,
                             "change or remove one of the two"});
    else if (!at->second.Contracts.insert(it.Contract).second)
      diagnostics.push_back(
          {file, it.Line, 0, Errc::RulesRepeated,
           "\"" + it.Text + "\" repeats" + other + " for the same contract",
           "remove one of the two"});
  }
}

void checkZoneCounts(const std::string &file, const RuleSet &rules,
                     const RuleScope &scope,
                     std::vector<Diagnostic> &diagnostics) {
  std::set<base::ZoneId> remaining(scope.Zones.begin(), scope.Zones.end());
  const auto total = static_cast<std::int32_t>(remaining.size());
  for (const Rule &it : rules.Rules)
    if (const auto *out = std::get_if<ZoneOut>(&it.Body)) {
      remaining.erase(out->Zone);
      if (remaining.empty() && total > 0)
        return diagnostics.push_back({file, it.Line, 0, Errc::RulesImpossible,
                                      "the zone-out rules leave no zone",
                                      "keep one zone in service"});
    }
  for (const Rule &it : rules.Rules) {
    const auto *rule = std::get_if<AtLeastZones>(&it.Body);
    if (!rule || rule->Zones <= static_cast<std::int32_t>(remaining.size()))
      continue;
    bool impossible = rule->Zones > total;
    diagnostics.push_back(
        {file, it.Line, 0,
         impossible ? Errc::RulesImpossible : Errc::RulesContradiction,
         "\"" + it.Text + "\" needs more zones than the " +
             std::to_string(impossible ? total
                                       : static_cast<int>(remaining.size())) +
             (impossible ? " there are" : " that the zone-out rules leave"),
         impossible ? "demand fewer zones"
                    : "demand fewer zones or remove a zone-out rule"});
  }
}

} // namespace

void checkRules(const std::string &file, const RuleSet &rules,
                const RuleScope &scope, std::vector<Diagnostic> &diagnostics) {
  checkConflicts(file, rules, diagnostics);
  checkZoneCounts(file, rules, scope, diagnostics);
}

} // namespace endivedoor::model::detail
