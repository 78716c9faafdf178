#include "detail/Codec.h"

#include <limits>

namespace endivedoor::control::detail {

namespace json = boost::json;
using base::fail;

FieldReader::FieldReader(const json::value &value) : Fields(value.if_object()) {
  if (Fields == nullptr)
    FirstError = "value is not an object";
}

const json::value *FieldReader::find(std::string_view name, bool required) {
  const json::value *it =
      Fields == nullptr ? nullptr : Fields->if_contains(name);
  if (it == nullptr && required && FirstError.empty())
    FirstError = "field " + std::string(name) + " is missing";
  return it;
}

bool FieldReader::has(std::string_view name) const {
  return Fields != nullptr && Fields->contains(name);
}

std::string FieldReader::text(std::string_view name) {
  const json::value *it = find(name, true);
  if (it != nullptr && it->is_string())
    return std::string(it->get_string());
  if (FirstError.empty())
    FirstError = "field " + std::string(name) + " is not a string";
  return {};
}

std::int64_t FieldReader::number(std::string_view name) {
  const json::value *it = find(name, true);
  if (it != nullptr && it->is_int64())
    return it->get_int64();
  if (FirstError.empty())
    FirstError = "field " + std::string(name) + " is not an integer";
  return 0;
}

bool FieldReader::flag(std::string_view name) {
  const json::value *it = find(name, true);
  if (it != nullptr && it->is_bool())
    return it->get_bool();
  if (FirstError.empty())
    FirstError = "field " + std::string(name) + " is not a boolean";
  return false;
}

const json::array &FieldReader::list(std::string_view name) {
  static const json::array none;
  const json::value *it = find(name, false);
  if (it == nullptr)
    return none;
  if (it->is_array())
    return it->get_array();
  if (FirstError.empty())
    FirstError = "field " + std::string(name) + " is not an array";
  return none;
}

const json::value &FieldReader::child(std::string_view name) {
  static const json::value none;
  const json::value *it = find(name, true);
  return it == nullptr ? none : *it;
}

base::Result<json::value> parseJson(const std::string &text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec)
    return fail(base::Errc::ParseFailed, ec.message());
  return value;
}

bool isValidUtf8(const std::string &text) {
  return parseJson(json::serialize(json::string(text))).has_value();
}

std::int64_t toMillis(base::WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

base::WallTime fromMillis(std::int64_t millis) {
  // Clamped, since values outside the range of nanoseconds would overflow.
  constexpr std::int64_t limit =
      std::numeric_limits<std::int64_t>::max() / 1000000;
  return base::WallTime(
      std::chrono::milliseconds(std::min(std::max(millis, -limit), limit)));
}

static std::int32_t clampToInt32(std::int64_t value) {
  constexpr std::int64_t limit = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(std::max(value, -limit), limit));
}

json::value specToJson(const model::JobSpec &spec) {
  json::object out{
      {"id", spec.Id.str()},
      {"name", spec.Name},
      {"team", spec.Team.str()},
      {"contract", spec.Contract.str()},
      {"class", spec.Class.str()},
      {"service", spec.Service.str()},
      {"kind", spec.Kind == model::TaskKind::Service ? "service" : "batch"},
      {"tasks", spec.Tasks},
      {"slots", spec.Size.Slots},
      {"connections", spec.Size.Connections},
      {"milliCores", base::count(spec.Size.Cpu)},
      {"memoryMb", base::count(spec.Size.Memory)},
      {"accelerators", spec.Size.Accelerators},
      {"runTimeMs", spec.DeclaredRunTime.count()},
      {"urgent", spec.Urgent},
      {"payload", spec.Payload}};
  if (spec.Deadline)
    out["deadlineMs"] = toMillis(*spec.Deadline);
  return out;
}

static base::Resources sizeFromJson(FieldReader &in) {
  base::Resources size;
  size.Slots = clampToInt32(in.number("slots"));
  size.Connections = clampToInt32(in.number("connections"));
  size.Cpu = base::MilliCores{in.number("milliCores")};
  size.Memory = base::MebiBytes{in.number("memoryMb")};
  size.Accelerators = clampToInt32(in.number("accelerators"));
  return size;
}

base::Result<model::JobSpec> specFromJson(const json::value &value) {
  FieldReader in(value);
  model::JobSpec spec;
  spec.Id = base::JobId(in.text("id"));
  spec.Name = in.text("name");
  spec.Team = base::TeamName(in.text("team"));
  spec.Contract = base::ContractName(in.text("contract"));
  spec.Class = base::TaskClass(in.text("class"));
  spec.Service = base::ServiceName(in.text("service"));
  spec.Kind = in.text("kind") == "service" ? model::TaskKind::Service
                                           : model::TaskKind::Batch;
  spec.Tasks = clampToInt32(in.number("tasks"));
  spec.Size = sizeFromJson(in);
  spec.DeclaredRunTime = std::chrono::milliseconds(in.number("runTimeMs"));
  spec.Urgent = in.flag("urgent");
  spec.Payload = in.text("payload");
  if (in.has("deadlineMs"))
    spec.Deadline = fromMillis(in.number("deadlineMs"));
  if (in.failed())
    return in.error();
  return spec;
}

