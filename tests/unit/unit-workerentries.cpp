// Tests that odd entries among those of the workers are passed over while the
// others are followed, from the store's answers to the calls of workers.
#include "standins/installation/KeyValueStore.h"
#include "support/InMemoryStore.h"

#include "endivedoor/dispatch/Records.h"
#include "endivedoor/installation/Installation.h"
#include "endivedoor/platform/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace std::chrono_literals;
using base::EventCode;
using platform::HttpRequest;

namespace {

/// Records which workers are polled; none answers.
class PolledWorkers final : public dispatch::TaskWorker {
public:
  std::set<std::string> Ids;

  Async<dispatch::PollReport> poll(dispatch::WorkerRef to,
                                   dispatch::PollRequest,
                                   std::chrono::milliseconds) override {
    Ids.insert(to.Id.str());
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
  Async<dispatch::CommandResult> start(dispatch::WorkerRef,
                                       dispatch::StartRequest,
                                       std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
  Async<dispatch::CommandResult> stop(dispatch::WorkerRef, dispatch::RunId,
                                      base::FencingToken,
                                      std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
  Async<dispatch::CommandResult> throttle(dispatch::WorkerRef, dispatch::RunId,
                                          std::int32_t, base::FencingToken,
                                          std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
};

std::string entry(const std::string &address = "10.0.0.9:8080",
                  const std::string &more = "") {
  return R"({"service":"desk","address":")" + address +
         R"(","zone":"a","state":"ready","capacity":{"cpu":1,"mem_mb":1},)"
         R"("born":77)" +
         more + "}";
}

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

class WorkerEntries : public testing::Test {
protected:
  WorkerEntries() {
    Records.put(dispatch::keys::layout(), R"({"shards":1})");
    platform::HttpServerOptions options;
    asio::ip::tcp::acceptor free(Io, {asio::ip::make_address("127.0.0.1"), 0});
    options.Listen = {"127.0.0.1", free.local_endpoint().port()};
    free.close();
    Server = std::make_unique<platform::HttpServer>(
        Io.get_executor(), options,
        [this](HttpRequest r) { return Entries.handle(std::move(r)); });
    EXPECT_TRUE(Server->start().has_value());
    Settings.Store = options.Listen;
    dispatch::DispatchOptions nodeOptions;
    nodeOptions.Name = "n1";
    nodeOptions.Instance = "n1-1";
    Node = std::make_unique<dispatch::DispatchNode>(
        Io.get_executor(), nodeOptions, Records, Workers, Time, Events,
        MetricsRegistry);
    // Not deleted: suspended calls refer to it until the io_context ends.
    Adapter = new installation::Installation(Io.get_executor(), Settings, Time,
                                             Events, MetricsRegistry);
  }

  void start() {
    Node->start();
    Adapter->startWatches(*Node, [](model::QueueConfiguration) {});
  }

  void put(const std::string &id, const std::string &value) {
    Entries.put("servers/" + id, value);
  }

  /// Runs until the condition holds, for at most 5 s.
  bool awaitUntil(const std::function<bool()> &condition) {
    for (int i = 0; i < 500 && !condition(); ++i)
      Io.run_for(10ms);
    return condition();
  }

  bool awaitPolled(const std::string &id) {
    return awaitUntil([&] { return Workers.Ids.contains(id); });
  }

  std::uint64_t logged(EventCode code) { return Events.counts()[code]; }

  asio::io_context Io{1};
  base::SystemClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 256};
  dispatch::Metrics MetricsRegistry;
  InMemoryStore Records;
  PolledWorkers Workers;
  standin::KeyValueStore Entries{Io, Time, 1};
  std::unique_ptr<platform::HttpServer> Server;
  model::DispatchSettings Settings;
  std::unique_ptr<dispatch::DispatchNode> Node;
  installation::Installation *Adapter = nullptr;
};

// The list and the watch must go on past any entry.
TEST_F(WorkerEntries, OddEntries_ArePassedOverWhileOthersAreFollowed) {
  const std::string odd[] = {
      "",
      "null",
      "\xff\xfe",
      "{",
      nested(31),
      nested(33),
      nested(1000),
      nested(100'000),
      entry("10.0.0.9:8080", R"(,"x":)" + nested(100'000)),
      entry("10.0.0.9:8080", R"(,"labels":)" + nested(1000)),
      entry("10.0.0.9:8080", R"(,"capacity":)" + nested(17)),
      entry("10.0.0.9:8080", R"(,"born":1e400)"),
      entry("10.0.0.9:8080", R"(,"capacity":{"cpu":1e400,"mem_mb":1})"),
      entry("10.0.0.9:8080", R"(,"zone":7)"),
      entry("10.0.0.9:8080", R"(,"state":"gone")"),
      entry("10.0.0.9:0"),
      entry("10.0.0.9:65536"),
      entry("10.0.0.9:99999"),
      entry("10.0.0.9:-1"),
      entry("10.0.0.9:1e9"),
      entry("10.0.0.9:"),
      entry("10.0.0.9"),
      entry("desk.example:80"),
      entry("[::1]:80"),
      entry(""),
  };
  std::size_t n = 0;
  auto putAll = [&](const std::string &phase) {
    for (const std::string &it : odd)
      put(phase + std::to_string(n++), it);
    put("", entry());
    put("z-" + phase, entry());
  };
  putAll("listed");
  start();
  EXPECT_TRUE(awaitPolled("z-listed"));
  putAll("watched");
  EXPECT_TRUE(awaitPolled("z-watched"));
  put("z-last", entry());
  EXPECT_TRUE(awaitPolled("z-last"));
  EXPECT_EQ(Workers.Ids,
            (std::set<std::string>{"z-last", "z-listed", "z-watched"}));
  EXPECT_EQ(logged(EventCode::WatchLost), 0u);
  // One list for each of the two prefixes.
  EXPECT_EQ(Entries.callCounts().at("kv-range"), 2u);
}

TEST_F(WorkerEntries, OddEntryOfALiveWorker_IsReplacedByTheNextGoodOne) {
  put("w1", entry());
  put("w2", entry("10.0.0.8:8080"));
  start();
  ASSERT_TRUE(awaitPolled("w1") && awaitPolled("w2"));
  put("w1", nested(1000));
  EXPECT_TRUE(
      awaitUntil([&] { return logged(EventCode::WorkerWithdrawn) == 1; }));
  put("w1", entry());
  EXPECT_TRUE(
      awaitUntil([&] { return logged(EventCode::WorkerOffered) == 3; }));
}

// A writer that renews its odd entry filled the log and the retained events,
// whose texts quoted fields of any length.
TEST_F(WorkerEntries, OddEntryThatIsRenewed_IsLoggedOnceAndBriefly) {
  std::string large(500'000, 'x');
  start();
  for (int i = 0; i < 5; ++i) {
    put("odd-1", entry(large));
    put("odd-2", entry("10.0.0.9:80", R"(,"state":")" + large + "\""));
    put("good-" + std::to_string(i), entry());
    EXPECT_TRUE(awaitPolled("good-" + std::to_string(i)));
  }
  EXPECT_EQ(logged(EventCode::EntryPassedOver), 2u);
  put("odd-1", entry());
  EXPECT_TRUE(awaitPolled("odd-1"));
  put("odd-1", "{}");
  EXPECT_TRUE(
      awaitUntil([&] { return logged(EventCode::EntryPassedOver) == 3; }));
  for (const base::EventRecord &event : Events.snapshot())
    for (const auto &[name, value] : event.Fields)
      EXPECT_LT(value.size(), 1000u) << name;
}

} // namespace
