/// \file
/// The clock interface that all time-dependent code takes as a parameter.
#ifndef ENDIVEDOOR_BASE_CLOCK_H
#define ENDIVEDOOR_BASE_CLOCK_H

#include <chrono>

namespace endivedoor::base {

using Duration = std::chrono::nanoseconds;
/// A point on the monotonic clock of this process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// A point on the host's wall clock. For display and reports only; never for
/// leases.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time. Thread-safe.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the monotonic time of this process.
  virtual TimePoint now() const = 0;
  /// Returns the wall time of this host.
  virtual WallTime wallNow() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// Like SystemClock, but its monotonic time includes the time for which the
/// host was suspended. For leases and permits, which must expire during a
/// suspension.
class BootClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
};

/// A clock that moves only when advance() is called, for tests and experiments.
/// Not thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now; }
  WallTime wallNow() const override { return WallTime(Now.time_since_epoch()); }
  /// Moves the clock forward by \p d.
  void advance(Duration d) { Now += d; }

private:
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace endivedoor::base

#endif
