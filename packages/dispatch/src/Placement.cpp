#include "detail/Placement.h"

#include "detail/Interference.h"
#include "detail/Rooms.h"
#include "detail/Routing.h"

#include <algorithm>
#include <optional>

namespace endivedoor::dispatch::detail {

/// Fraction of their declared CPU that long-running tasks are assumed to use.
constexpr double LongRunningUsage = 0.45;
/// Fillers are started as long as their declared CPU stays below this multiple
/// of the CPU that the other tasks are assumed to leave free.
constexpr double FillerOvercommit = 1.15;
/// Weight of the expected speed of a filler against the free CPU of a worker.
constexpr double FillerSpeedWeight = 2.0;
/// Fraction of the runs that end within the expected time of a run.
constexpr double EndQuantile = 0.9;

/// Returns whether held capacity gives way to a long-running task that fits
/// now. Stops take up to a second, one after the other; what they free first
/// must not be idle until the last one is done. A gang needs all of its parts
/// at once, and a task of another shard does not return once it is on its way.
static bool mayPass(const WorkerReservation &held, base::Duration waited) {
  return !held.Gang && waited >= (held.Awaited ? LostAfter : LongRunningWait);
}

/// Returns whether capacity that is held for another step keeps a task from
/// the worker.
static bool isHeldForOthers(const ShardState &shard, const JobEntry &job,
                            const model::StepSpec &step, const WorkerState &w,
                            base::Duration waited, TimePoint now) {
  auto index = static_cast<std::size_t>(&step - job.Job.Graph.Steps.data());
  bool own = std::any_of(w.Held.begin(), w.Held.end(),
                         [&](const WorkerReservation &it) {
                           return !it.Awaited && it.Job == job.Job.Id &&
                                  static_cast<std::size_t>(it.Step) == index;
                         });
  if (w.Held.empty() || own)
    return false;
  base::Resources size = step.Size;
  if (step.Filler)
    size.Cpu = base::MilliCores{0};
  TimePoint end = step.LongRunning
                      ? TimePoint::max()
                      : now + shard.expectedTime(job, index, EndQuantile);
  return std::any_of(
      w.Held.begin(), w.Held.end(), [&](const WorkerReservation &it) {
        return !(step.LongRunning && mayPass(it, waited)) &&
               !policy::mayBackfill(it.Capacity, w.Profile.Capacity, size, end);
      });
}

static bool fits(const WorkerState &w, const model::StepSpec &step) {
  const base::Resources &capacity = w.Profile.Capacity;
  const base::Resources &taken = w.Used;
  std::int64_t cpu = step.Filler ? 0 : count(step.Size.Cpu);
  // A capacity that has shrunk may be less than what runs there.
  return count(w.Used.Cpu) <= count(capacity.Cpu) &&
         // Fillers reserve no CPU; they use what the other tasks leave idle.
         (cpu == 0 || count(taken.Cpu) + cpu <= count(capacity.Cpu)) &&
         count(taken.Memory) + count(step.Size.Memory) <=
             count(capacity.Memory) &&
         taken.Accelerators + step.Size.Accelerators <= capacity.Accelerators;
}

double fillerCapacity(const WorkerState &w) {
  double longRunning = static_cast<double>(w.LongRunningCpu);
  double others = static_cast<double>(count(w.Used.Cpu)) - longRunning;
  return static_cast<double>(count(w.Profile.Capacity.Cpu)) - others -
         LongRunningUsage * longRunning;
}

bool isInUse(const ShardState &shard, const WorkerState &w) {
  // The size of an orphan run is unknown, so its worker gets no tasks until the
  // run has ended.
  return w.isUsable() && w.Clock && w.OrphanRuns.empty() &&
         !shard.ZonesOutOfService.contains(w.Profile.Zone);
}

bool isSuitable(const ShardState &shard, const JobEntry &job,
                const model::StepSpec &step, const WorkerState &w) {
  return isInUse(shard, w) && w.Profile.Service == job.Job.Policy.Service &&
         (step.Requirement.empty() || hasLabel(w.Profile, step.Requirement));
}

bool mayHost(const ShardState &shard, const JobEntry &job,
             const model::StepSpec &step, const WorkerState &w, TimePoint now) {
  return isSuitable(shard, job, step, w) && !w.isAvoided(step.LongRunning, now);
}

static bool canPlace(const ShardState &shard, const JobEntry &job,
                     const model::StepSpec &step, const WorkerState &w,
                     base::Duration waited, TimePoint now) {
  return fits(w, step) && mayHost(shard, job, step, w, now) &&
         !isHeldForOthers(shard, job, step, w, waited, now);
}

/// Weight of the demand of other waiting programs for a worker, relative to its
/// free capacity.
constexpr double DemandRatioWeight = 1.0;
/// Upper bound of the demand ratio of one program.
constexpr double MaxDemandRatio = 2.0;
/// Penalty for each other serving program on a worker. Fillers find more
/// suitable workers if fewer distinct serving programs share a worker.
constexpr double ProgramMixPenalty = 2.0;

/// Penalty of a worker whose runs have failed: larger than the score of any
/// sound worker, except for affinity.
constexpr double AvoidedWorkerPenalty = 5.0;

/// Returns the number of programs with a target on the worker, not counting \p
/// image.
static std::int32_t otherPrograms(const WorkerState &w,
                                  const std::string &image) {
  std::int32_t others = 0;
  for (auto it = w.Serving.begin(); it != w.Serving.end();
       it = w.Serving.upper_bound(it->first))
    others += it->first != image;
  return others;
}

/// Returns the score of the worker for a task of the step; higher is better.
/// Returns nothing if the worker cannot take it now.
static std::optional<double> suitability(ShardState &shard,
                                         const model::StepSpec &step,
                                         WorkerState &w, std::int32_t sameStep,
                                         bool starved, TimePoint now) {
  double score = 0;
  if (step.Filler) {
    double capacity = fillerCapacity(w);
    double demand = static_cast<double>(w.FillerCpu + count(step.Size.Cpu));
    if (w.FillersPaused || demand > FillerOvercommit * capacity)
      return std::nullopt;
    FillerForecast forecast = forecastFiller(
        shard, w, step.Image, w.shareOfCapacity(count(step.Size.Cpu)), now);
    if (forecast.Spare < 0 && !starved)
      return std::nullopt;
    score = w.shareOfCapacity(static_cast<std::int64_t>(capacity - demand));
    score += FillerSpeedWeight * forecast.Speed;
    // Penalizes workers that other waiting programs with few suitable workers
    // need.
    auto own = shard.DemandRatios.find(step.Image);
    score -= DemandRatioWeight *
             (w.DemandRatioSum -
              (own == shard.DemandRatios.end() ? 0 : own->second));
  } else {
    std::int64_t free = count(w.Profile.Capacity.Cpu) - count(w.Used.Cpu) -
                        count(step.Size.Cpu);
    // Best fit: prefers the least free CPU, which keeps space for large tasks.
    score = -w.shareOfCapacity(free);
    if (step.Target.count() > 0)
      score -= ProgramMixPenalty * otherPrograms(w, step.Image);
  }
  if (!step.Affinity.empty() && hasLabel(w.Profile, step.Affinity))
    score += 10;
  if (now < w.AvoidUntil)
    score -= AvoidedWorkerPenalty;
  return score - 0.05 * sameStep - 0.3 * w.FailureScore;
}

/// Penalty of a worker for a suspect per run there that a crash would end; a
/// long-running task counts as several, since its users lose it for seconds.
constexpr double CrashLossPenalty = 1.0;
constexpr double LongRunningLoss = 3.0;
/// Penalty for a task that is no suspect beside one that is: larger than any
/// other term except affinity.
constexpr double SuspectNeighborPenalty = 5.0;

/// Returns whether a suspect may be started on the worker. The time of a crash
/// is only known of a worker that answers.
static bool canIsolate(const WorkerState &w) {
  return w.SuspectRuns.empty() && !w.ReservedForSuspect && !w.SilentSince;
}

static double crashPenalty(const WorkerState &w, bool isolated) {
  if (!isolated)
    return w.SuspectRuns.empty() ? 0 : SuspectNeighborPenalty;
  double loss = 0;
  for (const auto &[id, held] : w.Runs)
    loss += held.Step->LongRunning ? LongRunningLoss : 1;
  return loss * CrashLossPenalty;
}

WorkerState *chooseWorker(ShardState &shard, const JobEntry &job,
                          const model::StepSpec &step, const StepCounts &counts,
                          TimePoint now, const PlacementOptions &options) {
  WorkerState *best = nullptr;
  double bestScore = 0;
  for (const auto &[id, w] : shard.Workers) {
    if (w.get() == options.Excluded ||
        (options.Task &&
         !shard.mayStartOn(*w, *options.Task, step.LongRunning)) ||
        !canPlace(shard, job, step, *w, options.Waited, now) ||
        (options.Isolated && !canIsolate(*w)))
      continue;
    auto it = counts.find(w.get());
    std::int32_t same = it == counts.end() ? 0 : it->second;
    if (step.MaxPerWorker > 0 && same >= step.MaxPerWorker)
      continue;
    std::optional<double> score =
        suitability(shard, step, *w, same, options.Starved, now);
    if (score)
      *score -= crashPenalty(*w, options.Isolated);
    if (score && (!best || *score > bestScore)) {
      best = w.get();
      bestScore = *score;
    }
  }
  return best;
}

LongRunningRooms countRooms(const ShardState &shard, const JobEntry &job,
                            const model::StepSpec &step, TimePoint now) {
  LongRunningRooms rooms;
  for (const auto &[id, w] : shard.Workers) {
    if (!mayHost(shard, job, step, *w, now))
      continue;
    base::Resources room = roomBesideLongRunning(*w, now);
    rooms.Workers += step.Size.fitsIn(room);
    rooms.LargestCpu = std::max(rooms.LargestCpu, room.Cpu);
  }
  return rooms;
}

PlacementRejections countRejections(const ShardState &shard,
                                    const JobEntry &job,
                                    const model::StepSpec &step,
                                    TimePoint now) {
  PlacementRejections rejections;
  for (const auto &[id, w] : shard.Workers) {
    if (w->Profile.Service != job.Job.Policy.Service)
      continue;
    ++rejections.Workers;
    base::Resources free = w->Profile.Capacity;
    free -= w->Used;
    bool noCpu = !step.Filler && count(step.Size.Cpu) > count(free.Cpu);
    if (shard.ZonesOutOfService.contains(w->Profile.Zone))
      ++rejections.ZoneOutOfService;
    else if (!step.Requirement.empty() &&
             !hasLabel(w->Profile, step.Requirement))
      ++rejections.MissingLabel;
    else if (!mayHost(shard, job, step, *w, now))
      ++rejections.Unusable;
    else if (noCpu)
      ++rejections.NoCpu;
    else if (!fits(*w, step))
      ++rejections.NoMemory;
    else
      ++rejections.Other;
  }
  return rejections;
}

std::map<std::string, double>
computeDemandRatios(ShardState &shard,
                    const std::map<std::string, double> &demand,
                    TimePoint now) {
  std::map<std::string, double> ratios;
  for (auto &[id, w] : shard.Workers)
    w->DemandRatioSum = 0;
  for (const auto &[image, cpu] : demand) {
    double capacity = 0;
    std::vector<WorkerState *> suitable;
    for (auto &[id, w] : shard.Workers)
      if (w->isUsable() && suitsFiller(shard, *w, image, now)) {
        capacity += std::max(0.0, fillerCapacity(*w));
        suitable.push_back(w.get());
      }
    double ratio = capacity > 0 ? std::min(MaxDemandRatio, cpu / capacity) : 0;
    ratios[image] = ratio;
    for (WorkerState *it : suitable)
      it->DemandRatioSum += ratio;
  }
  return ratios;
}

/// Returns the rack label of a worker: its last label, after the label of its
/// type.
static std::string rackOf(const WorkerState &w) {
  return w.Profile.Labels.size() > 1 ? w.Profile.Labels.back() : std::string();
}

/// Places a gang by filling one worker after the other; returns nothing if not
/// all of its tasks fit.
static std::vector<WorkerState *> packGang(const ShardState &shard,
                                           const JobEntry &job,
                                           const model::StepSpec &step,
                                           const std::string &rack,
                                           TimePoint now, bool isolated) {
  std::vector<WorkerState *> places;
  for (const auto &[id, w] : shard.Workers) {
    if (!canPlace(shard, job, step, *w, base::Duration::zero(), now) ||
        (!rack.empty() && rackOf(*w) != rack) || (isolated && !canIsolate(*w)))
      continue;
    base::Resources free = w->Profile.Capacity;
    free -= w->Used;
    // Capacity that is held for another step was checked for one task only.
    bool single = std::any_of(
        w->Held.begin(), w->Held.end(),
        [&](const WorkerReservation &it) { return it.Job != job.Job.Id; });
    for (std::int32_t n = 0;
         (step.MaxPerWorker == 0 || n < step.MaxPerWorker) &&
         (n == 0 || !single);
         ++n) {
      base::Resources size = step.Size;
      if (step.Filler)
        size.Cpu = base::MilliCores{0};
      if (!size.fitsIn(free) ||
          places.size() == static_cast<std::size_t>(step.Count))
        break;
      free -= size;
      places.push_back(w.get());
    }
  }
  if (places.size() < static_cast<std::size_t>(step.Count))
    places.clear();
  return places;
}

std::vector<WorkerState *> chooseGang(const ShardState &shard,
                                      const JobEntry &job,
                                      const model::StepSpec &step,
                                      TimePoint now, bool isolated) {
  std::set<std::string> racks;
  for (const auto &[id, w] : shard.Workers)
    racks.insert(rackOf(*w));
  if (!step.Affinity.empty())
    if (auto places = packGang(shard, job, step, step.Affinity, now, isolated);
        !places.empty())
      return places;
  if (step.SameRack)
    for (const std::string &rack : racks)
      if (auto places = packGang(shard, job, step, rack, now, isolated);
          !places.empty())
        return places;
  return packGang(shard, job, step, {}, now, isolated);
}

} // namespace endivedoor::dispatch::detail
