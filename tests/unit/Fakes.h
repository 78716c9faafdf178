/// \file
/// A simulated platform for the tests of control: virtual time, one store,
/// workers that judge what they are told, and daemons that can be frozen.
#ifndef ENDIVEDOOR_TESTS_UNIT_FAKES_H
#define ENDIVEDOOR_TESTS_UNIT_FAKES_H

#include "endivedoor/control/Control.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace fakes {

using namespace endivedoor;
using namespace std::chrono_literals;
using base::Errc;
using boost::asio::awaitable;

/// Virtual time: runs everything that is ready, then jumps to the next timer.
class Simulation {
public:
  base::ManualClock Clock;
  std::mt19937_64 Random{1};
  boost::asio::io_context Io;

  using Timer = std::shared_ptr<boost::asio::steady_timer>;
  awaitable<void> sleep(base::Duration d, const bool *frozen) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        Io, boost::asio::steady_timer::time_point::max());
    Due.emplace(Clock.now() + d, std::make_pair(timer, frozen));
    co_await timer->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  void runFor(base::Duration d) {
    base::TimePoint end = Clock.now() + d;
    poll();
    for (auto it = next(); it != Due.end() && it->first <= end; it = next()) {
      Clock.advance(std::max(it->first - Clock.now(), base::Duration(0)));
      it->second.first->cancel();
      Due.erase(it);
      poll();
    }
    Clock.advance(std::max(end - Clock.now(), base::Duration(0)));
  }
  /// Runs until \p done or \p limit has passed; returns whether it is done.
  template <typename Done>
  bool runUntil(Done done, base::Duration limit = 60s) {
    base::TimePoint end = Clock.now() + limit;
    while (!done() && Clock.now() < end)
      runFor(10ms);
    return done();
  }
  template <typename T> void spawn(awaitable<T> coroutine) {
    boost::asio::co_spawn(Io, std::move(coroutine), boost::asio::detached);
  }
  int pick(int n) {
    return static_cast<int>(Random() % static_cast<unsigned>(n));
  }

private:
  void poll() {
    Io.restart();
    Io.poll();
  }
  /// The first timer whose owner is not frozen.
  std::multimap<base::TimePoint, std::pair<Timer, const bool *>>::iterator
  next() {
    return std::find_if(Due.begin(), Due.end(), [](const auto &it) {
      return it.second.second == nullptr || !*it.second.second;
    });
  }
  std::multimap<base::TimePoint, std::pair<Timer, const bool *>> Due;
};

/// Ways in which a call goes wrong.
enum class Fault { None, NotSent, AnswerLost };

/// The content of the store, shared by all daemons.
class StoreData {
public:
  explicit StoreData(Simulation &sim) : Sim(sim) {}
  std::map<std::string, platform::StoreEntry> Entries;
  std::map<std::string, std::int64_t> Attached;
  std::map<std::int64_t, std::pair<base::TimePoint, base::Duration>> Leases;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  bool Down = false;
  std::uint64_t Calls = 0;
  /// When each zone was taken out, as the accepted configuration says.
  std::map<std::string, base::TimePoint> OutSince;
  /// Calls that break the store's limits.
  std::vector<std::string> Violations;

