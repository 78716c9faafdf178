#include "endivedoor/dispatch/DispatchNode.h"

#include "detail/JobRequestHandler.h"
#include "detail/LeaseTimes.h"
#include "detail/NodeRecords.h"
#include "detail/ReplacedOwners.h"
#include "detail/ShardRunner.h"
#include "detail/Sleep.h"

#include "endivedoor/dispatch/Refusal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace endivedoor::dispatch {

namespace asio = boost::asio;
using base::EventCode;
using base::TimePoint;
using detail::ShardRunner;
using namespace std::chrono_literals;

/// Number of lease renewals per time to live.
constexpr int RenewalsPerLease = 4;
constexpr auto RetryDelay = 150ms;
/// Interval between checks of vacant shards, the layout and the assignment.
constexpr auto ReconcileInterval = 250ms;
/// The number of shards is computed from the number of workers once no new
/// worker has been added for this long.
constexpr auto SettleTime = 700ms;
/// Workers of a shard per Mbit/s of its owner's link. Polls and starts of one
/// worker take up to 30 kbit/s, so a shard uses about a quarter of the link;
/// the rest is for bursts, callers and the store.
constexpr double WorkersPerMbps = 8;
/// Claim delay for each node that ranks ahead of this one for a vacant shard.
constexpr auto RankDelay = 80ms;
/// Extra claim delay in favour of the last owner, whose lease may have expired
/// during a store outage.
constexpr auto LastOwnerDelay = 200ms;
/// A worker keeps its shard for this long after its entry was deleted. Longer
/// than any lease on the worker, a store outage and the time to read all
/// entries.
constexpr auto AbsentWorkerTimeout = 60s;
/// Claim delay of a node in its startup window for each shard that it already
/// owns or is claiming. After a power failure nodes start within a second of
/// each other, and the first must not take all shards.
constexpr auto StartupClaimDelay = 400ms;
/// Time after the start in which StartupClaimDelay applies.
constexpr auto StartupWindow = 4000ms;
/// A shard is handed over if the other node's load would be at most this
/// fraction of the current owner's load; a smaller gain does not justify the
/// interruption.
constexpr double HandoverLoadRatio = 0.5;
/// Minimum time between two handovers of a node, so that the new loads are
/// visible before the next decision.
constexpr auto HandoverInterval = 1500ms;

struct DispatchNode::Impl : std::enable_shared_from_this<Impl> {
  asio::any_io_executor Executor;
  DispatchOptions Options;
  MetadataStore &Store;
  TaskWorker &WorkerCalls;
  const base::Clock &Time;
  base::EventLog &Events;
  Metrics &MetricsRegistry;
  PrefixMirror Directory;
  detail::DirectoryView View;
  std::map<std::int32_t, std::shared_ptr<ShardRunner>> Owned;
  std::map<std::int32_t, TimePoint> VacantSince;
  std::set<std::int32_t> Claiming;
  detail::WorkerView Workers;
  detail::ReplacedOwners Replaced;
  /// Assigned workers whose entry is missing, with the time at which it was
  /// first found missing.
  std::map<base::WorkerId, TimePoint> AbsentSince;
  /// Terms that runners of this process have ended; part of the member record.
  std::map<std::int32_t, std::int64_t> EndedTerms;
  /// EndedTerms has changed since the member record was stored.
  bool EndedTermsChanged = false;
  TimePoint WorkersChanged;
  TimePoint LastStoreContact;
  TimePoint LeaseRenewedAt;
  /// Null if the age of the operators' records is not checked.
  std::function<RecordsAge()> OperatorRecords;
  /// Null if the age of the workers' entries is not checked.
  std::function<RecordsAge()> WorkerEntries;
  TimePoint Started;
  TimePoint LastHandover;
  LeaseId Lease{0};
  /// Whether the latest lease renewal was answered. While it was not, callers'
  /// requests are rejected immediately rather than left to time out.
  bool Reachable = true;
  detail::CallWindow StartCalls;
  /// Spreads the callers that are refused.
  std::mt19937_64 Random{std::random_device{}()};
  AccountLimits Limits;
  /// A configuration has been seen, with or without accounts.
  bool AccountsSeen = false;
  /// Exists while an account has a limit.
  std::unique_ptr<PrefixMirror> Accounts;
  /// No shard is claimed any more.
  bool Leaving = false;
  /// All shards have been released, so the lease is no longer needed.
  bool ShardsReleased = false;
  bool Reconciling = false;
  detail::JobRequestHandler JobRequests;

