/// \file
/// Tables of a shard: jobs with their tasks, and workers with their runs.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_SHARDSTATE_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_SHARDSTATE_H

#include "detail/LeaseTimes.h"
#include "detail/WorkerTrials.h"

#include "endivedoor/dispatch/Shard.h"
#include "endivedoor/policy/ColocationModel.h"
#include "endivedoor/policy/Openings.h"
#include "endivedoor/policy/RunTimes.h"
#include "endivedoor/policy/ServingLoad.h"
#include "endivedoor/policy/ShortDemand.h"
#include "endivedoor/policy/StartedCpu.h"
#include "endivedoor/policy/WaitingOrder.h"

#include <algorithm>
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
  /// The start command has been sent.
  Starting,
  /// The worker has confirmed the run.
  Running,
  /// The answer to the start command was lost; the run may still appear.
  Unconfirmed,
  Stopping
};

/// What a crash of a worker says about one of the runs on it.
struct CrashEvidence {
  /// No other run was started on the worker later.
  bool LatestStart = false;
  /// No other run on the worker belonged to a task with an earlier crash.
  bool OnlySuspect = false;
};

/// Stop commands for one run.
struct StopAttempts {
  TimePoint LastSent;
  /// Number of commands in a row that the worker has not answered.
  int Unanswered = 0;
};

/// One run of a task on a worker.
struct Run {
  WorkerState *Worker = nullptr;
  std::int64_t Number = 0;
  RunPhase Phase = RunPhase::Starting;
  /// Token of the start command.
  base::FencingToken Token{0};
  /// When the current phase was entered.
  TimePoint PhaseSince;
  TimePoint Started;
  /// When the worker confirmed the latest stop command; lists requested after
  /// that show whether the run still exists.
  std::optional<TimePoint> StopConfirmed;
  StopAttempts Stops;
  /// Why the run is stopped; null unless a stop command has been sent.
  const char *StopCause = nullptr;
  std::int32_t SpeedPercent = 100;
  std::int64_t Gauge = 0;
  bool HasGauge = false;
  /// Speed limit in percent that was sent last, and when it was changed.
  std::int32_t OrderedPercent = 100;
  TimePoint ThrottledAt;
  /// When the worker last reported that the run used CPU.
  TimePoint LastBusy;
  /// An earlier owner started the run, so Started is only when it was found.
  bool Adopted = false;
  /// The run continues from a checkpoint, so its time says nothing about whole
  /// runs.
  bool Resumed = false;
  /// The worker has confirmed the run.
  bool Confirmed = false;
  /// A list of the worker's current incarnation has shown the run. The answer
  /// to its start may have come from a later one.
  bool Listed = false;
  /// When the start failed for want of an answer.
  std::optional<TimePoint> AnswerLostAt;
  /// A long-running task that has run for TrialTime; it speaks for its worker.
  bool Passed = false;
  /// Set if the worker crashed while the start was unconfirmed: the run was
  /// lost in the crash unless the new incarnation lists it.
  std::optional<CrashEvidence> PossibleCrash;
};

/// A start without an answer whose run counts as ended. Its worker refuses it
/// now, but would not after a restart.
struct LateStart {
  std::int64_t Run = 0;
  base::WorkerId Worker;
  /// The call is no longer carried out from then on.
  TimePoint Until;
  /// The task does not wait for it, as of the current plan.
  bool Ignored = false;
};

/// How an earlier run of a task is known to have ended; for the log.
struct RunEnding {
  std::int64_t Number = 0;
  const char *Evidence = "";
};

struct TaskEntry {
  std::vector<Run> Runs;
  /// The latest ones, oldest first.
  std::vector<RunEnding> Endings;
  std::vector<std::int64_t> FailedRuns;
  CrashRecord Crashes;
  /// Version of the job's record that announces the next run.
  std::uint64_t AnnouncedVersion = 0;
  /// Run that an earlier owner announced and of which no trace has been found;
  /// 0 for none.
  std::int64_t UnresolvedRun = 0;
  std::int64_t LastRun = 0;
  std::string Checkpoint;
  bool Done = false;
  /// An earlier run counts as ended because a lease expired, not because its
  /// worker said so.
  bool LostWithLease = false;
  /// A copy of a run was started; there is no other one.
  bool Copied = false;
  /// Another shard runs the task, or an offer to do so is in flight. The task
  /// must not be started here.
  bool Remote = false;
  /// Since when the task, of a long-running step, has had no run in any shard.
  std::optional<TimePoint> WaitingSince;
  /// Shard to which this one has delegated the task.
  std::optional<std::int32_t> DelegatedTo;

  /// Returns whether this shard has to run the task.
  bool isPending() const { return !Done && !Remote; }
  bool isWaiting() const { return isPending() && Runs.empty(); }
  void addEnding(std::int64_t run, const char *evidence);
  /// Returns whether the task may be what crashed a worker.
  bool isSuspect() const { return !Crashes.Runs.empty(); }
};

/// Expected times of the longest chains of steps: of the whole job, and from a
/// step to the end of the job.
struct ExpectedPaths {
  TimePoint AsOf;
  base::Duration OfJob{0};
  base::Duration Remaining{0};
};

struct StepEntry {
  std::vector<TaskEntry> Tasks;
  std::int32_t DoneCount = 0;
  /// Number of pending tasks without a run.
  std::int32_t WaitingCount = 0;
  /// Number of runs of all tasks.
  std::int32_t RunCount = 0;
  /// Since when no worker has been found for the next task, and when that was
  /// last logged.
  std::optional<TimePoint> WaitingSince;
  TimePoint WaitLoggedAt;
  /// Since when only the account's limit has kept the next task from starting.
  std::optional<TimePoint> LimitedSince;
  /// Since when a pending task has had no run although the step is ready.
  std::optional<TimePoint> UnservedSince;
  /// Computed on demand by waitingWork().
  mutable ExpectedPaths Paths;
};

