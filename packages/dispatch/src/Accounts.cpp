// Limits of client accounts in a shard: what runs, what may start, and the
// writes of the accounts' records.
#include "detail/Placement.h"
#include "detail/ShardState.h"

#include <algorithm>

namespace endivedoor::dispatch {

using base::TimePoint;
using policy::AccountAmounts;

namespace detail {

static AccountAmounts amountsOf(const base::Resources &size) {
  return {count(size.Cpu), count(size.Memory), size.Accelerators};
}

AccountState *ShardState::accountOf(const JobEntry &job) {
  if (Accounts.empty() || job.Job.Account.empty())
    return nullptr;
  auto it = Accounts.find(job.Job.Account);
  return it == Accounts.end() ? nullptr : &it->second;
}

void ShardState::addUse(RunReservation &held) {
  held.Account = accountOf(*held.Job);
  if (!held.Account)
    return;
  AccountAmounts size = amountsOf(held.Step->Size);
  held.Account->Demand.Used += size;
  if (held.Adopted)
    held.Account->Demand.UsedByEarlierOwner += size;
}

void ShardState::removeUse(const RunReservation &held) {
  if (!held.Account)
    return;
  AccountAmounts size = amountsOf(held.Step->Size);
  held.Account->Demand.Used -= size;
  if (held.Adopted)
    held.Account->Demand.UsedByEarlierOwner -= size;
}

bool ShardState::isWithinLimit(const JobEntry &job, const model::StepSpec &step,
                               std::int32_t tasks, TimePoint now) {
  AccountState *account = accountOf(job);
  return !account || !account->Limited ||
         account->Share.mayStart(amountsOf(step.Size) * tasks, account->Demand,
                                 now);
}

bool ShardState::wantsMoreReady(const JobEntry &job) {
  AccountState *account = accountOf(job);
  if (!account)
    return false;
  AccountAmounts wanted = account->Demand.Used;
  wanted += account->Demand.Ready;
  return policy::isWithin(wanted, account->Share.limit());
}

void ShardState::addReady(const JobEntry &job, const model::StepSpec &step,
                          std::int32_t tasks, std::int32_t atOnce) {
  AccountState *account = accountOf(job);
  if (!account)
    return;
  if (account->Demand.Ready.isZero())
    account->Demand.NextTask = amountsOf(step.Size) * atOnce;
  account->Demand.Ready += amountsOf(step.Size) * tasks;
}

double ShardState::startedPerWeight(const JobEntry &job, TimePoint now) {
  if (Accounts.empty())
    return 0;
  AccountState *account = accountOf(job);
  const policy::StartedCpu &started = account ? account->Started : OtherStarted;
  // A weight of 0 is owed nothing, so that its account comes last.
  constexpr double minWeight = 1e-6;
  double weight = account ? std::max(account->Weight, minWeight) : 1;
  std::int64_t sum = started.sum(now);
  const std::string name = account ? job.Job.Account : std::string();
  for (const auto &[shard, sums] : PeerStarted)
    if (auto it = sums.find(name); it != sums.end())
      sum += it->second;
  return static_cast<double>(sum) / weight;
}

void ShardState::addStarted(const JobEntry &job, const model::StepSpec &step,
                            TimePoint now) {
  if (Accounts.empty())
    return;
  AccountState *account = accountOf(job);
  (account ? account->Started : OtherStarted).add(count(step.Size.Cpu), now);
}

void ShardState::addStartedTo(ShardLoad &load) const {
  if (Accounts.empty())
    return;
  auto add = [&](const std::string &name, const policy::StartedCpu &started) {
    if (std::int64_t sum = started.sum(PlannedAt); sum > 0)
      load.StartedCpu[name] = sum;
  };
  add("", OtherStarted);
  for (const auto &[name, account] : Accounts)
    add(name, account.Started);
}

void ShardState::resetReady() {
  for (auto &[name, account] : Accounts)
    account.Demand.Ready = account.Demand.NextTask = {};
}

void ShardState::limitReady() {
  if (std::none_of(Accounts.begin(), Accounts.end(), [](const auto &it) {
        return !it.second.Demand.Ready.isZero();
      }))
    return;
  std::int64_t free = 0;
  for (const auto &[id, w] : Workers) {
    if (!w->isUsable())
      continue;
    free += std::max<std::int64_t>(0, count(w->Profile.Capacity.Cpu) -
                                          count(w->Used.Cpu));
    free += std::max<std::int64_t>(
        0, static_cast<std::int64_t>(fillerCapacity(*w)) - w->FillerCpu);
  }
  for (auto &[name, account] : Accounts) {
    policy::ShareDemand &demand = account.Demand;
    demand.Ready.Cpu =
        std::min(demand.Ready.Cpu, std::max(free, demand.NextTask.Cpu));
  }
}

} // namespace detail

void Shard::setAccountLimits(const AccountLimits &limits) {
  detail::ShardState &s = *State;
  for (auto &[name, account] : s.Accounts)
    if (!limits.contains(name)) {
      account.Limited = false;
      account.Share.setLimit({}, std::nullopt);
    }
  bool added = false;
  for (const auto &[name, limit] : limits) {
    auto [it, isNew] = s.Accounts.try_emplace(name, s.Number);
    detail::AccountState &account = it->second;
    added = added || isNew;
    AccountAmounts amounts = detail::amountsOf(limit.MaxRunning);
    account.Weight = limit.Weight;
    account.Limited = !amounts.isZero();
    account.Share.setLimit(amounts, limit.LimitedSince);
  }
  if (!added)
    return;
  for (auto &[id, w] : s.Workers)
    for (auto &[run, held] : w->Runs)
      if (!held.Account)
        s.addUse(held);
}

void Shard::onAccountRecord(const std::string &account,
                            const policy::ShareRecord &record,
                            std::int64_t revision) {
  auto it = State->Accounts.find(account);
  if (it != State->Accounts.end())
    it->second.Share.onRecord(record, revision);
}

void Shard::onAccountRecordUnreadable(const std::string &account,
                                      std::int64_t revision, TimePoint now) {
  auto it = State->Accounts.find(account);
  if (it != State->Accounts.end())
    it->second.Share.onUnreadable(revision, now);
}

void Shard::onAccountsLoaded() {
  bool unverified = State->hasUnverifiedWorkers();
  for (auto &[name, account] : State->Accounts)
    account.Share.onLoaded(unverified);
}

bool Shard::hasUnloadedAccounts() const {
  return std::any_of(State->Accounts.begin(), State->Accounts.end(),
                     [](const auto &it) {
                       return it.second.Limited && !it.second.Share.isLoaded();
                     });
}

std::vector<AccountWrite> Shard::takeAccountWrites(TimePoint now) {
  std::vector<AccountWrite> writes;
  for (auto &[name, account] : State->Accounts)
    if (account.Limited)
      if (auto write = account.Share.takeWrite(account.Demand, now))
        writes.push_back({name, std::move(*write)});
  return writes;
}

bool Shard::hasDeferredAccountWrites() const {
  return std::any_of(
      State->Accounts.begin(), State->Accounts.end(),
      [](const auto &it) { return it.second.Share.hasDeferredWrite(); });
}

void Shard::onAccountWrite(const std::string &account,
                           AccountWriteOutcome outcome, std::int64_t revision,
                           TimePoint now) {
  auto it = State->Accounts.find(account);
  if (it == State->Accounts.end())
    return;
  switch (outcome) {
  case AccountWriteOutcome::Written:
    return it->second.Share.onWritten(revision, now);
  case AccountWriteOutcome::Conflict:
    return it->second.Share.onNotWritten();
  case AccountWriteOutcome::Failed:
    return it->second.Share.onWriteFailed();
  case AccountWriteOutcome::Unknown:
    return it->second.Share.onWriteLost();
  }
}

bool Shard::hasAccounts() const { return !State->Accounts.empty(); }

void Shard::setPeerStartedCpu(std::int32_t shard,
                              std::map<std::string, std::int64_t> started) {
  State->PeerStarted[shard] = std::move(started);
}

bool Shard::isAccountWaiting(const std::string &account) const {
  auto it = State->Accounts.find(account);
  return it != State->Accounts.end() && it->second.Limited &&
         !it->second.Demand.Ready.isZero();
}

} // namespace endivedoor::dispatch
