#include "detail/HttpCalls.h"

#include "endivedoor/platform/Adapters.h"

namespace endivedoor::platform {

namespace json = boost::json;
using base::Errc;
using base::fail;

/// Maximum number of tasks, reports or services accepted in one response.
constexpr std::size_t MaxItems = 65'536;
constexpr std::size_t MaxCheckpointBytes = 64 * 1024;
constexpr std::int64_t MaxAmount = 1'000'000'000;

static base::Resources readCapacity(const JsonView &it) {
  base::Resources r;
  r.Slots = static_cast<std::int32_t>(it.number("slots", 0, MaxAmount));
  r.Connections =
      static_cast<std::int32_t>(it.number("connections", 0, MaxAmount));
  r.Cpu = base::MilliCores{it.number("milliCores", 0, MaxAmount)};
  r.Memory = base::MebiBytes{it.number("memoryMb", 0, MaxAmount)};
  r.Accelerators = static_cast<std::int32_t>(
      it.optionalNumber("accelerators", 0, MaxAmount));
  return r;
}

static base::Attempt readAttempt(const JsonView &it) {
  return base::Attempt{
      static_cast<std::uint32_t>(it.number("attempt", 1, 0xffffffff))};
}

static std::chrono::milliseconds readMillis(const JsonView &it,
                                            std::string_view key) {
  return std::chrono::milliseconds(
      it.optionalNumber(key, 0, MaxInt64 / 1000000));
}

static AttemptState readState(const JsonView &it) {
  constexpr std::pair<std::string_view, AttemptState> names[] = {
      {"running", AttemptState::Running},
      {"finished", AttemptState::Finished},
      {"failed", AttemptState::Failed},
      {"evicted", AttemptState::Evicted},
      {"stopped", AttemptState::Stopped}};
  std::string name = it.text("state");
  for (const auto &[text, state] : names)
    if (name == text)
      return state;
  it.setError("state", "is unknown");
  return AttemptState::Running;
}

static PlacementLease readLease(const JsonView &it) {
  PlacementLease lease;
  lease.Token = base::FencingToken{
      static_cast<std::uint64_t>(it.number("token", 1, MaxInt64))};
  lease.Sequence =
      static_cast<std::uint64_t>(it.number("leaseSeq", 0, MaxInt64));
  lease.BootId = it.text("boot");
  lease.Capacity = readCapacity(it.object("capacity"));
  return lease;
}

static RenewReply readRenewal(const JsonView &it) {
  RenewReply reply;
  reply.Sequence =
      static_cast<std::uint64_t>(it.number("leaseSeq", 0, MaxInt64));
  reply.BootId = it.text("boot");
  reply.Leaving = it.flag("leaving");
  // A missing list would be read as an empty one, and the owner would record
  // every attempt on the worker as ended.
  if (!it.has("tasks"))
    it.setError("tasks", "is missing");
  for (const JsonView &task : it.list("tasks", MaxItems))
    reply.Attempts.push_back(
        {base::TaskId(task.text("task")), readAttempt(task), readState(task),
         task.optionalText("checkpoint", MaxCheckpointBytes),
         static_cast<std::int32_t>(
             task.optionalNumber("throttlePercent", 0, 100))});
  for (const JsonView &usage : it.list("usage", MaxItems))
    reply.Usage.push_back(
        {base::TaskId(usage.text("task")), readAttempt(usage),
         base::MilliCores{usage.optionalNumber("milliCores", 0, MaxAmount)},
         base::MebiBytes{usage.optionalNumber("memoryMb", 0, MaxAmount)},
         readMillis(usage, "p95Ms"), readMillis(usage, "ageMs")});
  return reply;
}

static WorkerStatus readStatus(const JsonView &it) {
  WorkerStatus status;
  status.BootId = it.text("boot");
  status.Leaving = it.flag("leaving");
  status.Zone = base::ZoneId(it.text("zone"));
  status.Rack = base::RackId(it.text("rack"));
  status.Capacity = readCapacity(it.object("capacity"));
  for (const JsonView &service : it.list("services", MaxItems))
    status.Services.push_back({base::ServiceName(service.text("service")),
                               base::TaskId(service.text("task")),
                               readAttempt(service)});
  status.TaskCount =
      static_cast<std::int32_t>(it.optionalNumber("tasks", 0, MaxAmount));
  return status;
}

/// Returns the error for a response with an unexpected status.
static base::Error errorFromResponse(const model::Address &worker,
                                     const HttpResponse &response) {
  std::string error;
  std::string reason;
  if (base::Result<json::value> body = parseJson(response.Body))
    reason = JsonView(body.value(), error).optionalText("error", 64);
  std::string detail = worker.str() + ": " + reason;
  if (response.Status == 404 && reason == "unknown-attempt")
    return {Errc::AttemptUnknown, detail};
  if (response.Status == 409) {
    if (reason == "held")
      return {Errc::LeaseHeld, detail};
    if (reason == "stale-token" || reason == "lapsed")
      return {Errc::LeaseStale, detail};
    if (reason == "ended")
      return {Errc::AttemptEnded, detail};
    for (std::string_view it :
         {"old-sequence", "full", "leaving", "duplicate", "start-failed"})
      if (reason == it)
        return {Errc::StartRefused, reason};
  }
  return {Errc::PlatformAnswerInvalid,
          detail + " HTTP status " + std::to_string(response.Status)};
}

static json::object tokenBody(base::FencingToken token) {
  json::object body;
  body["token"] = toNumber(token);
  return body;
}

static json::object taskBody(const StartRequest &it) {
  return {{"task", it.Task.str()},
          {"attempt", toNumber(it.Attempt)},
          {"token", toNumber(it.Token)},
          {"leaseSeq", it.Sequence},
          {"job", it.Job.str()},
          {"class", it.Class.str()},
          {"kind", it.Kind == model::TaskKind::Service ? "service" : "batch"},
          {"service", it.Service.str()},
          {"slots", it.Resources.Slots},
          {"connections", it.Resources.Connections},
          {"milliCores", count(it.Resources.Cpu)},
          {"memoryMb", count(it.Resources.Memory)},
          {"accelerators", it.Resources.Accelerators},
          {"resume", it.ResumeCheckpoint},
          {"payload", it.Payload}};
}

namespace {

class HttpWorkerClient final : public WorkerClient {
public:
  HttpWorkerClient(HttpClient &client, std::chrono::milliseconds timeout)
      : Client(client), Timeout(timeout) {}

