/// \file
/// What ran on each worker when.
#ifndef ENDIVEDOOR_POLICY_DETAIL_HISTORY_H
#define ENDIVEDOOR_POLICY_DETAIL_HISTORY_H

#include "detail/Interner.h"

#include "endivedoor/base/Clock.h"

#include <vector>

namespace endivedoor::policy::detail {

/// Running tasks of one class, less what is throttled: a task throttled by 30%
/// counts 0.7.
struct ClassAmount {
  Index Class = 0;
  double Amount = 0;
};
using WorkloadMix = std::vector<ClassAmount>;

/// Returns the amount of a class, 0 if it is absent.
double amountOf(const WorkloadMix &mix, Index taskClass);
void addAmount(WorkloadMix &mix, Index taskClass, double delta);

/// Compositions of all workers with their changes of the last minute.
class History {
public:
  /// Records a change of a worker's composition.
  void change(Index worker, Index taskClass, double delta, base::TimePoint now);
  const WorkloadMix &current(Index worker);
  /// Returns a number that grows with every change of the worker.
  std::uint64_t version(Index worker) { return record(worker).Version; }
  /// Writes the composition at time \p t to \p out.
  ///
  /// \returns false if \p t is older than what is remembered.
  /// Cost: linear in the changes since \p t.
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
    /// Changes up to this time are forgotten.
    base::TimePoint PrunedUntil{};
    std::uint64_t Version = 0;
  };
  WorkerHistory &record(Index worker);

  std::vector<WorkerHistory> Workers;
};

} // namespace endivedoor::policy::detail

#endif
