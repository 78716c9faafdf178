// Load pattern: see the header.
#include "endivedoor/policy/Openings.h"

#include <algorithm>

namespace endivedoor::policy {

/// Runs that are expected to take less still need this long to end, be reported
/// and be replaced.
constexpr std::chrono::milliseconds MinOverdueTime{500};

std::optional<Opening> soonestOpening(const base::Resources &capacity,
                                      base::Resources used,
                                      const std::vector<ExpectedEnd> &ends,
                                      const base::Resources &size,
                                      base::TimePoint now) {
  auto isEarlier = [](const ExpectedEnd &a, const ExpectedEnd &b) {
    return a.At < b.At;
  };
  if (!std::is_sorted(ends.begin(), ends.end(), isEarlier)) {
    std::vector<ExpectedEnd> sorted = ends;
    std::sort(sorted.begin(), sorted.end(), isEarlier);
    return soonestOpening(capacity, used, sorted, size, now);
  }
  auto fits = [&] {
    base::Resources needed = used;
    needed += size;
    return needed.fitsIn(capacity);
  };
  Opening opening{now, 0, {}};
  for (const ExpectedEnd &it : ends) {
    if (fits())
      return opening;
    used -= it.Size;
    opening.Due = std::max(now, it.At);
    ++opening.Runs;
    opening.Awaited = std::max(opening.Awaited, it.Expected);
  }
  return fits() ? std::optional(opening) : std::nullopt;
}

bool mayBackfill(const HeldCapacity &held, const base::Resources &capacity,
                 const base::Resources &size, base::TimePoint expectedEnd) {
  if (expectedEnd <= held.Due)
    return true;
  base::Resources whenDue = held.UsedWhenDue;
  whenDue += held.Size;
  whenDue += size;
  return whenDue.fitsIn(capacity);
}

base::TimePoint endOfReservation(const Opening &opening) {
  return opening.Due +
         std::max<base::Duration>(opening.Awaited, MinOverdueTime);
}

} // namespace endivedoor::policy
