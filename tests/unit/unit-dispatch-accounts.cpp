// Tests the limits of client accounts in a shard. A fault would start tasks
// beyond the share that the shard holds, lose the count of a run that may still
// exist, or change installations without accounts.
#include "support/ShardFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;
using dispatch::AccountLimits;
using dispatch::AccountWrite;
using dispatch::AccountWriteOutcome;

namespace {

class AccountFixture : public ShardFixture {
protected:
  static AccountLimits limitOf(std::int64_t cpu) {
    AccountLimits limits;
    limits["acme"].MaxRunning.Cpu = base::MilliCores{cpu};
    return limits;
  }

  void setLimit(std::int64_t cpu) {
    TestShard.setAccountLimits(limitOf(cpu));
    TestShard.onAccountsLoaded();
  }

  void addJob(std::uint64_t id, const model::StepSpec &s,
              const std::string &account = "acme", bool inherited = false) {
    model::AcceptedJob added = job(id, {s});
    added.Account = account;
    TestShard.addJob(std::move(added), ++Revision, inherited, now());
  }

  /// Plans, and applies the writes of account records until none is due.
  std::size_t startAll() {
    std::size_t starts = 0;
    for (int i = 0; i < 20; ++i) {
      std::vector<WorkerCommand> orders = plan();
      confirmStarts(orders);
      starts += orders.size();
      for (const WorkerCommand &it : orders)
        Started.push_back(it);
      for (AccountWrite &it : TestShard.takeAccountWrites(now())) {
        ++Writes;
        Record = it.Write.Record;
        TestShard.onAccountWrite(it.Account, AccountWriteOutcome::Written,
                                 ++RecordRevision, now());
      }
      Time.advance(20ms);
    }
    return starts;
  }

