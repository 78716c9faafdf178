/// \file
/// Daemons on a simulated platform, for the control plane tests.
#ifndef ENDIVEDOOR_TESTS_UNIT_FAKES_H
#define ENDIVEDOOR_TESTS_UNIT_FAKES_H

#include "support/ControlWorkers.h"

namespace fakes {

/// A minimal scheduler that assigns each task to the first worker with enough
/// free resources.
class FirstFitScheduler final : public policy::Scheduler {
public:
  /// Additional decisions returned by the next decide().
  std::vector<policy::Decision> ExtraDecisions;

  void applyRules(const model::RuleSet &) override {}
  void setAdmission(bool open, double share) override {
    Open = open;
    Share = share;
  }
  void upsertWorker(const model::Worker &worker) override {
    Workers[worker.Id] = worker;
  }
  void removeWorker(const base::WorkerId &worker) override {
    Workers.erase(worker);
  }
  void enqueue(const base::TaskId &task, const model::JobSpec &job) override {
    Queue[task] = job.Size;
  }
  void cancel(const base::TaskId &task) override { Queue.erase(task); }
  void started(const base::TaskId &task, const model::JobSpec &job,
               const base::WorkerId &worker) override {
    Allocations[task] = {worker, job.Size};
  }
  void startFailed(const base::TaskId &task, const base::WorkerId &) override {
    auto it = Allocations.find(task);
    if (it == Allocations.end())
      return;
    Queue[task] = it->second.second;
    Allocations.erase(it);
  }
  void ended(const base::TaskId &task, policy::EndReason) override {
    Allocations.erase(task);
  }
  void observe(const policy::Measurement &) override {}
  std::vector<policy::Decision> decide(std::size_t) override {
    std::vector<policy::Decision> out = std::move(ExtraDecisions);
    ExtraDecisions.clear();
    for (auto it = Queue.begin(); Open && it != Queue.end();) {
      auto worker =
          std::find_if(Workers.begin(), Workers.end(), [&](const auto &w) {
            return !w.second.Leaving &&
                   it->second.fitsIn(freeResources(w.second));
          });
      if (worker == Workers.end()) {
        ++it;
        continue;
      }
      out.push_back(policy::StartTask{it->first, worker->first});
      Allocations[it->first] = {worker->first, it->second};
      it = Queue.erase(it);
    }
    return out;
  }

  bool Open = true;
  double Share = 1;

private:
  base::Resources freeResources(const model::Worker &worker) const {
    base::Resources free = worker.Capacity;
    for (const auto &[task, taken] : Allocations)
      if (taken.first == worker.Id)
        free -= taken.second;
    return free;
  }
  std::map<base::WorkerId, model::Worker> Workers;
  std::map<base::TaskId, base::Resources> Queue;
  std::map<base::TaskId, std::pair<base::WorkerId, base::Resources>>
      Allocations;
};

/// One daemon with its control plane.
struct Daemon {
  /// \param systemTimer use the system timer instead of virtual time.
  Daemon(Simulation &sim, StoreData &data, FakeWorkerPool &fleet,
         std::string name, std::string zone, bool systemTimer = false)
      : Hybrid(sim.Clock), Events(name, Hybrid, 10000),
        Store(sim, data, NetworkLink), Workers(sim, fleet, NetworkLink),
        Hosts(sim, fleet, NetworkLink) {
    Settings.Name = name;
    Settings.Zone = base::ZoneId(zone);
    Settings.Zones = {base::ZoneId("a"), base::ZoneId("b")};
    Settings.Seed = 7;
    ControlPlane = std::make_unique<control::Control>(
        sim.Io.get_executor(), Settings, Store, Workers, Hosts, sim.Clock,
        Events, base::InstanceId(name),
        [this] {
          auto made = std::make_unique<FirstFitScheduler>();
          Scheduler = made.get();
          return made;
        },
        systemTimer ? control::SleepFunction()
                    : [&sim, this](
                          base::Duration
                              d) { return sim.sleep(d, &NetworkLink.Frozen); });
    ControlPlane->start();
  }
  bool isOwner() const { return ControlPlane->jobs().has_value(); }
  int count(base::EventCode code) const {
    auto all = Events.snapshot();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(),
                      [&](const auto &it) { return it.Code == code; }));
  }

  FaultInjection NetworkLink;
  model::Settings Settings;
  base::HybridClock Hybrid;
  base::EventLog Events;
  FakeStore Store;
  FakeWorkerClient Workers;
  FakeHostList Hosts;
  FirstFitScheduler *Scheduler = nullptr;
  std::unique_ptr<control::Control> ControlPlane;
};

