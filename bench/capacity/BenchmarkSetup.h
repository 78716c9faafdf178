/// \file
/// Runs one daemon with its stand-ins; the fault proxy counts all worker and
/// store traffic.
#ifndef ENDIVEDOOR_BENCHMARKSETUP_CAPACITY_BENCHMARKSETUP_H
#define ENDIVEDOOR_BENCHMARKSETUP_CAPACITY_BENCHMARKSETUP_H

#include "harness/Process.h"

#include "endivedoor/model/Worker.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endivedoor::bench {

/// Totals since the start of the daemon.
struct Totals {
  double ProcessorSeconds = 0;
  double ResidentMb = 0;
  /// Bytes in both directions between the daemon and the workers.
  double WorkerBytes = 0;
  double StoreBytes = 0;
  /// Calls of the store by kind, as the store counts them.
  std::map<std::string, double> StoreCalls;
  double Starts = 0;
};

/// One entry host that owns one zone.
class BenchmarkSetup {
public:
  /// \param folder for settings and logs; emptied first.
  /// \param workers number of stand-in workers, in one process.
  BenchmarkSetup(std::string folder, int workers);
  /// Returns whether the daemon became ready and claimed every worker.
  bool start();
  /// Admits a batch job whose tasks run for \p runTime. Returns whether it was
  /// accepted.
  bool submit(int tasks, std::chrono::milliseconds runTime);
  /// Applies rules of \p bytes length as a new version.
  bool changeConfiguration(int bytes);
  /// Returns whether \p tasks run on the workers within \p limit.
  bool waitForTasks(int tasks, std::chrono::milliseconds limit);
  Totals totals() const;

private:
  model::Address address(int offset) const;
  void writeHosts() const;
  void writeSettings() const;
  std::unique_ptr<harness::Process> run(std::vector<std::string> arguments,
                                        const std::string &name) const;

  std::string Folder;
  int Workers;
  int Version = 0;
  std::vector<std::unique_ptr<harness::Process>> Standins;
  std::unique_ptr<harness::Process> Daemon;
};

} // namespace endivedoor::bench

#endif
