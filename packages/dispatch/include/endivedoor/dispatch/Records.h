/// \file
/// Records in the metadata store: keys, types and JSON encoding.
#ifndef ENDIVEDOOR_DISPATCH_RECORDS_H
#define ENDIVEDOOR_DISPATCH_RECORDS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Error.h"
#include "endivedoor/model/JobGraph.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivedoor::dispatch {

/// Keys and key prefixes of the records. All start with "endivedoor/".
namespace keys {
std::string shardPrefix(std::int32_t shard);
std::string owner(std::int32_t shard);
std::string job(std::int32_t shard, model::JobNumber job);
std::string cancel(std::int32_t shard, model::JobNumber job);
/// Room that the shard \p from holds for a task that waits in \p shard.
std::string roomGrant(std::int32_t shard, const model::TaskKey &task,
                      std::int32_t from);
/// Room of \p shard for which the shard of the task has no use.
std::string roomReturn(std::int32_t shard, const model::TaskKey &task);
std::string progressPrefix(std::int32_t shard);
std::string progress(std::int32_t shard, model::JobNumber job);
std::string index(model::JobNumber job);
std::string roster(std::int32_t shard);
std::string loadPrefix();
std::string load(std::int32_t shard);
/// Record of measured interference between programs that share workers.
std::string colocation(std::int32_t shard);
std::string accountPrefix();
/// Record of the shards' shares of an account's limit.
std::string account(const std::string &name);
std::string directoryPrefix();
std::string shardEntryPrefix();
std::string shardEntry(std::int32_t shard);
std::string memberPrefix();
std::string member(const std::string &name);
std::string layout();
std::string assignment();
} // namespace keys

/// Bounds of stored records. The encoders enforce them too, so that every
/// stored record can be read back.
namespace limits {
/// Longest name of a queue, service, label, image, node or process, in bytes.
constexpr std::size_t MaxNameBytes = 256;
/// Longest payload of a job, in bytes.
constexpr std::size_t MaxPayloadBytes = 4000;
/// Longest checkpoint, in bytes; longer ones are not stored.
constexpr std::size_t MaxCheckpointBytes = 4096;
constexpr std::size_t MaxSteps = 64;
constexpr std::int32_t MaxTasksPerJob = 10000;
/// Largest number of tasks of all occurrences of a repeated job. An owner holds
/// all due ones in memory, about 400 bytes each.
constexpr std::int32_t MaxTasksOfOccurrences = 20000;
/// Latest due time of an occurrence, since 1970; the range of the wall clock.
constexpr std::chrono::milliseconds MaxDueTime =
    std::chrono::floor<std::chrono::milliseconds>(
        base::WallTime::max().time_since_epoch());
/// Largest record, in bytes; the largest value that the store accepts.
constexpr std::size_t MaxRecordBytes = 1 << 20;
} // namespace limits

/// Formats a job number as 16 lower-case hexadecimal digits.
std::string formatJobNumber(model::JobNumber job);
/// Errors: ParseFailed.
base::Result<model::JobNumber> parseJobNumber(std::string_view text);
/// Formats a task of a job without occurrences, as in keys.
std::string formatTask(const model::TaskKey &task);
/// Errors: ParseFailed.
base::Result<model::TaskKey> parseTask(std::string_view text);
/// Returns the task that the key of a grant or of a returned room names, from
/// the part of the key after its kind. Errors: ParseFailed.
base::Result<model::TaskKey> parseRoomTask(std::string_view name);

/// Index entry of a job: the shard that holds it and its state.
struct JobIndexEntry {
  std::int32_t Shard = 0;
  model::JobState State = model::JobState::Queued;
  /// The job was cancelled before it was stored: it must not be stored any
  /// more, and is not shown.
  bool NeverStored = false;
  /// Client account of the job; empty for none, as in records of versions that
  /// did not store it.
  std::string Account = {};
};

/// Crashes of workers that ended runs of a task.
struct CrashRecord {
  /// Numbers of the runs.
  std::vector<std::int64_t> Runs;
  /// How many of them were the latest start on their worker.
  std::int32_t LatestStarts = 0;
  /// Number of the task's next run, stored before that starts; 0 if there is
  /// none. An owner that finds no trace of the run counts it as a crash.
  std::int64_t AnnouncedRun = 0;
  /// Longest time from a start to the crash.
  std::chrono::milliseconds LongestRun{0};
  /// How many of the runs the worker had confirmed; the others may not have
  /// reached it.
  std::int32_t Confirmed = 0;
};

