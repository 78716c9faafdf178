#include "detail/ReplacedOwners.h"

namespace endivedoor::dispatch::detail {

using base::TimePoint;

/// Number of replaced owners of a shard whose times are kept. Terms are
/// replaced in order, so an older one ended no later than the oldest that is
/// kept.
constexpr std::size_t MaxReplacedOwners = 16;

void ReplacedOwners::note(std::int32_t shard, std::int64_t term,
                          TimePoint now) {
  std::map<std::int64_t, TimePoint> &times = Times[shard];
  if (term <= 1 || (!times.empty() && times.rbegin()->first >= term - 1))
    return;
  times[term - 1] = now;
  if (times.size() > MaxReplacedOwners)
    times.erase(times.begin());
}

std::optional<TimePoint> ReplacedOwners::at(std::int32_t shard,
                                            std::int64_t term) const {
  auto times = Times.find(shard);
  if (times == Times.end())
    return std::nullopt;
  auto it = times->second.lower_bound(term);
  if (it == times->second.end())
    return std::nullopt;
  return it->second;
}

std::vector<FormerTerm>
ReplacedOwners::terms(std::int32_t shard,
                      const std::vector<EarlierOwner> &mayAct,
                      TimePoint now) const {
  std::vector<FormerTerm> terms;
  if (auto times = Times.find(shard); times != Times.end())
    for (const auto &[term, replaced] : times->second)
      terms.push_back({term, replaced, false});
  for (const EarlierOwner &it : mayAct)
    terms.push_back({it.Term, at(shard, it.Term).value_or(now), true});
  return terms;
}

} // namespace endivedoor::dispatch::detail
