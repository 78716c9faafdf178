/// \file
/// Jobs as graphs of steps, and the queues that they are submitted to.
#ifndef ENDIVEDOOR_MODEL_JOBGRAPH_H
#define ENDIVEDOOR_MODEL_JOBGRAPH_H

#include "endivedoor/base/Ids.h"
#include "endivedoor/base/Units.h"
#include "endivedoor/model/Worker.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace endivedoor::model {

/// Identifies a job; represented to callers as 16 hexadecimal digits.
enum class JobNumber : std::uint64_t {};

/// Identifies one task of one occurrence of a job.
struct TaskKey {
  JobNumber Job{0};
  /// Occurrence of a recurring job, counted from 0.
  std::int32_t Occurrence = 0;
  std::int32_t Step = 0;
  std::int32_t Index = 0;
  friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

/// A step of a job: identical tasks that become ready together.
struct StepSpec {
  std::int32_t Count = 0;
  /// Resources required by one task.
  base::Resources Size;
  /// Declared run time of one task; often inaccurate.
  std::chrono::milliseconds Estimate{0};
  /// Indices of the earlier steps that must finish first.
  std::vector<std::int32_t> Dependencies;
  /// Label that the worker must have; empty means none is required.
  std::string Requirement;
  /// Rack that holds the task's data; empty means no preference.
  std::string Affinity;
  /// Program of the tasks; tasks of the same image are expected to behave
  /// alike.
  std::string Image;
  /// Largest number of tasks of this step on one worker; 0 means no limit.
  std::int32_t MaxPerWorker = 0;
  /// Target response time of a long-running task to its own users; 0 means
  /// none.
  std::chrono::milliseconds Target{0};
  /// Maximum number of tasks of a long-running step that planned actions may
  /// make unavailable at the same time.
  std::int32_t MaxUnavailable = 0;
  bool SupportsCheckpoints = false;
  /// The tasks make progress only while all of them run.
  bool Gang = false;
  bool SameRack = false;
  /// Copies of a task may run concurrently.
  bool Speculative = false;
  /// The tasks run until the job is cancelled.
  bool LongRunning = false;
  /// The tasks use processor time left idle by other tasks; none is reserved.
  bool Filler = false;
};

/// A job as submitted by a caller.
struct JobGraph {
  /// Opaque text passed to every task.
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// Number of occurrences; 0 runs the steps once, immediately.
  std::int32_t Occurrences = 0;
  /// Due time of occurrence 0, since the Unix epoch.
  std::chrono::milliseconds FirstDue{0};
  std::chrono::milliseconds Interval{0};
};

/// Settings that a queue applies to its jobs.
struct QueuePolicy {
  base::ServiceName Service;
  /// 0 is the highest priority.
  std::int32_t Priority = 0;
  /// Number of failed runs of one task after which its job fails.
  std::int32_t MaxAttempts = 1;
  /// The completion time objective of a job is Stretch times the length of its
  /// critical path plus Target.
  double Stretch = 1;
  std::chrono::milliseconds Target{0};
};

/// A client account: who may submit jobs, and how much they may have running.
struct ClientAccount {
  std::string Name;
  /// Secrets; must not appear in logs, errors, metrics or records.
  std::vector<std::string> ApiKeys;
  /// Fair share of the capacity when that is short, relative to the other
  /// accounts; also the number of jobs per second that the account is owed.
  double Weight = 1;
  /// Limit of the resources of all running tasks on all workers together; an
  /// amount of 0 means no limit.
  base::Resources MaxRunning;
};

/// A job as stored.
struct AcceptedJob {
  JobNumber Id{0};
  std::string Queue;
  QueuePolicy Policy;
  JobGraph Graph;
  /// Name of the client account that submitted the job; empty for none.
  std::string Account = {};
};

enum class JobState { Queued, Running, Succeeded, Failed, Cancelled };

constexpr bool isFinal(JobState s) {
  return s != JobState::Queued && s != JobState::Running;
}

/// A worker as described by its own entry.
struct WorkerProfile {
  base::WorkerId Id;
  base::ServiceName Service;
  Address Endpoint;
  base::ZoneId Zone;
  base::Resources Capacity;
  std::vector<std::string> Labels;
  bool Draining = false;
  /// Start time of the worker process, since the Unix epoch; 0 if unknown.
  std::chrono::milliseconds StartTime{0};
};

/// A queue and its HTTP route.
struct QueueRoute {
  std::string Name;
  std::string Host;
  std::string Prefix;
  QueuePolicy Policy;
  /// Some workers may be forbidden for a step; only an adviser knows which.
  bool RequiresAdvice = false;
  /// Callers need no key.
  bool Public = false;
};

/// The configuration set by operators.
struct QueueConfiguration {
  std::int64_t Version = 0;
  std::vector<QueueRoute> Routes;
  /// Empty if the installation has no client accounts: then no key is needed.
  std::vector<ClientAccount> Accounts;
  std::size_t MaxBodyBytes = 256 * 1024;
};

} // namespace endivedoor::model

template <> struct std::hash<endivedoor::model::JobNumber> {
  std::size_t operator()(endivedoor::model::JobNumber n) const noexcept {
    return endivedoor::base::toNumber(n) * 0x9E3779B97F4A7C15ULL;
  }
};

template <> struct std::hash<endivedoor::model::TaskKey> {
  std::size_t operator()(const endivedoor::model::TaskKey &k) const noexcept {
    auto mix = endivedoor::base::toNumber(k.Job);
    mix ^= (std::uint64_t(k.Occurrence) << 40 ^ std::uint64_t(k.Step) << 20 ^
            std::uint64_t(k.Index)) *
           0x9E3779B97F4A7C15ULL;
    return mix;
  }
};

#endif
