/// \file
/// Checks what callers and workers observe against the guarantees of the
/// scheduler.
#ifndef ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_INVARIANTCHECKER_H
#define ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_INVARIANTCHECKER_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/dispatch/TaskWorker.h"
#include "endivedoor/model/JobGraph.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivedoor::standin {

/// A job as observed by its caller.
struct ObservedJob {
  model::JobGraph Graph;
  std::int32_t MaxAttempts = 1;
  /// Run time of one task of each step.
  std::vector<std::chrono::milliseconds> WorkPerTask;
  /// Every run of the last step fails.
  bool LastStepFails = false;
  /// A submission is in progress or got no response.
  bool MayBeStored = false;
  std::optional<base::TimePoint> AcceptedAt;
  /// A cancellation has been sent.
  bool CancelSent = false;
  std::optional<base::TimePoint> CancelledAt;
  std::string LastState;
};

/// Checks each observation against the guarantees. Not thread-safe.
class InvariantChecker {
public:
  explicit InvariantChecker(const base::Clock &clock) : Time(clock) {}

  struct StartEvent {
    std::string Worker;
    dispatch::RunId Id;
    std::string Payload;
    std::string Checkpoint;
    /// The worker has the label that the step requires.
    bool HasRequiredLabel = true;
    /// Resources that remain free on the worker after the start.
    base::Resources Remaining;
  };

  ObservedJob &addJob(model::JobNumber id, ObservedJob job);
  ObservedJob *find(model::JobNumber id);
  const std::map<model::JobNumber, ObservedJob> &jobs() const { return Jobs; }

  void onStart(const StartEvent &event);
  void onEnd(const std::string &worker, const dispatch::RunId &id,
             dispatch::RunOutcome outcome);
  /// The end of a run was acknowledged; the worker may discard it.
  void onAcknowledged(const dispatch::RunId &id, dispatch::RunOutcome outcome);
  /// A worker crashed; its runs are lost without a reported end.
  void onCrash(const std::string &worker);
  void onCheckpoint(const model::TaskKey &task, const std::string &value);
  /// A caller received a job state; "" means that the job is unknown.
  void onStateSeen(model::JobNumber id, const std::string &state);

  /// A submission to a configured queue was rejected because the queue is
  /// unknown.
  void onUnknownQueue(model::JobNumber id);

  /// Checks that all jobs have settled, once faults have ended for long enough.
  void checkAllSettled();
  /// Returns whether all jobs have settled: cancelled jobs have no runs,
  /// long-running jobs run all their tasks, and other accepted jobs have ended.
  bool allJobsSettled() const;
  std::size_t runningTasks(model::JobNumber id) const;
  /// Number of gang members whose run with this number is running or done.
  std::int32_t membersPresent(const dispatch::RunId &id) const;

  const std::vector<std::string> &violations() const { return Violations; }
  std::size_t starts() const { return Starts; }

private:
  struct TaskHistory {
    std::set<std::int64_t> DoneRuns;
    bool DoneAcknowledged = false;
    /// Runs that were done when the latest start arrived; a crash of their
    /// worker may have lost such an end before it was acknowledged.
    std::set<std::int64_t> SupersededRuns;
    std::set<std::int64_t> FailedRuns;
    std::set<std::int64_t> AcknowledgedFailures;
    std::set<std::string> Checkpoints;
    /// Worker of each active run, by run number.
    std::map<std::int64_t, std::string> Running;
  };

  void addViolation(const std::string &invariant, const std::string &detail);
  const model::StepSpec *stepOf(const model::TaskKey &key) const;
  bool isDone(const model::TaskKey &key) const;
  bool hasExhaustedAttempts(model::JobNumber id, const ObservedJob &job) const;
  bool isComplete(model::JobNumber id, const ObservedJob &job) const;

  const base::Clock &Time;
  std::map<model::JobNumber, ObservedJob> Jobs;
  std::map<model::TaskKey, TaskHistory> Tasks;
  std::vector<std::string> Violations;
  std::size_t Starts = 0;
};

} // namespace endivedoor::standin

#endif
