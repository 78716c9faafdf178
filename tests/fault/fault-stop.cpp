// P9: a planned stop interrupts no request.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {
class Stop : public FaultTest {};
} // namespace

// The callers behave like the documented load balancer: they send new requests
// only to entry hosts that report ready, and react to a change of that report
// within the drain delay.
TEST_F(Stop, OfEachEntryHostUnderLoadInterruptsNoRequest) {
  ASSERT_NO_FATAL_FAILURE(startCluster(18000, 2, 300));
  std::atomic<bool> done = false;
  std::atomic<int> sent = 0, unanswered = 0, refused = 0;
  std::mutex mutex;
  std::vector<std::string> faults;
  auto isReady = [](const DaemonInstance &it) {
    auto answer = call(it.Operators, {"GET", "/readyz", {}, ""}, 1s);
    return answer && answer.value().Status == 200;
  };
  std::vector<std::thread> callers;
  for (DaemonInstance &it : TestCluster->daemons())
    for (int n = 0; n < 6; ++n)
      callers.emplace_back([&, daemon = &it] {
        while (!done) {
          if (!isReady(*daemon)) {
            sleep(20ms);
            continue;
          }
          // At most 400 ms pass between a health check and the last request
          // after it, less than the drain delay of 500 ms.
          auto last = std::chrono::steady_clock::now() + 400ms;
          while (!done && std::chrono::steady_clock::now() < last) {
            auto answer =
                call(daemon->Callers, {"POST", "/s/orders/x", {}, "{}"}, 5s);
            ++sent;
            if (!answer || answer.value().Status != 200) {
              ++(answer ? refused : unanswered);
              std::lock_guard lock(mutex);
              faults.push_back(daemon->Name + ": " +
                               (answer ? std::to_string(answer.value().Status)
                                       : answer.error().message()));
            }
          }
        }
      });
  for (DaemonInstance &it : TestCluster->daemons()) {
    it.Child->signal(SIGTERM);
    EXPECT_EQ(it.Child->wait(10s), std::optional<int>(0)) << it.Name;
    TestCluster->startDaemon(it);
    EXPECT_TRUE(waitFor(8s, [&] { return isReady(it); })) << it.Name;
  }
  done = true;
  for (std::thread &it : callers)
    it.join();
  std::cout << "requests " << sent << ", without response " << unanswered
            << ", with a status other than 200 " << refused << "\n";
  EXPECT_GT(sent, 500);
  expectNone("P9", faults);
  checkGuarantees();
}
