#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using base::EventCode;
using base::TimePoint;
using detail::JobEntry;
using detail::Run;
using detail::RunPhase;
using detail::TaskEntry;
using detail::WorkerState;
using namespace std::chrono_literals;

/// A worker whose order failed gets no other one for this long.
constexpr auto OrderPause = 500ms;
/// Factor by which each success lowers a worker's fault count.
constexpr double FaultDecay = 0.7;
/// Fault count from which a worker is avoided.
constexpr double FaultLimit = 2.5;
/// How long a worker with many faults is avoided, for each fault counted.
constexpr auto FaultPause = 1500ms;
/// Faults that lengthen the pause.
constexpr double MaxFaults = 4;

namespace detail {

std::optional<WorkerTime> ShardState::workerNow(const WorkerState &worker,
                                                TimePoint now) const {
  if (!worker.Clock)
    return std::nullopt;
  return worker.Clock->Clock +
         std::chrono::duration_cast<WorkerTime>(now - worker.Clock->At);
}

void ShardState::reserve(WorkerState &worker, const RunId &run,
                         const model::StepSpec &step) {
  base::Resources size = step.Size;
  if (step.Filler) {
    worker.FillerCpu += count(size.Cpu);
    size.Cpu = base::MilliCores{0};
  } else if (step.Lasting) {
    worker.LastingCpu += count(size.Cpu);
    worker.LastingMemory += count(size.Memory);
    if (step.Target.count() > 0)
      worker.Serving.emplace(step.Image, step.Target);
  }
  worker.Used += size;
  worker.Runs.emplace(run, HeldRun{size, &step});
  worker.Served.reset();
}

void ShardState::release(WorkerState &worker, const RunId &run) {
  auto it = worker.Runs.find(run);
  if (it == worker.Runs.end())
    return;
  const model::StepSpec &step = *it->second.Step;
  worker.Used -= it->second.Size;
  worker.Runs.erase(it);
  worker.Served.reset();
  if (step.Filler)
    worker.FillerCpu -= count(step.Size.Cpu);
  if (step.Filler || !step.Lasting)
    return;
  worker.LastingCpu -= count(step.Size.Cpu);
  worker.LastingMemory -= count(step.Size.Memory);
  auto serving = worker.Serving.find(step.Image);
  if (step.Target.count() > 0 && serving != worker.Serving.end())
    worker.Serving.erase(serving);
}

void ShardState::processEnd(WorkerState &worker, const EndedTask &end,
                            TimePoint now) {
  worker.ProcessedEnds = end.Number;
  worker.Strays.erase(end.Id);
  JobEntry *job = nullptr;
  TaskEntry *task = findTask(end.Id.Task, &job);
  if (!task) {
    worker.PendingEnds.push_back({end.Number, {}, 0});
    return;
  }
  const model::StepSpec &step = stepOf(*job, end.Id.Task);
  TimePoint started = now;
  for (const Run &it : task->Runs)
    if (it.Number == end.Id.Run)
      started = it.Started;
  removeRun(*job, end.Id.Task, end.Id.Run);
  task->LastRun = std::max(task->LastRun, end.Id.Run);
  job->Started = true;
  if (!end.Checkpoint.empty())
    task->Checkpoint = end.Checkpoint;
  bool record = false;
  if (end.How == RunEnd::Done && !step.Lasting && !task->Done) {
    Occurrence &o = job->Occurrences[end.Id.Task.Occurrence];
    auto finishTask = [&](TaskEntry &t, StepEntry &entry) {
      if (t.Done)
        return;
      t.Done = true;
      ++entry.DoneCount;
      if (t.Runs.empty())
        --entry.Idle;
    };
    StepEntry &entry = o.Steps[static_cast<std::size_t>(end.Id.Task.Step)];
    // One end stands for all members of a gang.
    if (step.Gang)
      for (TaskEntry &it : entry.Tasks)
        finishTask(it, entry);
    else
      finishTask(*task, entry);
    worker.Faults *= FaultDecay;
    checkComplete(*job, o);
    record = true;
  } else if (end.How == RunEnd::Failed) {
    // A job that can never be done fails all of its tasks, wherever they run.
    if (worker.LastFault != end.Id.Task.Job)
      worker.Faults += 1;
    worker.LastFault = end.Id.Task.Job;
    if (worker.Faults >= FaultLimit)
      worker.AvoidUntil =
          std::max(worker.AvoidUntil,
                   now + std::chrono::duration_cast<base::Duration>(
                             FaultPause * std::min(worker.Faults, MaxFaults)));
    bool known = std::find(task->FailedRuns.begin(), task->FailedRuns.end(),
                           end.Id.Run) != task->FailedRuns.end();
    if (!step.Lasting && !known) {
      task->FailedRuns.push_back(end.Id.Run);
      record = true;
      if (static_cast<std::int32_t>(task->FailedRuns.size()) >=
          job->Job.Terms.MaxAttempts)
        finish(*job, model::JobState::Failed);
    }
  }
  Events.emit(EventCode::RunEnded,
              {{"task", taskText(end.Id.Task)},
               {"run", std::to_string(end.Id.Run)},
               {"worker", worker.Profile.Id.str()},
               {"how", std::to_string(static_cast<int>(end.How))},
               {"end", std::to_string(end.Number)},
               {"ms", std::to_string((now - started) / 1ms)}});
  // The record of a cancelled job is stored already.
  if (record && job->State != model::JobState::Cancelled)
    touch(*job);
  worker.PendingEnds.push_back(
      {end.Number, record ? end.Id.Task.Job : JobNumber{}, job->Version});
}

void ShardState::processRunning(WorkerState &worker, const HoldReport &report,
                                TimePoint sent, TimePoint now) {
  std::set<RunId> listed;
  for (const RunningTask &row : report.Running) {
    listed.insert(row.Id);
    JobEntry *job = nullptr;
    TaskEntry *task = findTask(row.Id.Task, &job);
    Run *run = nullptr;
    if (task)
      for (Run &it : task->Runs)
        if (it.Number == row.Id.Run && it.Where == &worker)
          run = &it;
    if (!run) {
      if (!worker.Strays.contains(row.Id))
        adopt(worker, row, now);
      continue;
    }
    if (run->Phase == RunPhase::Starting || run->Phase == RunPhase::Doubtful) {
      run->Phase = RunPhase::Running;
      run->Since = now;
    }
    run->Percent = row.Percent;
    run->HasGauge = row.HasGauge;
    run->Gauge = row.Gauge;
    if (!row.HasGauge || row.Gauge > 0 || run->Paced < 100)
      run->LastBusy = now;
    if (!row.Checkpoint.empty())
      task->Checkpoint = row.Checkpoint;
  }
  if (report.MoreEnded)
    return;
  // Runs that the list should show, and neither shows nor has as ended.
  std::vector<RunId> missing;
  for (const auto &[id, held] : worker.Runs) {
    if (listed.contains(id))
      continue;
    TaskEntry *task = findTask(id.Task);
    if (!task)
      continue;
    for (const Run &it : task->Runs) {
      if (it.Number != id.Run || it.Where != &worker)
        continue;
      bool confirmed = it.Phase == RunPhase::Running && it.Since < sent;
      bool stopped = it.StopConfirmed && *it.StopConfirmed < sent;
      if (confirmed || stopped)
        missing.push_back(id);
    }
  }
  for (const RunId &it : missing)
    if (JobEntry *job = findJob(it.Task.Job))
      removeRun(*job, it.Task, it.Run);
  std::erase_if(worker.Strays,
                [&](const auto &it) { return !listed.contains(it.first); });
}

void ShardState::dropLapsed(TimePoint now) {
  for (auto &[id, w] : Workers) {
    if (w->SuspectUntil && now >= *w->SuspectUntil)
      loseRuns(*w, "the longest lease of an earlier owner has run out");
    if (w->Runs.empty() || !w->Clock)
      continue;
    auto left = std::chrono::duration<double, std::milli>(w->Promised -
                                                          w->Clock->Clock) *
                ClockDrift;
    if (now < w->Clock->At + std::chrono::duration_cast<base::Duration>(left) +
                  LapseMargin)
      continue;
    w->Synced = false;
    loseRuns(*w, "the worker's lease has run out");
  }
  // Entries that are gone and hold nothing are forgotten.
  for (auto it = Workers.begin(); it != Workers.end();) {
    WorkerState &w = *it->second;
    bool gone = !w.Listed && w.Runs.empty() && !w.SuspectUntil && !w.Synced;
    it = gone ? Workers.erase(it) : std::next(it);
  }
}

} // namespace detail

