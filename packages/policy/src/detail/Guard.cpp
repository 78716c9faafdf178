#include "detail/Guard.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy::detail {

/// Throttles change in whole steps, so that small changes cause no calls.
static constexpr std::int32_t StepPercent = 10;
static constexpr std::int32_t LiftPercent = 30;
/// Share of a new measurement in a reading: single measurements are noisy.
static constexpr double Smoothing = 0.5;
/// Neighbours that add less than this share of the target are left alone.
static constexpr double NoticeableShare = 0.02;
/// So are those that add less than this share of what the worst one adds: a
/// class that is often beside a noisy one is given part of the blame.
static constexpr double CulpritShare = 0.2;
/// Work since the last checkpoint is not known, so the run time up to this
/// bound counts as lost.
static constexpr double LostSecondsAtMost = 600;

Guard::WorkerGuard &Guard::record(Index worker) {
  if (worker >= Workers.size())
    Workers.resize(worker + 1);
  return Workers[worker];
}

double Guard::worstRatio(WorkerGuard &it, Index task, double ratio) {
  double worst = 0;
  bool found = false;
  for (Reading &reading : it.Readings) {
    if (reading.Task == task) {
      reading.Ratio += Smoothing * (ratio - reading.Ratio);
      found = true;
    }
    worst = std::max(worst, reading.Ratio);
  }
  if (!found)
    it.Readings.push_back({task, ratio});
  return found ? worst : std::max(worst, ratio);
}

void Guard::judge(Index task, double p95Ms, double targetMs,
                  base::TimePoint takenAt, base::TimePoint now,
                  std::vector<Decision> &out) {
  Index worker = S.Tasks[task].Worker;
  WorkerGuard &it = record(worker);
  double worst = worstRatio(it, task, p95Ms / targetMs);
  if (worst > Settings.LowRatio)
    it.Calm = false;
  else if (!it.Calm) {
    it.Calm = true;
    it.CalmSince = now;
  }
  if (worst < Settings.EvictRatio)
    it.Over = false;
  else if (!it.Over) {
    it.Over = true;
    it.OverSince = now;
  }
  // The measurement shows the state before the last action.
  if (takenAt < it.ActedAt + Settings.Settle)
    return;
  double ratio = p95Ms / targetMs;
  Index service = S.jobOf(task).Service;
  bool acted = false;
  if (ratio >= Settings.HighRatio) {
    double excess = p95Ms - targetMs * (Settings.HighRatio * 0.9);
    acted = Settings.Throttle &&
            throttle(worker, service, targetMs, excess, now, out);
    if (!acted && Settings.Evict && ratio >= Settings.EvictRatio &&
        now - it.OverSince >= Settings.EvictAfter)
      acted = evictOne(worker, service, targetMs, now, out);
  } else if (it.Calm && it.Throttled &&
             now - it.CalmSince >= Settings.LiftAfter) {
    double room = targetMs * Settings.HighRatio * 0.95 - p95Ms;
    acted = lift(worker, service, room, now, out);
    it.CalmSince = now;
  }
  if (acted)
    it.ActedAt = now;
}

const std::vector<Index> &Guard::neighbours(Index worker) {
  Neighbours.clear();
  for (Index task : S.Workers[worker].Tasks)
    if (S.jobOf(task).Kind == model::TaskKind::Batch && !S.Tasks[task].Evicting)
      Neighbours.push_back(task);
  return Neighbours;
}

const std::vector<Index> &Guard::culprits(Index worker, Index service,
                                          double targetMs) {
  double largest = 0;
  for (Index task : neighbours(worker))
    largest = std::max(largest, Model.weight(service, S.jobOf(task).Class));
  double least = std::max(NoticeableShare * targetMs, CulpritShare * largest);
  std::erase_if(Neighbours, [&](Index task) {
    return Model.weight(service, S.jobOf(task).Class) < least;
  });
  return Neighbours;
}

void Guard::setThrottle(Index task, std::int32_t percent, base::TimePoint now,
                        std::vector<Decision> &out) {
  TaskRec &it = S.Tasks[task];
  if (it.Throttle == percent)
    return;
  Past.change(it.Worker, S.jobOf(task).Class, (it.Throttle - percent) / 100.0,
              now);
  it.Throttle = percent;
  it.Slowed = true;
  out.push_back(ThrottleTask{it.Id, percent});
}

