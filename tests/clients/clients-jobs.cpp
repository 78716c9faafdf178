// Guards against callers that submit more work than the daemon can hold.

#include "ClientsFixture.h"

#include <gmock/gmock.h>

#include <map>
#include <mutex>

namespace endivedoor::clients {

constexpr int Submitters = 40, JobsEach = 5;
/// Largest number of equal steps and of tasks that a job may have.
constexpr int Steps = dispatch::limits::MaxSteps,
              TasksPerStep = dispatch::limits::MaxTasksPerJob / Steps;

class ClientsJobsTest : public ClientsTest {};

TEST_F(ClientsJobsTest, ManyLargestJobs_OrdinaryCallerIsAnswered) {
  ASSERT_NO_FATAL_FAILURE(start(25400));
  std::map<int, int> answers;
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (int i = 0; i < Submitters; ++i)
    threads.emplace_back([&] {
      for (int j = 0; j < JobsEach; ++j) {
        int status = ask(Callers, post(Steps, TasksPerStep));
        std::lock_guard lock(mutex);
        ++answers[status];
      }
    });
  for (std::thread &it : threads)
    it.join();
  for (auto [status, count] : answers)
    std::cout << count << " large jobs answered with " << status << "\n";
  settle();
  ASSERT_TRUE(Daemon->isRunning());
  std::cout << "VmHWM " << memoryKiB() / 1024 << " MiB\n";
  EXPECT_LT(memoryKiB(), MaxMemoryKiB);
  EXPECT_LT(descriptors(), MaxDescriptors);
  EXPECT_THAT(askAgain(Callers, post()), ::testing::AnyOf(200, 429, 503));
  EXPECT_EQ(askReadiness(), 200);
}

} // namespace endivedoor::clients
