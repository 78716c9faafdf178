#include "detail/OperatorJson.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

namespace endivedoor::server::detail {

namespace json = boost::json;
using base::Errc;
using base::fail;
using platform::JsonView;

/// Parses a JSON object and rejects fields that are not in \p allowedFields.
static base::Result<json::value>
parseObject(const std::string &text,
            std::initializer_list<std::string_view> allowedFields) {
  base::Result<json::value> value = platform::parseJson(text);
  if (!value || !value.value().is_object())
    return fail(Errc::RequestMalformed, "request body is not a JSON object");
  for (const auto &it : value.value().get_object())
    if (std::find(allowedFields.begin(), allowedFields.end(),
                  std::string_view(it.key())) == allowedFields.end())
      return fail(Errc::RequestMalformed,
                  "unknown field " + std::string(it.key()));
  return value;
}

base::Result<RulesChange> parseRulesChange(const std::string &text,
                                           std::size_t maxBytes) {
  BOOST_OUTCOME_TRY(json::value value,
                    parseObject(text, {"text", "baseVersion", "author"}));
  std::string error;
  JsonView view(value, error);
  RulesChange change;
  if (!view.has("text"))
    view.setError("text", "is missing");
  change.Text = view.optionalText("text", maxBytes);
  change.BaseVersion = static_cast<std::uint64_t>(
      view.number("baseVersion", 0, platform::MaxInt64));
  change.Author = view.text("author");
  if (!error.empty())
    return fail(Errc::RequestMalformed, error);
  return change;
}

base::Result<ZoneChange> parseZoneChange(const std::string &text) {
  BOOST_OUTCOME_TRY(json::value value, parseObject(text, {"author", "reason"}));
  std::string error;
  JsonView view(value, error);
  ZoneChange change{view.text("author"), view.text("reason", 1024)};
  if (!error.empty())
    return fail(Errc::RequestMalformed, error);
  return change;
}

template <typename Ids> static json::array idsToJson(const Ids &ids) {
  json::array list;
  for (const auto &it : ids)
    list.push_back(json::string(it.str()));
  return list;
}

json::object configurationToJson(const control::Configuration &config) {
  return {{"version", config.Version},
          {"text", config.RulesText},
          {"zonesOut", idsToJson(config.ZonesOut)},
          {"workersOut", idsToJson(config.WorkersOut)},
          {"author", config.Author}};
}

json::object zonesToJson(const std::vector<control::ZoneState> &zones,
                         std::uint64_t configVersion) {
  json::array list;
  for (const control::ZoneState &it : zones)
    list.push_back({{"zone", it.Zone.str()},
                    {"out", it.OutOfService},
                    {"owner", it.Owner},
                    {"epoch", base::toNumber(it.OwnerEpoch)}});
  return {{"zones", std::move(list)}, {"configVersion", configVersion}};
}

static json::object resourcesToJson(const base::Resources &it) {
  return {{"slots", it.Slots},
          {"connections", it.Connections},
          {"milliCores", base::count(it.Cpu)},
          {"memoryMb", base::count(it.Memory)},
          {"accelerators", it.Accelerators}};
}

json::object workersToJson(const std::vector<control::WorkerState> &workers) {
  json::array list;
  for (const control::WorkerState &it : workers)
    list.push_back({{"worker", it.Worker.Id.str()},
                    {"zone", it.Worker.Zone.str()},
                    {"rack", it.Worker.Rack.str()},
                    {"address", it.Worker.Endpoint.str()},
                    {"leaving", it.Worker.Leaving},
                    {"leaseHeld", it.LeaseHeld},
                    {"reachable", it.Reachable},
                    {"quarantined", it.Quarantined},
                    {"tasks", it.TaskCount},
                    {"capacity", resourcesToJson(it.Worker.Capacity)},
                    {"freeSlots", it.FreeResources.Slots},
                    {"free", resourcesToJson(it.FreeResources)}});
  return {{"workers", std::move(list)}};
}

json::object eventsToJson(const std::string &process,
                          const std::vector<base::EventRecord> &events) {
  json::array list;
  for (const base::EventRecord &it : events) {
    json::object fields;
    for (const auto &[key, value] : it.Fields)
      fields[key] = value;
    const base::EventInfo &info = base::eventInfo(it.Code);
    list.push_back({{"micros", it.Time.WallMicros},
                    {"counter", it.Time.Counter},
                    {"code", static_cast<int>(it.Code)},
                    {"name", info.Name},
                    {"text", info.Text},
                    {"fields", std::move(fields)}});
  }
  return {{"process", process}, {"events", std::move(list)}};
}

} // namespace endivedoor::server::detail
