#include "endivedoor/server/JobEndpoints.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace endivedoor::server {

namespace json = boost::json;
using base::Errc;
using base::fail;
using model::JobSpec;

constexpr std::size_t MaxNameLength = 128;
constexpr std::int64_t MaxTasks = 100000;
constexpr std::int64_t MaxInt32 = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t MaxDurationMs = 366LL * 24 * 3600 * 1000;

namespace {

struct NumberField {
  const char *Name;
  std::int64_t Min;
  std::int64_t Max;
  void (*Set)(JobSpec &, std::int64_t);
};

struct TextField {
  const char *Name;
  bool Required;
  void (*Set)(JobSpec &, std::string);
};

} // namespace

constexpr NumberField NumberFields[] = {
    {"tasks", 1, MaxTasks,
     [](JobSpec &j, std::int64_t n) {
       j.Tasks = static_cast<std::int32_t>(n);
     }},
    {"slots", 0, MaxInt32,
     [](JobSpec &j, std::int64_t n) {
       j.Size.Slots = static_cast<std::int32_t>(n);
     }},
    {"connections", 0, MaxInt32,
     [](JobSpec &j, std::int64_t n) {
       j.Size.Connections = static_cast<std::int32_t>(n);
     }},
    {"milliCores", 0, MaxInt32,
     [](JobSpec &j, std::int64_t n) { j.Size.Cpu = base::MilliCores{n}; }},
    {"memoryMb", 0, MaxInt32,
     [](JobSpec &j, std::int64_t n) { j.Size.Memory = base::MebiBytes{n}; }},
    {"accelerators", 0, MaxInt32,
     [](JobSpec &j, std::int64_t n) {
       j.Size.Accelerators = static_cast<std::int32_t>(n);
     }},
    {"declaredRunTimeMs", 0, MaxDurationMs,
     [](JobSpec &j, std::int64_t n) {
       j.DeclaredRunTime = std::chrono::milliseconds(n);
     }},
};

constexpr TextField TextFields[] = {
    {"name", true, [](JobSpec &j, std::string s) { j.Name = std::move(s); }},
    {"team", true,
     [](JobSpec &j, std::string s) { j.Team = base::TeamName(std::move(s)); }},
    {"contract", true,
     [](JobSpec &j, std::string s) {
       j.Contract = base::ContractName(std::move(s));
     }},
    {"class", true,
     [](JobSpec &j, std::string s) {
       j.Class = base::TaskClass(std::move(s));
     }},
    {"service", false,
     [](JobSpec &j, std::string s) {
       j.Service = base::ServiceName(std::move(s));
     }},
};

static auto malformedRequest(const std::string &detail) {
  return fail(Errc::RequestMalformed, detail);
}

static bool isValidName(const std::string &text) {
  if (text.empty() || text.size() > MaxNameLength)
    return false;
  for (char c : text)
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_' &&
        c != '.')
      return false;
  return true;
}

static base::Result<void> readNumberFields(const json::object &o,
                                           JobSpec &job) {
  for (const NumberField &it : NumberFields) {
    const json::value *value = o.if_contains(it.Name);
    if (!value)
      continue;
    if (!value->is_int64() || value->get_int64() < it.Min ||
        value->get_int64() > it.Max)
      return malformedRequest(
          std::string(it.Name) + ": must be an integer from " +
          std::to_string(it.Min) + " to " + std::to_string(it.Max));
    it.Set(job, value->get_int64());
  }
  return base::success();
}

static base::Result<void> readTextFields(const json::object &o, JobSpec &job) {
  for (const TextField &it : TextFields) {
    const json::value *value = o.if_contains(it.Name);
    bool isEmpty =
        !value || (value->is_string() && value->get_string().empty());
    if (isEmpty && !it.Required)
      continue;
    std::string text = value && value->is_string()
                           ? std::string(value->get_string())
                           : std::string();
    if (!isValidName(text))
      return malformedRequest(
          std::string(it.Name) +
          ": must be 1 to 128 letters, digits, '-', '_' or '.'");
    it.Set(job, std::move(text));
  }
  return base::success();
}

static base::Result<void> readOtherFields(const json::object &o, JobSpec &job,
                                          base::WallTime now) {
  if (const json::value *kind = o.if_contains("kind")) {
    if (*kind != "service" && *kind != "batch")
      return malformedRequest("kind: must be \"service\" or \"batch\"");
    job.Kind =
        *kind == "service" ? model::TaskKind::Service : model::TaskKind::Batch;
  }
  if (const json::value *urgent = o.if_contains("urgent")) {
    if (!urgent->is_bool())
      return malformedRequest("urgent: must be true or false");
    job.Urgent = urgent->get_bool();
  }
  if (const json::value *payload = o.if_contains("payload")) {
    if (!payload->is_string())
      return malformedRequest("payload: must be a string");
    job.Payload = std::string(payload->get_string());
  }
  if (const json::value *deadline = o.if_contains("deadlineMs")) {
    if (!deadline->is_int64() || deadline->get_int64() < 1 ||
        deadline->get_int64() > MaxDurationMs)
      return malformedRequest("deadlineMs: must be a positive number of "
                              "milliseconds, at most 366 days");
    job.Deadline = now + std::chrono::milliseconds(deadline->get_int64());
  }
  return base::success();
}

