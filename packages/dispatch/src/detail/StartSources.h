/// \file
/// Ages of the records that decisions on starts are made from.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_STARTSOURCES_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_STARTSOURCES_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Event.h"
#include "endivedoor/dispatch/DispatchNode.h"
#include "endivedoor/dispatch/Metrics.h"

#include <functional>
#include <optional>
#include <vector>

namespace endivedoor::dispatch::detail {

/// A local copy of records that starts depend on.
struct StartSource {
  /// Short name for logs.
  const char *Name = "";
  /// Time from the acknowledgement of a change by the store to the last start
  /// at a worker that may ignore it.
  base::Duration EffectTime{};
  /// Nothing is sent from an older copy. Less than EffectTime by the time that
  /// a start takes.
  base::Duration MaxAge{};
  /// Returns the age of the copy; nothing if it is not checked.
  std::function<std::optional<RecordsAge>()> Age;
};

/// All copies that starts depend on. While the store as a whole does not answer
/// this node, old copies count as current: no more recent ones can be had.
///
/// Not thread-safe.
class StartSources {
public:
  /// \param lastStoreContact returns when the latest successful call to the
  /// store was sent.
  StartSources(std::vector<StartSource> sources,
               std::function<base::TimePoint()> lastStoreContact,
               base::EventLog &events);

  /// Returns whether all copies are recent enough to send a start now. Logs the
  /// beginning and the end of a time in which they are not.
  bool areCurrent(base::TimePoint now);
  /// Records the ages of all copies.
  void observeAges(base::TimePoint now, Metrics &metrics) const;
  /// Returns when the oldest copy was complete.
  base::TimePoint asOf(base::TimePoint now) const;
  /// Returns the time after which a start that is decided now must not begin.
  base::TimePoint startsValidUntil(base::TimePoint now) const;

private:
  bool isOld(const StartSource &source, const RecordsAge &age,
             base::TimePoint now) const;

  std::vector<StartSource> Sources;
  std::function<base::TimePoint()> LastStoreContact;
  base::EventLog &Events;
  /// The source that starts have been held back for, and since when.
  const StartSource *Held = nullptr;
  base::TimePoint HeldSince;
};

} // namespace endivedoor::dispatch::detail

#endif
