// Tests which workers' targets the poller adds to the route table.
#include "support/ServerFakes.h"

#include <gtest/gtest.h>

namespace endivedoor::tests {
namespace {

using std::chrono::milliseconds;

/// A worker client that supports status calls only.
struct FakeWorkers : platform::WorkerClient {
  std::map<model::Address, platform::WorkerStatus> Status;
  std::map<model::Address, int> Polls;

  platform::Async<platform::WorkerStatus> status(model::Address to) override {
    ++Polls[to];
    auto it = Status.find(to);
    if (it == Status.end())
      co_return base::fail(Errc::WorkerUnreachable, to.str());
    co_return it->second;
  }
  platform::Async<platform::PlacementLease>
  claim(model::Address, std::string, base::Epoch, milliseconds) override {
    co_return base::fail(Errc::LeaseHeld, "");
  }
  platform::Async<platform::RenewReply> renew(model::Address,
                                              platform::RenewRequest) override {
    co_return base::fail(Errc::LeaseStale, "");
  }
  platform::Async<void> start(model::Address, platform::StartRequest) override {
    co_return base::success();
  }
  platform::Async<std::string> evict(model::Address, platform::AttemptRef,
                                     base::FencingToken) override {
    co_return std::string();
  }
  platform::Async<void> throttle(model::Address, platform::AttemptRef,
                                 base::FencingToken, std::int32_t) override {
    co_return base::success();
  }
  platform::Async<void> stop(model::Address, platform::AttemptRef,
                             base::FencingToken) override {
    co_return base::success();
  }
};

struct FakeHosts : platform::HostList {
  std::vector<model::Worker> List;
  bool Unavailable = false;
  platform::Async<std::vector<model::Worker>> fetch() override {
    if (Unavailable)
      co_return base::fail(Errc::HostListUnavailable, "fault");
    co_return List;
  }
};

struct Poller : testing::Test {
  asio::io_context Io;
  base::SystemClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"e1", Hybrid, 100};
  model::Settings Config;
  FakeWorkers Workers;
  FakeHosts Hosts;
  server::ConnectionShare Share{8};
  server::RouteTableHolder Routes;
  std::unique_ptr<server::TargetPoller> StatusPoller;
  const model::Address OwnZoneWorker{"127.0.0.1", 1},
      OtherZoneWorker{"127.0.0.1", 2};

  void SetUp() override {
    Config.Zone = base::ZoneId("a");
    Config.Timing.StatusPoll = milliseconds(50);
    addWorker("w1", "a", OwnZoneWorker);
    addWorker("w2", "b", OtherZoneWorker);
    StatusPoller = std::make_unique<server::TargetPoller>(
        Io.get_executor(), Config, Workers, Hosts, Time, Events, Share, Routes,
        [] {}, 3);
    StatusPoller->start();
    runFor(Io, milliseconds(200));
  }
  void addWorker(std::string name, std::string zone, model::Address at) {
    model::Worker worker;
    worker.Id = base::WorkerId(name);
    worker.Zone = base::ZoneId(zone);
    worker.Endpoint = at;
    Hosts.List.push_back(worker);
    platform::WorkerStatus &status = Workers.Status[at];
    status.Capacity.Connections = 64;
    status.Services = {{base::ServiceName("orders"), base::TaskId("t"), {}}};
  }
  /// Returns the workers in the route table, those of the local zone first.
  std::string routedWorkers() {
    auto table = Routes.load();
    std::string names;
    if (const auto *tiers = table->find("orders"))
      for (const server::TargetList &tier : *tiers)
        for (const auto &it : tier)
          names += it->Worker.str() + " ";
    return names;
  }
};

// Guards against undiscovered targets and a wrong connection share.
TEST_F(Poller, FindsTargetsOfAllZones) {
  EXPECT_EQ(routedWorkers(), "w1 w2 ");
  EXPECT_EQ(Share.findOrCreate(OwnZoneWorker)->Limit.load(), 8);
  EXPECT_GE(Workers.Polls[OwnZoneWorker], 3);
  EXPECT_EQ(Workers.Polls[OtherZoneWorker], 1);
  EXPECT_EQ(StatusPoller->reachableWorkers(), 2u);
  StatusPoller->setOutOfService({base::ZoneId("a")}, {});
  EXPECT_EQ(routedWorkers(), "w2 w1 ");
  StatusPoller->setOutOfService({}, {base::WorkerId("w1")});
  EXPECT_EQ(routedWorkers(), "w2 ");
}

// Guards against routing new requests to a worker that is leaving (P8).
TEST_F(Poller, LeavingWorkerIsRemovedImmediately) {
  Workers.Status[OwnZoneWorker].Leaving = true;
  runFor(Io, milliseconds(90));
  EXPECT_EQ(routedWorkers(), "w2 ");
  Workers.Status[OwnZoneWorker].Leaving = false;
  runFor(Io, milliseconds(90));
  EXPECT_EQ(routedWorkers(), "w1 w2 ");
  Hosts.List[0].Leaving = true;
  runFor(Io, milliseconds(1050));
  EXPECT_EQ(routedWorkers(), "w2 ");
}

// Guards against removing a target after one missed poll or during a host list
// outage, and against keeping an unreachable target.
TEST_F(Poller, UnreachableWorkerIsRemovedAfterThreeMissedPolls) {
  Hosts.Unavailable = true;
  platform::WorkerStatus status = Workers.Status[OwnZoneWorker];
  auto target = Routes.load()->find("orders")->at(0).at(0);
  int before = Workers.Polls[OwnZoneWorker];
  Workers.Status.erase(OwnZoneWorker);
  while (Workers.Polls[OwnZoneWorker] < before + 2)
    runFor(Io, milliseconds(5));
  EXPECT_EQ(routedWorkers(), "w1 w2 ");
  runFor(Io, milliseconds(100));
  EXPECT_EQ(routedWorkers(), "w2 ");
  Workers.Status[OwnZoneWorker] = status;
  runFor(Io, milliseconds(1100));
  EXPECT_EQ(routedWorkers(), "w1 w2 ");

  // Responses to requests show that the target is reachable.
  target = Routes.load()->find("orders")->at(0).at(0);
  Workers.Status.erase(OwnZoneWorker);
  for (int i = 0; i < 20; ++i) {
    target->LastAnswer = Time.now().time_since_epoch().count();
    runFor(Io, milliseconds(20));
  }
  EXPECT_EQ(routedWorkers(), "w1 w2 ");
  runFor(Io, milliseconds(300));
  EXPECT_EQ(routedWorkers(), "w2 ");
}

} // namespace
} // namespace endivedoor::tests
