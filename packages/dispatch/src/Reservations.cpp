// Reservations for tasks that fit nowhere now. Load pattern: a stream of small
// tasks takes each piece of capacity as soon as it is free, so that large
// tasks and the tasks of wide steps never find enough at once.
#include "detail/Interference.h"
#include "detail/Placement.h"
#include "detail/Rooms.h"
#include "detail/Routing.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using base::EventCode;
using namespace std::chrono_literals;

/// At most one worker in so many is reserved for short tasks, so that the small
/// ones lose at most this part of the capacity even if no awaited run ends in
/// time. The same for long-running tasks that have just begun to wait.
constexpr std::size_t WorkersPerReservation = 8;
/// The same for long-running tasks that have waited for LongRunningWait.
/// Callers count them as lost after 6 s, of which the awaited runs need a part.
constexpr std::size_t MinWorkersPerReservation = 2;
/// After this wait, a long-running task ends any short run that can be
/// repeated, also if its work is lost: a stop and a start fit into the rest of
/// the callers' 6 s.
constexpr base::Duration RepeatableWait = 3500ms;
/// How long a stop usually takes until its end is listed.
constexpr base::Duration UsualStopTime = 700ms;
/// The same for a gang, of which only one has reservations at a time.
constexpr std::size_t MinWorkersPerGangReservation = 2;
/// A reservation is replaced by one that is due sooner by more than this.
constexpr auto MinGain = 500ms;
/// Fraction of the runs that end within the expected time of a run.
constexpr double EndQuantile = 0.9;
/// How long a granted room may be idle. A handover takes about half of it; a
/// task that comes later waits like the others of this shard.
constexpr auto MaxOpenGrantTime = 250ms;
/// How many shards may be granted an idle room at a time that one has returned:
/// the requests are up to two intervals of the load records old, and to ask one
/// shard after the other takes too long.
constexpr std::size_t MaxShardsPerRoom = 3;

/// Returns when a run ends; nothing for a long-running task that goes on.
static std::optional<policy::ExpectedEnd>
expectedEnd(const ShardState &shard, const RunId &id,
            const RunReservation &held) {
  if (held.Step->LongRunning && held.StopConfirmed)
    return policy::ExpectedEnd{*held.StopConfirmed + UsualStopTime, held.Size,
                               UsualStopTime};
  if (held.Step->LongRunning)
    return std::nullopt;
  base::Duration expected = shard.expectedTime(
      *held.Job, static_cast<std::size_t>(id.Task.Step), EndQuantile);
  return policy::ExpectedEnd{held.Started + expected, held.Size, expected};
}

/// Returns the runs of the worker that end at some time, earliest first.
static const std::vector<policy::ExpectedEnd> &
expectedEnds(const ShardState &shard, WorkerState &w) {
  std::uint64_t revision = shard.LearnedTimes.revision();
  if (w.EndsCache && w.EndsRevision == revision)
    return *w.EndsCache;
  std::vector<policy::ExpectedEnd> &ends = w.EndsCache.emplace();
  w.EndsRevision = revision;
  for (const auto &[id, held] : w.Runs)
    if (auto end = expectedEnd(shard, id, held))
      ends.push_back(*end);
  std::sort(ends.begin(), ends.end(),
            [](const policy::ExpectedEnd &a, const policy::ExpectedEnd &b) {
              return a.At < b.At;
            });
  return ends;
}

/// Which runs are stopped for a long-running task.
enum class GivesWay { None, Checkpointed, Repeatable };

static GivesWay givesWayAfter(base::Duration waited) {
  return waited >= RepeatableWait    ? GivesWay::Repeatable
         : waited >= LongRunningWait ? GivesWay::Checkpointed
                                     : GivesWay::None;
}

/// A member of a gang does not give way: its stop would end the whole gang.
static bool mayStop(const model::StepSpec &step, GivesWay which) {
  return !step.LongRunning && !step.Gang &&
         (which == GivesWay::Repeatable ||
          (which == GivesWay::Checkpointed && step.SupportsCheckpoints));
}

