// Tests the worker adapter: the mapping of errors, which failed calls may have
// taken effect, and malformed responses.
#include "support/HttpFixture.h"

#include "endivedoor/platform/Adapters.h"

#include <rapidcheck/gtest.h>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace endivedoor::platform;

namespace {

constexpr const char *LeaseResponseBody =
    R"({"token":7,"leaseSeq":0,"boot":"b1","capacity":{"slots":8,)"
    R"("connections":64,"milliCores":32000,"memoryMb":128000,)"
    R"("accelerators":2}})";
constexpr const char *RenewResponseBody =
    R"({"leaseSeq":4,"boot":"b1","leaving":true,"tasks":[{"task":"t",)"
    R"("attempt":2,"state":"evicted","checkpoint":"c",)"
    R"("throttlePercent":30}],"usage":[{"task":"t","attempt":2,)"
    R"("milliCores":500,"memoryMb":64,"p95Ms":12,"ageMs":3000}]})";
constexpr const char *StatusResponseBody =
    R"({"boot":"b1","leaving":false,"zone":"z","rack":"r","tasks":1,)"
    R"("capacity":{"slots":8,"connections":64,"milliCores":1,"memoryMb":1},)"
    R"("services":[{"service":"orders","task":"t","attempt":1}]})";

class WorkerClientTest : public HttpFixture {
protected:
  model::Address Worker = listen();
  std::unique_ptr<WorkerClient> Workers = makeWorkerClient(Client, 2000ms);
  AttemptRef Attempt{base::TaskId("t"), base::Attempt{2}};
  base::FencingToken Token{7};

