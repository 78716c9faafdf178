#include "detail/Loads.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <algorithm>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;

/// Largest sum of started CPU of an account that is read.
constexpr std::int64_t MaxStartedCpu = std::int64_t{1} << 40;

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
  return json::serialize(to);
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
  return load;
}

} // namespace endivedoor::dispatch::detail