/// Returns when the worker has room for a long-running task.
///
/// \param stopped the runs that give way at once.
static std::optional<policy::Opening>
soonestOpening(const ShardState &shard, WorkerState &w,
               const base::Resources &size, GivesWay stopped, TimePoint now) {
  if (stopped == GivesWay::None)
    return policy::soonestOpening(w.Profile.Capacity, w.Used,
                                  expectedEnds(shard, w), size, now);
  base::Resources used = w.Used;
  std::vector<policy::ExpectedEnd> ends;
  for (const auto &[id, held] : w.Runs) {
    if (mayStop(*held.Step, stopped))
      used -= held.Size;
    else if (auto end = expectedEnd(shard, id, held))
      ends.push_back(*end);
  }
  return policy::soonestOpening(w.Profile.Capacity, used, ends, size, now);
}

/// Returns whether an opening comes sooner than another one, or as soon with
/// less to stop.
static bool isSooner(const policy::Opening &a, const WorkerState &onA,
                     const policy::Opening &b, const WorkerState &onB) {
  auto free = [](const WorkerState &w) {
    return count(w.Profile.Capacity.Cpu) - count(w.Used.Cpu);
  };
  return std::pair(a.Due, -free(onA)) < std::pair(b.Due, -free(onB));
}

static base::Duration waitOf(const StepEntry &entry, TimePoint now) {
  return now - entry.UnservedSince.value_or(now);
}

static policy::HeldCapacity held(ShardState &shard, WorkerState &w,
                                 const Reservation &reservation) {
  policy::HeldCapacity result{reservation.Size, reservation.Due, w.Used};
  for (const policy::ExpectedEnd &it : expectedEnds(shard, w))
    if (it.At <= reservation.Due)
      result.UsedWhenDue -= it.Size;
  return result;
}

void ShardState::endReservation(const Reservation &reservation,
                                const char *cause) {
  auto w = Workers.find(reservation.Worker);
  if (w != Workers.end()) {
    std::vector<WorkerReservation> &all = w->second->Held;
    auto it =
        std::find_if(all.begin(), all.end(), [&](const WorkerReservation &h) {
          return h.Job == reservation.Job &&
                 h.Occurrence == reservation.Occurrence &&
                 h.Step == reservation.Step &&
                 h.Awaited == reservation.Granted.has_value();
        });
    if (it != all.end())
      all.erase(it);
  }
  Events.emit(EventCode::ReservationEnded,
              {{"job", formatJobNumber(reservation.Job)},
               {"step", std::to_string(reservation.Occurrence) + "." +
                            std::to_string(reservation.Step)},
               {"worker", reservation.Worker.str()},
               {"cause", cause}});
}

/// Returns why a reservation for a task that is still to be delegated here must
/// end, or null.
static const char *causeOfEndOfAwaited(ShardState &shard, Reservation &r,
                                       TimePoint now) {
  auto w = shard.Workers.find(r.Worker);
  if (w == shard.Workers.end() || !isInUse(shard, *w->second))
    return "worker";
  std::optional<TimePoint> &open = r.Granted->OpenSince;
  if (!hasRoomFor(*w->second, r.Size))
    open.reset();
  else if (!open)
    open = now;
  else if (now - *open >= MaxOpenGrantTime)
    return "not delegated in time";
  return r.Size.fitsIn(roomBesideLongRunning(*w->second, now)) ? nullptr
                                                               : "capacity";
}

/// Returns why a reservation must end, or null.
static const char *causeOfEnd(ShardState &shard, Reservation &r,
                              TimePoint now) {
  if (r.isAwaited(now))
    return causeOfEndOfAwaited(shard, r, now);
  JobEntry *job = shard.findJob(r.Job);
  if (r.Granted)
    return "not delegated";
  if (!job || !job->isLive() || job->Moving)
    return "job";
  auto o = job->Occurrences.find(r.Occurrence);
  if (o == job->Occurrences.end() ||
      (o->second.Steps[static_cast<std::size_t>(r.Step)].WaitingCount == 0 &&
       !job->OfferInFlight))
    return "used";
  auto w = shard.Workers.find(r.Worker);
  const model::StepSpec &spec =
      job->Job.Graph.Steps[static_cast<std::size_t>(r.Step)];
  if (w == shard.Workers.end() || !isSuitable(shard, *job, spec, *w->second) ||
      (!spec.LongRunning && w->second->isAvoided(false, now)))
    return "worker";
  // The capacity may have shrunk, or other long-running tasks been found there.
  if (!policy::soonestOpening(w->second->Profile.Capacity, w->second->Used,
                              expectedEnds(shard, *w->second), r.Size, now))
    return "capacity";
  if (now > r.EndsAt)
    return "overdue";
  auto step = static_cast<std::size_t>(r.Step);
  if (!job->Job.Graph.Steps[step].LongRunning &&
      policy::urgencyOf(shard.waitingWork(*job, o->second, step, now)) ==
          policy::Urgency::Late)
    return "late";
  return nullptr;
}

