// Simulated workers: one process serves several workers on consecutive ports.
#include "Worker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

ABSL_FLAG(std::string, listen, "127.0.0.1:24000",
          "ip:port of the first worker; the others follow");
ABSL_FLAG(int, count, 1, "number of workers");
ABSL_FLAG(std::string, name, "w", "names are NAME-1 to NAME-COUNT");
ABSL_FLAG(std::string, zone, "zone-a", "zone of all workers");
ABSL_FLAG(int, rack_size, 8, "workers of each rack");
ABSL_FLAG(int, slots, 8, "slots of each worker");
ABSL_FLAG(int, connections, 64, "connections of each worker");
ABSL_FLAG(int, milli_cores, 32000, "thousandths of a core of each worker");
ABSL_FLAG(int, memory_mb, 128000, "mebibytes of memory of each worker");
ABSL_FLAG(int, accelerators, 0, "accelerators of each worker");
ABSL_FLAG(absl::Duration, usage_delay, absl::Seconds(3),
          "age of a measurement when it is reported");
ABSL_FLAG(absl::Duration, usage_interval, absl::Seconds(1),
          "time between measurements");
ABSL_FLAG(absl::Duration, task_lease, absl::Seconds(30),
          "task lease before the first renewal");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of failures and service times");
ABSL_FLAG(std::string, log, "", "file for a JSON line of each event");
ABSL_FLAG(std::string, write_hosts, "",
          "file to write the workers to, for standin-hostlist --file");

namespace endivedoor::standin {

/// A worker and its listening socket.
struct WorkerEndpoint {
  model::Address Listen;
  std::unique_ptr<Worker> Machine;
  std::unique_ptr<platform::HttpServer> Server;

  void open(asio::io_context &io) {
    Worker *worker = Machine.get();
    Server = startServerOrExit(io, Listen, [worker](HttpRequest request) {
      return worker->handle(std::move(request));
    });
  }
};

static WorkerOptions optionsOf(int i) {
  WorkerOptions o;
  o.Name = absl::GetFlag(FLAGS_name) + "-" + std::to_string(i + 1);
  o.Zone = absl::GetFlag(FLAGS_zone);
  o.Rack =
      o.Zone + "-r" + std::to_string(i / absl::GetFlag(FLAGS_rack_size) + 1);
  o.Capacity = {absl::GetFlag(FLAGS_slots), absl::GetFlag(FLAGS_connections),
                base::MilliCores{absl::GetFlag(FLAGS_milli_cores)},
                base::MebiBytes{absl::GetFlag(FLAGS_memory_mb)},
                absl::GetFlag(FLAGS_accelerators)};
  o.UsageDelay = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_usage_delay));
  o.UsageInterval =
      absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_usage_interval));
  o.TaskLease = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_task_lease));
  o.Seed = absl::GetFlag(FLAGS_seed) * 1'000'003 + static_cast<unsigned>(i);
  return o;
}

static void writeHosts(const std::vector<WorkerEndpoint> &hosts,
                       const std::string &path) {
  json::array list;
  for (const WorkerEndpoint &it : hosts) {
    const WorkerOptions &o = it.Machine->options();
    list.push_back(json::object{{"name", o.Name},
                                {"zone", o.Zone},
                                {"rack", o.Rack},
                                {"address", it.Listen.str()},
                                {"state", "live"}});
  }
  json::object file;
  file["hosts"] = std::move(list);
  std::ofstream(path) << json::serialize(file) << "\n";
}

/// Advances all workers every 5 ms, which is the resolution of run times and
/// leases.
static Awaitable<void> tickLoop(asio::io_context &io,
                                std::vector<WorkerEndpoint> &hosts) {
  asio::steady_timer timer(io);
  while (true) {
    timer.expires_after(std::chrono::milliseconds(5));
    co_await timer.async_wait(asio::use_awaitable);
    for (WorkerEndpoint &it : hosts) {
      it.Machine->tick();
      if (it.Server)
        it.Machine->recordConnections(it.Server->openConnections());
      if (it.Machine->wantsRestart()) {
        it.Machine->restart();
        it.open(io);
      } else if (it.Machine->isDead()) {
        it.Server.reset();
      }
    }
  }
}

} // namespace endivedoor::standin

int main(int argc, char **argv) {
  using namespace endivedoor;
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  base::SystemClock clock;
  standin::JsonLog log(absl::GetFlag(FLAGS_log), clock);
  model::Address first = standin::parseAddress(absl::GetFlag(FLAGS_listen));
  std::vector<standin::WorkerEndpoint> hosts;
  for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
    standin::WorkerEndpoint host;
    host.Listen = first;
    host.Listen.Port = static_cast<std::uint16_t>(first.Port + i);
    host.Machine =
        std::make_unique<standin::Worker>(standin::optionsOf(i), clock, log);
    host.open(io);
    hosts.push_back(std::move(host));
  }
  if (std::string path = absl::GetFlag(FLAGS_write_hosts); !path.empty())
    standin::writeHosts(hosts, path);
  boost::asio::co_spawn(io, standin::tickLoop(io, hosts),
                        boost::asio::detached);
  standin::runUntilSignal(io, first);
}
