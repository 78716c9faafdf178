/// \file
/// Faults of the soak, in series and overlapping, from a seed.
#ifndef ENDIVEDOOR_TESTS_SOAK_INJECTOR_H
#define ENDIVEDOOR_TESTS_SOAK_INJECTOR_H

#include "Plant.h"

#include <map>
#include <random>
#include <vector>

namespace endivedoor::soak {

/// Belongs to the thread of its io_context.
class Injector {
public:
  Injector(asio::io_context &io, const base::Clock &clock, Plant &plant,
           std::uint64_t seed);

  /// Begins a fault every now and then until \p end, then waits for the last
  /// one to be over.
  Awaitable<void> runUntil(base::TimePoint end);
  /// Number of faults by kind.
  const std::map<std::string, int> &injected() const { return Injected; }

private:
  struct Kind {
    const char *Name;
    Awaitable<void> (Injector::*Run)();
  };
  static const std::vector<Kind> Kinds;

  Awaitable<void> inject(Kind kind);
  Awaitable<void> killDaemon();
  Awaitable<void> stopDaemon();
  Awaitable<void> freezeDaemon();
  Awaitable<void> killAllDaemons();
  Awaitable<void> harmStoreLink();
  Awaitable<void> harmWorkerLinks();
  Awaitable<void> resetConnections();
  Awaitable<void> takeStoreDown();
  Awaitable<void> slowStore();
  Awaitable<void> loseStoreAnswers();
  Awaitable<void> dropHistory();
  Awaitable<void> crashWorkers();
  Awaitable<void> disturbWorkers();
  Awaitable<void> drainWorker();
  Awaitable<void> evacuateZone();
  Awaitable<void> changeConfiguration();
  Awaitable<void> writeForeignEntry();

  std::string linkHarm();
  DaemonSlot *takeDaemon();
  standin::TaskHost &anyWorker();
  int number(int least, int most);
  std::chrono::milliseconds time(int least, int most);

  asio::io_context &Io;
  const base::Clock &Time;
  Plant &Under;
  std::mt19937_64 Random;
  std::map<std::string, int> Injected;
  int Active = 0;
};

} // namespace endivedoor::soak

#endif
