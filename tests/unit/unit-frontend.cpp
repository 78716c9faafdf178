// Tests over HTTP which requests the front end serves to which client account.
#include "../../platform/LimitReporter.h"
#include "../../platform/ServerOptions.h"
#include "standins/installation/KeyValueStore.h"
#include "support/InMemoryStore.h"

#include "endivedoor/dispatch/Records.h"
#include "endivedoor/installation/Installation.h"
#include "endivedoor/platform/HttpClient.h"
#include "endivedoor/platform/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <map>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace std::chrono_literals;
using model::JobNumber;
using platform::HttpRequest;
using platform::HttpResponse;

namespace {

/// No worker is listed, so none is called.
class NoWorkers final : public dispatch::TaskWorker {
public:
  Async<dispatch::PollReport> poll(dispatch::WorkerRef, dispatch::PollRequest,
                                   std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
  Async<dispatch::CommandResult> start(dispatch::WorkerRef,
                                       dispatch::StartRequest,
                                       std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
  Async<dispatch::CommandResult> stop(dispatch::WorkerRef, dispatch::RunId,
                                      base::FencingToken,
                                      std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
  Async<dispatch::CommandResult> throttle(dispatch::WorkerRef, dispatch::RunId,
                                          std::int32_t, base::FencingToken,
                                          std::chrono::milliseconds) override {
    co_return base::fail(base::Errc::WorkerUnreachable, "");
  }
};

class OffsetClock final : public base::Clock {
public:
  base::Duration Offset{};
  base::TimePoint now() const override { return System.now() + Offset; }
  base::WallTime wallNow() const override { return System.wallNow(); }

private:
  base::SystemClock System;
};

const char *const Body = R"({"steps":[{"count":1,"cpu":100,"mem_mb":1}]})";

class CallerRequests : public testing::Test {
protected:
  CallerRequests() { Store.put(dispatch::keys::layout(), R"({"shards":1})"); }

  static model::Address freeAddress() {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
  }

  /// Starts the node and the front end.
  void start(model::DispatchSettings settings = {}) {
    settings.Callers = Callers = freeAddress();
    settings.Health = HealthAddress = freeAddress();
    settings.Metrics = MetricsAddress = freeAddress();
    dispatch::DispatchOptions options;
    options.Name = "n1";
    options.Instance = "n1-1";
    Node = std::make_unique<dispatch::DispatchNode>(Io.get_executor(), options,
                                                    Store, Workers, System,
                                                    Events, MetricsRegistry);
    Frontend = std::make_unique<installation::HttpFrontend>(
        Io.get_executor(), Io.get_executor(), settings, *Node, Time, Events,
        MetricsRegistry);
    ASSERT_TRUE(Frontend->start().has_value());
    Node->start();
    for (int i = 0; i < 200 && Node->ownedShards() == 0; ++i)
      Io.run_for(10ms);
    ASSERT_EQ(Node->ownedShards(), 1u);
  }

  /// Routes /p/ and /open/, of which the second is public.
  static model::QueueConfiguration configuration() {
    model::QueueConfiguration config;
    config.Version = 7;
    for (const char *it : {"/p/", "/open/"}) {
      model::QueueRoute route;
      route.Name = std::string("q") + it;
      // The client sends the address as the host.
      route.Host = "127.0.0.1";
      route.Prefix = it;
      route.Policy.Service = base::ServiceName("desk");
      route.Public = route.Prefix == "/open/";
      config.Routes.push_back(route);
    }
    return config;
  }

  static model::QueueConfiguration configurationWithAccounts() {
    model::QueueConfiguration config = configuration();
    model::ClientAccount north, south;
    north.Name = "north";
    north.ApiKeys = {"secret-north", "secret-older"};
    south.Name = "south";
    south.ApiKeys = {"secret-south"};
    config.Accounts = {north, south};
    return config;
  }

  /// Sends a request with a key, or without one if \p key is empty.
  HttpResponse send(const std::string &method, const std::string &path,
                    const std::string &key = "") {
    HttpRequest request{method, path, {}, ""};
    if (!key.empty())
      request.Headers.emplace_back("Authorization", "Bearer " + key);
    if (method == "POST")
      request.Body = Body;
    return send(std::move(request));
  }

  HttpResponse send(HttpRequest request) {
    return sendTo(Callers, std::move(request));
  }

  HttpResponse sendTo(model::Address to, HttpRequest request) {
    std::optional<base::Result<HttpResponse>> result;
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          result.emplace(co_await Http.send(to, std::move(request), 5s));
        },
        asio::detached);
    for (int i = 0; i < 1000 && !result; ++i)
      Io.run_for(5ms);
    return result && *result ? result->value() : HttpResponse{0, {}, ""};
  }

  static std::string idPath(const std::string &prefix, std::uint64_t id) {
    return prefix + dispatch::formatJobNumber(JobNumber{id});
  }

  /// Returns all that was logged.
  std::string logText() const {
    std::string text;
    for (const base::EventRecord &event : Events.snapshot()) {
      text += std::string(base::eventInfo(event.Code).Name) + "\n";
      for (const auto &[name, value] : event.Fields)
        text += name + "=" + value + "\n";
    }
    return text;
  }

  std::string indexOf(std::uint64_t id) const {
    return Store.valueOf(dispatch::keys::index(JobNumber{id}));
  }

  asio::io_context Io{1};
  base::SystemClock System;
  OffsetClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"test", Hybrid, 4096};
  dispatch::Metrics MetricsRegistry;
  InMemoryStore Store;
  NoWorkers Workers;
  platform::HttpClient Http{Io.get_executor(), System, platform::HttpLimits{}};
  model::Address Callers, HealthAddress, MetricsAddress;
  std::unique_ptr<dispatch::DispatchNode> Node;
  std::unique_ptr<installation::HttpFrontend> Frontend;
};

// Installations without accounts must see no difference on the wire: no key is
// asked for, none is looked at, and the records have no account.
TEST_F(CallerRequests, ConfigurationWithoutAccounts_BehavesAsBefore) {
  model::DispatchSettings settings;
  settings.RevokeFailClosed = true;
  start(settings);
  Frontend->configure(configuration());
  std::uint64_t id = 1;
  for (const char *header : {"", "Bearer x", "Basic x", "nonsense"}) {
    HttpRequest submission{"POST", idPath("/p/", id), {}, Body};
    if (*header)
      submission.Headers.emplace_back("Authorization", header);
    HttpResponse response = send(submission);
    EXPECT_EQ(response.Status, 200u) << header;
    EXPECT_EQ(response.Body, "{}");
    EXPECT_EQ(indexOf(id), R"({"shard":0,"state":0})");
    EXPECT_EQ(
        Store.valueOf(dispatch::keys::job(0, JobNumber{id})),
        R"({"queue":"q/p/","service":"desk","maxAttempts":1,"stretch":1E0,)"
        R"("payload":"","steps":[{"count":1,"cpu":100,"memory":1}]})");
    EXPECT_EQ(send("GET", idPath("/p/", id)).Body, R"({"state":"queued"})");
    EXPECT_EQ(send("DELETE", idPath("/p/", id)).Status, 200u);
    EXPECT_EQ(indexOf(id), R"({"shard":0,"state":4})");
    ++id;
  }
  EXPECT_EQ(send("GET", "/p/").Status, 200u);
  EXPECT_EQ(send("GET", "/other/").Status, 404u);
  EXPECT_EQ(send("GET", idPath("/p/", 99)).Status, 410u);
  EXPECT_EQ(send("DELETE", idPath("/p/", 99)).Status, 410u);
  EXPECT_EQ(indexOf(99), R"({"shard":0,"state":4,"never":1})");
}

TEST_F(CallerRequests, WithoutValidKey_AreRefusedAndHaveNoEffect) {
  start();
  Frontend->configure(configurationWithAccounts());
  int commits = Store.CommitCalls;
  const std::pair<const char *, const char *> headers[] = {
      {nullptr, "E616"},
      {"Bearer secret-wrong", "E618"},
      {"Bearer secret-nort", "E618"},
      {"Bearer", "E617"},
      {"Basic secret-north", "E617"},
      {"Bearer secret-north x", "E617"}};
  for (const auto &[header, number] : headers)
    for (const char *method : {"POST", "GET", "DELETE"}) {
      HttpRequest request{method, idPath("/p/", 1), {}, Body};
      if (header)
        request.Headers.emplace_back("Authorization", header);
      HttpResponse response = send(request);
      EXPECT_EQ(response.Status, 401u) << method << number;
      EXPECT_EQ(platform::findHeader(response.Headers, "WWW-Authenticate"),
                "Bearer");
      EXPECT_NE(response.Body.find(number), std::string::npos) << response.Body;
      EXPECT_EQ(response.Body.find("secret"), std::string::npos);
    }
  EXPECT_EQ(send("GET", "/p/").Status, 401u);
  EXPECT_EQ(indexOf(1), "");
  EXPECT_EQ(Store.CommitCalls, commits);
  // The route comes first: an unknown one stays unknown with any key.
  EXPECT_EQ(send("GET", "/other/").Status, 404u);
  EXPECT_EQ(send("GET", "/other/", "secret-north").Status, 404u);
  std::string metrics = MetricsRegistry.render(Events);
  for (const char *it : {"missing", "malformed", "unknown"})
    EXPECT_NE(metrics.find("endivedoor_refused_keys_total{cause=\"" +
                           std::string(it) + "\"}"),
              std::string::npos)
        << metrics;
}

// A key in a log or a metric is a key that everyone with access to it has.
TEST_F(CallerRequests, Keys_AppearInNoLogMetricOrRecord) {
  start();
  Frontend->configure(configurationWithAccounts());
  EXPECT_EQ(send("POST", idPath("/p/", 1), "secret-north").Status, 200u);
  EXPECT_EQ(send("GET", idPath("/p/", 1), "secret-other").Status, 401u);
  EXPECT_EQ(send("GET", "/p/?key=secret-north").Status, 401u);
  EXPECT_EQ(send("DELETE", idPath("/p/", 1), "secret-north").Status, 200u);
  Io.run_for(200ms);
  EXPECT_NE(logText().find("CallRefused"), std::string::npos);
  EXPECT_EQ(logText().find("secret"), std::string::npos) << logText();
  EXPECT_EQ(MetricsRegistry.render(Events).find("secret"), std::string::npos);
  EXPECT_EQ(indexOf(1).find("secret"), std::string::npos);
}

TEST_F(CallerRequests, JobOfAnotherAccount_IsUnknown) {
  start();
  Frontend->configure(configurationWithAccounts());
  ASSERT_EQ(send("POST", idPath("/p/", 1), "secret-north").Status, 200u);
  std::string stored = indexOf(1);
  EXPECT_NE(stored.find(R"("account":"north")"), std::string::npos);
  HttpResponse unknown = send("GET", idPath("/p/", 9), "secret-south");
  HttpResponse foreign = send("GET", idPath("/p/", 1), "secret-south");
  EXPECT_EQ(unknown.Status, 410u);
  EXPECT_EQ(foreign.Status, 410u);
  EXPECT_EQ(foreign.Body, unknown.Body);
  unknown = send("DELETE", idPath("/p/", 9), "secret-south");
  foreign = send("DELETE", idPath("/p/", 1), "secret-south");
  EXPECT_EQ(unknown.Status, 410u);
  EXPECT_EQ(foreign.Status, 410u);
  EXPECT_EQ(foreign.Body, unknown.Body);
  EXPECT_EQ(indexOf(1), stored);
  EXPECT_FALSE(Store.has(dispatch::keys::cancel(0, JobNumber{1})));
  // The id belongs to the other account, so the job is not stored.
  EXPECT_EQ(send("POST", idPath("/p/", 1), "secret-south").Status, 409u);
  EXPECT_EQ(indexOf(1), stored);
  // Any key of the account shows the job.
  EXPECT_EQ(send("GET", idPath("/p/", 1), "secret-older").Status, 200u);
  EXPECT_EQ(send("DELETE", idPath("/p/", 1), "secret-older").Status, 200u);
}

// The entry that a cancellation of an unknown job leaves must not keep another
// account from using the id.
TEST_F(CallerRequests, CancelledUnknownJob_BelongsToTheAccount) {
  start();
  Frontend->configure(configurationWithAccounts());
  EXPECT_EQ(send("DELETE", idPath("/p/", 1), "secret-south").Status, 410u);
  EXPECT_NE(indexOf(1).find(R"("account":"south")"), std::string::npos);
  EXPECT_EQ(send("POST", idPath("/p/", 1), "secret-south").Status, 503u);
  EXPECT_EQ(send("POST", idPath("/p/", 1), "secret-north").Status, 200u);
  EXPECT_EQ(send("GET", idPath("/p/", 1), "secret-north").Status, 200u);
  EXPECT_EQ(send("GET", idPath("/p/", 1), "secret-south").Status, 410u);
}

TEST_F(CallerRequests, OnPublicRoute_NeedNoKeyAndSeeAllJobs) {
  start();
  Frontend->configure(configurationWithAccounts());
  EXPECT_EQ(send("POST", idPath("/open/", 1)).Status, 200u);
  EXPECT_EQ(indexOf(1), R"({"shard":0,"state":0})");
  EXPECT_EQ(send("POST", idPath("/open/", 2), "secret-wrong").Status, 200u);
  EXPECT_EQ(indexOf(2), R"({"shard":0,"state":0})");
  EXPECT_EQ(send("POST", idPath("/open/", 3), "secret-north").Status, 200u);
  EXPECT_NE(indexOf(3).find(R"("account":"north")"), std::string::npos);
  // A job without an account is visible to all.
  EXPECT_EQ(send("GET", idPath("/p/", 1), "secret-south").Status, 200u);
  EXPECT_EQ(send("GET", idPath("/p/", 3), "secret-south").Status, 410u);
  EXPECT_EQ(send("GET", idPath("/open/", 3)).Status, 200u);
  EXPECT_EQ(send("DELETE", idPath("/open/", 3), "secret-south").Status, 200u);
  EXPECT_NE(indexOf(3).find(R"("account":"north")"), std::string::npos);
  EXPECT_EQ(send("GET", "/open/").Status, 200u);
}

TEST_F(CallerRequests, KeyChange_TakesEffectWithItsVersion) {
  start();
  model::QueueConfiguration config = configurationWithAccounts();
  Frontend->configure(config);
  EXPECT_EQ(send("GET", "/p/", "secret-older").Status, 200u);
  config.Accounts[0].ApiKeys = {"secret-newer"};
  ++config.Version;
  Frontend->configure(config);
  EXPECT_EQ(send("GET", "/p/", "secret-older").Status, 401u);
  EXPECT_EQ(send("GET", "/p/", "secret-newer").Status, 200u);
}

// Without its configuration a node cannot know that a key was revoked.
TEST_F(CallerRequests, OutdatedKeysFailClosed_NeedACurrentConfiguration) {
  model::DispatchSettings settings;
  settings.RevokeFailClosed = true;
  settings.RevokeTime = 5000ms;
  start(settings);
  Frontend->configure(configurationWithAccounts());
  Frontend->setConfigurationReadAt(Time.now());
  EXPECT_EQ(send("GET", "/p/", "secret-north").Status, 200u);
  Time.Offset = 6s;
  for (const char *key : {"secret-north", "secret-wrong", ""}) {
    HttpResponse response = send("POST", idPath("/p/", 1), key);
    EXPECT_EQ(response.Status, 503u) << key;
    EXPECT_NE(response.Body.find("E619"), std::string::npos);
    EXPECT_FALSE(platform::findHeader(response.Headers, "Retry-After").empty());
  }
  EXPECT_EQ(indexOf(1), "");
  EXPECT_EQ(send("GET", "/open/").Status, 200u);
  EXPECT_EQ(send("GET", "/other/").Status, 404u);
  Frontend->setConfigurationReadAt(Time.now());
  EXPECT_EQ(send("GET", "/p/", "secret-north").Status, 200u);
  EXPECT_EQ(Events.counts()[base::EventCode::KeysOutdated], 1u);
  EXPECT_EQ(Events.counts()[base::EventCode::KeysCurrent], 1u);
}

// The operator's write of the configuration must reach the requests, and a
// stale write must not bring a revoked key back.
TEST_F(CallerRequests, KeyRevokedInTheStore_IsRefusedWithin3Seconds) {
  standin::KeyValueStore operators(Io, System, 1);
  platform::HttpServerOptions options;
  options.Listen = freeAddress();
  platform::HttpServer server(Io.get_executor(), options, [&](HttpRequest r) {
    return operators.handle(std::move(r));
  });
  ASSERT_TRUE(server.start().has_value());
  auto write = [&](int version, const std::string &key) {
    operators.put("op/config",
                  R"({"version":)" + std::to_string(version) +
                      R"(,"routes":[{"name":"q","host":"127.0.0.1",)"
                      R"("prefix":"/p/","service":"desk"}],"tenants":[)"
                      R"({"name":"north","api_keys":[")" +
                      key + R"("]},{"name":"south","api_keys":7}]})");
  };
  write(1, "secret-1");
  model::DispatchSettings settings;
  settings.Store = options.Listen;
  start(settings);
  // Not deleted: suspended calls refer to it until the io_context ends.
  static installation::Installation *adapter = nullptr;
  adapter = new installation::Installation(Io.get_executor(), settings, System,
                                           Events, MetricsRegistry);
  adapter->startWatches(*Node, [&](model::QueueConfiguration config) {
    Frontend->configure(std::move(config));
  });
  Io.run_for(500ms);
  EXPECT_EQ(send("GET", "/p/", "secret-1").Status, 200u);
  EXPECT_LT(System.now() - adapter->operatorEntriesReadAt(), 2s);
  write(2, "secret-2");
  base::TimePoint end = System.now() + 3s;
  while (send("GET", "/p/", "secret-1").Status != 401u && System.now() < end)
    Io.run_for(20ms);
  EXPECT_LT(System.now(), end);
  EXPECT_EQ(send("GET", "/p/", "secret-2").Status, 200u);
  write(1, "secret-1");
  Io.run_for(500ms);
  EXPECT_EQ(send("GET", "/p/", "secret-1").Status, 401u);
  EXPECT_EQ(Events.counts()[base::EventCode::AccountSkipped], 2u);
  EXPECT_EQ(logText().find("secret"), std::string::npos);
}

