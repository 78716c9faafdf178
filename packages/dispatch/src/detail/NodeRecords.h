/// \file
/// Directory records for node discovery and shard ownership, and a node's local
/// view of them.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_NODERECORDS_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_NODERECORDS_H

#include "endivedoor/dispatch/MetadataStore.h"
#include "endivedoor/dispatch/Records.h"

#include <map>
#include <set>
#include <string>

namespace endivedoor::dispatch::detail {

/// A daemon process of a node.
struct Process {
  std::string Node;
  std::string Instance;
  friend bool operator==(const Process &, const Process &) = default;
};

/// The last term of a process as the owner of a shard, which may go on.
struct EarlierOwner {
  Process Owner;
  std::int64_t Term = 0;
};

/// Ownership record of a shard; an empty node name means that the shard was
/// released.
struct OwnerEntry {
  Process Owner;
  std::int64_t Term = 0;
  /// Previous owners that may still send commands: they have not released the
  /// shard, and no later process of their node has joined.
  std::vector<EarlierOwner> EarlierOwners;
};

/// A node that is a member of the cluster.
struct Member {
  std::string Instance;
  /// Number of cores that the node may use.
  double Cores = 1;
  /// For each shard that the process has stopped owning, the latest term for
  /// which that holds. It sends no command of this term or an earlier one any
  /// more. Terms of a shard only grow, so an old record claims too little,
  /// never too much.
  std::map<std::int32_t, std::int64_t> EndedTerms;
};

std::string encodeOwner(const OwnerEntry &owner);
std::string encodeMember(const Member &member);
std::string encodeLayout(std::int32_t shards);
std::string
encodeAssignment(const std::map<base::WorkerId, std::int32_t> &shards);

/// Errors: ParseFailed.
base::Result<OwnerEntry> decodeOwner(const std::string &text);

/// This node's local view of the directory.
struct DirectoryView {
  /// Number of shards; 0 until the layout record has been read.
  std::int32_t Shards = 0;
  std::map<std::int32_t, OwnerEntry> Owners;
  std::map<std::int32_t, std::string> LastOwners;
  /// Shards that their owner has released.
  std::set<std::int32_t> Released;
  std::map<std::string, Member> Members;
  std::map<base::WorkerId, std::int32_t> Assignment;

  /// Applies a record. Returns an error message, or an empty string on success.
  std::string apply(const StoredItem &item);
  void remove(const std::string &key);
};

} // namespace endivedoor::dispatch::detail

#endif
