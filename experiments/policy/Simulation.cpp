#include "Simulation.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::experiment {

/// Length of a step in s; decisions are taken once a step.
static constexpr double Step = 0.5;
/// The ramp of docs/design.md, section 4: from 10% to 100% within 30 s.
static constexpr double RampSeconds = 30;
static constexpr double CheckpointSeconds = 30;

Simulation::Simulation(const Load &load, std::uint64_t seed,
                       const SchedulerFactory &make)
    : Scenario(load), JobRandom(seed), FaultRandom(seed + 1000),
      OtherRandom(seed + 2000) {
  addWorkers(seed, make);
  // Submits services and batch jobs in random order, as in a zone that has been
  // in use for a while. Placing services first on empty workers would favour
  // some schedulers.
  std::vector<std::size_t> first;
  for (std::size_t n = 0; n < Scenario.Classes.size(); ++n) {
    const TaskClassProfile &it = Scenario.Classes[n];
    std::int32_t jobs = it.Service ? Scenario.TasksPerService
                        : it.isNoisy()
                            ? 0
                            : Scenario.InitialBatch / Scenario.TasksPerJob / 2;
    first.insert(first.end(), std::size_t(jobs), n);
  }
  for (std::size_t n = first.size(); n > 1; --n)
    std::swap(first[n - 1], first[JobRandom() % n]);
  for (std::size_t n : first)
    addJob(n, Scenario.Classes[n].Service ? 1 : Scenario.TasksPerJob,
           emptiestZone());
}

void Simulation::addWorkers(std::uint64_t seed, const SchedulerFactory &make) {
  model::RuleSet rules = rulesOf(Scenario);
  for (std::int32_t z = 0; z < Scenario.Zones; ++z) {
    Zones.emplace_back();
    Zones[z].ZoneScheduler = make(Clock, seed * 101 + std::uint64_t(z));
    for (std::int32_t n = 0; n < Scenario.WorkersPerZone; ++n) {
      FakeWorker it;
      it.Id = base::WorkerId("w" + std::to_string(z) + "-" + std::to_string(n));
      it.Zone = z;
      model::Worker description;
      description.Id = it.Id;
      description.Zone = base::ZoneId("zone-" + std::to_string(z));
      description.Rack =
          base::RackId("rack-" + std::to_string(z) + "-" +
                       std::to_string(n / Scenario.WorkersPerRack));
      description.Capacity = Scenario.Worker;
      Zones[z].ZoneScheduler->upsertWorker(description);
      WorkerNumbers[it.Id.str()] = Workers.size();
      Workers.push_back(std::move(it));
    }
    Zones[z].ZoneScheduler->applyRules(rules);
  }
}

void Simulation::addJob(std::size_t taskClass, std::int32_t tasks,
                        std::int32_t zone) {
  const TaskClassProfile &of = Scenario.Classes[taskClass];
  auto job = std::make_shared<model::JobSpec>();
  job->Id = base::JobId("j" + std::to_string(Jobs++));
  job->Class = base::TaskClass(of.Name);
  job->Team = base::TeamName("team");
  job->Kind = of.Service ? model::TaskKind::Service : model::TaskKind::Batch;
  if (of.Service)
    job->Service = base::ServiceName(of.Name);
  job->Tasks = tasks;
  job->Size = {
      1, 1, base::MilliCores{std::int64_t(of.Cores * of.DeclaredCores * 1000)},
      base::MebiBytes{std::int64_t(of.MemoryMb * of.DeclaredMemory)}, 0};
  job->DeclaredRunTime = std::chrono::milliseconds(
      std::int64_t(of.Seconds * of.DeclaredSeconds * 1000));
  double deadline = Now + of.Seconds * uniform(JobRandom, 3, 12);
  if (!of.Service)
    job->Deadline = Clock.wallNow() + std::chrono::milliseconds(
                                          std::int64_t(deadline - Now) * 1000);
  bool fails = !of.Service && uniform(JobRandom) < 0.01;
  for (std::int32_t n = 0; n < tasks; ++n) {
    auto task = std::make_unique<FakeTask>();
    task->Id = base::TaskId(job->Id.str() + "-" + std::to_string(n));
    task->Job = job;
    task->Class = taskClass;
    task->JobNumber = Jobs;
    task->AdmittedAt = Now;
    task->Deadline = deadline;
    task->AlwaysFails = fails;
    task->RequiredWork =
        of.Service ? 1e18 : of.Seconds * logNormal(JobRandom, 0.3);
    task->MemoryMb = of.MemoryMb * std::min(1.5, logNormal(JobRandom, 0.1));
    FakeTask &it = *task;
    Tasks[it.Id.str()] = std::move(task);
    enqueue(it, zone);
  }
}

