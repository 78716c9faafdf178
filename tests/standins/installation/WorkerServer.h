/// \file
/// Stand-in for one worker of the users' platform.
#ifndef ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_WORKERSERVER_H
#define ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_WORKERSERVER_H

#include "InvariantChecker.h"
#include "KeyValueStore.h"

#include "endivedoor/model/JobGraph.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace endivedoor::standin {

/// Simulated worker that runs tasks under a lease, is controlled over HTTP and
/// publishes its own entry in the store. Not thread-safe: used only on the
/// thread of its io_context.
class WorkerServer {
public:
  struct Faults {
    /// Tasks make no progress.
    bool Stuck = false;
    /// Every new run fails shortly after its start.
    bool FailStarts = false;
    /// Fraction of the calls, polls included, that get no response and are
    /// carried out after a random delay, also by a later incarnation of the
    /// worker. A call that is due while the worker is down is lost.
    double LateCallRate = 0;
    /// Bounds of the delay, by default those of the users' tests.
    std::chrono::milliseconds MinCallDelay{2000}, MaxCallDelay{12000};
  };

  /// \param profile address and id that it publishes.
  /// \param listen address to listen on; may be behind a proxy.
  WorkerServer(asio::io_context &io, const base::Clock &clock,
               KeyValueStore &store, InvariantChecker &checker,
               model::WorkerProfile profile, model::Address listen,
               std::uint64_t seed);

  void setFaults(Faults faults) { ActiveFaults = faults; }
  void setDraining(bool on);
  /// The store removes the worker's entry, as one whose lease has ended. The
  /// worker goes on and publishes it again after \p time.
  void loseEntry(std::chrono::milliseconds time);
  /// Changes the capacity that the worker publishes. Starts are checked against
  /// a lower capacity ShrinkGrace after its publication, and against a higher
  /// one at once.
  void setCapacity(base::Resources capacity);
  /// Discards all runs and state; the worker restarts with the same id after \p
  /// downtime.
  void crash(std::chrono::milliseconds downtime);
  /// The same, as the end of a drain.
  void leave(std::chrono::milliseconds downtime);
  /// As a crash, but nothing brings the worker back.
  void vanish();
  bool isVanished() const { return Vanished; }
  const std::string id() const { return Profile.Id.str(); }

private:
  struct Run {
    base::TimePoint Started;
    std::chrono::milliseconds WorkDone{0};
    std::chrono::milliseconds WorkAtCheckpoint{0};
    std::string Checkpoint;
    std::int32_t Percent = 100;
    std::optional<base::TimePoint> StopAt;
    bool WillFail = false;
  };
  struct EndedRun {
    std::int64_t Number = 0;
    dispatch::RunId Id;
    dispatch::RunOutcome Outcome = dispatch::RunOutcome::Done;
    std::string Checkpoint;
    /// The worker's lease has expired since.
    bool LeaseExpired = false;
  };

  Awaitable<HttpResponse> handle(HttpRequest request);
  Awaitable<HttpResponse> poll(json::value body);
  bool applyPoll(const json::value &body);
  HttpResponse handleCommand(const std::string &path, const json::value &body,
                             bool late);
  HttpResponse start(const dispatch::RunId &id, const json::value &body,
                     bool late);
  HttpResponse makeResponse(unsigned status, json::object body = {}) const;
  HttpResponse reject(const char *reason) const;
  json::object statusBody() const;
  Awaitable<void> runLoop();
  Awaitable<void> handleLate(std::string path, json::value body,
                             std::chrono::milliseconds delay);
  void advance(std::chrono::milliseconds elapsed);
  void endRun(const dispatch::RunId &id, dispatch::RunOutcome outcome);
  void shutDown(std::chrono::milliseconds downtime);
  void startIncarnation();
  void publishEntry();
  base::Resources checkedCapacity() const;
  base::Resources freeResources() const;
  std::chrono::milliseconds uptime() const;
  bool acceptToken(std::int64_t token);

  asio::io_context &Io;
  const base::Clock &Time;
  KeyValueStore &Store;
  InvariantChecker &Checker;
  model::WorkerProfile Profile;
  model::Address Listen;
  std::mt19937_64 Random;
  Faults ActiveFaults;
  base::TimePoint IncarnationStart;
  std::optional<base::TimePoint> DownUntil;
  /// The entry is not published before then.
  base::TimePoint EntryLostUntil{};
  bool Vanished = false;
  /// Replaced capacities, each with the time at which it no longer counts; no
  /// time while its successor has not been published.
  std::vector<std::pair<base::Resources, std::optional<base::TimePoint>>>
      FormerCapacities;
  std::int64_t HighestToken = 0;
  std::chrono::milliseconds LeaseDeadline{0};
  std::map<dispatch::RunId, Run> Runs;
  std::map<model::TaskKey, std::int64_t> HighestEndedRun;
  std::deque<EndedRun> EndedRuns;
  std::int64_t LastEndNumber = 0;
  std::int64_t Sequence = 0;
  std::set<asio::steady_timer *> WaitingPolls;
  std::unique_ptr<platform::HttpServer> Server;
};

} // namespace endivedoor::standin

#endif
