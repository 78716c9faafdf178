#include "detail/TaskTable.h"

#include <algorithm>

namespace endivedoor::control::detail {

namespace json = boost::json;

JobRecord *TaskTable::job(const base::JobId &id) {
  auto it = Jobs.find(id);
  return it == Jobs.end() ? nullptr : &it->second;
}

TaskRecord *TaskTable::task(const base::TaskId &id) {
  auto it = Tasks.find(id);
  return it == Tasks.end() ? nullptr : &it->second;
}

const Tombstone *TaskTable::tombstone(const base::JobId &id) const {
  auto it = Tombstones.find(id);
  return it == Tombstones.end() ? nullptr : &it->second;
}

base::TaskId TaskTable::addTask(JobRecord &job, StoredTask task) {
  base::TaskId id = task.Task.Id;
  TaskRecord record;
  static_cast<StoredTask &>(record) = std::move(task);
  bool open = !isEnd(record.Task.State);
  auto [it, added] = Tasks.emplace(id, std::move(record));
  if (!added)
    return {};
  job.Tasks.push_back(id);
  job.Open += open ? 1 : 0;
  return id;
}

void TaskTable::fillJob(JobRecord &job,
                        const std::vector<std::int32_t> &indices) {
  for (std::int32_t it : indices) {
    StoredTask fresh;
    fresh.Task.Id = taskId(job.Spec.Id, it);
    fresh.Task.Job = job.Spec.Id;
    addTask(job, std::move(fresh));
  }
}

std::vector<base::TaskId> TaskTable::addJob(const Command &command) {
  JobRecord &record = Jobs[command.Job];
  Tombstones.erase(command.Job);
  Dirty.Jobs.insert(command.Job);
  if (record.Spec.Id.empty()) {
    record.Spec = command.Spec;
    record.AdmittedAt = command.AdmittedAt;
    fillJob(record, command.Indices);
    Fresh[command.Job] = command.Indices;
  }
  std::vector<base::TaskId> added;
  if (command.What == Command::Kind::Admit)
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
  JobRecord &owner = Jobs.at(task.Task.Job);
  if (!isEnd(task.Task.State))
    --owner.Open;
  task.Task.State = state;
  Dirty.Tasks.insert(task.Task.Id);
  if (owner.Open > 0 || owner.EndedAt)
    return false;
  owner.EndedAt = now;
  Dirty.Jobs.insert(task.Task.Job);
  return true;
}

void TaskTable::addTombstone(const base::JobId &id, Tombstone tombstone) {
  Tombstones[id] = tombstone;
  Dirty.Jobs.insert(id);
}

void TaskTable::touch(const TaskRecord &task) {
  Dirty.Tasks.insert(task.Task.Id);
}

void TaskTable::removeMoved(const base::TaskId &id,
                            base::WallTime tombstoneUntil) {
  TaskRecord *it = task(id);
  if (it == nullptr)
    return;
  base::JobId owner = it->Task.Job;
  eraseTask(id);
  Dirty.Tasks.erase(id);
  if (!Jobs.at(owner).Tasks.empty())
    return;
  Jobs.erase(owner);
  Fresh.erase(owner);
  Dirty.Jobs.erase(owner);
  Tombstones[owner] = {false, tombstoneUntil};
}

void TaskTable::forgetJob(const base::JobId &id) {
  if (const JobRecord *it = job(id))
    for (const base::TaskId &task : it->Tasks)
      Dirty.Tasks.erase(task);
  eraseJob(id);
  Fresh.erase(id);
  Dirty.Jobs.insert(id);
}

void TaskTable::dropTombstones(base::WallTime now) {
  std::erase_if(Tombstones, [&](const auto &it) {
    if (it.second.Until >= now)
      return false;
    Dirty.Jobs.insert(it.first);
    return true;
  });
}

void TaskTable::hold(TaskRecord &task) {
  task.Holding = true;
  Held[task.Task.Worker].insert(task.Task.Id);
}

void TaskTable::release(TaskRecord &task) {
  task.Holding = false;
  Held[task.Task.Worker].erase(task.Task.Id);
}

std::vector<base::TaskId> TaskTable::held(const base::WorkerId &worker) const {
  auto it = Held.find(worker);
  if (it == Held.end())
    return {};
  return {it->second.begin(), it->second.end()};
}

std::vector<base::WorkerId> TaskTable::holders() const {
  std::vector<base::WorkerId> out;
  for (const auto &[worker, tasks] : Held)
    if (!tasks.empty())
      out.push_back(worker);
  return out;
}

base::Resources TaskTable::used(const base::WorkerId &worker) const {
  base::Resources sum;
  for (const base::TaskId &it : held(worker))
    sum += Jobs.at(Tasks.at(it).Task.Job).Spec.Size;
  return sum;
}

bool TaskTable::isDurable(const base::TaskId &id) const {
  return Dirty.Tasks.count(id) == 0 && InFlight.Tasks.count(id) == 0;
}

/// Encodes the state of a job id: its record, its tombstone, or its absence.
std::string TaskTable::encodeJob(const base::JobId &id, bool fresh) const {
  auto record = Jobs.find(id);
  if (record != Jobs.end()) {
    const JobRecord &it = record->second;
    json::object out{{"job", specToJson(it.Spec)},
                     {"atMs", toMillis(it.AdmittedAt)},
                     {"cancelled", it.Cancelled},
                     {"endedMs", it.EndedAt ? toMillis(*it.EndedAt) : 0}};
    auto indices = Fresh.find(id);
    if (fresh && indices != Fresh.end())
      out["fresh"] = indicesToJson(indices->second);
    return json::serialize(out);
  }
  auto stone = Tombstones.find(id);
  if (stone != Tombstones.end())
    return json::serialize(
        json::object{{"gone", id.str()},
                     {"cancelled", stone->second.Cancelled},
                     {"untilMs", toMillis(stone->second.Until)}});
  return json::serialize(json::object{{"forget", id.str()}});
}

static std::string encodeTask(const StoredTask &task) {
  return json::serialize(json::object{{"task", taskToJson(task)}});
}

/// Moves ids from one set to another while their encoded records fit.
template <typename Id, typename Encode>
static void takeSome(std::set<Id> &from, std::set<Id> &to, std::size_t &room,
                     std::vector<std::string> &out, Encode encode) {
  while (!from.empty()) {
    std::string text = encode(*from.begin());
    if (text.size() > room && !out.empty()) {
      room = 0;
      return;
    }
    room -= std::min(room, text.size());
    out.push_back(std::move(text));
    to.insert(from.extract(from.begin()));
  }
}

std::vector<std::string> TaskTable::takeChanges(std::size_t maxBytes,
                                                DirtySet &taken) {
  std::vector<std::string> out;
  std::size_t room = maxBytes;
  takeSome(Dirty.Jobs, taken.Jobs, room, out,
           [&](const base::JobId &id) { return encodeJob(id, true); });
  // A task record is only readable after its job's.
  if (Dirty.Jobs.empty())
    takeSome(Dirty.Tasks, taken.Tasks, room, out,
             [&](const base::TaskId &id) { return encodeTask(Tasks.at(id)); });
  InFlight = taken;
  return out;
}

void TaskTable::settle(const DirtySet &taken, bool committed) {
  InFlight = {};
  if (committed) {
    for (const base::JobId &it : taken.Jobs)
      Fresh.erase(it);
    return;
  }
  Dirty.Jobs.insert(taken.Jobs.begin(), taken.Jobs.end());
  for (const base::TaskId &it : taken.Tasks)
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

static base::Result<void> applyJob(FieldReader &in, JobRecord &record) {
  BOOST_OUTCOME_TRY(record.Spec, specFromJson(in.child("job")));
  record.AdmittedAt = fromMillis(in.number("atMs"));
  record.Cancelled = in.flag("cancelled");
  std::int64_t ended = in.number("endedMs");
  record.EndedAt.reset();
  if (ended != 0)
    record.EndedAt = fromMillis(ended);
  return base::success();
}

base::Result<void> TaskTable::applyTask(StoredTask task) {
  auto owner = Jobs.find(task.Task.Job);
  if (owner == Jobs.end())
    return base::fail(base::Errc::ParseFailed,
                      "task " + task.Task.Id.str() + " has no job");
  addTask(owner->second, task);
  TaskRecord &known = Tasks.at(task.Task.Id);
  if (known.Holding)
    release(known);
  owner->second.Open += isEnd(task.Task.State) ? 0 : 1;
  owner->second.Open -= isEnd(known.Task.State) ? 0 : 1;
  static_cast<StoredTask &>(known) = std::move(task);
  if (known.Holding)
    hold(known);
  return base::success();
}

void TaskTable::eraseTask(const base::TaskId &id) {
  TaskRecord *known = task(id);
  if (known == nullptr)
    return;
  if (known->Holding)
    release(*known);
  if (JobRecord *owner = job(known->Task.Job)) {
    std::erase(owner->Tasks, id);
    owner->Open -= isEnd(known->Task.State) ? 0 : 1;
  }
  Tasks.erase(id);
}

void TaskTable::eraseJob(const base::JobId &id) {
  JobRecord *known = job(id);
  if (known == nullptr)
    return;
  std::vector<base::TaskId> tasks = known->Tasks;
  for (const base::TaskId &it : tasks)
    eraseTask(it);
  Jobs.erase(id);
}

base::Result<void> TaskTable::apply(const json::value &op) {
  FieldReader in(op);
  if (in.has("job")) {
    base::JobId id(FieldReader(in.child("job")).text("id"));
    Tombstones.erase(id);
    // A snapshot may already hold the new tasks, and what became of them.
    bool known = Jobs.count(id) > 0;
    BOOST_OUTCOME_TRY(applyJob(in, Jobs[id]));
    if (!known)
      fillJob(Jobs[id], indicesFromJson(in.list("fresh")));
  } else if (in.has("task")) {
    BOOST_OUTCOME_TRY(StoredTask task, taskFromJson(in.child("task")));
    BOOST_OUTCOME_TRY(applyTask(std::move(task)));
  } else if (in.has("drop")) {
    eraseTask(base::TaskId(in.text("drop")));
  } else if (in.has("gone")) {
    base::JobId id(in.text("gone"));
    eraseJob(id);
    Tombstones[id] = {in.flag("cancelled"), fromMillis(in.number("untilMs"))};
  } else {
    base::JobId id(in.text("forget"));
    eraseJob(id);
    Tombstones.erase(id);
  }
  if (in.failed())
    return in.error();
  return base::success();
}

} // namespace endivedoor::control::detail
