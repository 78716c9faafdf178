/// \file
/// HTTP/1.1 client with a pool of connections for each address.
#ifndef ENDIVEDOOR_PLATFORM_HTTPCLIENT_H
#define ENDIVEDOOR_PLATFORM_HTTPCLIENT_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Async.h"
#include "endivedoor/platform/ConnectionLimiter.h"
#include "endivedoor/platform/Http.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace endivedoor::platform {

struct HttpClientOptions {
  /// Largest response; a larger one is an error.
  HttpLimits Limits;
  /// Idle connections older than this are closed, not reused.
  std::chrono::milliseconds IdleTimeout = std::chrono::seconds(5);
  /// Part of the timeout of a call that connecting may take, so that a
  /// connection that cannot be opened leaves time for another address.
  std::chrono::milliseconds ConnectTimeout = std::chrono::hours(1);
  /// Limits the connections; none if null. Must outlive the client.
  ConnectionLimiter *Limiter = nullptr;
};

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
  HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options,
             const base::Clock &clock);
  ~HttpClient();

  /// Decides whether a response belongs to its request.
  using ResponseValidator = std::function<bool(const HttpResponse &)>;

  /// Sends \p request and returns the whole response.
  ///
  /// \param to address of the server.
  /// \param timeout for connecting, sending and receiving together.
  /// \param accept a response that it refuses counts as lost, and its
  /// connection is closed; none accepts every response.
  /// \returns a response that is complete by its own framing.
  /// Errors: HttpNotSent (no byte of the request left this process),
  /// HttpNoConnection (the same, because the gate allows no connection),
  /// HttpAnswerLost (anything later: timeout, early end, malformed, oversized
  /// or refused response). Cost: one connection for the time of the exchange.
  Async<HttpResponse> send(model::Address to, HttpRequest request,
                           std::chrono::milliseconds timeout,
                           ResponseValidator validate = nullptr);

  /// Returns the number of idle connections to \p to.
  std::size_t idleConnections(const model::Address &to) const;
  /// Closes one idle connection to \p to, if there is one.
  void closeIdle(const model::Address &to);
  /// Closes the connections that have been idle too long.
  void closeExpired();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace endivedoor::platform

#endif
