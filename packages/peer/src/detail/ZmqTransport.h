/// \file
/// ZeroMQ transport between daemons, driven by an Asio executor.
#ifndef ENDIVEDOOR_PEER_SRC_DETAIL_ZMQTRANSPORT_H
#define ENDIVEDOOR_PEER_SRC_DETAIL_ZMQTRANSPORT_H

#include "endivedoor/base/Error.h"
#include "endivedoor/model/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace endivedoor::peer::detail {

struct TransportOptions {
  model::Address Listen;
  std::vector<model::PeerSettings> Peers;
  /// Sent to each peer when a connection is opened.
  std::string RoutingId;
  std::size_t MaxMessageBytes = 0;
  /// A connection whose data is not acknowledged for this long is reopened.
  /// Without this limit, TCP could wait for minutes after a network partition
  /// between zones.
  std::chrono::milliseconds UnacknowledgedTimeout{3000};
};

/// Receives on one ROUTER socket and sends on one DEALER socket for each peer.
/// Not thread-safe: use it only on the thread of its executor.
class ZmqTransport : public std::enable_shared_from_this<ZmqTransport> {
public:
  using Handler =
      std::function<void(std::string_view routingId, std::string_view bytes)>;

  ZmqTransport(boost::asio::any_io_executor executor, TransportOptions options,
               Handler handler);
  ~ZmqTransport();

  /// Errors: PeerSocketFailed.
  base::Result<void> open();
  void close();

  /// Closes all connections to peers. Each is reopened with the new routing id
  /// when the next message to the peer is sent.
  void reconnect(std::string routingId);

  /// Queues a message without blocking. \returns false if the peer is not
  /// connected or its queue is full.
  bool send(const std::string &to,
            const std::shared_ptr<const std::string> &bytes);

  /// Receives pending messages, at most ReceiveBatch at a time, so that the
  /// thread can run other work in between.
  void receivePending();

private:
  zmq::socket_t openDealer(const model::Address &peer);
  bool receiveOne();
  void waitReadable();

  boost::asio::any_io_executor Executor;
  TransportOptions Options;
  Handler OnMessage;
  std::optional<zmq::context_t> Context;
  std::optional<zmq::socket_t> Router;
  std::map<std::string, zmq::socket_t> Dealers;
  std::optional<boost::asio::posix::stream_descriptor> RouterDescriptor;
  bool ReceivePosted = false;
};

} // namespace endivedoor::peer::detail

#endif