void ShardState::refreshReservations(TimePoint now) {
  for (auto &[id, w] : Workers)
    w->Held.clear();
  std::erase_if(Reservations, [&](Reservation &it) {
    const char *cause = causeOfEnd(*this, it, now);
    if (!cause)
      return false;
    auto w = Workers.find(it.Worker);
    // Its runs do not end as expected, so another reservation there would not
    // be kept either.
    if (w != Workers.end() && now > it.EndsAt)
      w->second->NoReservationUntil = now + (it.EndsAt - it.Due);
    if (it.Granted)
      noteUnusedOffer(it, now);
    endReservation(it, cause);
    return true;
  });
  endSurplusReservations();
  for (const Reservation &it : Reservations)
    holdOnWorker(it);
}

void ShardState::endSurplusReservations() {
  std::map<std::tuple<JobNumber, std::int32_t, std::int32_t>, std::int32_t>
      waiting;
  std::erase_if(Reservations, [&](const Reservation &it) {
    const JobEntry *job = findJob(it.Job);
    if (it.Granted || !job || job->OfferInFlight)
      return false;
    const StepEntry &entry = job->Occurrences.at(it.Occurrence)
                                 .Steps[static_cast<std::size_t>(it.Step)];
    auto [left, added] = waiting.try_emplace({it.Job, it.Occurrence, it.Step},
                                             entry.WaitingCount);
    if (left->second-- > 0)
      return false;
    endReservation(it, "used");
    return true;
  });
}

bool ShardState::isForGang(const Reservation &reservation) const {
  const JobEntry *job = findJob(reservation.Job);
  if (!job || reservation.Granted)
    return false;
  return job->Job.Graph.Steps[static_cast<std::size_t>(reservation.Step)].Gang;
}

void ShardState::holdOnWorker(const Reservation &reservation) {
  WorkerState &w = *Workers.find(reservation.Worker)->second;
  WorkerReservation added{
      held(*this, w, reservation),     reservation.Job,
      reservation.Occurrence,          reservation.Step,
      reservation.Granted.has_value(), reservation.LongRunning,
      isForGang(reservation)};
  for (WorkerReservation &it : w.Held) {
    added.Capacity.UsedWhenDue += it.Capacity.Size;
    it.Capacity.UsedWhenDue += reservation.Size;
  }
  w.Held.push_back(added);
}

/// Returns the runs to stop so that a task fits on the worker: those that lose
/// least, no more than needed. Empty if they do not suffice.
static std::vector<RunView>
runsToStop(const WorkerState &w, const base::Resources &size, GivesWay which) {
  base::Resources used = w.Used;
  used += size;
  std::vector<RunView> runs = runsOn(w);
  std::erase_if(runs, [&](const RunView &it) {
    if (it.Entry->Phase == RunPhase::Stopping)
      used -= w.Runs.at(it.Id).Size;
    return it.Entry->Phase != RunPhase::Running || !mayStop(*it.Step, which);
  });
  std::stable_sort(
      runs.begin(), runs.end(), [](const RunView &a, const RunView &b) {
        return std::pair(!a.Step->SupportsCheckpoints, b.Entry->Started) <
               std::pair(!b.Step->SupportsCheckpoints, a.Entry->Started);
      });
  std::vector<RunView> stopped;
  for (const RunView &it : runs) {
    if (used.fitsIn(w.Profile.Capacity))
      break;
    used -= w.Runs.at(it.Id).Size;
    stopped.push_back(it);
  }
  if (!used.fitsIn(w.Profile.Capacity))
    return {};
  // What was taken first may only have freed memory while CPU was lacking.
  std::erase_if(stopped, [&](const RunView &it) {
    base::Resources with = used;
    with += w.Runs.at(it.Id).Size;
    bool needless = with.fitsIn(w.Profile.Capacity);
    if (needless)
      used = with;
    return needless;
  });
  return stopped;
}

