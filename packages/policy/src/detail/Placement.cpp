#include "detail/Placement.h"

#include <algorithm>
#include <limits>

namespace endivedoor::policy::detail {

/// Opened workers that are remembered for blocked shapes; beyond that a full
/// scan is cheaper than the list.
static constexpr std::size_t MaxChanged = 16384;

Placement::Placement(const PlacementInputs &in, const PolicySettings &settings,
                     std::uint64_t seed)
    : In(in), CandidateLimit(settings.Candidates),
      Measured(settings.MeasuredSizes), Gather(settings.GatherServices),
      HoldRatio(settings.HoldRatio), Filters{&Placement::hasRoom,
                                             &Placement::hasProcessorTime,
                                             &Placement::keepsReserve,
                                             &Placement::keepsRackLimit,
                                             &Placement::keepsSeparation},
      Costs{&Placement::loadCost, &Placement::spreadCost,
            &Placement::historyCost},
      Random(seed), Expected(In.S, In.Past, In.Model) {
  if (settings.InterferenceCost)
    Costs.push_back(&Placement::interferenceCost);
  if (settings.HoldBack)
    Filters.push_back(&Placement::keepsTargets);
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
    const Shape &it = Shapes[n];
    if (it.Class == job.Class && it.Service == job.Service &&
        it.Kind == job.Kind && it.Declared == job.Size)
      return n;
  }
  Shape fresh;
  fresh.Class = job.Class;
  fresh.Service = job.Service;
  fresh.Kind = job.Kind;
  fresh.Declared = job.Size;
  bucket.push_back(Index(Shapes.size()));
  Shapes.push_back(fresh);
  return bucket.back();
}

void Placement::refresh(Shape &it) {
  const Estimate &known = In.Sizes.estimate(it.Class);
  if (it.EstimateVersion == known.Version)
    return;
  it.EstimateVersion = known.Version;
  base::Resources before = it.Need;
  it.Need = it.Declared;
  it.CpuLoad = base::count(it.Declared.Cpu);
  if (Measured && known.MilliCores >= 0)
    it.CpuLoad = std::int64_t(known.MilliCores);
  if (Measured && known.MemoryMb >= 0) {
    // Never less than declared: a worker that checks the declared size would
    // refuse the start.
    std::int64_t memory =
        std::max(std::int64_t(known.MemoryMb), base::count(it.Declared.Memory));
    it.Need.Memory = base::MebiBytes{memory};
  }
  if (!before.fitsIn(it.Need))
    it.Blocked = false;
}

bool Placement::isOpen(Index worker) const {
  const WorkerRec &it = In.S.Workers[worker];
  return it.Known && !it.Leaving && !it.Removed && !In.Rules.isOut(worker);
}

void Placement::opened(Index worker) {
  put(worker);
  if (!takesWork(worker))
    return;
  if (Changed.size() >= MaxChanged)
    unblockAll();
  Changed.push_back(worker);
}

void Placement::narrowed(Index worker) {
  // A worker that opens meanwhile is told by opened().
  if (takesWork(worker))
    put(worker);
}

void Placement::put(Index worker) {
  const WorkerRec &it = In.S.Workers[worker];
  bool open = isOpen(worker) && !In.Fitness.isQuarantined(worker);
  bool services = !it.Services.empty();
  Free[!services].remove(worker);
  if (open)
    Free[services].put(worker, it.Free.Slots);
  else
    Free[services].remove(worker);
}

void Placement::unblockAll() {
  for (Shape &it : Shapes)
    it.Blocked = false;
  ChangedBase += Changed.size();
  Changed.clear();
}

bool Placement::passes(Index worker, const Shape &it) const {
  return std::all_of(Filters.begin(), Filters.end(),
                     [&](Filter f) { return (this->*f)(worker, it); });
}

bool Placement::hasRoom(Index worker, const Shape &it) const {
  const base::Resources &free = In.S.Workers[worker].Free;
  return it.Need.Slots <= free.Slots &&
         it.Need.Connections <= free.Connections &&
         base::count(it.Need.Memory) <= base::count(free.Memory) &&
         it.Need.Accelerators <= free.Accelerators;
}

