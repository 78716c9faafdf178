/// \file
/// Callers of the soak test, which submit jobs, query them and cancel some.
#ifndef ENDIVEDOOR_TESTS_SOAK_CALLERS_H
#define ENDIVEDOOR_TESTS_SOAK_CALLERS_H

#include "TestCluster.h"

#include <random>

namespace endivedoor::soak {

/// Not thread-safe: used only on the thread of its io_context.
class Callers {
public:
  Callers(asio::io_context &io, const base::Clock &clock, TestCluster &cluster,
          std::uint64_t seed);

  /// Gives a few per cent of the jobs a task that crashes its workers.
  void addCrashingTasks() { CrashShare = randomInt(2, 4) / 100.0; }
  /// Submits jobs until stopSubmitting() and queries each until it ends.
  Awaitable<void> submitJobs();
  /// Keeps a connection to each daemon open until its process has ended, also
  /// when the daemon closes its end or asks for the connection to be closed,
  /// and sends requests on it.
  void holdConnections();
  void stopSubmitting() { Submitting = false; }
  /// Submits more jobs that are cancelled, some of which have many tasks
  /// waiting to start or in later occurrences.
  void setCancelMore(bool on) { CancelMore = on; }
  /// Ends the queries and cancellations of all jobs.
  void stop() { Stopped = true; }
  std::size_t accepted() const { return Accepted; }
  std::size_t refused() const { return Refused; }

private:
  Awaitable<void> followJob(model::JobNumber id, std::string path,
                            bool willCancel);
  Awaitable<void> holdConnection(std::size_t daemon);
  Awaitable<bool> submit(model::JobNumber id, std::string path);
  Awaitable<void> cancel(model::JobNumber id, std::string path);
  Awaitable<void> queryState(model::JobNumber id, std::string path);
  Awaitable<base::Result<platform::HttpResponse>>
  send(std::string method, std::string path, std::string body = {});
  bool hasRoomForLongRunning() const;
  standin::ObservedJob makeJob(std::string &queue);
  standin::ObservedJob makeJobToCancel(std::string &queue);
  void addCrashingTask(model::JobNumber id, standin::ObservedJob &job);
  int randomInt(int min, int max);
  bool chance(double share);

  asio::io_context &Io;
  const base::Clock &Time;
  TestCluster &Cluster;
  std::mt19937_64 Random;
  platform::HttpClient Http;
  /// Fraction of the jobs that have a task that crashes its workers.
  double CrashShare = 0;
  bool Submitting = true;
  bool CancelMore = false;
  bool Stopped = false;
  std::size_t Accepted = 0;
  std::size_t Refused = 0;
};

} // namespace endivedoor::soak

#endif