void Simulation::enqueue(FakeTask &task, std::int32_t zone) {
  task.Zone = zone;
  task.Worker = -1;
  task.Throttle = 0;
  task.Evicting = false;
  ++Zones[zone].Queued;
  QueuedOrder.push_back(task.Id.str());
  Zones[zone].ZoneScheduler->enqueue(task.Id, *task.Job);
}

std::int32_t Simulation::emptiestZone() const {
  std::int32_t best = -1;
  auto load = [&](std::int32_t z) { return Zones[z].Queued + Zones[z].Placed; };
  for (std::int32_t z = 0; z < Scenario.Zones; ++z)
    if (!Zones[z].Out && (best < 0 || load(z) < load(best)))
      best = z;
  return best;
}

bool Simulation::passed(double t) const { return Now >= t && Now - Step < t; }

void Simulation::arrivals() {
  bool wave = Now > Scenario.WavePeriod / 2 &&
              std::fmod(Now, Scenario.WavePeriod) < Scenario.WaveLength;
  double quiet = Scenario.Arrivals * Step / Scenario.TasksPerJob;
  double noisy = wave ? Scenario.WaveArrivals * Step / Scenario.TasksPerJob : 0;
  auto isNoisy = [&](std::size_t n) { return Scenario.Classes[n].isNoisy(); };
  for (double left = quiet + noisy; left > 0; --left) {
    if (left < 1 && uniform(JobRandom) >= left)
      break;
    bool fromWave = uniform(JobRandom) * (quiet + noisy) >= quiet;
    bool wantNoisy = fromWave || uniform(JobRandom) < Scenario.NoisyShare;
    std::size_t n = JobRandom() % Scenario.Classes.size();
    while (Scenario.Classes[n].Service || isNoisy(n) != wantNoisy)
      n = JobRandom() % Scenario.Classes.size();
    addJob(n, Scenario.TasksPerJob, emptiestZone());
  }
}

void Simulation::faults() {
  if (Scenario.ZoneOutAt > 0 && passed(Scenario.ZoneOutAt))
    setZoneOut(0, true);
  if (Scenario.ZoneOutAt > 0 && passed(Scenario.ZoneReturnsAt))
    setZoneOut(0, false);
  if (Scenario.FaultyFrom > 0 && passed(Scenario.FaultyFrom))
    for (FakeWorker &it : Workers)
      it.Faulty = uniform(FaultRandom) < Scenario.FaultyShare;
  if (passed(Scenario.FaultyUntil))
    for (FakeWorker &it : Workers)
      it.Faulty = false;
  if (std::any_of(Scenario.CancelAt.begin(), Scenario.CancelAt.end(),
                  [&](double t) { return passed(t); }))
    cancelSome();
}

void Simulation::setZoneOut(std::int32_t zone, bool out) {
  Zones[zone].Out = out;
  if (!out) {
    Zones[zone].RampStart = Now;
    return;
  }
  Zones[zone].ZoneScheduler->setAdmission(false, 0);
  for (FakeWorker &it : Workers)
    while (it.Zone == zone && !it.Tasks.empty()) {
      // Forced by the operator: the work since the last checkpoint is kept.
      FakeTask &task = *it.Tasks.back();
      task.CheckpointedWork = task.CompletedWork;
      end(task, policy::EndReason::Evicted);
      enqueue(task, emptiestZone());
    }
  std::vector<std::string> waiting = QueuedOrder;
  for (const std::string &id : waiting) {
    auto it = Tasks.find(id);
    if (it == Tasks.end() || it->second->Worker >= 0 ||
        it->second->Zone != zone)
      continue;
    Zones[zone].ZoneScheduler->cancel(it->second->Id);
    --Zones[zone].Queued;
    enqueue(*it->second, emptiestZone());
  }
}

void Simulation::rampZones() {
  for (ZoneState &it : Zones) {
    if (it.RampStart < 0)
      continue;
    double share = 0.1 + 0.9 * (Now - it.RampStart) / RampSeconds;
    it.ZoneScheduler->setAdmission(true, std::min(1.0, share));
    if (share >= 1)
      it.RampStart = -1;
  }
}

