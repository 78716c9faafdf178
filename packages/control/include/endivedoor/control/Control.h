/// \file
/// The control plane of one daemon.
#ifndef ENDIVEDOOR_CONTROL_CONTROL_H
#define ENDIVEDOOR_CONTROL_CONTROL_H

#include "endivedoor/base/Event.h"
#include "endivedoor/control/ControlApi.h"
#include "endivedoor/control/Report.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/platform/HostList.h"
#include "endivedoor/platform/Store.h"
#include "endivedoor/platform/WorkerClient.h"
#include "endivedoor/policy/Scheduler.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace endivedoor::control {

/// Creates the scheduler of a zone. Called once for each won election.
using SchedulerFactory = std::function<std::unique_ptr<policy::Scheduler>()>;

/// Suspends the calling coroutine for a duration. Tests and simulations use it
/// to replace the system timer.
using SleepFunction =
    std::function<boost::asio::awaitable<void>(base::Duration)>;

/// Counters since the start of the process, for metrics.
struct Counters {
  /// Journal segments written.
  std::uint64_t Commits = 0;
  /// Store calls that failed or whose response was lost.
  std::uint64_t StoreErrors = 0;
  /// Task starts that a worker accepted.
  std::uint64_t Starts = 0;
  /// Task starts that were refused, did not reach the worker or were withheld.
  std::uint64_t RefusedStarts = 0;
  /// Attempts that ended with an eviction.
  std::uint64_t Evictions = 0;
  /// Tasks requeued after a failed or lost attempt.
  std::uint64_t Retries = 0;
  /// Elections won.
  std::uint64_t ElectionsWon = 0;
  /// Time at which the last successful commit was sent; empty before the first.
  std::optional<base::TimePoint> LastCommit;
};

/// Manages the configuration of the daemon and, while elected, its zone's
/// shard. All methods must be called on the executor's single thread.
/// Coroutines of the object may still be suspended in a sleep when stop() has
/// finished, so destroy the object after the executor's context has run for the
/// last time and before the context is destroyed.
class Control final : public ControlApi {
public:
  /// \param executor executor of the control thread.
  /// \param settings must outlive the object, as must all other references.
  /// \param instance identifies this run of the daemon; unique over all runs.
  /// \param factory creates a scheduler for each won election.
  /// \param sleep suspends for a duration; defaults to the system timer.
  Control(boost::asio::any_io_executor executor,
          const model::Settings &settings, platform::Store &store,
          platform::WorkerClient &workers, platform::HostList &hosts,
          const base::Clock &clock, base::EventLog &events,
          base::InstanceId instance, SchedulerFactory factory,
          SleepFunction sleep = {});
  ~Control() override;
  Control(const Control &) = delete;
  Control &operator=(const Control &) = delete;

  /// Starts the background coroutines on the executor. Call it once.
  void start();
  /// Commits the last changes and releases the shard to another daemon. Takes a
  /// few store calls; if the store is unavailable, it gives up after four store
  /// timeouts and lets the leases expire.
  boost::asio::awaitable<void> stop();

  /// Sets the function that is called whenever a new version has taken effect.
  void onConfiguration(std::function<void(const Configuration &)> observer);
  /// Sets the function that returns the number of zones in which a service has
  /// a target. Without it, rules "at-least N zones" do not appear in the
  /// report.
  void setServiceZoneCounter(
      std::function<std::int32_t(const base::ServiceName &)> counter);

  platform::Async<base::JobId> admit(model::JobSpec job) override;
  platform::Async<void> cancel(base::JobId job) override;
  base::Result<JobStatus> job(const base::JobId &id) const override;
  base::Result<std::vector<JobStatus>> jobs() const override;
  const Configuration &configuration() const override;
  platform::Async<ChangeOutcome> putRules(std::string text,
                                          std::uint64_t baseVersion,
                                          std::string author) override;
  platform::Async<ChangeOutcome> setZoneOut(base::ZoneId zone, bool out,
                                            std::string author) override;
  void offerConfiguration(const Configuration &config) override;
  std::vector<ZoneState> zones() const override;
  std::vector<WorkerState> workers() const override;

  /// Reads the report rows of a contract from the store, for all zones and
  /// hours, oldest hour first. Errors: those of the store; JournalUnreadable.
  /// Cost: one call for each 500 keys.
  platform::Async<std::vector<ReportRow>> report(base::ContractName contract);
  /// Returns the rows that this daemon counts for the current hour; empty if it
  /// does not own the shard.
  std::vector<ReportRow> currentReport() const;

  const Counters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace endivedoor::control

#endif
