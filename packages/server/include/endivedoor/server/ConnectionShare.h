/// \file
/// Enforces the fixed share of each worker's connections that this entry host
/// may open.
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
  /// Bit mask of the traffic threads that wait for a connection.
  std::atomic<std::uint64_t> WaitingThreads{0};

  /// Returns whether a connection may be opened now; another thread may take it
  /// first.
  bool hasCapacity() const {
    return Open.load(std::memory_order_relaxed) <
           Limit.load(std::memory_order_relaxed);
  }
};

/// Counts the connections of all traffic threads of the process, including idle
/// ones. Thread-safe, except for registerThread().
class ConnectionShare {
public:
  /// Maximum number of traffic threads, the number of bits in
  /// WorkerConnections::WaitingThreads.
  static constexpr std::size_t MaxThreads = 64;
  /// Called on any thread when a connection to \p worker becomes available (\p
  /// wanted is false), or when another thread waits for one (\p wanted is
  /// true).
  using Listener =
      std::function<void(const model::Address &worker, bool wanted)>;

  /// \param entryHosts number of entry hosts that share the connections of each
  /// worker.
  explicit ConnectionShare(std::int32_t entryHosts);

  /// Sets the number of connections that \p worker accepts from all entry hosts
  /// together. The limit of this entry host is that number divided by the
  /// number of entry hosts, at least 1.
  void setCapacity(const model::Address &worker, std::int32_t connections);

  /// Returns the connection counter of \p worker; creates it with a limit of 1
  /// if there is none. Cost: one lock.
  std::shared_ptr<WorkerConnections> findOrCreate(const model::Address &worker);

  /// Registers a traffic thread and returns its index. Call this before the
  /// traffic threads start.
  std::size_t registerThread(Listener listener);

  /// Asks all threads but \p thread to close their idle connections to \p
  /// worker.
  void requestIdleClose(const model::Address &worker, std::size_t thread);
  /// Notifies all threads that wait for a connection to \p worker, and clears
  /// their registrations.
  void notifyWaitingThreads(const model::Address &worker,
                            WorkerConnections &connections);

private:
  std::int32_t EntryHosts;
  std::mutex Mutex;
  std::map<model::Address, std::shared_ptr<WorkerConnections>> Workers;
  std::vector<Listener> Listeners;
};

/// Connection gate of the HTTP client of one traffic thread.
class ThreadConnections final : public platform::ConnectionLimiter {
public:
  ThreadConnections(ConnectionShare &share, ConnectionShare::Listener listener);

  bool tryAcquire(const model::Address &to) override;
  void release(const model::Address &to) override;
  bool mayKeepIdle(const model::Address &to) override;

  /// Returns the connection counter of \p worker.
  WorkerConnections &at(const model::Address &worker);
  /// Registers this thread as waiting for a connection to \p worker, and asks
  /// the other threads to close idle ones.
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
