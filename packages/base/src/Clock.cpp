#include "endivedoor/base/Clock.h"

namespace endivedoor::base {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

} // namespace endivedoor::base