void ShardState::makeRoomForReservations(TimePoint now) {
  std::map<const WorkerState *, base::Resources> needed;
  for (Reservation &r : Reservations) {
    JobEntry *job = findJob(r.Job);
    if (!r.LongRunning || !job || !job->Occurrences.contains(r.Occurrence))
      continue;
    const StepEntry &entry = job->Occurrences.at(r.Occurrence)
                                 .Steps[static_cast<std::size_t>(r.Step)];
    WorkerState &w = *Workers.find(r.Worker)->second;
    base::Duration waited = waitOf(entry, now);
    GivesWay which = givesWayAfter(waited);
    if (entry.WaitingCount == 0 || entry.LimitedSince ||
        which == GivesWay::None)
      continue;
    // What has become free, or is about to, is for the earlier ones first.
    base::Resources &size = needed[&w];
    size += r.Size;
    // Runs that are about to end are not worth a stop, as long as they keep to
    // what is expected of them.
    auto opening = soonestOpening(*this, w, size, GivesWay::None, now);
    if (waited < RepeatableWait && opening && opening->Due < now + MinGain &&
        now < r.Due + MinGain)
      continue;
    std::vector<RunView> stopped = runsToStop(w, size, which);
    for (const RunView &it : stopped)
      if (it.Step->Filler)
        moveFiller(w, it, "room for a long-running task", now);
      else
        stopRun(it.Id.Task, *it.Entry, "room for a long-running task", now);
    if (stopped.empty())
      continue;
    // What is freed now must not go to others until the rest is free as well.
    r.Due = now;
    r.EndsAt = std::max(r.EndsAt, now + StopTime);
  }
}

bool ShardState::hasReservation(const JobEntry &job, const Occurrence &o,
                                std::int32_t step) const {
  return std::any_of(Reservations.begin(), Reservations.end(),
                     [&](const Reservation &it) {
                       return it.isFor(job.Job.Id, o.Number, step);
                     });
}

bool ShardState::mayReserve(const model::StepSpec &spec) const {

  // Long-running tasks that restart by the hundred after a loss of workers must
  // not hold what short jobs need; those go first until the tasks are overdue.
  if (spec.LongRunning)
    return Options.WaitingOrder == policy::WaitingRule::Priority ||
           CurrentUrgency == policy::Urgency::Overdue;
  return !spec.Filler && CurrentUrgency != policy::Urgency::Late;
}

bool ShardState::isWorthwhile(const JobEntry &job, const Occurrence &o,
                              std::int32_t step, TimePoint due,
                              TimePoint now) const {
  auto index = static_cast<std::size_t>(step);
  if (CurrentUrgency != policy::Urgency::InTime ||
      job.Job.Graph.Steps[index].LongRunning)
    return true;
  policy::WaitingWork work = waitingWork(job, o, index, now);
  return work.TimeLeft >= due - now + work.RemainingPath;
}

void ShardState::addReservation(Reservation r, std::size_t runs,
                                TimePoint now) {
  holdOnWorker(r);
  Events.emit(
      r.Granted ? EventCode::RoomGranted : EventCode::ReservationMade,
      {{"job", formatJobNumber(r.Job)},
       {"step", std::to_string(r.Occurrence) + "." + std::to_string(r.Step)},
       {"worker", r.Worker.str()},
       {"cpu", std::to_string(count(r.Size.Cpu))},
       {"runs", std::to_string(runs)},
       {"dueMs", std::to_string((r.Due - now) / 1ms)}});
  Reservations.push_back(std::move(r));
}

/// Returns how many workers may be reserved for tasks that have waited for some
/// time.
static std::size_t maxReservations(const ShardState &shard, bool longRunning,
                                   base::Duration waited) {
  double min = 1.0 / WorkersPerReservation,
         max = 1.0 / MinWorkersPerReservation;
  double share = min;
  if (longRunning) {
    double part = std::chrono::duration<double>(waited) / LongRunningWait;
    share += (max - min) * std::clamp(part, 0.0, 1.0);
  }
  auto workers = static_cast<double>(shard.Workers.size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(workers * share));
}

