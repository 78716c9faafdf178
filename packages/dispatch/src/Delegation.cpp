// Delegation of waiting long-running tasks to another shard. Load pattern: the
// shards fill unevenly, or workers of one are lost, while its long-running jobs
// run. Such a job cannot move as a whole, so its other tasks wait for as long
// as the job lasts although other shards have capacity.
#include "detail/Rooms.h"

#include <algorithm>
#include <tuple>

namespace endivedoor::dispatch {

using detail::JobEntry;
using detail::TaskEntry;
using model::JobNumber;
using model::JobState;
using namespace std::chrono_literals;

/// How long tasks wait for a worker of their own shard: tasks for which no
/// worker has room beside its long-running tasks, and others. The latter get a
/// worker once short tasks have left one, or a reservation. A part that another
/// shard has passed on waits longer, since it does not return there.
constexpr auto UnplacedDelay = 500ms;
constexpr auto DelegationDelay = 1500ms;
/// Interval between two offers after one that no shard has taken. Shorter than
/// the interval of the load records would repeat it on the same records.
constexpr auto OfferInterval = 1500ms;
/// After this wait, tasks for which the shard asks the others go only where
/// room is held for them: an offer may meet others on its way to the same room,
/// and a shard that has had a task does not take it again.
constexpr auto OfferPeriod = 3000ms;
/// Maximum number of other shards that run parts of one job; bounds the writes
/// that a cancellation causes.
constexpr std::size_t MaxDelegatedShards = 8;

namespace detail {

static bool hasOnlyLongRunningSteps(const model::JobGraph &graph) {
  return graph.Occurrences == 0 &&
         std::all_of(graph.Steps.begin(), graph.Steps.end(),
                     [](const model::StepSpec &it) {
                       return it.LongRunning && !it.Gang;
                     });
}

bool mayBeSplit(const JobEntry &job, bool unverified) {
  return job.isLive() && hasOnlyLongRunningSteps(job.Job.Graph) &&
         !job.Moving && !(unverified && job.Inherited);
}

void ShardState::markRemote(JobEntry &job, const TaskKey &key) {
  TaskEntry *task = findTask(key);
  if (!task || task->Remote)
    return;
  if (task->Runs.empty() && task->isPending())
    --job.Occurrences[key.Occurrence]
          .Steps[static_cast<std::size_t>(key.Step)]
          .WaitingCount;
  task->Remote = true;
}

void ShardState::markLocal(JobEntry &job, const TaskKey &key) {
  TaskEntry *task = findTask(job, key);
  if (!task || !task->Remote)
    return;
  task->Remote = false;
  task->DelegatedTo.reset();
  if (task->Runs.empty() && !task->Done)
    ++job.Occurrences[key.Occurrence]
          .Steps[static_cast<std::size_t>(key.Step)]
          .WaitingCount;
}

bool ShardState::mayUseGrant(const JobEntry &job, const TaskKey &task,
                             const TaskKey &named, const RoomGrant &room,
                             TimePoint now) const {
  auto step = static_cast<std::size_t>(task.Step);
  const StepEntry &entry = job.Occurrences.at(0).Steps[step];
  const TaskEntry &it = entry.Tasks[static_cast<std::size_t>(task.Index)];
  if (!it.isWaiting() || isHeld(task) || room.Shard == job.HomeShard ||
      job.hadBefore(room.Shard, {task.Step, task.Index}))
    return false;
  if (task == named)
    return true;
  const model::StepSpec &spec = job.Job.Graph.Steps[step];
  // A worker with room may have reached the limit of a job that runs there.
  bool spread = job.DelegatedShards.contains(room.Shard)
                    ? spec.MaxPerWorker == 0
                    : job.DelegatedShards.size() < MaxDelegatedShards;
  return spread && AskedSteps.contains({task.Job, task.Step}) &&
         !entry.LimitedSince &&
         now - it.WaitingSince.value_or(now) >= RequestDelay &&
         spec.Size.fitsIn(room.Size) &&
         room.Service == job.Job.Policy.Service &&
         (spec.Requirement.empty() || spec.Requirement == room.Requirement);
}

std::vector<TaskKey> ShardState::candidatesFor(const RoomGrantId &id,
                                               const GrantedRoom &grant,
                                               TimePoint now) const {
  bool unverified = mayRunAnyTask();
  std::vector<std::tuple<bool, TimePoint, TaskKey>> found;
  for (const JobEntry *job : LiveJobs) {
    if (!mayBeSplit(*job, unverified))
      continue;
    const std::vector<StepEntry> &steps = job->Occurrences.at(0).Steps;
    for (std::int32_t step = 0; step < std::ssize(steps); ++step) {
      const StepEntry &entry = steps[static_cast<std::size_t>(step)];
      if (entry.WaitingCount == 0)
        continue;
      for (std::int32_t i = 0; i < std::ssize(entry.Tasks); ++i)
        if (TaskKey key{job->Job.Id, 0, step, i};
            !grant.Failed.contains(key) &&
            mayUseGrant(*job, key, id.Task, grant.Room, now))
          found.emplace_back(
              key != id.Task,
              entry.Tasks[static_cast<std::size_t>(i)].WaitingSince.value_or(
                  now),
              key);
    }
  }
  std::sort(found.begin(), found.end());
  std::vector<TaskKey> tasks;
  for (const auto &[other, since, key] : found)
    tasks.push_back(key);
  return tasks;
}

void ShardState::onGrantFailed(const RoomGrantId &id, const TaskKey &task,
                               TimePoint now) {
  auto it = Grants.find(id);
  if (it == Grants.end())
    return;
  it->second.InUse = false;
  it->second.Failed.insert(task);
  if (candidatesFor(id, it->second, now).empty())
    endGrant(id, now);
}

void ShardState::endUses(const Delegation &offer, bool delegated,
                         TimePoint now) {
  for (const RoomUse &it : offer.Uses) {
    RoomGrantId id{it.Granted, *offer.GrantedBy};
    if (!delegated)
      onGrantFailed(id, it.Used, now);
    else if (auto grant = Grants.find(id); grant != Grants.end())
      grant->second.Ended = true;
  }
}

void ShardState::inheritWait(JobEntry &job, const JobPart &part,
                             TimePoint now) {
  for (const TaskRef &it : part.Tasks)
    if (TaskEntry *task = findTask(job, {job.Job.Id, 0, it.Step, it.Index}))
      task->WaitingSince = now - part.Waited;
}

void ShardState::queueCancelForwards(JobEntry &job) {
  for (auto &[shard, stored] : job.DelegatedShards) {
    stored = stored || job.CancelledShards.contains(shard);
    if (!stored)
      CancelForwards.push_back({job.Job.Id, shard});
  }
}

} // namespace detail

/// Returns whether waiting tasks of the job may be delegated now.
static bool isDelegable(const JobEntry &job, bool unverified) {
  return detail::mayBeSplit(job, unverified) && !job.WriteInFlight &&
         job.Version == job.StoredVersion;
}

/// Returns whether some of the job's tasks may be offered to shards that have
/// published room. A job that runs nowhere yet moves as a whole.
static bool mayBeOffered(const JobEntry &job) {
  return job.RunCount > 0 || job.IsPart || !job.DelegatedShards.empty() ||
         job.MoveDeclined;
}

static Delegation makeOffer(const detail::ShardState &s, const JobEntry &job) {
  Delegation offer;
  offer.Job = job.Job;
  offer.Part.LastRun = job.EarlierLastRun;
  offer.Part.HomeShard = job.IsPart ? job.HomeShard : s.Number;
  return offer;
}

static void addTask(Delegation &offer, const TaskRef &position,
                    const JobEntry &job, TaskEntry &task, std::int64_t term,
                    base::TimePoint now) {
  // No run is in flight, so none that was announced can be lost.
  task.Crashes.AnnouncedRun = 0;
  offer.Part.Tasks.push_back({position.Step, position.Index, task.Crashes});
  offer.Part.LastRun =
      std::max(offer.Part.LastRun, detail::nextRun(job, task, term) - 1);
  offer.Part.Waited = std::max(
      offer.Part.Waited, std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - task.WaitingSince.value_or(now)));
}

