#include "WorkerServer.h"

#include "Decode.h"
#include "Wire.h"

#include "endivedoor/dispatch/Records.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <linux/close_range.h>
#include <unistd.h>

namespace endivedoor::standin {

using dispatch::RunId;
using dispatch::RunOutcome;
using installation::Fields;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Interval at which tasks make progress.
constexpr auto ProgressInterval = 20ms;
/// Interval at which the worker publishes its entry in the store.
constexpr auto HeartbeatInterval = 500ms;
/// Time for which starts may still rely on a capacity that has been replaced by
/// a lower one: the platform's contact_ms and one heartbeat.
constexpr auto ShrinkGrace = 3000ms + HeartbeatInterval;
/// Longest lease that a worker grants, and the time that stopping a run takes.
constexpr auto MaxLeaseTime = 6000ms;
constexpr auto StopDuration = 60ms;
/// Work between two checkpoints.
constexpr auto CheckpointInterval = 200ms;
/// Time for which a gang member waits for the others.
constexpr auto GangStartTimeout = 3000ms;
/// Maximum number of ended runs in one response.
constexpr std::size_t MaxEndedRows = 500;
/// Time after which a worker that a task crashed is back.
constexpr auto MinCrashDowntime = 1000ms, MaxCrashDowntime = 3000ms;

static const char *outcomeName(RunOutcome outcome) {
  switch (outcome) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::LeaseExpired:
    return "lapsed";
  case RunOutcome::GangBroken:
    return "broken";
  case RunOutcome::GangIncomplete:
    return "alone";
  }
  return "done";
}

WorkerServer::WorkerServer(asio::io_context &io, const base::Clock &clock,
                           KeyValueStore &store, InvariantChecker &checker,
                           model::WorkerProfile profile, model::Address listen,
                           std::uint64_t seed)
    : Io(io), Time(clock), Store(store), Checker(checker),
      Profile(std::move(profile)), Listen(std::move(listen)), Random(seed),
      IncarnationStart(clock.now()) {
  startIncarnation();
  asio::co_spawn(Io, runLoop(), asio::detached);
}

/// Starts a new incarnation of the worker.
void WorkerServer::startIncarnation() {
  IncarnationStart = Time.now();
  Profile.StartTime = std::chrono::duration_cast<milliseconds>(
      Time.wallNow().time_since_epoch());
  Server = startServerOrExit(Io, Listen, [this](HttpRequest request) {
    return handle(std::move(request));
  });
  // A listening socket that a daemon inherits would keep the port in use after
  // the worker has closed it.
  ::close_range(3, ~0U, CLOSE_RANGE_CLOEXEC);
}

milliseconds WorkerServer::uptime() const {
  return std::chrono::duration_cast<milliseconds>(Time.now() -
                                                  IncarnationStart);
}

HttpResponse WorkerServer::makeResponse(unsigned status,
                                        json::object body) const {
  body["clock_ms"] = uptime().count();
  return jsonResponse(status, body);
}

HttpResponse WorkerServer::reject(const char *reason) const {
  return makeResponse(409, {{"reason", reason}});
}

/// Returns the capacity that starts are checked against.
base::Resources WorkerServer::checkedCapacity() const {
  base::Resources most = Profile.Capacity;
  for (const auto &[former, until] : FormerCapacities) {
    if (until && Time.now() >= *until)
      continue;
    most.Cpu = std::max(most.Cpu, former.Cpu);
    most.Memory = std::max(most.Memory, former.Memory);
    most.Accelerators = std::max(most.Accelerators, former.Accelerators);
  }
  return most;
}

base::Resources WorkerServer::freeResources() const {
  base::Resources remaining = checkedCapacity();
  for (const auto &[id, run] : Runs)
    if (const ObservedJob *job = Checker.find(id.Task.Job)) {
      const model::StepSpec &step =
          job->Graph.Steps[static_cast<std::size_t>(id.Task.Step)];
      base::Resources size = step.Size;
      if (step.Filler)
        size.Cpu = base::MilliCores{0};
      remaining -= size;
    }
  return remaining;
}

