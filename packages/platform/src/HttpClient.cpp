#include "endivedoor/platform/HttpClient.h"

#include "detail/BeastMessages.h"
#include "detail/MessageReader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
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
/// Pages of the store have up to 1 MB; each read costs a system call.
constexpr std::size_t BodyReadBytes = 64 * 1024;

/// Returns whether an idle connection can be reused: the server has neither
/// closed it nor sent unexpected bytes.
static bool isReusable(beast::tcp_stream &stream) {
  char byte;
  ssize_t n = ::recv(stream.socket().native_handle(), &byte, 1,
                     MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

namespace {

/// A connection that is counted by the limiter for as long as it is open.
struct PooledConnection {
  PooledConnection(const asio::any_io_executor &executor, model::Address to,
                   ConnectionLimiter *limiter)
      : Stream(executor), To(std::move(to)), Limiter(limiter) {}
  PooledConnection(const PooledConnection &) = delete;
  PooledConnection &operator=(const PooledConnection &) = delete;
  ~PooledConnection() {
    Stream.close();
    if (Limiter)
      Limiter->release(To);
  }

  beast::tcp_stream Stream;
  model::Address To;
  ConnectionLimiter *Limiter;
  /// When the server had accepted the connection.
  base::TimePoint OpenedAt{};
};

struct IdleConnection {
  std::unique_ptr<PooledConnection> Connection;
  base::TimePoint IdleSince;
};

} // namespace

struct HttpClient::Impl {
  asio::any_io_executor Executor;
  const base::Clock &Clock;
  HttpClientOptions Options;
  std::map<model::Address, std::vector<IdleConnection>> Pool;

  /// Returns the idle connection that was used last, of those opened before \p
  /// openedBefore; null if there is none.
  std::unique_ptr<PooledConnection>
  takeIdle(const model::Address &to,
           base::TimePoint openedBefore = base::TimePoint::max()) {
    auto it = Pool.find(to);
    if (it == Pool.end())
      return nullptr;
    std::vector<IdleConnection> &idle = it->second;
    for (std::size_t i = idle.size(); i-- > 0;) {
      if (idle[i].Connection->OpenedAt >= openedBefore)
        continue;
      IdleConnection taken = std::move(idle[i]);
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      if (Clock.now() - taken.IdleSince < Options.IdleTimeout &&
          isReusable(taken.Connection->Stream))
        return std::move(taken.Connection);
    }
    return nullptr;
  }

  /// Closes the connections that have been idle for the idle timeout or longer.
  /// The connections are ordered by the start of their idle time.
  void closeExpired(std::vector<IdleConnection> &idle) {
    base::TimePoint now = Clock.now();
    auto isExpired = [&](const IdleConnection &it) {
      return now - it.IdleSince >= Options.IdleTimeout;
    };
    idle.erase(idle.begin(),
               std::find_if_not(idle.begin(), idle.end(), isExpired));
  }

  void putIdle(std::unique_ptr<PooledConnection> connection) {
    if (Options.Limiter && !Options.Limiter->mayKeepIdle(connection->To))
      return;
    std::vector<IdleConnection> &idle = Pool[connection->To];
    closeExpired(idle);
    idle.push_back({std::move(connection), Clock.now()});
  }

  Async<std::unique_ptr<PooledConnection>>
  connect(model::Address to, std::chrono::milliseconds timeout);
  Async<HttpResponse> exchange(std::unique_ptr<PooledConnection> connection,
                               HttpRequest request, base::TimePoint deadline,
                               base::TimePoint sendBefore,
                               ResponseValidator validate);
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

Async<std::unique_ptr<PooledConnection>>
HttpClient::Impl::connect(model::Address to,
                          std::chrono::milliseconds timeout) {
  boost::system::error_code ec;
  asio::ip::address ip = asio::ip::make_address(to.Ip, ec);
  if (ec)
    co_return fail(Errc::HttpNotSent, "not an IP address: " + to.Ip);
  if (Options.Limiter && !Options.Limiter->tryAcquire(to))
    co_return fail(Errc::HttpNoConnection, to.str());
  auto connection =
      std::make_unique<PooledConnection>(Executor, to, Options.Limiter);
  connection->Stream.expires_after(std::min(timeout, Options.ConnectTimeout));
  asio::ip::tcp::endpoint endpoint(ip, to.Port);
  auto [connectError] =
      co_await connection->Stream.async_connect(endpoint, AsTuple);
  if (connectError)
    co_return fail(Errc::HttpNotSent, to.str() + ": " + connectError.message());
  connection->OpenedAt = Clock.now();
  connection->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  co_return connection;
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

/// Reads until the message is complete or its header shows that the end of the
/// connection would mark its end.
static asio::awaitable<boost::system::error_code>
readResponse(beast::tcp_stream &stream, detail::MessageReader<false> &reader) {
  while (true) {
    boost::system::error_code ec = reader.parse();
    if (ec != http::error::need_more ||
        (reader.Parser.is_header_done() && reader.Parser.need_eof()))
      co_return ec;
    auto [readError, n] =
        co_await stream.async_read_some(reader.prepare(), AsTuple);
    if (readError)
      co_return readError;
    reader.commit(n);
  }
}

Async<HttpResponse> HttpClient::send(model::Address to, HttpRequest request,
                                     std::chrono::milliseconds timeout,
                                     ResponseValidator validate,
                                     base::TimePoint sendBefore) {
  Impl &self = *Self;
  base::TimePoint deadline = self.Clock.now() + timeout;
  std::unique_ptr<PooledConnection> connection = self.takeIdle(to);
  if (!connection) {
    base::Result<std::unique_ptr<PooledConnection>> opened =
        co_await self.connect(to, timeout);
    if (!opened)
      co_return opened.as_failure();
    connection = std::move(opened.value());
  }
  co_return co_await self.exchange(std::move(connection), std::move(request),
                                   deadline, sendBefore, std::move(validate));
}

Async<HttpResponse> HttpClient::sendOnIdle(model::Address to,
                                           HttpRequest request,
                                           base::TimePoint openedBefore,
                                           std::chrono::milliseconds timeout) {
  std::unique_ptr<PooledConnection> connection =
      Self->takeIdle(to, openedBefore);
  if (!connection)
    co_return fail(Errc::HttpNoConnection, to.str());
  base::TimePoint deadline = Self->Clock.now() + timeout;
  co_return co_await Self->exchange(std::move(connection), std::move(request),
                                    deadline, deadline, nullptr);
}

Async<HttpResponse>
HttpClient::Impl::exchange(std::unique_ptr<PooledConnection> connection,
                           HttpRequest request, base::TimePoint deadline,
                           base::TimePoint sendBefore,
                           ResponseValidator validate) {
  const model::Address to = connection->To;
  beast::tcp_stream &stream = connection->Stream;
  http::request<http::string_body> message = toBeast(to, std::move(request));
  // The process may have stood still while the connection was opened.
  base::TimePoint now = Clock.now();
  if (now >= std::min(deadline, sendBefore))
    co_return fail(Errc::HttpNotSent, to.str() + ": too late to send");
  stream.expires_after(deadline - now);
  auto [writeError, written] =
      co_await http::async_write(stream, message, AsTuple);
  if (writeError)
    co_return fail(written == 0 ? Errc::HttpNotSent : Errc::HttpAnswerLost,
                   to.str() + ": " + writeError.message());

  beast::flat_buffer buf(detail::maxBufferBytes(Options.Limits, BodyReadBytes));
  detail::MessageReader<false> reader(buf, Options.Limits, BodyReadBytes);
  http::response_parser<http::string_body> &parser = reader.Parser;
  if (message.method() == http::verb::head)
    parser.skip(true);
  boost::system::error_code readError = co_await readResponse(stream, reader);
  // If the end of the connection marks the end of the body, a truncated body
  // cannot be detected.
  if (parser.need_eof() && message.method() != http::verb::head)
    co_return fail(
        Errc::HttpAnswerLost,
        to.str() +
            ": response has neither Content-Length nor chunked encoding");
  if (readError)
    co_return fail(Errc::HttpAnswerLost, to.str() + ": " + readError.message());

  // The final response would follow on the same connection. No request of this
  // client asks for an interim (1xx) response.
  if (parser.get().result_int() < 200)
    co_return fail(Errc::HttpAnswerLost,
                   to.str() + ": unexpected interim (1xx) response");

  http::response<http::string_body> rawResponse = parser.release();
  HttpResponse response;
  response.Status = rawResponse.result_int();
  response.Headers = detail::copyHeaders(rawResponse);
  response.Body = std::move(rawResponse.body());
  if (validate && !validate(response))
    co_return fail(Errc::HttpAnswerLost,
                   to.str() + ": the response does not match the request");
  if (rawResponse.keep_alive() && buf.size() == 0) {
    stream.expires_never();
    putIdle(std::move(connection));
  }
  co_return response;
}

} // namespace endivedoor::platform
