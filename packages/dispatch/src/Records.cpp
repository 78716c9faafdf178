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

static std::string of(const char *kind, std::int32_t shard) {
  return std::string("endivedoor/") + kind + "/" + std::to_string(shard);
}

std::string shard(std::int32_t shard) { return of("s", shard) + "/"; }
std::string owner(std::int32_t s) { return shard(s) + "owner"; }
std::string job(std::int32_t s, JobNumber job) {
  return shard(s) + "j/" + jobText(job);
}
std::string cancel(std::int32_t s, JobNumber job) {
  return shard(s) + "c/" + jobText(job);
}
std::string progressOf(std::int32_t shard) { return of("p", shard) + "/"; }
std::string progress(std::int32_t shard, JobNumber job) {
  return progressOf(shard) + jobText(job);
}
std::string index(JobNumber job) { return "endivedoor/i/" + jobText(job); }
std::string roster(std::int32_t shard) { return of("r", shard); }
std::string loads() { return "endivedoor/q/"; }
std::string load(std::int32_t shard) { return of("q", shard); }
std::string pairs(std::int32_t shard) { return of("m", shard); }
std::string directory() { return "endivedoor/d/"; }
std::string shardEntry(std::int32_t shard) { return of("d/shard", shard); }
std::string members() { return directory() + "member/"; }
std::string member(const std::string &name) { return members() + name; }
std::string layout() { return directory() + "layout"; }
std::string assignment() { return directory() + "assignment"; }

} // namespace keys

