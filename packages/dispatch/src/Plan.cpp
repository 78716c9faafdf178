#include "detail/Placement.h"
#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

namespace detail {

using base::EventCode;
using namespace std::chrono_literals;

/// Runs of one term are numbered from a multiple of this, above those of
/// earlier terms that the present owner may not know.
constexpr std::int64_t RunsOfTerm = 1024;
/// A stop that has not taken effect is sent again after this time.
constexpr auto StopRetry = 700ms;
/// A start without an answer is stopped if the worker's list has not shown it
/// for this long.
constexpr auto DoubtTime = 300ms;
/// A run that takes longer than this many times its estimate, and at least
/// StuckTime, is taken as stuck when its worker shows it idle.
constexpr double StuckFactor = 2.5;
constexpr auto StuckTime = 1500ms;
/// A run that has used no processor for this long is stuck.
constexpr auto IdleTime = 1500ms;
/// A step that waits is logged after this time, and again as often.
constexpr auto WaitLogInterval = 2000ms;
/// A filler is given this many times as long.
constexpr int FillerFactor = 3;

void ShardState::openDue(base::WallTime wall, TimePoint now) {
  for (JobEntry *job : Live) {
    const model::JobGraph &graph = job->Job.Graph;
    if (!job->isLive() || graph.Repeats == 0)
      continue;
    for (std::int32_t k = 0; k < graph.Repeats; ++k) {
      auto due = base::WallTime(graph.FirstDue + k * graph.Interval);
      if (wall < due)
        break;
      if (!job->Occurrences.contains(k))
        openOccurrence(*job, k, now);
    }
  }
}

void ShardState::startTask(JobEntry &job, const TaskKey &key, TaskEntry &task,
                           WorkerState &worker, TimePoint now,
                           std::int64_t number) {
  const model::StepSpec &step = stepOf(job, key);
  Run run;
  run.Where = &worker;
  run.Number = number;
  run.Since = run.Started = run.LastBusy = now;
  StepEntry &entry =
      job.Occurrences[key.Occurrence].Steps[static_cast<std::size_t>(key.Step)];
  if (task.Runs.empty())
    --entry.Idle;
  task.LastRun = number;
  task.Runs.push_back(run);
  ++job.Runs;
  if (!job.Started) {
    Times.observeFirstStart(now - job.Accepted);
    // The revision of an inherited job's index is not known.
    if (!job.Inherited)
      Begun.push_back(job.Job.Id);
  }
  job.Started = true;
  RunId id{key, number};
  reserve(worker, id, step);
  Order order;
  order.What = Order::Kind::Start;
  order.To = worker.ref();
  order.Id = id;
  order.Payload = job.Job.Graph.Payload;
  order.Checkpoint = task.Checkpoint;
  order.Deadline = *workerNow(worker, now) + Options.Hold;
  worker.Promised = std::max(worker.Promised, order.Deadline);
  Events.emit(EventCode::RunStarted,
              {{"task", taskText(key)},
               {"run", std::to_string(number)},
               {"worker", worker.Profile.Id.str()},
               {"freeCpu", std::to_string(count(worker.Profile.Capacity.Cpu) -
                                          count(worker.Used.Cpu))},
               {"waitedMs", std::to_string((now - job.Accepted) / 1ms)}});
  Outbox.push_back(std::move(order));
}

/// Returns the number of the next run of a task, above every earlier one.
static std::int64_t nextRun(const JobEntry &job, const TaskEntry &task,
                            std::int64_t term) {
  std::int64_t base = job.Inherited ? (term - 1) * RunsOfTerm : 0;
  return std::max({task.LastRun, base, job.EarlierRuns}) + 1;
}

/// Tasks of a step on each worker, for limits and for spreading.
static std::map<const WorkerState *, std::int32_t>
runsByWorker(const StepEntry &entry) {
  std::map<const WorkerState *, std::int32_t> counts;
  for (const TaskEntry &task : entry.Tasks)
    for (const Run &it : task.Runs)
      ++counts[it.Where];
  return counts;
}

bool ShardState::isHopeless(const model::StepSpec &step) const {
  return std::any_of(
      NoRoomFor.begin(), NoRoomFor.end(), [&](const model::StepSpec *it) {
        return it->Filler == step.Filler && it->Image == step.Image &&
               it->Requirement == step.Requirement &&
               count(it->Size.Cpu) <= count(step.Size.Cpu) &&
               count(it->Size.Memory) <= count(step.Size.Memory) &&
               it->Size.Accelerators <= step.Size.Accelerators &&
               it->Lasting == step.Lasting;
      });
}

/// Logs, now and then, why a step does not go on.
void ShardState::noteWait(const JobEntry &job, const Occurrence &o,
                          std::int32_t step, StepEntry &entry, TimePoint now) {
  if (!entry.WaitsSince)
    entry.WaitsSince = now;
  if (now - *entry.WaitsSince < WaitLogInterval ||
      now - entry.WaitLogged < WaitLogInterval)
    return;
  entry.WaitLogged = now;
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  PlacementFaults why = explainWait(*this, job, spec, now);
  Events.emit(EventCode::TaskWaits,
              {{"job", jobText(job.Job.Id)},
               {"step", std::to_string(o.Number) + "." + std::to_string(step)},
               {"idle", std::to_string(entry.Idle)},
               {"waitedMs", std::to_string((now - *entry.WaitsSince) / 1ms)},
               {"cpu", std::to_string(count(spec.Size.Cpu))},
               {"memory", std::to_string(count(spec.Size.Memory))},
               {"workers", std::to_string(why.Workers)},
               {"unusable", std::to_string(why.Unusable)},
               {"zoneOut", std::to_string(why.ZoneOut)},
               {"noLabel", std::to_string(why.NoLabel)},
               {"noCpu", std::to_string(why.NoCpu)},
               {"noMemory", std::to_string(why.NoMemory)},
               {"other", std::to_string(why.Other)}});
}

void ShardState::startStep(JobEntry &job, Occurrence &o, std::int32_t step,
                           TimePoint now) {
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
  if (isHopeless(spec)) {
    noteWait(job, o, step, entry, now);
    return;
  }
  auto counts = runsByWorker(entry);
  for (std::int32_t i = 0; i < spec.Count && entry.Idle > 0; ++i) {
    TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    if (task.Done || !task.Runs.empty())
      continue;
    WorkerState *worker = chooseWorker(*this, job, spec, counts, nullptr, now);
    if (!worker)
      noteWait(job, o, step, entry, now);
    else
      entry.WaitsSince.reset();
    if (!worker && !spec.Lasting) {
      // A limit on each worker depends on the job, not on the program.
      if (spec.MaxPerWorker == 0)
        NoRoomFor.push_back(&spec);
      return;
    }
    if (!worker) {
      keepRoom(*this, job, spec, counts, now);
      continue;
    }
    startTask(job, {job.Job.Id, o.Number, step, i}, task, *worker, now,
              nextRun(job, task, Term));
    ++counts[worker];
  }
}

void ShardState::startGang(JobEntry &job, Occurrence &o, std::int32_t step,
                           TimePoint now) {
  const model::StepSpec &spec =
      job.Job.Graph.Steps[static_cast<std::size_t>(step)];
  StepEntry &entry = o.Steps[static_cast<std::size_t>(step)];
  // A gang starts as a whole, so every member of its last run must have ended.
  if (entry.Idle < spec.Count)
    return;
  std::vector<WorkerState *> places = chooseGang(*this, job, spec, now);
  if (places.empty()) {
    noteWait(job, o, step, entry, now);
    return;
  }
  entry.WaitsSince.reset();
  std::int64_t run = 0;
  std::string checkpoint;
  for (const TaskEntry &it : entry.Tasks) {
    run = std::max(run, nextRun(job, it, Term));
    if (!it.Checkpoint.empty())
      checkpoint = it.Checkpoint;
  }
  for (std::int32_t i = 0; i < spec.Count; ++i) {
    TaskEntry &task = entry.Tasks[static_cast<std::size_t>(i)];
    task.Checkpoint = checkpoint;
    startTask(job, {job.Job.Id, o.Number, step, i}, task,
              *places[static_cast<std::size_t>(i)], now, run);
  }
}

/// Returns whether all steps before \p step are done.
static bool isReady(const JobEntry &job, const Occurrence &o,
                    std::size_t step) {
  for (std::int32_t before : job.Job.Graph.Steps[step].After) {
    auto b = static_cast<std::size_t>(before);
    if (o.Steps[b].DoneCount < job.Job.Graph.Steps[b].Count)
      return false;
  }
  return true;
}

void ShardState::weighFillers() {
  std::map<std::string, double> waiting;
  for (const JobEntry *job : Live)
    for (const auto &[number, o] : job->Occurrences)
      for (std::size_t i = 0; i < o.Steps.size(); ++i) {
        const model::StepSpec &step = job->Job.Graph.Steps[i];
        if (step.Filler && o.Steps[i].Idle > 0 && isReady(*job, o, i))
          waiting[step.Image] +=
              static_cast<double>(o.Steps[i].Idle * count(step.Size.Cpu));
      }
  Pressures = pressuresOf(*this, waiting);
}

void ShardState::startReady(TimePoint now) {
  bool suspects = hasSuspects();
  NoRoomFor.clear();
  for (auto &[id, w] : Workers) {
    w->Kept = {};
    w->Served.reset();
  }
  weighFillers();
  std::vector<JobEntry *> order;
  for (JobEntry *it : Live)
    if (it->isLive() && !it->Moving && !(suspects && it->Inherited))
      order.push_back(it);
  // Lasting tasks first, then by priority, then by the time that is left.
  std::sort(
      order.begin(), order.end(), [](const JobEntry *a, const JobEntry *b) {
        return std::tuple(!a->lasts(), a->Job.Terms.Priority, a->Objective) <
               std::tuple(!b->lasts(), b->Job.Terms.Priority, b->Objective);
      });
  for (JobEntry *job : order)
    for (auto &[number, o] : job->Occurrences) {
      if (o.Complete)
        continue;
      for (std::size_t i = 0; i < o.Steps.size(); ++i) {
        if (o.Steps[i].Idle == 0 || !isReady(*job, o, i))
          continue;
        auto step = static_cast<std::int32_t>(i);
        if (job->Job.Graph.Steps[i].Gang)
          startGang(*job, o, step, now);
        else
          startStep(*job, o, step, now);
      }
    }
}

void ShardState::stopRun(const TaskKey &key, Run &run, TimePoint now) {
  bool again = run.Phase == RunPhase::Stopping;
  if (again && now - run.StopSent < StopRetry)
    return;
  if (!again) {
    run.Phase = RunPhase::Stopping;
    run.Since = now;
  }
  run.StopSent = now;
  Order order;
  order.What = Order::Kind::Stop;
  order.To = run.Where->ref();
  order.Id = {key, run.Number};
  Outbox.push_back(std::move(order));
}

void ShardState::stopNeedless(TimePoint now) {
  for (JobEntry *job : Live) {
    if (job->Runs == 0)
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t s = 0; s < o.Steps.size(); ++s) {
        StepEntry &entry = o.Steps[s];
        bool gang = job->Job.Graph.Steps[s].Gang;
        // A gang without all of its members does no work.
        bool broken = gang && entry.Idle > 0 &&
                      entry.Idle < job->Job.Graph.Steps[s].Count;
        for (std::size_t i = 0; i < entry.Tasks.size(); ++i) {
          TaskEntry &task = entry.Tasks[i];
          TaskKey key{job->Job.Id, number, static_cast<std::int32_t>(s),
                      static_cast<std::int32_t>(i)};
          for (Run &it : task.Runs) {
            bool doubtful =
                it.Phase == RunPhase::Doubtful && now - it.Since > DoubtTime;
            bool needless = !job->isLive() || task.Done || doubtful || broken;
            if (needless || it.Phase == RunPhase::Stopping)
              stopRun(key, it, now);
          }
        }
      }
  }
  for (auto &[id, w] : Workers)
    for (auto &[run, sent] : w->Strays) {
      if (sent != TimePoint{} && now - sent < StopRetry)
        continue;
      sent = now;
      Outbox.push_back(
          {Order::Kind::Stop, w->ref(), run, {}, {}, WorkerTime{0}, 100});
    }
}

