/// \file
/// Coroutine return type of asynchronous operations.
#ifndef ENDIVEDOOR_PLATFORM_ASYNC_H
#define ENDIVEDOOR_PLATFORM_ASYNC_H

#include "endivedoor/base/Error.h"

#include <boost/asio/awaitable.hpp>

namespace endivedoor::platform {

/// An awaitable that completes with a Result; runs on an Asio executor.
template <typename T> using Async = boost::asio::awaitable<base::Result<T>>;

} // namespace endivedoor::platform

#endif
