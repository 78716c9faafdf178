#include "detail/ColocationRecords.h"

#include "endivedoor/platform/Json.h"

#include <boost/json.hpp>

#include <cmath>
#include <optional>

namespace endivedoor::dispatch::detail {

namespace json = boost::json;
using base::Errc;
using base::fail;

/// Numbers are stored as integers in units of 1 / FixedPointScale; smaller
/// differences are below the measurement noise.
constexpr double FixedPointScale = 10000;

static json::array toJson(const std::vector<double> &row) {
  json::array to;
  for (double it : row)
    to.push_back(std::llround(it * FixedPointScale));
  return to;
}

std::string
encodeColocation(const std::vector<policy::ColocationStatistics> &facts) {
  json::array all;
  for (const policy::ColocationStatistics &it : facts) {
    json::array normal;
    for (const std::vector<double> &row : it.NormalMatrix)
      normal.push_back(toJson(row));
    all.push_back(json::object{{"serving", it.ServingImage},
                               {"fillers", json::value_from(it.Fillers)},
                               {"normal", std::move(normal)},
                               {"right", toJson(it.RightHandSide)}});
  }
  return json::serialize(all);
}

static std::optional<std::vector<double>> rowFrom(const json::value &value) {
  const json::array *list = value.if_array();
  if (!list)
    return std::nullopt;
  std::vector<double> row;
  for (const json::value &it : *list) {
    if (!it.is_int64())
      return std::nullopt;
    row.push_back(static_cast<double>(it.as_int64()) / FixedPointScale);
  }
  return row;
}

static std::optional<policy::ColocationStatistics>
factsFrom(const json::value &value) {
  const json::object *from = value.if_object();
  if (!from)
    return std::nullopt;
  const json::value *serving = from->if_contains("serving");
  const json::value *fillers = from->if_contains("fillers");
  const json::value *normal = from->if_contains("normal");
  const json::value *right = from->if_contains("right");
  if (!serving || !serving->is_string() || !fillers || !fillers->is_array() ||
      !normal || !normal->is_array() || !right)
    return std::nullopt;
  policy::ColocationStatistics facts;
  facts.ServingImage = std::string(serving->as_string());
  for (const json::value &it : fillers->as_array()) {
    if (!it.is_string())
      return std::nullopt;
    facts.Fillers.emplace_back(it.as_string());
  }
  for (const json::value &it : normal->as_array()) {
    std::optional<std::vector<double>> row = rowFrom(it);
    if (!row)
      return std::nullopt;
    facts.NormalMatrix.push_back(std::move(*row));
  }
  std::optional<std::vector<double>> row = rowFrom(*right);
  if (!row)
    return std::nullopt;
  facts.RightHandSide = std::move(*row);
  return facts;
}

base::Result<std::vector<policy::ColocationStatistics>>
decodeColocation(const std::string &text) {
  base::Result<json::value> value = platform::parseJson(text);
  if (!value)
    return value.as_failure();
  if (!value.value().is_array())
    return fail(Errc::ParseFailed, "pair record is not a JSON array");
  std::vector<policy::ColocationStatistics> all;
  for (const json::value &it : value.value().as_array()) {
    std::optional<policy::ColocationStatistics> facts = factsFrom(it);
    if (!facts)
      return fail(Errc::ParseFailed, "malformed entry in pair record");
    all.push_back(std::move(*facts));
  }
  return all;
}

} // namespace endivedoor::dispatch::detail
