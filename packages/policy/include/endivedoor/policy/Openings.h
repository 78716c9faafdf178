/// \file
/// When a worker has room for a task, and who may use the room until then.
///
/// Load pattern: a stream of small tasks takes each piece of capacity as soon
/// as it is free, so that a large task, or the tasks of a wide step, never find
/// enough at once. Declared run times are wrong by up to a factor of three.
#ifndef ENDIVEDOOR_POLICY_OPENINGS_H
#define ENDIVEDOOR_POLICY_OPENINGS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Units.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace endivedoor::policy {

/// A run that is expected to end.
struct ExpectedEnd {
  base::TimePoint At;
  base::Resources Size;
  /// Expected time of the whole run.
  base::Duration Expected{0};
};

/// The moment from which a worker is expected to have room.
struct Opening {
  base::TimePoint Due;
  /// Number of runs that must end first, and the longest of their expected
  /// times.
  std::size_t Runs = 0;
  base::Duration Awaited{0};
};

/// Returns the soonest opening for \p size, or nothing if the runs that never
/// end leave too little.
///
/// \param used what all runs occupy.
/// \param ends runs that are expected to end; overdue ones count as ending at
/// \p now. Costs less if the earliest come first.
std::optional<Opening> soonestOpening(const base::Resources &capacity,
                                      base::Resources used,
                                      const std::vector<ExpectedEnd> &ends,
                                      const base::Resources &size,
                                      base::TimePoint now);

/// Capacity that is held for a task until the runs that it waits for have
/// ended.
struct HeldCapacity {
  base::Resources Size;
  base::TimePoint Due;
  /// What the runs that do not end before Due occupy, without the holder.
  base::Resources UsedWhenDue;
};

/// Returns whether a task may start although capacity is held: it ends before
/// the capacity is due, or fits beside the holder.
bool mayBackfill(const HeldCapacity &held, const base::Resources &capacity,
                 const base::Resources &size, base::TimePoint expectedEnd);

/// When a reservation ends unused: after it has been due for as long as the
/// awaited runs were expected to take, or a minimum.
base::TimePoint endOfReservation(const Opening &opening);

} // namespace endivedoor::policy

#endif
