/// \file
/// The record of what a shard has learned about programs that share workers.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_PAIRRECORDS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_PAIRRECORDS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/policy/PairModel.h"

#include <string>
#include <vector>

namespace endivedoor::dispatch::detail {

std::string encodePairs(const std::vector<policy::PairFacts> &facts);
/// Errors: ParseFailed.
base::Result<std::vector<policy::PairFacts>>
decodePairs(const std::string &text);

} // namespace endivedoor::dispatch::detail

#endif
