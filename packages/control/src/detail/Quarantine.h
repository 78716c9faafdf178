/// \file
/// Keeps starts away from workers that fail everything.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_QUARANTINE_H
#define ENDIVEDOOR_CONTROL_DETAIL_QUARANTINE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace endivedoor::control::detail {

/// Counts failures in a row for each worker. After 3 of different jobs the
/// worker gets one probe at a time, at intervals that double from 5 s to 5 min.
class Quarantine {
public:
  /// Notes a failed attempt; returns whether the worker is quarantined by it.
  bool recordFailure(const base::WorkerId &worker, const base::JobId &job,
                     base::TimePoint now);
  /// Notes a success; returns whether it ends a quarantine.
  bool recordSuccess(const base::WorkerId &worker);
  /// Notes an attempt that says nothing about the worker.
  void recordInconclusive(const base::WorkerId &worker, base::TimePoint now);
  /// Notes a planned start.
  void recordPlannedStart(const base::WorkerId &worker);

  /// Returns whether a start may be planned on the worker now.
  bool allowsStart(const base::WorkerId &worker, base::TimePoint now) const;
  bool isQuarantined(const base::WorkerId &worker) const;
  /// Returns all quarantined workers.
  std::vector<base::WorkerId> quarantinedWorkers() const;

private:
  struct WorkerRecord {
    std::set<base::JobId> FailedJobs;
    bool Quarantined = false;
    bool ProbeInFlight = false;
    base::Duration ProbeInterval{0};
    base::TimePoint NextProbe;
  };
  std::map<base::WorkerId, WorkerRecord> Records;
};

} // namespace endivedoor::control::detail

#endif
