// Tests the host list adapter: an invalid list must not add or remove workers.
#include "support/HttpFixture.h"

#include "endivedoor/platform/Adapters.h"

#include <rapidcheck/gtest.h>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace endivedoor::platform;

namespace {

class HostListTest : public HttpFixture {
protected:
  std::unique_ptr<HostList> List = makeHostList(Client, listen(), 2000ms);

  static std::string host(const std::string &name, const std::string &address,
                          const std::string &state) {
    return R"({"name":")" + name + R"(","zone":"z","rack":"r","address":")" +
           address + R"(","state":")" + state + R"("})";
  }
  static std::string list(const std::string &hosts) {
    return "{\"hosts\":[" + hosts + "]}";
  }
};

TEST_F(HostListTest, RoundTrip) {
  respondWith(200, list(host("g-1", "127.0.0.1:80", "live") + "," +
                        host("g-2", "[::1]:81", "leaving")));
  auto workers = run(List->fetch()).value();
  ASSERT_EQ(workers.size(), 2u);
  EXPECT_EQ(workers[0].Id.str(), "g-1");
  EXPECT_EQ(workers[0].Endpoint.str(), "127.0.0.1:80");
  EXPECT_FALSE(workers[0].Leaving);
  EXPECT_EQ(workers[1].Endpoint.Ip, "::1");
  EXPECT_TRUE(workers[1].Leaving);
  EXPECT_EQ(LastRequest.Path, "/v1/hosts");
}

TEST_F(HostListTest, FailuresAreUnavailable) {
  respondWith(500, "");
  EXPECT_EQ(codeOf(run(List->fetch())), Errc::HostListUnavailable);
  auto closed = makeHostList(Client, closedAddress(), 2000ms);
  EXPECT_EQ(codeOf(run(closed->fetch())), Errc::HostListUnavailable);
  RawServer cut(Io, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{");
  auto early = makeHostList(Client, cut.address(), 2000ms);
  EXPECT_EQ(codeOf(run(early->fetch())), Errc::HostListUnavailable);
}

TEST_F(HostListTest, InvalidHostRejectsTheWholeList) {
  std::string good = host("g-1", "127.0.0.1:80", "live");
  std::vector<std::string> bad = {
      "{}",
      "[]",
      "{\"hosts\":1}",
      list("1"),
      list(good + "," + good),
      list(host("", "127.0.0.1:80", "live")),
      list(host("g", "example.org:80", "live")),
      list(host("g", "127.0.0.1", "live")),
      list(host("g", "127.0.0.1:0", "live")),
      list(host("g", "127.0.0.1:65536", "live")),
      list(host("g", "127.0.0.1:80", "dead")),
      list(host(std::string(300, 'x'), "127.0.0.1:80", "live"))};
  for (const std::string &body : bad) {
    respondWith(200, body);
    EXPECT_EQ(codeOf(run(List->fetch())), Errc::PlatformAnswerInvalid) << body;
  }
}

RC_GTEST_FIXTURE_PROP(HostListTest, CorruptedResponsesNeverCrash, ()) {
  std::string text = list(host("g-1", "127.0.0.1:80", "live"));
  for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
  respondWith(200, text);
  auto result = run(List->fetch());
  if (!result)
    RC_ASSERT(result.error().Code == Errc::PlatformAnswerInvalid);
  else
    for (const model::Worker &it : result.value())
      RC_ASSERT(!it.Id.empty() && it.Endpoint.Port > 0);
}

} // namespace
