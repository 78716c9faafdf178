// P1, P2 and no lost job: shard owners are killed or frozen at seeded moments
// under load, and every entry host is replaced once.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

class Owner : public FaultTest {
protected:
  void finish() {
    finishLoad();
    expectJobsFinished(12s);
    judge();
  }
  DaemonPlace *randomOwner() {
    return Site->owner(Zones[std::uniform_int_distribution(0, 2)(Random)]);
  }
  static constexpr const char *Jobs = R"(--job={"payload":"{\"runMs\":1500}"})";
};

} // namespace

// A task whose start was in flight when the owner died must not start twice.
TEST_F(Owner, KilledAtSeededMomentsLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(open(15000));
  startLoad(14s, {"--rate=80", "--jobs=0.3", Jobs});
  for (int i = 0; i < 4; ++i) {
    sleep(moment(500, 3000));
    DaemonPlace *owner = randomOwner();
    if (!owner)
      continue;
    owner->Child->signal(SIGKILL);
    sleep(moment(0, 1000));
    Site->startDaemon(*owner);
  }
  finish();
}

// The frozen owner wakes in the middle of a commit or of a start.
TEST_F(Owner, FrozenAtSeededMomentsLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(open(15000));
  startLoad(14s, {"--rate=80", "--jobs=0.3", Jobs});
  for (int i = 0; i < 3; ++i) {
    sleep(moment(200, 1000));
    DaemonPlace *owner = randomOwner();
    if (!owner)
      continue;
    owner->Child->signal(SIGSTOP);
    // From less than the placement lease to more than the owner's lease.
    sleep(moment(1000, 4500));
    owner->Child->signal(SIGCONT);
  }
  finish();
}

TEST_F(Owner, EveryEntryHostReplacedLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(open(15000));
  startLoad(8s, {"--rate=80", "--jobs=0.3", Jobs});
  for (DaemonPlace &it : Site->daemons()) {
    sleep(1s);
    it.Child->signal(SIGKILL);
    Site->startDaemon(it);
  }
  finish();
}
