#include "detail/TaskTable.h"

#include <algorithm>

namespace endivedoor::control::detail {

namespace json = boost::json;

JobRecord *TaskTable::findJob(const base::JobId &id) {
  auto it = Jobs.find(id);
  return it == Jobs.end() ? nullptr : &it->second;
}

TaskRecord *TaskTable::findTask(const base::TaskId &id) {
  auto it = Tasks.find(id);
  return it == Tasks.end() ? nullptr : &it->second;
}

const Tombstone *TaskTable::findTombstone(const base::JobId &id) const {
  auto it = Tombstones.find(id);
  return it == Tombstones.end() ? nullptr : &it->second;
}

base::TaskId TaskTable::addTask(JobRecord &job, StoredTask task) {
  base::TaskId id = task.Task.Id;
  TaskRecord record;
  static_cast<StoredTask &>(record) = std::move(task);
  bool open = !isTerminal(record.Task.State);
  auto [it, added] = Tasks.emplace(id, std::move(record));
  if (!added)
    return {};
  job.Tasks.push_back(id);
  job.OpenTasks += open ? 1 : 0;
  return id;
}

void TaskTable::addNewTasks(JobRecord &job,
                            const std::vector<std::int32_t> &indices) {
  for (std::int32_t it : indices) {
    StoredTask newTask;
    newTask.Task.Id = makeTaskId(job.Spec.Id, it);
    newTask.Task.Job = job.Spec.Id;
    addTask(job, std::move(newTask));
  }
}

std::vector<base::TaskId> TaskTable::addJob(const Command &command) {
  JobRecord &record = Jobs[command.Job];
  Tombstones.erase(command.Job);
  Dirty.Jobs.insert(command.Job);
  if (record.Spec.Id.empty()) {
    record.Spec = command.Spec;
    record.AdmittedAt = command.AdmittedAt;
    addNewTasks(record, command.TaskIndices);
    UncommittedTaskIndices[command.Job] = command.TaskIndices;
  }
  std::vector<base::TaskId> added;
  if (command.Type == Command::Kind::Admit)
    added = record.Tasks;
  for (const StoredTask &it : command.Tasks) {
    base::TaskId id = addTask(record, it);
    if (id.empty())
      continue;
    Dirty.Tasks.insert(id);
    record.EndedAt.reset();
    added.push_back(std::move(id));
  }
  return added;
}

bool TaskTable::endTask(TaskRecord &task, model::TaskState state,
                        base::WallTime now) {
  JobRecord &job = Jobs.at(task.Task.Job);
  if (!isTerminal(task.Task.State))
    --job.OpenTasks;
  task.Task.State = state;
  Dirty.Tasks.insert(task.Task.Id);
  if (job.OpenTasks > 0 || job.EndedAt)
    return false;
  job.EndedAt = now;
  Dirty.Jobs.insert(task.Task.Job);
  return true;
}

void TaskTable::addTombstone(const base::JobId &id, Tombstone tombstone) {
  Tombstones[id] = tombstone;
  Dirty.Jobs.insert(id);
}

void TaskTable::markTaskChanged(const TaskRecord &task) {
  Dirty.Tasks.insert(task.Task.Id);
}

void TaskTable::removeMovedTask(const base::TaskId &id,
                                base::WallTime tombstoneUntil) {
  TaskRecord *record = findTask(id);
  if (record == nullptr)
    return;
  base::JobId jobId = record->Task.Job;
  eraseTask(id);
  Dirty.Tasks.erase(id);
  if (!Jobs.at(jobId).Tasks.empty())
    return;
  Jobs.erase(jobId);
  UncommittedTaskIndices.erase(jobId);
  Dirty.Jobs.erase(jobId);
  Tombstones[jobId] = {false, tombstoneUntil};
}

void TaskTable::removeJob(const base::JobId &id) {
  if (const JobRecord *record = findJob(id))
    for (const base::TaskId &task : record->Tasks)
      Dirty.Tasks.erase(task);
  eraseJob(id);
  UncommittedTaskIndices.erase(id);
  Dirty.Jobs.insert(id);
}

void TaskTable::removeExpiredTombstones(base::WallTime now) {
  std::erase_if(Tombstones, [&](const auto &it) {
    if (it.second.Until >= now)
      return false;
    Dirty.Jobs.insert(it.first);
    return true;
  });
}

void TaskTable::holdResources(TaskRecord &task) {
  task.HoldsResources = true;
  HoldingTasks[task.Task.Worker].insert(task.Task.Id);
}

void TaskTable::releaseResources(TaskRecord &task) {
  task.HoldsResources = false;
  HoldingTasks[task.Task.Worker].erase(task.Task.Id);
}

std::vector<base::TaskId>
TaskTable::tasksHoldingResources(const base::WorkerId &worker) const {
  auto it = HoldingTasks.find(worker);
  if (it == HoldingTasks.end())
    return {};
  return {it->second.begin(), it->second.end()};
}

std::vector<base::WorkerId> TaskTable::workersWithHeldResources() const {
  std::vector<base::WorkerId> out;
  for (const auto &[worker, tasks] : HoldingTasks)
    if (!tasks.empty())
      out.push_back(worker);
  return out;
}

base::Resources TaskTable::usedResources(const base::WorkerId &worker) const {
  base::Resources sum;
  for (const base::TaskId &it : tasksHoldingResources(worker))
    sum += Jobs.at(Tasks.at(it).Task.Job).Spec.Size;
  return sum;
}

bool TaskTable::isDurable(const base::TaskId &id) const {
  return Dirty.Tasks.count(id) == 0 && InFlight.Tasks.count(id) == 0;
}

/// Encodes the state of a job id: its record, its tombstone, or its removal.
std::string TaskTable::encodeJob(const base::JobId &id,
                                 bool withNewTasks) const {
  auto record = Jobs.find(id);
  if (record != Jobs.end()) {
    const JobRecord &job = record->second;
    json::object out{{"job", specToJson(job.Spec)},
                     {"atMs", toMillis(job.AdmittedAt)},
                     {"cancelled", job.Cancelled},
                     {"endedMs", job.EndedAt ? toMillis(*job.EndedAt) : 0}};
    auto indices = UncommittedTaskIndices.find(id);
    if (withNewTasks && indices != UncommittedTaskIndices.end())
      out["fresh"] = indicesToJson(indices->second);
    return json::serialize(out);
  }
  auto tombstone = Tombstones.find(id);
  if (tombstone != Tombstones.end())
    return json::serialize(
        json::object{{"gone", id.str()},
                     {"cancelled", tombstone->second.Cancelled},
                     {"untilMs", toMillis(tombstone->second.Until)}});
  return json::serialize(json::object{{"forget", id.str()}});
}

static std::string encodeTask(const StoredTask &task) {
  return json::serialize(json::object{{"task", taskToJson(task)}});
}

/// Moves ids from one set to another while their encoded records fit. The first
/// record is always taken, even if it is too large.
template <typename Id, typename Encode>
static void takeWhileFitting(std::set<Id> &from, std::set<Id> &to,
                             std::size_t &remainingBytes,
                             std::vector<std::string> &out, Encode encode) {
  while (!from.empty()) {
    std::string encoded = encode(*from.begin());
    if (encoded.size() > remainingBytes && !out.empty()) {
      remainingBytes = 0;
      return;
    }
    remainingBytes -= std::min(remainingBytes, encoded.size());
    out.push_back(std::move(encoded));
    to.insert(from.extract(from.begin()));
  }
}

std::vector<std::string> TaskTable::takeChanges(std::size_t maxBytes,
                                                DirtySet &changes) {
  std::vector<std::string> out;
  std::size_t remainingBytes = maxBytes;
  takeWhileFitting(Dirty.Jobs, changes.Jobs, remainingBytes, out,
                   [&](const base::JobId &id) { return encodeJob(id, true); });
  // A task record can only be read after the record of its job.
  if (Dirty.Jobs.empty())
    takeWhileFitting(
        Dirty.Tasks, changes.Tasks, remainingBytes, out,
        [&](const base::TaskId &id) { return encodeTask(Tasks.at(id)); });
  InFlight = changes;
  return out;
}

void TaskTable::finishCommit(const DirtySet &changes, bool committed) {
  InFlight = {};
  if (committed) {
    for (const base::JobId &it : changes.Jobs)
      UncommittedTaskIndices.erase(it);
    return;
  }
  Dirty.Jobs.insert(changes.Jobs.begin(), changes.Jobs.end());
  for (const base::TaskId &it : changes.Tasks)
    if (Tasks.count(it) > 0)
      Dirty.Tasks.insert(it);
}

std::vector<std::string> TaskTable::encodeAll() const {
  std::vector<std::string> out;
  for (const auto &[id, it] : Jobs)
    out.push_back(encodeJob(id, false));
  for (const auto &[id, it] : Tombstones)
    if (Jobs.count(id) == 0)
      out.push_back(encodeJob(id, false));
  for (const auto &[id, it] : Tasks)
    out.push_back(encodeTask(it));
  return out;
}

static base::Result<void> applyJob(FieldReader &reader, JobRecord &record) {
  BOOST_OUTCOME_TRY(record.Spec, specFromJson(reader.child("job")));
  record.AdmittedAt = fromMillis(reader.number("atMs"));
  record.Cancelled = reader.flag("cancelled");
  std::int64_t endedMs = reader.number("endedMs");
  record.EndedAt.reset();
  if (endedMs != 0)
    record.EndedAt = fromMillis(endedMs);
  return base::success();
}

base::Result<void> TaskTable::applyTask(StoredTask task) {
  auto job = Jobs.find(task.Task.Job);
  if (job == Jobs.end())
    return base::fail(base::Errc::ParseFailed,
                      "task " + task.Task.Id.str() +
                          " belongs to an unknown job");
  addTask(job->second, task);
  TaskRecord &record = Tasks.at(task.Task.Id);
  if (record.HoldsResources)
    releaseResources(record);
  job->second.OpenTasks += isTerminal(task.Task.State) ? 0 : 1;
  job->second.OpenTasks -= isTerminal(record.Task.State) ? 0 : 1;
  static_cast<StoredTask &>(record) = std::move(task);
  if (record.HoldsResources)
    holdResources(record);
  return base::success();
}

void TaskTable::eraseTask(const base::TaskId &id) {
  TaskRecord *record = findTask(id);
  if (record == nullptr)
    return;
  if (record->HoldsResources)
    releaseResources(*record);
  if (JobRecord *job = findJob(record->Task.Job)) {
    std::erase(job->Tasks, id);
    job->OpenTasks -= isTerminal(record->Task.State) ? 0 : 1;
  }
  Tasks.erase(id);
}

void TaskTable::eraseJob(const base::JobId &id) {
  JobRecord *record = findJob(id);
  if (record == nullptr)
    return;
  std::vector<base::TaskId> tasks = record->Tasks;
  for (const base::TaskId &it : tasks)
    eraseTask(it);
  Jobs.erase(id);
}

base::Result<void> TaskTable::apply(const json::value &op) {
  FieldReader reader(op);
  if (reader.has("job")) {
    base::JobId id(FieldReader(reader.child("job")).text("id"));
    Tombstones.erase(id);
    // A snapshot may already contain the new tasks with their later states.
    bool isKnown = Jobs.count(id) > 0;
    BOOST_OUTCOME_TRY(applyJob(reader, Jobs[id]));
    if (!isKnown)
      addNewTasks(Jobs[id], indicesFromJson(reader.list("fresh")));
  } else if (reader.has("task")) {
    BOOST_OUTCOME_TRY(StoredTask task, taskFromJson(reader.child("task")));
    BOOST_OUTCOME_TRY(applyTask(std::move(task)));
  } else if (reader.has("drop")) {
    eraseTask(base::TaskId(reader.text("drop")));
  } else if (reader.has("gone")) {
    base::JobId id(reader.text("gone"));
    eraseJob(id);
    Tombstones[id] = {reader.flag("cancelled"),
                      fromMillis(reader.number("untilMs"))};
  } else {
    base::JobId id(reader.text("forget"));
    eraseJob(id);
    Tombstones.erase(id);
  }
  if (reader.failed())
    return reader.error();
  return base::success();
}

} // namespace endivedoor::control::detail
