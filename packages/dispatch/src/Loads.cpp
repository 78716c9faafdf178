#include "detail/Loads.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <algorithm>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;

/// Largest sum of started CPU of an account that is read.
constexpr std::int64_t MaxStartedCpu = std::int64_t{1} << 40;
/// Largest amount of a room, and largest number of rooms of a service, that are
/// read.
constexpr std::int64_t MaxRoom = std::int64_t{1} << 30;
constexpr std::size_t MaxRooms = 256;

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
  return json::serialize(to);
}

/// Returns an amount of a room; 0 if it cannot be read, so that the room takes
/// no task.
static std::int64_t amountAt(const json::array &row, std::size_t i) {
  return i < row.size() && row[i].is_int64()
             ? std::clamp<std::int64_t>(row[i].as_int64(), 0, MaxRoom)
             : 0;
}

static std::vector<base::Resources> decodeRooms(const json::array &rows) {
  std::vector<base::Resources> rooms;
  for (const json::value &it : rows) {
    const json::array *row = it.if_array();
    if (!row || rooms.size() == MaxRooms)
      continue;
    base::Resources &room = rooms.emplace_back();
    room.Cpu = base::MilliCores{amountAt(*row, 0)};
    room.Memory = base::MebiBytes{amountAt(*row, 1)};
    room.Accelerators = static_cast<std::int32_t>(amountAt(*row, 2));
  }
  return rooms;
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
  return load;
}

} // namespace endivedoor::dispatch::detail