  Impl(asio::any_io_executor executor, DispatchOptions options,
       MetadataStore &store, TaskWorker &calls, const base::Clock &clock,
       base::EventLog &events, Metrics &metrics)
      : Executor(executor), Options(std::move(options)), Store(store),
        WorkerCalls(calls), Time(clock), Events(events),
        MetricsRegistry(metrics),
        Directory(executor, store, keys::directoryPrefix(),
                  {[this](const StoredItem &it) { onDirectoryItem(it); },
                   [this](const std::string &key) { onDirectoryDelete(key); },
                   [this] { spawnReconcile(); }},
                  clock, events),
        WorkersChanged(clock.now()), LastStoreContact(clock.now()),
        LeaseRenewedAt(clock.now()), Started(clock.now()),
        LastHandover(clock.now()), JobRequests(store, clock, View, Workers) {}

  /// Returns the runners of the owned shards. A call to a runner may end its
  /// term and so change Owned.
  std::vector<std::shared_ptr<ShardRunner>> runners() const;
  /// Removes a runner unless a later term of its shard has begun.
  void removeRunner(const ShardRunner &runner);
  void onDirectoryItem(const StoredItem &item);
  void onDirectoryDelete(const std::string &key);
  void spawnReconcile();
  asio::awaitable<void> reconcileLoop();
  asio::awaitable<void> reconcile();
  asio::awaitable<void> leaseLoop();
  asio::awaitable<bool> rejoin();
  asio::awaitable<bool> storeMember(LeaseId lease);
  asio::awaitable<void> storeLayout();
  asio::awaitable<void> assignWorkers();
  asio::awaitable<void> claim(std::int32_t shard);
  asio::awaitable<void> release(std::shared_ptr<ShardRunner> runner);
  std::chrono::milliseconds claimDelay(std::int32_t shard) const;
  bool hasEnded(const detail::EarlierOwner &owner, std::int32_t shard,
                std::int64_t since) const;
  std::vector<detail::EarlierOwner>
  earlierOwners(std::int32_t shard, const detail::OwnerEntry &last,
                std::int64_t revision) const;
  void rebalance();
  void startTerm(detail::Term term);
  void addAssignedWorkers(ShardRunner &runner);
  bool isAssignedTo(const base::WorkerId &worker, std::int32_t shard) const;
  void watchAccounts();
};

std::vector<std::shared_ptr<ShardRunner>> DispatchNode::Impl::runners() const {
  std::vector<std::shared_ptr<ShardRunner>> list;
  for (const auto &[shard, runner] : Owned)
    list.push_back(runner);
  return list;
}

void DispatchNode::Impl::removeRunner(const ShardRunner &runner) {
  // A stopped runner sends nothing more. A command of it that is still on its
  // way grants no lease beyond the deadline that was set when it was sent.
  if (runner.isStopped()) {
    std::int64_t &ended = EndedTerms[runner.term().Shard];
    ended = std::max(ended, runner.term().Number);
    EndedTermsChanged = true;
  }
  auto it = Owned.find(runner.term().Shard);
  if (it != Owned.end() && it->second.get() == &runner)
    Owned.erase(it);
  MetricsRegistry.setOwnedShards(Owned.size());
}

void DispatchNode::Impl::onDirectoryItem(const StoredItem &item) {
  std::string fault = View.apply(item);
  if (!fault.empty())
    Events.emit(EventCode::RecordUnreadable,
                {{"key", item.Key}, {"cause", fault}});
  if (item.Key.starts_with(keys::shardEntryPrefix()))
    for (const auto &[shard, owner] : View.Owners)
      Replaced.note(shard, owner.Term, Time.now());
  if (item.Key == keys::assignment())
    for (const std::shared_ptr<ShardRunner> &it : runners())
      addAssignedWorkers(*it);
}

void DispatchNode::Impl::onDirectoryDelete(const std::string &key) {
  View.remove(key);
}

