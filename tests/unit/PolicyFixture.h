/// \file
/// Builders and an independent ledger for the tests of the scheduler.
#ifndef ENDIVEDOOR_TESTS_UNIT_POLICYFIXTURE_H
#define ENDIVEDOOR_TESTS_UNIT_POLICYFIXTURE_H

#include "endivedoor/policy/Policy.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace endivedoor::policy {

using namespace std::chrono_literals;

inline base::Resources size(int slots, int connections, int cores, int memoryMb,
                            int accelerators = 0) {
  return {slots, connections, base::MilliCores{cores * 1000},
          base::MebiBytes{memoryMb}, accelerators};
}

inline model::Worker
worker(const std::string &id, const std::string &zone, const std::string &rack,
       base::Resources capacity = size(8, 64, 32, 125000)) {
  model::Worker it;
  it.Id = base::WorkerId(id);
  it.Zone = base::ZoneId(zone);
  it.Rack = base::RackId(rack);
  it.Capacity = capacity;
  return it;
}

inline model::JobSpec batch(const std::string &id,
                            base::Resources need = size(1, 1, 1, 1000)) {
  model::JobSpec it;
  it.Id = base::JobId(id);
  it.Team = base::TeamName("team");
  it.Class = base::TaskClass("quiet");
  it.Size = need;
  it.DeclaredRunTime = 60s;
  return it;
}

inline model::JobSpec service(const std::string &id, const std::string &name) {
  model::JobSpec it = batch(id);
  it.Kind = model::TaskKind::Service;
  it.Service = base::ServiceName(name);
  it.Class = base::TaskClass(name);
  return it;
}

inline base::TaskId task(const std::string &id) { return base::TaskId(id); }

/// Decisions of one kind.
template <typename Kind>
std::vector<Kind> only(const std::vector<Decision> &all) {
  std::vector<Kind> out;
  for (const Decision &it : all)
    if (auto *kind = std::get_if<Kind>(&it))
      out.push_back(*kind);
  return out;
}

class PolicyTest : public testing::Test {
protected:
  void build(PolicySettings settings = {}) {
    Chooser = makeScheduler(Clock, 7, settings);
  }
  void rule(model::RuleBody body, const std::string &text) {
    Rules.Rules.push_back({Rules.Rules.size() + 1, text, std::move(body),
                           base::ContractName("karoo"), "test"});
    Chooser->applyRules(Rules);
  }
  /// Returns where each task started, by task.
  std::map<std::string, std::string> starts(std::size_t most = 1000) {
    std::map<std::string, std::string> out;
    Last = Chooser->decide(most);
    for (const StartTask &it : only<StartTask>(Last))
      out[it.Task.str()] = it.Worker.str();
    return out;
  }
  void measure(const std::string &id, base::Duration age, int p95Ms,
               int cores = 1) {
    Measurement it;
    it.Task = task(id);
    it.Cpu = base::MilliCores{cores * 1000};
    it.Memory = base::MebiBytes{500};
    it.P95 = std::chrono::milliseconds(p95Ms);
    it.TakenAt = Clock.now() - age;
    Chooser->observe(it);
  }

  base::ManualClock Clock;
  model::RuleSet Rules;
  std::unique_ptr<Scheduler> Chooser = makeScheduler(Clock, 7);
  std::vector<Decision> Last;
};

} // namespace endivedoor::policy

#endif
