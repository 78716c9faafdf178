// Load pattern: see the header.
#include "endivedoor/policy/Copies.h"

namespace endivedoor::policy {

/// The median, since up to half of the runs may have been on slow workers.
constexpr double UsualFraction = 0.5;
/// Run times with a spread of half stay below 1.5 times their median; the
/// resolution of RunTimes is a fifth.
constexpr double StragglerFactor = 1.75;

bool isStraggler(const RunTimes &times, const ProgramKey &program,
                 std::chrono::nanoseconds elapsed) {
  auto usual = times.quantile(program, UsualFraction);
  return usual && std::chrono::duration<double, std::nano>(elapsed) >
                      *usual * StragglerFactor;
}

} // namespace endivedoor::policy
