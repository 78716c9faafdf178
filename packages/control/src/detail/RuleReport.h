/// \file
/// Counts how often rules are satisfied and violated.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_RULEREPORT_H
#define ENDIVEDOOR_CONTROL_DETAIL_RULEREPORT_H

#include "detail/ConfigManager.h"
#include "detail/TaskTable.h"
#include "detail/WorkerLeases.h"

#include <map>
#include <tuple>

namespace endivedoor::control::detail {

/// Returns the number of zones in which a service has a target; negative if
/// unknown.
using ServiceZoneCounter =
    std::function<std::int32_t(const base::ServiceName &)>;

/// Hourly counters of every rule in the local zone. They are stored in the
/// journal together with the tasks, so a new owner continues the counts of the
/// previous one.
class RuleReport {
public:
  RuleReport(Context &context, const ConfigManager &config,
             const TaskTable &table, const WorkerLeases &leases,
             const ServiceZoneCounter &serviceZones);

  /// Checks every rule about states once.
  void sample();
  /// Checks the deadline rules for a job that has ended.
  void recordJobEnd(const JobRecord &job);
  /// Records the measured 95th percentile latency of a service task.
  void recordLatency(const base::TaskId &task, std::chrono::milliseconds p95);

  /// Returns the rows of the current hour.
  std::vector<ReportRow> rows() const;
  /// Returns whether there are unwritten counts and the write interval has
  /// passed.
  bool isWriteDue() const;
  /// Appends the changed rows to a commit: as journal records, and as the keys
  /// of the report.
  void appendChanges(std::vector<std::string> &records,
                     std::vector<platform::StoreOp> &puts);
  /// Completes the commit of the rows written last; they stay pending if it
  /// failed.
  void finishCommit(bool committed);
  std::vector<std::string> encodeAll() const;
  /// Restores a row from the journal.
  void apply(ReportRow row);

private:
  struct CheckResult {
    bool Applies = false;
    bool Kept = true;
    /// Larger is worse.
    std::int64_t Severity = 0;
    std::string Description;
  };
  using RowKey = std::tuple<base::ContractName, std::int64_t, std::string>;
  struct Row {
    ReportRow Counts;
    std::int64_t WorstSeverity = 0;
  };

  std::int64_t currentHour() const;
  /// Computes the totals that several rules use.
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