/// A quantile of the learned run times, as of a revision of these.
struct LearnedTime {
  double Quantile = -1;
  std::uint64_t Revision = 0;
  base::Duration Time{0};
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
  /// A worker has begun a task of it, or tasks have been delegated.
  bool Started = false;
  std::int64_t IndexRevision = 0;
  std::int64_t ProgressRevision = 0;
  std::uint64_t Version = 0;
  std::uint64_t StoredVersion = 0;
  bool WriteInFlight = false;
  /// The job is being moved to another shard and must not be started.
  bool Moving = false;
  /// The job has come from another shard.
  bool MovedHere = false;
  TimePoint LastMoveAttempt;
  /// Highest run number that an earlier shard has used.
  std::int64_t EarlierLastRun = 0;
  /// The job's record names only a part of its tasks; its index entry belongs
  /// to another shard.
  bool IsPart = false;
  /// For a part, the shard that the index entry belongs to, if known.
  std::optional<std::int32_t> HomeShard;
  /// Tasks that this shard has had of the job of which it runs a part.
  std::set<TaskPosition> PartTasks;
  /// Tasks that other shards have had before and passed on.
  std::map<std::int32_t, std::set<TaskPosition>> HadBefore;
  /// The latest attempt to move the whole job has failed.
  bool MoveDeclined = false;
  /// Waiting tasks are offered to other shards; they may come back.
  bool OfferInFlight = false;
  /// When the latest offer was turned down.
  TimePoint OfferDeclinedAt;
  /// Shards that run a part of the job, with whether the cancellation of the
  /// job has been stored for them.
  std::map<std::int32_t, bool> DelegatedShards;
  /// Shards for which the caller's node has stored the cancellation.
  std::set<std::int32_t> CancelledShards;
  /// The records of this cancelled job must be removed.
  bool RemovalDue = false;
  std::map<std::int32_t, Occurrence> Occurrences;
  /// Number of runs of all tasks of the job.
  std::int32_t RunCount = 0;
  /// Headroom of the job's serving tasks.
  policy::ServingLoad Load;
  /// One for each step; computed on demand by expectedTime().
  mutable std::vector<LearnedTime> TimesCache;

  bool isLive() const { return !model::isFinal(State); }
  bool hadBefore(std::int32_t shard, const TaskPosition &task) const {
    auto it = HadBefore.find(shard);
    return it != HadBefore.end() && it->second.contains(task);
  }
  bool isLongRunning() const {
    return !Job.Graph.Steps.empty() && Job.Graph.Steps.front().LongRunning;
  }
};

/// An ended run that the worker may discard once the record of its job is
/// stored.
struct UnacknowledgedEnd {
  std::int64_t SequenceNumber = 0;
  TaskKey Task;
  std::uint64_t Version = 0;
  /// When that version was stored; empty if it was before the end was read.
  std::optional<TimePoint> StoredAt;
};

/// A client account of the configuration.
struct AccountState {
  explicit AccountState(std::int32_t shard) : Share(shard) {}

  policy::AccountShare Share;
  bool Limited = false;
  double Weight = 1;
  policy::ShareDemand Demand;
  policy::StartedCpu Started;
};

/// Capacity that a run occupies on its worker. Step points into the run's job,
/// which is kept as long as it has runs.
struct RunReservation {
  base::Resources Size;
  JobEntry *Job = nullptr;
  const model::StepSpec *Step = nullptr;
  TimePoint Started;
  /// An earlier owner started the run.
  bool Adopted = false;
  /// When the worker confirmed a stop command: the run ends soon.
  std::optional<TimePoint> StopConfirmed = {};
  /// Account whose use includes the run; null if there is none.
  AccountState *Account = nullptr;
};

/// Headroom that the tasks of a serving program on a worker are expected to
/// have, of the task that has the least.
struct ServedProgram {
  std::string Image;
  /// Beside the current fillers of the worker at full speed: now, and after the
  /// run time of a filler.
  double Now = 0;
  double Later = 0;
  /// Without fillers at the peak of the load.
  double AtPeak = 0;
};

struct ClockSample {
  WorkerTime Clock{0};
  /// When the answer with this clock value was received.
  TimePoint ReceivedAt;
};

/// Room that another shard holds for a task of this one.
struct GrantedRoom {
  RoomGrant Room;
  /// The room is free again from then on.
  TimePoint Until;
  /// A task is being delegated to the room.
  bool InUse = false;
  /// A task has been delegated to the room, or the room is returned.
  bool Ended = false;
  /// Tasks that could not be delegated to the room.
  std::set<TaskKey> Failed = {};

  bool isUsable(TimePoint now) const { return !InUse && !Ended && now < Until; }
  bool isDeletable(TimePoint now) const {
    return Ended || (!InUse && now >= Until);
  }
};

/// A request of another shard.
struct PeerRequest {
  RoomRequest Request;
  /// Since when its tasks have waited, by this node's clock.
  TimePoint Since;
};

/// The requests in another shard's load record.
struct PeerRequests {
  std::vector<PeerRequest> List;
  /// When they last differed from those that were read before.
  TimePoint ChangedAt;
};

/// Capacity of a worker that is held for a task of a step until the runs that
/// it waits for have ended.
struct Reservation {
  JobNumber Job{0};
  std::int32_t Occurrence = 0;
  std::int32_t Step = 0;
  base::WorkerId Worker;
  base::Resources Size;
  TimePoint Due;
  /// The reservation ends if it has not been used by then.
  TimePoint EndsAt;
  bool LongRunning = false;
  /// For a task of another shard: its index in the step, and by when it must
  /// have been delegated here.
  struct Grant {
    std::int32_t Index = 0;
    TimePoint Until;
    /// Label that the task requires; empty for none.
    std::string Requirement = {};
    /// Shards that may send a task; the one that comes first gets the room.
    std::set<std::int32_t> Shards = {};
    /// Since when the room has been idle.
    std::optional<TimePoint> OpenSince = {};
  };
  std::optional<Grant> Granted = {};

  /// Returns whether the task is still to be delegated here.
  bool isAwaited(TimePoint now) const {
    return Granted && now < Granted->Until;
  }
  /// Returns whether any task of the step that waits here may use it.
  bool isFor(JobNumber job, std::int32_t occurrence, std::int32_t step) const {
    return !Granted && Job == job && Occurrence == occurrence && Step == step;
  }
};

