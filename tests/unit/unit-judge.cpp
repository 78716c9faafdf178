// Tests that the invariant checks of the test harness can fail: each check runs
// on records with exactly one violation, and on the same records without it.
#include "harness/RecordChecks.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

using namespace endivedoor::harness;
namespace json = boost::json;

namespace {

struct RecordsOfWorkers : testing::Test {
  Records Rows;
  std::int64_t Us = 0;

  void add(const std::string &text) {
    json::object row = json::parse(text).as_object();
    row["us"] = ++Us;
    Rows.push_back(std::move(row));
  }
  void start(const char *worker, const char *task, int attempt, int slots = 1) {
    add(R"({"event":"start","worker":")" + std::string(worker) +
        R"(","task":")" + task + R"(","attempt":)" + std::to_string(attempt) +
        R"(,"slots":)" + std::to_string(slots) + "}");
  }
  void end(const char *worker, const char *task, int attempt) {
    add(R"({"event":"end","reason":"finished","worker":")" +
        std::string(worker) + R"(","task":")" + task + R"(","attempt":)" +
        std::to_string(attempt) + "}");
  }
};

TEST_F(RecordsOfWorkers, StartBeyondCapacityIsAnOverload) {
  start("a-w-1", "t1", 1, 8);
  EXPECT_TRUE(findOverloads(Rows, {}).empty());
  start("a-w-1", "t2", 1, 1);
  EXPECT_EQ(findOverloads(Rows, {}).size(), 1u);
}

TEST_F(RecordsOfWorkers, OverlappingAttemptsAreReported) {
  start("a-w-1", "t1", 1);
  end("a-w-1", "t1", 1);
  start("a-w-2", "t1", 2);
  EXPECT_TRUE(findConcurrentAttempts(Rows).empty());
  start("a-w-1", "t1", 3);
  EXPECT_EQ(findConcurrentAttempts(Rows).size(), 1u);
}

TEST_F(RecordsOfWorkers, EvictionMustBeResumedExactlyOnce) {
  add(R"({"event":"evict","worker":"a-w-1","task":"t1","attempt":1,"checkpoint":"c1"})");
  EXPECT_EQ(findInvalidResumes(Rows, {}).size(), 1u);
  EXPECT_TRUE(findInvalidResumes(Rows, {"t1"}).empty());
  std::string resume =
      R"({"event":"resume","worker":"a-w-2","task":"t1","attempt":2,"checkpoint":"c1"})";
  add(resume);
  EXPECT_TRUE(findInvalidResumes(Rows, {}).empty());
  add(resume);
  EXPECT_EQ(findInvalidResumes(Rows, {}).size(), 1u);
}

TEST_F(RecordsOfWorkers, StartInZoneDuringIntervalIsFound) {
  start("a-w-1", "t1", 1);
  EXPECT_EQ(findStarts(Rows, "a", 0, 10).size(), 1u);
  EXPECT_TRUE(findStarts(Rows, "a", 2, 10).empty());
  EXPECT_TRUE(findStarts(Rows, "b", 0, 10).empty());
}

TEST_F(RecordsOfWorkers, DuplicateBookingAndFalseNotRunAreReported) {
  std::string request =
      R"({"event":"request","worker":"a-w-1","id":"r1","key":"k1"})";
  add(request);
  EXPECT_TRUE(findRepeatedBookings(Rows).empty());
  add(request);
  EXPECT_EQ(findRepeatedBookings(Rows).size(), 1u);
  Records caller = {
      json::parse(R"({"id":"r1","outcome":"not-run"})").as_object()};
  EXPECT_EQ(findRunsReportedNotRun(Rows, caller).size(), 1u);
  caller[0]["outcome"] = "unknown";
  EXPECT_TRUE(findRunsReportedNotRun(Rows, caller).empty());
}

} // namespace
