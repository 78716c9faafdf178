/// \file
/// HTTP/1.1 server that runs a coroutine for each request.
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
  /// Connections beyond this number are closed at once.
  std::size_t MaxConnections = 4096;
  /// A connection without a request for this long is closed. Longer than
  /// HttpClient's idle time, so that a client never reuses a connection that
  /// the server is about to close.
  std::chrono::milliseconds IdleTimeout = std::chrono::seconds(60);
  /// While draining, a connection without a request is read for this long.
  /// Callers that reuse connections within it lose no request.
  std::chrono::milliseconds DrainGrace = std::chrono::seconds(1);
  /// Builds the answer to a request that is malformed or larger than the
  /// limits; a plain one if null.
  std::function<HttpResponse(unsigned status, const std::string &reason)>
      MakeErrorResponse;
  /// Lets several servers on different threads share the listening address.
  bool ReusePort = false;
};

/// Accepts connections and answers one request at a time on each.
///
/// Belongs to the thread of its executor.
class HttpServer {
public:
  /// Answers one request. A response with status 0 closes the connection
  /// without an answer.
  using Handler =
      std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options,
             Handler handler);
  ~HttpServer();

  /// Binds and begins to accept.
  ///
  /// Errors: IoFailed (the address cannot be bound).
  base::Result<void> start();

  /// Closes each connection after its next answer, and goes on accepting. Lets
  /// callers find another server before beginDrain.
  void disableKeepAlive();

  /// Stops accepting. Each open connection gets one more answer, which closes
  /// it; an idle one is closed after DrainGrace. The drain is over when
  /// openConnections returns 0.
  void beginDrain();

  /// Returns the number of requests in progress.
  std::size_t activeRequests() const;

  /// Returns the number of open connections.
  std::size_t openConnections() const;

  /// Returns the port in use, for servers that listen on port 0.
  std::uint16_t port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace endivedoor::platform

#endif
