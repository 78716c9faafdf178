// Tests the adapter to the users' platform: entries from other writers, store
// responses that tell whether a call took effect, and task names.
#include "../../platform/Decode.h"
#include "../../platform/KvStore.h"
#include "../../platform/Wire.h"
#include "../../platform/WorkerHttpClient.h"

#include "endivedoor/dispatch/Records.h"
#include "endivedoor/model/DispatchSettings.h"
#include "endivedoor/platform/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <functional>
#include <iterator>

using namespace endivedoor;
using namespace endivedoor::installation;
using namespace std::chrono_literals;
using base::Errc;
using platform::HttpRequest;
using platform::HttpResponse;

namespace {

const char *const WorkerEntry =
    R"({"service":"desk","address":"10.0.0.9:8080","zone":"a","version":"v1",
    "slots":8,"state":"ready","cold_remaining_ms":0,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
    "labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":77})";

TEST(DecodeWorker, Entry_IsDecoded) {
  auto worker = decodeWorker("i-1", WorkerEntry);
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(count(worker.value().Capacity.Cpu), 16000);
  EXPECT_EQ(worker.value().Labels.back(), "r1-3");
  EXPECT_EQ(worker.value().StartTime, 77ms);
  EXPECT_FALSE(worker.value().Draining);
}

// Entries may come from another writer and then describe no usable worker.
TEST(DecodeWorker, ForeignEntry_IsUnusable) {
  for (const char *it :
       {"", "{}", "[1]", "\xff\xfe", R"({"service":"desk"})",
        R"({"service":"desk","address":"10.0.0.9:8080","zone":"a",
            "state":"gone","capacity":{"cpu":1,"mem_mb":1}})",
        R"({"service":7,"address":"10.0.0.9:8080","zone":"a",
            "state":"ready","capacity":{"cpu":1,"mem_mb":1}})",
        R"({"service":"desk","address":"10.0.0.9","zone":"a",
            "state":"ready","capacity":{"cpu":1,"mem_mb":1}})",
        R"({"service":"desk","address":"10.0.0.9:80","zone":"a",
            "state":"ready","capacity":{"cpu":"x","mem_mb":1}})"})
    EXPECT_FALSE(decodeWorker("i-1", it).has_value()) << it;
}

/// Returns an entry that is complete but for its capacity.
std::string entryWithCapacity(const std::string &capacity) {
  return R"({"service":"desk","address":"10.0.0.9:8080","zone":"a",
             "state":"ready","born":77)" +
         capacity + "}";
}

// A capacity that cannot be read must count neither as zero nor as unlimited.
TEST(DecodeWorker, UnreadableCapacity_MakesTheEntryUnusable) {
  for (const char *it : {
           "",
           R"(,"capacity":null)",
           R"(,"capacity":16000)",
           R"(,"capacity":[16000,32768,0])",
           R"(,"capacity":{})",
           R"(,"capacity":{"cpu":16000,"gpu":0})",
           R"(,"capacity":{"mem_mb":32768,"gpu":0})",
           R"(,"capacity":{"cpu":null,"mem_mb":32768,"gpu":0})",
           R"(,"capacity":{"cpu":true,"mem_mb":32768,"gpu":0})",
           R"(,"capacity":{"cpu":16000,"mem_mb":[1],"gpu":0})",
           R"(,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":"2"})",
           R"(,"capacity":{"cpu":-1,"mem_mb":32768,"gpu":0})",
           R"(,"capacity":{"cpu":16000,"mem_mb":-1,"gpu":0})",
           R"(,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":-1})",
           R"(,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":4294967297})",
           R"(,"capacity":{"cpu":18446744073709551615,"mem_mb":1,"gpu":0})",
           R"(,"capacity":{"cpu":9223372036854775807,"mem_mb":1,"gpu":0})",
           R"(,"capacity":{"cpu":1e300,"mem_mb":32768,"gpu":0})",
       })
    EXPECT_FALSE(decodeWorker("i-1", entryWithCapacity(it)).has_value()) << it;
}

TEST(DecodeWorker, SmallCapacity_IsDecoded) {
  auto empty = decodeWorker(
      "i-1", entryWithCapacity(R"(,"capacity":{"cpu":0,"mem_mb":0,"gpu":0})"));
  ASSERT_TRUE(empty.has_value());
  EXPECT_EQ(count(empty.value().Capacity.Cpu), 0);
  auto withoutGpu = decodeWorker(
      "i-1", entryWithCapacity(R"(,"capacity":{"cpu":1500,"mem_mb":2048})"));
  ASSERT_TRUE(withoutGpu.has_value());
  EXPECT_EQ(withoutGpu.value().Capacity.Accelerators, 0);
  EXPECT_EQ(count(withoutGpu.value().Capacity.Memory), 2048);
}

