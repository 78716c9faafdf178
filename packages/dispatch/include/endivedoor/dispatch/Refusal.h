/// \file
/// When a caller whose request was refused should come back.
#ifndef ENDIVEDOOR_DISPATCH_REFUSAL_H
#define ENDIVEDOOR_DISPATCH_REFUSAL_H

#include "endivedoor/base/Clock.h"

#include <chrono>

namespace endivedoor::dispatch {

/// Returns the delay after which a refused request may be repeated.
///
/// Load pattern: the store is away for seconds, every submission is refused,
/// and callers repeat a request only a few times. An outage that has lasted for
/// some time is expected to last as long again, so the delay grows with it: few
/// repeats outlast a long outage, a short one costs little. Callers are spread
/// out, because those refused over a long time would otherwise return together.
///
/// \param storeAway time since the store last answered this node.
/// \param draw uniformly distributed between 0 and 1.
std::chrono::seconds returnDelay(base::Duration storeAway, double draw);

} // namespace endivedoor::dispatch

#endif
