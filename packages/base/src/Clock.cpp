#include "endivedoor/base/Clock.h"

#include <ctime>

namespace endivedoor::base {

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

TimePoint BootClock::now() const {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

WallTime BootClock::wallNow() const { return std::chrono::system_clock::now(); }

} // namespace endivedoor::base
