#include "endivedoor/control/Control.h"

#include "detail/Admission.h"
#include "detail/Codec.h"
#include "detail/ConfigManager.h"
#include "detail/Keys.h"
#include "detail/ShardElection.h"
#include "detail/ShardOwner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endivedoor::control {

using base::Errc;
using base::EventCode;

/// Returns a sleep function that uses the system timer.
static SleepFunction systemSleep(boost::asio::any_io_executor executor) {
  return [executor](base::Duration time) -> boost::asio::awaitable<void> {
    boost::asio::steady_timer timer(executor, time);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  };
}

static std::uint64_t randomSeed(const model::Settings &settings,
                                const base::InstanceId &instance) {
  if (settings.Seed == 0)
    return std::random_device{}();
  // Mixes in the instance, so that daemons with the same configured seed do not
  // back off at the same times.
  return settings.Seed ^ std::hash<base::InstanceId>{}(instance);
}

struct Control::Impl {
  detail::Context Ctx;
  SchedulerFactory Factory;
  detail::ServiceZoneCounter ServiceZones{};
  detail::ConfigManager Config{Ctx};
  detail::Admission Admission{Ctx, Config};
  detail::ShardElection Election{Ctx};
  std::shared_ptr<detail::ShardOwner> Owner{};
  bool OwnerStopped = true;

  boost::asio::awaitable<void> campaign();
  boost::asio::awaitable<void> runOwner(detail::Ownership ownership);
  boost::asio::awaitable<void>
  maintainLease(std::shared_ptr<detail::ShardOwner> shardOwner);
  const detail::ShardOwner *activeOwner() const;
  base::Error notOwnerError() const;
};

Control::Control(boost::asio::any_io_executor executor,
                 const model::Settings &settings, platform::Store &store,
                 platform::WorkerClient &workers, platform::HostList &hosts,
                 const base::Clock &clock, base::EventLog &events,
                 base::InstanceId instance, SchedulerFactory factory,
                 SleepFunction sleep)
    : State(new Impl{
          detail::Context{
              executor, settings, store, workers, hosts, clock, events,
              instance, sleep ? std::move(sleep) : systemSleep(executor),
              std::mt19937_64(randomSeed(settings, instance)), Counters{}},
          std::move(factory)}) {}

Control::~Control() = default;

void Control::start() {
  State->Ctx.spawn(State->Config.run());
  State->Ctx.spawn(State->campaign());
}

/// Campaigns for the ownership of the shard until the daemon stops. Whether the
/// shard has an owner is known from polling the configuration, so this needs no
/// store call of its own.
boost::asio::awaitable<void> Control::Impl::campaign() {
  detail::Backoff backoff;
  while (!Ctx.Stopping) {
    // Jitter prevents the daemons of a zone from campaigning at the same time.
    base::Duration pause = Ctx.Settings.Timing.ConfigPoll / 10;
    pause += pause * static_cast<int>(Ctx.Random() % 256) / 128;
    if (Config.owners().count(Ctx.Settings.Zone) == 0) {
      auto won = co_await Election.campaign();
      if (won && won.value()) {
        OwnerStopped = false;
        co_await runOwner(*won.value());
        OwnerStopped = true;
      }
      if (won)
        backoff.reset();
      else
        pause = std::max(pause, backoff.nextDelay(Ctx.Random));
    }
    if (Ctx.Stopping)
      co_return;
    co_await Ctx.Sleep(pause);
  }
}

boost::asio::awaitable<void>
Control::Impl::runOwner(detail::Ownership ownership) {
  auto owner = std::make_shared<detail::ShardOwner>(Ctx, Config, ownership,
                                                    Factory(), ServiceZones);
  Owner = owner;
  ++Ctx.Metrics.ElectionsWon;
  Ctx.Events.emit(EventCode::OwnerElected,
                  {{"zone", Ctx.Settings.Zone.str()},
                   {"epoch", std::to_string(base::toNumber(ownership.Epoch))}});
  Ctx.spawn(maintainLease(owner));
  co_await owner->run();
  Owner.reset();
  co_await Election.release(ownership);
  if (Ctx.Stopping)
    Ctx.Events.emit(
        EventCode::OwnerHandedOver,
        {{"zone", Ctx.Settings.Zone.str()},
         {"epoch", std::to_string(base::toNumber(ownership.Epoch))}});
}

boost::asio::awaitable<void>
Control::Impl::maintainLease(std::shared_ptr<detail::ShardOwner> shardOwner) {
  // A named variable, since g++ 12 destroys a temporary closure in a co_await
  // expression twice.
  std::function<bool()> shouldRenew = [shardOwner] {
    return shardOwner->isActive();
  };
  co_await Election.keepLeaseAlive(shardOwner->ownership(), shouldRenew);
  if (shardOwner->isActive())
    shardOwner->stepDown("the owner lease has expired");
}

boost::asio::awaitable<void> Control::stop() {
  Impl &impl = *State;
  base::TimePoint now = impl.Ctx.Clock.now();
  base::TimePoint deadline = now + 4 * impl.Ctx.Settings.Timing.StoreTimeout;
  impl.Ctx.Stopping = true;
  if (impl.Owner)
    impl.Owner->drainUntil(now + 2 * impl.Ctx.Settings.Timing.StoreTimeout);
  while (!impl.OwnerStopped && impl.Ctx.Clock.now() < deadline)
    co_await impl.Ctx.Sleep(std::chrono::milliseconds(10));
}

