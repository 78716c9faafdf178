// Rooms for tasks that wait in other shards. Load pattern: an installation is
// almost full, and long-running tasks wait in each shard for the next room.
// Until such a task has come, the room is idle, so a task of its own shard goes
// first unless others have waited for much longer. What waits in other shards
// is known late, so their owners choose the task that comes to a granted room.
#include "detail/Placement.h"
#include "detail/Rooms.h"
#include "detail/Routing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace endivedoor::dispatch {

namespace detail {

using namespace std::chrono_literals;

/// Minimum interval between two comparisons of the same rooms and requests.
constexpr auto GrantInterval = 100ms;
/// A task that has room here, but no start for so long, is asked for as well.
constexpr auto PlacedRequestDelay = 3000ms;
constexpr std::size_t MaxRequests = 32;
constexpr std::size_t MaxTasksPerRequest = 8;
/// Tasks of a step whose waits differ by less share a request.
constexpr std::chrono::milliseconds SharedRequestTime = 500ms;
/// Precision of the waits in requests.
constexpr std::chrono::milliseconds WaitPrecision = 100ms;

void ShardState::addRequests(const JobEntry &job, std::int32_t step,
                             const std::set<TaskKey> &unplaced, TimePoint now,
                             std::vector<RoomRequest> &requests) const {
  auto index = static_cast<std::size_t>(step);
  const StepEntry &entry = job.Occurrences.at(0).Steps[index];
  const model::StepSpec &spec = job.Job.Graph.Steps[index];
  std::vector<std::pair<TimePoint, std::int32_t>> waiting;
  for (std::int32_t i = 0; i < std::ssize(entry.Tasks); ++i) {
    const TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    TaskKey key{job.Job.Id, 0, step, i};
    TimePoint since = task.WaitingSince.value_or(now);
    if (task.isWaiting() && now - since >= RequestDelay && !isHeld(key) &&
        (now - since >= PlacedRequestDelay || unplaced.contains(key)))
      waiting.emplace_back(since, i);
  }
  std::sort(waiting.begin(), waiting.end());
  TimePoint first{};
  bool opened = false;
  for (const auto &[since, i] : waiting) {
    if (!opened || since - first >= SharedRequestTime ||
        requests.back().Tasks.size() == MaxTasksPerRequest) {
      RoomRequest request;
      request.Job = job.Job.Id;
      request.Step = step;
      request.Size = spec.Size;
      request.Service = job.Job.Policy.Service;
      request.Requirement = spec.Requirement;
      request.MaxPerWorker = spec.MaxPerWorker;
      request.Waited =
          std::chrono::floor<std::chrono::milliseconds>(now - since) /
          WaitPrecision * WaitPrecision;
      requests.push_back(std::move(request));
      first = since;
      opened = true;
    }
    requests.back().Tasks.push_back(i);
  }
}

std::vector<RoomRequest>
ShardState::roomRequests(const std::set<TaskKey> &unplaced,
                         TimePoint now) const {
  std::vector<RoomRequest> requests;
  bool unverified = mayRunAnyTask();
  for (const JobEntry *job : LiveJobs) {
    if (!mayBeSplit(*job, unverified))
      continue;
    const std::vector<StepEntry> &steps = job->Occurrences.at(0).Steps;
    for (std::int32_t i = 0; i < std::ssize(steps); ++i)
      if (const StepEntry &it = steps[static_cast<std::size_t>(i)];
          it.WaitingCount > 0 && !it.LimitedSince)
        addRequests(*job, i, unplaced, now, requests);
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const RoomRequest &a, const RoomRequest &b) {
                     return a.Waited > b.Waited;
                   });
  // Any room that fits one of the tasks must find a request: those that need
  // less than all that have waited longer come first.
  std::vector<RoomRequest> first, rest;
  std::int64_t least = INT64_MAX;
  for (RoomRequest &it : requests) {
    std::int64_t cpu = count(it.Size.Cpu);
    (cpu < least ? first : rest).push_back(std::move(it));
    least = std::min(least, cpu);
  }
  std::move(rest.begin(), rest.end(), std::back_inserter(first));
  first.resize(std::min(first.size(), MaxRequests));
  return first;
}