/// Publishes the worker's own entry, as real workers do.
void WorkerServer::publishEntry() {
  json::array labels;
  for (const std::string &it : Profile.Labels)
    labels.push_back(json::string(it));
  json::object entry{
      {"service", Profile.Service.str()},
      {"address", Profile.Endpoint.str()},
      {"zone", Profile.Zone.str()},
      {"version", "v1"},
      {"slots", 8},
      {"state", Profile.Draining ? "draining" : "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", json::object{{"cpu", count(Profile.Capacity.Cpu)},
                                {"mem_mb", count(Profile.Capacity.Memory)},
                                {"gpu", Profile.Capacity.Accelerators}}},
      {"labels", std::move(labels)},
      {"born", Profile.StartTime.count()},
      {"sequence", ++Sequence}};
  if (DownUntil || Time.now() < EntryLostUntil ||
      Store.faults().OutageMode != KeyValueStore::Outage::None)
    return;
  Store.put("servers/" + id(), json::serialize(entry));
  for (auto &[former, until] : FormerCapacities)
    if (!until)
      until = Time.now() + ShrinkGrace;
}

void WorkerServer::setDraining(bool on) {
  Profile.Draining = on;
  publishEntry();
}

void WorkerServer::loseEntry(milliseconds time) {
  EntryLostUntil = Time.now() + time;
  Store.erase("servers/" + id());
}

void WorkerServer::setCapacity(base::Resources capacity) {
  std::erase_if(FormerCapacities, [now = Time.now()](const auto &it) {
    return it.second && now >= *it.second;
  });
  FormerCapacities.emplace_back(Profile.Capacity, std::nullopt);
  Profile.Capacity = capacity;
  publishEntry();
}

void WorkerServer::crash(milliseconds downtime) {
  if (Vanished)
    return;
  Checker.onCrash(id(), Profile.Draining);
  for (const EndedRun &it : EndedRuns)
    Checker.onEndLost(it.Id);
  shutDown(downtime);
}

void WorkerServer::vanish() {
  crash(0ms);
  Vanished = true;
}

void WorkerServer::leave(milliseconds downtime) {
  if (Vanished)
    return;
  Checker.onLeave(id());
  shutDown(downtime);
}

void WorkerServer::shutDown(milliseconds downtime) {
  Runs.clear();
  EndedRuns.clear();
  HighestEndedRun.clear();
  LastEndNumber = 0;
  HighestToken = 0;
  LeaseDeadline = 0ms;
  DownUntil = Time.now() + downtime;
  // Closes all connections: none reaches the next incarnation.
  Server.reset();
  for (asio::steady_timer *it : WaitingPolls)
    it->cancel();
}

void WorkerServer::endRun(const RunId &id, RunOutcome outcome) {
  auto it = Runs.find(id);
  if (it == Runs.end())
    return;
  if (outcome == RunOutcome::Stopped) {
    it->second.Checkpoint = std::to_string(it->second.WorkDone.count());
    Checker.onCheckpoint(id.Task, it->second.Checkpoint);
  }
  EndedRuns.push_back(
      {++LastEndNumber, id, outcome, it->second.Checkpoint, false});
  std::int64_t &highest = HighestEndedRun[id.Task];
  highest = std::max(highest, id.Number);
  Runs.erase(it);
  Checker.onEnd(this->id(), id, outcome);
  for (asio::steady_timer *timer : WaitingPolls)
    timer->cancel();
}

void WorkerServer::advance(milliseconds elapsed) {
  // An ended run that is read after the lease has expired does not count as
  // acknowledged.
  if (uptime() >= LeaseDeadline)
    for (EndedRun &it : EndedRuns)
      it.LeaseExpired = true;
  std::vector<std::pair<RunId, RunOutcome>> ends;
  bool crashes = false;
  for (auto &[id, run] : Runs) {
    const ObservedJob *job = Checker.find(id.Task.Job);
    auto stepIndex = static_cast<std::size_t>(id.Task.Step);
    const model::StepSpec *spec = job ? &job->Graph.Steps[stepIndex] : nullptr;
    if (uptime() >= LeaseDeadline) {
      ends.emplace_back(id, RunOutcome::LeaseExpired);
      continue;
    }
    if (run.StopAt && Time.now() >= *run.StopAt) {
      ends.emplace_back(id, RunOutcome::Stopped);
      continue;
    }
    if (job && job->CrashingTask == id.Task) {
      crashes = crashes || Time.now() - run.Started >= job->CrashAfter;
      continue;
    }
    if (!spec || ActiveFaults.Stuck)
      continue;
    std::int32_t present = spec->Gang ? Checker.membersPresent(id) : 0;
    if (spec->Gang && present < spec->Count) {
      // A gang member that has made progress cannot continue without the
      // others.
      if (run.WorkDone > 0ms)
        ends.emplace_back(id, RunOutcome::GangBroken);
      else if (Time.now() - run.Started > GangStartTimeout)
        ends.emplace_back(id, RunOutcome::GangIncomplete);
      continue;
    }
    run.WorkDone += elapsed * run.Percent / 100;
    if (run.WillFail && run.WorkDone > ProgressInterval) {
      ends.emplace_back(id, RunOutcome::Failed);
      continue;
    }
    if (spec->LongRunning)
      continue;
    if (run.WorkDone >= job->WorkPerTask[stepIndex])
      ends.emplace_back(id, RunOutcome::Done);
    else if (spec->SupportsCheckpoints &&
             run.WorkDone - run.WorkAtCheckpoint >= CheckpointInterval) {
      run.WorkAtCheckpoint = run.WorkDone;
      run.Checkpoint = std::to_string(run.WorkDone.count());
      Checker.onCheckpoint(id.Task, run.Checkpoint);
    }
  }
  for (const auto &[id, outcome] : ends)
    endRun(id, outcome);
  if (crashes)
    crash(milliseconds(std::uniform_int_distribution<std::int64_t>(
        MinCrashDowntime.count(), MaxCrashDowntime.count())(Random)));
}

