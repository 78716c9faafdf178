// Tasks that crash their workers. A crash ends all runs of a worker, so each
// task there becomes a suspect. Suspects are started on different workers,
// which makes the next crash name one of them. Load pattern: a few tasks of a
// full shard crash every worker that starts them.
#include "detail/ShardState.h"

#include <algorithm>
#include <utility>

namespace endivedoor::dispatch::detail {

using base::EventCode;
using namespace std::chrono_literals;

/// Crashes after which a task may be given up.
constexpr std::size_t MinCrashes = 2;
/// Crashes after which a task that was a worker's only suspect is given up even
/// if other tasks were started there later.
constexpr std::size_t CrashesOfOnlySuspect = 3;
/// Crashes after which a task is given up in any case. A task may be started
/// twice after the third; one start is left for a first crash that no owner
/// has seen.
constexpr std::size_t MaxCrashes = 4;
/// The same if fewer than MinCrashes of the runs were confirmed.
constexpr std::size_t MaxUnconfirmedCrashes = 5;
/// A run that is still there after this time clears its task, unless earlier
/// runs took longer to crash.
constexpr auto SurvivalTime = 5s;
/// Factor of the longest time to a crash after which a run clears its task.
constexpr int SurvivalFactor = 2;
/// Longest time to a crash that counts; a task that ran for longer was most
/// likely innocent.
constexpr auto MaxTimeToCrash = 10s;

/// Returns whether the run may have been on the worker when it crashed. A start
/// that was sent after the worker had fallen silent did not reach it.
static bool wasPresent(const WorkerState &worker, const Run &run) {
  return !worker.SilentSince || run.Started <= *worker.SilentSince;
}

/// Returns the key that all members of a gang share: they are started together,
/// so a crash says the same of each.
static TaskKey suspectKey(const JobEntry &job, TaskKey key) {
  if (stepOf(job, key).Gang)
    key.Index = -1;
  return key;
}

static bool crashesWorkers(const CrashRecord &crashes, CrashEvidence evidence) {
  std::size_t n = crashes.Runs.size();
  // Starts that may not have reached a worker do not suffice.
  bool confirmed = static_cast<std::size_t>(crashes.Confirmed) >= MinCrashes;
  if (n >= MaxCrashes)
    return confirmed || n >= MaxUnconfirmedCrashes;
  return confirmed && evidence.OnlySuspect &&
         (n >= CrashesOfOnlySuspect ||
          static_cast<std::size_t>(crashes.LatestStarts) >= MinCrashes);
}

void ShardState::recordCrash(WorkerState &worker, bool sameId, TimePoint now) {
  // A worker that was leaving has ended as planned.
  if (worker.Profile.Draining)
    return;
  struct LostRun {
    JobEntry *Job;
    TaskKey Key;
    TaskEntry *Task;
    Run *Entry;
  };
  std::vector<LostRun> lost;
  std::set<TaskKey> suspects;
  TimePoint latest = TimePoint::min();
  for (const auto &[id, held] : worker.Runs) {
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(id.Task, &job);
    if (!task)
      continue;
    for (Run &it : task->Runs) {
      if (it.Number != id.Number || it.Worker != &worker ||
          !wasPresent(worker, it))
        continue;
      lost.push_back({job, id.Task, task, &it});
      if (task->isSuspect())
        suspects.insert(suspectKey(*job, id.Task));
      if (!it.Adopted)
        latest = std::max(latest, it.Started);
    }
  }
  if (lost.empty())
    return;
  Events.emit(EventCode::WorkerCrashed,
              {{"worker", worker.Profile.Id.str()},
               {"runs", std::to_string(lost.size())},
               {"suspects", std::to_string(suspects.size())}});
  for (const LostRun &it : lost) {
    CrashEvidence evidence{!it.Entry->Adopted && it.Entry->Started == latest,
                           suspects.size() < 2};
    // A start without an answer may have reached the new incarnation instead;
    // its next list shows that.
    if (sameId && !it.Entry->Listed)
      it.Entry->PossibleCrash = evidence;
    else
      countCrash(*it.Job, it.Key, *it.Task, *it.Entry, evidence, now);
  }
}

void ShardState::countCrash(JobEntry &job, const TaskKey &key, TaskEntry &task,
                            const Run &run, CrashEvidence evidence,
                            TimePoint now) {
  if (!job.isLive() || task.Done)
    return;
  CrashRecord &crashes = task.Crashes;
  if (std::find(crashes.Runs.begin(), crashes.Runs.end(), run.Number) !=
      crashes.Runs.end())
    return;
  auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(
      run.Worker->SilentSince.value_or(now) - run.Started);
  crashes.Runs.push_back(run.Number);
  crashes.AnnouncedRun = 0;
  crashes.LatestStarts += evidence.LatestStart;
  crashes.Confirmed += run.Confirmed;
  crashes.LongestRun =
      std::max(crashes.LongestRun,
               std::min<std::chrono::milliseconds>(ran, MaxTimeToCrash));
  Events.emit(EventCode::TaskCrashed,
              {{"task", taskText(key)},
               {"run", std::to_string(run.Number)},
               {"worker", run.Worker->Profile.Id.str()},
               {"crashes", std::to_string(crashes.Runs.size())},
               {"latestStart", evidence.LatestStart ? "yes" : "no"},
               {"onlySuspect", evidence.OnlySuspect ? "yes" : "no"},
               {"ranMs", std::to_string(ran / 1ms)}});
  if (crashesWorkers(crashes, evidence))
    giveUp(job, key, task);
  markDirty(job);
}

void ShardState::announceLoss(const WorkerState &worker) {
  if (worker.Profile.Draining)
    return;
  for (const auto &[id, held] : worker.Runs) {
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(id.Task, &job);
    if (!task || !job->isLive() || task->Done)
      continue;
    for (const Run &it : task->Runs)
      if (it.Number == id.Number && it.Worker == &worker &&
          wasPresent(worker, it) && task->Crashes.AnnouncedRun != it.Number) {
        task->Crashes.AnnouncedRun = it.Number;
        markDirty(*job);
      }
  }
}

void ShardState::countUnresolvedRun(JobEntry &job, const TaskKey &key,
                                    TaskEntry &task) {
  std::int64_t lost = std::exchange(task.UnresolvedRun, 0);
  if (lost == 0)
    return;
  CrashRecord &crashes = task.Crashes;
  crashes.Runs.push_back(lost);
  crashes.AnnouncedRun = 0;
  Events.emit(EventCode::TaskCrashed,
              {{"task", taskText(key)},
               {"run", std::to_string(lost)},
               {"worker", "unknown"},
               {"crashes", std::to_string(crashes.Runs.size())}});
  if (crashesWorkers(crashes, {}))
    giveUp(job, key, task);
  markDirty(job);
}

bool ShardState::countUnresolvedRuns(JobEntry &job) {
  bool any = false;
  for (auto &[number, o] : job.Occurrences)
    for (std::int32_t step = 0; step < std::ssize(o.Steps); ++step) {
      std::vector<TaskEntry> &tasks =
          o.Steps[static_cast<std::size_t>(step)].Tasks;
      for (std::int32_t i = 0; i < std::ssize(tasks); ++i) {
        TaskEntry &task = tasks[static_cast<std::size_t>(i)];
        TaskKey key{job.Job.Id, number, step, i};
        if (task.UnresolvedRun == 0 || !task.isWaiting() ||
            HeldTasks.contains(key))
          continue;
        countUnresolvedRun(job, key, task);
        any = true;
      }
    }
  return any;
}

bool ShardState::announceRun(JobEntry &job, const TaskKey &key, TaskEntry &task,
                             std::int64_t run) {
  if (!task.isSuspect() && task.UnresolvedRun == 0)
    return true;
  if (!job.isLive())
    return false;
  CrashRecord &crashes = task.Crashes;
  if (task.UnresolvedRun != 0)
    countUnresolvedRun(job, key, task);
  else if (crashes.AnnouncedRun == run)
    return task.AnnouncedVersion <= job.StoredVersion;
  crashes.AnnouncedRun = run;
  markDirty(job);
  task.AnnouncedVersion = job.Version;
  return false;
}

void ShardState::withdrawAnnouncement(JobEntry &job, TaskEntry &task) {
  // An unresolved run of an earlier owner stays announced.
  if (task.Crashes.AnnouncedRun == 0 || task.UnresolvedRun != 0 ||
      !task.Runs.empty())
    return;
  task.Crashes.AnnouncedRun = 0;
  if (job.isLive())
    markDirty(job);
}

void ShardState::giveUp(JobEntry &job, const TaskKey &key,
                        const TaskEntry &task) {
  Events.emit(EventCode::JobGivenUp,
              {{"job", formatJobNumber(key.Job)},
               {"task", taskText(key)},
               {"crashes", std::to_string(task.Crashes.Runs.size())}});
  finishJob(job, model::JobState::Failed);
  if (job.HomeShard)
    job.DelegatedShards.try_emplace(*job.HomeShard, false);
  queueCancelForwards(job);
}

void ShardState::clearSurvivors() {
  std::int64_t suspects = 0;
  for (auto &[id, w] : Workers)
    for (auto it = w->SuspectRuns.begin(); it != w->SuspectRuns.end();) {
      JobEntry *job = nullptr;
      TaskEntry *task = findTask(it->Task, &job);
      bool survived = false;
      for (std::size_t i = 0; task && i < task->Runs.size(); ++i) {
        const Run &run = task->Runs[i];
        // Silence may be the beginning of a crash.
        survived |=
            run.Number == it->Number && run.Phase == RunPhase::Running &&
            !w->SilentSince && w->Clock &&
            w->Clock->ReceivedAt - run.Started >
                std::max<base::Duration>(
                    SurvivalTime, SurvivalFactor * task->Crashes.LongestRun);
      }
      if (!survived) {
        ++suspects;
        ++it;
        continue;
      }
      Events.emit(EventCode::SuspectCleared, {{"task", taskText(it->Task)}});
      task->Crashes = {};
      if (job->isLive())
        markDirty(*job);
      it = w->SuspectRuns.erase(it);
    }
  MetricsRegistry.setSuspectRuns(static_cast<std::size_t>(suspects));
}

} // namespace endivedoor::dispatch::detail

namespace endivedoor::dispatch {

void Shard::withdrawAnnouncements() {
  for (detail::JobEntry *job : State->LiveJobs)
    for (auto &[number, o] : job->Occurrences)
      for (detail::StepEntry &step : o.Steps)
        for (detail::TaskEntry &it : step.Tasks)
          State->withdrawAnnouncement(*job, it);
}

} // namespace endivedoor::dispatch
