/// \file
/// What the control thread offers to the HTTP servers of callers and operators.
#ifndef ENDIVEDOOR_CONTROL_CONTROLAPI_H
#define ENDIVEDOOR_CONTROL_CONTROLAPI_H

#include "endivedoor/control/Configuration.h"
#include "endivedoor/model/Job.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"

#include <memory>
#include <string>
#include <vector>

namespace endivedoor::control {

/// Outcome of a change of configuration.
struct ChangeOutcome {
  bool Accepted = false;
  /// The new version if accepted, else the version in force that won the race.
  Configuration Current;
};

/// What is known of a job.
struct JobStatus {
  model::JobSpec Spec;
  std::vector<model::Task> Tasks;
};

/// A worker with the state of its placement lease.
struct WorkerState {
  model::Worker Worker;
  bool LeaseHeld = false;
  bool Reachable = false;
  bool Quarantined = false;
  std::int32_t TaskCount = 0;
  base::Resources FreeResources;
};

/// A zone as this daemon sees it.
struct ZoneState {
  base::ZoneId Zone;
  bool OutOfService = false;
  /// Name of the daemon that owns the shard; empty if none is known.
  std::string Owner;
  base::Epoch OwnerEpoch{0};
};

/// Called on the control thread. Errors are those of the store, and those named
/// at each method.
class ControlApi {
public:
  virtual ~ControlApi() = default;

  /// Makes a job durable in the inbox of a zone that is in.
  ///
  /// \returns the job's id; the job is then never lost.
  /// Errors: AdmissionClosed (no zone is in), StoreUnavailable (not admitted),
  /// StoreAnswerLost (unknown).
  virtual platform::Async<base::JobId> admit(model::JobSpec job) = 0;
  /// Makes the cancellation of a job durable. Errors: JobUnknown.
  virtual platform::Async<void> cancel(base::JobId job) = 0;
  /// Returns a job of this zone. Errors: JobUnknown, NotOwner (detail: the
  /// owner's operator address).
  virtual base::Result<JobStatus> job(const base::JobId &id) const = 0;
  /// Returns all jobs of this zone's shards owned by this daemon. Errors:
  /// NotOwner.
  virtual base::Result<std::vector<JobStatus>> jobs() const = 0;

  virtual const Configuration &configuration() const = 0;
  /// Replaces the rules if \p baseVersion is the version in force. Errors:
  /// RulesRejected.
  virtual platform::Async<ChangeOutcome>
  putRules(std::string text, std::uint64_t baseVersion, std::string author) = 0;
  /// Takes a zone out of service or back in. Errors: ZoneUnknown.
  virtual platform::Async<ChangeOutcome> setZoneOut(base::ZoneId zone, bool out,
                                                    std::string author) = 0;
  /// Takes over a configuration from a peer if its version is higher.
  virtual void offerConfiguration(const Configuration &config) = 0;

  virtual std::vector<ZoneState> zones() const = 0;
  virtual std::vector<WorkerState> workers() const = 0;
};

} // namespace endivedoor::control

#endif
