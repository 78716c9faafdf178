#include "detail/JobDesk.h"

#include "detail/Sleep.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::Errc;
using model::JobState;
using namespace std::chrono_literals;

/// Age up to which load records are used again.
constexpr auto LoadAge = 700ms;
/// Attempts at the store for one call of a caller, and the pause between them.
constexpr int Attempts = 3;
constexpr auto AttemptPause = 120ms;
/// No attempt begins later than this: a caller waits 3 s, and one attempt takes
/// up to 0.9 s.
constexpr auto LastAttempt = 1000ms;

Async<void> JobDesk::refreshLoads() {
  if (Time.now() - LoadsRead < LoadAge)
    co_return base::success();
  base::Result<Listing> list = co_await Store.list(keys::loads());
  if (!list)
    co_return list.as_failure();
  for (const StoredItem &it : list.value().Items) {
    base::Result<ShardLoad> load = decodeLoad(it.Value);
    if (!load)
      co_return load.as_failure();
    Loads[std::atoi(it.Key.substr(keys::loads().size()).c_str())] =
        load.value();
  }
  LoadsRead = Time.now();
  co_return base::success();
}

/// Processor need of all tasks of a job.
static std::int64_t needOf(const model::AcceptedJob &job) {
  std::int64_t cpu = 0;
  for (const model::StepSpec &it : job.Graph.Steps)
    cpu += it.Count * count(it.Size.Cpu);
  return cpu;
}

/// Draws a shard by its room, of those with suitable workers, and takes the
/// job's needs off it until the next load record.
std::int32_t JobDesk::chooseShard(const model::AcceptedJob &job) {
  std::vector<double> shares = suitableShares(View, Workers, job);
  bool any = std::any_of(shares.begin(), shares.end(),
                         [](double it) { return it > 0; });
  std::vector<std::int32_t> shards;
  std::vector<std::int64_t> rooms;
  for (std::int32_t i = 0; i < View.Shards; ++i) {
    double share = shares[static_cast<std::size_t>(i)];
    if (any && share == 0)
      continue;
    std::int64_t room = count(roomFor(Loads[i], job.Graph));
    shards.push_back(i);
    rooms.push_back(room > 0 && any ? static_cast<std::int64_t>(
                                          static_cast<double>(room) * share)
                                    : room);
  }
  // The tasks stay, and those without room wait for as long as the job lasts.
  if (!job.Graph.Steps.empty() && job.Graph.Steps.front().Lasting)
    keepFitting(needOf(job), shards, rooms);
  return draw(job, shards, rooms);
}

std::int32_t JobDesk::draw(const model::AcceptedJob &job,
                           const std::vector<std::int32_t> &shards,
                           const std::vector<std::int64_t> &rooms) {
  std::uniform_real_distribution<double> number(0, 1);
  std::int32_t shard = shards[drawShard(rooms, number(Random))];
  base::MilliCores &room = roomFor(Loads[shard], job.Graph);
  room = base::MilliCores{count(room) - needOf(job)};
  return shard;
}

asio::awaitable<std::optional<std::int32_t>>
JobDesk::findShard(model::AcceptedJob job, std::int32_t from) {
  if (View.Shards < 2)
    co_return std::nullopt;
  if (base::Result<void> read = co_await refreshLoads(); !read)
    co_return std::nullopt;
  std::vector<double> shares = suitableShares(View, Workers, job);
  std::int64_t own = count(roomFor(Loads[from], job.Graph));
  std::vector<std::int32_t> shards;
  std::vector<std::int64_t> rooms;
  for (std::int32_t i = 0; i < View.Shards; ++i) {
    std::int64_t room = count(roomFor(Loads[i], job.Graph));
    double share = shares[static_cast<std::size_t>(i)];
    // A shard without workers for the job hands it to any that has some.
    bool better = room > 0 && (room > own ||
                               shares[static_cast<std::size_t>(from)] < share);
    if (i == from || share == 0 || !better)
      continue;
    shards.push_back(i);
    rooms.push_back(
        static_cast<std::int64_t>(static_cast<double>(room) * share));
  }
  if (shards.empty())
    co_return std::nullopt;
  co_return draw(job, shards, rooms);
}

