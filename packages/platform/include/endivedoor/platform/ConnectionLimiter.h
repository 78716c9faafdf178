/// \file
/// Limits the number of connections that HTTP clients open to each address.
#ifndef ENDIVEDOOR_PLATFORM_CONNECTIONLIMITER_H
#define ENDIVEDOOR_PLATFORM_CONNECTIONLIMITER_H

#include "endivedoor/model/Worker.h"

namespace endivedoor::platform {

/// Counts each connection from before it is opened until after it is closed.
class ConnectionLimiter {
public:
  virtual ~ConnectionLimiter() = default;
  /// Counts one more connection to \p to if it may be opened. \returns whether
  /// it may.
  virtual bool tryAcquire(const model::Address &to) = 0;
  /// Stops counting a connection to \p to, after it has been closed.
  virtual void release(const model::Address &to) = 0;
  /// Returns whether a connection to \p to may be kept open while it is idle.
  virtual bool mayKeepIdle(const model::Address &to) = 0;
};

} // namespace endivedoor::platform

#endif
