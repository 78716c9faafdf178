#include "endivedoor/dispatch/Records.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <charconv>
#include <cstdio>

namespace endivedoor::dispatch {

namespace json = boost::json;
using base::Errc;
using base::fail;
using model::JobNumber;
using platform::JsonView;

namespace keys {

static std::string shardKey(const char *kind, std::int32_t shard) {
  return std::string("endivedoor/") + kind + "/" + std::to_string(shard);
}

std::string shardPrefix(std::int32_t shard) {
  return shardKey("s", shard) + "/";
}
std::string owner(std::int32_t s) { return shardPrefix(s) + "owner"; }
std::string job(std::int32_t s, JobNumber job) {
  return shardPrefix(s) + "j/" + formatJobNumber(job);
}
std::string cancel(std::int32_t s, JobNumber job) {
  return shardPrefix(s) + "c/" + formatJobNumber(job);
}
std::string roomGrant(std::int32_t s, const model::TaskKey &task,
                      std::int32_t from) {
  return shardPrefix(s) + "g/" + formatTask(task) + "/" + std::to_string(from);
}
std::string roomReturn(std::int32_t s, const model::TaskKey &task) {
  return shardPrefix(s) + "r/" + formatTask(task);
}
std::string progressPrefix(std::int32_t shard) {
  return shardKey("p", shard) + "/";
}
std::string progress(std::int32_t shard, JobNumber job) {
  return progressPrefix(shard) + formatJobNumber(job);
}
std::string index(JobNumber job) {
  return "endivedoor/i/" + formatJobNumber(job);
}
std::string roster(std::int32_t shard) { return shardKey("r", shard); }
std::string loadPrefix() { return "endivedoor/q/"; }
std::string load(std::int32_t shard) { return shardKey("q", shard); }
std::string colocation(std::int32_t shard) { return shardKey("m", shard); }
std::string directoryPrefix() { return "endivedoor/d/"; }
std::string shardEntryPrefix() { return directoryPrefix() + "shard/"; }
std::string shardEntry(std::int32_t shard) {
  return shardKey("d/shard", shard);
}
std::string memberPrefix() { return directoryPrefix() + "member/"; }
std::string member(const std::string &name) { return memberPrefix() + name; }
std::string layout() { return directoryPrefix() + "layout"; }
std::string assignment() { return directoryPrefix() + "assignment"; }

} // namespace keys

std::string formatJobNumber(JobNumber job) {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016llx",
                static_cast<unsigned long long>(base::toNumber(job)));
  return buf;
}

base::Result<JobNumber> parseJobNumber(std::string_view text) {
  constexpr std::size_t digits = 16;
  std::uint64_t n = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n, 16);
  if (text.size() != digits || ec != std::errc() ||
      end != text.data() + text.size())
    return fail(Errc::ParseFailed, "not a job id: " + std::string(text));
  return JobNumber{n};
}

std::string formatTask(const model::TaskKey &task) {
  return formatJobNumber(task.Job) + "." + std::to_string(task.Step) + "." +
         std::to_string(task.Index);
}

base::Result<model::TaskKey> parseTask(std::string_view text) {
  auto invalid = [&] {
    return fail(Errc::ParseFailed, "not a task: " + std::string(text));
  };
  std::size_t first = text.find('.');
  std::size_t second = first == text.npos ? first : text.find('.', first + 1);
  if (second == text.npos)
    return invalid();
  base::Result<JobNumber> job = parseJobNumber(text.substr(0, first));
  if (!job)
    return job.as_failure();
  model::TaskKey task{job.value(), 0, 0, 0};
  auto read = [](std::string_view from, std::int32_t &to, std::int32_t max) {
    auto [end, ec] =
        std::from_chars(from.data(), from.data() + from.size(), to);
    return ec == std::errc() && end == from.data() + from.size() && to >= 0 &&
           to <= max;
  };
  if (!read(text.substr(first + 1, second - first - 1), task.Step,
            limits::MaxSteps - 1) ||
      !read(text.substr(second + 1), task.Index, limits::MaxTasksPerJob - 1))
    return invalid();
  return task;
}

base::Result<model::TaskKey> parseRoomTask(std::string_view name) {
  return parseTask(name.substr(0, name.find('/')));
}