bool DispatchNode::Impl::isAssignedTo(const base::WorkerId &worker,
                                      std::int32_t shard) const {
  auto it = View.Assignment.find(worker);
  return it != View.Assignment.end() && it->second == shard;
}

void DispatchNode::Impl::addAssignedWorkers(ShardRunner &runner) {
  for (const auto &[id, worker] : Workers.Profiles)
    if (isAssignedTo(id, runner.term().Shard))
      runner.updateWorker(worker);
}

/// Returns a per-shard pseudorandom score of a node, as in rendezvous hashing.
/// Breaks ties between nodes of equal load; lower scores rank first.
static std::size_t rendezvousScore(const std::string &node,
                                   std::int32_t shard) {
  return std::hash<std::string>{}(node + "/" + std::to_string(shard));
}

std::chrono::milliseconds
DispatchNode::Impl::claimDelay(std::int32_t shard) const {
  std::map<std::string, std::int32_t> ownedCount;
  for (const auto &[number, owner] : View.Owners)
    ++ownedCount[owner.Owner.Node];
  ownedCount[Options.Name] =
      std::max(ownedCount[Options.Name],
               static_cast<std::int32_t>(Owned.size() + Claiming.size()));
  auto rankOf = [&](const std::string &node, double cores) {
    return std::pair((ownedCount[node] + 1) / cores,
                     rendezvousScore(node, shard));
  };
  auto ownRank = rankOf(Options.Name, Options.Cores);
  std::int32_t nodesAhead = 0;
  for (const auto &[node, member] : View.Members)
    nodesAhead += node != Options.Name && rankOf(node, member.Cores) < ownRank;
  std::chrono::milliseconds delay = nodesAhead * RankDelay;
  if (Time.now() - Started < StartupWindow)
    delay +=
        static_cast<int>(Owned.size() + Claiming.size()) * StartupClaimDelay;
  auto last = View.LastOwners.find(shard);
  bool released = View.Released.contains(shard);
  if (last != View.LastOwners.end() && last->second != Options.Name &&
      !released && View.Members.contains(last->second))
    delay += LastOwnerDelay;
  return delay;
}

/// Releases a shard if another node would own it with far fewer shards per
/// core. The first nodes to start after a failure own more than their share.
void DispatchNode::Impl::rebalance() {
  TimePoint now = Time.now();
  if (Owned.empty() || !VacantSince.empty() || !Claiming.empty() ||
      !Reachable || now - LastHandover < HandoverInterval)
    return;
  std::map<std::string, std::int32_t> ownedCount;
  for (const auto &[number, owner] : View.Owners)
    ++ownedCount[owner.Owner.Node];
  double ownLoad = static_cast<double>(Owned.size()) / Options.Cores;
  bool hasLessLoadedNode = std::any_of(
      View.Members.begin(), View.Members.end(), [&](const auto &member) {
        return member.first != Options.Name &&
               (ownedCount[member.first] + 1) / member.second.Cores <=
                   ownLoad * HandoverLoadRatio;
      });
  if (!hasLessLoadedNode)
    return;
  LastHandover = now;
  asio::co_spawn(
      Executor,
      [self = shared_from_this(), runner = Owned.rbegin()->second] {
        return self->release(runner);
      },
      asio::detached);
}

void DispatchNode::Impl::spawnReconcile() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->reconcile(); },
      asio::detached);
}

asio::awaitable<void> DispatchNode::Impl::reconcileLoop() {
  while (!Leaving) {
    co_await reconcile();
    co_await detail::sleepFor(VacantSince.empty() ? ReconcileInterval : 40ms);
  }
}

