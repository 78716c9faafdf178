/// \file
/// Handles the requests of job callers on the records in the store.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_JOBREQUESTHANDLER_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_JOBREQUESTHANDLER_H

#include "detail/Loads.h"
#include "detail/Routing.h"

#include "endivedoor/base/Clock.h"
#include "endivedoor/dispatch/DispatchNode.h"

#include <random>

namespace endivedoor::dispatch::detail {

class JobRequestHandler {
public:
  JobRequestHandler(MetadataStore &store, const base::Clock &clock,
                    const DirectoryView &view, const WorkerView &workers)
      : Store(store), Time(clock), View(view), Workers(workers) {}

  boost::asio::awaitable<SubmitOutcome> submit(model::AcceptedJob job);
  boost::asio::awaitable<CancelOutcome> cancel(model::JobNumber job,
                                               Requester requester);
  Async<std::optional<model::JobState>> jobState(model::JobNumber job,
                                                 Requester requester);
  Async<std::int64_t> pendingJobs(std::string queue);

  /// Chooses another shard that has room for a job and more of it than
  /// \p from.
  boost::asio::awaitable<ShardChoice> findShard(model::AcceptedJob job,
                                                std::int32_t from);

  /// Chooses a shard for waiting tasks of a long-running job, at random by the
  /// number of them for which each has room.
  boost::asio::awaitable<RoomChoice> findRooms(Delegation offer,
                                               std::int32_t from);

  /// Returns the load records of all shards, or null if they cannot be read.
  /// Valid until the caller waits.
  boost::asio::awaitable<const std::map<std::int32_t, ShardLoad> *> readLoads();

private:
  Async<void> refreshLoads();
  /// Returns the rooms that a shard published for the service of a job, less
  /// what has been sent there since.
  std::vector<base::Resources> &roomsOf(std::int32_t shard,
                                        const model::AcceptedJob &job);
  bool hasRoomForAll(std::int32_t shard, const model::AcceptedJob &job);
  boost::asio::awaitable<std::set<std::int32_t>>
  shardsOfParts(model::JobNumber job, std::int32_t shard);
  std::int32_t drawAndReserve(const model::AcceptedJob &job,
                              const std::vector<std::int32_t> &shards,
                              const std::vector<std::int64_t> &headrooms);
  std::int32_t chooseShard(const model::AcceptedJob &job);

  MetadataStore &Store;
  const base::Clock &Time;
  const DirectoryView &View;
  const WorkerView &Workers;
  std::map<std::int32_t, ShardLoad> Loads;
  base::TimePoint LoadsReadAt{};
  std::mt19937_64 Random{std::random_device{}()};
};

} // namespace endivedoor::dispatch::detail

#endif
