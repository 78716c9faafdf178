#include "endivedoor/server/RouteTable.h"

#include <algorithm>

namespace endivedoor::server {

RouteTable::RouteTable(const TargetList &targets, const base::ZoneId &ownZone,
                       const std::vector<base::ZoneId> &zonesOut)
    : Size(targets.size()) {
  for (const std::shared_ptr<Target> &it : targets) {
    bool isOut = std::ranges::find(zonesOut, it->Zone) != zonesOut.end();
    std::size_t tier = isOut ? 2 : it->Zone == ownZone ? 0 : 1;
    Services[it->Service.str()][tier].push_back(it);
  }
}

const RouteTable::Tiers *RouteTable::find(std::string_view service) const {
  auto it = Services.find(service);
  return it == Services.end() ? nullptr : &it->second;
}

} // namespace endivedoor::server
