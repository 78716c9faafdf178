/// \file
/// HTTP endpoints of jobs, for callers and operators.
#ifndef ENDIVEDOOR_SERVER_JOBENDPOINTS_H
#define ENDIVEDOOR_SERVER_JOBENDPOINTS_H

#include "endivedoor/control/ControlApi.h"
#include "endivedoor/platform/HttpClient.h"

#include <boost/json/value.hpp>

#include <chrono>

namespace endivedoor::server {

/// Handles POST /v1/jobs, GET /v1/jobs, and GET and DELETE /v1/jobs/<id>. A
/// call that only the shard owner can answer is forwarded once, to the operator
/// address of the owner.
///
/// Not thread-safe: use it only on the control thread.
class JobEndpoints {
public:
  /// \param client sends forwarded calls; used only on the control thread.
  /// \param timeout timeout of a forwarded call.
  JobEndpoints(control::ControlApi &control, platform::HttpClient &client,
               const base::Clock &clock, std::chrono::milliseconds timeout);

  /// Handles a call whose path begins with /v1/jobs and returns the response.
  boost::asio::awaitable<platform::HttpResponse>
  handle(platform::HttpRequest request);

private:
  boost::asio::awaitable<platform::HttpResponse>
  submit(platform::HttpRequest request);
  boost::asio::awaitable<platform::HttpResponse>
  cancel(platform::HttpRequest request, base::JobId id);
  boost::asio::awaitable<platform::HttpResponse>
  answerOrForward(platform::HttpRequest request,
                  base::Result<boost::json::value> result);
  boost::asio::awaitable<platform::HttpResponse>
  forward(platform::HttpRequest request, std::string owner);

  control::ControlApi &Control;
  platform::HttpClient &Client;
  const base::Clock &Clock;
  std::chrono::milliseconds Timeout;
};

/// Parses the body of POST /v1/jobs. All times are in milliseconds;
/// "deadlineMs" is relative to \p now, so that the result does not depend on
/// the caller's clock.
///
/// Errors: RequestMalformed (not a JSON object, an unknown or missing field, a
/// wrong type, or a value out of range).
base::Result<model::JobSpec> parseJob(const std::string &text,
                                      base::WallTime now);

/// Converts a job to JSON: its state, the number of tasks in each state, and
/// the latest attempt of each task.
boost::json::value jobToJson(const control::JobStatus &job);

/// Parses an address of the form "ip:port". Errors: InvalidArgument.
base::Result<model::Address> parseAddress(const std::string &text);

} // namespace endivedoor::server

#endif
