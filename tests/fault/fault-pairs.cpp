// All promises together: pairs of faults at seeded moments.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

struct Fault {
  const char *Name;
  std::function<void()> Begin, End;
};

class Pairs : public FaultTest {
protected:
  /// Returns one of the faults, at a random place.
  Fault choose() {
    auto pick = [&](int n) {
      return std::uniform_int_distribution(0, n - 1)(Random);
    };
    std::string zone = Zones[pick(3)], other = Zones[pick(3)];
    std::size_t host = static_cast<std::size_t>(pick(6));
    const char *side = std::vector{"both", "forward", "backward"}[pick(3)];
    DaemonPlace *place = &Site->daemons()[host];
    int worker = pick(3);
    auto store = [this](const char *path, const char *body) {
      return [=, this] { Site->storeAdmin(path, body); };
    };
    std::vector<Fault> all = {
        {"entry host killed", [=] { place->Child->signal(SIGKILL); },
         [=, this] { Site->startDaemon(*place); }},
        {"entry host frozen", [=] { place->Child->signal(SIGSTOP); },
         [=] { place->Child->signal(SIGCONT); }},
        {"zone cut from the platform",
         [=, this] { Site->cutPlatform(zone, true, side); },
         [=, this] { Site->cutPlatform(zone, false); }},
        {"zone cut from a zone",
         [=, this] { Site->cutZones(zone, other, true, side); },
         [=, this] { Site->cutZones(zone, other, false); }},
        {"store down", store("/admin/outage", R"({"on":true,"mode":"hang"})"),
         store("/admin/outage", R"({"on":false})")},
        {"store slow", store("/admin/delay", R"({"ms":400})"),
         store("/admin/delay", R"({"ms":0})")},
        {"store answers lost",
         store("/admin/drop", R"({"answers":20,"prefix":"/endivedoor/"})"),
         store("/admin/drop", R"({"answers":0})")},
        {"worker dies",
         [=, this] {
           callJson(Site->workerAddress(zone, worker), "/admin/die",
                    R"({"restartMs":1000})");
         },
         [] {}},
        {"zone out",
         [=, this] {
           operate({"zone", "out", zone, "--author=a", "--reason=test"});
         },
         [=, this] {
           operate({"zone", "in", zone, "--author=a", "--reason=test"});
         }},
    };
    Fault fault = all[static_cast<std::size_t>(pick(int(all.size())))];
    std::cout << "fault: " << fault.Name << " (" << zone << ", " << other
              << ", " << place->Name << ", " << side << ")" << std::endl;
    return fault;
  }
};

} // namespace

TEST_F(Pairs, AtSeededMomentsKeepAllPromises) {
  ASSERT_NO_FATAL_FAILURE(open(12000));
  startLoad(30s, {"--rate=80", "--jobs=0.2", "--cancels=0"});
  auto end = std::chrono::steady_clock::now() + 26s;
  while (std::chrono::steady_clock::now() < end) {
    Fault first = choose(), second = choose();
    first.Begin();
    sleep(moment(0, 800));
    second.Begin();
    sleep(moment(500, 4000));
    first.End();
    sleep(moment(0, 500));
    second.End();
    sleep(moment(300, 1000));
  }
  for (const char *it : Zones)
    operate({"zone", "in", it, "--author=a", "--reason=test"});
  finishLoad();
  expectJobsFinished(12s);
  judge();
}
