// Fillers beside serving tasks. Load pattern: serving tasks declare most of a
// fleet, so that fillers must run beside them; the load of the serving tasks
// swings within seconds, and what fits now does not fit at the peak.
#include "detail/Interference.h"

#include "detail/Placement.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace endivedoor::dispatch::detail {

using namespace std::chrono_literals;

/// Gauges are measured over the last half second, so a change takes this long
/// to show.
constexpr auto GaugeSettleTime = 600ms;
/// Mean age of what a gauge measures.
constexpr auto GaugeAge = 250ms;
/// Minimum interval between two samples of a worker that are passed to the
/// model.
constexpr auto ObserveInterval = 250ms;
/// Runs that are younger have not reached their usual load.
constexpr auto WarmUpTime = 1500ms;
/// Headroom, as a ratio of target to response time, that is kept above the
/// target: covers what a rounded gauge hides.
constexpr double HeadroomMargin = 0.06;
/// The same when a filler is placed; covers the error of the prediction.
constexpr double PlacementMargin = 0.2;
/// All fillers of a worker are paused once a target has been missed for
/// MaxTargetMissTime divided by this.
constexpr int PauseDivisor = 3;
/// Weight of a measurement right after a change of the fillers.
constexpr double UnsteadyWeight = 0.2;
/// Headroom that a filler may take from a task whatever the task's load is.
constexpr double NegligibleLoss = 0.03;
/// Headroom that a filler must take from the tasks that miss their targets to
/// be moved away.
constexpr double MinHarm = 0.1;
/// Headroom at the peak that is assumed while no serving job of the shard has
/// been measured.
constexpr double UnknownHeadroom = 1.5;
/// How far ahead the load is predicted when a filler is placed: fillers run for
/// about this long, so that one placed at a low load can end before the peak.
constexpr auto FillerRunTime = 2000ms;
/// Ratio of target to response time beyond which differences are only rounding.
constexpr double MaxHeadroom = 8;

std::vector<RunView> runsOn(const WorkerState &w) {
  std::vector<RunView> views;
  for (const auto &[id, held] : w.Runs) {
    TaskEntry *task = ShardState::findTask(*held.Job, id.Task);
    if (!task)
      continue;
    for (Run &it : task->Runs)
      if (it.Worker == &w && it.Number == id.Number)
        views.push_back({id, held.Step, &it});
  }
  return views;
}

/// Returns the measured CPU shares of the fillers on a worker.
static std::vector<policy::FillerShare>
measuredFillers(const WorkerState &w, const std::vector<RunView> &runs) {
  std::vector<policy::FillerShare> shares;
  for (const RunView &it : runs) {
    if (!it.Step->Filler)
      continue;
    std::int64_t cpu =
        it.Entry->HasGauge ? it.Entry->Gauge : count(it.Step->Size.Cpu);
    shares.push_back({it.Step->Image, w.shareOfCapacity(cpu)});
  }
  return shares;
}

/// Returns the headroom that all fillers on the worker take from a serving
/// program at full speed.
static double declaredLoss(const ShardState &shard, const WorkerState &w,
                           const std::string &image) {
  double loss = 0;
  for (const auto &[id, held] : w.Runs)
    if (held.Step->Filler)
      loss += shard.Colocation.cautiousSlope(image, held.Step->Image) *
              w.shareOfCapacity(count(held.Step->Size.Cpu));
  return loss;
}

void ShardState::updateTypicalHeadroom(TimePoint now) {
  if (now - TypicalHeadroomAt < GaugeSettleTime)
    return;
  TypicalHeadroomAt = now;
  double sum = 0;
  int n = 0;
  for (const JobEntry *it : LiveJobs)
    if (it->Load.isKnown(now) &&
        it->Load.observedTime(now) >= policy::ServingLoad::Window / 2) {
      sum += it->Load.lowest(now);
      ++n;
    }
  TypicalLowestHeadroom = n > 0 ? sum / n : UnknownHeadroom;
}

/// Returns the serving programs of a worker; computed once per plan.
static const std::vector<ServedProgram> &
servedPrograms(ShardState &shard, WorkerState &w, TimePoint now) {
  if (w.ServedCache)
    return *w.ServedCache;
  std::vector<ServedProgram> &served = w.ServedCache.emplace();
  for (const auto &[id, held] : w.Runs) {
    if (held.Step->Target.count() <= 0)
      continue;
    const JobEntry *job = held.Job;
    bool known = job->Load.isKnown(now);
    double typical = shard.TypicalLowestHeadroom;
    double current = known ? job->Load.headroomAt(now) : typical;
    double later = known ? job->Load.forecast(now, FillerRunTime) : typical;
    double atPeak = known ? job->Load.lowest(now) : typical;
    const std::string &image = held.Step->Image;
    auto it = std::find_if(
        served.begin(), served.end(),
        [&image](const ServedProgram &p) { return p.Image == image; });
    if (it == served.end()) {
      served.push_back({image, current, later, atPeak});
      continue;
    }
    it->Now = std::min(it->Now, current);
    it->Later = std::min(it->Later, later);
    it->AtPeak = std::min(it->AtPeak, atPeak);
  }
  for (ServedProgram &it : served) {
    double loss = declaredLoss(shard, w, it.Image);
    it.Now -= loss;
    it.Later -= loss;
  }
  return served;
}