namespace {

/// Largest number of occurrences in a progress record, and of workers in a
/// roster.
constexpr std::size_t MaxListItems = 1 << 20;
/// Largest stretch factor of a queue's policy.
constexpr double MaxStretch = 1e6;

void setUnlessDefault(json::object &to, const char *key, std::int64_t n) {
  if (n != 0)
    to[key] = n;
}

void setIf(json::object &to, const char *key, const std::string &text) {
  if (!text.empty())
    to[key] = text;
}

json::object stepToJson(const model::StepSpec &s) {
  json::object to;
  to["count"] = s.Count;
  setUnlessDefault(to, "cpu", count(s.Size.Cpu));
  setUnlessDefault(to, "memory", count(s.Size.Memory));
  setUnlessDefault(to, "accelerators", s.Size.Accelerators);
  setUnlessDefault(to, "estimateMs", s.Estimate.count());
  if (!s.Dependencies.empty())
    to["after"] = json::value_from(s.Dependencies);
  setIf(to, "requirement", s.Requirement);
  setIf(to, "affinity", s.Affinity);
  setIf(to, "image", s.Image);
  setUnlessDefault(to, "maxPerWorker", s.MaxPerWorker);
  setUnlessDefault(to, "targetMs", s.Target.count());
  setUnlessDefault(to, "mayMiss", s.MaxUnavailable);
  setUnlessDefault(to, "checkpoints", s.SupportsCheckpoints);
  setUnlessDefault(to, "gang", s.Gang);
  setUnlessDefault(to, "sameRack", s.SameRack);
  setUnlessDefault(to, "speculative", s.Speculative);
  setUnlessDefault(to, "lasting", s.LongRunning);
  setUnlessDefault(to, "filler", s.Filler);
  return to;
}

std::int32_t readInt32(const JsonView &v, const char *key) {
  return static_cast<std::int32_t>(v.optionalNumber(key, 0, INT32_MAX));
}

model::StepSpec stepFromJson(const JsonView &v) {
  model::StepSpec s;
  s.Count = readInt32(v, "count");
  s.Size.Cpu = base::MilliCores{v.optionalNumber("cpu", 0, INT32_MAX)};
  s.Size.Memory = base::MebiBytes{v.optionalNumber("memory", 0, INT32_MAX)};
  s.Size.Accelerators = readInt32(v, "accelerators");
  s.Estimate = std::chrono::milliseconds(readInt32(v, "estimateMs"));
  s.Requirement = v.optionalText("requirement");
  s.Affinity = v.optionalText("affinity");
  s.Image = v.optionalText("image");
  s.MaxPerWorker = readInt32(v, "maxPerWorker");
  s.Target = std::chrono::milliseconds(readInt32(v, "targetMs"));
  s.MaxUnavailable = readInt32(v, "mayMiss");
  s.SupportsCheckpoints = readInt32(v, "checkpoints");
  s.Gang = readInt32(v, "gang");
  s.SameRack = readInt32(v, "sameRack");
  s.Speculative = readInt32(v, "speculative");
  s.LongRunning = readInt32(v, "lasting");
  s.Filler = readInt32(v, "filler");
  return s;
}

/// Returns the array in field \p key, or null if the field is absent. Records
/// an error if it is not an array.
const json::array *findArray(const json::value &from, const char *key,
                             const JsonView &v) {
  const json::object *object = from.if_object();
  const json::value *field = object ? object->if_contains(key) : nullptr;
  if (field && !field->is_array())
    v.setError(key, "is not an array");
  return field ? field->if_array() : nullptr;
}

/// Reads the array of integers in field \p key, which JsonView does not
/// support.
template <typename T>
void readNumbers(const json::value &from, const char *key, const JsonView &v,
                 std::vector<T> &to) {
  const json::array *list = findArray(from, key, v);
  if (!list)
    return;
  for (const json::value &it : *list) {
    if (!it.is_int64())
      return v.setError(key, "contains a value that is not an integer");
    to.push_back(static_cast<T>(it.get_int64()));
  }
}

template <typename T, typename F>
base::Result<T> decode(const std::string &text, F read) {
  base::Result<json::value> value = platform::parseJson(text);
  if (!value)
    return value.as_failure();
  if (!value.value().is_object())
    return fail(Errc::ParseFailed, "record is not a JSON object");
  std::string fault;
  T result = read(value.value(), JsonView(value.value(), fault));
  if (!fault.empty())
    return fail(Errc::ParseFailed, fault);
  return result;
}

void crashesToJson(json::object &to, const CrashRecord &crashes) {
  if (!crashes.Runs.empty())
    to["x"] = json::value_from(crashes.Runs);
  setUnlessDefault(to, "y", crashes.LatestStarts);
  setUnlessDefault(to, "w", crashes.AnnouncedRun);
  setUnlessDefault(to, "z", crashes.LongestRun.count());
  setUnlessDefault(to, "v", crashes.Confirmed);
}

/// Reads what crashesToJson() has written.
CrashRecord crashesFromJson(const json::value &from, const JsonView &v) {
  CrashRecord crashes;
  readNumbers(from, "x", v, crashes.Runs);
  crashes.LatestStarts = readInt32(v, "y");
  crashes.AnnouncedRun = v.optionalNumber("w", 0, platform::MaxInt64);
  crashes.LongestRun = std::chrono::milliseconds(readInt32(v, "z"));
  crashes.Confirmed = readInt32(v, "v");
  return crashes;
}

TaskProgress taskFromJson(const json::value &from, std::string &fault) {
  TaskProgress t;
  JsonView v(from, fault);
  t.Step = readInt32(v, "s");
  t.Index = readInt32(v, "i");
  t.Done = readInt32(v, "d");
  t.Checkpoint = v.optionalText("c", limits::MaxCheckpointBytes);
  readNumbers(from, "f", v, t.FailedRuns);
  t.Crashes = crashesFromJson(from, v);
  if (v.has("l"))
    t.DelegatedTo = readInt32(v, "l");
  return t;
}

bool isInt32(std::int64_t n) { return n >= 0 && n <= INT32_MAX; }

bool isName(const std::string &name) {
  return name.size() <= limits::MaxNameBytes;
}

/// Returns the name of the first part of a step that the decoder would reject,
/// or null.
const char *unreadablePartOf(const model::StepSpec &s) {
  if (s.Count < 0 || s.Count > limits::MaxTasksPerJob)
    return "count";
  if (!isInt32(count(s.Size.Cpu)) || !isInt32(count(s.Size.Memory)) ||
      !isInt32(s.Size.Accelerators))
    return "size";
  if (!isInt32(s.Estimate.count()) || !isInt32(s.Target.count()))
    return "time";
  if (!isName(s.Requirement) || !isName(s.Affinity) || !isName(s.Image))
    return "name";
  if (!isInt32(s.MaxPerWorker) || !isInt32(s.MaxUnavailable))
    return "limit";
  return nullptr;
}

/// Returns the name of the first part of the schedule of a job that cannot be
/// carried out, or null.
const char *impossiblePartOf(const model::JobGraph &graph) {
  if (graph.Occurrences == 0)
    return nullptr;
  if (graph.FirstDue > limits::MaxDueTime)
    return "due time";
  if (graph.Occurrences > 1 &&
      graph.Interval >
          (limits::MaxDueTime - graph.FirstDue) / (graph.Occurrences - 1))
    return "interval";
  std::int64_t tasks = 0;
  for (const model::StepSpec &it : graph.Steps)
    tasks += it.Count;
  return tasks > limits::MaxTasksOfOccurrences / graph.Occurrences
             ? "number of occurrences"
             : nullptr;
}

/// Returns an error if the decoder would reject the record of the job.
base::Result<void> checkReadable(const model::AcceptedJob &job) {
  auto exceeds = [](const std::string &what) {
    return fail(Errc::LimitExceeded, what);
  };
  if (job.Queue.empty() || !isName(job.Queue) ||
      job.Policy.Service.str().empty() || !isName(job.Policy.Service.str()))
    return exceeds("name of the queue or its service");
  if (!isName(job.Account))
    return exceeds("name of the account");
  if (!isInt32(job.Policy.Priority) || !isInt32(job.Policy.MaxAttempts) ||
      !isInt32(job.Policy.Target.count()) ||
      !(job.Policy.Stretch >= 0 && job.Policy.Stretch <= MaxStretch))
    return exceeds("policy of the queue");
  if (job.Graph.Payload.size() > limits::MaxPayloadBytes)
    return exceeds("payload");
  if (!isInt32(job.Graph.Occurrences) || job.Graph.FirstDue.count() < 0 ||
      job.Graph.Interval.count() < 0)
    return exceeds("occurrences");
  if (const char *part = impossiblePartOf(job.Graph))
    return exceeds(part);
  if (job.Graph.Steps.size() > limits::MaxSteps)
    return exceeds("number of steps");
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < job.Graph.Steps.size(); ++i) {
    if (const char *part = unreadablePartOf(job.Graph.Steps[i]))
      return exceeds("step " + std::to_string(i) + ": " + part);
    tasks += job.Graph.Steps[i].Count;
  }
  if (tasks > limits::MaxTasksPerJob)
    return exceeds("number of tasks");
  return base::success();
}

} // namespace

