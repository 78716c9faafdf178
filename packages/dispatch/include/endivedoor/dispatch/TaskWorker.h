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
  std::int64_t Number = 0;
  friend auto operator<=>(const RunId &, const RunId &) = default;
};

/// A run that a worker has.
struct RunStatus {
  RunId Id;
  std::string Checkpoint;
  /// Share of its speed that the task is allowed; for a lasting task, 100 means
  /// that it is at work.
  std::int32_t SpeedPercent = 0;
  /// Response time in ms of a task with a target, cpu in use of any other.
  std::int64_t Gauge = 0;
  bool HasGauge = false;
};

enum class RunOutcome {
  Done,
  /// Through its own fault or the worker's.
  Failed,
  Stopped,
  /// The worker's lease lapsed.
  LeaseExpired,
  /// Another member of its gang ended.
  GangBroken,
  /// Its gang did not become complete in time.
  GangIncomplete
};

struct EndedRun {
  /// Position in the worker's list of ends, from 1 in each of its lives.
  std::int64_t SequenceNumber = 0;
  RunId Id;
  RunOutcome Outcome = RunOutcome::Failed;
  std::string Checkpoint;
};

/// What a worker holds.
struct PollReport {
  /// Set if the worker refused: another owner has used a higher token.
  bool Fenced = false;
  /// Set if another life of the worker answered.
  bool WrongIncarnation = false;
  WorkerTime Clock{0};
  std::chrono::milliseconds StartTime{0};
  std::vector<RunStatus> Running;
  std::vector<EndedRun> Ended;
  /// The list of ends is at its limit; more follow.
  bool MoreEnded = false;
};

struct PollRequest {
  base::FencingToken Token{0};
  /// Ends up to this number may be forgotten.
  std::int64_t AcknowledgedEnd = 0;
  /// Everything on the worker may run until then; 0 asks for no change.
  WorkerTime Deadline{0};
  /// The worker answers early when a run ends.
  std::chrono::milliseconds Wait{0};
};

struct StartRequest {
  RunId Run;
  std::string Payload;
  WorkerTime Deadline{0};
  base::FencingToken Token{0};
  std::string Checkpoint;
  std::string Ticket;
};

enum class CommandResult {
  Done,
  /// Another owner has used a higher token.
  Fenced,
  /// A run of the task that is as high has been there.
  StaleRun,
  /// The deadline of the order had passed.
  DeadlinePassed,
  NoCapacity,
  NoTicket,
  /// The worker is unhealthy and has done nothing.
  Unhealthy,
  /// Another life of the worker answered.
  WrongIncarnation,
  /// The worker cannot read the order.
  Malformed
};

/// Errors of every method: WorkerUnreachable (nothing was sent),
/// WorkerAnswerLost (the order may be carried out, also seconds later).
class TaskWorker {
public:
  virtual ~TaskWorker() = default;
  virtual Async<PollReport> poll(WorkerRef worker, PollRequest request,
                                 std::chrono::milliseconds timeout) = 0;
  virtual Async<CommandResult> start(WorkerRef worker, StartRequest request,
                                   std::chrono::milliseconds timeout) = 0;
  virtual Async<CommandResult> stop(WorkerRef worker, RunId run,
                                  base::FencingToken token,
                                  std::chrono::milliseconds timeout) = 0;
  /// Limits a run to \p percent of its speed.
  virtual Async<CommandResult> throttle(WorkerRef worker, RunId run,
                                      std::int32_t percent,
                                      base::FencingToken token,
                                      std::chrono::milliseconds timeout) = 0;
};

} // namespace endivedoor::dispatch

#endif
