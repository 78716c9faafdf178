// Tests the operator API and the job endpoints over loopback, including
// malformed bodies.
#include "support/ServerFakes.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivedoor::tests {
namespace {

namespace json = boost::json;

struct OperatorHost {
  asio::io_context Io;
  FaultyStore Store;
  EntryHost Host{Io, Store, "e1"};
  std::string NotReady;
  std::unique_ptr<server::OperatorServer> Operators;

  OperatorHost() {
    Host.Config.Operators = {"127.0.0.1", 0};
    server::OperatorContext context{
        Host.Config,
        Host.Control,
        Host.Jobs,
        Host.Totals,
        Host.Events,
        [this] { return NotReady; },
        [] {
          return json::value{{{"name", "e1"}}};
        },
        [](base::ContractName c) -> platform::Async<json::value> {
          co_return json::value(json::array{c.str()});
        }};
    Operators = std::make_unique<server::OperatorServer>(Io.get_executor(),
                                                         std::move(context));
    Operators->start().value();
  }
  HttpResponse sendRequest(std::string method, std::string path,
                           std::string body = {},
                           platform::HttpHeaders headers = {}) {
    HttpRequest request{method, path, std::move(headers), std::move(body)};
    return await(Io,
                 Host.Client.send({"127.0.0.1", Operators->port()},
                                  std::move(request), std::chrono::seconds(5)))
        .value();
  }
  json::value get(std::string path) {
    HttpResponse r = sendRequest("GET", path);
    EXPECT_EQ(r.Status, 200u) << path;
    return json::parse(r.Body);
  }
};

struct OperatorApi : testing::Test, OperatorHost {};

const std::string GoodJob =
    R"({"name":"plan","team":"t","contract":"karoo","class":"c","kind":"batch",
        "tasks":2,"slots":1,"deadlineMs":60000,"urgent":true})";

// Guards against missing endpoints and changed response schemas.
TEST_F(OperatorApi, StateIsReadable) {
  EXPECT_EQ(get("/v1/zones").at("zones").at(0).at("epoch"), 7);
  EXPECT_EQ(get("/v1/workers").at("workers").as_array().size(), 1u);
  EXPECT_EQ(get("/v1/rules").at("version"), 0);
  EXPECT_EQ(get("/v1/members").at("members").at(0).at("name"), "e1");
  json::value job = get("/v1/jobs").at("jobs").at(0);
  EXPECT_EQ(job.at("job"), "j-1");
  EXPECT_EQ(job.at("state"), "queued");
  EXPECT_EQ(job.at("tasks"), 1);
  EXPECT_EQ(job.at("attempts").at(0).at("state"), "queued");
  EXPECT_EQ(get("/v1/report/karoo").at("rows").at(0), "karoo");
  Host.Events.emit(base::EventCode::DaemonStarted, {{"k", "v"}});
  json::value events = get("/v1/events");
  EXPECT_EQ(events.at("events").at(0).at("code"), 8001);
  EXPECT_EQ(events.at("events").at(0).at("fields").at("k"), "v");
  EXPECT_EQ(sendRequest("GET", "/healthz").Status, 200u);
  EXPECT_EQ(sendRequest("GET", "/readyz").Status, 200u);
  NotReady = "stopping";
  EXPECT_EQ(sendRequest("GET", "/readyz").Status, 503u);
  EXPECT_NE(
      sendRequest("GET", "/metrics").Body.find("endivedoor_retries_total 0"),
      std::string::npos);
  EXPECT_EQ(sendRequest("GET", "/v1/nothing").Status, 404u);
  EXPECT_EQ(sendRequest("POST", "/v1/workers").Status, 405u);
}

// Guards against reporting a version conflict as a success.
TEST_F(OperatorApi, ChangesReportConflictsAndErrors) {
  const std::string rules = R"({"text":"x","baseVersion":0,"author":"ana"})";
  EXPECT_EQ(
      json::parse(sendRequest("PUT", "/v1/rules", rules).Body).at("version"),
      1);
  HttpResponse lost = sendRequest("PUT", "/v1/rules", rules);
  EXPECT_EQ(lost.Status, 409u);
  EXPECT_EQ(json::parse(lost.Body).at("current").at("author"), "ana");
  EXPECT_EQ(json::parse(lost.Body).at("error").at("number"), 615);
  const std::string changeBody = R"({"author":"ana","reason":"power work"})";
  json::value out =
      json::parse(sendRequest("POST", "/v1/zones/z1/out", changeBody).Body);
  EXPECT_EQ(out.at("zonesOut").at(0), "z1");
  EXPECT_EQ(sendRequest("POST", "/v1/zones/z9/out", changeBody).Status, 404u);
  EXPECT_EQ(sendRequest("POST", "/v1/zones/z1/up", changeBody).Status, 404u);
  Host.Control.InjectedError = base::Error{Errc::RulesRejected, "line 1"};
  EXPECT_EQ(sendRequest("PUT", "/v1/rules", rules).Status, 422u);
}