Awaitable<void> WorkerServer::runLoop() {
  base::TimePoint lastPublished{};
  base::TimePoint last = Time.now();
  while (true) {
    asio::steady_timer timer(Io, ProgressInterval);
    co_await timer.async_wait(AsTuple);
    base::TimePoint now = Time.now();
    if (DownUntil && now >= *DownUntil && !Vanished) {
      DownUntil.reset();
      startIncarnation();
      Checker.onRestart(id());
    }
    if (!DownUntil) {
      advance(std::chrono::duration_cast<milliseconds>(now - last));
      if (!DownUntil && now - lastPublished >= HeartbeatInterval) {
        lastPublished = now;
        publishEntry();
      }
    }
    last = now;
  }
}

bool WorkerServer::acceptToken(std::int64_t token) {
  if (token < HighestToken)
    return false;
  HighestToken = token;
  return true;
}

json::object WorkerServer::statusBody() const {
  json::array running, ended;
  for (const auto &[id, run] : Runs) {
    const ObservedJob *job = Checker.find(id.Task.Job);
    const model::StepSpec *step =
        job ? &job->Graph.Steps[static_cast<std::size_t>(id.Task.Step)]
            : nullptr;
    std::int64_t gauge = 0;
    if (step)
      gauge = step->LongRunning    ? 5
              : ActiveFaults.Stuck ? 0
                                   : count(step->Size.Cpu);
    running.push_back(json::array{installation::encodeTaskName(id.Task),
                                  id.Number, run.Checkpoint, run.Percent,
                                  gauge});
  }
  for (const EndedRun &it : EndedRuns) {
    if (ended.size() == MaxEndedRows)
      break;
    ended.push_back(
        json::array{it.Number, installation::encodeTaskName(it.Id.Task),
                    it.Id.Number, outcomeName(it.Outcome), it.Checkpoint});
  }
  return {{"running", std::move(running)},
          {"ended", std::move(ended)},
          {"born", Profile.StartTime.count()}};
}

/// Extends the lease and discards acknowledged ends. Returns false without any
/// effect if the fencing token is lower than an earlier one.
bool WorkerServer::applyPoll(const json::value &body) {
  Fields f(&body);
  if (!acceptToken(f.number("fencing_token")))
    return false;
  std::int64_t acknowledged = f.number("last_seen");
  while (!EndedRuns.empty() && EndedRuns.front().Number <= acknowledged) {
    if (!EndedRuns.front().LeaseExpired)
      Checker.onAcknowledged(EndedRuns.front().Id, EndedRuns.front().Outcome);
    EndedRuns.pop_front();
  }
  LeaseDeadline =
      std::max(LeaseDeadline, std::min(milliseconds(f.number("deadline_ms")),
                                       uptime() + MaxLeaseTime));
  return true;
}

Awaitable<HttpResponse> WorkerServer::poll(json::value body) {
  if (!applyPoll(body))
    co_return reject("fence");
  base::TimePoint incarnation = IncarnationStart;
  base::TimePoint until =
      Time.now() + milliseconds(Fields(&body).number("wait_ms"));
  while (EndedRuns.empty() && !DownUntil && incarnation == IncarnationStart &&
         Time.now() < until) {
    asio::steady_timer timer(Io);
    timer.expires_after(until - Time.now());
    WaitingPolls.insert(&timer);
    co_await timer.async_wait(AsTuple);
    WaitingPolls.erase(&timer);
  }
  // A restart breaks the connections of the earlier incarnation.
  if (DownUntil || incarnation != IncarnationStart)
    co_return closeWithoutResponse();
  co_return makeResponse(200, statusBody());
}

