// Tests the division of an account's limit between the owners of several
// shards. The simulated owners see the record late, their conditional writes
// lose, get no answer or take effect late, and owners are killed or cut off. A
// fault would let an account run more than its limit, or leave it waiting
// beside free capacity.
#include "endivedoor/policy/AccountShares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace endivedoor;
using namespace std::chrono_literals;
using policy::AccountAmounts;
using policy::AccountShare;
using policy::ShareDemand;
using policy::ShareRecord;
using policy::ShareWrite;

namespace {

constexpr auto Tick = 5ms;

AccountAmounts cpu(std::int64_t n) { return {n, 0, 0}; }

struct Task {
  AccountAmounts Size;
  base::TimePoint End;
  /// Term of the owner that started it.
  int Term = 0;
};

struct PendingWrite {
  ShareWrite Write;
  std::size_t Shard = 0;
  int Term = 0;
  base::TimePoint AppliedAt;
  /// The owner learns the outcome; otherwise the answer is lost.
  bool Answered = true;
};

struct Owner {
  explicit Owner(std::size_t shard) : Share(static_cast<std::int32_t>(shard)) {}
  AccountShare Share;
  int Term = 1;
  bool Alive = true;
  bool Verified = true;
  /// Starts tasks but is no longer the owner in the store.
  bool CutOff = false;
  AccountAmounts KnownLimit;
  base::TimePoint VerifiedAt;
};

/// Several owners, one record, and tasks that wait and run in each shard.
class Simulation {
public:
  Simulation(std::size_t shards, AccountAmounts limit, unsigned seed)
      : Random(seed), Limit(limit), HighestLimit(limit) {
    for (std::size_t i = 0; i < shards; ++i) {
      Owners.emplace_back(i);
      Owners.back().Share.setLimit(limit, std::nullopt);
      Owners.back().Share.onLoaded(false);
      Owners.back().KnownLimit = limit;
      Waiting.emplace_back();
      Running.emplace_back();
      Zombies.emplace_back(std::nullopt);
    }
  }

