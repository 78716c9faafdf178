#include "detail/History.h"

#include <algorithm>
#include <cmath>

namespace endivedoor::policy::detail {

static constexpr std::chrono::seconds RetentionTime{60};
/// Old changes are pruned only at this number of entries, which keeps pruning
/// rare.
static constexpr std::size_t PruneThreshold = 256;

double amountOf(const WorkloadMix &mix, Index taskClass) {
  for (const ClassAmount &part : mix)
    if (part.Class == taskClass)
      return part.Amount;
  return 0;
}

void addAmount(WorkloadMix &mix, Index taskClass, double delta) {
  for (std::size_t n = 0; n < mix.size(); ++n) {
    if (mix[n].Class != taskClass)
      continue;
    mix[n].Amount += delta;
    if (std::abs(mix[n].Amount) < 1e-6) {
      mix[n] = mix.back();
      mix.pop_back();
    }
    return;
  }
  mix.push_back({taskClass, delta});
}

History::WorkerHistory &History::record(Index worker) {
  if (worker >= Workers.size())
    Workers.resize(worker + 1);
  return Workers[worker];
}

void History::change(Index worker, Index taskClass, double delta,
                     base::TimePoint now) {
  WorkerHistory &rec = record(worker);
  if (rec.Changes.size() >= PruneThreshold) {
    // If all changes are recent, half of them are dropped so that a burst
    // cannot grow the history without bound.
    auto end = std::find_if(
        rec.Changes.begin(), rec.Changes.end(),
        [&](const Change &it) { return now - it.At < RetentionTime; });
    end = std::max(end, rec.Changes.begin() + PruneThreshold / 2);
    rec.PrunedUntil = std::prev(end)->At;
    rec.Changes.erase(rec.Changes.begin(), end);
  }
  ++rec.Version;
  addAmount(rec.Current, taskClass, delta);
  rec.Changes.push_back({now, taskClass, delta});
}

const WorkloadMix &History::current(Index worker) {
  return record(worker).Current;
}

bool History::at(Index worker, base::TimePoint t, WorkloadMix &out) {
  const WorkerHistory &rec = record(worker);
  if (t < rec.PrunedUntil)
    return false;
  out = rec.Current;
  for (auto it = rec.Changes.rbegin(); it != rec.Changes.rend() && it->At > t;
       ++it)
    addAmount(out, it->Class, -it->Delta);
  return true;
}

} // namespace endivedoor::policy::detail
