/// \file
/// Local copy of all keys with a common prefix, kept up to date by a watch.
#ifndef ENDIVEDOOR_DISPATCH_PREFIXMIRROR_H
#define ENDIVEDOOR_DISPATCH_PREFIXMIRROR_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/MetadataStore.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace endivedoor::dispatch {

struct MirrorDelays {
  /// Maximum wait of a watch call. A connection may stall without an error, so
  /// this bounds the age of the local copy. Each wait costs one call.
  std::chrono::milliseconds Watch{2000};
  /// Time from the sending of a watch call to the next one; changes within it
  /// arrive in one call. Half of it passes after the answer in any case. A slow
  /// answer thus does not add twice to the age of the local copy.
  std::chrono::milliseconds Batch{0};
};

/// Lists a prefix, then watches it, and lists it again if the store has
/// compacted the watched revisions. Reports each change once, in revision
/// order. A handler may destroy the mirror; no handler is called after that.
class PrefixMirror {
public:
  struct Handlers {
    /// Called for each key that was created or updated.
    std::function<void(const StoredItem &)> Written;
    /// Called for each key that was deleted.
    std::function<void(const std::string &key)> Deleted;
    /// Called after a full listing or a batch of changes was reported.
    std::function<void()> Synced;
  };

  PrefixMirror(boost::asio::any_io_executor executor, MetadataStore &store,
               std::string prefix, Handlers handlers, const base::Clock &clock,
               base::EventLog &events, MirrorDelays delays = {});
  ~PrefixMirror();
  PrefixMirror(const PrefixMirror &) = delete;
  PrefixMirror &operator=(const PrefixMirror &) = delete;

  void start();
  /// Returns whether the prefix has been listed completely at least once.
  bool isSynced() const;
  /// Returns the revision of a key, or 0 if the key does not exist.
  std::int64_t revisionOf(const std::string &key) const;
  /// Returns when the latest answered call was sent. The copy contains all that
  /// the store had acknowledged by then.
  base::TimePoint lastAnsweredCall() const;
  /// Returns whether the latest finished call was answered.
  bool isReachable() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::dispatch

#endif
