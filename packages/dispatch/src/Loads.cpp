#include "detail/Loads.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <algorithm>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;

std::string encodeLoad(const ShardLoad &load) {
  json::object pending;
  for (const auto &[queue, jobs] : load.Pending)
    pending[queue] = jobs;
  return json::serialize(
      json::object{{"pending", std::move(pending)},
                   {"roomForShort", count(load.RoomForShort)},
                   {"roomForLasting", count(load.RoomForLasting)},
                   {"roomForFillers", count(load.RoomForFillers)}});
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
  load.RoomForShort = room("roomForShort");
  load.RoomForLasting = room("roomForLasting");
  load.RoomForFillers = room("roomForFillers");
  if (!v.ok())
    return base::fail(base::Errc::ParseFailed, fault);
  const json::value *pending = value.value().as_object().if_contains("pending");
  if (pending && pending->is_object())
    for (const auto &[queue, jobs] : pending->as_object())
      if (jobs.is_int64())
        load.Pending[std::string(queue)] = jobs.as_int64();
  return load;
}

base::MilliCores &roomFor(ShardLoad &load, const model::JobGraph &graph) {
  if (!graph.Steps.empty() && graph.Steps.front().Lasting)
    return load.RoomForLasting;
  bool fills = std::all_of(graph.Steps.begin(), graph.Steps.end(),
                           [](const model::StepSpec &it) { return it.Filler; });
  return fills ? load.RoomForFillers : load.RoomForShort;
}

/// Share of the largest difference in room that the fullest shard counts with:
/// records are up to 2 s old, so it may have room again.
constexpr double LeastShare = 0.02;

std::int32_t drawShard(const std::vector<std::int64_t> &rooms, double draw) {
  auto [least, most] = std::minmax_element(rooms.begin(), rooms.end());
  double spread = static_cast<double>(*most - *least);
  double base = std::max(1.0, spread * LeastShare);
  // Room below 0 is a queue: only how much longer it is counts.
  double floor = std::min(0.0, static_cast<double>(*least));
  std::vector<double> sums;
  double sum = 0;
  for (std::int64_t it : rooms)
    sums.push_back(sum += static_cast<double>(it) - floor + base);
  auto at = std::upper_bound(sums.begin(), sums.end(), draw * sum);
  return static_cast<std::int32_t>(std::min<std::ptrdiff_t>(
      at - sums.begin(), static_cast<std::ptrdiff_t>(sums.size()) - 1));
}

} // namespace endivedoor::dispatch::detail