  std::vector<WorkerCommand> Started;
  policy::ShareRecord Record;
  std::int64_t RecordRevision = 0;
  int Writes = 0;
};

using AccountLimit = AccountFixture;
using AccountOrder = AccountFixture;
using AccountTakeover = AccountFixture;

TEST_F(AccountLimit, TasksBeyondTheLimit_Wait) {
  setLimit(10000);
  addWorker("w1");
  addJob(1, step(8, 3000));
  EXPECT_EQ(startAll(), 3u);
  EXPECT_GE(Record[0].Held.Cpu, 9000);
  EXPECT_LE(Record[0].Held.Cpu, 10000);
  EXPECT_TRUE(TestShard.isAccountWaiting("acme"));
}

TEST_F(AccountLimit, WithoutAShare_NothingStarts) {
  setLimit(10000);
  addWorker("w1");
  addJob(1, step(2, 3000));
  EXPECT_TRUE(plan().empty());
}

// The records of the account may show that other shards hold the whole limit.
TEST_F(AccountLimit, BeforeTheRecordsAreRead_NothingStarts) {
  TestShard.setAccountLimits(limitOf(10000));
  addWorker("w1");
  addJob(1, step(2, 3000));
  EXPECT_TRUE(TestShard.hasUnloadedAccounts());
  EXPECT_EQ(startAll(), 0u);
  EXPECT_EQ(Writes, 0);
  TestShard.onAccountsLoaded();
  EXPECT_EQ(startAll(), 2u);
}

TEST_F(AccountLimit, ShareHeldElsewhere_IsNotUsed) {
  TestShard.setAccountLimits(limitOf(10000));
  TestShard.onAccountRecord("acme", {{1, {{8000, 0, 0}, {8000, 0, 0}}}},
                            RecordRevision = 5);
  TestShard.onAccountsLoaded();
  addWorker("w1");
  addJob(1, step(4, 1500));
  EXPECT_EQ(startAll(), 1u);
}

TEST_F(AccountLimit, OtherAccountsAndNone_AreNotLimited) {
  setLimit(1000);
  addWorker("w1");
  addJob(1, step(2, 3000), "");
  addJob(2, step(2, 3000), "other");
  EXPECT_EQ(plan().size(), 4u);
}

TEST_F(AccountLimit, FillersAndMemory_Count) {
  AccountLimits limits;
  limits["acme"].MaxRunning.Memory = base::MebiBytes{2500};
  limits["acme"].MaxRunning.Cpu = base::MilliCores{100000};
  TestShard.setAccountLimits(limits);
  TestShard.onAccountsLoaded();
  addWorker("w1");
  model::StepSpec filler = step(5, 1000);
  filler.Filler = true;
  addJob(1, filler);
  EXPECT_EQ(startAll(), 2u);
  EXPECT_GE(Record[0].Held.Cpu, 2000) << "fillers count with declared CPU";
}

TEST_F(AccountLimit, GangBeyondTheLimit_StartsNoMember) {
  setLimit(10000);
  addWorker("w1");
  model::StepSpec gang = step(4, 3000);
  gang.Gang = true;
  addJob(1, gang);
  EXPECT_EQ(startAll(), 0u);
  setLimit(12000);
  EXPECT_EQ(startAll(), 4u);
}

// A stop that was not confirmed leaves a run that may still exist.
TEST_F(AccountLimit, RunsBeingStopped_CountUntilTheyHaveEnded) {
  setLimit(6000);
  addWorker("w1");
  addJob(1, step(2, 3000));
  ASSERT_EQ(startAll(), 2u);
  TestShard.cancelJob(JobNumber{1}, now());
  addJob(2, step(2, 3000));
  plan(WorkerCommand::Kind::Stop);
  EXPECT_EQ(startAll(), 0u);
  PollReport report;
  report.Ended = {{1, Started[0].Run, RunOutcome::Stopped, ""},
                  {2, Started[1].Run, RunOutcome::Stopped, ""}};
  poll("w1", report);
  EXPECT_EQ(startAll(), 2u);
}

TEST_F(AccountLimit, UnconfirmedRuns_Count) {
  setLimit(3000);
  addWorker("w1");
  addJob(1, step(1, 3000));
  std::vector<WorkerCommand> orders;
  for (int i = 0; i < 10 && orders.empty(); ++i) {
    orders = plan();
    for (AccountWrite &it : TestShard.takeAccountWrites(now()))
      TestShard.onAccountWrite(it.Account, AccountWriteOutcome::Written,
                               ++RecordRevision, now());
  }
  ASSERT_EQ(orders.size(), 1u);
  TestShard.onStart(orders[0], base::fail(base::Errc::WorkerAnswerLost, ""),
                    now());
  Time.advance(600ms);
  addWorker("w2");
  addJob(2, step(1, 3000));
  EXPECT_EQ(startAll(), 0u);
}

TEST_F(AccountLimit, LoweredLimit_NothingStartsUntilUseIsBelowIt) {
  setLimit(12000);
  addWorker("w1");
  addJob(1, step(6, 3000));
  ASSERT_EQ(startAll(), 4u);
  setLimit(6000);
  PollReport report;
  for (std::size_t i = 0; i < 4; ++i) {
    report.Ended.push_back({static_cast<std::int64_t>(i) + 1, Started[i].Run,
                            RunOutcome::Done, ""});
    report.Running.clear();
    for (std::size_t k = i + 1; k < Started.size(); ++k)
      report.Running.push_back({Started[k].Run, "", 100, 1, true});
    poll("w1", report);
    EXPECT_EQ(startAll(), i < 2 ? 0u : 1u) << i;
  }
}

TEST_F(AccountLimit, AccountRemovedFromTheConfiguration_IsNotLimited) {
  setLimit(3000);
  addWorker("w1");
  addJob(1, step(5, 3000));
  ASSERT_EQ(startAll(), 1u);
  TestShard.setAccountLimits({});
  EXPECT_EQ(plan().size(), 4u);
}

// Runs that began before the account had a limit belong to its use.
TEST_F(AccountLimit, FirstLimit_CountsWhatRuns) {
  addWorker("w1");
  addJob(1, step(3, 3000));
  ASSERT_EQ(startAll(), 3u);
  addJob(2, step(3, 3000));
  AccountLimits limits = limitOf(10000);
  limits["acme"].LimitedSince = now();
  TestShard.setAccountLimits(limits);
  TestShard.onAccountsLoaded();
  EXPECT_EQ(startAll(), 0u);
  EXPECT_EQ(Record[0].Held.Cpu, 9000);
  Time.advance(3s);
  EXPECT_EQ(startAll(), 0u);
}

TEST_F(AccountLimit, ConfigurationWithoutAccounts_ChangesNothing) {
  addWorker("w1");
  addJob(1, step(8, 4000));
  EXPECT_EQ(plan().size(), 8u);
  EXPECT_TRUE(TestShard.takeAccountWrites(now()).empty());
  EXPECT_FALSE(TestShard.hasUnloadedAccounts());
  EXPECT_FALSE(TestShard.hasDeferredAccountWrites());
}

TEST_F(AccountLimit, WaitForTheLimit_IsLogged) {
  setLimit(3000);
  addWorker("w1");
  addJob(1, step(2, 3000));
  for (int i = 0; i < 8; ++i)
    startAll();
  std::string logged;
  for (const base::EventRecord &it : Events.snapshot())
    if (it.Code == base::EventCode::TaskWaits)
      for (const auto &field : it.Fields)
        if (field.first == "limitOf")
          logged = field.second;
  EXPECT_EQ(logged, "acme");
}

// One account submits many jobs first; the other one's job must not wait behind
// all of them.
TEST_F(AccountOrder, FloodOfOneAccount_LeavesTheOtherItsShare) {
  AccountLimits limits;
  limits["flood"] = limits["acme"] = {};
  TestShard.setAccountLimits(limits);
  addWorker("w1");
  for (std::uint64_t id = 1; id <= 10; ++id)
    addJob(id, step(8, 4000), "flood");
  ASSERT_EQ(startAll(), 8u);
  Time.advance(100ms);
  addJob(20, step(4, 4000));
  PollReport report;
  for (std::size_t i = 0; i < 8; ++i)
    (i < 4 ? report.Ended.push_back({static_cast<std::int64_t>(i) + 1,
                                     Started[i].Run, RunOutcome::Done, ""})
           : report.Running.push_back({Started[i].Run, "", 100, 1, true}));
  poll("w1", report);
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 4u);
  for (const WorkerCommand &it : orders)
    EXPECT_EQ(it.Run.Task.Job, JobNumber{20});
}

