// Checks that decisions and result tables depend only on the seed, not on the
// run or the number of threads.
#include "PolicyFixture.h"
#include "Report.h"

namespace endivedoor {
namespace {

std::string tableOfShortRun(std::size_t threads) {
  std::vector<experiment::Row> rows = experiment::runAll(
      experiment::shortLoad, experiment::allVariants(), 3, threads);
  return experiment::markdownOf(rows) + experiment::csvOf("short", rows) +
         experiment::gnuplotOf("short", rows);
}

TEST(PolicyExperiment, SameSeedGivesSameTable) {
  std::string first = tableOfShortRun(1);
  EXPECT_EQ(first, tableOfShortRun(1));
  EXPECT_EQ(first, tableOfShortRun(3));
}

TEST(PolicyExperiment, EverySchedulerGetsTheSameWork) {
  std::vector<experiment::Variant> all = experiment::allVariants();
  std::vector<experiment::Row> rows =
      experiment::runAll(experiment::shortLoad, all, 2, 2);
  for (const experiment::Row &it : rows)
    for (const experiment::RunMetrics &run : it.Runs) {
      EXPECT_GT(run.Starts, 0) << it.Variant;
      EXPECT_GT(run.LatencyP95, 1) << it.Variant;
    }
}

std::string decisionsOf(std::uint64_t seed) {
  base::ManualClock clock;
  std::unique_ptr<policy::Scheduler> it = policy::makeScheduler(clock, seed);
  for (int n = 0; n < 100; ++n)
    it->upsertWorker(policy::makeWorker("w" + std::to_string(n), "z", "r"));
  std::string out;
  for (int n = 0; n < 300; ++n) {
    std::string id = "j" + std::to_string(n);
    it->enqueue(policy::makeTaskId(id), policy::makeBatchJob(id));
    for (const auto &start :
         policy::decisionsOfType<policy::StartTask>(it->decide(10)))
      out += start.Task.str() + "@" + start.Worker.str() + " ";
  }
  return out;
}

TEST(PolicyExperiment, SameSeedGivesSameDecisions) {
  EXPECT_EQ(decisionsOf(5), decisionsOf(5));
  EXPECT_NE(decisionsOf(5), decisionsOf(6));
}

} // namespace
} // namespace endivedoor
