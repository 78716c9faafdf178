/// \file
/// Awaits an operation that runs on another executor.
#ifndef ENDIVEDOOR_PLATFORM_RUNON_H
#define ENDIVEDOOR_PLATFORM_RUNON_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace endivedoor::platform {

template <typename T>
boost::asio::awaitable<void> storeInto(boost::asio::awaitable<T> operation,
                                       std::optional<T> &result) {
  result.emplace(co_await std::move(operation));
}

/// Runs \p operation on \p executor and resumes on the caller's executor with
/// its result, which does not have to be default-constructible.
template <typename T>
boost::asio::awaitable<T> runOn(boost::asio::any_io_executor executor,
                                boost::asio::awaitable<T> operation) {
  std::optional<T> result;
  co_await boost::asio::co_spawn(executor,
                                 storeInto(std::move(operation), result),
                                 boost::asio::use_awaitable);
  co_return std::move(*result);
}

} // namespace endivedoor::platform

#endif
