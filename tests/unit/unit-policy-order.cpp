// Checks the start order: urgent tasks first, then by earliest latest start
// time. A team over its quota waits without blocking other teams.
#include "PolicyFixture.h"

namespace endivedoor::policy {
namespace {

class PolicyOrder : public PolicyTest {
protected:
  void add(const std::string &id, base::Duration deadline,
           base::Duration runTime, bool urgent = false,
           const std::string &team = "team") {
    model::JobSpec it = makeBatchJob(id);
    it.Deadline = Clock.wallNow() + deadline;
    it.DeclaredRunTime =
        std::chrono::duration_cast<std::chrono::milliseconds>(runTime);
    it.Urgent = urgent;
    it.Team = base::TeamName(team);
    TestedScheduler->enqueue(makeTaskId(id), it);
  }
  std::string first() {
    startedWorkers(1);
    std::vector<StartTask> all = decisionsOfType<StartTask>(LastDecisions);
    return all.empty() ? "" : all[0].Task.str();
  }
};

TEST_F(PolicyOrder, UrgentThenEarliestLatestStart) {
  add("late", 2h, 1min);
  add("long", 2h, 100min);
  add("soon", 30min, 1min);
  add("urgent", 5h, 1min, true);
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  for (const char *expected : {"urgent", "long", "soon", "late"})
    EXPECT_EQ(first(), expected);
}

TEST_F(PolicyOrder, MeasuredRunTimeOutweighsDeclared) {
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  for (int n = 0; n < 8; ++n) {
    add("m" + std::to_string(n), 9h, 1min);
    ASSERT_NE(first(), "");
    Clock.advance(50min);
    TestedScheduler->ended(makeTaskId("m" + std::to_string(n)),
                           EndReason::Finished);
  }
  add("declared-short", 70min, 1min);
  model::JobSpec other = makeBatchJob("other-class");
  other.Class = base::TaskClass("never-measured");
  other.Deadline = Clock.wallNow() + 60min;
  TestedScheduler->enqueue(makeTaskId("other-class"), other);
  EXPECT_EQ(first(), "declared-short");
}

TEST_F(PolicyOrder, ClassDeadlineRuleCounts) {
  addRule(model::ClassDeadline{base::TaskClass("term"), 10min},
          "deadline class term 10m");
  add("declared", 1h, 1min);
  model::JobSpec it = makeBatchJob("term");
  it.Class = base::TaskClass("term");
  TestedScheduler->enqueue(makeTaskId("term"), it);
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  EXPECT_EQ(first(), "term");
  Clock.advance(11min);
  TestedScheduler->ended(makeTaskId("term"), EndReason::Finished);
  std::vector<RuleStatus> status = TestedScheduler->ruleStatus();
  ASSERT_EQ(status.size(), 1u);
  EXPECT_EQ(status[0].Violated, 1u);
  EXPECT_NE(status[0].WorstCase.find("job term took 660 s"), std::string::npos);
}

TEST_F(PolicyOrder, TeamOverQuotaDoesNotBlockOthers) {
  addRule(model::TeamQuota{base::TeamName("planning"), 2},
          "quota team planning slots 2");
  TestedScheduler->upsertWorker(makeWorker("w", "z", "r"));
  for (const char *id : {"p1", "p2", "p3"})
    add(id, 10min, 1min, false, "planning");
  add("other", 5h, 1min);
  EXPECT_EQ(startedWorkers().size(), 3u);
  EXPECT_TRUE(startedWorkers().empty());
  TestedScheduler->ended(makeTaskId("p1"), EndReason::Finished);
  EXPECT_EQ(startedWorkers().count("p3"), 1u);
}

TEST_F(PolicyOrder, UrgentTaskEvictsBatchButNotUrgent) {
  TestedScheduler->upsertWorker(
      makeWorker("w", "z", "r", makeResources(2, 8, 8, 8000)));
  add("batch", 1h, 1min);
  add("first-urgent", 1h, 1min, true);
  ASSERT_EQ(startedWorkers().size(), 2u);
  add("urgent", 1h, 1min, true);
  EXPECT_TRUE(decisionsOfType<EvictTask>(TestedScheduler->decide(10)).empty());
  Clock.advance(600ms);
  std::vector<EvictTask> evicted =
      decisionsOfType<EvictTask>(TestedScheduler->decide(10));
  ASSERT_EQ(evicted.size(), 1u);
  EXPECT_EQ(evicted[0].Task, makeTaskId("batch"));
  EXPECT_TRUE(decisionsOfType<EvictTask>(TestedScheduler->decide(10)).empty());
  TestedScheduler->ended(makeTaskId("batch"), EndReason::Evicted);
  EXPECT_EQ(startedWorkers().count("urgent"), 1u);
}

} // namespace
} // namespace endivedoor::policy
