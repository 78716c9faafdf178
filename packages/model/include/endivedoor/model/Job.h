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

/// Service tasks are latency-critical and run until stopped; batch tasks end by
/// themselves.
enum class TaskKind { Service, Batch };

/// What a caller asks for; every task of a job is alike.
struct JobSpec {
  base::JobId Id;
  std::string Name;
  base::TeamName Team;
  base::ContractName Contract;
  base::TaskClass Class;
  TaskKind Kind = TaskKind::Batch;
  /// Name of the service whose requests the tasks answer; empty for batch.
  base::ServiceName Service;
  std::int32_t Tasks = 1;
  /// Declared amounts of one task; often wrong.
  base::Resources Size;
  std::chrono::milliseconds DeclaredRunTime{0};
  /// Deadline in wall time; none if absent.
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

/// A task's record, owned by the shard owner of its zone.
struct Task {
  base::TaskId Id;
  base::JobId Job;
  TaskState State = TaskState::Queued;
  /// Number of the latest attempt; 0 before the first.
  base::Attempt LatestAttempt{0};
  /// Worker of the latest attempt; empty while queued for the first time.
  base::WorkerId Worker;
  base::FencingToken Token{0};
  /// Checkpoint that the next attempt resumes from; empty if none.
  std::string Checkpoint;
  /// Failed attempts so far.
  std::int32_t Failures = 0;
};

} // namespace endivedoor::model

#endif
