#include "detail/JobRequestHandler.h"

#include "detail/Rooms.h"
#include "detail/Sleep.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

namespace asio = boost::asio;
using base::Errc;
using model::JobState;
using namespace std::chrono_literals;

/// Maximum age of cached load records.
constexpr auto MaxLoadAge = 700ms;
/// Maximum number of attempts for one request, and the delay between them.
constexpr int MaxAttempts = 3;
constexpr auto AttemptDelay = 120ms;
/// No attempt starts later than this after the request: callers time out after
/// 3 s, and one attempt takes up to 0.9 s.
constexpr auto LastAttemptStart = 1000ms;
/// Parts of a job beyond this get the cancellation from their owners; bounds
/// the entries of a commit.
constexpr std::size_t MaxCancelledParts = 16;

Async<void> JobRequestHandler::refreshLoads() {
  if (Time.now() - LoadsReadAt < MaxLoadAge)
    co_return base::success();
  base::Result<Listing> list = co_await Store.list(keys::loadPrefix());
  if (!list)
    co_return list.as_failure();
  for (const StoredItem &it : list.value().Items) {
    base::Result<ShardLoad> load = decodeLoad(it.Value);
    // A shard whose record cannot be read counts as full, like one without.
    Loads[std::atoi(it.Key.substr(keys::loadPrefix().size()).c_str())] =
        load ? load.value() : ShardLoad{};
  }
  LoadsReadAt = Time.now();
  co_return base::success();
}

asio::awaitable<const std::map<std::int32_t, ShardLoad> *>
JobRequestHandler::readLoads() {
  base::Result<void> read = co_await refreshLoads();
  co_return read ? &Loads : nullptr;
}

/// Returns the CPU demand of all tasks of a job.
static std::int64_t totalCpuOf(const model::AcceptedJob &job) {
  std::int64_t cpu = 0;
  for (const model::StepSpec &it : job.Graph.Steps)
    cpu += it.Count * count(it.Size.Cpu);
  return cpu;
}

static bool isLongRunning(const model::JobGraph &graph) {
  return !graph.Steps.empty() && graph.Steps.front().LongRunning;
}

/// Chooses a random shard, weighted by free capacity, among those with suitable
/// workers. Reserves the job's CPU demand there until the next load record is
/// read.
std::int32_t JobRequestHandler::chooseShard(const model::AcceptedJob &job) {
  std::vector<double> shares = suitableShares(View, Workers, job);
  bool anySuitable = std::any_of(shares.begin(), shares.end(),
                                 [](double it) { return it > 0; });
  std::vector<std::int32_t> shards;
  std::vector<std::int64_t> headrooms;
  for (std::int32_t i = 0; i < View.Shards; ++i) {
    double share = shares[static_cast<std::size_t>(i)];
    if (anySuitable && share == 0)
      continue;
    std::int64_t headroom = headroomOf(Loads[i], job.Graph);
    shards.push_back(i);
    headrooms.push_back(
        headroom > 0 && anySuitable
            ? static_cast<std::int64_t>(static_cast<double>(headroom) * share)
            : headroom);
  }
  // Long-running tasks stay where they start, and tasks that do not fit wait
  // until another shard takes them.
  if (isLongRunning(job.Graph)) {
    std::vector<std::int32_t> roomy;
    std::vector<std::int64_t> roomyHeadrooms;
    for (std::size_t i = 0; i < shards.size(); ++i)
      if (hasRoomForAll(shards[i], job)) {
        roomy.push_back(shards[i]);
        roomyHeadrooms.push_back(headrooms[i]);
      }
    if (!roomy.empty())
      return drawAndReserve(job, roomy, roomyHeadrooms);
    filterByHeadroom(totalCpuOf(job), shards, headrooms);
  }
  return drawAndReserve(job, shards, headrooms);
}

std::int32_t
JobRequestHandler::drawAndReserve(const model::AcceptedJob &job,
                                  const std::vector<std::int32_t> &shards,
                                  const std::vector<std::int64_t> &headrooms) {
  std::optional<std::size_t> chosen;
  if (const std::string &program = servingProgram(job.Graph); !program.empty())
    chosen = preferredShard(program, shards, headrooms, totalCpuOf(job));
  std::uniform_real_distribution<double> uniform(0, 1);
  std::int32_t shard =
      shards[chosen ? *chosen : drawShard(headrooms, uniform(Random))];
  reserveHeadroom(Loads[shard], job.Graph, totalCpuOf(job));
  if (isLongRunning(job.Graph))
    placeInRooms(roomsOf(shard, job), job.Graph, allTasksOf(job.Graph));
  return shard;
}

