#include "endivedoor/server/ConnectionShare.h"

#include "endivedoor/base/Event.h"

#include <algorithm>

namespace endivedoor::server {

ConnectionShare::ConnectionShare(std::int32_t entryHosts)
    : EntryHosts(std::max(1, entryHosts)) {}

void ConnectionShare::setCapacity(const model::Address &worker,
                                  std::int32_t connections) {
  findOrCreate(worker)->Limit.store(std::max(1, connections / EntryHosts));
}

std::shared_ptr<WorkerConnections>
ConnectionShare::findOrCreate(const model::Address &worker) {
  std::lock_guard lock(Mutex);
  std::shared_ptr<WorkerConnections> &it = Workers[worker];
  if (!it)
    it = std::make_shared<WorkerConnections>();
  return it;
}

std::size_t ConnectionShare::registerThread(Listener listener) {
  if (Listeners.size() == MaxThreads)
    base::failInvariant("more traffic threads than ConnectionShare supports");
  Listeners.push_back(std::move(listener));
  return Listeners.size() - 1;
}

void ConnectionShare::requestIdleClose(const model::Address &worker,
                                       std::size_t thread) {
  for (std::size_t i = 0; i < Listeners.size(); ++i)
    if (i != thread)
      Listeners[i](worker, true);
}

void ConnectionShare::notifyWaitingThreads(const model::Address &worker,
                                           WorkerConnections &connections) {
  std::uint64_t waiting = connections.WaitingThreads.exchange(0);
  for (std::size_t i = 0; i < Listeners.size(); ++i)
    if (waiting >> i & 1)
      Listeners[i](worker, false);
}

ThreadConnections::ThreadConnections(ConnectionShare &share,
                                     ConnectionShare::Listener listener)
    : Share(share), Thread(share.registerThread(std::move(listener))) {}

WorkerConnections &ThreadConnections::at(const model::Address &worker) {
  std::shared_ptr<WorkerConnections> &it = Cache[worker];
  if (!it)
    it = Share.findOrCreate(worker);
  return *it;
}

bool ThreadConnections::tryAcquire(const model::Address &to) {
  WorkerConnections &it = at(to);
  std::int32_t open = it.Open.load();
  while (open < it.Limit.load())
    if (it.Open.compare_exchange_weak(open, open + 1))
      return true;
  return false;
}

void ThreadConnections::release(const model::Address &to) {
  WorkerConnections &it = at(to);
  it.Open.fetch_sub(1);
  if (it.WaitingThreads.load() != 0)
    Share.notifyWaitingThreads(to, it);
}

bool ThreadConnections::mayKeepIdle(const model::Address &to) {
  WorkerConnections &it = at(to);
  std::uint64_t others =
      it.WaitingThreads.load() & ~(std::uint64_t{1} << Thread);
  return others == 0 && it.Open.load() <= it.Limit.load();
}

void ThreadConnections::registerWaiter(const model::Address &worker) {
  std::uint64_t bit = std::uint64_t{1} << Thread;
  if (at(worker).WaitingThreads.fetch_or(bit) & bit)
    return;
  Share.requestIdleClose(worker, Thread);
}

} // namespace endivedoor::server
