#include "detail/SchedulerRecords.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// Maximum number of jobs without tasks that are retained.
static constexpr std::size_t MaxIdleJobs = 4096;

Index SchedulerRecords::internWorker(const base::WorkerId &id) {
  Index n = WorkerIds.intern(id);
  if (n >= Workers.size())
    Workers.resize(n + 1);
  Workers[n].Id = id;
  return n;
}

Index SchedulerRecords::upsertWorker(const model::Worker &worker) {
  Index n = internWorker(worker.Id);
  WorkerRec &rec = Workers[n];
  rec.Known = true;
  rec.Zone = Zones.intern(worker.Zone);
  rec.Rack = Racks.intern(worker.Rack);
  rec.Free += worker.Capacity;
  rec.Free -= rec.Capacity;
  rec.Capacity = worker.Capacity;
  rec.Leaving = worker.Leaving;
  rec.Removed = false;
  return n;
}

Index SchedulerRecords::findWorker(const base::WorkerId &id) const {
  Index n = WorkerIds.find(id);
  return n != None && Workers[n].Known ? n : None;
}

Index SchedulerRecords::findTask(const base::TaskId &id) const {
  auto it = TaskNumbers.find(id);
  return it == TaskNumbers.end() ? None : it->second;
}

Index SchedulerRecords::upsertJob(const model::JobSpec &spec,
                                  const base::Clock &clock) {
  auto [it, added] = JobNumbers.try_emplace(spec.Id, Index(Jobs.size()));
  if (!added)
    return it->second;
  if (FreeJobs.empty()) {
    Jobs.emplace_back();
  } else {
    it->second = FreeJobs.back();
    FreeJobs.pop_back();
  }
  JobRec &rec = Jobs[it->second];
  rec = JobRec();
  rec.Id = spec.Id;
  rec.Class = Classes.intern(spec.Class);
  rec.Service = spec.Kind == model::TaskKind::Batch
                    ? None
                    : Services.intern(spec.Service);
  rec.Team = Teams.intern(spec.Team);
  rec.Kind = spec.Kind;
  rec.Urgent = spec.Urgent;
  rec.Size = spec.Size;
  rec.DeclaredRunTime = spec.DeclaredRunTime;
  rec.AdmittedAt = clock.now();
  if (spec.Deadline)
    rec.Deadline = clock.now() + (*spec.Deadline - clock.wallNow());
  return it->second;
}

Index SchedulerRecords::addTask(const base::TaskId &id, Index job) {
  Index n = Index(Tasks.size());
  if (FreeTasks.empty()) {
    Tasks.emplace_back();
  } else {
    n = FreeTasks.back();
    FreeTasks.pop_back();
  }
  TaskRec &rec = Tasks[n];
  rec = TaskRec();
  rec.Id = id;
  rec.Job = job;
  ++Jobs[job].LiveTasks;
  TaskNumbers.emplace(id, n);
  return n;
}

void SchedulerRecords::removeTask(Index task) {
  TaskRec &rec = Tasks[task];
  TaskNumbers.erase(rec.Id);
  rec.State = Phase::Unused;
  FreeTasks.push_back(task);
  if (--Jobs[rec.Job].LiveTasks == 0)
    addIdleJob(rec.Job);
}

void SchedulerRecords::addIdleJob(Index job) {
  IdleJobs.push_back(job);
  while (IdleJobs.size() - IdleHead > MaxIdleJobs) {
    Index old = IdleJobs[IdleHead++];
    JobRec &rec = Jobs[old];
    // A job that received new tasks meanwhile may be listed more than once.
    if (rec.LiveTasks > 0 || rec.Id.empty())
      continue;
    JobNumbers.erase(rec.Id);
    rec = JobRec();
    FreeJobs.push_back(old);
  }
  if (IdleHead > MaxIdleJobs) {
    IdleJobs.erase(IdleJobs.begin(),
                   IdleJobs.begin() + std::ptrdiff_t(IdleHead));
    IdleHead = 0;
  }
}

void SchedulerRecords::pushQueued(Index task, base::TimePoint now) {
  TaskRec &rec = Tasks[task];
  JobRec &job = Jobs[rec.Job];
  rec.State = Phase::Queued;
  rec.QueuedAt = now;
  rec.Next = None;
  rec.Previous = job.LastQueued;
  (job.LastQueued == None ? job.FirstQueued : Tasks[job.LastQueued].Next) =
      task;
  job.LastQueued = task;
  ++job.QueuedTasks;
}

void SchedulerRecords::unlinkQueued(Index task) {
  TaskRec &rec = Tasks[task];
  JobRec &job = Jobs[rec.Job];
  (rec.Previous == None ? job.FirstQueued : Tasks[rec.Previous].Next) =
      rec.Next;
  (rec.Next == None ? job.LastQueued : Tasks[rec.Next].Previous) = rec.Previous;
  rec.Next = rec.Previous = None;
  rec.State = Phase::Unused;
  --job.QueuedTasks;
}

void SchedulerRecords::adjustServiceCount(WorkerRec &host, const JobRec &job,
                                          std::int32_t delta) {
  auto it = std::find_if(
      host.Services.begin(), host.Services.end(), [&](const ServiceCount &s) {
        return s.Service == job.Service && s.Class == job.Class;
      });
  if (it == host.Services.end())
    host.Services.push_back({job.Service, job.Class, delta});
  else if ((it->Count += delta) == 0)
    host.Services.erase(it);
}

void SchedulerRecords::allocate(Index task, Index worker,
                                const base::Resources &amounts,
                                std::int64_t cpuLoad, base::TimePoint now) {
  TaskRec &rec = Tasks[task];
  const JobRec &job = Jobs[rec.Job];
  WorkerRec &host = Workers[worker];
  rec.Worker = worker;
  rec.Allocated = amounts;
  rec.CpuLoad = cpuLoad;
  rec.StartedAt = now;
  rec.Throttle = 0;
  rec.WasThrottled = rec.Evicting = rec.EvictedForUrgent = false;
  rec.State = Phase::Placed;
  rec.Position = Index(host.Tasks.size());
  host.Tasks.push_back(task);
  host.Free -= amounts;
  host.CpuLoad += cpuLoad;
  if (job.Kind == model::TaskKind::Batch)
    host.BatchSlots += amounts.Slots;
  else
    adjustServiceCount(host, job, 1);
}

Index SchedulerRecords::release(Index task) {
  TaskRec &rec = Tasks[task];
  const JobRec &job = Jobs[rec.Job];
  WorkerRec &host = Workers[rec.Worker];
  Index worker = rec.Worker;
  Index last = host.Tasks.back();
  host.Tasks[rec.Position] = last;
  Tasks[last].Position = rec.Position;
  host.Tasks.pop_back();
  host.Free += rec.Allocated;
  host.CpuLoad -= rec.CpuLoad;
  if (job.Kind == model::TaskKind::Batch)
    host.BatchSlots -= rec.Allocated.Slots;
  else
    adjustServiceCount(host, job, -1);
  rec.Worker = None;
  rec.State = Phase::Unused;
  return worker;
}

} // namespace endivedoor::policy::detail
