/// \file
/// An installation for the soak: real daemons behind a fault proxy, and
/// stand-ins of the users' store and workers.
#ifndef ENDIVEDOOR_TESTS_SOAK_PLANT_H
#define ENDIVEDOOR_TESTS_SOAK_PLANT_H

#include "harness/Process.h"
#include "standins/installation/KeyValues.h"
#include "standins/installation/Ledger.h"
#include "standins/installation/TaskHost.h"

#include "endivedoor/platform/HttpClient.h"

#include <memory>
#include <string>
#include <vector>

namespace endivedoor::soak {

namespace asio = boost::asio;
using standin::Awaitable;
using standin::pause;

struct PlantOptions {
  std::uint64_t Seed = 1;
  int BasePort = 21000;
  int Daemons = 4;
  int Workers = 12;
  /// Folder for the settings and logs of the processes.
  std::string Folder;
};

/// One daemon and what the soak is doing to it.
struct DaemonSlot {
  std::string Name;
  model::Address Callers;
  std::unique_ptr<harness::Process> Running;
  /// A fault owns the process, which may be down.
  bool Taken = false;
};

/// Belongs to the thread of its io_context.
class Plant {
public:
  Plant(asio::io_context &io, const base::Clock &clock, PlantOptions options);

  void startDaemon(DaemonSlot &slot);
  /// Replaces the settings of a link, or of all with a prefix ("x*").
  Awaitable<void> harmLink(std::string name, std::string settings);
  void configure();
  /// Ends every fault of stand-ins and starts what is down; links are healed
  /// by the caller.
  void heal();
  /// Returns the names and exit statuses of daemons that ended by themselves
  /// since the last call, and starts them again.
  std::vector<std::string> takeCrashed();

  standin::KeyValues Store;
  standin::Ledger Book;
  std::vector<DaemonSlot> Daemons;
  std::vector<std::unique_ptr<standin::TaskHost>> Workers;

private:
  std::string address(int offset) const;

  asio::io_context &Io;
  PlantOptions Options;
  platform::HttpClient Admin;
  std::unique_ptr<platform::HttpServer> StoreServer;
  std::unique_ptr<harness::Process> Proxy;
  std::int64_t Version = 0;
};

/// Host that callers name, and the paths of the queues.
extern const char *const QueueHost;
extern const char *const ShortQueue;
extern const char *const LongQueue;
/// Failed runs of one task after which a job of these queues fails.
constexpr std::int32_t MaxAttempts = 3;

} // namespace endivedoor::soak

#endif