  double uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(Random);
  }
  base::Duration delay(double fromMs, double toMs) {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(1000 * uniform(fromMs, toMs)));
  }

  AccountAmounts running(std::size_t shard) const {
    AccountAmounts sum;
    for (const Task &it : Running[shard])
      sum += it.Size;
    return sum;
  }
  AccountAmounts running() const {
    AccountAmounts sum;
    for (std::size_t i = 0; i < Running.size(); ++i)
      sum += running(i);
    return sum;
  }

  ShareDemand demand(std::size_t shard, const Owner &owner) const {
    ShareDemand d;
    for (const Task &it : Running[shard]) {
      // Runs of an earlier term are found when the workers have answered; a
      // cut-off owner does not know those of its successor.
      if ((it.Term < owner.Term && !owner.Verified) || it.Term > owner.Term)
        continue;
      d.Used += it.Size;
      if (it.Term != owner.Term)
        d.UsedByEarlierOwner += it.Size;
    }
    return d;
  }

  /// Starts the tasks that the share allows, in the order of their arrival.
  ShareDemand startTasks(std::size_t shard, Owner &owner) {
    ShareDemand d = demand(shard, owner);
    std::deque<AccountAmounts> &queue = Waiting[shard];
    AccountAmounts all = running();
    while (!queue.empty() && owner.Share.mayStart(queue.front(), d, Now)) {
      AccountAmounts size = queue.front();
      queue.pop_front();
      Running[shard].push_back(
          {size, Now + delay(RunMs / 2, RunMs * 1.5), owner.Term});
      d.Used += size;
      all += size;
      ++Starts;
      StartsAboveLimit += !policy::isWithin(all, HighestLimit);
    }
    for (const AccountAmounts &it : queue)
      d.Ready += it;
    if (!queue.empty())
      d.NextTask = queue.front();
    return d;
  }

  void sendWrite(std::size_t shard, Owner &owner, const ShareDemand &d) {
    std::optional<ShareWrite> write = owner.Share.takeWrite(d, Now);
    if (!write)
      return;
    ++Writes;
    if (Outage) {
      // The call may still take effect once the store is back.
      if (uniform(0, 1) < 0.5)
        Pending.push_back(
            {*write, shard, owner.Term, Now + delay(10, 3000), false});
      else
        return owner.Share.onWriteFailed();
      return owner.Share.onWriteLost();
    }
    bool answered = uniform(0, 1) >= LossRate;
    Pending.push_back({*write, shard, owner.Term,
                       Now + (answered ? delay(1, 20) : delay(1, 2000)),
                       answered});
    if (!answered)
      owner.Share.onWriteLost();
  }

  void applyWrites() {
    std::stable_sort(Pending.begin(), Pending.end(),
                     [](const PendingWrite &a, const PendingWrite &b) {
                       return a.AppliedAt < b.AppliedAt;
                     });
    while (!Pending.empty() && Pending.front().AppliedAt <= Now) {
      PendingWrite it = Pending.front();
      Pending.erase(Pending.begin());
      Owner &owner = Owners[it.Shard];
      bool applied = it.Write.Revision == Revision && owner.Term == it.Term;
      if (applied) {
        Record = it.Write.Record;
        History.push_back({++Revision, Record});
        SentAt.push_back(Now);
      }
      if (!it.Answered || owner.Term != it.Term || !owner.Alive)
        continue;
      if (applied) {
        owner.Share.onWritten(Revision, Now);
      } else {
        ++Conflicts;
        owner.Share.onNotWritten();
        owner.Share.onRecord(Record, Revision);
      }
    }
  }

  /// Delivers the versions of the record that are old enough to each owner.
  void deliver(Owner &owner) {
    for (std::size_t i = History.size(); i-- > 0;)
      if (Now - SentAt[i] >= delay(5, 60)) {
        owner.Share.onRecord(History[i].second, History[i].first);
        break;
      }
  }

  void kill(std::size_t shard, bool cutOff) {
    Owner &owner = Owners[shard];
    if (cutOff) {
      Zombies[shard] = owner;
      Zombies[shard]->CutOff = true;
    }
    owner.Alive = false;
    Revive.push_back({Now + delay(300, 2000), shard});
  }

  void revive(std::size_t shard) {
    Owner next(shard);
    next.Term = Owners[shard].Term + 1;
    next.Verified = false;
    next.VerifiedAt = Now + delay(200, 4000);
    next.KnownLimit = Limit;
    next.Share.setLimit(Limit, std::nullopt);
    next.Share.onRecord(Record, Revision);
    next.Share.onLoaded(true);
    Owners[shard] = next;
  }

  void setLimit(AccountAmounts limit) {
    Limit = limit;
    for (Owner &it : Owners) {
      it.KnownLimit = limit;
      it.Share.setLimit(limit, std::nullopt);
    }
    for (auto &it : Zombies)
      if (it)
        it->Share.setLimit(limit, std::nullopt);
    HighestLimit = limit;
  }

  void step() {
    Now += Tick;
    for (std::vector<Task> &it : Running)
      std::erase_if(it, [&](const Task &task) { return task.End <= Now; });
    if (!Outage)
      applyWrites();
    for (auto it = Revive.begin(); it != Revive.end();) {
      if (it->first > Now || Outage) {
        ++it;
        continue;
      }
      revive(it->second);
      it = Revive.erase(it);
    }
    for (std::size_t i = 0; i < Owners.size(); ++i) {
      // Verification means that the workers refuse the earlier owner.
      Owner &owner = Owners[i];
      if (owner.Alive && !owner.Verified && Now >= owner.VerifiedAt) {
        owner.Verified = true;
        Zombies[i].reset();
        for (Task &task : Running[i])
          task.Term = std::min(task.Term, owner.Term);
        owner.Share.setVerified();
      }
      if (Zombies[i])
        startTasks(i, *Zombies[i]);
      if (!owner.Alive)
        continue;
      if (!Outage)
        deliver(owner);
      ShareDemand d = startTasks(i, owner);
      sendWrite(i, owner, d);
    }
  }

  void runFor(base::Duration time) {
    for (base::TimePoint end = Now + time; Now < end;)
      step();
  }

  void addTasks(std::size_t shard, std::size_t n, AccountAmounts size) {
    for (std::size_t i = 0; i < n; ++i)
      Waiting[shard].push_back(size);
  }
  std::size_t waitingCount() const {
    std::size_t n = 0;
    for (const auto &it : Waiting)
      n += it.size();
    return n;
  }

  std::mt19937 Random;
  base::TimePoint Now{10s};
  AccountAmounts Limit;
  AccountAmounts HighestLimit;
  std::vector<Owner> Owners;
  std::vector<std::optional<Owner>> Zombies;
  std::vector<std::deque<AccountAmounts>> Waiting;
  std::vector<std::vector<Task>> Running;
  std::vector<std::pair<base::TimePoint, std::size_t>> Revive;
  ShareRecord Record;
  std::int64_t Revision = 0;
  std::vector<std::pair<std::int64_t, ShareRecord>> History;
  std::vector<base::TimePoint> SentAt;
  std::vector<PendingWrite> Pending;
  bool Outage = false;
  double LossRate = 0;
  double RunMs = 800;
  int Starts = 0;
  int StartsAboveLimit = 0;
  int Writes = 0;
  int Conflicts = 0;
};

