/// \file
/// Limit of the calls that a node has in flight.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_CALLWINDOW_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_CALLWINDOW_H

#include "endivedoor/base/Clock.h"

#include <cstddef>

namespace endivedoor::dispatch::detail {

/// Adapts the number of start commands in flight to the node's link, from the
/// time that answers take.
///
/// Load pattern: a small node owns many workers and decides on more starts than
/// its link carries. Without a limit the commands queue up, their answers miss
/// the timeout, and lease renewals wait behind them until the lease expires.
/// Starts that are held back are decided on again in order of priority.
///
/// The delay of answers counts. A command without an answer says more about its
/// worker than about the link, unless a whole window of commands gets none.
class CallWindow {
public:
  /// Returns how many more calls may be sent now.
  std::size_t available() const;
  void onSent() { ++InFlight; }
  /// \param delay time from sending to the answer.
  /// \param answered whether there was an answer.
  void onFinished(base::Duration delay, bool answered, base::TimePoint now);
  /// Returns the current limit.
  std::size_t limit() const;

private:
  static constexpr double InitialLimit = 16;

  void reduce(base::TimePoint now);

  double Limit = InitialLimit;
  /// Number of calls without an answer since the latest answer.
  std::size_t LostInARow = 0;
  std::size_t InFlight = 0;
  /// Moving average of the delay of answers.
  base::Duration MeanDelay{};
  base::TimePoint LastReduced{};
};

} // namespace endivedoor::dispatch::detail

#endif
