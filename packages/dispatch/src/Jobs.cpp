#include "detail/Interference.h"
#include "detail/Placement.h"
#include "detail/Rooms.h"
#include "detail/Routing.h"

#include <algorithm>

namespace endivedoor::dispatch {

namespace detail {

using base::EventCode;
using model::JobNumber;
using model::JobState;

std::string taskText(const TaskKey &key) {
  return formatJobNumber(key.Job) + "." + std::to_string(key.Occurrence) + "." +
         std::to_string(key.Step) + "." + std::to_string(key.Index);
}

const model::StepSpec &stepOf(const JobEntry &job, const TaskKey &key) {
  return job.Job.Graph.Steps[static_cast<std::size_t>(key.Step)];
}

JobEntry *ShardState::findJob(JobNumber job) {
  auto it = Jobs.find(job);
  return it == Jobs.end() ? nullptr : it->second.get();
}

const JobEntry *ShardState::findJob(JobNumber job) const {
  auto it = Jobs.find(job);
  return it == Jobs.end() ? nullptr : it->second.get();
}

TaskEntry *ShardState::findTask(const TaskKey &key, JobEntry **job) {
  JobEntry *found = findJob(key.Job);
  if (job)
    *job = found;
  return found ? findTask(*found, key) : nullptr;
}

TaskEntry *ShardState::findTask(JobEntry &job, const TaskKey &key) {
  if (key.Step < 0 || key.Index < 0)
    return nullptr;
  auto it = job.Occurrences.find(key.Occurrence);
  if (it == job.Occurrences.end())
    return nullptr;
  auto step = static_cast<std::size_t>(key.Step);
  auto index = static_cast<std::size_t>(key.Index);
  std::vector<StepEntry> &steps = it->second.Steps;
  if (step >= steps.size() || index >= steps[step].Tasks.size())
    return nullptr;
  return &steps[step].Tasks[index];
}

TaskEntry *ShardState::findReportedTask(const TaskKey &key, JobEntry **job,
                                        TimePoint now) {
  JobEntry *found = findJob(key.Job);
  if (found && found->isLive() && found->Inherited && key.Occurrence >= 0 &&
      key.Occurrence < found->Job.Graph.Occurrences)
    openOccurrence(*found, key.Occurrence, now);
  return findTask(key, job);
}

Occurrence &ShardState::openOccurrence(JobEntry &job, std::int32_t number,
                                       TimePoint now) {
  auto [it, added] = job.Occurrences.try_emplace(number);
  Occurrence &o = it->second;
  if (!added)
    return o;
  o.Number = number;
  o.Created = now;
  for (const model::StepSpec &step : job.Job.Graph.Steps) {
    StepEntry entry;
    entry.Tasks.resize(static_cast<std::size_t>(step.Count));
    entry.WaitingCount = step.Count;
    o.Steps.push_back(std::move(entry));
  }
  return o;
}

void ShardState::markDirty(JobEntry &job) {
  ++job.Version;
  if (job.WriteInFlight || job.Version != job.StoredVersion + 1)
    return;
  Dirty.push_back(job.Job.Id);
}

void ShardState::finishJob(JobEntry &job, JobState state) {
  if (!job.isLive())
    return;
  job.State = state;
  Events.emit(EventCode::JobEnded,
              {{"job", formatJobNumber(job.Job.Id)},
               {"state", std::to_string(static_cast<int>(state))},
               {"shard", std::to_string(Number)}});
}

void ShardState::checkComplete(JobEntry &job, Occurrence &o) {
  if (o.Complete || !job.isLive())
    return;
  for (std::size_t i = 0; i < o.Steps.size(); ++i)
    if (job.Job.Graph.Steps[i].LongRunning ||
        o.Steps[i].DoneCount < job.Job.Graph.Steps[i].Count)
      return;
  o.Complete = true;
  std::int32_t due = std::max(1, job.Job.Graph.Occurrences);
  std::int32_t complete = 0;
  for (const auto &[number, it] : job.Occurrences)
    complete += it.Complete;
  if (complete >= due)
    finishJob(job, JobState::Succeeded);
}

/// Number of endings that a task keeps; long-running tasks may have many.
constexpr std::size_t MaxEndings = 8;

void TaskEntry::addEnding(std::int64_t run, const char *evidence) {
  if (Endings.size() == MaxEndings)
    Endings.erase(Endings.begin());
  Endings.push_back({run, evidence});
}

void ShardState::noteStored(const JobEntry &job, TimePoint now) {
  for (auto &[id, w] : Workers)
    for (UnacknowledgedEnd &it : w->UnacknowledgedEnds)
      if (it.Task.Job == job.Job.Id && it.Version <= job.StoredVersion &&
          !it.StoredAt)
        it.StoredAt = now;
}

void ShardState::removeRun(JobEntry &job, const TaskKey &key, std::int64_t run,
                           const base::WorkerId &endedOn,
                           const char *evidence) {
  TaskEntry *task = findTask(key);
  if (!task)
    return;
  auto it =
      std::find_if(task->Runs.begin(), task->Runs.end(), [&](const Run &r) {
        return r.Number == run && r.Worker->Profile.Id == endedOn;
      });
  if (it == task->Runs.end())
    return;
  WorkerState &worker = *it->Worker;
  release(worker, {key, run});
  task->Runs.erase(it);
  worker.Trials.onEnded({key, run});
  task->addEnding(run, evidence);
  // What a short run leaves may complete the room of a reservation.
  bool isRoom = stepOf(job, key).LongRunning ||
                std::any_of(worker.Held.begin(), worker.Held.end(),
                            [&](const WorkerReservation &held) {
                              return held.LongRunning &&
                                     hasRoomFor(worker, held.Capacity.Size);
                            });
  RoomOpened |= isRoom && !worker.Profile.Draining && areRoomsWanted();
  if (stepOf(job, key).LongRunning)
    Events.emit(EventCode::RoomOpened,
                {{"worker", worker.Profile.Id.str()},
                 {"task", taskText(key)},
                 {"run", std::to_string(run)},
                 {"cpu", std::to_string(count(
                             roomBesideLongRunning(worker, PlannedAt).Cpu))},
                 {"draining", worker.Profile.Draining ? "yes" : "no"},
                 {"how", evidence}});
  if (task->Crashes.AnnouncedRun == run) {
    task->Crashes.AnnouncedRun = 0;
    if (job.isLive())
      markDirty(job);
  }
  --job.RunCount;
  StepEntry &entry =
      job.Occurrences[key.Occurrence].Steps[static_cast<std::size_t>(key.Step)];
  --entry.RunCount;
  if (task->Runs.empty() && task->isPending())
    ++entry.WaitingCount;
}

/// Returns whether the cancellation has been stored for all other shards that
/// run tasks of the job.
static bool isForwarded(const JobEntry &job) {
  return std::all_of(job.DelegatedShards.begin(), job.DelegatedShards.end(),
                     [](const auto &shard) { return shard.second; });
}

void ShardState::removeEndedJobs() {
  for (JobEntry *job : LiveJobs)
    if (job->State == JobState::Cancelled && job->RunCount == 0 &&
        !job->RemovalDue && isForwarded(*job)) {
      job->RemovalDue = true;
      markDirty(*job);
    }
  std::vector<JobNumber> ended;
  std::erase_if(LiveJobs, [&](const JobEntry *job) {
    bool recorded = job->State != JobState::Cancelled || job->RemovalDue;
    bool removable = !job->isLive() && recorded && job->RunCount == 0 &&
                     job->StoredVersion == job->Version;
    if (removable)
      ended.push_back(job->Job.Id);
    return removable;
  });
  for (JobNumber it : ended)
    Jobs.erase(it);
}

bool ShardState::hasUnverifiedWorkers() const {
  return RosterUnknownUntil ||
         std::any_of(Workers.begin(), Workers.end(), [](const auto &it) {
           return it.second->UnverifiedUntil.has_value();
         });
}

bool ShardState::mayRunAnyTask() const {
  return RosterUnknownUntil ||
         std::any_of(Workers.begin(), Workers.end(), [&](const auto &it) {
           const WorkerState &w = *it.second;
           return w.UnverifiedUntil &&
                  (!w.PossibleTasks || PlannedAt < w.TasksKnownAt);
         });
}

bool ShardState::isAnyTaskHeld(const JobEntry &job) const {
  TaskKey first{job.Job.Id, 0, 0, 0};
  auto held = HeldTasks.lower_bound(first);
  if (held != HeldTasks.end() && held->Job == job.Job.Id)
    return true;
  for (auto it = LateStarts.lower_bound(first);
       it != LateStarts.end() && it->first.Job == job.Job.Id; ++it)
    if (hasLateStart(it->first))
      return true;
  return false;
}

JobProgress progressOf(const JobEntry &job) {
  JobProgress progress;
  for (const auto &[number, o] : job.Occurrences) {
    OccurrenceProgress record;
    record.Number = number;
    record.Complete = o.Complete;
    for (std::size_t s = 0; !o.Complete && s < o.Steps.size(); ++s)
      for (std::size_t i = 0; i < o.Steps[s].Tasks.size(); ++i) {
        const TaskEntry &t = o.Steps[s].Tasks[i];
        if (t.Done || t.DelegatedTo || !t.FailedRuns.empty() || t.isSuspect() ||
            t.Crashes.AnnouncedRun > 0 || !t.Checkpoint.empty())
          record.Tasks.push_back(
              {static_cast<std::int32_t>(s), static_cast<std::int32_t>(i),
               t.Done, t.FailedRuns, t.Done ? "" : t.Checkpoint, t.DelegatedTo,
               t.Done ? CrashRecord{} : t.Crashes});
      }
    progress.Occurrences.push_back(std::move(record));
  }
  return progress;
}

void ShardState::markStarted(JobEntry &job, TimePoint now) {
  if (job.Started)
    return;
  job.Started = true;
  // When an inherited job was accepted is unknown, and so is the revision of
  // its index entry.
  if (job.Inherited)
    return;
  MetricsRegistry.observeFirstStart(now - job.Accepted);
  if (!job.IsPart)
    StartedUnmarked.push_back(job.Job.Id);
}

} // namespace detail

using detail::JobEntry;
using detail::Occurrence;
using detail::TaskEntry;
using model::JobNumber;
using model::JobState;

/// Marks all tasks that are not in the part as run by other shards.
static void limitToPart(detail::ShardState &s, JobEntry &job,
                        const JobPart &part) {
  std::set<TaskPosition> &own = job.PartTasks;
  for (const TaskRef &it : part.Tasks) {
    own.emplace(it.Step, it.Index);
    if (TaskEntry *task = s.findTask({job.Job.Id, 0, it.Step, it.Index}))
      task->Crashes = it.Crashes;
  }
  job.IsPart = true;
  job.HomeShard = part.HomeShard;
  job.EarlierLastRun = part.LastRun;
  for (auto &[number, o] : job.Occurrences)
    for (std::int32_t step = 0; step < std::ssize(o.Steps); ++step)
      for (std::int32_t i = 0; i < job.Job.Graph.Steps[step].Count; ++i)
        if (!own.contains({step, i}))
          s.markRemote(job, {job.Job.Id, number, step, i});
}

/// Adds the tasks to a part of a job that another shard has delegated since.
/// Tasks that this shard has had before may be on their way to a third one.
static void extendPart(detail::ShardState &s, JobEntry &job,
                       const JobPart &part, base::TimePoint now) {
  JobPart added = part;
  std::erase_if(added.Tasks, [&](const TaskRef &it) {
    return !job.PartTasks.emplace(it.Step, it.Index).second;
  });
  if (added.Tasks.empty())
    return;
  job.EarlierLastRun = std::max(job.EarlierLastRun, part.LastRun);
  for (const TaskRef &it : added.Tasks) {
    model::TaskKey key{job.Job.Id, 0, it.Step, it.Index};
    if (TaskEntry *task = s.findTask(job, key)) {
      task->Crashes = it.Crashes;
      s.markLocal(job, key);
    }
  }
  s.inheritWait(job, added, now);
  s.onDelegated(job, added.Tasks);
}

void Shard::addJob(model::AcceptedJob job, std::int64_t revision,
                   bool inherited, base::TimePoint now, const JobPart *part) {
  detail::ShardState &s = *State;
  if (JobEntry *known = s.findJob(job.Id)) {
    if (part && known->IsPart)
      extendPart(s, *known, *part, now);
    return;
  }
  auto entry = std::make_unique<JobEntry>();
  entry->Accepted = now;
  entry->Inherited = inherited;
  entry->IndexRevision = revision;
  entry->Job = std::move(job);
  if (entry->Job.Graph.Occurrences == 0)
    s.openOccurrence(*entry, 0, now);
  s.LiveJobs.push_back(entry.get());
  JobNumber id = entry->Job.Id;
  JobEntry &added = *s.Jobs.emplace(id, std::move(entry)).first->second;
  if (part) {
    limitToPart(s, added, *part);
    if (!inherited)
      s.inheritWait(added, *part, now);
    s.onDelegated(added, part->Tasks);
  }
  if (auto early = s.CancelledEarly.extract(id))
    cancelJob(id, now, std::move(early.mapped()));
}

void Shard::restore(JobNumber job, const JobProgress &progress,
                    std::int64_t revision) {
  detail::ShardState &s = *State;
  JobEntry *entry = s.findJob(job);
  if (!entry)
    return;
  entry->ProgressRevision = revision;
  for (const OccurrenceProgress &from : progress.Occurrences) {
    Occurrence &o = s.openOccurrence(*entry, from.Number, entry->Accepted);
    o.Complete = from.Complete;
    for (const TaskProgress &it : from.Tasks) {
      TaskEntry *task = s.findTask({job, from.Number, it.Step, it.Index});
      if (!task)
        continue;
      detail::StepEntry &step = o.Steps[static_cast<std::size_t>(it.Step)];
      task->FailedRuns = it.FailedRuns;
      task->Crashes = it.Crashes;
      task->UnresolvedRun = it.Crashes.AnnouncedRun;
      task->LastRun = std::max(task->LastRun, it.Crashes.AnnouncedRun);
      for (std::int64_t run : it.FailedRuns) {
        task->LastRun = std::max(task->LastRun, run);
        task->addEnding(run, "failure in record");
      }
      for (std::int64_t run : it.Crashes.Runs) {
        task->LastRun = std::max(task->LastRun, run);
        task->addEnding(run, "crash in record");
      }
      task->Checkpoint = it.Checkpoint;
      if (it.Done && !task->Done) {
        task->Done = true;
        ++step.DoneCount;
        --step.WaitingCount;
      }
      if (it.DelegatedTo) {
        s.markRemote(*entry, {job, from.Number, it.Step, it.Index});
        task->DelegatedTo = it.DelegatedTo;
        entry->DelegatedShards.try_emplace(*it.DelegatedTo, false);
      }
    }
    if (from.Complete)
      o.Complete = true;
    else
      s.checkComplete(*entry, o);
  }
  if (!entry->isLive())
    s.markDirty(*entry);
  if (entry->State == JobState::Cancelled)
    s.queueCancelForwards(*entry);
}

void Shard::cancelJob(JobNumber job, base::TimePoint,
                      std::set<std::int32_t> shards) {
  JobEntry *entry = State->findJob(job);
  if (!entry) {
    State->CancelledEarly[job] = std::move(shards);
    return;
  }
  entry->CancelledShards.merge(shards);
  State->finishJob(*entry, JobState::Cancelled);
  State->queueCancelForwards(*entry);
}

std::vector<JobWrite> Shard::takeWrites(std::size_t limit) {
  detail::ShardState &s = *State;
  std::vector<JobWrite> writes;
  std::vector<JobNumber> deferred;
  while (!s.Dirty.empty() && writes.size() < limit) {
    JobEntry *job = s.findJob(s.Dirty.front());
    s.Dirty.pop_front();
    if (!job || job->WriteInFlight || job->Version == job->StoredVersion)
      continue;
    // The final record of a job that was given up replaces the records that
    // name its parts, so these get their cancellation first.
    if (job->State == JobState::Failed && !detail::isForwarded(*job)) {
      deferred.push_back(job->Job.Id);
      continue;
    }
    JobWrite write;
    write.Job = job->Job.Id;
    write.Version = job->Version;
    if (job->isLive()) {
      write.Revision = job->ProgressRevision;
      write.Progress = progressOf(*job);
    } else {
      write.Revision = job->IndexRevision;
      write.Final = job->State;
      write.Account = job->Job.Account;
    }
    job->WriteInFlight = true;
    writes.push_back(std::move(write));
  }
  s.Dirty.insert(s.Dirty.end(), deferred.begin(), deferred.end());
  return writes;
}

void Shard::onStored(const std::vector<JobWrite> &stored, base::TimePoint now) {
  detail::ShardState &s = *State;
  for (const JobWrite &it : stored) {
    JobEntry *job = s.findJob(it.Job);
    if (!job)
      continue;
    job->WriteInFlight = false;
    job->StoredVersion = it.Version;
    s.noteStored(*job, now);
    if (it.Final == JobState::Succeeded)
      s.MetricsRegistry.observeCompletion(now - job->Accepted);
    (it.Final ? job->IndexRevision : job->ProgressRevision) = it.Revision;
    if (job->Version != job->StoredVersion)
      s.Dirty.push_back(it.Job);
  }
}

void Shard::onNotStored(const std::vector<JobWrite> &writes) {
  detail::ShardState &s = *State;
  for (const JobWrite &it : writes) {
    JobEntry *job = s.findJob(it.Job);
    if (!job)
      continue;
    job->WriteInFlight = false;
    (it.Final ? job->IndexRevision : job->ProgressRevision) = it.Revision;
    s.Dirty.push_back(it.Job);
  }
}

void Shard::cancelFinished(JobNumber job) {
  if (JobEntry *entry = State->findJob(job))
    entry->State = JobState::Cancelled;
}

bool Shard::hasWrites() const {
  return !State->Dirty.empty() || !State->CancelForwards.empty();
}

policy::ColocationModel &Shard::colocationModel() { return State->Colocation; }

bool Shard::isLive(JobNumber job) const {
  const JobEntry *entry = State->findJob(job);
  return entry && entry->isLive();
}

std::size_t Shard::liveJobCount() const { return State->LiveJobs.size(); }

/// Subtracts the CPU demand of a job's waiting tasks from the headroom of their
/// kind.
static void subtractWaiting(const JobEntry &job, ShardLoad &load) {
  base::MilliCores &headroom = detail::headroomFor(load, job.Job.Graph);
  for (const auto &[number, o] : job.Occurrences)
    for (std::size_t i = 0; i < o.Steps.size(); ++i) {
      const model::StepSpec &step = job.Job.Graph.Steps[i];
      std::int64_t waiting = o.Steps[i].WaitingCount * count(step.Size.Cpu);
      headroom = base::MilliCores{count(headroom) - waiting};
      if (auto it = load.FillerCpu.find(step.Image);
          step.Filler && it != load.FillerCpu.end())
        it->second -= waiting;
    }
}

/// Returns the mean CPU demand of the running long-running tasks, or 1 if there
/// are none.
static std::int64_t meanLongRunningCpu(const detail::ShardState &s) {
  std::int64_t cpu = 0, tasks = 0;
  for (const auto &[id, w] : s.Workers)
    for (const auto &[run, held] : w->Runs)
      if (held.Step->LongRunning) {
        cpu += count(held.Step->Size.Cpu);
        ++tasks;
      }
  return tasks > 0 ? std::max<std::int64_t>(1, cpu / tasks) : 1;
}

/// Maximum number of rooms that a shard publishes for each service; more than
/// the tasks of most jobs.
constexpr std::size_t MaxPublishedRooms = 32;

/// Leaves the largest rooms of each service.
static void
limitRooms(std::map<std::string, std::vector<base::Resources>> &rooms) {
  for (auto &[service, free] : rooms) {
    std::erase_if(free, [](const base::Resources &it) {
      return count(it.Cpu) <= 0 || count(it.Memory) <= 0;
    });
    std::stable_sort(free.begin(), free.end(),
                     [](const base::Resources &a, const base::Resources &b) {
                       return count(a.Cpu) > count(b.Cpu);
                     });
    free.resize(std::min(free.size(), MaxPublishedRooms));
  }
}

ShardLoad Shard::load() const {
  ShardLoad load;
  std::int64_t forShort = 0, forLongRunning = 0, forFillers = 0;
  std::int64_t meanSize = meanLongRunningCpu(*State);
  for (const auto &[id, w] : State->Workers) {
    if (!w->isUsable() || State->ZonesOutOfService.contains(w->Profile.Zone))
      continue;
    std::int64_t capacity = count(w->Profile.Capacity.Cpu);
    // Runs beyond a capacity that has shrunk take nothing from other workers.
    auto atLeastZero = [](std::int64_t room) {
      return std::max<std::int64_t>(0, room);
    };
    forShort += atLeastZero(capacity - count(w->Used.Cpu));
    // Capacity that is left beside the long-running tasks of a worker only
    // counts in whole multiples of their mean size: less than one does not fit
    // another.
    forLongRunning +=
        atLeastZero(capacity - w->LongRunningCpu) / meanSize * meanSize;
    forFillers += atLeastZero(
        static_cast<std::int64_t>(detail::fillerCapacity(*w)) - w->FillerCpu);
  }
  load.ShortTaskHeadroom = base::MilliCores{forShort};
  load.LongRunningHeadroom = base::MilliCores{forLongRunning};
  load.FillerHeadroom = base::MilliCores{forFillers};
  load.FillerCpu = detail::suitableFillerCpu(*State, State->PlannedAt);
  detail::RoomPlan plan = detail::planRooms(*State, State->PlannedAt);
  load.Requests = State->roomRequests(plan.Unplaced, State->PlannedAt);
  State->AskedSteps.clear();
  for (const RoomRequest &it : load.Requests)
    State->AskedSteps.emplace(it.Job, it.Step);
  // Tasks that are added to an inherited part must wait until all workers have
  // listed their runs.
  if (!State->mayRunAnyTask())
    load.LongRunningRooms = std::move(plan.Free);
  limitRooms(load.LongRunningRooms);
  State->addStartedTo(load);
  for (const JobEntry *it : State->LiveJobs) {
    if (!it->isLive())
      continue;
    if (!it->Started && !it->IsPart)
      ++load.Pending[it->Job.Queue];
    subtractWaiting(*it, load);
  }
  return load;
}

} // namespace endivedoor::dispatch
