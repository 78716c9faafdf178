// Tests of the stand-in for a worker: calls that are carried out late, also by
// the next incarnation of the worker, follow the protocol of other calls. If
// they did not, the soak could not find faults of the fencing of incarnations.
#include "Decode.h"
#include "Wire.h"
#include "standins/installation/WorkerServer.h"
#include "support/HttpFixture.h"

#include <gmock/gmock.h>

namespace endivedoor::standin {
namespace {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::StartsWith;
using namespace std::chrono_literals;

constexpr model::JobNumber LongJob{7}, ShortJob{8};
constexpr auto CallDelay = 1000ms, Downtime = 20ms;
/// Time for calls and tasks beside the delays that a test is about.
constexpr auto Margin = 300ms;
/// A time on the clock of a worker that has run for long.
constexpr auto FarDeadline = 3600000ms;
/// Longest lease that the stand-in grants.
constexpr auto MaxLease = 6000ms;

class WorkerServerTest : public tests::HttpFixture {
protected:
  WorkerServerTest() {
    addJob(LongJob, 60s);
    addJob(ShortJob, 40ms);
    asio::ip::tcp::acceptor unused(Io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    Address = {"127.0.0.1", unused.local_endpoint().port()};
    unused.close();
    model::WorkerProfile profile;
    profile.Id = base::WorkerId("w-1");
    profile.Endpoint = Address;
    profile.Capacity = {.Cpu = base::MilliCores{8000},
                        .Memory = base::MebiBytes{16000}};
    Worker = std::make_unique<WorkerServer>(Io, Time, Entries, Checker, profile,
                                            Address, 1);
  }

  void addJob(model::JobNumber id, milliseconds work) {
    ObservedJob job;
    job.Graph.Steps = {model::StepSpec{}};
    job.Graph.Steps[0].Count = 1;
    job.WorkPerTask = {work};
    job.AcceptedAt = Time.now();
    Checker.addJob(id, job);
  }

  static json::object poll(std::int64_t token, std::int64_t lastSeen = 0,
                           milliseconds deadline = 0ms) {
    return {{"fencing_token", token},
            {"last_seen", lastSeen},
            {"deadline_ms", deadline.count()}};
  }

  static json::object command(model::JobNumber job, std::int64_t token,
                              milliseconds deadline = FarDeadline) {
    return {{"task", installation::encodeTaskName({job, 0, 0, 0})},
            {"run", 1},
            {"fencing_token", token},
            {"deadline_ms", deadline.count()}};
  }

  base::Result<HttpResponse> send(const std::string &call,
                                  const json::object &body) {
    return run(Client.send(
        Address, installation::postRequest("/endivedoor/" + call, body), 10s));
  }

  /// Returns the body of the response; the call must succeed.
  json::object sendAndRead(const std::string &call, const json::object &body) {
    base::Result<HttpResponse> response = send(call, body);
    EXPECT_TRUE(response);
    if (!response)
      return {};
    EXPECT_EQ(response.value().Status, 200U) << response.value().Body;
    return json::parse(response.value().Body).as_object();
  }

  /// Sends a call that is carried out after CallDelay.
  void sendLate(const std::string &call, const json::object &body) {
    WorkerServer::Faults faults;
    faults.LateCallRate = 1;
    faults.MinCallDelay = faults.MaxCallDelay = CallDelay;
    Worker->setFaults(faults);
    EXPECT_FALSE(send(call, body));
    Worker->setFaults({});
  }

  void pass(milliseconds time) { tests::runFor(Io, time); }

  void restart() {
    Worker->crash(Downtime);
    pass(Downtime + Margin / 3);
  }

  milliseconds uptime(std::int64_t token) {
    return milliseconds(
        sendAndRead("hold", poll(token)).at("clock_ms").to_number<int>());
  }

  InvariantChecker Checker{Time};
  KeyValueStore Entries{Io, Time, 1};
  model::Address Address;
  std::unique_ptr<WorkerServer> Worker;
};

TEST_F(WorkerServerTest, LateStart_RunsInNextIncarnation) {
  sendLate("run-start", command(LongJob, 5));
  restart();
  EXPECT_EQ(Checker.starts(), 0U);
  pass(CallDelay);
  EXPECT_EQ(Checker.runningTasks(LongJob), 1U);
  EXPECT_EQ(sendAndRead("hold", poll(5)).at("running").as_array().size(), 1U);
  EXPECT_THAT(Checker.violations(), IsEmpty());
}

// The checker must count the run of a late start as it counts any other.
TEST_F(WorkerServerTest, SecondRunBesideLateStart_IsTwice) {
  sendLate("run-start", command(LongJob, 5));
  restart();
  pass(CallDelay);
  InvariantChecker::StartEvent second;
  second.Worker = "w-2";
  second.Id = {{LongJob, 0, 0, 0}, 2};
  Checker.onStart(second);
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("TWICE")));
}

TEST_F(WorkerServerTest, LateStartBesideSecondRun_IsTwice) {
  sendLate("run-start", command(LongJob, 5));
  restart();
  InvariantChecker::StartEvent second;
  second.Worker = "w-2";
  second.Id = {{LongJob, 0, 0, 0}, 2};
  Checker.onStart(second);
  EXPECT_THAT(Checker.violations(), IsEmpty());
  pass(CallDelay);
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("TWICE")));
}

