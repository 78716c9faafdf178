#include "detail/Loads.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;

std::string encodeLoad(const ShardLoad &load) {
  json::object pending;
  for (const auto &[queue, jobs] : load.Pending)
    pending[queue] = jobs;
  json::object fillers;
  for (const auto &[image, cpu] : load.FillerCpu)
    fillers[image] = cpu;
  return json::serialize(
      json::object{{"fillers", std::move(fillers)},
                   {"pending", std::move(pending)},
                   {"roomForShort", count(load.ShortTaskHeadroom)},
                   {"roomForLasting", count(load.LongRunningHeadroom)},
                   {"roomForFillers", count(load.FillerHeadroom)}});
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
  return load;
}

} // namespace endivedoor::dispatch::detail
