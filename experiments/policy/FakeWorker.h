/// \file
/// The true behaviour of a worker and its tasks in the experiment.
#ifndef ENDIVEDOOR_EXPERIMENTS_POLICY_FAKEWORKER_H
#define ENDIVEDOOR_EXPERIMENTS_POLICY_FAKEWORKER_H

#include "Load.h"

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Job.h"

#include <memory>

namespace endivedoor::experiment {

/// A task through all of its attempts.
struct FakeTask {
  base::TaskId Id;
  std::shared_ptr<const model::JobSpec> Job;
  std::size_t Class = 0;
  std::uint64_t JobNumber = 0;
  double AdmittedAt = 0;
  /// In s of the run.
  double Deadline = 0;
  /// Seconds of work at full speed, done, and done at the last checkpoint.
  double RequiredWork = 0;
  double CompletedWork = 0;
  double CheckpointedWork = 0;
  double SinceCheckpoint = 0;
  double MemoryMb = 0;
  std::int32_t Throttle = 0;
  std::int32_t Failures = 0;
  std::int32_t Zone = 0;
  std::int32_t Worker = -1;
  /// Remaining seconds until a start on a broken worker fails; negative if it
  /// does not.
  double FailsIn = -1;
  double StartedAt = 0;
  bool Evicting = false;
  bool AlwaysFails = false;
};

/// What a worker's tasks suffer at one moment.
struct Pressure {
  /// Demand over capacity of the processors.
  double Cpu = 0;
  double Bandwidth = 0;
  double Cache = 0;
  double MemoryMb = 0;
};

struct FakeWorker {
  base::WorkerId Id;
  std::int32_t Zone = 0;
  bool Faulty = false;
  std::vector<FakeTask *> Tasks;
};

Pressure pressureOn(const FakeWorker &worker, const Load &load);

/// Returns the speed of a batch task, 1 on an idle worker.
double speedOf(const FakeTask &task, const Pressure &at);

/// Returns a service's 95th percentile in ms without measurement noise:
///
///   base * (1 + 7 x^2 / (x^2 + 2.5^2)) / (1 - 0.5 min(cpu, 1)^3)
///
/// where x is the pressure of the neighbours on memory bandwidth and cache,
/// weighed by the service's sensitivities, and cpu the demand over the capacity
/// of the processors. The curve is flat at first, then steep, then saturates;
/// the scheduler's model is linear in the number of neighbours.
double latencyOf(const FakeTask &task, const TaskClassProfile &of,
                 const Pressure &at);

} // namespace endivedoor::experiment

#endif