  void expire() {
    for (auto it = Leases.begin(); it != Leases.end();)
      if (it->second.first < Sim.Clock.now())
        it = revoke(it);
      else
        ++it;
  }
  std::map<std::int64_t, std::pair<base::TimePoint, base::Duration>>::iterator
  revoke(std::map<std::int64_t,
                  std::pair<base::TimePoint, base::Duration>>::iterator lease) {
    ++Revision;
    std::erase_if(Entries, [&](const auto &it) {
      auto at = Attached.find(it.first);
      return at != Attached.end() && at->second == lease->first;
    });
    return Leases.erase(lease);
  }
  bool holds(const platform::StoreCompare &compare) const {
    auto it = Entries.find(compare.Key);
    std::int64_t value = 0;
    if (it != Entries.end())
      value = compare.What == platform::StoreCompare::Field::CreateRevision
                  ? it->second.CreateRevision
                  : it->second.ModRevision;
    return value == compare.Equals;
  }
  std::vector<platform::StoreEntry> range(const std::string &key,
                                          const std::string &end,
                                          std::int64_t limit) const {
    std::vector<platform::StoreEntry> out;
    for (auto it = Entries.lower_bound(key); it != Entries.end(); ++it) {
      if (end.empty() ? it->first != key : it->first >= end)
        break;
      if (limit > 0 && out.size() == static_cast<std::size_t>(limit))
        break;
      out.push_back(it->second);
    }
    return out;
  }
  platform::StoreTxnResult apply(const platform::StoreTxn &txn) {
    using Kind = platform::StoreOp::Kind;
    platform::StoreTxnResult out;
    out.Succeeded = std::all_of(txn.Compares.begin(), txn.Compares.end(),
                                [&](const auto &it) { return holds(it); });
    const auto &ops = out.Succeeded ? txn.Success : txn.Failure;
    if (std::any_of(ops.begin(), ops.end(),
                    [](const auto &it) { return it.What != Kind::Range; }))
      ++Revision;
    std::set<std::string> written;
    for (const platform::StoreOp &it : ops) {
      if (it.What != Kind::Range && !written.insert(it.Key).second)
        Violations.push_back("duplicate key in a transaction: " + it.Key);
      if (it.What == Kind::Range)
        out.Ranges.push_back(range(it.Key, it.RangeEnd, it.Limit));
      else if (it.What == Kind::Delete)
        Entries.erase(it.Key);
      else
        put(it);
    }
    if (ops.size() > 128)
      Violations.push_back("too many operations in a transaction");
    out.Revision = Revision;
    return out;
  }
  /// The store refuses puts under a lease that has lapsed.
  bool knowsLeases(const platform::StoreTxn &txn) const {
    return std::all_of(
        txn.Success.begin(), txn.Success.end(), [&](const auto &it) {
          return it.Lease == platform::LeaseId{0} ||
                 Leases.count(static_cast<std::int64_t>(it.Lease)) > 0;
        });
  }
  std::size_t count(const std::string &prefix) const {
    return range(prefix, platform::prefixEnd(prefix), 0).size();
  }

private:
  void put(const platform::StoreOp &op) {
    if (op.Value.size() > 1000000)
      Violations.push_back("value above 1 MB: " + op.Key);
    auto [it, added] = Entries.try_emplace(op.Key);
    it->second.Key = op.Key;
    it->second.Value = op.Value;
    it->second.ModRevision = Revision;
    if (added)
      it->second.CreateRevision = Revision;
    Attached.erase(op.Key);
    if (op.Key == "/endivedoor/config/current")
      noteZones(control::configurationFromJson(op.Value).value());
    if (op.Lease != platform::LeaseId{0})
      Attached[op.Key] = static_cast<std::int64_t>(op.Lease);
  }
  void noteZones(const control::Configuration &config) {
    std::erase_if(OutSince, [&](const auto &it) {
      return config.ZonesOut.count(base::ZoneId(it.first)) == 0;
    });
    for (const base::ZoneId &it : config.ZonesOut)
      OutSince.try_emplace(it.str(), Sim.Clock.now());
  }
  Simulation &Sim;
};

/// What stands between one daemon and the platform.
struct Link {
  bool Frozen = false;
  bool StoreCut = false;
  bool WorkersCut = false;
  base::Duration Delay = 2ms;
  /// Faults of the next store calls; afterwards the chance of each kind.
  std::deque<Fault> StoreFaults;
  int StoreFaultPercent = 0;
  int WorkerFaultPercent = 0;
  /// Number of store transactions sent; Frozen is set after this one took
  /// effect.
  int Txns = 0;
  int FreezeAfterTxn = 0;
  /// This transaction reaches the store late; the daemon is frozen until then.
  int HoldTxn = 0;
  /// Transactions without a condition, such as the configuration's poll, fail.
  bool PollsCut = false;
  /// Answers of the store arrive this much later.
  base::Duration AnswerDelay{0};
  /// Starts reach workers this much later.
  base::Duration StartDelay{0};
  /// Starts that reached a worker.
  int StartsArrived = 0;
};

