#include "endivedoor/server/JobEndpoints.h"

#include "detail/Answers.h"

#include <boost/json.hpp>

namespace endivedoor::server {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Errc;
using detail::errorResponse;
using detail::jsonResponse;
using detail::Outcome;
using platform::HttpRequest;
using platform::HttpResponse;

constexpr std::string_view JobsPath = "/v1/jobs";
/// Marks a forwarded call, which is never forwarded again; this prevents
/// forwarding loops.
constexpr const char *ForwardedHeader = "Endivedoor-Forwarded";

JobEndpoints::JobEndpoints(control::ControlApi &control,
                           platform::HttpClient &client,
                           const base::Clock &clock,
                           std::chrono::milliseconds timeout)
    : Control(control), Client(client), Clock(clock), Timeout(timeout) {}

static HttpResponse answeredResponse(unsigned status, const json::value &body) {
  HttpResponse response = jsonResponse(status, body);
  detail::setOutcome(response, Outcome::Answered);
  return response;
}

static base::Result<json::value>
jobsToJson(const base::Result<std::vector<control::JobStatus>> &jobs) {
  if (!jobs)
    return jobs.as_failure();
  json::array list;
  for (const control::JobStatus &it : jobs.value())
    list.push_back(jobToJson(it));
  return json::value{{"jobs", std::move(list)}};
}

asio::awaitable<HttpResponse> JobEndpoints::handle(HttpRequest request) {
  std::string_view rest =
      std::string_view(request.Path)
          .substr(std::min(JobsPath.size(), request.Path.size()));
  const std::string &method = request.Method;
  if (rest.empty() && method == "POST")
    co_return co_await submit(std::move(request));
  if (rest.empty() && method == "GET")
    co_return co_await answerOrForward(std::move(request),
                                       jobsToJson(Control.jobs()));
  if (rest.empty())
    co_return errorResponse({Errc::MethodUnknown, method});
  if (rest[0] != '/' || rest.size() == 1 ||
      rest.find_first_of("/?#", 1) != std::string_view::npos)
    co_return errorResponse({Errc::PathUnknown, request.Path});
  base::JobId id{std::string(rest.substr(1))};
  if (method == "DELETE")
    co_return co_await cancel(std::move(request), std::move(id));
  if (method != "GET")
    co_return errorResponse({Errc::MethodUnknown, method});
  base::Result<control::JobStatus> job = Control.job(id);
  base::Result<json::value> result =
      job ? base::Result<json::value>(jobToJson(job.value()))
          : base::Result<json::value>(job.as_failure());
  co_return co_await answerOrForward(std::move(request), std::move(result));
}

asio::awaitable<HttpResponse> JobEndpoints::submit(HttpRequest request) {
  base::Result<model::JobSpec> job = parseJob(request.Body, Clock.wallNow());
  if (!job)
    co_return errorResponse(job.error());
  base::Result<base::JobId> id = co_await Control.admit(std::move(job.value()));
  if (!id)
    co_return errorResponse(id.error());
  co_return answeredResponse(201, {{"job", id.value().str()}});
}

asio::awaitable<HttpResponse> JobEndpoints::cancel(HttpRequest request,
                                                   base::JobId id) {
  base::Result<void> done = co_await Control.cancel(id);
  base::Result<json::value> result =
      done ? base::Result<json::value>(json::value{{"job", id.str()}})
           : base::Result<json::value>(done.as_failure());
  co_return co_await answerOrForward(std::move(request), std::move(result));
}

asio::awaitable<HttpResponse>
JobEndpoints::answerOrForward(HttpRequest request,
                              base::Result<json::value> result) {
  if (result)
    co_return answeredResponse(200, result.value());
  if (result.error().Code != Errc::NotOwner)
    co_return errorResponse(result.error());
  if (!platform::findHeader(request.Headers, ForwardedHeader).empty())
    co_return errorResponse({Errc::ForwardLoop, result.error().Detail});
  co_return co_await forward(std::move(request), result.error().Detail);
}

asio::awaitable<HttpResponse> JobEndpoints::forward(HttpRequest request,
                                                    std::string owner) {
  base::Result<model::Address> address = parseAddress(owner);
  if (!address)
    co_return errorResponse({Errc::NotOwner, "owner address is unknown"});
  HttpRequest call;
  call.Method = std::move(request.Method);
  call.Path = std::move(request.Path);
  call.Body = std::move(request.Body);
  call.Headers = {{ForwardedHeader, "1"}};
  base::Result<HttpResponse> answer =
      co_await Client.send(address.value(), std::move(call), Timeout);
  if (!answer)
    co_return errorResponse(answer.error());
  co_return std::move(answer.value());
}

} // namespace endivedoor::server
