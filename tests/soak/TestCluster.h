/// \file
/// Test installation for the soak test: real daemons behind a fault proxy, and
/// stand-ins for the users' store and workers.
#ifndef ENDIVEDOOR_TESTS_SOAK_TESTCLUSTER_H
#define ENDIVEDOOR_TESTS_SOAK_TESTCLUSTER_H

#include "harness/Process.h"
#include "standins/installation/InvariantChecker.h"
#include "standins/installation/KeyValueStore.h"
#include "standins/installation/WorkerServer.h"

#include "endivedoor/platform/HttpClient.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endivedoor::soak {

namespace asio = boost::asio;
using standin::Awaitable;
using standin::sleepFor;

struct TestClusterOptions {
  std::uint64_t Seed = 1;
  int BasePort = 21000;
  int DaemonCount = 4;
  int WorkerCount = 12;
  /// Folder for the settings and logs of the processes.
  std::string Folder;
};

/// One daemon process and its state in the soak test.
struct DaemonSlot {
  std::string Name;
  model::Address CallerAddress;
  std::unique_ptr<harness::Process> Process;
  base::TimePoint StartedAt;
  /// An active fault controls the process, which may be down.
  bool HeldByFault = false;
};

/// Not thread-safe: used only on the thread of its io_context.
class TestCluster {
public:
  TestCluster(asio::io_context &io, const base::Clock &clock,
              TestClusterOptions options);

  void startDaemon(DaemonSlot &slot);
  /// Replaces the fault settings of a proxy link, or of all links with a prefix
  /// ("x*").
  Awaitable<void> configureLink(std::string name, std::string settings);
  /// A worker crashes for good; its address never answers again.
  Awaitable<void> loseWorker(std::size_t number);
  /// Names of the daemons that own shards whose rosters list the worker.
  std::set<std::string> ownersOf(std::size_t worker) const;
  void publishConfiguration();
  /// Clears the faults of all stand-ins and returns all zones to service. The
  /// caller resets the proxy links.
  void clearFaults();
  /// Restarts daemons that exited on their own since the last call. Returns
  /// their names and exit statuses.
  std::vector<std::string> restartCrashed();

  standin::KeyValueStore Store;
  standin::InvariantChecker Checker;
  std::vector<DaemonSlot> Daemons;
  std::vector<std::unique_ptr<standin::WorkerServer>> Workers;

private:
  Awaitable<void> sendLinkSettings(std::string name, std::string settings);
  std::string address(int offset) const;

  asio::io_context &Io;
  const base::Clock &Time;
  TestClusterOptions Options;
  platform::HttpClient Admin;
  std::unique_ptr<platform::HttpServer> StoreServer;
  std::unique_ptr<harness::Process> Proxy;
  std::int64_t ConfigVersion = 0;
};

/// Capacity of each worker.
constexpr base::Resources WorkerSize{.Cpu = base::MilliCores{8000},
                                     .Memory = base::MebiBytes{16000}};
/// Host name that callers use, and the path prefixes of the queues.
extern const char *const QueueHost;
extern const char *const ShortQueue;
extern const char *const LongQueue;
/// Number of failed runs of one task after which a job of these queues fails.
constexpr std::int32_t MaxAttempts = 3;

} // namespace endivedoor::soak

#endif