/// Returns what is held on a worker, for long-running tasks only or for all.
static base::Resources heldOn(const WorkerState &w, bool onlyLongRunning) {
  base::Resources size;
  for (const WorkerReservation &it : w.Held)
    if (it.LongRunning || !onlyLongRunning)
      size += it.Capacity.Size;
  return size;
}

/// Returns how many reservations a step has on the worker.
static std::int32_t reservationsOn(const WorkerState &w, const JobEntry &job,
                                   const Occurrence &o, std::int32_t step) {
  return static_cast<std::int32_t>(std::count_if(
      w.Held.begin(), w.Held.end(), [&](const WorkerReservation &it) {
        return it.Job == job.Job.Id && it.Occurrence == o.Number &&
               it.Step == step;
      }));
}

/// Returns whether capacity of the worker may be held for one more task. A room
/// that fits several long-running tasks is held for all of them at once.
static bool takesReservation(const WorkerState &w, const base::Resources &size,
                             bool longRunning, TimePoint now) {
  if (now < w.NoReservationUntil)
    return false;
  if (w.Held.empty())
    return true;
  // Reservations for short tasks give way, as their runs do.
  base::Resources all = heldOn(w, true);
  all += size;
  return longRunning && all.fitsIn(roomBesideLongRunning(w, now));
}

/// Returns whether one more worker may be reserved for tasks of a kind. Each
/// kind has its own limit, since a short step passes on its reservation to
/// others within the plan that uses it, before long-running steps can have it.
static bool mayReserveMore(const ShardState &shard, bool longRunning,
                           base::Duration waited) {
  std::set<base::WorkerId> reserved;
  for (const Reservation &it : shard.Reservations)
    if (it.LongRunning == longRunning)
      reserved.insert(it.Worker);
  return reserved.size() < maxReservations(shard, longRunning, waited);
}

void ShardState::reserveSoonest(const JobEntry &job, const Occurrence &o,
                                std::int32_t step, std::int32_t tasks,
                                const StepCounts &counts, TimePoint now) {
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  std::int32_t own = 0;
  auto latest = Reservations.end();
  for (auto it = Reservations.begin(); it != Reservations.end(); ++it)
    if (it->isFor(job.Job.Id, o.Number, step)) {
      ++own;
      if (latest == Reservations.end() || it->Due > latest->Due)
        latest = it;
    }
  base::Duration waited = waitOf(o.Steps[static_cast<std::size_t>(step)], now);
  bool full = own >= tasks || !mayReserveMore(*this, spec.LongRunning, waited);
  // A worker that was held for another task may have become free since.
  bool mayReplace = spec.LongRunning && latest != Reservations.end() &&
                    latest->Due > now + MinGain;
  if (!mayReserve(spec) || (full && !mayReplace))
    return;
  GivesWay stopped = spec.LongRunning ? givesWayAfter(waited) : GivesWay::None;
  WorkerState *best = nullptr;
  policy::Opening soonest;
  for (const auto &[id, w] : Workers) {
    auto same = counts.find(w.get());
    std::int32_t places = (same == counts.end() ? 0 : same->second) +
                          reservationsOn(*w, job, o, step);
    if (!takesReservation(*w, spec.Size, spec.LongRunning, now) ||
        (spec.MaxPerWorker > 0 && places >= spec.MaxPerWorker) ||
        !mayHost(*this, job, spec, *w, now))
      continue;
    base::Resources size = heldOn(*w, spec.LongRunning);
    size += spec.Size;
    auto opening = soonestOpening(*this, *w, size, stopped, now);
    if (opening && (!best || (stopped == GivesWay::None
                                  ? opening->Due < soonest.Due
                                  : isSooner(*opening, *w, soonest, *best)))) {
      best = w.get();
      soonest = *opening;
    }
  }
  // Where the end of one run suffices, the first in order gets its capacity
  // without a reservation. Long-running tasks come after short ones in order.
  if (!best)
    return;
  bool waitsForStops =
      stopped != GivesWay::None && !hasRoomFor(*best, spec.Size);
  if ((!waitsForStops && soonest.Runs < (spec.LongRunning ? 1U : 2U)) ||
      !isWorthwhile(job, o, step, soonest.Due, now))
    return;
  if (full) {
    if (soonest.Due + MinGain >= latest->Due)
      return;
    endReservation(*latest, "sooner");
    Reservations.erase(latest);
  }
  addReservation({job.Job.Id, o.Number, step, best->Profile.Id, spec.Size,
                  soonest.Due, policy::endOfReservation(soonest),
                  spec.LongRunning},
                 soonest.Runs, now);
}

