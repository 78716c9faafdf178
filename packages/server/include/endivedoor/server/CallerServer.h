/// \file
/// HTTP server for callers, one instance per traffic thread.
#ifndef ENDIVEDOOR_SERVER_CALLERSERVER_H
#define ENDIVEDOOR_SERVER_CALLERSERVER_H

#include "endivedoor/model/Settings.h"
#include "endivedoor/platform/HttpClient.h"
#include "endivedoor/platform/HttpServer.h"
#include "endivedoor/server/Balancer.h"
#include "endivedoor/server/Bookings.h"
#include "endivedoor/server/JobEndpoints.h"
#include "endivedoor/server/Metrics.h"
#include "endivedoor/server/RetryBudget.h"

#include <boost/asio/steady_timer.hpp>

namespace endivedoor::server {

/// State shared by the traffic threads. All referenced objects must outlive the
/// servers.
struct TrafficContext {
  const model::Settings &Config;
  const base::Clock &Clock;
  const RouteTableHolder &Routes;
  ConnectionShare &Share;
  RetryBudget &Retries;
  Metrics &ProcessMetrics;
  /// Executor of the control thread, which runs Booking and Jobs.
  boost::asio::any_io_executor ControlExecutor;
  Bookings &Booking;
  JobEndpoints &Jobs;
};

/// Forwards requests of any method to /s/<service>/... to a target of the
/// service, and serves /v1/jobs.
///
/// Every answer carries Endivedoor-Outcome (answered, not-run or unknown);
/// answers to well-formed service requests also carry the request's
/// X-Request-Id. Not thread-safe unless noted: use it only on the thread of its
/// executor, and create it before that thread runs.
class CallerServer {
public:
  /// \param listen address to listen on; port 0 selects any free port.
  /// \param seed seed of the random target selection and of generated request
  /// ids.
  CallerServer(boost::asio::any_io_executor executor, TrafficContext context,
               model::Address listen, std::uint64_t seed);

  /// Binds the address and starts accepting connections. Errors: IoFailed.
  base::Result<void> start();
  /// Closes each connection after its next answer.
  void endKeepAlive() { Server.disableKeepAlive(); }
  /// Stops accepting connections. Requests in progress, and those already sent
  /// on open connections, are still answered.
  void beginDrain() { Server.beginDrain(); }
  /// Returns the number of requests in progress.
  std::size_t activeRequests() const { return Server.activeRequests(); }
  /// Returns the number of open connections of callers.
  std::size_t openConnections() const { return Server.openConnections(); }
  std::uint16_t port() const { return Server.port(); }
  /// Wakes queued requests after a new route table was published. Thread-safe.
  void routesChanged();

private:
  struct Call;
  struct Exchange;
  enum class RetryPolicy { WhenNotRun, WhenNotSent };

  boost::asio::awaitable<platform::HttpResponse>
  handle(platform::HttpRequest request);
  boost::asio::awaitable<platform::HttpResponse>
  route(platform::HttpRequest &request);
  boost::asio::awaitable<platform::HttpResponse>
  handleServiceRequest(platform::HttpRequest &request);
  base::Result<Call> parseCall(platform::HttpRequest &request);
  boost::asio::awaitable<platform::HttpResponse> runBooking(Call &call);
  boost::asio::awaitable<void> completeBooking(BookingClaim claim,
                                               const Exchange &exchange);
  boost::asio::awaitable<Exchange> sendWithRetries(Call &call,
                                                   RetryPolicy retryPolicy);
  boost::asio::awaitable<Exchange> sendOnce(Call &call, TargetPermit &permit);
  std::string newRequestId();
  boost::asio::awaitable<void> closeExpiredConnections();

  boost::asio::any_io_executor Executor;
  TrafficContext Context;
  ThreadConnections Connections;
  platform::HttpClient Client;
  Balancer LoadBalancer;
  MetricsShard &ThreadMetrics;
  std::mt19937_64 Random;
  boost::asio::steady_timer ExpiryTimer;
  platform::HttpServer Server;
};

} // namespace endivedoor::server

#endif
