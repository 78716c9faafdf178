// Measures the scheduler cost per start by number of workers. The target in
// docs/design.md, section 7, is 14 microseconds per start in total at 5,000
// workers.
#include "endivedoor/policy/Policy.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>

namespace endivedoor::policy {
namespace {

/// A zone in steady state: 40 slots a worker, 6 of them taken by services and
/// 26 by batch tasks; 20 services, 40 classes, 110 teams.
class SteadyZone {
public:
  explicit SteadyZone(int workers) : Workers(workers) {
    addRules();
    for (int n = 0; n < Workers; ++n)
      MeasuredScheduler->upsertWorker(workerOf(n));
    for (int n = 0; n < Workers * 6; ++n)
      enqueue(true);
    startQueuedTasks();
    for (int n = 0; n < Workers * 26; ++n)
      enqueue(false);
    startQueuedTasks();
  }

  /// Ends the oldest batch tasks and queues as many new ones.
  void replace(int tasks) {
    for (int n = 0; n < tasks; ++n) {
      MeasuredScheduler->ended(Running.front(), EndReason::Finished);
      Running.pop_front();
      enqueue(false);
    }
    Clock.advance(std::chrono::milliseconds(100));
    applyStarts(std::size_t(tasks));
  }
  /// Reports delayed measurements of running batch tasks.
  void observe(int tasks) {
    for (int n = 0; n < tasks; ++n)
      report(Running[Random() % Running.size()], 0);
  }
  void observeServices(int tasks) {
    for (int n = 0; n < tasks; ++n)
      report(ServiceTasks[Random() % ServiceTasks.size()],
             20 + int(Random() % 10));
  }
  /// Queues jobs that fit on no worker at present, because each needs all slots
  /// of a worker.
  void addBacklog(int jobs) {
    for (int n = 0; n < jobs; ++n) {
      model::JobSpec it = jobOf(false);
      it.Size.Slots = 40;
      MeasuredScheduler->enqueue(base::TaskId(it.Id.str() + "-0"), it);
    }
  }
  std::size_t started() const { return Started; }

private:
  void addRules() {
    model::RuleSet rules;
    for (int n = 0; n < 20; ++n)
      add(rules, model::LatencyTarget{
                     base::ServiceName("service-" + std::to_string(n)),
                     std::chrono::milliseconds(100)});
    for (int n = 0; n < 110; ++n)
      add(rules, model::TeamQuota{base::TeamName("team-" + std::to_string(n)),
                                  1000000});
    add(rules, model::SeparateClass{base::TaskClass("class-3"),
                                    base::ServiceName("service-3")});
    MeasuredScheduler->applyRules(rules);
  }
  static void add(model::RuleSet &rules, model::RuleBody body) {
    rules.Rules.push_back({rules.Rules.size() + 1, "rule", std::move(body),
                           base::ContractName("bench"), "bench"});
  }
  static model::Worker workerOf(int n) {
    model::Worker it;
    it.Id = base::WorkerId("worker-" + std::to_string(n));
    it.Zone = base::ZoneId("zone");
    it.Rack = base::RackId("rack-" + std::to_string(n / 20));
    it.Capacity = {40, 256, base::MilliCores{64'000}, base::MebiBytes{256'000},
                   n % 5 == 0 ? 12 : 0};
    return it;
  }
  model::JobSpec jobOf(bool service) {
    std::uint64_t n = CreatedJobs++;
    model::JobSpec it;
    it.Id = base::JobId("job-" + std::to_string(n));
    it.Team = base::TeamName("team-" + std::to_string(n % 110));
    it.Class = base::TaskClass("class-" + std::to_string(n % 40));
    it.Size = {1, 1, base::MilliCores{1000}, base::MebiBytes{3000}, 0};
    it.DeclaredRunTime = std::chrono::seconds(60 + n % 100);
    if (service) {
      it.Kind = model::TaskKind::Service;
      it.Service = base::ServiceName("service-" + std::to_string(n % 20));
      it.Class = base::TaskClass(it.Service.str());
    }
    return it;
  }
  void enqueue(bool service) {
    model::JobSpec it = jobOf(service);
    base::TaskId task(it.Id.str() + "-0");
    MeasuredScheduler->enqueue(task, it);
    if (service)
      ServiceTasks.push_back(task);
  }
  void applyStarts(std::size_t maxDecisions) {
    for (const Decision &it : MeasuredScheduler->decide(maxDecisions))
      if (auto *start = std::get_if<StartTask>(&it)) {
        ++Started;
        if (ServiceTasks.empty() ||
            Running.size() + ServiceTasks.size() < std::size_t(Workers) * 64)
          Running.push_back(start->Task);
      }
  }
  void startQueuedTasks() {
    applyStarts(std::size_t(Workers) * 40);
    if (Running.size() == std::size_t(Workers) * 6)
      Running.clear(); // the services
  }
  void report(const base::TaskId &task, int p95) {
    Measurement it;
    it.Task = task;
    it.Cpu = base::MilliCores{500 + std::int64_t(Random() % 1000)};
    it.Memory = base::MebiBytes{1000 + std::int64_t(Random() % 1000)};
    it.P95 = std::chrono::milliseconds(p95);
    it.TakenAt = Clock.now() - std::chrono::milliseconds(Random() % 2000);
    MeasuredScheduler->observe(it);
  }