StepCounts ShardState::placesOf(const RoomRequest &request) const {
  StepCounts counts;
  if (request.MaxPerWorker == 0)
    return counts;
  if (const JobEntry *job = findJob(request.Job))
    counts = runsByWorker(
        job->Occurrences.at(0).Steps[static_cast<std::size_t>(request.Step)]);
  for (const Reservation &it : Reservations)
    if (it.Job == request.Job && it.Step == request.Step)
      if (auto w = Workers.find(it.Worker); w != Workers.end())
        ++counts[w->second.get()];
  return counts;
}

const Reservation *ShardState::findReturnedRoom(const RoomRequest &request,
                                                std::int32_t from,
                                                TimePoint now) const {
  // A task that has waited for less does not pass the first one.
  if (request.Waited < LostAfter)
    return nullptr;
  for (const Reservation &it : Reservations) {
    if (!it.isAwaited(now) || !request.Size.fitsIn(it.Size) ||
        request.Requirement != it.Granted->Requirement ||
        it.Granted->Shards.size() >= MaxShardsPerRoom ||
        it.Granted->Shards.contains(from))
      continue;
    auto w = Workers.find(it.Worker);
    if (w == Workers.end() || w->second->Profile.Service != request.Service ||
        !hasRoomFor(*w->second, it.Size) ||
        now - w->second->RoomReturnedAt >= RegrantDelay ||
        it.Granted->Until - GrantTime < w->second->RoomReturnedAt)
      continue;
    StepCounts counts = placesOf(request);
    auto same = counts.find(w->second.get());
    if (request.MaxPerWorker == 0 || same == counts.end() ||
        same->second < request.MaxPerWorker)
      return &it;
  }
  return nullptr;
}

void ShardState::shareGrant(const RoomRequest &request, std::int32_t index,
                            std::int32_t from, TimePoint now) {
  const Reservation *returned = findReturnedRoom(request, from, now);
  if (!returned)
    return;
  Reservation &shared =
      Reservations[static_cast<std::size_t>(returned - Reservations.data())];
  shared.Granted->Shards.insert(from);
  TaskKey key{request.Job, 0, request.Step, index};
  UnusedOffers[key] = now + RegrantDelay;
  RoomOffers.push_back({key,
                        from,
                        {Number, shared.Size,
                         Workers.find(shared.Worker)->second->Profile.Service,
                         shared.Granted->Requirement}});
}

bool ShardState::reserveForRequest(const RoomRequest &request,
                                   std::int32_t index, std::int32_t from,
                                   std::vector<WorkerRoom> &rooms,
                                   TimePoint now) {
  bool onlyReserved = !mayReserveMore(*this, true, request.Waited);
  StepCounts counts = placesOf(request);
  WorkerRoom *best = nullptr;
  policy::Opening soonest;
  for (WorkerRoom &it : rooms) {
    WorkerState &w = *it.Worker;
    auto same = counts.find(&w);
    if (!takesReservation(w, request.Size, true, now) ||
        (onlyReserved && w.Held.empty()) ||
        w.Profile.Service != request.Service || !request.Size.fitsIn(it.Free) ||
        (!request.Requirement.empty() &&
         !hasLabel(w.Profile, request.Requirement)) ||
        (request.MaxPerWorker > 0 && same != counts.end() &&
         same->second >= request.MaxPerWorker))
      continue;
    base::Resources size = heldOn(w, true);
    size += request.Size;
    auto opening =
        soonestOpening(*this, w, size, givesWayAfter(request.Waited), now);
    if (opening && (!best || isSooner(*opening, w, soonest, *best->Worker))) {
      best = &it;
      soonest = *opening;
    }
  }
  if (!best) {
    shareGrant(request, index, from, now);
    return false;
  }
  best->Free -= request.Size;
  TimePoint until = now + GrantTime;
  addReservation(
      {request.Job, 0, request.Step, best->Worker->Profile.Id, request.Size,
       soonest.Due,
       std::max(policy::endOfReservation(soonest), until + StopTime), true,
       Reservation::Grant{index, until, request.Requirement, {from}}},
      soonest.Runs, now);
  return true;
}