asio::awaitable<void> DispatchNode::Impl::reconcile() {
  if (Reconciling || Leaving || !Directory.isSynced() || Lease == LeaseId{0})
    co_return;
  Reconciling = true;
  if (View.Shards == 0)
    co_await storeLayout();
  if (Owned.contains(0))
    co_await assignWorkers();
  TimePoint now = Time.now();
  for (std::int32_t shard = 0; shard < View.Shards; ++shard) {
    auto owner = View.Owners.find(shard);
    // An entry from a previous process of this daemon, or from a claim whose
    // response was lost, counts as vacant.
    bool isOwn =
        owner != View.Owners.end() && owner->second.Owner.Node == Options.Name;
    if ((owner != View.Owners.end() && !isOwn) || Owned.contains(shard)) {
      VacantSince.erase(shard);
      continue;
    }
    TimePoint since = VacantSince.try_emplace(shard, now).first->second;
    if (now - since < claimDelay(shard) || !Claiming.insert(shard).second)
      continue;
    asio::co_spawn(
        Executor,
        [self = shared_from_this(), shard] { return self->claim(shard); },
        asio::detached);
  }
  for (const std::shared_ptr<ShardRunner> &owned : runners()) {
    std::int64_t since = owned->term().PreviousOwnerRevision;
    std::int32_t shard = owned->term().Shard;
    owned->dropEndedOwners(
        [this, shard, since](const detail::EarlierOwner &it) {
          return hasEnded(it, shard, since);
        });
  }
  if (EndedTermsChanged && Reachable)
    co_await storeMember(Lease);
  rebalance();
  Reconciling = false;
}

asio::awaitable<void> DispatchNode::Impl::storeLayout() {
  if (Workers.Profiles.empty() || Time.now() - WorkersChanged < SettleTime)
    co_return;
  double perShard = std::min(static_cast<double>(Options.WorkersPerShard),
                             std::max(1.0, Options.LinkMbps * WorkersPerMbps));
  auto shards = std::max<std::int32_t>(
      1, static_cast<std::int32_t>(std::lround(
             static_cast<double>(Workers.Profiles.size()) / perShard)));
  Commit commit;
  commit.Conditions = {{keys::layout(), 0}};
  commit.Writes = {{keys::layout(), detail::encodeLayout(shards)}};
  // If another node stored a layout first, the watch delivers it.
  base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
  if (done && done.value().Applied)
    Events.emit(EventCode::LayoutStored, {{"shards", std::to_string(shards)}});
}

asio::awaitable<void> DispatchNode::Impl::assignWorkers() {
  std::map<std::int32_t, std::int64_t> capacity;
  std::map<std::pair<std::int32_t, base::ZoneId>, std::int64_t> inZone;
  for (std::int32_t i = 0; i < View.Shards; ++i)
    capacity[i] = 0;
  std::map<base::WorkerId, std::int32_t> next;
  bool changed = false;
  TimePoint now = Time.now();
  for (const auto &[id, shard] : View.Assignment) {
    auto it = Workers.Profiles.find(id);
    if (it == Workers.Profiles.end()) {
      // If the worker were reassigned while the old owner still uses it, the
      // two owners would fence each other without end.
      if (now - AbsentSince.try_emplace(id, now).first->second <
          AbsentWorkerTimeout)
        next[id] = shard;
      continue;
    }
    AbsentSince.erase(id);
    next[id] = shard;
    capacity[shard] += count(it->second.Capacity.Cpu);
    inZone[{shard, it->second.Zone}] += count(it->second.Capacity.Cpu);
  }
  for (const auto &[id, profile] : Workers.Profiles) {
    if (next.contains(id))
      continue;
    const model::WorkerProfile &worker = profile;
    changed = true;
    auto best = std::min_element(
        capacity.begin(), capacity.end(), [&](const auto &a, const auto &b) {
          return std::pair(inZone[{a.first, worker.Zone}], a.second) <
                 std::pair(inZone[{b.first, worker.Zone}], b.second);
        });
    next[id] = best->first;
    best->second += count(worker.Capacity.Cpu);
    inZone[{best->first, worker.Zone}] += count(worker.Capacity.Cpu);
  }
  auto owner = Owned.find(0);
  if (!changed || owner == Owned.end())
    co_return;
  Commit commit;
  commit.Conditions = {
      {keys::owner(0), owner->second->term().Revision},
      {keys::assignment(), Directory.revisionOf(keys::assignment())}};
  commit.Writes = {{keys::assignment(), detail::encodeAssignment(next)}};
  base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
  if (done && done.value().Applied)
    Events.emit(EventCode::WorkersAssigned,
                {{"workers", std::to_string(next.size())}});
}

