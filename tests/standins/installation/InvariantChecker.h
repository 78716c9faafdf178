/// \file
/// What callers and workers have seen, and the promises that it breaks.
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

/// A job as its caller knows it.
struct ObservedJob {
  model::JobGraph Graph;
  std::int32_t MaxAttempts = 1;
  /// Work of one task of each step.
  std::vector<std::chrono::milliseconds> WorkPerTask;
  /// Every run of the last step fails.
  bool LastStepFails = false;
  /// A submission is under way or has had no answer.
  bool MayBeStored = false;
  std::optional<base::TimePoint> AcceptedAt;
  /// A cancellation has been sent.
  bool CancelSent = false;
  std::optional<base::TimePoint> CancelledAt;
  std::string LastState;
};

/// Checks each observation against the promises. Belongs to one thread.
class InvariantChecker {
public:
  explicit InvariantChecker(const base::Clock &clock) : Time(clock) {}

  struct StartEvent {
    std::string Worker;
    dispatch::RunId Id;
    std::string Payload;
    std::string Checkpoint;
    /// The worker carries the label that the step requires.
    bool HasRequiredLabel = true;
    /// Room that is left on the worker after the start.
    base::Resources Remaining;
  };

  ObservedJob &addJob(model::JobNumber id, ObservedJob job);
  ObservedJob *find(model::JobNumber id);
  const std::map<model::JobNumber, ObservedJob> &jobs() const { return Jobs; }

  void onStart(const StartEvent &event);
  void onEnd(const std::string &worker, const dispatch::RunId &id,
             dispatch::RunOutcome outcome);
  /// The worker may forget the end.
  void onAcknowledged(const dispatch::RunId &id, dispatch::RunOutcome outcome);
  /// A worker crashed: what ran there is gone without an end.
  void onCrash(const std::string &worker);
  void onCheckpoint(const model::TaskKey &task, const std::string &value);
  /// A caller was shown a state; "" stands for "no such job".
  void onStateSeen(model::JobNumber id, const std::string &state);

  /// A submission to a configured queue was answered with "no such queue".
  void onUnknownQueue(model::JobNumber id);

  /// Checks what must hold once all faults have ended for long enough.
  void checkAllSettled();
  /// Returns whether accepted jobs have ended and cancelled ones have no runs.
  bool allJobsSettled() const;
  std::size_t runningTasks(model::JobNumber id) const;
  /// Members of a gang whose run of this number is on a worker or done.
  std::int32_t membersPresent(const dispatch::RunId &id) const;

  const std::vector<std::string> &violations() const { return Violations; }
  std::size_t starts() const { return Starts; }

private:
  struct TaskHistory {
    std::set<std::int64_t> DoneRuns;
    bool DoneAcknowledged = false;
    /// Runs that had ended as done when the latest start came; a crash of
    /// their worker may have taken such an end away before it was noted.
    std::set<std::int64_t> SupersededRuns;
    std::set<std::int64_t> FailedRuns;
    std::set<std::int64_t> AcknowledgedFailures;
    std::set<std::string> Checkpoints;
    /// Worker of each run that is on one.
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
