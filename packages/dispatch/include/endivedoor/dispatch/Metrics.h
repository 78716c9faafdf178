/// \file
/// Counters and latency histograms of a node, as Prometheus text.
#ifndef ENDIVEDOOR_DISPATCH_METRICS_H
#define ENDIVEDOOR_DISPATCH_METRICS_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"

#include <memory>
#include <string>

namespace endivedoor::dispatch {

/// Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// A call to the store or a worker has ended.
  ///
  /// \param peer "store" or "worker".
  /// \param call kind of the call.
  /// \param outcome short name of the answer.
  void observeCall(const std::string &peer, const std::string &call,
                   const std::string &outcome, base::Duration duration);
  /// A job's first task was started.
  void observeFirstStart(base::Duration sinceAccepted);
  /// A job's last task has ended and its state is stored.
  void observeCompletion(base::Duration sinceAccepted);
  void setOwnedShards(std::size_t owned);
  void setLiveJobs(std::size_t live);

  /// Returns all metrics, with one counter for each event of \p events.
  /// Format: Prometheus text 0.0.4. Cost: linear in the metrics.
  std::string render(const base::EventLog &events) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace endivedoor::dispatch

#endif
