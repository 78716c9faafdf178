/// \file
/// The decisions of one zone: which task starts where, what is throttled,
/// evicted or refused.
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
  /// The amounts counted as taken on the worker: slots, connections and
  /// accelerators as declared; memory never below what was declared.
  base::Resources Allocated{};
};
struct ThrottleTask {
  base::TaskId Task;
  /// Share of the processor time that is taken away, 0 to 90.
  std::int32_t Percent = 0;
};
struct EvictTask {
  base::TaskId Task;
  std::string Reason;
};
/// The job can never run here; it is failed with the reason.
struct RefuseJob {
  base::JobId Job;
  std::string Reason;
};
using Decision = std::variant<StartTask, ThrottleTask, EvictTask, RefuseJob>;

enum class EndReason { Finished, Failed, Evicted, Cancelled, WorkerLost };

/// A late measurement of a running task.
struct Measurement {
  base::TaskId Task;
  base::MilliCores Cpu{0};
  base::MebiBytes Memory{0};
  /// 95th percentile of a service's answer time; 0 for batch.
  std::chrono::milliseconds P95{0};
  /// When it was taken, on the clock of this process.
  base::TimePoint TakenAt;
};

/// How well a rule was kept since the scheduler was built.
struct RuleStatus {
  /// Text of the rule without its comment.
  std::string Rule;
  base::ContractName Contract;
  /// Number of checks in which the rule was kept; what is checked (starts,
  /// measurements, ends of jobs) depends on the rule, see docs/policy.md.
  std::uint64_t Kept = 0;
  std::uint64_t Violated = 0;
  /// The worst violation in words; empty if there was none.
  std::string WorstCase;
};

/// Event-driven scheduler of one zone. Pure: no I/O, time and randomness come
/// from outside. Belongs to one thread. Events may come in any order after a
/// change of owner; unknown ids are ignored.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Replaces the rules.
  virtual void applyRules(const model::RuleSet &rules) = 0;
  /// Sets whether new starts are allowed at all, and the share of free capacity
  /// they may use (0 to 1), for a zone that is out or returns gradually.
  virtual void setAdmission(bool open, double share) = 0;

  /// Adds a worker or changes what is known of it.
  virtual void upsertWorker(const model::Worker &worker) = 0;
  /// Forgets a worker that holds no task.
  virtual void removeWorker(const base::WorkerId &worker) = 0;

  /// Adds a task that waits for a start.
  virtual void enqueue(const base::TaskId &task, const model::JobSpec &job) = 0;
  /// Forgets a queued task. Cost: O(1).
  virtual void cancel(const base::TaskId &task) = 0;
  /// A task was found running or starting on a worker, for example by a new
  /// owner. Its resources count as taken.
  virtual void started(const base::TaskId &task, const model::JobSpec &job,
                       const base::WorkerId &worker) = 0;
  /// A start was refused by the worker or did not reach it; the task is queued
  /// again.
  virtual void startFailed(const base::TaskId &task,
                           const base::WorkerId &worker) = 0;
  /// An attempt ended; its resources are free. Evicted and failed tasks come
  /// back by enqueue().
  virtual void ended(const base::TaskId &task, EndReason reason) = 0;
  virtual void observe(const Measurement &measurement) = 0;

  /// Returns the decisions due now. The resources of each returned start count
  /// as taken at once.
  ///
  /// \param maxStarts largest number of starts returned.
  virtual std::vector<Decision> decide(std::size_t maxStarts) = 0;

  /// Returns one entry for each rule in force, in the order of the rules file.
  /// A scheduler that does not count returns nothing. Cost: linear in the
  /// number of rules.
  virtual std::vector<RuleStatus> ruleStatus() const { return {}; }
};

/// Builds the scheduler in use.
///
/// \param clock source of time; must outlive the scheduler.
/// \param seed seed of its random choices.
std::unique_ptr<Scheduler> makeScheduler(const base::Clock &clock,
                                         std::uint64_t seed);

/// Simple schedulers to compare with. They keep the hard limits, zones out and
/// workers out, start tasks in order of arrival and neither throttle nor evict.
enum class BaselineKind { Random, FirstFit, LeastLoaded, TwoChoices };

/// Builds a baseline.
///
/// \param clock source of time; must outlive the scheduler.
/// \param seed seed of its random choices.
std::unique_ptr<Scheduler>
makeBaseline(BaselineKind kind, const base::Clock &clock, std::uint64_t seed);

} // namespace endivedoor::policy

#endif
