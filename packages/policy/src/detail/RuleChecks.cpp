// Rule compliance checks of AdaptiveScheduler.
#include "detail/AdaptiveScheduler.h"

#include <algorithm>

namespace endivedoor::policy::detail {

void AdaptiveScheduler::checkPlacementRules(Index task, Index worker) {
  const JobRec &jobRec = Records.jobOf(task);
  const WorkerRec &host = Records.Workers[worker];
  Limit quota = Rules.quota(jobRec.Team);
  std::int64_t slots = teamSlots(jobRec.Team) + jobRec.Size.Slots;
  Rules.recordCheck(quota.Rule, slots <= quota.Value, double(slots), [&] {
    return "team " + Records.Teams.name(jobRec.Team).str() + " holds " +
           std::to_string(slots) + " slots";
  });
  if (jobRec.Service != None) {
    Limit racks = Rules.maxPerRack(jobRec.Service);
    std::int32_t there = ServiceSpread.inRack(jobRec.Service, host.Rack) + 1;
    Rules.recordCheck(racks.Rule, there <= racks.Value, there, [&] {
      return std::to_string(there) + " tasks in one rack, on worker " +
             host.Id.str();
    });
  } else if (host.Known) {
    std::int32_t batch = host.BatchSlots + jobRec.Size.Slots;
    Rules.recordCheck(Rules.reserve(host.Zone).Rule,
                      batch <= Rules.batchSlots(host), batch, [&] {
                        return "batch work takes " + std::to_string(batch) +
                               " slots of worker " + host.Id.str();
                      });
  }
  for (const Separation &rule : Rules.separations()) {
    bool isClass = jobRec.Class == rule.Class,
         isService = jobRec.Service == rule.Service;
    if (!isClass && !isService)
      continue;
    bool apart =
        std::none_of(host.Tasks.begin(), host.Tasks.end(), [&](Index other) {
          const JobRec &there = Records.jobOf(other);
          return isClass ? there.Service == rule.Service
                         : there.Class == rule.Class;
        });
    Rules.recordCheck(rule.Rule, apart, 1,
                      [&] { return "both on worker " + host.Id.str(); });
  }
}

void AdaptiveScheduler::checkZoneRule(Index service) {
  Limit rule = Rules.minZones(service);
  std::int32_t zones = ServiceSpread.zones(service);
  if (!rule.isSet() || zones == 0)
    return;
  // The scheduler of a single zone can only check that the service runs in that
  // zone.
  std::int64_t wanted =
      std::min<std::int64_t>(rule.Value, Records.Zones.size());
  Rules.recordCheck(rule.Rule, zones >= wanted, double(wanted - zones), [&] {
    return "service " + Records.Services.name(service).str() + " runs in " +
           std::to_string(zones) + " of " + std::to_string(wanted) + " zones";
  });
}

void AdaptiveScheduler::checkDeadlineRule(Index task) {
  const JobRec &jobRec = Records.jobOf(task);
  Limit rule = Rules.deadlineRule(jobRec.Class);
  if (!rule.isSet())
    return;
  auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock.now() - jobRec.AdmittedAt);
  Rules.recordCheck(rule.Rule, took.count() <= rule.Value, double(took.count()),
                    [&] {
                      return "job " + jobRec.Id.str() + " took " +
                             std::to_string(took.count() / 1000) + " s";
                    });
}

} // namespace endivedoor::policy::detail