/// Returns an entry that is complete but for its start time.
std::string entryWithBorn(const std::string &born) {
  return R"({"service":"desk","address":"10.0.0.9:8080","zone":"a",
             "state":"ready","capacity":{"cpu":1,"mem_mb":1},"born":)" +
         born + "}";
}

// A start time far in the future counted as a restart of the live worker, whose
// running tasks were then started again.
TEST(DecodeWorker, StartTimeThatIsNoTime_MakesTheEntryUnusable) {
  for (const char *it :
       {"1e400", "-1e400", "1e30", "9e15", "0.5", "-1", "18446744073709551615",
        "9223372036854775807", "253402300800000", "NaN", "Infinity", "true",
        "\"77\"", "[77]", "{}"})
    EXPECT_FALSE(decodeWorker("i-1", entryWithBorn(it)).has_value()) << it;
  for (const char *it : {"77", "1796461200000", "1.7964612e12"})
    EXPECT_TRUE(decodeWorker("i-1", entryWithBorn(it)).has_value()) << it;
  EXPECT_EQ(decodeWorker("i-1", entryWithBorn("null")).value().StartTime, 0ms);
}

// The stored list of a shard's workers could not be read back with an empty id,
// so that the next owner did not know where runs may be. Ids are also sent as
// header values.
TEST(DecodeWorker, IdThatIsNoName_MakesTheEntryUnusable) {
  for (const std::string &it :
       {std::string(), std::string("a b"), std::string("a\r\nHost: x"),
        std::string("a\0", 2), std::string("\x7f"), std::string("\xc3\xa9"),
        std::string(dispatch::limits::MaxNameBytes + 1, 'i')})
    EXPECT_FALSE(decodeWorker(it, WorkerEntry).has_value()) << it;
  for (const char *it : {"i-7f3a91c2", "a/b", "{\"x\":1}"}) {
    auto worker = decodeWorker(it, WorkerEntry);
    ASSERT_TRUE(worker.has_value()) << it;
    auto roster = dispatch::decodeRoster(
        dispatch::encodeRoster({{worker.value().Id, worker.value().Endpoint}}));
    ASSERT_TRUE(roster.has_value()) << it;
    EXPECT_EQ(roster.value()[0].Id, worker.value().Id);
  }
}

TEST(DecodeJob, EveryField_IsDecoded) {
  auto graph = decodeJobGraph(
      R"({"spec":"p","repeat_count":2,"start_at_ms":5,"interval_ms":7,
      "steps":[{"count":2,"cpu":500,"mem_mb":256,"gpu":1,"estimated_ms":900,
      "requirements":"big","affinity":"r1","image":"i","max_per_server":1,
      "target_ms":18,"may_miss":1,"checkpointing":true,"gang":true,
      "same_rack":true,"speculative":true,"long_running":true,"fills":true},
      {"count":1,"after":[0]}]})");
  ASSERT_TRUE(graph.has_value());
  const model::StepSpec &s = graph.value().Steps[0];
  EXPECT_EQ(s.Size.Accelerators, 1);
  EXPECT_EQ(s.Requirement, "big");
  EXPECT_EQ(s.Affinity, "r1");
  EXPECT_EQ(s.MaxPerWorker, 1);
  EXPECT_EQ(s.Target, 18ms);
  EXPECT_TRUE(s.SupportsCheckpoints && s.Gang && s.SameRack && s.Speculative &&
              s.LongRunning && s.Filler);
  EXPECT_EQ(graph.value().Occurrences, 2);
  EXPECT_EQ(graph.value().Steps[1].Dependencies, std::vector<std::int32_t>{0});
}

TEST(DecodeJob, MalformedBody_IsRejected) {
  for (const char *it :
       {"", "7", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":99999999}]})",
        R"({"steps":[{"count":1,"after":[0]}]})",
        R"({"steps":[{"count":1,"cpu":-5}]})", R"({"steps":[7]})"})
    EXPECT_FALSE(decodeJobGraph(it).has_value()) << it;
}

// A worker without the labels that it has was offered all tasks that need none.
TEST(DecodeWorker, LabelsOfAnotherType_MakeTheEntryUnusable) {
  const std::string start =
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"a",
          "state":"ready","capacity":{"cpu":1,"mem_mb":1},"labels":)";
  for (const char *it : {"7", "\"a\"", "{}", "[7]", "[\"a\",[]]", "[null]"})
    EXPECT_FALSE(decodeWorker("i-1", start + it + "}").has_value()) << it;
  for (const char *it : {"null", "[]", "[\"a\"]"})
    EXPECT_TRUE(decodeWorker("i-1", start + it + "}").has_value()) << it;
}

