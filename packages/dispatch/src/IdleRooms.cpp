// Rooms that are idle although tasks wait for them, for the log and metrics.
// Load pattern: an installation is full of long-running tasks, hundreds wait in
// all shards, and rooms open one by one.
#include "detail/Placement.h"
#include "detail/Rooms.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using base::EventCode;
using namespace std::chrono_literals;

/// Shorter times are not logged: an end must be reported and a start planned.
constexpr auto MinLoggedIdleTime = 60ms;

namespace {

/// What a long-running task that has waited for LostAfter needs at least.
struct OverdueNeed {
  base::Resources Size;
  base::ServiceName Service;
  bool IsOwn = false;
};

} // namespace

/// Returns the smallest tasks that are overdue, of this shard and of the
/// others.
static std::vector<OverdueNeed> overdueNeeds(const ShardState &shard,
                                             TimePoint now) {
  std::vector<OverdueNeed> needs;
  auto add = [&](const base::Resources &size, const base::ServiceName &service,
                 bool own) {
    auto same =
        std::find_if(needs.begin(), needs.end(), [&](const OverdueNeed &it) {
          return it.Service == service && it.IsOwn == own;
        });
    if (same == needs.end())
      needs.push_back({size, service, own});
    else if (count(size.Cpu) < count(same->Size.Cpu))
      same->Size = size;
  };
  for (const JobEntry *job : shard.LiveJobs) {
    if (!job->isLive() || !job->isLongRunning() || job->Moving)
      continue;
    for (const auto &[number, o] : job->Occurrences)
      for (std::size_t i = 0; i < o.Steps.size(); ++i) {
        const model::StepSpec &step = job->Job.Graph.Steps[i];
        const StepEntry &entry = o.Steps[i];
        if (step.LongRunning && !step.Gang && !entry.LimitedSince &&
            entry.WaitingCount > 0 &&
            now - entry.UnservedSince.value_or(now) >= LostAfter)
          add(step.Size, job->Job.Policy.Service, true);
      }
  }
  for (const auto &[from, requests] : shard.RequestsOfPeers)
    for (const PeerRequest &it : requests.List)
      if (now - requests.ChangedAt <= RequestLifetime &&
          now - it.Since >= LostAfter)
        add(it.Request.Size, it.Request.Service, false);
  return needs;
}

/// Returns why the worker has room for a task that waits, or null if it has
/// none.
static const char *causeOfIdleRoom(const ShardState &shard,
                                   const WorkerState &w,
                                   const std::vector<OverdueNeed> &needs,
                                   TimePoint now) {
  if (!isInUse(shard, w))
    return nullptr;
  base::Resources free = w.Profile.Capacity;
  free -= w.Used;
  const OverdueNeed *need = nullptr;
  for (const OverdueNeed &it : needs)
    if (it.Service == w.Profile.Service && it.Size.fitsIn(free) &&
        (!need || it.IsOwn))
      need = &it;
  if (!need)
    return nullptr;
  if (w.isAvoided(true, now))
    return "avoided";
  auto keepsOut = [&](const WorkerReservation &it) {
    return !policy::mayBackfill(it.Capacity, w.Profile.Capacity, need->Size,
                                TimePoint::max());
  };
  auto held = std::find_if(w.Held.begin(), w.Held.end(), keepsOut);
  if (held != w.Held.end())
    return held->Awaited ? "granted" : "held";
  return need->IsOwn ? "late" : "elsewhere";
}

void ShardState::endIdleRoom(WorkerState &worker, TimePoint now) {
  if (!worker.Idle)
    return;
  IdleRoom idle = *worker.Idle;
  worker.Idle.reset();
  idle.Times[idle.Cause] += now - idle.NotedAt;
  for (const auto &[cause, time] : idle.Times)
    MetricsRegistry.countIdleRoom(cause, time);
  if (now - idle.Since < MinLoggedIdleTime)
    return;
  std::vector<base::EventField> fields{
      {"worker", worker.Profile.Id.str()},
      {"ms", std::to_string((now - idle.Since) / 1ms)}};
  for (const auto &[cause, time] : idle.Times)
    fields.push_back({cause + "Ms", std::to_string(time / 1ms)});
  Events.emit(EventCode::RoomIdle, std::move(fields));
}

void ShardState::noteIdleRooms(TimePoint now) {
  noteAvoidedWorkers(now);
  std::vector<OverdueNeed> needs = overdueNeeds(*this, now);
  for (auto &[id, w] : Workers) {
    const char *cause = causeOfIdleRoom(*this, *w, needs, now);
    if (!cause) {
      endIdleRoom(*w, now);
      continue;
    }
    if (!w->Idle)
      w->Idle = IdleRoom{now, now, cause, {}};
    w->Idle->Times[w->Idle->Cause] += now - w->Idle->NotedAt;
    w->Idle->NotedAt = now;
    w->Idle->Cause = cause;
  }
}

void ShardState::noteAvoidedWorkers(TimePoint now) {
  for (auto &[id, w] : Workers) {
    bool isAvoided = now < w->AvoidUntil;
    if (isAvoided == w->KnownAvoided)
      continue;
    w->KnownAvoided = isAvoided;
    Events.emit(
        isAvoided ? EventCode::WorkerAvoided : EventCode::WorkerCleared,
        {{"worker", id.str()},
         {"score", std::to_string(w->FailureScore)},
         {"ms", std::to_string(std::max<base::Duration>(base::Duration::zero(),
                                                        w->AvoidUntil - now) /
                               1ms)}});
  }
}

} // namespace endivedoor::dispatch::detail
