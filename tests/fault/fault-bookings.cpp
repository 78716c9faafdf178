// P7 and P6: a booking that must not be repeated runs at most once, and what
// was reported as not run did not run.
#include "FaultFixture.h"

using namespace endivedoor::fault;
using endivedoor::platform::HttpRequest;

namespace {

class Bookings : public FaultTest {
protected:
  /// Sends the same key to all entry hosts concurrently, like a caller that
  /// retries a booking whose response is late. Records the responses in the
  /// format of the caller stand-in.
  void sendConcurrently(int rounds, const char *round) {
    for (int i = 0; i < rounds; ++i) {
      std::string key = std::string(round) + "-" + std::to_string(i);
      std::vector<std::thread> callers;
      int n = 0;
      for (const DaemonInstance &it : TestCluster->daemons())
        callers.emplace_back(&Bookings::book, this, it.Callers, key,
                             key + "-" + std::to_string(n++));
      for (std::thread &it : callers)
        it.join();
    }
  }

  void book(endivedoor::model::Address to, std::string key, std::string id) {
    HttpRequest request{"POST", "/s/orders/book", {}, "{}"};
    request.Headers = {{"Idempotency-Key", key}, {"X-Request-Id", id}};
    auto answer = call(to, request, 5s);
    std::string outcome = "lost", body;
    if (answer) {
      outcome = endivedoor::platform::findHeader(answer.value().Headers,
                                                 "Endivedoor-Outcome");
      body = answer.value().Status == 200 ? answer.value().Body : "";
    }
    std::lock_guard lock(Mutex);
    Answers.push_back({{"id", id}, {"outcome", outcome}});
    ++Outcomes[outcome];
    if (!body.empty())
      Bodies[key].insert(body);
  }

  void checkAnswers(int answered) {
    Records workers = TestCluster->records("workers");
    expectNone("P7", findRepeatedBookings(workers));
    expectNone("P6", findRunsReportedNotRun(workers, Answers));
    for (const auto &[key, bodies] : Bodies)
      EXPECT_EQ(bodies.size(), 1u) << "P7: different responses for " << key;
    for (const auto &[name, n] : Outcomes)
      std::cout << "outcome " << name << "=" << n << "\n";
    EXPECT_GE(Bodies.size(), static_cast<std::size_t>(answered))
        << "too few bookings ran for a meaningful result";
  }

  std::mutex Mutex;
  Records Answers;
  std::map<std::string, int> Outcomes;
  std::map<std::string, std::set<std::string>> Bodies;
};

} // namespace

TEST_F(Bookings, SentToAllEntryHostsRunOnce) {
  ASSERT_NO_FATAL_FAILURE(startCluster(16000));
  sendConcurrently(60, "race");
  checkAnswers(60);
}

TEST_F(Bookings, SentWhileStoreResponsesAreLostRunOnce) {
  ASSERT_NO_FATAL_FAILURE(startCluster(16000));
  for (int i = 0; i < 20; ++i) {
    TestCluster->storeAdmin(
        "/admin/drop", R"({"answers":2,"prefix":"/endivedoor/bookings/"})");
    sendConcurrently(1, ("drop" + std::to_string(i)).c_str());
  }
  checkAnswers(10);
}

// Another entry host must not run a booking that a dead entry host has claimed.
TEST_F(Bookings, SentWhileClaimOwnersDieRunOnce) {
  ASSERT_NO_FATAL_FAILURE(startCluster(16000));
  std::atomic<bool> done = false;
  std::thread killer([&] {
    for (std::size_t i = 0; !done; ++i) {
      DaemonInstance &it =
          TestCluster->daemons()[i % TestCluster->daemons().size()];
      it.Child->signal(SIGKILL);
      TestCluster->startDaemon(it);
      sleep(randomDelay(50, 400));
    }
  });
  auto end = std::chrono::steady_clock::now() + 8s;
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
    sendConcurrently(1, ("kill" + std::to_string(i)).c_str());
  done = true;
  killer.join();
  checkAnswers(10);
}
