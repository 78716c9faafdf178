/// \file
/// Client interface of the workers: placement leases, tasks and status.
#ifndef ENDIVEDOOR_PLATFORM_WORKERCLIENT_H
#define ENDIVEDOOR_PLATFORM_WORKERCLIENT_H

#include "endivedoor/model/Job.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endivedoor::platform {

/// A granted placement lease.
struct PlacementLease {
  base::FencingToken Token{0};
  /// Number of renewals so far.
  std::uint64_t Sequence = 0;
  /// Identifies one run of the worker process; it changes with each restart.
  std::string BootId;
  base::Resources Capacity;
};

enum class AttemptState { Running, Finished, Failed, Evicted, Stopped };

/// State of one attempt as reported by its worker.
struct AttemptReport {
  base::TaskId Task;
  base::Attempt Attempt{0};
  AttemptState State = AttemptState::Running;
  std::string Checkpoint;
  std::int32_t ThrottlePercent = 0;
};

/// Resource usage of one attempt, measured Age before the report.
struct UsageReport {
  base::TaskId Task;
  base::Attempt Attempt{0};
  base::MilliCores Cpu{0};
  base::MebiBytes Memory{0};
  /// 95th percentile of the latency of a service; 0 for batch tasks.
  std::chrono::milliseconds LatencyP95{0};
  std::chrono::milliseconds Age{0};
};

struct AttemptRef {
  base::TaskId Task;
  base::Attempt Attempt{0};
};

struct RenewRequest {
  std::string Holder;
  base::FencingToken Token{0};
  std::chrono::milliseconds Ttl{0};
  /// Time for which running tasks continue without another renewal.
  std::chrono::milliseconds TaskTtl{0};
  /// Ended attempts that the holder has recorded; the worker may discard them.
  std::vector<AttemptRef> Acknowledged;
};

struct RenewReply {
  std::uint64_t Sequence = 0;
  std::string BootId;
  bool Leaving = false;
  std::vector<AttemptReport> Attempts;
  std::vector<UsageReport> Usage;
};

struct StartRequest {
  base::TaskId Task;
  base::Attempt Attempt{0};
  base::FencingToken Token{0};
  std::uint64_t Sequence = 0;
  base::JobId Job;
  base::TaskClass Class;
  model::TaskKind Kind = model::TaskKind::Batch;
  base::ServiceName Service;
  base::Resources Resources;
  /// Checkpoint to resume from; if empty, the task starts from the beginning.
  std::string ResumeCheckpoint;
  std::string Payload;
};

struct ServiceInstance {
  base::ServiceName Service;
  base::TaskId Task;
  base::Attempt Attempt{0};
};

struct WorkerStatus {
  std::string BootId;
  bool Leaving = false;
  base::ZoneId Zone;
  base::RackId Rack;
  base::Resources Capacity;
  std::vector<ServiceInstance> Services;
  std::int32_t TaskCount = 0;
};

/// Client of the workers' interface; one object is used for all workers.
///
/// Errors of every method: WorkerUnreachable (nothing was sent),
/// WorkerAnswerLost (the call may have taken effect), PlatformAnswerInvalid,
/// and for calls that need a lease: LeaseHeld, LeaseStale (another token is
/// current or the lease has expired), StartRefused (detail: the worker's
/// reason).
class WorkerClient {
public:
  virtual ~WorkerClient() = default;
  virtual Async<PlacementLease> claim(model::Address worker, std::string holder,
                                      base::Epoch epoch,
                                      std::chrono::milliseconds ttl) = 0;
  virtual Async<RenewReply> renew(model::Address worker,
                                  RenewRequest request) = 0;
  virtual Async<void> start(model::Address worker, StartRequest request) = 0;
  /// Checkpoints and stops an attempt in one call. \returns the checkpoint.
  virtual Async<std::string> evict(model::Address worker, AttemptRef attempt,
                                   base::FencingToken token) = 0;
  virtual Async<void> throttle(model::Address worker, AttemptRef attempt,
                               base::FencingToken token,
                               std::int32_t percent) = 0;
  virtual Async<void> stop(model::Address worker, AttemptRef attempt,
                           base::FencingToken token) = 0;
  virtual Async<WorkerStatus> status(model::Address worker) = 0;
};

} // namespace endivedoor::platform

#endif
