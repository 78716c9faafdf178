#include "endivedoor/platform/HttpServer.h"

#include "detail/BeastMessages.h"
#include "detail/ConnectionTable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace endivedoor::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::Errc;
using base::fail;
using Connection = detail::ServerConnection;
using RequestReader = detail::MessageReader<true>;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept, which usually means that the process has run
/// out of file descriptors.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);
/// Limits on reading and discarding the rest of a rejected request. Closing a
/// socket with unread bytes resets the connection, and the client may lose the
/// error response.
constexpr auto DiscardTime = std::chrono::seconds(1);
constexpr std::size_t DiscardBytes = 4 * 1024 * 1024;
/// Receive buffer of a connection. The kernel fills it beside a request in
/// progress, so it is kept small.
constexpr int ReceiveBufferBytes = 16 * 1024;
/// Bytes that the kernel accepts while they cannot be sent yet. Without a limit
/// it takes several megabytes for a client that reads nothing. A small send
/// buffer would also limit the bytes in transit, and wait for delayed
/// acknowledgements.
constexpr int UnsentBytes = 16 * 1024;
/// Share of a connection: its buffers in the kernel, and the socket, coroutine
/// and read buffer.
constexpr std::size_t ConnectionBytes =
    ReceiveBufferBytes + UnsentBytes + 8 * 1024;
/// Share of a request beside its header and body: its coroutines and the
/// header of the response.
constexpr std::size_t RequestBytes = 8 * 1024;
/// A request up to this size may close connections that have brought less, to
/// get memory. A larger one would close many.
constexpr std::size_t SmallRequestBytes = 32 * 1024;
/// Delay, in seconds, after which a client may repeat a request that was
/// refused for lack of memory.
constexpr const char *RetryAfterSeconds = "1";
/// A body that is slower than this within each BodyTimeout is given up.
constexpr std::size_t MinBodyBytes = 16 * 1024;
/// A response that a client takes more slowly than this is given up.
constexpr std::size_t MinResponseBytesPerSecond = 16 * 1024;

static Connection::TimePoint after(std::chrono::steady_clock::duration time) {
  return std::chrono::steady_clock::now() + time;
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  asio::any_io_executor Executor;
  HttpServerOptions Options;
  Handler OnRequest;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer GraceTimer;
  detail::ConnectionTable Connections;
  std::size_t ActiveRequests = 0;
  bool Draining = false;
  bool KeepAliveEnabled = true;
  /// The server has been destroyed; the handler must not be called any more.
  bool Stopped = false;
  /// When connections that are reading a request are closed.
  Connection::TimePoint ReadEnd = Connection::TimePoint::max();

  Impl(asio::any_io_executor executor, HttpServerOptions options,
       Handler handler)
      : Executor(executor), Options(std::move(options)),
        OnRequest(std::move(handler)), Acceptor(executor),
        GraceTimer(executor) {}

  asio::awaitable<void> acceptLoop();
  static asio::awaitable<void> serve(std::shared_ptr<Impl> self,
                                     std::shared_ptr<Connection> connection);
  asio::awaitable<void> closeIdleAfterGrace();
  asio::awaitable<boost::system::error_code> readRequest(Connection &connection,
                                                         RequestReader &reader);
  asio::awaitable<void> rejectRequest(Connection &connection, unsigned status,
                                      std::string reason);
  /// Sets the time limit of a connection that is reading a request.
  void readUntil(Connection &connection, Connection::TimePoint time) const {
    connection.setDeadline(std::min(time, ReadEnd));
  }
  void reportLimit(HttpLimit limit) const {
    if (Options.OnLimit)
      Options.OnLimit(limit);
  }
  bool closeLeastUseful(HttpLimit limit, const Connection *except = nullptr);
  bool reserve(Connection &connection, std::size_t size);
  HttpResponse errorResponse(unsigned status, const std::string &reason) const;
  void admit(asio::ip::tcp::socket socket);
  void acceptPending();
  void closeIdle();
  asio::awaitable<bool> serveOne(Connection &connection);
  asio::awaitable<bool> writeResponse(Connection &connection,
                                      HttpResponse response, bool keepAlive,
                                      bool isHead);
};

/// Returns whether an accept failed because the process or the host has run out
/// of file descriptors.
static bool isDescriptorShortage(const boost::system::error_code &ec) {
  return ec == boost::system::errc::too_many_files_open ||
         ec == boost::system::errc::too_many_files_open_in_system;
}

