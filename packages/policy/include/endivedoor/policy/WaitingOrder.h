/// \file
/// Order in which waiting work gets capacity.
///
/// Load pattern: a third of the workers is lost, and hundreds of long-running
/// tasks restart at once while short jobs with an objective of 1.5 to 2 s keep
/// arriving. There is less capacity than work for some seconds.
#ifndef ENDIVEDOOR_POLICY_WAITINGORDER_H
#define ENDIVEDOOR_POLICY_WAITINGORDER_H

#include <chrono>
#include <cstdint>
#include <tuple>

namespace endivedoor::policy {

/// The waiting tasks of one step that is ready to start.
struct WaitingWork {
  /// How long the tasks have waited since the step became ready or lost a run.
  std::chrono::nanoseconds Waited{0};
  /// Time from the job's acceptance to its deadline. For a long-running step,
  /// the time within which a lost task is to run again.
  std::chrono::nanoseconds Objective{0};
  /// Time that is left until the deadline; negative once it has passed.
  std::chrono::nanoseconds TimeLeft{0};
  /// Expected run time of the longest chain of steps from this one to the end
  /// of the job; 0 for a long-running step.
  std::chrono::nanoseconds RemainingPath{0};
  /// Priority of the queue; 0 is the highest.
  std::int32_t Priority = 0;
  /// CPU of the waiting tasks, in thousandths of a core.
  std::int64_t WaitingCpu = 0;
};

/// How work that can still be in time is ordered.
enum class WaitingRule {
  /// Long-running steps, then queue priority, then deadline; late work keeps
  /// its place. Long-running steps are not held back for short tasks.
  Priority,
  LeastLaxity,
  EarliestDeadline,
  /// Jobs in time for each unit of CPU time that they still need.
  ValueDensity
};

enum class Urgency {
  /// Has waited for AgingFactor times its objective.
  Overdue,
  InTime,
  /// Ends after its deadline even if it starts now.
  Late
};

/// Multiple of its objective after which waiting work goes first.
constexpr std::int64_t AgingFactor = 3;
/// Work whose laxity differs by less than this is equally urgent. A short job
/// of 0.8 s can spare 650 ms; finer steps make jobs overtake each other until
/// none is in time (docs/policy.md).
constexpr std::chrono::milliseconds LaxityGranularity{500};

/// Urgency, laxity or its equivalent, priority, remaining path, time left.
/// Smaller keys go first.
using WaitingKey =
    std::tuple<Urgency, std::int64_t, std::int32_t, std::chrono::nanoseconds,
               std::chrono::nanoseconds>;

Urgency urgencyOf(const WaitingWork &work);

WaitingKey waitingKey(const WaitingWork &work,
                      WaitingRule rule = WaitingRule::LeastLaxity);

} // namespace endivedoor::policy

#endif
