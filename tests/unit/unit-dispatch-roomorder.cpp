// Which of the tasks that wait in several shards gets the next room, and how
// long the room is open. Load pattern: workers leave an installation that is
// full of long-running tasks, so that tasks of each shard wait, some for longer
// than others; then rooms appear in one shard after the other, or many at once.
#include "support/LongRunningTasksFixture.h"

#include "endivedoor/dispatch/Records.h"

namespace {

using namespace endivedoor;
using namespace endivedoor::tests;
using model::TaskKey;

/// Three shards with two workers each, all full of tasks of one size.
class ShardsFullOfLongRunningTasks : public LongRunningTasksFixture {
protected:
  static constexpr int Shards = 3, WorkerCount = 6, TasksPerWorker = 4;
  /// The bound of 2 s, and the age of the load records.
  static constexpr auto DrainInterval = 3500ms;
  /// The users' goal for the time that a room is open.
  static constexpr std::chrono::milliseconds OpenBound{300};

  ShardsFullOfLongRunningTasks()
      : LongRunningTasksFixture(Shards, WorkerCount) {}

  void SetUp() override {
    ASSERT_NO_FATAL_FAILURE(startNode(WorkerCount));
    for (std::uint64_t i = 1; i <= WorkerCount * TasksPerWorker; ++i) {
      ASSERT_NO_FATAL_FAILURE(submit(i, 1, 8000));
      ASSERT_NO_FATAL_FAILURE(awaitStarts());
    }
  }

  /// Drains a worker of the shard; its tasks wait then.
  void drainWorker(int shard) { drain(workersOf(shard).at(0)); }

  /// Cancels one of the tasks that run on a worker of the shard.
  void endTask(int shard) {
    for (const model::WorkerProfile &w : workersOf(shard))
      for (const dispatch::RunStatus &it : Workers.Running[w.Id]) {
        if (WaitingSince.contains(it.Id.Task) ||
            Cancelled.contains(it.Id.Task.Job) ||
            std::any_of(Starts.begin(), Starts.end(),
                        [&](const Start &s) { return s.Task == it.Id.Task; }))
          continue;
        Cancelled.insert(it.Id.Task.Job);
        ASSERT_EQ(await(Node->cancel(it.Id.Task.Job)),
                  dispatch::CancelOutcome::Cancelled);
        return;
      }
    FAIL() << "no task of shard " << shard << " is left to end";
  }

  /// Starts of tasks that had not waited for 6 s while another one had, and had
  /// waited over 2 s longer.
  std::vector<std::string> Late;
  /// Longest time for which a worker had room while tasks waited.
  std::chrono::milliseconds LongestOpen{0};

private:
  void onObserved(const std::map<TaskKey, base::WorkerId> &running) override {
    std::map<base::WorkerId, int> tasks;
    for (const auto &[task, worker] : running)
      ++tasks[worker];
    for (int i = 0; i < WorkerCount; ++i) {
      base::WorkerId id = worker(i).Id;
      bool open = !Drained.contains(id) && tasks[id] < TasksPerWorker &&
                  !WaitingSince.empty();
      if (!open) {
        OpenSince.erase(id);
        continue;
      }
      auto since = OpenSince.try_emplace(id, TestClock::now()).first->second;
      LongestOpen = std::max(
          LongestOpen, std::chrono::duration_cast<std::chrono::milliseconds>(
                           TestClock::now() - since));
    }
  }

  void onStarted(const Start &start) override {
    for (const auto &[task, since] : WaitingSince)
      if (since + 2s <= start.Since && start.At - since > 6s &&
          start.At - start.Since < 6s)
        Late.push_back(dispatch::formatJobNumber(start.Task.Job) + " before " +
                       dispatch::formatJobNumber(task.Job) + ", which waited " +
                       std::to_string((start.At - since) / 1ms) + " ms");
  }

  std::map<base::WorkerId, TestClock::time_point> OpenSince;
};

// kcs-orders-grown, grown-leader-race-drain, seed 13: 17 tasks waited for 15 to
// 19 s while 60 others, which had waited less, were restarted in the shards in
// which rooms appeared. All tasks need the same here, so the room of any ends
// the wait of the longest waiting.
TEST_F(ShardsFullOfLongRunningTasks, RoomsInOneShard_GoToTheLongestWaits) {
  for (int shard : {1, 2, 0}) {
    drainWorker(shard);
    observe(DrainInterval);
  }
  EXPECT_EQ(WaitingSince.size(), 12u);
  for (int i = 0; i < TasksPerWorker; ++i) {
    endTask(0);
    observe(600ms);
  }
  observe(1000ms);
  EXPECT_EQ(Starts.size(), 4u);
  EXPECT_EQ(Late, std::vector<std::string>{});
}

// srsl-main-grown, grown-leader-race-drain, seed 12: jobs were cancelled in one
// shard, and its rooms were offered around for 0.5 to 1.2 s.
TEST_F(ShardsFullOfLongRunningTasks, RoomsInTwoShards_AreTakenAtOnce) {
  for (int shard : {1, 2, 0}) {
    drainWorker(shard);
    observe(2500ms);
  }
  observe(4000ms);
  EXPECT_EQ(WaitingSince.size(), 12u);
  Link.CommitDelay = 100ms;
  for (int i = 0; i < TasksPerWorker; ++i)
    for (int shard : {0, 2}) {
      endTask(shard);
      observe(50ms);
    }
  observe(2000ms);
  EXPECT_EQ(Starts.size(), 8u);
  EXPECT_LE(LongestOpen, OpenBound);
}

// srsl-main-grown, grown-leader-race-drain, seed 12: few tasks waited, none in
// the shards in which jobs were cancelled. These offered their rooms to tasks
// that had started since they were published, for 0.4 to 0.7 s.
TEST_F(ShardsFullOfLongRunningTasks, RoomsOpenWhereNoneWaits_AreTakenAtOnce) {
  drainWorker(1);
  observe(8000ms);
  EXPECT_EQ(WaitingSince.size(), 4u);
  Link.CommitDelay = 60ms;
  for (int shard : {1, 1, 1, 0, 2})
    endTask(shard);
  observe(1500ms);
  EXPECT_EQ(Starts.size(), 4u);
  EXPECT_LE(LongestOpen, OpenBound);
}

TEST_F(ShardsFullOfLongRunningTasks, RoomsInEachShard_GoToTheLongestWaits) {
  for (int shard : {1, 2, 0}) {
    drainWorker(shard);
    observe(DrainInterval);
  }
  EXPECT_EQ(WaitingSince.size(), 12u);
  for (int i = 0; i < TasksPerWorker; ++i)
    for (int shard : {0, 2, 1}) {
      endTask(shard);
      observe(300ms);
    }
  observe(1500ms);
  EXPECT_EQ(Starts.size(), 12u);
  EXPECT_EQ(Late, std::vector<std::string>{});
}

} // namespace
