#include "harness/RecordChecks.h"

#include <map>
#include <optional>

namespace endivedoor::harness {

namespace json = boost::json;

Micros nowMicros() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

static std::string stringField(const json::object &row, const char *key) {
  const json::value *v = row.if_contains(key);
  return v && v->is_string() ? std::string(v->as_string()) : std::string();
}

static std::int64_t integerField(const json::object &row, const char *key) {
  const json::value *v = row.if_contains(key);
  if (!v)
    return 0;
  if (v->is_int64())
    return v->as_int64();
  return v->is_uint64() ? static_cast<std::int64_t>(v->as_uint64()) : 0;
}

static std::string timeSuffix(const json::object &row) {
  return " at " + std::to_string(integerField(row, "us"));
}

static std::string attemptKey(const json::object &row) {
  return stringField(row, "task") + "#" +
         std::to_string(integerField(row, "attempt"));
}

static bool isEnd(const json::object &row) {
  std::string event = stringField(row, "event");
  return event == "end" || event == "evict";
}

std::vector<std::string> findOverloads(const Records &workers,
                                       const WorkerCapacity &capacity) {
  std::vector<std::string> found;
  std::map<std::string, std::map<std::string, const json::object *>> running;
  for (const json::object &row : workers) {
    auto &tasks = running[stringField(row, "worker")];
    if (isEnd(row))
      tasks.erase(attemptKey(row));
    if (stringField(row, "event") != "start")
      continue;
    tasks[attemptKey(row)] = &row;
    WorkerCapacity used{0, 0, 0};
    for (const auto &[name, start] : tasks) {
      used.Slots += integerField(*start, "slots");
      used.Connections += integerField(*start, "connections");
      used.MemoryMb += integerField(*start, "memoryMb");
    }
    if (used.Slots > capacity.Slots || used.MemoryMb > capacity.MemoryMb ||
        used.Connections > capacity.Connections)
      found.push_back(stringField(row, "worker") + " uses " +
                      std::to_string(used.Slots) + " slots" + timeSuffix(row));
  }
  return found;
}

std::vector<std::string> findConcurrentAttempts(const Records &workers) {
  std::vector<std::string> found;
  std::map<std::string, std::set<std::string>> live;
  for (const json::object &row : workers) {
    std::string place = stringField(row, "worker") + "#" +
                        std::to_string(integerField(row, "attempt"));
    std::set<std::string> &places = live[stringField(row, "task")];
    if (isEnd(row))
      places.erase(place);
    if (stringField(row, "event") != "start")
      continue;
    places.insert(place);
    if (places.size() > 1)
      found.push_back(stringField(row, "task") + " runs on " + *places.begin() +
                      " and " + *places.rbegin() + timeSuffix(row));
  }
  return found;
}

std::vector<std::string> findInvalidResumes(const Records &workers,
                                            const std::set<std::string> &open) {
  std::vector<std::string> found;
  std::map<std::string, std::string> waiting;
  std::map<std::string, int> resumed;
  for (const json::object &row : workers) {
    std::string event = stringField(row, "event");
    std::string checkpoint = stringField(row, "checkpoint");
    if (event == "evict" && !checkpoint.empty())
      waiting[stringField(row, "task")] = checkpoint;
    if (event != "resume")
      continue;
    auto it = waiting.find(stringField(row, "task"));
    if (it != waiting.end() && it->second == checkpoint)
      waiting.erase(it);
    if (++resumed[checkpoint] > 1)
      found.push_back(attemptKey(row) + " resumes " + checkpoint + " again" +
                      timeSuffix(row));
  }
  for (const auto &[task, checkpoint] : waiting)
    if (!open.contains(task))
      found.push_back(task + " was never resumed from " + checkpoint);
  return found;
}

std::vector<std::string> findStarts(const Records &workers,
                                    const std::string &zone, Micros from,
                                    Micros to) {
  std::vector<std::string> found;
  for (const json::object &row : workers) {
    Micros us = integerField(row, "us");
    if (stringField(row, "event") == "start" &&
        stringField(row, "worker").starts_with(zone + "-") && us >= from &&
        us <= to)
      found.push_back(
          attemptKey(row) + " starts on " + stringField(row, "worker") + " " +
          std::to_string((us - from) / 1000) + " ms after the bound");
  }
  return found;
}

std::vector<std::string> findRepeatedBookings(const Records &workers) {
  std::vector<std::string> found;
  std::map<std::string, int> runs;
  for (const json::object &row : workers)
    if (std::string key = stringField(row, "key");
        stringField(row, "event") == "request" && !key.empty() &&
        ++runs[key] == 2)
      found.push_back(key + " ran again on " + stringField(row, "worker") +
                      timeSuffix(row));
  return found;
}

std::vector<std::string> findRunsReportedNotRun(const Records &workers,
                                                const Records &caller) {
  std::set<std::string> ran;
  for (const json::object &row : workers)
    if (stringField(row, "event") == "request")
      ran.insert(stringField(row, "id"));
  std::vector<std::string> found;
  for (const json::object &row : caller)
    if (stringField(row, "outcome") == "not-run" &&
        ran.contains(stringField(row, "id")))
      found.push_back(stringField(row, "id") +
                      " was reported as not-run but ran");
  return found;
}

std::set<std::string> finishedTasks(const Records &workers) {
  std::set<std::string> tasks;
  for (const json::object &row : workers)
    if (stringField(row, "event") == "end" &&
        stringField(row, "reason") == "finished")
      tasks.insert(stringField(row, "task"));
  return tasks;
}

} // namespace endivedoor::harness
