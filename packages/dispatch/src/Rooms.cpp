// Load pattern: see the header.
#include "detail/Rooms.h"

#include "detail/Placement.h"
#include "detail/Routing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace endivedoor::dispatch::detail {

base::Resources roomBesideLongRunning(const WorkerState &w, TimePoint now) {
  base::Resources room = w.Profile.Capacity;
  for (const auto &[id, held] : w.Runs)
    if (held.Step->LongRunning &&
        !(held.StopConfirmed && now - *held.StopConfirmed < StopTime))
      room -= held.Size;
  return room;
}

bool hasRoomFor(const WorkerState &w, const base::Resources &size) {
  base::Resources needed = w.Used;
  needed += size;
  return needed.fitsIn(w.Profile.Capacity);
}

namespace {

/// Waits that differ by less count as equal, as the load records are older.
constexpr std::chrono::milliseconds WaitGranularity{1000};
/// A task of another shard goes after the others for each shard that has a
/// stronger claim to it, as if it had waited less by this. Shards in which
/// rooms open at the same time thus grant them to different tasks.
constexpr std::chrono::milliseconds ClaimStep{1000};
/// Bounds what that adds to the difference of two waits.
constexpr std::int32_t MaxClaimRank = 5;

/// A task that waits in any shard.
struct WaitingTask {
  /// Since when it has waited, as far as the order is concerned.
  TimePoint Since;
  /// Order of equal waits; 0 for tasks of this shard.
  std::uint64_t Draw = 0;
  TaskKey Key;
  /// Null for a task of another shard.
  const JobEntry *Job = nullptr;
  const StepEntry *Entry = nullptr;
  /// Null for a task of this shard.
  const RoomRequest *Request = nullptr;
  std::int32_t From = 0;

