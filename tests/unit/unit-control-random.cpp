// Property test of the guarantees in docs/design.md, section 2, under random
// sequences of faults: frozen daemons, lost responses, store outages, network
// partitions, restarted and failing workers, evictions, cancellations and zones
// taken out. The checks use mainly the workers' log and the store, not the
// state of the control package.
#include "unit/Fakes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace fakes;

namespace {

struct FaultScenario {
  Cluster C;
  std::set<base::JobId> Cancelled;
  int Jobs = 0;
  int NextDaemon = 0;

  explicit FaultScenario(std::uint64_t seed) {
    C.Sim.Random.seed(seed);
    for (const char *zone : {"a", "b"}) {
      for (int n = 0; n < 2; ++n) {
        C.WorkerFleet.add(std::string(zone) + std::to_string(n), zone, 3);
        addDaemon(zone);
      }
    }
  }
  void addDaemon(const std::string &zone) {
    C.daemon("d" + std::to_string(NextDaemon++), zone);
  }
  int pick(int n) { return C.Sim.pick(n); }
  Daemon &randomDaemon() {
    return *C.Daemons[static_cast<std::size_t>(
        pick(static_cast<int>(C.Daemons.size())))];
  }
  FakeWorker &randomWorker() {
    return std::next(C.WorkerFleet.Workers.begin(),
                     pick(static_cast<int>(C.WorkerFleet.Workers.size())))
        ->second;
  }
  /// Freezes a daemon, usually a shard owner, and resumes it up to 8 s later.
  void freeze(Daemon &d) {
    Daemon *owner = C.owner(pick(2) == 0 ? "a" : "b");
    Daemon &it = owner != nullptr && pick(4) > 0 ? *owner : d;
    it.NetworkLink.Frozen = true;
    C.Sim.spawn(resumeAfter(it, 1ms * pick(8000)));
  }
  awaitable<void> resumeAfter(Daemon &d, base::Duration after) {
    co_await C.Sim.sleep(after, nullptr);
    d.NetworkLink.Frozen = false;
  }
  void applyRandomEvent() {
    Daemon &d = randomDaemon();
    FakeWorker &w = randomWorker();
    switch (pick(17)) {
    case 0:
    case 1:
    case 2:
    case 3:
      if (!d.NetworkLink.Frozen)
        C.admit(d, Cluster::job(1 + pick(3), "j" + std::to_string(Jobs++)));
      break;
    case 4:
      if (!d.NetworkLink.Frozen && !C.Admitted.empty()) {
        base::JobId id = C.Admitted[static_cast<std::size_t>(
            pick(static_cast<int>(C.Admitted.size())))];
        Cancelled.insert(id);
        C.cancel(d, id);
      }
      break;
    case 5:
    case 14:
    case 15:
      freeze(d);
      break;
    case 16:
      d.NetworkLink.WorkersPartitioned =
          !d.NetworkLink.WorkersPartitioned && pick(2) == 0;
      break;
    case 6:
      C.Data.Unavailable = !C.Data.Unavailable && pick(2) == 0;
      break;
    case 7:
      d.NetworkLink.StoreFaultPercent = pick(3) * 15;
      d.NetworkLink.StorePartitioned = pick(6) == 0;
      break;
    case 8:
      d.NetworkLink.WorkerFaultPercent = pick(3) * 15;
      break;
    case 9:
      w.Dead = !w.Dead;
      break;
    case 10:
      if (pick(3) == 0)
        C.WorkerFleet.reboot(w);
      break;
    case 11:
      w.FailsAll = pick(4) == 0;
      w.RunTime = 500ms * (1 + pick(20));
      break;
    case 12:
      if (!d.NetworkLink.Frozen)
        C.setZoneOut(d, pick(2) == 0 ? "a" : "b", pick(2) == 0);
      break;
    case 13:
      if (!d.NetworkLink.Frozen && d.isOwner() && !C.WorkerFleet.Log.empty())
        d.Scheduler->ExtraDecisions.push_back(policy::EvictTask{
            C.WorkerFleet
                .Log[static_cast<std::size_t>(
                    pick(static_cast<int>(C.WorkerFleet.Log.size())))]
                .Task,
            "test"});
      break;
    }
  }
  void clearFaults() {
    C.Data.Unavailable = false;
    for (auto &it : C.Daemons) {
      it->NetworkLink.Frozen = it->NetworkLink.StorePartitioned =
          it->NetworkLink.WorkersPartitioned = false;
      it->NetworkLink.StoreFaultPercent = it->NetworkLink.WorkerFaultPercent =
          0;
    }
    for (auto &[name, it] : C.WorkerFleet.Workers) {
      it.Dead = it.FailsAll = false;
      it.RunTime = 1s;
    }
    C.Sim.runFor(10s);
    for (const char *zone : {"a", "b"}) {
      C.setZoneOut(*C.Daemons[0], zone, false);
      C.Sim.runFor(2s);
    }
  }
  /// Returns the batch tasks of acknowledged jobs that neither finished, nor
  /// were cancelled, nor failed on three workers.
  std::string lostTasks() {
    std::string out;
    for (const base::JobId &job : C.Admitted) {
      if (Cancelled.count(job) > 0)
        continue;
      for (int n = 0; n < 3; ++n) {
        std::string task = job.str() + "." + std::to_string(n);
        bool failed = false, known = n == 0;
        for (const char *zone : {"a", "b"})
          if (auto status = C.owner(zone)->ControlPlane->job(job))
            for (const auto &it : status.value().Tasks) {
              known = known || it.Id.str() == task;
              failed = failed || (it.Id.str() == task &&
                                  it.State == model::TaskState::Failed);
            }
        if (known && !failed && C.WorkerFleet.finished(task) == 0)
          out += task + " ";
      }
    }
    return out;
  }
};

RC_GTEST_PROP(ControlRandom, GuaranteesHoldUnderRandomFaults, ()) {
  auto seed =
      *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1000000000));
  FaultScenario scenario(seed);
  scenario.C.Sim.runFor(3s);
  for (int n = 0; n < 250; ++n) {
    scenario.applyRandomEvent();
    scenario.C.Sim.runFor(10ms * scenario.pick(80));
  }
  scenario.clearFaults();
  scenario.C.Sim.runFor(90s);
  RC_ASSERT(scenario.C.violations() == "");
  RC_ASSERT(static_cast<bool>(scenario.C.owner("a")));
  RC_ASSERT(static_cast<bool>(scenario.C.owner("b")));
  RC_ASSERT(scenario.lostTasks() == "");
  RC_TAG(scenario.C.WorkerFleet.Log.size() > 60 ? "above 60 runs"
                                                : "up to 60 runs");
}

} // namespace
