/// \file
/// The rules in force, by number, and how well they are kept.
#ifndef ENDIVEDOOR_POLICY_DETAIL_RULETABLE_H
#define ENDIVEDOOR_POLICY_DETAIL_RULETABLE_H

#include "detail/SchedulerRecords.h"

#include "endivedoor/policy/Scheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedoor::policy::detail {

/// A limit set by a rule, and the rule's number in the rules file's order.
struct Limit {
  std::int64_t Value = 0;
  Index Rule = None;
  bool isSet() const { return Rule != None; }
};

/// Class and service that must not share a worker.
struct Separation {
  Index Class;
  Index Service;
  Index Rule;
};

class RuleTable {
public:
  explicit RuleTable(SchedulerRecords &records) : Records(records) {}

  /// Replaces the rules. Counters of rules with the same text and contract are
  /// kept.
  void apply(const model::RuleSet &rules);

  Limit minZones(Index service) const { return get(MinZones, service); }
  Limit maxPerRack(Index service) const { return get(RackLimits, service); }
  Limit quota(Index team) const { return get(Quotas, team); }
  /// Slots of the worker that batch work may take.
  std::int32_t batchSlots(const WorkerRec &worker) const;
  Limit reserve(Index zone) const { return get(Reserves, zone); }
  /// Target in ms.
  Limit latency(Index service) const { return get(Latencies, service); }
  std::optional<base::Duration> deadline(Index taskClass) const;
  Limit deadlineRule(Index taskClass) const {
    return get(Deadlines, taskClass);
  }
  bool isOut(Index worker) const;
  const std::vector<Separation> &separations() const { return Separations; }

  /// Counts one check of a rule.
  ///
  /// \param badness how bad a violation is; the worst one's text is kept.
  template <typename Text>
  void recordCheck(Index rule, bool kept, double severity, Text text) {
    if (rule == None)
      return;
    Counter &counter = Counters[rule];
    ++(kept ? counter.Status.Kept : counter.Status.Violated);
    if (kept || severity <= counter.Severity)
      return;
    counter.Severity = severity;
    counter.Status.WorstCase = text();
  }
  /// Counts a start under the rules that take zones and workers out.
  void recordStart();

  std::vector<RuleStatus> statuses() const;

private:
  struct Counter {
    RuleStatus Status;
    double Severity = -1;
  };
  using LimitTable = std::vector<Limit>;
  static Limit get(const LimitTable &table, Index n) {
    return n < table.size() ? table[n] : Limit();
  }
  static void set(LimitTable &table, Index n, std::int64_t value, Index rule);

  void compile(const model::AtLeastZones &body, Index rule);
  void compile(const model::SpreadRacks &body, Index rule);
  void compile(const model::ReserveShare &body, Index rule);
  void compile(const model::TeamQuota &body, Index rule);
  void compile(const model::SeparateClass &body, Index rule);
  void compile(const model::LatencyTarget &body, Index rule);
  void compile(const model::ClassDeadline &body, Index rule);
  void compile(const model::ZoneOut &body, Index rule);
  void compile(const model::WorkerOut &body, Index rule);

  SchedulerRecords &Records;
  std::vector<Counter> Counters;
  LimitTable MinZones, RackLimits, Quotas, Reserves, Latencies, Deadlines,
      ZonesOut, WorkersOut;
  std::vector<Separation> Separations;
  /// Rules that take zones or workers out.
  std::vector<Index> OutRules;
};

} // namespace endivedoor::policy::detail

#endif
