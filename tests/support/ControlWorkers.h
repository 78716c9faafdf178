/// \file
/// Simulated workers for the control package tests, which check every start
/// request.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_CONTROLWORKERS_H
#define ENDIVEDOOR_TESTS_SUPPORT_CONTROLWORKERS_H

#include "support/ControlStore.h"

namespace fakes {

/// One run of a task on a worker, recorded for the checks of a test.
struct TaskRun {
  base::TaskId Task;
  base::Attempt Number{0};
  base::WorkerId Worker;
  std::string Resume;
  base::Resources Size;
  bool Service = false;
  base::TimePoint Begin;
  std::optional<base::TimePoint> End;
  platform::AttemptState State = platform::AttemptState::Running;
  std::string Checkpoint;
  base::TimePoint LeaseEnd;
  bool Acknowledged = false;
  /// The worker has restarted since and no longer reports this run.
  bool LostOnRestart = false;
};

/// State of a simulated worker. Implements docs/design.md, sections 4 and 5.
struct FakeWorker {
  model::Worker Worker;
  std::string Holder;
  base::Epoch HolderEpoch{0};
  std::uint64_t Token = 0;
  std::uint64_t Sequence = 0;
  base::TimePoint LeaseEnd;
  int BootCount = 1;
  bool Dead = false;
  bool FailsAll = false;
  base::Duration RunTime = 2s;
  /// Indices of the running tasks in FakeWorkerPool::Log.
  std::vector<std::size_t> Running;
};

/// All simulated workers and the log of their runs.
class FakeWorkerPool {
public:
  FakeWorkerPool(Simulation &sim, const StoreData &data)
      : Sim(sim), Data(data) {}
  std::map<std::string, FakeWorker> Workers;
  std::vector<TaskRun> Log;
  std::vector<std::string> Violations;

  FakeWorker &add(const std::string &name, const std::string &zone,
                  std::int32_t slots = 4) {
    FakeWorker &it = Workers[name];
    it.Worker.Id = base::WorkerId(name);
    it.Worker.Zone = base::ZoneId(zone);
    it.Worker.Rack = base::RackId("r1");
    it.Worker.Endpoint = {name, 1};
    it.Worker.Capacity = {slots, 64, base::MilliCores{32000},
                          base::MebiBytes{125000}, 0};
    return it;
  }
  std::vector<model::Worker> list() const {
    std::vector<model::Worker> out;
    for (const auto &[name, it] : Workers) {
      out.push_back(it.Worker);
      out.back().Capacity = {};
    }
    return out;
  }
  /// Ends tasks whose run time has elapsed or whose lease has expired.
  void endDueTasks() {
    base::TimePoint now = Sim.Clock.now();
    for (auto &[name, worker] : Workers)
      for (std::size_t n : std::vector<std::size_t>(worker.Running)) {
        TaskRun &run = Log[n];
        if (run.LeaseEnd <= now &&
            (run.Service || run.Begin + worker.RunTime > run.LeaseEnd))
          endRun(worker, n, platform::AttemptState::Stopped, run.LeaseEnd);
        else if (!run.Service && run.Begin + worker.RunTime <= now)
          endRun(worker, n,
                 worker.FailsAll ? platform::AttemptState::Failed
                                 : platform::AttemptState::Finished,
                 run.Begin + worker.RunTime);
      }
  }
  void endRun(FakeWorker &worker, std::size_t n, platform::AttemptState state,
              base::TimePoint at) {
    Log[n].State = state;
    Log[n].End = at;
    std::erase(worker.Running, n);
  }
  void reboot(FakeWorker &worker) {
    endDueTasks();
    for (std::size_t n : std::vector<std::size_t>(worker.Running))
      endRun(worker, n, platform::AttemptState::Stopped, Sim.Clock.now());
    for (TaskRun &it : Log)
      it.LostOnRestart = it.LostOnRestart || it.Worker == worker.Worker.Id;
    worker.LeaseEnd = {};
    ++worker.BootCount;
  }
  void checkStart(const FakeWorker &worker, const TaskRun &run) {
    auto out = Data.ZoneOutSince.find(worker.Worker.Zone.str());
    if (out != Data.ZoneOutSince.end() && Sim.Clock.now() - out->second > 3s)
      Violations.push_back("started in a zone that was taken out: " +
                           run.Task.str());
    std::string intent = "\"task\":{\"id\":\"" + run.Task.str() + "\"";
    std::string number =
        "\"attempt\":" + std::to_string(base::toNumber(run.Number)) + ",";
    bool durable = false;
    for (const auto &[key, entry] : Data.Entries) {
      std::size_t at = entry.Value.find(intent);
      for (; at != std::string::npos; at = entry.Value.find(intent, at + 1))
        durable = durable || entry.Value.find(number, at) < at + 200;
    }
    if (!durable)
      Violations.push_back("started without a durable start record: " +
                           run.Task.str());
    base::Resources used = run.Size;
    for (std::size_t n : worker.Running)
      used += Log[n].Size;
    if (!used.fitsIn(worker.Worker.Capacity))
      Violations.push_back("worker over capacity: " + worker.Worker.Id.str());
    std::string resume;
    for (const TaskRun &it : Log) {
      if (it.Task != run.Task)
        continue;
      if (!it.End)
        Violations.push_back("two attempts running at once: " + run.Task.str());
      // An acknowledged checkpoint is durable, so no later run may start from
      // an older one.
      if (it.Acknowledged && !it.Checkpoint.empty())
        resume = it.Checkpoint;
      else if (!it.Checkpoint.empty() && it.Checkpoint == run.Resume)
        resume = run.Resume;
    }
    if (run.Resume != resume)
      Violations.push_back("resumed from the wrong checkpoint: " +
                           run.Task.str());
  }
  /// Returns how many runs of a task finished.
  int finished(const std::string &task) const {
    return static_cast<int>(
        std::count_if(Log.begin(), Log.end(), [&](const TaskRun &it) {
          return it.Task.str() == task &&
                 it.State == platform::AttemptState::Finished;
        }));
  }

private:
  Simulation &Sim;
  const StoreData &Data;
};

class FakeWorkerClient final : public platform::WorkerClient {
public:
  FakeWorkerClient(Simulation &sim, FakeWorkerPool &fleet, FaultInjection &link)
      : Sim(sim), Pool(fleet), Faults(link) {}

