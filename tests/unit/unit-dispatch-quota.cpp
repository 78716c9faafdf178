// Tests the limit of an account whose tasks run in several shards. A fault
// would exceed the limit while owners change or the store fails, or leave most
// of it unused.
#include "support/NodeFixture.h"

using namespace endivedoor;
using namespace endivedoor::tests;
using dispatch::SubmitOutcome;

namespace {

/// Three shards with one worker each, and an account with a limit.
class AccountFixture : public NodeFixture {
protected:
  static constexpr double ThreeShardsMbps = 0.125;
  static constexpr std::size_t MaxTasks = 20;

  void SetUp() override { Workers.KeepRunning = true; }

  DispatchNode &addLimitedNode(const std::string &name) {
    DispatchNode &node = addNode(name, 1, ThreeShardsMbps);
    node.setAccounts(accounts(MaxTasks));
    return node;
  }

  /// \param tasks limit in tasks of 100 thousandths of a core; 0 for none.
  static std::vector<model::ClientAccount> accounts(std::size_t tasks) {
    model::ClientAccount account;
    account.Name = "acme/1";
    account.MaxRunning.Cpu =
        base::MilliCores{100 * static_cast<std::int64_t>(tasks)};
    return {account};
  }

  void submit(DispatchNode &node, std::uint64_t id, std::int32_t tasks,
              const std::string &account = "acme/1") {
    model::AcceptedJob added = job(id, tasks);
    added.Account = account;
    // The runs must not count as stuck.
    for (model::StepSpec &it : added.Graph.Steps)
      it.Estimate = 60s;
    ASSERT_EQ(await(node.submit(std::move(added))), SubmitOutcome::Accepted);
  }

  std::size_t running() const {
    std::size_t n = 0;
    for (const auto &[worker, runs] : Workers.Running)
      n += runs.size();
    return n;
  }

  /// Runs until nothing has started for a while; returns the highest number of
  /// tasks that ran together.
  std::size_t settle(std::chrono::milliseconds time = 1500ms) {
    std::size_t highest = running();
    for (auto end = std::chrono::steady_clock::now() + time;
         std::chrono::steady_clock::now() < end;) {
      Io.run_for(5ms);
      highest = std::max(highest, running());
    }
    return highest;
  }

  /// Completes up to \p n runs.
  void endRuns(std::size_t n) {
    for (auto &[worker, runs] : Workers.Running)
      for (; n > 0 && !runs.empty(); --n) {
        std::vector<dispatch::EndedRun> &ended = Workers.EndedRuns[worker];
        ended.push_back({std::ssize(ended) + 1, runs.front().Id,
                         dispatch::RunOutcome::Done, ""});
        runs.erase(runs.begin());
      }
  }
};

using AccountQuota = AccountFixture;

TEST_F(AccountQuota, SeveralShards_KeepToTheLimitTogetherAndUseIt) {
  DispatchNode &node = addLimitedNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 3; }));
  for (std::uint64_t id = 1; id <= 6; ++id)
    submit(node, id, 10);
  submit(node, 7, 5, "");
  std::size_t highest = settle();
  EXPECT_LE(highest, MaxTasks + 5);
  EXPECT_GE(running(), MaxTasks + 5 - 3) << "up to a task per shard is lost";
  EXPECT_TRUE(Store.has("endivedoor/a/acme%2f1"));
  endRuns(10);
  EXPECT_LE(settle(), MaxTasks + 5);
  EXPECT_GE(running(), MaxTasks - 3);
}

TEST_F(AccountQuota, LoweredLimit_NothingStartsUntilUseIsBelowIt) {
  DispatchNode &node = addLimitedNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 3; }));
  for (std::uint64_t id = 1; id <= 6; ++id)
    submit(node, id, 10);
  settle();
  std::size_t before = running();
  node.setAccounts(accounts(5));
  EXPECT_LE(settle(500ms), before);
  endRuns(before - 6);
  EXPECT_EQ(settle(500ms), 6u);
  endRuns(6);
  EXPECT_LE(settle(1500ms), 5u);
  EXPECT_GE(running(), 4u);
}

TEST_F(AccountQuota, StoreOutage_StartsWithinTheShares) {
  DispatchNode &node = addLimitedNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 3; }));
  for (std::uint64_t id = 1; id <= 6; ++id)
    submit(node, id, 10);
  settle();
  std::size_t starts = Workers.StartCounts.size();
  Store.Unavailable = true;
  endRuns(10);
  EXPECT_LE(settle(1000ms), MaxTasks);
  EXPECT_GT(Workers.StartCounts.size(), starts);
  Store.Unavailable = false;
  EXPECT_LE(settle(), MaxTasks);
  EXPECT_GE(running(), MaxTasks - 3);
}

TEST_F(AccountQuota, LostAnswersOfTheStore_KeepToTheLimit) {
  DispatchNode &node = addLimitedNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 3; }));
  for (std::uint64_t id = 1; id <= 6; ++id)
    submit(node, id, 10);
  for (int i = 0; i < 10; ++i) {
    Store.LoseAnswerForKey = "endivedoor/a/acme%2f1";
    EXPECT_LE(settle(100ms), MaxTasks);
    endRuns(2);
  }
  EXPECT_LE(settle(), MaxTasks);
  EXPECT_GE(running(), MaxTasks - 3);
}

// The next owners must count the runs that they have not found yet.
TEST_F(AccountQuota, OtherOwners_KeepToTheLimit) {
  DispatchNode &first = addLimitedNode("n1");
  ASSERT_TRUE(runUntil([&] { return first.ownedShards() == 3; }));
  for (std::uint64_t id = 1; id <= 6; ++id)
    submit(first, id, 10);
  settle();
  DispatchNode &second = addLimitedNode("n2");
  asio::co_spawn(Io, first.leave(), asio::detached);
  EXPECT_LE(settle(3000ms), MaxTasks);
  ASSERT_TRUE(runUntil([&] { return second.ownedShards() == 3; }));
  endRuns(12);
  EXPECT_LE(settle(2500ms), MaxTasks);
  EXPECT_GE(running(), MaxTasks - 3);
}

// A record that another program damaged must not stop the account for good.
TEST_F(AccountQuota, DamagedRecord_IsReplaced) {
  DispatchNode &node = addLimitedNode("n1");
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 3; }));
  submit(node, 1, 10);
  settle(500ms);
  Store.put("endivedoor/a/acme%2f1", "{broken");
  submit(node, 2, 10);
  submit(node, 3, 10);
  EXPECT_LE(settle(4000ms), MaxTasks);
  EXPECT_GE(running(), MaxTasks - 3);
  EXPECT_NE(Store.valueOf("endivedoor/a/acme%2f1"), "{broken");
}

TEST_F(AccountQuota, WithoutLimits_AccountRecordsAreNeitherReadNorWritten) {
  int reads = 0;
  Store.BeforeList = [&](const std::string &prefix) {
    reads += prefix == "endivedoor/a/";
  };
  DispatchNode &node = addNode("n1", 1, ThreeShardsMbps);
  node.setAccounts(accounts(0));
  ASSERT_TRUE(runUntil([&] { return node.ownedShards() == 3; }));
  submit(node, 1, 30);
  EXPECT_TRUE(runUntil([&] { return running() == 30; }));
  EXPECT_EQ(reads, 0);
  EXPECT_FALSE(Store.has("endivedoor/a/acme%2f1"));
}

} // namespace
