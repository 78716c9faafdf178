#include "Worker.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>

namespace endivedoor::standin {

using std::chrono::milliseconds;

static HttpResponse refuse(unsigned status, const std::string &reason) {
  return jsonResponse(status, {{"error", reason}});
}

/// Placeholder: withBody() replaces it with the first error of the body.
static HttpResponse badRequest() { return refuse(400, "body"); }

Worker::Worker(WorkerOptions options, const base::Clock &clock, JsonLog &log)
    : Options(std::move(options)), Time(clock), Log(log), Random(Options.Seed),
      TaskTtl(Options.TaskLease) {
  startNewBoot();
}

void Worker::startNewBoot() {
  // Tokens start at the wall time, so that they also increase across restarts.
  Token = std::max(Token, wallMicros(Time));
  Boot = Options.Name + "-" + std::to_string(Token);
  LeaseUntil = base::TimePoint::min();
  Epoch = 0;
  log("boot", {{"boot", Boot}, {"zone", Options.Zone}, {"rack", Options.Rack}});
}

void Worker::log(std::string event, json::object fields) {
  fields["event"] = event;
  fields["worker"] = Options.Name;
  Log.write(std::move(fields));
}

Awaitable<HttpResponse> Worker::handle(HttpRequest request) {
  if (Dead)
    co_return closeWithoutResponse();
  const std::string &path = request.Path;
  if (path.starts_with("/s/"))
    co_return co_await serve(std::move(request));
  if (path == "/v1/status" || path == "/admin/state")
    co_return status();
  if (request.Method != "POST")
    co_return refuse(405, "method");
  co_return handleJsonBody(request,
                           [&](const JsonView &body, const std::string &) {
                             if (path == "/v1/lease")
                               return claim(body);
                             if (path == "/v1/lease/renew")
                               return renew(body);
                             if (path == "/v1/tasks")
                               return start(body);
                             if (path.starts_with("/v1/tasks/"))
                               return handleTaskCommand(path, body);
                             return admin(path, body);
                           });
}

HttpResponse Worker::claim(const JsonView &body) {
  std::string holder = body.text("holder");
  std::int64_t epoch = body.number("epoch", 0, MaxInt64);
  milliseconds ttl(body.number("ttlMs", 1, 600'000));
  if (!body.ok())
    return badRequest();
  base::TimePoint now = Time.now();
  if (now < LeaseUntil && epoch <= Epoch) {
    log("claim-refused",
        {{"holder", holder}, {"epoch", epoch}, {"held", Holder}});
    return refuse(409, "held");
  }
  Holder = holder;
  Epoch = epoch;
  ++Token;
  LeaseSeq = 0;
  LeaseUntil = now + ttl;
  log("lease", {{"holder", holder}, {"epoch", epoch}, {"token", Token}});
  json::object answer{{"token", Token}, {"leaseSeq", LeaseSeq}, {"boot", Boot}};
  answer["capacity"] = capacity();
  return jsonResponse(200, answer);
}

std::string Worker::leaseError(std::int64_t token) const {
  if (token != Token)
    return "stale-token";
  return Time.now() < LeaseUntil ? "" : "lapsed";
}

HttpResponse Worker::renew(const JsonView &body) {
  std::int64_t token = body.number("token", 0, MaxInt64);
  std::string holder = body.text("holder");
  milliseconds ttl(body.number("ttlMs", 1, 600'000));
  milliseconds taskTtl(body.number("taskTtlMs", 1, 3'600'000));
  std::vector<JsonView> acknowledged = body.list("ack", 100'000);
  for (const JsonView &it : acknowledged) {
    it.text("task");
    it.number("attempt", 1, 0xffffffff);
  }
  if (!body.ok())
    return badRequest();
  std::string reason = holder != Holder ? "stale-token" : leaseError(token);
  if (!reason.empty()) {
    log("renew-refused",
        {{"holder", holder}, {"token", token}, {"reason", reason}});
    return refuse(409, reason);
  }
  base::TimePoint now = Time.now();
  LeaseUntil = now + ttl;
  TaskTtl = taskTtl;
  ++LeaseSeq;
  for (const JsonView &it : acknowledged) {
    auto found = KnownAttempts.find(
        {it.text("task"), it.number("attempt", 1, 0xffffffff)});
    if (found != KnownAttempts.end() && !found->second.isRunning())
      KnownAttempts.erase(found);
  }
  json::array tasks;
  for (auto &[key, attempt] : KnownAttempts) {
    if (attempt.isRunning())
      attempt.LeaseUntil = now + TaskTtl;
    tasks.push_back(json::object{{"task", key.first},
                                 {"attempt", key.second},
                                 {"state", attempt.State},
                                 {"checkpoint", attempt.Checkpoint},
                                 {"throttlePercent", attempt.Throttle}});
  }
  json::array usage;
  while (!Samples.empty() && Samples.front().At + Options.UsageDelay <= now) {
    json::object report = std::move(Samples.front().Report);
    report["ageMs"] =
        std::chrono::duration_cast<milliseconds>(now - Samples.front().At)
            .count();
    usage.push_back(std::move(report));
    Samples.pop_front();
  }
  json::object answer{
      {"leaseSeq", LeaseSeq}, {"boot", Boot}, {"leaving", Leaving}};
  answer["tasks"] = std::move(tasks);
  answer["usage"] = std::move(usage);
  return jsonResponse(200, answer);
}

/// A checkpoint id ends with the progress in ms, so that any worker can resume
/// from it.
static double progressOf(const std::string &checkpoint) {
  std::size_t separator = checkpoint.rfind("@");
  return separator == std::string::npos ? 0
                                        : std::atof(&checkpoint[separator + 1]);
}

static std::string checkpointOf(const std::string &task, std::int64_t attempt,
                                double progressMs) {
  return task + "." + std::to_string(attempt) + "@" +
         std::to_string(static_cast<std::int64_t>(progressMs));
}

bool Worker::readPayload(const std::string &text, TaskAttempt &attempt) {
  auto value = platform::parseJson(text.empty() ? "{}" : text);
  if (!value)
    return false;
  std::string parseError;
  JsonView payload(value.value(), parseError);
  attempt.RunMs = payload.optionalReal("runMs", 0, 1e9, 1000);
  attempt.ServiceMs = payload.optionalReal("serviceMs", 0, 60'000, 5);
  attempt.Noise = payload.optionalReal("noise", 0, 100, 0);
  attempt.UsedMilliCores = payload.optionalNumber("usedMilliCores", 0, 1 << 30,
                                                  count(attempt.Size.Cpu));
  attempt.UsedMemoryMb = payload.optionalNumber("usedMemoryMb", 0, 1 << 30,
                                                count(attempt.Size.Memory));
  double failRate = payload.optionalReal("failRate", 0, 1, 0);
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(Random) < failRate)
    attempt.FailAtMs = attempt.ProgressMs +
                       uniform(Random) * (attempt.RunMs - attempt.ProgressMs);
  return parseError.empty();
}

std::string Worker::startRefusal(const JsonView &body, const AttemptKey &key,
                                 const TaskAttempt &attempt) {
  std::string reason = leaseError(body.number("token", 0, MaxInt64));
  if (!reason.empty())
    return reason;
  if (body.number("leaseSeq", 0, MaxInt64) + 2 < LeaseSeq)
    return "old-sequence";
  if (Leaving)
    return "leaving";
  base::Resources free = Options.Capacity;
  for (const auto &[other, it] : KnownAttempts) {
    if (other.first == key.first &&
        (it.isRunning() || other.second >= key.second))
      return "duplicate";
    if (it.isRunning())
      free -= it.Size;
  }
  if (!attempt.Size.fitsIn(free))
    return "full";
  return FailStarts == "refuse" ? "start-failed" : "";
}

HttpResponse Worker::start(const JsonView &body) {
  AttemptKey key{body.text("task"), body.number("attempt", 1, 0xffffffff)};
  TaskAttempt attempt;
  attempt.Job = body.optionalText("job");
  attempt.Class = body.optionalText("class");
  attempt.Service = body.optionalText("service");
  attempt.IsService = body.text("kind") == "service";
  attempt.Size = {
      static_cast<std::int32_t>(body.optionalNumber("slots", 0, 1 << 30)),
      static_cast<std::int32_t>(body.optionalNumber("connections", 0, 1 << 30)),
      base::MilliCores{body.optionalNumber("milliCores", 0, 1 << 30)},
      base::MebiBytes{body.optionalNumber("memoryMb", 0, 1 << 30)},
      static_cast<std::int32_t>(
          body.optionalNumber("accelerators", 0, 1 << 30))};
  std::string resume = body.optionalText("resume", 64 * 1024);
  attempt.ProgressMs = progressOf(resume);
  std::string refusal = startRefusal(body, key, attempt);
  std::string payload = body.optionalText("payload", 1024 * 1024);
  if (!body.ok())
    return badRequest();
  if (refusal.empty() && !readPayload(payload, attempt))
    refusal = "start-failed";
  if (!refusal.empty()) {
    log("start-refused",
        {{"task", key.first}, {"attempt", key.second}, {"reason", refusal}});
    return refuse(409, refusal);
  }
  if (FailStarts == "fail")
    attempt.FailAtMs = attempt.ProgressMs;
  attempt.ProgressAt = Time.now();
  attempt.LeaseUntil = attempt.ProgressAt + TaskTtl;
  log("start", {{"task", key.first},
                {"attempt", key.second},
                {"job", attempt.Job},
                {"class", attempt.Class},
                {"service", attempt.Service},
                {"token", Token},
                {"slots", attempt.Size.Slots},
                {"connections", attempt.Size.Connections},
                {"milliCores", count(attempt.Size.Cpu)},
                {"memoryMb", count(attempt.Size.Memory)}});
  if (!resume.empty())
    log("resume", {{"task", key.first},
                   {"attempt", key.second},
                   {"checkpoint", resume},
                   {"progressMs", attempt.ProgressMs}});
  KnownAttempts.emplace(key, std::move(attempt));
  return jsonResponse(201, json::object());
}

HttpResponse Worker::handleTaskCommand(const std::string &path,
                                       const JsonView &body) {
  std::size_t first = std::string_view("/v1/tasks/").size();
  std::size_t slash = path.rfind('/');
  if (slash <= first)
    return refuse(404, "path");
  std::string action = path.substr(slash + 1);
  AttemptKey key{platform::decodePathSegment(path.substr(first, slash - first)),
                 body.number("attempt", 1, 0xffffffff)};
  std::string reason = leaseError(body.number("token", 0, MaxInt64));
  std::int64_t percent = body.optionalNumber("percent", 0, 100);
  if (!body.ok())
    return badRequest();
  if (!reason.empty())
    return refuse(409, reason);
  auto found = KnownAttempts.find(key);
  if (found == KnownAttempts.end())
    return refuse(404, "unknown-attempt");
  TaskAttempt &attempt = found->second;
  // Evict and stop are idempotent: a retry after a lost response gets the same
  // response.
  const std::string endState = action == "evict" ? "evicted" : "stopped";
  if (action != "evict" && action != "stop" && action != "throttle")
    return refuse(404, "path");
  advance(key, attempt);
  if (!attempt.isRunning() && attempt.State != endState)
    return refuse(409, "ended");
  if (attempt.isRunning() && action == "throttle") {
    attempt.Throttle = percent;
    log("throttle",
        {{"task", key.first}, {"attempt", key.second}, {"percent", percent}});
  } else if (attempt.isRunning()) {
    end(key, attempt, endState, action);
  }
  return jsonResponse(200, {{"checkpoint", attempt.Checkpoint}});
}

void Worker::end(const AttemptKey &key, TaskAttempt &attempt,
                 const std::string &state, const std::string &reason) {
  attempt.State = state;
  if (!attempt.IsService && (state == "evicted" || state == "stopped"))
    attempt.Checkpoint =
        checkpointOf(key.first, key.second, attempt.ProgressMs);
  log(state == "evicted" ? "evict" : "end",
      {{"task", key.first},
       {"attempt", key.second},
       {"reason", reason},
       {"checkpoint", attempt.Checkpoint},
       {"progressMs", attempt.ProgressMs}});
}

void Worker::advance(const AttemptKey &key, TaskAttempt &attempt) {
  if (!attempt.isRunning())
    return;
  base::TimePoint now = Time.now();
  // If the process was paused past the end of the lease, progress stops there.
  base::TimePoint until = std::min(now, attempt.LeaseUntil);
  std::chrono::duration<double, std::milli> passed = until - attempt.ProgressAt;
  attempt.ProgressAt = until;
  attempt.ProgressMs += passed.count() * attempt.speed();
  if (attempt.FailAtMs >= 0 && attempt.ProgressMs >= attempt.FailAtMs)
    end(key, attempt, "failed", "failed");
  else if (!attempt.IsService && attempt.ProgressMs >= attempt.RunMs)
    end(key, attempt, "finished", "finished");
  else if (attempt.LeaseUntil <= now)
    end(key, attempt, "stopped", "task-lease-lapsed");
}

void Worker::tick() {
  if (Dead)
    return;
  for (auto &[key, attempt] : KnownAttempts)
    advance(key, attempt);
  if (Time.now() < NextSample)
    return;
  NextSample = Time.now() + Options.UsageInterval;
  takeSample();
}

void Worker::recordConnections(std::size_t open) {
  auto n = static_cast<std::int64_t>(open);
  if (n <= PeakConnections)
    return;
  PeakConnections = n;
  if (n > Options.Capacity.Connections)
    log("connections-over-limit", {{"open", n}});
}

void Worker::takeSample() {
  for (auto &[key, attempt] : KnownAttempts) {
    if (!attempt.isRunning())
      continue;
    double p95 = 0;
    if (!attempt.LatenciesMs.empty()) {
      std::vector<double> sorted(attempt.LatenciesMs.begin(),
                                 attempt.LatenciesMs.end());
      auto at = sorted.begin() +
                static_cast<std::ptrdiff_t>((sorted.size() - 1) * 95 / 100);
      std::nth_element(sorted.begin(), at, sorted.end());
      p95 = *at;
    }
    double speed = attempt.speed();
    Samples.push_back(
        {Time.now(),
         {{"task", key.first},
          {"attempt", key.second},
          {"milliCores",
           std::llround(static_cast<double>(attempt.UsedMilliCores) * speed)},
          {"memoryMb", attempt.UsedMemoryMb},
          {"p95Ms", static_cast<std::int64_t>(std::ceil(p95))}}});
  }
  // Bounds the queue while no lease holder collects the samples.
  while (Samples.size() > 4096)
    Samples.pop_front();
}

json::object Worker::capacity() const {
  const base::Resources &c = Options.Capacity;
  return {{"slots", c.Slots},
          {"connections", c.Connections},
          {"milliCores", count(c.Cpu)},
          {"memoryMb", count(c.Memory)},
          {"accelerators", c.Accelerators}};
}

HttpResponse Worker::status() const {
  json::array services;
  std::int64_t running = 0;
  for (const auto &[key, attempt] : KnownAttempts) {
    running += attempt.isRunning();
    if (attempt.isRunning() && attempt.IsService)
      services.push_back(json::object{{"service", attempt.Service},
                                      {"task", key.first},
                                      {"attempt", key.second}});
  }
  json::object answer{{"boot", Boot},
                      {"leaving", Leaving},
                      {"zone", Options.Zone},
                      {"rack", Options.Rack},
                      {"tasks", running},
                      {"peakRequests", PeakRequests},
                      {"peakConnections", PeakConnections}};
  answer["capacity"] = capacity();
  answer["services"] = std::move(services);
  return jsonResponse(200, answer);
}

HttpResponse Worker::admin(const std::string &path, const JsonView &body) {
  if (path == "/admin/fail-starts") {
    std::string mode = body.text("mode");
    if (mode != "off" && mode != "refuse" && mode != "fail")
      body.setError("mode", "is neither off, refuse nor fail");
    else
      FailStarts = mode;
  } else if (path == "/admin/leave") {
    bool on = !body.has("on") || body.flag("on");
    Leaving = body.ok() ? on : Leaving;
  } else if (path == "/admin/die") {
    milliseconds restart(body.optionalNumber("restartMs", 0, 86'400'000));
    if (body.ok())
      crash(restart);
  } else {
    return refuse(404, "path");
  }
  log("admin", {{"path", path}});
  return jsonResponse(200, json::object());
}

void Worker::crash(milliseconds restartAfter) {
  for (auto &[key, attempt] : KnownAttempts) {
    advance(key, attempt);
    if (attempt.isRunning())
      end(key, attempt, "died", "died");
  }
  KnownAttempts.clear();
  Samples.clear();
  Dead = true;
  RestartAt = restartAfter.count() > 0 ? Time.now() + restartAfter
                                       : base::TimePoint::max();
}

void Worker::restart() {
  Dead = false;
  Leaving = false;
  FailStarts = "off";
  startNewBoot();
}

Worker::Attempts::iterator Worker::selectAttempt(const std::string &service) {
  std::vector<Attempts::iterator> candidates;
  for (auto it = KnownAttempts.begin(); it != KnownAttempts.end(); ++it) {
    advance(it->first, it->second);
    if (it->second.isRunning() && it->second.IsService &&
        it->second.Service == service)
      candidates.push_back(it);
  }
  return candidates.empty() ? KnownAttempts.end()
                            : candidates[RequestsSeen++ % candidates.size()];
}

HttpResponse Worker::refuseRequest(const HttpRequest &request,
                                   std::string reason) {
  std::string id(platform::findHeader(request.Headers, "X-Request-Id"));
  log("request-refused", {{"id", id}, {"reason", reason}});
  HttpResponse response = refuse(503, reason);
  response.Headers.emplace_back("X-Not-Run", "1");
  response.Headers.emplace_back("X-Request-Id", id);
  return response;
}

Awaitable<HttpResponse> Worker::serve(HttpRequest request) {
  std::string service =
      request.Path.substr(3, request.Path.find_first_of("/?", 3) - 3);
  if (Leaving)
    co_return refuseRequest(request, "leaving");
  if (Requests >= Options.Capacity.Connections)
    co_return refuseRequest(request, "connections");
  auto target = selectAttempt(service);
  if (target == KnownAttempts.end())
    co_return refuseRequest(request, "not-running");
  std::string id(platform::findHeader(request.Headers, "X-Request-Id"));
  std::string key(platform::findHeader(request.Headers, "Idempotency-Key"));
  AttemptKey task = target->first;
  std::string boot = Boot;
  json::object fields{{"id", id},
                      {"key", key},
                      {"service", service},
                      {"task", task.first},
                      {"attempt", task.second}};
  log("request", std::move(fields));
  PeakRequests = std::max(PeakRequests, ++Requests);

  double noise = 0;
  for (const auto &[other, attempt] : KnownAttempts)
    if (attempt.isRunning() && !attempt.IsService)
      noise += attempt.Noise * attempt.speed();
  std::uniform_real_distribution<double> variation(0.75, 1.25);
  double ms = target->second.ServiceMs * (1 + noise) * variation(Random);
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::microseconds(std::llround(ms * 1000)));
  co_await timer.async_wait(asio::use_awaitable);
  --Requests;
  if (Dead || boot != Boot) {
    json::object cut{{"id", id}, {"reason", "died"}};
    log("request-cut", std::move(cut));
    co_return closeWithoutResponse();
  }
  auto found = KnownAttempts.find(task);
  if (found != KnownAttempts.end()) {
    found->second.LatenciesMs.push_back(ms);
    if (found->second.LatenciesMs.size() > 256)
      found->second.LatenciesMs.pop_front();
  }
  json::object answer{{"service", service},     {"requestId", id},
                      {"worker", Options.Name}, {"task", task.first},
                      {"attempt", task.second}, {"path", request.Path},
                      {"echo", request.Body}};
  HttpResponse response = jsonResponse(200, answer);
  response.Headers.emplace_back("X-Request-Id", id);
  co_return response;
}

} // namespace endivedoor::standin
