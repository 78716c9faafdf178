/// \file
/// Test fixture with a shard and workers that the test defines.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_SHARDFIXTURE_H
#define ENDIVEDOOR_TESTS_SUPPORT_SHARDFIXTURE_H

#include "endivedoor/dispatch/Shard.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace endivedoor::tests {

using namespace std::chrono_literals;
using dispatch::CommandResult;
using dispatch::PollReport;
using dispatch::RunId;
using dispatch::RunOutcome;
using dispatch::Shard;
using dispatch::WorkerCommand;
using model::JobNumber;
using model::TaskKey;

class ShardFixture : public testing::Test {
protected:
  static constexpr std::int64_t Term = 3;
  static constexpr std::int64_t WorkerMilliCores = 32000;

  static model::WorkerProfile worker(const std::string &id) {
    model::WorkerProfile w;
    w.Id = base::WorkerId(id);
    w.Service = base::ServiceName("desk");
    w.Endpoint = {"10.0.0.1", 8080};
    w.Zone = base::ZoneId("a");
    w.Capacity.Cpu = base::MilliCores{WorkerMilliCores};
    w.Capacity.Memory = base::MebiBytes{128000};
    w.Labels = {"a", "r1"};
    w.StartTime = 1000ms;
    return w;
  }

  static model::StepSpec step(std::int32_t count, std::int64_t cpu = 4000) {
    model::StepSpec s;
    s.Count = count;
    s.Size.Cpu = base::MilliCores{cpu};
    s.Size.Memory = base::MebiBytes{1000};
    s.Estimate = 500ms;
    return s;
  }

  static model::AcceptedJob job(std::uint64_t id,
                                std::vector<model::StepSpec> steps) {
    model::AcceptedJob j;
    j.Id = JobNumber{id};
    j.Queue = "q";
    j.Policy.Service = base::ServiceName("desk");
    j.Policy.MaxAttempts = 2;
    j.Graph.Steps = std::move(steps);
    return j;
  }

  /// Announces a worker, answers the first poll and stores the roster.
  void addWorker(const std::string &id, PollReport report = {}) {
    TestShard.updateWorker(worker(id), now());
    poll(id, std::move(report));
    storeRoster();
  }

  void storeRoster() {
    EXPECT_TRUE(TestShard.isRoster(TestShard.roster()));
    TestShard.onRosterSent(TestShard.roster());
    TestShard.onRosterStored(TestShard.roster());
  }

  void poll(const std::string &id, PollReport report = {}) {
    TestShard.nextPoll(base::WorkerId(id), now(), true);
    if (report.Clock == 0ms)
      report.Clock = std::chrono::duration_cast<std::chrono::milliseconds>(
          now().time_since_epoch());
    if (report.StartTime == 0ms)
      report.StartTime = 1000ms;
    base::TimePoint sent = now();
    Time.advance(1ms);
    TestShard.onPoll(base::WorkerId(id), report, sent, now());
  }

  /// Lets the time pass in which a worker gets no starts after a restart, as it
  /// may hold the longest lease.
  void useAfterRestart(const std::string &id, const PollReport &report) {
    Time.advance(4200ms);
    poll(id, report);
    plan();
  }

  std::vector<WorkerCommand>
  plan(WorkerCommand::Kind kind = WorkerCommand::Kind::Start) {
    Time.advance(10ms);
    storeRoster();
    std::vector<WorkerCommand> orders =
        TestShard.plan(now(), Time.wallNow(), true);
    std::erase_if(orders,
                  [&](const WorkerCommand &it) { return it.Type != kind; });
    return orders;
  }

  void confirmStarts(const std::vector<WorkerCommand> &orders) {
    for (const WorkerCommand &it : orders)
      TestShard.onStart(it, CommandResult::Done, now());
  }

  void storeWrites() {
    std::vector<dispatch::JobWrite> writes = TestShard.takeWrites(100);
    for (dispatch::JobWrite &it : writes)
      it.Revision = ++Revision;
    TestShard.onStored(writes, now());
  }

  base::TimePoint now() const { return Time.now(); }

  base::ManualClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 64};
  std::int64_t Revision = 100;
  dispatch::Metrics MetricsRegistry;
  Shard TestShard{{}, 0, Term, base::FencingToken{7}, Events, MetricsRegistry};
};

} // namespace endivedoor::tests

#endif
