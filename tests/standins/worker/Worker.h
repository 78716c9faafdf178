/// \file
/// A simulated worker: leases, task attempts and services, without sockets.
#ifndef ENDIVEDOOR_TESTS_STANDINS_WORKER_WORKER_H
#define ENDIVEDOOR_TESTS_STANDINS_WORKER_WORKER_H

#include "support/Standin.h"

#include "endivedoor/base/Units.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace endivedoor::standin {

struct WorkerOptions {
  std::string Name, Zone, Rack;
  base::Resources Capacity;
  /// Delay between a measurement and its report.
  base::Duration UsageDelay{0};
  base::Duration UsageInterval{std::chrono::seconds(1)};
  /// Task lease of an attempt until the first renewal.
  base::Duration TaskLease{std::chrono::seconds(30)};
  std::uint64_t Seed = 1;
};

/// A task attempt on the worker. Ended attempts are kept until acknowledged.
struct TaskAttempt {
  std::string Job, Class, Service, State = "running", Checkpoint;
  bool IsService = false;
  base::Resources Size;
  double RunMs = 0, ServiceMs = 0, Noise = 0, FailAtMs = -1;
  std::int64_t UsedMilliCores = 0, UsedMemoryMb = 0;
  std::int64_t Throttle = 0;
  double ProgressMs = 0;
  base::TimePoint ProgressAt, LeaseUntil;
  std::deque<double> LatenciesMs;

  bool isRunning() const { return State == "running"; }
  double speed() const { return 1.0 - static_cast<double>(Throttle) / 100; }
};

class Worker {
public:
  Worker(WorkerOptions options, const base::Clock &clock, JsonLog &log);

  Awaitable<HttpResponse> handle(HttpRequest request);

  /// Advances batch tasks, ends attempts whose task lease expired and takes
  /// measurements.
  void tick();

  /// Records the peak number of open connections, and logs when it exceeds the
  /// worker's limit.
  void recordConnections(std::size_t open);

  /// A dead worker does not respond; the caller closes its sockets.
  bool isDead() const { return Dead; }
  bool wantsRestart() const { return Dead && RestartAt <= Time.now(); }
  void restart();

  const WorkerOptions &options() const { return Options; }

private:
  using AttemptKey = std::pair<std::string, std::int64_t>;
  using Attempts = std::map<AttemptKey, TaskAttempt>;
  struct Sample {
    base::TimePoint At;
    json::object Report;
  };

  HttpResponse claim(const JsonView &body);
  HttpResponse renew(const JsonView &body);
  HttpResponse start(const JsonView &body);
  std::string startRefusal(const JsonView &body, const AttemptKey &key,
                           const TaskAttempt &attempt);
  bool readPayload(const std::string &text, TaskAttempt &attempt);
  HttpResponse handleTaskCommand(const std::string &path, const JsonView &body);
  HttpResponse admin(const std::string &path, const JsonView &body);
  HttpResponse status() const;
  json::object capacity() const;
  Awaitable<HttpResponse> serve(HttpRequest request);
  Attempts::iterator selectAttempt(const std::string &service);
  HttpResponse refuseRequest(const HttpRequest &request, std::string reason);

  std::string leaseError(std::int64_t token) const;
  void advance(const AttemptKey &key, TaskAttempt &attempt);
  void end(const AttemptKey &key, TaskAttempt &attempt,
           const std::string &state, const std::string &reason);
  void takeSample();
  void crash(std::chrono::milliseconds restartAfter);
  void startNewBoot();
  void log(std::string event, json::object fields);

  WorkerOptions Options;
  const base::Clock &Time;
  JsonLog &Log;
  std::mt19937_64 Random;

  std::string Boot, Holder;
  std::int64_t Epoch = 0, Token = 0, LeaseSeq = 0;
  base::TimePoint LeaseUntil;
  base::Duration TaskTtl;
  Attempts KnownAttempts;
  std::deque<Sample> Samples;
  base::TimePoint NextSample;
  std::int64_t Requests = 0, PeakRequests = 0, PeakConnections = 0;
  std::uint64_t RequestsSeen = 0;
  bool Leaving = false, Dead = false;
  base::TimePoint RestartAt = base::TimePoint::max();
  std::string FailStarts = "off";
};

} // namespace endivedoor::standin

#endif
