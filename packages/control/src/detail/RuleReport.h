/// \file
/// Counts how the rules are kept.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_RULEREPORT_H
#define ENDIVEDOOR_CONTROL_DETAIL_RULEREPORT_H

#include "detail/ConfigKeeper.h"
#include "detail/TaskTable.h"
#include "detail/WorkerLeases.h"

#include <map>
#include <tuple>

namespace endivedoor::control::detail {

/// Number of zones in which a service has a target; negative if unknown.
using ZoneCounter = std::function<std::int32_t(const base::ServiceName &)>;

/// Hourly counters of every rule in the own zone. They are kept in the journal
/// with the tasks, so a new owner goes on counting where the old one ended.
class RuleReport {
public:
  RuleReport(Context &context, const ConfigKeeper &keeper,
             const TaskTable &table, const WorkerLeases &leases,
             const ZoneCounter &zones);

  /// Checks every rule about states once.
  void sample();
  /// Checks the rules about deadlines for a job that has ended.
  void jobEnded(const JobRecord &job);
  /// Notes a service task's measured 95th percentile.
  void measured(const base::TaskId &task, std::chrono::milliseconds p95);

  /// Returns the rows of the current hour.
  std::vector<ReportRow> rows() const;
  /// Returns whether there are counts that are not written yet and are due.
  bool due() const;
  /// Adds changed rows to a draft: as records of the journal, and as the
  /// report's own keys.
  void write(std::vector<std::string> &ops,
             std::vector<platform::StoreOp> &puts);
  /// Ends the commit of what was written.
  void settle(bool committed);
  std::vector<std::string> encodeAll() const;
  /// Applies a row of the journal.
  void apply(ReportRow row);

private:
  struct Verdict {
    bool Applies = false;
    bool Kept = true;
    /// How bad it is; larger is worse.
    std::int64_t Measure = 0;
    std::string Text;
  };
  using Key = std::tuple<base::ContractName, std::int64_t, std::string>;
  struct Row {
    ReportRow Counts;
    std::int64_t Measure = 0;
  };

  std::int64_t hour() const;
  /// Adds up once what several rules ask for.
  void sumUp();
  void count(const model::Rule &rule, const Verdict &verdict);
  void dropOldHours();
  Verdict check(const model::AtLeastZones &rule) const;
  Verdict check(const model::SpreadRacks &rule) const;
  Verdict check(const model::ReserveShare &rule) const;
  Verdict check(const model::TeamQuota &rule) const;
  Verdict check(const model::SeparateClass &rule) const;
  Verdict check(const model::LatencyTarget &rule) const;
  Verdict check(const model::ClassDeadline &rule) const;
  Verdict check(const model::ZoneOut &rule) const;
  Verdict check(const model::WorkerOut &rule) const;

  Context &Ctx;
  const ConfigKeeper &Keeper;
  const TaskTable &Table;
  const WorkerLeases &Leases;
  const ZoneCounter &Zones;
  std::map<base::TeamName, std::int64_t> TeamSlots;
  std::int64_t BatchTasks = 0;
  std::map<Key, Row> Rows;
  std::map<base::TaskId, std::chrono::milliseconds> Latencies;
  std::set<Key> Dirty;
  std::set<Key> InFlight;
  base::TimePoint LastWrite;
};

} // namespace endivedoor::control::detail

#endif