json::value taskToJson(const StoredTask &task) {
  json::array failedOn;
  for (const base::WorkerId &it : task.FailedOn)
    failedOn.emplace_back(it.str());
  return json::object{
      {"id", task.Task.Id.str()},
      {"job", task.Task.Job.str()},
      {"state", static_cast<std::int64_t>(task.Task.State)},
      {"attempt",
       static_cast<std::int64_t>(base::toNumber(task.Task.LatestAttempt))},
      {"worker", task.Task.Worker.str()},
      {"token", static_cast<std::int64_t>(base::toNumber(task.Task.Token))},
      {"checkpoint", task.Task.Checkpoint},
      {"failures", task.Task.Failures},
      {"holding", task.HoldsResources},
      {"failedOn", std::move(failedOn)}};
}

base::Result<StoredTask> taskFromJson(const json::value &value) {
  FieldReader in(value);
  StoredTask out;
  out.Task.Id = base::TaskId(in.text("id"));
  out.Task.Job = base::JobId(in.text("job"));
  std::int64_t state = in.number("state");
  out.Task.State = static_cast<model::TaskState>(state);
  out.Task.LatestAttempt =
      base::Attempt{static_cast<std::uint32_t>(in.number("attempt"))};
  out.Task.Worker = base::WorkerId(in.text("worker"));
  out.Task.Token =
      base::FencingToken{static_cast<std::uint64_t>(in.number("token"))};
  out.Task.Checkpoint = in.text("checkpoint");
  out.Task.Failures = clampToInt32(in.number("failures"));
  out.HoldsResources = in.flag("holding");
  for (const json::value &it : in.list("failedOn"))
    if (it.is_string())
      out.FailedOn.insert(base::WorkerId(std::string(it.get_string())));
  if (in.failed())
    return in.error();
  if (state < 0 || state > static_cast<int>(model::TaskState::Cancelled))
    return fail(base::Errc::ParseFailed,
                "field state is not a known task state");
  return out;
}

json::value rowToJson(const ReportRow &row) {
  return json::object{{"contract", row.Contract.str()},
                      {"hour", row.Hour},
                      {"zone", row.Zone.str()},
                      {"rule", row.Rule},
                      {"kept", static_cast<std::int64_t>(row.Kept)},
                      {"violated", static_cast<std::int64_t>(row.Violated)},
                      {"reason", row.Reason},
                      {"worst", row.Worst}};
}

base::Result<ReportRow> rowFromJson(const json::value &value) {
  FieldReader in(value);
  ReportRow row;
  row.Contract = base::ContractName(in.text("contract"));
  row.Hour = in.number("hour");
  row.Zone = base::ZoneId(in.text("zone"));
  row.Rule = in.text("rule");
  row.Kept = static_cast<std::uint64_t>(in.number("kept"));
  row.Violated = static_cast<std::uint64_t>(in.number("violated"));
  row.Reason = in.text("reason");
  row.Worst = in.text("worst");
  if (in.failed())
    return in.error();
  return row;
}

json::array indicesToJson(const std::vector<std::int32_t> &indices) {
  json::array out;
  for (std::int32_t it : indices)
    out.emplace_back(it);
  return out;
}

std::vector<std::int32_t> indicesFromJson(const json::array &list) {
  std::vector<std::int32_t> out;
  for (const json::value &it : list)
    if (it.is_int64() && it.get_int64() >= 0)
      out.push_back(clampToInt32(it.get_int64()));
  return out;
}

std::string commandToJson(const Command &command) {
  if (command.Type == Command::Kind::Cancel)
    return json::serialize(json::object{{"cancel", command.Job.str()}});
  json::array tasks;
  for (const StoredTask &it : command.Tasks)
    tasks.push_back(taskToJson(it));
  return json::serialize(
      json::object{{"admit", specToJson(command.Spec)},
                   {"atMs", toMillis(command.AdmittedAt)},
                   {"transfer", command.Type == Command::Kind::Transfer},
                   {"indices", indicesToJson(command.TaskIndices)},
                   {"tasks", std::move(tasks)}});
}

std::string batchToJson(const std::string &writeId,
                        const std::vector<std::string> &commands) {
  std::string out = "{\"writeId\":" + json::serialize(json::string(writeId)) +
                    ",\"commands\":[";
  for (std::size_t n = 0; n < commands.size(); ++n)
    out += (n == 0 ? "" : ",") + commands[n];
  return out + "]}";
}

static base::Result<Command> commandFromJson(const json::value &value) {
  FieldReader in(value);
  Command out;
  if (in.has("cancel")) {
    out.Type = Command::Kind::Cancel;
    out.Job = base::JobId(in.text("cancel"));
  } else {
    BOOST_OUTCOME_TRY(out.Spec, specFromJson(in.child("admit")));
    out.Job = out.Spec.Id;
    if (in.flag("transfer"))
      out.Type = Command::Kind::Transfer;
    out.AdmittedAt = fromMillis(in.number("atMs"));
    out.TaskIndices = indicesFromJson(in.list("indices"));
    for (const json::value &it : in.list("tasks")) {
      BOOST_OUTCOME_TRY(StoredTask task, taskFromJson(it));
      out.Tasks.push_back(std::move(task));
    }
  }
  if (in.failed())
    return in.error();
  return out;
}

base::Result<std::vector<Command>> batchFromJson(const std::string &text) {
  BOOST_OUTCOME_TRY(json::value value, parseJson(text));
  FieldReader in(value);
  std::vector<Command> out;
  for (const json::value &it : in.list("commands")) {
    BOOST_OUTCOME_TRY(Command command, commandFromJson(it));
    out.push_back(std::move(command));
  }
  if (in.failed())
    return in.error();
  return out;
}

base::TaskId makeTaskId(const base::JobId &job, std::int32_t index) {
  return base::TaskId(job.str() + "." + std::to_string(index));
}

} // namespace endivedoor::control::detail
