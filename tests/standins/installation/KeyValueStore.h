/// \file
/// Stand-in for the users' metadata store.
#ifndef ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_KEYVALUESTORE_H
#define ENDIVEDOOR_TESTS_STANDINS_INSTALLATION_KEYVALUESTORE_H

#include "support/Standin.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace endivedoor::standin {

/// Key-value store over HTTP with revisions, leases and watches. Not
/// thread-safe: used only on the thread of its io_context.
class KeyValueStore {
public:
  enum class Outage { None, Hang, Busy, Reset };

  struct Faults {
    Outage OutageMode = Outage::None;
    /// Leases expire during an outage instead of being paused.
    bool ExpireLeases = false;
    /// Delay of each response.
    std::chrono::milliseconds AnswerDelay{0};
    /// Fraction of the transactions that get no response.
    double LostAnswerRate = 0;
    /// Delay after which those take effect, if their conditions still hold.
    std::chrono::milliseconds CommitDelay{0};
  };

  KeyValueStore(asio::io_context &io, const base::Clock &clock,
                std::uint64_t seed);

  Awaitable<HttpResponse> handle(HttpRequest request);

  void put(const std::string &key, const std::string &value);
  void erase(const std::string &key);
  /// Returns std::nullopt if there is no such key.
  std::optional<std::string> find(const std::string &key) const;
  /// Compacts the history up to the current revision; watches from earlier
  /// revisions are answered with 410.
  void dropHistory();
  /// Ends all leases and removes their keys, as an outage may.
  void endLeases();
  void setFaults(Faults faults);
  const Faults &faults() const { return ActiveFaults; }
  /// Number of calls by kind since the start.
  const std::map<std::string, std::uint64_t> &callCounts() const {
    return CallCounts;
  }

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t CreateRevision = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::int64_t Revision = 0;
    bool Deleted = false;
    Item NewItem;
  };
  struct Lease {
    std::chrono::milliseconds Ttl{0};
    base::TimePoint Expires;
  };

  HttpResponse transact(const json::value &body);
  HttpResponse read(const std::string &key) const;
  HttpResponse range(const std::string &prefix, const std::string &after) const;
  Awaitable<HttpResponse> watch(std::string prefix, std::int64_t after,
                                std::chrono::milliseconds wait);
  HttpResponse handleLease(const HttpRequest &request);
  Awaitable<HttpResponse> serve(HttpRequest request);
  Awaitable<HttpResponse> applyWithoutAnswer(HttpRequest request);
  Awaitable<void> expireLeases();
  void removeKeysOf(std::int64_t lease);
  void write(const std::string &key, Item item);
  void remove(const std::string &key);
  void wakeWatches();

  asio::io_context &Io;
  const base::Clock &Time;
  std::mt19937_64 Random;
  Faults ActiveFaults;
  std::int64_t Revision = 100;
  std::int64_t CompactedRevision = 0;
  std::int64_t LastLease = 0;
  std::map<std::string, Item> Items;
  std::deque<Change> History;
  std::map<std::int64_t, Lease> Leases;
  std::set<asio::steady_timer *> WaitingWatches;
  std::map<std::string, std::uint64_t> CallCounts;
};

} // namespace endivedoor::standin

#endif
