#include "detail/Admission.h"

#include <algorithm>
#include <array>

namespace endivedoor::policy::detail {

namespace {

/// A resource dimension and its name in refusal reasons.
struct Dimension {
  const char *Name;
  const char *Unit;
  std::int64_t (*Value)(const base::Resources &);
};

constexpr std::array<Dimension, 4> HardDimensions{{
    {"slots", "",
     [](const base::Resources &r) { return std::int64_t(r.Slots); }},
    {"connections", "",
     [](const base::Resources &r) { return std::int64_t(r.Connections); }},
    {"memory", " MB",
     [](const base::Resources &r) { return base::count(r.Memory); }},
    {"accelerators", "",
     [](const base::Resources &r) { return std::int64_t(r.Accelerators); }},
}};

bool fits(const base::Resources &need, const base::Resources &capacity) {
  return std::all_of(HardDimensions.begin(), HardDimensions.end(),
                     [&](const Dimension &dimension) {
                       return dimension.Value(need) <=
                              dimension.Value(capacity);
                     });
}

std::string formatAmount(const Dimension &dimension, std::int64_t n) {
  return std::to_string(n) + dimension.Unit;
}

} // namespace

static std::optional<std::string>
sizeRefusalReason(const SchedulerRecords &records, const JobRec &job) {
  std::string reason;
  for (const Dimension &dimension : HardDimensions) {
    std::int64_t largest = 0;
    for (const WorkerRec &worker : records.Workers)
      if (worker.Known)
        largest = std::max(largest, dimension.Value(worker.Capacity));
    if (dimension.Value(job.Size) <= largest)
      continue;
    reason += reason.empty() ? "" : "; ";
    reason += std::string("needs ") + dimension.Name + " " +
              formatAmount(dimension, dimension.Value(job.Size)) +
              ", the largest worker has " + formatAmount(dimension, largest);
  }
  if (reason.empty())
    reason = "no single worker has all of its amounts";
  return "fits no worker: " + reason;
}

std::optional<std::string> refusalReason(const SchedulerRecords &records,
                                         const RuleTable &rules,
                                         const JobRec &job) {
  Limit quota = rules.quota(job.Team);
  if (quota.isSet() && job.Size.Slots > quota.Value)
    return "needs slots " + std::to_string(job.Size.Slots) +
           ", rule quota team " + records.Teams.name(job.Team).str() +
           " allows " + std::to_string(quota.Value);
  bool fitsSomeWorker = false;
  for (const WorkerRec &worker : records.Workers) {
    if (!worker.Known || !fits(job.Size, worker.Capacity))
      continue;
    fitsSomeWorker = true;
    if (job.Kind != model::TaskKind::Batch ||
        job.Size.Slots <= rules.batchSlots(worker))
      return std::nullopt;
  }
  if (fitsSomeWorker)
    return "needs slots " + std::to_string(job.Size.Slots) +
           ", the rules that reserve slots leave fewer to batch work on every "
           "worker that is large enough";
  return sizeRefusalReason(records, job);
}

} // namespace endivedoor::policy::detail
