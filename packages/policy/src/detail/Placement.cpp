#include "detail/Placement.h"

#include <algorithm>
#include <limits>

namespace endivedoor::policy::detail {

/// Maximum number of changed workers kept for blocked shapes; beyond it, a full
/// scan is cheaper than the list.
static constexpr std::size_t MaxChangedWorkers = 16384;

Placement::Placement(const PlacementInputs &in, const PolicySettings &settings,
                     std::uint64_t seed)
    : Inputs(in), CandidateLimit(settings.Candidates),
      UseMeasuredSizes(settings.MeasuredSizes),
      ConsolidateServices(settings.ConsolidateServices),
      DeferRatio(settings.DeferRatio), Filters{&Placement::hasRoom,
                                               &Placement::hasCpuCapacity,
                                               &Placement::satisfiesReserve,
                                               &Placement::satisfiesRackLimit,
                                               &Placement::satisfiesSeparation},
      Costs{&Placement::loadCost, &Placement::spreadCost,
            &Placement::historyCost},
      Random(seed),
      Predictions(Inputs.Records, Inputs.MixHistory, Inputs.Model) {
  if (settings.InterferenceCost)
    Costs.push_back(&Placement::interferenceCost);
  if (settings.DeferBatchTasks)
    Filters.push_back(&Placement::satisfiesLatencyTargets);
}

static std::uint64_t hashOf(const JobRec &job) {
  std::uint64_t h = job.Class;
  for (std::uint64_t part :
       {std::uint64_t(job.Service), std::uint64_t(job.Kind),
        std::uint64_t(job.Size.Slots), std::uint64_t(job.Size.Connections),
        std::uint64_t(base::count(job.Size.Cpu)),
        std::uint64_t(base::count(job.Size.Memory)),
        std::uint64_t(job.Size.Accelerators)})
    h = (h ^ part) * 0x9E3779B97F4A7C15ull + (h >> 29);
  return h;
}

Index Placement::shapeOf(const JobRec &job) {
  std::vector<Index> &bucket = ShapesByHash[hashOf(job)];
  for (Index n : bucket) {
    const TaskShape &taskShape = Shapes[n];
    if (taskShape.Class == job.Class && taskShape.Service == job.Service &&
        taskShape.Kind == job.Kind && taskShape.Declared == job.Size)
      return n;
  }
  TaskShape fresh;
  fresh.Class = job.Class;
  fresh.Service = job.Service;
  fresh.Kind = job.Kind;
  fresh.Declared = job.Size;
  bucket.push_back(Index(Shapes.size()));
  Shapes.push_back(fresh);
  return bucket.back();
}

void Placement::refresh(TaskShape &taskShape) {
  const Estimate &known = Inputs.Estimates.estimate(taskShape.Class);
  if (taskShape.EstimateVersion == known.Version)
    return;
  taskShape.EstimateVersion = known.Version;
  base::Resources before = taskShape.Need;
  taskShape.Need = taskShape.Declared;
  taskShape.CpuLoad = base::count(taskShape.Declared.Cpu);
  if (UseMeasuredSizes && known.MilliCores >= 0)
    taskShape.CpuLoad = std::int64_t(known.MilliCores);
  if (UseMeasuredSizes && known.MemoryMb >= 0) {
    // Never below the declared size: a worker that checks the declared size
    // would refuse the start.
    std::int64_t memory = std::max(std::int64_t(known.MemoryMb),
                                   base::count(taskShape.Declared.Memory));
    taskShape.Need.Memory = base::MebiBytes{memory};
  }
  if (!before.fitsIn(taskShape.Need))
    taskShape.Blocked = false;
}

bool Placement::isSchedulable(Index worker) const {
  const WorkerRec &workerRec = Inputs.Records.Workers[worker];
  return workerRec.Known && !workerRec.Leaving && !workerRec.Removed &&
         !Inputs.Rules.isOut(worker);
}

void Placement::onCapacityIncreased(Index worker) {
  updateFreeIndex(worker);
  if (!acceptsWork(worker))
    return;
  if (ChangedWorkers.size() >= MaxChangedWorkers)
    unblockAll();
  ChangedWorkers.push_back(worker);
}

void Placement::onCapacityReduced(Index worker) {
  // A worker that becomes schedulable is added by onCapacityIncreased().
  if (acceptsWork(worker))
    updateFreeIndex(worker);
}

void Placement::updateFreeIndex(Index worker) {
  const WorkerRec &workerRec = Inputs.Records.Workers[worker];
  bool open =
      isSchedulable(worker) && !Inputs.WorkerHealth.isQuarantined(worker);
  bool services = !workerRec.Services.empty();
  FreeWorkers[!services].remove(worker);
  if (open)
    FreeWorkers[services].put(worker, workerRec.Free.Slots);
  else
    FreeWorkers[services].remove(worker);
}

void Placement::unblockAll() {
  for (TaskShape &taskShape : Shapes)
    taskShape.Blocked = false;
  ChangedOffset += ChangedWorkers.size();
  ChangedWorkers.clear();
}

bool Placement::passes(Index worker, const TaskShape &taskShape) const {
  return std::all_of(Filters.begin(), Filters.end(),
                     [&](Filter f) { return (this->*f)(worker, taskShape); });
}

bool Placement::hasRoom(Index worker, const TaskShape &taskShape) const {
  const base::Resources &free = Inputs.Records.Workers[worker].Free;
  return taskShape.Need.Slots <= free.Slots &&
         taskShape.Need.Connections <= free.Connections &&
         base::count(taskShape.Need.Memory) <= base::count(free.Memory) &&
         taskShape.Need.Accelerators <= free.Accelerators;
}

bool Placement::hasCpuCapacity(Index worker, const TaskShape &taskShape) const {
  if (taskShape.Kind == model::TaskKind::Service)
    return true;
  const WorkerRec &host = Inputs.Records.Workers[worker];
  std::int64_t capacity = base::count(host.Capacity.Cpu);
  // A task estimated to exceed the worker's CPU capacity may run alone on it:
  // its declared size is probably wrong, and CPU time is shared rather than
  // exhausted.
  std::int64_t load = std::min(taskShape.CpuLoad, capacity);
  return host.CpuLoad + load <= capacity;
}

bool Placement::satisfiesReserve(Index worker,
                                 const TaskShape &taskShape) const {
  if (taskShape.Kind != model::TaskKind::Batch)
    return true;
  const WorkerRec &host = Inputs.Records.Workers[worker];
  return host.BatchSlots + taskShape.Need.Slots <=
         Inputs.Rules.batchSlots(host);
}

bool Placement::satisfiesRackLimit(Index worker,
                                   const TaskShape &taskShape) const {
  if (taskShape.Service == None)
    return true;
  Limit limit = Inputs.Rules.maxPerRack(taskShape.Service);
  return !limit.isSet() ||
         Inputs.ServiceSpread.inRack(taskShape.Service,
                                     Inputs.Records.Workers[worker].Rack) <
             limit.Value;
}

bool Placement::satisfiesLatencyTargets(Index worker,
                                        const TaskShape &taskShape) const {
  if (taskShape.Kind != model::TaskKind::Batch || taskShape.CannotWait)
    return true;
  const std::vector<ServiceCount> &services =
      Inputs.Records.Workers[worker].Services;
  for (std::size_t n = 0; n < services.size(); ++n) {
    Limit target = Inputs.Rules.latency(services[n].Service);
    double added = Inputs.Model.weight(services[n].Service, taskShape.Class);
    if (!target.isSet() || added < 0.02 * double(target.Value))
      continue;
    double p95 = Predictions.predictions(worker, Now)[n];
    if (p95 + added > DeferRatio * double(target.Value))
      return false;
  }
  return true;
}

bool Placement::satisfiesSeparation(Index worker,
                                    const TaskShape &taskShape) const {
  return isSeparated(worker, taskShape, None);
}

bool Placement::isUnblockedByEviction(Index victim, Index worker,
                                      const JobRec &job) const {
  const TaskShape &taskShape = Shapes[job.Shape];
  return satisfiesRackLimit(worker, taskShape) &&
         isSeparated(worker, taskShape, victim) && !passes(worker, taskShape);
}

/// Returns whether the separation rules allow the task on the worker, ignoring
/// the task \p except.
bool Placement::isSeparated(Index worker, const TaskShape &taskShape,
                            Index except) const {
  for (const Separation &rule : Inputs.Rules.separations()) {
    if (taskShape.Class == rule.Class)
      for (const ServiceCount &there : Inputs.Records.Workers[worker].Services)
        if (there.Service == rule.Service)
          return false;
    if (taskShape.Service == rule.Service)
      for (Index task : Inputs.Records.Workers[worker].Tasks)
        if (task != except && Inputs.Records.jobOf(task).Class == rule.Class)
          return false;
  }
  return true;
}

/// Exceeds the benefit of consolidation, but stays below the cost of a rule
/// violation.
constexpr double SingleWorkerCost = 10;

double Placement::loadCost(const Candidate &candidate) const {
  double capacity = double(
      std::max<std::int64_t>(1, base::count(candidate.Host.Capacity.Cpu)));
  double use =
      double(candidate.Host.CpuLoad + candidate.Shape.CpuLoad) / capacity;
  return 0.3 * use + 3 * std::max(0.0, use - 0.9);
}

double Placement::targetOf(Index service) const {
  Limit limit = Inputs.Rules.latency(service);
  if (limit.isSet())
    return double(limit.Value);
  // Without a target, four times the base latency is used instead.
  return 4 * std::max(1e-3, Inputs.Model.base(service));
}

double Placement::latencyCost(double p95, double target) {
  double ratio = p95 / target;
  // Grows only slowly above a ratio of 1.5: further interference does little
  // additional harm there, so noisy tasks are concentrated on workers that
  // already exceed the target.
  return 0.2 * ratio + 5 * std::clamp(ratio - 0.6, 0.0, 0.9);
}

double Placement::interferenceCost(const Candidate &candidate) const {
  double sum = 0;
  for (std::size_t n = 0; n < candidate.Host.Services.size(); ++n) {
    const ServiceCount &there = candidate.Host.Services[n];
    double added = Inputs.Model.weight(there.Service, candidate.Shape.Class);
    if (added <= 0)
      continue;
    double p95 = Predictions.predictions(candidate.Worker, Now)[n];
    double target = targetOf(there.Service);
    sum += there.Count *
           (latencyCost(p95 + added, target) - latencyCost(p95, target));
  }
  if (candidate.Shape.Service != None) {
    double p95 = Inputs.Model.predict(
        candidate.Shape.Service, Inputs.MixHistory.current(candidate.Worker));
    sum += latencyCost(p95, targetOf(candidate.Shape.Service));
  }
  return 4 * sum;
}

double Placement::spreadCost(const Candidate &candidate) const {
  if (candidate.Shape.Service == None)
    return 0;
  std::int32_t services = 0, same = 0;
  for (const ServiceCount &there : candidate.Host.Services) {
    services += there.Count;
    same += there.Service == candidate.Shape.Service ? there.Count : 0;
  }
  double slots = std::max(1, candidate.Host.Capacity.Slots);
  double share = services / slots;
  // Relative to an even spread, which makes the cost independent of the sizes
  // of services and zones.
  double total =
      std::max(1, Inputs.ServiceSpread.total(candidate.Shape.Service));
  double sum = 0.8 * same / slots +
               0.1 *
                   Inputs.ServiceSpread.inRack(candidate.Shape.Service,
                                               candidate.Host.Rack) *
                   Inputs.Records.Racks.size() / total +
               0.1 *
                   Inputs.ServiceSpread.inZone(candidate.Shape.Service,
                                               candidate.Host.Zone) *
                   Inputs.Records.Zones.size() / total;
  // Consolidates services on workers until they use half of the slots, which
  // leaves other workers to noisy tasks.
  if (ConsolidateServices)
    sum += share < 0.5 ? -2 * share : 2 * share;
  // A service with all of its tasks on one worker goes down with that worker.
  if (same > 0 && same == Inputs.ServiceSpread.total(candidate.Shape.Service))
    sum += SingleWorkerCost;
  Limit zones = Inputs.Rules.minZones(candidate.Shape.Service);
  if (zones.isSet() &&
      Inputs.ServiceSpread.inZone(candidate.Shape.Service,
                                  candidate.Host.Zone) > 0 &&
      Inputs.ServiceSpread.zones(candidate.Shape.Service) < zones.Value)
    sum += 1000;
  return sum;
}

double Placement::historyCost(const Candidate &candidate) const {
  const std::vector<Index> &failed = candidate.Job.FailedOn;
  double sum = 0;
  if (std::find(failed.begin(), failed.end(), candidate.Worker) != failed.end())
    sum += 100;
  if (Inputs.ServiceGuard.isCoolingDown(candidate.Worker, candidate.Shape.Class,
                                        candidate.Now))
    sum += 10;
  return sum;
}

double Placement::costOf(const Candidate &candidate) const {
  double sum = 0;
  for (Cost cost : Costs)
    sum += (this->*cost)(candidate);
  return sum;
}

Index Placement::chooseProbe(const JobRec &job, const TaskShape &taskShape,
                             base::TimePoint now) {
  if (job.Kind != model::TaskKind::Batch || job.Urgent ||
      Inputs.WorkerHealth.isSuspect(job))
    return None;
  for (Index worker : Inputs.WorkerHealth.dueProbes(now))
    if (isSchedulable(worker) && passes(worker, taskShape))
      return worker;
  return None;
}

Index Placement::chooseChanged(const JobRec &job, const TaskShape &taskShape,
                               base::TimePoint now) {
  Index best = None;
  double bestCost = std::numeric_limits<double>::infinity();
  for (std::size_t n = taskShape.BlockedAt - ChangedOffset;
       n < ChangedWorkers.size(); ++n) {
    Index worker = ChangedWorkers[n];
    if (!acceptsWork(worker) || !passes(worker, taskShape))
      continue;
    double cost =
        costOf({job, taskShape, worker, Inputs.Records.Workers[worker], now});
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}

Index Placement::chooseSampled(const JobRec &job, const TaskShape &taskShape,
                               base::TimePoint now) {
  Index best = None;
  double bestCost = std::numeric_limits<double>::infinity();
  auto consider = [&](Index worker) {
    if (!passes(worker, taskShape))
      return;
    double cost =
        costOf({job, taskShape, worker, Inputs.Records.Workers[worker], now});
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  };
  bool all = true;
  for (const FreeIndex &part : FreeWorkers)
    all &= part.sample(taskShape.Need.Slots, CandidateLimit / 2, Random(),
                       consider);
  if (best == None && !all)
    for (const FreeIndex &part : FreeWorkers)
      part.sample(taskShape.Need.Slots, Inputs.Records.Workers.size(), 0,
                  consider);
  return best;
}

Index Placement::choose(const JobRec &job, base::TimePoint now) {
  TaskShape &taskShape = Shapes[job.Shape];
  refresh(taskShape);
  Now = now;
  taskShape.CannotWait =
      job.Urgent || job.LatestStart < now.time_since_epoch().count();
  if (Index probe = chooseProbe(job, taskShape, now); probe != None)
    return probe;
  Index worker = taskShape.Blocked ? chooseChanged(job, taskShape, now)
                                   : chooseSampled(job, taskShape, now);
  if (worker == None) {
    taskShape.Blocked = true;
    taskShape.BlockedAt = ChangedOffset + ChangedWorkers.size();
  }
  return worker;
}

} // namespace endivedoor::policy::detail
