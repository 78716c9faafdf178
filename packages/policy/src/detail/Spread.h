/// \file
/// Distribution of service tasks over zones and racks.
#ifndef ENDIVEDOOR_POLICY_DETAIL_SPREAD_H
#define ENDIVEDOOR_POLICY_DETAIL_SPREAD_H

#include "detail/Interner.h"

#include <cstdint>

namespace endivedoor::policy::detail {

/// Number of placed tasks of each service per zone and per rack.
class Spread {
public:
  void add(Index service, Index zone, Index rack, std::int32_t delta) {
    if (service >= Services.size())
      Services.resize(service + 1);
    Services[service].Total += delta;
    change(Services[service].Zones, zone, delta);
    change(Services[service].Racks, rack, delta);
  }
  std::int32_t inZone(Index service, Index zone) const {
    return service < Services.size() ? get(Services[service].Zones, zone) : 0;
  }
  std::int32_t inRack(Index service, Index rack) const {
    return service < Services.size() ? get(Services[service].Racks, rack) : 0;
  }
  std::int32_t total(Index service) const {
    return service < Services.size() ? Services[service].Total : 0;
  }
  /// Returns the number of zones with at least one task of the service.
  std::int32_t zones(Index service) const {
    std::int32_t n = 0;
    if (service < Services.size())
      for (std::int32_t it : Services[service].Zones)
        n += it > 0;
    return n;
  }

private:
  struct Counts {
    std::vector<std::int32_t> Zones, Racks;
    std::int32_t Total = 0;
  };
  static void change(std::vector<std::int32_t> &counts, Index n,
                     std::int32_t delta) {
    if (n >= counts.size())
      counts.resize(n + 1);
    counts[n] += delta;
  }
  static std::int32_t get(const std::vector<std::int32_t> &counts, Index n) {
    return n < counts.size() ? counts[n] : 0;
  }

  std::vector<Counts> Services;
};

} // namespace endivedoor::policy::detail

#endif
