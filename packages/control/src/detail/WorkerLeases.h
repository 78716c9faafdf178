/// \file
/// Placement leases of the workers in the local zone.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_WORKERLEASES_H
#define ENDIVEDOOR_CONTROL_DETAIL_WORKERLEASES_H

#include "detail/ConfigManager.h"
#include "detail/Context.h"

#include <deque>
#include <map>

namespace endivedoor::control::detail {

/// State of a worker as known to the shard owner.
struct WorkerEntry {
  model::Worker Worker;
  bool LeaseHeld = false;
  base::FencingToken Token{0};
  std::uint64_t Sequence = 0;
  std::string BootId;
  /// Whether the host list, or the worker itself, reports it as leaving.
  bool LeavingInHostList = false;
  bool ReportsLeaving = false;
  bool Reachable = false;
  /// Its attempts have been reconciled with the records under the current
  /// token.
  bool Reconciled = false;
  /// End of the last call that may have reached the worker and extended its
  /// task leases.
  base::TimePoint LastContact;
  /// Attempts in the last report of the worker.
  std::vector<platform::AttemptReport> AttemptReports;
  /// Queued calls, and whether a call is in flight.
  std::deque<std::function<boost::asio::awaitable<void>()>> PendingCalls;
  bool CallInFlight = false;
};

/// Interface for reacting to changes of workers.
class WorkerObserver {
public:
  virtual ~WorkerObserver() = default;
  /// Called when a worker has reported its attempts under the current token.
  virtual void onReport(WorkerEntry &worker,
                        const platform::RenewReply &reply) = 0;
  /// Called when a worker has restarted; no earlier attempt still runs on it.
  virtual void onRestart(WorkerEntry &worker) = 0;
  /// Called when the task leases of a worker have expired without contact.
  /// Called repeatedly until there is contact again.
  virtual void onLeasesExpired(WorkerEntry &worker) = 0;
  /// Called when the reachability, lease, capacity or leaving state of a worker
  /// has changed.
  virtual void onChange(WorkerEntry &worker) = 0;
  /// Returns the ended attempts whose outcome the journal contains.
  virtual std::vector<platform::AttemptRef>
  acknowledgedAttempts(const WorkerEntry &worker) = 0;
};

/// Claims and renews the placement lease of every worker in the local zone.
/// Works without the store.
class WorkerLeases {
public:
  /// \param isActive returns whether the owner still owns the shard; called
  /// after every suspension point.
  WorkerLeases(Context &context, base::Epoch epoch, WorkerObserver &observer,
               std::function<bool()> isActive);

  /// Reads the host list once a second and maintains the lease of every worker
  /// in it.
  /// \param owner kept alive while the coroutines run.
  boost::asio::awaitable<void> run(std::shared_ptr<void> owner);
  WorkerEntry *find(const base::WorkerId &id);
  const std::map<base::WorkerId, std::unique_ptr<WorkerEntry>> &
  entries() const {
    return Entries;
  }
  /// Queues a call to a worker. Calls are sent in order, one at a time.
  void enqueueCall(WorkerEntry &worker,
                   std::function<boost::asio::awaitable<void>()> call,
                   std::shared_ptr<void> owner);

private:
  void mergeHosts(const std::vector<model::Worker> &hosts,
                  std::shared_ptr<void> owner);
  boost::asio::awaitable<void> maintainLease(WorkerEntry &worker,
                                             std::shared_ptr<void> owner);
  boost::asio::awaitable<void> claim(WorkerEntry &worker);
  boost::asio::awaitable<void> renew(WorkerEntry &worker);
  boost::asio::awaitable<void> runPendingCalls(WorkerEntry &worker,
                                               std::shared_ptr<void> owner);
  void recordContact(WorkerEntry &worker, const base::Error *error);
  void updateLeaving(WorkerEntry &worker);
  void checkTaskLeases(WorkerEntry &worker);

  Context &Ctx;
  base::Epoch Epoch;
  WorkerObserver &Observer;
  std::function<bool()> IsActive;
  std::map<base::WorkerId, std::unique_ptr<WorkerEntry>> Entries;
};

} // namespace endivedoor::control::detail

#endif