bool Placement::hasProcessorTime(Index worker, const Shape &it) const {
  if (it.Kind == model::TaskKind::Service)
    return true;
  const WorkerRec &host = In.S.Workers[worker];
  std::int64_t capacity = base::count(host.Capacity.Cpu);
  // A task that seems larger than the worker runs alone: its size is likely to
  // be declared wrong, and processor time is shared, not exhausted.
  std::int64_t load = std::min(it.CpuLoad, capacity);
  return host.CpuLoad + load <= capacity;
}

bool Placement::keepsReserve(Index worker, const Shape &it) const {
  if (it.Kind != model::TaskKind::Batch)
    return true;
  const WorkerRec &host = In.S.Workers[worker];
  return host.BatchSlots + it.Need.Slots <= In.Rules.batchSlots(host);
}

bool Placement::keepsRackLimit(Index worker, const Shape &it) const {
  if (it.Service == None)
    return true;
  Limit limit = In.Rules.maxPerRack(it.Service);
  return !limit.set() ||
         In.Where.inRack(it.Service, In.S.Workers[worker].Rack) < limit.Value;
}

bool Placement::keepsTargets(Index worker, const Shape &it) const {
  if (it.Kind != model::TaskKind::Batch || it.Pressing)
    return true;
  const std::vector<ServiceCount> &services = In.S.Workers[worker].Services;
  for (std::size_t n = 0; n < services.size(); ++n) {
    Limit target = In.Rules.latency(services[n].Service);
    double added = In.Model.weight(services[n].Service, it.Class);
    if (!target.set() || added < 0.02 * double(target.Value))
      continue;
    double p95 = Expected.of(worker, Now)[n];
    if (p95 + added > HoldRatio * double(target.Value))
      return false;
  }
  return true;
}

bool Placement::keepsSeparation(Index worker, const Shape &it) const {
  return isSeparated(worker, it, None);
}

bool Placement::isOpenedBy(Index victim, Index worker,
                           const JobRec &job) const {
  const Shape &it = Shapes[job.Shape];
  return keepsRackLimit(worker, it) && isSeparated(worker, it, victim) &&
         !passes(worker, it);
}

/// Whether the separation rules allow the task on the worker, \p except left
/// out of the tasks there.
bool Placement::isSeparated(Index worker, const Shape &it, Index except) const {
  for (const Separation &rule : In.Rules.separations()) {
    if (it.Class == rule.Class)
      for (const ServiceCount &there : In.S.Workers[worker].Services)
        if (there.Service == rule.Service)
          return false;
    if (it.Service == rule.Service)
      for (Index task : In.S.Workers[worker].Tasks)
        if (task != except && In.S.jobOf(task).Class == rule.Class)
          return false;
  }
  return true;
}

/// More than the gain of gathering, less than what a rule costs.
constexpr double SingleWorkerCost = 10;

double Placement::loadCost(const Candidate &it) const {
  double capacity =
      double(std::max<std::int64_t>(1, base::count(it.Host.Capacity.Cpu)));
  double use = double(it.Host.CpuLoad + it.Of.CpuLoad) / capacity;
  return 0.3 * use + 3 * std::max(0.0, use - 0.9);
}

double Placement::targetOf(Index service) const {
  Limit limit = In.Rules.latency(service);
  if (limit.set())
    return double(limit.Value);
  // Without a target, four times the undisturbed latency is taken as bad.
  return 4 * std::max(1e-3, In.Model.base(service));
}

double Placement::strain(double p95, double target) {
  double ratio = p95 / target;
  // Above 1.5 little is left to lose: noisy tasks then gather where they
  // already are.
  return 0.2 * ratio + 5 * std::clamp(ratio - 0.6, 0.0, 0.9);
}

double Placement::interferenceCost(const Candidate &it) const {
  double sum = 0;
  for (std::size_t n = 0; n < it.Host.Services.size(); ++n) {
    const ServiceCount &there = it.Host.Services[n];
    double added = In.Model.weight(there.Service, it.Of.Class);
    if (added <= 0)
      continue;
    double p95 = Expected.of(it.Worker, Now)[n];
    double target = targetOf(there.Service);
    sum += there.Count * (strain(p95 + added, target) - strain(p95, target));
  }
  if (it.Of.Service != None) {
    double p95 = In.Model.predict(it.Of.Service, In.Past.current(it.Worker));
    sum += strain(p95, targetOf(it.Of.Service));
  }
  return 4 * sum;
}

