/// \file
/// Baseline schedulers for comparison.
#ifndef ENDIVEDOOR_POLICY_DETAIL_BASELINE_H
#define ENDIVEDOOR_POLICY_DETAIL_BASELINE_H

#include "detail/SchedulerRecords.h"

#include "endivedoor/policy/Scheduler.h"

#include <deque>
#include <random>

namespace endivedoor::policy::detail {

/// First-come, first-served queue with a fixed selection strategy among the
/// workers that have room for the declared size.
class Baseline final : public Scheduler {
public:
  Baseline(BaselineKind kind, const base::Clock &clock, std::uint64_t seed);

  void applyRules(const model::RuleSet &rules) override;
  void setAdmission(bool open, double share) override;
  void upsertWorker(const model::Worker &worker) override;
  void removeWorker(const base::WorkerId &worker) override;
  void enqueue(const base::TaskId &task, const model::JobSpec &job) override;
  void cancel(const base::TaskId &task) override;
  void started(const base::TaskId &task, const model::JobSpec &job,
               const base::WorkerId &worker) override;
  void startFailed(const base::TaskId &task,
                   const base::WorkerId &worker) override;
  void ended(const base::TaskId &task, EndReason reason) override;
  void observe(const Measurement &measurement) override;
  std::vector<Decision> decide(std::size_t maxStarts) override;

private:
  using Choice = Index (Baseline::*)(const base::Resources &);
  Index chooseRandom(const base::Resources &need);
  Index chooseFirst(const base::Resources &need);
  Index chooseLeastLoaded(const base::Resources &need);
  Index chooseOfTwo(const base::Resources &need);
  bool hasRoom(Index worker, const base::Resources &need) const;
  /// Fills Candidates with the workers that have room.
  void collectCandidates(const base::Resources &need);
  bool fitsAnyWorker(const base::Resources &need) const;

  const base::Clock &Clock;
  Choice Choose;
  std::mt19937_64 Random;
  SchedulerRecords Records;
  std::deque<base::TaskId> Queue;
  std::vector<Index> Candidates;
  std::vector<bool> OutWorkers;
  std::vector<bool> OutZones;
  bool Open = true;
};

} // namespace endivedoor::policy::detail

#endif
