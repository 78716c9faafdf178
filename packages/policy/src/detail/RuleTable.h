/// \file
/// Active rules in compiled form, with compliance counters.
#ifndef ENDIVEDOOR_POLICY_DETAIL_RULETABLE_H
#define ENDIVEDOOR_POLICY_DETAIL_RULETABLE_H

#include "detail/SchedulerRecords.h"

#include "endivedoor/policy/Scheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedoor::policy::detail {

/// A limit set by a rule, and the index of the rule in the rules file.
struct Limit {
  std::int64_t Value = 0;
  Index Rule = None;
  bool isSet() const { return Rule != None; }
};

/// A class and a service that must not share a worker.
struct Separation {
  Index Class;
  Index Service;
  Index Rule;
};

class RuleTable {
public:
  explicit RuleTable(SchedulerRecords &records) : Records(records) {}

  /// Replaces the rules. Rules with unchanged text and contract keep their
  /// counters.
  void apply(const model::RuleSet &rules);

  Limit minZones(Index service) const { return get(MinZones, service); }
  Limit maxPerRack(Index service) const { return get(RackLimits, service); }
  Limit quota(Index team) const { return get(Quotas, team); }
  /// Returns the number of slots on the worker that batch tasks may use.
  std::int32_t batchSlots(const WorkerRec &worker) const;
  Limit reserve(Index zone) const { return get(Reserves, zone); }
  /// Returns the latency target in ms.
  Limit latency(Index service) const { return get(Latencies, service); }
  std::optional<base::Duration> deadline(Index taskClass) const;
  Limit deadlineRule(Index taskClass) const {
    return get(Deadlines, taskClass);
  }
  bool isOut(Index worker) const;
  const std::vector<Separation> &separations() const { return Separations; }

  /// Records the result of a rule check.
  ///
  /// \param severity severity of a violation; the text of the most severe one
  /// is kept.
  /// \param text function that returns the text of the violation.
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
  /// Records a start as compliant with the rules that take zones and workers
  /// out of service.
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
  /// Rules that take zones or workers out of service.
  std::vector<Index> OutRules;
};

} // namespace endivedoor::policy::detail

#endif
