#include "TrafficThread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endivedoor::daemon {

namespace asio = boost::asio;

TrafficThread::TrafficThread(server::TrafficContext context, std::uint64_t seed)
    : Callers(Io.get_executor(), context, context.Config.Callers, seed) {}

base::Result<void> TrafficThread::start() {
  BOOST_OUTCOME_TRYV(Callers.start());
  Thread = std::thread([this] { Io.run(); });
  return base::success();
}

void TrafficThread::endKeepAlive() {
  asio::post(Io, [this] { Callers.endKeepAlive(); });
}

void TrafficThread::beginDrain() {
  asio::post(Io, [this] { Callers.beginDrain(); });
}

asio::awaitable<TrafficThread::Load> TrafficThread::load() {
  auto read = [](server::CallerServer &callers) -> asio::awaitable<Load> {
    Load load;
    load.Requests = callers.activeRequests();
    load.Connections = callers.openConnections();
    co_return load;
  };
  co_return co_await asio::co_spawn(Io, read(Callers), asio::use_awaitable);
}

} // namespace endivedoor::daemon