class FakeStore final : public platform::Store {
public:
  FakeStore(Simulation &sim, StoreData &data, Link &link)
      : Sim(sim), Data(data), To(link) {}

  platform::Async<platform::StoreTxnResult>
  txn(platform::StoreTxn request) override {
    Fault fault = nextFault();
    int number = ++To.Txns;
    if (number == To.HoldTxn)
      To.Frozen = true;
    co_await Sim.sleep(number == To.HoldTxn ? 5s : To.Delay / 2, nullptr);
    bool up = !Data.Down && !To.StoreCut && fault != Fault::NotSent &&
              !(To.PollsCut && request.Compares.empty());
    Data.expire();
    platform::StoreTxnResult result;
    bool rejected = up && !Data.knowsLeases(request);
    if (up && !rejected)
      result = Data.apply(request);
    if (number == To.FreezeAfterTxn)
      To.Frozen = true;
    co_await Sim.sleep(To.AnswerDelay + (up && fault == Fault::None
                                             ? To.Delay / 2
                                             : base::Duration(200ms)),
                       &To.Frozen);
    if (!up)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    if (fault == Fault::AnswerLost)
      co_return base::Error{Errc::StoreAnswerLost, "fake"};
    if (rejected)
      co_return base::Error{Errc::StoreRejected, "requested lease not found"};
    co_return result;
  }
  platform::Async<std::vector<platform::StoreEntry>>
  range(std::string key, std::string end, std::int64_t limit) override {
    bool reached = co_await reach();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    co_return Data.range(key, end, limit);
  }
  platform::Async<platform::LeaseId>
  grantLease(std::chrono::seconds ttl) override {
    bool reached = co_await reach();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    Data.Leases[++Data.LastLease] = {Sim.Clock.now() + ttl, ttl};
    co_return platform::LeaseId{Data.LastLease};
  }
  platform::Async<void> keepAlive(platform::LeaseId lease) override {
    bool reached = co_await reach();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    auto it = Data.Leases.find(static_cast<std::int64_t>(lease));
    if (it == Data.Leases.end())
      co_return base::Error{Errc::StoreRejected, "no such lease"};
    it->second.first = Sim.Clock.now() + it->second.second;
    co_return base::success();
  }
  platform::Async<void> revokeLease(platform::LeaseId lease) override {
    bool reached = co_await reach();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    auto it = Data.Leases.find(static_cast<std::int64_t>(lease));
    if (it != Data.Leases.end())
      Data.revoke(it);
    co_return base::success();
  }

private:
  Fault nextFault() {
    ++Data.Calls;
    if (!To.StoreFaults.empty()) {
      Fault fault = To.StoreFaults.front();
      To.StoreFaults.pop_front();
      return fault;
    }
    if (Sim.pick(100) >= To.StoreFaultPercent)
      return Fault::None;
    return Sim.pick(2) == 0 ? Fault::NotSent : Fault::AnswerLost;
  }
  awaitable<bool> reach() {
    ++Data.Calls;
    co_await Sim.sleep(To.Delay, &To.Frozen);
    Data.expire();
    co_return !Data.Down && !To.StoreCut &&
        Sim.pick(100) >= To.StoreFaultPercent;
  }
  Simulation &Sim;
  StoreData &Data;
  Link &To;
};

/// One run of a task on a worker, kept for the verdict of a test.
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
  /// The worker has restarted since.
  bool Forgotten = false;
};

/// A worker host. Follows docs/design.md, sections 4 and 5.
struct FakeWorker {
  model::Worker Worker;
  std::string Holder;
  base::Epoch HolderEpoch{0};
  std::uint64_t Token = 0;
  std::uint64_t Sequence = 0;
  base::TimePoint LeaseEnd;
  int Boot = 1;
  bool Dead = false;
  bool FailsAll = false;
  base::Duration RunTime = 2s;
  /// Indices of the running tasks in the fleet's log.
  std::vector<std::size_t> Running;
};

