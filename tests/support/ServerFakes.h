/// \file
/// A caller server on one thread with its control side in memory.
#ifndef ENDIVEDOOR_TESTS_SUPPORT_SERVERFAKES_H
#define ENDIVEDOOR_TESTS_SUPPORT_SERVERFAKES_H

#include "support/FaultyStore.h"

#include "endivedoor/server/Server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace endivedoor::tests {

namespace asio = boost::asio;
using base::Errc;
using platform::HttpRequest;
using platform::HttpResponse;

/// Runs \p op on \p io until it ends, and returns its value.
template <typename T> T await(asio::io_context &io, asio::awaitable<T> op) {
  std::optional<T> out;
  auto run = [](asio::awaitable<T> inner,
                std::optional<T> &result) -> asio::awaitable<void> {
    result.emplace(co_await std::move(inner));
  };
  asio::co_spawn(io, run(std::move(op), out), [](std::exception_ptr e) {
    if (e)
      std::rethrow_exception(e);
  });
  io.restart();
  while (!out && io.run_one())
    ;
  return std::move(*out);
}

/// Lets \p io run for \p time.
inline void runFor(asio::io_context &io, std::chrono::milliseconds time) {
  io.restart();
  io.run_for(time);
}

/// Admits every job and knows one.
struct FakeControl : control::ControlApi {
  control::Configuration Config;
  std::optional<base::Error> InjectedError;
  std::vector<model::JobSpec> Admitted;

  platform::Async<base::JobId> admit(model::JobSpec job) override {
    if (InjectedError)
      co_return base::fail(InjectedError->Code, InjectedError->Detail);
    Admitted.push_back(job);
    co_return base::JobId("j-1");
  }
  platform::Async<void> cancel(base::JobId id) override {
    if (id.str() != "j-1")
      co_return base::fail(Errc::JobUnknown, id.str());
    co_return base::success();
  }
  base::Result<control::JobStatus> job(const base::JobId &id) const override {
    if (InjectedError)
      return base::fail(InjectedError->Code, InjectedError->Detail);
    if (id.str() != "j-1")
      return base::fail(Errc::JobUnknown, id.str());
    control::JobStatus status;
    status.Spec.Id = id;
    status.Tasks.resize(1);
    return status;
  }
  base::Result<std::vector<control::JobStatus>> jobs() const override {
    return std::vector<control::JobStatus>{job(base::JobId("j-1")).value()};
  }
  const control::Configuration &configuration() const override {
    return Config;
  }
  platform::Async<control::ChangeOutcome>
  putRules(std::string text, std::uint64_t baseVersion,
           std::string author) override {
    if (InjectedError)
      co_return base::fail(InjectedError->Code, InjectedError->Detail);
    bool accepted = baseVersion == Config.Version;
    if (accepted)
      Config = {baseVersion + 1, text, {}, {}, "w", author, 0};
    co_return control::ChangeOutcome{accepted, Config};
  }
  platform::Async<control::ChangeOutcome>
  setZoneOut(base::ZoneId zone, bool out, std::string author) override {
    if (zone.str() != "z1")
      co_return base::fail(Errc::ZoneUnknown, zone.str());
    ++Config.Version;
    Config.Author = author;
    if (out)
      Config.ZonesOut.insert(zone);
    else
      Config.ZonesOut.erase(zone);
    co_return control::ChangeOutcome{true, Config};
  }
  void offerConfiguration(const control::Configuration &) override {}
  std::vector<control::ZoneState> zones() const override {
    return {{base::ZoneId("z1"), false, "e1", base::Epoch{7}}};
  }
  std::vector<control::WorkerState> workers() const override {
    return std::vector<control::WorkerState>(1);
  }
};

/// A target whose answers are given by a function.
struct FakeTarget {
  using ResponseFunction = std::function<HttpResponse(const HttpRequest &)>;
  int Requests = 0;
  std::optional<HttpRequest> LastRequest;
  std::chrono::milliseconds Delay{0};
  ResponseFunction MakeResponse;
  platform::HttpServer Server;

  FakeTarget(asio::io_context &io, ResponseFunction reply)
      : MakeResponse(std::move(reply)),
        Server(io.get_executor(), options(),
               [this](HttpRequest r) { return handle(std::move(r)); }) {
    Server.start().value();
  }
  static platform::HttpServerOptions options() {
    platform::HttpServerOptions o;
    o.Listen = {"127.0.0.1", 0};
    return o;
  }
  asio::awaitable<HttpResponse> handle(HttpRequest request) {
    ++Requests;
    LastRequest = request;
    if (Delay.count() > 0) {
      asio::steady_timer timer(co_await asio::this_coro::executor, Delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    HttpResponse response = MakeResponse(request);
    co_return response;
  }
  model::Address address() const { return {"127.0.0.1", Server.port()}; }
};

/// Echoes the request id, as a worker does.
inline HttpResponse echo(const HttpRequest &request) {
  std::string id(platform::findHeader(request.Headers, "X-Request-Id"));
  return {200, {{"X-Request-Id", id}, {"X-Own", "1"}}, "ran:" + request.Body};
}
inline HttpResponse rejectNotRun(const HttpRequest &request) {
  HttpResponse response = echo(request);
  response.Status = 503;
  response.Headers.emplace_back("X-Not-Run", "1");
  return response;
}

/// An entry host without its daemon.
struct EntryHost {
  asio::io_context &Io;
  base::SystemClock Time;
  base::HybridClock Hybrid{Time};
  base::EventLog Events;
  model::Settings Config;
  server::RouteTableHolder Routes;
  server::ConnectionShare Share{8};
  server::RetryBudget Retries{Time};
  server::Metrics Totals;
  server::Bookings Booking;
  FakeControl Control;
  platform::HttpClient Client;
  server::JobEndpoints Jobs;
  std::unique_ptr<server::CallerServer> Callers;
  server::TargetList Targets;

  EntryHost(asio::io_context &io, platform::Store &store, std::string name,
            model::Settings config = {})
      : Io(io), Events(name, Hybrid, 100), Config(std::move(config)),
        Booking(io.get_executor(), store, Time, Events, base::InstanceId(name),
                7),
        Client(io.get_executor(), Time, platform::HttpLimits{}),
        Jobs(Control, Client, Time, std::chrono::seconds(1)) {
    Config.TrafficThreads = 1;
    Callers = std::make_unique<server::CallerServer>(
        io.get_executor(),
        server::TrafficContext{Config, Time, Routes, Share, Retries, Totals,
                               io.get_executor(), Booking, Jobs},
        model::Address{"127.0.0.1", 0}, 7);
    Callers->start().value();
  }

  void addTarget(model::Address to, std::string zone = "z1") {
    Share.setCapacity(to, 64);
    Targets.push_back(std::make_shared<server::Target>(
        base::ServiceName("orders"),
        base::WorkerId("w" + std::to_string(Targets.size())),
        base::ZoneId(zone), to, 8));
    Routes.publish(std::make_shared<server::RouteTable>(
        Targets, base::ZoneId("z1"), std::vector<base::ZoneId>{}));
  }

  platform::Async<HttpResponse> call(HttpRequest request) {
    return Client.send({"127.0.0.1", Callers->port()}, std::move(request),
                       std::chrono::seconds(5));
  }
  HttpResponse send(HttpRequest request) {
    return await(Io, call(std::move(request))).value();
  }
};

inline std::string outcomeOf(const HttpResponse &response) {
  return std::string(
      platform::findHeader(response.Headers, "Endivedoor-Outcome"));
}

} // namespace endivedoor::tests

#endif