// The unspecified address is that of the node itself.
TEST(DecodeWorker, AddressOfNoHost_MakesTheEntryUnusable) {
  for (const char *ip :
       {"0.0.0.0", "224.0.0.1", "239.1.1.1", "255.255.255.255"})
    EXPECT_FALSE(
        decodeWorker("i-1", R"({"service":"desk","zone":"a","state":"ready",
        "capacity":{"cpu":1,"mem_mb":1},"address":")" +
                                std::string(ip) + ":80\"}")
            .has_value())
        << ip;
}

// Neither callers nor workers may end a daemon by the shape of a body.
TEST(ParseBody, DeepNesting_IsAnError) {
  for (std::size_t levels : {10u, 31u, 33u, 1000u, 100'000u})
    for (const char *pair : {"[]", "{}"}) {
      bool isList = pair[0] == '[';
      std::string deep;
      for (std::size_t i = 0; i < levels; ++i)
        deep += isList ? "[" : "{\"a\":";
      deep += "1" + std::string(levels, pair[1]);
      std::string job = R"({"steps":[{"count":1}],"x":)" + deep + "}";
      EXPECT_EQ(decodeJobGraph(job).has_value(), levels == 10) << levels;
      std::string config = R"({"version":1,"routes":[],"x":)" + deep + "}";
      EXPECT_EQ(decodeConfiguration(config).has_value(), levels == 10);
      std::string worker =
          R"({"service":"desk","address":"10.0.0.9:8080","zone":"a",
              "state":"ready","capacity":{"cpu":1,"mem_mb":1},"x":)" +
          deep + "}";
      EXPECT_EQ(decodeWorker("i-1", worker).has_value(), levels == 10);
    }
}

RC_GTEST_PROP(DecodeWorkerProperty, DamagedEntry_IsReadOrRefused,
              (std::string inserted)) {
  std::string text = WorkerEntry;
  auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  auto length = *rc::gen::inRange<std::size_t>(0, text.size() - at);
  text.replace(at, length, inserted);
  auto worker = decodeWorker("i-1", text);
  if (!worker)
    return;
  RC_ASSERT(worker.value().Endpoint.Port > 0);
  RC_ASSERT(count(worker.value().Capacity.Cpu) >= 0);
  RC_ASSERT(worker.value().StartTime >= 0ms);
}

TEST(DecodeTaskName, ValidAndMalformedNames) {
  auto key = decodeTaskName("5c0e7a21d94b36f8.1.2.17");
  ASSERT_TRUE(key.has_value());
  EXPECT_EQ(key->Occurrence, 1);
  EXPECT_EQ(key->Index, 17);
  for (const char *it :
       {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.1.2",
        "5c0e7a21d94b36f8.1.2.17.4", "zz.0.0.0", "5c0e7a21d94b36f8.1.-2.17"})
    EXPECT_FALSE(decodeTaskName(it).has_value()) << it;
}

TEST(DecodeConfiguration, RoutesAndErrors) {
  auto config = decodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
      "service":"desk","priority":2,"max_attempts":3,"stretch":1.5,
      "target_latency_ms":250}],"services":[],"limits":{}})");
  ASSERT_TRUE(config.has_value());
  EXPECT_EQ(config.value().Routes[0].Policy.Priority, 2);
  EXPECT_EQ(config.value().Routes[0].Policy.Target, 250ms);
  EXPECT_FALSE(decodeConfiguration("{}").has_value());
  EXPECT_FALSE(decodeConfiguration(R"({"version":1,"routes":[{}]})"));
}

/// Returns a configuration with a `tenants` field of this value.
std::string configurationWith(const std::string &accounts) {
  return R"({"version":7,"routes":[],"tenants":)" + accounts + "}";
}

TEST(DecodeConfiguration, Accounts_AreDecoded) {
  auto config = decodeConfiguration(
      R"({"version":7,"routes":[
      {"name":"r","prefix":"/p/","service":"desk","public":true},
      {"name":"s","prefix":"/s/","service":"desk","public":"yes"}],"tenants":[
      {"name":"north","api_keys":["k-1","k-2"],"weight":2.5,"priority":3,
       "max_count":{"cpu":64000,"mem_mb":2048,"gpu":2}},
      {"name":"south","api_keys":[],"max_count":{"cpu":1e300,"gpu":null}},
      {"name":"west","api_keys":["k-3"],"weight":null,"max_count":null}]})");
  ASSERT_TRUE(config.has_value());
  EXPECT_TRUE(config.value().Routes[0].Public);
  EXPECT_FALSE(config.value().Routes[1].Public);
  const std::vector<model::ClientAccount> &accounts = config.value().Accounts;
  ASSERT_EQ(accounts.size(), 3u);
  EXPECT_EQ(accounts[0].Name, "north");
  EXPECT_EQ(accounts[0].ApiKeys, (std::vector<std::string>{"k-1", "k-2"}));
  EXPECT_EQ(accounts[0].Weight, 2.5);
  EXPECT_EQ(count(accounts[0].MaxRunning.Cpu), 64000);
  EXPECT_EQ(count(accounts[0].MaxRunning.Memory), 2048);
  EXPECT_EQ(accounts[0].MaxRunning.Accelerators, 2);
  EXPECT_EQ(accounts[1].Weight, 1);
  EXPECT_EQ(count(accounts[1].MaxRunning.Cpu), 1'000'000'000'000);
  EXPECT_EQ(count(accounts[1].MaxRunning.Memory), 0);
  EXPECT_EQ(accounts[2].MaxRunning, base::Resources{});
}