  Async<PlacementLease> claim(model::Address worker, std::string holder,
                              base::Epoch epoch,
                              std::chrono::milliseconds ttl) override;
  Async<RenewReply> renew(model::Address worker, RenewRequest request) override;
  Async<void> start(model::Address worker, StartRequest request) override;
  Async<std::string> evict(model::Address worker, AttemptRef attempt,
                           base::FencingToken token) override;
  Async<void> throttle(model::Address worker, AttemptRef attempt,
                       base::FencingToken token, std::int32_t percent) override;
  Async<void> stop(model::Address worker, AttemptRef attempt,
                   base::FencingToken token) override;
  Async<WorkerStatus> status(model::Address worker) override;

private:
  Async<std::string> call(model::Address worker, HttpRequest request,
                          unsigned expected);
  Async<std::string> postTaskAction(model::Address worker, AttemptRef attempt,
                                    std::string action, json::object body);

  HttpClient &Client;
  std::chrono::milliseconds Timeout;
};

Async<std::string> HttpWorkerClient::call(model::Address worker,
                                          HttpRequest request,
                                          unsigned expected) {
  base::Result<HttpResponse> response =
      co_await Client.send(worker, std::move(request), Timeout);
  if (!response)
    co_return fail(response.error().Code == Errc::HttpNotSent
                       ? Errc::WorkerUnreachable
                       : Errc::WorkerAnswerLost,
                   response.error().Detail);
  if (response.value().Status != expected)
    co_return boost::outcome_v2::failure(
        errorFromResponse(worker, response.value()));
  co_return std::move(response.value().Body);
}

Async<PlacementLease> HttpWorkerClient::claim(model::Address worker,
                                              std::string holder,
                                              base::Epoch epoch,
                                              std::chrono::milliseconds ttl) {
  json::object body{
      {"holder", holder}, {"epoch", toNumber(epoch)}, {"ttlMs", ttl.count()}};
  BOOST_OUTCOME_CO_TRY(
      std::string answer,
      co_await call(worker, detail::jsonPost("/v1/lease", body), 200));
  co_return detail::parseResponse(answer, readLease);
}

Async<RenewReply> HttpWorkerClient::renew(model::Address worker,
                                          RenewRequest request) {
  json::array acknowledged;
  for (const AttemptRef &it : request.Acknowledged)
    acknowledged.push_back(json::object{{"task", it.Task.str()},
                                        {"attempt", toNumber(it.Attempt)}});
  json::object body{{"holder", request.Holder},
                    {"token", toNumber(request.Token)},
                    {"ttlMs", request.Ttl.count()},
                    {"taskTtlMs", request.TaskTtl.count()},
                    {"ack", std::move(acknowledged)}};
  BOOST_OUTCOME_CO_TRY(
      std::string answer,
      co_await call(worker, detail::jsonPost("/v1/lease/renew", body), 200));
  co_return detail::parseResponse(answer, readRenewal);
}

Async<void> HttpWorkerClient::start(model::Address worker,
                                    StartRequest request) {
  HttpRequest post = detail::jsonPost("/v1/tasks", taskBody(request));
  BOOST_OUTCOME_CO_TRY(std::string answer,
                       co_await call(worker, std::move(post), 201));
  co_return base::success();
}

Async<std::string> HttpWorkerClient::postTaskAction(model::Address worker,
                                                    AttemptRef attempt,
                                                    std::string action,
                                                    json::object body) {
  body["attempt"] = toNumber(attempt.Attempt);
  std::string path =
      "/v1/tasks/" + encodePathSegment(attempt.Task.str()) + "/" + action;
  co_return co_await call(worker, detail::jsonPost(std::move(path), body), 200);
}

Async<std::string> HttpWorkerClient::evict(model::Address worker,
                                           AttemptRef attempt,
                                           base::FencingToken token) {
  BOOST_OUTCOME_CO_TRY(
      std::string answer,
      co_await postTaskAction(worker, attempt, "evict", tokenBody(token)));
  co_return detail::parseResponse(answer, [](const JsonView &it) {
    return it.optionalText("checkpoint", MaxCheckpointBytes);
  });
}

Async<void> HttpWorkerClient::throttle(model::Address worker,
                                       AttemptRef attempt,
                                       base::FencingToken token,
                                       std::int32_t percent) {
  json::object body = tokenBody(token);
  body["percent"] = percent;
  BOOST_OUTCOME_CO_TRY(
      std::string answer,
      co_await postTaskAction(worker, attempt, "throttle", std::move(body)));
  co_return base::success();
}

Async<void> HttpWorkerClient::stop(model::Address worker, AttemptRef attempt,
                                   base::FencingToken token) {
  BOOST_OUTCOME_CO_TRY(
      std::string answer,
      co_await postTaskAction(worker, attempt, "stop", tokenBody(token)));
  co_return base::success();
}

Async<WorkerStatus> HttpWorkerClient::status(model::Address worker) {
  HttpRequest request;
  request.Path = "/v1/status";
  BOOST_OUTCOME_CO_TRY(std::string answer,
                       co_await call(worker, std::move(request), 200));
  co_return detail::parseResponse(answer, readStatus);
}

} // namespace

std::unique_ptr<WorkerClient>
makeWorkerClient(HttpClient &client, std::chrono::milliseconds timeout) {
  return std::make_unique<HttpWorkerClient>(client, timeout);
}

} // namespace endivedoor::platform