FillerForecast forecastFiller(ShardState &shard, WorkerState &w,
                              const std::string &image, double share,
                              TimePoint now) {
  FillerForecast forecast{MaxHeadroom, 1};
  for (const ServedProgram &it : servedPrograms(shard, w, now)) {
    double loss = shard.Colocation.cautiousSlope(it.Image, image) * share;
    // Such a filler changes nothing, whatever the task's own load does.
    if (loss < NegligibleLoss)
      continue;
    double first = it.Now - 1 - PlacementMargin;
    double last = it.Later - 1 - PlacementMargin;
    forecast.Spare = std::min(forecast.Spare, std::min(first, last) - loss);
    double speed = 0;
    for (double spare : {first, (first + last) / 2, last})
      speed += std::clamp(spare / loss, 0.0, 1.0) / 3;
    forecast.Speed = std::min(forecast.Speed, speed);
  }
  return forecast;
}

bool suitsFiller(ShardState &shard, WorkerState &w, const std::string &image,
                 TimePoint now) {
  /// CPU share that a filler is assumed to use.
  constexpr double typicalShare = 0.1;
  const std::vector<ServedProgram> &served = servedPrograms(shard, w, now);
  return std::all_of(
      served.begin(), served.end(), [&](const ServedProgram &it) {
        return shard.Colocation.slope(it.Image, image) * typicalShare <=
               it.AtPeak - 1 - HeadroomMargin;
      });
}

std::map<std::string, std::int64_t> suitableFillerCpu(ShardState &shard,
                                                      TimePoint now) {
  std::map<std::string, std::int64_t> cpu;
  for (const std::string &image : shard.Colocation.fillerImages()) {
    std::int64_t &sum = cpu[image];
    for (auto &[id, w] : shard.Workers)
      if (w->isUsable() && !w->FillersPaused &&
          !shard.ZonesOutOfService.contains(w->Profile.Zone) &&
          suitsFiller(shard, *w, image, now))
        sum += std::max<std::int64_t>(
            0, static_cast<std::int64_t>(fillerCapacity(*w)) - w->FillerCpu);
  }
  return cpu;
}

void ShardState::observeInterference(WorkerState &w, TimePoint now) {
  // Shares of an unknown capacity teach nothing; a worker of the roster may be
  // polled before its entry is read.
  if (w.Serving.empty() || count(w.Profile.Capacity.Cpu) <= 0 ||
      now - w.LastObserved < ObserveInterval)
    return;
  w.LastObserved = now;
  std::vector<RunView> runs = runsOn(w);
  std::vector<policy::FillerShare> fillers = measuredFillers(w, runs);
  TimePoint measured = now - GaugeAge;
  // The gauges of a worker cover the same half second only approximately, so
  // that they do not agree right after a filler was started or throttled.
  bool steady = std::none_of(runs.begin(), runs.end(), [&](const RunView &it) {
    return it.Step->Filler && (now - it.Entry->Started < GaugeSettleTime ||
                               now - it.Entry->ThrottledAt < GaugeSettleTime);
  });
  for (const RunView &it : runs) {
    if (it.Step->Target.count() <= 0 || !it.Entry->HasGauge ||
        it.Entry->Gauge <= 0 || now - it.Entry->Started < WarmUpTime)
      continue;
    JobEntry *job = findJob(it.Id.Task.Job);
    if (!job)
      continue;
    double response = static_cast<double>(it.Entry->Gauge);
    double target = static_cast<double>(it.Step->Target.count());
    double headroom = std::min(MaxHeadroom, target / response);
    double explained = 0;
    for (const policy::FillerShare &filler : fillers)
      explained +=
          Colocation.slope(it.Step->Image, filler.Image) * filler.Share;
    // A gauge in whole ms is exact to a part of the response time; what the
    // model must explain adds its own error.
    double rounding = 0.3 * headroom / response;
    double weight = 0.01 / (0.01 + rounding * rounding);
    if (job->Load.isKnown(measured)) {
      double expected = job->Load.headroomAt(measured);
      double lost = expected - headroom;
      if (steady)
        Colocation.observe(it.Step->Image, lost, fillers, weight);
    }
    // Tasks without fillers decide: if all counted alike, slopes that are too
    // high would raise the expected headroom and so confirm themselves.
    if (!steady)
      weight *= UnsteadyWeight;
    job->Load.observe(measured, headroom + explained,
                      weight / (1 + 50 * explained * explained));
  }
}

