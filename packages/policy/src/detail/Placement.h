/// \file
/// Selection of a worker for a task.
#ifndef ENDIVEDOOR_POLICY_DETAIL_PLACEMENT_H
#define ENDIVEDOOR_POLICY_DETAIL_PLACEMENT_H

#include "detail/Estimator.h"
#include "detail/FreeIndex.h"
#include "detail/Health.h"
#include "detail/LatencyGuard.h"
#include "detail/PredictionCache.h"
#include "detail/RuleTable.h"
#include "detail/Spread.h"

#include <random>

namespace endivedoor::policy::detail {

/// Tasks that are equivalent for placement: same class, service, kind and
/// declared size.
struct TaskShape {
  Index Class = 0;
  Index Service = None;
  model::TaskKind Kind = model::TaskKind::Batch;
  base::Resources Declared;
  /// Amounts to allocate, and the estimated CPU usage.
  base::Resources Need;
  std::int64_t CpuLoad = 0;
  std::uint32_t EstimateVersion = ~std::uint32_t{0};
  /// The job being placed is urgent or past its latest start; it ignores the
  /// latency targets of services.
  bool CannotWait = false;
  /// While blocked, only workers added to ChangedWorkers since BlockedAt are
  /// tried.
  bool Blocked = false;
  std::uint64_t BlockedAt = 0;
  /// Worker generation at the last check that found a worker large enough.
  std::uint64_t RefusalChecked = 0;
};

/// Inputs of the placement, which does not modify them.
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

/// Scores a sample of the workers that pass all filters and selects the one
/// with the lowest cost. The settings determine the lists of filter and cost
/// functions.
class Placement {
public:
  Placement(const PlacementInputs &in, const PolicySettings &settings,
            std::uint64_t seed);

  /// Returns the index of the job's shape. Cost: O(1).
  Index shapeOf(const JobRec &job);
  TaskShape &shape(Index n) { return Shapes[n]; }
  /// Returns the amounts to allocate for a task of the job.
  const base::Resources &need(const JobRec &job) const {
    return Shapes[job.Shape].Need;
  }
  /// Updates the amounts of a shape from the current estimates.
  void refresh(TaskShape &taskShape);

  /// Returns a worker for the next task of the job, or None.
  Index choose(const JobRec &job, base::TimePoint now);

  /// To be called when a worker may accept tasks that it could not accept
  /// before.
  void onCapacityIncreased(Index worker);
  /// Like onCapacityIncreased(), but has no effect if the worker already
  /// accepts work.
  void onWorkerReopened(Index worker) {
    if (!acceptsWork(worker))
      onCapacityIncreased(worker);
  }
  /// To be called when a worker can accept fewer tasks or none.
  void onCapacityReduced(Index worker);
  /// Makes all shapes eligible for all workers again.
  void unblockAll();
  bool acceptsWork(Index worker) const {
    return FreeWorkers[0].contains(worker) || FreeWorkers[1].contains(worker);
  }
  bool isSchedulable(Index worker) const;
  bool passes(Index worker, const TaskShape &taskShape) const;
  /// Returns whether evicting \p victim from the worker allows the job's next
  /// task there: the rules permit it without the victim, and the worker does
  /// not accept it now.
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
  /// Returns the cost of a predicted latency, which rises steeply near the
  /// target.
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
  /// Time of the current call of choose().
  base::TimePoint Now{};
  /// Workers that accept new work, without services at index 0 and with
  /// services at index 1. Sampling both finds the few workers with services in
  /// a large zone.
  std::array<FreeIndex, 2> FreeWorkers;
  std::vector<TaskShape> Shapes;
  boost::unordered_flat_map<std::uint64_t, std::vector<Index>> ShapesByHash;
  /// Workers whose capacity increased, in order; the first one has the sequence
  /// number ChangedOffset.
  std::vector<Index> ChangedWorkers;
  std::uint64_t ChangedOffset = 0;
};

} // namespace endivedoor::policy::detail

#endif
