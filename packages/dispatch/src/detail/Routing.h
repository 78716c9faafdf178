/// \file
/// The choice of a shard for a job.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_ROUTING_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_ROUTING_H

#include "detail/NodeRecords.h"

#include "endivedoor/dispatch/Shard.h"
#include "endivedoor/model/JobGraph.h"

#include <map>
#include <set>
#include <vector>

namespace endivedoor::dispatch::detail {

/// The workers as this node has read their entries.
struct WorkerView {
  std::map<base::WorkerId, model::WorkerProfile> Profiles;
  std::set<base::ZoneId> ZonesOutOfService;
};

/// Returns whether a worker carries a label.
bool hasLabel(const model::WorkerProfile &worker, const std::string &label);

/// Returns the room that a shard has for jobs like \p graph.
base::MilliCores &headroomFor(ShardLoad &load, const model::JobGraph &graph);

/// Returns the share of each shard's workers that can run the most demanding
/// step of a job: service, label, size and zone. A shard whose workers cannot
/// run all steps has 0.
std::vector<double> suitableShares(const DirectoryView &view,
                                   const WorkerView &workers,
                                   const model::AcceptedJob &job);

/// Keeps the shards with at least \p need of room, if there are any.
///
/// \param rooms of the shards, in their order.
void filterByHeadroom(std::int64_t need, std::vector<std::int32_t> &shards,
                      std::vector<std::int64_t> &headrooms);

/// Draws a shard with a chance in proportion to its room over that of the
/// fullest one. Nodes that choose at the same time from the same records must
/// not all choose the same shard.
///
/// \param rooms of the shards in order; not empty.
/// \param draw a number from 0 up to 1.
std::size_t drawShard(const std::vector<std::int64_t> &headrooms, double draw);

} // namespace endivedoor::dispatch::detail

#endif
