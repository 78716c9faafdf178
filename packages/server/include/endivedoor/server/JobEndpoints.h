/// \file
/// The job resources, offered to callers and operators.
#ifndef ENDIVEDOOR_SERVER_JOBENDPOINTS_H
#define ENDIVEDOOR_SERVER_JOBENDPOINTS_H

#include "endivedoor/control/ControlApi.h"
#include "endivedoor/platform/HttpClient.h"

#include <boost/json/value.hpp>

#include <chrono>

namespace endivedoor::server {

/// Answers POST /v1/jobs, GET /v1/jobs, GET and DELETE /v1/jobs/<id>. A call
/// that only the shard owner can answer is forwarded once to its operator
/// address.
///
/// Belongs to the control thread.
class JobEndpoints {
public:
  /// \param client sends forwarded calls; belongs to the control thread.
  /// \param timeout of a forwarded call.
  JobEndpoints(control::ControlApi &control, platform::HttpClient &client,
               const base::Clock &clock, std::chrono::milliseconds timeout);

  /// Returns the answer to a call whose path begins with /v1/jobs.
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

/// Reads the body of POST /v1/jobs. All times are in milliseconds; "deadlineMs"
/// counts from \p now, so that the caller's clock does not matter.
///
/// Errors: RequestMalformed (not JSON, an unknown or missing field, a wrong
/// type, a value out of range).
base::Result<model::JobSpec> parseJob(const std::string &text,
                                      base::WallTime now);

/// Writes a job as JSON: its state, the number of tasks in each state, and the
/// latest attempt of each task.
boost::json::value jobToJson(const control::JobStatus &job);

/// Reads "ip:port". Errors: InvalidArgument.
base::Result<model::Address> parseAddress(const std::string &text);

} // namespace endivedoor::server

#endif
