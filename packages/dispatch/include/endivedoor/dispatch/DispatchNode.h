/// \file
/// One daemon's part in running jobs: membership, ownership of shards, and the
/// calls of job callers.
#ifndef ENDIVEDOOR_DISPATCH_DISPATCHNODE_H
#define ENDIVEDOOR_DISPATCH_DISPATCHNODE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/MetadataStore.h"
#include "endivedoor/dispatch/Metrics.h"
#include "endivedoor/dispatch/ShardOptions.h"
#include "endivedoor/dispatch/TaskWorker.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace endivedoor::dispatch {

struct DispatchOptions {
  /// Unique name of the machine; a restarted daemon has the same one.
  std::string Name;
  /// Unique name of this run of the daemon.
  std::string Instance;
  ShardOptions Shard;
  /// Cores that the node may use; nodes with more own more shards.
  double Cores = 1;
  /// Time to live of the node's lease in the store. Bounds how long a shard of
  /// a killed daemon stands still; at least two renewals must fit.
  milliseconds NodeLease{1500};
  /// Workers that one shard owner is to serve.
  std::int32_t WorkersPerShard = 72;
};

enum class SubmitOutcome {
  /// The job is stored.
  Accepted,
  /// The job is not stored and will not be.
  Refused,
  /// It is not known whether the job is stored.
  Unknown
};

enum class CancelOutcome { Cancelled, NoSuchJob, Refused, Unknown };

/// Belongs to the control thread. Lives until the process ends, because
/// suspended coroutines refer to it.
class DispatchNode {
public:
  DispatchNode(boost::asio::any_io_executor executor, DispatchOptions options,
               MetadataStore &store, TaskWorker &workers,
               const base::Clock &clock, base::EventLog &events,
               Metrics &metrics);
  ~DispatchNode();

  /// Joins the other nodes and begins to take shards.
  void start();
  /// Gives all shards back and leaves. Returns when both are stored or the
  /// store cannot be reached.
  boost::asio::awaitable<void> leave();

  /// What the installation says; each call replaces what was said before.
  void setZonesOutOfService(std::set<base::ZoneId> zones);
  void updateWorker(const model::WorkerProfile &worker);
  void unlistWorker(const base::WorkerId &worker);

  /// Stores a job. Repeating the call with the same job is harmless.
  boost::asio::awaitable<SubmitOutcome> submit(model::AcceptedJob job);
  boost::asio::awaitable<CancelOutcome> cancel(model::JobNumber job);
  /// Returns nothing if no such job exists. Errors: those of the store.
  Async<std::optional<model::JobState>> jobState(model::JobNumber job);
  /// Returns the jobs of a queue that no task has started of.
  Async<std::int64_t> pendingJobs(std::string queue);

  /// Whether the store has answered lately.
  bool isConnected() const;
  std::size_t ownedShards() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::dispatch

#endif
