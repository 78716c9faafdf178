#include "detail/AdaptiveScheduler.h"

#include "detail/Admission.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// A task that has run this long shows that its worker can run tasks.
static constexpr std::chrono::seconds ProvenAfter{10};

AdaptiveScheduler::AdaptiveScheduler(const base::Clock &clock,
                                     std::uint64_t seed,
                                     const PolicySettings &settings)
    : Clock(clock), Settings(settings), Rules(S),
      Fitness(S, settings.Quarantine), Latency(S, Past, Model, settings.Guard),
      Waiting(S, Sizes, settings.OrderByLatestStart, settings.MeasuredSizes),
      Places({S, Rules, Where, Fitness, Latency, Past, Model, Sizes}, settings,
             seed),
      LastNewWorker(clock.now()), LastRefresh(clock.now()) {}

void AdaptiveScheduler::applyRules(const model::RuleSet &rules) {
  Rules.apply(rules);
  for (Index n = 0; n < S.Workers.size(); ++n)
    Places.opened(n);
  Places.unblockAll();
  ++WorkerGeneration;
  for (Index n = 0; n < S.Services.size(); ++n)
    MovedServices.push_back(n);
}

void AdaptiveScheduler::setAdmission(bool open, double share) {
  Admission.set(open, share, UsedSlots);
}

void AdaptiveScheduler::countServices(Index worker, std::int32_t sign) {
  const WorkerRec &it = S.Workers[worker];
  for (const ServiceCount &there : it.Services)
    Where.add(there.Service, it.Zone, it.Rack, sign * there.Count);
}

void AdaptiveScheduler::upsertWorker(const model::Worker &worker) {
  Index n = S.referWorker(worker.Id);
  if (!S.Workers[n].Known || S.Workers[n].Removed)
    LastNewWorker = Clock.now();
  countServices(n, -1);
  TotalSlots += worker.Capacity.Slots - S.Workers[n].Capacity.Slots;
  bool changed = S.Workers[n].Capacity != worker.Capacity;
  S.upsertWorker(worker);
  countServices(n, 1);
  if (changed) {
    ++WorkerGeneration;
    Places.opened(n);
  } else if (Places.isOpen(n)) {
    // Known workers are reported again and again; only a reopened one counts.
    Places.reopened(n);
  } else {
    Places.narrowed(n);
  }
}

void AdaptiveScheduler::removeWorker(const base::WorkerId &worker) {
  Index n = S.findWorker(worker);
  if (n == None)
    return;
  S.Workers[n].Removed = true;
  TotalSlots -= S.Workers[n].Capacity.Slots;
  S.Workers[n].Free -= S.Workers[n].Capacity;
  S.Workers[n].Capacity = {};
  S.Workers[n].Known = false;
  Fitness.forget(n);
  Places.narrowed(n);
  ++WorkerGeneration;
}

Index AdaptiveScheduler::job(const model::JobSpec &spec) {
  Index n = S.upsertJob(spec, Clock);
  if (S.Jobs[n].Shape == None)
    S.Jobs[n].Shape = Places.shapeOf(S.Jobs[n]);
  return n;
}

void AdaptiveScheduler::queueTask(Index task) {
  S.pushQueued(task, Clock.now());
  Index n = S.Tasks[task].Job;
  Waiting.add(n, Rules.deadline(S.Jobs[n].Class));
}

void AdaptiveScheduler::unqueueTask(Index task) {
  Index n = S.Tasks[task].Job;
  S.unlinkQueued(task);
  if (S.Jobs[n].QueuedTasks == 0)
    Waiting.remove(n);
}

void AdaptiveScheduler::enqueue(const base::TaskId &task,
                                const model::JobSpec &spec) {
  if (S.findTask(task) == None)
    queueTask(S.addTask(task, job(spec)));
}

void AdaptiveScheduler::cancel(const base::TaskId &task) {
  Index n = S.findTask(task);
  if (n == None || S.Tasks[n].State != Phase::Queued)
    return;
  unqueueTask(n);
  S.dropTask(n);
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
  return !quota.set() || teamSlots(job.Team) + job.Size.Slots <= quota.Value;
}

void AdaptiveScheduler::place(Index task, Index worker) {
  JobRec &it = S.jobOf(task);
  Shape &shape = Places.shape(it.Shape);
  Places.refresh(shape);
  countPlacement(task, worker);
  S.book(task, worker, shape.Need, shape.CpuLoad, Clock.now());
  Past.change(worker, it.Class, 1, Clock.now());
  addTeamSlots(it.Team, it.Size.Slots);
  UsedSlots += it.Size.Slots;
  if (it.Service != None) {
    Where.add(it.Service, S.Workers[worker].Zone, S.Workers[worker].Rack, 1);
    MovedServices.push_back(it.Service);
  }
  if (Fitness.isQuarantined(worker))
    Fitness.probeStarted(worker, Clock.now());
  Places.narrowed(worker);
}

Index AdaptiveScheduler::unplace(Index task) {
  TaskRec &rec = S.Tasks[task];
  JobRec &it = S.jobOf(task);
  if (rec.EvictedForUrgent)
    --UrgentEvictions;
  double amount = (100 - rec.Throttle) / 100.0;
  Index worker = S.release(task);
  Past.change(worker, it.Class, -amount, Clock.now());
  addTeamSlots(it.Team, -it.Size.Slots);
  UsedSlots -= it.Size.Slots;
  Latency.forget(task, worker);
  Places.opened(worker);
  if (it.Service != None) {
    Where.add(it.Service, S.Workers[worker].Zone, S.Workers[worker].Rack, -1);
    MovedServices.push_back(it.Service);
    // Room in a rack is room on all of its workers.
    Places.unblockAll();
  }
  return worker;
}