/// Returns the fields of all events with \p code.
std::vector<std::map<std::string, std::string>>
fieldsOf(const base::EventLog &events, base::EventCode code) {
  std::vector<std::map<std::string, std::string>> out;
  for (const base::EventRecord &it : events.snapshot())
    if (it.Code == code)
      out.emplace_back(it.Fields.begin(), it.Fields.end());
  return out;
}

// A caller filled the log with one request line of 16 KiB per request.
TEST_F(CallerRequests, LongMethodAndPath_AreCutInTheLog) {
  start();
  Frontend->configure(configuration());
  const std::string longPath = "/" + std::string(5000, 'p');
  EXPECT_EQ(send("GET", longPath).Status, 404u);
  EXPECT_EQ(send(std::string(5000, 'M'), idPath("/p/", 1)).Status, 405u);
  EXPECT_EQ(send("GET", "/p/" + std::string(5000, 'i')).Status, 410u);
  auto refused = fieldsOf(Events, base::EventCode::CallRefused);
  ASSERT_EQ(refused.size(), 3u);
  EXPECT_EQ(refused[0]["path"], longPath.substr(0, 200));
  EXPECT_EQ(refused[1]["method"], std::string(200, 'M'));
  for (auto &it : refused)
    EXPECT_LE(it["cause"].size(), 200u);
}

