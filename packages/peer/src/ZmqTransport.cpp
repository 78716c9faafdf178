#include "detail/ZmqTransport.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace endivedoor::peer::detail {

namespace {

/// Maximum number of messages queued for a slow peer; further ones are dropped.
/// A lost heartbeat is replaced by the next one half a second later.
constexpr int SendHighWaterMark = 16;
/// Maximum number of received messages queued per connection.
constexpr int ReceiveHighWaterMark = 64;
/// Maximum number of messages handled before the thread runs other work.
constexpr int ReceiveBatch = 256;
constexpr int LingerMs = 100;
constexpr int ConnectTimeoutMs = 1000;
constexpr int ReconnectIntervalMs = 100;
constexpr int MaxReconnectIntervalMs = 500;
constexpr int HandshakeTimeoutMs = 2000;
/// Smaller messages are copied into the ZeroMQ message, larger ones are shared.
constexpr std::size_t MinZeroCopyBytes = 1024;

zmq::message_t toMessage(const std::shared_ptr<const std::string> &bytes) {
  if (bytes->size() < MinZeroCopyBytes)
    return zmq::message_t(bytes->data(), bytes->size());
  // ZeroMQ takes a non-const pointer but does not modify messages it sends.
  auto *owner = new std::shared_ptr<const std::string>(bytes);
  auto release = [](void *, void *hint) {
    delete static_cast<std::shared_ptr<const std::string> *>(hint);
  };
  return zmq::message_t(const_cast<char *>(bytes->data()), bytes->size(),
                        release, owner);
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
  // Queue messages only for connected peers.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::sndhwm, SendHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, 1);
  socket.set(zmq::sockopt::linger, LingerMs);
  socket.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
  socket.set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, ReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, MaxReconnectIntervalMs);
  socket.set(zmq::sockopt::tcp_maxrt,
             static_cast<int>(Options.UnacknowledgedTimeout.count()));
  socket.connect("tcp://" + peer.str());
  return socket;
}

base::Result<void> ZmqTransport::open() {
  try {
    Context.emplace(1);
    Router.emplace(*Context, zmq::socket_type::router);
    // Let a peer that reconnects after a network failure replace its half-open
    // connection.
    Router->set(zmq::sockopt::router_handover, true);
    Router->set(zmq::sockopt::rcvhwm, ReceiveHighWaterMark);
    Router->set(zmq::sockopt::maxmsgsize,
                static_cast<std::int64_t>(Options.MaxMessageBytes));
    Router->set(zmq::sockopt::handshake_ivl, HandshakeTimeoutMs);
    Router->set(zmq::sockopt::linger, 0);
    Router->set(zmq::sockopt::tcp_keepalive, 1);
    Router->set(zmq::sockopt::tcp_keepalive_idle, 5);
    Router->set(zmq::sockopt::tcp_keepalive_intvl, 1);
    Router->set(zmq::sockopt::tcp_keepalive_cnt, 3);
    Router->bind("tcp://" + Options.Listen.str());
    for (const model::PeerSettings &it : Options.Peers)
      Dealers.emplace(it.Name, openDealer(it.Peer));
    RouterDescriptor.emplace(Executor, Router->get(zmq::sockopt::fd));
  } catch (const zmq::error_t &e) {
    close();
    return base::fail(base::Errc::PeerSocketFailed,
                      Options.Listen.str() + ": " + e.what());
  } catch (const boost::system::system_error &e) {
    close();
    return base::fail(base::Errc::PeerSocketFailed,
                      Options.Listen.str() + ": " + e.what());
  }
  receivePending();
  waitReadable();
  return base::success();
}

void ZmqTransport::close() {
  // ZeroMQ owns the descriptor and closes it with the socket.
  if (RouterDescriptor)
    RouterDescriptor->release();
  RouterDescriptor.reset();
  Dealers.clear();
  Router.reset();
  Context.reset();
}

void ZmqTransport::reconnect(std::string routingId) {
  Options.RoutingId = std::move(routingId);
  Dealers.clear();
}

void ZmqTransport::waitReadable() {
  if (!RouterDescriptor)
    return;
  RouterDescriptor->async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [self = weak_from_this()](boost::system::error_code ec) {
        auto it = self.lock();
        if (!it || ec || !it->RouterDescriptor)
          return;
        it->receivePending();
        it->waitReadable();
      });
}

void ZmqTransport::receivePending() {
  // The descriptor is edge-triggered, so all pending messages must be received
  // before the next wait.
  for (int i = 0; i < ReceiveBatch; ++i)
    if (!Router || !receiveOne())
      return;
  if (ReceivePosted)
    return;
  ReceivePosted = true;
  boost::asio::post(Executor, [self = weak_from_this()] {
    if (auto it = self.lock()) {
      it->ReceivePosted = false;
      it->receivePending();
    }
  });
}

bool ZmqTransport::receiveOne() {
  try {
    zmq::message_t id, body;
    if (!Router->recv(id, zmq::recv_flags::dontwait))
      return false;
    bool complete = id.more() && Router->recv(body, zmq::recv_flags::dontwait);
    bool hasExtraParts = complete && body.more();
    while (body.more())
      if (!Router->recv(body, zmq::recv_flags::dontwait))
        break;
    // Messages with missing or extra parts violate the protocol. They are
    // passed on with an empty body, which the handler rejects as malformed.
    OnMessage(id.to_string_view(), complete && !hasExtraParts
                                       ? body.to_string_view()
                                       : std::string_view());
    return true;
  } catch (const zmq::error_t &) {
    return false;
  }
}

bool ZmqTransport::send(const std::string &to,
                        const std::shared_ptr<const std::string> &bytes) {
  try {
    auto dealer = Dealers.find(to);
    if (dealer == Dealers.end()) {
      auto peer = std::find_if(Options.Peers.begin(), Options.Peers.end(),
                               [&](const auto &it) { return it.Name == to; });
      if (!Context || peer == Options.Peers.end())
        return false;
      dealer = Dealers.emplace(to, openDealer(peer->Peer)).first;
    }
    zmq::message_t message = toMessage(bytes);
    return dealer->second.send(message, zmq::send_flags::dontwait).has_value();
  } catch (const zmq::error_t &) {
    return false;
  }
}

} // namespace endivedoor::peer::detail