TEST_F(WorkerServerTest, LateStartAfterHigherToken_HasNoEffect) {
  sendLate("run-start", command(LongJob, 5));
  restart();
  sendAndRead("hold", poll(6));
  pass(CallDelay + Margin);
  EXPECT_EQ(Checker.starts(), 0U);
}

TEST_F(WorkerServerTest, LateStartWithFarDeadline_GrantsLongestLease) {
  sendLate("run-start", command(LongJob, 5));
  restart();
  pass(CallDelay + MaxLease - 1s);
  EXPECT_EQ(Checker.runningTasks(LongJob), 1U);
  pass(1s + Margin);
  EXPECT_EQ(Checker.runningTasks(LongJob), 0U);
}

TEST_F(WorkerServerTest, LateStartInSecondNextIncarnation_Runs) {
  sendLate("run-start", command(LongJob, 5));
  restart();
  restart();
  pass(CallDelay);
  EXPECT_EQ(Checker.runningTasks(LongJob), 1U);
}

TEST_F(WorkerServerTest, CallThatIsDueWhileDown_IsLost) {
  sendLate("run-start", command(LongJob, 5));
  Worker->crash(CallDelay + Margin);
  pass(CallDelay + 3 * Margin);
  EXPECT_EQ(Checker.starts(), 0U);
}

TEST_F(WorkerServerTest, LateStop_StopsRunOfNextIncarnation) {
  sendLate("run-stop", command(LongJob, 5));
  restart();
  sendAndRead("run-start", command(LongJob, 5));
  EXPECT_EQ(Checker.runningTasks(LongJob), 1U);
  pass(CallDelay + Margin);
  EXPECT_EQ(Checker.runningTasks(LongJob), 0U);
}

TEST_F(WorkerServerTest, LatePoll_DiscardsEndsOfNextIncarnation) {
  sendLate("hold", poll(5, 1, FarDeadline));
  restart();
  sendAndRead("run-start", command(ShortJob, 5));
  pass(Margin);
  EXPECT_EQ(sendAndRead("hold", poll(5)).at("ended").as_array().size(), 1U);
  pass(CallDelay);
  EXPECT_THAT(sendAndRead("hold", poll(5)).at("ended").as_array(), IsEmpty());
}

TEST_F(WorkerServerTest, LatePollAfterHigherToken_DiscardsNoEnd) {
  sendLate("hold", poll(5, 1, FarDeadline));
  restart();
  sendAndRead("run-start", command(ShortJob, 6));
  pass(CallDelay + Margin);
  EXPECT_EQ(sendAndRead("hold", poll(6)).at("ended").as_array().size(), 1U);
}

TEST_F(WorkerServerTest, LatePoll_ExtendsLeaseOfNextIncarnation) {
  sendLate("hold", poll(5, 0, FarDeadline));
  restart();
  sendAndRead("run-start", command(LongJob, 5, uptime(5) + CallDelay + Margin));
  pass(CallDelay + 3 * Margin);
  EXPECT_EQ(Checker.runningTasks(LongJob), 1U);
}

TEST_F(WorkerServerTest, LatePollAfterHigherToken_DoesNotExtendLease) {
  sendLate("hold", poll(5, 0, FarDeadline));
  restart();
  sendAndRead("run-start", command(LongJob, 6, uptime(6) + CallDelay + Margin));
  pass(CallDelay + 3 * Margin);
  EXPECT_EQ(Checker.runningTasks(LongJob), 0U);
}

// A poll that waits belongs to the incarnation that it was sent to, however
// short the restart is.
TEST_F(WorkerServerTest, WaitingPoll_GetsNoAnswerFromNextIncarnation) {
  std::optional<base::Result<HttpResponse>> response;
  json::object body = poll(5);
  body["wait_ms"] = 5000;
  auto wait = [&]() -> asio::awaitable<void> {
    response.emplace(co_await Client.send(
        Address, installation::postRequest("/endivedoor/hold", body), 10s));
  };
  asio::co_spawn(Io, wait(), asio::detached);
  pass(Margin);
  Worker->crash(0ms);
  pass(Margin);
  ASSERT_TRUE(response);
  EXPECT_FALSE(*response);
}

// Clients rely on it that an open connection leads to the same incarnation.
TEST_F(WorkerServerTest, IdleConnection_DoesNotReachNextIncarnation) {
  sendAndRead("hold", poll(5));
  ASSERT_EQ(Client.idleConnections(Address), 1U);
  base::TimePoint before = Time.now();
  restart();
  EXPECT_FALSE(run(Client.sendOnIdle(
      Address, installation::postRequest("/endivedoor/hold", poll(5)), before,
      1s)));
  sendAndRead("hold", poll(5));
}

// Guards against a soak that ends the leases of workers only with the workers:
// the owner would never withdraw a worker whose process lives.
TEST_F(WorkerServerTest, LostEntry_IsBackAfterTheTimeWhileTheWorkerLives) {
  std::string key = "servers/w-1";
  pass(700ms);
  ASSERT_TRUE(Entries.find(key));
  Worker->loseEntry(1000ms);
  EXPECT_FALSE(Entries.find(key));
  pass(700ms);
  EXPECT_FALSE(Entries.find(key));
  sendAndRead("hold", poll(5));
  pass(1000ms);
  EXPECT_TRUE(Entries.find(key));
}

} // namespace
} // namespace endivedoor::standin
