#include "Link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace endivedoor::standin {

using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum number of delayed bytes queued per direction.
constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024;
/// Interval at which a stalled link is checked for the end of the stall.
constexpr auto StallPollInterval = 2ms;

Link::Link(asio::io_context &io, const std::string &spec,
           const base::Clock &clock, std::uint64_t seed)
    : Io(io), Time(clock), Acceptor(io), Random(seed) {
  std::size_t equals = spec.find('=');
  std::size_t arrow = spec.find("->");
  if (equals == std::string::npos || arrow == std::string::npos ||
      arrow < equals) {
    std::cerr << "invalid link \"" << spec
              << "\"; expected name=ip:port->ip:port\n";
    std::exit(2);
  }
  Name = spec.substr(0, equals);
  Listen = parseAddress(spec.substr(equals + 1, arrow - equals - 1));
  Target = parseAddress(spec.substr(arrow + 2));
  boost::system::error_code ec;
  Tcp::endpoint endpoint(asio::ip::make_address(Listen.Ip, ec), Listen.Port);
  if (!ec)
    Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(endpoint, ec);
  if (!ec)
    Acceptor.listen(Tcp::acceptor::max_listen_connections, ec);
  if (ec) {
    std::cerr << spec << ": " << ec.message() << "\n";
    std::exit(2);
  }
  asio::co_spawn(Io, acceptLoop(), asio::detached);
}

void Link::Relay::reset() {
  Closed = true;
  boost::system::error_code ec;
  for (Tcp::socket &it : Sockets) {
    // Closing with a linger time of 0 sends RST instead of FIN.
    it.set_option(Tcp::socket::linger(true, 0), ec);
    it.close(ec);
  }
  for (Pipe &it : Pipes)
    it.Timer.cancel();
}

void Link::apply(const LinkSettings &settings) {
  for (Direction it : {Forward, Backward})
    if (Settings.Cut[it] && !settings.Cut[it])
      for (const RelayPtr &relay : std::set<RelayPtr>(Relays))
        if (relay->HasGap[it])
          relay->reset();
  Settings = settings;
}

void Link::reset() {
  for (const RelayPtr &relay : std::set<RelayPtr>(Relays))
    relay->reset();
  ++Resets;
}

json::object Link::state() const {
  json::object o;
  o["name"] = Name;
  o["listen"] = Listen.str();
  o["target"] = Target.str();
  o["delayMs"] = Settings.Delay.count();
  o["cutForward"] = Settings.Cut[Forward];
  o["cutBackward"] = Settings.Cut[Backward];
  o["open"] = Relays.size();
  o["connections"] = Connections;
  o["resets"] = Resets;
  o["forwardBytes"] = Bytes[Forward];
  o["backwardBytes"] = Bytes[Backward];
  o["droppedForward"] = Dropped[Forward];
  o["droppedBackward"] = Dropped[Backward];
  return o;
}

Awaitable<void> Link::acceptLoop() {
  while (true) {
    auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      asio::steady_timer timer(Io, 50ms);
      co_await timer.async_wait(AsTuple);
      continue;
    }
    ++Connections;
    auto relay = std::make_shared<Relay>(Io, std::move(socket));
    if (Settings.Refuse) {
      relay->reset();
      continue;
    }
    Relays.insert(relay);
    asio::co_spawn(Io, connect(relay), asio::detached);
  }
}

Awaitable<void> Link::connect(RelayPtr relay) {
  boost::system::error_code ec;
  relay->Sockets[0].set_option(Tcp::no_delay(true), ec);
  // A TCP handshake needs both directions: while one is cut, no connection to
  // the target is opened.
  if (Settings.isCut()) {
    relay->HasGap = {true, true};
  } else {
    // Simulates the round trip of the handshake.
    asio::steady_timer timer(Io, 2 * delay());
    co_await timer.async_wait(AsTuple);
    Tcp::endpoint endpoint(asio::ip::make_address(Target.Ip), Target.Port);
    auto [connectError] =
        co_await relay->Sockets[1].async_connect(endpoint, AsTuple);
    if (connectError || relay->Closed) {
      relay->reset();
      Relays.erase(relay);
      co_return;
    }
    relay->Sockets[1].set_option(Tcp::no_delay(true), ec);
    asio::co_spawn(Io, read(relay, Backward), asio::detached);
    asio::co_spawn(Io, write(relay, Backward), asio::detached);
    asio::co_spawn(Io, write(relay, Forward), asio::detached);
  }
  asio::co_spawn(Io, read(relay, Forward), asio::detached);
}

