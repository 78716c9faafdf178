/// \file
/// HTTP/1.1 client with a pool of connections for each address.
#ifndef ENDIVEDOOR_PLATFORM_HTTPCLIENT_H
#define ENDIVEDOOR_PLATFORM_HTTPCLIENT_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"
#include "endivedoor/platform/Http.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace endivedoor::platform {

/// Sends one request at a time on each connection and keeps idle connections
/// for reuse.
///
/// Belongs to the thread of its executor. Must outlive the calls in progress.
class HttpClient {
public:
  /// \param executor runs all operations.
  /// \param clock tells how long a connection has been idle.
  /// \param limits largest response; a larger one is an error.
  /// \param idleTimeout idle connections older than this are closed, not
  /// reused.
  HttpClient(boost::asio::any_io_executor executor, const base::Clock &clock,
             HttpLimits limits,
             std::chrono::milliseconds idleTimeout = std::chrono::seconds(5));
  ~HttpClient();

  /// Sends \p request and returns the whole response.
  ///
  /// \param to address of the server.
  /// \param timeout for connecting, sending and receiving together.
  /// \returns a response that is complete by its own framing.
  /// Errors: HttpNotSent (no byte of the request left this process),
  /// HttpAnswerLost (anything later: timeout, early end, malformed or oversized
  /// response). Cost: one connection for the time of the exchange.
  Async<HttpResponse> send(model::Address to, HttpRequest request,
                           std::chrono::milliseconds timeout);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace endivedoor::platform

#endif
