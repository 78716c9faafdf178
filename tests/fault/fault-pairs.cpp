// Checks all guarantees under overlapping pairs of faults at seeded random
// times.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

struct Fault {
  const char *Name;
  std::function<void()> Begin, End;
};

class Pairs : public FaultTest {
protected:
  /// Returns a random fault with a random target.
  Fault chooseFault() {
    auto pick = [&](int n) {
      return std::uniform_int_distribution(0, n - 1)(Random);
    };
    std::string zone = Zones[pick(3)], other = Zones[pick(3)];
    std::size_t host = static_cast<std::size_t>(pick(6));
    const char *direction = std::vector{"both", "forward", "backward"}[pick(3)];
    DaemonInstance *daemon = &TestCluster->daemons()[host];
    int worker = pick(3);
    auto store = [this](const char *path, const char *body) {
      return [=, this] { TestCluster->storeAdmin(path, body); };
    };
    std::vector<Fault> all = {
        {"entry host killed", [=] { daemon->Child->signal(SIGKILL); },
         [=, this] { TestCluster->startDaemon(*daemon); }},
        {"entry host frozen", [=] { daemon->Child->signal(SIGSTOP); },
         [=] { daemon->Child->signal(SIGCONT); }},
        {"zone cut from the platform",
         [=, this] {
           TestCluster->setPlatformPartition(zone, true, direction);
         },
         [=, this] { TestCluster->setPlatformPartition(zone, false); }},
        {"zone cut from a zone",
         [=, this] {
           TestCluster->setZonePartition(zone, other, true, direction);
         },
         [=, this] { TestCluster->setZonePartition(zone, other, false); }},
        {"store down", store("/admin/outage", R"({"on":true,"mode":"hang"})"),
         store("/admin/outage", R"({"on":false})")},
        {"store slow", store("/admin/delay", R"({"ms":400})"),
         store("/admin/delay", R"({"ms":0})")},
        {"store answers lost",
         store("/admin/drop", R"({"answers":20,"prefix":"/endivedoor/"})"),
         store("/admin/drop", R"({"answers":0})")},
        {"worker dies",
         [=, this] {
           callJson(TestCluster->workerAddress(zone, worker), "/admin/die",
                    R"({"restartMs":1000})");
         },
         [] {}},
        {"zone out",
         [=, this] {
           runOperatorCommand(
               {"zone", "out", zone, "--author=a", "--reason=test"});
         },
         [=, this] {
           runOperatorCommand(
               {"zone", "in", zone, "--author=a", "--reason=test"});
         }},
    };
    Fault fault = all[static_cast<std::size_t>(pick(int(all.size())))];
    std::cout << "fault: " << fault.Name << " (" << zone << ", " << other
              << ", " << daemon->Name << ", " << direction << ")" << std::endl;
    return fault;
  }
};

} // namespace

TEST_F(Pairs, AtRandomTimesKeepAllGuarantees) {
  ASSERT_NO_FATAL_FAILURE(startCluster(12000));
  startLoad(30s, {"--rate=80", "--jobs=0.2", "--cancels=0"});
  auto end = std::chrono::steady_clock::now() + 26s;
  while (std::chrono::steady_clock::now() < end) {
    Fault first = chooseFault(), second = chooseFault();
    first.Begin();
    sleep(randomDelay(0, 800));
    second.Begin();
    sleep(randomDelay(500, 4000));
    first.End();
    sleep(randomDelay(0, 500));
    second.End();
    sleep(randomDelay(300, 1000));
  }
  for (const char *it : Zones)
    runOperatorCommand({"zone", "in", it, "--author=a", "--reason=test"});
  finishLoad();
  expectJobsFinished(12s);
  checkGuarantees();
}