  friend bool operator<(const WaitingTask &a, const WaitingTask &b) {
    return std::tie(a.Since, a.Draw, a.Key) < std::tie(b.Since, b.Draw, b.Key);
  }
};

/// Returns by how much longer than a task of this shard another one must have
/// waited to go before it.
base::Duration ownTaskLead(base::Duration waited) {
  return waited < LostAfter ? WaitGranularity : LostAfter;
}

std::uint64_t drawFor(const TaskKey &task, std::int32_t shard) {
  std::string key = formatTask(task) + "/" + std::to_string(shard);
  return XXH3_64bits(key.data(), key.size()) | 1;
}

/// Returns what the worker holds for tasks that are to be delegated here.
base::Resources awaitedOn(const ShardState &shard, const WorkerState &w,
                          TimePoint now) {
  base::Resources awaited;
  for (const Reservation &it : shard.Reservations)
    if (it.isAwaited(now) && it.Worker == w.Profile.Id)
      awaited += it.Size;
  return awaited;
}

/// Returns the largest amount of each resource in any room.
base::Resources largestOf(const std::vector<WorkerRoom> &rooms) {
  base::Resources largest;
  for (const WorkerRoom &it : rooms) {
    largest.Cpu = std::max(largest.Cpu, it.Free.Cpu);
    largest.Memory = std::max(largest.Memory, it.Free.Memory);
    largest.Accelerators = std::max(largest.Accelerators, it.Free.Accelerators);
    largest.Slots = std::max(largest.Slots, it.Free.Slots);
    largest.Connections = std::max(largest.Connections, it.Free.Connections);
  }
  return largest;
}

/// What a room must offer besides its size.
struct RoomConditions {
  const base::ServiceName &Service;
  const std::string &Requirement;
  std::int32_t MaxPerWorker = 0;
  /// Tasks of the same step on each worker; used with MaxPerWorker only.
  const StepCounts &SameStep;
  /// Task of the shard whose late starts limit the choice; null for none.
  const TaskKey *Task = nullptr;
};

WorkerRoom *smallestRoom(const ShardState &shard,
                         std::vector<WorkerRoom> &rooms,
                         const base::Resources &size,
                         const RoomConditions &conditions) {
  WorkerRoom *best = nullptr;
  for (WorkerRoom &it : rooms) {
    const model::WorkerProfile &worker = it.Worker->Profile;
    if (!size.fitsIn(it.Free) ||
        (best && count(best->Free.Cpu) <= count(it.Free.Cpu)) ||
        worker.Service != conditions.Service ||
        (conditions.Task &&
         !shard.mayStartOn(*it.Worker, *conditions.Task, true)) ||
        (!conditions.Requirement.empty() &&
         !hasLabel(worker, conditions.Requirement)))
      continue;
    auto same = conditions.SameStep.find(it.Worker);
    if (conditions.MaxPerWorker == 0 || same == conditions.SameStep.end() ||
        same->second < conditions.MaxPerWorker)
      best = &it;
  }
  return best;
}

std::vector<WorkerRoom> usableRooms(const ShardState &shard, TimePoint now) {
  std::vector<WorkerRoom> rooms;
  for (const auto &[id, w] : shard.Workers)
    if (isInUse(shard, *w) && !w->isAvoided(true, now)) {
      rooms.push_back({w.get(), roomBesideLongRunning(*w, now)});
      rooms.back().Free -= awaitedOn(shard, *w, now);
    }
  return rooms;
}

/// Adds the waiting tasks of this shard for which there may be room; the others
/// are unplaced.
void addOwnTasks(const ShardState &shard, const base::Resources &largest,
                 TimePoint now, std::vector<WaitingTask> &waiting,
                 std::set<TaskKey> &unplaced) {
  bool unverified = shard.mayRunAnyTask();
  for (const JobEntry *job : shard.LiveJobs) {
    if (!job->isLive() || !job->isLongRunning() || job->Moving ||
        (unverified && job->Inherited))
      continue;
    for (const auto &[number, o] : job->Occurrences)
      for (std::int32_t step = 0; step < std::ssize(o.Steps); ++step) {
        const StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
        const model::StepSpec &spec =
            job->Job.Graph.Steps[static_cast<std::size_t>(step)];
        if (entry.WaitingCount == 0 || !spec.LongRunning || spec.Gang ||
            entry.LimitedSince)
          continue;
        for (std::int32_t i = 0; i < spec.Count; ++i) {
          const TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
          TaskKey key{job->Job.Id, number, step, i};
          if (!task.isWaiting() || shard.HeldTasks.contains(key))
            continue;
          TimePoint since = task.WaitingSince.value_or(now);
          if (!spec.Size.fitsIn(largest))
            unplaced.insert(key);
          else
            waiting.push_back(
                {since - ownTaskLead(now - since), 0, key, job, &entry});
        }
      }
  }
}

/// Returns how many shards that ask for room have a stronger claim to a task of
/// another shard than this one, by a draw for each pair of task and shard.
std::int32_t claimRank(const ShardState &shard, const TaskKey &task,
                       std::int32_t from, TimePoint now) {
  std::uint64_t own = drawFor(task, shard.Number);
  auto rank =
      std::count_if(shard.RequestsOfPeers.begin(), shard.RequestsOfPeers.end(),
                    [&](const auto &it) {
                      return it.first != from && !it.second.List.empty() &&
                             now - it.second.ChangedAt <= RequestLifetime &&
                             drawFor(task, it.first) > own;
                    });
  return std::min(static_cast<std::int32_t>(rank), MaxClaimRank);
}

void addRequestedTasks(const ShardState &shard, const base::Resources &largest,
                       TimePoint now, std::vector<WaitingTask> &waiting) {
  for (const auto &[from, requests] : shard.RequestsOfPeers) {
    if (now - requests.ChangedAt > RequestLifetime)
      continue;
    for (const PeerRequest &it : requests.List) {
      const RoomRequest &request = it.Request;
      if (!request.Size.fitsIn(largest) &&
          !shard.findReturnedRoom(request, from, now))
        continue;
      for (std::int32_t index : request.Tasks) {
        TaskKey key{request.Job, 0, request.Step, index};
        waiting.push_back(
            {it.Since + claimRank(shard, key, from, now) * ClaimStep,
             drawFor(key, shard.Number), key, nullptr, nullptr, &request,
             from});
      }
    }
  }
}

/// Leaves room for a task of another shard out of the plan.
void leaveRoom(const ShardState &shard, const RoomRequest &request,
               std::vector<WorkerRoom> &rooms) {
  StepCounts counts = shard.placesOf(request);
  if (WorkerRoom *room = smallestRoom(
          shard, rooms, request.Size,
          {request.Service, request.Requirement, request.MaxPerWorker, counts}))
    room->Free -= request.Size;
}

} // namespace

