/// \file
/// HTTP to operators: state, changes, health and metrics.
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

/// What the operator API reads and changes. All must outlive the server;
/// functions are called on the control thread.
struct OperatorContext {
  const model::Settings &Config;
  control::ControlApi &Control;
  JobEndpoints &Jobs;
  Metrics &ProcessMetrics;
  base::EventLog &Events;
  /// Returns why the daemon is not ready to serve callers; empty if it is.
  std::function<std::string()> NotReadyReason;
  /// Returns the array of GET /v1/members; an empty one if null.
  std::function<boost::json::value()> Members;
  /// Returns the rows of a contract's report; no report if null.
  std::function<platform::Async<boost::json::value>(base::ContractName)> Report;
};

/// Answers the operator endpoints of docs/design.md, section 5, as JSON.
///
/// A change that another operator's change precedes is answered by 409 with the
/// configuration in force. Belongs to the control thread.
class OperatorServer {
public:
  OperatorServer(boost::asio::any_io_executor executor,
                 OperatorContext context);

  /// Binds and begins to accept. Errors: IoFailed.
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