void Shard::offerWorker(const model::WorkerProfile &profile, TimePoint now) {
  detail::ShardState &s = *Self;
  auto &entry = s.Workers[profile.Id];
  if (!entry)
    entry = std::make_unique<WorkerState>();
  WorkerState &w = *entry;
  bool reborn = w.Profile.Born.count() != 0 && profile.Born > w.Profile.Born;
  // An entry may be older than what the worker itself has answered since.
  std::chrono::milliseconds born = std::max(profile.Born, w.Profile.Born);
  if (profile.Draining != w.Profile.Draining || !w.Listed)
    s.Events.emit(base::EventCode::WorkerOffered,
                  {{"worker", profile.Id.str()},
                   {"zone", profile.Zone.str()},
                   {"draining", profile.Draining ? "yes" : "no"},
                   {"shard", std::to_string(s.Number)}});
  w.Profile = profile;
  w.Profile.Born = born;
  w.Listed = true;
  if (reborn)
    s.beginLife(w, "the worker has started anew", now);
}

void Shard::withdrawWorker(const base::WorkerId &worker) {
  auto it = Self->Workers.find(worker);
  if (it == Self->Workers.end() || !it->second->Listed)
    return;
  it->second->Listed = false;
  Self->Events.emit(base::EventCode::WorkerWithdrawn,
                    {{"worker", worker.str()},
                     {"runs", std::to_string(it->second->Runs.size())}});
  if (it->second->Runs.empty())
    it->second->Synced = false;
}