asio::awaitable<SubmitOutcome> JobDesk::submit(model::AcceptedJob job) {
  if (View.Shards == 0)
    co_return SubmitOutcome::Refused;
  std::int32_t shard = 0;
  if (View.Shards > 1) {
    // Without load records every shard is as likely.
    if (base::Result<void> read = co_await refreshLoads(); !read)
      Loads.clear();
    shard = chooseShard(job);
  }
  Commit commit;
  commit.Conditions = {{keys::index(job.Id), 0}};
  commit.Writes = {
      {keys::index(job.Id), encodeIndex({shard, JobState::Queued})},
      {keys::job(shard, job.Id), encodeJob(job)}};
  bool unknown = false;
  base::TimePoint end = Time.now() + LastAttempt;
  for (int i = 0; i < Attempts && Time.now() < end; ++i) {
    base::Result<CommitOutcome> done = co_await Store.commit(commit);
    // A job with this id is stored already, by this call or an earlier one.
    if (done)
      co_return SubmitOutcome::Accepted;
    unknown = unknown || done.error().Code != Errc::StoreUnavailable;
    co_await sleepFor(AttemptPause);
  }
  co_return unknown ? SubmitOutcome::Unknown : SubmitOutcome::Refused;
}

asio::awaitable<CancelOutcome> JobDesk::cancel(model::JobNumber job) {
  bool unknown = false;
  base::TimePoint end = Time.now() + LastAttempt;
  for (int i = 0; i < Attempts && Time.now() < end; ++i) {
    base::Result<std::optional<StoredItem>> item =
        co_await Store.read(keys::index(job));
    if (!item) {
      co_await sleepFor(AttemptPause);
      continue;
    }
    if (!item.value())
      co_return CancelOutcome::NoSuchJob;
    base::Result<JobIndex> index = decodeIndex(item.value()->Value);
    if (!index)
      co_return CancelOutcome::Refused;
    if (index.value().State == JobState::Cancelled)
      co_return CancelOutcome::Cancelled;
    if (model::isFinal(index.value().State))
      co_return CancelOutcome::NoSuchJob;
    std::int32_t shard = index.value().Shard;
    Commit commit;
    commit.Conditions = {{keys::index(job), item.value()->Revision}};
    commit.Writes = {
        {keys::index(job), encodeIndex({shard, JobState::Cancelled})},
        {keys::cancel(shard, job), "{}"}};
    base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
    if (done && done.value().Applied)
      co_return CancelOutcome::Cancelled;
    if (!done) {
      unknown = unknown || done.error().Code != Errc::StoreUnavailable;
      co_await sleepFor(AttemptPause);
    }
  }
  co_return unknown ? CancelOutcome::Unknown : CancelOutcome::Refused;
}

Async<std::optional<JobState>> JobDesk::state(model::JobNumber job) {
  base::Result<std::optional<StoredItem>> item =
      co_await Store.read(keys::index(job));
  if (!item)
    co_return item.as_failure();
  if (!item.value())
    co_return std::optional<JobState>();
  base::Result<JobIndex> index = decodeIndex(item.value()->Value);
  if (!index)
    co_return index.as_failure();
  co_return std::optional<JobState>(index.value().State);
}

Async<std::int64_t> JobDesk::pending(std::string queue) {
  base::Result<void> read = co_await refreshLoads();
  if (!read)
    co_return read.as_failure();
  std::int64_t sum = 0;
  for (const auto &[shard, load] : Loads)
    if (auto it = load.Pending.find(queue); it != load.Pending.end())
      sum += it->second;
  co_return sum;
}

} // namespace endivedoor::dispatch::detail