void ShardState::throttleRun(WorkerState &w, const RunId &id, Run &run,
                             std::int32_t percent, TimePoint now) {
  if (run.Phase != RunPhase::Running || run.OrderedPercent == percent)
    return;
  run.OrderedPercent = percent;
  run.ThrottledAt = now;
  WorkerCommand command;
  command.Type = WorkerCommand::Kind::Throttle;
  command.Worker = w.ref();
  command.Token = tokenOf(w);
  command.Run = id;
  command.SpeedPercent = percent;
  Outbox.push_back(std::move(command));
}

void ShardState::moveFiller(WorkerState &w, const RunView &filler,
                            const char *cause, TimePoint now) {
  Events.emit(base::EventCode::FillerMoved, {{"task", taskText(filler.Id.Task)},
                                             {"worker", w.Profile.Id.str()},
                                             {"image", filler.Step->Image},
                                             {"cause", cause}});
  throttleRun(w, filler.Id, *filler.Entry, 0, now);
  stopRun(filler.Id.Task, *filler.Entry, "filler", now);
  w.ThrottleChanged = now;
}

/// Returns the filler that the model holds most responsible for missed targets,
/// or nothing if none takes a noticeable part of the headroom.
static std::optional<RunView>
mostHarmfulFiller(const ShardState &shard, const WorkerState &w,
                  const std::vector<RunView> &runs) {
  std::optional<RunView> worst;
  double worstLoss = MinHarm;
  for (const RunView &filler : runs) {
    if (!filler.Step->Filler || filler.Entry->Phase != RunPhase::Running)
      continue;
    double loss = 0;
    for (const RunView &it : runs)
      if (it.Step->Target.count() > 0 && it.Entry->HasGauge &&
          it.Entry->Gauge > it.Step->Target.count())
        loss += shard.Colocation.slope(it.Step->Image, filler.Step->Image) *
                w.shareOfCapacity(count(filler.Step->Size.Cpu));
    if (loss > worstLoss) {
      worst = filler;
      worstLoss = loss;
    }
  }
  return worst;
}

/// Returns the running filler that declares the most CPU.
static std::optional<RunView> largestFiller(const std::vector<RunView> &runs) {
  std::optional<RunView> largest;
  for (const RunView &it : runs)
    if (it.Step->Filler && it.Entry->Phase == RunPhase::Running &&
        (!largest || count(it.Step->Size.Cpu) > count(largest->Step->Size.Cpu)))
      largest = it;
  return largest;
}

void ShardState::throttleFillers(TimePoint now) {
  updateTypicalHeadroom(now);
  for (auto &[id, w] : Workers) {
    if (w->Serving.empty() || w->FillerCpu == 0) {
      w->OverTargetSince.reset();
      w->FillersPaused = false;
      continue;
    }
    std::vector<RunView> runs = runsOn(*w);
    double worst = 0;
    for (const RunView &it : runs)
      if (it.Step->Target.count() > 0 && it.Entry->HasGauge)
        worst =
            std::max(worst, static_cast<double>(it.Entry->Gauge) /
                                static_cast<double>(it.Step->Target.count()));
    if (worst <= 1)
      w->OverTargetSince.reset();
    else if (!w->OverTargetSince)
      w->OverTargetSince = now;
    if (now - w->ThrottleChanged >= GaugeSettleTime) {
      if (worst > 1)
        if (std::optional<RunView> it = mostHarmfulFiller(*this, *w, runs))
          moveFiller(*w, *it, "model", now);
      bool pause =
          w->OverTargetSince &&
          now - *w->OverTargetSince > Options.MaxTargetMissTime / PauseDivisor;
      if (pause != w->FillersPaused) {
        w->FillersPaused = pause;
        w->ThrottleChanged = now;
        Events.emit(base::EventCode::FillersPaced,
                    {{"worker", id.str()},
                     {"percent", pause ? "0" : "100"},
                     {"worst", std::to_string(worst)}});
        // The pause has helped, so fillers are the cause although the model
        // names none. If all went on, the target would soon be missed again.
        if (!pause)
          if (std::optional<RunView> it = largestFiller(runs))
            moveFiller(*w, *it, "pause", now);
      }
    }
    for (const RunView &it : runs)
      if (it.Step->Filler)
        throttleRun(*w, it.Id, *it.Entry, w->FillersPaused ? 0 : 100, now);
  }
}

} // namespace endivedoor::dispatch::detail