TEST(DecodeConfiguration, WithoutAccounts_HasNone) {
  for (const char *it : {"[]", "null"}) {
    auto config = decodeConfiguration(configurationWith(it));
    ASSERT_TRUE(config.has_value()) << it;
    EXPECT_TRUE(config.value().Accounts.empty()) << it;
  }
}

// One invalid row must neither keep the keys of the other rows from taking
// effect nor admit callers itself, and its error must not show a key.
TEST(DecodeConfiguration, InvalidAccount_IsSkippedWithNumberedError) {
  for (const char *it : {
           "7",
           "null",
           "[]",
           "{}",
           R"({"name":"","api_keys":["secret-2"]})",
           R"({"name":7,"api_keys":["secret-2"]})",
           R"({"name":"a\nb","api_keys":["secret-2"]})",
           R"({"name":"b"})",
           R"({"name":"b","api_keys":"secret-2"})",
           R"({"name":"b","api_keys":[7]})",
           R"({"name":"b","api_keys":[""]})",
           R"({"name":"b","api_keys":["secret 2"]})",
           R"({"name":"b","api_keys":["secret-2\u0000"]})",
           R"({"name":"b","api_keys":["secret-2"],"weight":0})",
           R"({"name":"b","api_keys":["secret-2"],"weight":-1})",
           R"({"name":"b","api_keys":["secret-2"],"weight":"2"})",
           R"({"name":"b","api_keys":["secret-2"],"weight":1e300})",
           R"({"name":"b","api_keys":["secret-2"],"max_count":7})",
           R"({"name":"b","api_keys":["secret-2"],"max_count":{"cpu":-1}})",
           R"({"name":"b","api_keys":["secret-2"],"max_count":{"gpu":"1"}})",
           R"({"name":"b","api_keys":["secret-2"],"max_count":{"mem_mb":[]}})",
           R"({"name":"a","api_keys":["secret-2"]})",
           R"({"name":"b","api_keys":["secret-2","secret-1"]})",
       }) {
    std::vector<base::Error> skipped;
    auto config = decodeConfiguration(
        configurationWith(R"([{"name":"a","api_keys":["secret-1"]},)" +
                          std::string(it) +
                          R"(,{"name":"c","api_keys":["secret-3"]}])"),
        &skipped);
    ASSERT_TRUE(config.has_value()) << it;
    ASSERT_EQ(config.value().Accounts.size(), 2u) << it;
    EXPECT_EQ(config.value().Accounts[1].Name, "c");
    ASSERT_EQ(skipped.size(), 1u) << it;
    EXPECT_EQ(skipped[0].Code, Errc::AccountInvalid);
    EXPECT_NE(skipped[0].Detail.find("row 1"), std::string::npos);
    EXPECT_EQ(skipped[0].message().find("secret"), std::string::npos);
  }
}

// A configuration whose accounts are all unreadable must not count as one
// without accounts, which admits every caller.
TEST(DecodeConfiguration, NoValidAccount_IsRejected) {
  for (const char *it : {"7", "{}", "\"x\"", "true", "[7]", R"([{"name":"a"}])",
                         R"([{"api_keys":["secret"]}])"}) {
    auto config = decodeConfiguration(configurationWith(it));
    ASSERT_FALSE(config.has_value()) << it;
    EXPECT_EQ(config.error().message().find("secret"), std::string::npos);
  }
  auto cut = decodeConfiguration(
      R"({"version":7,"routes":[],"tenants":[{"api_keys":["secret")");
  ASSERT_FALSE(cut.has_value());
  EXPECT_EQ(cut.error().message().find("secret"), std::string::npos);
}

