// Tests that objects of the dispatch package outlive the callbacks and
// coroutines that use them. A use after free shows under AddressSanitizer
// (preset "asan"); the tests also fail without it where a call can be counted.
#include "detail/NodeRecords.h"
#include "support/InMemoryStore.h"

#include "endivedoor/dispatch/DispatchNode.h"
#include "endivedoor/dispatch/PrefixMirror.h"
#include "endivedoor/dispatch/Records.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace std::chrono_literals;
using dispatch::DispatchNode;

namespace {

/// Fake workers that answer each poll with empty lists.
class IdleWorkers final : public dispatch::TaskWorker {
public:
  Async<dispatch::PollReport> poll(dispatch::WorkerRef, dispatch::PollRequest,
                                   std::chrono::milliseconds) override {
    asio::steady_timer timer(co_await asio::this_coro::executor, 2ms);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    dispatch::PollReport report;
    report.Clock = 1000ms;
    report.StartTime = 1ms;
    co_return report;
  }
  Async<dispatch::CommandResult> start(dispatch::WorkerRef,
                                       dispatch::StartRequest,
                                       std::chrono::milliseconds) override {
    co_return dispatch::CommandResult::Done;
  }
  Async<dispatch::CommandResult> stop(dispatch::WorkerRef, dispatch::RunId,
                                      base::FencingToken,
                                      std::chrono::milliseconds) override {
    co_return dispatch::CommandResult::Done;
  }
  Async<dispatch::CommandResult> throttle(dispatch::WorkerRef, dispatch::RunId,
                                          std::int32_t, base::FencingToken,
                                          std::chrono::milliseconds) override {
    co_return dispatch::CommandResult::Done;
  }
};

class LifetimeFixture : public testing::Test {
protected:
  void runFor(std::chrono::milliseconds time) { Io.run_for(time); }

  bool runUntil(const std::function<bool()> &done) {
    auto end = std::chrono::steady_clock::now() + 5s;
    while (!done() && std::chrono::steady_clock::now() < end)
      Io.run_for(5ms);
    return done();
  }

  std::unique_ptr<DispatchNode> makeNode() {
    dispatch::DispatchOptions options;
    options.Name = "n1";
    options.Instance = "n1-1";
    options.NodeLease = 400ms;
    auto node =
        std::make_unique<DispatchNode>(Io.get_executor(), options, Store,
                                       Workers, Time, Events, MetricsRegistry);
    model::WorkerProfile w;
    w.Id = base::WorkerId("w0");
    w.Service = base::ServiceName("desk");
    w.Endpoint = {"10.0.0.1", 8080};
    w.Zone = base::ZoneId("a");
    w.Capacity.Cpu = base::MilliCores{32000};
    w.Capacity.Memory = base::MebiBytes{128000};
    node->updateWorker(w);
    node->start();
    return node;
  }

  /// Writes the records of a claim of shard 0 by another node.
  void claimByAnotherNode() {
    dispatch::detail::OwnerEntry entry{{"n2", "n2-1"}, 2, {}};
    Store.put(dispatch::keys::owner(0), dispatch::detail::encodeOwner(entry));
    Store.put(dispatch::keys::shardEntry(0),
              dispatch::detail::encodeOwner(entry));
  }

  asio::io_context Io{1};
  base::SystemClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 64};
  dispatch::Metrics MetricsRegistry;
  InMemoryStore Store;
  IdleWorkers Workers;
};

using PrefixMirrorLifetime = LifetimeFixture;
using DispatchNodeLifetime = LifetimeFixture;

// A handler may destroy the mirror that calls it, for example when it reads
// that another node owns the shard. Every later callback would use objects
// that no longer exist.
TEST_F(PrefixMirrorLifetime, DestroyedByWrittenHandler_MakesNoFurtherCalls) {
  Store.put("p/a", "1");
  Store.put("p/b", "2");
  std::unique_ptr<dispatch::PrefixMirror> mirror;
  int written = 0, synced = 0;
  mirror = std::make_unique<dispatch::PrefixMirror>(
      Io.get_executor(), Store, "p/",
      dispatch::PrefixMirror::Handlers{[&](const dispatch::StoredItem &) {
                                         ++written;
                                         mirror.reset();
                                       },
                                       [](const std::string &) {},
                                       [&] { ++synced; }},
      Time, Events);
  mirror->start();
  runFor(50ms);
  EXPECT_EQ(written, 1);
  EXPECT_EQ(synced, 0);
}

// The same for a listing after lost history, which also reports deletions.
TEST_F(PrefixMirrorLifetime, DestroyedByDeletedHandler_MakesNoFurtherCalls) {
  Store.put("p/a", "1");
  Store.put("p/b", "2");
  std::unique_ptr<dispatch::PrefixMirror> mirror;
  int deleted = 0, synced = 0;
  mirror = std::make_unique<dispatch::PrefixMirror>(
      Io.get_executor(), Store, "p/",
      dispatch::PrefixMirror::Handlers{[](const dispatch::StoredItem &) {},
                                       [&](const std::string &) {
                                         ++deleted;
                                         mirror.reset();
                                       },
                                       [&] { ++synced; }},
      Time, Events);
  mirror->start();
  ASSERT_TRUE(runUntil([&] { return synced == 1; }));
  Store.PendingHistoryLosses = 1;
  Store.erase("p/a");
  Store.erase("p/b");
  runFor(100ms);
  EXPECT_EQ(deleted, 1);
  EXPECT_EQ(synced, 1);
}

// Another node takes the shard over between the claim and the first listing of
// its records. The owner record ends the term from within the mirror's
// callback, which destroys runner and mirror. A daemon crashed so, with status
// 139, right after it had given up a shard.
TEST_F(DispatchNodeLifetime, ShardLostWhileLoading_NodeSurvives) {
  bool lost = false;
  Store.ListDelay = 5ms;
  Store.BeforeList = [&](const std::string &prefix) {
    if (prefix != dispatch::keys::shardPrefix(0) || lost)
      return;
    lost = true;
    claimByAnotherNode();
  };
  std::unique_ptr<DispatchNode> node = makeNode();
  ASSERT_TRUE(runUntil([&] { return lost; }));
  runFor(300ms);
  EXPECT_EQ(node->ownedShards(), 0u);
}

// The watch of a loaded shard loses its history while another node takes the
// shard over, so that the listing reports the new owner.
TEST_F(DispatchNodeLifetime, ShardLostWithWatchHistory_NodeSurvives) {
  std::unique_ptr<DispatchNode> node = makeNode();
  ASSERT_TRUE(runUntil([&] { return node->ownedShards() == 1; }));
  runFor(100ms);
  Store.ListDelay = 5ms;
  Store.PendingHistoryLosses = 4;
  claimByAnotherNode();
  EXPECT_TRUE(runUntil([&] { return node->ownedShards() == 0; }));
  runFor(300ms);
}

// A node may be destroyed while its coroutines are suspended.
TEST_F(DispatchNodeLifetime, DestroyedWhileRunning_CoroutinesEnd) {
  std::unique_ptr<DispatchNode> node = makeNode();
  ASSERT_TRUE(runUntil([&] { return node->ownedShards() == 1; }));
  node.reset();
  // Without a node no work is left, which stops the context. A loop that sleeps
  // ends when it wakes up.
  EXPECT_TRUE(runUntil([&] { return Io.stopped(); }));
  Io.restart();
  std::unique_ptr<DispatchNode> next = makeNode();
  EXPECT_TRUE(runUntil([&] { return next->ownedShards() == 1; }));
}

} // namespace
