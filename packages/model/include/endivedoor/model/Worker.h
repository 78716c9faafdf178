/// \file
/// Workers as described by the platform.
#ifndef ENDIVEDOOR_MODEL_WORKER_H
#define ENDIVEDOOR_MODEL_WORKER_H

#include "endivedoor/base/Ids.h"
#include "endivedoor/base/Units.h"

#include <cstdint>
#include <string>

namespace endivedoor::model {

/// An IP address and port.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
  /// Returns "ip:port".
  std::string str() const { return Ip + ":" + std::to_string(Port); }
};

/// A host that runs tasks. No component of endivedoor runs on it.
struct Worker {
  base::WorkerId Id;
  base::ZoneId Zone;
  base::RackId Rack;
  Address Endpoint;
  base::Resources Capacity;
  /// The worker has announced its shutdown; no new tasks are assigned to it.
  bool Leaving = false;
};

} // namespace endivedoor::model

#endif
