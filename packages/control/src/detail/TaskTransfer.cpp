#include "detail/TaskTransfer.h"

#include "detail/Keys.h"

namespace endivedoor::control::detail {

namespace json = boost::json;

// The transferred tasks share the 1 MB of a commit with the segment.
constexpr std::size_t MaxTransferBytes = 256 * 1024;
// Upper estimate of the size of an encoded task without its checkpoint.
constexpr std::size_t EncodedTaskBytes = 400;
constexpr std::chrono::hours TombstoneLifetime{1};

TaskTransfer::TasksByJob TaskTransfer::queuedTasksByJob() const {
  TasksByJob groups;
  for (const auto &[id, task] : Table.tasks())
    if (task.Task.State == model::TaskState::Queued && !task.HoldsResources)
      groups[task.Task.Job].push_back(id);
  return groups;
}

/// Builds the command that transfers tasks of one job, as many as fit.
Command
TaskTransfer::buildTransferCommand(const JobRecord &job,
                                   const std::vector<base::TaskId> &tasks,
                                   std::size_t &bytes) {
  Command command;
  command.Type = Command::Kind::Transfer;
  command.Job = job.Spec.Id;
  command.Spec = job.Spec;
  command.AdmittedAt = job.AdmittedAt;
  bytes += job.Spec.Payload.size();
  for (const base::TaskId &it : tasks) {
    TaskRecord &task = *Table.findTask(it);
    bytes += EncodedTaskBytes + task.Task.Checkpoint.size();
    if (bytes > MaxTransferBytes && !command.Tasks.empty())
      break;
    task.MoveInFlight = true;
    command.Tasks.push_back(task);
  }
  return command;
}

std::vector<base::TaskId> TaskTransfer::appendTransfers(WriteBatch &batch) {
  std::vector<base::ZoneId> zones = Config.availableZones();
  std::vector<base::TaskId> moved;
  if (zones.empty())
    return moved;
  std::map<base::ZoneId, std::vector<std::string>> commands;
  std::int64_t tombstoneExpiryMs =
      toMillis(Ctx.Clock.wallNow() + TombstoneLifetime);
  std::size_t bytes = 0;
  for (const auto &[id, tasks] : queuedTasksByJob()) {
    if (bytes > MaxTransferBytes)
      break;
    const JobRecord &job = Table.jobs().at(id);
    Command command = buildTransferCommand(job, tasks, bytes);
    bool wholeJob = command.Tasks.size() == job.Tasks.size();
    for (const StoredTask &it : command.Tasks) {
      moved.push_back(it.Task.Id);
      if (!wholeJob)
        batch.Records.push_back(
            json::serialize(json::object{{"drop", it.Task.Id.str()}}));
    }
    if (wholeJob)
      batch.Records.push_back(
          json::serialize(json::object{{"gone", id.str()},
                                       {"cancelled", false},
                                       {"untilMs", tombstoneExpiryMs}}));
    commands[zones[std::hash<base::JobId>{}(id) % zones.size()]].push_back(
        commandToJson(command));
  }
  for (const auto &[zone, texts] : commands) {
    std::string writeId = Ctx.nextWriteId();
    batch.Puts.push_back(platform::StoreOp::put(inboxPrefix(zone) + writeId,
                                                batchToJson(writeId, texts)));
  }
  return moved;
}

void TaskTransfer::finishCommit(const std::vector<base::TaskId> &moved,
                                bool committed, policy::Scheduler &scheduler) {
  base::WallTime tombstoneExpiry = Ctx.Clock.wallNow() + TombstoneLifetime;
  for (const base::TaskId &it : moved) {
    TaskRecord *task = Table.findTask(it);
    if (task == nullptr)
      continue;
    task->MoveInFlight = false;
    if (!committed)
      continue;
    Ctx.Events.emit(base::EventCode::TaskMoved,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"job", task->Task.Job.str()},
                     {"task", it.str()}});
    scheduler.cancel(it);
    Table.removeMovedTask(it, tombstoneExpiry);
  }
}

} // namespace endivedoor::control::detail
