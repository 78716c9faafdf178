#include "detail/LatencyGuard.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy::detail {

/// Throttles are rounded to multiples of this step, which avoids calls for
/// small changes.
static constexpr std::int32_t ThrottleStepPercent = 10;
static constexpr std::int32_t MaxLiftPercent = 30;
/// Exponential smoothing factor for readings; single measurements are noisy.
static constexpr double Smoothing = 0.5;
/// Neighbours that add less latency than this share of the target are ignored.
static constexpr double NoticeableShare = 0.02;
/// Neighbours that add less than this share of the largest contribution are
/// ignored too: the model attributes part of a noisy class's effect to classes
/// that often run beside it.
static constexpr double MinShareOfLargest = 0.2;
/// The time of a task's last checkpoint is unknown, so an eviction is assumed
/// to lose the whole run time, up to this bound.
static constexpr double MaxLostSeconds = 600;

LatencyGuard::WorkerGuard &LatencyGuard::record(Index worker) {
  if (worker >= Workers.size())
    Workers.resize(worker + 1);
  return Workers[worker];
}

double LatencyGuard::worstRatio(WorkerGuard &guard, Index task, double ratio) {
  double worst = 0;
  bool found = false;
  for (Reading &reading : guard.Readings) {
    if (reading.Task == task) {
      reading.Ratio += Smoothing * (ratio - reading.Ratio);
      found = true;
    }
    worst = std::max(worst, reading.Ratio);
  }
  if (!found)
    guard.Readings.push_back({task, ratio});
  return found ? worst : std::max(worst, ratio);
}

void LatencyGuard::evaluate(Index task, double p95Ms, double targetMs,
                            base::TimePoint takenAt, base::TimePoint now,
                            std::vector<Decision> &out) {
  Index worker = Records.Tasks[task].Worker;
  WorkerGuard &guard = record(worker);
  double worst = worstRatio(guard, task, p95Ms / targetMs);
  if (worst > Settings.LowRatio)
    guard.BelowLowRatio = false;
  else if (!guard.BelowLowRatio) {
    guard.BelowLowRatio = true;
    guard.BelowLowRatioSince = now;
  }
  if (worst < Settings.EvictRatio)
    guard.AboveEvictRatio = false;
  else if (!guard.AboveEvictRatio) {
    guard.AboveEvictRatio = true;
    guard.AboveEvictRatioSince = now;
  }
  // The measurement does not yet reflect the last action.
  if (takenAt < guard.ActedAt + Settings.SettleTime)
    return;
  double ratio = p95Ms / targetMs;
  Index service = Records.jobOf(task).Service;
  bool acted = false;
  if (ratio >= Settings.HighRatio) {
    double excess = p95Ms - targetMs * (Settings.HighRatio * 0.9);
    acted = Settings.Throttle &&
            throttleNeighbours(worker, service, targetMs, excess, now, out);
    if (!acted && Settings.Evict && ratio >= Settings.EvictRatio &&
        now - guard.AboveEvictRatioSince >= Settings.EvictAfter)
      acted = evictOne(worker, service, targetMs, now, out);
  } else if (guard.BelowLowRatio && guard.Throttled &&
             now - guard.BelowLowRatioSince >= Settings.LiftAfter) {
    double headroom = targetMs * Settings.HighRatio * 0.95 - p95Ms;
    acted = liftThrottles(worker, service, headroom, now, out);
    guard.BelowLowRatioSince = now;
  }
  if (acted)
    guard.ActedAt = now;
}

const std::vector<Index> &LatencyGuard::neighbours(Index worker) {
  Neighbours.clear();
  for (Index task : Records.Workers[worker].Tasks)
    if (Records.jobOf(task).Kind == model::TaskKind::Batch &&
        !Records.Tasks[task].Evicting)
      Neighbours.push_back(task);
  return Neighbours;
}

const std::vector<Index> &LatencyGuard::interferingNeighbours(Index worker,
                                                              Index service,
                                                              double targetMs) {
  double largest = 0;
  for (Index task : neighbours(worker))
    largest =
        std::max(largest, Model.weight(service, Records.jobOf(task).Class));
  double least =
      std::max(NoticeableShare * targetMs, MinShareOfLargest * largest);
  std::erase_if(Neighbours, [&](Index task) {
    return Model.weight(service, Records.jobOf(task).Class) < least;
  });
  return Neighbours;
}

void LatencyGuard::setThrottle(Index task, std::int32_t percent,
                               base::TimePoint now,
                               std::vector<Decision> &out) {
  TaskRec &taskRec = Records.Tasks[task];
  if (taskRec.Throttle == percent)
    return;
  MixHistory.change(taskRec.Worker, Records.jobOf(task).Class,
                    (taskRec.Throttle - percent) / 100.0, now);
  taskRec.Throttle = percent;
  taskRec.WasThrottled = true;
  out.push_back(ThrottleTask{taskRec.Id, percent});
}

