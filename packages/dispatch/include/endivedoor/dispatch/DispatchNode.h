/// \file
/// The dispatch side of one daemon: cluster membership, shard ownership and the
/// requests of job callers.
#ifndef ENDIVEDOOR_DISPATCH_DISPATCHNODE_H
#define ENDIVEDOOR_DISPATCH_DISPATCHNODE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/MetadataStore.h"
#include "endivedoor/dispatch/Metrics.h"
#include "endivedoor/dispatch/ShardOptions.h"
#include "endivedoor/dispatch/TaskWorker.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace endivedoor::dispatch {

struct DispatchOptions {
  /// Unique name of the machine; kept over restarts of the daemon.
  std::string Name;
  /// Unique name of this daemon process; changes with each restart.
  std::string Instance;
  ShardOptions Shard;
  /// Number of cores that the node may use; nodes with more cores own more
  /// shards.
  double Cores = 1;
  /// Rate of the node's link, in Mbit/s; limits the size of a shard.
  double LinkMbps = 1000;
  /// Time to live of the node's lease in the store. Bounds how long the shards
  /// of a killed daemon stay without an owner. Must be long enough for at least
  /// two renewals.
  milliseconds NodeLease{1500};
  /// Target number of workers per shard; determines the number of shards. There
  /// are more shards if the node that stores the layout has a slow link.
  std::int32_t WorkersPerShard = 72;
};

/// How recent a local copy of records is.
struct RecordsAge {
  /// The copy contains all that the store had acknowledged by then.
  base::TimePoint AsOf;
  /// The latest finished call for these records was answered.
  bool Reachable = false;
};

enum class SubmitOutcome {
  /// The job is stored.
  Accepted,
  /// The job is not stored and will not be.
  Refused,
  /// As Refused; the job exceeds the limits of a record and never can be
  /// stored.
  Invalid,
  /// As Refused; the job was cancelled before it was stored and never can be
  /// stored.
  Cancelled,
  /// As Refused; a job of another client account has this id.
  IdInUse,
  /// It is not known whether the job is stored.
  Unknown
};

enum class CancelOutcome { Cancelled, NoSuchJob, Refused, Unknown };

/// The caller of a request about a job.
struct Requester {
  /// Name of the client account; empty for none.
  std::string Account = {};
  /// Jobs of all accounts are visible, not only those of the caller's account
  /// and of none.
  bool SeesAllJobs = true;
};

/// Not thread-safe: all methods run on the control thread. Must live until the
/// process ends, because suspended coroutines refer to it.
class DispatchNode {
public:
  DispatchNode(boost::asio::any_io_executor executor, DispatchOptions options,
               MetadataStore &store, TaskWorker &workers,
               const base::Clock &clock, base::EventLog &events,
               Metrics &metrics);
  ~DispatchNode();

  /// Joins the cluster and starts to claim shards.
  void start();
  /// Releases all shards and leaves the cluster. Returns once both are stored
  /// or the store has proved unreachable.
  boost::asio::awaitable<void> leave();

  /// Sets the source of the age of the operators' records, which the zones out
  /// of service come from. While the store answers other calls, nothing is
  /// started from old ones. Without a source, their age is not checked.
  void setOperatorRecords(std::function<RecordsAge()> age);
  /// As setOperatorRecords() for the entries that updateWorker() and
  /// unlistWorker() pass in. In normal operation they must be less than 1 s
  /// old.
  void setWorkerEntries(std::function<RecordsAge()> age);
  /// Sets the zones that are out of service. Replaces the previous set.
  void setZonesOutOfService(std::set<base::ZoneId> zones);
  /// Sets the client accounts of the newest configuration.
  void setAccounts(const std::vector<model::ClientAccount> &accounts);
  void updateWorker(const model::WorkerProfile &worker);
  void unlistWorker(const base::WorkerId &worker);

  /// Stores a job. Idempotent for the same job.
  boost::asio::awaitable<SubmitOutcome> submit(model::AcceptedJob job);
  /// Returns when a caller that was refused because of the store may come back.
  std::chrono::seconds returnDelay();
  /// A job that \p requester must not see counts as unknown.
  boost::asio::awaitable<CancelOutcome> cancel(model::JobNumber job,
                                               Requester requester = {});
  /// Returns the state of a job, or std::nullopt if there is no such job or
  /// \p requester must not see it. Errors: those of MetadataStore.
  Async<std::optional<model::JobState>> jobState(model::JobNumber job,
                                                 Requester requester = {});
  /// Returns the number of jobs of a queue without a started task.
  Async<std::int64_t> pendingJobs(std::string queue);

  /// Returns whether the directory is loaded and the store has answered within
  /// two lease times.
  bool isConnected() const;
  std::size_t ownedShards() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::dispatch

#endif
