/// \file
/// History of the workload mix on each worker.
#ifndef ENDIVEDOOR_POLICY_DETAIL_HISTORY_H
#define ENDIVEDOOR_POLICY_DETAIL_HISTORY_H

#include "detail/Interner.h"

#include "endivedoor/base/Clock.h"

#include <vector>

namespace endivedoor::policy::detail {

/// Number of running tasks of one class, reduced by throttling: a task
/// throttled by 30% counts as 0.7.
struct ClassAmount {
  Index Class = 0;
  double Amount = 0;
};
using WorkloadMix = std::vector<ClassAmount>;

/// Returns the amount of a class, 0 if it is absent.
double amountOf(const WorkloadMix &mix, Index taskClass);
void addAmount(WorkloadMix &mix, Index taskClass, double delta);

/// Current workload mix of each worker and its changes over the last minute.
class History {
public:
  /// Records a change of a worker's workload mix.
  void change(Index worker, Index taskClass, double delta, base::TimePoint now);
  const WorkloadMix &current(Index worker);
  /// Returns a version number that increases with every change on the worker.
  std::uint64_t version(Index worker) { return record(worker).Version; }
  /// Writes the workload mix at time \p t to \p out.
  ///
  /// \returns false if \p t is older than the retained history.
  /// Cost: linear in the number of changes since \p t.
  bool at(Index worker, base::TimePoint t, WorkloadMix &out);

private:
  struct Change {
    base::TimePoint At;
    Index Class;
    double Delta;
  };
  struct WorkerHistory {
    WorkloadMix Current;
    std::vector<Change> Changes;
    /// Changes up to this time have been pruned.
    base::TimePoint PrunedUntil{};
    std::uint64_t Version = 0;
  };
  WorkerHistory &record(Index worker);

  std::vector<WorkerHistory> Workers;
};

} // namespace endivedoor::policy::detail

#endif
