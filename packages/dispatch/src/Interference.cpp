#include "detail/Interference.h"

#include <algorithm>
#include <optional>

namespace endivedoor::dispatch::detail {

using namespace std::chrono_literals;

/// Gauges are measured over the last half second, so a change takes this long
/// to show.
constexpr auto GaugeSettleTime = 600ms;
/// Minimum interval between two samples of a worker that are passed to the
/// model.
constexpr auto ObserveInterval = 250ms;
/// Fraction of the target above which a measured response time triggers action.
/// Up to the target a serving task does what it should, and a filler that is
/// stopped for less loses its work for nothing.
constexpr double ActionThreshold = 1.0;
/// Fraction of the target that a filler must add to the response time before it
/// is moved away.
constexpr double MinHarmfulShare = 0.08;
/// All fillers of a worker are paused once a target has been missed for
/// MaxTargetMissTime divided by this.
constexpr int PauseDivisor = 3;

std::vector<RunView> runsOn(ShardState &shard, const WorkerState &w) {
  std::vector<RunView> views;
  for (const auto &[id, held] : w.Runs) {
    TaskEntry *task = shard.findTask(id.Task);
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

static std::vector<ServedProgram> servedPrograms(const ShardState &shard,
                                                 const WorkerState &w) {
  std::vector<ServedProgram> served;
  for (auto it = w.Serving.begin(); it != w.Serving.end();
       it = w.Serving.upper_bound(it->first)) {
    ServedProgram program{it->first, shard.Colocation.base(it->first),
                          static_cast<double>(it->second.count())};
    for (const auto &[id, held] : w.Runs)
      if (held.Step->Filler)
        program.ExpectedMs +=
            shard.Colocation.slope(it->first, held.Step->Image) *
            w.shareOfCapacity(count(held.Step->Size.Cpu));
    served.push_back(std::move(program));
  }
  return served;
}

double predictedTargetShare(const ShardState &shard, WorkerState &w,
                            const model::StepSpec &filler) {
  if (!w.ServedCache)
    w.ServedCache = servedPrograms(shard, w);
  double share = w.shareOfCapacity(count(filler.Size.Cpu));
  double worst = 0;
  for (const ServedProgram &it : *w.ServedCache)
    worst = std::max(worst,
                     (it.ExpectedMs +
                      shard.Colocation.slope(it.Image, filler.Image) * share) /
                         it.TargetMs);
  return worst;
}

void ShardState::observeInterference(WorkerState &w, TimePoint now) {
  // Shares of an unknown capacity teach nothing; a worker of the roster may be
  // polled before its entry is read.
  if (w.Serving.empty() || count(w.Profile.Capacity.Cpu) <= 0 ||
      now - w.LastObserved < ObserveInterval)
    return;
  w.LastObserved = now;
  std::vector<RunView> runs = runsOn(*this, w);
  std::vector<policy::FillerShare> fillers = measuredFillers(w, runs);
  for (const RunView &it : runs)
    if (it.Step->Target.count() > 0 && it.Entry->HasGauge &&
        it.Entry->Gauge > 0)
      Colocation.observe(it.Step->Image, static_cast<double>(it.Entry->Gauge),
                         fillers);
}

void ShardState::throttleRun(WorkerState &w, const RunId &id, Run &run,
                             std::int32_t percent) {
  if (run.Phase != RunPhase::Running || run.OrderedPercent == percent)
    return;
  run.OrderedPercent = percent;
  WorkerCommand command;
  command.Type = WorkerCommand::Kind::Throttle;
  command.Worker = w.ref();
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
  throttleRun(w, filler.Id, *filler.Entry, 0);
  stopRun(filler.Id.Task, *filler.Entry, "filler", now);
  w.ThrottleChanged = now;
}

/// Returns the filler that the model holds most responsible for missed targets,
/// or nothing if none adds a noticeable part of one.
static std::optional<RunView>
mostHarmfulFiller(const ShardState &shard, const WorkerState &w,
                  const std::vector<RunView> &runs) {
  std::optional<RunView> worst;
  double worstShare = MinHarmfulShare;
  for (const RunView &filler : runs) {
    if (!filler.Step->Filler || filler.Entry->Phase != RunPhase::Running)
      continue;
    double share = 0;
    for (const RunView &it : runs) {
      double target = static_cast<double>(it.Step->Target.count());
      if (target > 0 && it.Entry->HasGauge &&
          static_cast<double>(it.Entry->Gauge) > ActionThreshold * target)
        share += shard.Colocation.slope(it.Step->Image, filler.Step->Image) *
                 w.shareOfCapacity(count(filler.Step->Size.Cpu)) / target;
    }
    if (share > worstShare) {
      worst = filler;
      worstShare = share;
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
  for (auto &[id, w] : Workers) {
    if (w->Serving.empty() || w->FillerCpu == 0) {
      w->OverTargetSince.reset();
      w->FillerSpeedPercent = 100;
      continue;
    }
    std::vector<RunView> runs = runsOn(*this, *w);
    double worst = 0;
    for (const RunView &it : runs)
      if (it.Step->Target.count() > 0 && it.Entry->HasGauge)
        worst =
            std::max(worst, static_cast<double>(it.Entry->Gauge) /
                                static_cast<double>(it.Step->Target.count()));
    if (worst <= ActionThreshold)
      w->OverTargetSince.reset();
    else if (!w->OverTargetSince)
      w->OverTargetSince = now;
    if (now - w->ThrottleChanged < GaugeSettleTime)
      continue;
    // One correction at a time: the gauge shows its effect only later, and
    // stopping several fillers at once throws away the work of some for
    // nothing.
    if (worst > ActionThreshold)
      if (std::optional<RunView> it = mostHarmfulFiller(*this, *w, runs))
        moveFiller(*w, *it, "model", now);
    std::int32_t percent = 100;
    if (w->OverTargetSince &&
        now - *w->OverTargetSince > Options.MaxTargetMissTime / PauseDivisor)
      percent = 0;
    if (percent != w->FillerSpeedPercent) {
      w->FillerSpeedPercent = percent;
      w->ThrottleChanged = now;
      Events.emit(base::EventCode::FillersPaced,
                  {{"worker", id.str()},
                   {"percent", std::to_string(percent)},
                   {"worst", std::to_string(worst)}});
      // The pause has helped, so fillers are the cause although the model names
      // none. If all went on, the target would soon be missed again.
      if (percent == 100)
        if (std::optional<RunView> it = largestFiller(runs))
          moveFiller(*w, *it, "pause", now);
    }
    for (const RunView &it : runs)
      if (it.Step->Filler)
        throttleRun(*w, it.Id, *it.Entry, percent);
  }
}

} // namespace endivedoor::dispatch::detail