bool ShardState::needsRoom(const RoomRequest &request,
                           std::int32_t index) const {
  const JobEntry *job = findJob(request.Job);
  // Neither the job's own shard nor one that has had the task takes it again;
  // what is added to an inherited part waits until all workers have listed
  // their runs.
  if (CancelledEarly.contains(request.Job) ||
      (job && (!job->isLive() || !job->IsPart ||
               request.Step >= std::ssize(job->Job.Graph.Steps) ||
               job->PartTasks.contains({request.Step, index}) ||
               (job->Inherited && mayRunAnyTask()))) ||
      UnusedOffers.contains({request.Job, 0, request.Step, index}))
    return false;
  return std::none_of(
      Reservations.begin(), Reservations.end(), [&](const Reservation &it) {
        return it.Granted && it.Job == request.Job && it.Step == request.Step &&
               it.Granted->Index == index;
      });
}

bool ShardState::areRoomsWanted() const {
  return !AskedSteps.empty() ||
         std::any_of(RequestsOfPeers.begin(), RequestsOfPeers.end(),
                     [](const auto &it) { return !it.second.List.empty(); });
}

void ShardState::grantRooms(TimePoint now) {
  if (Closing || (!RoomsChanged && now - RoomsComparedAt < GrantInterval))
    return;
  std::erase_if(UnusedOffers, [&](const auto &it) { return it.second <= now; });
  RoomsChanged = false;
  if (RequestsOfPeers.empty())
    return;
  RoomsComparedAt = now;
  planRooms(
      *this, now,
      [&](const RoomRequest &request, std::int32_t from, std::int32_t index,
          std::vector<WorkerRoom> &rooms) {
        if (reserveForRequest(request, index, from, rooms, now))
          RoomOffers.push_back({{request.Job, 0, request.Step, index}, from});
      });
}

static bool fitsAnyRoom(const base::Resources &size,
                        const std::vector<WorkerRoom> &rooms) {
  return std::any_of(rooms.begin(), rooms.end(), [&](const WorkerRoom &it) {
    return size.fitsIn(it.Free);
  });
}

void ShardState::grantIdleRooms(TimePoint now) {
  // Without starts left, own tasks may fit as well.
  if (Closing || RequestsOfPeers.empty() || StartBudget == 0)
    return;
  std::vector<WorkerRoom> rooms;
  for (const auto &[id, w] : Workers) {
    bool kept = std::any_of(
        w->Held.begin(), w->Held.end(),
        [](const WorkerReservation &it) { return it.Awaited || it.Gang; });
    if (kept || w->Held.empty() || !isInUse(*this, *w) ||
        w->isAvoided(true, now))
      continue;
    base::Resources free = w->Profile.Capacity;
    free -= w->Used;
    rooms.push_back({w.get(), free});
  }
  if (rooms.empty())
    return;
  struct Candidate {
    TimePoint Since;
    std::int32_t From = 0;
    const RoomRequest *Request = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const auto &[from, requests] : RequestsOfPeers)
    for (const PeerRequest &it : requests.List)
      if (now - requests.ChangedAt <= RequestLifetime &&
          now - it.Since >= LostAfter && fitsAnyRoom(it.Request.Size, rooms))
        candidates.push_back({it.Since, from, &it.Request});
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate &a, const Candidate &b) { return a.Since < b.Since; });
  for (const Candidate &it : candidates)
    for (std::int32_t index : it.Request->Tasks)
      if (fitsAnyRoom(it.Request->Size, rooms) && needsRoom(*it.Request, index))
        grantIdleRoom(*it.Request, index, it.From, rooms, now);
}

