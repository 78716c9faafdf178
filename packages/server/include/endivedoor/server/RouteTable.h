/// \file
/// Lookup of the targets that serve the requests for each service.
#ifndef ENDIVEDOOR_SERVER_ROUTETABLE_H
#define ENDIVEDOOR_SERVER_ROUTETABLE_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Ids.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/server/ConcurrencyLimit.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endivedoor::server {

/// An instance of a service on one worker. Shared by all traffic threads and by
/// all route tables that contain it. Thread-safe.
struct Target {
  Target(base::ServiceName service, base::WorkerId worker, base::ZoneId zone,
         model::Address endpoint, std::int32_t connections)
      : Service(std::move(service)), Worker(std::move(worker)),
        Zone(std::move(zone)), Endpoint(std::move(endpoint)),
        Limit(connections) {}

  const base::ServiceName Service;
  const base::WorkerId Worker;
  const base::ZoneId Zone;
  const model::Address Endpoint;
  ConcurrencyLimit Limit;
  /// Monotonic time in nanoseconds of the latest complete answer; 0 if there
  /// was none.
  std::atomic<std::int64_t> LastAnswer{0};
  /// Monotonic time in nanoseconds until which other targets are preferred; set
  /// after a failed connection.
  std::atomic<std::int64_t> AvoidUntil{0};
};

using TargetList = std::vector<std::shared_ptr<Target>>;

/// An immutable snapshot of all targets.
class RouteTable {
public:
  /// Targets of one service in order of preference: those in the zone of this
  /// entry host, in other zones, and in zones that are out of service.
  using Tiers = std::array<TargetList, 3>;

  RouteTable() = default;
  /// \param targets all targets that may receive requests.
  /// \param ownZone zone of this entry host.
  /// \param zonesOut zones that are out of service.
  RouteTable(const TargetList &targets, const base::ZoneId &ownZone,
             const std::vector<base::ZoneId> &zonesOut);

  /// Returns the targets of \p service, or null if it has none.
  const Tiers *find(std::string_view service) const;
  /// Returns the number of targets of all services.
  std::size_t size() const { return Size; }

private:
  std::map<std::string, Tiers, std::less<>> Services;
  std::size_t Size = 0;
};

/// Holds the current route table. One thread publishes, any thread reads.
class RouteTableHolder {
public:
  std::shared_ptr<const RouteTable> load() const { return Current.load(); }
  void publish(std::shared_ptr<const RouteTable> table) {
    Current.store(std::move(table));
  }

private:
  std::atomic<std::shared_ptr<const RouteTable>> Current{
      std::make_shared<const RouteTable>()};
};

} // namespace endivedoor::server

#endif
