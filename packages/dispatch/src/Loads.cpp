#include "detail/Loads.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;

/// Largest sum of started CPU of an account that is read.
constexpr std::int64_t MaxStartedCpu = std::int64_t{1} << 40;
/// Largest amount of a room, and largest number of rooms of a service, that are
/// read.
constexpr std::int64_t MaxRoom = std::int64_t{1} << 30;
constexpr std::size_t MaxRooms = 256;
/// Largest number of requests of a shard, and of tasks in one, that are read.
constexpr std::size_t MaxRequests = 64;
constexpr std::size_t MaxTasksPerRequest = 64;
/// Longest wait that is read.
constexpr std::chrono::milliseconds MaxWaited = std::chrono::hours(24);

static json::object toJson(const RoomRequest &request) {
  json::object to{
      {"job", formatJobNumber(request.Job)},
      {"step", request.Step},
      {"tasks", json::value_from(request.Tasks)},
      {"size", json::array{count(request.Size.Cpu), count(request.Size.Memory),
                           request.Size.Accelerators}},
      {"service", request.Service.str()},
      {"waitedMs", request.Waited.count()}};
  if (!request.Requirement.empty())
    to["requirement"] = request.Requirement;
  if (request.MaxPerWorker > 0)
    to["maxPerWorker"] = request.MaxPerWorker;
  return to;
}

std::string encodeLoad(const ShardLoad &load) {
  json::object pending;
  for (const auto &[queue, jobs] : load.Pending)
    pending[queue] = jobs;
  json::object to{{"pending", std::move(pending)},
                  {"roomForShort", count(load.ShortTaskHeadroom)},
                  {"roomForLasting", count(load.LongRunningHeadroom)},
                  {"roomForFillers", count(load.FillerHeadroom)}};
  if (!load.FillerCpu.empty())
    to["fillers"] = json::value_from(load.FillerCpu);
  if (!load.StartedCpu.empty())
    to["started"] = json::value_from(load.StartedCpu);
  json::object rooms;
  for (const auto &[service, free] : load.LongRunningRooms) {
    json::array list;
    for (const base::Resources &it : free)
      list.push_back(
          json::array{count(it.Cpu), count(it.Memory), it.Accelerators});
    rooms[service] = std::move(list);
  }
  if (!rooms.empty())
    to["rooms"] = std::move(rooms);
  json::array requests;
  for (const RoomRequest &it : load.Requests)
    requests.push_back(toJson(it));
  if (!requests.empty())
    to["requests"] = std::move(requests);
  return json::serialize(to);
}

/// Returns an amount of a room; 0 if it cannot be read, so that the room takes
/// no task.
static std::int64_t amountAt(const json::array &row, std::size_t i) {
  return i < row.size() && row[i].is_int64()
             ? std::clamp<std::int64_t>(row[i].as_int64(), 0, MaxRoom)
             : 0;
}

static base::Resources decodeSize(const json::array &row) {
  base::Resources size;
  size.Cpu = base::MilliCores{amountAt(row, 0)};
  size.Memory = base::MebiBytes{amountAt(row, 1)};
  size.Accelerators = static_cast<std::int32_t>(amountAt(row, 2));
  return size;
}

static std::vector<base::Resources> decodeRooms(const json::array &rows) {
  std::vector<base::Resources> rooms;
  for (const json::value &it : rows)
    if (const json::array *row = it.if_array(); row && rooms.size() < MaxRooms)
      rooms.push_back(decodeSize(*row));
  return rooms;
}

/// Returns nothing if the request cannot be read: its tasks then only find the
/// rooms that other shards publish.
static std::optional<RoomRequest> decodeRequest(const json::value &value) {
  std::string fault;
  platform::JsonView v(value, fault);
  RoomRequest request;
  base::Result<model::JobNumber> job = parseJobNumber(v.text("job"));
  request.Step =
      static_cast<std::int32_t>(v.number("step", 0, limits::MaxSteps - 1));
  request.Service = base::ServiceName(v.text("service"));
  request.Requirement = v.optionalText("requirement");
  request.MaxPerWorker = static_cast<std::int32_t>(
      v.optionalNumber("maxPerWorker", 0, limits::MaxTasksPerJob));
  request.Waited = std::chrono::milliseconds(
      v.optionalNumber("waitedMs", 0, MaxWaited.count()));
  const json::object *object = value.if_object();
  const json::value *tasks = object ? object->if_contains("tasks") : nullptr;
  const json::value *size = object ? object->if_contains("size") : nullptr;
  if (!job || !fault.empty() || !tasks || !tasks->is_array() || !size ||
      !size->is_array() || size->get_array().size() != 3)
    return std::nullopt;
  request.Job = job.value();
  request.Size = decodeSize(size->get_array());
  for (const json::value &it : tasks->get_array())
    if (it.is_int64() && it.get_int64() >= 0 &&
        it.get_int64() < limits::MaxTasksPerJob &&
        request.Tasks.size() < MaxTasksPerRequest)
      request.Tasks.push_back(static_cast<std::int32_t>(it.get_int64()));
  if (request.Tasks.empty())
    return std::nullopt;
  return request;
}

static std::vector<RoomRequest> decodeRequests(const json::array &rows) {
  std::vector<RoomRequest> requests;
  for (const json::value &it : rows)
    if (std::optional<RoomRequest> request = decodeRequest(it);
        request && requests.size() < MaxRequests)
      requests.push_back(std::move(*request));
  return requests;
}

base::Result<ShardLoad> decodeLoad(const std::string &text) {
  base::Result<json::value> value = platform::parseJson(text);
  if (!value)
    return value.as_failure();
  std::string fault;
  platform::JsonView v(value.value(), fault);
  ShardLoad load;
  auto room = [&](const char *name) {
    return base::MilliCores{
        v.optionalNumber(name, -platform::MaxInt64, platform::MaxInt64)};
  };
  load.ShortTaskHeadroom = room("roomForShort");
  load.LongRunningHeadroom = room("roomForLasting");
  load.FillerHeadroom = room("roomForFillers");
  if (!v.ok())
    return base::fail(base::Errc::ParseFailed, fault);
  const json::value *pending = value.value().as_object().if_contains("pending");
  if (pending && pending->is_object())
    for (const auto &[queue, jobs] : pending->as_object())
      if (jobs.is_int64())
        load.Pending[std::string(queue)] = jobs.as_int64();
  const json::value *fillers = value.value().as_object().if_contains("fillers");
  if (fillers && fillers->is_object())
    for (const auto &[image, cpu] : fillers->as_object())
      if (cpu.is_int64())
        load.FillerCpu[std::string(image)] = cpu.as_int64();
  const json::value *started = value.value().as_object().if_contains("started");
  if (started && started->is_object())
    for (const auto &[account, cpu] : started->as_object())
      if (cpu.is_int64())
        load.StartedCpu[std::string(account)] =
            std::clamp<std::int64_t>(cpu.as_int64(), 0, MaxStartedCpu);
  const json::value *rooms = value.value().as_object().if_contains("rooms");
  if (rooms && rooms->is_object())
    for (const auto &[service, rows] : rooms->as_object())
      if (rows.is_array())
        load.LongRunningRooms[std::string(service)] =
            decodeRooms(rows.as_array());
  const json::value *requests =
      value.value().as_object().if_contains("requests");
  if (requests && requests->is_array())
    load.Requests = decodeRequests(requests->as_array());
  return load;
}

} // namespace endivedoor::dispatch::detail
