// Copies of running tasks. Load pattern: a few slow workers keep one task of a
// wide step for several times as long as the others take, while capacity is
// free elsewhere.
#include "endivedoor/policy/Copies.h"

#include "detail/Placement.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using base::EventCode;
using namespace std::chrono_literals;

static bool mayCopy(const model::StepSpec &spec) {
  return spec.Speculative && !spec.LongRunning && !spec.Filler && !spec.Gang;
}

/// Returns whether a pending task waits that this shard could run.
static bool hasWaitingTasks(const ShardState &shard) {
  return std::any_of(
      shard.LiveJobs.begin(), shard.LiveJobs.end(), [](const JobEntry *job) {
        return job->isLive() &&
               std::any_of(job->Occurrences.begin(), job->Occurrences.end(),
                           [](const auto &o) {
                             return std::any_of(o.second.Steps.begin(),
                                                o.second.Steps.end(),
                                                [](const StepEntry &it) {
                                                  return it.WaitingCount > 0 &&
                                                         it.UnservedSince;
                                                });
                           });
      });
}

void ShardState::copyStragglers(TimePoint now) {
  if (hasWaitingTasks(*this) || !Reservations.empty())
    return;
  for (JobEntry *job : LiveJobs) {
    if (!job->isLive() || job->RunCount == 0)
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t s = 0; s < o.Steps.size(); ++s) {
        const model::StepSpec &spec = job->Job.Graph.Steps[s];
        if (!mayCopy(spec) || o.Steps[s].RunCount == 0)
          continue;
        auto step = static_cast<std::int32_t>(s);
        policy::ProgramKey program{job->Job.Queue, step, spec.Image};
        for (std::int32_t i = 0; i < spec.Count; ++i) {
          TaskEntry &task = o.Steps[s].Tasks[static_cast<std::size_t>(i)];
          // What short tasks are expected to need is kept for them.
          if (StartBudget == 0 || count(spec.Size.Cpu) > LongRunningBudget)
            return;
          if (!task.isPending() || task.isSuspect() || task.Copied ||
              task.Runs.size() != 1)
            continue;
          const Run &run = task.Runs.front();
          if (run.Phase != RunPhase::Running ||
              !policy::isStraggler(LearnedTimes, program, now - run.Started))
            continue;
          if (!isWithinLimit(*job, spec, 1, now))
            continue;
          WorkerState *worker =
              chooseWorker(*this, *job, spec, runsByWorker(o.Steps[s]), now,
                           {.Excluded = run.Worker});
          if (!worker)
            continue;
          TaskKey key{job->Job.Id, number, step, i};
          std::int64_t copy = nextRun(*job, task, Term);
          Events.emit(EventCode::RunCopied,
                      {{"task", taskText(key)},
                       {"run", std::to_string(run.Number)},
                       {"worker", run.Worker->Profile.Id.str()},
                       {"ms", std::to_string((now - run.Started) / 1ms)},
                       {"copy", std::to_string(copy)}});
          task.Copied = true;
          CurrentUrgency = policy::Urgency::InTime;
          startTask(*job, key, task, *worker, now, copy);
          LongRunningBudget -= count(spec.Size.Cpu);
          --StartBudget;
        }
      }
  }
}

} // namespace endivedoor::dispatch::detail
