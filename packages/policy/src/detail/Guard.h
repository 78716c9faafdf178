/// \file
/// Protects the latency of services by throttling and evicting neighbours.
#ifndef ENDIVEDOOR_POLICY_DETAIL_GUARD_H
#define ENDIVEDOOR_POLICY_DETAIL_GUARD_H

#include "detail/History.h"
#include "detail/Interference.h"
#include "detail/State.h"

#include "endivedoor/policy/PolicySettings.h"

namespace endivedoor::policy::detail {

/// Reacts to measurements of services that have a latency target. Each worker
/// is judged by the service that is worst off there.
class Guard {
public:
  Guard(State &s, History &past, Interference &model,
        const GuardSettings &settings)
      : S(s), Past(past), Model(model), Settings(settings) {}

  /// Judges a worker by a measurement and appends what is to be done.
  ///
  /// \param ratio measured 95th percentile over the target.
  void judge(Index task, double p95Ms, double targetMs, base::TimePoint takenAt,
             base::TimePoint now, std::vector<Decision> &out);
  /// The task left the worker.
  void forget(Index task, Index worker);
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
  struct Cooling {
    Index Class;
    base::TimePoint Until;
  };
  struct WorkerGuard {
    std::vector<Reading> Readings;
    std::vector<Cooling> CoolDowns;
    base::TimePoint ActedAt{};
    base::TimePoint OverSince{};
    base::TimePoint CalmSince{};
    bool Over = false;
    bool Calm = false;
    bool Throttled = false;
  };
  WorkerGuard &record(Index worker);
  static double worstRatio(WorkerGuard &it, Index task, double ratio);
  /// Batch tasks of the worker that may be acted on.
  const std::vector<Index> &neighbours(Index worker);
  /// Neighbours that noticeably slow the service down.
  const std::vector<Index> &culprits(Index worker, Index service,
                                     double targetMs);
  bool throttle(Index worker, Index service, double targetMs, double excessMs,
                base::TimePoint now, std::vector<Decision> &out);
  bool evictOne(Index worker, Index service, double targetMs,
                base::TimePoint now, std::vector<Decision> &out);
  bool lift(Index worker, Index service, double roomMs, base::TimePoint now,
            std::vector<Decision> &out);
  void setThrottle(Index task, std::int32_t percent, base::TimePoint now,
                   std::vector<Decision> &out);
  double victimValue(Index task, Index service, base::TimePoint now) const;

  State &S;
  History &Past;
  Interference &Model;
  GuardSettings Settings;
  std::vector<WorkerGuard> Workers;
  std::vector<Index> Neighbours;
};

} // namespace endivedoor::policy::detail

#endif