static bool isKnownField(std::string_view name) {
  for (std::string_view it : {"kind", "urgent", "payload", "deadlineMs"})
    if (name == it)
      return true;
  for (const NumberField &it : NumberFields)
    if (name == it.Name)
      return true;
  for (const TextField &it : TextFields)
    if (name == it.Name)
      return true;
  return false;
}

base::Result<JobSpec> parseJob(const std::string &text, base::WallTime now) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  const json::object *o = value.if_object();
  if (ec || !o)
    return malformedRequest("request body is not a JSON object");
  for (const auto &it : *o)
    if (!isKnownField(it.key()))
      return malformedRequest("unknown field " + std::string(it.key()));
  JobSpec job;
  BOOST_OUTCOME_TRYV(readTextFields(*o, job));
  BOOST_OUTCOME_TRYV(readNumberFields(*o, job));
  BOOST_OUTCOME_TRYV(readOtherFields(*o, job, now));
  bool isService = job.Kind == model::TaskKind::Service;
  if (isService == job.Service.empty())
    return malformedRequest("service: required for kind \"service\", not "
                            "allowed for kind \"batch\"");
  return job;
}

static std::string_view stateName(model::TaskState state) {
  constexpr std::array<std::string_view, 7> names{
      "queued",   "starting", "running",  "evicting",
      "finished", "failed",   "cancelled"};
  return names[static_cast<std::size_t>(state)];
}

/// Returns the number of tasks whose state is in the range from \p first to \p
/// last, inclusive.
static std::int64_t countTasks(const control::JobStatus &job,
                               model::TaskState first, model::TaskState last) {
  return std::ranges::count_if(job.Tasks, [&](const model::Task &it) {
    return it.State >= first && it.State <= last;
  });
}

/// Adds the number of tasks in each state, and the state of the job derived
/// from them.
static void addStates(json::object &o, const control::JobStatus &job) {
  using State = model::TaskState;
  std::int64_t queued = countTasks(job, State::Queued, State::Queued);
  std::int64_t running = countTasks(job, State::Starting, State::Evicting);
  std::int64_t finished = countTasks(job, State::Finished, State::Finished);
  std::int64_t failed = countTasks(job, State::Failed, State::Failed);
  std::int64_t cancelled = countTasks(job, State::Cancelled, State::Cancelled);
  o["tasks"] = job.Tasks.size();
  o["queued"] = queued;
  o["running"] = running;
  o["finished"] = finished;
  o["failed"] = failed;
  o["cancelled"] = cancelled;
  o["state"] = running > 0     ? "running"
               : queued > 0    ? "queued"
               : cancelled > 0 ? "cancelled"
               : failed > 0    ? "failed"
                               : "finished";
}

json::value jobToJson(const control::JobStatus &job) {
  json::array attempts;
  for (const model::Task &it : job.Tasks)
    attempts.push_back({{"task", it.Id.str()},
                        {"state", stateName(it.State)},
                        {"attempt", base::toNumber(it.LatestAttempt)},
                        {"worker", it.Worker.str()},
                        {"failures", it.Failures}});
  const JobSpec &spec = job.Spec;
  bool isService = spec.Kind == model::TaskKind::Service;
  json::object o{{"job", spec.Id.str()},
                 {"name", spec.Name},
                 {"team", spec.Team.str()},
                 {"contract", spec.Contract.str()},
                 {"class", spec.Class.str()},
                 {"kind", isService ? "service" : "batch"},
                 {"service", spec.Service.str()},
                 {"slots", spec.Size.Slots},
                 {"urgent", spec.Urgent},
                 {"attempts", std::move(attempts)}};
  addStates(o, job);
  if (spec.Deadline)
    o["deadlineUnixMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                              spec.Deadline->time_since_epoch())
                              .count();
  return o;
}

base::Result<model::Address> parseAddress(const std::string &text) {
  std::size_t colon = text.rfind(':');
  model::Address address;
  if (colon != std::string::npos) {
    address.Ip = text.substr(0, colon);
    const char *end = text.data() + text.size();
    auto [p, ec] = std::from_chars(text.data() + colon + 1, end, address.Port);
    if (ec == std::errc() && p == end && !address.Ip.empty())
      return address;
  }
  return fail(Errc::InvalidArgument, "not an ip:port address: " + text);
}

} // namespace endivedoor::server