/// Keeps the tasks of an offer from starting here until it is answered.
static void holdOffer(detail::ShardState &s, JobEntry &job, Delegation &offer) {
  for (const auto &[shard, stored] : job.DelegatedShards)
    offer.Holders.insert(shard);
  offer.OnlyHolders = offer.Holders.size() >= MaxDelegatedShards;
  offer.HadBefore = job.HadBefore;
  for (const TaskRef &it : offer.Part.Tasks)
    s.markRemote(job, {job.Job.Id, 0, it.Step, it.Index});
  job.WriteInFlight = true;
  job.OfferInFlight = true;
}

std::vector<Delegation> Shard::takeDelegations(std::size_t limit,
                                               base::TimePoint now) {
  detail::ShardState &s = *State;
  std::vector<Delegation> offers;
  bool unverified = s.mayRunAnyTask();
  std::optional<detail::RoomPlan> rooms;
  std::vector<JobEntry *> jobs = s.LiveJobs;
  // Otherwise the first jobs would be offered again and again.
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const JobEntry *a, const JobEntry *b) {
                     return a->OfferDeclinedAt < b->OfferDeclinedAt;
                   });
  for (JobEntry *job : jobs) {
    if (offers.size() == limit)
      break;
    if (!isDelegable(*job, unverified) || !mayBeOffered(*job) ||
        now - job->OfferDeclinedAt < OfferInterval ||
        !detail::hasWaited(*job, job->IsPart ? DelegationDelay : UnplacedDelay,
                           now) ||
        s.countUnresolvedRuns(*job))
      continue;
    if (!rooms)
      rooms = detail::planRooms(s, now);
    bool allTasks = detail::hasWaited(*job, DelegationDelay, now);
    Delegation offer = makeOffer(s, *job);
    detail::Occurrence &o = job->Occurrences[0];
    for (std::int32_t step = 0; step < std::ssize(o.Steps); ++step) {
      detail::StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
      bool asked = s.AskedSteps.contains({job->Job.Id, step});
      for (std::int32_t i = 0; i < std::ssize(entry.Tasks); ++i) {
        TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
        detail::TaskKey key{job->Job.Id, 0, step, i};
        bool late =
            asked && now - task.WaitingSince.value_or(now) > OfferPeriod;
        if (task.isWaiting() && !s.isHeld(key) && !late &&
            (allTasks || rooms->Unplaced.contains(key)))
          addTask(offer, {step, i, {}}, *job, task, s.Term, now);
      }
    }
    if (offer.Part.Tasks.empty()) {
      job->OfferDeclinedAt = now;
      continue;
    }
    holdOffer(s, *job, offer);
    offers.push_back(std::move(offer));
  }
  return offers;
}