base::Duration Link::delay() {
  std::uniform_int_distribution<std::int64_t> jitter(0,
                                                     Settings.Jitter.count());
  return Settings.Delay + std::chrono::milliseconds(jitter(Random));
}

void Link::enqueue(Pipe &pipe, Chunk chunk) {
  chunk.Due = Time.now() + delay();
  if (!pipe.Queue.empty())
    chunk.Due = std::max(chunk.Due, pipe.Queue.back().Due);
  pipe.QueuedBytes += chunk.Bytes.size();
  pipe.Queue.push_back(std::move(chunk));
  pipe.Timer.cancel();
}

Awaitable<void> Link::read(RelayPtr relay, Direction direction) {
  Pipe &pipe = relay->Pipes[direction];
  std::string buf(16 * 1024, 0);
  while (!relay->Closed) {
    auto [ec, n] = co_await relay->Sockets[direction].async_read_some(
        asio::buffer(buf), AsTuple);
    if (relay->Closed)
      break;
    if (Settings.Cut[direction] || relay->HasGap[direction]) {
      relay->HasGap[direction] = true;
      Dropped[direction] += n;
      if (ec)
        break;
      continue;
    }
    if (ec && ec != asio::error::eof) {
      relay->reset();
      break;
    }
    if (ec) {
      enqueue(pipe, {{}, {}, true});
      break;
    }
    if (std::uniform_real_distribution<double>(0, 1)(Random) < Settings.Loss) {
      ++Resets;
      relay->reset();
      break;
    }
    enqueue(pipe, {{}, buf.substr(0, n), false});
    while (pipe.QueuedBytes > MaxQueuedBytes && !relay->Closed) {
      asio::steady_timer timer(Io, StallPollInterval);
      co_await timer.async_wait(AsTuple);
    }
  }
  if (relay->Closed)
    Relays.erase(relay);
}

Awaitable<void> Link::waitUntilDue(Relay &relay, const Chunk &chunk,
                                   Direction direction) {
  asio::steady_timer timer(Io);
  while (!relay.Closed) {
    base::Duration remaining = chunk.Due - Time.now();
    if (remaining <= 0ns && !Settings.Stall[direction])
      co_return;
    timer.expires_after(remaining > 0ns ? remaining : StallPollInterval);
    co_await timer.async_wait(AsTuple);
  }
}

Awaitable<void> Link::write(RelayPtr relay, Direction direction) {
  Pipe &pipe = relay->Pipes[direction];
  Tcp::socket &to = relay->Sockets[1 - direction];
  while (!relay->Closed) {
    if (pipe.Queue.empty()) {
      pipe.Timer.expires_at(asio::steady_timer::time_point::max());
      co_await pipe.Timer.async_wait(AsTuple);
      continue;
    }
    co_await waitUntilDue(*relay, pipe.Queue.front(), direction);
    if (relay->Closed)
      break;
    Chunk chunk = std::move(pipe.Queue.front());
    pipe.Queue.pop_front();
    pipe.QueuedBytes -= chunk.Bytes.size();
    boost::system::error_code ec;
    if (chunk.IsEnd) {
      to.shutdown(Tcp::socket::shutdown_send, ec);
      break;
    }
    auto [writeError, n] =
        co_await asio::async_write(to, asio::buffer(chunk.Bytes), AsTuple);
    Bytes[direction] += n;
    if (writeError)
      relay->reset();
  }
  // The relay is finished once both directions have forwarded end of stream.
  if (relay->Closed || relay->Pipes[1 - direction].Ended)
    Relays.erase(relay);
  pipe.Ended = true;
}

} // namespace endivedoor::standin
