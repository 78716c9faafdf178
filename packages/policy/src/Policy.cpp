#include "endivedoor/policy/Scheduler.h"

namespace endivedoor::policy {

std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed) {
  return makeBaseline(BaselineKind::LeastLoaded, clock, seed);
}

} // namespace endivedoor::policy