void AdaptiveScheduler::started(const base::TaskId &task,
                                const model::JobSpec &spec,
                                const base::WorkerId &worker) {
  Index n = S.findTask(task);
  if (n == None)
    n = S.addTask(task, job(spec));
  else if (S.Tasks[n].State == Phase::Queued)
    unqueueTask(n);
  else
    return;
  place(n, S.referWorker(worker));
}

void AdaptiveScheduler::startFailed(const base::TaskId &task,
                                    const base::WorkerId &worker) {
  Index n = S.findTask(task);
  if (n == None || S.Tasks[n].State != Phase::Placed ||
      S.Workers[S.Tasks[n].Worker].Id != worker)
    return;
  Index host = unplace(n);
  if (Fitness.failed(host, S.Tasks[n].Job, Clock.now()))
    Places.narrowed(host);
  queueTask(n);
}

void AdaptiveScheduler::ended(const base::TaskId &task, EndReason reason) {
  Index n = S.findTask(task);
  if (n == None || S.Tasks[n].State != Phase::Placed)
    return;
  Index host = S.Tasks[n].Worker;
  JobRec &it = S.jobOf(n);
  if (reason == EndReason::Finished) {
    ++it.Finished;
    std::chrono::duration<double, std::milli> ran =
        Clock.now() - S.Tasks[n].StartedAt;
    // The run time of a throttled task says more of the throttle.
    if (Settings.MeasuredSizes && it.Kind == model::TaskKind::Batch &&
        !S.Tasks[n].Slowed)
      Sizes.addRunTime(it.Class, ran.count(), Clock.now());
    if (it.LiveTasks == 1)
      countDeadline(n);
  }
  base::TimePoint startedAt = S.Tasks[n].StartedAt;
  unplace(n);
  if (reason == EndReason::WorkerLost)
    Fitness.probeLost(host, Clock.now());
  if (reason == EndReason::Failed &&
      Fitness.failed(host, S.Tasks[n].Job, Clock.now()))
    Places.narrowed(host);
  if (reason == EndReason::Finished && Fitness.succeeded(host, startedAt))
    Places.opened(host);
  S.dropTask(n);
}

void AdaptiveScheduler::observe(const Measurement &m) {
  Index n = S.findTask(m.Task);
  if (n == None || S.Tasks[n].State != Phase::Placed ||
      m.TakenAt < S.Tasks[n].StartedAt)
    return;
  if (Settings.MeasuredSizes)
    observeUse(n, m);
  Index host = S.Tasks[n].Worker;
  if (m.TakenAt - S.Tasks[n].StartedAt >= ProvenAfter &&
      Fitness.succeeded(host, S.Tasks[n].StartedAt))
    Places.opened(host);
  if (S.jobOf(n).Service != None && m.P95.count() > 0)
    observeService(n, m);
}

void AdaptiveScheduler::observeUse(Index task, const Measurement &m) {
  TaskRec &it = S.Tasks[task];
  WorkerRec &host = S.Workers[it.Worker];
  double cpu = double(base::count(m.Cpu)) * 100 / (100 - it.Throttle);
  Sizes.addUsage(S.Jobs[it.Job].Class, cpu, double(base::count(m.Memory)),
                 m.TakenAt);
  auto load = std::int64_t(0.7 * double(it.CpuLoad) + 0.3 * cpu);
  host.CpuLoad += load - it.CpuLoad;
  it.CpuLoad = load;
  if (base::count(m.Memory) <= base::count(it.Booked.Memory))
    return;
  base::MebiBytes more{base::count(m.Memory) - base::count(it.Booked.Memory)};
  it.Booked.Memory = m.Memory;
  host.Free.Memory =
      base::MebiBytes{base::count(host.Free.Memory) - base::count(more)};
}

void AdaptiveScheduler::observeService(Index task, const Measurement &m) {
  const JobRec &it = S.jobOf(task);
  Index host = S.Tasks[task].Worker;
  auto p95 = double(m.P95.count());
  if (!Settings.Attribution)
    Mix = Past.current(host);
  if (!Settings.Attribution || Past.at(host, m.TakenAt, Mix)) {
    // The measured task is no neighbour of itself.
    addAmount(Mix, it.Class, -1);
    Model.learn(it.Service, Mix, p95);
  }
  Limit target = Rules.latency(it.Service);
  if (!target.set())
    return;
  Rules.count(target.Rule, p95 <= double(target.Value), p95, [&] {
    return "p95 " + std::to_string(m.P95.count()) + " ms on worker " +
           S.Workers[host].Id.str();
  });
  Latency.judge(task, p95, double(target.Value), m.TakenAt, Clock.now(),
                Pending);
}

std::vector<Decision> AdaptiveScheduler::decide(std::size_t maxStarts) {
  std::vector<Decision> out = std::move(Pending);
  Pending.clear();
  if (Admission.isOpen()) {
    refreshQueue();
    startWaiting(maxStarts, out);
  }
  std::sort(MovedServices.begin(), MovedServices.end());
  auto end = std::unique(MovedServices.begin(), MovedServices.end());
  std::for_each(MovedServices.begin(), end, [&](Index n) { countZones(n); });
  MovedServices.clear();
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