asio::awaitable<void> HttpServer::Impl::acceptLoop() {
  auto self = shared_from_this();
  while (!Draining) {
    auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
    if (ec == asio::error::operation_aborted || (ec && Draining))
      co_return;
    if (ec && !(isDescriptorShortage(ec) &&
                closeLeastUseful(HttpLimit::Connections))) {
      asio::steady_timer timer(Executor, AcceptRetryDelay);
      co_await timer.async_wait(AsTuple);
    }
    if (!ec)
      admit(std::move(socket));
  }
}

/// Closes the connection that has brought least, for a new one. Returns whether
/// there is one that may be closed.
bool HttpServer::Impl::closeLeastUseful(HttpLimit limit,
                                        const Connection *except) {
  Connection *victim = Connections.leastUseful(except);
  if (!victim)
    return false;
  reportLimit(limit);
  Connections.close(*victim);
  return true;
}

/// Changes the share of a connection. If the budget is used up, the largest
/// requests that are being read, of those larger than \p size, are refused
/// for it; for a small request, also the least useful connections are closed.
/// Returns whether the share has the size.
bool HttpServer::Impl::reserve(Connection &connection, std::size_t size) {
  while (!connection.Held.resize(size)) {
    Connection *largest = nullptr;
    Connections.forEachWaiting([&](Connection &it) {
      if (&it != &connection && it.Reading && it.Held.size() > size &&
          (!largest || it.Held.size() > largest->Held.size()))
        largest = &it;
    });
    if (largest) {
      largest->displace();
      largest->Held.resize(ConnectionBytes);
    } else if (size > ConnectionBytes + SmallRequestBytes ||
               !closeLeastUseful(HttpLimit::Memory, &connection)) {
      return false;
    }
  }
  return true;
}

/// Serves a new connection if the table has or gets room for it; otherwise
/// closes it.
void HttpServer::Impl::admit(asio::ip::tcp::socket socket) {
  if (Connections.openCount() >= Options.MaxConnections &&
      !closeLeastUseful(HttpLimit::Connections)) {
    reportLimit(HttpLimit::Connections);
    return;
  }
  auto connection = std::make_shared<Connection>(
      std::move(socket), Options.Limits, Options.Budget);
  while (!connection->Held.resize(ConnectionBytes))
    if (!closeLeastUseful(HttpLimit::Memory)) {
      reportLimit(HttpLimit::Memory);
      return;
    }
  Connections.add(*connection);
  asio::co_spawn(Executor, serve(shared_from_this(), std::move(connection)),
                 asio::detached);
}

