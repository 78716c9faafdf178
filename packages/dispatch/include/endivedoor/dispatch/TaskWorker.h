/// \file
/// Interface for calls to the workers that run tasks.
#ifndef ENDIVEDOOR_DISPATCH_TASKWORKER_H
#define ENDIVEDOOR_DISPATCH_TASKWORKER_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/model/JobGraph.h"
#include "endivedoor/platform/Async.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endivedoor::dispatch {

using platform::Async;

/// Time on a worker's own clock, which restarts with the worker.
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

/// A run that a worker lists as running.
struct RunStatus {
  RunId Id;
  std::string Checkpoint;
  /// Speed limit of the task in percent; 100 for a long-running task means that
  /// it is serving.
  std::int32_t SpeedPercent = 0;
  /// Response time in ms for a task with a target; CPU in use, in thousandths
  /// of a core, for any other.
  std::int64_t Gauge = 0;
  bool HasGauge = false;
};

enum class RunOutcome {
  Done,
  /// The task or the worker failed.
  Failed,
  Stopped,
  /// The worker's lease expired.
  LeaseExpired,
  /// Another member of its gang ended.
  GangBroken,
  /// Not all members of its gang started in time.
  GangIncomplete
};

struct EndedRun {
  /// Position in the worker's list of ended runs, from 1 after each restart of
  /// the worker.
  std::int64_t SequenceNumber = 0;
  RunId Id;
  RunOutcome Outcome = RunOutcome::Failed;
  std::string Checkpoint;
};

/// A worker's answer to a poll: its running and ended runs.
struct PollReport {
  /// The worker refused the call because another owner has used a higher token.
  bool Fenced = false;
  /// A different instance than the addressed worker answered.
  bool WrongIncarnation = false;
  WorkerTime Clock{0};
  std::chrono::milliseconds StartTime{0};
  std::vector<RunStatus> Running;
  std::vector<EndedRun> Ended;
  /// The list of ended runs is truncated; more follow.
  bool MoreEnded = false;
  /// First row that could not be decoded and was skipped; empty if none.
  std::string InvalidRow;
  /// A skipped row may be one of the runs that the list of running ones lacks.
  bool RunningIncomplete = false;
  /// Sequence numbers of skipped rows that may be ends of this project's runs,
  /// ascending.
  std::vector<std::int64_t> UnreadableEnds;
  /// Acknowledgement that the poll has carried; 0 for none.
  std::int64_t AcknowledgedEnd = 0;
};

struct PollRequest {
  base::FencingToken Token{0};
  /// The worker may discard ended runs up to this sequence number. Sent only
  /// where it cannot reach a later incarnation, which numbers its runs anew.
  std::int64_t AcknowledgedEnd = 0;
  /// Highest end that this owner has acknowledged to the incarnation; the next
  /// row of its list follows on that.
  std::int64_t ForgottenEnd = 0;
  /// When the latest poll was sent that the incarnation of AcknowledgedEnd has
  /// answered.
  base::TimePoint IncarnationSeenAt{};
  /// New lease deadline for all runs on the worker; 0 leaves it unchanged.
  WorkerTime Deadline{0};
  /// How long the worker may delay its answer (long poll); it answers early
  /// when a run ends.
  std::chrono::milliseconds Wait{0};
};

struct StartRequest {
  RunId Run;
  std::string Payload;
  WorkerTime Deadline{0};
  base::FencingToken Token{0};
  std::string Checkpoint;
  std::string Ticket;
  /// Nothing is sent from then on: the permission of the owner ends.
  base::TimePoint SendBefore = base::TimePoint::max();
};

enum class CommandResult {
  Done,
  /// Another owner has used a higher token.
  Fenced,
  /// The worker has seen a run of the task with the same or a higher number.
  StaleRun,
  /// The deadline of the command had passed.
  DeadlinePassed,
  NoCapacity,
  NoTicket,
  /// The worker is unhealthy and did not carry out the command.
  Unhealthy,
  /// A different instance than the addressed worker answered.
  WrongIncarnation,
  /// The worker could not parse the command.
  Malformed
};

/// Errors of every method: WorkerUnreachable (nothing was sent),
/// WorkerAnswerLost (the command may still be carried out, even seconds later).
class TaskWorker {
public:
  virtual ~TaskWorker() = default;
  /// Acknowledges ends only over a connection that was opened before
  /// PollRequest::IncarnationSeenAt. Otherwise the poll acknowledges none.
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
