/// \file
/// In-memory store for the control package tests, with fault injection for each
/// daemon.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_CONTROLSTORE_H
#define ENDIVEDOOR_TESTS_SUPPORT_CONTROLSTORE_H

#include "support/ControlSimulation.h"

namespace fakes {

/// Fault injected into a call.
enum class Fault { None, RequestLost, ResponseLost };

/// Contents of the store, shared by all daemons.
class StoreData {
public:
  explicit StoreData(Simulation &sim) : Sim(sim) {}
  std::map<std::string, platform::StoreEntry> Entries;
  std::map<std::string, std::int64_t> Attached;
  std::map<std::int64_t, std::pair<base::TimePoint, base::Duration>> Leases;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  bool Unavailable = false;
  std::uint64_t Calls = 0;
  /// Time at which the accepted configuration took each zone out.
  std::map<std::string, base::TimePoint> ZoneOutSince;
  /// Calls that exceeded the store's limits.
  std::vector<std::string> Violations;

  void expireLeases() {
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
  bool matches(const platform::StoreCompare &compare) const {
    auto it = Entries.find(compare.Key);
    std::int64_t value = 0;
    if (it != Entries.end())
      value =
          compare.ComparedField == platform::StoreCompare::Field::CreateRevision
              ? it->second.CreateRevision
              : it->second.ModRevision;
    return value == compare.ExpectedRevision;
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
                                [&](const auto &it) { return matches(it); });
    const auto &ops = out.Succeeded ? txn.Success : txn.Failure;
    if (std::any_of(ops.begin(), ops.end(),
                    [](const auto &it) { return it.OpKind != Kind::Range; }))
      ++Revision;
    std::set<std::string> written;
    for (const platform::StoreOp &it : ops) {
      if (it.OpKind != Kind::Range && !written.insert(it.Key).second)
        Violations.push_back("duplicate key in a transaction: " + it.Key);
      if (it.OpKind == Kind::Range)
        out.Ranges.push_back(range(it.Key, it.RangeEnd, it.Limit));
      else if (it.OpKind == Kind::Delete)
        Entries.erase(it.Key);
      else
        put(it);
    }
    if (ops.size() > 128)
      Violations.push_back("too many operations in a transaction");
    out.Revision = Revision;
    return out;
  }
  /// Returns whether all leases of the transaction exist; the store rejects
  /// puts under an expired lease.
  bool leasesExist(const platform::StoreTxn &txn) const {
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
      recordZonesOut(control::configurationFromJson(op.Value).value());
    if (op.Lease != platform::LeaseId{0})
      Attached[op.Key] = static_cast<std::int64_t>(op.Lease);
  }
  void recordZonesOut(const control::Configuration &config) {
    std::erase_if(ZoneOutSince, [&](const auto &it) {
      return config.ZonesOut.count(base::ZoneId(it.first)) == 0;
    });
    for (const base::ZoneId &it : config.ZonesOut)
      ZoneOutSince.try_emplace(it.str(), Sim.Clock.now());
  }
  Simulation &Sim;
};

/// Faults injected between one daemon and the platform.
struct FaultInjection {
  bool Frozen = false;
  bool StorePartitioned = false;
  bool WorkersPartitioned = false;
  base::Duration Delay = 2ms;
  /// Faults of the next store calls; once it is empty, faults occur at random
  /// with StoreFaultPercent.
  std::deque<Fault> StoreFaults;
  int StoreFaultPercent = 0;
  int WorkerFaultPercent = 0;
  /// Number of store transactions sent. Frozen is set once transaction
  /// FreezeAfterTxn has been applied.
  int Txns = 0;
  int FreezeAfterTxn = 0;
  /// Number of a transaction that reaches the store 5 s late; the daemon is
  /// frozen when it is sent.
  int DelayedTxn = 0;
  /// Fails transactions without a condition, such as the poll of the
  /// configuration.
  bool PollsFail = false;
  /// Additional delay of store responses.
  base::Duration ResponseDelay{0};
  /// Additional delay of start requests to workers.
  base::Duration StartDelay{0};
  /// Number of start requests that reached a worker.
  int StartsReceived = 0;
};

class FakeStore final : public platform::Store {
public:
  FakeStore(Simulation &sim, StoreData &data, FaultInjection &link)
      : Sim(sim), Data(data), Faults(link) {}

  platform::Async<platform::StoreTxnResult>
  txn(platform::StoreTxn request) override {
    Fault fault = nextFault();
    int number = ++Faults.Txns;
    if (number == Faults.DelayedTxn)
      Faults.Frozen = true;
    co_await Sim.sleep(number == Faults.DelayedTxn ? 5s : Faults.Delay / 2,
                       nullptr);
    bool up = !Data.Unavailable && !Faults.StorePartitioned &&
              fault != Fault::RequestLost &&
              !(Faults.PollsFail && request.Compares.empty());
    Data.expireLeases();
    platform::StoreTxnResult result;
    bool rejected = up && !Data.leasesExist(request);
    if (up && !rejected)
      result = Data.apply(request);
    if (number == Faults.FreezeAfterTxn)
      Faults.Frozen = true;
    co_await Sim.sleep(Faults.ResponseDelay + (up && fault == Fault::None
                                                   ? Faults.Delay / 2
                                                   : base::Duration(200ms)),
                       &Faults.Frozen);
    if (!up)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    if (fault == Fault::ResponseLost)
      co_return base::Error{Errc::StoreAnswerLost, "fake"};
    if (rejected)
      co_return base::Error{Errc::StoreRejected, "requested lease not found"};
    co_return result;
  }
  platform::Async<std::vector<platform::StoreEntry>>
  range(std::string key, std::string end, std::int64_t limit) override {
    bool reached = co_await simulateRoundTrip();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    co_return Data.range(key, end, limit);
  }
  platform::Async<platform::LeaseId>
  grantLease(std::chrono::seconds ttl) override {
    bool reached = co_await simulateRoundTrip();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    Data.Leases[++Data.LastLease] = {Sim.Clock.now() + ttl, ttl};
    co_return platform::LeaseId{Data.LastLease};
  }
  platform::Async<void> keepAlive(platform::LeaseId lease) override {
    bool reached = co_await simulateRoundTrip();
    if (!reached)
      co_return base::Error{Errc::StoreUnavailable, "fake"};
    auto it = Data.Leases.find(static_cast<std::int64_t>(lease));
    if (it == Data.Leases.end())
      co_return base::Error{Errc::StoreRejected, "no such lease"};
    it->second.first = Sim.Clock.now() + it->second.second;
    co_return base::success();
  }
  platform::Async<void> revokeLease(platform::LeaseId lease) override {
    bool reached = co_await simulateRoundTrip();
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
    if (!Faults.StoreFaults.empty()) {
      Fault fault = Faults.StoreFaults.front();
      Faults.StoreFaults.pop_front();
      return fault;
    }
    if (Sim.pick(100) >= Faults.StoreFaultPercent)
      return Fault::None;
    return Sim.pick(2) == 0 ? Fault::RequestLost : Fault::ResponseLost;
  }
  awaitable<bool> simulateRoundTrip() {
    ++Data.Calls;
    co_await Sim.sleep(Faults.Delay, &Faults.Frozen);
    Data.expireLeases();
    co_return !Data.Unavailable && !Faults.StorePartitioned &&
        Sim.pick(100) >= Faults.StoreFaultPercent;
  }
  Simulation &Sim;
  StoreData &Data;
  FaultInjection &Faults;
};

} // namespace fakes

#endif
