/// \file
/// Resource amounts with the unit in the type.
#ifndef ENDIVEDOOR_BASE_UNITS_H
#define ENDIVEDOOR_BASE_UNITS_H

#include <cstdint>

namespace endivedoor::base {

/// Thousandths of a processor core.
enum class MilliCores : std::int64_t {};
/// Mebibytes of memory.
enum class MebiBytes : std::int64_t {};

constexpr std::int64_t count(MilliCores v) {
  return static_cast<std::int64_t>(v);
}
constexpr std::int64_t count(MebiBytes v) {
  return static_cast<std::int64_t>(v);
}

/// The amount of each resource that a worker provides or a task requires.
struct Resources {
  std::int32_t Slots = 0;
  std::int32_t Connections = 0;
  MilliCores Cpu{0};
  MebiBytes Memory{0};
  std::int32_t Accelerators = 0;

  friend bool operator==(const Resources &, const Resources &) = default;

  Resources &operator+=(const Resources &o) {
    Slots += o.Slots;
    Connections += o.Connections;
    Cpu = MilliCores{count(Cpu) + count(o.Cpu)};
    Memory = MebiBytes{count(Memory) + count(o.Memory)};
    Accelerators += o.Accelerators;
    return *this;
  }
  Resources &operator-=(const Resources &o) {
    Slots -= o.Slots;
    Connections -= o.Connections;
    Cpu = MilliCores{count(Cpu) - count(o.Cpu)};
    Memory = MebiBytes{count(Memory) - count(o.Memory)};
    Accelerators -= o.Accelerators;
    return *this;
  }
  /// Returns whether no amount exceeds the one in \p free.
  bool fitsIn(const Resources &free) const {
    return Slots <= free.Slots && Connections <= free.Connections &&
           count(Cpu) <= count(free.Cpu) &&
           count(Memory) <= count(free.Memory) &&
           Accelerators <= free.Accelerators;
  }
};

} // namespace endivedoor::base

#endif
