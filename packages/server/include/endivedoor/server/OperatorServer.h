/// \file
/// HTTP server for operators: state, configuration changes, health and metrics.
#ifndef ENDIVEDOOR_SERVER_OPERATORSERVER_H
#define ENDIVEDOOR_SERVER_OPERATORSERVER_H

#include "endivedoor/base/Event.h"
#include "endivedoor/control/ControlApi.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/platform/HttpServer.h"
#include "endivedoor/server/JobEndpoints.h"
#include "endivedoor/server/Metrics.h"

#include <functional>

namespace endivedoor::server {

/// Objects that the operator API reads and changes. All of them must outlive
/// the server; the functions are called on the control thread.
struct OperatorContext {
  const model::Settings &Config;
  control::ControlApi &Control;
  JobEndpoints &Jobs;
  Metrics &ProcessMetrics;
  base::EventLog &Events;
  /// Returns the reason why the daemon is not ready to serve callers; empty if
  /// it is ready.
  std::function<std::string()> NotReadyReason;
  /// Returns the array for GET /v1/members; if unset, the array is empty.
  std::function<boost::json::value()> Members;
  /// Returns the rows of the report of a contract; if unset, there are no
  /// reports.
  std::function<platform::Async<boost::json::value>(base::ContractName)> Report;
};

/// Handles the operator endpoints of docs/design.md, section 5, with JSON
/// bodies except for health, readiness and metrics.
///
/// A change that conflicts with an earlier change of another operator is
/// answered with status 409 and the current configuration. Not thread-safe: use
/// it only on the control thread.
class OperatorServer {
public:
  OperatorServer(boost::asio::any_io_executor executor,
                 OperatorContext context);

  /// Binds the address and starts accepting connections. Errors: IoFailed.
  base::Result<void> start() { return Server.start(); }
  void beginDrain() { Server.beginDrain(); }
  std::size_t activeRequests() const { return Server.activeRequests(); }
  std::uint16_t port() const { return Server.port(); }

private:
  using Response = platform::HttpResponse;
  struct Route;
  static const std::vector<Route> &routes();

  boost::asio::awaitable<Response> handle(platform::HttpRequest request);
  boost::asio::awaitable<Response> putRules(platform::HttpRequest request);
  boost::asio::awaitable<Response> changeZone(platform::HttpRequest request);
  boost::asio::awaitable<Response> report(std::string contract);
  Response zones() const;
  Response workers() const;
  Response rules() const;
  Response members() const;
  Response events() const;
  Response health() const;
  Response ready() const;
  Response metrics() const;

  OperatorContext Context;
  platform::HttpServer Server;
};

} // namespace endivedoor::server

#endif
