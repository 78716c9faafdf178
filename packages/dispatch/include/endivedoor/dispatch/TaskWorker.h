/// \file
/// Calls to the workers that run tasks.
#ifndef ENDIVEDOOR_DISPATCH_TASKWORKER_H
#define ENDIVEDOOR_DISPATCH_TASKWORKER_H

#include "endivedoor/model/JobGraph.h"
#include "endivedoor/platform/Async.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endivedoor::dispatch {

using platform::Async;

/// Time on a worker's own clock, which starts anew with each of its lives.
using WorkerTime = std::chrono::milliseconds;

struct WorkerRef {
  base::WorkerId Id;
  model::Address Endpoint;
};

struct RunId {
  model::TaskKey Task;
  std::int64_t Run = 0;
  friend auto operator<=>(const RunId &, const RunId &) = default;
};

/// A run that a worker has.
struct RunningTask {
  RunId Id;
  std::string Checkpoint;
  /// Share of its speed that the task is allowed; for a lasting task, 100 means
  /// that it is at work.
  std::int32_t Percent = 0;
  /// Response time in ms of a task with a target, cpu in use of any other.
  std::int64_t Gauge = 0;
  bool HasGauge = false;
};

enum class RunEnd {
  Done,
  /// Through its own fault or the worker's.
  Failed,
  Stopped,
  /// The worker's lease lapsed.
  Lapsed,
  /// Another member of its gang ended.
  Broken,
  /// Its gang did not become complete in time.
  Alone
};

struct EndedTask {
  /// Position in the worker's list of ends, from 1 in each of its lives.
  std::int64_t Number = 0;
  RunId Id;
  RunEnd How = RunEnd::Failed;
  std::string Checkpoint;
};

/// What a worker holds.
struct HoldReport {
  /// Set if the worker refused: another owner has used a higher token.
  bool Fenced = false;
  /// Set if another life of the worker answered.
  bool WrongLife = false;
  WorkerTime Clock{0};
  std::chrono::milliseconds Born{0};
  std::vector<RunningTask> Running;
  std::vector<EndedTask> Ended;
  /// The list of ends is at its limit; more follow.
  bool MoreEnded = false;
};

struct HoldRequest {
  base::FencingToken Token{0};
  /// Ends up to this number may be forgotten.
  std::int64_t LastSeen = 0;
  /// Everything on the worker may run until then; 0 asks for no change.
  WorkerTime Deadline{0};
  /// The worker answers early when a run ends.
  std::chrono::milliseconds Wait{0};
};

struct StartRequest {
  RunId Id;
  std::string Payload;
  WorkerTime Deadline{0};
  base::FencingToken Token{0};
  std::string Checkpoint;
  std::string Ticket;
};

enum class OrderAnswer {
  Done,
  /// Another owner has used a higher token.
  Fenced,
  /// A run of the task that is as high has been there.
  OldRun,
  /// The deadline of the order had passed.
  Late,
  NoRoom,
  NoTicket,
  /// The worker is unhealthy and has done nothing.
  Unhealthy,
  /// Another life of the worker answered.
  WrongLife,
  /// The worker cannot read the order.
  Malformed
};

/// Errors of every method: WorkerUnreachable (nothing was sent),
/// WorkerAnswerLost (the order may be carried out, also seconds later).
class TaskWorker {
public:
  virtual ~TaskWorker() = default;
  virtual Async<HoldReport> hold(WorkerRef to, HoldRequest request,
                                 std::chrono::milliseconds timeout) = 0;
  virtual Async<OrderAnswer> start(WorkerRef to, StartRequest request,
                                   std::chrono::milliseconds timeout) = 0;
  virtual Async<OrderAnswer> stop(WorkerRef to, RunId run,
                                  base::FencingToken token,
                                  std::chrono::milliseconds timeout) = 0;
  /// Limits a run to \p percent of its speed.
  virtual Async<OrderAnswer> pace(WorkerRef to, RunId run, std::int32_t percent,
                                  base::FencingToken token,
                                  std::chrono::milliseconds timeout) = 0;
};

} // namespace endivedoor::dispatch

#endif