std::vector<base::Resources> &
JobRequestHandler::roomsOf(std::int32_t shard, const model::AcceptedJob &job) {
  return Loads[shard].LongRunningRooms[job.Policy.Service.str()];
}

bool JobRequestHandler::hasRoomForAll(std::int32_t shard,
                                      const model::AcceptedJob &job) {
  std::vector<TaskRef> tasks = allTasksOf(job.Graph);
  std::vector<base::Resources> rooms = roomsOf(shard, job);
  return placeInRooms(rooms, job.Graph, tasks).size() == tasks.size();
}

asio::awaitable<RoomChoice> JobRequestHandler::findRooms(Delegation offer,
                                                         std::int32_t from) {
  RoomChoice choice{{}, {}, "no load records"};
  if (View.Shards < 2)
    co_return choice;
  if (base::Result<void> read = co_await refreshLoads(); !read)
    co_return choice;
  choice.Weighed.clear();
  // One worker that can run a task is enough.
  model::AcceptedJob demand = offer.Job;
  for (model::StepSpec &it : demand.Graph.Steps)
    it.Count = 1;
  std::vector<double> shares = suitableShares(View, Workers, demand);
  std::vector<std::vector<TaskRef>> placed(
      static_cast<std::size_t>(View.Shards));
  std::vector<double> weights(static_cast<std::size_t>(View.Shards));
  for (std::int32_t i = 0; i < View.Shards; ++i) {
    auto shard = static_cast<std::size_t>(i);
    if (i == from || i == offer.Part.HomeShard)
      continue;
    std::vector<base::Resources> rooms = roomsOf(i, offer.Job);
    std::int64_t largest = rooms.empty() ? 0 : count(rooms.front().Cpu);
    std::vector<TaskRef> tasks = offer.Part.Tasks;
    const std::set<TaskPosition> &had = offer.HadBefore[i];
    std::erase_if(tasks, [&](const TaskRef &it) {
      return had.contains({it.Step, it.Index});
    });
    bool mayTake = !offer.OnlyHolders || offer.Holders.contains(i);
    if (shares[shard] > 0 && mayTake)
      placed[shard] = placeInRooms(rooms, offer.Job.Graph, tasks);
    weights[shard] = static_cast<double>(placed[shard].size());
    const char *cause = shares[shard] == 0 ? "unsuitable"
                        : !mayTake         ? "too many parts"
                        : tasks.empty()    ? "passed on before"
                                           : "takes";
    choice.Weighed += (choice.Weighed.empty() ? "" : "; ") + std::to_string(i) +
                      "=" + std::to_string(largest) + " " + cause + " " +
                      std::to_string(placed[shard].size());
  }
  if (std::all_of(weights.begin(), weights.end(),
                  [](double it) { return it == 0; }))
    co_return choice;
  std::discrete_distribution<std::int32_t> draw(weights.begin(), weights.end());
  std::int32_t to = draw(Random);
  choice.Shard = to;
  choice.Tasks = std::move(placed[static_cast<std::size_t>(to)]);
  placeInRooms(roomsOf(to, offer.Job), offer.Job.Graph, choice.Tasks);
  co_return choice;
}