std::string jobText(JobNumber job) {
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

namespace {

/// Largest counts of a stored record, from the limits of what is accepted.
constexpr std::size_t MaxSteps = 4096;
constexpr std::size_t MaxTasks = 1 << 20;
constexpr std::size_t MaxPayload = 1 << 20;

void setIf(json::object &to, const char *key, std::int64_t n) {
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
  setIf(to, "cpu", count(s.Size.Cpu));
  setIf(to, "memory", count(s.Size.Memory));
  setIf(to, "accelerators", s.Size.Accelerators);
  setIf(to, "estimateMs", s.Estimate.count());
  if (!s.After.empty())
    to["after"] = json::value_from(s.After);
  setIf(to, "requirement", s.Requirement);
  setIf(to, "affinity", s.Affinity);
  setIf(to, "image", s.Image);
  setIf(to, "maxPerWorker", s.MaxPerWorker);
  setIf(to, "targetMs", s.Target.count());
  setIf(to, "mayMiss", s.MayMiss);
  setIf(to, "checkpoints", s.Checkpoints);
  setIf(to, "gang", s.Gang);
  setIf(to, "sameRack", s.SameRack);
  setIf(to, "speculative", s.Speculative);
  setIf(to, "lasting", s.Lasting);
  setIf(to, "filler", s.Filler);
  return to;
}

std::int32_t small(const JsonView &v, const char *key) {
  return static_cast<std::int32_t>(v.optionalNumber(key, 0, INT32_MAX));
}

model::StepSpec stepFromJson(const JsonView &v) {
  model::StepSpec s;
  s.Count = small(v, "count");
  s.Size.Cpu = base::MilliCores{v.optionalNumber("cpu", 0, INT32_MAX)};
  s.Size.Memory = base::MebiBytes{v.optionalNumber("memory", 0, INT32_MAX)};
  s.Size.Accelerators = small(v, "accelerators");
  s.Estimate = std::chrono::milliseconds(small(v, "estimateMs"));
  s.Requirement = v.optionalText("requirement");
  s.Affinity = v.optionalText("affinity");
  s.Image = v.optionalText("image");
  s.MaxPerWorker = small(v, "maxPerWorker");
  s.Target = std::chrono::milliseconds(small(v, "targetMs"));
  s.MayMiss = small(v, "mayMiss");
  s.Checkpoints = small(v, "checkpoints");
  s.Gang = small(v, "gang");
  s.SameRack = small(v, "sameRack");
  s.Speculative = small(v, "speculative");
  s.Lasting = small(v, "lasting");
  s.Filler = small(v, "filler");
  return s;
}

/// Copies the numbers of the array \p key, which JsonView does not read.
void readNumbers(const json::value &from, const char *key,
                 std::vector<std::int32_t> &to) {
  const json::value *list = from.as_object().if_contains(key);
  if (!list || !list->is_array())
    return;
  for (const json::value &it : list->as_array())
    if (it.is_int64())
      to.push_back(static_cast<std::int32_t>(it.as_int64()));
}

template <typename T, typename F>
base::Result<T> decode(const std::string &text, F read) {
  base::Result<json::value> value = platform::parseJson(text);
  if (!value)
    return value.as_failure();
  if (!value.value().is_object())
    return fail(Errc::ParseFailed, "a record is not an object");
  std::string fault;
  T result = read(value.value(), JsonView(value.value(), fault));
  if (!fault.empty())
    return fail(Errc::ParseFailed, fault);
  return result;
}

TaskProgress taskFromJson(const json::value &from) {
  TaskProgress t;
  std::string fault;
  JsonView v(from, fault);
  t.Step = small(v, "s");
  t.Index = small(v, "i");
  t.Done = small(v, "d");
  t.Checkpoint = v.optionalText("c", MaxPayload);
  if (const json::value *runs = from.as_object().if_contains("f"))
    for (const json::value &it : runs->as_array())
      t.FailedRuns.push_back(it.as_int64());
  return t;
}

} // namespace

std::string encodeJob(const model::AcceptedJob &job, const Handover *facts) {
  json::object to;
  if (facts) {
    to["progress"] = encodeProgress(facts->Progress);
    to["lastRun"] = facts->LastRun;
  }
  to["queue"] = job.Queue;
  to["service"] = job.Terms.Service.str();
  setIf(to, "priority", job.Terms.Priority);
  to["maxAttempts"] = job.Terms.MaxAttempts;
  to["stretch"] = job.Terms.Stretch;
  setIf(to, "targetMs", job.Terms.Target.count());
  to["payload"] = job.Graph.Payload;
  setIf(to, "repeats", job.Graph.Repeats);
  setIf(to, "firstDueMs", job.Graph.FirstDue.count());
  setIf(to, "intervalMs", job.Graph.Interval.count());
  json::array steps;
  for (const model::StepSpec &it : job.Graph.Steps)
    steps.push_back(stepToJson(it));
  to["steps"] = std::move(steps);
  return json::serialize(to);
}

base::Result<model::AcceptedJob> decodeJob(JobNumber id,
                                           const std::string &text) {
  return decode<model::AcceptedJob>(text, [&](const json::value &value,
                                              const JsonView &v) {
    model::AcceptedJob job;
    job.Id = id;
    job.Queue = v.text("queue");
    job.Terms.Service = base::ServiceName(v.text("service"));
    job.Terms.Priority = small(v, "priority");
    job.Terms.MaxAttempts = small(v, "maxAttempts");
    job.Terms.Stretch = v.optionalReal("stretch", 0, 1e6, 1);
    job.Terms.Target = std::chrono::milliseconds(small(v, "targetMs"));
    job.Graph.Payload = v.optionalText("payload", MaxPayload);
    job.Graph.Repeats = small(v, "repeats");
    job.Graph.FirstDue = std::chrono::milliseconds(
        v.optionalNumber("firstDueMs", 0, platform::MaxInt64));
    job.Graph.Interval = std::chrono::milliseconds(
        v.optionalNumber("intervalMs", 0, platform::MaxInt64));
    std::vector<JsonView> steps = v.list("steps", MaxSteps);
    const json::value *raw = value.as_object().if_contains("steps");
    for (std::size_t i = 0; i < steps.size(); ++i) {
      job.Graph.Steps.push_back(stepFromJson(steps[i]));
      readNumbers(raw->as_array()[i], "after", job.Graph.Steps.back().After);
    }
    return job;
  });
}

base::Result<std::optional<Handover>> decodeHandover(const std::string &text) {
  std::string progress;
  auto facts = decode<std::optional<Handover>>(
      text,
      [&](const json::value &value,
          const JsonView &v) -> std::optional<Handover> {
        if (!value.as_object().contains("progress"))
          return std::nullopt;
        progress = v.text("progress");
        Handover handover;
        handover.LastRun = v.number("lastRun", 0, platform::MaxInt64);
        return handover;
      });
  if (!facts || !facts.value())
    return facts;
  base::Result<JobProgress> read = decodeProgress(progress);
  if (!read)
    return read.as_failure();
  facts.value()->Progress = std::move(read.value());
  return facts;
}

std::string encodeIndex(const JobIndex &index) {
  json::object to;
  to["shard"] = index.Shard;
  to["state"] = static_cast<int>(index.State);
  return json::serialize(to);
}

base::Result<JobIndex> decodeIndex(const std::string &text) {
  return decode<JobIndex>(text, [](const json::value &, const JsonView &v) {
    JobIndex index;
    index.Shard = small(v, "shard");
    index.State = static_cast<model::JobState>(v.optionalNumber(
        "state", 0, static_cast<int>(model::JobState::Cancelled)));
    return index;
  });
}

std::string encodeProgress(const JobProgress &progress) {
  json::array occurrences;
  for (const OccurrenceProgress &it : progress.Occurrences) {
    json::object o;
    o["k"] = it.Number;
    setIf(o, "x", it.Complete);
    json::array tasks;
    for (const TaskProgress &t : it.Tasks) {
      json::object one;
      setIf(one, "s", t.Step);
      setIf(one, "i", t.Index);
      setIf(one, "d", t.Done);
      setIf(one, "c", t.Checkpoint);
      if (!t.FailedRuns.empty())
        one["f"] = json::value_from(t.FailedRuns);
      tasks.push_back(std::move(one));
    }
    o["t"] = std::move(tasks);
    occurrences.push_back(std::move(o));
  }
  return json::serialize(json::object{{"o", std::move(occurrences)}});
}

base::Result<JobProgress> decodeProgress(const std::string &text) {
  return decode<JobProgress>(
      text, [](const json::value &value, const JsonView &v) {
        JobProgress progress;
        std::vector<JsonView> list = v.list("o", MaxTasks);
        const json::value *raw = value.as_object().if_contains("o");
        for (std::size_t i = 0; i < list.size(); ++i) {
          OccurrenceProgress o;
          o.Number = small(list[i], "k");
          o.Complete = small(list[i], "x");
          const json::value *tasks =
              raw->as_array()[i].as_object().if_contains("t");
          if (tasks && tasks->is_array())
            for (const json::value &it : tasks->as_array())
              o.Tasks.push_back(taskFromJson(it));
          progress.Occurrences.push_back(std::move(o));
        }
        return progress;
      });
}

std::string encodeRoster(const std::vector<RosterEntry> &roster) {
  json::array list;
  for (const RosterEntry &it : roster)
    list.push_back(json::object{{"id", it.Id.str()},
                                {"ip", it.Endpoint.Ip},
                                {"port", it.Endpoint.Port}});
  return json::serialize(json::object{{"workers", std::move(list)}});
}

base::Result<std::vector<RosterEntry>> decodeRoster(const std::string &text) {
  return decode<std::vector<RosterEntry>>(
      text, [](const json::value &, const JsonView &v) {
        std::vector<RosterEntry> roster;
        for (const JsonView &it : v.list("workers", MaxTasks))
          roster.push_back({base::WorkerId(it.text("id")),
                            {it.text("ip"), static_cast<std::uint16_t>(
                                                it.number("port", 1, 65535))}});
        return roster;
      });
}

} // namespace endivedoor::dispatch
