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

/// Short enough to leave time for another target if one is unreachable.
constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr auto ExpiryCheckInterval = std::chrono::seconds(1);

/// A parsed request to a service.
struct CallerServer::Call {
  HttpRequest &Request;
  base::ServiceName Service;
  std::string RequestId;
  std::string Key;
  base::TimePoint Deadline;
  platform::HttpHeaders Headers;
};

/// The result of sending a request to a target.
struct CallerServer::Exchange {
  Outcome RequestOutcome = Outcome::NotRun;
  HttpResponse Answer;
  base::Error Cause;
};

static platform::HttpClientOptions clientOptions(const model::Settings &config,
                                                 ThreadConnections &gate) {
  platform::HttpClientOptions options;
  options.Limits = {config.Limits.HeaderBytes, config.Limits.BodyBytes};
  options.ConnectTimeout = ConnectTimeout;
  options.Limiter = &gate;
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
  options.MakeErrorResponse = detail::protocolErrorResponse;
  options.Budget = std::make_shared<platform::ByteBudget>(
      config.Limits.CallerMemory / threads);
  options.ReusePort = true;
  return options;
}

/// Divides the queue limit of each service among the traffic threads.
static std::size_t queueLimitPerThread(const model::Settings &config) {
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
                        LoadBalancer.wakeAll();
                    });
                  }),
      Client(executor, clientOptions(context.Config, Connections),
             context.Clock),
      LoadBalancer(executor, context.Routes, Client, Connections, context.Clock,
                   queueLimitPerThread(context.Config), seed),
      ThreadMetrics(context.ProcessMetrics.addShard()), Random(seed),
      ExpiryTimer(executor),
      Server(
          executor, serverOptions(context.Config, std::move(listen)),
          [this](HttpRequest request) { return handle(std::move(request)); }) {}

base::Result<void> CallerServer::start() {
  BOOST_OUTCOME_TRYV(Server.start());
  asio::co_spawn(Executor, closeExpiredConnections(), asio::detached);
  return base::success();
}

void CallerServer::routesChanged() {
  asio::post(Executor, [this] { LoadBalancer.wakeAll(); });
}

