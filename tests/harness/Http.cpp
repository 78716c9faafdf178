#include "harness/Http.h"

#include "endivedoor/base/Clock.h"
#include "endivedoor/platform/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

namespace endivedoor::harness {

namespace asio = boost::asio;

static asio::awaitable<void>
sendOnce(platform::HttpClient &client, model::Address to,
         platform::HttpRequest request, std::chrono::milliseconds timeout,
         base::Result<platform::HttpResponse> &result) {
  result = co_await client.send(to, std::move(request), timeout);
}

base::Result<platform::HttpResponse> call(const model::Address &to,
                                          platform::HttpRequest request,
                                          std::chrono::milliseconds timeout) {
  static const base::SystemClock clock;
  asio::io_context io(1);
  base::Result<platform::HttpResponse> result =
      base::fail(base::Errc::Cancelled, "not run");
  platform::HttpClient client(io.get_executor(), clock,
                              platform::HttpLimits{16384, 64u << 20});
  asio::co_spawn(io, sendOnce(client, to, std::move(request), timeout, result),
                 asio::detached);
  io.run();
  return result;
}

boost::json::value callJson(const model::Address &to, const std::string &path,
                            const std::string &body) {
  platform::HttpRequest request;
  request.Path = path;
  if (!body.empty()) {
    request.Method = "POST";
    request.Body = body;
    request.Headers = {{"Content-Type", "application/json"}};
  }
  base::Result<platform::HttpResponse> answer = call(to, std::move(request));
  if (!answer || answer.value().Status / 100 != 2)
    return nullptr;
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(answer.value().Body, ec);
  return ec ? boost::json::value(nullptr) : value;
}

} // namespace endivedoor::harness
