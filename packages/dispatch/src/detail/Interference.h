/// \file
/// Tasks that share a worker, and their effect on response times.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_INTERFERENCE_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_INTERFERENCE_H

#include "detail/ShardState.h"

namespace endivedoor::dispatch::detail {

/// A run with its step. Valid until the shard's tables change.
struct RunView {
  RunId Id;
  const model::StepSpec *Step = nullptr;
  Run *Entry = nullptr;
};

std::vector<RunView> runsOn(ShardState &shard, const WorkerState &w);

/// Returns the predicted response time on the worker if \p filler is added, as
/// a fraction of the target: the highest value over all tasks with a target.
double predictedTargetShare(const ShardState &shard, WorkerState &w,
                            const model::StepSpec &filler);

} // namespace endivedoor::dispatch::detail

#endif
