/// \file
/// Counters, gauges and latency histograms of a node in Prometheus text format.
#ifndef ENDIVEDOOR_DISPATCH_METRICS_H
#define ENDIVEDOOR_DISPATCH_METRICS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/policy/WaitingOrder.h"

#include <memory>
#include <string>

namespace endivedoor::dispatch {

/// Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Records the duration and outcome of a call to the store or a worker.
  ///
  /// \param peer "store" or "worker".
  /// \param call name of the operation.
  /// \param outcome status code of the response, or "none" if there was none.
  void observeCall(const std::string &peer, const std::string &call,
                   const std::string &outcome, base::Duration duration);
  /// Records the time from a job's acceptance to the start of its first task.
  void observeFirstStart(base::Duration sinceAccepted);
  /// Records the time from a job's acceptance until its final state is stored.
  void observeCompletion(base::Duration sinceAccepted);
  void setOwnedShards(std::size_t owned);
  void setLiveJobs(std::size_t live);
  /// Counts the start of a run.
  ///
  /// \param learned whether its run time is learned, not declared.
  void countStart(policy::Urgency urgency, bool learned);
  /// Records the run time of an ended run as a multiple of the expected one.
  void observeRunTime(double ratio);
  /// Sets the number of runs of tasks that may have crashed a worker.
  void setSuspectRuns(std::size_t suspects);
  /// Records the age of a copy of records at a planning pass.
  ///
  /// \param source "shard", "operators" or "workers".
  void observeSourceAge(const std::string &source, base::Duration age);
  /// Records by how much a timer of the control thread fired late.
  void observeLoopDelay(base::Duration delay);

  /// Counts time for which a worker had room for a long-running task that had
  /// waited for long.
  ///
  /// \param cause as in the event RoomIdle.
  void countIdleRoom(const std::string &cause, base::Duration time);

  /// Counts a request that was refused because of its key.
  ///
  /// \param cause "missing", "malformed", "unknown" or "outdated".
  void countRefusedKey(const std::string &cause);

  /// Counts a request that was refused, or a connection that was closed,
  /// because of a limit on what callers make the node hold.
  ///
  /// \param limit name of the limit, as in the event LimitReached.
  void countLimited(const std::string &limit);
  /// Sets the memory that connections, requests and responses use, in bytes.
  void setHttpBytes(std::size_t used);
  /// Sets the number of open connections of a server.
  ///
  /// \param server "callers", "health" or "metrics".
  void setHttpConnections(const std::string &server, std::size_t open);

  /// Returns all metrics, including a counter for each event type in \p events,
  /// in Prometheus text format 0.0.4. Cost: linear in the number of metrics.
  std::string render(const base::EventLog &events) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace endivedoor::dispatch

#endif
