#include "endivedoor/server/CallerServer.h"

#include "detail/Answers.h"
#include "detail/CallHeaders.h"

#include "endivedoor/platform/RunOn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

namespace endivedoor::server {

namespace asio = boost::asio;
using base::Errc;
using detail::errorResponse;
using detail::Outcome;
using platform::HttpRequest;
using platform::HttpResponse;

/// A target that cannot be reached leaves time for another one.
constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr auto SweepInterval = std::chrono::seconds(1);

/// A request on its way to a target.
struct CallerServer::Call {
  HttpRequest &Request;
  base::ServiceName Service;
  std::string RequestId;
  std::string Key;
  base::TimePoint Deadline;
  platform::HttpHeaders Headers;
};

/// What became of a request that was to be sent to a target.
struct CallerServer::Exchange {
  Outcome What = Outcome::NotRun;
  HttpResponse Answer;
  base::Error Cause;
};

static platform::HttpClientOptions clientOptions(const model::Settings &config,
                                                 ThreadConnections &gate) {
  platform::HttpClientOptions options;
  options.Limits = {config.Limits.HeaderBytes, config.Limits.BodyBytes};
  options.ConnectTimeout = ConnectTimeout;
  options.Gate = &gate;
  return options;
}

static platform::HttpServerOptions serverOptions(const model::Settings &config,
                                                 model::Address listen) {
  auto threads = static_cast<std::size_t>(std::max(1, config.TrafficThreads));
  platform::HttpServerOptions options;
  options.Listen = std::move(listen);
  options.Limits = {config.Limits.HeaderBytes, config.Limits.BodyBytes};
  options.MaxConnections =
      std::max<std::size_t>(1, config.Limits.CallerConnections / threads);
  options.Refuse = detail::protocolRefusal;
  options.ReusePort = true;
  return options;
}

/// The queue of each service is divided among the traffic threads.
static std::size_t queueShare(const model::Settings &config) {
  auto threads = static_cast<std::size_t>(std::max(1, config.TrafficThreads));
  return std::max<std::size_t>(1, config.Limits.QueuedRequests / threads);
}

CallerServer::CallerServer(asio::any_io_executor executor,
                           TrafficContext context, model::Address listen,
                           std::uint64_t seed)
    : Executor(executor), Context(context),
      Connections(context.Share,
                  [this](const model::Address &worker, bool wanted) {
                    asio::post(Executor, [this, worker, wanted] {
                      if (wanted)
                        Client.closeIdle(worker);
                      else
                        Targets.wakeAll();
                    });
                  }),
      Client(executor, clientOptions(context.Config, Connections),
             context.Time),
      Targets(executor, context.Routes, Client, Connections, context.Time,
              queueShare(context.Config), seed),
      Counts(context.Totals.addShard()), Random(seed), Sweep(executor),
      Server(
          executor, serverOptions(context.Config, std::move(listen)),
          [this](HttpRequest request) { return handle(std::move(request)); }) {}

base::Result<void> CallerServer::start() {
  BOOST_OUTCOME_TRYV(Server.start());
  asio::co_spawn(Executor, closeExpired(), asio::detached);
  return base::success();
}

void CallerServer::routesChanged() {
  asio::post(Executor, [this] { Targets.wakeAll(); });
}

asio::awaitable<void> CallerServer::closeExpired() {
  while (true) {
    Sweep.expires_after(SweepInterval);
    auto [ec] = co_await Sweep.async_wait(asio::as_tuple(asio::use_awaitable));
    if (ec)
      co_return;
    Client.closeExpired();
  }
}

std::string CallerServer::newRequestId() {
  char buf[33];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(Random()),
                static_cast<unsigned long long>(Random()));
  return buf;
}

static Counter counterOf(const HttpResponse &response) {
  std::string_view outcome =
      platform::findHeader(response.Headers, "Endivedoor-Outcome");
  if (outcome == detail::outcomeName(Outcome::Answered))
    return Counter::RequestsAnswered;
  return outcome == detail::outcomeName(Outcome::NotRun)
             ? Counter::RequestsNotRun
             : Counter::RequestsUnknown;
}

