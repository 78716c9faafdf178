// Section 6, "store down or slow" and "answer of the store lost": requests
// continue, nothing is lost or run twice, and a recovering store is not
// overloaded by retries.
#include "FaultFixture.h"

using namespace endivedoor::fault;

namespace {

class Store : public FaultTest {
protected:
  using Counts = std::map<std::string, std::int64_t>;
  using Seconds = std::map<std::int64_t, Counts>;

  static std::int64_t currentSecond() { return nowMicros() / 1'000'000; }

  /// Returns the calls of each kind in the seconds [from, to).
  Counts calls(std::int64_t from, std::int64_t to) {
    Counts sum;
    json::value all = callJson(TestCluster->store(), "/admin/counters");
    for (const json::value &it : all.at("seconds").as_array())
      if (std::int64_t s = it.at("second").to_number<std::int64_t>();
          s >= from && s < to)
        for (const auto &kind : it.at("calls").as_object()) {
          auto n = kind.value().to_number<std::int64_t>();
          sum[std::string(kind.key())] += n;
          sum["all"] += n;
        }
    return sum;
  }

  static void print(const char *when, const Counts &counts,
                    std::int64_t seconds) {
    std::cout << "store calls per second " << when << ":";
    for (const auto &[kind, n] : counts)
      std::cout << " " << kind << "="
                << static_cast<double>(n) / static_cast<double>(seconds);
    std::cout << "\n";
  }

  /// Returns the fraction of plain requests that were answered.
  double answeredShare() const {
    double all = 0, answered = 0;
    for (const json::object &row : TestCluster->records("caller"))
      if (row.at("kind").as_string() == "request") {
        ++all;
        answered += row.at("outcome").as_string() == "answered";
      }
    std::cout << "requests answered: " << answered << " of " << all << "\n";
    return all > 0 ? answered / all : 0;
  }

  int starts(Micros from, Micros to) const {
    int n = 0;
    for (const char *it : Zones)
      n += static_cast<int>(
          findStarts(TestCluster->records("workers"), it, from, to).size());
    return n;
  }

  void testOutage(const char *mode) {
    startLoad(26s);
    sleep(1500ms);
    std::int64_t normalFrom = currentSecond();
    sleep(5s);
    std::int64_t normalTo = currentSecond();
    setOutage(mode, true);
    // Longer than the owner's lease, so that every shard changes its owner.
    sleep(6s);
    setOutage(mode, false);
    Micros back = nowMicros();
    std::int64_t backAt = currentSecond();
    sleep(11s);
    finishLoad();
    Counts normal = calls(normalFrom, normalTo);
    Counts after = calls(backAt, backAt + 10);
    print("in normal operation", normal, normalTo - normalFrom);
    print("in the 10 s after the outage", after, 10);
    EXPECT_LE(static_cast<double>(after["all"]) / 10,
              2.0 * static_cast<double>(normal["all"]) /
                  static_cast<double>(normalTo - normalFrom))
        << "too many calls to the recovering store";
    EXPECT_EQ(answeredShare(), 1.0) << "requests must not depend on the store";
    EXPECT_GT(starts(back, nowMicros()), 0) << "starts did not resume";
    expectJobsFinished(10s);
    checkGuarantees();
  }

  void setOutage(const char *mode, bool on) {
    TestCluster->storeAdmin("/admin/outage", json::serialize(json::object{
                                                 {"on", on}, {"mode", mode}}));
  }
};

} // namespace

TEST_F(Store, RecoveringIsNotOverloaded) {
  ASSERT_NO_FATAL_FAILURE(startCluster(17000));
  testOutage("close");
}

TEST_F(Store, SlowOrLosingResponsesLosesAndRepeatsNothing) {
  ASSERT_NO_FATAL_FAILURE(startCluster(17000));
  startLoad(14s);
  // A store call times out after 500 ms.
  for (int ms : {100, 450, 0}) {
    TestCluster->storeAdmin("/admin/delay",
                            json::serialize(json::object{{"ms", ms}}));
    sleep(1s);
  }
  std::vector<std::string> prefixes = {"/endivedoor/bookings/",
                                       "/endivedoor/config/"};
  for (const char *zone : Zones)
    for (const char *part : {"shards/0/segments/", "shards/0/owner", "inbox/"})
      prefixes.push_back(std::string("/endivedoor/zones/") + zone + "/" + part);
  for (const std::string &it : prefixes) {
    json::object drop{{"answers", 4}, {"prefix", it}};
    TestCluster->storeAdmin("/admin/drop", json::serialize(drop));
    if (it.find("config") != std::string::npos)
      runOperatorCommand(
          {"zone", "out", "north", "--author=a", "--reason=test"});
    sleep(randomDelay(400, 900));
  }
  TestCluster->storeAdmin("/admin/drop", R"({"answers":0,"prefix":""})");
  EXPECT_EQ(runOperatorCommand(
                {"zone", "in", "north", "--author=a", "--reason=test"}),
            0);
  finishLoad();
  expectJobsFinished(12s);
  EXPECT_EQ(answeredShare(), 1.0) << "requests must not depend on the store";
  checkGuarantees();
}