/// A reservation as its worker sees it.
struct WorkerReservation {
  policy::HeldCapacity Capacity;
  JobNumber Job{0};
  std::int32_t Occurrence = 0;
  std::int32_t Step = 0;
  /// For a task that is still to be delegated here, not for the others of its
  /// step.
  bool Awaited = false;
  bool LongRunning = false;
  /// A part of what a gang needs.
  bool Gang = false;
};

/// Number of tasks of one step on each worker.
using StepCounts = std::map<const WorkerState *, std::int32_t>;

/// How long a stop may take until its end is listed.
constexpr std::chrono::milliseconds StopTime{2000};

/// Room that a worker has although a long-running task that fits has waited for
/// LostAfter, in any shard.
struct IdleRoom {
  TimePoint Since;
  /// As of the latest plan.
  TimePoint NotedAt;
  const char *Cause = "";
  std::map<std::string, base::Duration> Times;
};

struct WorkerState {
  model::WorkerProfile Profile;
  /// Start time in the latest entry; 0 if it has none. Profile holds the latest
  /// start time that is known.
  std::chrono::milliseconds EntryStartTime{0};
  /// The worker has a directory entry, or had one that was removed.
  bool Listed = false;
  bool Withdrawn = false;
  /// Invalid row of the latest answer, which has been logged.
  std::string InvalidRow;
  /// Since when polls have not been answered.
  std::optional<TimePoint> SilentSince;
  /// A poll since then was refused: no process listens at the address.
  bool Refused = false;
  /// Its run lists have been received under the current token.
  bool Synced = false;
  /// Latest term whose owner may have used the worker, and the tasks that may
  /// have runs on it; nothing if any may. As in the roster.
  std::int64_t UsedInTerm = 0;
  std::optional<std::vector<TaskKey>> PossibleTasks;
  /// PossibleTasks holds from then on: until then, an owner of an earlier term
  /// may use the worker, if that has restarted and forgotten the higher token.
  TimePoint TasksKnownAt{};
  /// How long the worker may hold leases of that term, as of the last roster of
  /// this term; as in the roster.
  std::optional<std::chrono::milliseconds> LeaseLeft;
  /// The stored roster shows that this term uses the worker, so leases may be
  /// requested.
  bool MayHoldLease = false;
  /// The stored roster does not limit the tasks on the worker either, so starts
  /// may be sent.
  bool InRoster = false;
  /// Until then, the worker may have runs of an earlier owner that it has not
  /// listed yet.
  std::optional<TimePoint> UnverifiedUntil;
  /// The same if it has restarted since the earlier owner's last answer from
  /// it.
  TimePoint UnverifiedUntilIfRestarted{};
  /// After a restart, until then a command that was sent to the earlier
  /// incarnation may act on the new one, unless that answers before.
  std::optional<TimePoint> RestartLeaseUntil;
  /// Number of the worker's fencing token among those of the term.
  std::uint64_t Generation = 0;
  /// The same of the token that fences all calls that were sent before the
  /// worker may have restarted.
  std::uint64_t FenceGeneration = 0;
  /// An incarnation has answered a poll with that token or a later one, so
  /// calls with lower ones are refused there. Until then, no call that could
  /// harm a later incarnation is sent: no start, lease request or
  /// acknowledgement.
  bool TokenAnswered = false;
  /// Token of the latest poll, and of the latest one that was answered.
  base::FencingToken PollToken{0};
  base::FencingToken AnsweredToken{0};
  /// The latest poll carries an acknowledgement and has not been answered.
  bool AcknowledgementInFlight = false;
  /// Starts of short tasks that may not have been carried out yet, with until
  /// when they may be. A call in flight has no end.
  std::map<RunId, TimePoint> StartsInDoubt;
  /// Since when ends have not been acknowledged because of them.
  std::optional<TimePoint> EndsHeldSince;
  /// That incarnation, and whether it may hold the longest lease; as in the
  /// roster.
  std::optional<std::chrono::milliseconds> Incarnation;
  bool LongestLease = false;
  /// When the lease that LongestLease tells of has no more time left than any
  /// other.
  std::optional<TimePoint> LongestLeaseUntil;
  /// Tasks of which a start was not answered, with until when it may be carried
  /// out, and those of them in the roster.
  std::map<TaskKey, TimePoint> UnansweredStarts;
  std::vector<TaskKey> ListedLateStarts;
  std::optional<ClockSample> Clock;
  /// Latest lease deadline that the worker may have received.
  WorkerTime LatestDeadline{0};
  /// When the latest poll was sent, and the lease deadline that it requested; 0
  /// for none.
  TimePoint PollSent;
  WorkerTime PollDeadline{0};
  /// Lease deadline of the latest answered poll, which the worker has received.
  WorkerTime ConfirmedDeadline{0};
  /// When the latest poll was sent that the current incarnation has answered.
  TimePoint IncarnationSeenAt;
  /// When the current incarnation became known.
  TimePoint IncarnationKnownAt;
  std::int64_t LastProcessedEnd = 0;
  std::int64_t AcknowledgedEnd = 0;
  /// Highest acknowledgement that a poll of the current incarnation has carried
  /// and that was answered.
  std::int64_t ForgottenEnd = 0;
  /// Ascending.
  std::deque<UnacknowledgedEnd> UnacknowledgedEnds;
  /// Ends that were read before a restart was seen and are not stored yet,
  /// until the worker answers again. The restart may be a wrong start time in
  /// the directory entry; then the worker still lists them.
  std::vector<UnacknowledgedEnd> EndsBeforeRestart;
  /// Ends whose rows could not be read, with when that was first seen. They and
  /// later ends are not acknowledged.
  std::map<std::int64_t, TimePoint> UnreadableEnds;
  std::map<RunId, RunReservation> Runs;
  base::Resources Used;
  /// Declared CPU of the fillers.
  std::int64_t FillerCpu = 0;
  /// Declared CPU of the long-running tasks, which seldom use all of it.
  std::int64_t LongRunningCpu = 0;
  /// Memory of the long-running tasks.
  std::int64_t LongRunningMemory = 0;
  /// Capacity that is held for waiting tasks, as of the current plan.
  std::vector<WorkerReservation> Held;
  /// A reservation here was not kept; there is no other until then.
  TimePoint NoReservationUntil;
  /// No tasks are started here before then, but for trials.
  TimePoint AvoidUntil;
  /// Long-running tasks here while the worker is avoided; reset when it no
  /// longer is.
  WorkerTrials Trials;
  /// Score of recent failures of runs here; each success lowers it by
  /// FailureDecay.
  double FailureScore = 0;
  /// Job of the latest failed run here.
  JobNumber LastFailedJob{0};
  /// The latest plans have avoided the worker.
  bool KnownAvoided = false;
  /// When another shard last returned a room here.
  TimePoint RoomReturnedAt;
  /// Room that the latest plan has left idle.
  std::optional<IdleRoom> Idle;
  /// All fillers here are paused because a target has been missed for long.
  bool FillersPaused = false;
  /// When a filler was last moved away or all were paused.
  TimePoint ThrottleChanged;
  /// Since when a long-running task here has missed its target.
  std::optional<TimePoint> OverTargetSince;
  /// Program and target of each task with a target here; one entry per task.
  std::multimap<std::string, std::chrono::milliseconds> Serving;
  /// Computed on demand; reset when a run is added or removed.
  std::optional<std::vector<ServedProgram>> ServedCache;
  /// Expected ends of the runs here, earliest first, and the revision of the
  /// learned run times that they follow. Computed on demand; reset when a run
  /// is added or removed.
  std::optional<std::vector<policy::ExpectedEnd>> EndsCache;
  std::uint64_t EndsRevision = 0;
  /// Sum of the demand ratios of the waiting filler programs that suit this
  /// worker.
  double DemandRatioSum = 0;
  /// When the gauges of the worker were last passed to the model.
  TimePoint LastObserved;
  /// Runs of unknown tasks, which must be stopped.
  std::map<RunId, StopAttempts> OrphanRuns;
  /// Runs here of tasks that were running in earlier crashes.
  std::set<RunId> SuspectRuns;
  /// The current plan has chosen the worker for a suspect that is yet to be
  /// announced.
  bool ReservedForSuspect = false;