// Guards against an admitted job that is not confirmed, and against forwarding
// loops.
TEST_F(OperatorApi, JobsAreAdmittedAndForwardedOnce) {
  HttpResponse r = Host.send({"POST", "/v1/jobs", {}, GoodJob});
  EXPECT_EQ(r.Status, 201u);
  EXPECT_EQ(json::parse(r.Body).at("job"), "j-1");
  EXPECT_EQ(outcomeOf(r), "answered");
  const model::JobSpec &job = Host.Control.Admitted.at(0);
  EXPECT_EQ(job.Tasks, 2);
  EXPECT_TRUE(job.Urgent);
  EXPECT_NEAR(static_cast<double>((*job.Deadline - Host.Time.wallNow()) /
                                  std::chrono::milliseconds(1)),
              60000, 5000);
  EXPECT_EQ(Host.send({"DELETE", "/v1/jobs/j-1", {}, ""}).Status, 200u);
  EXPECT_EQ(Host.send({"DELETE", "/v1/jobs/j-2", {}, ""}).Status, 404u);
  EXPECT_EQ(Host.send({"GET", "/v1/jobs/j-1", {}, ""}).Status, 200u);

  // The second daemon is reported as the owner but does not own the job either.
  OperatorHost second;
  FakeTarget owner(Io, [](const HttpRequest &q) {
    bool marked =
        !platform::findHeader(q.Headers, "Endivedoor-Forwarded").empty();
    return HttpResponse{marked ? 200u : 500u, {}, q.Path};
  });
  Host.Control.InjectedError =
      base::Error{Errc::NotOwner, owner.address().str()};
  r = Host.send({"GET", "/v1/jobs/j-1", {}, ""});
  EXPECT_EQ(r.Status, 200u);
  EXPECT_EQ(r.Body, "/v1/jobs/j-1");
  r = sendRequest("GET", "/v1/jobs/j-1", "", {{"Endivedoor-Forwarded", "1"}});
  EXPECT_EQ(r.Status, 503u);
  EXPECT_EQ(json::parse(r.Body).at("error").at("number"), 612);
  EXPECT_EQ(owner.Requests, 1);
  Host.Control.InjectedError = base::Error{Errc::StoreAnswerLost, "x"};
  r = Host.send({"POST", "/v1/jobs", {}, GoodJob});
  EXPECT_EQ(outcomeOf(r), "unknown");
  Host.Control.InjectedError = base::Error{Errc::StoreUnavailable, "x"};
  EXPECT_EQ(outcomeOf(Host.send({"POST", "/v1/jobs", {}, GoodJob})), "not-run");
}

// Guards against out-of-range job fields that reach the scheduler.
TEST(JobBody, ErrorsNameTheField) {
  base::WallTime now{};
  EXPECT_TRUE(server::parseJob(GoodJob, now));
  json::object good = json::parse(GoodJob).as_object();
  auto errorDetailOf = [&](const char *field, const std::string &value) {
    json::object o = good;
    o[field] = json::parse(value);
    auto job = server::parseJob(json::serialize(o), now);
    return job ? std::string() : job.error().Detail;
  };
  const std::pair<const char *, std::string> invalidFields[] = {
      {"tasks", "0"},
      {"tasks", "1.5"},
      {"tasks", "\"1\""},
      {"slots", "-1"},
      {"memoryMb", "1e30"},
      {"name", "\"\""},
      {"name", "\"a b\""},
      {"team", "null"},
      {"kind", "\"cron\""},
      {"urgent", "1"},
      {"payload", "{}"},
      {"deadlineMs", "0"},
      {"service", "\"s\""},
      {"colour", "1"},
      {"milliCores", "4294967296"},
      {"class", "\"" + std::string(200, 'c') + "\""}};
  for (const auto &[field, value] : invalidFields)
    EXPECT_NE(errorDetailOf(field, value).find(field), std::string::npos)
        << field;
}

/// Generates nearly valid bodies: a valid one with bytes changed, truncated at
/// a random length.
rc::Gen<std::string> hostileBody(std::string good) {
  return rc::gen::map(
      rc::gen::pair(
          rc::gen::container<std::vector<std::pair<int, char>>>(rc::gen::pair(
              rc::gen::inRange(0, 400), rc::gen::arbitrary<char>())),
          rc::gen::inRange(0, 400)),
      [good](const auto &edits) {
        std::string text = good;
        for (const auto &[at, c] : edits.first)
          text[static_cast<std::size_t>(at) % text.size()] = c;
        return text.substr(0, static_cast<std::size_t>(edits.second));
      });
}

// Guards against a body that crashes the process, and against accepting
// out-of-range values.
RC_GTEST_PROP(HostileBody, Job, ()) {
  std::string text =
      *rc::gen::oneOf(rc::gen::arbitrary<std::string>(), hostileBody(GoodJob));
  auto job = server::parseJob(text, base::WallTime{});
  if (!job)
    RC_SUCCEED();
  RC_ASSERT(job.value().Tasks >= 1);
  RC_ASSERT(job.value().Size.Slots >= 0);
  RC_ASSERT(!job.value().Name.empty());
}

// Guards against the same over HTTP: each response is a success or has an error
// number, and the server keeps running.
RC_GTEST_PROP(HostileBody, OperatorAndCallerEndpoints, ()) {
  static OperatorHost host;
  const std::string rules = R"({"text":"x","baseVersion":0,"author":"ana"})";
  const std::string changeBody = R"({"author":"ana","reason":"power work"})";
  for (const auto &[method, path, good] :
       {std::tuple("PUT", "/v1/rules", rules),
        std::tuple("POST", "/v1/zones/z1/out", changeBody),
        std::tuple("POST", "/v1/jobs", GoodJob)}) {
    std::string body =
        *rc::gen::oneOf(rc::gen::arbitrary<std::string>(), hostileBody(good));
    HttpResponse r = host.sendRequest(method, path, body);
    RC_ASSERT(r.Status == 200 || r.Status == 201 || r.Status == 400 ||
              r.Status == 409);
    if (r.Status >= 400)
      RC_ASSERT(json::parse(r.Body).at("error").at("number").as_int64() >= 600);
  }
  std::string path = "/" + *rc::gen::arbitrary<std::string>();
  std::erase_if(path, [](char c) { return c <= ' ' || c >= 127; });
  RC_ASSERT(host.sendRequest("GET", path).Status >= 200);
}

} // namespace
} // namespace endivedoor::tests
