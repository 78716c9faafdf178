// P10: a configuration is in force on every reachable daemon within 4 s, on a
// returning one within 4 s of its return, and never reverts.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

class Config : public FaultTest {
protected:
  static constexpr Micros InForceBound = 4'000'000;

  void SetUp() override {
    ASSERT_NO_FATAL_FAILURE(startCluster(19000));
    for (DaemonInstance &it : TestCluster->daemons())
      Pollers.emplace_back([this, daemon = &it] {
        while (!Done) {
          poll(*daemon);
          sleep(30ms);
        }
      });
  }

  void TearDown() override {
    Done = true;
    for (std::thread &it : Pollers)
      it.join();
    for (const auto &[name, versions] : Seen)
      std::cout << name << ": " << versions.size() << " versions seen\n";
  }

  void poll(const DaemonInstance &daemon) {
    json::value answer = callJson(daemon.Operators, "/v1/rules");
    if (!answer.is_object())
      return;
    auto n = answer.at("version").to_number<std::int64_t>();
    std::lock_guard lock(Mutex);
    auto &versions = Seen[daemon.Name];
    if (!versions.empty() && n < versions.rbegin()->first)
      Reverted.push_back(daemon.Name + " from " +
                         std::to_string(versions.rbegin()->first) + " to " +
                         std::to_string(n));
    versions.emplace(n, nowMicros());
  }

  /// Replaces the rules, based on the current version of \p to; returns the
  /// accepted version, or 0.
  std::int64_t put(const DaemonInstance &to, const std::string &author) {
    json::value now = callJson(to.Operators, "/v1/rules");
    if (!now.is_object())
      return 0;
    endivedoor::platform::HttpRequest request{"PUT", "/v1/rules", {}, ""};
    request.Body = json::serialize(
        json::object{{"text", "reserve 5% zone east # karoo: " + author + "\n"},
                     {"baseVersion", now.at("version")},
                     {"author", author}});
    auto answer = call(to.Operators, request, 5s);
    if (!answer || answer.value().Status != 200)
      return 0;
    return json::parse(answer.value().Body).at("version").to_number<int>();
  }

  /// Returns when \p daemon first had \p version or a later one in force, or 0
  /// if never.
  Micros inForce(const std::string &daemon, std::int64_t version) {
    std::lock_guard lock(Mutex);
    auto &versions = Seen[daemon];
    auto it = versions.lower_bound(version);
    return it == versions.end() ? 0 : it->second;
  }

  void expectInForce(const std::string &daemon, std::int64_t version,
                     Micros since) {
    Micros at = inForce(daemon, version);
    EXPECT_NE(at, 0) << daemon << " never applied version " << version;
    EXPECT_LE(at - since, InForceBound) << daemon << " version " << version;
    Slowest = std::max(Slowest, at - since);
  }

  std::mutex Mutex;
  std::atomic<bool> Done = false;
  std::vector<std::thread> Pollers;
  std::map<std::string, std::map<std::int64_t, Micros>> Seen;
  std::vector<std::string> Reverted;
  Micros Slowest = 0;
};

} // namespace

TEST_F(Config, ChangedByTwoOperatorsIsInForceEverywhereAndNeverReverts) {
  std::map<std::int64_t, Micros> accepted;
  std::vector<std::string> acceptedTwice;
  auto operate = [&](const char *zone, const char *author) {
    for (int i = 0; i < 40; ++i) {
      std::int64_t version = put(*TestCluster->daemonsOf(zone)[0], author);
      std::unique_lock lock(Mutex);
      if (version > 0 && !accepted.emplace(version, nowMicros()).second)
        acceptedTwice.push_back(std::to_string(version));
      lock.unlock();
      sleep(100ms);
    }
  };
  std::thread other([&] { operate("west", "siam"); });
  operate("east", "karoo");
  other.join();
  sleep(4500ms);
  expectNone("P10, one version accepted twice", acceptedTwice);
  for (const auto &[version, at] : accepted)
    for (const DaemonInstance &it : TestCluster->daemons())
      expectInForce(it.Name, version, at);
  expectNone("P10", Reverted);
  std::cout << accepted.size() << " versions, the slowest in force after "
            << Slowest / 1000 << " ms\n";
  EXPECT_GT(accepted.size(), 10u);
}

// A returning daemon has an old version, which must neither remain in force
// there nor propagate.
TEST_F(Config, ReturningDaemonsTakeTheVersionInForceWithinTheBound) {
  DaemonInstance &frozen = *TestCluster->daemonsOf("west")[1];
  for (int i = 0; i < 2; ++i) {
    TestCluster->setPlatformPartition("north", true);
    for (const char *it : {"east", "west"}) {
      TestCluster->setZonePartition("north", it, true);
      TestCluster->setZonePartition(it, "north", true);
    }
    frozen.Child->signal(SIGSTOP);
    sleep(randomDelay(500, 1500));
    std::int64_t version = put(*TestCluster->daemonsOf("east")[0], "karoo");
    Micros accepted = nowMicros();
    ASSERT_GT(version, 0);
    sleep(randomDelay(4000, 4500));
    for (const char *it : {"east-1", "east-2", "west-1"})
      expectInForce(it, version, accepted);
    for (const char *it : {"north-1", "north-2", "west-2"})
      EXPECT_EQ(inForce(it, version), 0) << it << " was not partitioned";
    TestCluster->setPlatformPartition("north", false);
    for (const char *it : {"east", "west"}) {
      TestCluster->setZonePartition("north", it, false);
      TestCluster->setZonePartition(it, "north", false);
    }
    frozen.Child->signal(SIGCONT);
    Micros back = nowMicros();
    sleep(4500ms);
    for (const char *it : {"north-1", "north-2", "west-2"})
      expectInForce(it, version, back);
  }
  expectNone("P10", Reverted);
  std::cout << "the slowest in force after " << Slowest / 1000 << " ms\n";
}
