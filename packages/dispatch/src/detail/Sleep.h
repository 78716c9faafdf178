/// \file
/// Asynchronous sleep for coroutines.
#ifndef ENDIVEDOOR_DISPATCH_SRC_DETAIL_SLEEP_H
#define ENDIVEDOOR_DISPATCH_SRC_DETAIL_SLEEP_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace endivedoor::dispatch::detail {

inline boost::asio::awaitable<void> sleepFor(std::chrono::nanoseconds time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace endivedoor::dispatch::detail

#endif