HttpResponse WorkerServer::start(const RunId &id, const json::value &body,
                                 bool late) {
  Fields f(&body);
  milliseconds deadline =
      std::min(milliseconds(f.number("deadline_ms")), uptime() + MaxLeaseTime);
  if (Runs.contains(id))
    return makeResponse(200);
  if (milliseconds(f.number("deadline_ms")) <= uptime())
    return reject("late");
  LeaseDeadline = std::max(LeaseDeadline, deadline);
  auto ended = HighestEndedRun.find(id.Task);
  if (ended != HighestEndedRun.end() && id.Number <= ended->second)
    return reject("old");
  for (const auto &[other, run] : Runs)
    if (other.Task == id.Task && id.Number <= other.Number)
      return reject("old");
  const ObservedJob *job = Checker.find(id.Task.Job);
  auto stepIndex = static_cast<std::size_t>(id.Task.Step);
  bool known = job && stepIndex < job->Graph.Steps.size();
  Run run;
  run.Started = Time.now();
  run.Checkpoint = f.text("checkpoint");
  run.WorkDone = run.WorkAtCheckpoint =
      milliseconds(std::atoll(run.Checkpoint.c_str()));
  run.WillFail =
      ActiveFaults.FailStarts ||
      (known && job->LastStepFails && stepIndex + 1 == job->Graph.Steps.size());
  InvariantChecker::StartEvent entry{
      this->id(), id, f.text("spec"), run.Checkpoint, true, {}, late};
  if (known) {
    const std::string &label = job->Graph.Steps[stepIndex].Requirement;
    entry.HasRequiredLabel =
        label.empty() || std::find(Profile.Labels.begin(), Profile.Labels.end(),
                                   label) != Profile.Labels.end();
    Runs[id] = run;
  }
  entry.Remaining = freeResources();
  Checker.onStart(entry);
  return makeResponse(200);
}

HttpResponse WorkerServer::handleCommand(const std::string &path,
                                         const json::value &body, bool late) {
  Fields f(&body);
  std::optional<model::TaskKey> task =
      installation::decodeTaskName(f.text("task"));
  if (!task)
    return makeResponse(400);
  if (!acceptToken(f.number("fencing_token")))
    return reject("fence");
  RunId id{*task, f.number("run")};
  if (path.ends_with("/run-start"))
    return start(id, body, late);
  auto it = Runs.find(id);
  if (path.ends_with("/pace")) {
    if (it != Runs.end())
      it->second.Percent = static_cast<std::int32_t>(f.number("percent"));
    return makeResponse(200);
  }
  if (it != Runs.end()) {
    if (!it->second.StopAt)
      it->second.StopAt = Time.now() + StopDuration;
  } else {
    // Rejects the run if its start command arrives later.
    std::int64_t &highest = HighestEndedRun[*task];
    highest = std::max(highest, id.Number);
  }
  return makeResponse(200);
}

/// Carries a call out after \p delay, by the incarnation that runs then.
Awaitable<void> WorkerServer::handleLate(std::string path, json::value body,
                                         milliseconds delay) {
  asio::steady_timer timer(Io, delay);
  co_await timer.async_wait(AsTuple);
  if (DownUntil)
    co_return;
  if (path.ends_with("/hold"))
    applyPoll(body);
  else
    handleCommand(path, body, true);
}

Awaitable<HttpResponse> WorkerServer::handle(HttpRequest request) {
  if (DownUntil)
    co_return closeWithoutResponse();
  std::string_view expected =
      platform::findHeader(request.Headers, "Expect-Instance");
  if (!expected.empty() && expected != id())
    co_return makeResponse(421);
  base::Result<json::value> body = installation::parseBody(request.Body);
  if (!body)
    co_return makeResponse(400);
  std::bernoulli_distribution late(ActiveFaults.LateCallRate);
  if (late(Random)) {
    std::uniform_int_distribution<std::int64_t> delay(
        ActiveFaults.MinCallDelay.count(), ActiveFaults.MaxCallDelay.count());
    asio::co_spawn(Io,
                   handleLate(request.Path, std::move(body.value()),
                              milliseconds(delay(Random))),
                   asio::detached);
    co_return closeWithoutResponse();
  }
  if (request.Path.ends_with("/hold"))
    co_return co_await poll(std::move(body.value()));
  co_return handleCommand(request.Path, body.value(), false);
}

} // namespace endivedoor::standin