/// Renders the lines of a section of the deployment template, or leaves them
/// out if it has no value.
void renderSection(std::string &text, const std::string &name,
                   const std::optional<std::string> &value) {
  std::string open = "{{#" + name + "}}\n", close = "{{/" + name + "}}\n";
  std::size_t begin = text.find(open), end = text.find(close);
  ASSERT_TRUE(begin < end && end != std::string::npos) << text;
  std::string inner =
      text.substr(begin + open.size(), end - begin - open.size());
  std::string placeholder = "{{" + name + "}}";
  std::size_t at = inner.find(placeholder);
  ASSERT_NE(at, std::string::npos) << inner;
  inner.replace(at, placeholder.size(), value.value_or(""));
  text.replace(begin, end + close.size() - begin, value ? inner : "");
}

/// Parses the deployment template with these values of the optional bounds.
model::DispatchSettings
parseTemplate(const std::optional<std::string> &revokeMs,
              const std::optional<std::string> &revokeFailClosed) {
  std::ifstream in(std::string(ENDIVEDOOR_SOURCE_DIR) +
                   "/deploy/node.yaml.tmpl");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  const std::pair<const char *, const char *> values[] = {
      {"{{node}}", "edge-1"},
      {"{{zone}}", "a"},
      {"{{listen.front}}", "10.0.0.1:8161"},
      {"{{listen.ready}}", "10.0.0.1:8167"},
      {"{{ip}}", "10.0.0.1"},
      {"{{internal_ports.0}}", "7720"},
      {"{{platform.address}}", "10.0.0.7:8169"},
      {"{{limits.cpu_share}}", "0.25"},
      {"{{limits.link_mbps}}", "20"},
      {"{{bounds.hold_max_ms}}", "10000"},
      {"{{bounds.harm_ms}}", "4000"},
      {"{{bounds.grace_s}}", "6"},
      {"{{platform.ttl_min_ms}}", "1000"}};
  for (const auto &[from, to] : values)
    for (std::size_t at; (at = text.find(from)) != std::string::npos;)
      text.replace(at, std::string(from).size(), to);
  renderSection(text, "bounds.revoke_ms", revokeMs);
  renderSection(text, "bounds.revoke_fail_closed", revokeFailClosed);
  EXPECT_EQ(text.find("{{"), std::string::npos) << text;
  EXPECT_TRUE(model::isDispatchSettings(text));
  model::DispatchSettingsOutcome outcome =
      model::parseDispatchSettings("node.yaml", text);
  for (const model::Diagnostic &it : outcome.Diagnostics)
    ADD_FAILURE() << it.message();
  return outcome.Value;
}

TEST(DispatchSettings, DeploymentTemplate_IsValid) {
  model::DispatchSettings settings = parseTemplate("3000", "true");
  EXPECT_EQ(settings.MaxLease, 10s);
  EXPECT_EQ(settings.Cores, 0.25);
  EXPECT_EQ(settings.Metrics.Port, 7720);
  EXPECT_EQ(settings.RevokeTime, 3s);
  EXPECT_TRUE(settings.RevokeFailClosed);
}

// Installations without accounts have no such values; a line without a value
// would keep the daemon from starting.
TEST(DispatchSettings, DeploymentTemplateWithoutRevocation_HasDefaults) {
  model::DispatchSettings settings = parseTemplate({}, {});
  EXPECT_EQ(settings.RevokeTime, 5s);
  EXPECT_FALSE(settings.RevokeFailClosed);
  EXPECT_FALSE(parseTemplate("3000", "false").RevokeFailClosed);
}

TEST(DispatchSettings, InvalidRevocation_IsRejected) {
  for (const char *it : {"revokeTime: 0ms", "revokeTime: 2h",
                         "revokeTime: soon", "revokeTime: 5", "revokeTime: -5s",
                         "revokeTime:", "revokeFailClosed: 7",
                         "revokeFailClosed: maybe", "revokeFailClosed:",
                         "revokeFailClosed: [true]", "revokeClosed: true"}) {
    model::DispatchSettingsOutcome outcome = model::parseDispatchSettings(
        "f", "name: a\nbounds:\n  " + std::string(it) + "\n");
    bool reported = false;
    for (const auto &diagnostic : outcome.Diagnostics)
      reported =
          reported || diagnostic.Text.find("revoke") != std::string::npos;
    EXPECT_TRUE(reported) << it;
  }
}

TEST(DispatchSettings, AllErrors_AreReportedTogether) {
  model::DispatchSettingsOutcome outcome = model::parseDispatchSettings(
      "f", "name: a b\nzone: z\ninstallation: {store: x}\nwrong: 1\n");
  EXPECT_GE(outcome.Diagnostics.size(), 4u);
}

