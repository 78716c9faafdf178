/// \file
/// Jobs as graphs of steps, and the queues that accept them.
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

/// Identifies a job; callers write it as 16 hexadecimal digits.
enum class JobNumber : std::uint64_t {};

/// Identifies one task of one occurrence of a job.
struct TaskKey {
  JobNumber Job{0};
  /// Occurrence of a repeated job, from 0.
  std::int32_t Occurrence = 0;
  std::int32_t Step = 0;
  std::int32_t Index = 0;
  friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

/// A step of a job: alike tasks that become ready together.
struct StepSpec {
  std::int32_t Count = 0;
  /// Needs of one task.
  base::Resources Size;
  /// Declared run time of one task; often wrong.
  std::chrono::milliseconds Estimate{0};
  /// Numbers of the earlier steps that must be done first.
  std::vector<std::int32_t> Dependencies;
  /// Label that the worker must carry; empty means any.
  std::string Requirement;
  /// Rack of the task's data; empty means none.
  std::string Affinity;
  /// Program of the tasks; tasks of one image behave alike.
  std::string Image;
  /// Largest number of tasks of this step on one worker; 0 means no limit.
  std::int32_t MaxPerWorker = 0;
  /// Response time that a lasting task owes its own users; 0 means none.
  std::chrono::milliseconds Target{0};
  /// Tasks of a lasting step that planned actions may take away at one time.
  std::int32_t MaxUnavailable = 0;
  bool SupportsCheckpoints = false;
  /// The tasks work only while all of them run.
  bool Gang = false;
  bool SameRack = false;
  /// Copies of a task may run side by side.
  bool Speculative = false;
  /// The tasks run until the job is cancelled.
  bool LongRunning = false;
  /// The tasks use processor time that others leave; it is not reserved.
  bool Filler = false;
};

/// What a caller hands in.
struct JobGraph {
  /// Opaque text that every task receives.
  std::string Payload;
  std::vector<StepSpec> Steps;
  /// Number of occurrences; 0 runs the steps once, at once.
  std::int32_t Occurrences = 0;
  /// Due time of occurrence 0, since 1970.
  std::chrono::milliseconds FirstDue{0};
  std::chrono::milliseconds Interval{0};
};

/// The terms under which a queue accepts jobs.
struct QueuePolicy {
  base::ServiceName Service;
  /// 0 is the most urgent.
  std::int32_t Priority = 0;
  /// Failed runs of one task after which its job fails.
  std::int32_t MaxAttempts = 1;
  /// A job's objective is Stretch times its longest chain plus Target.
  double Stretch = 1;
  std::chrono::milliseconds Target{0};
};

/// A job as it is stored.
struct AcceptedJob {
  JobNumber Id{0};
  std::string Queue;
  QueuePolicy Policy;
  JobGraph Graph;
};

enum class JobState { Queued, Running, Succeeded, Failed, Cancelled };

constexpr bool isFinal(JobState s) {
  return s != JobState::Queued && s != JobState::Running;
}

/// A worker as it describes itself.
struct WorkerProfile {
  base::WorkerId Id;
  base::ServiceName Service;
  Address Endpoint;
  base::ZoneId Zone;
  base::Resources Capacity;
  std::vector<std::string> Labels;
  bool Draining = false;
  /// Start of this life of the worker, since 1970; 0 if unknown.
  std::chrono::milliseconds StartTime{0};
};

/// A queue of the configuration.
struct QueueRoute {
  std::string Name;
  std::string Host;
  std::string Prefix;
  QueuePolicy Policy;
  /// Some workers may be forbidden to a step; only an adviser knows which.
  bool RequiresAdvice = false;
};

/// The operators' configuration.
struct QueueConfiguration {
  std::int64_t Version = 0;
  std::vector<QueueRoute> Routes;
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
