#include "endivedoor/dispatch/PrefixMirror.h"

#include "detail/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace endivedoor::dispatch {

namespace asio = boost::asio;
using base::EventCode;
using namespace std::chrono_literals;

/// Delay after a failed call; limits the call rate during an outage.
constexpr auto RetryDelay = 150ms;

struct PrefixMirror::Impl : std::enable_shared_from_this<Impl> {
  asio::any_io_executor Executor;
  MetadataStore &Store;
  std::string Prefix;
  Handlers Callbacks;
  const base::Clock &Time;
  base::EventLog &Events;
  MirrorDelays Delays;
  std::map<std::string, std::int64_t> Revisions;
  std::int64_t AsOf = 0;
  base::TimePoint AnsweredCallSent{};
  bool Listed = false;
  bool Reachable = true;
  bool Stopped = false;

  Impl(asio::any_io_executor executor, MetadataStore &store, std::string prefix,
       Handlers handlers, const base::Clock &clock, base::EventLog &events,
       MirrorDelays delays)
      : Executor(std::move(executor)), Store(store), Prefix(std::move(prefix)),
        Callbacks(std::move(handlers)), Time(clock), Events(events),
        Delays(delays) {}

  void applyWrite(const StoredItem &item) {
    std::int64_t &known = Revisions[item.Key];
    if (item.Revision <= known)
      return;
    known = item.Revision;
    Callbacks.Written(item);
  }

  void applyDelete(const std::string &key, std::int64_t revision) {
    auto it = Revisions.find(key);
    if (it == Revisions.end() || it->second > revision)
      return;
    Revisions.erase(it);
    Callbacks.Deleted(key);
  }

  void setReachable(bool reachable, const std::string &cause) {
    if (reachable == Reachable)
      return;
    Reachable = reachable;
    Events.emit(reachable ? EventCode::WatchRegained : EventCode::WatchLost,
                {{"prefix", Prefix}, {"cause", cause}});
  }

  asio::awaitable<bool> relist() {
    base::TimePoint sent = Time.now();
    base::Result<Listing> list = co_await Store.list(Prefix);
    if (Stopped)
      co_return false;
    if (!list) {
      setReachable(false, list.error().message());
      co_return false;
    }
    setReachable(true, "");
    std::set<std::string> present;
    for (const StoredItem &it : list.value().Items) {
      present.insert(it.Key);
      applyWrite(it);
      if (Stopped)
        co_return false;
    }
    std::vector<std::string> missing;
    for (const auto &[key, revision] : Revisions)
      if (!present.contains(key) && revision <= list.value().AsOf)
        missing.push_back(key);
    for (const std::string &it : missing) {
      applyDelete(it, list.value().AsOf);
      if (Stopped)
        co_return false;
    }
    AsOf = list.value().AsOf;
    AnsweredCallSent = sent;
    Listed = true;
    Callbacks.Synced();
    co_return true;
  }

  asio::awaitable<bool> pollWatch() {
    base::TimePoint sent = Time.now();
    base::Result<Changes> changes =
        co_await Store.watch(Prefix, AsOf, Delays.Watch);
    if (Stopped)
      co_return false;
    if (!changes) {
      setReachable(false, changes.error().message());
      co_return false;
    }
    setReachable(true, "");
    if (changes.value().HistoryLost) {
      Events.emit(EventCode::WatchHistoryLost,
                  {{"prefix", Prefix}, {"after", std::to_string(AsOf)}});
      Listed = co_await relist();
      co_return Listed;
    }
    for (const Change &it : changes.value().List) {
      if (it.Deleted)
        applyDelete(it.Item.Key, it.Revision);
      else
        applyWrite(it.Item);
      if (Stopped)
        co_return false;
    }
    AsOf = std::max(AsOf, changes.value().AsOf);
    AnsweredCallSent = sent;
    if (!changes.value().List.empty())
      Callbacks.Synced();
    co_return true;
  }

  asio::awaitable<void> run() {
    auto self = shared_from_this();
    bool needsList = true;
    while (!Stopped) {
      base::TimePoint sent = Time.now();
      bool done = needsList ? co_await relist() : co_await pollWatch();
      if (Stopped)
        co_return;
      if (done) {
        needsList = false;
        if (Delays.Batch.count() > 0)
          co_await detail::sleepFor(std::max<base::Duration>(
              Delays.Batch / 2, Delays.Batch - (Time.now() - sent)));
        continue;
      }
      needsList = !Listed;
      co_await detail::sleepFor(RetryDelay);
    }
  }
};

PrefixMirror::PrefixMirror(asio::any_io_executor executor, MetadataStore &store,
                           std::string prefix, Handlers handlers,
                           const base::Clock &clock, base::EventLog &events,
                           MirrorDelays delays)
    : Self(std::make_shared<Impl>(std::move(executor), store, std::move(prefix),
                                  std::move(handlers), clock, events, delays)) {
}

PrefixMirror::~PrefixMirror() { Self->Stopped = true; }

void PrefixMirror::start() {
  asio::co_spawn(
      Self->Executor, [self = Self] { return self->run(); }, asio::detached);
}

bool PrefixMirror::isSynced() const { return Self->Listed; }

std::int64_t PrefixMirror::revisionOf(const std::string &key) const {
  auto it = Self->Revisions.find(key);
  return it == Self->Revisions.end() ? 0 : it->second;
}

base::TimePoint PrefixMirror::lastAnsweredCall() const {
  return Self->AnsweredCallSent;
}

bool PrefixMirror::isReachable() const { return Self->Reachable; }

} // namespace endivedoor::dispatch
