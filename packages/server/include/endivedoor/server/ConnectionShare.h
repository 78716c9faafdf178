/// \file
/// The fixed share of each worker's connections that this entry host may open.
#ifndef ENDIVEDOOR_SERVER_CONNECTIONSHARE_H
#define ENDIVEDOOR_SERVER_CONNECTIONSHARE_H

#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/ConnectionLimiter.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace endivedoor::server {

/// Connections of this process to one worker. Thread-safe.
struct WorkerConnections {
  std::atomic<std::int32_t> Open{0};
  std::atomic<std::int32_t> Limit{1};
  /// One bit for each traffic thread that waits for a connection.
  std::atomic<std::uint64_t> WaitingThreads{0};

  /// Returns whether a connection may be opened at this moment.
  bool hasCapacity() const {
    return Open.load(std::memory_order_relaxed) <
           Limit.load(std::memory_order_relaxed);
  }
};

/// Counts the connections of all traffic threads of the process. An open
/// connection counts even when it is idle. Thread-safe.
class ConnectionShare {
public:
  /// Largest number of traffic threads.
  static constexpr std::size_t MaxThreads = 64;
  /// Called on any thread when a connection to \p worker becomes free for
  /// others (\p wanted is false), or when another thread waits for one (\p
  /// wanted is true).
  using Listener =
      std::function<void(const model::Address &worker, bool wanted)>;

  /// \param entryHosts number of entry hosts that share each worker.
  explicit ConnectionShare(std::int32_t entryHosts);

  /// Sets the number of connections that \p worker accepts from all entry
  /// hosts; the share is that number divided by the entry hosts, at least 1.
  void setCapacity(const model::Address &worker, std::int32_t connections);

  /// Returns the counter of \p worker, with a limit of 1 if it is new. Cost:
  /// one lock.
  std::shared_ptr<WorkerConnections> findOrCreate(const model::Address &worker);

  /// Adds a traffic thread; called before the traffic threads start. Returns
  /// its number.
  std::size_t registerThread(Listener listener);

  /// Tells the other threads to close idle connections to \p worker.
  void requestIdleClose(const model::Address &worker, std::size_t thread);
  /// Tells all threads that wait for \p worker that a connection is free.
  void notifyWaitingThreads(const model::Address &worker,
                            WorkerConnections &connections);

private:
  std::int32_t EntryHosts;
  std::mutex Mutex;
  std::map<model::Address, std::shared_ptr<WorkerConnections>> Workers;
  std::vector<Listener> Listeners;
};

/// The gate of one traffic thread's HTTP client.
class ThreadConnections final : public platform::ConnectionLimiter {
public:
  ThreadConnections(ConnectionShare &share, ConnectionShare::Listener listener);

  bool tryAcquire(const model::Address &to) override;
  void release(const model::Address &to) override;
  bool mayKeepIdle(const model::Address &to) override;

  /// Returns the counter of \p worker.
  WorkerConnections &at(const model::Address &worker);
  /// Notes that this thread waits for a connection to \p worker.
  void registerWaiter(const model::Address &worker);

private:
  struct AddressHash {
    std::size_t operator()(const model::Address &a) const noexcept {
      return std::hash<std::string>{}(a.Ip) * 31 + a.Port;
    }
  };

  ConnectionShare &Share;
  std::size_t Thread;
  std::unordered_map<model::Address, std::shared_ptr<WorkerConnections>,
                     AddressHash>
      Cache;
};

} // namespace endivedoor::server

#endif