asio::awaitable<HttpResponse> CallerServer::handle(HttpRequest request) {
  base::TimePoint start = Context.Time.now();
  HttpResponse response = co_await route(request);
  if (request.Path.starts_with("/s/")) {
    Counts.add(counterOf(response));
    Counts.observe(Context.Time.now() - start);
  }
  co_return response;
}

asio::awaitable<HttpResponse> CallerServer::route(HttpRequest &request) {
  if (request.Path.starts_with("/s/"))
    co_return co_await handleService(request);
  if (!request.Path.starts_with("/v1/jobs"))
    co_return errorResponse({Errc::PathUnknown, request.Path});
  Counts.add(Counter::JobCalls);
  co_return co_await platform::runOn(Context.Control,
                                     Context.Jobs.handle(std::move(request)));
}

base::Result<CallerServer::Call> CallerServer::readCall(HttpRequest &request) {
  BOOST_OUTCOME_TRY(detail::CallHeaders headers,
                    detail::readCallHeaders(request.Headers));
  std::string_view service = detail::serviceOf(request.Path);
  if (service.empty())
    return base::fail(Errc::PathUnknown, request.Path);
  std::chrono::milliseconds longest = Context.Config.Timing.RequestTimeout;
  base::Duration left = std::min(headers.Deadline.value_or(longest), longest);
  if (headers.RequestId.empty())
    headers.RequestId = newRequestId();
  return Call{request,
              base::ServiceName(std::string(service)),
              headers.RequestId,
              std::move(headers.Key),
              Context.Time.now() + left,
              detail::forwardedHeaders(request.Headers, headers.RequestId)};
}

static HttpResponse toResponse(Outcome outcome, HttpResponse answer,
                               const base::Error &cause) {
  if (outcome != Outcome::Answered)
    return errorResponse(cause);
  detail::removeHopHeaders(answer.Headers);
  detail::setOutcome(answer, Outcome::Answered);
  return answer;
}

/// Replaces the X-Request-Id of an answer by that of the request; a recorded
/// answer has the one of the first request.
static void setRequestId(HttpResponse &response, const std::string &id) {
  std::erase_if(response.Headers, [](const auto &it) {
    return boost::beast::iequals(it.first, detail::RequestIdHeader);
  });
  response.Headers.emplace_back(detail::RequestIdHeader, id);
}

asio::awaitable<HttpResponse>
CallerServer::handleService(HttpRequest &request) {
  base::Result<Call> read = readCall(request);
  if (!read)
    co_return errorResponse(read.error());
  Call &call = read.value();
  Context.Retries.addRequest();
  HttpResponse response;
  if (!call.Key.empty()) {
    response = co_await runBooking(call);
  } else {
    Exchange exchange = co_await run(call, Repeat::WhenNotRun);
    response =
        toResponse(exchange.What, std::move(exchange.Answer), exchange.Cause);
  }
  setRequestId(response, call.RequestId);
  co_return response;
}

asio::awaitable<HttpResponse> CallerServer::runBooking(Call &call) {
  // Without a target the claim would only be released again.
  if (!Context.Routes.load()->find(call.Service.str()))
    co_return errorResponse({Errc::NoTarget, call.Service.str()});
  BookingRequest booking{call.Service, call.Key,
                         requestFingerprint(call.Request),
                         std::chrono::ceil<std::chrono::milliseconds>(
                             call.Deadline - Context.Time.now())};
  base::Result<ClaimOutcome> outcome = co_await platform::runOn(
      Context.Control, Context.Booking.claim(std::move(booking)));
  if (!outcome) {
    Counts.add(Counter::BookingsRefused);
    co_return errorResponse(outcome.error());
  }
  if (!outcome.value().Claim) {
    Counts.add(Counter::BookingsRepeated);
    co_return toResponse(Outcome::Answered, std::move(outcome.value().Recorded),
                         {});
  }
  Counts.add(Counter::BookingsClaimed);
  Exchange exchange = co_await run(call, Repeat::WhenNotSent);
  co_await settleBooking(std::move(*outcome.value().Claim), exchange);
  co_return toResponse(exchange.What, std::move(exchange.Answer),
                       exchange.Cause);
}

