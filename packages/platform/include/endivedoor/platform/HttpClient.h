/// \file
/// HTTP/1.1 client with a connection pool for each address.
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
  /// Maximum size of a response; a larger one is an error.
  HttpLimits Limits;
  /// Connections that have been idle for longer are closed, not reused.
  std::chrono::milliseconds IdleTimeout = std::chrono::seconds(5);
  /// Maximum time for connecting, within the timeout of the call, so that a
  /// failed connection attempt leaves time to try another address.
  std::chrono::milliseconds ConnectTimeout = std::chrono::hours(1);
  /// Limits the number of connections; no limit if null. Must outlive the
  /// client.
  ConnectionLimiter *Limiter = nullptr;
};

/// Sends one request at a time on each connection and keeps idle connections
/// for reuse.
///
/// Not thread-safe: use it only on the thread of its executor. Must outlive all
/// calls in progress.
class HttpClient {
public:
  /// \param executor runs all operations.
  /// \param clock measures how long a connection has been idle.
  /// \param limits maximum size of a response; a larger one is an error.
  /// \param idleTimeout connections that have been idle for longer are closed,
  /// not reused.
  HttpClient(boost::asio::any_io_executor executor, const base::Clock &clock,
             HttpLimits limits,
             std::chrono::milliseconds idleTimeout = std::chrono::seconds(5));
  HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options,
             const base::Clock &clock);
  ~HttpClient();

  /// Returns whether a response matches its request.
  using ResponseValidator = std::function<bool(const HttpResponse &)>;

  /// Sends \p request and returns the complete response.
  ///
  /// \param to address of the server.
  /// \param timeout for connecting, sending and receiving together.
  /// \param validate checks the response; if it returns false, the response is
  /// reported as lost and the connection is closed. Null accepts every
  /// response.
  /// \param sendBefore nothing is sent from then on, by the client's clock.
  /// \returns a response whose end is known from its headers, not from the end
  /// of the connection.
  /// Errors: HttpNotSent (no byte of the request was sent), HttpNoConnection
  /// (the same, because the limiter allows no further connection),
  /// HttpAnswerLost (any later failure: a timeout, a closed connection, or a
  /// malformed, oversized or rejected response). Cost: one connection for the
  /// duration of the exchange.
  Async<HttpResponse> send(model::Address to, HttpRequest request,
                           std::chrono::milliseconds timeout,
                           ResponseValidator validate = nullptr,
                           base::TimePoint sendBefore = base::TimePoint::max());

  /// Sends \p request on an idle connection and never opens one. The server of
  /// a connection cannot have been replaced since the connection was opened.
  ///
  /// \param openedBefore connections opened later are not used.
  /// Errors: those of send(); HttpNoConnection if there is no such connection.
  Async<HttpResponse> sendOnIdle(model::Address to, HttpRequest request,
                                 base::TimePoint openedBefore,
                                 std::chrono::milliseconds timeout);

  /// Returns the number of idle connections to \p to.
  std::size_t idleConnections(const model::Address &to) const;
  /// Closes one idle connection to \p to, if there is one.
  void closeIdle(const model::Address &to);
  /// Closes the connections that have been idle for the idle timeout or longer.
  void closeExpired();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace endivedoor::platform

#endif
