#include "endivedoor/platform/HttpClient.h"

#include "detail/BeastMessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <map>
#include <sys/socket.h>
#include <vector>

namespace endivedoor::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using base::Errc;
using base::fail;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Returns whether the server has neither closed the connection nor sent
/// unexpected bytes.
static bool isQuiet(beast::tcp_stream &stream) {
  char byte;
  ssize_t n = ::recv(stream.socket().native_handle(), &byte, 1,
                     MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct HttpClient::Impl {
  struct Idle {
    std::unique_ptr<beast::tcp_stream> Stream;
    base::TimePoint Since;
  };

  asio::any_io_executor Executor;
  const base::Clock &Time;
  HttpLimits Limits;
  std::chrono::milliseconds IdleTimeout;
  std::map<model::Address, std::vector<Idle>> Pool;

  std::unique_ptr<beast::tcp_stream> takeIdle(const model::Address &to) {
    auto it = Pool.find(to);
    if (it == Pool.end())
      return nullptr;
    std::vector<Idle> &idle = it->second;
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (Time.now() - last.Since < IdleTimeout && isQuiet(*last.Stream))
        return std::move(last.Stream);
    }
    return nullptr;
  }

  /// Closes the connections that have been idle too long; the oldest come
  /// first.
  void putIdle(const model::Address &to,
               std::unique_ptr<beast::tcp_stream> stream) {
    std::vector<Idle> &idle = Pool[to];
    base::TimePoint now = Time.now();
    auto isOld = [&](const Idle &it) { return now - it.Since >= IdleTimeout; };
    idle.erase(idle.begin(), std::find_if_not(idle.begin(), idle.end(), isOld));
    idle.push_back({std::move(stream), now});
  }
};

HttpClient::HttpClient(asio::any_io_executor executor, const base::Clock &clock,
                       HttpLimits limits, std::chrono::milliseconds idleTimeout)
    : Self(new Impl{std::move(executor), clock, limits, idleTimeout, {}}) {}

HttpClient::~HttpClient() = default;

static http::request<http::string_body> toBeast(const model::Address &to,
                                                HttpRequest request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.Method);
  message.target(request.Path);
  detail::setHeaders(message, request.Headers);
  message.set(http::field::host, to.str());
  message.body() = std::move(request.Body);
  message.prepare_payload();
  return message;
}

Async<HttpResponse> HttpClient::send(model::Address to, HttpRequest request,
                                     std::chrono::milliseconds timeout) {
  Impl &self = *Self;
  std::unique_ptr<beast::tcp_stream> stream = self.takeIdle(to);
  bool isNew = !stream;
  if (isNew) {
    stream = std::make_unique<beast::tcp_stream>(self.Executor);
    boost::system::error_code ec;
    asio::ip::address ip = asio::ip::make_address(to.Ip, ec);
    if (ec)
      co_return fail(Errc::HttpNotSent, "not an IP address: " + to.Ip);
    stream->expires_after(timeout);
    asio::ip::tcp::endpoint endpoint(ip, to.Port);
    auto [connectError] = co_await stream->async_connect(endpoint, AsTuple);
    if (connectError)
      co_return fail(Errc::HttpNotSent,
                     to.str() + ": " + connectError.message());
    stream->socket().set_option(asio::ip::tcp::no_delay(true), ec);
  } else {
    stream->expires_after(timeout);
  }

  http::request<http::string_body> message = toBeast(to, std::move(request));
  auto [writeError, written] =
      co_await http::async_write(*stream, message, AsTuple);
  if (writeError)
    co_return fail(written == 0 ? Errc::HttpNotSent : Errc::HttpAnswerLost,
                   to.str() + ": " + writeError.message());

  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(self.Limits.HeaderBytes));
  parser.body_limit(self.Limits.BodyBytes);
  if (message.method() == http::verb::head)
    parser.skip(true);
  auto [readError, received] =
      co_await http::async_read(*stream, buf, parser, AsTuple);
  if (readError)
    co_return fail(Errc::HttpAnswerLost, to.str() + ": " + readError.message());
  // A body that ends with the connection cannot be told from a body that was
  // cut short.
  if (parser.need_eof() && message.method() != http::verb::head)
    co_return fail(Errc::HttpAnswerLost, to.str() + ": unframed response body");

  // The final answer would follow on the same connection; no request of this
  // client asks for an interim one.
  if (parser.get().result_int() < 200)
    co_return fail(Errc::HttpAnswerLost, to.str() + ": interim response");

  http::response<http::string_body> answer = parser.release();
  HttpResponse response;
  response.Status = answer.result_int();
  response.Headers = detail::copyHeaders(answer);
  if (answer.keep_alive() && buf.size() == 0) {
    stream->expires_never();
    self.putIdle(to, std::move(stream));
  }
  response.Body = std::move(answer.body());
  co_return response;
}

} // namespace endivedoor::platform
