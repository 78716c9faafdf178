/// \file
/// Placement rules and the parser of the rules file.
#ifndef ENDIVEDOOR_MODEL_RULES_H
#define ENDIVEDOOR_MODEL_RULES_H

#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace endivedoor::model {

/// "at-least N zones service S"
struct AtLeastZones {
  std::int32_t Zones = 1;
  base::ServiceName Service;
};
/// "spread racks service S max N": at most N tasks of the service in one rack.
struct SpreadRacks {
  base::ServiceName Service;
  std::int32_t MaxPerRack = 1;
};
/// "reserve N% zone Z": share of each worker's slots kept free of batch tasks.
struct ReserveShare {
  std::int32_t Percent = 0;
  base::ZoneId Zone;
};
/// "quota team T slots N"
struct TeamQuota {
  base::TeamName Team;
  std::int32_t Slots = 0;
};
/// "separate class C service S": tasks of the class and the service never share
/// a worker.
struct SeparateClass {
  base::TaskClass Class;
  base::ServiceName Service;
};
/// "latency service S p95 Nms"
struct LatencyTarget {
  base::ServiceName Service;
  std::chrono::milliseconds P95{0};
};
/// "deadline class C DURATION": maximum time from admission to completion of a
/// job.
struct ClassDeadline {
  base::TaskClass Class;
  std::chrono::milliseconds MaxDuration{0};
};
/// "zone-out Z"
struct ZoneOut {
  base::ZoneId Zone;
};
/// "worker-out W"
struct WorkerOut {
  base::WorkerId Worker;
};

using RuleBody = std::variant<AtLeastZones, SpreadRacks, ReserveShare,
                              TeamQuota, SeparateClass, LatencyTarget,
                              ClassDeadline, ZoneOut, WorkerOut>;

/// One line of the rules file.
struct Rule {
  std::size_t Line = 0;
  /// The text of the rule without its comment; identifies the rule in reports.
  std::string Text;
  RuleBody Body;
  /// Contract of the customer who requested the rule.
  base::ContractName Contract;
  /// Why the customer requested it.
  std::string Reason;
};

struct RuleSet {
  std::vector<Rule> Rules;
};

/// The entities that rules may refer to.
struct RuleScope {
  std::vector<base::ZoneId> Zones;
};

/// Rules, or the diagnostics of all errors in the text.
struct RulesOutcome {
  RuleSet Value;
  std::vector<Diagnostic> Diagnostics;
};

/// Parses a rules file: one rule per line with a trailing comment "# WHO: WHY".
/// Empty lines and lines that contain only a comment are allowed. Errors:
/// unknown rule or key, missing comment, number out of range, unknown zone, two
/// rules that contradict each other, a rule that can never be satisfied.
///
/// \param file name used in diagnostics. Cost: linear in the text.
RulesOutcome parseRules(const std::string &file, const std::string &text,
                        const RuleScope &scope);

} // namespace endivedoor::model

#endif
