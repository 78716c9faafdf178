#include "Callers.h"

#include "Wire.h"

#include "endivedoor/dispatch/Records.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace endivedoor::soak {

namespace json = boost::json;
using model::JobNumber;
using platform::HttpResponse;
using standin::ObservedJob;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Time for which a caller waits for a response, the same as for the users'
/// callers.
constexpr auto RequestTimeout = 3000ms;
/// Part of the workers' CPU that long-running tasks may fill. The others need
/// up to 2.5 of 8 cores on one worker, also on workers of reduced capacity.
constexpr int MaxLongRunningPercent = 25;
/// Maximum number of attempts to submit a job.
constexpr int SubmitAttempts = 5;

Callers::Callers(asio::io_context &io, const base::Clock &clock,
                 TestCluster &cluster, std::uint64_t seed)
    : Io(io), Time(clock), Cluster(cluster), Random(seed),
      Http(io.get_executor(), clock, platform::HttpLimits{}) {}

int Callers::randomInt(int min, int max) {
  return std::uniform_int_distribution<int>(min, max)(Random);
}

bool Callers::chance(double share) {
  return std::bernoulli_distribution(share)(Random);
}

/// Returns whether the long-running jobs that nobody cancels leave room for
/// another one and for the tasks of the other jobs.
bool Callers::hasRoomForLongRunning() const {
  std::int64_t used = 0;
  for (const auto &[id, job] : Cluster.Checker.jobs())
    if (const model::StepSpec &step = job.Graph.Steps.front();
        step.LongRunning && !job.CancelSent)
      used += count(step.Size.Cpu) * step.Count;
  std::int64_t total =
      count(WorkerSize.Cpu) * static_cast<std::int64_t>(Cluster.Workers.size());
  return used * 100 < total * MaxLongRunningPercent;
}

ObservedJob Callers::makeJob(std::string &queue) {
  ObservedJob job;
  job.MaxAttempts = MaxAttempts;
  queue = ShortQueue;
  model::StepSpec step;
  step.Size.Cpu = base::MilliCores{randomInt(300, 2500)};
  step.Size.Memory = base::MebiBytes{randomInt(200, 2000)};
  step.Image = "image-" + std::to_string(randomInt(0, 3));
  int steps = 1;
  int work = randomInt(80, 500);
  int kind = randomInt(0, 9);
  if (kind == 0 && hasRoomForLongRunning()) {
    step.LongRunning = true;
    step.Count = randomInt(1, 3);
    step.Target = 50ms;
  } else if (kind == 1) {
    step.Gang = true;
    step.Count = randomInt(2, 3);
  } else if (kind <= 4) {
    queue = LongQueue;
    step.Filler = step.SupportsCheckpoints = true;
    step.Count = randomInt(2, 5);
    steps = 2;
    work = randomInt(300, 1200);
  } else {
    step.Count = randomInt(1, 5);
    steps = randomInt(1, 3);
    if (chance(0.2))
      step.MaxPerWorker = 1;
    if (chance(0.2))
      step.Requirement = "large";
    if (chance(0.1)) {
      job.Graph.Occurrences = 2;
      job.Graph.Interval = 700ms;
      job.Graph.FirstDue = std::chrono::duration_cast<milliseconds>(
                               Time.wallNow().time_since_epoch()) +
                           1s;
    }
  }
  step.Estimate = milliseconds(work);
  job.LastStepFails = !step.LongRunning && !step.Gang && chance(0.04);
  job.Graph.Payload = "payload " + std::to_string(Random());
  for (int i = 0; i < steps; ++i) {
    job.Graph.Steps.push_back(step);
    job.WorkPerTask.push_back(milliseconds(work));
    step.Dependencies = {i};
  }
  return job;
}