/// Random arrivals of steps for \p time.
void loadFor(Simulation &sim, base::Duration time, double stepsPerSecond) {
  for (base::TimePoint end = sim.Now + time; sim.Now < end; sim.step())
    for (std::size_t i = 0; i < sim.Owners.size(); ++i)
      if (sim.uniform(0, 1) < stepsPerSecond * 0.005 &&
          sim.Waiting[i].size() < 100)
        sim.addTasks(i, static_cast<std::size_t>(sim.uniform(1, 12)),
                     cpu(static_cast<std::int64_t>(sim.uniform(200, 3500))));
}

RC_GTEST_PROP(AccountShares, WithConcurrentOwners_NeverStartAboveTheLimit, ()) {
  auto seed = *rc::gen::arbitrary<unsigned>();
  Simulation sim(*rc::gen::inRange<std::size_t>(1, 8),
                 cpu(*rc::gen::inRange(4000, 60000)), seed);
  sim.LossRate = *rc::gen::element(0.0, 0.1, 0.5);
  loadFor(sim, 10s, 2);
  RC_ASSERT(sim.Starts > 0);
  RC_ASSERT(sim.StartsAboveLimit == 0);
}

// An owner is killed, or cut off from the store while it still starts tasks.
RC_GTEST_PROP(AccountShares, WithLostOwners_NeverStartAboveTheLimit, ()) {
  auto seed = *rc::gen::arbitrary<unsigned>();
  Simulation sim(*rc::gen::inRange<std::size_t>(2, 6),
                 cpu(*rc::gen::inRange(4000, 60000)), seed);
  sim.LossRate = *rc::gen::element(0.0, 0.2);
  loadFor(sim, 2s, 3);
  for (int i = 0; i < 3; ++i) {
    auto lost = static_cast<std::size_t>(
        sim.uniform(0, static_cast<double>(sim.Owners.size()) - 0.01));
    if (sim.Owners[lost].Alive)
      sim.kill(lost, sim.uniform(0, 1) < 0.5);
    loadFor(sim, 4s, 3);
  }
  RC_ASSERT(sim.StartsAboveLimit == 0);
}

RC_GTEST_PROP(AccountShares, WithStoreOutage_StartWithinTheirShares, ()) {
  auto seed = *rc::gen::arbitrary<unsigned>();
  Simulation sim(4, cpu(*rc::gen::inRange(20000, 60000)), seed);
  loadFor(sim, 3s, 3);
  sim.Outage = true;
  int before = sim.Starts;
  loadFor(sim, 4s, 3);
  RC_ASSERT(sim.Starts > before);
  sim.Outage = false;
  loadFor(sim, 3s, 3);
  RC_ASSERT(sim.StartsAboveLimit == 0);
}

// Shares that one shard uses and another does not must not be counted in
// proportion: the shard without runs would start tasks above the limit.
RC_GTEST_PROP(AccountShares, LimitLoweredFarBelowUse_NothingStartsAboveIt, ()) {
  auto seed = *rc::gen::arbitrary<unsigned>();
  Simulation sim(*rc::gen::inRange<std::size_t>(2, 6),
                 cpu(*rc::gen::inRange(20000, 60000)), seed);
  sim.LossRate = *rc::gen::element(0.0, 0.2);
  loadFor(sim, 4s, 6);
  sim.setLimit(cpu(sim.Limit.Cpu / *rc::gen::inRange(2, 5)));
  int before = sim.Starts;
  loadFor(sim, 12s, 2);
  RC_ASSERT(sim.StartsAboveLimit == 0);
  RC_ASSERT(sim.Starts > before);
}

// A share that idles in one shard must reach the shard whose tasks wait.
RC_GTEST_PROP(AccountShares, UnderHalfOfTheLimit_ReadyTasksStartWithinASecond,
              ()) {
  auto seed = *rc::gen::arbitrary<unsigned>();
  std::size_t shards = *rc::gen::inRange<std::size_t>(1, 8);
  std::int64_t limit = *rc::gen::inRange(7000, 60000);
  Simulation sim(shards, cpu(limit), seed);
  sim.RunMs = 300;
  base::TimePoint since = sim.Now;
  base::Duration longest{};
  for (int i = 0; i < 4000; ++i) {
    for (std::size_t s = 0; s < shards; ++s)
      if (sim.uniform(0, 1) < 0.005)
        sim.addTasks(s, static_cast<std::size_t>(sim.uniform(1, 20)),
                     cpu(static_cast<std::int64_t>(sim.uniform(200, 3300))));
    sim.step();
    if (sim.waitingCount() == 0 || sim.running().Cpu * 2 >= limit)
      since = sim.Now;
    longest = std::max(longest, sim.Now - since);
  }
  RC_ASSERT(longest < 1000ms);
}

