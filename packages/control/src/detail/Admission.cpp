#include "detail/Admission.h"

#include "detail/Keys.h"

#include <algorithm>
#include <map>

namespace endivedoor::control::detail {

using base::Errc;
using platform::StoreOp;

constexpr std::chrono::milliseconds BatchDelay{20};
// An owner reads many batches in one call, so each batch is kept small.
constexpr std::size_t MaxBatchBytes = 128 * 1024;
// A command shares a segment with others, whose base64 form must stay below 1
// MB.
constexpr std::size_t MaxCommandBytes = 500 * 1024;
constexpr int MaxWriteAttempts = 4;
constexpr std::int32_t MaxTasks = 10000;

base::Result<void> Admission::validate(const model::JobSpec &job) const {
  const base::Resources &size = job.Size;
  if (job.Tasks < 1 || job.Tasks > MaxTasks)
    return base::fail(Errc::InvalidArgument, "tasks is out of range");
  if (size.Slots < 0 || size.Connections < 0 || base::count(size.Cpu) < 0 ||
      base::count(size.Memory) < 0 || size.Accelerators < 0)
    return base::fail(Errc::InvalidArgument,
                      "resource amounts must not be negative");
  return base::success();
}

std::int32_t Admission::requiredZoneCount(const model::JobSpec &job) const {
  std::int32_t required = 1;
  if (job.Kind != model::TaskKind::Service)
    return required;
  for (const model::Rule &it : Config.rules().Rules)
    if (const auto *rule = std::get_if<model::AtLeastZones>(&it.Body))
      if (rule->Service == job.Service)
        required = std::max(required, rule->Zones);
  return std::min(required, job.Tasks);
}

/// Selects the zones for a job and encodes a command for each: the local zone
/// first if it is in service, then others by a hash of the job id. A service
/// with a rule "at-least N zones" is spread over N zones.
std::vector<std::pair<base::ZoneId, std::string>>
Admission::route(const model::JobSpec &job) const {
  std::vector<base::ZoneId> zones = Config.availableZones();
  if (zones.empty())
    return {};
  std::size_t shift = std::hash<base::JobId>{}(job.Id) % zones.size();
  std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(shift),
              zones.end());
  auto own = std::find(zones.begin(), zones.end(), Ctx.Settings.Zone);
  if (own != zones.end())
    std::rotate(zones.begin(), own, own + 1);
  zones.resize(std::min<std::size_t>(
      zones.size(), static_cast<std::size_t>(requiredZoneCount(job))));
  std::vector<Command> commands(zones.size());
  for (Command &it : commands) {
    it.Job = job.Id;
    it.Spec = job;
    it.AdmittedAt = Ctx.Clock.wallNow();
  }
  for (std::int32_t n = 0; n < job.Tasks; ++n)
    commands[static_cast<std::size_t>(n) % zones.size()].TaskIndices.push_back(
        n);
  std::vector<std::pair<base::ZoneId, std::string>> zoneCommands;
  for (std::size_t n = 0; n < zones.size(); ++n)
    zoneCommands.emplace_back(zones[n], commandToJson(commands[n]));
  return zoneCommands;
}

platform::Async<base::JobId> Admission::admit(model::JobSpec job) {
  if (auto checked = validate(job); !checked)
    co_return checked.error();
  if (job.Id.empty())
    job.Id = base::JobId(Ctx.nextWriteId());
  auto zoneCommands = route(job);
  // Rejects text that cannot be parsed again: one unreadable record would make
  // the whole journal unreadable.
  if (!zoneCommands.empty() && !parseJson(zoneCommands.front().second))
    co_return base::Error{Errc::InvalidArgument,
                          "job contains text that is not valid UTF-8"};
  if (zoneCommands.empty())
    co_return base::Error{Errc::AdmissionClosed,
                          "all zones are out of service"};
  auto written = co_await submit(std::move(zoneCommands));
  if (!written)
    co_return written.error();
  co_return job.Id;
}