/// All workers, and the log of what ran.
class Fleet {
public:
  Fleet(Simulation &sim, const StoreData &data) : Sim(sim), Data(data) {}
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
  /// Ends tasks whose time or lease is over.
  void settle() {
    base::TimePoint now = Sim.Clock.now();
    for (auto &[name, worker] : Workers)
      for (std::size_t n : std::vector<std::size_t>(worker.Running)) {
        TaskRun &run = Log[n];
        if (run.LeaseEnd <= now &&
            (run.Service || run.Begin + worker.RunTime > run.LeaseEnd))
          end(worker, n, platform::AttemptState::Stopped, run.LeaseEnd);
        else if (!run.Service && run.Begin + worker.RunTime <= now)
          end(worker, n,
              worker.FailsAll ? platform::AttemptState::Failed
                              : platform::AttemptState::Finished,
              run.Begin + worker.RunTime);
      }
  }
  void end(FakeWorker &worker, std::size_t n, platform::AttemptState state,
           base::TimePoint at) {
    Log[n].State = state;
    Log[n].End = at;
    std::erase(worker.Running, n);
  }
  void reboot(FakeWorker &worker) {
    settle();
    for (std::size_t n : std::vector<std::size_t>(worker.Running))
      end(worker, n, platform::AttemptState::Stopped, Sim.Clock.now());
    for (TaskRun &it : Log)
      it.Forgotten = it.Forgotten || it.Worker == worker.Worker.Id;
    worker.LeaseEnd = {};
    ++worker.Boot;
  }
  void judge(const FakeWorker &worker, const TaskRun &run) {
    auto out = Data.OutSince.find(worker.Worker.Zone.str());
    if (out != Data.OutSince.end() && Sim.Clock.now() - out->second > 3s)
      Violations.push_back("started in a zone that is out: " + run.Task.str());
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
      Violations.push_back("started without a durable intent: " +
                           run.Task.str());
    base::Resources used = run.Size;
    for (std::size_t n : worker.Running)
      used += Log[n].Size;
    if (!used.fitsIn(worker.Worker.Capacity))
      Violations.push_back("over capacity: " + worker.Worker.Id.str());
    std::string resume;
    for (const TaskRun &it : Log) {
      if (it.Task != run.Task)
        continue;
      if (!it.End)
        Violations.push_back("live twice: " + run.Task.str());
      // An acknowledged checkpoint is recorded, so no later run may start
      // from an older one.
      if (it.Acknowledged && !it.Checkpoint.empty())
        resume = it.Checkpoint;
      else if (!it.Checkpoint.empty() && it.Checkpoint == run.Resume)
        resume = run.Resume;
    }
    if (run.Resume != resume)
      Violations.push_back("wrong checkpoint: " + run.Task.str());
  }
  /// Runs of a task that finished.
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
  FakeWorkerClient(Simulation &sim, Fleet &fleet, Link &link)
      : Sim(sim), All(fleet), To(link) {}

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
          base::FencingToken{it.Token}, it.Sequence, std::to_string(it.Boot),
          it.Worker.Capacity});
    });
  }
  platform::Async<platform::RenewReply>
  renew(model::Address worker, platform::RenewRequest request) override {
    return call<platform::RenewReply>(worker, [=, this](FakeWorker &it) {
      if (auto error = fence(it, request.Token))
        return base::Result<platform::RenewReply>(*error);
      it.LeaseEnd = Sim.Clock.now() + request.Ttl;
      ++it.Sequence;
      for (std::size_t n : it.Running)
        All.Log[n].LeaseEnd = Sim.Clock.now() + request.TaskTtl;
      platform::RenewReply reply;
      reply.Sequence = it.Sequence;
      reply.Boot = std::to_string(it.Boot);
      reply.Leaving = it.Worker.Leaving;
      for (TaskRun &run : All.Log) {
        if (run.Worker != it.Worker.Id || run.Acknowledged || run.Forgotten)
          continue;
        for (const auto &ack : request.Acknowledged)
          run.Acknowledged =
              run.Acknowledged ||
              (run.End && ack.Task == run.Task && ack.Number == run.Number);
        if (!run.Acknowledged)
          reply.Tasks.push_back(
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
          ++To.StartsArrived;
          if (auto error = fence(it, request.Token))
            return *error;
          if (request.Sequence + 2 < it.Sequence)
            return base::Error{Errc::StartRefused, "old-sequence"};
          if (it.Worker.Leaving)
            return base::Error{Errc::StartRefused, "leaving"};
          for (const TaskRun &run : All.Log)
            if (run.Task == request.Task && run.Number == request.Number)
              return base::Error{Errc::StartRefused, "duplicate"};
          TaskRun run{request.Task,
                      request.Number,
                      it.Worker.Id,
                      request.Resume,
                      request.Size,
                      request.Kind == model::TaskKind::Service,
                      Sim.Clock.now(),
                      {},
                      {},
                      {},
                      Sim.Clock.now() + 30s};
          All.judge(it, run);
          it.Running.push_back(All.Log.size());
          All.Log.push_back(run);
          return base::success();
        },
        true);
  }
  platform::Async<std::string> evict(model::Address worker,
                                     platform::AttemptRef attempt,
                                     base::FencingToken token) override {
    return call<std::string>(
        worker, [=, this](FakeWorker &it) -> base::Result<std::string> {
          if (auto error = fence(it, token))
            return *error;
          for (std::size_t n : it.Running)
            if (All.Log[n].Task == attempt.Task &&
                All.Log[n].Number == attempt.Number) {
              std::string mark = attempt.Task.str() + "@" +
                                 std::to_string(base::toNumber(attempt.Number));
              All.Log[n].Checkpoint = mark;
              All.end(it, n, platform::AttemptState::Evicted, Sim.Clock.now());
              return mark;
            }
          return base::Error{Errc::StartRefused, "unknown"};
        });
  }
  platform::Async<void> throttle(model::Address worker, platform::AttemptRef,
                                 base::FencingToken token,
                                 std::int32_t) override {
    return call<void>(worker, [=, this](FakeWorker &it) -> base::Result<void> {
      if (auto error = fence(it, token))
        return *error;
      return base::success();
    });
  }
  platform::Async<void> stop(model::Address worker,
                             platform::AttemptRef attempt,
                             base::FencingToken token) override {
    return call<void>(worker, [=, this](FakeWorker &it) -> base::Result<void> {
      if (auto error = fence(it, token))
        return *error;
      for (std::size_t n : std::vector<std::size_t>(it.Running))
        if (All.Log[n].Task == attempt.Task &&
            All.Log[n].Number == attempt.Number)
          All.end(it, n, platform::AttemptState::Stopped, Sim.Clock.now());
      return base::success();
    });
  }
  platform::Async<platform::WorkerStatus> status(model::Address) override {
    co_return base::Error{Errc::WorkerUnreachable, "not faked"};
  }

private:
  std::optional<base::Error> fence(const FakeWorker &it,
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
    bool faulty = Sim.pick(100) < To.WorkerFaultPercent;
    Fault fault = !faulty            ? Fault::None
                  : Sim.pick(2) == 0 ? Fault::NotSent
                                     : Fault::AnswerLost;
    // A faulty call may reach the worker late.
    base::Duration delay = faulty ? 1ms * Sim.pick(3000) : To.Delay / 2;
    if (isStart)
      delay += To.StartDelay;
    co_await Sim.sleep(delay, nullptr);
    FakeWorker &worker = All.Workers.at(address.Ip);
    All.settle();
    if (worker.Dead || To.WorkersCut || fault == Fault::NotSent) {
      co_await Sim.sleep(100ms, &To.Frozen);
      co_return base::Error{Errc::WorkerUnreachable, "fake"};
    }
    base::Result<T> result = action(worker);
    co_await Sim.sleep(fault == Fault::None ? To.Delay / 2 : 100ms, &To.Frozen);
    if (fault == Fault::AnswerLost)
      co_return base::Error{Errc::WorkerAnswerLost, "fake"};
    co_return result;
  }
  Simulation &Sim;
  Fleet &All;
  Link &To;
};

class FakeHosts final : public platform::HostList {
public:
  FakeHosts(Simulation &sim, Fleet &fleet, Link &link)
      : Sim(sim), All(fleet), To(link) {}
  platform::Async<std::vector<model::Worker>> fetch() override {
    co_await Sim.sleep(To.Delay, &To.Frozen);
    co_return All.list();
  }

private:
  Simulation &Sim;
  Fleet &All;
  Link &To;
};

/// The least that a scheduler can do: the first worker with room.
class FirstFit final : public policy::Scheduler {
public:
  /// Decisions returned by the next decide(), besides its own.
  std::vector<policy::Decision> Extra;

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
    Taken[task] = {worker, job.Size};
  }
  void startFailed(const base::TaskId &task, const base::WorkerId &) override {
    auto it = Taken.find(task);
    if (it == Taken.end())
      return;
    Queue[task] = it->second.second;
    Taken.erase(it);
  }
  void ended(const base::TaskId &task, policy::EndReason) override {
    Taken.erase(task);
  }
  void observe(const policy::Measurement &) override {}
  std::vector<policy::Decision> decide(std::size_t) override {
    std::vector<policy::Decision> out = std::move(Extra);
    Extra.clear();
    for (auto it = Queue.begin(); Open && it != Queue.end();) {
      auto worker =
          std::find_if(Workers.begin(), Workers.end(), [&](const auto &w) {
            return !w.second.Leaving && it->second.fitsIn(room(w.second));
          });
      if (worker == Workers.end()) {
        ++it;
        continue;
      }
      out.push_back(policy::StartTask{it->first, worker->first});
      Taken[it->first] = {worker->first, it->second};
      it = Queue.erase(it);
    }
    return out;
  }

  bool Open = true;
  double Share = 1;

private:
  base::Resources room(const model::Worker &worker) const {
    base::Resources free = worker.Capacity;
    for (const auto &[task, taken] : Taken)
      if (taken.first == worker.Id)
        free -= taken.second;
    return free;
  }
  std::map<base::WorkerId, model::Worker> Workers;
  std::map<base::TaskId, base::Resources> Queue;
  std::map<base::TaskId, std::pair<base::WorkerId, base::Resources>> Taken;
};

