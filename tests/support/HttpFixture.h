/// \file
/// Utilities shared by the HTTP tests: running coroutines, a server on a free
/// port and a server that sends fixed bytes.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_HTTPFIXTURE_H
#define ENDIVEDOOR_TESTS_SUPPORT_HTTPFIXTURE_H

#include "endivedoor/platform/HttpClient.h"
#include "endivedoor/platform/HttpServer.h"
#include "endivedoor/platform/Json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace endivedoor::tests {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using base::Errc;
using platform::HttpRequest;
using platform::HttpResponse;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);

/// Runs \p io until \p op completes and returns its result.
template <typename T> T await(asio::io_context &io, asio::awaitable<T> op) {
  std::optional<T> result;
  auto run = [&]() -> asio::awaitable<void> {
    result.emplace(co_await std::move(op));
  };
  asio::co_spawn(io, run(), asio::detached);
  io.restart();
  while (!result && io.run_one() > 0) {
  }
  return std::move(*result);
}

inline void runFor(asio::io_context &io, std::chrono::milliseconds time) {
  io.restart();
  io.run_for(time);
}

/// Sends \p Response after each request head. Closes the connection after the
/// first one if \p CloseAfterResponse is set.
struct RawServer {
  asio::ip::tcp::acceptor Acceptor;
  std::string Response;
  bool CloseAfterResponse = true;
  /// Requests received so far.
  int Requests = 0;

  RawServer(asio::io_context &io, std::string response)
      : Acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
        Response(std::move(response)) {
    asio::co_spawn(io, accept(), asio::detached);
  }
  model::Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  asio::awaitable<void> accept() {
    while (true) {
      auto [ec, socket] = co_await Acceptor.async_accept(Tuple);
      if (ec)
        co_return;
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)),
                     asio::detached);
    }
  }
  asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    std::string buf;
    while (true) {
      auto [ec, n] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buf), "\r\n\r\n", Tuple);
      if (ec)
        co_return;
      buf.clear();
      ++Requests;
      std::string response = Response;
      co_await asio::async_write(socket, asio::buffer(response), Tuple);
      if (CloseAfterResponse)
        co_return;
    }
  }
};

/// A client, and a server on a free port with a configurable handler.
class HttpFixture : public testing::Test {
protected:
  asio::io_context Io;
  base::SystemClock Time;
  platform::HttpClient Client{Io.get_executor(), Time,
                              platform::HttpLimits{4096, 65536}};
  platform::HttpServer::Handler RequestHandler;
  std::unique_ptr<platform::HttpServer> Server;
  HttpRequest LastRequest;

  model::Address listen(platform::HttpServerOptions options = {}) {
    options.Listen = {"127.0.0.1", 0};
    Server = std::make_unique<platform::HttpServer>(
        Io.get_executor(), options,
        [this](HttpRequest it) -> asio::awaitable<HttpResponse> {
          LastRequest = it;
          return RequestHandler(std::move(it));
        });
    EXPECT_TRUE(Server->start());
    return {"127.0.0.1", Server->port()};
  }

  /// Responds to every request with \p status and \p body.
  void respondWith(unsigned status, std::string body) {
    RequestHandler = [=](HttpRequest) -> asio::awaitable<HttpResponse> {
      co_return HttpResponse{status, {}, body};
    };
  }

  /// Returns an address that refuses connections.
  model::Address closedAddress() {
    asio::ip::tcp::acceptor once(Io, {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", once.local_endpoint().port()};
  }

  template <typename T> T run(asio::awaitable<T> op) {
    return await(Io, std::move(op));
  }
  template <typename T> static Errc codeOf(const base::Result<T> &result) {
    return result ? Errc{0} : result.error().Code;
  }
};

} // namespace endivedoor::tests

#endif
