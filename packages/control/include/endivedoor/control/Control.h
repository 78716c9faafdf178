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

/// Builds the scheduler of a zone; called once for each won election.
using SchedulerFactory = std::function<std::unique_ptr<policy::Scheduler>()>;

/// Waits for a time. Replaces the operating system's timer in tests and
/// simulations.
using SleepFunction =
    std::function<boost::asio::awaitable<void>(base::Duration)>;

/// Counters since the start of the process, for metrics.
struct Counters {
  /// Segments written.
  std::uint64_t Commits = 0;
  /// Calls of the store that failed or whose answer was lost.
  std::uint64_t StoreErrors = 0;
  /// Starts that a worker accepted.
  std::uint64_t Starts = 0;
  /// Starts that were refused, did not arrive or were held back.
  std::uint64_t RefusedStarts = 0;
  /// Attempts that ended by an eviction.
  std::uint64_t Evictions = 0;
  /// Tasks queued again after a failed or lost attempt.
  std::uint64_t Retries = 0;
  /// Elections won.
  std::uint64_t ElectionsWon = 0;
  /// When the last successful commit was sent; none before the first.
  std::optional<base::TimePoint> LastCommit;
};

/// Owns the configuration of the daemon and, while elected, its zone's shard.
/// Every method runs on the executor's single thread. Its coroutines may sleep
/// beyond stop(): destroy the object after the last run of the executor's
/// context and before that context.
class Control final : public ControlApi {
public:
  /// \param executor executor of the control thread.
  /// \param settings must outlive the object, as must all other references.
  /// \param instance identifies this run of the daemon; unique over all runs.
  /// \param factory builds a scheduler for each won election.
  /// \param sleep waits for a time; the system's timer if empty.
  Control(boost::asio::any_io_executor executor,
          const model::Settings &settings, platform::Store &store,
          platform::WorkerClient &workers, platform::HostList &hosts,
          const base::Clock &clock, base::EventLog &events,
          base::InstanceId instance, SchedulerFactory factory,
          SleepFunction sleep = {});
  ~Control() override;
  Control(const Control &) = delete;
  Control &operator=(const Control &) = delete;

  /// Starts the loops on the executor. Call it once.
  void start();
  /// Hands over: makes the last changes durable and gives up the shard. Takes a
  /// few store calls; without the store it ends after four store timeouts and
  /// lets the leases lapse.
  boost::asio::awaitable<void> stop();

  /// Sets what is called after each version has come into force.
  void onConfiguration(std::function<void(const Configuration &)> observer);
  /// Sets how the number of zones in which a service has a target is found;
  /// without it, rules "at-least N zones" do not appear in the report.
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

  /// Reads the rows of a contract from the store, all zones and hours, oldest
  /// hour first. Errors: those of the store; JournalUnreadable. Cost: one call
  /// for each 500 keys.
  platform::Async<std::vector<ReportRow>> report(base::ContractName contract);
  /// Returns the rows of the current hour that this daemon counts; empty if it
  /// does not own the shard.
  std::vector<ReportRow> currentReport() const;

  const Counters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace endivedoor::control

#endif
