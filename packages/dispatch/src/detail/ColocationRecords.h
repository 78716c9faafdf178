/// \file
/// Encoding of a shard's record of how programs on the same worker slow each
/// other.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_COLOCATIONRECORDS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_COLOCATIONRECORDS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/policy/ColocationModel.h"

#include <string>
#include <vector>

namespace endivedoor::dispatch::detail {

std::string
encodeColocation(const std::vector<policy::ColocationStatistics> &facts);
/// Errors: ParseFailed.
base::Result<std::vector<policy::ColocationStatistics>>
decodeColocation(const std::string &text);

} // namespace endivedoor::dispatch::detail

#endif
