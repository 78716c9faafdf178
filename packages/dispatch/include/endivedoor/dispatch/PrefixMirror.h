/// \file
/// A local copy of all keys with one prefix, kept by a watch.
#ifndef ENDIVEDOOR_DISPATCH_PREFIXMIRROR_H
#define ENDIVEDOOR_DISPATCH_PREFIXMIRROR_H

#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/MetadataStore.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace endivedoor::dispatch {

/// Lists a prefix, then watches it; lists again when the watch has lost
/// history. Each change is reported once and in the order of the store.
class PrefixMirror {
public:
  struct Handlers {
    /// A key was written.
    std::function<void(const StoredItem &)> Written;
    /// A key was deleted.
    std::function<void(const std::string &key)> Deleted;
    /// A list or a batch of changes has been reported.
    std::function<void()> Synced;
  };

  /// \param pause time between two answers of the watch; changes within it
  /// share one call.
  PrefixMirror(boost::asio::any_io_executor executor, MetadataStore &store,
               std::string prefix, Handlers handlers, base::EventLog &events,
               std::chrono::milliseconds batchDelay = {});
  ~PrefixMirror();
  PrefixMirror(const PrefixMirror &) = delete;
  PrefixMirror &operator=(const PrefixMirror &) = delete;

  void start();
  /// Whether the whole prefix has been read at least once.
  bool isSynced() const;
  /// Returns the revision of a key; 0 if it does not exist.
  std::int64_t revisionOf(const std::string &key) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::dispatch

#endif
