#include "detail/Sharing.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using namespace std::chrono_literals;

/// Gauges cover the last half second, so a change shows after this time.
constexpr auto GaugeTime = 600ms;
/// Time between two measurements of a worker that count.
constexpr auto ObserveInterval = 250ms;
/// Share of the target above which a measured response time is acted upon.
constexpr double ActAbove = 0.92;
/// Share of the target that a filler must add to be moved away.
constexpr double CulpritShare = 0.08;
/// Share of the target that is aimed at by moving fillers away.
constexpr double AimShare = 0.85;
/// Part of the time for which a target may be missed, after which every filler
/// of the worker is paused.
constexpr int PauseDivisor = 3;

std::vector<RunView> runsOn(ShardState &shard, const WorkerState &w) {
  std::vector<RunView> views;
  for (const auto &[id, held] : w.Runs) {
    TaskEntry *task = shard.findTask(id.Task);
    if (!task)
      continue;
    for (Run &it : task->Runs)
      if (it.Where == &w && it.Number == id.Run)
        views.push_back({id, held.Step, &it});
  }
  return views;
}

/// Returns the processor shares that the fillers of a worker were measured at.
static std::vector<policy::FillerShare>
measuredFillers(const WorkerState &w, const std::vector<RunView> &runs) {
  std::vector<policy::FillerShare> shares;
  double capacity = static_cast<double>(count(w.Profile.Capacity.Cpu));
  for (const RunView &it : runs) {
    if (!it.Step->Filler)
      continue;
    std::int64_t cpu =
        it.Where->HasGauge ? it.Where->Gauge : count(it.Step->Size.Cpu);
    shares.push_back({it.Step->Image, static_cast<double>(cpu) / capacity});
  }
  return shares;
}

static std::vector<ServedProgram> servedOn(const ShardState &shard,
                                           const WorkerState &w) {
  double capacity = static_cast<double>(count(w.Profile.Capacity.Cpu));
  std::vector<ServedProgram> served;
  for (auto it = w.Serving.begin(); it != w.Serving.end();
       it = w.Serving.upper_bound(it->first)) {
    ServedProgram program{it->first, shard.Pairs.base(it->first),
                          static_cast<double>(it->second.count())};
    for (const auto &[id, held] : w.Runs)
      if (held.Step->Filler)
        program.ExpectedMs += shard.Pairs.slope(it->first, held.Step->Image) *
                              static_cast<double>(count(held.Step->Size.Cpu)) /
                              capacity;
    served.push_back(std::move(program));
  }
  return served;
}

double predictedShare(const ShardState &shard, WorkerState &w,
                      const model::StepSpec &filler) {
  if (!w.Served)
    w.Served = servedOn(shard, w);
  double share = static_cast<double>(count(filler.Size.Cpu)) /
                 static_cast<double>(count(w.Profile.Capacity.Cpu));
  double worst = 0;
  for (const ServedProgram &it : *w.Served)
    worst =
        std::max(worst, (it.ExpectedMs +
                         shard.Pairs.slope(it.Image, filler.Image) * share) /
                            it.TargetMs);
  return worst;
}

void ShardState::observe(WorkerState &w, TimePoint now) {
  if (w.Serving.empty() || now - w.Observed < ObserveInterval)
    return;
  w.Observed = now;
  std::vector<RunView> runs = runsOn(*this, w);
  std::vector<policy::FillerShare> fillers = measuredFillers(w, runs);
  for (const RunView &it : runs)
    if (it.Step->Target.count() > 0 && it.Where->HasGauge &&
        it.Where->Gauge > 0)
      Pairs.observe(it.Step->Image, static_cast<double>(it.Where->Gauge),
                    fillers);
}

void ShardState::paceRun(WorkerState &w, const RunId &id, Run &run,
                         std::int32_t percent) {
  if (run.Phase != RunPhase::Running || run.Paced == percent)
    return;
  run.Paced = percent;
  Order order;
  order.What = Order::Kind::Pace;
  order.To = w.ref();
  order.Id = id;
  order.Percent = percent;
  Outbox.push_back(std::move(order));
}

/// Stops the fillers that the model holds responsible for a missed target, the
/// largest share first, until the target is expected to be kept. They go on
/// elsewhere from their checkpoint.
void ShardState::moveCulprits(WorkerState &w, TimePoint now) {
  double capacity = static_cast<double>(count(w.Profile.Capacity.Cpu));
  std::vector<RunView> runs = runsOn(*this, w);
  for (const RunView &serving : runs) {
    double target = static_cast<double>(serving.Step->Target.count());
    double ms = static_cast<double>(serving.Where->Gauge);
    if (target == 0 || !serving.Where->HasGauge || ms <= ActAbove * target)
      continue;
    auto added = [&](const RunView &it) {
      return Pairs.slope(serving.Step->Image, it.Step->Image) *
             static_cast<double>(count(it.Step->Size.Cpu)) / capacity;
    };
    std::vector<RunView> fillers;
    for (const RunView &it : runs)
      if (it.Step->Filler && it.Where->Phase == RunPhase::Running &&
          added(it) > CulpritShare * target)
        fillers.push_back(it);
    std::sort(fillers.begin(), fillers.end(),
              [&](const RunView &a, const RunView &b) {
                return added(a) > added(b);
              });
    for (const RunView &it : fillers) {
      if (ms <= AimShare * target)
        break;
      ms -= added(it);
      Events.emit(base::EventCode::FillerMoved,
                  {{"task", taskText(it.Id.Task)},
                   {"worker", w.Profile.Id.str()},
                   {"servedMs", std::to_string(serving.Where->Gauge)},
                   {"targetMs", std::to_string(serving.Step->Target.count())},
                   {"addedMs", std::to_string(static_cast<int>(added(it)))}});
      paceRun(w, it.Id, *it.Where, 0);
      stopRun(it.Id.Task, *it.Where, now);
      w.PaceChanged = now;
    }
  }
}

void ShardState::paceFillers(TimePoint now) {
  for (auto &[id, w] : Workers) {
    if (w->Serving.empty() || w->FillerCpu == 0) {
      w->OverTarget.reset();
      w->FillerPercent = 100;
      continue;
    }
    std::vector<RunView> runs = runsOn(*this, *w);
    double worst = 0;
    for (const RunView &it : runs)
      if (it.Step->Target.count() > 0 && it.Where->HasGauge)
        worst =
            std::max(worst, static_cast<double>(it.Where->Gauge) /
                                static_cast<double>(it.Step->Target.count()));
    if (worst <= ActAbove)
      w->OverTarget.reset();
    else if (!w->OverTarget)
      w->OverTarget = now;
    if (now - w->PaceChanged < GaugeTime)
      continue;
    if (worst > ActAbove)
      moveCulprits(*w, now);
    std::int32_t percent = 100;
    if (w->OverTarget && now - *w->OverTarget > Options.HarmTime / PauseDivisor)
      percent = 0;
    if (percent != w->FillerPercent) {
      w->FillerPercent = percent;
      w->PaceChanged = now;
      Events.emit(base::EventCode::FillersPaced,
                  {{"worker", id.str()},
                   {"percent", std::to_string(percent)},
                   {"worst", std::to_string(worst)}});
    }
    for (const RunView &it : runs)
      if (it.Step->Filler)
        paceRun(*w, it.Id, *it.Where, percent);
  }
}

} // namespace endivedoor::dispatch::detail
