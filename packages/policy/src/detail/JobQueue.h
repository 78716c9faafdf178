/// \file
/// Order of the jobs that wait.
#ifndef ENDIVEDOOR_POLICY_DETAIL_JOBQUEUE_H
#define ENDIVEDOOR_POLICY_DETAIL_JOBQUEUE_H

#include "detail/Estimator.h"
#include "detail/SchedulerRecords.h"

#include <compare>
#include <set>

namespace endivedoor::policy::detail {

struct QueueKey {
  /// 0 urgent, 1 service, 2 batch.
  std::int32_t Rank = 0;
  std::int64_t LatestStart = 0;
  std::uint64_t Arrival = 0;
  Index Job = None;
  friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

/// Urgent jobs first, then services, which have no slack, then the earliest
/// latest start: the deadline minus the estimated run time, at the earliest the
/// admission. Jobs without a deadline are
/// given one a day after admission, so that they are not passed over for ever.
class JobQueue {
public:
  /// \param byLatestStart false: order of arrival.
  JobQueue(SchedulerRecords &records, Estimator &estimates, bool byLatestStart,
           bool useMeasuredRunTimes)
      : Records(records), Estimates(estimates), ByLatestStart(byLatestStart),
        UseMeasuredRunTimes(useMeasuredRunTimes) {}

  /// Lists a job that has queued tasks; no effect if it is listed.
  void add(Index job, std::optional<base::Duration> classDeadline);
  void remove(Index job);
  /// Orders all jobs anew by the estimates of now.
  void refresh();

  auto begin() const { return Keys.begin(); }
  auto end() const { return Keys.end(); }
  std::size_t size() const { return Keys.size(); }

private:
  QueueKey keyOf(Index job) const;
  std::int64_t latestStart(const JobRec &job);

  SchedulerRecords &Records;
  Estimator &Estimates;
  bool ByLatestStart;
  bool UseMeasuredRunTimes;
  std::set<QueueKey> Keys;
  std::uint64_t Arrivals = 0;
};

} // namespace endivedoor::policy::detail

#endif
