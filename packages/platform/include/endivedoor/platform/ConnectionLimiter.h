/// \file
/// Limits the connections that HTTP clients keep open to each address.
#ifndef ENDIVEDOOR_PLATFORM_CONNECTIONLIMITER_H
#define ENDIVEDOOR_PLATFORM_CONNECTIONLIMITER_H

#include "endivedoor/model/Worker.h"

namespace endivedoor::platform {

/// Counts connections from before they are opened until after they are closed.
class ConnectionLimiter {
public:
  virtual ~ConnectionLimiter() = default;
  /// Returns whether one more connection to \p to may be opened, and counts it.
  virtual bool tryAcquire(const model::Address &to) = 0;
  /// A counted connection has been closed.
  virtual void release(const model::Address &to) = 0;
  /// Returns whether a connection may stay open without a request on it.
  virtual bool mayKeepIdle(const model::Address &to) = 0;
};

} // namespace endivedoor::platform

#endif
