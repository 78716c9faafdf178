/// \file
/// Choice of a worker for a task.
#ifndef ENDIVEDOOR_POLICY_DETAIL_PLACEMENT_H
#define ENDIVEDOOR_POLICY_DETAIL_PLACEMENT_H

#include "detail/Estimator.h"
#include "detail/FreeIndex.h"
#include "detail/Guard.h"
#include "detail/Health.h"
#include "detail/PredictionCache.h"
#include "detail/RuleBook.h"
#include "detail/Spread.h"

#include <random>

namespace endivedoor::policy::detail {

/// Tasks that no filter tells apart: same class, service, kind and declared
/// size.
struct Shape {
  Index Class = 0;
  Index Service = None;
  model::TaskKind Kind = model::TaskKind::Batch;
  base::Resources Declared;
  /// Amounts that are booked, and the estimated processor use.
  base::Resources Need;
  std::int64_t CpuLoad = 0;
  std::uint32_t EstimateVersion = ~std::uint32_t{0};
  /// The job that is being placed can wait no longer.
  bool Pressing = false;
  /// While blocked, only workers that changed since BlockedAt are tried.
  bool Blocked = false;
  std::uint64_t BlockedAt = 0;
  /// Generation of the workers at the last check that one is large enough.
  std::uint64_t RefusalChecked = 0;
};

/// What the placement reads; it changes none of it.
struct PlacementInputs {
  State &S;
  RuleBook &Rules;
  Spread &Where;
  Health &Fitness;
  Guard &Latency;
  History &Past;
  Interference &Model;
  Estimator &Sizes;
};

/// Scores a sample of the workers that pass all filters and takes the cheapest.
/// Filters and costs are tables of small functions selected by the settings.
class Placement {
public:
  Placement(const PlacementInputs &in, const PolicySettings &settings,
            std::uint64_t seed);

  /// Returns the number of the job's shape. Cost: O(1).
  Index shapeOf(const JobRec &job);
  Shape &shape(Index n) { return Shapes[n]; }
  /// Returns the amounts that are booked for a task of the job.
  const base::Resources &need(const JobRec &job) const {
    return Shapes[job.Shape].Need;
  }
  /// Renews the amounts of a shape from the estimates.
  void refresh(Shape &it);

  /// Returns a worker for the next task of the job, or None.
  Index choose(const JobRec &job, base::TimePoint now);

  /// A worker may now take work that it could not take before.
  void opened(Index worker);
  /// Like opened(), without effect if the worker takes work already.
  void reopened(Index worker) {
    if (!takesWork(worker))
      opened(worker);
  }
  /// A worker takes less or no work.
  void narrowed(Index worker);
  /// All shapes are tried anew on all workers.
  void unblockAll();
  bool takesWork(Index worker) const {
    return Free[0].contains(worker) || Free[1].contains(worker);
  }
  bool isOpen(Index worker) const;
  bool passes(Index worker, const Shape &it) const;
  /// Whether the rules let the job's next task run on the worker once \p victim
  /// is gone, and the worker does not take it as it is.
  bool isOpenedBy(Index victim, Index worker, const JobRec &job) const;

private:
  struct Candidate {
    const JobRec &Job;
    const Shape &Of;
    Index Worker;
    const WorkerRec &Host;
    base::TimePoint Now;
  };
  using Filter = bool (Placement::*)(Index worker, const Shape &it) const;
  using Cost = double (Placement::*)(const Candidate &it) const;

  bool hasRoom(Index worker, const Shape &it) const;
  bool hasProcessorTime(Index worker, const Shape &it) const;
  bool keepsReserve(Index worker, const Shape &it) const;
  bool keepsRackLimit(Index worker, const Shape &it) const;
  bool keepsSeparation(Index worker, const Shape &it) const;
  bool isSeparated(Index worker, const Shape &it, Index except) const;
  bool keepsTargets(Index worker, const Shape &it) const;

  double loadCost(const Candidate &it) const;
  double spreadCost(const Candidate &it) const;
  double historyCost(const Candidate &it) const;
  double interferenceCost(const Candidate &it) const;

  void put(Index worker);
  double targetOf(Index service) const;
  /// Cost of a latency: steep near the target. Above 1.5 times the target
  /// little is left to lose: noisy tasks then gather where they already are.
  static double strain(double p95, double target);
  double costOf(const Candidate &it) const;
  Index chooseProbe(const JobRec &job, const Shape &it, base::TimePoint now);
  Index chooseChanged(const JobRec &job, const Shape &it, base::TimePoint now);
  Index chooseSampled(const JobRec &job, const Shape &it, base::TimePoint now);

  PlacementInputs In;
  std::uint32_t CandidateLimit;
  bool Measured, Gather;
  double HoldRatio;
  std::vector<Filter> Filters;
  std::vector<Cost> Costs;
  std::mt19937_64 Random;
  mutable PredictionCache Expected;
  /// Time of the choice that is being made.
  base::TimePoint Now{};
  /// Workers that take new work, apart by whether they hold services: a sample
  /// of both finds the few service workers of a large zone.
  std::array<FreeIndex, 2> Free;
  std::vector<Shape> Shapes;
  boost::unordered_flat_map<std::uint64_t, std::vector<Index>> ShapesByHash;
  /// Workers that were opened, in order; the first has number ChangedBase.
  std::vector<Index> Changed;
  std::uint64_t ChangedBase = 0;
};

} // namespace endivedoor::policy::detail

#endif