/// One daemon with its control plane.
struct Daemon {
  /// \param systemTimer sleeps on the system's timer instead of virtual time.
  Daemon(Simulation &sim, StoreData &data, Fleet &fleet, std::string name,
         std::string zone, bool systemTimer = false)
      : Hybrid(sim.Clock), Events(name, Hybrid, 10000), Store(sim, data, To),
        Workers(sim, fleet, To), Hosts(sim, fleet, To) {
    Settings.Name = name;
    Settings.Zone = base::ZoneId(zone);
    Settings.Zones = {base::ZoneId("a"), base::ZoneId("b")};
    Settings.Seed = 7;
    Plane = std::make_unique<control::Control>(
        sim.Io.get_executor(), Settings, Store, Workers, Hosts, sim.Clock,
        Events, base::InstanceId(name),
        [this] {
          auto made = std::make_unique<FirstFit>();
          Scheduler = made.get();
          return made;
        },
        systemTimer
            ? control::SleepFunction()
            : [&sim,
               this](base::Duration d) { return sim.sleep(d, &To.Frozen); });
    Plane->start();
  }
  bool owns() const { return Plane->jobs().has_value(); }
  int count(base::EventCode code) const {
    auto all = Events.snapshot();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(),
                      [&](const auto &it) { return it.Code == code; }));
  }

  Link To;
  model::Settings Settings;
  base::HybridClock Hybrid;
  base::EventLog Events;
  FakeStore Store;
  FakeWorkerClient Workers;
  FakeHosts Hosts;
  FirstFit *Scheduler = nullptr;
  std::unique_ptr<control::Control> Plane;
};

