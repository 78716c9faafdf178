#include "detail/Admission.h"

#include <algorithm>
#include <array>

namespace endivedoor::policy::detail {

namespace {

/// One amount of a size, with its name in reasons.
struct Amount {
  const char *Name;
  const char *Unit;
  std::int64_t (*Of)(const base::Resources &);
};

constexpr std::array<Amount, 4> HardAmounts{{
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
  return std::all_of(
      HardAmounts.begin(), HardAmounts.end(),
      [&](const Amount &it) { return it.Of(need) <= it.Of(capacity); });
}

std::string text(const Amount &it, std::int64_t n) {
  return std::to_string(n) + it.Unit;
}

} // namespace

static std::optional<std::string> sizeReason(const State &s,
                                             const JobRec &job) {
  std::string reason;
  for (const Amount &it : HardAmounts) {
    std::int64_t largest = 0;
    for (const WorkerRec &worker : s.Workers)
      if (worker.Known)
        largest = std::max(largest, it.Of(worker.Capacity));
    if (it.Of(job.Size) <= largest)
      continue;
    reason += reason.empty() ? "" : "; ";
    reason += std::string("needs ") + it.Name + " " +
              text(it, it.Of(job.Size)) + ", the largest worker has " +
              text(it, largest);
  }
  if (reason.empty())
    reason = "no single worker has all of its amounts";
  return "fits no worker: " + reason;
}

std::optional<std::string> refusalReason(const State &s, const RuleBook &rules,
                                         const JobRec &job) {
  Limit quota = rules.quota(job.Team);
  if (quota.set() && job.Size.Slots > quota.Value)
    return "needs slots " + std::to_string(job.Size.Slots) +
           ", rule quota team " + s.Teams.name(job.Team).str() + " allows " +
           std::to_string(quota.Value);
  bool large = false;
  for (const WorkerRec &worker : s.Workers) {
    if (!worker.Known || !fits(job.Size, worker.Capacity))
      continue;
    large = true;
    if (job.Kind != model::TaskKind::Batch ||
        job.Size.Slots <= rules.batchSlots(worker))
      return std::nullopt;
  }
  if (large)
    return "needs slots " + std::to_string(job.Size.Slots) +
           ", the rules that reserve slots leave fewer to batch work on every "
           "worker that is large enough";
  return sizeReason(s, job);
}

} // namespace endivedoor::policy::detail
