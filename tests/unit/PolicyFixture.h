/// \file
/// Builders and the fixture of the scheduler tests.
#ifndef ENDIVEDOOR_TESTS_UNIT_POLICYFIXTURE_H
#define ENDIVEDOOR_TESTS_UNIT_POLICYFIXTURE_H

#include "endivedoor/policy/Policy.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace endivedoor::policy {

using namespace std::chrono_literals;

inline base::Resources makeResources(int slots, int connections, int cores,
                                     int memoryMb, int accelerators = 0) {
  return {slots, connections, base::MilliCores{cores * 1000},
          base::MebiBytes{memoryMb}, accelerators};
}

inline model::Worker
makeWorker(const std::string &id, const std::string &zone,
           const std::string &rack,
           base::Resources capacity = makeResources(8, 64, 32, 125000)) {
  model::Worker it;
  it.Id = base::WorkerId(id);
  it.Zone = base::ZoneId(zone);
  it.Rack = base::RackId(rack);
  it.Capacity = capacity;
  return it;
}

inline model::JobSpec makeBatchJob(const std::string &id,
                                   base::Resources need = makeResources(1, 1, 1,
                                                                        1000)) {
  model::JobSpec it;
  it.Id = base::JobId(id);
  it.Team = base::TeamName("team");
  it.Class = base::TaskClass("quiet");
  it.Size = need;
  it.DeclaredRunTime = 60s;
  return it;
}

inline model::JobSpec makeServiceJob(const std::string &id,
                                     const std::string &name) {
  model::JobSpec it = makeBatchJob(id);
  it.Kind = model::TaskKind::Service;
  it.Service = base::ServiceName(name);
  it.Class = base::TaskClass(name);
  return it;
}

inline base::TaskId makeTaskId(const std::string &id) {
  return base::TaskId(id);
}

/// Returns the decisions of type \p Kind.
template <typename Kind>
std::vector<Kind> decisionsOfType(const std::vector<Decision> &decisions) {
  std::vector<Kind> out;
  for (const Decision &it : decisions)
    if (auto *kind = std::get_if<Kind>(&it))
      out.push_back(*kind);
  return out;
}

class PolicyTest : public testing::Test {
protected:
  void buildScheduler(PolicySettings settings = {}) {
    TestedScheduler = makeScheduler(Clock, 7, settings);
  }
  void addRule(model::RuleBody body, const std::string &text) {
    Rules.Rules.push_back({Rules.Rules.size() + 1, text, std::move(body),
                           base::ContractName("karoo"), "test"});
    TestedScheduler->applyRules(Rules);
  }
  /// Runs one decision round. Returns the worker of each started task, by task.
  std::map<std::string, std::string>
  startedWorkers(std::size_t maxDecisions = 1000) {
    std::map<std::string, std::string> out;
    LastDecisions = TestedScheduler->decide(maxDecisions);
    for (const StartTask &it : decisionsOfType<StartTask>(LastDecisions))
      out[it.Task.str()] = it.Worker.str();
    return out;
  }
  void reportMeasurement(const std::string &id, base::Duration age, int p95Ms,
                         int cores = 1) {
    Measurement it;
    it.Task = makeTaskId(id);
    it.Cpu = base::MilliCores{cores * 1000};
    it.Memory = base::MebiBytes{500};
    it.P95 = std::chrono::milliseconds(p95Ms);
    it.TakenAt = Clock.now() - age;
    TestedScheduler->observe(it);
  }

  base::ManualClock Clock;
  model::RuleSet Rules;
  std::unique_ptr<Scheduler> TestedScheduler = makeScheduler(Clock, 7);
  std::vector<Decision> LastDecisions;
};

} // namespace endivedoor::policy

#endif