// The shares are those of the whole cluster, not of each shard.
TEST_F(AccountOrder, StartsInOtherShards_Count) {
  AccountLimits limits;
  limits["busy"] = limits["acme"] = {};
  TestShard.setAccountLimits(limits);
  TestShard.setPeerStartedCpu(1, {{"busy", 50000}});
  addWorker("w1");
  addJob(1, step(8, 4000), "busy");
  Time.advance(100ms);
  addJob(2, step(4, 4000));
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 8u);
  EXPECT_EQ(orders[0].Run.Task.Job, JobNumber{2});
  EXPECT_EQ(
      TestShard.load().StartedCpu,
      (std::map<std::string, std::int64_t>{{"busy", 16000}, {"acme", 16000}}));
}

// An account with the larger weight may start more before it comes second.
TEST_F(AccountOrder, LargerWeight_IsServedFirstAfterEqualStarts) {
  AccountLimits limits;
  limits["light"].Weight = 1;
  limits["acme"].Weight = 3;
  TestShard.setAccountLimits(limits);
  addWorker("w1");
  addJob(1, step(4, 4000), "light");
  addJob(2, step(4, 4000), "acme");
  ASSERT_EQ(startAll(), 8u);
  addJob(3, step(4, 4000), "light");
  Time.advance(100ms);
  addJob(4, step(4, 4000), "acme");
  PollReport report;
  report.Ended = {{1, Started[0].Run, RunOutcome::Done, ""}};
  for (std::size_t i = 1; i < 8; ++i)
    report.Running.push_back({Started[i].Run, "", 100, 1, true});
  poll("w1", report);
  std::vector<WorkerCommand> orders = plan();
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].Run.Task.Job, JobNumber{4});
}

// Runs of the earlier owner on a worker that has not answered are unknown.
TEST_F(AccountTakeover, InheritedShare_CountsUntilTheWorkersAreVerified) {
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}},
                            {base::WorkerId("w2"), {"10.0.0.1", 8080}}},
                           {{2, now(), true}}, now());
  TestShard.setAccountLimits(limitOf(10000));
  TestShard.onAccountRecord("acme", {{0, {{9000, 0, 0}, {9000, 0, 0}}}},
                            RecordRevision = 5);
  TestShard.onAccountsLoaded();
  addWorker("w1");
  addJob(1, step(3, 3000));
  EXPECT_EQ(startAll(), 0u);
  addWorker("w2");
  EXPECT_EQ(startAll(), 3u);
}

TEST_F(AccountTakeover, AdoptedRuns_Count) {
  TestShard.markUnverified({{base::WorkerId("w1"), {"10.0.0.1", 8080}}},
                           {{2, now(), true}}, now());
  TestShard.setAccountLimits(limitOf(10000));
  TestShard.onAccountRecord("acme", {{0, {{9000, 0, 0}, {9000, 0, 0}}}},
                            RecordRevision = 5);
  TestShard.onAccountsLoaded();
  addJob(1, step(2, 3000), "acme", true);
  PollReport report;
  report.Running = {
      {RunId{TaskKey{JobNumber{1}, 0, 0, 0}, 1}, "", 100, 1, true},
      {RunId{TaskKey{JobNumber{1}, 0, 0, 1}, 1}, "", 100, 1, true}};
  addWorker("w1", report);
  addJob(2, step(3, 3000));
  EXPECT_EQ(startAll(), 1u);
}

} // namespace