/// \param self keeps the server until the coroutine ends, also if it is
/// destroyed before the coroutine begins.
asio::awaitable<void>
HttpServer::Impl::serve(std::shared_ptr<Impl> self,
                        std::shared_ptr<Connection> connection) {
  boost::system::error_code ec;
  connection->Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  while (!self->Stopped && !connection->Closed &&
         co_await self->serveOne(*connection)) {
  }
  self->Connections.remove(*connection);
  connection->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

/// Returns the limit that a request has exceeded, if any.
static std::optional<HttpLimit>
exceededLimit(const boost::system::error_code &ec) {
  if (ec == http::error::body_limit)
    return HttpLimit::Body;
  if (ec == http::error::header_limit)
    return HttpLimit::Header;
  if (ec == http::error::buffer_overflow)
    return HttpLimit::Framing;
  if (ec == asio::error::no_buffer_space)
    return HttpLimit::Memory;
  return std::nullopt;
}

/// Returns the response status for a request that could not be read, or 0 if no
/// response can be sent.
static unsigned errorStatus(const boost::system::error_code &ec) {
  if (ec == http::error::body_limit)
    return 413;
  if (ec == http::error::header_limit)
    return 431;
  if (ec == asio::error::timed_out)
    return 408;
  if (ec == asio::error::no_buffer_space)
    return 503;
  if (ec.category() == make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message)
    return 400;
  return 0;
}

/// Waits for the first bytes of a request, with the connection marked as idle,
/// then reads the rest. Returns timed_out if the request takes too long, and
/// no_buffer_space if there is no memory for it.
asio::awaitable<boost::system::error_code>
HttpServer::Impl::readRequest(Connection &connection, RequestReader &reader) {
  const std::string &body = reader.Parser.get().body();
  bool inHeader = true;
  std::size_t bodyMark = 0;
  connection.Reading = true;
  connection.Displaced = false;
  Connections.beginWait(connection);
  connection.Idle = connection.Buffer.size() == 0;
  if (connection.Idle && connection.Buffer.capacity() > 2 * detail::ReadBytes)
    connection.releaseBuffer();
  readUntil(connection, after(connection.Idle ? Options.IdleTimeout
                                              : Options.HeaderTimeout));
  while (true) {
    boost::system::error_code ec = reader.parse();
    if (ec && ec != http::error::need_more)
      co_return ec;
    if (!connection.Idle &&
        !reserve(connection,
                 ConnectionBytes + RequestBytes + reader.memoryBytes()))
      co_return asio::error::no_buffer_space;
    if (!ec)
      co_return ec;
    if (reader.Parser.is_header_done() &&
        (inHeader || body.size() - bodyMark >= MinBodyBytes)) {
      inHeader = false;
      bodyMark = body.size();
      readUntil(connection, after(Options.BodyTimeout));
    }
    auto [readError, n] =
        co_await connection.Socket.async_read_some(reader.prepare(), AsTuple);
    if (connection.Closed)
      co_return asio::error::operation_aborted;
    if (connection.Displaced)
      co_return asio::error::no_buffer_space;
    if (connection.TimedOut && !connection.Idle)
      co_return asio::error::timed_out;
    if (readError)
      co_return asio::error::operation_aborted;
    reader.commit(n);
    if (connection.Idle) {
      readUntil(connection, after(Options.HeaderTimeout));
      Connections.beginRequest(connection);
    }
    connection.Idle = false;
  }
}

HttpResponse HttpServer::Impl::errorResponse(unsigned status,
                                             const std::string &reason) const {
  HttpResponse response;
  response.Status = status;
  response.Headers = {{"Content-Type", "application/json"}};
  response.Body = "{\"error\":\"" + reason + "\"}";
  if (Options.MakeErrorResponse)
    response = Options.MakeErrorResponse(status, reason);
  if (status == 503 && findHeader(response.Headers, "Retry-After").empty())
    response.Headers.emplace_back("Retry-After", RetryAfterSeconds);
  return response;
}

asio::awaitable<void> HttpServer::Impl::rejectRequest(Connection &connection,
                                                      unsigned status,
                                                      std::string reason) {
  connection.releaseBuffer();
  connection.Held.resize(ConnectionBytes);
  co_await writeResponse(connection, errorResponse(status, reason), false,
                         false);
  boost::system::error_code ec;
  connection.Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  connection.setDeadline(after(DiscardTime));
  Connections.beginDiscard(connection);
  for (std::size_t read = 0; read < DiscardBytes;) {
    connection.Buffer.clear();
    auto [readError, n] = co_await connection.Socket.async_read_some(
        connection.Buffer.prepare(detail::ReadBytes), AsTuple);
    if (readError || connection.Closed)
      co_return;
    read += n;
  }
}

asio::awaitable<bool> HttpServer::Impl::serveOne(Connection &connection) {
  std::optional<RequestReader> reader(std::in_place, connection.Buffer,
                                      Options.Limits);
  boost::system::error_code ec = co_await readRequest(connection, *reader);
  connection.Reading = false;
  connection.clearDeadline();
  if (ec == asio::error::operation_aborted)
    co_return false;
  Connections.beginWork(connection);
  if (ec) {
    if (ec == asio::error::timed_out)
      reportLimit(reader->Parser.is_header_done() ? HttpLimit::BodyTime
                                                  : HttpLimit::HeaderTime);
    if (std::optional<HttpLimit> limit = exceededLimit(ec))
      reportLimit(*limit);
    reader.reset();
    if (unsigned status = errorStatus(ec))
      co_await rejectRequest(connection, status, ec.message());
    co_return false;
  }
  if (Stopped)
    co_return false;
  connection.Served = true;
  ++ActiveRequests;
  http::request<http::string_body> message = reader->Parser.release();
  bool keepAlive = message.keep_alive();
  bool isHead = message.method() == http::verb::head;
  bool isSafe = isHead || message.method() == http::verb::get;
  HttpRequest request;
  request.Method = std::string(message.method_string());
  request.Path = std::string(message.target());
  request.Headers = detail::copyHeaders(message);
  request.Body = std::move(message.body());
  HttpResponse response = co_await OnRequest(std::move(request));
  bool keepOpen = false;
  if (response.Status != 0 &&
      !reserve(connection,
               ConnectionBytes + RequestBytes + response.Body.size())) {
    reportLimit(HttpLimit::Memory);
    // Other methods may have had an effect, which the client has to learn.
    if (isSafe)
      response = errorResponse(503, "not enough memory");
  }
  if (response.Status != 0)
    keepOpen = co_await writeResponse(connection, std::move(response),
                                      keepAlive, isHead);
  connection.Held.resize(ConnectionBytes);
  --ActiveRequests;
  co_return keepOpen;
}

asio::awaitable<bool> HttpServer::Impl::writeResponse(Connection &connection,
                                                      HttpResponse response,
                                                      bool keepAlive,
                                                      bool isHead) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(response.Status);
  detail::setHeaders(message, response.Headers);
  message.keep_alive(keepAlive && KeepAliveEnabled && !Draining);
  message.body() = std::move(response.Body);
  message.prepare_payload();
  if (isHead)
    message.body().clear();
  Connection::TimePoint end = after(
      Options.ResponseTimeout +
      std::chrono::seconds(message.body().size() / MinResponseBytesPerSecond));
  http::response_serializer<http::string_body> serializer(message);
  boost::system::error_code ec;
  while (!ec && !serializer.is_done()) {
    connection.setDeadline(std::min(end, after(Options.ResponseTimeout)));
    Connections.beginWrite(connection);
    std::tie(ec, std::ignore) =
        co_await http::async_write_some(connection.Socket, serializer, AsTuple);
    if (connection.Closed)
      co_return false;
  }
  if (connection.TimedOut)
    reportLimit(HttpLimit::ResponseTime);
  co_return !ec && message.keep_alive();
}