void ShardState::moveFromDraining(TimePoint now) {
  for (auto &[id, w] : Workers) {
    if (!w->Profile.Draining || w->Runs.empty())
      continue;
    for (const auto &[run, held] : w->Runs) {
      JobEntry *job = nullptr;
      TaskEntry *task = findTask(run.Task, &job);
      if (!task || !stepOf(*job, run.Task).Lasting)
        continue;
      for (Run &it : task->Runs)
        if (it.Where == w.get() && it.Phase == RunPhase::Running)
          stopRun(run.Task, it, now);
    }
  }
}

void ShardState::relieveStuck(TimePoint now) {
  for (JobEntry *job : Live) {
    if (!job->isLive() || job->Runs == 0 || job->lasts())
      continue;
    for (auto &[number, o] : job->Occurrences)
      for (std::size_t s = 0; s < o.Steps.size(); ++s) {
        const model::StepSpec &spec = job->Job.Graph.Steps[s];
        StepEntry &entry = o.Steps[s];
        auto limit = std::max<base::Duration>(
            StuckTime, std::chrono::duration_cast<base::Duration>(
                           spec.Estimate * StuckFactor));
        for (std::size_t i = 0; i < entry.Tasks.size(); ++i) {
          TaskEntry &task = entry.Tasks[i];
          if (task.Done || task.Runs.size() != 1)
            continue;
          Run &run = task.Runs.front();
          // A filler may find no processor time left by others.
          bool idle = !spec.Filler && now - run.LastBusy > IdleTime;
          bool late = now - run.Started > FillerFactor * limit &&
                      now - run.LastBusy > FillerFactor * IdleTime;
          if (run.Phase != RunPhase::Running || (!idle && !late) ||
              now - run.Started < StuckTime)
            continue;
          TaskKey key{job->Job.Id, number, static_cast<std::int32_t>(s),
                      static_cast<std::int32_t>(i)};
          if (idle)
            run.Where->AvoidUntil =
                std::max(run.Where->AvoidUntil, now + limit);
          Events.emit(EventCode::RunStuck,
                      {{"task", taskText(key)},
                       {"run", std::to_string(run.Number)},
                       {"worker", run.Where->Profile.Id.str()},
                       {"ms", std::to_string((now - run.Started) / 1ms)}});
          stopRun(key, run, now);
        }
      }
  }
}

} // namespace detail

Shard::Shard(ShardOptions options, std::int32_t number, std::int64_t term,
             base::FencingToken token, base::EventLog &events, Metrics &metrics)
    : Self(std::make_unique<detail::ShardState>(options, number, term, token,
                                                events, metrics)) {}

Shard::~Shard() = default;

void Shard::setZonesOut(std::set<base::ZoneId> zones) {
  Self->ZonesOut = std::move(zones);
}

bool Shard::isFenced() const { return Self->Fenced; }
base::FencingToken Shard::token() const { return Self->Token; }

std::vector<Order> Shard::plan(base::TimePoint now, base::WallTime wall,
                               bool mayStart) {
  detail::ShardState &s = *Self;
  s.dropLapsed(now);
  s.openDue(wall, now);
  s.stopNeedless(now);
  s.moveFromDraining(now);
  s.relieveStuck(now);
  if (mayStart)
    s.startReady(now);
  s.paceFillers(now);
  s.retire();
  return std::exchange(s.Outbox, {});
}

} // namespace endivedoor::dispatch