base::Result<std::string> encodeJob(const model::AcceptedJob &job,
                                    const JobHandover *handover,
                                    const JobPart *part) {
  if (base::Result<void> checked = checkReadable(job); !checked)
    return checked.as_failure();
  json::object to;
  if (handover) {
    to["progress"] = encodeProgress(handover->Progress);
    to["lastRun"] = handover->LastRun;
    to["started"] = handover->Started;
  }
  if (part) {
    json::array tasks;
    for (const TaskRef &it : part->Tasks) {
      json::object task{{"s", it.Step}, {"i", it.Index}};
      crashesToJson(task, it.Crashes);
      tasks.push_back(std::move(task));
    }
    json::object fields{{"tasks", std::move(tasks)},
                        {"lastRun", part->LastRun}};
    if (part->HomeShard)
      fields["home"] = *part->HomeShard;
    setUnlessDefault(fields, "first", part->FirstRevision);
    setUnlessDefault(fields, "waitedMs", part->Waited.count());
    to["part"] = std::move(fields);
  }
  to["queue"] = job.Queue;
  setIf(to, "account", job.Account);
  to["service"] = job.Policy.Service.str();
  setUnlessDefault(to, "priority", job.Policy.Priority);
  to["maxAttempts"] = job.Policy.MaxAttempts;
  to["stretch"] = job.Policy.Stretch;
  setUnlessDefault(to, "targetMs", job.Policy.Target.count());
  to["payload"] = job.Graph.Payload;
  setUnlessDefault(to, "repeats", job.Graph.Occurrences);
  setUnlessDefault(to, "firstDueMs", job.Graph.FirstDue.count());
  setUnlessDefault(to, "intervalMs", job.Graph.Interval.count());
  json::array steps;
  for (const model::StepSpec &it : job.Graph.Steps)
    steps.push_back(stepToJson(it));
  to["steps"] = std::move(steps);
  std::string text = json::serialize(to);
  if (text.size() > limits::MaxRecordBytes)
    return fail(Errc::LimitExceeded,
                "record of " + std::to_string(text.size()) + " bytes");
  return text;
}