  Errc claim() {
    return codeOf(run(Workers->claim(Worker, "d1", base::Epoch{5}, 1500ms)));
  }
  Errc renew() { return codeOf(run(Workers->renew(Worker, renewal()))); }
  Errc start(model::Address to) { return codeOf(run(Workers->start(to, {}))); }
  Errc evict() { return codeOf(run(Workers->evict(Worker, Attempt, Token))); }
  RenewRequest renewal() { return {"d1", Token, 1500ms, 30000ms, {Attempt}}; }
  /// An oversized response is reported as lost, any other malformed one as
  /// invalid.
  template <typename T>
  static bool isExpectedResult(const base::Result<T> &result) {
    Errc code = codeOf(result);
    return code == Errc{0} || code == Errc::PlatformAnswerInvalid ||
           code == Errc::WorkerAnswerLost;
  }
  json::value lastRequestBody() { return json::parse(LastRequest.Body); }
};

TEST_F(WorkerClientTest, LeaseRoundTrip) {
  respondWith(200, LeaseResponseBody);
  auto lease =
      run(Workers->claim(Worker, "d1", base::Epoch{5}, 1500ms)).value();
  EXPECT_EQ(toNumber(lease.Token), 7u);
  EXPECT_EQ(lease.BootId, "b1");
  EXPECT_EQ(lease.Capacity.Accelerators, 2);
  EXPECT_EQ(lastRequestBody(),
            json::parse(R"({"holder":"d1","epoch":5,"ttlMs":1500})"));
  respondWith(200, RenewResponseBody);
  auto reply = run(Workers->renew(Worker, renewal())).value();
  EXPECT_EQ(reply.Sequence, 4u);
  EXPECT_TRUE(reply.Leaving);
  EXPECT_EQ(reply.Attempts.at(0).State, AttemptState::Evicted);
  EXPECT_EQ(reply.Attempts.at(0).ThrottlePercent, 30);
  EXPECT_EQ(reply.Usage.at(0).Age, 3000ms);
  EXPECT_EQ(lastRequestBody(),
            json::parse(R"({"holder":"d1","token":7,"ttlMs":1500,
      "taskTtlMs":30000,"ack":[{"task":"t","attempt":2}]})"));
}

TEST_F(WorkerClientTest, TaskCallsRoundTrip) {
  respondWith(201, "{}");
  StartRequest request{base::TaskId("t"),
                       base::Attempt{2},
                       Token,
                       3,
                       base::JobId("j"),
                       base::TaskClass("c"),
                       model::TaskKind::Service,
                       base::ServiceName("orders"),
                       {1, 2, base::MilliCores{3}, base::MebiBytes{4}, 5},
                       "r",
                       "p"};
  EXPECT_TRUE(run(Workers->start(Worker, request)));
  EXPECT_EQ(lastRequestBody(), json::parse(R"({"task":"t","attempt":2,"token":7,
      "leaseSeq":3,"job":"j","class":"c","kind":"service","service":"orders",
      "slots":1,"connections":2,"milliCores":3,"memoryMb":4,"accelerators":5,
      "resume":"r","payload":"p"})"));
  respondWith(200, R"({"checkpoint":"c1"})");
  EXPECT_EQ(run(Workers->evict(Worker, Attempt, Token)).value(), "c1");
  EXPECT_EQ(LastRequest.Path, "/v1/tasks/t/evict");
  EXPECT_TRUE(run(Workers->throttle(Worker, Attempt, Token, 30)));
  EXPECT_EQ(lastRequestBody(),
            json::parse(R"({"attempt":2,"token":7,"percent":30})"));
  EXPECT_TRUE(run(Workers->stop(Worker, Attempt, Token)));
  EXPECT_EQ(LastRequest.Path, "/v1/tasks/t/stop");
  respondWith(200, StatusResponseBody);
  auto status = run(Workers->status(Worker)).value();
  EXPECT_EQ(status.Services.at(0).Service.str(), "orders");
  EXPECT_EQ(status.TaskCount, 1);
}

// A task name supplied by a job must not change the request path (path
// traversal).
TEST_F(WorkerClientTest, TaskNameIsEscapedInThePath) {
  respondWith(200, R"({"checkpoint":""})");
  Attempt.Task = base::TaskId("a/../b ?x\r\ny");
  EXPECT_TRUE(run(Workers->stop(Worker, Attempt, Token)));
  EXPECT_EQ(LastRequest.Path, "/v1/tasks/a%2F..%2Fb%20%3Fx%0D%0Ay/stop");
}

TEST_F(WorkerClientTest, EachRejectionMapsToItsError) {
  auto respondWithError = [&](std::string why, unsigned status = 409) {
    respondWith(status, "{\"error\":\"" + why + "\"}");
  };
  respondWithError("held");
  EXPECT_EQ(claim(), Errc::LeaseHeld);
  for (const char *why : {"stale-token", "lapsed"}) {
    respondWithError(why);
    EXPECT_EQ(renew(), Errc::LeaseStale);
    EXPECT_EQ(start(Worker), Errc::LeaseStale);
  }
  for (const char *why :
       {"old-sequence", "full", "leaving", "duplicate", "start-failed"}) {
    respondWithError(why);
    EXPECT_EQ(run(Workers->start(Worker, {})).error(),
              (base::Error{Errc::StartRefused, why}));
  }
  respondWithError("ended");
  EXPECT_EQ(evict(), Errc::AttemptEnded);
  respondWithError("unknown-attempt", 404);
  EXPECT_EQ(evict(), Errc::AttemptUnknown);
  respondWithError("other");
  EXPECT_EQ(start(Worker), Errc::PlatformAnswerInvalid);
  respondWith(500, "<html>");
  EXPECT_EQ(start(Worker), Errc::PlatformAnswerInvalid);
}

// A start whose response is lost may have taken effect. Reporting the worker as
// unreachable would start a second attempt.
TEST_F(WorkerClientTest, UnsentIsDistinguishedFromLost) {
  EXPECT_EQ(start(closedAddress()), Errc::WorkerUnreachable);
  RawServer cut(Io, "");
  EXPECT_EQ(start(cut.address()), Errc::WorkerAnswerLost);
  RawServer early(Io, "HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\n{");
  EXPECT_EQ(start(early.address()), Errc::WorkerAnswerLost);
  RawServer silent(Io, "");
  silent.CloseAfterResponse = false;
  Workers = makeWorkerClient(Client, 50ms);
  EXPECT_EQ(start(silent.address()), Errc::WorkerAnswerLost);
}

/// Replaces a random field of \p value, at any depth, with an invalid or
/// extreme value, or removes it.
static void corruptRandomField(json::value &value) {
  json::value *at = &value;
  while (true) {
    if (at->is_array() && !at->get_array().empty()) {
      at = &at->get_array()[0];
      continue;
    }
    if (!at->is_object() || at->get_object().empty())
      break;
    json::object &object = at->get_object();
    std::size_t n = *rc::gen::inRange<std::size_t>(0, object.size());
    std::string key(std::next(object.begin(), static_cast<long>(n))->key());
    if (*rc::gen::inRange(0, 8) == 0) {
      object.erase(key);
      return;
    }
    at = &object[key];
    if (*rc::gen::inRange(0, 3) == 0)
      break;
  }
  std::string text = *rc::gen::element<std::string>(
      "null", "true", "-1", "0", "1e300", "18446744073709551615",
      "-9223372036854775808", "\"\"", "[1]", "[{}]", "{}",
      "\"" + std::string(100000, 'x') + "\"");
  *at = json::parse(text);
}

RC_GTEST_FIXTURE_PROP(WorkerClientTest, CorruptedResponsesAreInvalidOrInRange,
                      ()) {
  json::value lease = json::parse(LeaseResponseBody);
  corruptRandomField(lease);
  respondWith(200, json::serialize(lease));
  auto claimed = run(Workers->claim(Worker, "d1", base::Epoch{5}, 1500ms));
  RC_ASSERT(isExpectedResult(claimed));
  if (claimed)
    RC_ASSERT(claimed.value().Capacity.Slots >= 0);
  json::value renewed = json::parse(RenewResponseBody);
  corruptRandomField(renewed);
  respondWith(200, json::serialize(renewed));
  auto reply = run(Workers->renew(Worker, renewal()));
  RC_ASSERT(isExpectedResult(reply));
  if (reply)
    for (const AttemptReport &it : reply.value().Attempts)
      RC_ASSERT(!it.Task.empty() && toNumber(it.Attempt) > 0 &&
                it.ThrottlePercent >= 0 && it.ThrottlePercent <= 100);
  json::value status = json::parse(StatusResponseBody);
  corruptRandomField(status);
  respondWith(200, json::serialize(status));
  auto polled = run(Workers->status(Worker));
  RC_ASSERT(isExpectedResult(polled));
  if (polled)
    RC_ASSERT(!polled.value().BootId.empty());
}

} // namespace