asio::awaitable<ShardChoice>
JobRequestHandler::findShard(model::AcceptedJob job, std::int32_t from) {
  ShardChoice choice{{}, "no load records"};
  if (View.Shards < 2)
    co_return choice;
  if (base::Result<void> read = co_await refreshLoads(); !read)
    co_return choice;
  std::vector<double> shares = suitableShares(View, Workers, job);
  std::int64_t ownHeadroom = headroomOf(Loads[from], job.Graph);
  bool longRunning = isLongRunning(job.Graph);
  // Rooms do not tell whether all tasks of a gang fit at the same time once
  // short ones have ended.
  bool byRooms =
      longRunning &&
      std::none_of(job.Graph.Steps.begin(), job.Graph.Steps.end(),
                   [](const model::StepSpec &it) { return it.Gang; });
  std::int64_t need = longRunning ? totalCpuOf(job) : 0;
  choice.Weighed =
      std::to_string(from) + "=" + std::to_string(ownHeadroom) + " own";
  std::vector<std::int32_t> shards;
  std::vector<std::int64_t> headrooms;
  for (std::int32_t i = 0; i < View.Shards; ++i) {
    std::int64_t headroom = headroomOf(Loads[i], job.Graph);
    double share = shares[static_cast<std::size_t>(i)];
    // A shard with a smaller share of suitable workers moves the job to a shard
    // with a larger one, even if that has less free capacity.
    bool better =
        headroom > 0 && (headroom > ownHeadroom ||
                         shares[static_cast<std::size_t>(from)] < share);
    if (i == from)
      continue;
    auto suitable =
        static_cast<std::int64_t>(static_cast<double>(headroom) * share);
    bool roomForAll = byRooms ? hasRoomForAll(i, job) : suitable >= need;
    const char *cause = share == 0            ? "unsuitable"
                        : !better && !byRooms ? "full"
                        : !roomForAll         ? "not enough rooms"
                                              : "candidate";
    choice.Weighed +=
        "; " + std::to_string(i) + "=" + std::to_string(headroom) + " " + cause;
    if (share == 0 || !roomForAll || (!better && !byRooms))
      continue;
    shards.push_back(i);
    headrooms.push_back(suitable);
  }
  if (!shards.empty())
    choice.Shard = drawAndReserve(job, shards, headrooms);
  co_return choice;
}

/// Returns whether an index entry belongs to another account. An entry or a
/// request without an account belongs to all.
static bool belongsToOther(const JobIndexEntry &index,
                           const std::string &account) {
  return !index.Account.empty() && !account.empty() && index.Account != account;
}

static bool maySee(const Requester &requester, const JobIndexEntry &index) {
  return requester.SeesAllJobs || index.Account.empty() ||
         index.Account == requester.Account;
}

/// Returns the item of the index entry that a commit has found, or null.
static const StoredItem *findIndex(const CommitOutcome &outcome,
                                   model::JobNumber job) {
  auto it = std::find_if(
      outcome.CurrentItems.begin(), outcome.CurrentItems.end(),
      [&](const StoredItem &item) { return item.Key == keys::index(job); });
  return it == outcome.CurrentItems.end() ? nullptr : &*it;
}

asio::awaitable<SubmitOutcome>
JobRequestHandler::submit(model::AcceptedJob job) {
  if (View.Shards == 0)
    co_return SubmitOutcome::Refused;
  std::int32_t shard = 0;
  if (View.Shards > 1) {
    // Without load records all shards are equally likely.
    if (base::Result<void> read = co_await refreshLoads(); !read)
      Loads.clear();
    shard = chooseShard(job);
  }
  base::Result<std::string> record = encodeJob(job);
  if (!record)
    co_return SubmitOutcome::Invalid;
  Commit commit;
  commit.Conditions = {{keys::index(job.Id), 0}};
  commit.Writes = {{keys::index(job.Id),
                    encodeIndex({shard, JobState::Queued, false, job.Account})},
                   {keys::job(shard, job.Id), std::move(record.value())}};
  bool unknown = false;
  base::TimePoint lastStart = Time.now() + LastAttemptStart;
  for (int i = 0; i < MaxAttempts && Time.now() < lastStart; ++i) {
    base::Result<CommitOutcome> done = co_await Store.commit(commit);
    if (done) {
      const StoredItem *item = findIndex(done.value(), job.Id);
      base::Result<JobIndexEntry> index =
          done.value().Applied || !item
              ? base::Result<JobIndexEntry>(JobIndexEntry{})
              : decodeIndex(item->Value);
      // This call or an earlier one has stored the job.
      if (!index || (!index.value().NeverStored &&
                     !belongsToOther(index.value(), job.Account)))
        co_return SubmitOutcome::Accepted;
      if (!belongsToOther(index.value(), job.Account))
        co_return SubmitOutcome::Cancelled;
      if (!index.value().NeverStored)
        co_return SubmitOutcome::IdInUse;
      // Another account's cancellation of an unknown job must not keep this
      // account from using the id.
      commit.Conditions.front().Revision = item->Revision;
      continue;
    }
    unknown = unknown || done.error().Code != Errc::StoreUnavailable;
    co_await sleepFor(AttemptDelay);
  }
  co_return unknown ? SubmitOutcome::Unknown : SubmitOutcome::Refused;
}

