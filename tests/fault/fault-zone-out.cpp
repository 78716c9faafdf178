// P4 and P3: no task starts in a zone later than 3 s after the command line
// reported it out, and its work moves to other zones and resumes exactly once.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

class ZoneOut : public FaultTest {
protected:
  /// Takes the zone out between \p injectFault and \p clearFault, and checks
  /// the guarantees.
  void testZoneOut(const std::function<void()> &injectFault,
                   const std::function<void()> &clearFault) {
    startLoad(8s, {"--rate=80", "--jobs=0.12", LongJob});
    sleep(2s);
    injectFault();
    sleep(500ms);
    ASSERT_EQ(runOperatorCommand({"zone", "out", "north", "--author=karoo",
                                  "--reason=power work"}),
              0);
    Micros reported = nowMicros();
    // Longer than the placement lease, the owner's lease and the task lease.
    sleep(5500ms);
    clearFault();
    finishLoad();
    expectJobsFinished(12s);
    Records workers = TestCluster->records("workers");
    EXPECT_FALSE(findStarts(workers, "north", 0, reported).empty())
        << "nothing ran in the zone before it was taken out";
    expectNone(
        "P4", findStarts(workers, "north", reported + StartBound, nowMicros()));
    checkGuarantees();
  }

  /// P3 is exercised only if work was evicted and resumed.
  void expectResumes() const {
    int resumed = 0;
    for (const json::object &row : TestCluster->records("workers"))
      resumed += row.at("event").as_string() == "resume";
    EXPECT_GT(resumed, 0) << "P3";
  }

  static constexpr const char *LongJob =
      R"(--job={"payload":"{\"runMs\":4000}"})";
};

} // namespace

TEST_F(ZoneOut, PartitionedFromThePlatformStartsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(14000));
  testZoneOut([&] { TestCluster->setPlatformPartition("north", true); },
              [&] { TestCluster->setPlatformPartition("north", false); });
}

// Responses are lost, but every write takes effect.
TEST_F(ZoneOut, PartitionedOneWayFromThePlatformStartsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(14000));
  testZoneOut(
      [&] { TestCluster->setPlatformPartition("north", true, "backward"); },
      [&] { TestCluster->setPlatformPartition("north", false); });
}

// The former owner resumes with starts that it planned before the zone was
// taken out.
TEST_F(ZoneOut, OwnerFrozenLongerThanItsLeasesStartsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(14000));
  DaemonInstance *owner = TestCluster->owner("north");
  ASSERT_NE(owner, nullptr);
  testZoneOut([&] { owner->Child->signal(SIGSTOP); },
              [&] { owner->Child->signal(SIGCONT); });
  expectResumes();
}
