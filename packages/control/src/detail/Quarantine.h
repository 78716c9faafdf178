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
  bool failed(const base::WorkerId &worker, const base::JobId &job,
              base::TimePoint now);
  /// Notes a success; returns whether it ends a quarantine.
  bool succeeded(const base::WorkerId &worker);
  /// Notes an attempt that says nothing about the worker.
  void ended(const base::WorkerId &worker, base::TimePoint now);
  /// Notes a planned start.
  void planned(const base::WorkerId &worker);

  /// Returns whether a start may be planned on the worker now.
  bool allows(const base::WorkerId &worker, base::TimePoint now) const;
  bool quarantined(const base::WorkerId &worker) const;
  /// Returns all quarantined workers.
  std::vector<base::WorkerId> workers() const;

private:
  struct Record {
    std::set<base::JobId> FailedJobs;
    bool Active = false;
    bool Probing = false;
    base::Duration Interval{0};
    base::TimePoint NextProbe;
  };
  std::map<base::WorkerId, Record> Records;
};

} // namespace endivedoor::control::detail

#endif
