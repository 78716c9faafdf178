/// \file
/// Run times of programs, learned from ended runs.
///
/// Load pattern: declared run times are wrong by half or more, in either
/// direction, so that jobs count as late or as in time without reason, and
/// expected ends of runs mean nothing.
#ifndef ENDIVEDOOR_POLICY_RUNTIMES_H
#define ENDIVEDOOR_POLICY_RUNTIMES_H

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endivedoor::policy {

/// Tasks with similar run times, by names that the owner keeps.
struct ProgramRef {
  std::string_view Queue;
  std::int32_t Step = 0;
  std::string_view Image;
  friend auto operator<=>(const ProgramRef &, const ProgramRef &) = default;
};

/// Tasks with similar run times.
struct ProgramKey {
  std::string Queue;
  std::int32_t Step = 0;
  std::string Image;
  operator ProgramRef() const { return {Queue, Step, Image}; }
  friend auto operator<=>(const ProgramKey &, const ProgramKey &) = default;
};

/// Decayed histograms of run times. Not stored: a new owner learns them again
/// within seconds.
class RunTimes {
public:
  /// Programs that are kept; the one that has not ended for longest is dropped.
  /// One takes about 600 bytes.
  static constexpr std::size_t MaxPrograms = 512;

  void record(const ProgramKey &program, std::chrono::nanoseconds time);
  /// Returns the run time that a fraction \p q of the runs does not exceed, or
  /// nothing as long as too few have ended.
  ///
  /// \param q from 0 to 1.
  std::optional<std::chrono::nanoseconds> quantile(ProgramRef program,
                                                   double q) const;
  /// Changes whenever a quantile may change.
  std::uint64_t revision() const { return Records; }
  std::size_t size() const { return Programs.size(); }

private:
  static constexpr std::size_t BucketCount = 64;
  struct Histogram {
    std::array<double, BucketCount> Weights{};
    double Sum = 0;
    std::int64_t Samples = 0;
    /// Number of the record that changed it last.
    std::uint64_t Latest = 0;
  };

  struct Less {
    using is_transparent = void;
    bool operator()(ProgramRef a, ProgramRef b) const { return a < b; }
  };

  std::map<ProgramKey, Histogram, Less> Programs;
  std::uint64_t Records = 0;
};

/// Returns the fraction of runs within the expected time of the slowest of \p
/// tasks runs.
constexpr double slowestOf(std::int32_t tasks) {
  constexpr double max = 0.95;
  double q = static_cast<double>(tasks) / (static_cast<double>(tasks) + 1);
  return q < max ? q : max;
}

} // namespace endivedoor::policy

#endif
