/// \file
/// The rules in force, by number, and how well they are kept.
#ifndef ENDIVEDOOR_POLICY_DETAIL_RULEBOOK_H
#define ENDIVEDOOR_POLICY_DETAIL_RULEBOOK_H

#include "detail/State.h"

#include "endivedoor/policy/Scheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace endivedoor::policy::detail {

/// A limit set by a rule, and the rule's number in the rules file's order.
struct Limit {
  std::int64_t Value = 0;
  Index Rule = None;
  bool set() const { return Rule != None; }
};

/// Class and service that must not share a worker.
struct Separation {
  Index Class;
  Index Service;
  Index Rule;
};

class RuleBook {
public:
  explicit RuleBook(State &s) : S(s) {}

  /// Replaces the rules. Counters of rules with the same text and contract are
  /// kept.
  void apply(const model::RuleSet &rules);

  Limit atLeastZones(Index service) const { return get(Zones, service); }
  Limit maxPerRack(Index service) const { return get(Racks, service); }
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
  void count(Index rule, bool kept, double badness, Text text) {
    if (rule == None)
      return;
    Counter &it = Counters[rule];
    ++(kept ? it.Status.Kept : it.Status.Violated);
    if (kept || badness <= it.Badness)
      return;
    it.Badness = badness;
    it.Status.WorstCase = text();
  }
  /// Counts a start under the rules that take zones and workers out.
  void countStart();

  std::vector<RuleStatus> statuses() const;

private:
  struct Counter {
    RuleStatus Status;
    double Badness = -1;
  };
  using Table = std::vector<Limit>;
  static Limit get(const Table &table, Index n) {
    return n < table.size() ? table[n] : Limit();
  }
  static void set(Table &table, Index n, std::int64_t value, Index rule);

  void compile(const model::AtLeastZones &it, Index rule);
  void compile(const model::SpreadRacks &it, Index rule);
  void compile(const model::ReserveShare &it, Index rule);
  void compile(const model::TeamQuota &it, Index rule);
  void compile(const model::SeparateClass &it, Index rule);
  void compile(const model::LatencyTarget &it, Index rule);
  void compile(const model::ClassDeadline &it, Index rule);
  void compile(const model::ZoneOut &it, Index rule);
  void compile(const model::WorkerOut &it, Index rule);

  State &S;
  std::vector<Counter> Counters;
  Table Zones, Racks, Quotas, Reserves, Latencies, Deadlines, ZonesOut,
      WorkersOut;
  std::vector<Separation> Separations;
  /// Rules that take zones or workers out.
  std::vector<Index> OutRules;
};

} // namespace endivedoor::policy::detail

#endif
