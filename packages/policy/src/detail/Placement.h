/// \file
/// Choice of a worker for a task.
#ifndef ENDIVEDOOR_POLICY_DETAIL_PLACEMENT_H
#define ENDIVEDOOR_POLICY_DETAIL_PLACEMENT_H

#include "detail/Estimator.h"
#include "detail/FreeIndex.h"
#include "detail/LatencyGuard.h"
#include "detail/Health.h"
#include "detail/PredictionCache.h"
#include "detail/RuleTable.h"
#include "detail/Spread.h"

#include <random>

namespace endivedoor::policy::detail {

/// Tasks that no filter tells apart: same class, service, kind and declared
/// size.
struct TaskShape {
  Index Class = 0;
  Index Service = None;
  model::TaskKind Kind = model::TaskKind::Batch;
  base::Resources Declared;
  /// Amounts that are booked, and the estimated processor use.
  base::Resources Need;
  std::int64_t CpuLoad = 0;
  std::uint32_t EstimateVersion = ~std::uint32_t{0};
  /// The job that is being placed can wait no longer.
  bool CannotWait = false;
  /// While blocked, only workers that changed since BlockedAt are tried.
  bool Blocked = false;
  std::uint64_t BlockedAt = 0;
  /// Generation of the workers at the last check that one is large enough.
  std::uint64_t RefusalChecked = 0;
};

/// What the placement reads; it changes none of it.
struct PlacementInputs {
  SchedulerRecords &Records;
  RuleTable &Rules;
  Spread &ServiceSpread;
  Health &WorkerHealth;
  LatencyGuard &ServiceGuard;
  History &MixHistory;
  InterferenceModel &Model;
  Estimator &Estimates;
};

/// Scores a sample of the workers that pass all filters and takes the cheapest.
/// Filters and costs are tables of small functions selected by the settings.
class Placement {
public:
  Placement(const PlacementInputs &in, const PolicySettings &settings,
            std::uint64_t seed);

  /// Returns the number of the job's shape. Cost: O(1).
  Index shapeOf(const JobRec &job);
  TaskShape &shape(Index n) { return Shapes[n]; }
  /// Returns the amounts that are booked for a task of the job.
  const base::Resources &need(const JobRec &job) const {
    return Shapes[job.Shape].Need;
  }
  /// Renews the amounts of a shape from the estimates.
  void refresh(TaskShape &taskShape);

  /// Returns a worker for the next task of the job, or None.
  Index choose(const JobRec &job, base::TimePoint now);

  /// A worker may now take work that it could not take before.
  void onCapacityIncreased(Index worker);
  /// Like opened(), without effect if the worker takes work already.
  void onWorkerReopened(Index worker) {
    if (!acceptsWork(worker))
      onCapacityIncreased(worker);
  }
  /// A worker takes less or no work.
  void onCapacityReduced(Index worker);
  /// All shapes are tried anew on all workers.
  void unblockAll();
  bool acceptsWork(Index worker) const {
    return FreeWorkers[0].contains(worker) || FreeWorkers[1].contains(worker);
  }
  bool isSchedulable(Index worker) const;
  bool passes(Index worker, const TaskShape &taskShape) const;
  /// Whether the rules let the job's next task run on the worker once \p victim
  /// is gone, and the worker does not take it as it is.
  bool isUnblockedByEviction(Index victim, Index worker,
                             const JobRec &job) const;

private:
  struct Candidate {
    const JobRec &Job;
    const TaskShape &Shape;
    Index Worker;
    const WorkerRec &Host;
    base::TimePoint Now;
  };
  using Filter = bool (Placement::*)(Index worker,
                                     const TaskShape &taskShape) const;
  using Cost = double (Placement::*)(const Candidate &taskShape) const;

  bool hasRoom(Index worker, const TaskShape &taskShape) const;
  bool hasCpuCapacity(Index worker, const TaskShape &taskShape) const;
  bool satisfiesReserve(Index worker, const TaskShape &taskShape) const;
  bool satisfiesRackLimit(Index worker, const TaskShape &taskShape) const;
  bool satisfiesSeparation(Index worker, const TaskShape &taskShape) const;
  bool isSeparated(Index worker, const TaskShape &taskShape,
                   Index except) const;
  bool satisfiesLatencyTargets(Index worker, const TaskShape &taskShape) const;

  double loadCost(const Candidate &candidate) const;
  double spreadCost(const Candidate &candidate) const;
  double historyCost(const Candidate &candidate) const;
  double interferenceCost(const Candidate &candidate) const;

  void updateFreeIndex(Index worker);
  double targetOf(Index service) const;
  /// Cost of a latency: steep near the target. Above 1.5 times the target
  /// little is left to lose: noisy tasks then gather where they already are.
  static double latencyCost(double p95, double target);
  double costOf(const Candidate &candidate) const;
  Index chooseProbe(const JobRec &job, const TaskShape &taskShape,
                    base::TimePoint now);
  Index chooseChanged(const JobRec &job, const TaskShape &taskShape,
                      base::TimePoint now);
  Index chooseSampled(const JobRec &job, const TaskShape &taskShape,
                      base::TimePoint now);

  PlacementInputs Inputs;
  std::uint32_t CandidateLimit;
  bool UseMeasuredSizes, ConsolidateServices;
  double DeferRatio;
  std::vector<Filter> Filters;
  std::vector<Cost> Costs;
  std::mt19937_64 Random;
  mutable PredictionCache Predictions;
  /// Time of the choice that is being made.
  base::TimePoint Now{};
  /// Workers that take new work, apart by whether they hold services: a sample
  /// of both finds the few service workers of a large zone.
  std::array<FreeIndex, 2> FreeWorkers;
  std::vector<TaskShape> Shapes;
  boost::unordered_flat_map<std::uint64_t, std::vector<Index>> ShapesByHash;
  /// Workers that were opened, in order; the first has number ChangedBase.
  std::vector<Index> ChangedWorkers;
  std::uint64_t ChangedOffset = 0;
};

} // namespace endivedoor::policy::detail

#endif
