// Checks of the soak test that hold for cancelled jobs and for tasks under
// which workers crash.
#include "standins/installation/InvariantChecker.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace endivedoor::standin {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::StartsWith;

constexpr model::JobNumber Job{7};

class InvariantCheckerTest : public testing::Test {
protected:
  InvariantCheckerTest() {
    ObservedJob job;
    model::StepSpec step;
    step.Count = 2;
    job.Graph.Steps = {step};
    job.WorkPerTask = {100ms};
    job.AcceptedAt = Clock.now();
    Checker.addJob(Job, job);
    Clock.advance(10s);
  }

  void start(std::int64_t run, const std::string &worker = "w-1",
             bool late = false) {
    InvariantChecker::StartEvent event;
    event.Worker = worker;
    event.Id = {{Job, 0, 0, 0}, run};
    event.Late = late;
    Checker.onStart(event);
  }

  void cancel() {
    ObservedJob &job = *Checker.find(Job);
    job.CancelSent = true;
    job.CancelledAt = Clock.now();
  }

  void crashUnderTask(std::int64_t run, bool draining = false) {
    start(run);
    Checker.onCrash("w-1", draining);
    Checker.onRestart("w-1");
  }

  base::ManualClock Clock;
  InvariantChecker Checker{Clock};
};

TEST_F(InvariantCheckerTest, StartAfterCancelBound_IsUnasked) {
  cancel();
  Clock.advance(3001ms);
  start(1);
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("UNASKED")));
}

TEST_F(InvariantCheckerTest, StartWithinCancelBound_IsAllowed) {
  cancel();
  Clock.advance(3000ms);
  start(1);
  EXPECT_THAT(Checker.violations(), IsEmpty());
  EXPECT_EQ(Checker.cancellationsChecked(), 1U);
}

TEST_F(InvariantCheckerTest, StartSoonAfterFault_IsNotBounded) {
  cancel();
  Checker.onFaultBegin();
  Clock.advance(10s);
  Checker.onFaultEnd();
  Clock.advance(3000ms);
  start(1);
  EXPECT_THAT(Checker.violations(), IsEmpty());
}

TEST_F(InvariantCheckerTest, StartLongAfterFault_IsUnasked) {
  Checker.onFaultBegin();
  cancel();
  Checker.onFaultEnd();
  Clock.advance(3001ms);
  start(1);
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("UNASKED")));
}

TEST_F(InvariantCheckerTest, RunAfterStopBound_IsUnaskedOnce) {
  start(1);
  cancel();
  Clock.advance(3900ms);
  Checker.checkCancelled();
  EXPECT_THAT(Checker.violations(), IsEmpty());
  Clock.advance(1ms);
  Checker.checkCancelled();
  Checker.checkCancelled();
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("UNASKED")));
}

TEST_F(InvariantCheckerTest, RunAfterFault_HasWholeBoundToStop) {
  start(1);
  cancel();
  Checker.onFaultBegin();
  Clock.advance(10s);
  Checker.onFaultEnd();
  Clock.advance(3900ms);
  Checker.checkCancelled();
  EXPECT_THAT(Checker.violations(), IsEmpty());
  Clock.advance(1ms);
  Checker.checkCancelled();
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("UNASKED")));
}

TEST_F(InvariantCheckerTest, LateStart_MustEndWithinContactTime) {
  cancel();
  Clock.advance(5s);
  start(1, "w-1", true);
  Clock.advance(3000ms);
  Checker.checkCancelled();
  EXPECT_THAT(Checker.violations(), IsEmpty());
  Clock.advance(1ms);
  Checker.checkCancelled();
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("UNASKED")));
}

TEST_F(InvariantCheckerTest, RestartOfAnotherWorker_DoesNotSuspendBounds) {
  Checker.onCrash("w-2", false);
  cancel();
  Clock.advance(3001ms);
  start(1);
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("UNASKED")));
}

TEST_F(InvariantCheckerTest, ThirdStartAfterThirdCrash_BreaksBudget) {
  for (std::int64_t run = 1; run <= 5; ++run)
    crashUnderTask(run);
  EXPECT_THAT(Checker.violations(), IsEmpty());
  start(6);
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("BUDGET")));
}

TEST_F(InvariantCheckerTest, DepartureOfWorker_IsNoCrash) {
  for (std::int64_t run = 1; run <= 8; ++run) {
    start(run);
    Checker.onLeave("w-1");
  }
  EXPECT_THAT(Checker.violations(), IsEmpty());
  Checker.onStateSeen(Job, "failed");
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("LOST")));
}

TEST_F(InvariantCheckerTest, FailedAfterOneCrash_IsLost) {
  crashUnderTask(1);
  Checker.onStateSeen(Job, "failed");
  EXPECT_THAT(Checker.violations(), ElementsAre(StartsWith("LOST")));
}

TEST_F(InvariantCheckerTest, FailedAfterTwoCrashes_IsCountedAsInnocent) {
  crashUnderTask(1);
  crashUnderTask(2, true);
  EXPECT_FALSE(Checker.allJobsSettled());
  Checker.onStateSeen(Job, "failed");
  EXPECT_THAT(Checker.violations(), IsEmpty());
  EXPECT_EQ(Checker.innocentJobsGivenUp(), 1U);
  EXPECT_TRUE(Checker.allJobsSettled());
}

TEST_F(InvariantCheckerTest, FailedJobWithCrashingTask_IsNotInnocent) {
  Checker.find(Job)->CrashingTask = model::TaskKey{Job, 0, 0, 0};
  crashUnderTask(1);
  crashUnderTask(2);
  Checker.onStateSeen(Job, "failed");
  EXPECT_THAT(Checker.violations(), IsEmpty());
  EXPECT_EQ(Checker.innocentJobsGivenUp(), 0U);
  EXPECT_EQ(Checker.crashesByTasks(), 2U);
}

} // namespace
} // namespace endivedoor::standin