void ShardState::grantIdleRoom(const RoomRequest &request, std::int32_t index,
                               std::int32_t from,
                               std::vector<WorkerRoom> &rooms, TimePoint now) {
  StepCounts counts;
  auto best = rooms.end();
  for (auto it = rooms.begin(); it != rooms.end(); ++it) {
    const model::WorkerProfile &profile = it->Worker->Profile;
    if (!request.Size.fitsIn(it->Free) || profile.Service != request.Service ||
        (!request.Requirement.empty() &&
         !hasLabel(profile, request.Requirement)))
      continue;
    if (counts.empty())
      counts = placesOf(request);
    auto same = counts.find(it->Worker);
    bool spread = request.MaxPerWorker == 0 || same == counts.end() ||
                  same->second < request.MaxPerWorker;
    if (spread &&
        (best == rooms.end() || count(it->Free.Cpu) < count(best->Free.Cpu)))
      best = it;
  }
  if (best == rooms.end())
    return;
  TimePoint until = now + GrantTime;
  addReservation(
      {request.Job, 0, request.Step, best->Worker->Profile.Id, request.Size,
       now, until + StopTime, true,
       Reservation::Grant{index, until, request.Requirement, {from}}},
      0, now);
  RoomOffers.push_back({{request.Job, 0, request.Step, index}, from});
  rooms.erase(best);
}

void ShardState::noteUnusedOffer(const Reservation &reservation,
                                 TimePoint now) {
  TaskKey key{reservation.Job, reservation.Occurrence, reservation.Step,
              reservation.Granted->Index};
  UnusedOffers[key] = now + RegrantDelay;
  RoomsChanged = true;
}

/// Returns whether the reservation is for a task that is still to be delegated.
static bool isGrantedTo(const Reservation &reservation, const TaskKey &task) {
  return reservation.Granted && reservation.Job == task.Job &&
         reservation.Step == task.Step &&
         reservation.Granted->Index == task.Index;
}

void ShardState::releaseRoom(const TaskKey &task, std::int32_t from,
                             TimePoint now) {
  auto it =
      std::find_if(Reservations.begin(), Reservations.end(),
                   [&](const Reservation &r) { return isGrantedTo(r, task); });
  if (it == Reservations.end())
    it = std::find_if(Reservations.begin(), Reservations.end(),
                      [&](const Reservation &r) {
                        return r.Granted && r.Granted->Shards.contains(from);
                      });
  if (it == Reservations.end())
    return;
  UnusedOffers[task] = now + RegrantDelay;
  RoomsChanged = true;
  if (auto w = Workers.find(it->Worker); w != Workers.end())
    w->second->RoomReturnedAt = now;
  notePlaced(from, *it, now);
  it->Granted->Shards.erase(from);
  if (!it->Granted->Shards.empty())
    return;
  endReservation(*it, "returned");
  Reservations.erase(it);
}

void ShardState::notePlaced(std::int32_t from, const Reservation &returned,
                            TimePoint now) {
  auto peer = RequestsOfPeers.find(from);
  auto w = Workers.find(returned.Worker);
  if (peer == RequestsOfPeers.end() || w == Workers.end())
    return;
  for (const PeerRequest &it : peer->second.List) {
    const RoomRequest &request = it.Request;
    if (!request.Size.fitsIn(returned.Size) ||
        request.Service != w->second->Profile.Service ||
        (!request.Requirement.empty() &&
         request.Requirement != returned.Granted->Requirement))
      continue;
    for (std::int32_t index : request.Tasks)
      UnusedOffers[{request.Job, 0, request.Step, index}] = now + RegrantDelay;
  }
}

/// Returns whether a step may have no more tasks on the worker.
static bool isAtLimit(const JobEntry &job, std::int32_t step,
                      const base::WorkerId &worker) {
  auto index = static_cast<std::size_t>(step);
  std::int32_t limit = job.Job.Graph.Steps[index].MaxPerWorker;
  StepCounts counts = runsByWorker(job.Occurrences.at(0).Steps[index]);
  return limit > 0 &&
         std::any_of(counts.begin(), counts.end(), [&](const auto &it) {
           return it.first->Profile.Id == worker && it.second >= limit;
         });
}

void ShardState::passRoomOn(const TaskKey &from, const TaskKey &to,
                            TimePoint now) {
  auto it =
      std::find_if(Reservations.begin(), Reservations.end(),
                   [&](const Reservation &r) { return isGrantedTo(r, from); });
  if (it == Reservations.end())
    return;
  noteUnusedOffer(*it, now);
  JobEntry *job = findJob(to.Job);
  // Other shards do not know where tasks of the step run here.
  if (job && isAtLimit(*job, to.Step, it->Worker)) {
    endReservation(*it, "limit per worker");
    Reservations.erase(it);
    return;
  }
  it->Job = to.Job;
  it->Step = to.Step;
  it->Granted->Index = to.Index;
  // The task may have come before the answer.
  if (job && job->PartTasks.contains({to.Step, to.Index}))
    onDelegated(*job, {{to.Step, to.Index, {}}});
}