  platform::Async<platform::PlacementLease>
  claim(model::Address worker, std::string holder, base::Epoch epoch,
        std::chrono::milliseconds ttl) override {
    return call<platform::PlacementLease>(worker, [=, this](FakeWorker &it) {
      bool live = it.LeaseEnd > Sim.Clock.now();
      if (live && epoch <= it.HolderEpoch)
        return base::Result<platform::PlacementLease>(
            base::Error{Errc::LeaseHeld, "held"});
      it.Holder = holder;
      it.HolderEpoch = epoch;
      ++it.Token;
      it.LeaseEnd = Sim.Clock.now() + ttl;
      return base::Result<platform::PlacementLease>(platform::PlacementLease{
          base::FencingToken{it.Token}, it.Sequence,
          std::to_string(it.BootCount), it.Worker.Capacity});
    });
  }
  platform::Async<platform::RenewReply>
  renew(model::Address worker, platform::RenewRequest request) override {
    return call<platform::RenewReply>(worker, [=, this](FakeWorker &it) {
      if (auto error = checkFencingToken(it, request.Token))
        return base::Result<platform::RenewReply>(*error);
      it.LeaseEnd = Sim.Clock.now() + request.Ttl;
      ++it.Sequence;
      for (std::size_t n : it.Running)
        Pool.Log[n].LeaseEnd = Sim.Clock.now() + request.TaskTtl;
      platform::RenewReply reply;
      reply.Sequence = it.Sequence;
      reply.BootId = std::to_string(it.BootCount);
      reply.Leaving = it.Worker.Leaving;
      for (TaskRun &run : Pool.Log) {
        if (run.Worker != it.Worker.Id || run.Acknowledged || run.LostOnRestart)
          continue;
        for (const auto &ack : request.Acknowledged)
          run.Acknowledged =
              run.Acknowledged ||
              (run.End && ack.Task == run.Task && ack.Attempt == run.Number);
        if (!run.Acknowledged)
          reply.Attempts.push_back(
              {run.Task, run.Number, run.State, run.Checkpoint, 0});
      }
      return base::Result<platform::RenewReply>(reply);
    });
  }
  platform::Async<void> start(model::Address worker,
                              platform::StartRequest request) override {
    return call<void>(
        worker,
        [=, this](FakeWorker &it) -> base::Result<void> {
          ++Faults.StartsReceived;
          if (auto error = checkFencingToken(it, request.Token))
            return *error;
          if (request.Sequence + 2 < it.Sequence)
            return base::Error{Errc::StartRefused, "old-sequence"};
          if (it.Worker.Leaving)
            return base::Error{Errc::StartRefused, "leaving"};
          for (const TaskRun &run : Pool.Log)
            if (run.Task == request.Task && run.Number == request.Attempt)
              return base::Error{Errc::StartRefused, "duplicate"};
          TaskRun run{request.Task,
                      request.Attempt,
                      it.Worker.Id,
                      request.ResumeCheckpoint,
                      request.Resources,
                      request.Kind == model::TaskKind::Service,
                      Sim.Clock.now(),
                      {},
                      {},
                      {},
                      Sim.Clock.now() + 30s};
          Pool.checkStart(it, run);
          it.Running.push_back(Pool.Log.size());
          Pool.Log.push_back(run);
          return base::success();
        },
        true);
  }
  platform::Async<std::string> evict(model::Address worker,
                                     platform::AttemptRef attempt,
                                     base::FencingToken token) override {
    return call<std::string>(
        worker, [=, this](FakeWorker &it) -> base::Result<std::string> {
          if (auto error = checkFencingToken(it, token))
            return *error;
          for (std::size_t n : it.Running)
            if (Pool.Log[n].Task == attempt.Task &&
                Pool.Log[n].Number == attempt.Attempt) {
              std::string mark =
                  attempt.Task.str() + "@" +
                  std::to_string(base::toNumber(attempt.Attempt));
              Pool.Log[n].Checkpoint = mark;
              Pool.endRun(it, n, platform::AttemptState::Evicted,
                          Sim.Clock.now());
              return mark;
            }
          return base::Error{Errc::StartRefused, "unknown"};
        });
  }
  platform::Async<void> throttle(model::Address worker, platform::AttemptRef,
                                 base::FencingToken token,
                                 std::int32_t) override {
    return call<void>(worker, [=, this](FakeWorker &it) -> base::Result<void> {
      if (auto error = checkFencingToken(it, token))
        return *error;
      return base::success();
    });
  }
  platform::Async<void> stop(model::Address worker,
                             platform::AttemptRef attempt,
                             base::FencingToken token) override {
    return call<void>(worker, [=, this](FakeWorker &it) -> base::Result<void> {
      if (auto error = checkFencingToken(it, token))
        return *error;
      for (std::size_t n : std::vector<std::size_t>(it.Running))
        if (Pool.Log[n].Task == attempt.Task &&
            Pool.Log[n].Number == attempt.Attempt)
          Pool.endRun(it, n, platform::AttemptState::Stopped, Sim.Clock.now());
      return base::success();
    });
  }
  platform::Async<platform::WorkerStatus> status(model::Address) override {
    co_return base::Error{Errc::WorkerUnreachable,
                          "not implemented by the fake worker"};
  }

private:
  std::optional<base::Error> checkFencingToken(const FakeWorker &it,
                                               base::FencingToken token) const {
    if (base::toNumber(token) != it.Token)
      return base::Error{Errc::LeaseStale, "stale-token"};
    if (it.LeaseEnd <= Sim.Clock.now())
      return base::Error{Errc::LeaseStale, "lapsed"};
    return std::nullopt;
  }
  template <typename T, typename Action>
  platform::Async<T> call(model::Address address, Action action,
                          bool isStart = false) {
    bool faulty = Sim.pick(100) < Faults.WorkerFaultPercent;
    Fault fault = !faulty            ? Fault::None
                  : Sim.pick(2) == 0 ? Fault::RequestLost
                                     : Fault::ResponseLost;
    // A faulty call may reach the worker late, by up to 3 s.
    base::Duration delay = faulty ? 1ms * Sim.pick(3000) : Faults.Delay / 2;
    if (isStart)
      delay += Faults.StartDelay;
    co_await Sim.sleep(delay, nullptr);
    FakeWorker &worker = Pool.Workers.at(address.Ip);
    Pool.endDueTasks();
    if (worker.Dead || Faults.WorkersPartitioned ||
        fault == Fault::RequestLost) {
      co_await Sim.sleep(100ms, &Faults.Frozen);
      co_return base::Error{Errc::WorkerUnreachable, "fake"};
    }
    base::Result<T> result = action(worker);
    co_await Sim.sleep(fault == Fault::None ? Faults.Delay / 2 : 100ms,
                       &Faults.Frozen);
    if (fault == Fault::ResponseLost)
      co_return base::Error{Errc::WorkerAnswerLost, "fake"};
    co_return result;
  }
  Simulation &Sim;
  FakeWorkerPool &Pool;
  FaultInjection &Faults;
};

class FakeHostList final : public platform::HostList {
public:
  FakeHostList(Simulation &sim, FakeWorkerPool &fleet, FaultInjection &link)
      : Sim(sim), Pool(fleet), Faults(link) {}
  platform::Async<std::vector<model::Worker>> fetch() override {
    co_await Sim.sleep(Faults.Delay, &Faults.Frozen);
    co_return Pool.list();
  }

private:
  Simulation &Sim;
  FakeWorkerPool &Pool;
  FaultInjection &Faults;
};

} // namespace fakes

#endif
