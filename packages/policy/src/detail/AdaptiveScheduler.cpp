#include "detail/AdaptiveScheduler.h"

#include "detail/Admission.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// A task that has run this long proves that its worker is able to run tasks.
static constexpr std::chrono::seconds MinHealthyRunTime{10};

AdaptiveScheduler::AdaptiveScheduler(const base::Clock &clock,
                                     std::uint64_t seed,
                                     const PolicySettings &settings)
    : Clock(clock), Settings(settings), Rules(Records),
      WorkerHealth(Records, settings.Quarantine),
      ServiceGuard(Records, MixHistory, Model, settings.Guard),
      QueuedJobs(Records, Estimates, settings.OrderByLatestStart,
                 settings.MeasuredSizes),
      Placer({Records, Rules, ServiceSpread, WorkerHealth, ServiceGuard,
              MixHistory, Model, Estimates},
             settings, seed),
      LastWorkerAdded(clock.now()), LastRefresh(clock.now()) {}

void AdaptiveScheduler::applyRules(const model::RuleSet &rules) {
  Rules.apply(rules);
  for (Index n = 0; n < Records.Workers.size(); ++n)
    Placer.onCapacityIncreased(n);
  Placer.unblockAll();
  ++WorkerGeneration;
  for (Index n = 0; n < Records.Services.size(); ++n)
    ChangedServices.push_back(n);
}

void AdaptiveScheduler::setAdmission(bool open, double share) {
  Admission.set(open, share, UsedSlots);
}

void AdaptiveScheduler::countServices(Index worker, std::int32_t sign) {
  const WorkerRec &workerRec = Records.Workers[worker];
  for (const ServiceCount &there : workerRec.Services)
    ServiceSpread.add(there.Service, workerRec.Zone, workerRec.Rack,
                      sign * there.Count);
}

void AdaptiveScheduler::upsertWorker(const model::Worker &worker) {
  Index n = Records.internWorker(worker.Id);
  if (!Records.Workers[n].Known || Records.Workers[n].Removed)
    LastWorkerAdded = Clock.now();
  countServices(n, -1);
  TotalSlots += worker.Capacity.Slots - Records.Workers[n].Capacity.Slots;
  bool changed = Records.Workers[n].Capacity != worker.Capacity;
  Records.upsertWorker(worker);
  countServices(n, 1);
  if (changed) {
    ++WorkerGeneration;
    Placer.onCapacityIncreased(n);
  } else if (Placer.isSchedulable(n)) {
    // Known workers are reported repeatedly; only a reopened worker is a
    // change.
    Placer.onWorkerReopened(n);
  } else {
    Placer.onCapacityReduced(n);
  }
}

void AdaptiveScheduler::removeWorker(const base::WorkerId &worker) {
  Index n = Records.findWorker(worker);
  if (n == None)
    return;
  Records.Workers[n].Removed = true;
  TotalSlots -= Records.Workers[n].Capacity.Slots;
  Records.Workers[n].Free -= Records.Workers[n].Capacity;
  Records.Workers[n].Capacity = {};
  Records.Workers[n].Known = false;
  WorkerHealth.reset(n);
  Placer.onCapacityReduced(n);
  ++WorkerGeneration;
}

Index AdaptiveScheduler::upsertJob(const model::JobSpec &spec) {
  Index n = Records.upsertJob(spec, Clock);
  if (Records.Jobs[n].Shape == None)
    Records.Jobs[n].Shape = Placer.shapeOf(Records.Jobs[n]);
  return n;
}

void AdaptiveScheduler::queueTask(Index task) {
  Records.pushQueued(task, Clock.now());
  Index n = Records.Tasks[task].Job;
  QueuedJobs.add(n, Rules.deadline(Records.Jobs[n].Class));
}

void AdaptiveScheduler::unqueueTask(Index task) {
  Index n = Records.Tasks[task].Job;
  Records.unlinkQueued(task);
  if (Records.Jobs[n].QueuedTasks == 0)
    QueuedJobs.remove(n);
}

void AdaptiveScheduler::enqueue(const base::TaskId &task,
                                const model::JobSpec &spec) {
  if (Records.findTask(task) == None)
    queueTask(Records.addTask(task, upsertJob(spec)));
}

void AdaptiveScheduler::cancel(const base::TaskId &task) {
  Index n = Records.findTask(task);
  if (n == None || Records.Tasks[n].State != Phase::Queued)
    return;
  unqueueTask(n);
  Records.removeTask(n);
}

