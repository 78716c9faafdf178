/// \file
/// Test fixture with one node whose shards run long-running tasks, and which
/// notes in real time which of them wait and start.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_LONGRUNNINGTASKSFIXTURE_H
#define ENDIVEDOOR_TESTS_SUPPORT_LONGRUNNINGTASKSFIXTURE_H

#include "support/NodeFixture.h"
#include "support/StoreLink.h"

#include "endivedoor/dispatch/Records.h"

namespace endivedoor::tests {

using TestClock = std::chrono::steady_clock;

class LongRunningTasksFixture : public NodeFixture {
protected:
  struct Start {
    model::TaskKey Task;
    TestClock::time_point Since, At;
  };

  LongRunningTasksFixture(std::size_t shards, int workers)
      : ShardCount(shards), AllWorkers(workers) {}

  static model::WorkerProfile worker(int number, std::int64_t cpu = 32000) {
    model::WorkerProfile w;
    w.Id = base::WorkerId("w" + std::to_string(number));
    w.Service = base::ServiceName("desk");
    w.Endpoint = {"10.0.0.1", 8080};
    w.Zone = base::ZoneId("a");
    w.Capacity.Cpu = base::MilliCores{cpu};
    w.Capacity.Memory = base::MebiBytes{128000};
    return w;
  }

  static model::StepSpec longRunning(std::int32_t count, std::int64_t cpu) {
    model::StepSpec step = job(1, count).Graph.Steps[0];
    step.LongRunning = true;
    step.Size.Cpu = base::MilliCores{cpu};
    return step;
  }

  /// Starts the node with the first workers, at least three.
  void startNode(int workers, std::int64_t cpu = 32000) {
    Store.put(dispatch::keys::layout(),
              R"({"shards":)" + std::to_string(ShardCount) + "}");
    Workers.KeepRunning = true;
    Node = &addNode("n1", Link, Workers);
    updateWorkers(0, workers, cpu);
    ASSERT_TRUE(runUntil([&] { return Node->ownedShards() == ShardCount; }));
    runFor(500ms);
  }

  /// Adds the workers from the first number to before the last, or changes what
  /// is known of them.
  void updateWorkers(int first, int last, std::int64_t cpu = 32000) {
    for (int i = first; i < last; ++i)
      Node->updateWorker(worker(i, cpu));
  }

  void submit(std::uint64_t id, std::int32_t tasks, std::int64_t cpu) {
    model::AcceptedJob added = job(id);
    added.Graph.Steps = {longRunning(tasks, cpu)};
    Submitted += static_cast<std::size_t>(tasks);
    ASSERT_EQ(await(Node->submit(added)), dispatch::SubmitOutcome::Accepted);
  }

  /// Waits until all tasks that were submitted run.
  void awaitStarts() {
    ASSERT_TRUE(runUntil([&] { return runningTasks().size() == Submitted; }));
    Before = runningTasks();
  }

  std::map<model::TaskKey, base::WorkerId> runningTasks() const {
    std::map<model::TaskKey, base::WorkerId> tasks;
    for (const auto &[worker, running] : Workers.Running)
      for (const dispatch::RunStatus &it : running)
        tasks[it.Id.Task] = worker;
    return tasks;
  }

  std::vector<model::WorkerProfile> workersOf(int shard) const {
    std::string roster = Store.valueOf(dispatch::keys::roster(shard));
    std::vector<model::WorkerProfile> workers;
    for (int i = 0; i < AllWorkers; ++i)
      if (roster.find('"' + worker(i).Id.str() + '"') != std::string::npos)
        workers.push_back(worker(i));
    return workers;
  }

  /// Lets time pass and notes which tasks begin to wait, and which start.
  void observe(std::chrono::milliseconds time) {
    for (auto end = TestClock::now() + time; TestClock::now() < end;) {
      runFor(5ms);
      std::map<model::TaskKey, base::WorkerId> running = runningTasks();
      for (const auto &[task, at] : Before)
        if (!running.contains(task) && !Cancelled.contains(task.Job))
          WaitingSince.try_emplace(task, TestClock::now());
      for (auto it = WaitingSince.begin(); it != WaitingSince.end();)
        if (running.contains(it->first)) {
          Starts.push_back({it->first, it->second, TestClock::now()});
          onStarted(Starts.back());
          it = WaitingSince.erase(it);
        } else {
          ++it;
        }
      onObserved(running);
      Before = std::move(running);
    }
  }

  /// Drains a worker; its tasks wait then.
  void drain(model::WorkerProfile w) {
    w.Draining = true;
    Drained.insert(w.Id);
    Node->updateWorker(w);
  }

  /// Called for each start of a task that has waited.
  virtual void onStarted(const Start &) {}
  /// Called every few milliseconds with the tasks that run.
  virtual void onObserved(const std::map<model::TaskKey, base::WorkerId> &) {}

  const std::size_t ShardCount;
  const int AllWorkers;
  StoreLink Link{Store};
  DispatchNode *Node = nullptr;
  std::map<model::TaskKey, TestClock::time_point> WaitingSince;
  std::set<JobNumber> Cancelled;
  std::set<base::WorkerId> Drained;
  std::vector<Start> Starts;

private:
  std::size_t Submitted = 0;
  std::map<model::TaskKey, base::WorkerId> Before;
};

} // namespace endivedoor::tests

#endif
