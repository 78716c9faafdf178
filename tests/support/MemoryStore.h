/// \file
/// A store in memory whose answers can be lost, for unit tests.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_MEMORYSTORE_H
#define ENDIVEDOOR_TESTS_SUPPORT_MEMORYSTORE_H

#include "endivedoor/platform/Store.h"

#include <deque>
#include <map>

namespace endivedoor::tests {

/// What happens to the next transactions. Late: the answer is lost, and the
/// write takes effect only in applyLate().
enum class Fault { None, Unavailable, LostBefore, LostAfter, Late };

class MemoryStore final : public platform::Store {
public:
  std::map<std::string, platform::StoreEntry> Entries;
  std::deque<Fault> Faults;
  Fault Always = Fault::None;
  std::vector<platform::StoreTxn> Held;
  int Calls = 0;

  platform::StoreTxnResult apply(const platform::StoreTxn &txn) {
    platform::StoreTxnResult result;
    result.Succeeded = true;
    for (const platform::StoreCompare &it : txn.Compares) {
      auto e = Entries.find(it.Key);
      bool isMod = it.What == platform::StoreCompare::Field::ModRevision;
      std::int64_t have = e == Entries.end() ? 0
                          : isMod            ? e->second.ModRevision
                                             : e->second.CreateRevision;
      result.Succeeded = result.Succeeded && have == it.Equals;
    }
    for (const platform::StoreOp &op :
         result.Succeeded ? txn.Success : txn.Failure)
      applyOp(op, result);
    result.Revision = Revision;
    return result;
  }

  void applyLate() {
    for (const platform::StoreTxn &it : Held)
      apply(it);
    Held.clear();
  }

  platform::Async<platform::StoreTxnResult>
  txn(platform::StoreTxn request) override {
    ++Calls;
    Fault fault = Always;
    if (!Faults.empty()) {
      fault = Faults.front();
      Faults.pop_front();
    }
    if (fault == Fault::Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable, "fault");
    if (fault == Fault::Late)
      Held.push_back(request);
    if (fault == Fault::None || fault == Fault::LostAfter) {
      platform::StoreTxnResult result = apply(request);
      if (fault == Fault::None)
        co_return result;
    }
    co_return base::fail(base::Errc::StoreAnswerLost, "fault");
  }

  platform::Async<std::vector<platform::StoreEntry>>
  range(std::string key, std::string end, std::int64_t limit) override {
    if (Always == Fault::Unavailable)
      co_return base::fail(base::Errc::StoreUnavailable, "fault");
    platform::StoreTxnResult result;
    applyOp(platform::StoreOp::range(key, end, limit), result);
    co_return result.Ranges.front();
  }
  platform::Async<platform::LeaseId> grantLease(std::chrono::seconds) override {
    co_return platform::LeaseId{1};
  }
  platform::Async<void> keepAlive(platform::LeaseId) override {
    co_return base::success();
  }
  platform::Async<void> revokeLease(platform::LeaseId) override {
    co_return base::success();
  }

private:
  void applyOp(const platform::StoreOp &op, platform::StoreTxnResult &result) {
    if (op.What == platform::StoreOp::Kind::Put) {
      platform::StoreEntry &e = Entries[op.Key];
      ++Revision;
      if (e.CreateRevision == 0)
        e.CreateRevision = Revision;
      e.Key = op.Key;
      e.Value = op.Value;
      e.ModRevision = Revision;
    } else if (op.What == platform::StoreOp::Kind::Delete) {
      Revision += static_cast<std::int64_t>(Entries.erase(op.Key));
    } else {
      auto it = Entries.lower_bound(op.Key);
      std::vector<platform::StoreEntry> found;
      for (; it != Entries.end(); ++it)
        if (op.RangeEnd.empty() ? it->first == op.Key : it->first < op.RangeEnd)
          found.push_back(it->second);
        else
          break;
      result.Ranges.push_back(std::move(found));
    }
  }

  std::int64_t Revision = 1;
};

} // namespace endivedoor::tests

#endif