void Simulation::cancelSome() {
  std::vector<FakeTask *> chosen;
  for (auto &[id, task] : Tasks) {
    // Chosen by job alone, so that every scheduler gets the same cancellations.
    if (!Scenario.Classes[task->Class].Service && Now - task->AdmittedAt < 60 &&
        task->JobNumber % 3 == 0)
      chosen.push_back(task.get());
  }
  std::sort(chosen.begin(), chosen.end(),
            [](FakeTask *a, FakeTask *b) { return a->Id < b->Id; });
  for (FakeTask *task : chosen) {
    // Work done by a cancelled task does not count.
    CompletedWork -= task->CompletedWork;
    if (task->Worker >= 0) {
      end(*task, policy::EndReason::Cancelled);
    } else {
      Zones[task->Zone].ZoneScheduler->cancel(task->Id);
      --Zones[task->Zone].Queued;
    }
    Tasks.erase(task->Id.str());
  }
}

void Simulation::end(FakeTask &task, policy::EndReason reason) {
  std::vector<FakeTask *> &workerTasks = Workers[task.Worker].Tasks;
  workerTasks.erase(std::find(workerTasks.begin(), workerTasks.end(), &task));
  --Zones[task.Zone].Placed;
  task.Worker = -1;
  Zones[task.Zone].ZoneScheduler->ended(task.Id, reason);
}

void Simulation::report(FakeTask &task, const Pressure &at, double latencyMs) {
  const TaskClassProfile &of = Scenario.Classes[task.Class];
  Delivery it;
  it.At = Now + uniform(OtherRandom, 0.5, 5);
  it.Number = Deliveries++;
  it.Zone = task.Zone;
  it.Value.Task = task.Id;
  double share = (100 - task.Throttle) / 100.0 / std::max(1.0, at.Cpu);
  it.Value.Cpu = base::MilliCores{
      std::int64_t(of.Cores * 1000 * share * logNormal(OtherRandom, 0.1))};
  it.Value.Memory = base::MebiBytes{std::int64_t(task.MemoryMb)};
  it.Value.P95 = std::chrono::milliseconds(std::int64_t(latencyMs));
  it.Value.TakenAt = Clock.now();
  PendingMeasurements.push(std::move(it));
}

bool Simulation::stepTask(FakeTask &task, const Pressure &at) {
  if (task.FailsIn >= 0 && (task.FailsIn -= Step) < 0) {
    ++Result.Failures;
    std::int32_t zone = task.Zone;
    end(task, policy::EndReason::Failed);
    // The same bound as docs/design.md, section 4, without the three workers.
    if (++task.Failures >= 3 && task.AlwaysFails)
      Tasks.erase(task.Id.str());
    else
      enqueue(task, Zones[zone].Out ? emptiestZone() : zone);
    return true;
  }
  if (Scenario.Classes[task.Class].Service || task.FailsIn >= 0)
    return false;
  double speed = speedOf(task, at);
  task.CompletedWork += speed * Step;
  CompletedWork += speed * Step;
  if ((task.SinceCheckpoint += Step) >= CheckpointSeconds) {
    task.SinceCheckpoint = 0;
    task.CheckpointedWork = task.CompletedWork;
  }
  if (task.CompletedWork < task.RequiredWork)
    return false;
  ++DueTasks;
  LateTasks += Now > task.Deadline;
  end(task, policy::EndReason::Finished);
  Tasks.erase(task.Id.str());
  return true;
}

void Simulation::killForMemory(std::size_t n) {
  FakeTask *largest = nullptr;
  for (FakeTask *it : Workers[n].Tasks)
    if (!Scenario.Classes[it->Class].Service &&
        (!largest || it->MemoryMb > largest->MemoryMb))
      largest = it;
  if (!largest)
    return;
  ++Result.Failures;
  CompletedWork -= largest->CompletedWork - largest->CheckpointedWork;
  largest->CompletedWork = largest->CheckpointedWork;
  std::int32_t zone = largest->Zone;
  end(*largest, policy::EndReason::Failed);
  enqueue(*largest, zone);
}

void Simulation::stepWorker(std::size_t n) {
  Pressure at = pressureOn(Workers[n], Scenario);
  if (at.MemoryMb > double(base::count(Scenario.Worker.Memory))) {
    killForMemory(n);
    at = pressureOn(Workers[n], Scenario);
  }
  bool second = std::fmod(Now, 1.0) < Step;
  for (std::size_t i = 0; i < Workers[n].Tasks.size();) {
    FakeTask &task = *Workers[n].Tasks[i];
    if (stepTask(task, at))
      continue;
    ++i;
    if (!second || task.FailsIn >= 0)
      continue;
    const TaskClassProfile &of = Scenario.Classes[task.Class];
    double latency = 0;
    if (of.Service) {
      latency = latencyOf(task, of, at) * logNormal(OtherRandom, 0.08);
      Latencies.push_back(float(latency / of.BaseMs));
    }
    report(task, at, latency);
  }
}