base::Result<model::AcceptedJob> decodeJob(JobNumber id,
                                           const std::string &text) {
  return decode<model::AcceptedJob>(
      text, [&](const json::value &value, const JsonView &v) {
        model::AcceptedJob job;
        job.Id = id;
        job.Queue = v.text("queue");
        job.Account = v.optionalText("account", limits::MaxNameBytes);
        job.Policy.Service = base::ServiceName(v.text("service"));
        job.Policy.Priority = readInt32(v, "priority");
        job.Policy.MaxAttempts = readInt32(v, "maxAttempts");
        job.Policy.Stretch = v.optionalReal("stretch", 0, MaxStretch, 1);
        job.Policy.Target = std::chrono::milliseconds(readInt32(v, "targetMs"));
        job.Graph.Payload = v.optionalText("payload", limits::MaxPayloadBytes);
        job.Graph.Occurrences = readInt32(v, "repeats");
        job.Graph.FirstDue = std::chrono::milliseconds(
            v.optionalNumber("firstDueMs", 0, platform::MaxInt64));
        job.Graph.Interval = std::chrono::milliseconds(
            v.optionalNumber("intervalMs", 0, platform::MaxInt64));
        std::vector<JsonView> steps = v.list("steps", limits::MaxSteps);
        const json::array *raw = findArray(value, "steps", v);
        for (std::size_t i = 0; i < steps.size(); ++i) {
          job.Graph.Steps.push_back(stepFromJson(steps[i]));
          readNumbers((*raw)[i], "after", steps[i],
                      job.Graph.Steps.back().Dependencies);
        }
        if (const char *part = impossiblePartOf(job.Graph))
          v.setError(part, "is out of range");
        return job;
      });
}