/// Two zones "a" and "b" with a store and workers; daemons are added by tests.
class Cluster {
public:
  std::vector<std::unique_ptr<Daemon>> Daemons;
  Simulation Sim;
  StoreData Data{Sim};
  Fleet All{Sim, Data};
  std::vector<base::JobId> Admitted;
  int Refused = 0;

  ~Cluster() {
    // Timers must end before their context, and fakes after the coroutines.
    for (auto &it : Daemons)
      it->Plane.reset();
  }
  Daemon &daemon(const std::string &name, const std::string &zone = "a") {
    Daemons.push_back(std::make_unique<Daemon>(Sim, Data, All, name, zone));
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
    Sim.spawn(admitting(to, std::move(spec)));
  }
  void cancel(Daemon &to, base::JobId id) {
    Sim.spawn(cancelling(to, std::move(id)));
  }
  void zoneOut(Daemon &to, const std::string &zone, bool out) {
    Sim.spawn(changing(to, zone, out));
  }
  std::vector<control::ChangeOutcome> Changes;
  int ChangesFailed = 0;
  /// Everything that must never happen and did.
  std::string violations() const {
    std::string out;
    for (const auto *list : {&All.Violations, &Data.Violations})
      for (const std::string &it : *list)
        out += it + "; ";
    return out;
  }