/// Progress of one task. Tasks that are neither done nor ever failed are
/// omitted.
struct TaskProgress {
  std::int32_t Step = 0;
  std::int32_t Index = 0;
  bool Done = false;
  /// Numbers of the runs that failed.
  std::vector<std::int64_t> FailedRuns;
  std::string Checkpoint;
  /// Shard that runs the task instead of the job's own.
  std::optional<std::int32_t> DelegatedTo = {};
  CrashRecord Crashes = {};
};

struct OccurrenceProgress {
  std::int32_t Number = 0;
  bool Complete = false;
  std::vector<TaskProgress> Tasks;
};

struct JobProgress {
  std::vector<OccurrenceProgress> Occurrences;
};

/// A pending write of one job by the owner of its shard: the job's progress, or
/// its final state, which replaces all other records of the job.
struct JobWrite {
  model::JobNumber Job{0};
  std::uint64_t Version = 0;
  /// Expected revision of the record; 0 if it does not exist yet.
  std::int64_t Revision = 0;
  std::optional<model::JobState> Final;
  JobProgress Progress;
  /// Client account of the job, for its index entry.
  std::string Account = {};
};

/// State of a job that moves along to another shard.
struct JobHandover {
  JobProgress Progress;
  /// Highest run number that any task of the job may have, in any term.
  std::int64_t LastRun = 0;
  /// A task of the job has had a run.
  bool Started = false;
};

/// A job without active runs that may move to another shard.
struct JobMove {
  model::AcceptedJob Job;
  model::JobState State = model::JobState::Queued;
  JobHandover Handover;
  /// Expected revision of the index entry.
  std::int64_t Revision = 0;
};

struct TaskRef {
  std::int32_t Step = 0;
  std::int32_t Index = 0;
  CrashRecord Crashes = {};
};

/// Tasks of a long-running job that another shard runs, because the job's own
/// has no capacity for them. The job's shard keeps the index entry and passes a
/// cancellation on.
struct JobPart {
  std::vector<TaskRef> Tasks;
  /// Highest run number of these tasks in earlier shards.
  std::int64_t LastRun = 0;
  /// Shard that the job's index entry belongs to; absent in records of versions
  /// that did not store it.
  std::optional<std::int32_t> HomeShard = {};
  /// Revision of the part's first record, to which tasks have been added since;
  /// 0 if this is the first one. The owner may have started tasks since then.
  std::int64_t FirstRevision = 0;
  /// How long the tasks had waited when they were delegated.
  std::chrono::milliseconds Waited{0};
};

/// Step and index of a task of a job without occurrences.
using TaskPosition = std::pair<std::int32_t, std::int32_t>;

/// Waiting tasks of one step of a long-running job for which a shard asks the
/// others for room.
struct RoomRequest {
  model::JobNumber Job{0};
  std::int32_t Step = 0;
  /// Indexes within the step.
  std::vector<std::int32_t> Tasks;
  base::Resources Size;
  base::ServiceName Service;
  /// Label that a worker must have; empty for none.
  std::string Requirement = {};
  /// Limit of the job's tasks on one worker; 0 for none.
  std::int32_t MaxPerWorker = 0;
  /// How long the longest waiting of the tasks has waited.
  std::chrono::milliseconds Waited{0};
  friend bool operator==(const RoomRequest &, const RoomRequest &) = default;
};

/// Room that a shard holds for some time for a task that waits in another one.
/// Only a hint: the shard of the task decides and commits. It may send another
/// task instead, as it alone knows which of its tasks still wait.
struct RoomGrant {
  /// Shard that holds the room.
  std::int32_t Shard = 0;
  /// What the room offers. Without a size, as in records of earlier versions,
  /// only the task that the grant names may use it.
  base::Resources Size = {};
  base::ServiceName Service = {};
  /// Label of the worker that the named task requires; empty for none.
  std::string Requirement = {};
  friend bool operator==(const RoomGrant &, const RoomGrant &) = default;
};

/// Names a grant: the task that the room was held for, and the other shard, as
/// seen from either of the two.
struct RoomGrantId {
  model::TaskKey Task;
  std::int32_t Shard = 0;
  friend auto operator<=>(const RoomGrantId &, const RoomGrantId &) = default;
};

/// Answer to a grant that the named task does not use.
struct RoomReturn {
  /// Shard of the task.
  std::int32_t Shard = 0;
  /// Task that has been delegated to the room instead; nothing if the room is
  /// free again.
  std::optional<model::TaskKey> Instead = {};
  friend bool operator==(const RoomReturn &, const RoomReturn &) = default;
};

