/// \file
/// The platform's list of live and leaving hosts. It is seconds out of date.
#ifndef ENDIVEDOOR_PLATFORM_HOSTLIST_H
#define ENDIVEDOOR_PLATFORM_HOSTLIST_H

#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"

#include <vector>

namespace endivedoor::platform {

class HostList {
public:
  virtual ~HostList() = default;

  /// Fetches the list. It does not contain capacities; they are set to zero.
  ///
  /// Errors: HostListUnavailable, PlatformAnswerInvalid.
  virtual Async<std::vector<model::Worker>> fetch() = 0;
};

} // namespace endivedoor::platform

#endif