  Daemon *owner(const std::string &zone = "a") {
    for (auto &it : Daemons)
      if (it->Settings.Zone.str() == zone && !it->To.Frozen && it->owns())
        return it.get();
    return nullptr;
  }
  /// State of a task at the owner of a zone; none if unknown there.
  std::optional<model::TaskState> state(const std::string &job,
                                        std::size_t task = 0,
                                        const std::string &zone = "a") {
    Daemon *at = owner(zone);
    if (at == nullptr)
      return std::nullopt;
    auto status = at->Plane->job(base::JobId(job));
    if (!status || status.value().Tasks.size() <= task)
      return std::nullopt;
    return status.value().Tasks[task].State;
  }

private:
  awaitable<void> admitting(Daemon &to, model::JobSpec spec) {
    auto id = co_await to.Plane->admit(std::move(spec));
    if (id)
      Admitted.push_back(id.value());
    else
      ++Refused;
  }
  awaitable<void> cancelling(Daemon &to, base::JobId id) {
    auto done = co_await to.Plane->cancel(id);
    Refused += done ? 0 : 1;
  }
  awaitable<void> changing(Daemon &to, std::string zone, bool out) {
    auto outcome =
        co_await to.Plane->setZoneOut(base::ZoneId(zone), out, "tester");
    if (outcome)
      Changes.push_back(outcome.value());
    else
      ++ChangesFailed;
  }
};

} // namespace fakes

namespace endivedoor::model {
// Stand in until the package model has its parser: "zone-out Z # WHO: WHY".
// Weak, so that the package's own definitions take precedence.
__attribute__((weak)) std::string TextFault::message() const { return Text; }
__attribute__((weak)) RulesOutcome parseRules(const std::string &file,
                                              const std::string &text,
                                              const RuleScope &) {
  RulesOutcome out;
  std::size_t comment = text.find(" #");
  if (text.starts_with("zone-out ") && comment != std::string::npos)
    out.Value.Rules.push_back(
        {1, text.substr(0, comment),
         ZoneOut{base::ZoneId(text.substr(9, comment - 9))},
         base::ContractName("mabena"), "test"});
  else if (!text.empty())
    out.Faults.push_back(
        {file, 1, 1, base::Errc::ParseFailed, "unknown rule", ""});
  return out;
}
} // namespace endivedoor::model

#endif
