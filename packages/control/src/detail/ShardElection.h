/// \file
/// Election of the owner of the own zone's shard.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_SHARDELECTION_H
#define ENDIVEDOOR_CONTROL_DETAIL_SHARDELECTION_H

#include "detail/Context.h"

#include <optional>

namespace endivedoor::control::detail {

/// A won election.
struct Ownership {
  base::Epoch Epoch{0};
  platform::LeaseId Lease{0};
};

/// Takes the owner key of the own zone under a store lease. The epoch is the
/// key's create revision, so every later owner has a higher one.
class ShardElection {
public:
  explicit ShardElection(Context &context) : Ctx(context) {}

  /// Tries once to become owner; no value if another daemon is.
  /// Cost: one read, and two more calls if the key is free.
  platform::Async<std::optional<Ownership>> campaign();
  /// Renews the lease until it has lapsed or \p wanted says no.
  boost::asio::awaitable<void>
  keepLeaseAlive(Ownership ownership, std::function<bool()> shouldContinue);
  /// Gives up the lease; the key goes with it.
  boost::asio::awaitable<void> release(Ownership ownership);

private:
  platform::Async<std::optional<Ownership>>
  createOwnerKey(platform::LeaseId lease);

  Context &Ctx;
};

} // namespace endivedoor::control::detail

#endif
