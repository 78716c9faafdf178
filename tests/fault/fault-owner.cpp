// P1, P2 and no lost job: shard owners are killed or frozen at seeded random
// times under load, and every entry host is killed and restarted once.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

class Owner : public FaultTest {
protected:
  void finish() {
    finishLoad();
    expectJobsFinished(12s);
    checkGuarantees();
  }
  DaemonInstance *randomOwner() {
    return TestCluster->owner(
        Zones[std::uniform_int_distribution(0, 2)(Random)]);
  }
  static constexpr const char *Jobs = R"(--job={"payload":"{\"runMs\":1500}"})";
};

} // namespace

// A task whose start was in flight when the owner died must not start twice.
TEST_F(Owner, KilledAtRandomTimesLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(15000));
  startLoad(14s, {"--rate=80", "--jobs=0.3", Jobs});
  for (int i = 0; i < 4; ++i) {
    sleep(randomDelay(500, 3000));
    DaemonInstance *owner = randomOwner();
    if (!owner)
      continue;
    owner->Child->signal(SIGKILL);
    sleep(randomDelay(0, 1000));
    TestCluster->startDaemon(*owner);
  }
  finish();
}

// The frozen owner resumes in the middle of a commit or a start.
TEST_F(Owner, FrozenAtRandomTimesLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(15000));
  startLoad(14s, {"--rate=80", "--jobs=0.3", Jobs});
  for (int i = 0; i < 3; ++i) {
    sleep(randomDelay(200, 1000));
    DaemonInstance *owner = randomOwner();
    if (!owner)
      continue;
    owner->Child->signal(SIGSTOP);
    // Ranges from less than the placement lease to more than the owner's lease.
    sleep(randomDelay(1000, 4500));
    owner->Child->signal(SIGCONT);
  }
  finish();
}

TEST_F(Owner, EveryEntryHostReplacedLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(15000));
  startLoad(8s, {"--rate=80", "--jobs=0.3", Jobs});
  for (DaemonInstance &it : TestCluster->daemons()) {
    sleep(1s);
    it.Child->signal(SIGKILL);
    TestCluster->startDaemon(it);
  }
  finish();
}
