/// \file
/// Production scheduler: processes events, maintains the records and applies
/// the placement and protection strategies.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ADAPTIVESCHEDULER_H
#define ENDIVEDOOR_POLICY_DETAIL_ADAPTIVESCHEDULER_H

#include "detail/AdmissionRamp.h"
#include "detail/JobQueue.h"
#include "detail/Placement.h"

namespace endivedoor::policy::detail {

class AdaptiveScheduler final : public Scheduler {
public:
  AdaptiveScheduler(const base::Clock &clock, std::uint64_t seed,
                    const PolicySettings &settings);

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
  std::vector<RuleStatus> ruleStatus() const override;

private:
  Index upsertJob(const model::JobSpec &spec);
  void queueTask(Index task);
  void unqueueTask(Index task);
  void place(Index task, Index worker);
  Index unplace(Index task);
  /// Adds or removes a worker's services in the spread counts, before and after
  /// its zone or rack changes.
  void countServices(Index worker, std::int32_t sign);
  std::int64_t teamSlots(Index team) const;
  void addTeamSlots(Index team, std::int64_t slots);
  bool isWithinQuota(const JobRec &job) const;

  void startQueuedJobs(std::size_t maxStarts, std::vector<Decision> &out);
  /// Starts queued tasks of a job and returns the number of starts.
  std::size_t startJob(Index job, std::size_t maxStarts,
                       std::vector<Decision> &out);
  bool refuseIfImpossible(Index job, std::vector<Decision> &out);
  void evictForUrgent(Index job, std::vector<Decision> &out);
  Index chooseVictim(const JobRec &job) const;
  void refreshQueue();

  void checkPlacementRules(Index task, Index worker);
  void checkZoneRule(Index service);
  void checkDeadlineRule(Index task);
  void observeService(Index task, const Measurement &m);
  void observeUsage(Index task, const Measurement &m);

  const base::Clock &Clock;
  PolicySettings Settings;
  SchedulerRecords Records;
  RuleTable Rules;
  Spread ServiceSpread;
  Health WorkerHealth;
  History MixHistory;
  InterferenceModel Model;
  Estimator Estimates;
  LatencyGuard ServiceGuard;
  JobQueue QueuedJobs;
  Placement Placer;
  AdmissionRamp Admission;

  std::vector<std::int64_t> SlotsByTeam;
  std::int64_t UsedSlots = 0;
  std::int64_t TotalSlots = 0;
  /// Decisions triggered by measurements, returned by the next decide().
  std::vector<Decision> Pending;
  /// Services whose zone counts may have changed since the last decide(). May
  /// contain duplicates.
  std::vector<Index> ChangedServices;
  WorkloadMix Mix;
  base::TimePoint LastWorkerAdded;
  std::uint64_t WorkerGeneration = 1;
  base::TimePoint LastRefresh;
  /// Evictions on behalf of urgent tasks and services that have not completed
  /// yet.
  std::int32_t UrgentEvictions = 0;
};

} // namespace endivedoor::policy::detail

#endif