  WorkerRef ref() const { return {Profile.Id, Profile.Endpoint}; }
  void avoid(base::Duration time, TimePoint now) {
    if (now >= AvoidUntil)
      Trials = {};
    AvoidUntil = std::max(AvoidUntil, now + time);
  }
  /// Returns whether no run must be started here now, also none on trial if it
  /// is of a long-running task.
  bool isAvoided(bool longRunning, TimePoint now) const {
    return now < AvoidUntil &&
           !(longRunning && Trials.mayStart(count(Profile.Capacity.Cpu), now));
  }
  /// Returns an amount of CPU as a fraction of the capacity; finite also if
  /// that is 0 or unknown.
  double shareOfCapacity(std::int64_t cpu) const {
    std::int64_t capacity =
        std::max<std::int64_t>(1, count(Profile.Capacity.Cpu));
    return static_cast<double>(cpu) / static_cast<double>(capacity);
  }
  /// Returns whether the entry describes an earlier incarnation, which may have
  /// had other labels and another capacity.
  bool isEntryOutdated() const {
    return EntryStartTime.count() != 0 && EntryStartTime < Profile.StartTime;
  }
  /// Returns whether tasks may be started here. Not while the worker may hold
  /// the longest lease: the next owner would have to wait for it with all
  /// tasks, not only with those that the roster lists.
  bool isUsable() const {
    return Listed && Synced && InRoster && !PossibleTasks && !LongestLease &&
           !Profile.Draining && !SilentSince && !isEntryOutdated();
  }
};

/// Returns whether a start time shows that the worker has restarted since the
/// given incarnation; false if either is unknown.
bool isOtherIncarnation(std::optional<std::chrono::milliseconds> incarnation,
                        std::chrono::milliseconds startTime);