// NaN compares false with every bound; a node of NaN cores would rank neither
// before nor after any other for a shard.
TEST(DispatchSettings, ProcessorShareThatIsNoNumber_IsRejected) {
  for (const char *share : {".nan", ".inf", "-1", "0", "x"}) {
    model::DispatchSettingsOutcome outcome = model::parseDispatchSettings(
        "f", std::string("name: a\nprocessorShare: ") + share + "\n");
    bool reported = false;
    for (const auto &it : outcome.Diagnostics)
      reported =
          reported || it.Text.find("processorShare") != std::string::npos;
    EXPECT_TRUE(reported) << share;
  }
}

TEST(DispatchSettings, LinkRateThatIsNoRate_IsRejected) {
  for (const char *rate : {".nan", "0", "-2", "fast"}) {
    model::DispatchSettingsOutcome outcome = model::parseDispatchSettings(
        "f", std::string("name: a\nlinkMbps: ") + rate + "\n");
    bool reported = false;
    for (const auto &it : outcome.Diagnostics)
      reported = reported || it.Text.find("linkMbps") != std::string::npos;
    EXPECT_TRUE(reported) << rate;
  }
}

/// Connects the adapter's clients to an HTTP server whose responses each test
/// sets.
class InstallationAdapter : public testing::Test {
protected:
  InstallationAdapter()
      : Server(Io.get_executor(), options(),
               [this](HttpRequest r) -> boost::asio::awaitable<HttpResponse> {
                 Paths.push_back(r.Method + " " + r.Path);
                 Bodies.push_back(r.Body);
                 Headers = r.Headers;
                 co_return Respond(r);
               }),
        Http(Io.get_executor(), Time, platform::HttpLimits{}) {
    EXPECT_TRUE(Server.start().has_value());
    ServerAddress = {"127.0.0.1", Server.port()};
    Store = makeKvStore(Http, ServerAddress, Time, MetricsRegistry);
    WorkerClient = makeWorkerHttpClient(Http, Time, MetricsRegistry);
  }

  static platform::HttpServerOptions options() {
    platform::HttpServerOptions o;
    o.Listen = {"127.0.0.1", 0};
    return o;
  }

  template <typename T> T await(boost::asio::awaitable<T> operation) {
    std::optional<T> result;
    auto storeResult = [](boost::asio::awaitable<T> op, std::optional<T> &to)
        -> boost::asio::awaitable<void> { to.emplace(co_await std::move(op)); };
    boost::asio::co_spawn(Io, storeResult(std::move(operation), result),
                          boost::asio::detached);
    while (!result)
      Io.run_one();
    return *result;
  }

  boost::asio::io_context Io{1};
  base::SystemClock Time;
  dispatch::Metrics MetricsRegistry;
  platform::HttpServer Server;
  platform::HttpClient Http;
  model::Address ServerAddress;
  std::unique_ptr<dispatch::MetadataStore> Store;
  std::unique_ptr<dispatch::TaskWorker> WorkerClient;
  std::function<HttpResponse(const HttpRequest &)> Respond;
  std::vector<std::string> Paths, Bodies;
  platform::HttpHeaders Headers;
};

TEST_F(InstallationAdapter, StoreRefusals_MeanNoEffect) {
  for (unsigned status : {429u, 503u}) {
    Respond = [&](const HttpRequest &) { return HttpResponse{status, {}, ""}; };
    auto outcome = await(Store->commit({{}, {{"k", "v"}}, {}}));
    ASSERT_FALSE(outcome.has_value());
    EXPECT_EQ(outcome.error().Code, Errc::StoreUnavailable);
  }
}

// A request whose connection ends without a response may have taken effect.
TEST_F(InstallationAdapter, MissingResponse_IsUnknownOutcome) {
  Respond = [](const HttpRequest &) { return HttpResponse{0, {}, ""}; };
  auto outcome = await(Store->commit({{}, {{"k", "v"}}, {}}));
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().Code, Errc::StoreAnswerLost);
}

TEST_F(InstallationAdapter, ConflictingCommit_ReturnsCurrentItems) {
  Respond = [](const HttpRequest &) {
    return HttpResponse{
        412, {}, R"({"items":[{"key":"k","value":"bm9kZS0x","revision":9}]})"};
  };
  auto outcome = await(Store->commit({{{"k", 0}}, {{"k", "v"}}, {}}));
  ASSERT_TRUE(outcome.has_value());
  EXPECT_FALSE(outcome.value().Applied);
  EXPECT_EQ(outcome.value().CurrentItems[0].Value, "node-1");
  EXPECT_NE(Bodies[0].find("\"value\":\"dg==\""), std::string::npos);
}