void ShardState::onDelegated(const JobEntry &job,
                             const std::vector<TaskRef> &tasks) {
  for (const TaskRef &task : tasks)
    for (Reservation &it : Reservations)
      if (isGrantedTo(it, {job.Job.Id, 0, task.Step, task.Index})) {
        it.Granted.reset();
        RoomOpened = true;
      }
}

void ShardState::endGrant(const RoomGrantId &id, TimePoint now) {
  auto it = Grants.find(id);
  if (it == Grants.end() || it->second.Ended)
    return;
  if (now < it->second.Until &&
      std::find(ReturnedRooms.begin(), ReturnedRooms.end(), id) ==
          ReturnedRooms.end())
    ReturnedRooms.push_back(id);
  it->second.InUse = false;
  it->second.Ended = true;
}

void ShardState::updateWaits(const JobEntry &job, Occurrence &o,
                             std::int32_t step, TimePoint now) {
  StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
  entry.UnservedSince.reset();
  for (std::int32_t i = 0; i < std::ssize(entry.Tasks); ++i) {
    TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    TaskKey key{job.Job.Id, o.Number, step, i};
    if (!task.isWaiting()) {
      // An offer may come back, and a start may fail.
      bool confirmed =
          task.Done || std::any_of(task.Runs.begin(), task.Runs.end(),
                                   [](const Run &it) { return it.Confirmed; });
      if (!task.Remote && confirmed) {
        task.WaitingSince.reset();
        InheritedWaits.erase(key);
      }
      continue;
    }
    if (!task.WaitingSince) {
      auto earlier = InheritedWaits.find(key);
      task.WaitingSince =
          earlier == InheritedWaits.end() ? now : earlier->second;
    }
    entry.UnservedSince =
        std::min(entry.UnservedSince.value_or(now), *task.WaitingSince);
  }
}

} // namespace detail

using detail::GrantedRoom;
using detail::JobEntry;
using detail::TaskEntry;

/// Returns since when the tasks of a request have waited. The wait in a record
/// that was read late looks shorter than it is.
static base::TimePoint sinceOf(const RoomRequest &request,
                               const std::vector<detail::PeerRequest> &earlier,
                               base::TimePoint now) {
  base::TimePoint since = now - request.Waited;
  for (const detail::PeerRequest &it : earlier)
    if (it.Request.Job == request.Job && it.Request.Step == request.Step &&
        it.Request.Waited <= request.Waited &&
        std::find(it.Request.Tasks.begin(), it.Request.Tasks.end(),
                  request.Tasks.front()) != it.Request.Tasks.end())
      return std::min(since, it.Since);
  return since;
}

void Shard::setRoomRequests(std::int32_t shard,
                            const std::vector<RoomRequest> &requests,
                            base::TimePoint now) {
  detail::ShardState &s = *State;
  auto known = s.RequestsOfPeers.find(shard);
  if (known == s.RequestsOfPeers.end()) {
    if (requests.empty())
      return;
    known = s.RequestsOfPeers.emplace(shard, detail::PeerRequests{}).first;
  }
  detail::PeerRequests &current = known->second;
  bool same =
      std::equal(requests.begin(), requests.end(), current.List.begin(),
                 current.List.end(),
                 [](const RoomRequest &a, const detail::PeerRequest &b) {
                   return a == b.Request;
                 });
  if (same && !requests.empty())
    return;
  std::vector<detail::PeerRequest> list;
  for (const RoomRequest &it : requests)
    list.push_back({it, sinceOf(it, current.List, now)});
  current = {std::move(list), now};
  s.RoomsChanged = true;
}

bool Shard::takeRoomOpened() { return std::exchange(State->RoomOpened, false); }

void Shard::clearRoomRequests() { State->RequestsOfPeers.clear(); }

