/// \file
/// Records of the store: keys, contents and their text form.
#ifndef ENDIVEDOOR_DISPATCH_RECORDS_H
#define ENDIVEDOOR_DISPATCH_RECORDS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/model/JobGraph.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::dispatch {

/// Keys of the records. All begin with "endivedoor/".
namespace keys {
std::string shardPrefix(std::int32_t shard);
std::string owner(std::int32_t shard);
std::string job(std::int32_t shard, model::JobNumber job);
std::string cancel(std::int32_t shard, model::JobNumber job);
std::string progressPrefix(std::int32_t shard);
std::string progress(std::int32_t shard, model::JobNumber job);
std::string index(model::JobNumber job);
std::string roster(std::int32_t shard);
std::string loadPrefix();
std::string load(std::int32_t shard);
/// What an owner has learned about programs that share workers.
std::string colocation(std::int32_t shard);
std::string directoryPrefix();
std::string shardEntry(std::int32_t shard);
std::string memberPrefix();
std::string member(const std::string &name);
std::string layout();
std::string assignment();
} // namespace keys

/// Returns the number of a job written as 16 lower-case hexadecimal digits.
std::string formatJobNumber(model::JobNumber job);
/// Errors: ParseFailed.
base::Result<model::JobNumber> parseJobNumber(std::string_view text);

/// What is known of a job wherever it is: its shard and state.
struct JobIndexEntry {
  std::int32_t Shard = 0;
  model::JobState State = model::JobState::Queued;
};

/// Progress of one task that differs from "not done, never failed".
struct TaskProgress {
  std::int32_t Step = 0;
  std::int32_t Index = 0;
  bool Done = false;
  /// Runs that ended as failed.
  std::vector<std::int64_t> FailedRuns;
  std::string Checkpoint;
};

struct OccurrenceProgress {
  std::int32_t Number = 0;
  bool Complete = false;
  std::vector<TaskProgress> Tasks;
};

struct JobProgress {
  std::vector<OccurrenceProgress> Occurrences;
};

/// A record that the owner of a shard stores for one job: its progress, or its
/// final state, which replaces all its other records.
struct JobWrite {
  model::JobNumber Job{0};
  std::uint64_t Version = 0;
  /// Revision that the record must have; 0 if there is none yet.
  std::int64_t Revision = 0;
  std::optional<model::JobState> Final;
  JobProgress Progress;
};

/// What a job's earlier shard hands over with it.
struct JobHandover {
  JobProgress Progress;
  /// Highest number of a run of any of its tasks.
  std::int64_t LastRun = 0;
};

/// A job without runs that another shard may take.
struct JobMove {
  model::AcceptedJob Job;
  model::JobState State = model::JobState::Queued;
  JobHandover Handover;
  /// Revision that the index must have.
  std::int64_t Revision = 0;
};

/// The note in the index that a job has begun.
struct StartedMark {
  model::JobNumber Job{0};
  /// Revision that the index must have.
  std::int64_t Revision = 0;
};

/// A worker that runs of a shard may be on.
struct RosterEntry {
  base::WorkerId Id;
  model::Address Endpoint;
  friend auto operator<=>(const RosterEntry &, const RosterEntry &) = default;
};

/// \param facts for a job that comes from another shard; null for a new one.
std::string encodeJob(const model::AcceptedJob &job,
                      const JobHandover *handover = nullptr);
std::string encodeIndex(const JobIndexEntry &index);
std::string encodeProgress(const JobProgress &progress);
std::string encodeRoster(const std::vector<RosterEntry> &roster);

/// Errors of the decoders: ParseFailed.
base::Result<model::AcceptedJob> decodeJob(model::JobNumber id,
                                           const std::string &text);
/// Returns what came with the record of a job; nothing for a new job.
base::Result<std::optional<JobHandover>>
decodeHandover(const std::string &text);
base::Result<JobIndexEntry> decodeIndex(const std::string &text);
base::Result<JobProgress> decodeProgress(const std::string &text);
base::Result<std::vector<RosterEntry>> decodeRoster(const std::string &text);

} // namespace endivedoor::dispatch

#endif