std::vector<WorkerRef> Shard::workers() const {
  std::vector<WorkerRef> refs;
  for (const auto &[id, w] : Self->Workers)
    refs.push_back(w->ref());
  return refs;
}

bool Shard::hasWorker(const base::WorkerId &worker) const {
  return Self->Workers.contains(worker);
}

std::vector<RosterEntry> Shard::roster() const {
  std::vector<RosterEntry> roster;
  for (const auto &[id, w] : Self->Workers)
    roster.push_back({id, w->Profile.Endpoint});
  return roster;
}

void Shard::rosterStored(const std::vector<RosterEntry> &roster) {
  for (const RosterEntry &it : roster) {
    auto found = Self->Workers.find(it.Id);
    if (found != Self->Workers.end())
      found->second->InRoster = true;
  }
}

std::optional<HoldPlan> Shard::nextHold(const base::WorkerId &worker,
                                        TimePoint now, bool mayExtend) {
  auto it = Self->Workers.find(worker);
  if (it == Self->Workers.end())
    return std::nullopt;
  WorkerState &w = *it->second;
  while (!w.PendingEnds.empty()) {
    const detail::PendingEnd &end = w.PendingEnds.front();
    JobEntry *job = Self->findJob(end.Job);
    if (job && job->State != model::JobState::Cancelled &&
        job->StoredVersion < end.Version)
      break;
    w.LastSeen = end.Number;
    w.PendingEnds.pop_front();
  }
  HoldPlan plan;
  plan.To = w.ref();
  plan.Synced = w.Synced;
  plan.Busy = !w.Runs.empty();
  plan.Request.Token = Self->Token;
  plan.Request.LastSeen = w.LastSeen;
  std::optional<WorkerTime> clock = Self->workerNow(w, now);
  if (mayExtend && clock && plan.Busy) {
    plan.Request.Deadline = *clock + Self->Options.Hold;
    w.Promised = std::max(w.Promised, plan.Request.Deadline);
  }
  return plan;
}

void Shard::onHoldFailed(const base::WorkerId &worker,
                         const std::string &cause) {
  auto it = Self->Workers.find(worker);
  if (it == Self->Workers.end() || !it->second->Reachable)
    return;
  it->second->Reachable = false;
  Self->Events.emit(base::EventCode::WorkerSilent,
                    {{"worker", worker.str()}, {"cause", cause}});
}