TEST_F(InstallationAdapter, Listing_ReadsAllPagesFromTheFirstRevision) {
  Respond = [](const HttpRequest &r) {
    bool first = r.Path.find("after") == std::string::npos;
    return HttpResponse{
        200,
        {},
        first
            ? R"({"items":[{"key":"a","value":"","revision":1}],"has_more":true,"as_of":5})"
            : R"({"items":[{"key":"b","value":"","revision":6}],"as_of":8})"};
  };
  auto list = await(Store->list("p/"));
  ASSERT_TRUE(list.has_value());
  EXPECT_EQ(list.value().Items.size(), 2u);
  EXPECT_EQ(list.value().AsOf, 5);
}

TEST_F(InstallationAdapter, Watch_ReportsLostHistoryAndDeletes) {
  Respond = [](const HttpRequest &) { return HttpResponse{410, {}, ""}; };
  auto lost = await(Store->watch("p/", 3, 10ms));
  ASSERT_TRUE(lost.has_value());
  EXPECT_TRUE(lost.value().HistoryLost);
  Respond = [](const HttpRequest &) {
    return HttpResponse{
        200,
        {},
        R"({"events":[{"key":"k","revision":4,"deleted":true}],"as_of":4})"};
  };
  auto changes = await(Store->watch("p/", 3, 10ms));
  ASSERT_TRUE(changes.has_value());
  EXPECT_TRUE(changes.value().List[0].Deleted);
}

// One value that cannot be read failed the whole answer; the same call failed
// again for ever, and no other entry was followed.
TEST_F(InstallationAdapter, UnreadableValue_DoesNotHideTheOtherItems) {
  for (const char *value : {"\"!\"", "\"a\"", "null", "7", "[\"dg==\"]"}) {
    std::string rows = R"([{"key":"p/a","value":"dg==","revision":1},)"
                       R"({"key":"p/b","revision":2,"value":)" +
                       std::string(value) +
                       R"(},{"key":"p/c","value":"dg==","revision":3}])";
    Respond = [&](const HttpRequest &r) {
      bool list = r.Path.find("kv-range") != std::string::npos;
      return HttpResponse{200,
                          {},
                          R"({"as_of":3,")" +
                              std::string(list ? "items" : "events") +
                              "\":" + rows + "}"};
    };
    auto listing = await(Store->list("p/"));
    auto changes = await(Store->watch("p/", 0, 10ms));
    ASSERT_TRUE(listing.has_value()) << value;
    ASSERT_TRUE(changes.has_value()) << value;
    ASSERT_EQ(listing.value().Items.size(), 3u);
    ASSERT_EQ(changes.value().List.size(), 3u);
    for (const dispatch::StoredItem &it :
         {listing.value().Items[1], changes.value().List[1].Item}) {
      EXPECT_EQ(it.Key, "p/b");
      EXPECT_EQ(it.Value, "") << value;
      EXPECT_EQ(it.Revision, 2);
    }
    EXPECT_EQ(changes.value().List[2].Item.Value, "v");
    EXPECT_EQ(changes.value().AsOf, 3);
  }
}

TEST_F(InstallationAdapter, Poll_DecodesRunsAndSendsExpectedInstance) {
  Respond = [](const HttpRequest &) {
    return HttpResponse{
        200,
        {},
        R"({"clock_ms":4821,"born":77,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,900]],
            "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"};
  };
  auto report = await(
      WorkerClient->poll({base::WorkerId("i-1"), ServerAddress}, {}, 500ms));
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report.value().Clock, 4821ms);
  EXPECT_EQ(report.value().Running[0].Gauge, 900);
  EXPECT_EQ(report.value().Ended[0].Outcome, dispatch::RunOutcome::Done);
  EXPECT_EQ(platform::findHeader(Headers, "Expect-Instance"), "i-1");
}

// A worker that restarted between two polls was told the last end of its
// earlier incarnation and discarded as many of the new one unread.
TEST_F(InstallationAdapter, Poll_AcknowledgesNothingToALaterIncarnation) {
  Respond = [](const HttpRequest &) {
    return HttpResponse{200, {}, R"({"clock_ms":1,"born":77})"};
  };
  auto acknowledged = [&](base::TimePoint seenAt) {
    dispatch::PollRequest request;
    request.AcknowledgedEnd = 58;
    request.IncarnationSeenAt = seenAt;
    auto report = await(WorkerClient->poll(
        {base::WorkerId("i-1"), ServerAddress}, request, 500ms));
    EXPECT_TRUE(report);
    json::value body = parseBody(Bodies.back()).value();
    std::int64_t sent = Fields(&body).number("last_seen");
    EXPECT_EQ(report.value().AcknowledgedEnd, sent);
    return sent;
  };
  base::TimePoint before = Time.now();
  // A new connection may lead to a later incarnation, and so may one that was
  // opened after the latest answer.
  EXPECT_EQ(acknowledged(before), 0);
  EXPECT_EQ(acknowledged(before), 0);
  EXPECT_EQ(acknowledged(Time.now()), 58);
  Http.closeIdle(ServerAddress);
  EXPECT_EQ(acknowledged(Time.now()), 0);
}

