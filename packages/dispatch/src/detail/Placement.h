/// \file
/// The choice of a worker for a task.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_PLACEMENT_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_PLACEMENT_H

#include "detail/ShardState.h"

namespace endivedoor::dispatch::detail {

/// Tasks of one step on each worker.
using StepCounts = std::map<const WorkerState *, std::int32_t>;

/// Returns the processor time that fillers on the worker can expect, in
/// thousandths of a core.
double fillerCapacity(const WorkerState &w);

/// Returns the best worker for one more task of a step, or null if none may run
/// it now.
///
/// \param counts tasks of the step that each worker has.
/// \param besides a worker that must not be chosen; null for none.
WorkerState *chooseWorker(const ShardState &shard, const JobEntry &job,
                          const model::StepSpec &step, const StepCounts &counts,
                          const WorkerState *excluded, TimePoint now);

/// Why the workers of a shard do not take a task; each counts once.
struct PlacementRejections {
  std::int32_t Workers = 0;
  /// Not listed, not synchronized, draining or avoided for now.
  std::int32_t Unusable = 0;
  std::int32_t ZoneOutOfService = 0;
  std::int32_t MissingLabel = 0;
  std::int32_t NoCpu = 0;
  std::int32_t NoMemory = 0;
  /// The step has its largest number of tasks there, or the targets of others
  /// would suffer.
  std::int32_t Other = 0;
};

PlacementRejections countRejections(const ShardState &shard,
                                    const JobEntry &job,
                                    const model::StepSpec &step, TimePoint now);

/// Returns how scarce suitable workers are for each waiting filling program,
/// and sets each worker's sum of them.
///
/// \param waiting processor need of the waiting tasks of each program.
std::map<std::string, double>
computeDemandRatios(ShardState &shard,
                    const std::map<std::string, double> &waitingCpu);

/// Keeps the room of a worker for a lasting task that fits nowhere now, until
/// the short tasks there have ended. Holds until the next plan.
void reserveForLongRunning(ShardState &shard, const JobEntry &job,
                           const model::StepSpec &step,
                           const StepCounts &counts, TimePoint now);

/// Returns a worker for each task of a gang, or nothing if not all find room.
std::vector<WorkerState *> chooseGang(const ShardState &shard,
                                      const JobEntry &job,
                                      const model::StepSpec &step,
                                      TimePoint now);

} // namespace endivedoor::dispatch::detail

#endif