base::Result<std::optional<JobHandover>>
decodeHandover(const std::string &text) {
  // Few jobs are handed over, and parsing each record once more is costly.
  if (text.find("\"progress\"") == std::string::npos)
    return std::optional<JobHandover>();
  std::string progress;
  auto result = decode<std::optional<JobHandover>>(
      text,
      [&](const json::value &value,
          const JsonView &v) -> std::optional<JobHandover> {
        if (!value.get_object().contains("progress"))
          return std::nullopt;
        progress = v.text("progress", limits::MaxRecordBytes);
        JobHandover handover;
        handover.LastRun = v.number("lastRun", 0, platform::MaxInt64);
        // Earlier versions stored no field for it.
        handover.Started =
            v.has("started") ? v.flag("started") : handover.LastRun > 0;
        return handover;
      });
  if (!result || !result.value())
    return result;
  base::Result<JobProgress> read = decodeProgress(progress);
  if (!read)
    return read.as_failure();
  result.value()->Progress = std::move(read.value());
  return result;
}

/// Longest wait of delegated tasks that is read.
constexpr std::chrono::milliseconds MaxWaitedTime = std::chrono::hours(24);

base::Result<std::optional<JobPart>> decodePart(const std::string &text) {
  if (text.find("\"part\"") == std::string::npos)
    return std::optional<JobPart>();
  return decode<std::optional<JobPart>>(
      text,
      [](const json::value &value,
         const JsonView &v) -> std::optional<JobPart> {
        if (!v.has("part"))
          return std::nullopt;
        JsonView fields = v.object("part");
        JobPart part;
        part.LastRun = fields.number("lastRun", 0, platform::MaxInt64);
        if (fields.has("home"))
          part.HomeShard = readInt32(fields, "home");
        part.FirstRevision =
            fields.optionalNumber("first", 0, platform::MaxInt64);
        part.Waited = std::chrono::milliseconds(
            fields.optionalNumber("waitedMs", 0, MaxWaitedTime.count()));
        std::vector<JsonView> tasks =
            fields.list("tasks", limits::MaxTasksPerJob);
        const json::value &object = value.get_object().at("part");
        const json::array *raw = findArray(object, "tasks", fields);
        for (std::size_t i = 0; i < tasks.size(); ++i) {
          const JsonView &it = tasks[i];
          part.Tasks.push_back({readInt32(it, "s"), readInt32(it, "i"),
                                crashesFromJson((*raw)[i], it)});
        }
        return part;
      });
}

/// Largest amount of a resource of a room that is read.
constexpr std::int64_t MaxRoom = std::int64_t{1} << 30;

std::string encodeRoomGrant(const RoomGrant &grant) {
  json::object to{{"shard", grant.Shard}};
  if (grant.Size != base::Resources{}) {
    to["cpu"] = count(grant.Size.Cpu);
    to["memory"] = count(grant.Size.Memory);
    to["accelerators"] = grant.Size.Accelerators;
    to["service"] = grant.Service.str();
  }
  setIf(to, "requirement", grant.Requirement);
  return json::serialize(to);
}

base::Result<RoomGrant> decodeRoomGrant(const std::string &text) {
  return decode<RoomGrant>(text, [](const json::value &, const JsonView &v) {
    RoomGrant grant;
    grant.Shard = static_cast<std::int32_t>(v.number("shard", 0, INT32_MAX));
    if (v.has("service")) {
      grant.Size.Cpu = base::MilliCores{v.number("cpu", 0, MaxRoom)};
      grant.Size.Memory = base::MebiBytes{v.number("memory", 0, MaxRoom)};
      grant.Size.Accelerators =
          static_cast<std::int32_t>(v.number("accelerators", 0, MaxRoom));
      grant.Service = base::ServiceName(v.text("service"));
      grant.Requirement = v.optionalText("requirement");
    }
    return grant;
  });
}

