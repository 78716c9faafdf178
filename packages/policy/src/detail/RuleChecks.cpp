// The part of AdaptiveScheduler that counts how well the rules are kept.
#include "detail/AdaptiveScheduler.h"

#include <algorithm>

namespace endivedoor::policy::detail {

void AdaptiveScheduler::countPlacement(Index task, Index worker) {
  const JobRec &it = S.jobOf(task);
  const WorkerRec &host = S.Workers[worker];
  Limit quota = Rules.quota(it.Team);
  std::int64_t slots = teamSlots(it.Team) + it.Size.Slots;
  Rules.count(quota.Rule, slots <= quota.Value, double(slots), [&] {
    return "team " + S.Teams.name(it.Team).str() + " holds " +
           std::to_string(slots) + " slots";
  });
  if (it.Service != None) {
    Limit racks = Rules.maxPerRack(it.Service);
    std::int32_t there = Where.inRack(it.Service, host.Rack) + 1;
    Rules.count(racks.Rule, there <= racks.Value, there, [&] {
      return std::to_string(there) + " tasks in one rack, on worker " +
             host.Id.str();
    });
  } else if (host.Known) {
    std::int32_t batch = host.BatchSlots + it.Size.Slots;
    Rules.count(Rules.reserve(host.Zone).Rule, batch <= Rules.batchSlots(host),
                batch, [&] {
                  return "batch work takes " + std::to_string(batch) +
                         " slots of worker " + host.Id.str();
                });
  }
  for (const Separation &rule : Rules.separations()) {
    bool isClass = it.Class == rule.Class,
         isService = it.Service == rule.Service;
    if (!isClass && !isService)
      continue;
    bool apart =
        std::none_of(host.Tasks.begin(), host.Tasks.end(), [&](Index other) {
          const JobRec &there = S.jobOf(other);
          return isClass ? there.Service == rule.Service
                         : there.Class == rule.Class;
        });
    Rules.count(rule.Rule, apart, 1,
                [&] { return "both on worker " + host.Id.str(); });
  }
}

void AdaptiveScheduler::countZones(Index service) {
  Limit rule = Rules.atLeastZones(service);
  std::int32_t zones = Where.zones(service);
  if (!rule.set() || zones == 0)
    return;
  // A scheduler of one zone can only see to it that the service runs there.
  std::int64_t wanted = std::min<std::int64_t>(rule.Value, S.Zones.size());
  Rules.count(rule.Rule, zones >= wanted, double(wanted - zones), [&] {
    return "service " + S.Services.name(service).str() + " runs in " +
           std::to_string(zones) + " of " + std::to_string(wanted) + " zones";
  });
}

void AdaptiveScheduler::countDeadline(Index task) {
  const JobRec &it = S.jobOf(task);
  Limit rule = Rules.deadlineRule(it.Class);
  if (!rule.set())
    return;
  auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock.now() - it.AdmittedAt);
  Rules.count(rule.Rule, took.count() <= rule.Value, double(took.count()), [&] {
    return "job " + it.Id.str() + " took " +
           std::to_string(took.count() / 1000) + " s";
  });
}

} // namespace endivedoor::policy::detail