/// Returns the shards that run parts of a job, also of parts that were
/// delegated on. A part that is delegated meanwhile, or whose record cannot be
/// read, gets the cancellation from the owner that delegated it.
asio::awaitable<std::set<std::int32_t>>
JobRequestHandler::shardsOfParts(model::JobNumber job, std::int32_t shard) {
  std::set<std::int32_t> parts;
  std::vector<std::int32_t> unread = {shard};
  while (!unread.empty() && parts.size() < MaxCancelledParts) {
    std::int32_t next = unread.back();
    unread.pop_back();
    base::Result<std::optional<StoredItem>> item =
        co_await Store.read(keys::progress(next, job));
    if (!item || !item.value())
      continue;
    base::Result<JobProgress> progress = decodeProgress(item.value()->Value);
    if (!progress)
      continue;
    for (const OccurrenceProgress &o : progress.value().Occurrences)
      for (const TaskProgress &it : o.Tasks)
        if (it.DelegatedTo && *it.DelegatedTo != shard &&
            parts.insert(*it.DelegatedTo).second)
          unread.push_back(*it.DelegatedTo);
  }
  co_return parts;
}

asio::awaitable<CancelOutcome> JobRequestHandler::cancel(model::JobNumber job,
                                                         Requester requester) {
  bool unknown = false;
  base::TimePoint lastStart = Time.now() + LastAttemptStart;
  for (int i = 0; i < MaxAttempts && Time.now() < lastStart; ++i) {
    base::Result<std::optional<StoredItem>> item =
        co_await Store.read(keys::index(job));
    if (!item) {
      co_await sleepFor(AttemptDelay);
      continue;
    }
    base::Result<JobIndexEntry> index =
        item.value() ? decodeIndex(item.value()->Value)
                     : base::Result<JobIndexEntry>(JobIndexEntry{});
    if (!index)
      co_return CancelOutcome::Refused;
    // A submission whose answer was lost may still take effect; its condition
    // is that there is no index entry, or that another account's cancellation
    // is the latest.
    if (!item.value() || (index.value().NeverStored &&
                          belongsToOther(index.value(), requester.Account))) {
      Commit commit;
      commit.Conditions = {
          {keys::index(job), item.value() ? item.value()->Revision : 0}};
      commit.Writes = {
          {keys::index(job),
           encodeIndex({0, JobState::Cancelled, true, requester.Account})}};
      base::Result<CommitOutcome> done =
          co_await Store.commit(std::move(commit));
      if (done && done.value().Applied)
        co_return CancelOutcome::NoSuchJob;
      if (!done) {
        unknown = unknown || done.error().Code != Errc::StoreUnavailable;
        co_await sleepFor(AttemptDelay);
      }
      continue;
    }
    if (index.value().NeverStored || !maySee(requester, index.value()))
      co_return CancelOutcome::NoSuchJob;
    if (index.value().State == JobState::Cancelled)
      co_return CancelOutcome::Cancelled;
    if (model::isFinal(index.value().State))
      co_return CancelOutcome::NoSuchJob;
    std::int32_t shard = index.value().Shard;
    std::set<std::int32_t> parts = co_await shardsOfParts(job, shard);
    Commit commit;
    commit.Conditions = {{keys::index(job), item.value()->Revision}};
    commit.Writes = {
        {keys::index(job), encodeIndex({shard, JobState::Cancelled, false,
                                        index.value().Account})},
        {keys::cancel(shard, job), encodeCancel(parts)}};
    for (std::int32_t it : parts)
      commit.Writes.push_back({keys::cancel(it, job), encodeCancel(parts)});
    base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
    if (done && done.value().Applied)
      co_return CancelOutcome::Cancelled;
    if (!done) {
      unknown = unknown || done.error().Code != Errc::StoreUnavailable;
      co_await sleepFor(AttemptDelay);
    }
  }
  co_return unknown ? CancelOutcome::Unknown : CancelOutcome::Refused;
}

Async<std::optional<JobState>>
JobRequestHandler::jobState(model::JobNumber job, Requester requester) {
  base::Result<std::optional<StoredItem>> item =
      co_await Store.read(keys::index(job));
  if (!item)
    co_return item.as_failure();
  if (!item.value())
    co_return std::optional<JobState>();
  base::Result<JobIndexEntry> index = decodeIndex(item.value()->Value);
  if (!index)
    co_return index.as_failure();
  if (index.value().NeverStored || !maySee(requester, index.value()))
    co_return std::optional<JobState>();
  co_return std::optional<JobState>(index.value().State);
}

Async<std::int64_t> JobRequestHandler::pendingJobs(std::string queue) {
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
