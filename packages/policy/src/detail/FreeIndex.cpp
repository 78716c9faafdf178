#include "detail/FreeIndex.h"

namespace endivedoor::policy::detail {

void FreeIndex::put(Index worker, std::int32_t freeSlots) {
  std::size_t list = listOf(freeSlots);
  if (contains(worker)) {
    if (Locations[worker].List == list)
      return;
    remove(worker);
  }
  if (worker >= Locations.size())
    Locations.resize(worker + 1);
  if (list >= Lists.size())
    Lists.resize(list + 1);
  Locations[worker] = {Index(list), Index(Lists[list].size())};
  Lists[list].push_back(worker);
}

void FreeIndex::remove(Index worker) {
  if (!contains(worker))
    return;
  Location &place = Locations[worker];
  std::vector<Index> &list = Lists[place.List];
  Locations[list.back()].Position = place.Position;
  list[place.Position] = list.back();
  list.pop_back();
  place.List = None;
}

} // namespace endivedoor::policy::detail
