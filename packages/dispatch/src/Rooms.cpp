// Load pattern: see the header.
#include "detail/Rooms.h"

#include "detail/Placement.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

base::Resources roomBesideLongRunning(const WorkerState &w) {
  base::Resources room = w.Profile.Capacity;
  for (const auto &[id, held] : w.Runs)
    if (held.Step->LongRunning)
      room -= held.Size;
  return room;
}

namespace {

/// Waiting tasks of one long-running step.
struct WaitingStep {
  TimePoint Since;
  const JobEntry *Job = nullptr;
  const Occurrence *At = nullptr;
  std::int32_t Step = 0;
};

std::vector<WaitingStep> waitingSteps(const ShardState &shard, TimePoint now) {
  std::vector<WaitingStep> waiting;
  for (const JobEntry *job : shard.LiveJobs) {
    if (!job->isLive() || !job->isLongRunning() || job->Moving)
      continue;
    for (const auto &[number, o] : job->Occurrences)
      for (std::int32_t i = 0; i < std::ssize(o.Steps); ++i) {
        const StepEntry &entry = o.Steps[static_cast<std::size_t>(i)];
        const model::StepSpec &spec =
            job->Job.Graph.Steps[static_cast<std::size_t>(i)];
        if (entry.WaitingCount > 0 && spec.LongRunning && !spec.Gang)
          waiting.push_back({entry.UnservedSince.value_or(now), job, &o, i});
      }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const WaitingStep &a, const WaitingStep &b) {
                     return a.Since < b.Since;
                   });
  return waiting;
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

WorkerRoom *smallestRoom(std::vector<WorkerRoom> &rooms,
                         const ShardState &shard, const JobEntry &job,
                         const model::StepSpec &spec, const StepCounts &counts,
                         TimePoint now) {
  WorkerRoom *best = nullptr;
  for (WorkerRoom &it : rooms) {
    if (!spec.Size.fitsIn(it.Free) ||
        (best && count(best->Free.Cpu) <= count(it.Free.Cpu)))
      continue;
    auto same = counts.find(it.Worker);
    bool atLimit = spec.MaxPerWorker > 0 && same != counts.end() &&
                   same->second >= spec.MaxPerWorker;
    if (!atLimit && mayHost(shard, job, spec, *it.Worker, now))
      best = &it;
  }
  return best;
}

} // namespace

RoomPlan planRooms(const ShardState &shard, TimePoint now) {
  std::vector<WorkerRoom> rooms;
  for (const auto &[id, w] : shard.Workers)
    if (takesStarts(shard, *w, now)) {
      rooms.push_back({w.get(), roomBesideLongRunning(*w)});
      rooms.back().Free -= awaitedOn(shard, *w, now);
    }
  RoomPlan plan;
  for (const WaitingStep &it : waitingSteps(shard, now)) {
    auto step = static_cast<std::size_t>(it.Step);
    const model::StepSpec &spec = it.Job->Job.Graph.Steps[step];
    const StepEntry &entry = it.At->Steps[step];
    StepCounts counts = runsByWorker(entry);
    bool full = false;
    for (std::int32_t i = 0; i < spec.Count; ++i) {
      const TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
      if (!task.isPending() || !task.Runs.empty())
        continue;
      WorkerRoom *room =
          full ? nullptr
               : smallestRoom(rooms, shard, *it.Job, spec, counts, now);
      full = !room;
      if (room) {
        room->Free -= spec.Size;
        ++counts[room->Worker];
      } else {
        plan.Unplaced.insert({it.Job->Job.Id, it.At->Number, it.Step, i});
      }
    }
  }
  for (const WorkerRoom &it : rooms)
    plan.Free[it.Worker->Profile.Service.str()].push_back(it.Free);
  plan.Rooms = std::move(rooms);
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
