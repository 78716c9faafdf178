#include "detail/ZmqTransport.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace endivedoor::peer::detail {

namespace {

/// Messages that wait for a slow peer; more are dropped. Heartbeats come twice
/// a second and repeat themselves.
constexpr int SendQueue = 16;
/// Messages from one connection that wait for this thread.
constexpr int ReceiveQueue = 64;
/// Messages handled before other work of the thread gets its turn.
constexpr int DrainBatch = 256;
constexpr int LingerMs = 100;
constexpr int ConnectTimeoutMs = 1000;
constexpr int ReconnectMs = 100;
constexpr int ReconnectMaxMs = 500;
constexpr int HandshakeMs = 2000;
/// Smaller messages are copied into ZeroMQ's own message.
constexpr std::size_t SharedFrom = 1024;

zmq::message_t toMessage(const std::shared_ptr<const std::string> &bytes) {
  if (bytes->size() < SharedFrom)
    return zmq::message_t(bytes->data(), bytes->size());
  // ZeroMQ takes a mutable pointer but does not change a message that it sends.
  auto *hold = new std::shared_ptr<const std::string>(bytes);
  auto release = [](void *, void *hint) {
    delete static_cast<std::shared_ptr<const std::string> *>(hint);
  };
  return zmq::message_t(const_cast<char *>(bytes->data()), bytes->size(),
                        release, hold);
}

} // namespace

ZmqTransport::ZmqTransport(boost::asio::any_io_executor executor,
                           TransportOptions options, Handler handler)
    : Executor(std::move(executor)), Options(std::move(options)),
      OnMessage(std::move(handler)) {}

ZmqTransport::~ZmqTransport() { close(); }

zmq::socket_t ZmqTransport::openDealer(const model::Address &peer) {
  zmq::socket_t socket(*Context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::routing_id, Options.RoutingId);
  // A message is queued only to a connected peer.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::sndhwm, SendQueue);
  socket.set(zmq::sockopt::rcvhwm, 1);
  socket.set(zmq::sockopt::linger, LingerMs);
  socket.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
  socket.set(zmq::sockopt::handshake_ivl, HandshakeMs);
  socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
  socket.set(zmq::sockopt::tcp_maxrt,
             static_cast<int>(Options.UnacknowledgedLimit.count()));
  socket.connect("tcp://" + peer.str());
  return socket;
}

base::Result<void> ZmqTransport::open() {
  try {
    Context.emplace(1);
    Router.emplace(*Context, zmq::socket_type::router);
    // A peer that reconnects after a cut replaces its half-open connection.
    Router->set(zmq::sockopt::router_handover, true);
    Router->set(zmq::sockopt::rcvhwm, ReceiveQueue);
    Router->set(zmq::sockopt::maxmsgsize,
                static_cast<std::int64_t>(Options.MaxMessageBytes));
    Router->set(zmq::sockopt::handshake_ivl, HandshakeMs);
    Router->set(zmq::sockopt::linger, 0);
    Router->set(zmq::sockopt::tcp_keepalive, 1);
    Router->set(zmq::sockopt::tcp_keepalive_idle, 5);
    Router->set(zmq::sockopt::tcp_keepalive_intvl, 1);
    Router->set(zmq::sockopt::tcp_keepalive_cnt, 3);
    Router->bind("tcp://" + Options.Listen.str());
    for (const model::PeerSettings &it : Options.Peers)
      Dealers.emplace(it.Name, openDealer(it.Peer));
    Readable.emplace(Executor, Router->get(zmq::sockopt::fd));
  } catch (const zmq::error_t &e) {
    close();
    return base::fail(base::Errc::PeerSocketFailed,
                      Options.Listen.str() + ": " + e.what());
  } catch (const boost::system::system_error &e) {
    close();
    return base::fail(base::Errc::PeerSocketFailed,
                      Options.Listen.str() + ": " + e.what());
  }
  drain();
  waitReadable();
  return base::success();
}

void ZmqTransport::close() {
  // ZeroMQ owns the descriptor and closes it with the socket.
  if (Readable)
    Readable->release();
  Readable.reset();
  Dealers.clear();
  Router.reset();
  Context.reset();
}

void ZmqTransport::reopen(std::string routingId) {
  Options.RoutingId = std::move(routingId);
  Dealers.clear();
}

void ZmqTransport::waitReadable() {
  if (!Readable)
    return;
  Readable->async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [self = weak_from_this()](boost::system::error_code ec) {
                         auto it = self.lock();
                         if (!it || ec || !it->Readable)
                           return;
                         it->drain();
                         it->waitReadable();
                       });
}

void ZmqTransport::drain() {
  // The descriptor signals once for all that has arrived, so everything must be
  // received before the next wait.
  for (int i = 0; i < DrainBatch; ++i)
    if (!Router || !receiveOne())
      return;
  if (DrainPosted)
    return;
  DrainPosted = true;
  boost::asio::post(Executor, [self = weak_from_this()] {
    if (auto it = self.lock()) {
      it->DrainPosted = false;
      it->drain();
    }
  });
}

bool ZmqTransport::receiveOne() {
  try {
    zmq::message_t id, body;
    if (!Router->recv(id, zmq::recv_flags::dontwait))
      return false;
    bool whole = id.more() && Router->recv(body, zmq::recv_flags::dontwait);
    bool extra = whole && body.more();
    while (body.more())
      if (!Router->recv(body, zmq::recv_flags::dontwait))
        break;
    // Extra parts are no part of the protocol; an empty body is refused as
    // malformed by the receiver.
    OnMessage(id.to_string_view(),
              whole && !extra ? body.to_string_view() : std::string_view());
    return true;
  } catch (const zmq::error_t &) {
    return false;
  }
}

bool ZmqTransport::send(const std::string &to,
                        const std::shared_ptr<const std::string> &bytes) {
  try {
    auto at = Dealers.find(to);
    if (at == Dealers.end()) {
      auto peer = std::find_if(Options.Peers.begin(), Options.Peers.end(),
                               [&](const auto &it) { return it.Name == to; });
      if (!Context || peer == Options.Peers.end())
        return false;
      at = Dealers.emplace(to, openDealer(peer->Peer)).first;
    }
    zmq::message_t message = toMessage(bytes);
    return at->second.send(message, zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t &) {
    return false;
  }
}

} // namespace endivedoor::peer::detail
