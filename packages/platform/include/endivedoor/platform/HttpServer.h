/// \file
/// HTTP/1.1 server that handles each request in a coroutine.
#ifndef ENDIVEDOOR_PLATFORM_HTTPSERVER_H
#define ENDIVEDOOR_PLATFORM_HTTPSERVER_H

#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"
#include "endivedoor/platform/ByteBudget.h"
#include "endivedoor/platform/Http.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace endivedoor::platform {

/// A limit on what a client makes the server hold.
enum class HttpLimit {
  /// Maximum number of connections.
  Connections,
  /// Byte budget.
  Memory,
  /// Size or number of header fields.
  Header,
  HeaderTime,
  /// Chunk lines, extensions and trailers of a body.
  Framing,
  Body,
  BodyTime,
  ResponseTime
};

struct HttpServerOptions {
  model::Address Listen;
  HttpLimits Limits;
  /// If there are more, those that have not sent a complete request are closed
  /// first, then idle ones, both in the order in which they began to wait, then
  /// those whose client takes nothing of a response.
  std::size_t MaxConnections = 4096;
  /// Limits the memory that connections, requests and responses use; may be
  /// shared by servers. No limit if null.
  std::shared_ptr<ByteBudget> Budget;
  /// Maximum time from the first byte of a request to the end of its header.
  std::chrono::milliseconds HeaderTimeout = std::chrono::seconds(10);
  /// A body has to bring 16 KiB, or its end, within this time.
  std::chrono::milliseconds BodyTimeout = std::chrono::seconds(10);
  /// Maximum time for sending a response, plus one second for each 16 KiB.
  /// Also the maximum time in which the client takes nothing of it.
  std::chrono::milliseconds ResponseTimeout = std::chrono::seconds(10);
  /// Called when a request is refused or a connection closed because of a
  /// limit. May be null.
  std::function<void(HttpLimit)> OnLimit;
  /// A connection that is idle for this long is closed. Longer than the idle
  /// timeout of HttpClient, so that a client never reuses a connection that
  /// the server is about to close.
  std::chrono::milliseconds IdleTimeout = std::chrono::seconds(60);
  /// While draining, an idle connection is kept open for this long, so that a
  /// client that reuses it within this time loses no request.
  std::chrono::milliseconds DrainGrace = std::chrono::seconds(1);
  /// Builds the response to a request that is malformed or exceeds the limits.
  /// If null, a default JSON body is sent.
  std::function<HttpResponse(unsigned status, const std::string &reason)>
      MakeErrorResponse;
  /// Sets SO_REUSEPORT, so that servers on several threads can listen on the
  /// same address.
  bool ReusePort = false;
};

/// Accepts connections and handles one request at a time on each.
///
/// Not thread-safe: use it only on the thread of its executor.
class HttpServer {
public:
  /// Handles one request. A response with status 0 closes the connection
  /// without sending anything.
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options,
             Handler handler);
  ~HttpServer();

  /// Binds the address and starts to accept connections.
  ///
  /// Errors: IoFailed (the address cannot be bound).
  base::Result<void> start();

  /// Closes each connection after its next response, but continues to accept
  /// new ones. Gives clients time to switch to another server before
  /// beginDrain.
  void disableKeepAlive();

  /// Stops accepting connections. Each open connection is closed after its next
  /// response, or after DrainGrace if it is idle. A request that is not
  /// complete after DrainGrace and HeaderTimeout together is given up. The
  /// drain is complete when openConnections returns 0.
  void beginDrain();

  /// Returns the number of requests in progress.
  std::size_t activeRequests() const;

  /// Returns the number of open connections.
  std::size_t openConnections() const;

  /// Returns the bound port, for servers that listen on port 0.
  std::uint16_t port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::platform

#endif