void Simulation::deliver() {
  while (!PendingMeasurements.empty() && PendingMeasurements.top().At <= Now) {
    Zones[PendingMeasurements.top().Zone].ZoneScheduler->observe(
        PendingMeasurements.top().Value);
    PendingMeasurements.pop();
  }
}

void Simulation::start(const policy::StartTask &it) {
  FakeTask &task = *Tasks.at(it.Task.str());
  FakeWorker &host = Workers[WorkerNumbers.at(it.Worker.str())];
  ++Result.Starts;
  if (host.Faulty && uniform(OtherRandom) < 0.5) {
    ++Result.Failures;
    Zones[task.Zone].ZoneScheduler->startFailed(it.Task, it.Worker);
    return;
  }
  task.Worker = std::int32_t(&host - Workers.data());
  task.StartedAt = Now;
  task.SinceCheckpoint = 0;
  task.FailsIn = host.Faulty || task.AlwaysFails ? 2 : -1;
  host.Tasks.push_back(&task);
  --Zones[task.Zone].Queued;
  ++Zones[task.Zone].Placed;
}

void Simulation::evict(const policy::EvictTask &it) {
  FakeTask &task = *Tasks.at(it.Task.str());
  ++Result.Evictions;
  CompletedWork -= task.CompletedWork - task.CheckpointedWork;
  task.CompletedWork = task.CheckpointedWork;
  std::int32_t zone = task.Zone;
  end(task, policy::EndReason::Evicted);
  enqueue(task, zone);
}

void Simulation::apply(std::int32_t zone, const policy::Decision &it) {
  if (auto *started = std::get_if<policy::StartTask>(&it))
    return start(*started);
  // The task may have ended before its decision is applied.
  auto placed = [&](const base::TaskId &id) {
    auto found = Tasks.find(id.str());
    return found != Tasks.end() && found->second->Worker >= 0
               ? found->second.get()
               : nullptr;
  };
  if (auto *throttled = std::get_if<policy::ThrottleTask>(&it))
    if (FakeTask *task = placed(throttled->Task))
      task->Throttle = throttled->Percent;
  if (auto *evicted = std::get_if<policy::EvictTask>(&it))
    if (placed(evicted->Task))
      evict(*evicted);
  if (auto *refused = std::get_if<policy::RefuseJob>(&it))
    std::erase_if(Tasks, [&](const auto &entry) {
      bool refusedTask =
          entry.second->Worker < 0 && entry.second->Job->Id == refused->Job;
      Zones[zone].Queued -= refusedTask;
      return refusedTask;
    });
}

void Simulation::decide() {
  for (std::int32_t z = 0; z < Scenario.Zones; ++z)
    for (const policy::Decision &it : Zones[z].ZoneScheduler->decide(1000))
      apply(z, it);
}

void Simulation::step() {
  Clock.advance(std::chrono::milliseconds(std::int64_t(Step * 1000)));
  Now += Step;
  arrivals();
  faults();
  rampZones();
  for (std::size_t n = 0; n < Workers.size(); ++n)
    stepWorker(n);
  deliver();
  decide();
  std::erase_if(QueuedOrder, [&](const std::string &id) {
    auto it = Tasks.find(id);
    return it == Tasks.end() || it->second->Worker >= 0;
  });
  for (const std::string &id : QueuedOrder)
    if (Scenario.Classes[Tasks.at(id)->Class].Service)
      Result.UnservedSeconds += Step;
}

RunMetrics Simulation::run() {
  double before = 0, during = 0;
  while (Now < Scenario.Seconds) {
    step();
    if (passed(Scenario.ZoneOutAt))
      before = CompletedWork;
    if (passed(Scenario.ZoneReturnsAt + 60))
      during = CompletedWork - before;
  }
  Result.OutageWork = Scenario.ZoneOutAt > 0 ? during : 0;
  for (const auto &[id, task] : Tasks) {
    bool overdue =
        !Scenario.Classes[task->Class].Service && Now > task->Deadline;
    DueTasks += overdue;
    LateTasks += overdue;
  }
  Result.LatePercent = 100 * LateTasks / std::max(1.0, DueTasks);
  Result.Throughput = CompletedWork / Scenario.Seconds;
  auto rank =
      Latencies.begin() + std::ptrdiff_t(double(Latencies.size()) * 0.95);
  std::nth_element(Latencies.begin(), rank, Latencies.end());
  Result.LatencyP95 = *rank;
  return Result;
}

} // namespace endivedoor::experiment