RoomPlan planRooms(const ShardState &shard, TimePoint now,
                   const RequestPlacer &place) {
  RoomPlan plan;
  plan.Rooms = usableRooms(shard, now);
  base::Resources largest = largestOf(plan.Rooms);
  std::vector<WaitingTask> waiting;
  addOwnTasks(shard, largest, now, waiting, plan.Unplaced);
  addRequestedTasks(shard, largest, now, waiting);
  std::sort(waiting.begin(), waiting.end());
  std::map<const StepEntry *, StepCounts> sameStep;
  for (const WaitingTask &it : waiting) {
    if (it.Request) {
      bool fits = it.Request->Size.fitsIn(largest) ||
                  (place && shard.findReturnedRoom(*it.Request, it.From, now));
      if (!fits || !shard.needsRoom(*it.Request, it.Key.Index))
        continue;
      if (place)
        place(*it.Request, it.From, it.Key.Index, plan.Rooms);
      else
        leaveRoom(shard, *it.Request, plan.Rooms);
      largest = largestOf(plan.Rooms);
      continue;
    }
    const model::StepSpec &spec = stepOf(*it.Job, it.Key);
    StepCounts &counts = sameStep[it.Entry];
    if (spec.MaxPerWorker > 0 && counts.empty())
      counts = runsByWorker(*it.Entry);
    WorkerRoom *room =
        spec.Size.fitsIn(largest)
            ? smallestRoom(shard, plan.Rooms, spec.Size,
                           {it.Job->Job.Policy.Service, spec.Requirement,
                            spec.MaxPerWorker, counts,
                            shard.hasLateStart(it.Key) ? &it.Key : nullptr})
            : nullptr;
    if (!room) {
      plan.Unplaced.insert(it.Key);
      continue;
    }
    room->Free -= spec.Size;
    ++counts[room->Worker];
    largest = largestOf(plan.Rooms);
  }
  for (const WorkerRoom &it : plan.Rooms)
    plan.Free[it.Worker->Profile.Service.str()].push_back(it.Free);
  return plan;
}

std::vector<TaskRef> placeInRooms(std::vector<base::Resources> &rooms,
                                  const model::JobGraph &graph,
                                  const std::vector<TaskRef> &tasks) {
  std::vector<TaskRef> placed;
  std::map<std::pair<const base::Resources *, std::int32_t>, std::int32_t>
      sameStep;
  for (const TaskRef &it : tasks) {
    const model::StepSpec &spec =
        graph.Steps[static_cast<std::size_t>(it.Step)];
    base::Resources *best = nullptr;
    for (base::Resources &room : rooms)
      if (spec.Size.fitsIn(room) &&
          (!best || count(room.Cpu) < count(best->Cpu)) &&
          (spec.MaxPerWorker == 0 ||
           sameStep[{&room, it.Step}] < spec.MaxPerWorker))
        best = &room;
    if (!best)
      continue;
    *best -= spec.Size;
    ++sameStep[{best, it.Step}];
    placed.push_back(it);
  }
  return placed;
}

std::vector<TaskRef> allTasksOf(const model::JobGraph &graph) {
  std::vector<TaskRef> tasks;
  for (std::int32_t step = 0; step < std::ssize(graph.Steps); ++step)
    for (std::int32_t i = 0;
         i < graph.Steps[static_cast<std::size_t>(step)].Count; ++i)
      tasks.push_back({step, i});
  return tasks;
}

} // namespace endivedoor::dispatch::detail
