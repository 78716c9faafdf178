#include "detail/ZoneMoves.h"

#include "detail/Keys.h"

namespace endivedoor::control::detail {

namespace json = boost::json;

// The moved tasks of one commit share its 1 MB with the segment.
constexpr std::size_t MoveBytes = 256 * 1024;
// Size of an encoded task without its checkpoint, generously.
constexpr std::size_t TaskBytes = 400;
constexpr std::chrono::hours TombstoneTime{1};

ZoneMoves::Groups ZoneMoves::queued() const {
  Groups groups;
  for (const auto &[id, task] : Table.tasks())
    if (task.Task.State == model::TaskState::Queued && !task.Holding)
      groups[task.Task.Job].push_back(id);
  return groups;
}

/// Builds the command that hands over tasks of one job, as many as fit.
Command ZoneMoves::takeTasks(const JobRecord &job,
                             const std::vector<base::TaskId> &tasks,
                             std::size_t &bytes) {
  Command command;
  command.What = Command::Kind::Transfer;
  command.Job = job.Spec.Id;
  command.Spec = job.Spec;
  command.AdmittedAt = job.AdmittedAt;
  bytes += job.Spec.Payload.size();
  for (const base::TaskId &it : tasks) {
    TaskRecord &task = *Table.task(it);
    bytes += TaskBytes + task.Task.Checkpoint.size();
    if (bytes > MoveBytes && !command.Tasks.empty())
      break;
    task.Moving = true;
    command.Tasks.push_back(task);
  }
  return command;
}

std::vector<base::TaskId> ZoneMoves::add(Draft &draft) {
  std::vector<base::ZoneId> in = Keeper.zonesReady();
  std::vector<base::TaskId> moved;
  if (in.empty())
    return moved;
  std::map<base::ZoneId, std::vector<std::string>> commands;
  std::int64_t until = toMillis(Ctx.Clock.wallNow() + TombstoneTime);
  std::size_t bytes = 0;
  for (const auto &[id, tasks] : queued()) {
    if (bytes > MoveBytes)
      break;
    const JobRecord &job = Table.jobs().at(id);
    Command command = takeTasks(job, tasks, bytes);
    bool whole = command.Tasks.size() == job.Tasks.size();
    for (const StoredTask &it : command.Tasks) {
      moved.push_back(it.Task.Id);
      if (!whole)
        draft.Ops.push_back(
            json::serialize(json::object{{"drop", it.Task.Id.str()}}));
    }
    if (whole)
      draft.Ops.push_back(json::serialize(json::object{
          {"gone", id.str()}, {"cancelled", false}, {"untilMs", until}}));
    commands[in[std::hash<base::JobId>{}(id) % in.size()]].push_back(
        commandToJson(command));
  }
  for (const auto &[zone, texts] : commands) {
    std::string writeId = Ctx.nextWriteId();
    draft.Puts.push_back(platform::StoreOp::put(inboxPrefix(zone) + writeId,
                                                batchToJson(writeId, texts)));
  }
  return moved;
}

void ZoneMoves::settle(const std::vector<base::TaskId> &moved, bool committed,
                       policy::Scheduler &scheduler) {
  base::WallTime until = Ctx.Clock.wallNow() + TombstoneTime;
  for (const base::TaskId &it : moved) {
    TaskRecord *task = Table.task(it);
    if (task == nullptr)
      continue;
    task->Moving = false;
    if (!committed)
      continue;
    Ctx.Events.emit(base::EventCode::TaskMoved,
                    {{"zone", Ctx.Settings.Zone.str()},
                     {"job", task->Task.Job.str()},
                     {"task", it.str()}});
    scheduler.cancel(it);
    Table.removeMoved(it, until);
  }
}

} // namespace endivedoor::control::detail