// With endless demand everywhere no shard may be left without starts, and the
// limit must be used.
TEST(AccountShares, DemandAboveTheLimit_EveryShardStartsTasks) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Simulation sim(5, cpu(10000), seed);
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < 5; ++i)
      sim.addTasks(i, 200, cpu(3200));
    sim.runFor(2s);
    for (const auto &it : sim.Waiting)
      waiting.push_back(it.size());
    double used = 0;
    int steps = 0;
    for (; steps < 4000; ++steps) {
      sim.step();
      used += static_cast<double>(sim.running().Cpu);
    }
    for (std::size_t i = 0; i < 5; ++i)
      EXPECT_GE(waiting[i] - sim.Waiting[i].size(), 4u) << "shard " << i;
    EXPECT_EQ(sim.StartsAboveLimit, 0);
    EXPECT_GE(used / steps, 0.7 * 9600);
  }
}

// The runs of an earlier owner are not known until its workers have answered.
TEST(AccountShares, InheritedShare_CountsAsUsedUntilVerified) {
  base::TimePoint now{10s};
  AccountShare share(1);
  share.setLimit(cpu(10000), std::nullopt);
  share.onRecord({{1, {cpu(6000), cpu(6000)}}}, 7);
  EXPECT_FALSE(share.mayStart(cpu(1000), {}, now)) << "before the load";
  share.onLoaded(true);
  EXPECT_FALSE(share.mayStart(cpu(1000), {}, now));
  ShareDemand demand;
  demand.Ready = demand.NextTask = cpu(1000);
  std::optional<ShareWrite> write = share.takeWrite(demand, now);
  ASSERT_TRUE(write);
  EXPECT_GE(write->Record[1].Held.Cpu, 7000);
  share.onWritten(8, now);
  EXPECT_TRUE(share.mayStart(cpu(1000), demand, now));
  EXPECT_FALSE(share.mayStart(cpu(6000), demand, now));
  share.setVerified();
  EXPECT_TRUE(share.mayStart(cpu(6000), demand, now));
}

// The revision that is written next must not lose what other shards hold.
TEST(AccountShares, UnreadableRecord_IsReplacedWithTheLastKnownShares) {
  base::TimePoint now{10s};
  AccountShare share(1);
  share.setLimit(cpu(10000), std::nullopt);
  share.onRecord({{0, {cpu(4000), cpu(4000)}}, {1, {cpu(2000), cpu(2000)}}}, 7);
  share.onLoaded(false);
  share.onUnreadable(8, now);
  EXPECT_TRUE(share.mayStart(cpu(2000), {}, now));
  EXPECT_FALSE(share.mayStart(cpu(2001), {}, now));
  ShareDemand demand;
  demand.Ready = demand.NextTask = cpu(3000);
  std::optional<ShareWrite> write = share.takeWrite(demand, now);
  ASSERT_TRUE(write);
  EXPECT_EQ(write->Revision, 8);
  EXPECT_EQ(write->Record[0].Held, cpu(4000));
  EXPECT_EQ(write->Record[1].Held, cpu(2000)) << "nothing is raised";
}

// Other shards may run tasks that were never recorded.
TEST(AccountShares, FirstLimitOfAnAccount_NothingIsRaisedBeforeDeclarations) {
  base::TimePoint now{10s};
  AccountShare share(1);
  share.setLimit(cpu(10000), now);
  share.onLoaded(false);
  ShareDemand demand;
  demand.Used = cpu(4000);
  demand.Ready = demand.NextTask = cpu(1000);
  std::optional<ShareWrite> write = share.takeWrite(demand, now);
  ASSERT_TRUE(write);
  EXPECT_EQ(write->Record[1].Held, cpu(4000)) << "what runs is declared";
  share.onWritten(1, now);
  now += AccountShare::DeclarationTime;
  write = share.takeWrite(demand, now);
  ASSERT_TRUE(write);
  EXPECT_GE(write->Record[1].Held.Cpu, 5000);
}

TEST(AccountShares, ResourceWithoutLimit_IsNotCounted) {
  base::TimePoint now{10s};
  AccountShare share(0);
  share.setLimit({0, 0, 2}, std::nullopt);
  share.onLoaded(false);
  EXPECT_TRUE(share.mayStart({1000, 1000, 0}, {}, now));
  EXPECT_FALSE(share.mayStart({1000, 1000, 1}, {}, now));
}

} // namespace