std::int64_t AdaptiveScheduler::teamSlots(Index team) const {
  return team < SlotsByTeam.size() ? SlotsByTeam[team] : 0;
}

void AdaptiveScheduler::addTeamSlots(Index team, std::int64_t slots) {
  if (team >= SlotsByTeam.size())
    SlotsByTeam.resize(team + 1);
  SlotsByTeam[team] += slots;
}

bool AdaptiveScheduler::isWithinQuota(const JobRec &job) const {
  Limit quota = Rules.quota(job.Team);
  return !quota.isSet() || teamSlots(job.Team) + job.Size.Slots <= quota.Value;
}

void AdaptiveScheduler::place(Index task, Index worker) {
  JobRec &jobRec = Records.jobOf(task);
  TaskShape &shape = Placer.shape(jobRec.Shape);
  Placer.refresh(shape);
  checkPlacementRules(task, worker);
  Records.allocate(task, worker, shape.Need, shape.CpuLoad, Clock.now());
  MixHistory.change(worker, jobRec.Class, 1, Clock.now());
  addTeamSlots(jobRec.Team, jobRec.Size.Slots);
  UsedSlots += jobRec.Size.Slots;
  if (jobRec.Service != None) {
    ServiceSpread.add(jobRec.Service, Records.Workers[worker].Zone,
                      Records.Workers[worker].Rack, 1);
    ChangedServices.push_back(jobRec.Service);
  }
  if (WorkerHealth.isQuarantined(worker))
    WorkerHealth.recordProbeStart(worker, Clock.now());
  Placer.onCapacityReduced(worker);
}

Index AdaptiveScheduler::unplace(Index task) {
  TaskRec &rec = Records.Tasks[task];
  JobRec &jobRec = Records.jobOf(task);
  if (rec.EvictedForUrgent)
    --UrgentEvictions;
  double amount = (100 - rec.Throttle) / 100.0;
  Index worker = Records.release(task);
  MixHistory.change(worker, jobRec.Class, -amount, Clock.now());
  addTeamSlots(jobRec.Team, -jobRec.Size.Slots);
  UsedSlots -= jobRec.Size.Slots;
  ServiceGuard.removeTask(task, worker);
  Placer.onCapacityIncreased(worker);
  if (jobRec.Service != None) {
    ServiceSpread.add(jobRec.Service, Records.Workers[worker].Zone,
                      Records.Workers[worker].Rack, -1);
    ChangedServices.push_back(jobRec.Service);
    // Reduced rack usage can make every worker of the rack eligible.
    Placer.unblockAll();
  }
  return worker;
}

void AdaptiveScheduler::started(const base::TaskId &task,
                                const model::JobSpec &spec,
                                const base::WorkerId &worker) {
  Index n = Records.findTask(task);
  if (n == None)
    n = Records.addTask(task, upsertJob(spec));
  else if (Records.Tasks[n].State == Phase::Queued)
    unqueueTask(n);
  else
    return;
  place(n, Records.internWorker(worker));
}

void AdaptiveScheduler::startFailed(const base::TaskId &task,
                                    const base::WorkerId &worker) {
  Index n = Records.findTask(task);
  if (n == None || Records.Tasks[n].State != Phase::Placed ||
      Records.Workers[Records.Tasks[n].Worker].Id != worker)
    return;
  Index host = unplace(n);
  if (WorkerHealth.recordFailure(host, Records.Tasks[n].Job, Clock.now()))
    Placer.onCapacityReduced(host);
  queueTask(n);
}

void AdaptiveScheduler::ended(const base::TaskId &task, EndReason reason) {
  Index n = Records.findTask(task);
  if (n == None || Records.Tasks[n].State != Phase::Placed)
    return;
  Index host = Records.Tasks[n].Worker;
  JobRec &jobRec = Records.jobOf(n);
  if (reason == EndReason::Finished) {
    ++jobRec.Finished;
    std::chrono::duration<double, std::milli> ran =
        Clock.now() - Records.Tasks[n].StartedAt;
    // The run time of a throttled task mainly reflects the throttle.
    if (Settings.MeasuredSizes && jobRec.Kind == model::TaskKind::Batch &&
        !Records.Tasks[n].WasThrottled)
      Estimates.addRunTime(jobRec.Class, ran.count(), Clock.now());
    if (jobRec.LiveTasks == 1)
      checkDeadlineRule(n);
  }
  base::TimePoint startedAt = Records.Tasks[n].StartedAt;
  unplace(n);
  if (reason == EndReason::WorkerLost)
    WorkerHealth.recordProbeLost(host, Clock.now());
  if (reason == EndReason::Failed &&
      WorkerHealth.recordFailure(host, Records.Tasks[n].Job, Clock.now()))
    Placer.onCapacityReduced(host);
  if (reason == EndReason::Finished &&
      WorkerHealth.recordSuccess(host, startedAt))
    Placer.onCapacityIncreased(host);
  Records.removeTask(n);
}