asio::awaitable<void> CallerServer::settleBooking(BookingClaim claim,
                                                  const Exchange &exchange) {
  Bookings &booking = Context.Booking;
  if (exchange.What == Outcome::NotRun) {
    asio::post(Context.Control, [&booking, claim = std::move(claim)] {
      booking.release(claim);
    });
    co_return;
  }
  auto recorded = exchange.What == Outcome::Answered
                      ? booking.recordAnswer(std::move(claim), exchange.Answer)
                      : booking.recordUnknown(std::move(claim));
  co_await asio::co_spawn(Context.Control, std::move(recorded),
                          asio::use_awaitable);
}

/// Returns whether a request that did not run may be sent to another target.
static bool mayRepeat(Errc code, bool onlyWhenNotSent) {
  return code == Errc::HttpNotSent ||
         (code == Errc::TargetRefused && !onlyWhenNotSent);
}

asio::awaitable<CallerServer::Exchange> CallerServer::run(Call &call,
                                                          Repeat repeat) {
  Balancer::TriedTargets tried;
  Exchange last;
  while (true) {
    base::Result<TargetUse> use =
        co_await Targets.acquire(call.Service.str(), call.Deadline, tried);
    if (!use) {
      // After a refusal, that refusal is the cause, not the lack of others.
      if (tried.empty())
        last.Cause = use.error();
      co_return last;
    }
    last = co_await sendOnce(call, use.value());
    if (last.What != Outcome::NotRun)
      co_return last;
    // Another thread took the last connection; the request waits again.
    if (last.Cause.Code == Errc::HttpNoConnection)
      continue;
    if (!mayRepeat(last.Cause.Code, repeat == Repeat::WhenNotSent) ||
        !Context.Retries.tryRetry())
      co_return last;
    Counts.add(Counter::Retries);
    tried.push_back(use.value().target());
  }
}

static bool isRefusal(const HttpResponse &answer) {
  return answer.Status == 503 &&
         platform::findHeader(answer.Headers, "X-Not-Run") == "1";
}

asio::awaitable<CallerServer::Exchange> CallerServer::sendOnce(Call &call,
                                                               TargetUse &use) {
  Exchange exchange;
  base::TimePoint start = Context.Time.now();
  auto left =
      std::chrono::floor<std::chrono::milliseconds>(call.Deadline - start);
  if (left <= std::chrono::milliseconds(0)) {
    exchange.Cause = {Errc::DeadlinePassed, call.Service.str()};
    co_return exchange;
  }
  HttpRequest request{call.Request.Method, call.Request.Path, call.Headers,
                      call.Request.Body};
  request.Headers.emplace_back(detail::DeadlineHeader,
                               std::to_string(left.count()));
  auto accept = [&call](const HttpResponse &answer) {
    return answer.Status >= 200 &&
           platform::findHeader(answer.Headers, detail::RequestIdHeader) ==
               call.RequestId;
  };
  model::Address to = use.target()->Endpoint;
  base::Result<HttpResponse> answer =
      co_await Client.send(to, std::move(request), left, accept);
  if (answer && !isRefusal(answer.value())) {
    use.answered(Context.Time.now() - start);
    exchange.What = Outcome::Answered;
    exchange.Answer = std::move(answer.value());
    co_return exchange;
  }
  if (answer) {
    use.failed();
    exchange.Cause = {Errc::TargetRefused, to.str()};
    co_return exchange;
  }
  exchange.Cause = answer.error();
  if (answer.error().Code == Errc::HttpNotSent) {
    use.unreachable();
  } else if (answer.error().Code != Errc::HttpNoConnection) {
    use.failed();
    exchange.What = Outcome::Unknown;
    exchange.Cause.Code = Errc::AnswerUnknown;
  }
  co_return exchange;
}

} // namespace endivedoor::server
