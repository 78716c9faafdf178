/// \file
/// The tables of a shard: jobs with their tasks, and workers with their runs.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_SHARDSTATE_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_SHARDSTATE_H

#include "endivedoor/dispatch/Shard.h"
#include "endivedoor/policy/ColocationModel.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace endivedoor::dispatch::detail {

using base::TimePoint;
using model::JobNumber;
using model::TaskKey;

struct WorkerState;

enum class RunPhase {
  /// The start has been sent.
  Starting,
  /// The worker has confirmed the run.
  Running,
  /// The answer to the start was lost; the run may appear later.
  Unconfirmed,
  Stopping
};

/// One run of a task on a worker.
struct Run {
  WorkerState *Worker = nullptr;
  std::int64_t Number = 0;
  RunPhase Phase = RunPhase::Starting;
  /// When the phase was entered.
  TimePoint PhaseSince;
  TimePoint Started;
  /// When the worker confirmed the latest stop; lists that were asked for later
  /// show whether the run exists.
  std::optional<TimePoint> StopConfirmed;
  TimePoint StopSent;
  std::int32_t SpeedPercent = 100;
  std::int64_t Gauge = 0;
  bool HasGauge = false;
  /// Percent of speed that was ordered last.
  std::int32_t OrderedPercent = 100;
  /// When the worker last reported that the run used its processor.
  TimePoint LastBusy;
};

struct TaskEntry {
  std::vector<Run> Runs;
  std::vector<std::int64_t> FailedRuns;
  std::int64_t LastRun = 0;
  std::string Checkpoint;
  bool Done = false;
};

struct StepEntry {
  std::vector<TaskEntry> Tasks;
  std::int32_t DoneCount = 0;
  /// Tasks without a run that are not done.
  std::int32_t WaitingCount = 0;
  /// Since when the next task has found no worker, and when that was logged.
  std::optional<TimePoint> WaitingSince;
  TimePoint WaitLoggedAt;
};

struct Occurrence {
  std::int32_t Number = 0;
  std::vector<StepEntry> Steps;
  bool Complete = false;
  TimePoint Created;
};

struct JobEntry {
  model::AcceptedJob Job;
  model::JobState State = model::JobState::Queued;
  TimePoint Accepted;
  /// An earlier owner may have started tasks.
  bool Inherited = false;
  bool Started = false;
  std::int64_t IndexRevision = 0;
  std::int64_t ProgressRevision = 0;
  std::uint64_t Version = 0;
  std::uint64_t StoredVersion = 0;
  bool WriteInFlight = false;
  /// It is being handed to another shard, and not started meanwhile.
  bool Moving = false;
  TimePoint LastMoveAttempt;
  /// Highest run number of an earlier shard.
  std::int64_t EarlierLastRun = 0;
  /// The records of a cancelled job are to be removed.
  bool RemovalDue = false;
  std::map<std::int32_t, Occurrence> Occurrences;
  /// Time at which the job is late; the order of service.
  TimePoint Deadline;
  /// Runs on workers, over all tasks.
  std::int32_t RunCount = 0;

  bool isLive() const { return !model::isFinal(State); }
  bool isLongRunning() const {
    return !Job.Graph.Steps.empty() && Job.Graph.Steps.front().Lasting;
  }
};

/// An end that the worker may forget once its job's record is stored.
struct UnacknowledgedEnd {
  std::int64_t SequenceNumber = 0;
  JobNumber Job{0};
  std::uint64_t Version = 0;
};

/// Room that a run takes on its worker. The step belongs to the run's job,
/// which is kept for as long as it has runs.
struct RunReservation {
  base::Resources Size;
  const model::StepSpec *Step = nullptr;
};

/// What a serving program on a worker is expected to respond in, with the
/// fillers that are there.
struct ServedProgram {
  std::string Image;
  double ExpectedMs = 0;
  double TargetMs = 0;
};

struct ClockSample {
  WorkerTime Clock{0};
  /// When the answer that carried it had arrived.
  TimePoint ReceivedAt;
};

struct WorkerState {
  model::WorkerProfile Profile;
  /// The worker's entry is there.
  bool Listed = false;
  /// The latest hold was answered.
  bool Reachable = true;
  /// Its lists are known under the present token.
  bool Synced = false;
  /// The stored roster names it, so orders may go there.
  bool InRoster = false;
  /// An earlier owner may have runs there that no list has shown yet.
  std::optional<TimePoint> UnverifiedUntil;
  std::optional<ClockSample> Clock;
  /// Latest deadline that the worker may have received.
  WorkerTime LatestDeadline{0};
  std::int64_t LastProcessedEnd = 0;
  std::int64_t AcknowledgedEnd = 0;
  std::deque<UnacknowledgedEnd> UnacknowledgedEnds;
  std::map<RunId, RunReservation> Runs;
  base::Resources Used;
  /// Declared processor need of the fillers.
  std::int64_t FillerCpu = 0;
  /// Processor need of lasting tasks, which seldom use it all.
  std::int64_t LongRunningCpu = 0;
  /// Memory of lasting tasks.
  std::int64_t LongRunningMemory = 0;
  /// Room that is kept for a lasting task which waits for short ones to end.
  base::Resources ReservedCapacity;
  /// No starts before then.
  TimePoint AvoidUntil;
  /// Recent failures of runs here, halved by each success.
  double FailureScore = 0;
  /// Job of the latest failure here.
  JobNumber LastFailedJob{0};
  /// Share of speed of the fillers here, and when it was changed last.
  std::int32_t FillerSpeedPercent = 100;
  TimePoint ThrottleChanged;
  /// Since when a lasting task here has been over its target.
  std::optional<TimePoint> OverTargetSince;
  /// Programs of the tasks with a target here, one entry for each task.
  std::multimap<std::string, std::chrono::milliseconds> Serving;
  /// Computed when it is needed, until runs come or go.
  std::optional<std::vector<ServedProgram>> ServedCache;
  /// Sum of the pressures of the waiting fillers that suit this worker.
  double DemandRatioSum = 0;
  /// When the gauges of the worker were last used for learning.
  TimePoint LastObserved;
  /// Runs that belong to no live job and must be stopped.
  std::map<RunId, TimePoint> OrphanRuns;

