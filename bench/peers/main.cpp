// Compares three configuration distribution modes by bytes per second and
// processor time per daemon, and by the time until a change is in force on all
// daemons. Each mode runs without changes first; the difference is scaled to
// the given number of changes per day.
#include "Fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>

#include <cstdio>
#include <sys/resource.h>

ABSL_FLAG(std::vector<std::string>, nodes,
          (std::vector<std::string>{"8", "24", "72"}), "numbers of daemons");
ABSL_FLAG(std::vector<std::string>, ways,
          (std::vector<std::string>{"poll", "relay", "push"}),
          "poll, relay, push");
ABSL_FLAG(int, seconds, 20, "length of each of the two runs");
ABSL_FLAG(int, interval_ms, 1500, "time between changes in the loaded run");
ABSL_FLAG(int, document_bytes, 24000, "size of the rules text");
ABSL_FLAG(int, changes_a_day, 4000, "changes that the figures are scaled to");
ABSL_FLAG(int, seed, 20261204, "seed of the choice of accepting daemons");

using namespace endivedoor::bench;

namespace {

/// Cost of one run per daemon and second.
struct Rates {
  double Heartbeat = 0, Config = 0, Store = 0, Calls = 0, Processor = 0;
};

Rates ratesOf(const Totals &before, const Totals &after, double seconds,
              double nodes) {
  double n = seconds * nodes;
  auto rate = [&](std::uint64_t a, std::uint64_t b) {
    return static_cast<double>(b - a) / n;
  };
  return {rate(before.HeartbeatBytes, after.HeartbeatBytes),
          rate(before.ConfigBytes, after.ConfigBytes),
          rate(before.StoreBytes, after.StoreBytes),
          rate(before.StoreCalls, after.StoreCalls) * nodes,
          (after.ProcessorSeconds - before.ProcessorSeconds) / n};
}

/// Returns the rate at the wanted load, from those without and with changes.
double scaled(double idle, double loaded, double factor) {
  return idle + (loaded - idle) * factor;
}

bool measure(const std::string &name, std::size_t nodes) {
  DistributionMode mode = name == "poll"    ? DistributionMode::PollAll
                          : name == "relay" ? DistributionMode::PollRelay
                                            : DistributionMode::Push;
  std::size_t zones = nodes <= 24 ? 3 : 9;
  Fleet fleet(mode, nodes, zones,
              static_cast<std::size_t>(absl::GetFlag(FLAGS_document_bytes)),
              static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
  if (!fleet.start()) {
    std::printf("%-6s %5zu  the daemons did not start\n", name.c_str(), nodes);
    return false;
  }
  std::chrono::seconds time(absl::GetFlag(FLAGS_seconds));
  std::chrono::milliseconds interval(absl::GetFlag(FLAGS_interval_ms));
  auto seconds = static_cast<double>(time.count());
  Totals start = fleet.totals();
  fleet.run(time, {});
  Totals idle = fleet.totals();
  fleet.run(time, interval);
  Totals loaded = fleet.totals();
  fleet.drain();
  auto n = static_cast<double>(nodes);
  Rates a = ratesOf(start, idle, seconds, n);
  Rates b = ratesOf(idle, loaded, seconds, n);
  double factor = absl::GetFlag(FLAGS_changes_a_day) / 86400.0 /
                  (static_cast<double>(fleet.changes()) / seconds);
  std::vector<double> spread = fleet.propagationSeconds();
  auto at = [&](double share) {
    return spread.empty()
               ? -1.0
               : spread[static_cast<std::size_t>(
                     share * static_cast<double>(spread.size() - 1))];
  };
  std::printf("%-6s %5zu %9.0f %8.0f %8.0f %8.0f %8.1f %8.3f %8.3f %8.3f "
              "%7.3f %4zu/%zu\n",
              name.c_str(), nodes, b.Heartbeat,
              scaled(a.Config, b.Config, factor),
              scaled(a.Store, b.Store, factor),
              b.Heartbeat + scaled(a.Config, b.Config, factor) +
                  scaled(a.Store, b.Store, factor),
              scaled(a.Calls, b.Calls, factor),
              100 * scaled(a.Processor, b.Processor, factor), 100 * b.Processor,
              at(0.5), at(1), spread.size(), fleet.changes());
  std::fflush(stdout);
  return true;
}

/// 72 daemons in one process need about 15,000 descriptors.
void raiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;
  raiseDescriptorLimit();
  std::printf("Bytes a second and daemon, without TCP/IP headers: heartbeats "
              "and configurations sent, store calls sent and received.\n"
              "core%%: processor time a daemon at %d changes a day, then "
              "during the loaded run.\n",
              absl::GetFlag(FLAGS_changes_a_day));
  std::printf("%-6s %5s %9s %8s %8s %8s %8s %8s %8s %8s %7s %s\n", "way",
              "nodes", "heartbeat", "config", "store", "all", "calls/s",
              "core%", "loaded%", "p50 s", "max s", "changes");
  bool ok = true;
  for (const std::string &nodes : absl::GetFlag(FLAGS_nodes))
    for (const std::string &way : absl::GetFlag(FLAGS_ways))
      ok = measure(way, std::stoul(nodes)) && ok;
  return ok ? 0 : 1;
}
