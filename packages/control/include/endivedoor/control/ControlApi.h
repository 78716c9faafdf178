/// \file
/// Interface of the control thread to the HTTP servers of callers and
/// operators.
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

/// Result of a configuration change.
struct ChangeOutcome {
  bool Accepted = false;
  /// The new configuration if accepted; otherwise the current one, which
  /// conflicted with the change.
  Configuration Current;
};

/// A job and its tasks.
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

/// The state of a zone as known to this daemon.
struct ZoneState {
  base::ZoneId Zone;
  bool OutOfService = false;
  /// Name of the daemon that owns the shard; empty if none is known.
  std::string Owner;
  base::Epoch OwnerEpoch{0};
};

/// All methods must be called on the control thread. Besides the errors listed
/// at each method, any error of the store may be returned.
class ControlApi {
public:
  virtual ~ControlApi() = default;

  /// Stores a job in the inboxes of one or more zones that are in service.
  ///
  /// \returns the job's id; the job is durable from then on.
  /// Errors: AdmissionClosed (no zone is in service), StoreUnavailable (not
  /// admitted), StoreAnswerLost (unknown whether admitted).
  virtual platform::Async<base::JobId> admit(model::JobSpec job) = 0;
  /// Stores the cancellation of a job durably. Errors: JobUnknown.
  virtual platform::Async<void> cancel(base::JobId job) = 0;
  /// Returns a job of this zone. Errors: JobUnknown, NotOwner (detail: the
  /// owner's operator address).
  virtual base::Result<JobStatus> job(const base::JobId &id) const = 0;
  /// Returns all jobs of this zone's shard. Errors: NotOwner.
  virtual base::Result<std::vector<JobStatus>> jobs() const = 0;

  virtual const Configuration &configuration() const = 0;
  /// Replaces the rules if \p baseVersion is the current version. Errors:
  /// RulesRejected.
  virtual platform::Async<ChangeOutcome>
  putRules(std::string text, std::uint64_t baseVersion, std::string author) = 0;
  /// Takes a zone out of service or returns it to service. Errors: ZoneUnknown,
  /// ZoneOutByRule.
  virtual platform::Async<ChangeOutcome> setZoneOut(base::ZoneId zone, bool out,
                                                    std::string author) = 0;
  /// Applies a configuration received from a peer if its version is higher.
  virtual void offerConfiguration(const Configuration &config) = 0;

  virtual std::vector<ZoneState> zones() const = 0;
  virtual std::vector<WorkerState> workers() const = 0;
};

} // namespace endivedoor::control

#endif