  WorkerRef ref() const { return {Profile.Id, Profile.Endpoint}; }
  bool isUsable() const {
    return Listed && Synced && InRoster && !Profile.Draining;
  }
};

struct ShardState {
  ShardOptions Options;
  std::int32_t Number = 0;
  std::int64_t Term = 0;
  base::FencingToken Token{0};
  base::EventLog &Events;
  Metrics &MetricsRegistry;
  ShardState(ShardOptions options, std::int32_t number, std::int64_t term,
             base::FencingToken token, base::EventLog &events, Metrics &metrics)
      : Options(options), Number(number), Term(term), Token(token),
        Events(events), MetricsRegistry(metrics) {}

  bool Fenced = false;
  std::unordered_map<JobNumber, std::unique_ptr<JobEntry>> Jobs;
  std::vector<JobEntry *> LiveJobs;
  /// Cancelled jobs whose own record has not been read yet.
  std::set<JobNumber> CancelledEarly;
  std::map<base::WorkerId, std::unique_ptr<WorkerState>> Workers;
  std::set<base::ZoneId> ZonesOutOfService;
  std::deque<JobNumber> Dirty;
  /// Jobs that have begun, to be marked so in the index.
  std::deque<JobNumber> StartedUnmarked;
  std::vector<WorkerCommand> Outbox;
  /// Steps that found no worker in the present plan; larger ones of the same
  /// program are not tried.
  std::vector<const model::StepSpec *> UnplaceableSteps;
  policy::ColocationModel Colocation;
  /// Waiting processor need of each filling program against the processor time
  /// of the workers that suit it, at the present plan.
  std::map<std::string, double> DemandRatios;

  // Jobs.cpp
  JobEntry *findJob(JobNumber job);
  TaskEntry *findTask(const TaskKey &key, JobEntry **job = nullptr);
  Occurrence &openOccurrence(JobEntry &job, std::int32_t number, TimePoint now);
  void markDirty(JobEntry &job);
  void finishJob(JobEntry &job, model::JobState state);
  void checkComplete(JobEntry &job, Occurrence &occurrence);
  /// Removes the records of cancelled jobs, and forgets what has ended.
  void removeEndedJobs();
  void removeRun(JobEntry &job, const TaskKey &key, std::int64_t run);
  bool hasUnverifiedWorkers() const;

  // Takeover.cpp and Workers.cpp
  void processEnd(WorkerState &worker, const EndedRun &end, TimePoint now);
  void processRunning(WorkerState &worker, const PollReport &report,
                      TimePoint sent, TimePoint now);
  void adoptRun(WorkerState &worker, const RunStatus &row, TimePoint now);
  /// Everything on the worker has ended without leaving an end.
  void dropRuns(WorkerState &worker, const char *cause);
  /// The worker has started anew. What its earlier life ran is gone; orders
  /// that may have reached the new life are in doubt.
  void handleRestart(WorkerState &worker, const char *cause, TimePoint now);
  void reserve(WorkerState &worker, const RunId &run,
               const model::StepSpec &step);
  void release(WorkerState &worker, const RunId &run);
  void expireLeases(TimePoint now);
  std::optional<WorkerTime> workerClock(const WorkerState &worker,
                                        TimePoint now) const;

  // Plan.cpp
  void openDueOccurrences(base::WallTime wall, TimePoint now);
  void startReadySteps(TimePoint now);
  void updateDemandRatios();
  bool isKnownUnplaceable(const model::StepSpec &step) const;
  void startStep(JobEntry &job, Occurrence &occurrence, std::int32_t step,
                 TimePoint now);
  void logWait(const JobEntry &job, const Occurrence &occurrence,
               std::int32_t step, StepEntry &entry, TimePoint now);
  void startGang(JobEntry &job, Occurrence &occurrence, std::int32_t step,
                 TimePoint now);
  void startTask(JobEntry &job, const TaskKey &key, TaskEntry &task,
                 WorkerState &worker, TimePoint now, std::int64_t run);
  void stopUnneededRuns(TimePoint now);
  void stopRun(const TaskKey &key, Run &run, TimePoint now);
  void moveOffDrainingWorkers(TimePoint now);
  void stopStuckRuns(TimePoint now);

  // Pacing.cpp
  void observeInterference(WorkerState &worker, TimePoint now);
  void throttleFillers(TimePoint now);
  void throttleRun(WorkerState &worker, const RunId &id, Run &run,
                   std::int32_t percent);
  void moveHarmfulFillers(WorkerState &worker, TimePoint now);
};

/// Allowance for the granularity of timers when a lease is taken as lapsed.
constexpr std::chrono::milliseconds LeaseExpiryMargin{100};

/// Returns progress in its stored form: only what differs from a job not begun.
JobProgress progressOf(const JobEntry &job);

/// Returns the step of a task.
const model::StepSpec &stepOf(const JobEntry &job, const TaskKey &key);

/// Text of a task for logs.
std::string taskText(const TaskKey &key);

} // namespace endivedoor::dispatch::detail

#endif