void ShardState::reserveForGang(const JobEntry &job, const Occurrence &o,
                                std::int32_t step, TimePoint now) {
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  // One gang at a time: two that each hold a part of what they need would wait
  // for each other.
  if (!mayReserve(spec) || !Reservations.empty())
    return;
  struct Host {
    WorkerState *Worker;
    const std::vector<policy::ExpectedEnd> *Ends;
  };
  std::vector<Host> hosts;
  std::vector<TimePoint> times{now};
  for (const auto &[id, w] : Workers) {
    if (now < w->NoReservationUntil || !mayHost(*this, job, spec, *w, now))
      continue;
    hosts.push_back({w.get(), &expectedEnds(*this, *w)});
    for (const policy::ExpectedEnd &it : *hosts.back().Ends)
      times.push_back(std::max(now, it.At));
  }
  std::sort(times.begin(), times.end());
  auto tasksAt = [&](const Host &host, TimePoint at) {
    base::Resources free = host.Worker->Profile.Capacity;
    free -= host.Worker->Used;
    for (const policy::ExpectedEnd &it : *host.Ends)
      if (it.At <= at)
        free += it.Size;
    std::int32_t n = 0;
    while (n < spec.Count &&
           (spec.MaxPerWorker == 0 || n < spec.MaxPerWorker) &&
           spec.Size.fitsIn(free)) {
      free -= spec.Size;
      ++n;
    }
    return n;
  };
  auto tooEarly = [&](TimePoint at) {
    std::int32_t tasks = 0;
    for (const Host &it : hosts)
      tasks += tasksAt(it, at);
    return tasks < spec.Count;
  };
  auto due = std::partition_point(times.begin(), times.end(), tooEarly);
  if (due == times.end() || !isWorthwhile(job, o, step, *due, now))
    return;
  // Workers with much room first, so that few are held.
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&](const Host &a, const Host &b) {
                     return tasksAt(a, *due) > tasksAt(b, *due);
                   });
  std::vector<std::pair<Reservation, std::size_t>> parts;
  std::int32_t rest = spec.Count;
  for (const Host &it : hosts) {
    std::int32_t n = std::min(rest, tasksAt(it, *due));
    if (n == 0)
      break;
    rest -= n;
    policy::Opening opening{*due, 0, {}};
    for (const policy::ExpectedEnd &end : *it.Ends)
      if (end.At <= *due) {
        ++opening.Runs;
        opening.Awaited = std::max(opening.Awaited, end.Expected);
      }
    Reservation part{job.Job.Id,
                     o.Number,
                     step,
                     it.Worker->Profile.Id,
                     {},
                     *due,
                     policy::endOfReservation(opening),
                     spec.LongRunning};
    for (std::int32_t i = 0; i < n; ++i)
      part.Size += spec.Size;
    parts.emplace_back(std::move(part), opening.Runs);
  }
  if (parts.size() >
      std::max<std::size_t>(1, Workers.size() / MinWorkersPerGangReservation))
    return;
  for (auto &[part, runs] : parts)
    addReservation(std::move(part), runs, now);
}

void ShardState::useReservation(const TaskKey &key, const WorkerState &worker) {
  auto mine = [&](const Reservation &it) {
    return it.isFor(key.Job, key.Occurrence, key.Step);
  };
  auto it = std::find_if(Reservations.begin(), Reservations.end(),
                         [&](const Reservation &r) {
                           return mine(r) && r.Worker == worker.Profile.Id;
                         });
  if (it == Reservations.end())
    it = std::find_if(Reservations.begin(), Reservations.end(), mine);
  if (it == Reservations.end())
    return;
  endReservation(*it, "used");
  Reservations.erase(it);
}

} // namespace endivedoor::dispatch::detail
