/// \file
/// HTTP/1.1 server that handles each request in a coroutine.
#ifndef ENDIVEDOOR_PLATFORM_HTTPSERVER_H
#define ENDIVEDOOR_PLATFORM_HTTPSERVER_H

#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"
#include "endivedoor/platform/Http.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace endivedoor::platform {

struct HttpServerOptions {
  model::Address Listen;
  HttpLimits Limits;
  /// Further connections are closed immediately.
  std::size_t MaxConnections = 4096;
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
  /// response, or after DrainGrace if it is idle. The drain is complete when
  /// openConnections returns 0.
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