void Control::onConfiguration(
    std::function<void(const Configuration &)> observer) {
  State->Config.onChange(std::move(observer));
}

void Control::setServiceZoneCounter(
    std::function<std::int32_t(const base::ServiceName &)> counter) {
  State->ServiceZones = std::move(counter);
}

platform::Async<base::JobId> Control::admit(model::JobSpec job) {
  return State->Admission.admit(std::move(job));
}

platform::Async<void> Control::cancel(base::JobId job) {
  return State->Admission.cancel(std::move(job));
}

const detail::ShardOwner *Control::Impl::activeOwner() const {
  return Owner && Owner->isLoaded() && Owner->isActive() ? Owner.get()
                                                         : nullptr;
}

/// Returns NotOwner with the owner's operator address as the detail, if that
/// address is in the settings.
base::Error Control::Impl::notOwnerError() const {
  auto entry = Config.owners().find(Ctx.Settings.Zone);
  std::string address;
  if (entry != Config.owners().end())
    for (const model::PeerSettings &it : Ctx.Settings.Peers)
      if (it.Name == entry->second.Name)
        address = it.Operator.str();
  return {Errc::NotOwner, address};
}

static JobStatus statusOf(const detail::TaskTable &table,
                          const detail::JobRecord &job) {
  JobStatus status;
  status.Spec = job.Spec;
  for (const base::TaskId &it : job.Tasks)
    status.Tasks.push_back(table.tasks().at(it).Task);
  return status;
}

base::Result<JobStatus> Control::job(const base::JobId &id) const {
  const detail::ShardOwner *owner = State->activeOwner();
  if (owner == nullptr)
    return State->notOwnerError();
  auto it = owner->table().jobs().find(id);
  if (it == owner->table().jobs().end())
    return base::fail(Errc::JobUnknown, id.str());
  return statusOf(owner->table(), it->second);
}

base::Result<std::vector<JobStatus>> Control::jobs() const {
  const detail::ShardOwner *owner = State->activeOwner();
  if (owner == nullptr)
    return State->notOwnerError();
  std::vector<JobStatus> out;
  for (const auto &[id, job] : owner->table().jobs())
    out.push_back(statusOf(owner->table(), job));
  return out;
}

const Configuration &Control::configuration() const {
  return State->Config.current();
}

platform::Async<ChangeOutcome> Control::putRules(std::string text,
                                                 std::uint64_t baseVersion,
                                                 std::string author) {
  return State->Config.putRules(std::move(text), baseVersion,
                                std::move(author));
}

platform::Async<ChangeOutcome> Control::setZoneOut(base::ZoneId zone, bool out,
                                                   std::string author) {
  return State->Config.setZoneOut(std::move(zone), out, std::move(author));
}

void Control::offerConfiguration(const Configuration &config) {
  Configuration offered = config;
  // A modification revision is only trusted if this daemon read it from the
  // store itself.
  offered.ModRevision = 0;
  State->Config.adopt(offered);
}

std::vector<ZoneState> Control::zones() const {
  std::vector<ZoneState> out;
  for (const base::ZoneId &it : State->Ctx.Settings.Zones) {
    ZoneState state;
    state.Zone = it;
    state.OutOfService = State->Config.isZoneOut(it);
    auto entry = State->Config.owners().find(it);
    if (entry != State->Config.owners().end()) {
      state.Owner = entry->second.Name;
      state.OwnerEpoch = entry->second.Epoch;
    }
    out.push_back(std::move(state));
  }
  return out;
}

std::vector<WorkerState> Control::workers() const {
  const detail::ShardOwner *owner = State->activeOwner();
  return owner == nullptr ? std::vector<WorkerState>() : owner->workerStates();
}

platform::Async<std::vector<ReportRow>>
Control::report(base::ContractName contract) {
  constexpr std::int64_t pageSize = 500;
  std::string startKey = detail::reportPrefix(contract);
  std::string endKey = platform::prefixEnd(startKey);
  std::vector<ReportRow> out;
  for (;;) {
    auto entries = co_await State->Ctx.Store.range(startKey, endKey, pageSize);
    State->Ctx.recordStoreResult(entries ? nullptr : &entries.error());
    if (!entries)
      co_return entries.error();
    for (const platform::StoreEntry &it : entries.value()) {
      auto value = detail::parseJson(it.Value);
      if (!value)
        co_return base::Error{Errc::JournalUnreadable, it.Key};
      detail::FieldReader in(value.value());
      for (const boost::json::value &row : in.list("rows")) {
        auto parsed = detail::rowFromJson(row);
        if (!parsed)
          co_return base::Error{Errc::JournalUnreadable, it.Key};
        out.push_back(std::move(parsed.value()));
      }
    }
    if (entries.value().size() < static_cast<std::size_t>(pageSize))
      co_return out;
    startKey = entries.value().back().Key + std::string(1, '\0');
  }
}

std::vector<ReportRow> Control::currentReport() const {
  const detail::ShardOwner *owner = State->activeOwner();
  return owner == nullptr ? std::vector<ReportRow>() : owner->report().rows();
}

const Counters &Control::counters() const { return State->Ctx.Metrics; }

} // namespace endivedoor::control
