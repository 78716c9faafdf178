// Checks property P1: after any sequence of events, no decision allocates more
// slots, connections, memory or accelerators on a worker than its capacity. The
// ledger is computed from the decisions alone.
#include "PolicyFixture.h"

#include <rapidcheck/gtest.h>

namespace endivedoor::policy {
namespace {

struct RunningTask {
  std::string Worker;
  model::JobSpec Job;
  base::Resources Booked;
};

/// Tracks allocations independently of the scheduler.
class Ledger {
public:
  std::map<std::string, base::Resources> Capacity;
  std::map<std::string, RunningTask> Tasks;
  std::map<std::string, model::JobSpec> Queued;

  void recordStart(const StartTask &it) {
    auto job = Queued.find(it.Task.str());
    RC_ASSERT(job != Queued.end());
    Tasks[it.Task.str()] = {it.Worker.str(), job->second, it.Allocated};
    RC_ASSERT(it.Allocated.Slots == job->second.Size.Slots);
    RC_ASSERT(base::count(it.Allocated.Memory) >=
              base::count(job->second.Size.Memory));
    Queued.erase(job);
    check(it.Worker.str());
  }
  void check(const std::string &worker) const {
    base::Resources sum;
    for (const auto &[id, it] : Tasks)
      if (it.Worker == worker)
        sum += it.Booked;
    sum.Cpu = base::MilliCores{0}; // CPU may be oversubscribed
    RC_ASSERT(sum.fitsIn(Capacity.at(worker)));
  }
};

template <typename Map> typename Map::iterator pick(Map &from) {
  return std::next(from.begin(), *rc::gen::inRange<int>(0, int(from.size())));
}

base::Resources randomSize(int scale) {
  return makeResources(*rc::gen::inRange(0, 4 * scale),
                       *rc::gen::inRange(0, 9 * scale), *rc::gen::inRange(0, 9),
                       *rc::gen::inRange(1, 30000 * scale),
                       *rc::gen::inRange(0, 2 * scale));
}

struct RandomRun {
  base::ManualClock Clock;
  std::unique_ptr<Scheduler> TestedScheduler;
  Ledger Expected;
  int CreatedJobs = 0;

  void enqueue() {
    model::JobSpec job =
        makeBatchJob("j" + std::to_string(CreatedJobs++), randomSize(1));
    if (*rc::gen::inRange(0, 4) == 0) {
      job.Kind = model::TaskKind::Service;
      job.Service = base::ServiceName("orders");
    }
    job.Urgent = *rc::gen::inRange(0, 5) == 0;
    job.Class = base::TaskClass(std::string(1, char('a' + CreatedJobs % 3)));
    for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
      std::string id = job.Id.str() + "-" + std::to_string(n);
      Expected.Queued[id] = job;
      TestedScheduler->enqueue(makeTaskId(id), job);
    }
  }
  void endOne() {
    if (Expected.Tasks.empty())
      return;
    auto it = pick(Expected.Tasks);
    auto reason = EndReason(*rc::gen::inRange(0, 5));
    TestedScheduler->ended(makeTaskId(it->first), reason);
    if (reason == EndReason::Failed || reason == EndReason::Evicted) {
      Expected.Queued[it->first] = it->second.Job;
      TestedScheduler->enqueue(makeTaskId(it->first), it->second.Job);
    }
    Expected.Tasks.erase(it);
  }
  void failStart() {
    if (Expected.Tasks.empty())
      return;
    auto it = pick(Expected.Tasks);
    TestedScheduler->startFailed(makeTaskId(it->first),
                                 base::WorkerId(it->second.Worker));
    Expected.Queued[it->first] = it->second.Job;
    Expected.Tasks.erase(it);
  }
  void cancelOne() {
    if (Expected.Queued.empty())
      return;
    auto it = pick(Expected.Queued);
    TestedScheduler->cancel(makeTaskId(it->first));
    Expected.Queued.erase(it);
  }
  void observeOne() {
    if (Expected.Tasks.empty())
      return;
    Measurement m;
    m.Task = makeTaskId(pick(Expected.Tasks)->first);
    m.Cpu = base::MilliCores{*rc::gen::inRange(0, 9000)};
    m.Memory = base::MebiBytes{*rc::gen::inRange(0, 20000)};
    m.P95 = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
    m.TakenAt = Clock.now() - *rc::gen::inRange(0, 5) * 1s;
    TestedScheduler->observe(m);
  }
  void leaveOrReturn() {
    model::Worker it =
        makeWorker("w" + std::to_string(*rc::gen::inRange(0, 4)), "z", "r");
    it.Capacity = Expected.Capacity.at(it.Id.str());
    it.Leaving = *rc::gen::arbitrary<bool>();
    TestedScheduler->upsertWorker(it);
  }
  void decide() {
    for (const Decision &it :
         TestedScheduler->decide(*rc::gen::inRange(0, 20))) {
      if (auto *start = std::get_if<StartTask>(&it))
        Expected.recordStart(*start);
      if (auto *refused = std::get_if<RefuseJob>(&it))
        std::erase_if(Expected.Queued, [&](const auto &entry) {
          return entry.second.Id == refused->Job;
        });
    }
  }
};

RC_GTEST_PROP(PolicyCapacity, RandomEventsNeverExceedCapacity, ()) {
  RandomRun run;
  PolicySettings settings;
  settings.UrgentWait = 0ms;
  run.TestedScheduler =
      makeScheduler(run.Clock, *rc::gen::arbitrary<unsigned>(), settings);
  model::RuleSet rules;
  rules.Rules.push_back(
      {1, "latency service orders p95 100ms",
       model::LatencyTarget{base::ServiceName("orders"), 100ms},
       base::ContractName("karoo"), "test"});
  run.TestedScheduler->applyRules(rules);
  for (int n = 0; n < 4; ++n) {
    model::Worker it =
        makeWorker("w" + std::to_string(n), "z", "r", randomSize(3));
    run.Expected.Capacity[it.Id.str()] = it.Capacity;
    run.TestedScheduler->upsertWorker(it);
  }
  static constexpr void (RandomRun::*events[])() = {
      &RandomRun::enqueue,    &RandomRun::enqueue,       &RandomRun::endOne,
      &RandomRun::failStart,  &RandomRun::cancelOne,     &RandomRun::observeOne,
      &RandomRun::observeOne, &RandomRun::leaveOrReturn, &RandomRun::decide};
  for (int n = 0; n < 150; ++n) {
    (run.*events[*rc::gen::inRange<std::size_t>(0, std::size(events))])();
    run.Clock.advance(*rc::gen::inRange(0, 2000) * 1ms);
    run.decide();
  }
}

} // namespace
} // namespace endivedoor::policy
