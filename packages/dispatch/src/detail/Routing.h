/// \file
/// Selection of a shard for a job.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_ROUTING_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_ROUTING_H

#include "detail/NodeRecords.h"

#include "endivedoor/dispatch/Shard.h"
#include "endivedoor/model/JobGraph.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivedoor::dispatch::detail {

/// The worker entries and zones as this node last read them.
struct WorkerView {
  std::map<base::WorkerId, model::WorkerProfile> Profiles;
  std::set<base::ZoneId> ZonesOutOfService;
};

/// The shard that is to take a job or tasks of it.
struct ShardChoice {
  /// Empty if no shard has room.
  std::optional<std::int32_t> Shard;
  /// Each shard that was weighed, with its headroom and why it was left out;
  /// for the log.
  std::string Weighed;
};

/// The shard that is to take waiting tasks of a long-running job.
struct RoomChoice {
  /// Empty if no shard has room for any of them.
  std::optional<std::int32_t> Shard;
  /// Tasks for which the shard has room.
  std::vector<TaskRef> Tasks;
  std::string Weighed;
};

/// Returns whether a worker has a label.
bool hasLabel(const model::WorkerProfile &worker, const std::string &label);

/// Returns the headroom of a shard for the kind of job that \p graph describes.
base::MilliCores &headroomFor(ShardLoad &load, const model::JobGraph &graph);

/// As headroomFor(), but not more than what the workers have that suit the
/// filler program of the job, if the shard knows it.
std::int64_t headroomOf(ShardLoad &load, const model::JobGraph &graph);

/// Subtracts the CPU of a job that has been sent to the shard.
void reserveHeadroom(ShardLoad &load, const model::JobGraph &graph,
                     std::int64_t cpu);

/// Returns the program of a job whose tasks have a target, or an empty name.
const std::string &servingProgram(const model::JobGraph &graph);

/// Returns the index of the shard that ranks first for a serving program among
/// those with enough headroom, or nothing if none has it.
///
/// Jobs of one program thus gather in few shards, where their tasks fill whole
/// workers. Fillers that disturb this program then find workers without it.
std::optional<std::size_t>
preferredShard(const std::string &program,
               const std::vector<std::int32_t> &shards,
               const std::vector<std::int64_t> &headrooms, std::int64_t need);

/// Returns, for each shard, the fraction of its workers that can run the most
/// demanding step of the job by service, label, size and zone. A shard that
/// cannot run all steps gets 0.
std::vector<double> suitableShares(const DirectoryView &view,
                                   const WorkerView &workers,
                                   const model::AcceptedJob &job);

/// Removes the shards with less headroom than \p need, unless that would remove
/// all.
///
/// \param headrooms headroom of each shard, in the order of \p shards.
void filterByHeadroom(std::int64_t need, std::vector<std::int32_t> &shards,
                      std::vector<std::int64_t> &headrooms);

/// Selects a shard at random, weighted by its headroom relative to that of the
/// fullest shard. Random, because nodes that choose at the same time from the
/// same load records must not all choose the same shard.
///
/// \param headrooms headroom of each shard; not empty.
/// \param draw random number in [0, 1).
std::size_t drawShard(const std::vector<std::int64_t> &headrooms, double draw);

} // namespace endivedoor::dispatch::detail

#endif
