// An open-loop load generator for requests, bookings and batch jobs, with a
// limit on calls in flight. Latency is measured from the scheduled arrival
// time, so that a slow server cannot hide its delay (coordinated omission).
#include "support/Standin.h"

#include "endivedoor/platform/HttpClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

ABSL_FLAG(std::vector<std::string>, target, {}, "ip:port of the entry hosts");
ABSL_FLAG(double, rate, 100, "calls a second, Poisson");
ABSL_FLAG(double, seconds, 10, "time to generate calls for");
ABSL_FLAG(std::string, service, "orders", "service to call");
ABSL_FLAG(double, bookings, 0, "share of calls with an idempotency key");
ABSL_FLAG(double, repeats, 0, "share of bookings that repeat an earlier key");
ABSL_FLAG(double, jobs, 0, "share of calls that post a batch job");
ABSL_FLAG(double, cancels, 0, "share of job calls that cancel an earlier job");
ABSL_FLAG(std::string, job, "",
          "JSON fields of each job, over those of a small batch task");
ABSL_FLAG(int, deadline_ms, 0, "Endivedoor-Deadline-Ms; 0 sends none");
ABSL_FLAG(int, body_bytes, 0, "padding of each request body");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "time for each call");
ABSL_FLAG(int, max_in_flight, 2000, "calls beyond this number are skipped");
ABSL_FLAG(std::string, name, "c", "prefix of ids and keys");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random choices");
ABSL_FLAG(std::string, log, "", "file for a JSON line of each call");

namespace endivedoor::standin {

constexpr const char *DefaultJob = R"({
  "team": "planning", "contract": "karoo", "class": "sampling",
  "kind": "batch", "service": "", "tasks": 1, "slots": 1, "connections": 1,
  "milliCores": 1000, "memoryMb": 512, "accelerators": 0,
  "declaredRunTimeMs": 1000, "urgent": false, "payload": "{\"runMs\":1000}"})";

class Caller {
public:
  Caller(asio::io_context &io, const base::Clock &clock)
      : Io(io), Time(clock), Log(absl::GetFlag(FLAGS_log), clock),
        Client(io.get_executor(), clock,
               platform::HttpLimits{16 * 1024, 8 * 1024 * 1024}),
        Random(absl::GetFlag(FLAGS_seed)) {
    for (const std::string &it : absl::GetFlag(FLAGS_target))
      Targets.push_back(parseAddress(it));
  }

  Awaitable<void> run() {
    base::TimePoint next = Time.now();
    base::TimePoint last = next + seconds(absl::GetFlag(FLAGS_seconds));
    std::exponential_distribution<double> interval(absl::GetFlag(FLAGS_rate));
    asio::steady_timer timer(Io);
    while (next < last) {
      timer.expires_at(
          std::chrono::time_point_cast<std::chrono::steady_clock::duration>(
              next));
      co_await timer.async_wait(asio::use_awaitable);
      if (InFlight >= absl::GetFlag(FLAGS_max_in_flight))
        ++Outcomes["skipped"];
      else
        asio::co_spawn(Io, call(nextCall(), next), asio::detached);
      next += seconds(interval(Random));
    }
    while (InFlight > 0) {
      timer.expires_after(std::chrono::milliseconds(10));
      co_await timer.async_wait(asio::use_awaitable);
    }
    std::cout << json::serialize(summary()) << std::endl;
  }

  bool hasMismatch() const { return Mismatched > 0; }

private:
  struct Call {
    std::string Kind, Id, Key;
    model::Address To;
    HttpRequest Request;
  };
  struct Booking {
    std::string Path, Body;
    /// Ids of all calls with this key, and the body of the first complete
    /// response.
    std::set<std::string> Ids;
    std::string Answer;
  };

