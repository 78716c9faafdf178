#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using namespace std::chrono_literals;

/// Response time of a lasting task, as a share of its target, above which the
/// fillers beside it are slowed, and below which they regain speed.
constexpr double SlowAbove = 0.85;
constexpr double RegainBelow = 0.6;
/// Gauges cover the last half second, so a change shows after this time.
constexpr auto GaugeTime = 600ms;
constexpr std::int32_t RegainStep = 25;
/// Below this share the fillers are paused altogether.
constexpr std::int32_t LeastPercent = 20;

/// Returns the worst response time of the lasting tasks on a worker as a share
/// of their target; 0 if none has one.
static double worstRatio(ShardState &shard, const WorkerState &w) {
  double worst = 0;
  for (const auto &[id, size] : w.Runs) {
    JobEntry *job = nullptr;
    TaskEntry *task = shard.findTask(id.Task, &job);
    if (!task)
      continue;
    const model::StepSpec &step = stepOf(*job, id.Task);
    if (step.Target.count() == 0)
      continue;
    for (const Run &it : task->Runs)
      if (it.Where == &w && it.Phase == RunPhase::Running && it.HasGauge)
        worst = std::max(worst, static_cast<double>(it.Gauge) /
                                    static_cast<double>(step.Target.count()));
  }
  return worst;
}

/// Orders the worker's share for each filler that does not have it yet.
static void paceRuns(ShardState &shard, WorkerState &w) {
  for (const auto &[id, size] : w.Runs) {
    JobEntry *job = nullptr;
    TaskEntry *task = shard.findTask(id.Task, &job);
    if (!task || !stepOf(*job, id.Task).Filler)
      continue;
    for (Run &it : task->Runs) {
      if (it.Where != &w || it.Number != id.Run ||
          it.Phase != RunPhase::Running || it.Paced == w.FillerPercent)
        continue;
      it.Paced = w.FillerPercent;
      Order order;
      order.What = Order::Kind::Pace;
      order.To = w.ref();
      order.Id = id;
      order.Percent = w.FillerPercent;
      shard.Outbox.push_back(std::move(order));
    }
  }
}

void ShardState::paceFillers(TimePoint now) {
  for (auto &[id, w] : Workers) {
    if (w->FillerCpu == 0) {
      w->FillerPercent = 100;
      continue;
    }
    if (now - w->PaceChanged >= GaugeTime) {
      double worst = worstRatio(*this, *w);
      std::int32_t percent = w->FillerPercent;
      if (worst > SlowAbove)
        percent = worst > 1 ? percent / 3 : percent / 2;
      else if (worst < RegainBelow)
        percent = std::min(100, percent + RegainStep);
      if (percent < LeastPercent)
        percent = 0;
      if (percent != w->FillerPercent) {
        Events.emit(base::EventCode::FillersPaced,
                    {{"worker", id.str()},
                     {"percent", std::to_string(percent)},
                     {"worst", std::to_string(worst)}});
        w->FillerPercent = percent;
        w->PaceChanged = now;
      }
    }
    paceRuns(*this, *w);
  }
}

} // namespace endivedoor::dispatch::detail