HttpServer::HttpServer(asio::any_io_executor executor,
                       HttpServerOptions options, Handler handler)
    : Self(std::make_shared<Impl>(std::move(executor), std::move(options),
                                  std::move(handler))) {}

HttpServer::~HttpServer() {
  beginDrain();
  Self->Stopped = true;
  Self->GraceTimer.cancel();
  Self->closeIdle();
}

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
  // Connections inherit the sizes from the listening socket.
  if (!ec)
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ec);
  if (!ec)
    ::setsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                 &UnsentBytes, sizeof UnsentBytes);
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

/// Accepts the connections in the listen backlog; closing the acceptor would
/// reset them and lose their requests.
void HttpServer::Impl::acceptPending() {
  boost::system::error_code ec;
  Acceptor.non_blocking(true, ec);
  for (std::size_t i = 0; !ec && i < Options.MaxConnections; ++i) {
    asio::ip::tcp::socket socket(Executor);
    Acceptor.accept(socket, ec);
    if (!ec)
      admit(std::move(socket));
  }
}

void HttpServer::Impl::closeIdle() {
  Connections.forEachWaiting([this](Connection &it) {
    if (it.Idle)
      Connections.close(it);
  });
}

asio::awaitable<void> HttpServer::Impl::closeIdleAfterGrace() {
  auto self = shared_from_this();
  if (Stopped)
    co_return;
  GraceTimer.expires_after(Options.DrainGrace);
  co_await GraceTimer.async_wait(AsTuple);
  closeIdle();
  ReadEnd = after(Options.HeaderTimeout);
  Connections.forEachWaiting([this](Connection &it) {
    if (it.Reading)
      readUntil(it, it.deadline());
  });
}

void HttpServer::disableKeepAlive() { Self->KeepAliveEnabled = false; }

void HttpServer::beginDrain() {
  if (Self->Draining)
    return;
  Self->Draining = true;
  if (!Self->Acceptor.is_open())
    return;
  Self->acceptPending();
  boost::system::error_code ec;
  Self->Acceptor.close(ec);
  asio::co_spawn(Self->Executor, Self->closeIdleAfterGrace(), asio::detached);
}

std::size_t HttpServer::activeRequests() const { return Self->ActiveRequests; }

std::size_t HttpServer::openConnections() const {
  return Self->Connections.size();
}

std::uint16_t HttpServer::port() const {
  boost::system::error_code ec;
  return Self->Acceptor.local_endpoint(ec).port();
}

} // namespace endivedoor::platform