// An operator has to see that callers reach a limit, and how much of the memory
// and of the connections they use.
TEST_F(CallerRequests, LimitsAndUse_AreShownInMetrics) {
  start();
  installation::LimitReporter reporter(Io.get_executor(), Events,
                                       MetricsRegistry);
  for (int i = 0; i < 3; ++i)
    reporter.report(platform::HttpLimit::Framing);
  reporter.report(platform::HttpLimit::ResponseTime);
  EXPECT_EQ(send("GET", "/p/").Status, 503u);
  HttpResponse response = sendTo(MetricsAddress, {"GET", "/metrics", {}, ""});
  EXPECT_EQ(response.Status, 200u);
  for (const char *line :
       {"endivedoor_limited_total{limit=\"framing\"} 3",
        "endivedoor_limited_total{limit=\"response_time\"} 1",
        "endivedoor_http_bytes ",
        "endivedoor_http_connections{server=\"callers\"} 1",
        "endivedoor_http_connections{server=\"health\"} 0",
        "endivedoor_http_connections{server=\"metrics\"} 1"})
    EXPECT_NE(response.Body.find(line), std::string::npos) << line << "\n"
                                                           << response.Body;
}

// Callers decide how often they reach a limit; a line for each would fill the
// log, and a line without a count would hide how many there were.
TEST_F(CallerRequests, ReportsOfALimit_AreLoggedOncePerSecondWithTheirNumber) {
  installation::LimitReporter reporter(Io.get_executor(), Events,
                                       MetricsRegistry);
  auto logged = [&] {
    std::string text;
    for (auto &it : fieldsOf(Events, base::EventCode::LimitReached))
      text += it["limit"] + "=" + it["count"] + " ";
    return text;
  };
  for (int i = 0; i < 1000; ++i)
    reporter.report(platform::HttpLimit::Memory);
  reporter.report(platform::HttpLimit::BodyTime);
  EXPECT_EQ(logged(), "memory=1 body_time=1 ");
  Io.run_for(1200ms);
  EXPECT_EQ(logged(), "memory=1 body_time=1 memory=999 ");
  Io.restart();
  Io.run_for(1200ms);
  reporter.report(platform::HttpLimit::Memory);
  EXPECT_EQ(logged(), "memory=1 body_time=1 memory=999 memory=1 ");
}