/// Returns whether an earlier owner of a shard is known to send no commands any
/// more: its permission has expired since it was replaced, it has recorded the
/// end of its term, or a later process of its node has joined. A node runs one
/// daemon at a time.
///
/// \param since revision at which the process was known to be running.
bool DispatchNode::Impl::hasEnded(const detail::EarlierOwner &owner,
                                  std::int32_t shard,
                                  std::int64_t since) const {
  std::optional<TimePoint> replaced = Replaced.at(shard, owner.Term);
  if (replaced &&
      Time.now() - *replaced >= detail::maxPermissionLifetime(Options.Shard))
    return true;
  auto member = View.Members.find(owner.Owner.Node);
  if (member == View.Members.end())
    return false;
  if (member->second.Instance != owner.Owner.Instance)
    return Directory.revisionOf(keys::member(owner.Owner.Node)) > since;
  auto ended = member->second.EndedTerms.find(shard);
  return ended != member->second.EndedTerms.end() &&
         ended->second >= owner.Term;
}

/// Returns the previous owners of a shard that may still send commands.
///
/// \param last current owner record.
/// \param revision revision of that record.
std::vector<detail::EarlierOwner>
DispatchNode::Impl::earlierOwners(std::int32_t shard,
                                  const detail::OwnerEntry &last,
                                  std::int64_t revision) const {
  std::vector<detail::EarlierOwner> earlier = last.EarlierOwners;
  if (!last.Owner.Node.empty() && !View.Released.contains(shard))
    earlier.push_back({last.Owner, last.Term});
  // Earlier terms of this node ended with their process or runner.
  std::erase_if(earlier, [&](const detail::EarlierOwner &it) {
    return it.Owner.Node == Options.Name || hasEnded(it, shard, revision);
  });
  return earlier;
}

asio::awaitable<void> DispatchNode::Impl::claim(std::int32_t shard) {
  base::Result<std::optional<StoredItem>> record =
      co_await Store.read(keys::owner(shard));
  detail::OwnerEntry last;
  std::int64_t revision = 0;
  if (record && record.value()) {
    revision = record.value()->Revision;
    if (auto entry = detail::decodeOwner(record.value()->Value))
      last = entry.value();
  }
  auto seen = View.Owners.find(shard);
  bool vacant =
      seen == View.Owners.end() || seen->second.Owner.Node == Options.Name;
  // The lease may have ended since the claim began. An entry without one would
  // outlive the node.
  bool mayClaim =
      vacant && !Leaving && !Owned.contains(shard) && Lease != LeaseId{0};
  if (record && mayClaim) {
    Commit commit;
    commit.Conditions = {{keys::shardEntry(shard),
                          Directory.revisionOf(keys::shardEntry(shard))},
                         {keys::owner(shard), revision}};
    detail::OwnerEntry entry{{Options.Name, Options.Instance},
                             last.Term + 1,
                             earlierOwners(shard, last, revision)};
    commit.Writes = {
        {keys::owner(shard), detail::encodeOwner(entry)},
        {keys::shardEntry(shard), detail::encodeOwner(entry), Lease}};
    TimePoint sent = Time.now();
    base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
    if (done && done.value().Applied) {
      LastStoreContact = std::max(LastStoreContact, sent);
      Replaced.note(shard, entry.Term, Time.now());
      startTerm({shard, entry.Term, done.value().Revision, entry.EarlierOwners,
                 Replaced.terms(shard, entry.EarlierOwners, Time.now()),
                 revision});
    } else if (!done) {
      Events.emit(EventCode::ClaimFailed, {{"shard", std::to_string(shard)},
                                           {"cause", done.error().message()}});
    }
  }
  VacantSince.erase(shard);
  Claiming.erase(shard);
}