std::string encodeRoomReturn(const RoomReturn &returned) {
  json::object to{{"shard", returned.Shard}};
  if (returned.Instead)
    to["instead"] = formatTask(*returned.Instead);
  return json::serialize(to);
}

base::Result<RoomReturn> decodeRoomReturn(const std::string &text) {
  return decode<RoomReturn>(text, [](const json::value &, const JsonView &v) {
    RoomReturn returned;
    returned.Shard = static_cast<std::int32_t>(v.number("shard", 0, INT32_MAX));
    if (!v.has("instead"))
      return returned;
    base::Result<model::TaskKey> task = parseTask(v.text("instead"));
    if (task)
      returned.Instead = task.value();
    else
      v.setError("instead", "is not a task");
    return returned;
  });
}

std::string encodeIndex(const JobIndexEntry &index) {
  json::object to;
  to["shard"] = index.Shard;
  to["state"] = static_cast<int>(index.State);
  setUnlessDefault(to, "never", index.NeverStored);
  setIf(to, "account", index.Account);
  return json::serialize(to);
}

base::Result<JobIndexEntry> decodeIndex(const std::string &text) {
  return decode<JobIndexEntry>(
      text, [](const json::value &, const JsonView &v) {
        JobIndexEntry index;
        index.Shard = readInt32(v, "shard");
        index.State = static_cast<model::JobState>(v.optionalNumber(
            "state", 0, static_cast<int>(model::JobState::Cancelled)));
        index.NeverStored = v.optionalNumber("never", 0, 1) == 1;
        index.Account = v.optionalText("account", limits::MaxNameBytes);
        return index;
      });
}

static std::string serializeProgress(const JobProgress &progress,
                                     std::size_t maxCheckpointBytes) {
  json::array occurrences;
  for (const OccurrenceProgress &it : progress.Occurrences) {
    json::object o;
    o["k"] = it.Number;
    setUnlessDefault(o, "x", it.Complete);
    json::array tasks;
    for (const TaskProgress &t : it.Tasks) {
      json::object task;
      setUnlessDefault(task, "s", t.Step);
      setUnlessDefault(task, "i", t.Index);
      setUnlessDefault(task, "d", t.Done);
      if (t.Checkpoint.size() <= maxCheckpointBytes)
        setIf(task, "c", t.Checkpoint);
      if (!t.FailedRuns.empty())
        task["f"] = json::value_from(t.FailedRuns);
      crashesToJson(task, t.Crashes);
      if (t.DelegatedTo)
        task["l"] = *t.DelegatedTo;
      tasks.push_back(std::move(task));
    }
    o["t"] = std::move(tasks);
    occurrences.push_back(std::move(o));
  }
  return json::serialize(json::object{{"o", std::move(occurrences)}});
}

std::string encodeProgress(const JobProgress &progress) {
  std::string text = serializeProgress(progress, limits::MaxCheckpointBytes);
  // Escaping the text for a job record can double its size.
  if (text.size() > limits::MaxRecordBytes / 2)
    text = serializeProgress(progress, 0);
  return text;
}

base::Result<JobProgress> decodeProgress(const std::string &text) {
  return decode<JobProgress>(
      text, [](const json::value &value, const JsonView &v) {
        JobProgress progress;
        std::vector<JsonView> list = v.list("o", MaxListItems);
        const json::array *raw = findArray(value, "o", v);
        std::string fault;
        for (std::size_t i = 0; i < list.size(); ++i) {
          OccurrenceProgress o;
          o.Number = readInt32(list[i], "k");
          o.Complete = readInt32(list[i], "x");
          if (const json::array *tasks = findArray((*raw)[i], "t", list[i]))
            for (const json::value &it : *tasks)
              o.Tasks.push_back(taskFromJson(it, fault));
          progress.Occurrences.push_back(std::move(o));
        }
        if (!fault.empty())
          v.setError("t", fault);
        return progress;
      });
}

std::string encodeCancel(const std::set<std::int32_t> &shards) {
  json::object to;
  if (!shards.empty())
    to["shards"] = json::value_from(shards);
  return json::serialize(to);
}