// The servers are destroyed before the executor runs their last timers.
TEST_F(CallerRequests, ReporterDestroyedWhileItWaits_LogsNothingMore) {
  auto reporter = std::make_unique<installation::LimitReporter>(
      Io.get_executor(), Events, MetricsRegistry);
  reporter->report(platform::HttpLimit::Header);
  reporter->report(platform::HttpLimit::Header);
  reporter.reset();
  Io.run_for(1200ms);
  EXPECT_EQ(fieldsOf(Events, base::EventCode::LimitReached).size(), 1u);
}

// A node whose probes fail is taken out, and its callers go to the next one.
TEST_F(CallerRequests, CallersThatUseUpTheirMemory_DoNotMakeProbesFail) {
  model::DispatchSettings settings;
  settings.Limits.MemoryMiB = 8;
  start(settings);
  Frontend->setReady(true);
  Frontend->configure(configuration());
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 400; ++i) {
    sockets.emplace_back(Io);
    sockets.back().connect({asio::ip::make_address(Callers.Ip), Callers.Port});
    Io.run_for(1ms);
  }
  Io.run_for(100ms);
  // The memory of callers is used up.
  EXPECT_LT(Frontend->openConnections(), sockets.size());
  EXPECT_EQ(
      sendTo(HealthAddress, {"GET", "/endivedoor/readiness", {}, ""}).Status,
      200u);
  EXPECT_EQ(sendTo(MetricsAddress, {"GET", "/metrics", {}, ""}).Status, 200u);
}

