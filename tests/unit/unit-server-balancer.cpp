// Tests request routing: route table, balancer, concurrency limits, retry
// budget and metrics.
#include "support/ServerFakes.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

namespace endivedoor::tests {
namespace {

using namespace server;
using std::chrono::milliseconds;
using testing::HasSubstr;

std::shared_ptr<Target> makeTarget(std::string worker, std::string zone,
                                   std::uint16_t port, int limit = 8) {
  return std::make_shared<Target>(base::ServiceName("orders"),
                                  base::WorkerId(worker), base::ZoneId(zone),
                                  model::Address{"127.0.0.1", port}, limit);
}

struct Balance : testing::Test {
  asio::io_context Io;
  base::SystemClock Time;
  ConnectionShare Share{1};
  RouteTableHolder Routes;
  ThreadConnections Connections{Share, [](const model::Address &, bool) {}};
  platform::HttpClient Client{Io.get_executor(), Time, platform::HttpLimits{}};
  Balancer Targets{Io.get_executor(), Routes, Client, Connections, Time, 2, 5};

  void publish(TargetList targets, std::vector<base::ZoneId> out = {}) {
    for (const auto &it : targets)
      Share.setCapacity(it->Endpoint, 8);
    Routes.publish(
        std::make_shared<RouteTable>(targets, base::ZoneId("a"), out));
  }
  base::Result<TargetPermit> acquire(milliseconds within = milliseconds(50),
                                     Balancer::TriedTargets tried = {}) {
    return await(Io, Targets.acquire("orders", Time.now() + within, tried));
  }
};

// Guards against routing to another zone while the local zone has capacity, and
// to an out-of-service zone while any other zone has capacity.
TEST_F(Balance, OwnZoneFirstThenOthersThenZonesOut) {
  auto own = makeTarget("w1", "a", 1, 1);
  auto other = makeTarget("w2", "b", 2, 1);
  auto out = makeTarget("w3", "c", 3, 1);
  publish({out, other, own}, {base::ZoneId("c")});
  auto one = acquire();
  auto two = acquire();
  auto three = acquire();
  EXPECT_EQ(one.value().target(), own);
  EXPECT_EQ(two.value().target(), other);
  EXPECT_EQ(three.value().target(), out);
  EXPECT_EQ(acquire().error().Code, Errc::DeadlinePassed);
}

// Guards against uneven load, and against choosing a target that has rejected
// the request or is unreachable.
TEST_F(Balance, PrefersTheLessLoadedUntriedReachableTarget) {
  TargetList targets;
  for (std::uint16_t i = 1; i <= 4; ++i)
    targets.push_back(makeTarget("w" + std::to_string(i), "a", i));
  publish(targets);
  std::vector<TargetPermit> permits;
  for (int i = 0; i < 16; ++i)
    permits.push_back(std::move(acquire().value()));
  for (const auto &it : targets)
    EXPECT_NEAR(it->Limit.outstanding(), 4, 2);
  permits.clear();
  acquire(milliseconds(50), {targets[1], targets[2], targets[3]})
      .value()
      .recordUnreachable();
  for (int i = 0; i < 50; ++i)
    EXPECT_NE(acquire().value().target(), targets[0]);
  EXPECT_EQ(acquire(milliseconds(50), targets).error().Code, Errc::NoTarget);
  // An unreachable target is still used if no other is left.
  EXPECT_TRUE(acquire(milliseconds(50), {targets[1], targets[2], targets[3]}));
}

// Guards against queueing requests that cannot be served: the queue is full,
// the deadline is shorter than the expected wait, or all targets were removed.
TEST_F(Balance, QueueIsBoundedAndShedsByDeadline) {
  auto only = makeTarget("w1", "a", 1, 1);
  publish({only});
  auto permit = std::make_unique<TargetPermit>(std::move(acquire().value()));
  permit->recordAnswer(std::chrono::seconds(4));
  permit.reset();
  permit = std::make_unique<TargetPermit>(std::move(acquire().value()));
  std::vector<Errc> errors;
  int served = 0;
  auto acquireWithin = [&](milliseconds within) -> asio::awaitable<void> {
    auto result = co_await Targets.acquire("orders", Time.now() + within, {});
    if (result)
      ++served;
    else
      errors.push_back(result.error().Code);
  };
  asio::co_spawn(Io, acquireWithin(milliseconds(2000)), asio::detached);
  runFor(Io, milliseconds(1));
  // The average response time is 250 ms, so the second request cannot be served
  // within its deadline.
  asio::co_spawn(Io, acquireWithin(milliseconds(100)), asio::detached);
  runFor(Io, milliseconds(1));
  EXPECT_EQ(errors, std::vector<Errc>{Errc::Overloaded});
  asio::co_spawn(Io, acquireWithin(milliseconds(2000)), asio::detached);
  runFor(Io, milliseconds(1));
  asio::co_spawn(Io, acquireWithin(milliseconds(2000)), asio::detached);
  runFor(Io, milliseconds(1));
  EXPECT_EQ(errors.size(), 2u);
  EXPECT_EQ(Targets.queued(), 2u);
  permit.reset();
  runFor(Io, milliseconds(5));
  EXPECT_EQ(served, 2);
  permit = std::make_unique<TargetPermit>(std::move(acquire().value()));
  asio::co_spawn(Io, acquireWithin(milliseconds(2000)), asio::detached);
  runFor(Io, milliseconds(1));
  publish({});
  Targets.wakeAll();
  runFor(Io, milliseconds(5));
  EXPECT_EQ(errors.back(), Errc::NoTarget);
  EXPECT_EQ(Targets.queued(), 0u);
}

// Guards against a limit that stays high while response times increase, or low
// after they recover.
TEST(ConcurrencyLimit, FollowsResponseTimes) {
  ConcurrencyLimit limit(8);
  auto run = [&](milliseconds time, int n) {
    for (int i = 0; i < n; ++i) {
      int begun = 0;
      while (limit.tryAcquire())
        ++begun;
      for (; begun > 0; --begun)
        limit.releaseAnswered(time);
    }
  };
  run(milliseconds(10), 100);
  EXPECT_EQ(limit.limit(), 8);
  run(milliseconds(200), 3);
  EXPECT_LT(limit.limit(), 4);
  run(milliseconds(10), 200);
  EXPECT_EQ(limit.limit(), 8);
  for (int i = 0; i < 100; ++i)
    if (limit.tryAcquire())
      limit.releaseFailed();
  EXPECT_EQ(limit.limit(), 1);
  EXPECT_EQ(limit.outstanding(), 0);
}

// Guards against retries that amplify an overload.
TEST(RetryBudget, TenPercentAtLeastThree) {
  base::ManualClock clock;
  RetryBudget budget(clock);
  auto spend = [&] {
    int n = 0;
    while (budget.tryRetry())
      ++n;
    return n;
  };
  EXPECT_EQ(spend(), 3);
  clock.advance(milliseconds(1000));
  for (int i = 0; i < 100; ++i)
    budget.addRequest();
  EXPECT_EQ(spend(), 10);
  clock.advance(milliseconds(500));
  EXPECT_EQ(spend(), 0);
  clock.advance(milliseconds(600));
  EXPECT_EQ(spend(), 3);
}

// Guards against output that violates the Prometheus text format, and against
// shards that are not merged.
TEST(Metrics, TextMergesShards) {
  Metrics metrics;
  MetricsShard &one = metrics.addShard();
  MetricsShard &two = metrics.addShard();
  metrics.addGauge("endivedoor_test", "A test.", [] { return 1.5; });
  one.increment(Counter::RequestsAnswered);
  two.increment(Counter::RequestsAnswered);
  for (int i = 1; i <= 10000; ++i)
    (i % 2 ? one : two).observe(milliseconds(i > 8000 ? 100 : 1));
  std::string text = metrics.render();
  EXPECT_THAT(text,
              HasSubstr("endivedoor_requests_total{outcome=\"answered\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("# TYPE endivedoor_test gauge\n"
                              "endivedoor_test 1.5\n"));
  EXPECT_THAT(text, HasSubstr("{quantile=\"0.5\"} 0.001"));
  EXPECT_THAT(text, HasSubstr("{quantile=\"0.99\"} 0.1"));
  EXPECT_THAT(text, HasSubstr("endivedoor_request_seconds_count 10000\n"));
  std::istringstream lines(text);
  std::set<std::string> typed;
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with("# TYPE ")) {
      EXPECT_TRUE(typed.insert(line).second) << line;
    } else if (!line.starts_with("#")) {
      EXPECT_NE(line.find(' '), std::string::npos) << line;
    }
}

} // namespace
} // namespace endivedoor::tests
