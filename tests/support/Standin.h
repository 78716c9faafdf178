/// \file
/// Utilities shared by the stand-in programs: the run loop, JSON responses and
/// JSON Lines logs.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_STANDIN_H
#define ENDIVEDOOR_TESTS_SUPPORT_STANDIN_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/platform/HttpServer.h"
#include "endivedoor/platform/Json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace endivedoor::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using platform::HttpRequest;
using platform::HttpResponse;
using platform::JsonView;
using platform::MaxInt64;
template <typename T> using Awaitable = asio::awaitable<T>;

inline HttpResponse jsonResponse(unsigned status, const json::value &body) {
  return {
      status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

inline Awaitable<void> sleepFor(std::chrono::milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/// Returns status 0, which makes the server close the connection without a
/// response.
inline HttpResponse closeWithoutResponse() { return {0, {}, {}}; }

/// Parses the JSON body of a request and returns the response of \p handle, or
/// 400 with the first validation error. An empty body is parsed as {}.
template <typename F>
HttpResponse handleJsonBody(const HttpRequest &request, F handle) {
  auto body = platform::parseJson(request.Body.empty() ? "{}" : request.Body);
  if (!body)
    return jsonResponse(400, {{"error", body.error().Detail}});
  std::string parseError;
  HttpResponse response =
      handle(JsonView(body.value(), parseError), parseError);
  return parseError.empty() ? response
                            : jsonResponse(400, {{"error", parseError}});
}

/// Removes every "--<flag> value" and "--<flag>=value" from the arguments and
/// returns the values; Abseil keeps only the last value of a repeated flag.
inline std::vector<std::string> extractRepeatedFlag(int &argc, char **argv,
                                                    const std::string &flag) {
  std::vector<std::string> values;
  int kept = 1;
  for (int i = 1; i < argc; ++i) {
    std::string arg = argv[i];
    if (arg == "--" + flag && i + 1 < argc)
      values.push_back(argv[++i]);
    else if (arg.starts_with("--" + flag + "="))
      values.push_back(arg.substr(flag.size() + 3));
    else
      argv[kept++] = argv[i];
  }
  argc = kept;
  return values;
}

inline model::Address parseAddress(const std::string &text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    std::cerr << "not an ip:port address: " << text << "\n";
    std::exit(2);
  }
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

inline std::int64_t wallMicros(const base::Clock &clock) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             clock.wallNow().time_since_epoch())
      .count();
}

/// A JSON Lines log. The field "us" of each line is the wall-clock time in
/// microseconds.
class JsonLog {
public:
  JsonLog(const std::string &path, const base::Clock &clock) : Time(clock) {
    if (path.empty())
      return;
    Out.open(path, std::ios::app);
    if (!Out) {
      std::cerr << "cannot write " << path << "\n";
      std::exit(2);
    }
  }
  void write(json::object line) {
    if (!Out.is_open())
      return;
    line["us"] = wallMicros(Time);
    Out << json::serialize(line) << std::endl;
  }

private:
  const base::Clock &Time;
  std::ofstream Out;
};

/// Creates and starts a server; exits with status 2 on failure.
inline std::unique_ptr<platform::HttpServer>
startServerOrExit(asio::io_context &io, const model::Address &listen,
                  platform::HttpServer::Handler handler,
                  std::size_t bodyBytes = 4 * 1024 * 1024) {
  platform::HttpServerOptions options;
  options.Listen = listen;
  options.Limits.BodyBytes = bodyBytes;
  auto server = std::make_unique<platform::HttpServer>(
      io.get_executor(), options, std::move(handler));
  auto started = server->start();
  if (!started) {
    std::cerr << started.error().message() << "\n";
    std::exit(2);
  }
  return server;
}

/// Prints "listening <ip>:<port>" and runs until SIGTERM or SIGINT.
inline void runUntilSignal(asio::io_context &io, const model::Address &shown) {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { io.stop(); });
  std::cout << "listening " << shown.str() << std::endl;
  io.run();
}

} // namespace endivedoor::standin

#endif