/// A grant and the task that is delegated to its room.
struct RoomUse {
  model::TaskKey Granted;
  model::TaskKey Used;
};

/// Waiting tasks that a shard offers to others.
struct Delegation {
  model::AcceptedJob Job;
  JobPart Part;
  /// Shards to which this one has delegated tasks of the job before.
  std::set<std::int32_t> Holders = {};
  /// The job runs in so many shards that only Holders may take more of it.
  bool OnlyHolders = false;
  /// Tasks that shards have had before and passed on. They do not take these
  /// again.
  std::map<std::int32_t, std::set<TaskPosition>> HadBefore = {};
  /// Shard that holds room for each of the tasks; nothing if one must be found.
  std::optional<std::int32_t> GrantedBy = {};
  /// One for each of the tasks if the rooms are held.
  std::vector<RoomUse> Uses = {};
};

/// A cancellation that must reach a shard that runs a part of the job.
struct CancelForward {
  model::JobNumber Job{0};
  std::int32_t Shard = 0;
};

/// A pending update of a job's index entry to the state Running.
struct StartedMark {
  model::JobNumber Job{0};
  /// Expected revision of the index entry.
  std::int64_t Revision = 0;
  /// Client account of the job, for its index entry.
  std::string Account = {};
};

/// A worker that may hold runs of a shard.
struct RosterEntry {
  base::WorkerId Id;
  model::Address Endpoint;
  /// Latest term whose owner may have used the worker; 0 if any earlier one
  /// may have. An owner stores its own term here before it uses the worker.
  std::int64_t Term = 0;
  /// Tasks that may have runs on the worker, or that have ended there without a
  /// record; nothing if any task may. An owner starts nothing on a worker while
  /// this is stored. Ascending.
  std::optional<std::vector<model::TaskKey>> Tasks = {};
  /// How long the worker may hold leases of that term, from when the row was
  /// written; nothing if that depends on when the term ended.
  std::optional<std::chrono::milliseconds> LeaseLeft = {};
  /// Start time of the incarnation at which no call for an earlier one can act
  /// any more; 0 if the worker has restarted since, nothing if it is not known.
  std::optional<std::chrono::milliseconds> Incarnation = {};
  /// That incarnation may hold the longest lease that a worker grants.
  bool LongestLease = false;
  /// Tasks of which a start without an answer may still be carried out if the
  /// worker restarts. Ascending.
  std::vector<model::TaskKey> LateStarts = {};
  friend auto operator<=>(const RosterEntry &, const RosterEntry &) = default;
};

/// \param handover state of a job that moves from another shard; null for a new
/// job.
/// \param part the tasks that the shard runs; null for the whole job.
/// Errors: LimitExceeded if a part of the job is outside the limits.
base::Result<std::string> encodeJob(const model::AcceptedJob &job,
                                    const JobHandover *handover = nullptr,
                                    const JobPart *part = nullptr);
std::string encodeIndex(const JobIndexEntry &index);
/// Omits the checkpoints if the record would exceed MaxRecordBytes with them.
std::string encodeProgress(const JobProgress &progress);
/// \param shards shards of the job's parts for which the cancellation has been
/// stored as well.
std::string encodeCancel(const std::set<std::int32_t> &shards);
std::string encodeRoomGrant(const RoomGrant &grant);
std::string encodeRoomReturn(const RoomReturn &returned);
std::string encodeRoster(const std::vector<RosterEntry> &roster);

/// Errors of all decoders: ParseFailed.
base::Result<model::AcceptedJob> decodeJob(model::JobNumber id,
                                           const std::string &text);
/// Returns the handover state in a job record, or std::nullopt for a new job.
base::Result<std::optional<JobHandover>>
decodeHandover(const std::string &text);
/// Returns the tasks that a job record is limited to, or std::nullopt for a
/// whole job.
base::Result<std::optional<JobPart>> decodePart(const std::string &text);
/// Returns the shards that encodeCancel() was given.
base::Result<std::set<std::int32_t>> decodeCancel(const std::string &text);
base::Result<RoomGrant> decodeRoomGrant(const std::string &text);
base::Result<RoomReturn> decodeRoomReturn(const std::string &text);
base::Result<JobIndexEntry> decodeIndex(const std::string &text);
base::Result<JobProgress> decodeProgress(const std::string &text);
base::Result<std::vector<RosterEntry>> decodeRoster(const std::string &text);

} // namespace endivedoor::dispatch

#endif
