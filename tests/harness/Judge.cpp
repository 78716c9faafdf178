#include "harness/Judge.h"

#include <map>
#include <optional>

namespace endivedoor::harness {

namespace json = boost::json;

Micros nowMicros() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

static std::string text(const json::object &row, const char *key) {
  const json::value *v = row.if_contains(key);
  return v && v->is_string() ? std::string(v->as_string()) : std::string();
}

static std::int64_t number(const json::object &row, const char *key) {
  const json::value *v = row.if_contains(key);
  if (!v)
    return 0;
  if (v->is_int64())
    return v->as_int64();
  return v->is_uint64() ? static_cast<std::int64_t>(v->as_uint64()) : 0;
}

static std::string at(const json::object &row) {
  return " at " + std::to_string(number(row, "us"));
}

static std::string attemptName(const json::object &row) {
  return text(row, "task") + "#" + std::to_string(number(row, "attempt"));
}

static bool isEnd(const json::object &row) {
  std::string event = text(row, "event");
  return event == "end" || event == "evict";
}

std::vector<std::string> findOverloads(const Records &workers,
                                       const JudgedCapacity &capacity) {
  std::vector<std::string> found;
  std::map<std::string, std::map<std::string, const json::object *>> running;
  for (const json::object &row : workers) {
    auto &tasks = running[text(row, "worker")];
    if (isEnd(row))
      tasks.erase(attemptName(row));
    if (text(row, "event") != "start")
      continue;
    tasks[attemptName(row)] = &row;
    JudgedCapacity used{0, 0, 0};
    for (const auto &[name, start] : tasks) {
      used.Slots += number(*start, "slots");
      used.Connections += number(*start, "connections");
      used.MemoryMb += number(*start, "memoryMb");
    }
    if (used.Slots > capacity.Slots || used.MemoryMb > capacity.MemoryMb ||
        used.Connections > capacity.Connections)
      found.push_back(text(row, "worker") + " holds " +
                      std::to_string(used.Slots) + " slots" + at(row));
  }
  return found;
}

std::vector<std::string> findDoubledTasks(const Records &workers) {
  std::vector<std::string> found;
  std::map<std::string, std::set<std::string>> live;
  for (const json::object &row : workers) {
    std::string place =
        text(row, "worker") + "#" + std::to_string(number(row, "attempt"));
    std::set<std::string> &places = live[text(row, "task")];
    if (isEnd(row))
      places.erase(place);
    if (text(row, "event") != "start")
      continue;
    places.insert(place);
    if (places.size() > 1)
      found.push_back(text(row, "task") + " runs on " + *places.begin() +
                      " and " + *places.rbegin() + at(row));
  }
  return found;
}

std::vector<std::string>
findWrongResumptions(const Records &workers,
                     const std::set<std::string> &open) {
  std::vector<std::string> found;
  std::map<std::string, std::string> waiting;
  std::map<std::string, int> resumed;
  for (const json::object &row : workers) {
    std::string event = text(row, "event");
    std::string checkpoint = text(row, "checkpoint");
    if (event == "evict" && !checkpoint.empty())
      waiting[text(row, "task")] = checkpoint;
    if (event != "resume")
      continue;
    auto it = waiting.find(text(row, "task"));
    if (it != waiting.end() && it->second == checkpoint)
      waiting.erase(it);
    if (++resumed[checkpoint] > 1)
      found.push_back(attemptName(row) + " resumes " + checkpoint + " again" +
                      at(row));
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
    Micros us = number(row, "us");
    if (text(row, "event") == "start" &&
        text(row, "worker").starts_with(zone + "-") && us >= from && us <= to)
      found.push_back(attemptName(row) + " starts on " + text(row, "worker") +
                      " " + std::to_string((us - from) / 1000) +
                      " ms after the bound");
  }
  return found;
}

std::vector<std::string> findDoubledBookings(const Records &workers) {
  std::vector<std::string> found;
  std::map<std::string, int> runs;
  for (const json::object &row : workers)
    if (std::string key = text(row, "key");
        text(row, "event") == "request" && !key.empty() && ++runs[key] == 2)
      found.push_back(key + " ran again on " + text(row, "worker") + at(row));
  return found;
}

std::vector<std::string> findFalseNotRun(const Records &workers,
                                         const Records &caller) {
  std::set<std::string> ran;
  for (const json::object &row : workers)
    if (text(row, "event") == "request")
      ran.insert(text(row, "id"));
  std::vector<std::string> found;
  for (const json::object &row : caller)
    if (text(row, "outcome") == "not-run" && ran.contains(text(row, "id")))
      found.push_back(text(row, "id") + " was reported not-run and ran");
  return found;
}

std::set<std::string> finishedTasks(const Records &workers) {
  std::set<std::string> tasks;
  for (const json::object &row : workers)
    if (text(row, "event") == "end" && text(row, "reason") == "finished")
      tasks.insert(text(row, "task"));
  return tasks;
}

} // namespace endivedoor::harness
