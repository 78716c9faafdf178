/// \file
/// Placement leases of the workers of the own zone.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_WORKERLEASES_H
#define ENDIVEDOOR_CONTROL_DETAIL_WORKERLEASES_H

#include "detail/ConfigManager.h"
#include "detail/Context.h"

#include <deque>
#include <map>

namespace endivedoor::control::detail {

/// A worker as the shard owner knows it.
struct WorkerEntry {
  model::Worker Worker;
  bool LeaseHeld = false;
  base::FencingToken Token{0};
  std::uint64_t Sequence = 0;
  std::string BootId;
  /// The host list, or the worker itself, says that it leaves.
  bool LeavingInHostList = false;
  bool ReportsLeaving = false;
  bool Reachable = false;
  /// Its attempts have been compared with the records under the current token.
  bool Reconciled = false;
  /// When a call last ended that may have reached the worker and extended its
  /// task leases.
  base::TimePoint LastContact;
  /// What the worker last reported.
  std::vector<platform::AttemptReport> AttemptReports;
  /// Calls that wait to be sent, and whether one is being sent.
  std::deque<std::function<boost::asio::awaitable<void>()>> PendingCalls;
  bool CallInFlight = false;
};

/// What the owner does with news of workers.
class WorkerObserver {
public:
  virtual ~WorkerObserver() = default;
  /// A worker has reported its attempts under the current token.
  virtual void onReport(WorkerEntry &worker,
                        const platform::RenewReply &reply) = 0;
  /// A worker has restarted; nothing that ran on it before still runs.
  virtual void onRestart(WorkerEntry &worker) = 0;
  /// The task leases of a worker have lapsed without contact.
  virtual void onLeasesExpired(WorkerEntry &worker) = 0;
  /// Reachability, lease, capacity or leaving has changed.
  virtual void onChange(WorkerEntry &worker) = 0;
  /// Returns the ended attempts that the journal has recorded.
  virtual std::vector<platform::AttemptRef>
  acknowledgedAttempts(const WorkerEntry &worker) = 0;
};

/// Claims the placement lease of every worker of the own zone and renews it.
/// Needs no store.
class WorkerLeases {
public:
  /// \param wanted says whether the owner still owns the shard; asked after
  /// every wait.
  WorkerLeases(Context &context, base::Epoch epoch, WorkerObserver &observer,
               std::function<bool()> isActive);

  /// Reads the host list once a second and serves every worker in it.
  /// \param keep keeps the owner alive while its coroutines run.
  boost::asio::awaitable<void> run(std::shared_ptr<void> owner);
  WorkerEntry *find(const base::WorkerId &id);
  const std::map<base::WorkerId, std::unique_ptr<WorkerEntry>> &
  entries() const {
    return Entries;
  }
  /// Sends a call to a worker after the ones before it; one call at a time.
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
