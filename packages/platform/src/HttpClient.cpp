#include "endivedoor/platform/HttpClient.h"

#include "detail/BeastMessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
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

namespace {

/// A connection that is counted at the gate for as long as it is open.
struct Link {
  Link(const asio::any_io_executor &executor, model::Address to,
       ConnectionGate *gate)
      : Stream(executor), To(std::move(to)), Gate(gate) {}
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;
  ~Link() {
    Stream.close();
    if (Gate)
      Gate->closed(To);
  }

  beast::tcp_stream Stream;
  model::Address To;
  ConnectionGate *Gate;
};

struct Idle {
  std::unique_ptr<Link> Connection;
  base::TimePoint Since;
};

} // namespace

struct HttpClient::Impl {
  asio::any_io_executor Executor;
  const base::Clock &Time;
  HttpClientOptions Options;
  std::map<model::Address, std::vector<Idle>> Pool;

  std::unique_ptr<Link> takeIdle(const model::Address &to) {
    auto it = Pool.find(to);
    if (it == Pool.end())
      return nullptr;
    std::vector<Idle> &idle = it->second;
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (Time.now() - last.Since < Options.IdleTimeout &&
          isQuiet(last.Connection->Stream))
        return std::move(last.Connection);
    }
    return nullptr;
  }

  /// Closes the connections that have been idle too long; the oldest come
  /// first.
  void closeExpired(std::vector<Idle> &idle) {
    base::TimePoint now = Time.now();
    auto isOld = [&](const Idle &it) {
      return now - it.Since >= Options.IdleTimeout;
    };
    idle.erase(idle.begin(), std::find_if_not(idle.begin(), idle.end(), isOld));
  }

  void putIdle(std::unique_ptr<Link> link) {
    if (Options.Gate && !Options.Gate->mayIdle(link->To))
      return;
    std::vector<Idle> &idle = Pool[link->To];
    closeExpired(idle);
    idle.push_back({std::move(link), Time.now()});
  }

  Async<std::unique_ptr<Link>> connect(model::Address to,
                                       std::chrono::milliseconds timeout);
};

HttpClient::HttpClient(asio::any_io_executor executor, const base::Clock &clock,
                       HttpLimits limits, std::chrono::milliseconds idleTimeout)
    : HttpClient(
          std::move(executor),
          HttpClientOptions{.Limits = limits, .IdleTimeout = idleTimeout},
          clock) {}

HttpClient::HttpClient(asio::any_io_executor executor,
                       HttpClientOptions options, const base::Clock &clock)
    : Self(new Impl{std::move(executor), clock, options, {}}) {}

std::size_t HttpClient::idleConnections(const model::Address &to) const {
  auto it = Self->Pool.find(to);
  return it == Self->Pool.end() ? 0 : it->second.size();
}

void HttpClient::closeIdle(const model::Address &to) {
  auto it = Self->Pool.find(to);
  if (it != Self->Pool.end() && !it->second.empty())
    it->second.erase(it->second.begin());
}

void HttpClient::closeExpired() {
  for (auto it = Self->Pool.begin(); it != Self->Pool.end();) {
    Self->closeExpired(it->second);
    it = it->second.empty() ? Self->Pool.erase(it) : std::next(it);
  }
}

Async<std::unique_ptr<Link>>
HttpClient::Impl::connect(model::Address to,
                          std::chrono::milliseconds timeout) {
  boost::system::error_code ec;
  asio::ip::address ip = asio::ip::make_address(to.Ip, ec);
  if (ec)
    co_return fail(Errc::HttpNotSent, "not an IP address: " + to.Ip);
  if (Options.Gate && !Options.Gate->tryOpen(to))
    co_return fail(Errc::HttpNoConnection, to.str());
  auto link = std::make_unique<Link>(Executor, to, Options.Gate);
  link->Stream.expires_after(std::min(timeout, Options.ConnectTimeout));
  asio::ip::tcp::endpoint endpoint(ip, to.Port);
  auto [connectError] = co_await link->Stream.async_connect(endpoint, AsTuple);
  if (connectError)
    co_return fail(Errc::HttpNotSent, to.str() + ": " + connectError.message());
  link->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  co_return link;
}

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
                                     std::chrono::milliseconds timeout,
                                     Acceptor accept) {
  Impl &self = *Self;
  base::TimePoint deadline = self.Time.now() + timeout;
  std::unique_ptr<Link> link = self.takeIdle(to);
  if (!link) {
    base::Result<std::unique_ptr<Link>> opened =
        co_await self.connect(to, timeout);
    if (!opened)
      co_return opened.as_failure();
    link = std::move(opened.value());
  }
  beast::tcp_stream &stream = link->Stream;
  stream.expires_after(deadline - self.Time.now());

  http::request<http::string_body> message = toBeast(to, std::move(request));
  auto [writeError, written] =
      co_await http::async_write(stream, message, AsTuple);
  if (writeError)
    co_return fail(written == 0 ? Errc::HttpNotSent : Errc::HttpAnswerLost,
                   to.str() + ": " + writeError.message());

  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.header_limit(
      static_cast<std::uint32_t>(self.Options.Limits.HeaderBytes));
  parser.body_limit(self.Options.Limits.BodyBytes);
  if (message.method() == http::verb::head)
    parser.skip(true);
  auto [readError, received] =
      co_await http::async_read(stream, buf, parser, AsTuple);
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
  response.Body = std::move(answer.body());
  if (accept && !accept(response))
    co_return fail(Errc::HttpAnswerLost,
                   to.str() + ": the response does not match the request");
  if (answer.keep_alive() && buf.size() == 0) {
    stream.expires_never();
    self.putIdle(std::move(link));
  }
  co_return response;
}

} // namespace endivedoor::platform
