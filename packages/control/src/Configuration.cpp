#include "endivedoor/control/Configuration.h"

#include "detail/Codec.h"

namespace endivedoor::control {

namespace json = boost::json;

template <typename Id> static json::array idsToJson(const std::set<Id> &ids) {
  json::array out;
  for (const Id &it : ids)
    out.emplace_back(it.str());
  return out;
}

template <typename Id>
static base::Result<std::set<Id>> idsFromJson(const json::array &list) {
  std::set<Id> out;
  for (const json::value &it : list) {
    if (!it.is_string())
      return base::fail(base::Errc::ParseFailed,
                        "zone or worker name is not a string");
    out.insert(Id(std::string(it.get_string())));
  }
  return out;
}

std::string toJson(const Configuration &config) {
  return json::serialize(
      json::object{{"version", static_cast<std::int64_t>(config.Version)},
                   {"rules", config.RulesText},
                   {"zonesOut", idsToJson(config.ZonesOut)},
                   {"workersOut", idsToJson(config.WorkersOut)},
                   {"writeId", config.WriteId},
                   {"author", config.Author}});
}

base::Result<Configuration> configurationFromJson(const std::string &text) {
  BOOST_OUTCOME_TRY(json::value value, detail::parseJson(text));
  detail::FieldReader in(value);
  Configuration out;
  std::int64_t version = in.number("version");
  out.RulesText = in.text("rules");
  BOOST_OUTCOME_TRY(out.ZonesOut,
                    idsFromJson<base::ZoneId>(in.list("zonesOut")));
  BOOST_OUTCOME_TRY(out.WorkersOut,
                    idsFromJson<base::WorkerId>(in.list("workersOut")));
  out.WriteId = in.text("writeId");
  out.Author = in.text("author");
  if (in.failed())
    return in.error();
  if (version < 1)
    return base::fail(base::Errc::ParseFailed, "field version is less than 1");
  out.Version = static_cast<std::uint64_t>(version);
  return out;
}

} // namespace endivedoor::control
