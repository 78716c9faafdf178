/// \file
/// Stand-in of one worker of the users' platform.
#ifndef ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_TASKHOST_H
#define ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_TASKHOST_H

#include "KeyValues.h"
#include "Ledger.h"

#include "endivedoor/model/JobGraph.h"

#include <functional>
#include <memory>

namespace endivedoor::standin {

/// A worker that runs tasks under a lease, over HTTP; it enters itself into the
/// store. Belongs to the thread of its io_context.
class TaskHost {
public:
  struct Faults {
    /// Tasks make no progress.
    bool Stuck = false;
    /// Every run that starts fails at once.
    bool Failing = false;
    /// Share of the orders that are carried out late and not answered.
    double Late = 0;
  };

  /// \param profile address and id under which it is known.
  /// \param listen address at which it listens; may lie behind a proxy.
  TaskHost(asio::io_context &io, const base::Clock &clock, KeyValues &store,
           Ledger &ledger, model::WorkerProfile profile, model::Address listen,
           std::uint64_t seed);

  void setFaults(Faults faults) { Current = faults; }
  void setDraining(bool on);
  /// Everything that runs is gone; the worker is back after \p downtime with
  /// its id and without memory.
  void crash(std::chrono::milliseconds downtime);
  const std::string id() const { return Profile.Id.str(); }

private:
  struct Run {
    base::TimePoint Started;
    std::chrono::milliseconds Done{0};
    std::chrono::milliseconds Saved{0};
    std::string Checkpoint;
    std::int32_t Percent = 100;
    std::optional<base::TimePoint> StopAt;
    bool Fails = false;
  };
  struct End {
    std::int64_t Number = 0;
    dispatch::RunId Id;
    dispatch::RunOutcome How = dispatch::RunOutcome::Done;
    std::string Checkpoint;
    /// The worker's lease has lapsed since.
    bool Lapsed = false;
  };

  Awaitable<HttpResponse> handle(HttpRequest request);
  Awaitable<HttpResponse> hold(json::value body);
  HttpResponse order(const std::string &path, const json::value &body);
  HttpResponse start(const dispatch::RunId &id, const json::value &body);
  HttpResponse answer(unsigned status, json::object body = {}) const;
  HttpResponse refuse(const char *reason) const;
  json::object lists() const;
  Awaitable<void> live();
  Awaitable<void> carryOutLate(std::string path, json::value body);
  void advance(std::chrono::milliseconds step);
  void end(const dispatch::RunId &id, dispatch::RunOutcome how);
  void bear();
  void enter();
  base::Resources left() const;
  std::chrono::milliseconds clock() const;
  bool noteFence(std::int64_t token);

  asio::io_context &Io;
  const base::Clock &Time;
  KeyValues &Store;
  Ledger &Book;
  model::WorkerProfile Profile;
  std::mt19937_64 Random;
  Faults Current;
  base::TimePoint Born;
  std::optional<base::TimePoint> DownUntil;
  std::int64_t Fence = 0;
  std::chrono::milliseconds Deadline{0};
  std::map<dispatch::RunId, Run> Runs;
  std::map<model::TaskKey, std::int64_t> HighestEnded;
  std::deque<End> Ended;
  std::int64_t LastEnd = 0;
  std::int64_t Sequence = 0;
  std::set<asio::steady_timer *> Waiting;
  std::unique_ptr<platform::HttpServer> Server;
};

} // namespace endivedoor::standin

#endif