std::optional<Delegation> Shard::takeGranted(base::TimePoint now) {
  detail::ShardState &s = *State;
  bool unverified = s.mayRunAnyTask();
  // Returns the first task for the room whose job has no commit in flight.
  auto choose = [&](const RoomGrantId &id, const detail::GrantedRoom &grant) {
    std::vector<detail::TaskKey> tasks = s.candidatesFor(id, grant, now);
    if (tasks.empty())
      s.endGrant(id, now);
    auto it = std::find_if(
        tasks.begin(), tasks.end(), [&](const detail::TaskKey &task) {
          JobEntry *job = s.findJob(task.Job);
          return isDelegable(*job, unverified) && !s.countUnresolvedRuns(*job);
        });
    return it == tasks.end() ? std::nullopt : std::optional(*it);
  };
  Delegation offer;
  JobEntry *job = nullptr;
  for (auto &[id, grant] : s.Grants) {
    if (!grant.isUsable(now) || (job && id.Shard != offer.GrantedBy))
      continue;
    std::optional<detail::TaskKey> key = choose(id, grant);
    if (!key || (job && key->Job != job->Job.Id))
      continue;
    if (!job) {
      job = s.findJob(key->Job);
      offer = makeOffer(s, *job);
      offer.GrantedBy = id.Shard;
    }
    addTask(offer, {key->Step, key->Index, {}}, *job, *s.findTask(*key), s.Term,
            now);
    offer.Uses.push_back({id.Task, *key});
    grant.InUse = true;
    s.markRemote(*job, *key);
  }
  if (!job)
    return std::nullopt;
  holdOffer(s, *job, offer);
  return offer;
}