/// Makes a job that is far from its end when it is cancelled: it has more tasks
/// than the workers have room for, or several occurrences.
ObservedJob Callers::makeJobToCancel(std::string &queue) {
  ObservedJob job;
  job.MaxAttempts = MaxAttempts;
  queue = chance(0.5) ? ShortQueue : LongQueue;
  model::StepSpec step;
  step.Size.Cpu = base::MilliCores{randomInt(1000, 3000)};
  step.Size.Memory = base::MebiBytes{randomInt(200, 2000)};
  step.Image = "image-" + std::to_string(randomInt(0, 3));
  step.Count = randomInt(8, 24);
  if (chance(0.4)) {
    step.Count = randomInt(1, 3);
    job.Graph.Occurrences = 6;
    job.Graph.Interval = 1000ms;
    job.Graph.FirstDue = std::chrono::duration_cast<milliseconds>(
                             Time.wallNow().time_since_epoch()) +
                         1s;
  }
  milliseconds work(randomInt(400, 1500));
  step.Estimate = work;
  job.Graph.Payload = "payload " + std::to_string(Random());
  job.Graph.Steps = {step, step};
  job.Graph.Steps.back().Dependencies = {0};
  job.WorkPerTask = {work, work};
  return job;
}

/// Chooses a task of the job that crashes its workers.
void Callers::addCrashingTask(JobNumber id, ObservedJob &job) {
  model::TaskKey task{id, 0, 0, 0};
  task.Occurrence = randomInt(0, std::max(1, job.Graph.Occurrences) - 1);
  task.Step = randomInt(0, static_cast<int>(job.Graph.Steps.size()) - 1);
  task.Index = randomInt(
      0, job.Graph.Steps[static_cast<std::size_t>(task.Step)].Count - 1);
  job.CrashingTask = task;
  job.CrashAfter = milliseconds(randomInt(50, 400));
}

/// Encodes a job as callers do, without fields that are 0, false or empty.
static std::string encodeJob(const model::JobGraph &graph) {
  json::array steps;
  for (const model::StepSpec &it : graph.Steps) {
    json::object step{{"count", it.Count},
                      {"cpu", count(it.Size.Cpu)},
                      {"mem_mb", count(it.Size.Memory)},
                      {"estimated_ms", it.Estimate.count()},
                      {"image", it.Image}};
    if (!it.Dependencies.empty())
      step["after"] = json::array{it.Dependencies.front()};
    if (!it.Requirement.empty())
      step["requirements"] = it.Requirement;
    if (it.MaxPerWorker > 0)
      step["max_per_server"] = it.MaxPerWorker;
    if (it.Target > 0ms)
      step["target_ms"] = it.Target.count();
    for (auto [name, on] :
         {std::pair("checkpointing", it.SupportsCheckpoints),
          std::pair("gang", it.Gang), std::pair("long_running", it.LongRunning),
          std::pair("fills", it.Filler)})
      if (on)
        step[name] = true;
    steps.push_back(std::move(step));
  }
  json::object body{{"spec", graph.Payload}, {"steps", std::move(steps)}};
  if (graph.Occurrences > 0) {
    body["repeat_count"] = graph.Occurrences;
    body["start_at_ms"] = graph.FirstDue.count();
    body["interval_ms"] = graph.Interval.count();
  }
  return json::serialize(body);
}

/// Sends a request to a random daemon, on an open connection if there is one.
Awaitable<base::Result<HttpResponse>>
Callers::send(std::string method, std::string path, std::string body) {
  auto index = static_cast<std::size_t>(
      randomInt(0, static_cast<int>(Cluster.Daemons.size()) - 1));
  platform::HttpRequest request;
  request.Method = std::move(method);
  request.Path = std::move(path);
  request.Headers = {{"Content-Type", "application/json"}};
  request.Body = std::move(body);
  co_return co_await Http.send(Cluster.Daemons[index].CallerAddress,
                               std::move(request), RequestTimeout);
}

Awaitable<bool> Callers::submit(JobNumber id, std::string path) {
  ObservedJob &job = *Cluster.Checker.find(id);
  std::string body = encodeJob(job.Graph);
  bool outcomeUnknown = false;
  for (int i = 0; i < SubmitAttempts; ++i) {
    job.MayBeStored = true;
    base::Result<HttpResponse> answer = co_await send("POST", path, body);
    unsigned status = answer ? answer.value().Status : 0;
    if (status == 200) {
      job.AcceptedAt = Time.now();
      ++Accepted;
      co_return true;
    }
    if (status == 404)
      Cluster.Checker.onUnknownQueue(id);
    bool refused = status == 429 || status == 503 ||
                   (!answer && answer.error().Code == base::Errc::HttpNotSent);
    outcomeUnknown = outcomeUnknown || !refused;
    job.MayBeStored = outcomeUnknown;
    co_await sleepFor(milliseconds(randomInt(50, 600)));
  }
  ++Refused;
  co_return false;
}