// An invalid row made the whole answer fail, so that its worker counted as
// silent and its tasks were started again.
TEST_F(InstallationAdapter, Poll_SkipsInvalidRows) {
  std::string running;
  Respond = [&](const HttpRequest &) {
    return HttpResponse{
        200,
        {},
        R"({"clock_ms":4821,"born":77,"running":[["5c0e7a21d94b36f8.0.1.17",2],)" +
            running +
            R"(],"ended":[7,["x"],[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
            [59,"5c0e7a21d94b36f8.0.1.8",1,"melted",""],
            [60,"foreign",1,"done",""],null,[62]]})"};
  };
  // The second field tells whether the row may be a run of this project.
  const std::pair<const char *, bool> rows[] = {
      {R"(["foreign",1])", false},
      {R"(["5c0e7a21d94b36f8.0.1.3","x"])", true},
      {R"(["5c0e7a21d94b36f8.0.1.3"])", true},
      {"[]", true},
      {"null", true},
      {"[7,7]", true}};
  for (const auto &[row, isAmbiguous] : rows) {
    running = row;
    auto report = await(
        WorkerClient->poll({base::WorkerId("i-1"), ServerAddress}, {}, 500ms));
    ASSERT_TRUE(report.has_value()) << row;
    EXPECT_EQ(report.value().Running.size(), 1u);
    ASSERT_EQ(report.value().Ended.size(), 1u);
    EXPECT_EQ(report.value().Ended[0].SequenceNumber, 58);
    EXPECT_EQ(report.value().UnreadableEnds,
              (std::vector<std::int64_t>{56, 57, 59, 61, 62}));
    EXPECT_EQ(report.value().InvalidRow, row);
    EXPECT_EQ(report.value().RunningIncomplete, isAmbiguous) << row;
  }
}

// Without any readable number the rows follow what has been acknowledged.
TEST_F(InstallationAdapter, Poll_NumbersUnreadableEndsFromTheAcknowledged) {
  Respond = [](const HttpRequest &) {
    return HttpResponse{
        200, {}, R"({"clock_ms":4821,"born":77,"ended":[null,{}]})"};
  };
  dispatch::PollRequest request;
  request.ForgottenEnd = 4;
  auto report = await(WorkerClient->poll({base::WorkerId("i-1"), ServerAddress},
                                         request, 500ms));
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report.value().UnreadableEnds, (std::vector<std::int64_t>{5, 6}));
}

// A start counted as refused after an error from between, such as 504, and the
// task started elsewhere while the worker carried it out.
TEST_F(InstallationAdapter, Start_UndefinedStatusIsALostAnswer) {
  unsigned status = 0;
  Respond = [&](const HttpRequest &) { return HttpResponse{status, {}, ""}; };
  for (unsigned it : {204u, 404u, 500u, 502u, 504u}) {
    status = it;
    auto result = await(
        WorkerClient->start({base::WorkerId("i-1"), ServerAddress}, {}, 500ms));
    ASSERT_FALSE(result.has_value()) << it;
    EXPECT_EQ(result.error().Code, base::Errc::WorkerAnswerLost) << it;
  }
  for (unsigned it : {400u, 409u, 429u, 503u}) {
    status = it;
    EXPECT_TRUE(await(WorkerClient->start(
                          {base::WorkerId("i-1"), ServerAddress}, {}, 500ms))
                    .has_value())
        << it;
  }
}

TEST_F(InstallationAdapter, Start_ReportsWhyItWasRejected) {
  using dispatch::CommandResult;
  const std::pair<const char *, CommandResult> reasons[] = {
      {"fence", CommandResult::Fenced},
      {"old", CommandResult::StaleRun},
      {"late", CommandResult::DeadlinePassed},
      {"room", CommandResult::NoCapacity},
      {"ticket", CommandResult::NoTicket}};
  for (const auto &it : reasons) {
    const char *reason = it.first;
    CommandResult expected = it.second;
    Respond = [&](const HttpRequest &) {
      return HttpResponse{
          409, {}, std::string("{\"reason\":\"") + reason + "\"}"};
    };
    auto answer = await(
        WorkerClient->start({base::WorkerId("i-1"), ServerAddress}, {}, 500ms));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer.value(), expected);
  }
  Respond = [](const HttpRequest &) { return HttpResponse{421, {}, ""}; };
  EXPECT_EQ(await(WorkerClient->start({base::WorkerId("i-1"), ServerAddress},
                                      {}, 500ms))
                .value(),
            CommandResult::WrongIncarnation);
}

} // namespace