bool LatencyGuard::throttleNeighbours(Index worker, Index service,
                                      double targetMs, double excessMs,
                                      base::TimePoint now,
                                      std::vector<Decision> &out) {
  double effect = 0;
  for (Index task : interferingNeighbours(worker, service, targetMs))
    effect += Model.weight(service, Records.jobOf(task).Class) *
              (100 - Records.Tasks[task].Throttle) / 100.0;
  double share = std::clamp(excessMs / std::max(effect, 1e-3), 0.2, 1.0);
  bool acted = false;
  for (Index task : Neighbours) {
    TaskRec &taskRec = Records.Tasks[task];
    if (taskRec.Throttle >= Settings.MaxThrottlePercent)
      continue;
    double left = (100 - taskRec.Throttle) * (1 - share);
    auto percent = std::int32_t(std::ceil((100 - left) / ThrottleStepPercent)) *
                   ThrottleStepPercent;
    setThrottle(task, std::min(percent, Settings.MaxThrottlePercent), now, out);
    acted = true;
  }
  if (acted)
    record(worker).Throttled = true;
  return acted;
}

bool LatencyGuard::liftThrottles(Index worker, Index service, double headroomMs,
                                 base::TimePoint now,
                                 std::vector<Decision> &out) {
  double added = 0;
  for (Index task : neighbours(worker))
    added += Model.weight(service, Records.jobOf(task).Class) *
             std::min(MaxLiftPercent, Records.Tasks[task].Throttle) / 100.0;
  // Throttles are lifted only as far as the predicted latency allows, so that
  // the next measurement does not reinstate them.
  double share = std::clamp(headroomMs / std::max(added, 1e-3), 0.0, 1.0);
  std::int32_t step = std::int32_t(MaxLiftPercent * share) /
                      ThrottleStepPercent * ThrottleStepPercent;
  bool left = false;
  for (Index task : Neighbours) {
    std::int32_t percent = std::max(0, Records.Tasks[task].Throttle - step);
    setThrottle(task, percent, now, out);
    left |= percent > 0;
  }
  record(worker).Throttled = left;
  return step > 0;
}

double LatencyGuard::victimScore(Index task, Index service,
                                 base::TimePoint now) const {
  const TaskRec &taskRec = Records.Tasks[task];
  double ran = std::chrono::duration<double>(now - taskRec.StartedAt).count();
  if (!Settings.ChooseVictim)
    return 1e6 - ran;
  double freed = Model.weight(service, Records.Jobs[taskRec.Job].Class);
  return (freed + 1e-6) / (30 + std::min(ran, MaxLostSeconds));
}

bool LatencyGuard::evictOne(Index worker, Index service, double targetMs,
                            base::TimePoint now, std::vector<Decision> &out) {
  Index best = None;
  double bestValue = 0;
  for (Index task : interferingNeighbours(worker, service, targetMs)) {
    const TaskRec &taskRec = Records.Tasks[task];
    if (Records.Jobs[taskRec.Job].Urgent ||
        now - taskRec.StartedAt < Settings.MinRunTime)
      continue;
    double value = victimScore(task, service, now);
    if (best == None || value > bestValue) {
      best = task;
      bestValue = value;
    }
  }
  if (best == None)
    return false;
  Index taskClass = Records.jobOf(best).Class;
  evict(best, "latency of service " + Records.Services.name(service).str(), now,
        out);
  record(worker).CoolDowns.push_back({taskClass, now + Settings.CoolDown});
  return true;
}

void LatencyGuard::evict(Index task, std::string reason, base::TimePoint now,
                         std::vector<Decision> &out) {
  TaskRec &taskRec = Records.Tasks[task];
  taskRec.Evicting = true;
  out.push_back(EvictTask{taskRec.Id, std::move(reason)});
  WorkerGuard &guard = record(taskRec.Worker);
  std::erase_if(guard.CoolDowns,
                [&](const CoolDown &c) { return c.Until <= now; });
}

bool LatencyGuard::isCoolingDown(Index worker, Index taskClass,
                                 base::TimePoint now) const {
  if (worker >= Workers.size())
    return false;
  for (const CoolDown &coolDown : Workers[worker].CoolDowns)
    if (coolDown.Class == taskClass && coolDown.Until > now)
      return true;
  return false;
}

void LatencyGuard::removeTask(Index task, Index worker) {
  if (worker >= Workers.size())
    return;
  std::erase_if(Workers[worker].Readings,
                [&](const Reading &reading) { return reading.Task == task; });
}

} // namespace endivedoor::policy::detail