void DispatchNode::Impl::startTerm(detail::Term term) {
  Events.emit(EventCode::ShardOwned,
              {{"shard", std::to_string(term.Shard)},
               {"term", std::to_string(term.Number)},
               {"token", std::to_string(term.Revision)}});
  // The node's destructor clears Owned, which ends the cycle of references.
  std::shared_ptr<Impl> self = shared_from_this();
  detail::RunnerContext context{
      Executor,
      Options,
      Store,
      WorkerCalls,
      Time,
      Events,
      MetricsRegistry,
      StartCalls,
      [self] { return self->LastStoreContact; },
      [self](TimePoint sent) {
        self->LastStoreContact = std::max(self->LastStoreContact, sent);
      },
      [self] { return self->LeaseRenewedAt; },
      [self]() -> std::optional<RecordsAge> {
        if (!self->OperatorRecords)
          return std::nullopt;
        return self->OperatorRecords();
      },
      [self]() -> std::optional<RecordsAge> {
        if (!self->WorkerEntries)
          return std::nullopt;
        return self->WorkerEntries();
      },
      {},
      {},
      {},
      [self] { return self->View.Shards; },
      [self](const ShardRunner &runner) { self->removeRunner(runner); }};
  if (View.Shards > 1) {
    context.FindShard = [self](const model::AcceptedJob &job,
                               std::int32_t from) {
      return self->JobRequests.findShard(job, from);
    };
    context.FindRooms = [self](const Delegation &offer, std::int32_t from) {
      return self->JobRequests.findRooms(offer, from);
    };
    context.PeerLoads = [self] { return self->JobRequests.readLoads(); };
  }
  auto runner = std::make_shared<ShardRunner>(std::move(context), term);
  Owned[term.Shard] = runner;
  MetricsRegistry.setOwnedShards(Owned.size());
  runner->setZonesOutOfService(Workers.ZonesOutOfService);
  if (!Limits.empty())
    runner->setAccountLimits(Limits);
  addAssignedWorkers(*runner);
  runner->start();
}

/// Stores the member record with the terms that this process has ended.
asio::awaitable<bool> DispatchNode::Impl::storeMember(LeaseId lease) {
  EndedTermsChanged = false;
  Commit member;
  member.Writes = {
      {keys::member(Options.Name),
       detail::encodeMember({Options.Instance, Options.Cores, EndedTerms}),
       lease}};
  base::Result<CommitOutcome> done = co_await Store.commit(std::move(member));
  bool stored = done && done.value().Applied;
  EndedTermsChanged |= !stored;
  co_return stored;
}

/// Acquires a new lease and attaches the node's entries to it. The node keeps
/// each shard whose owner record is unchanged.
asio::awaitable<bool> DispatchNode::Impl::rejoin() {
  base::Result<LeaseId> lease = co_await Store.grantLease(Options.NodeLease);
  if (!lease)
    co_return false;
  bool joined = co_await storeMember(lease.value());
  if (!joined)
    co_return false;
  for (const std::shared_ptr<ShardRunner> &it : runners()) {
    const detail::Term &term = it->term();
    Commit commit;
    // The entry may still be attached to the expired lease.
    base::Result<std::optional<StoredItem>> entry =
        co_await Store.read(keys::shardEntry(term.Shard));
    if (!entry)
      co_return false;
    commit.Conditions = {{keys::owner(term.Shard), term.Revision},
                         {keys::shardEntry(term.Shard),
                          entry.value() ? entry.value()->Revision : 0}};
    commit.Writes = {{keys::shardEntry(term.Shard),
                      detail::encodeOwner(
                          {{Options.Name, Options.Instance}, term.Number, {}}),
                      lease.value()}};
    base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
    if (!done)
      co_return false;
    if (!done.value().Applied && !it->isStopped()) {
      Events.emit(EventCode::ShardGivenUp,
                  {{"shard", std::to_string(term.Shard)},
                   {"cause", "the node's lease expired"}});
      it->stop();
      removeRunner(*it);
    }
  }
  // Not before: a renewal proves that the node holds its shards only if their
  // entries are attached to the lease.
  Lease = lease.value();
  co_return true;
}

