/// \file
/// Records by which nodes find each other, and a node's view of them.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_NODERECORDS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_NODERECORDS_H

#include "endivedoor/dispatch/MetadataStore.h"
#include "endivedoor/dispatch/Records.h"

#include <map>
#include <set>
#include <string>

namespace endivedoor::dispatch::detail {

/// One process of a node's daemon.
struct Process {
  std::string Node;
  std::string Instance;
  friend bool operator==(const Process &, const Process &) = default;
};

/// Who owns a shard; an empty node means that it was released.
struct OwnerEntry {
  Process Owner;
  std::int64_t Term = 0;
  /// Earlier owners that may still give orders: neither have they released the
  /// shard, nor has a later process of their node been seen.
  std::vector<Process> EarlierOwners;
};

/// A node that is there.
struct Member {
  std::string Instance;
  /// Cores that it may use.
  double Cores = 1;
};

std::string encodeOwner(const OwnerEntry &owner);
/// \param processorShare cores that the node may use.
std::string encodeMember(const std::string &instance, double cores);
std::string encodeLayout(std::int32_t shards);
std::string
encodeAssignment(const std::map<base::WorkerId, std::int32_t> &shards);

/// Errors: ParseFailed.
base::Result<OwnerEntry> decodeOwner(const std::string &text);

/// The directory as this node has read it.
struct DirectoryView {
  /// Number of shards; 0 until it is known.
  std::int32_t Shards = 0;
  std::map<std::int32_t, OwnerEntry> Owners;
  std::map<std::int32_t, std::string> LastOwners;
  /// Shards that their owner has given back.
  std::set<std::int32_t> Released;
  std::map<std::string, Member> Members;
  std::map<base::WorkerId, std::int32_t> Assignment;

  /// Takes over a record; returns a fault or an empty text.
  std::string apply(const StoredItem &item);
  void remove(const std::string &key);
};

} // namespace endivedoor::dispatch::detail

#endif