  int Workers;
  base::ManualClock Clock;
  std::unique_ptr<Scheduler> MeasuredScheduler = makeScheduler(Clock, 1);
  std::deque<base::TaskId> Running;
  std::vector<base::TaskId> ServiceTasks;
  std::mt19937_64 Random{1};
  std::uint64_t CreatedJobs = 0;
  std::size_t Started = 0;
};

constexpr int StartsPerRound = 100;

void finish(benchmark::State &state, std::size_t done) {
  state.SetItemsProcessed(std::int64_t(done));
  state.counters["ns_each"] =
      benchmark::Counter(double(done) / 1e9, benchmark::Counter::kIsRate |
                                                 benchmark::Counter::kInvert);
}

/// End of a task, admission of a new one and its start: 100 of each in a
/// decision round, as at 1,000 starts a second and ten rounds a second.
void startCycle(benchmark::State &state) {
  SteadyZone zone(int(state.range(0)));
  std::size_t before = zone.started();
  for (auto _ : state)
    zone.replace(StartsPerRound);
  finish(state, zone.started() - before);
}

/// Like startCycle, with two measurements per start, one of them for a service.
void startCycleMeasured(benchmark::State &state) {
  SteadyZone zone(int(state.range(0)));
  std::size_t before = zone.started();
  for (auto _ : state) {
    zone.observe(StartsPerRound);
    zone.observeServices(StartsPerRound);
    zone.replace(StartsPerRound);
  }
  finish(state, zone.started() - before);
}

/// Like startCycle, with 2,000 queued jobs that fit on no worker at present.
void startCycleBacklog(benchmark::State &state) {
  SteadyZone zone(int(state.range(0)));
  zone.addBacklog(2000);
  std::size_t before = zone.started();
  for (auto _ : state)
    zone.replace(StartsPerRound);
  finish(state, zone.started() - before);
}

void observeBatch(benchmark::State &state) {
  SteadyZone zone(int(state.range(0)));
  for (auto _ : state)
    zone.observe(StartsPerRound);
  finish(state, std::size_t(state.iterations()) * StartsPerRound);
}

void observeService(benchmark::State &state) {
  SteadyZone zone(int(state.range(0)));
  for (auto _ : state)
    zone.observeServices(StartsPerRound);
  finish(state, std::size_t(state.iterations()) * StartsPerRound);
}

BENCHMARK(startCycle)->Arg(50)->Arg(555)->Arg(5000);
BENCHMARK(startCycleMeasured)->Arg(50)->Arg(555)->Arg(5000);
BENCHMARK(startCycleBacklog)->Arg(50)->Arg(555)->Arg(5000);
BENCHMARK(observeBatch)->Arg(50)->Arg(555)->Arg(5000);
BENCHMARK(observeService)->Arg(50)->Arg(555)->Arg(5000);

} // namespace
} // namespace endivedoor::policy