/// Two zones "a" and "b" with a store and workers; daemons are added by tests.
class Cluster {
public:
  std::vector<std::unique_ptr<Daemon>> Daemons;
  Simulation Sim;
  StoreData Data{Sim};
  FakeWorkerPool WorkerFleet{Sim, Data};
  std::vector<base::JobId> Admitted;
  int Refused = 0;

  ~Cluster() {
    // Timers must be destroyed before their io_context, and the fakes after the
    // coroutines that use them.
    for (auto &it : Daemons)
      it->ControlPlane.reset();
  }
  Daemon &daemon(const std::string &name, const std::string &zone = "a") {
    Daemons.push_back(
        std::make_unique<Daemon>(Sim, Data, WorkerFleet, name, zone));
    return *Daemons.back();
  }
  static model::JobSpec job(std::int32_t tasks = 1, std::string id = "") {
    model::JobSpec spec;
    spec.Id = base::JobId(std::move(id));
    spec.Contract = base::ContractName("mabena");
    spec.Class = base::TaskClass("c");
    spec.Tasks = tasks;
    spec.Size.Slots = 1;
    return spec;
  }
  void admit(Daemon &to, model::JobSpec spec) {
    Sim.spawn(runAdmit(to, std::move(spec)));
  }
  void cancel(Daemon &to, base::JobId id) {
    Sim.spawn(runCancel(to, std::move(id)));
  }
  void setZoneOut(Daemon &to, const std::string &zone, bool out) {
    Sim.spawn(runSetZoneOut(to, zone, out));
  }
  std::vector<control::ChangeOutcome> Changes;
  int ChangesFailed = 0;
  /// Returns all recorded invariant violations.
  std::string violations() const {
    std::string out;
    for (const auto *list : {&WorkerFleet.Violations, &Data.Violations})
      for (const std::string &it : *list)
        out += it + "; ";
    return out;
  }

  Daemon *owner(const std::string &zone = "a") {
    for (auto &it : Daemons)
      if (it->Settings.Zone.str() == zone && !it->NetworkLink.Frozen &&
          it->isOwner())
        return it.get();
    return nullptr;
  }
  /// Returns the state of a task at the owner of a zone, or nullopt if the zone
  /// has no owner or the owner does not know the task.
  std::optional<model::TaskState> state(const std::string &job,
                                        std::size_t task = 0,
                                        const std::string &zone = "a") {
    Daemon *at = owner(zone);
    if (at == nullptr)
      return std::nullopt;
    auto status = at->ControlPlane->job(base::JobId(job));
    if (!status || status.value().Tasks.size() <= task)
      return std::nullopt;
    return status.value().Tasks[task].State;
  }

private:
  awaitable<void> runAdmit(Daemon &to, model::JobSpec spec) {
    auto id = co_await to.ControlPlane->admit(std::move(spec));
    if (id)
      Admitted.push_back(id.value());
    else
      ++Refused;
  }
  awaitable<void> runCancel(Daemon &to, base::JobId id) {
    auto done = co_await to.ControlPlane->cancel(id);
    Refused += done ? 0 : 1;
  }
  awaitable<void> runSetZoneOut(Daemon &to, std::string zone, bool out) {
    auto outcome =
        co_await to.ControlPlane->setZoneOut(base::ZoneId(zone), out, "tester");
    if (outcome)
      Changes.push_back(outcome.value());
    else
      ++ChangesFailed;
  }
};

} // namespace fakes

#endif
