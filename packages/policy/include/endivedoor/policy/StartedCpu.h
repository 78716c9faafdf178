/// \file
/// CPU that was started recently, for the order of accounts under overload.
#ifndef ENDIVEDOOR_POLICY_STARTEDCPU_H
#define ENDIVEDOOR_POLICY_STARTEDCPU_H

#include "endivedoor/base/Clock.h"

#include <array>
#include <cstdint>

namespace endivedoor::policy {

/// Sum of the CPU of the tasks that were started in the last ten seconds,
/// counted in whole seconds.
class StartedCpu {
public:
  void add(std::int64_t milliCores, base::TimePoint now) {
    Slot &slot = Slots[static_cast<std::size_t>(secondOf(now)) % Slots.size()];
    if (slot.Second != secondOf(now))
      slot = {secondOf(now), 0};
    slot.Sum += milliCores;
  }

  std::int64_t sum(base::TimePoint now) const {
    std::int64_t sum = 0;
    for (const Slot &it : Slots)
      if (secondOf(now) - it.Second < static_cast<std::int64_t>(Slots.size()))
        sum += it.Sum;
    return sum;
  }

private:
  struct Slot {
    std::int64_t Second = -1000;
    std::int64_t Sum = 0;
  };

  static std::int64_t secondOf(base::TimePoint time) {
    return std::chrono::duration_cast<std::chrono::seconds>(
               time.time_since_epoch())
        .count();
  }

  std::array<Slot, 10> Slots;
};

} // namespace endivedoor::policy

#endif