void Shard::limitDelegation(Delegation &offer,
                            const std::vector<TaskRef> &tasks,
                            base::TimePoint now) {
  std::set<TaskPosition> kept;
  for (const TaskRef &it : tasks)
    kept.emplace(it.Step, it.Index);
  JobEntry *job = State->findJob(offer.Job.Id);
  std::erase_if(offer.Part.Tasks, [&](const TaskRef &it) {
    if (kept.contains({it.Step, it.Index}))
      return false;
    if (job)
      State->markLocal(*job, {offer.Job.Id, 0, it.Step, it.Index});
    return true;
  });
  std::erase_if(offer.Uses, [&](const RoomUse &it) {
    if (kept.contains({it.Used.Step, it.Used.Index}))
      return false;
    State->onGrantFailed({it.Granted, *offer.GrantedBy}, it.Used, now);
    return true;
  });
}

void Shard::notePassedOn(const Delegation &offer, std::int32_t shard,
                         const std::vector<TaskRef> &tasks) {
  if (JobEntry *job = State->findJob(offer.Job.Id))
    for (const TaskRef &it : tasks)
      job->HadBefore[shard].emplace(it.Step, it.Index);
}

JobWrite Shard::delegate(const Delegation &offer, std::int32_t shard) {
  JobWrite write;
  write.Job = offer.Job.Id;
  JobEntry *job = State->findJob(offer.Job.Id);
  if (!job)
    return write;
  for (const TaskRef &it : offer.Part.Tasks)
    if (TaskEntry *task = State->findTask({offer.Job.Id, 0, it.Step, it.Index}))
      task->DelegatedTo = shard;
  write.Revision = job->ProgressRevision;
  write.Progress = detail::progressOf(*job);
  return write;
}

void Shard::onDelegationFinished(const Delegation &offer,
                                 std::optional<std::int32_t> shard,
                                 std::int64_t revision, base::TimePoint now) {
  detail::ShardState &s = *State;
  JobEntry *job = s.findJob(offer.Job.Id);
  if (!job)
    return s.endUses(offer, shard.has_value(), now);
  job->WriteInFlight = false;
  job->OfferInFlight = false;
  if (job->Version != job->StoredVersion)
    s.Dirty.push_back(offer.Job.Id);
  if (shard) {
    s.endUses(offer, true, now);
    job->ProgressRevision = revision;
    job->DelegatedShards.try_emplace(*shard, false);
    if (!job->Started && !job->IsPart) {
      job->Started = true;
      if (!job->Inherited)
        s.StartedUnmarked.push_back(offer.Job.Id);
    }
    if (!job->isLive())
      s.queueCancelForwards(*job);
    return;
  }
  job->OfferDeclinedAt = now;
  for (const TaskRef &it : offer.Part.Tasks)
    s.markLocal(*job, {offer.Job.Id, 0, it.Step, it.Index});
  s.endUses(offer, false, now);
}

std::vector<CancelForward> Shard::takeCancelForwards(std::size_t limit) {
  std::vector<CancelForward> forwards;
  while (!State->CancelForwards.empty() && forwards.size() < limit) {
    forwards.push_back(State->CancelForwards.front());
    State->CancelForwards.pop_front();
  }
  return forwards;
}

void Shard::onCancelForwards(const std::vector<CancelForward> &forwards,
                             bool stored) {
  for (const CancelForward &it : forwards) {
    if (!stored) {
      State->CancelForwards.push_back(it);
      continue;
    }
    if (JobEntry *job = State->findJob(it.Job))
      job->DelegatedShards[it.Shard] = true;
  }
}

} // namespace endivedoor::dispatch
