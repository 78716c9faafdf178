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

/// Ownership record of a shard; an empty node name means that the shard was
/// released.
struct OwnerEntry {
  Process Owner;
  std::int64_t Term = 0;
  /// Previous owners that may still send commands: they have not released the
  /// shard, and no later process of their node has joined.
  std::vector<Process> EarlierOwners;
};

/// A node that is a member of the cluster.
struct Member {
  std::string Instance;
  /// Number of cores that the node may use.
  double Cores = 1;
};

std::string encodeOwner(const OwnerEntry &owner);
/// \param cores number of cores that the node may use.
std::string encodeMember(const std::string &instance, double cores);
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
