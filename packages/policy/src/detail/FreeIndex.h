/// \file
/// Index of the workers that accept new work, by free slots.
#ifndef ENDIVEDOOR_POLICY_DETAIL_FREEINDEX_H
#define ENDIVEDOOR_POLICY_DETAIL_FREEINDEX_H

#include "detail/Interner.h"

#include <algorithm>

namespace endivedoor::policy::detail {

/// Keeps one list of workers per number of free slots. Updates are O(1);
/// sampling is O(lists + sample size), independent of the number of workers.
class FreeIndex {
public:
  /// Inserts a worker with \p freeSlots free slots, or moves it to the matching
  /// list.
  void put(Index worker, std::int32_t freeSlots);
  void remove(Index worker);
  bool contains(Index worker) const {
    return worker < Locations.size() && Locations[worker].List != None;
  }

  /// Calls \p visit with up to \p limit workers that have at least \p slots
  /// free, evenly spaced from a start position derived from \p random.
  ///
  /// \returns whether all such workers were visited.
  template <typename Visit>
  bool sample(std::int32_t slots, std::size_t limit, std::uint64_t random,
              Visit visit) const {
    std::size_t first = listOf(slots), total = 0;
    for (std::size_t n = first; n < Lists.size(); ++n)
      total += Lists[n].size();
    if (total == 0)
      return true;
    std::size_t taken = std::min(limit, total);
    std::size_t start = random % total, n = first, before = 0;
    for (std::size_t i = 0; i < taken; ++i) {
      std::size_t at = start + i * total / taken;
      if (at >= total) {
        // Wrapped around: continue from the first list.
        at -= total;
        if (before > at) {
          n = first;
          before = 0;
        }
      }
      while (at >= before + Lists[n].size())
        before += Lists[n++].size();
      visit(Lists[n][at - before]);
    }
    return taken == total;
  }

private:
  struct Location {
    Index List = None;
    Index Position = 0;
  };
  static std::size_t listOf(std::int32_t slots) {
    return slots < 0 ? 0 : std::size_t(slots) + 1;
  }

  /// List 0 holds workers with a negative number of free slots.
  std::vector<std::vector<Index>> Lists;
  std::vector<Location> Locations;
};

} // namespace endivedoor::policy::detail

#endif
