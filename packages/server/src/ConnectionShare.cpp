#include "endivedoor/server/ConnectionShare.h"

#include "endivedoor/base/Event.h"

#include <algorithm>

namespace endivedoor::server {

ConnectionShare::ConnectionShare(std::int32_t entryHosts)
    : EntryHosts(std::max(1, entryHosts)) {}

void ConnectionShare::setCapacity(const model::Address &worker,
                                  std::int32_t connections) {
  find(worker)->Limit.store(std::max(1, connections / EntryHosts));
}

std::shared_ptr<WorkerConnections>
ConnectionShare::find(const model::Address &worker) {
  std::lock_guard lock(Mutex);
  std::shared_ptr<WorkerConnections> &it = Workers[worker];
  if (!it)
    it = std::make_shared<WorkerConnections>();
  return it;
}

std::size_t ConnectionShare::addThread(Listener listener) {
  if (Threads.size() == MaxThreads)
    base::breakInvariant("more traffic threads than ConnectionShare can count");
  Threads.push_back(std::move(listener));
  return Threads.size() - 1;
}

void ConnectionShare::requestRelease(const model::Address &worker,
                                     std::size_t thread) {
  for (std::size_t i = 0; i < Threads.size(); ++i)
    if (i != thread)
      Threads[i](worker, true);
}

void ConnectionShare::announceFree(const model::Address &worker,
                                   WorkerConnections &it) {
  std::uint64_t waiting = it.Waiting.exchange(0);
  for (std::size_t i = 0; i < Threads.size(); ++i)
    if (waiting >> i & 1)
      Threads[i](worker, false);
}

ThreadConnections::ThreadConnections(ConnectionShare &share,
                                     ConnectionShare::Listener listener)
    : Share(share), Thread(share.addThread(std::move(listener))) {}

WorkerConnections &ThreadConnections::at(const model::Address &worker) {
  std::shared_ptr<WorkerConnections> &it = Cache[worker];
  if (!it)
    it = Share.find(worker);
  return *it;
}

bool ThreadConnections::tryOpen(const model::Address &to) {
  WorkerConnections &it = at(to);
  std::int32_t open = it.Open.load();
  while (open < it.Limit.load())
    if (it.Open.compare_exchange_weak(open, open + 1))
      return true;
  return false;
}

void ThreadConnections::closed(const model::Address &to) {
  WorkerConnections &it = at(to);
  it.Open.fetch_sub(1);
  if (it.Waiting.load() != 0)
    Share.announceFree(to, it);
}

bool ThreadConnections::mayIdle(const model::Address &to) {
  WorkerConnections &it = at(to);
  std::uint64_t others = it.Waiting.load() & ~(std::uint64_t{1} << Thread);
  return others == 0 && it.Open.load() <= it.Limit.load();
}

void ThreadConnections::await(const model::Address &worker) {
  std::uint64_t bit = std::uint64_t{1} << Thread;
  if (at(worker).Waiting.fetch_or(bit) & bit)
    return;
  Share.requestRelease(worker, Thread);
}

} // namespace endivedoor::server