void AdaptiveScheduler::observe(const Measurement &m) {
  Index n = Records.findTask(m.Task);
  if (n == None || Records.Tasks[n].State != Phase::Placed ||
      m.TakenAt < Records.Tasks[n].StartedAt)
    return;
  if (Settings.MeasuredSizes)
    observeUsage(n, m);
  Index host = Records.Tasks[n].Worker;
  if (m.TakenAt - Records.Tasks[n].StartedAt >= MinHealthyRunTime &&
      WorkerHealth.recordSuccess(host, Records.Tasks[n].StartedAt))
    Placer.onCapacityIncreased(host);
  if (Records.jobOf(n).Service != None && m.P95.count() > 0)
    observeService(n, m);
}

void AdaptiveScheduler::observeUsage(Index task, const Measurement &m) {
  TaskRec &taskRec = Records.Tasks[task];
  WorkerRec &host = Records.Workers[taskRec.Worker];
  double cpu = double(base::count(m.Cpu)) * 100 / (100 - taskRec.Throttle);
  Estimates.addUsage(Records.Jobs[taskRec.Job].Class, cpu,
                     double(base::count(m.Memory)), m.TakenAt);
  auto load = std::int64_t(0.7 * double(taskRec.CpuLoad) + 0.3 * cpu);
  host.CpuLoad += load - taskRec.CpuLoad;
  taskRec.CpuLoad = load;
  if (base::count(m.Memory) <= base::count(taskRec.Allocated.Memory))
    return;
  base::MebiBytes more{base::count(m.Memory) -
                       base::count(taskRec.Allocated.Memory)};
  taskRec.Allocated.Memory = m.Memory;
  host.Free.Memory =
      base::MebiBytes{base::count(host.Free.Memory) - base::count(more)};
}

void AdaptiveScheduler::observeService(Index task, const Measurement &m) {
  const JobRec &jobRec = Records.jobOf(task);
  Index host = Records.Tasks[task].Worker;
  auto p95 = double(m.P95.count());
  if (!Settings.AttributeToHistory)
    Mix = MixHistory.current(host);
  if (!Settings.AttributeToHistory || MixHistory.at(host, m.TakenAt, Mix)) {
    // Exclude the measured task itself from its neighbours.
    addAmount(Mix, jobRec.Class, -1);
    Model.learn(jobRec.Service, Mix, p95);
  }
  Limit target = Rules.latency(jobRec.Service);
  if (!target.isSet())
    return;
  Rules.recordCheck(target.Rule, p95 <= double(target.Value), p95, [&] {
    return "p95 " + std::to_string(m.P95.count()) + " ms on worker " +
           Records.Workers[host].Id.str();
  });
  ServiceGuard.evaluate(task, p95, double(target.Value), m.TakenAt, Clock.now(),
                        Pending);
}

std::vector<Decision> AdaptiveScheduler::decide(std::size_t maxStarts) {
  std::vector<Decision> out = std::move(Pending);
  Pending.clear();
  if (Admission.isOpen()) {
    refreshQueue();
    startQueuedJobs(maxStarts, out);
  }
  std::sort(ChangedServices.begin(), ChangedServices.end());
  auto end = std::unique(ChangedServices.begin(), ChangedServices.end());
  std::for_each(ChangedServices.begin(), end,
                [&](Index n) { checkZoneRule(n); });
  ChangedServices.clear();
  return out;
}

std::vector<RuleStatus> AdaptiveScheduler::ruleStatus() const {
  return Rules.statuses();
}

} // namespace endivedoor::policy::detail

namespace endivedoor::policy {

std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed,
                                         const PolicySettings &settings) {
  return std::make_unique<detail::AdaptiveScheduler>(clock, seed, settings);
}

std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed) {
  return makeScheduler(clock, seed, PolicySettings());
}

} // namespace endivedoor::policy