  static base::Duration seconds(double s) {
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(s));
  }

  bool randomBool(double share) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < share;
  }
  std::size_t randomIndex(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(Random);
  }

  Call nextCall() {
    Call call;
    call.Id = absl::GetFlag(FLAGS_name) + "-" + std::to_string(++Sent);
    call.To = Targets[randomIndex(Targets.size())];
    call.Request.Headers = {{"Content-Type", "application/json"},
                            {"X-Request-Id", call.Id}};
    if (randomBool(absl::GetFlag(FLAGS_jobs)))
      planJob(call);
    else
      planRequest(call);
    return call;
  }

  void planJob(Call &call) {
    if (!Jobs.empty() && randomBool(absl::GetFlag(FLAGS_cancels))) {
      call.Kind = "cancel";
      call.Request.Method = "DELETE";
      std::size_t n = randomIndex(Jobs.size());
      call.Request.Path = "/v1/jobs/" + Jobs[n];
      Jobs.erase(Jobs.begin() + static_cast<std::ptrdiff_t>(n));
      return;
    }
    json::object job = json::parse(DefaultJob).as_object();
    job["name"] = call.Id;
    if (std::string text = absl::GetFlag(FLAGS_job); !text.empty()) {
      json::value fields = json::parse(text);
      for (const auto &it : fields.as_object())
        job[it.key()] = it.value();
    }
    call.Kind = "job";
    call.Request.Method = "POST";
    call.Request.Path = "/v1/jobs";
    call.Request.Body = json::serialize(job);
  }

  void planRequest(Call &call) {
    call.Kind = "request";
    call.Request.Method = "POST";
    call.Request.Path = "/s/" + absl::GetFlag(FLAGS_service) + "/" + call.Id;
    call.Request.Body =
        "{\"call\":\"" + call.Id + "\",\"pad\":\"" +
        std::string(static_cast<std::size_t>(absl::GetFlag(FLAGS_body_bytes)),
                    'x') +
        "\"}";
    if (int ms = absl::GetFlag(FLAGS_deadline_ms); ms > 0)
      call.Request.Headers.emplace_back("Endivedoor-Deadline-Ms",
                                        std::to_string(ms));
    if (!randomBool(absl::GetFlag(FLAGS_bookings)))
      return;
    call.Kind = "booking";
    bool repeat = !Keys.empty() && randomBool(absl::GetFlag(FLAGS_repeats));
    // Repeats use one of the last 20 keys, whose first call may still be
    // running.
    call.Key = repeat
                   ? Keys[Keys.size() - 1 -
                          randomIndex(std::min<std::size_t>(Keys.size(), 20))]
                   : "key-" + call.Id;
    Booking &booking = Bookings[call.Key];
    if (!repeat) {
      Keys.push_back(call.Key);
      booking.Path = call.Request.Path;
      booking.Body = call.Request.Body;
    }
    call.Request.Path = booking.Path;
    call.Request.Body = booking.Body;
    booking.Ids.insert(call.Id);
    call.Request.Headers.emplace_back("Idempotency-Key", call.Key);
  }

  /// Returns a description of the mismatch in a complete response, or an empty
  /// string.
  std::string findMismatch(const Call &call, const HttpResponse &response) {
    if (call.Kind != "request" && call.Kind != "booking")
      return {};
    auto body = platform::parseJson(response.Body);
    if (!body)
      return "body is not JSON";
    std::string parseError;
    JsonView view(body.value(), parseError);
    if (view.optionalText("echo", 8 * 1024 * 1024) != call.Request.Body)
      return "body of another request";
    std::string bodyId = view.optionalText("requestId");
    std::string headerId(
        platform::findHeader(response.Headers, "X-Request-Id"));
    if (call.Kind == "request")
      return bodyId == call.Id && headerId == call.Id ? ""
                                                      : "id of another request";
    Booking &booking = Bookings[call.Key];
    if (!booking.Ids.contains(bodyId) || !booking.Ids.contains(headerId))
      return "id of another booking";
    if (booking.Answer.empty())
      booking.Answer = response.Body;
    return booking.Answer == response.Body ? "" : "booking ran twice";
  }

  Awaitable<void> call(Call call, base::TimePoint planned) {
    ++InFlight;
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_timeout)));
    base::Result<HttpResponse> response =
        co_await Client.send(call.To, call.Request, timeout);
    --InFlight;
    record(call, response,
           std::chrono::duration_cast<std::chrono::microseconds>(Time.now() -
                                                                 planned)
               .count());
  }

  void record(const Call &call, const base::Result<HttpResponse> &response,
              std::int64_t micros) {
    std::string outcome, mismatch, job;
    unsigned status = 0;
    if (!response) {
      bool notSent = response.error().Code == base::Errc::HttpNotSent;
      outcome = notSent ? "not-sent" : "lost";
    } else {
      status = response.value().Status;
      outcome =
          platform::findHeader(response.value().Headers, "Endivedoor-Outcome");
      if (outcome.empty())
        outcome = "http-" + std::to_string(status);
      if (status == 200)
        mismatch = findMismatch(call, response.value());
      if (call.Kind == "job" && status == 201)
        job = readJob(response.value().Body);
      if (status < 300)
        Latencies[call.Kind].push_back(micros);
    }
    ++Outcomes[call.Kind + " " + outcome];
    Mismatched += !mismatch.empty();
    Log.write({{"kind", call.Kind},
               {"id", call.Id},
               {"key", call.Key},
               {"target", call.To.str()},
               {"status", status},
               {"outcome", outcome},
               {"job", job},
               {"latencyUs", micros},
               {"fault", mismatch}});
  }

  std::string readJob(const std::string &body) {
    std::string parseError, id;
    if (auto value = platform::parseJson(body))
      id = JsonView(value.value(), parseError).optionalText("job");
    if (!id.empty())
      Jobs.push_back(id);
    return id;
  }

  json::object summary() {
    json::object all;
    for (auto &[kind, micros] : Latencies) {
      std::sort(micros.begin(), micros.end());
      auto quantileMs = [&sorted = micros](double q) {
        auto n = static_cast<double>(sorted.size() - 1);
        return static_cast<double>(sorted[static_cast<std::size_t>(n * q)]) /
               1000;
      };
      all[kind] = json::object{{"answered", micros.size()},
                               {"p50Ms", quantileMs(0.5)},
                               {"p99Ms", quantileMs(0.99)},
                               {"p999Ms", quantileMs(0.999)},
                               {"maxMs", quantileMs(1)}};
    }
    json::object outcomes;
    for (const auto &[name, n] : Outcomes)
      outcomes[name] = n;
    all["outcomes"] = std::move(outcomes);
    all["sent"] = Sent;
    all["mismatched"] = Mismatched;
    return all;
  }

  asio::io_context &Io;
  const base::Clock &Time;
  JsonLog Log;
  platform::HttpClient Client;
  std::mt19937_64 Random;
  std::vector<model::Address> Targets;
  std::vector<std::string> Keys, Jobs;
  std::map<std::string, Booking> Bookings;
  std::map<std::string, std::vector<std::int64_t>> Latencies;
  std::map<std::string, std::int64_t> Outcomes;
  std::int64_t Sent = 0, Mismatched = 0;
  int InFlight = 0;
};

} // namespace endivedoor::standin

int main(int argc, char **argv) {
  using namespace endivedoor;
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_target).empty()) {
    std::cerr << "--target is missing\n";
    return 2;
  }
  boost::asio::io_context io(1);
  base::SystemClock clock;
  standin::Caller caller(io, clock);
  boost::asio::co_spawn(io, caller.run(), boost::asio::detached);
  io.run();
  return caller.hasMismatch() ? 1 : 0;
}
