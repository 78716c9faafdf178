/// \file
/// The platform's list of live and leaving hosts. It lags by seconds.
#ifndef ENDIVEDOOR_PLATFORM_HOSTLIST_H
#define ENDIVEDOOR_PLATFORM_HOSTLIST_H

#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"

#include <vector>

namespace endivedoor::platform {

class HostList {
public:
  virtual ~HostList() = default;

  /// Reads the list; capacities are not part of it and are zero.
  ///
  /// Errors: HostListUnavailable, PlatformAnswerInvalid.
  virtual Async<std::vector<model::Worker>> fetch() = 0;
};

} // namespace endivedoor::platform

#endif
