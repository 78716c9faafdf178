/// \file
/// Election of the owner of the local zone's shard.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_SHARDELECTION_H
#define ENDIVEDOOR_CONTROL_DETAIL_SHARDELECTION_H

#include "detail/Context.h"

#include <optional>

namespace endivedoor::control::detail {

/// The result of a won election: the epoch and the lease of the owner key.
struct Ownership {
  base::Epoch Epoch{0};
  platform::LeaseId Lease{0};
};

/// Creates the owner key of the local zone under a store lease. The epoch is
/// the key's create revision, so every later owner has a higher epoch.
class ShardElection {
public:
  explicit ShardElection(Context &context) : Ctx(context) {}

  /// Tries once to become the owner; returns no value if another daemon owns
  /// the shard. Cost: one read, and two more store calls if the key is free.
  platform::Async<std::optional<Ownership>> campaign();
  /// Renews the lease until it has expired or \p shouldContinue returns
  /// false.
  boost::asio::awaitable<void>
  keepLeaseAlive(Ownership ownership, std::function<bool()> shouldContinue);
  /// Revokes the lease, which also deletes the owner key.
  boost::asio::awaitable<void> release(Ownership ownership);

private:
  platform::Async<std::optional<Ownership>>
  createOwnerKey(platform::LeaseId lease);

  Context &Ctx;
};

} // namespace endivedoor::control::detail

#endif
