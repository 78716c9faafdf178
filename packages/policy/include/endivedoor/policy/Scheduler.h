/// \file
/// Scheduling decisions of one zone: placement, throttling, eviction and
/// refusal.
#ifndef ENDIVEDOOR_POLICY_SCHEDULER_H
#define ENDIVEDOOR_POLICY_SCHEDULER_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Error.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Job.h"
#include "endivedoor/model/Rules.h"
#include "endivedoor/model/Worker.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace endivedoor::policy {

struct StartTask {
  base::TaskId Task;
  base::WorkerId Worker;
  /// Amounts allocated on the worker: slots, connections and accelerators as
  /// declared; memory at least as declared.
  base::Resources Allocated{};
};
struct ThrottleTask {
  base::TaskId Task;
  /// Percentage of CPU time withheld, 0 to 90.
  std::int32_t Percent = 0;
};
struct EvictTask {
  base::TaskId Task;
  std::string Reason;
};
/// The job can never run in this zone and fails with the given reason.
struct RefuseJob {
  base::JobId Job;
  std::string Reason;
};
using Decision = std::variant<StartTask, ThrottleTask, EvictTask, RefuseJob>;

enum class EndReason { Finished, Failed, Evicted, Cancelled, WorkerLost };

/// A measurement of a running task, delivered with a delay.
struct Measurement {
  base::TaskId Task;
  base::MilliCores Cpu{0};
  base::MebiBytes Memory{0};
  /// 95th percentile of a service's response time; 0 for batch.
  std::chrono::milliseconds P95{0};
  /// Time of the measurement on the clock of this process.
  base::TimePoint TakenAt;
};

/// Compliance with a rule since the scheduler was created.
struct RuleStatus {
  /// Text of the rule without its comment.
  std::string Rule;
  base::ContractName Contract;
  /// Number of checks that the rule passed. What is checked (starts,
  /// measurements, ends of jobs) depends on the rule; see docs/policy.md.
  std::uint64_t Kept = 0;
  std::uint64_t Violated = 0;
  /// Description of the worst violation; empty if there was none.
  std::string WorstCase;
};

/// Event-driven scheduler of one zone. Performs no I/O; time and randomness are
/// injected. Not thread-safe. After a change of owner, events may arrive in any
/// order; unknown ids are ignored.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Replaces the active rules.
  virtual void applyRules(const model::RuleSet &rules) = 0;
  /// Sets whether new starts are allowed, and the share of free capacity that
  /// they may use (0 to 1), for a zone that is taken out or gradually returned
  /// to service.
  virtual void setAdmission(bool open, double share) = 0;

  /// Adds or updates a worker.
  virtual void upsertWorker(const model::Worker &worker) = 0;
  /// Removes a worker that has no tasks.
  virtual void removeWorker(const base::WorkerId &worker) = 0;

  /// Adds a task to the queue.
  virtual void enqueue(const base::TaskId &task, const model::JobSpec &job) = 0;
  /// Removes a queued task. Cost: O(1).
  virtual void cancel(const base::TaskId &task) = 0;
  /// Records a task found running or starting on a worker, for example by a new
  /// owner, and allocates its resources there.
  virtual void started(const base::TaskId &task, const model::JobSpec &job,
                       const base::WorkerId &worker) = 0;
  /// Records that a start was refused by the worker or did not reach it. The
  /// task is queued again.
  virtual void startFailed(const base::TaskId &task,
                           const base::WorkerId &worker) = 0;
  /// Records the end of an attempt and releases its resources. Evicted and
  /// failed tasks are queued again through enqueue().
  virtual void ended(const base::TaskId &task, EndReason reason) = 0;
  virtual void observe(const Measurement &measurement) = 0;

  /// Returns the decisions that are due. The resources of each returned start
  /// are allocated immediately.
  ///
  /// \param maxStarts maximum number of starts returned.
  virtual std::vector<Decision> decide(std::size_t maxStarts) = 0;

  /// Returns one entry per active rule, in the order of the rules file; empty
  /// for schedulers that do not check rules.
  /// Cost: linear in the number of rules.
  virtual std::vector<RuleStatus> ruleStatus() const { return {}; }
};

/// Creates the production scheduler with default settings.
///
/// \param clock time source; must outlive the scheduler.
/// \param seed seed of the random number generator.
std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed);

/// Baseline schedulers for comparison. They enforce the hard limits and exclude
/// zones and workers that are out of service, start tasks in order of arrival,
/// and neither throttle nor evict.
enum class BaselineKind { Random, FirstFitScheduler, LeastLoaded, TwoChoices };

/// Creates a baseline scheduler.
///
/// \param clock time source; must outlive the scheduler.
/// \param seed seed of the random number generator.
std::unique_ptr<Scheduler>
makeBaseline(BaselineKind kind, const base::Clock &clock, std::uint64_t seed);

} // namespace endivedoor::policy

#endif
