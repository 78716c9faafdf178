// Measures what an entry host adds to a request: latency at a fixed rate, the
// largest rate, and memory over many requests. Everything runs in this process
// on loopback.
#include "Load.h"

#include "endivedoor/platform/MemoryStore.h"
#include "endivedoor/server/Server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <unistd.h>

ABSL_FLAG(std::string, mode, "latency", "latency, rate or memory");
ABSL_FLAG(double, rate, 5000, "requests a second of the mode latency");
ABSL_FLAG(int, seconds, 5, "length of each round of the mode latency");
ABSL_FLAG(int, rounds, 5, "rounds of the modes latency and rate");
ABSL_FLAG(std::uint64_t, requests, 1000000, "requests of the other modes");
ABSL_FLAG(int, traffic_threads, 2, "traffic threads of the entry host");
ABSL_FLAG(int, targets, 4, "workers with a target");
ABSL_FLAG(int, entry_hosts, 8, "entry hosts that share 64 connections");
ABSL_FLAG(int, senders, 2, "threads that send in the modes rate and memory");
ABSL_FLAG(int, connections, 16, "connections of each sending thread");

namespace endivedoor::bench {

namespace asio = boost::asio;
using platform::HttpRequest;
using platform::HttpResponse;

/// Runs an io_context on its own thread until the process ends.
struct Runner {
  asio::io_context Io{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Io.get_executor()};
  void start() {
    std::thread([this] { Io.run(); }).detach();
  }
};

/// Control API stub without jobs.
struct ControlStub : control::ControlApi {
  control::Configuration Config;
  base::Error None{base::Errc::JobUnknown, ""};
  platform::Async<base::JobId> admit(model::JobSpec) override {
    co_return base::fail(None.Code, "");
  }
  platform::Async<void> cancel(base::JobId) override {
    co_return base::fail(None.Code, "");
  }
  base::Result<control::JobStatus> job(const base::JobId &) const override {
    return base::fail(None.Code, "");
  }
  base::Result<std::vector<control::JobStatus>> jobs() const override {
    return std::vector<control::JobStatus>();
  }
  const control::Configuration &configuration() const override {
    return Config;
  }
  platform::Async<control::ChangeOutcome> putRules(std::string, std::uint64_t,
                                                   std::string) override {
    co_return base::fail(None.Code, "");
  }
  platform::Async<control::ChangeOutcome> setZoneOut(base::ZoneId, bool,
                                                     std::string) override {
    co_return base::fail(None.Code, "");
  }
  void offerConfiguration(const control::Configuration &) override {}
  std::vector<control::ZoneState> zones() const override { return {}; }
  std::vector<control::WorkerState> workers() const override { return {}; }
};

static asio::awaitable<HttpResponse> echo(HttpRequest request) {
  HttpResponse response;
  response.Headers = {{"X-Request-Id", std::string(platform::findHeader(
                                           request.Headers, "X-Request-Id"))}};
  response.Body = std::move(request.Body);
  co_return response;
}

/// Targets and one entry host. Never destroyed, because its threads keep
/// running until the process exits.
struct BenchmarkSetup {
  base::SystemClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events{"bench", Hybrid, 16};
  model::Settings Config;
  Runner ControlSide;
  platform::MemoryStore Store{Time};
  platform::HttpClient Client{ControlSide.Io.get_executor(), Time, {}};
  ControlStub Control;
  server::RouteTableHolder Routes;
  server::ConnectionShare Share;
  server::RetryBudget Retries{Time};
  server::Metrics Totals;
  server::Bookings Booking{ControlSide.Io.get_executor(), Store, Time, Events,
                           base::InstanceId("bench"),     1};
  server::JobEndpoints Jobs{Control, Client, Time, std::chrono::seconds(1)};
  std::vector<std::unique_ptr<Runner>> Runners;
  std::vector<std::unique_ptr<platform::HttpServer>> Servers;
  std::vector<std::unique_ptr<server::CallerServer>> Callers;
  model::Address Direct{"127.0.0.1", 0};
  model::Address Proxied{"127.0.0.1", 0};

  BenchmarkSetup() : Share(absl::GetFlag(FLAGS_entry_hosts)) {
    Config.TrafficThreads = absl::GetFlag(FLAGS_traffic_threads);
    startTargets();
    startCallers();
    for (std::unique_ptr<Runner> &it : Runners)
      it->start();
    ControlSide.start();
  }

  void startTargets() {
    server::TargetList targets;
    for (int i = 0; i < absl::GetFlag(FLAGS_targets); ++i) {
      Runners.push_back(std::make_unique<Runner>());
      platform::HttpServerOptions options;
      options.Listen = Direct;
      options.Listen.Port = 0;
      Servers.push_back(std::make_unique<platform::HttpServer>(
          Runners.back()->Io.get_executor(), options, echo));
      Servers.back()->start().value();
      model::Address at{"127.0.0.1", Servers.back()->port()};
      Share.setCapacity(at, 64);
      targets.push_back(std::make_shared<server::Target>(
          base::ServiceName("orders"), base::WorkerId(at.str()),
          base::ZoneId("a"), at, Share.findOrCreate(at)->Limit.load()));
      Direct = at;
    }
    Routes.publish(std::make_shared<server::RouteTable>(
        targets, base::ZoneId("a"), std::vector<base::ZoneId>()));
  }

