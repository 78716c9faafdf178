#include "TaskHost.h"

#include "Decode.h"
#include "Wire.h"

#include "endivedoor/dispatch/Records.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endivedoor::standin {

using dispatch::RunId;
using dispatch::RunOutcome;
using installation::Fields;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
/// Interval at which tasks make progress.
constexpr auto Step = 20ms;
/// Interval of the worker's entry in the store.
constexpr auto Heartbeat = 500ms;
/// Longest lease that a worker grants, and the time that a stop takes.
constexpr auto LongestHold = 6000ms;
constexpr auto StopTime = 60ms;
/// Work between two checkpoints.
constexpr auto SaveEvery = 200ms;
/// How long a member of a gang waits for the others.
constexpr auto GangWait = 3000ms;
/// Largest number of ends in one answer.
constexpr std::size_t EndRows = 500;

static const char *nameOf(RunOutcome how) {
  switch (how) {
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

TaskHost::TaskHost(asio::io_context &io, const base::Clock &clock,
                   KeyValues &store, Ledger &ledger,
                   model::WorkerProfile profile, model::Address listen,
                   std::uint64_t seed)
    : Io(io), Time(clock), Store(store), Book(ledger),
      Profile(std::move(profile)), Random(seed), Born(clock.now()) {
  bear();
  Server = serveOrExit(Io, listen, [this](HttpRequest request) {
    return handle(std::move(request));
  });
  asio::co_spawn(Io, live(), asio::detached);
}

/// Begins a life of the worker.
void TaskHost::bear() {
  Born = Time.now();
  Profile.Born = std::chrono::duration_cast<milliseconds>(
      Time.wallNow().time_since_epoch());
}

milliseconds TaskHost::clock() const {
  return std::chrono::duration_cast<milliseconds>(Time.now() - Born);
}

HttpResponse TaskHost::answer(unsigned status, json::object body) const {
  body["clock_ms"] = clock().count();
  return jsonAnswer(status, body);
}

HttpResponse TaskHost::refuse(const char *reason) const {
  return answer(409, {{"reason", reason}});
}

base::Resources TaskHost::left() const {
  base::Resources left = Profile.Capacity;
  for (const auto &[id, run] : Runs)
    if (const LedgerJob *job = Book.find(id.Task.Job)) {
      const model::StepSpec &step =
          job->Graph.Steps[static_cast<std::size_t>(id.Task.Step)];
      base::Resources size = step.Size;
      if (step.Filler)
        size.Cpu = base::MilliCores{0};
      left -= size;
    }
  return left;
}

/// Writes the worker's entry, as each worker does about itself.
void TaskHost::enter() {
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
      {"born", Profile.Born.count()},
      {"sequence", ++Sequence}};
  if (!DownUntil && Store.faults().Down == KeyValues::Outage::None)
    Store.put("servers/" + id(), json::serialize(entry));
}

void TaskHost::setDraining(bool on) {
  Profile.Draining = on;
  enter();
}

void TaskHost::crash(milliseconds downtime) {
  Book.onCrash(id());
  Runs.clear();
  Ended.clear();
  HighestEnded.clear();
  LastEnd = 0;
  Fence = 0;
  Deadline = 0ms;
  DownUntil = Time.now() + downtime;
  for (asio::steady_timer *it : Waiting)
    it->cancel();
}

void TaskHost::end(const RunId &id, RunOutcome how) {
  auto it = Runs.find(id);
  if (it == Runs.end())
    return;
  if (how == RunOutcome::Stopped) {
    it->second.Checkpoint = std::to_string(it->second.Done.count());
    Book.onCheckpoint(id.Task, it->second.Checkpoint);
  }
  Ended.push_back({++LastEnd, id, how, it->second.Checkpoint, false});
  std::int64_t &highest = HighestEnded[id.Task];
  highest = std::max(highest, id.Number);
  Runs.erase(it);
  Book.onEnd(this->id(), id, how);
  for (asio::steady_timer *timer : Waiting)
    timer->cancel();
}

void TaskHost::advance(milliseconds step) {
  // An end that is read after the lease has lapsed does not count as noted.
  if (clock() >= Deadline)
    for (End &it : Ended)
      it.Lapsed = true;
  std::vector<std::pair<RunId, RunOutcome>> ends;
  for (auto &[id, run] : Runs) {
    const LedgerJob *job = Book.find(id.Task.Job);
    auto number = static_cast<std::size_t>(id.Task.Step);
    const model::StepSpec *spec = job ? &job->Graph.Steps[number] : nullptr;
    if (clock() >= Deadline) {
      ends.emplace_back(id, RunOutcome::LeaseExpired);
      continue;
    }
    if (run.StopAt && Time.now() >= *run.StopAt) {
      ends.emplace_back(id, RunOutcome::Stopped);
      continue;
    }
    if (!spec || Current.Stuck)
      continue;
    std::int32_t present = spec->Gang ? Book.membersPresent(id) : 0;
    if (spec->Gang && present < spec->Count) {
      // A member that has worked with the others is broken without them.
      if (run.Done > 0ms)
        ends.emplace_back(id, RunOutcome::GangBroken);
      else if (Time.now() - run.Started > GangWait)
        ends.emplace_back(id, RunOutcome::GangIncomplete);
      continue;
    }
    run.Done += step * run.Percent / 100;
    if (run.Fails && run.Done > Step) {
      ends.emplace_back(id, RunOutcome::Failed);
      continue;
    }
    if (spec->Lasting)
      continue;
    if (run.Done >= job->Work[number])
      ends.emplace_back(id, RunOutcome::Done);
    else if (spec->Checkpoints && run.Done - run.Saved >= SaveEvery) {
      run.Saved = run.Done;
      run.Checkpoint = std::to_string(run.Done.count());
      Book.onCheckpoint(id.Task, run.Checkpoint);
    }
  }
  for (const auto &[id, how] : ends)
    end(id, how);
}

Awaitable<void> TaskHost::live() {
  base::TimePoint entered{};
  base::TimePoint last = Time.now();
  while (true) {
    asio::steady_timer timer(Io, Step);
    co_await timer.async_wait(Tuple);
    base::TimePoint now = Time.now();
    if (DownUntil && now >= *DownUntil) {
      DownUntil.reset();
      bear();
    }
    if (!DownUntil) {
      advance(std::chrono::duration_cast<milliseconds>(now - last));
      if (now - entered >= Heartbeat) {
        entered = now;
        enter();
      }
    }
    last = now;
  }
}

bool TaskHost::noteFence(std::int64_t token) {
  if (token < Fence)
    return false;
  Fence = token;
  return true;
}

json::object TaskHost::lists() const {
  json::array running, ended;
  for (const auto &[id, run] : Runs) {
    const LedgerJob *job = Book.find(id.Task.Job);
    const model::StepSpec *step =
        job ? &job->Graph.Steps[static_cast<std::size_t>(id.Task.Step)]
            : nullptr;
    std::int64_t gauge = 0;
    if (step)
      gauge = step->Lasting ? 5 : Current.Stuck ? 0 : count(step->Size.Cpu);
    running.push_back(json::array{installation::encodeTaskName(id.Task),
                                  id.Number, run.Checkpoint, run.Percent,
                                  gauge});
  }
  for (const End &it : Ended) {
    if (ended.size() == EndRows)
      break;
    ended.push_back(json::array{it.Number,
                                installation::encodeTaskName(it.Id.Task),
                                it.Id.Number, nameOf(it.How), it.Checkpoint});
  }
  return {{"running", std::move(running)},
          {"ended", std::move(ended)},
          {"born", Profile.Born.count()}};
}

Awaitable<HttpResponse> TaskHost::hold(json::value body) {
  Fields f(&body);
  if (!noteFence(f.number("fencing_token")))
    co_return refuse("fence");
  std::int64_t seen = f.number("last_seen");
  while (!Ended.empty() && Ended.front().Number <= seen) {
    if (!Ended.front().Lapsed)
      Book.onNoted(Ended.front().Id, Ended.front().How);
    Ended.pop_front();
  }
  Deadline = std::max(Deadline, std::min(milliseconds(f.number("deadline_ms")),
                                         clock() + LongestHold));
  base::TimePoint until = Time.now() + milliseconds(f.number("wait_ms"));
  while (Ended.empty() && !DownUntil && Time.now() < until) {
    asio::steady_timer timer(Io);
    timer.expires_after(until - Time.now());
    Waiting.insert(&timer);
    co_await timer.async_wait(Tuple);
    Waiting.erase(&timer);
  }
  if (DownUntil)
    co_return noAnswer();
  co_return answer(200, lists());
}

HttpResponse TaskHost::start(const RunId &id, const json::value &body) {
  Fields f(&body);
  milliseconds deadline =
      std::min(milliseconds(f.number("deadline_ms")), clock() + LongestHold);
  if (Runs.contains(id))
    return answer(200);
  if (milliseconds(f.number("deadline_ms")) <= clock())
    return refuse("late");
  Deadline = std::max(Deadline, deadline);
  auto ended = HighestEnded.find(id.Task);
  if (ended != HighestEnded.end() && id.Number <= ended->second)
    return refuse("old");
  for (const auto &[other, run] : Runs)
    if (other.Task == id.Task && id.Number <= other.Number)
      return refuse("old");
  const LedgerJob *job = Book.find(id.Task.Job);
  auto number = static_cast<std::size_t>(id.Task.Step);
  bool known = job && number < job->Graph.Steps.size();
  Run run;
  run.Started = Time.now();
  run.Checkpoint = f.text("checkpoint");
  run.Done = run.Saved = milliseconds(std::atoll(run.Checkpoint.c_str()));
  run.Fails = Current.Failing ||
              (known && job->Hopeless && number + 1 == job->Graph.Steps.size());
  Ledger::Start entry{this->id(), id, f.text("spec"), run.Checkpoint, true, {}};
  if (known) {
    const std::string &label = job->Graph.Steps[number].Requirement;
    entry.Suitable =
        label.empty() || std::find(Profile.Labels.begin(), Profile.Labels.end(),
                                   label) != Profile.Labels.end();
    Runs[id] = run;
  }
  entry.Left = left();
  Book.onStart(entry);
  return answer(200);
}

HttpResponse TaskHost::order(const std::string &path, const json::value &body) {
  Fields f(&body);
  std::optional<model::TaskKey> task =
      installation::decodeTaskName(f.text("task"));
  if (!task)
    return answer(400);
  if (!noteFence(f.number("fencing_token")))
    return refuse("fence");
  RunId id{*task, f.number("run")};
  if (path.ends_with("/run-start"))
    return start(id, body);
  auto it = Runs.find(id);
  if (path.ends_with("/pace")) {
    if (it != Runs.end())
      it->second.Percent = static_cast<std::int32_t>(f.number("percent"));
    return answer(200);
  }
  if (it != Runs.end()) {
    if (!it->second.StopAt)
      it->second.StopAt = Time.now() + StopTime;
  } else {
    // A run that is not there yet will be rejected.
    std::int64_t &highest = HighestEnded[*task];
    highest = std::max(highest, id.Number);
  }
  return answer(200);
}

Awaitable<void> TaskHost::carryOutLate(std::string path, json::value body) {
  base::TimePoint life = Born;
  std::uniform_int_distribution<int> delay(1000, 5000);
  asio::steady_timer timer(Io, milliseconds(delay(Random)));
  co_await timer.async_wait(Tuple);
  // A crash takes the calls with it that the worker had not carried out.
  if (!DownUntil && life == Born)
    order(path, body);
}

Awaitable<HttpResponse> TaskHost::handle(HttpRequest request) {
  if (DownUntil)
    co_return noAnswer();
  std::string_view expected =
      platform::findHeader(request.Headers, "Expect-Instance");
  if (!expected.empty() && expected != id())
    co_return answer(421);
  base::Result<json::value> body = installation::parseBody(request.Body);
  if (!body)
    co_return answer(400);
  if (request.Path.ends_with("/hold"))
    co_return co_await hold(std::move(body.value()));
  std::bernoulli_distribution late(Current.Late);
  if (late(Random)) {
    asio::co_spawn(Io, carryOutLate(request.Path, body.value()),
                   asio::detached);
    co_return noAnswer();
  }
  co_return order(request.Path, body.value());
}

} // namespace endivedoor::standin
