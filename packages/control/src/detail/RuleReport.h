/// \file
/// Counts how the rules are kept.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_RULEREPORT_H
#define ENDIVEDOOR_CONTROL_DETAIL_RULEREPORT_H

#include "detail/ConfigManager.h"
#include "detail/TaskTable.h"
#include "detail/WorkerLeases.h"

#include <map>
#include <tuple>

namespace endivedoor::control::detail {

/// Number of zones in which a service has a target; negative if unknown.
using ServiceZoneCounter =
    std::function<std::int32_t(const base::ServiceName &)>;

/// Hourly counters of every rule in the own zone. They are kept in the journal
/// with the tasks, so a new owner goes on counting where the old one ended.
class RuleReport {
public:
  RuleReport(Context &context, const ConfigManager &config,
             const TaskTable &table, const WorkerLeases &leases,
             const ServiceZoneCounter &serviceZones);

  /// Checks every rule about states once.
  void sample();
  /// Checks the rules about deadlines for a job that has ended.
  void recordJobEnd(const JobRecord &job);
  /// Notes a service task's measured 95th percentile.
  void recordLatency(const base::TaskId &task, std::chrono::milliseconds p95);

  /// Returns the rows of the current hour.
  std::vector<ReportRow> rows() const;
  /// Returns whether there are counts that are not written yet and are due.
  bool isWriteDue() const;
  /// Adds changed rows to a draft: as records of the journal, and as the
  /// report's own keys.
  void appendChanges(std::vector<std::string> &records,
                     std::vector<platform::StoreOp> &puts);
  /// Ends the commit of what was written.
  void finishCommit(bool committed);
  std::vector<std::string> encodeAll() const;
  /// Applies a row of the journal.
  void apply(ReportRow row);

private:
  struct CheckResult {
    bool Applies = false;
    bool Kept = true;
    /// How bad it is; larger is worse.
    std::int64_t Severity = 0;
    std::string Description;
  };
  using RowKey = std::tuple<base::ContractName, std::int64_t, std::string>;
  struct Row {
    ReportRow Counts;
    std::int64_t WorstSeverity = 0;
  };

  std::int64_t currentHour() const;
  /// Adds up once what several rules ask for.
  void computeTotals();
  void count(const model::Rule &rule, const CheckResult &result);
  void removePastHours();
  CheckResult check(const model::AtLeastZones &rule) const;
  CheckResult check(const model::SpreadRacks &rule) const;
  CheckResult check(const model::ReserveShare &rule) const;
  CheckResult check(const model::TeamQuota &rule) const;
  CheckResult check(const model::SeparateClass &rule) const;
  CheckResult check(const model::LatencyTarget &rule) const;
  CheckResult check(const model::ClassDeadline &rule) const;
  CheckResult check(const model::ZoneOut &rule) const;
  CheckResult check(const model::WorkerOut &rule) const;

  Context &Ctx;
  const ConfigManager &Config;
  const TaskTable &Table;
  const WorkerLeases &Leases;
  const ServiceZoneCounter &ServiceZones;
  std::map<base::TeamName, std::int64_t> TeamSlots;
  std::int64_t BatchTasks = 0;
  std::map<RowKey, Row> Rows;
  std::map<base::TaskId, std::chrono::milliseconds> Latencies;
  std::set<RowKey> Dirty;
  std::set<RowKey> InFlight;
  base::TimePoint LastWrite;
};

} // namespace endivedoor::control::detail

#endif
