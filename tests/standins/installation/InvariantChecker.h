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
  /// This task crashes each worker that starts it, the given time after its
  /// start.
  std::optional<model::TaskKey> CrashingTask;
  std::chrono::milliseconds CrashAfter{0};
  std::string LastState;
  /// Reported as failed because workers crashed under one of its tasks.
  bool GivenUp = false;
};

/// Checks each observation against the guarantees. Not thread-safe.
class InvariantChecker {
public:
  explicit InvariantChecker(const base::Clock &clock)
      : Time(clock), LastFaultEnd(clock.now()) {}

  struct StartEvent {
    std::string Worker;
    dispatch::RunId Id;
    std::string Payload;
    std::string Checkpoint;
    /// The worker has the label that the step requires.
    bool HasRequiredLabel = true;
    /// Resources that remain free on the worker after the start.
    base::Resources Remaining;
    /// The worker carried the command out late, without a response.
    bool Late = false;
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
  ///
  /// \param draining the worker was about to leave, so daemons may take the
  /// crash for its departure.
  void onCrash(const std::string &worker, bool draining);
  /// A worker crashed before the end of this run was acknowledged. Daemons
  /// cannot tell this from a crash during the run.
  void onEndLost(const dispatch::RunId &id);
  /// A worker left as announced; its runs are lost without a reported end.
  void onLeave(const std::string &worker);
  /// A worker that crashed or left runs again.
  void onRestart(const std::string &worker);
  void onCheckpoint(const model::TaskKey &task, const std::string &value);
  /// A caller received a job state; "" means that the job is unknown.
  void onStateSeen(model::JobNumber id, const std::string &state);

  /// A submission to a configured queue was rejected because the queue is
  /// unknown.
  void onUnknownQueue(model::JobNumber id);

  /// Number of crashes of workers under tasks that crash them.
  std::size_t crashesByTasks() const { return CrashesByTasks; }
  /// Number of jobs without a crashing task that were reported as failed after
  /// two crashes under one of their tasks.
  std::size_t innocentJobsGivenUp() const { return InnocentJobsGivenUp; }

  /// A fault that may affect any daemon, the store or any worker begins.
  void onFaultBegin() { ++ActiveFaults; }
  /// That fault has ended.
  void onFaultEnd();
  /// Checks that no task of a cancelled job still runs past its bound. Called
  /// periodically.
  void checkCancelled();
  /// Number of starts and of runs of cancelled jobs that were compared with the
  /// bounds while nothing was disturbed.
  std::size_t cancellationsChecked() const { return CancellationsChecked; }

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
    /// Number of workers that crashed under this task.
    int Crashes = 0;
    /// The same with those that daemons may or may not take for such a crash.
    int PossibleCrashes = 0;
    int StartsAfterCrashes = 0;
    struct ActiveRun {
      std::string Worker;
      base::TimePoint Started;
      bool Late = false;
      /// The run was reported as running past the bound of a cancellation.
      bool Overdue = false;
    };
    /// Active runs by number.
    std::map<std::int64_t, ActiveRun> Running;
  };

  void addViolation(const std::string &invariant, const std::string &detail);
  std::optional<base::TimePoint> calmSince(const std::string &worker) const;
  void dropRuns(const std::string &worker);
  bool hasCrashedTwice(model::JobNumber id) const;
  void checkFailed(model::JobNumber id, ObservedJob &job);
  void checkStartAfterCancel(const StartEvent &event, const ObservedJob &job);
  const model::StepSpec *stepOf(const model::TaskKey &key) const;
  bool isDone(const model::TaskKey &key) const;
  bool hasExhaustedAttempts(model::JobNumber id, const ObservedJob &job) const;
  bool isComplete(model::JobNumber id, const ObservedJob &job) const;

  const base::Clock &Time;
  std::map<model::JobNumber, ObservedJob> Jobs;
  std::map<model::TaskKey, TaskHistory> Tasks;
  std::vector<std::string> Violations;
  std::size_t Starts = 0;
  std::size_t CrashesByTasks = 0;
  std::size_t InnocentJobsGivenUp = 0;
  int ActiveFaults = 0;
  /// Start of the session, then the end of the latest fault that may affect any
  /// process.
  base::TimePoint LastFaultEnd;
  /// Time of the latest restart of each worker; no value while it is down.
  std::map<std::string, std::optional<base::TimePoint>> Restarts;
  std::size_t CancellationsChecked = 0;
  /// Cancelled jobs with a run that has been counted in CancellationsChecked.
  std::set<model::JobNumber> CountedJobs;
};

} // namespace endivedoor::standin

#endif
