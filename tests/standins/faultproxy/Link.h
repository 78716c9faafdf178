/// \file
/// One link of the fault proxy: a listener whose connections are relayed with
/// delays, cuts and resets.
#ifndef ENDIVEDOOR_TESTS_STANDINS_FAULTPROXY_LINK_H
#define ENDIVEDOOR_TESTS_STANDINS_FAULTPROXY_LINK_H

#include "support/Standin.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <random>
#include <set>
#include <string>

namespace endivedoor::standin {

using Tcp = asio::ip::tcp;

/// Direction of bytes: from the side that connects, or back to it.
enum Direction { Forward = 0, Backward = 1 };

struct LinkSettings {
  std::chrono::milliseconds Delay{0};
  /// Maximum random addition to the delay; the byte order is preserved.
  std::chrono::milliseconds Jitter{0};
  /// Bytes are dropped. Connections that lost bytes are reset when the cut
  /// ends, because their streams are incomplete.
  std::array<bool, 2> Cut{};
  /// Bytes are queued and delivered when the stall ends.
  std::array<bool, 2> Stall{};
  /// Probability that relaying a chunk resets the connection instead.
  double Loss = 0;
  /// New connections are reset.
  bool Refuse = false;

  bool isCut() const { return Cut[Forward] || Cut[Backward]; }
};

class Link {
public:
  /// \param spec "name=ip:port->ip:port": where to listen and connect.
  Link(asio::io_context &io, const std::string &spec, const base::Clock &clock,
       std::uint64_t seed);

  const std::string &name() const { return Name; }
  void apply(const LinkSettings &settings);
  /// Resets all connections.
  void reset();
  json::object state() const;

private:
  struct Chunk {
    base::TimePoint Due;
    std::string Bytes;
    bool IsEnd = false;
  };
  struct Pipe {
    explicit Pipe(asio::io_context &io) : Timer(io) {}
    std::deque<Chunk> Queue;
    std::size_t QueuedBytes = 0;
    bool Ended = false;
    asio::steady_timer Timer;
  };
  struct Relay {
    Relay(asio::io_context &io, Tcp::socket client)
        : Sockets{std::move(client), Tcp::socket(io)}, Pipes{Pipe(io),
                                                             Pipe(io)} {}
    /// The client socket and the target socket.
    std::array<Tcp::socket, 2> Sockets;
    std::array<Pipe, 2> Pipes;
    /// Whether bytes of a direction were dropped.
    std::array<bool, 2> HasGap{};
    bool Closed = false;
    void reset();
  };
  using RelayPtr = std::shared_ptr<Relay>;

  Awaitable<void> acceptLoop();
  Awaitable<void> connect(RelayPtr relay);
  Awaitable<void> read(RelayPtr relay, Direction direction);
  Awaitable<void> write(RelayPtr relay, Direction direction);
  Awaitable<void> waitUntilDue(Relay &relay, const Chunk &chunk,
                               Direction direction);
  void enqueue(Pipe &pipe, Chunk chunk);
  base::Duration delay();

  asio::io_context &Io;
  const base::Clock &Time;
  std::string Name;
  model::Address Listen, Target;
  Tcp::acceptor Acceptor;
  LinkSettings Settings;
  std::mt19937_64 Random;
  std::set<RelayPtr> Relays;
  std::array<std::uint64_t, 2> Bytes{}, Dropped{};
  std::uint64_t Connections = 0, Resets = 0;
};

} // namespace endivedoor::standin

#endif