void Shard::inheritWaits(const std::vector<RoomRequest> &requests,
                         base::TimePoint now) {
  for (const RoomRequest &it : requests)
    for (std::int32_t index : it.Tasks)
      State->InheritedWaits[{it.Job, 0, it.Step, index}] = now - it.Waited;
}

std::vector<RoomOffer> Shard::takeRoomOffers(std::size_t limit) {
  std::vector<RoomOffer> offers;
  while (!State->RoomOffers.empty() && offers.size() < limit) {
    RoomOffer offer = State->RoomOffers.front();
    State->RoomOffers.pop_front();
    // Offered beside the task that the room is held for.
    if (offer.Grant.Size != base::Resources{}) {
      bool isHeld =
          std::any_of(State->Reservations.begin(), State->Reservations.end(),
                      [&](const detail::Reservation &it) {
                        return it.Granted && it.Size == offer.Grant.Size &&
                               it.Granted->Shards.contains(offer.To);
                      });
      if (isHeld)
        offers.push_back(std::move(offer));
      continue;
    }
    auto held =
        std::find_if(State->Reservations.begin(), State->Reservations.end(),
                     [&](const detail::Reservation &it) {
                       return detail::isGrantedTo(it, offer.Task);
                     });
    // The room may have been lost meanwhile.
    if (held == State->Reservations.end())
      continue;
    auto w = State->Workers.find(held->Worker);
    if (w == State->Workers.end())
      continue;
    offer.Grant = {State->Number, held->Size, w->second->Profile.Service,
                   held->Granted->Requirement};
    offers.push_back(std::move(offer));
  }
  return offers;
}

void Shard::onRoomGrant(const model::TaskKey &task, const RoomGrant &grant,
                        base::TimePoint now) {
  RoomGrantId id{task, grant.Shard};
  auto [it, added] = State->Grants.try_emplace(
      id, GrantedRoom{grant, now + detail::GrantTime});
  // The record may be read again.
  if (added && State->candidatesFor(id, it->second, now).empty())
    State->endGrant(id, now);
}

void Shard::onRoomReturned(const model::TaskKey &task,
                           const RoomReturn &returned, base::TimePoint now) {
  if (returned.Instead)
    State->passRoomOn(task, *returned.Instead, now);
  else
    State->releaseRoom(task, returned.Shard, now);
  State->ReadReturns.push_back(task);
}

bool Shard::hasGrants(base::TimePoint now) const {
  return std::any_of(State->Grants.begin(), State->Grants.end(),
                     [&](const auto &it) { return it.second.isUsable(now); });
}

RoomRecordChanges Shard::takeRoomChanges(std::size_t limit,
                                         base::TimePoint now) {
  detail::ShardState &s = *State;
  RoomRecordChanges changes;
  auto take = [&](auto &from, auto &to) {
    for (; !from.empty() && limit > 0; --limit) {
      to.push_back(from.front());
      from.pop_front();
    }
  };
  take(s.ReturnedRooms, changes.Returned);
  take(s.ReadReturns, changes.ReadReturns);
  for (auto it = s.Grants.begin(); it != s.Grants.end() && limit > 0;) {
    if (!it->second.isDeletable(now)) {
      ++it;
      continue;
    }
    changes.EndedGrants.push_back(it->first);
    it = s.Grants.erase(it);
    --limit;
  }
  return changes;
}

void Shard::onRoomChangesKept(const RoomRecordChanges &changes) {
  detail::ShardState &s = *State;
  s.ReturnedRooms.insert(s.ReturnedRooms.end(), changes.Returned.begin(),
                         changes.Returned.end());
  s.ReadReturns.insert(s.ReadReturns.end(), changes.ReadReturns.begin(),
                       changes.ReadReturns.end());
  for (const RoomGrantId &it : changes.EndedGrants) {
    GrantedRoom ended;
    ended.Ended = true;
    s.Grants.try_emplace(it, ended);
  }
}

bool Shard::hasRoomRecords(base::TimePoint now) const {
  return !State->RoomOffers.empty() || !State->ReturnedRooms.empty() ||
         !State->ReadReturns.empty() ||
         std::any_of(
             State->Grants.begin(), State->Grants.end(),
             [&](const auto &it) { return it.second.isDeletable(now); });
}

} // namespace endivedoor::dispatch
