/// \file
/// When the earlier owners of shards were replaced, by this node's clock.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_REPLACEDOWNERS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_REPLACEDOWNERS_H

#include "detail/NodeRecords.h"

#include "endivedoor/base/Clock.h"
#include "endivedoor/dispatch/Shard.h"

#include <map>
#include <optional>
#include <vector>

namespace endivedoor::dispatch::detail {

/// Lets an owner whose node never comes back count as ended by time alone.
class ReplacedOwners {
public:
  /// Notes that the terms of a shard before \p term have ended by now.
  void note(std::int32_t shard, std::int64_t term, base::TimePoint now);
  /// Returns a time by which a later owner had replaced that of \p term, or
  /// nothing if none is known to have.
  std::optional<base::TimePoint> at(std::int32_t shard,
                                    std::int64_t term) const;
  /// Returns the earlier terms of a shard as far as they are known.
  ///
  /// \param mayAct owners that may not know that they were replaced.
  std::vector<FormerTerm> terms(std::int32_t shard,
                                const std::vector<EarlierOwner> &mayAct,
                                base::TimePoint now) const;

private:
  std::map<std::int32_t, std::map<std::int64_t, base::TimePoint>> Times;
};

} // namespace endivedoor::dispatch::detail

#endif