base::Result<std::set<std::int32_t>> decodeCancel(const std::string &text) {
  return decode<std::set<std::int32_t>>(
      text, [](const json::value &value, const JsonView &v) {
        std::vector<std::int32_t> shards;
        readNumbers(value, "shards", v, shards);
        return std::set<std::int32_t>(shards.begin(), shards.end());
      });
}

/// Encodes tasks as one list of numbers for each job: occurrence, step and
/// index of each task.
static json::object tasksToJson(const std::vector<model::TaskKey> &tasks) {
  json::object jobs;
  for (const model::TaskKey &it : tasks) {
    json::value &numbers = jobs[formatJobNumber(it.Job)];
    if (!numbers.is_array())
      numbers = json::array();
    for (std::int32_t n : {it.Occurrence, it.Step, it.Index})
      numbers.get_array().push_back(n);
  }
  return jobs;
}

static std::vector<model::TaskKey> tasksFromJson(const json::value &value,
                                                 const JsonView &v) {
  constexpr std::size_t numbersPerTask = 3;
  std::vector<model::TaskKey> tasks;
  const json::object *jobs = value.if_object();
  if (!jobs)
    v.setError("tasks", "is not an object");
  else
    for (const auto &[name, numbers] : *jobs) {
      base::Result<JobNumber> job = parseJobNumber(name);
      std::vector<std::int32_t> list;
      readNumbers(value, std::string(name).c_str(), v, list);
      if (!job || list.size() % numbersPerTask != 0) {
        v.setError("tasks", "are not tasks of jobs");
        break;
      }
      for (std::size_t i = 0; i < list.size(); i += numbersPerTask)
        tasks.push_back({job.value(), list[i], list[i + 1], list[i + 2]});
    }
  std::sort(tasks.begin(), tasks.end());
  return tasks;
}

std::string encodeRoster(const std::vector<RosterEntry> &roster) {
  json::array list;
  for (const RosterEntry &it : roster) {
    json::object row{{"id", it.Id.str()},
                     {"ip", it.Endpoint.Ip},
                     {"port", it.Endpoint.Port}};
    setUnlessDefault(row, "term", it.Term);
    if (it.Tasks)
      row["tasks"] = tasksToJson(*it.Tasks);
    if (it.LeaseLeft)
      row["leaseMs"] = it.LeaseLeft->count();
    if (it.Incarnation)
      row["born"] = it.Incarnation->count();
    if (it.LongestLease)
      row["longestLease"] = true;
    if (!it.LateStarts.empty())
      row["lateStarts"] = tasksToJson(it.LateStarts);
    list.push_back(std::move(row));
  }
  return json::serialize(json::object{{"workers", std::move(list)}});
}

base::Result<std::vector<RosterEntry>> decodeRoster(const std::string &text) {
  return decode<std::vector<RosterEntry>>(text, [](const json::value &value,
                                                   const JsonView &v) {
    std::vector<RosterEntry> roster;
    const json::object *record = value.if_object();
    const json::value *rows = record ? record->if_contains("workers") : nullptr;
    for (const JsonView &it : v.list("workers", MaxListItems)) {
      RosterEntry entry{base::WorkerId(it.text("id")),
                        {it.text("ip"), static_cast<std::uint16_t>(
                                            it.number("port", 1, 65535))},
                        it.optionalNumber("term", 0, platform::MaxInt64)};
      // A list of jobs has the job numbers as keys, which a view cannot
      // enumerate.
      const json::object *row = rows->get_array()[roster.size()].if_object();
      if (const json::value *tasks = row ? row->if_contains("tasks") : nullptr)
        entry.Tasks = tasksFromJson(*tasks, it);
      if (const json::value *late =
              row ? row->if_contains("lateStarts") : nullptr)
        entry.LateStarts = tasksFromJson(*late, it);
      if (it.has("leaseMs"))
        entry.LeaseLeft = std::chrono::milliseconds(
            it.number("leaseMs", 0, platform::MaxInt64));
      if (it.has("born"))
        entry.Incarnation =
            std::chrono::milliseconds(it.number("born", 0, platform::MaxInt64));
      entry.LongestLease = it.has("longestLease") && it.flag("longestLease");
      roster.push_back(std::move(entry));
    }
    return roster;
  });
}

} // namespace endivedoor::dispatch