double Placement::spreadCost(const Candidate &it) const {
  if (it.Of.Service == None)
    return 0;
  std::int32_t services = 0, same = 0;
  for (const ServiceCount &there : it.Host.Services) {
    services += there.Count;
    same += there.Service == it.Of.Service ? there.Count : 0;
  }
  double slots = std::max(1, it.Host.Capacity.Slots);
  double share = services / slots;
  // Relative to an even spread, so that the sizes of services and zones do not
  // matter.
  double total = std::max(1, In.Where.total(it.Of.Service));
  double sum = 0.8 * same / slots +
               0.1 * In.Where.inRack(it.Of.Service, it.Host.Rack) *
                   In.S.Racks.size() / total +
               0.1 * In.Where.inZone(it.Of.Service, it.Host.Zone) *
                   In.S.Zones.size() / total;
  // Services gather on workers until half of the slots are theirs, so that
  // other workers are left to noisy tasks.
  if (Gather)
    sum += share < 0.5 ? -2 * share : 2 * share;
  // A service with all of its tasks on one worker ends with that worker.
  if (same > 0 && same == In.Where.total(it.Of.Service))
    sum += SingleWorkerCost;
  Limit zones = In.Rules.atLeastZones(it.Of.Service);
  if (zones.set() && In.Where.inZone(it.Of.Service, it.Host.Zone) > 0 &&
      In.Where.zones(it.Of.Service) < zones.Value)
    sum += 1000;
  return sum;
}

double Placement::historyCost(const Candidate &it) const {
  const std::vector<Index> &failed = it.Job.FailedOn;
  double sum = 0;
  if (std::find(failed.begin(), failed.end(), it.Worker) != failed.end())
    sum += 100;
  if (In.Latency.isCoolingDown(it.Worker, it.Of.Class, it.Now))
    sum += 10;
  return sum;
}

double Placement::costOf(const Candidate &it) const {
  double sum = 0;
  for (Cost cost : Costs)
    sum += (this->*cost)(it);
  return sum;
}

Index Placement::chooseProbe(const JobRec &job, const Shape &it,
                             base::TimePoint now) {
  if (job.Kind != model::TaskKind::Batch || job.Urgent ||
      In.Fitness.isSuspect(job))
    return None;
  for (Index worker : In.Fitness.dueProbes(now))
    if (isOpen(worker) && passes(worker, it))
      return worker;
  return None;
}

Index Placement::chooseChanged(const JobRec &job, const Shape &it,
                               base::TimePoint now) {
  Index best = None;
  double bestCost = std::numeric_limits<double>::infinity();
  for (std::size_t n = it.BlockedAt - ChangedBase; n < Changed.size(); ++n) {
    Index worker = Changed[n];
    if (!takesWork(worker) || !passes(worker, it))
      continue;
    double cost = costOf({job, it, worker, In.S.Workers[worker], now});
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}

Index Placement::chooseSampled(const JobRec &job, const Shape &it,
                               base::TimePoint now) {
  Index best = None;
  double bestCost = std::numeric_limits<double>::infinity();
  auto consider = [&](Index worker) {
    if (!passes(worker, it))
      return;
    double cost = costOf({job, it, worker, In.S.Workers[worker], now});
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  };
  bool all = true;
  for (const FreeIndex &part : Free)
    all &= part.sample(it.Need.Slots, CandidateLimit / 2, Random(), consider);
  if (best == None && !all)
    for (const FreeIndex &part : Free)
      part.sample(it.Need.Slots, In.S.Workers.size(), 0, consider);
  return best;
}

Index Placement::choose(const JobRec &job, base::TimePoint now) {
  Shape &it = Shapes[job.Shape];
  refresh(it);
  Now = now;
  it.Pressing = job.Urgent || job.LatestStart < now.time_since_epoch().count();
  if (Index probe = chooseProbe(job, it, now); probe != None)
    return probe;
  Index worker =
      it.Blocked ? chooseChanged(job, it, now) : chooseSampled(job, it, now);
  if (worker == None) {
    it.Blocked = true;
    it.BlockedAt = ChangedBase + Changed.size();
  }
  return worker;
}

} // namespace endivedoor::policy::detail