asio::awaitable<void> DispatchNode::Impl::leaseLoop() {
  // Also while the shards are released: a lease that expires meanwhile makes
  // the next owner wait for this one.
  while (!ShardsReleased) {
    TimePoint sent = Time.now();
    bool answered = false;
    if (Lease == LeaseId{0}) {
      if (Leaving)
        co_return;
      answered = co_await rejoin();
    } else {
      base::Result<void> renewed = co_await Store.renewLease(Lease);
      answered = renewed.has_value();
      if (!renewed && renewed.error().Code == base::Errc::StoreRejected) {
        Events.emit(EventCode::NodeLeaseLost, {{"node", Options.Name}});
        Lease = LeaseId{0};
        continue;
      }
    }
    if (answered) {
      LastStoreContact = std::max(LastStoreContact, sent);
      LeaseRenewedAt = sent;
    }
    if (answered != Reachable)
      Events.emit(answered ? EventCode::StoreReached
                           : EventCode::StoreUnreached,
                  {{"node", Options.Name}});
    Reachable = answered;
    base::Duration pause =
        answered ? base::Duration(Options.NodeLease / RenewalsPerLease)
                 : base::Duration(RetryDelay);
    TimePoint due = Time.now() + pause;
    co_await detail::sleepFor(pause);
    MetricsRegistry.observeLoopDelay(Time.now() - due);
  }
}

asio::awaitable<void>
DispatchNode::Impl::release(std::shared_ptr<ShardRunner> runner) {
  co_await runner->flush();
  runner->stop();
  std::int32_t shard = runner->term().Shard;
  Commit commit;
  commit.Conditions = {{keys::owner(shard), runner->term().Revision}};
  commit.Writes = {{keys::shardEntry(shard), detail::encodeOwner({})}};
  base::Result<CommitOutcome> done = co_await Store.commit(std::move(commit));
  Events.emit(EventCode::ShardReleased,
              {{"shard", std::to_string(shard)},
               {"stored", done ? "yes" : done.error().message()}});
  removeRunner(*runner);
}

DispatchNode::DispatchNode(asio::any_io_executor executor,
                           DispatchOptions options, MetadataStore &store,
                           TaskWorker &workers, const base::Clock &clock,
                           base::EventLog &events, Metrics &metrics)
    : Self(std::make_shared<Impl>(std::move(executor), std::move(options),
                                  store, workers, clock, events, metrics)) {}

DispatchNode::~DispatchNode() {
  Self->Leaving = Self->ShardsReleased = true;
  for (const std::shared_ptr<ShardRunner> &it : Self->runners())
    it->stop();
  Self->Owned.clear();
}

void DispatchNode::start() {
  Self->Directory.start();
  asio::co_spawn(
      Self->Executor, [self = Self] { return self->leaseLoop(); },
      asio::detached);
  asio::co_spawn(
      Self->Executor, [self = Self] { return self->reconcileLoop(); },
      asio::detached);
}

asio::awaitable<void> DispatchNode::leave() {
  Self->Leaving = true;
  for (const std::shared_ptr<ShardRunner> &it : Self->runners())
    co_await Self->release(it);
  Self->ShardsReleased = true;
  if (Self->Lease != LeaseId{0})
    if (base::Result<void> ended =
            co_await Self->Store.revokeLease(Self->Lease);
        !ended)
      Self->Events.emit(EventCode::StoreUnreached,
                        {{"cause", ended.error().message()}});
}

void DispatchNode::setOperatorRecords(std::function<RecordsAge()> age) {
  Self->OperatorRecords = std::move(age);
}

void DispatchNode::setWorkerEntries(std::function<RecordsAge()> age) {
  Self->WorkerEntries = std::move(age);
}

void DispatchNode::setZonesOutOfService(std::set<base::ZoneId> zones) {
  if (zones == Self->Workers.ZonesOutOfService)
    return;
  Self->Workers.ZonesOutOfService = std::move(zones);
  for (const std::shared_ptr<ShardRunner> &it : Self->runners())
    it->setZonesOutOfService(Self->Workers.ZonesOutOfService);
}

/// Pause between two watch calls for account records; changes within it arrive
/// in one call.
constexpr auto AccountBatchDelay = 25ms;

void DispatchNode::Impl::watchAccounts() {
  bool limited = std::any_of(Limits.begin(), Limits.end(), [](const auto &it) {
    return it.second.MaxRunning != base::Resources{};
  });
  if (limited == (Accounts != nullptr))
    return;
  Accounts.reset();
  if (!limited)
    return;
  // The mirror calls no handler after its destruction.
  PrefixMirror::Handlers handlers;
  handlers.Written = [this](const StoredItem &item) {
    for (const std::shared_ptr<ShardRunner> &it : runners())
      it->onAccountItem(item);
  };
  handlers.Deleted = [](const std::string &) {};
  handlers.Synced = [] {};
  Accounts = std::make_unique<PrefixMirror>(
      Executor, Store, keys::accountPrefix(), std::move(handlers), Time, Events,
      MirrorDelays{.Batch = AccountBatchDelay});
  Accounts->start();
}