bool Guard::throttle(Index worker, Index service, double targetMs,
                     double excessMs, base::TimePoint now,
                     std::vector<Decision> &out) {
  double effect = 0;
  for (Index task : culprits(worker, service, targetMs))
    effect += Model.weight(service, S.jobOf(task).Class) *
              (100 - S.Tasks[task].Throttle) / 100.0;
  double share = std::clamp(excessMs / std::max(effect, 1e-3), 0.2, 1.0);
  bool acted = false;
  for (Index task : Neighbours) {
    TaskRec &it = S.Tasks[task];
    if (it.Throttle >= Settings.MaxPercent)
      continue;
    double left = (100 - it.Throttle) * (1 - share);
    auto percent =
        std::int32_t(std::ceil((100 - left) / StepPercent)) * StepPercent;
    setThrottle(task, std::min(percent, Settings.MaxPercent), now, out);
    acted = true;
  }
  if (acted)
    record(worker).Throttled = true;
  return acted;
}

bool Guard::lift(Index worker, Index service, double roomMs,
                 base::TimePoint now, std::vector<Decision> &out) {
  double added = 0;
  for (Index task : neighbours(worker))
    added += Model.weight(service, S.jobOf(task).Class) *
             std::min(LiftPercent, S.Tasks[task].Throttle) / 100.0;
  // As much as the model says the service can bear, so that the next
  // measurement does not call for the throttle again.
  double share = std::clamp(roomMs / std::max(added, 1e-3), 0.0, 1.0);
  std::int32_t step =
      std::int32_t(LiftPercent * share) / StepPercent * StepPercent;
  bool left = false;
  for (Index task : Neighbours) {
    std::int32_t percent = std::max(0, S.Tasks[task].Throttle - step);
    setThrottle(task, percent, now, out);
    left |= percent > 0;
  }
  record(worker).Throttled = left;
  return step > 0;
}

double Guard::victimValue(Index task, Index service,
                          base::TimePoint now) const {
  const TaskRec &it = S.Tasks[task];
  double ran = std::chrono::duration<double>(now - it.StartedAt).count();
  if (!Settings.ChooseVictim)
    return 1e6 - ran;
  double freed = Model.weight(service, S.Jobs[it.Job].Class);
  return (freed + 1e-6) / (30 + std::min(ran, LostSecondsAtMost));
}

bool Guard::evictOne(Index worker, Index service, double targetMs,
                     base::TimePoint now, std::vector<Decision> &out) {
  Index best = None;
  double bestValue = 0;
  for (Index task : culprits(worker, service, targetMs)) {
    const TaskRec &it = S.Tasks[task];
    if (S.Jobs[it.Job].Urgent || now - it.StartedAt < Settings.MinRunTime)
      continue;
    double value = victimValue(task, service, now);
    if (best == None || value > bestValue) {
      best = task;
      bestValue = value;
    }
  }
  if (best == None)
    return false;
  Index taskClass = S.jobOf(best).Class;
  evict(best, "latency of service " + S.Services.name(service).str(), now, out);
  record(worker).CoolDowns.push_back({taskClass, now + Settings.CoolDown});
  return true;
}

void Guard::evict(Index task, std::string reason, base::TimePoint now,
                  std::vector<Decision> &out) {
  TaskRec &it = S.Tasks[task];
  it.Evicting = true;
  out.push_back(EvictTask{it.Id, std::move(reason)});
  WorkerGuard &guard = record(it.Worker);
  std::erase_if(guard.CoolDowns,
                [&](const Cooling &c) { return c.Until <= now; });
}

bool Guard::isCoolingDown(Index worker, Index taskClass,
                          base::TimePoint now) const {
  if (worker >= Workers.size())
    return false;
  for (const Cooling &it : Workers[worker].CoolDowns)
    if (it.Class == taskClass && it.Until > now)
      return true;
  return false;
}

void Guard::forget(Index task, Index worker) {
  if (worker >= Workers.size())
    return;
  std::erase_if(Workers[worker].Readings,
                [&](const Reading &it) { return it.Task == task; });
}

} // namespace endivedoor::policy::detail