// Callers that use up the connections of their server must not use up those for
// the probes of the load balancer.
TEST(ServerOptions, Settings_ApplyToAllServers) {
  model::DispatchSettings settings;
  settings.Callers = {"127.0.0.1", 1};
  settings.Health = {"127.0.0.1", 2};
  settings.Metrics = {"127.0.0.1", 3};
  settings.Limits = {9, 70, 1s, 2s, 3s, 7s};
  int reports = 0;
  installation::ServerOptions options = installation::makeServerOptions(
      settings, nullptr, [&](platform::HttpLimit limit) {
        EXPECT_EQ(limit, platform::HttpLimit::Framing);
        ++reports;
      });
  EXPECT_EQ(options.Callers.MaxConnections, 70u);
  EXPECT_EQ(options.Health.MaxConnections, 64u);
  EXPECT_EQ(options.Metrics.MaxConnections, 32u);
  EXPECT_EQ(options.Callers.Listen, settings.Callers);
  EXPECT_EQ(options.Health.Listen, settings.Health);
  EXPECT_EQ(options.Metrics.Listen, settings.Metrics);
  ASSERT_TRUE(options.Callers.Budget);
  EXPECT_EQ(options.Callers.Budget->limit(), 5u << 20);
  EXPECT_EQ(options.Health.Budget->limit(), 4u << 20);
  EXPECT_EQ(options.Metrics.Budget, options.Health.Budget);
  for (const platform::HttpServerOptions *it :
       {&options.Callers, &options.Health, &options.Metrics}) {
    EXPECT_EQ(it->HeaderTimeout, 1s);
    EXPECT_EQ(it->BodyTimeout, 2s);
    EXPECT_EQ(it->ResponseTimeout, 3s);
    EXPECT_EQ(it->IdleTimeout, 7s);
    it->OnLimit(platform::HttpLimit::Framing);
  }
  EXPECT_EQ(reports, 3);
}

TEST_F(CallerRequests, OutdatedKeysFailOpen_StillCount) {
  start();
  Frontend->configure(configurationWithAccounts());
  Frontend->setConfigurationReadAt(Time.now());
  Time.Offset = 1h;
  EXPECT_EQ(send("GET", "/p/", "secret-north").Status, 200u);
  EXPECT_EQ(send("GET", "/p/", "secret-wrong").Status, 401u);
}

} // namespace
