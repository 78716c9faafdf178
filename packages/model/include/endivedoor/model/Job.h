/// \file
/// Jobs, tasks and their states.
#ifndef ENDIVEDOOR_MODEL_JOB_H
#define ENDIVEDOOR_MODEL_JOB_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/base/Units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace endivedoor::model {

/// Service tasks are latency-critical and run until stopped; batch tasks run to
/// completion.
enum class TaskKind { Service, Batch };

/// A job as submitted by a caller; all tasks of a job are identical.
struct JobSpec {
  base::JobId Id;
  std::string Name;
  base::TeamName Team;
  base::ContractName Contract;
  base::TaskClass Class;
  TaskKind Kind = TaskKind::Batch;
  /// Name of the service whose requests the tasks handle; empty for batch.
  base::ServiceName Service;
  std::int32_t Tasks = 1;
  /// Declared resources of one task; often inaccurate.
  base::Resources Size;
  std::chrono::milliseconds DeclaredRunTime{0};
  /// Deadline in wall time, if any.
  std::optional<base::WallTime> Deadline;
  bool Urgent = false;
  /// Opaque text passed to the worker.
  std::string Payload;
};

enum class TaskState {
  Queued,
  Starting,
  Running,
  Evicting,
  Finished,
  Failed,
  Cancelled
};

/// The record of a task, owned by the shard owner of its zone.
struct Task {
  base::TaskId Id;
  base::JobId Job;
  TaskState State = TaskState::Queued;
  /// Number of the latest attempt; 0 before the first.
  base::Attempt LatestAttempt{0};
  /// Worker of the latest attempt; empty before the first attempt.
  base::WorkerId Worker;
  base::FencingToken Token{0};
  /// Checkpoint that the next attempt resumes from; empty if none.
  std::string Checkpoint;
  /// Number of failed attempts.
  std::int32_t Failures = 0;
};

} // namespace endivedoor::model

#endif
