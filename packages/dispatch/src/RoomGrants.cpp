// Rooms for tasks that wait in other shards. Load pattern: an installation is
// almost full, and long-running tasks wait in each shard for the next room. A
// room that is published first goes to whoever reads the record first, after
// several periodic steps; here the shard with the room chooses the task that
// has waited longest, and holds the room while the task is handed over.
#include "detail/Rooms.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace endivedoor::dispatch {

namespace detail {

using namespace std::chrono_literals;

/// How long after a grant that was not used there is none for the same task.
/// The requests are up to two intervals of the load records old.
constexpr auto RegrantDelay = 1600ms;
/// Minimum interval between two comparisons of rooms and requests.
constexpr auto GrantInterval = 100ms;
/// Tasks that have waited less find a room by the published ones.
constexpr auto RequestDelay = 1000ms;
/// A task that has room here, but no start for so long, is asked for as well.
constexpr auto PlacedRequestDelay = 3000ms;
constexpr std::size_t MaxRequests = 32;
constexpr std::size_t MaxTasksPerRequest = 8;

static std::vector<std::int32_t>
requestedTasks(const ShardState &shard, const JobEntry &job, std::int32_t step,
               const StepEntry &entry, const std::set<TaskKey> *unplaced) {
  std::vector<std::int32_t> tasks;
  for (std::int32_t i = 0; i < std::ssize(entry.Tasks); ++i) {
    const TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    TaskKey key{job.Job.Id, 0, step, i};
    if (task.isPending() && task.Runs.empty() &&
        !shard.HeldTasks.contains(key) &&
        (!unplaced || unplaced->contains(key)) &&
        tasks.size() < MaxTasksPerRequest)
      tasks.push_back(i);
  }
  return tasks;
}

std::vector<RoomRequest>
ShardState::roomRequests(const std::set<TaskKey> &unplaced,
                         TimePoint now) const {
  std::vector<RoomRequest> requests;
  bool unverified = mayRunAnyTask();
  for (const JobEntry *job : LiveJobs) {
    if (!mayBeSplit(*job, unverified) || job->OfferInFlight)
      continue;
    const std::vector<StepEntry> &steps = job->Occurrences.at(0).Steps;
    for (std::int32_t i = 0; i < std::ssize(steps); ++i) {
      const StepEntry &entry = steps[static_cast<std::size_t>(i)];
      base::Duration waited = now - entry.UnservedSince.value_or(now);
      if (entry.WaitingCount == 0 || waited < RequestDelay)
        continue;
      RoomRequest request;
      request.Tasks =
          requestedTasks(*this, *job, i, entry,
                         waited < PlacedRequestDelay ? &unplaced : nullptr);
      if (request.Tasks.empty())
        continue;
      const model::StepSpec &spec =
          job->Job.Graph.Steps[static_cast<std::size_t>(i)];
      request.Job = job->Job.Id;
      request.Step = i;
      request.Size = spec.Size;
      request.Service = job->Job.Policy.Service;
      request.Requirement = spec.Requirement;
      request.Waited = std::chrono::floor<std::chrono::seconds>(waited);
      requests.push_back(std::move(request));
    }
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

/// Returns whether a task of another shard can be delegated to this one, and
/// has no room here yet.
static bool needsRoom(const ShardState &shard, const RoomRequest &request,
                      std::int32_t index) {
  const JobEntry *job = shard.findJob(request.Job);
  // Neither the job's own shard nor one that has had the task takes it again.
  if (shard.CancelledEarly.contains(request.Job) ||
      (job && (!job->isLive() || !job->IsPart ||
               request.Step >= std::ssize(job->Job.Graph.Steps) ||
               job->PartTasks.contains({request.Step, index}))) ||
      shard.UnusedOffers.contains({request.Job, 0, request.Step, index}))
    return false;
  return std::none_of(shard.Reservations.begin(), shard.Reservations.end(),
                      [&](const Reservation &it) {
                        return it.Granted && it.Job == request.Job &&
                               it.Step == request.Step &&
                               it.Granted->Index == index;
                      });
}

/// What a shard is asked for, in the order in which it gives room: the longest
/// wait first. Of equal waits, shards choose different ones, so that few tasks
/// get two rooms.
struct AskedRoom {
  std::chrono::seconds Waited;
  std::uint64_t Draw = 0;
  std::int32_t Shard = 0;
  const RoomRequest *Request = nullptr;

  AskedRoom(const RoomRequest &request, std::int32_t from, std::int32_t to)
      : Waited(request.Waited), Shard(from), Request(&request) {
    std::string key = formatJobNumber(request.Job) + "/" + std::to_string(to);
    Draw = XXH3_64bits(key.data(), key.size());
  }
  friend bool operator<(const AskedRoom &a, const AskedRoom &b) {
    return std::pair(-a.Waited, a.Draw) < std::pair(-b.Waited, b.Draw);
  }
};

void ShardState::grantRooms(TimePoint now) {
  if (now - RoomsComparedAt < GrantInterval || mayRunAnyTask() || Closing)
    return;
  std::erase_if(UnusedOffers, [&](const auto &it) { return it.second <= now; });
  std::vector<AskedRoom> asked;
  for (const auto &[shard, requests] : PeerRequests)
    for (const RoomRequest &it : requests)
      asked.emplace_back(it, shard, Number);
  if (asked.empty())
    return;
  std::stable_sort(asked.begin(), asked.end());
  RoomsComparedAt = now;
  std::vector<WorkerRoom> rooms = std::move(planRooms(*this, now).Rooms);
  for (const AskedRoom &it : asked) {
    std::int32_t granted = 0;
    for (std::int32_t index : it.Request->Tasks) {
      if (!needsRoom(*this, *it.Request, index))
        continue;
      if (!reserveForRequest(*it.Request, index, rooms, now))
        break;
      ++granted;
    }
    if (granted > 0)
      RoomOffers.push_back(
          {it.Request->Job, it.Shard, {Number, it.Request->Step, granted}});
  }
}

void ShardState::noteUnusedOffer(const Reservation &reservation,
                                 TimePoint now) {
  TaskKey key{reservation.Job, reservation.Occurrence, reservation.Step,
              reservation.Granted->Index};
  UnusedOffers[key] = now + RegrantDelay;
}

void ShardState::returnRoom(JobNumber job, const RoomGrant &grant) {
  RoomOffers.push_back({job, grant.Shard, {Number, grant.Step, 0}});
}

void ShardState::onRoomReturned(JobNumber job, std::int32_t step,
                                TimePoint now) {
  for (Reservation &it : Reservations)
    if (it.Job == job && it.Step == step && it.isAwaited(now))
      it.Granted->Until = now;
}

std::optional<RoomGrant> ShardState::takeGrant(JobEntry &job, TimePoint now) {
  std::erase_if(job.Grants, [&](const auto &it) { return it.second <= now; });
  if (job.Grants.empty())
    return std::nullopt;
  RoomGrant grant = job.Grants.front().first;
  job.Grants.erase(job.Grants.begin());
  return grant;
}

} // namespace detail

using detail::JobEntry;

void Shard::setRoomRequests(std::int32_t shard,
                            std::vector<RoomRequest> requests) {
  if (requests.empty())
    State->PeerRequests.erase(shard);
  else
    State->PeerRequests[shard] = std::move(requests);
}

void Shard::clearRoomRequests() { State->PeerRequests.clear(); }

std::vector<RoomOffer> Shard::takeRoomOffers(std::size_t limit) {
  std::vector<RoomOffer> offers;
  while (!State->RoomOffers.empty() && offers.size() < limit) {
    offers.push_back(State->RoomOffers.front());
    State->RoomOffers.pop_front();
  }
  return offers;
}

void Shard::onRoomGrant(model::JobNumber id, const RoomGrant &grant,
                        base::TimePoint now) {
  State->ReadGrants.push_back(id);
  if (grant.Tasks == 0)
    return State->onRoomReturned(id, grant.Step, now);
  JobEntry *job = State->findJob(id);
  if (job && job->isLive() && grant.Shard != job->HomeShard)
    job->Grants.emplace_back(grant, now + detail::GrantTime);
  else
    State->returnRoom(id, grant);
}

bool Shard::hasGrants(base::TimePoint now) const {
  return std::any_of(
      State->LiveJobs.begin(), State->LiveJobs.end(), [&](const JobEntry *job) {
        return std::any_of(job->Grants.begin(), job->Grants.end(),
                           [&](const auto &it) { return now < it.second; });
      });
}

std::vector<model::JobNumber> Shard::takeReadGrants(std::size_t limit) {
  std::vector<model::JobNumber> jobs;
  while (!State->ReadGrants.empty() && jobs.size() < limit) {
    jobs.push_back(State->ReadGrants.front());
    State->ReadGrants.pop_front();
  }
  return jobs;
}

void Shard::onGrantsKept(const std::vector<model::JobNumber> &jobs) {
  State->ReadGrants.insert(State->ReadGrants.end(), jobs.begin(), jobs.end());
}

} // namespace endivedoor::dispatch
