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

std::vector<RunView> runsOn(const WorkerState &w);

/// What adding a filler to a worker is expected to do.
struct FillerForecast {
  /// Headroom above the target that is left to the serving task that has the
  /// least, while the filler runs; negative if a target would be missed.
  double Spare = 0;
  /// Mean fraction of its full speed at which the filler could run without a
  /// target being missed.
  double Speed = 1;
};

/// \param share CPU that the filler uses, as a fraction of the worker's
/// capacity.
FillerForecast forecastFiller(ShardState &shard, WorkerState &w,
                              const std::string &image, double share,
                              TimePoint now);

/// Returns whether a filler of usual size, alone on the worker, lets every
/// serving task meet its target also at the peak of the load.
bool suitsFiller(ShardState &shard, WorkerState &w, const std::string &image,
                 TimePoint now);

/// Returns the CPU in thousandths of a core that the workers that suit each
/// known filler program have left for fillers.
std::map<std::string, std::int64_t> suitableFillerCpu(ShardState &shard,
                                                      TimePoint now);

} // namespace endivedoor::dispatch::detail

#endif
