/// \file
/// Capacity for long-running tasks, worker by worker.
///
/// Load pattern: workers leave an installation that is almost full. The sum of
/// the free capacity, less the sum of the waiting demand, is then negative in
/// every shard although single workers have room for small tasks.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_ROOMS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_ROOMS_H

#include "detail/ShardState.h"

#include <functional>
#include <set>

namespace endivedoor::dispatch::detail {

/// How long a room is held for a task that is to be delegated: two commits, two
/// watches and their delays on a busy node.
constexpr std::chrono::milliseconds GrantTime{1500};

/// After this wait, long-running tasks go before short ones and use room that
/// is held for others. Callers count them as lost after LostAfter.
constexpr std::chrono::milliseconds LongRunningWait{2000};

/// An owner whose tasks wait changes its load record more often than that;
/// older requests have no owner that could use a grant.
constexpr std::chrono::milliseconds RequestLifetime{3000};

/// Callers count a task as lost that has waited for so long while room for it
/// is open anywhere. From then on, it goes before tasks of other shards that
/// have waited longer by up to this: their room is idle until it has been
/// handed over.
constexpr std::chrono::milliseconds LostAfter{6000};

/// How long after a grant that was not used there is none for the same task.
/// The requests are up to two intervals of the load records old.
constexpr std::chrono::milliseconds RegrantDelay{1600};

/// Tasks that have waited less find a room by the published ones.
constexpr std::chrono::milliseconds RequestDelay{1000};

struct WorkerRoom {
  WorkerState *Worker = nullptr;
  base::Resources Free;
};

/// Rooms that the waiting long-running tasks of a shard take and leave.
struct RoomPlan {
  /// What is left on each usable worker.
  std::vector<WorkerRoom> Rooms;
  /// The same by service.
  std::map<std::string, std::vector<base::Resources>> Free;
  /// Tasks for which no worker has room, however long they wait.
  std::set<TaskKey> Unplaced;
};

/// Returns what a worker has beside its long-running tasks: all that its other
/// runs leave within bounded time.
base::Resources roomBesideLongRunning(const WorkerState &w, TimePoint now);

/// Returns whether \p size is free on the worker now.
bool hasRoomFor(const WorkerState &w, const base::Resources &size);

/// Takes room for a task of another shard from \p rooms, if there is any.
using RequestPlacer =
    std::function<void(const RoomRequest &request, std::int32_t from,
                       std::int32_t index, std::vector<WorkerRoom> &rooms)>;

/// Places the waiting long-running tasks of all shards, each where the least
/// remains. Gangs are left out. Longest waits go first, but own tasks before
/// those of other shards that have waited for little longer; of these, shards
/// choose different ones.
///
/// \param place takes the room of a task of another shard; by default, it is
/// only left out of the plan.
///
/// Cost: the number of these tasks that fit any worker times the number of
/// workers.
RoomPlan planRooms(const ShardState &shard, TimePoint now,
                   const RequestPlacer &place = {});

/// Places tasks one after the other in the smallest room that has space, and
/// takes it from \p rooms.
///
/// \returns the tasks that were placed.
std::vector<TaskRef> placeInRooms(std::vector<base::Resources> &rooms,
                                  const model::JobGraph &graph,
                                  const std::vector<TaskRef> &tasks);

/// Returns references to all tasks of a job's steps.
std::vector<TaskRef> allTasksOf(const model::JobGraph &graph);

} // namespace endivedoor::dispatch::detail

#endif