void Shard::onHold(const base::WorkerId &worker, const HoldReport &report,
                   TimePoint sent, TimePoint received) {
  detail::ShardState &s = *Self;
  auto it = s.Workers.find(worker);
  if (it == s.Workers.end())
    return;
  WorkerState &w = *it->second;
  if (report.Fenced) {
    s.Fenced = true;
    return;
  }
  if (report.WrongLife) {
    // Orders name the worker, so none has reached another one.
    s.loseRuns(w, "another worker answered");
    s.beginLife(w, "another worker answered", received);
    return;
  }
  if (w.Profile.Born.count() != 0 && report.Born.count() != 0 &&
      report.Born != w.Profile.Born)
    s.beginLife(w, "another life of the worker answered", received);
  if (!w.Reachable) {
    w.Reachable = true;
    s.Events.emit(base::EventCode::WorkerHeard, {{"worker", worker.str()}});
  }
  if (report.Born.count() != 0)
    w.Profile.Born = report.Born;
  w.Clock = detail::ClockSample{report.Clock, received};
  for (const EndedTask &end : report.Ended)
    if (end.Number > w.ProcessedEnds)
      s.processEnd(w, end, received);
  bool first = !w.Synced;
  s.processRunning(w, report, sent, received);
  s.observe(w, received);
  if (report.MoreEnded)
    return;
  w.SuspectUntil.reset();
  if (!first)
    return;
  w.Synced = true;
  // An earlier owner may have asked for a lease just before.
  if (!w.Runs.empty())
    w.Promised = std::max(w.Promised, report.Clock + s.Options.Hold);
  s.Events.emit(base::EventCode::WorkerSynced,
                {{"worker", worker.str()},
                 {"running", std::to_string(report.Running.size())},
                 {"token", std::to_string(base::toNumber(s.Token))}});
}

void Shard::onStart(const Order &order, base::Result<OrderAnswer> answer,
                    TimePoint now) {
  detail::ShardState &s = *Self;
  JobEntry *job = nullptr;
  TaskEntry *task = s.findTask(order.Id.Task, &job);
  if (!task)
    return;
  auto run =
      std::find_if(task->Runs.begin(), task->Runs.end(), [&](const Run &r) {
        return r.Number == order.Id.Run && r.Where->Profile.Id == order.To.Id;
      });
  if (run == task->Runs.end())
    return;
  WorkerState &w = *run->Where;
  if (answer && answer.value() == OrderAnswer::Done) {
    if (run->Phase == RunPhase::Starting || run->Phase == RunPhase::Doubtful) {
      run->Phase = RunPhase::Running;
      run->Since = now;
    }
    return;
  }
  std::string cause = answer ? std::to_string(static_cast<int>(answer.value()))
                             : answer.error().message();
  s.Events.emit(base::EventCode::StartFailed,
                {{"task", detail::taskText(order.Id.Task)},
                 {"run", std::to_string(order.Id.Run)},
                 {"worker", order.To.Id.str()},
                 {"cause", cause}});
  w.AvoidUntil = std::max(w.AvoidUntil, now + OrderPause);
  if (!answer && answer.error().Code == base::Errc::WorkerAnswerLost) {
    if (run->Phase == RunPhase::Starting) {
      run->Phase = RunPhase::Doubtful;
      run->Since = now;
    }
    return;
  }
  if (answer && answer.value() == OrderAnswer::Fenced)
    s.Fenced = true;
  s.removeRun(*job, order.Id.Task, order.Id.Run);
}

void Shard::onStop(const Order &order, base::Result<OrderAnswer> answer,
                   TimePoint now) {
  detail::ShardState &s = *Self;
  if (!answer || (answer.value() != OrderAnswer::Done))
    return;
  TaskEntry *task = s.findTask(order.Id.Task);
  if (!task)
    return;
  for (Run &it : task->Runs)
    if (it.Number == order.Id.Run && it.Where->Profile.Id == order.To.Id)
      it.StopConfirmed = now;
}

void Shard::onPaceFailed(const Order &order) {
  TaskEntry *task = Self->findTask(order.Id.Task);
  if (!task)
    return;
  constexpr std::int32_t unknown = -1;
  for (Run &it : task->Runs)
    if (it.Number == order.Id.Run && it.Where->Profile.Id == order.To.Id)
      it.Paced = unknown;
}

} // namespace endivedoor::dispatch