  void startCallers() {
    server::TrafficContext context{Config,
                                   Time,
                                   Routes,
                                   Share,
                                   Retries,
                                   Totals,
                                   ControlSide.Io.get_executor(),
                                   Booking,
                                   Jobs};
    for (int i = 0; i < Config.TrafficThreads; ++i) {
      Runners.push_back(std::make_unique<Runner>());
      Callers.push_back(std::make_unique<server::CallerServer>(
          Runners.back()->Io.get_executor(), context, Proxied,
          static_cast<std::uint64_t>(i) + 1));
      Callers.back()->start().value();
      Proxied.Port = Callers.back()->port();
    }
  }
};

/// Returns the resident memory of this process in KiB.
static long residentKib() {
  std::ifstream in("/proc/self/statm");
  long total = 0, resident = 0;
  in >> total >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

/// Detects the longest interval in which this process was not scheduled,
/// because such a pause of the host invalidates a round.
class PauseWatch {
public:
  PauseWatch() {
    std::thread([this] {
      auto last = std::chrono::steady_clock::now();
      while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        auto now = std::chrono::steady_clock::now();
        float took =
            std::chrono::duration<float, std::milli>(now - last).count();
        if (took > Longest)
          Longest = took;
        last = now;
      }
    }).detach();
  }
  /// Returns the longest pause since the last call, in milliseconds.
  float take() { return Longest.exchange(0); }

private:
  std::atomic<float> Longest{0};
};

static void measureLatency(BenchmarkSetup &bench) {
  auto *watch = new PauseWatch();
  constexpr double quantiles[] = {0.5, 0.99, 0.999};
  std::chrono::milliseconds time(1000 * absl::GetFlag(FLAGS_seconds));
  double rate = absl::GetFlag(FLAGS_rate);
  runOpenLoop(bench.Proxied, rate, std::chrono::milliseconds(500));
  std::printf("round  p50 direct/proxied/added  p99  p99.9 (microseconds)\n");
  for (int round = 1; round <= absl::GetFlag(FLAGS_rounds); ++round) {
    watch->take();
    LoadResult direct = runOpenLoop(bench.Direct, rate, time);
    float directPause = watch->take();
    LoadResult proxied = runOpenLoop(bench.Proxied, rate, time);
    std::printf("%d", round);
    for (double q : quantiles) {
      double d = direct.quantile(q), p = proxied.quantile(q);
      std::printf("  %.0f/%.0f/%.0f", d, p, p - d);
    }
    std::printf(
        "  failures %llu/%llu, %.0f requests a second, longest pause of "
        "an idle thread %.1f/%.1f ms\n",
        static_cast<unsigned long long>(direct.Failures),
        static_cast<unsigned long long>(proxied.Failures), proxied.perSecond(),
        directPause, watch->take());
  }
}

static void measureRate(BenchmarkSetup &bench) {
  for (int round = 1; round <= absl::GetFlag(FLAGS_rounds); ++round)
    for (const model::Address &to : {bench.Direct, bench.Proxied}) {
      LoadResult it = runClosedLoop(to, absl::GetFlag(FLAGS_senders),
                                    absl::GetFlag(FLAGS_connections),
                                    absl::GetFlag(FLAGS_requests));
      std::printf("round %d %s: %.0f requests a second, p99 %.0f us, "
                  "failures %llu\n",
                  round, to == bench.Direct ? "direct" : "proxied",
                  it.perSecond(), it.quantile(0.99),
                  static_cast<unsigned long long>(it.Failures));
    }
}

/// \returns whether the memory grew by less than 1 MiB after the first tenth.
static bool measureMemory(BenchmarkSetup &bench) {
  long base = 0, last = 0;
  auto report = [&](int percent) {
    if (percent % 10 != 0)
      return;
    last = residentKib();
    if (percent == 10)
      base = last;
    std::printf("%d%%: %ld KiB\n", percent, last);
  };
  // The times are stored in pages that are touched only as they are written.
  std::uint64_t requests = absl::GetFlag(FLAGS_requests);
  auto stored = static_cast<long>(requests * sizeof(float) * 9 / 10 / 1024);
  runClosedLoop(bench.Proxied, absl::GetFlag(FLAGS_senders),
                absl::GetFlag(FLAGS_connections), requests, report);
  std::printf("growth after the first tenth: %ld KiB, of which %ld KiB are the "
              "benchmark's own times\n",
              last - base, stored);
  return last - base - stored < 1024;
}

static int run() {
  auto *bench = new BenchmarkSetup();
  std::string mode = absl::GetFlag(FLAGS_mode);
  if (mode == "latency")
    measureLatency(*bench);
  else if (mode == "rate")
    measureRate(*bench);
  else if (mode == "memory")
    return measureMemory(*bench) ? 0 : 1;
  else
    return 2;
  return 0;
}

} // namespace endivedoor::bench

int main(int argc, char **argv) {
  absl::SetProgramUsageMessage(
      "measures what an entry host adds to a request\n\nExamples:\n"
      "  bench-proxy --mode latency --rate 5000\n"
      "  bench-proxy --mode memory --requests 1000000\n");
  absl::ParseCommandLine(argc, argv);
  int status = endivedoor::bench::run();
  std::fflush(stdout);
  // Ends without destructors, because the servers' threads still run.
  std::_Exit(status);
}
