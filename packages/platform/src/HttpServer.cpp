#include "endivedoor/platform/HttpServer.h"

#include "detail/BeastMessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <sys/socket.h>
#include <unordered_set>

namespace endivedoor::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using base::Errc;
using base::fail;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Pause after a failed accept, which usually means that no file descriptor is
/// free.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  struct Connection {
    explicit Connection(asio::ip::tcp::socket s) : Stream(std::move(s)) {}
    beast::tcp_stream Stream;
    beast::flat_buffer Buffer;
    bool Busy = false;
  };

  asio::any_io_executor Executor;
  HttpServerOptions Options;
  Handler Handle;
  asio::ip::tcp::acceptor Acceptor;
  std::unordered_set<Connection *> Connections;
  std::size_t Active = 0;
  bool Draining = false;
  bool KeepAlive = true;

  Impl(asio::any_io_executor executor, HttpServerOptions options,
       Handler handler)
      : Executor(executor), Options(std::move(options)),
        Handle(std::move(handler)), Acceptor(executor) {}

  asio::awaitable<void> acceptLoop();
  void accept(asio::ip::tcp::socket socket);
  asio::awaitable<void> serve(asio::ip::tcp::socket socket);
  asio::awaitable<bool> serveOne(Connection &connection);
  asio::awaitable<bool> answer(Connection &connection, HttpResponse response,
                               bool keepAlive, bool isHead);
};

asio::awaitable<void> HttpServer::Impl::acceptLoop() {
  auto self = shared_from_this();
  while (!Draining) {
    auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
    if (Draining || ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      asio::steady_timer timer(Executor, AcceptRetryDelay);
      co_await timer.async_wait(AsTuple);
      continue;
    }
    accept(std::move(socket));
  }
}

void HttpServer::Impl::accept(asio::ip::tcp::socket socket) {
  if (Connections.size() < Options.MaxConnections)
    asio::co_spawn(Executor, serve(std::move(socket)), asio::detached);
}

asio::awaitable<void> HttpServer::Impl::serve(asio::ip::tcp::socket socket) {
  auto self = shared_from_this();
  Connection connection(std::move(socket));
  boost::system::error_code ec;
  connection.Stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  Connections.insert(&connection);
  while (co_await serveOne(connection)) {
  }
  Connections.erase(&connection);
  connection.Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

/// Returns the status for a request that could not be read, or 0 if none can be
/// answered.
static unsigned statusOf(const boost::system::error_code &ec) {
  if (ec == http::error::body_limit)
    return 413;
  if (ec == http::error::header_limit)
    return 431;
  if (ec.category() == make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message)
    return 400;
  return 0;
}

asio::awaitable<bool> HttpServer::Impl::serveOne(Connection &connection) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(Options.Limits.HeaderBytes));
  parser.body_limit(Options.Limits.BodyBytes);
  connection.Stream.expires_after(Options.IdleTimeout);
  connection.Busy = false;
  auto [ec, n] = co_await http::async_read(connection.Stream, connection.Buffer,
                                           parser, AsTuple);
  if (ec) {
    if (unsigned status = statusOf(ec)) {
      HttpResponse refusal;
      refusal.Status = status;
      refusal.Headers = {{"Content-Type", "application/json"}};
      refusal.Body = "{\"error\":\"" + ec.message() + "\"}";
      if (Options.Refuse)
        refusal = Options.Refuse(status, ec.message());
      co_await answer(connection, std::move(refusal), false, false);
    }
    co_return false;
  }
  connection.Busy = true;
  ++Active;
  http::request<http::string_body> message = parser.release();
  bool keepAlive = message.keep_alive();
  bool isHead = message.method() == http::verb::head;
  HttpRequest request;
  request.Method = std::string(message.method_string());
  request.Path = std::string(message.target());
  request.Headers = detail::copyHeaders(message);
  request.Body = std::move(message.body());
  HttpResponse response = co_await Handle(std::move(request));
  bool goOn = false;
  if (response.Status != 0)
    goOn = co_await answer(connection, std::move(response), keepAlive, isHead);
  --Active;
  co_return goOn;
}

asio::awaitable<bool> HttpServer::Impl::answer(Connection &connection,
                                               HttpResponse response,
                                               bool keepAlive, bool isHead) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(response.Status);
  detail::setHeaders(message, response.Headers);
  message.keep_alive(keepAlive && KeepAlive);
  message.body() = std::move(response.Body);
  message.prepare_payload();
  if (isHead)
    message.body().clear();
  connection.Stream.expires_after(Options.IdleTimeout);
  auto [ec, n] =
      co_await http::async_write(connection.Stream, message, AsTuple);
  co_return !ec && message.keep_alive() && KeepAlive;
}

HttpServer::HttpServer(asio::any_io_executor executor,
                       HttpServerOptions options, Handler handler)
    : Self(std::make_shared<Impl>(std::move(executor), std::move(options),
                                  std::move(handler))) {}

HttpServer::~HttpServer() { beginDrain(); }

base::Result<void> HttpServer::start() {
  boost::system::error_code ec;
  const model::Address &listen = Self->Options.Listen;
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address(listen.Ip, ec),
                                   listen.Port);
  asio::ip::tcp::acceptor &acceptor = Self->Acceptor;
  if (!ec)
    acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec && Self->Options.ReusePort) {
    int on = 1;
    ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on,
                 sizeof on);
  }
  if (!ec)
    acceptor.bind(endpoint, ec);
  if (!ec)
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return fail(Errc::IoFailed, listen.str() + ": " + ec.message());
  asio::co_spawn(Self->Executor, Self->acceptLoop(), asio::detached);
  return base::success();
}

void HttpServer::beginDrain() {
  if (Self->Draining)
    return;
  Self->Draining = true;
  Self->KeepAlive = false;
  boost::system::error_code ec;
  Self->Acceptor.close(ec);
  for (Impl::Connection *it : Self->Connections)
    if (!it->Busy && it->Buffer.size() == 0)
      it->Stream.cancel();
}

void HttpServer::endKeepAlive() { Self->KeepAlive = false; }

void HttpServer::stopAccepting() {
  if (Self->Draining)
    return;
  Self->Draining = true;
  Self->KeepAlive = false;
  asio::ip::tcp::acceptor &acceptor = Self->Acceptor;
  boost::system::error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(Self->Executor);
    acceptor.accept(socket, ec);
    if (!ec)
      Self->accept(std::move(socket));
  }
  acceptor.close(ec);
}

std::size_t HttpServer::activeRequests() const { return Self->Active; }

std::size_t HttpServer::openConnections() const {
  return Self->Connections.size();
}

std::uint16_t HttpServer::port() const {
  boost::system::error_code ec;
  return Self->Acceptor.local_endpoint(ec).port();
}

} // namespace endivedoor::platform