/// Returns whether an amount that had no limit has one now.
static bool isNewlyLimited(const base::Resources &before,
                           const base::Resources &after) {
  auto added = [](std::int64_t was, std::int64_t is) {
    return was == 0 && is != 0;
  };
  return added(count(before.Cpu), count(after.Cpu)) ||
         added(count(before.Memory), count(after.Memory)) ||
         added(before.Accelerators, after.Accelerators);
}

void DispatchNode::setAccounts(
    const std::vector<model::ClientAccount> &accounts) {
  AccountLimits limits;
  for (const model::ClientAccount &it : accounts) {
    AccountLimit &limit = limits[it.Name];
    limit.Weight = it.Weight;
    limit.MaxRunning.Cpu = it.MaxRunning.Cpu;
    limit.MaxRunning.Memory = it.MaxRunning.Memory;
    limit.MaxRunning.Accelerators = it.MaxRunning.Accelerators;
    auto before = Self->Limits.find(it.Name);
    AccountLimit earlier =
        before == Self->Limits.end() ? AccountLimit{} : before->second;
    limit.LimitedSince = earlier.LimitedSince;
    if (Self->AccountsSeen &&
        isNewlyLimited(earlier.MaxRunning, limit.MaxRunning))
      limit.LimitedSince = Self->Time.now();
  }
  Self->AccountsSeen = true;
  if (limits == Self->Limits)
    return;
  Self->Limits = std::move(limits);
  Self->watchAccounts();
  for (const std::shared_ptr<ShardRunner> &it : Self->runners())
    it->setAccountLimits(Self->Limits);
}

void DispatchNode::updateWorker(const model::WorkerProfile &worker) {
  if (!Self->Workers.Profiles.contains(worker.Id))
    Self->WorkersChanged = Self->Time.now();
  Self->Workers.Profiles[worker.Id] = worker;
  for (const std::shared_ptr<ShardRunner> &it : Self->runners())
    if (Self->isAssignedTo(worker.Id, it->term().Shard))
      it->updateWorker(worker);
}

void DispatchNode::unlistWorker(const base::WorkerId &worker) {
  Self->Workers.Profiles.erase(worker);
  for (const std::shared_ptr<ShardRunner> &it : Self->runners())
    it->unlistWorker(worker);
}

asio::awaitable<SubmitOutcome> DispatchNode::submit(model::AcceptedJob job) {
  if (!Self->Reachable)
    co_return SubmitOutcome::Refused;
  co_return co_await Self->JobRequests.submit(std::move(job));
}

std::chrono::seconds DispatchNode::returnDelay() {
  std::uniform_real_distribution<double> uniform(0, 1);
  return dispatch::returnDelay(Self->Time.now() - Self->LastStoreContact,
                               uniform(Self->Random));
}

asio::awaitable<CancelOutcome> DispatchNode::cancel(model::JobNumber job,
                                                    Requester requester) {
  if (!Self->Reachable)
    co_return CancelOutcome::Refused;
  co_return co_await Self->JobRequests.cancel(job, std::move(requester));
}

Async<std::optional<model::JobState>>
DispatchNode::jobState(model::JobNumber job, Requester requester) {
  if (!Self->Reachable)
    co_return base::fail(base::Errc::StoreUnavailable,
                         "the node has no connection to the store");
  co_return co_await Self->JobRequests.jobState(job, std::move(requester));
}

Async<std::int64_t> DispatchNode::pendingJobs(std::string queue) {
  return Self->JobRequests.pendingJobs(std::move(queue));
}

bool DispatchNode::isConnected() const {
  return Self->Directory.isSynced() && Self->View.Shards > 0 &&
         Self->Time.now() - Self->LastStoreContact <
             2 * Self->Options.NodeLease;
}

std::size_t DispatchNode::ownedShards() const { return Self->Owned.size(); }

} // namespace endivedoor::dispatch
