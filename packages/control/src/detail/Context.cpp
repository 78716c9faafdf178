#include "detail/Context.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endivedoor::control::detail {

std::string Context::nextWriteId() {
  // Zero-padded so that keys built from the write ids of one daemon sort by
  // age.
  std::string number = std::to_string(++LastWriteNumber);
  return Instance.str() + "-" +
         std::string(10 - std::min<std::size_t>(10, number.size()), '0') +
         number;
}

void Context::recordStoreResult(const base::Error *error) {
  bool down = error != nullptr && error->Code != base::Errc::StoreRejected;
  if (error != nullptr)
    ++Metrics.StoreErrors;
  if (down == StoreDown)
    return;
  StoreDown = down;
  if (down)
    Events.emit(base::EventCode::StoreUnreached, {{"error", error->message()}});
  else
    Events.emit(base::EventCode::StoreReached);
}

void Context::spawn(boost::asio::awaitable<void> coroutine) {
  boost::asio::co_spawn(Executor, std::move(coroutine), boost::asio::detached);
}

base::Duration Backoff::nextDelay(std::mt19937_64 &random) {
  base::Duration ceiling = std::chrono::milliseconds(100) * (1 << Failures);
  ceiling = std::min<base::Duration>(ceiling, std::chrono::seconds(5));
  Failures = std::min(Failures + 1, 6);
  std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2,
                                                     ceiling.count());
  return base::Duration(jitter(random));
}

OneShotEvent::OneShotEvent(const boost::asio::any_io_executor &executor)
    : Timer(executor, boost::asio::steady_timer::time_point::max()) {}

boost::asio::awaitable<void> OneShotEvent::wait() {
  while (!IsSet)
    co_await Timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
}

void OneShotEvent::set() {
  IsSet = true;
  Timer.cancel();
}

} // namespace endivedoor::control::detail
