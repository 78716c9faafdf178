/// \file
/// The load record of a shard.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_LOADS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_LOADS_H

#include "endivedoor/dispatch/Shard.h"

namespace endivedoor::dispatch::detail {

std::string encodeLoad(const ShardLoad &load);
/// Errors: ParseFailed.
base::Result<ShardLoad> decodeLoad(const std::string &text);

/// Returns the room that a shard has for jobs like \p graph.
base::MilliCores &roomFor(ShardLoad &load, const model::JobGraph &graph);

/// Draws a shard with a chance in proportion to its room over that of the
/// fullest one. Nodes that choose at the same time from the same records must
/// not all choose the same shard.
///
/// \param rooms of the shards in order; not empty.
/// \param draw a number from 0 up to 1.
std::int32_t drawShard(const std::vector<std::int64_t> &rooms, double draw);

} // namespace endivedoor::dispatch::detail

#endif
