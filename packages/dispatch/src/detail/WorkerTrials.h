/// \file
/// Long-running tasks that are started on a worker whose runs keep failing.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_WORKERTRIALS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_WORKERTRIALS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/dispatch/TaskWorker.h"

#include <algorithm>
#include <map>

namespace endivedoor::dispatch::detail {

/// A task that has run for so long on trial has passed. Callers count a task as
/// lost once a worker has had room for it for 3 s.
constexpr std::chrono::milliseconds TrialTime{1000};
/// How long a worker gets no long-running task after one that failed there on
/// trial; doubles with each further one, up to MaxTrialPause.
constexpr std::chrono::milliseconds MinTrialPause{1000};
constexpr std::chrono::milliseconds MaxTrialPause{4000};
/// Maximum number of tasks on trial.
constexpr std::size_t MaxTrials = 4;

/// Load pattern: a few tasks that fail by their own fault make a sound worker
/// look like one that fails everything, while it has room for several tasks
/// that have waited for long. One is tried at once, and two more for each that
/// the worker lists as running, until MaxTrials or half of the worker are on
/// trial. Once one has failed, they are tried one at a time, with a pause after
/// each failure.
class WorkerTrials {
public:
  /// Returns whether one more task may be started on trial.
  ///
  /// \param capacity of the worker, in thousandths of a core.
  bool mayStart(std::int64_t capacity, base::TimePoint now) const {
    std::int64_t cpu = 0;
    std::size_t young = 0, unlisted = 0;
    for (const auto &[id, it] : Runs)
      if (now - it.Started < TrialTime) {
        cpu += it.Cpu;
        ++young;
        unlisted += !it.Listed || HasFailed;
      }
    return now >= NotBefore && unlisted < Limit && young < MaxTrials &&
           2 * cpu < capacity;
  }
  /// Starts none before \p time.
  void pauseUntil(base::TimePoint time) {
    NotBefore = std::max(NotBefore, time);
  }
  void onStarted(const RunId &run, std::int64_t cpu, base::TimePoint now) {
    Runs[run] = {now, cpu, false};
  }
  void onListed(const RunId &run) {
    auto it = Runs.find(run);
    if (it == Runs.end() || it->second.Listed)
      return;
    it->second.Listed = true;
    Limit += !HasFailed;
  }
  void onFailed(const RunId &run, base::TimePoint now) {
    if (Runs.erase(run) == 0)
      return;
    HasFailed = true;
    Limit = 1;
    // Tasks that were tried together fail together; they count once.
    if (now < NotBefore)
      return;
    pauseUntil(now + Pause);
    Pause = std::min<base::Duration>(2 * Pause, MaxTrialPause);
  }
  /// The run has ended otherwise.
  void onEnded(const RunId &run) { Runs.erase(run); }

private:
  struct Trial {
    base::TimePoint Started;
    std::int64_t Cpu = 0;
    bool Listed = false;
  };

  std::map<RunId, Trial> Runs;
  /// How many may be on trial that the worker has not listed yet.
  std::size_t Limit = 1;
  bool HasFailed = false;
  base::TimePoint NotBefore;
  base::Duration Pause = MinTrialPause;
};

} // namespace endivedoor::dispatch::detail

#endif
