/// \file
/// Selection of workers for tasks.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_PLACEMENT_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_PLACEMENT_H

#include "detail/ShardState.h"

namespace endivedoor::dispatch::detail {

/// Returns the CPU that fillers on the worker can expect, in thousandths of a
/// core.
double fillerCapacity(const WorkerState &w);

/// What the choice of a worker depends on besides the step.
struct PlacementOptions {
  /// The task, if its late starts limit the choice.
  std::optional<TaskKey> Task = {};
  /// Worker that must not be chosen; null for none.
  const WorkerState *Excluded = nullptr;
  /// Whether a filler may run where tasks are predicted to miss their targets.
  bool Starved = false;
  /// Whether the task may crash its worker: it goes where no other such task
  /// runs and a crash would end little.
  bool Isolated = false;
  /// How long a long-running task has waited; 0 for others.
  base::Duration Waited{0};
};

/// Returns the best worker for one more task of a step, or null if none can run
/// it now.
///
/// \param counts number of tasks of the step on each worker.
WorkerState *chooseWorker(ShardState &shard, const JobEntry &job,
                          const model::StepSpec &step, const StepCounts &counts,
                          TimePoint now, const PlacementOptions &options);

/// Reasons for which the workers of a shard reject a task; each worker is
/// counted under one reason.
struct PlacementRejections {
  std::int32_t Workers = 0;
  /// Not listed, not synchronized, draining or avoided for now.
  std::int32_t Unusable = 0;
  std::int32_t ZoneOutOfService = 0;
  std::int32_t MissingLabel = 0;
  std::int32_t NoCpu = 0;
  std::int32_t NoMemory = 0;
  /// The limit of tasks per worker is reached, or other tasks would miss their
  /// targets.
  std::int32_t Other = 0;
};

/// How many workers have room for a task beside their long-running tasks, which
/// the short ones there leave within bounded time, and the largest such room.
struct LongRunningRooms {
  std::int32_t Workers = 0;
  base::MilliCores LargestCpu{0};
};

LongRunningRooms countRooms(const ShardState &shard, const JobEntry &job,
                            const model::StepSpec &step, TimePoint now);

PlacementRejections countRejections(const ShardState &shard,
                                    const JobEntry &job,
                                    const model::StepSpec &step, TimePoint now);

/// Returns the ratio of the CPU demand of each filler program to the CPU that
/// its suitable workers have for fillers, and updates DemandRatioSum of each
/// worker.
///
/// \param demand CPU demand of each program, averaged over some time.
std::map<std::string, double>
computeDemandRatios(ShardState &shard,
                    const std::map<std::string, double> &demand, TimePoint now);

/// Returns whether the worker takes starts, unless it is avoided.
bool isInUse(const ShardState &shard, const WorkerState &w);

/// Returns whether the worker may run tasks of the step, capacity aside, now or
/// once it is no longer avoided.
bool isSuitable(const ShardState &shard, const JobEntry &job,
                const model::StepSpec &step, const WorkerState &w);

/// The same, now.
bool mayHost(const ShardState &shard, const JobEntry &job,
             const model::StepSpec &step, const WorkerState &w, TimePoint now);

/// Returns a worker for each task of a gang, or nothing if they do not all fit.
///
/// \param isolated as for chooseWorker().
std::vector<WorkerState *> chooseGang(const ShardState &shard,
                                      const JobEntry &job,
                                      const model::StepSpec &step,
                                      TimePoint now, bool isolated = false);

} // namespace endivedoor::dispatch::detail

#endif
