#include "endivedoor/server/OperatorServer.h"

#include "detail/Answers.h"
#include "detail/OperatorJson.h"

#include <boost/json.hpp>

namespace endivedoor::server {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Errc;
using detail::errorResponse;
using detail::jsonResponse;
using platform::HttpRequest;
using platform::HttpResponse;

constexpr std::string_view ZonesPath = "/v1/zones/";
constexpr std::string_view ReportPath = "/v1/report/";
constexpr std::string_view JobsPath = "/v1/jobs";

struct OperatorServer::Route {
  std::string_view Path;
  Response (OperatorServer::*Get)() const;
};

const std::vector<OperatorServer::Route> &OperatorServer::routes() {
  static const std::vector<Route> table{
      {"/v1/zones", &OperatorServer::zones},
      {"/v1/workers", &OperatorServer::workers},
      {"/v1/rules", &OperatorServer::rules},
      {"/v1/members", &OperatorServer::members},
      {"/v1/events", &OperatorServer::events},
      {"/healthz", &OperatorServer::health},
      {"/readyz", &OperatorServer::ready},
      {"/metrics", &OperatorServer::metrics},
  };
  return table;
}

static platform::HttpServerOptions
serverOptions(const model::Settings &config) {
  platform::HttpServerOptions options;
  options.Listen = config.Operators;
  options.Limits = {config.Limits.HeaderBytes, config.Limits.BodyBytes};
  options.MaxConnections = 256;
  options.Budget =
      std::make_shared<platform::ByteBudget>(config.Limits.CallerMemory);
  options.MakeErrorResponse = detail::protocolErrorResponse;
  return options;
}

OperatorServer::OperatorServer(asio::any_io_executor executor,
                               OperatorContext context)
    : Context(std::move(context)),
      Server(
          executor, serverOptions(Context.Config),
          [this](HttpRequest request) { return handle(std::move(request)); }) {}

asio::awaitable<HttpResponse> OperatorServer::handle(HttpRequest request) {
  std::string_view path = request.Path;
  path = path.substr(0, path.find('?'));
  if (path.starts_with(JobsPath))
    co_return co_await Context.Jobs.handle(std::move(request));
  if (path == "/v1/rules" && request.Method == "PUT")
    co_return co_await putRules(std::move(request));
  if (path.starts_with(ZonesPath))
    co_return co_await changeZone(std::move(request));
  bool isGet = request.Method == "GET" || request.Method == "HEAD";
  if (path.starts_with(ReportPath) && isGet)
    co_return co_await report(std::string(path.substr(ReportPath.size())));
  for (const Route &it : routes())
    if (it.Path == path)
      co_return isGet ? (this->*it.Get)()
                      : errorResponse({Errc::MethodUnknown, request.Method});
  co_return errorResponse({Errc::PathUnknown, request.Path});
}

static HttpResponse
changeResponse(const base::Result<control::ChangeOutcome> &outcome) {
  if (!outcome)
    return errorResponse(outcome.error());
  const control::ChangeOutcome &it = outcome.value();
  if (it.Accepted)
    return jsonResponse(200, detail::configurationToJson(it.Current));
  base::Error error{Errc::ChangeConflict,
                    "version " + std::to_string(it.Current.Version) + " by " +
                        it.Current.Author + " is the current configuration"};
  json::object body = detail::errorToJson(error);
  body["current"] = detail::configurationToJson(it.Current);
  HttpResponse response = jsonResponse(409, body);
  detail::setOutcome(response, detail::Outcome::NotRun);
  return response;
}

asio::awaitable<HttpResponse> OperatorServer::putRules(HttpRequest request) {
  std::size_t maxBytes = Context.Config.Limits.RulesBytes;
  base::Result<detail::RulesChange> change =
      detail::parseRulesChange(request.Body, maxBytes);
  if (!change)
    co_return errorResponse(change.error());
  detail::RulesChange &it = change.value();
  base::Result<control::ChangeOutcome> outcome =
      co_await Context.Control.putRules(std::move(it.Text), it.BaseVersion,
                                        std::move(it.Author));
  co_return changeResponse(outcome);
}

asio::awaitable<HttpResponse> OperatorServer::changeZone(HttpRequest request) {
  std::string_view rest =
      std::string_view(request.Path).substr(ZonesPath.size());
  std::size_t slash = rest.find('/');
  std::string_view action =
      slash == std::string_view::npos ? "" : rest.substr(slash + 1);
  if (action != "out" && action != "in")
    co_return errorResponse({Errc::PathUnknown, request.Path});
  if (request.Method != "POST")
    co_return errorResponse({Errc::MethodUnknown, request.Method});
  base::Result<detail::ZoneChange> change =
      detail::parseZoneChange(request.Body);
  if (!change)
    co_return errorResponse(change.error());
  base::ZoneId zone{std::string(rest.substr(0, slash))};
  Context.Events.emit(base::EventCode::ZoneChangeRequested,
                      {{"zone", zone.str()},
                       {"change", std::string(action)},
                       {"author", change.value().Author},
                       {"reason", change.value().Reason}});
  base::Result<control::ChangeOutcome> outcome =
      co_await Context.Control.setZoneOut(zone, action == "out",
                                          change.value().Author);
  co_return changeResponse(outcome);
}

asio::awaitable<HttpResponse> OperatorServer::report(std::string contract) {
  if (!Context.Report || contract.empty() ||
      contract.find('/') != std::string::npos)
    co_return errorResponse({Errc::PathUnknown, contract});
  base::Result<json::value> rows =
      co_await Context.Report(base::ContractName(contract));
  if (!rows)
    co_return errorResponse(rows.error());
  json::object body;
  body["contract"] = contract;
  body["rows"] = std::move(rows.value());
  co_return jsonResponse(200, body);
}

HttpResponse OperatorServer::zones() const {
  return jsonResponse(
      200, detail::zonesToJson(Context.Control.zones(),
                               Context.Control.configuration().Version));
}

HttpResponse OperatorServer::workers() const {
  return jsonResponse(200, detail::workersToJson(Context.Control.workers()));
}

HttpResponse OperatorServer::rules() const {
  return jsonResponse(
      200, detail::configurationToJson(Context.Control.configuration()));
}

HttpResponse OperatorServer::members() const {
  json::object body;
  body["self"] = Context.Config.Name;
  body["members"] = Context.Members ? Context.Members() : json::array();
  return jsonResponse(200, body);
}

HttpResponse OperatorServer::events() const {
  return jsonResponse(200, detail::eventsToJson(Context.Events.process(),
                                                Context.Events.snapshot()));
}

static HttpResponse textResponse(unsigned status, std::string text) {
  return {
      status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

HttpResponse OperatorServer::health() const {
  return textResponse(200, "ok\n");
}

HttpResponse OperatorServer::ready() const {
  std::string reason =
      Context.NotReadyReason ? Context.NotReadyReason() : std::string();
  return reason.empty() ? textResponse(200, "ready\n")
                        : textResponse(503, reason + "\n");
}

HttpResponse OperatorServer::metrics() const {
  HttpResponse response = textResponse(200, Context.ProcessMetrics.render());
  response.Headers = {
      {"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}};
  return response;
}

} // namespace endivedoor::server