Awaitable<void> Callers::queryState(JobNumber id, std::string path) {
  base::Result<HttpResponse> answer = co_await send("GET", path);
  if (!answer)
    co_return;
  if (answer.value().Status == 410)
    Cluster.Checker.onStateSeen(id, "");
  if (answer.value().Status != 200)
    co_return;
  base::Result<json::value> body = installation::parseBody(answer.value().Body);
  Cluster.Checker.onStateSeen(
      id, body ? installation::Fields(&body.value()).text("state") : "?");
}

Awaitable<void> Callers::cancel(JobNumber id, std::string path) {
  ObservedJob &job = *Cluster.Checker.find(id);
  job.CancelSent = true;
  while (!Stopped) {
    base::Result<HttpResponse> answer = co_await send("DELETE", path);
    if (answer && answer.value().Status == 200)
      job.CancelledAt = Time.now();
    if (answer &&
        (answer.value().Status == 200 || answer.value().Status == 410))
      co_return;
    co_await sleepFor(milliseconds(randomInt(100, 600)));
  }
}

Awaitable<void> Callers::followJob(JobNumber id, std::string path,
                                   bool willCancel) {
  if (!co_await submit(id, path))
    co_return;
  ObservedJob &job = *Cluster.Checker.find(id);
  bool longRunning = job.Graph.Steps.front().LongRunning;
  willCancel = willCancel || chance(longRunning ? 0.5 : 0.1);
  base::TimePoint cancelAt = Time.now() + milliseconds(randomInt(0, 2500));
  // Some submissions arrive a second time, later.
  if (chance(0.1)) {
    base::Result<HttpResponse> repeated =
        co_await send("POST", path, encodeJob(job.Graph));
    if (repeated && repeated.value().Status == 404)
      Cluster.Checker.onUnknownQueue(id);
  }
  while (!Stopped) {
    co_await sleepFor(milliseconds(randomInt(100, 900)));
    if (willCancel && !job.CancelSent && Time.now() >= cancelAt)
      co_await cancel(id, path);
    co_await queryState(id, path);
    if (job.LastState == "succeeded" || job.LastState == "failed" ||
        job.LastState == "cancelled")
      co_return;
  }
}

Awaitable<void> Callers::submitJobs() {
  while (Submitting) {
    auto id = static_cast<JobNumber>(Random());
    std::string queue;
    bool willCancel = CancelMore && chance(0.2);
    ObservedJob job = willCancel ? makeJobToCancel(queue) : makeJob(queue);
    if (CrashShare > 0 && chance(CrashShare))
      addCrashingTask(id, job);
    Cluster.Checker.addJob(id, std::move(job));
    asio::co_spawn(
        Io, followJob(id, queue + dispatch::formatJobNumber(id), willCancel),
        asio::detached);
    co_await sleepFor(milliseconds(randomInt(20, 160)));
  }
}

void Callers::holdConnections() {
  for (std::size_t i = 0; i < Cluster.Daemons.size(); ++i)
    asio::co_spawn(Io, holdConnection(i), asio::detached);
}

Awaitable<void> Callers::holdConnection(std::size_t daemon) {
  static const std::string request = std::string("GET ") + ShortQueue +
                                     " HTTP/1.1\r\nHost: " + QueueHost +
                                     "\r\n\r\n";
  const DaemonSlot &slot = Cluster.Daemons[daemon];
  asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(slot.CallerAddress.Ip), slot.CallerAddress.Port);
  std::array<char, 4096> buf{};
  while (!Stopped) {
    pid_t pid = slot.Process->pid();
    asio::ip::tcp::socket socket(Io);
    auto [connectError] = co_await socket.async_connect(endpoint, AsTuple);
    if (connectError) {
      co_await sleepFor(100ms);
      continue;
    }
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    while (!Stopped && slot.Process->pid() == pid &&
           slot.Process->isRunning()) {
      socket.write_some(asio::buffer(request), ec);
      co_await sleepFor(milliseconds(randomInt(100, 1500)));
      while (socket.read_some(asio::buffer(buf), ec) > 0)
        ;
    }
  }
}

} // namespace endivedoor::soak
