/// \file
/// The scheduler in use: receives events, keeps the records and asks the
/// strategies.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ADAPTIVESCHEDULER_H
#define ENDIVEDOOR_POLICY_DETAIL_ADAPTIVESCHEDULER_H

#include "detail/Placement.h"
#include "detail/Queue.h"
#include "detail/Ramp.h"

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
  Index job(const model::JobSpec &spec);
  void queueTask(Index task);
  void unqueueTask(Index task);
  void place(Index task, Index worker);
  Index unplace(Index task);
  /// Recounts the services of a worker whose zone or rack changes.
  void countServices(Index worker, std::int32_t sign);
  std::int64_t teamSlots(Index team) const;
  void addTeamSlots(Index team, std::int64_t slots);
  bool isWithinQuota(const JobRec &job) const;

  void startWaiting(std::size_t maxStarts, std::vector<Decision> &out);
  /// Starts queued tasks of one job. Returns the number of starts.
  std::size_t startJob(Index job, std::size_t maxStarts,
                       std::vector<Decision> &out);
  bool refuse(Index job, std::vector<Decision> &out);
  void evictForUrgent(Index job, std::vector<Decision> &out);
  Index victimFor(const JobRec &job) const;
  void refreshQueue();

  void countPlacement(Index task, Index worker);
  void countZones(Index service);
  void countDeadline(Index task);
  void observeService(Index task, const Measurement &m);
  void observeUse(Index task, const Measurement &m);

  const base::Clock &Clock;
  PolicySettings Settings;
  State S;
  RuleBook Rules;
  Spread Where;
  Health Fitness;
  History Past;
  Interference Model;
  Estimator Sizes;
  Guard Latency;
  Queue Waiting;
  Placement Places;
  Ramp Admission;

  std::vector<std::int64_t> SlotsByTeam;
  std::int64_t UsedSlots = 0;
  std::int64_t TotalSlots = 0;
  /// Decisions caused by measurements, returned by the next decide().
  std::vector<Decision> Pending;
  /// Services whose zones changed since the last decide().
  std::vector<Index> MovedServices;
  Composition Mix;
  base::TimePoint LastNewWorker;
  std::uint64_t WorkerGeneration = 1;
  base::TimePoint LastRefresh;
  /// Evictions for urgent tasks that have not ended yet.
  std::int32_t UrgentEvictions = 0;
};

} // namespace endivedoor::policy::detail

#endif