/// The job's tasks may have been transferred, so the cancellation is sent to
/// every zone.
platform::Async<void> Admission::cancel(base::JobId job) {
  if (job.empty() || !isValidUtf8(job.str()))
    co_return base::Error{Errc::JobUnknown,
                          "job id is empty or not valid UTF-8"};
  Command command;
  command.Type = Command::Kind::Cancel;
  command.Job = job;
  std::vector<std::pair<base::ZoneId, std::string>> zoneCommands;
  for (const base::ZoneId &it : Ctx.Settings.Zones)
    zoneCommands.emplace_back(it, commandToJson(command));
  co_return co_await submit(std::move(zoneCommands));
}

platform::Async<void> Admission::submit(
    std::vector<std::pair<base::ZoneId, std::string>> zoneCommands) {
  auto pending = std::make_shared<PendingCommand>();
  pending->ZoneCommands = std::move(zoneCommands);
  for (const auto &[zone, text] : pending->ZoneCommands) {
    if (text.size() > MaxCommandBytes)
      co_return base::Error{Errc::LimitExceeded, "job is too large"};
    pending->Bytes += text.size();
  }
  if (Queue.size() >= Ctx.Settings.Limits.QueuedCommands)
    co_return base::Error{Errc::LimitExceeded, "too many queued commands"};
  pending->Done = std::make_shared<OneShotEvent>(Ctx.Executor);
  Queue.push_back(pending);
  if (!Flushing) {
    Flushing = true;
    Ctx.spawn(flush());
  }
  co_await pending->Done->wait();
  if (pending->Failure)
    co_return *pending->Failure;
  co_return base::success();
}

Admission::Batch Admission::takeBatch() {
  Batch batch;
  std::size_t bytes = 0;
  while (!Queue.empty() &&
         (batch.empty() || bytes + Queue.front()->Bytes <= MaxBatchBytes)) {
    bytes += Queue.front()->Bytes;
    batch.push_back(std::move(Queue.front()));
    Queue.pop_front();
  }
  return batch;
}

boost::asio::awaitable<void> Admission::flush() {
  co_await Ctx.Sleep(BatchDelay);
  while (!Queue.empty()) {
    Batch batch = takeBatch();
    auto written = co_await write(batch);
    for (const auto &it : batch) {
      if (!written)
        it->Failure = written.error();
      it->Done->set();
    }
  }
  Flushing = false;
}

/// Creates one inbox key in each affected zone. After a lost response, the same
/// transaction is sent again. It requires that none of its keys exists, and
/// owners accept an id only once, even if they have consumed the keys in the
/// meantime.
platform::Async<void> Admission::write(const Batch &batch) {
  std::map<base::ZoneId, std::vector<std::string>> commands;
  for (const auto &it : batch)
    for (const auto &[zone, text] : it->ZoneCommands)
      commands[zone].push_back(text);
  std::string writeId = Ctx.nextWriteId();
  platform::StoreTxn request;
  for (const auto &[zone, texts] : commands) {
    std::string key = inboxPrefix(zone) + writeId;
    request.Compares.push_back(
        {key, platform::StoreCompare::Field::CreateRevision, 0});
    request.Success.push_back(StoreOp::put(key, batchToJson(writeId, texts)));
  }
  Backoff backoff;
  base::Error error{Errc::Cancelled, "the daemon is stopping"};
  bool answerLost = false;
  for (int n = 0; n < MaxWriteAttempts && !Ctx.Stopping; ++n) {
    auto answer = co_await Ctx.Store.txn(request);
    Ctx.recordStoreResult(answer ? nullptr : &answer.error());
    // The keys contain a unique write id: if they exist, an earlier attempt
    // wrote them.
    if (answer)
      co_return base::success();
    error = answer.error();
    answerLost = answerLost || error.Code == Errc::StoreAnswerLost ||
                 error.Code == Errc::PlatformAnswerInvalid;
    if (error.Code == Errc::StoreRejected)
      break;
    if (n + 1 < MaxWriteAttempts)
      co_await Ctx.Sleep(backoff.nextDelay(Ctx.Random));
  }
  if (answerLost)
    error.Code = Errc::StoreAnswerLost;
  co_return error;
}

} // namespace endivedoor::control::detail
