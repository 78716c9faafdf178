/// \file
/// Protects the latency of services by throttling and evicting neighbours.
#ifndef ENDIVEDOOR_POLICY_DETAIL_LATENCYGUARD_H
#define ENDIVEDOOR_POLICY_DETAIL_LATENCYGUARD_H

#include "detail/History.h"
#include "detail/InterferenceModel.h"
#include "detail/SchedulerRecords.h"

#include "endivedoor/policy/PolicySettings.h"

namespace endivedoor::policy::detail {

/// Reacts to measurements of services that have a latency target. Each worker
/// is judged by the service that is worst off there.
class LatencyGuard {
public:
  LatencyGuard(SchedulerRecords &records, History &mixHistory,
               InterferenceModel &model, const GuardSettings &settings)
      : Records(records), MixHistory(mixHistory), Model(model),
        Settings(settings) {}

  /// Judges a worker by a measurement and appends what is to be done.
  ///
  /// \param ratio measured 95th percentile over the target.
  void evaluate(Index task, double p95Ms, double targetMs,
                base::TimePoint takenAt, base::TimePoint now,
                std::vector<Decision> &out);
  /// The task left the worker.
  void removeTask(Index task, Index worker);
  /// Marks a task as being evicted, which is reported once.
  void evict(Index task, std::string reason, base::TimePoint now,
             std::vector<Decision> &out);
  /// Whether the class was evicted from the worker a short time ago.
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
  /// Batch tasks of the worker that may be acted on.
  const std::vector<Index> &neighbours(Index worker);
  /// Neighbours that noticeably slow the service down.
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
