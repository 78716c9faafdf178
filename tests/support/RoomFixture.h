/// \file
/// Test fixture with a shard that holds rooms for tasks of other shards.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_ROOMFIXTURE_H
#define ENDIVEDOOR_TESTS_SUPPORT_ROOMFIXTURE_H

#include "support/ShardFixture.h"

namespace endivedoor::tests {

using dispatch::RoomOffer;
using dispatch::RoomRequest;

/// A shard that can have rooms for the tasks of others, with a worker of 32
/// cores on which a long-running task of 20 cores runs.
class ShardWithARoom : public ShardFixture {
protected:
  static constexpr std::uint64_t Serving = 1, Asking = 9;
  static constexpr std::int32_t AskingShard = 4;

  static model::StepSpec longRunning(std::int32_t count, std::int64_t cpu) {
    model::StepSpec s = step(count, cpu);
    s.LongRunning = true;
    return s;
  }

  /// A short step that runs for longer than any task may wait.
  static model::StepSpec slow(std::int32_t count, std::int64_t cpu,
                              bool checkpoints = false) {
    model::StepSpec s = step(count, cpu);
    s.Estimate = 60s;
    s.SupportsCheckpoints = checkpoints;
    return s;
  }

  void SetUp() override {
    addWorker("w");
    start(job(Serving, {longRunning(1, 20000)}));
  }

  void start(const model::AcceptedJob &added) {
    TestShard.addJob(added, ++Revision, false, now());
    std::vector<WorkerCommand> orders = plan();
    confirmStarts(orders);
    for (const WorkerCommand &it : orders)
      Running.push_back(it.Run);
    report();
  }

  /// Answers a poll with the runs, without those of a job that have ended.
  void report(std::uint64_t ended = 0, RunOutcome how = RunOutcome::Stopped) {
    PollReport report;
    std::erase_if(Running, [&](const RunId &it) {
      if (it.Task.Job != JobNumber{ended})
        return false;
      report.Ended.push_back({++Ends, it, how, ""});
      return true;
    });
    for (const RunId &it : Running)
      report.Running.push_back({it, "", 100, 4000, true});
    poll("w", report);
  }

  static RoomRequest request(std::uint64_t job, std::int64_t cpu,
                             std::chrono::milliseconds waited) {
    RoomRequest r;
    r.Job = JobNumber{job};
    r.Tasks = {3};
    r.Size = step(1, cpu).Size;
    r.Service = base::ServiceName("desk");
    r.Waited = waited;
    return r;
  }

  void delegate(std::uint64_t id, std::int64_t cpu) {
    dispatch::JobPart part;
    part.Tasks = {{0, 3}};
    part.HomeShard = AskingShard;
    part.Waited = 5s;
    TestShard.addJob(job(id, {longRunning(5, cpu)}), ++Revision, false, now(),
                     &part);
  }

  static TaskKey task(std::uint64_t job, std::int32_t index = 3) {
    return {JobNumber{job}, 0, 0, index};
  }

  void ask(std::int32_t from, std::vector<RoomRequest> requests) {
    TestShard.setRoomRequests(from, requests, now());
  }

  std::vector<WorkerCommand> planLongRunning() {
    Time.advance(10ms);
    storeRoster();
    return TestShard.planLongRunning(now(), SIZE_MAX, true);
  }

  std::vector<RoomOffer> offers() {
    Time.advance(200ms);
    plan();
    return TestShard.takeRoomOffers(10);
  }

  std::vector<RunId> Running;
  std::int64_t Ends = 0;
};

} // namespace endivedoor::tests

#endif
