/// \file
/// Encoding of the load record of a shard.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_LOADS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_LOADS_H

#include "endivedoor/dispatch/Shard.h"

namespace endivedoor::dispatch::detail {

std::string encodeLoad(const ShardLoad &load);
/// Errors: ParseFailed.
base::Result<ShardLoad> decodeLoad(const std::string &text);

} // namespace endivedoor::dispatch::detail

#endif
