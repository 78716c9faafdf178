/// \file
/// Priority queue of the jobs with queued tasks.
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

/// Orders urgent jobs first, then services, which have no slack, then batch
/// jobs by latest start. The latest start is the deadline minus the estimated
/// run time, but not before admission. Jobs without a deadline are assigned one
/// a day after admission to prevent starvation.
class JobQueue {
public:
  /// \param byLatestStart whether jobs of the same rank are ordered by latest
  /// start; otherwise in order of arrival.
  /// \param useMeasuredRunTimes whether estimated run times replace the
  /// declared ones.
  JobQueue(SchedulerRecords &records, Estimator &estimates, bool byLatestStart,
           bool useMeasuredRunTimes)
      : Records(records), Estimates(estimates), ByLatestStart(byLatestStart),
        UseMeasuredRunTimes(useMeasuredRunTimes) {}

  /// Adds a job that has queued tasks; no effect if it is already in the queue.
  void add(Index job, std::optional<base::Duration> classDeadline);
  void remove(Index job);
  /// Recomputes all latest starts from the current estimates and reorders the
  /// jobs.
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