struct RunView;
struct WorkerRoom;

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
  /// Highest generation of the workers that have been removed; one that returns
  /// goes on from it.
  std::uint64_t ForgottenGeneration = 0;
  /// Incarnations of workers that have been removed, or whose row in the roster
  /// of an earlier owner need not be waited for; as in WorkerState.
  std::map<base::WorkerId, std::optional<std::chrono::milliseconds>>
      FormerIncarnations;
  /// No start is sent any more, so the tasks on all workers are known.
  bool Closing = false;
  /// Tasks that may still run for an earlier owner, as of the current plan.
  std::set<TaskKey> HeldTasks;
  /// Late starts of tasks, which run only on the same worker meanwhile.
  std::map<TaskKey, std::vector<LateStart>> LateStarts;
  /// Until then, workers that are not known may have runs of an earlier owner.
  std::optional<TimePoint> RosterUnknownUntil;
  /// When the records that starts depend on were complete.
  TimePoint RecordsAsOf;
  /// Starts that are decided now must not begin later.
  TimePoint StartsValidUntil = TimePoint::max();
  /// When the permission of this owner ends, as of now.
  TimePoint PermissionEnd = TimePoint::max();
  std::unordered_map<JobNumber, std::unique_ptr<JobEntry>> Jobs;
  std::vector<JobEntry *> LiveJobs;
  /// Cancelled jobs whose job record has not been read yet.
  std::map<JobNumber, std::set<std::int32_t>> CancelledEarly;
  std::map<base::WorkerId, std::unique_ptr<WorkerState>> Workers;
  std::set<base::ZoneId> ZonesOutOfService;
  /// Never removed, since reservations refer to them. Empty if no configuration
  /// had accounts.
  std::map<std::string, AccountState> Accounts;
  /// Of the jobs that belong to no account, which share the capacity like one
  /// account of weight 1.
  policy::StartedCpu OtherStarted;
  /// The sums of the other shards, from their load records.
  std::map<std::int32_t, std::map<std::string, std::int64_t>> PeerStarted;
  /// When the latest plan was made.
  TimePoint PlannedAt;
  std::deque<JobNumber> Dirty;
  /// Started jobs whose index record does not say so yet.
  std::deque<JobNumber> StartedUnmarked;
  /// Cancellations to be stored for the shards that run parts of the jobs.
  std::deque<CancelForward> CancelForwards;
  std::vector<WorkerCommand> Outbox;
  /// Number of starts that the current plan may still decide on.
  std::size_t StartBudget = 0;
  /// The current plan may start tasks that were lost with a lease.
  bool MayStartLost = true;
  /// Steps for which the current plan found no worker; tasks of the same
  /// program that are at least as large are not tried.
  std::vector<const model::StepSpec *> UnplaceableSteps;
  policy::ColocationModel Colocation;
  policy::RunTimes LearnedTimes;
  std::vector<Reservation> Reservations;
  /// What the other shards ask for, from their load records.
  std::map<std::int32_t, PeerRequests> RequestsOfPeers;
  /// When the rooms were last compared with that, and whether a worker may have
  /// got room, or another shard asked for more, since.
  TimePoint RoomsComparedAt;
  bool RoomsChanged = false;
  /// A long-running task may have become able to start.
  bool RoomOpened = false;
  std::deque<RoomOffer> RoomOffers;
  std::deque<RoomGrantId> ReturnedRooms;
  std::deque<TaskKey> ReadReturns;
  /// Rooms that other shards hold for tasks of this one.
  std::map<RoomGrantId, GrantedRoom> Grants;
  /// Since when tasks have waited under an earlier owner.
  std::map<TaskKey, TimePoint> InheritedWaits;
  /// Tasks of other shards that did not come although there was room for them,
  /// with until when there is no other offer.
  std::map<TaskKey, TimePoint> UnusedOffers;
  /// Steps for which the latest load record asks.
  std::set<std::pair<JobNumber, std::int32_t>> AskedSteps;
  policy::ShortDemand ShortTasks;
  /// When ShortTasks was last updated.
  std::optional<TimePoint> ShortTasksObserved;
  /// Urgency of the step that the current plan places.
  policy::Urgency CurrentUrgency = policy::Urgency::InTime;
  /// CPU that the current plan may still give to long-running tasks without
  /// taking what short tasks are expected to need.
  std::int64_t LongRunningBudget = 0;
  /// CPU demand of each filler program, averaged over some time, and when it
  /// was updated.
  std::map<std::string, double> FillerDemand;
  TimePoint DemandAsOf;
  /// Ratio of that demand to the CPU that the suitable workers have for
  /// fillers, as of the current plan.
  std::map<std::string, double> DemandRatios;
  /// Headroom at the peak of the load that is assumed for serving jobs that
  /// have not been measured for long: the mean of the others.
  double TypicalLowestHeadroom = 0;
  TimePoint TypicalHeadroomAt;

  // Jobs.cpp
  JobEntry *findJob(JobNumber job);
  const JobEntry *findJob(JobNumber job) const;
  TaskEntry *findTask(const TaskKey &key, JobEntry **job = nullptr);
  /// Finds a task that a worker lists, also if its occurrence is not due by the
  /// clock of this node: an earlier owner with another clock has opened it, and
  /// may not have stored that.
  TaskEntry *findReportedTask(const TaskKey &key, JobEntry **job,
                              TimePoint now);
  static TaskEntry *findTask(JobEntry &job, const TaskKey &key);
  Occurrence &openOccurrence(JobEntry &job, std::int32_t number, TimePoint now);
  void markDirty(JobEntry &job);
  void finishJob(JobEntry &job, model::JobState state);
  // Moves.cpp
  /// Removes the runs of a job that another shard runs now, and has their
  /// workers stop them.
  void orphanRuns(JobEntry &job);
  // Delegation.cpp
  /// Marks a task as run by another shard.
  void markRemote(JobEntry &job, const TaskKey &key);
  /// Marks a task that another shard has not taken as run here.
  void markLocal(JobEntry &job, const TaskKey &key);
  /// Lets tasks count as having waited as long as in the shard before.
  void inheritWait(JobEntry &job, const JobPart &part, TimePoint now);
  void queueCancelForwards(JobEntry &job);
  // RoomGrants.cpp
  /// Returns what to ask the other shards for.
  ///
  /// \param unplaced tasks for which no worker here has room.
  std::vector<RoomRequest> roomRequests(const std::set<TaskKey> &unplaced,
                                        TimePoint now) const;
  void addRequests(const JobEntry &job, std::int32_t step,
                   const std::set<TaskKey> &unplaced, TimePoint now,
                   std::vector<RoomRequest> &requests) const;
  /// Returns whether a task of another shard can be delegated to this one, and
  /// has no room here yet.
  bool needsRoom(const RoomRequest &request, std::int32_t index) const;
  /// Returns whether long-running tasks of this shard or another one ask for
  /// room.
  bool areRoomsWanted() const;
  /// Gives the rooms of the workers to the tasks of all shards, longest wait
  /// first, and reserves those of the other shards' tasks.
  void grantRooms(TimePoint now);
  /// Grants what is free now on workers with reservations for larger tasks of
  /// this shard, where no task of this shard fits: stops take longer than a
  /// handover. Called after the starts of a plan.
  void grantIdleRooms(TimePoint now);
  void grantIdleRoom(const RoomRequest &request, std::int32_t index,
                     std::int32_t from, std::vector<WorkerRoom> &rooms,
                     TimePoint now);
  /// Remembers a task of another shard that did not come.
  void noteUnusedOffer(const Reservation &reservation, TimePoint now);
  /// Ends what is held for a task of the shard \p from that does not come.
  void releaseRoom(const TaskKey &task, std::int32_t from, TimePoint now);
  /// Passes over the tasks of a shard that has returned room for them: it would
  /// have sent any that still waits.
  void notePlaced(std::int32_t from, const Reservation &returned,
                  TimePoint now);
  /// Holds what was held for one task of another shard for another one.
  void passRoomOn(const TaskKey &from, const TaskKey &to, TimePoint now);
  /// What was held for a task of another shard is held for one of this one.
  void onDelegated(const JobEntry &job, const std::vector<TaskRef> &tasks);
  /// No task uses the grant: the room is returned while it is held.
  void endGrant(const RoomGrantId &id, TimePoint now);
  /// Returns whether a waiting task may be delegated to a room that another
  /// shard has granted for \p named.
  bool mayUseGrant(const JobEntry &job, const TaskKey &task,
                   const TaskKey &named, const RoomGrant &room,
                   TimePoint now) const;
  /// Returns the waiting tasks that may use a grant: the one that it names,
  /// then the others, longest wait first.
  std::vector<TaskKey> candidatesFor(const RoomGrantId &id,
                                     const GrantedRoom &grant,
                                     TimePoint now) const;
  /// The task could not be delegated to the room, which is returned unless
  /// another one fits.
  void onGrantFailed(const RoomGrantId &id, const TaskKey &task, TimePoint now);
  /// Ends the use of the rooms of a delegation.
  void endUses(const Delegation &offer, bool delegated, TimePoint now);
  /// Notes since when the tasks of a long-running step have waited.
  void updateWaits(const JobEntry &job, Occurrence &o, std::int32_t step,
                   TimePoint now);
  void checkComplete(JobEntry &job, Occurrence &occurrence);
  /// Schedules the removal of the records of cancelled jobs and removes ended
  /// jobs from the tables.
  void removeEndedJobs();
  /// \param worker where the run has ended; a run elsewhere goes on, whatever
  /// its number.
  /// \param evidence how the run is known to have ended.
  void removeRun(JobEntry &job, const TaskKey &key, std::int64_t run,
                 const base::WorkerId &worker, const char *evidence);
  /// Notes for the log when the records of ended runs were stored.
  void noteStored(const JobEntry &job, TimePoint now);
  /// Returns whether a worker may have runs that it has not listed.
  bool hasUnverifiedWorkers() const;
  /// Returns whether any inherited task may be among those runs.
  bool mayRunAnyTask() const;
  /// Returns whether the task must not run in another shard, because it may
  /// already run on a worker of this one.
  bool isHeld(const TaskKey &task) const {
    return HeldTasks.contains(task) || hasLateStart(task);
  }
  bool isAnyTaskHeld(const JobEntry &job) const;

  // Takeover.cpp and Workers.cpp
  /// Processes the ended runs of an answer. An end whose row cannot be read is
  /// kept at the worker for UnreadableEndTimeout.
  void processEnds(WorkerState &worker, const PollReport &report,
                   TimePoint now);
  void processEnd(WorkerState &worker, const EndedRun &end, TimePoint now);
  /// Has an end acknowledged once \p version of the task's job is stored.
  void queueAcknowledgement(WorkerState &worker, std::int64_t end,
                            const TaskKey &task, std::uint64_t version);
  /// Returns whether only the worker's list shows the end so far.
  bool isUnstored(const UnacknowledgedEnd &end) const;
  /// A worker has shown that the run has begun.
  void confirmRun(JobEntry &job, TaskEntry &task, Run &run, TimePoint now);
  /// A worker has begun a task of the job. A start that is only sent may be
  /// refused.
  void markStarted(JobEntry &job, TimePoint now);
  void processRunning(WorkerState &worker, const PollReport &report,
                      TimePoint sent, TimePoint now);
  void adoptRun(WorkerState &worker, const RunStatus &row, TimePoint now);
  /// Marks the tasks whose runs may end unreported with the lease of the
  /// worker: those of its runs and, unless \p worker has listed its runs, the
  /// inherited tasks without a run.
  void markLostWithLease(const WorkerState &worker);
  void markInheritedLost();
  /// Drops all runs of the worker, which ended without being reported.
  void dropRuns(WorkerState &worker, const char *cause, TimePoint now);
  /// Returns the tasks that the worker runs, that ended there without a record,
  /// or of which a late start may begin there: the next owner must not start
  /// them before it has read the list of the worker.
  std::set<TaskKey> tasksOn(const WorkerState &worker) const;
  /// Returns how many ends were read from the worker and are in no record yet.
  std::size_t countUnstoredEnds(const WorkerState &worker) const;
  /// Returns the short tasks of these ends. Only this owner knows that they
  /// ended; a long-running task starts again after any end.
  std::set<TaskKey> unstoredShortTasks(const WorkerState &worker) const;
  /// Returns whether the worker can have no runs any more, and the next owner
  /// need not ask it for anything that this one knows.
  bool mayForget(const WorkerState &worker) const;
  /// Lists the tasks on a worker that gets no starts for the roster, and lets
  /// any other be used again once that is stored.
  void updatePossibleTasks(WorkerState &worker);
  void updatePossibleTasks();
  void updateHeldTasks();
  /// Handles a restart of the worker. Runs of its earlier incarnation are gone;
  /// commands that may have reached the new one become unconfirmed.
  void handleRestart(WorkerState &worker, const char *cause, TimePoint now);

  // Incarnations.cpp
  /// Returns the worker's entry; adds one if there is none.
  WorkerState &workerEntry(const base::WorkerId &id);
  /// Returns the token of calls that are sent now.
  base::FencingToken tokenOf(const WorkerState &worker) const;
  /// Returns the lowest token that fences the earlier incarnations.
  base::FencingToken fenceOf(const WorkerState &worker) const;
  /// Gives a start a higher token than the acknowledgement that is in flight.
  /// Otherwise a later incarnation could carry out both, and the second would
  /// discard the end of what the first has run.
  void fenceAcknowledgement(WorkerState &worker);
  /// The worker may have restarted: from the next answer on, it refuses all
  /// calls that were sent before now.
  void renewToken(WorkerState &worker);
  /// Handles the first answer to a token. Calls for earlier incarnations have
  /// no effect from now on.
  void onTokenAnswered(WorkerState &worker, std::chrono::milliseconds startTime,
                       WorkerTime clock, TimePoint now);
  /// Returns whether the worker lists the run if it ever will: a start that has
  /// not been confirmed and that is refused from now on.
  bool isStartRefused(const WorkerState &worker, const Run &run) const;
  /// Compares the start time in a worker's entry with the roster of an earlier
  /// owner.
  void checkInheritedIncarnation(WorkerState &worker,
                                 std::chrono::milliseconds startTime);

  // LateStarts.cpp
  /// Remembers the start of a run that counts as ended, unless it has been
  /// carried out or is known not to be.
  void noteLateStart(const JobEntry &job, const TaskKey &key, const Run &run,
                     TimePoint now);
  /// The start has been answered, or the worker has listed the run.
  void forgetLateStart(const RunId &run);
  /// No call reaches the worker any more: another one has its address.
  void forgetLateStarts(WorkerState &worker);
  /// Removes those that cannot act any more, and notes which to ignore.
  void updateLateStarts(TimePoint now);
  /// Returns whether a start of the task may still be carried out.
  bool hasLateStart(const TaskKey &task) const;
  /// A start got no answer: the next owner must know of it from the roster.
  void listLateStart(WorkerState &worker, const TaskKey &task, TimePoint until);
  /// Takes over the late starts in a row of an earlier owner's roster.
  void inheritLateStarts(const RosterEntry &row, TimePoint now);
  /// Returns whether the task may be started on the worker although earlier
  /// starts of it may still be carried out.
  bool mayStartOn(const WorkerState &worker, const TaskKey &task,
                  bool longRunning) const;

  void reserve(WorkerState &worker, JobEntry &job, const TaskKey &task,
               const Run &run);
  void release(WorkerState &worker, const RunId &run);
  /// What the run occupies is room for others from now on, and free once its
  /// end is listed.
  void onStopConfirmed(WorkerState &worker, const RunId &run, TimePoint now);
  void expireLeases(TimePoint now);
  /// Handles the first answer of a silent worker.
  void endSilence(WorkerState &worker, TimePoint now);
  /// Returns the duration of a lease that is requested now.
  base::Duration leaseDuration(TimePoint now) const;
  /// Returns the lease deadline of a start command that is sent now.
  WorkerTime startDeadline(const WorkerState &worker, TimePoint now) const;
  std::optional<WorkerTime> workerClock(const WorkerState &worker,
                                        TimePoint now) const;

  // Crashes.cpp
  /// Counts a crash of the worker for each task whose run it ended.
  ///
  /// \param sameId whether the worker has come back under its id, so that
  /// commands without an answer may have reached its new incarnation.
  void recordCrash(WorkerState &worker, bool sameId, TimePoint now);
  void countCrash(JobEntry &job, const TaskKey &key, TaskEntry &task,
                  const Run &run, CrashEvidence evidence, TimePoint now);
  /// Counts a run that an earlier owner announced as a crash. All workers have
  /// been asked by now, so the run was lost with its worker or never started;
  /// only the first is safe to assume.
  void countUnresolvedRun(JobEntry &job, const TaskKey &key, TaskEntry &task);
  /// Does so for all waiting tasks of a job that is to leave the shard.
  ///
  /// \returns whether there was such a run; the count must be stored first.
  bool countUnresolvedRuns(JobEntry &job);
  /// Announces the next run of a task before its start, if it is a suspect.
  ///
  /// \returns whether the run may start now.
  bool announceRun(JobEntry &job, const TaskKey &key, TaskEntry &task,
                   std::int64_t run);
  /// Withdraws the announcement of a run that is not started now: the next
  /// owner must not take it as lost.
  void withdrawAnnouncement(JobEntry &job, TaskEntry &task);
  /// Ends a job as failed because one of its tasks crashes workers.
  void giveUp(JobEntry &job, const TaskKey &key, const TaskEntry &task);
  /// Clears tasks whose run has outlived the time after which earlier runs
  /// crashed.
  void clearSurvivors();
  /// Announces the runs on a worker that refuses connections, which has most
  /// likely crashed. This owner counts the crash once the worker is back; a
  /// later owner would find no trace of the runs.
  void announceLoss(const WorkerState &worker);

  // Accounts.cpp
  /// Returns null if the job belongs to no account of the configuration.
  AccountState *accountOf(const JobEntry &job);
  void addUse(RunReservation &held);
  void removeUse(const RunReservation &held);
  /// Returns whether the account's limit allows a start of \p tasks tasks.
  bool isWithinLimit(const JobEntry &job, const model::StepSpec &step,
                     std::int32_t tasks, TimePoint now);
  /// Returns whether what runs and is ready is still within the whole limit, so
  /// that more ready tasks would add to what the shard wants.
  bool wantsMoreReady(const JobEntry &job);
  /// Counts tasks that only the account's limit keeps from starting.
  ///
  /// \param atOnce tasks that must start together.
  void addReady(const JobEntry &job, const model::StepSpec &step,
                std::int32_t tasks, std::int32_t atOnce);
  /// Returns the CPU that the job's account has started here recently, per
  /// weight; 0 in a configuration without accounts.
  double startedPerWeight(const JobEntry &job, TimePoint now);
  void addStarted(const JobEntry &job, const model::StepSpec &step,
                  TimePoint now);
  void addStartedTo(ShardLoad &load) const;
  void resetReady();
  /// Lowers what is ready to what the free capacity can run.
  void limitReady();

  // Plan.cpp
  void openDueOccurrences(base::WallTime wall, TimePoint now);
  void startReadySteps(TimePoint now);
  /// Starts the waiting tasks of long-running steps that have room, most urgent
  /// and longest wait first.
  void startLongRunningSteps(TimePoint now);
  void updateDemandRatios(TimePoint now);
  /// \param shortCpu CPU of the short tasks that wait and can be in time.
  void updateLongRunningBudget(std::int64_t shortCpu, TimePoint now);
  /// Returns the learned time within which a fraction \p q of the runs of a
  /// step ends, or its declared time if too few have ended.
  base::Duration expectedTime(const JobEntry &job, std::size_t step,
                              double q) const;
  /// Returns the expected time of the longest chain of unfinished steps that
  /// begins with \p step; with no occurrence, of all steps.
  base::Duration expectedPath(const JobEntry &job, const Occurrence *o,
                              std::size_t step) const;
  policy::WaitingWork waitingWork(const JobEntry &job, const Occurrence &o,
                                  std::size_t step, TimePoint now) const;
  bool isKnownUnplaceable(const model::StepSpec &step) const;
  /// \param waitingSince starts only tasks that have waited since then.
  void startStep(JobEntry &job, Occurrence &occurrence, std::int32_t step,
                 std::optional<TimePoint> waitingSince, TimePoint now);
  void logWait(const JobEntry &job, const Occurrence &occurrence,
               std::int32_t step, StepEntry &entry, TimePoint now);
  /// Logs at an interval that a step waits for the limit of its account.
  void logLimitWait(const JobEntry &job, const Occurrence &occurrence,
                    std::int32_t step, StepEntry &entry, TimePoint now);
  void startGang(JobEntry &job, Occurrence &occurrence, std::int32_t step,
                 TimePoint now);
  void startTask(JobEntry &job, const TaskKey &key, TaskEntry &task,
                 WorkerState &worker, TimePoint now, std::int64_t run);
  void stopUnneededRuns(TimePoint now);
  void stopRun(const TaskKey &key, Run &run, const char *cause, TimePoint now);
  void sendStop(const WorkerState &worker, const RunId &run, const char *cause);
  void moveOffDrainingWorkers(TimePoint now);
  void stopStuckRuns(TimePoint now);

  // Reservations.cpp
  /// Ends reservations that cannot or need not be kept, and brings those of the
  /// workers up to date.
  void refreshReservations(TimePoint now);
  /// Ends reservations of steps that have fewer waiting tasks.
  void endSurplusReservations();
  /// Reserves capacity for a waiting task where it fits soonest.
  ///
  /// \param tasks number of waiting tasks of the step; there are no more
  /// reservations than that.
  void reserveSoonest(const JobEntry &job, const Occurrence &o,
                      std::int32_t step, std::int32_t tasks,
                      const StepCounts &counts, TimePoint now);
  /// Reserves capacity for all tasks of a gang at the soonest time at which
  /// they fit together.
  void reserveForGang(const JobEntry &job, const Occurrence &o,
                      std::int32_t step, TimePoint now);
  /// Stops runs that keep a long-running task, which has waited for long, from
  /// the worker that is reserved for it.
  void makeRoomForReservations(TimePoint now);
  /// Returns how many tasks of a requested step each worker runs, or holds
  /// capacity for; empty if there is no limit per worker.
  StepCounts placesOf(const RoomRequest &request) const;
  /// Reserves capacity for a waiting task of another shard.
  ///
  /// \param rooms what the workers have beside the long-running tasks that run
  /// and wait here; the room is taken from it.
  ///
  /// \returns whether a worker has room.
  bool reserveForRequest(const RoomRequest &request, std::int32_t index,
                         std::int32_t from, std::vector<WorkerRoom> &rooms,
                         TimePoint now);
  /// Returns an idle room that another shard has just returned, which is held
  /// for the next one and may be offered to \p from as well, or null.
  const Reservation *findReturnedRoom(const RoomRequest &request,
                                      std::int32_t from, TimePoint now) const;
  /// Offers such a room, if there is one. Nothing more is held: the task that
  /// comes first gets it.
  void shareGrant(const RoomRequest &request, std::int32_t index,
                  std::int32_t from, TimePoint now);
  bool hasReservation(const JobEntry &job, const Occurrence &o,
                      std::int32_t step) const;
  bool mayReserve(const model::StepSpec &spec) const;
  /// Returns whether the step is still in time if it starts at \p due; always
  /// if it does not count as in time now.
  bool isWorthwhile(const JobEntry &job, const Occurrence &o, std::int32_t step,
                    TimePoint due, TimePoint now) const;
  bool isForGang(const Reservation &reservation) const;
  /// Adds a reservation to those of its worker.
  void holdOnWorker(const Reservation &reservation);
  void addReservation(Reservation reservation, std::size_t runs, TimePoint now);
  /// A task of the step was started, so it needs one reservation less.
  void useReservation(const TaskKey &key, const WorkerState &worker);
  void endReservation(const Reservation &reservation, const char *cause);

  // IdleRooms.cpp
  /// Logs which rooms have been idle although long-running tasks waited for
  /// them, and why.
  void noteIdleRooms(TimePoint now);
  void endIdleRoom(WorkerState &worker, TimePoint now);
  void noteAvoidedWorkers(TimePoint now);

  // Copies.cpp
  /// Starts copies of runs that take much longer than earlier ones, on capacity
  /// that nobody waits for.
  void copyStragglers(TimePoint now);

  // Interference.cpp
  void observeInterference(WorkerState &worker, TimePoint now);
  /// Updates TypicalLowestHeadroom.
  void updateTypicalHeadroom(TimePoint now);
  void throttleFillers(TimePoint now);
  void throttleRun(WorkerState &worker, const RunId &id, Run &run,
                   std::int32_t percent, TimePoint now);
  /// Stops a filler, which resumes from its checkpoint on another worker.
  void moveFiller(WorkerState &worker, const RunView &filler, const char *cause,
                  TimePoint now);
};

/// Time that a poll of a busy node may take longer.
constexpr std::chrono::milliseconds PollDelayMargin{500};

/// Returns progress in its stored form: only the differences from a job that
/// has not started.
JobProgress progressOf(const JobEntry &job);

/// Returns whether a step of the job has waited longer than \p time for a
/// worker.
bool hasWaited(const JobEntry &job, base::Duration time, TimePoint now);

/// Returns whether waiting tasks of the job may run in other shards. A job
/// without runs moves as a whole, unless it is a part or no shard has room for
/// all of it.
///
/// \param unverified whether an inherited task may run unknown to this shard.
bool mayBeSplit(const JobEntry &job, bool unverified);

/// Returns the step of a task.
const model::StepSpec &stepOf(const JobEntry &job, const TaskKey &key);

/// Returns the number of the next run of a task, higher than that of any
/// earlier run.
std::int64_t nextRun(const JobEntry &job, const TaskEntry &task,
                     std::int64_t term);

/// Returns the number of tasks of a step on each worker, for the limit per
/// worker and for spreading.
StepCounts runsByWorker(const StepEntry &entry);

/// Formats a task key for logs.
std::string taskText(const TaskKey &key);

} // namespace endivedoor::dispatch::detail

#endif
