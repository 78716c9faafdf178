/// \file
/// Which tasks share a worker, and what that does to those with a target.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_INTERFERENCE_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_INTERFERENCE_H

#include "detail/ShardState.h"

namespace endivedoor::dispatch::detail {

/// A run with its step. Valid until the tables change.
struct RunView {
  RunId Id;
  const model::StepSpec *Step = nullptr;
  Run *Entry = nullptr;
};

std::vector<RunView> runsOn(ShardState &shard, const WorkerState &w);

/// Returns the response time that is expected of the worst task with a target
/// on the worker if \p filler joined, as a share of its target.
double predictedTargetShare(const ShardState &shard, WorkerState &w,
                            const model::StepSpec &filler);

} // namespace endivedoor::dispatch::detail

#endif