asio::awaitable<void> CallerServer::closeExpiredConnections() {
  while (true) {
    ExpiryTimer.expires_after(ExpiryCheckInterval);
    auto [ec] =
        co_await ExpiryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
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
  base::TimePoint start = Context.Clock.now();
  HttpResponse response = co_await route(request);
  if (request.Path.starts_with("/s/")) {
    ThreadMetrics.increment(counterOf(response));
    ThreadMetrics.observe(Context.Clock.now() - start);
  }
  co_return response;
}

asio::awaitable<HttpResponse> CallerServer::route(HttpRequest &request) {
  if (request.Path.starts_with("/s/"))
    co_return co_await handleServiceRequest(request);
  if (!request.Path.starts_with("/v1/jobs"))
    co_return errorResponse({Errc::PathUnknown, request.Path});
  ThreadMetrics.increment(Counter::JobCalls);
  co_return co_await platform::runOn(Context.ControlExecutor,
                                     Context.Jobs.handle(std::move(request)));
}

base::Result<CallerServer::Call> CallerServer::parseCall(HttpRequest &request) {
  BOOST_OUTCOME_TRY(detail::CallHeaders headers,
                    detail::readCallHeaders(request.Headers));
  std::string_view service = detail::serviceFromPath(request.Path);
  if (service.empty())
    return base::fail(Errc::PathUnknown, request.Path);
  std::chrono::milliseconds maxTimeout = Context.Config.Timing.RequestTimeout;
  base::Duration timeout =
      std::min(headers.Deadline.value_or(maxTimeout), maxTimeout);
  if (headers.RequestId.empty())
    headers.RequestId = newRequestId();
  return Call{request,
              base::ServiceName(std::string(service)),
              headers.RequestId,
              std::move(headers.Key),
              Context.Clock.now() + timeout,
              detail::forwardedHeaders(request.Headers, headers.RequestId)};
}

static HttpResponse toResponse(Outcome outcome, HttpResponse answer,
                               const base::Error &cause) {
  if (outcome != Outcome::Answered)
    return errorResponse(cause);
  detail::removeHopByHopHeaders(answer.Headers);
  detail::setOutcome(answer, Outcome::Answered);
  return answer;
}

/// Sets the X-Request-Id of an answer to that of the request. A recorded answer
/// still has the id of the first request.
static void setRequestId(HttpResponse &response, const std::string &id) {
  std::erase_if(response.Headers, [](const auto &it) {
    return boost::beast::iequals(it.first, detail::RequestIdHeader);
  });
  response.Headers.emplace_back(detail::RequestIdHeader, id);
}

asio::awaitable<HttpResponse>
CallerServer::handleServiceRequest(HttpRequest &request) {
  base::Result<Call> read = parseCall(request);
  if (!read)
    co_return errorResponse(read.error());
  Call &call = read.value();
  Context.Retries.addRequest();
  HttpResponse response;
  if (!call.Key.empty()) {
    response = co_await runBooking(call);
  } else {
    Exchange exchange = co_await sendWithRetries(call, RetryPolicy::WhenNotRun);
    response = toResponse(exchange.RequestOutcome, std::move(exchange.Answer),
                          exchange.Cause);
  }
  setRequestId(response, call.RequestId);
  co_return response;
}

asio::awaitable<HttpResponse> CallerServer::runBooking(Call &call) {
  // Without a target, the claim would have to be released again.
  if (!Context.Routes.load()->find(call.Service.str()))
    co_return errorResponse({Errc::NoTarget, call.Service.str()});
  BookingRequest booking{call.Service, call.Key,
                         requestFingerprint(call.Request),
                         std::chrono::ceil<std::chrono::milliseconds>(
                             call.Deadline - Context.Clock.now())};
  base::Result<ClaimOutcome> outcome = co_await platform::runOn(
      Context.ControlExecutor, Context.Booking.claim(std::move(booking)));
  if (!outcome) {
    ThreadMetrics.increment(Counter::BookingsRefused);
    co_return errorResponse(outcome.error());
  }
  if (!outcome.value().Claim) {
    ThreadMetrics.increment(Counter::BookingsRepeated);
    co_return toResponse(Outcome::Answered,
                         std::move(outcome.value().RecordedAnswer), {});
  }
  ThreadMetrics.increment(Counter::BookingsClaimed);
  Exchange exchange = co_await sendWithRetries(call, RetryPolicy::WhenNotSent);
  co_await completeBooking(std::move(*outcome.value().Claim), exchange);
  co_return toResponse(exchange.RequestOutcome, std::move(exchange.Answer),
                       exchange.Cause);
}

asio::awaitable<void> CallerServer::completeBooking(BookingClaim claim,
                                                    const Exchange &exchange) {
  Bookings &booking = Context.Booking;
  if (exchange.RequestOutcome == Outcome::NotRun) {
    asio::post(Context.ControlExecutor, [&booking, claim = std::move(claim)] {
      booking.release(claim);
    });
    co_return;
  }
  auto recorded = exchange.RequestOutcome == Outcome::Answered
                      ? booking.recordAnswer(std::move(claim), exchange.Answer)
                      : booking.recordUnknown(std::move(claim));
  co_await asio::co_spawn(Context.ControlExecutor, std::move(recorded),
                          asio::use_awaitable);
}

/// Returns whether a request that did not run may be sent to another target.
static bool mayRetry(Errc code, bool onlyWhenNotSent) {
  return code == Errc::HttpNotSent ||
         (code == Errc::TargetRefused && !onlyWhenNotSent);
}

asio::awaitable<CallerServer::Exchange>
CallerServer::sendWithRetries(Call &call, RetryPolicy retryPolicy) {
  Balancer::TriedTargets tried;
  Exchange last;
  while (true) {
    base::Result<TargetPermit> permit =
        co_await LoadBalancer.acquire(call.Service.str(), call.Deadline, tried);
    if (!permit) {
      // After a refusal, report that refusal rather than the lack of other
      // targets.
      if (tried.empty())
        last.Cause = permit.error();
      co_return last;
    }
    last = co_await sendOnce(call, permit.value());
    if (last.RequestOutcome != Outcome::NotRun)
      co_return last;
    // Another thread took the last connection; wait for a target again.
    if (last.Cause.Code == Errc::HttpNoConnection)
      continue;
    if (!mayRetry(last.Cause.Code, retryPolicy == RetryPolicy::WhenNotSent) ||
        !Context.Retries.tryRetry())
      co_return last;
    ThreadMetrics.increment(Counter::Retries);
    tried.push_back(permit.value().target());
  }
}

static bool isRefusal(const HttpResponse &answer) {
  return answer.Status == 503 &&
         platform::findHeader(answer.Headers, "X-Not-Run") == "1";
}

asio::awaitable<CallerServer::Exchange>
CallerServer::sendOnce(Call &call, TargetPermit &permit) {
  Exchange exchange;
  base::TimePoint start = Context.Clock.now();
  auto remaining =
      std::chrono::floor<std::chrono::milliseconds>(call.Deadline - start);
  if (remaining <= std::chrono::milliseconds(0)) {
    exchange.Cause = {Errc::DeadlinePassed, call.Service.str()};
    co_return exchange;
  }
  HttpRequest request{call.Request.Method, call.Request.Path, call.Headers,
                      call.Request.Body};
  request.Headers.emplace_back(detail::DeadlineHeader,
                               std::to_string(remaining.count()));
  auto accept = [&call](const HttpResponse &answer) {
    return answer.Status >= 200 &&
           platform::findHeader(answer.Headers, detail::RequestIdHeader) ==
               call.RequestId;
  };
  model::Address to = permit.target()->Endpoint;
  base::Result<HttpResponse> answer =
      co_await Client.send(to, std::move(request), remaining, accept);
  if (answer && !isRefusal(answer.value())) {
    permit.recordAnswer(Context.Clock.now() - start);
    exchange.RequestOutcome = Outcome::Answered;
    exchange.Answer = std::move(answer.value());
    co_return exchange;
  }
  if (answer) {
    permit.recordFailure();
    exchange.Cause = {Errc::TargetRefused, to.str()};
    co_return exchange;
  }
  exchange.Cause = answer.error();
  if (answer.error().Code == Errc::HttpNotSent) {
    permit.recordUnreachable();
  } else if (answer.error().Code != Errc::HttpNoConnection) {
    permit.recordFailure();
    exchange.RequestOutcome = Outcome::Unknown;
    exchange.Cause.Code = Errc::AnswerUnknown;
  }
  co_return exchange;
}

} // namespace endivedoor::server
