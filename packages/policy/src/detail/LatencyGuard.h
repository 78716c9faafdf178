/// \file
/// Protects the latency of services by throttling and evicting co-located batch
/// tasks.
#ifndef ENDIVEDOOR_POLICY_DETAIL_LATENCYGUARD_H
#define ENDIVEDOOR_POLICY_DETAIL_LATENCYGUARD_H

#include "detail/History.h"
#include "detail/InterferenceModel.h"
#include "detail/SchedulerRecords.h"

#include "endivedoor/policy/PolicySettings.h"

namespace endivedoor::policy::detail {

/// Reacts to latency measurements of services with a latency target. A worker's
/// state is that of its service with the highest ratio of measured latency to
/// target.
class LatencyGuard {
public:
  LatencyGuard(SchedulerRecords &records, History &mixHistory,
               InterferenceModel &model, const GuardSettings &settings)
      : Records(records), MixHistory(mixHistory), Model(model),
        Settings(settings) {}

  /// Evaluates a measurement and appends the resulting decisions to \p out.
  ///
  /// \param p95Ms measured 95th percentile of the service's response time.
  /// \param targetMs latency target of the service.
  void evaluate(Index task, double p95Ms, double targetMs,
                base::TimePoint takenAt, base::TimePoint now,
                std::vector<Decision> &out);
  /// Removes the readings of a task that is no longer on the worker.
  void removeTask(Index task, Index worker);
  /// Marks a task as being evicted and appends the eviction. Evicting tasks are
  /// not selected as victims again.
  void evict(Index task, std::string reason, base::TimePoint now,
             std::vector<Decision> &out);
  /// Returns whether a task of the class was evicted from the worker within the
  /// cool-down period.
  bool isCoolingDown(Index worker, Index taskClass, base::TimePoint now) const;

private:
  struct Reading {
    Index Task;
    double Ratio;
  };
  struct CoolDown {
    Index Class;
    base::TimePoint Until;
  };
  struct WorkerGuard {
    std::vector<Reading> Readings;
    std::vector<CoolDown> CoolDowns;
    base::TimePoint ActedAt{};
    base::TimePoint AboveEvictRatioSince{};
    base::TimePoint BelowLowRatioSince{};
    bool AboveEvictRatio = false;
    bool BelowLowRatio = false;
    bool Throttled = false;
  };
  WorkerGuard &record(Index worker);
  static double worstRatio(WorkerGuard &guard, Index task, double ratio);
  /// Returns the worker's batch tasks that are not already being evicted.
  const std::vector<Index> &neighbours(Index worker);
  /// Returns the neighbours with a noticeable effect on the service's latency.
  const std::vector<Index> &interferingNeighbours(Index worker, Index service,
                                                  double targetMs);
  bool throttleNeighbours(Index worker, Index service, double targetMs,
                          double excessMs, base::TimePoint now,
                          std::vector<Decision> &out);
  bool evictOne(Index worker, Index service, double targetMs,
                base::TimePoint now, std::vector<Decision> &out);
  bool liftThrottles(Index worker, Index service, double headroomMs,
                     base::TimePoint now, std::vector<Decision> &out);
  void setThrottle(Index task, std::int32_t percent, base::TimePoint now,
                   std::vector<Decision> &out);
  double victimScore(Index task, Index service, base::TimePoint now) const;

  SchedulerRecords &Records;
  History &MixHistory;
  InterferenceModel &Model;
  GuardSettings Settings;
  std::vector<WorkerGuard> Workers;
  std::vector<Index> Neighbours;
};

} // namespace endivedoor::policy::detail

#endif
