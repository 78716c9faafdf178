/// \file
/// JSON conversion for the operator API.
#ifndef ENDIVEDOOR_SERVER_DETAIL_OPERATORJSON_H
#define ENDIVEDOOR_SERVER_DETAIL_OPERATORJSON_H

#include "endivedoor/base/Event.h"
#include "endivedoor/control/ControlApi.h"

#include <boost/json/object.hpp>

namespace endivedoor::server::detail {

struct RulesChange {
  std::string Text;
  std::uint64_t BaseVersion = 0;
  std::string Author;
};

struct ZoneChange {
  std::string Author;
  std::string Reason;
};

/// Parses the body of PUT /v1/rules.
///
/// \param maxBytes maximum size of the rules text.
/// Errors: RequestMalformed.
base::Result<RulesChange> parseRulesChange(const std::string &text,
                                           std::size_t maxBytes);
/// Parses the body of POST /v1/zones/<zone>/out and /v1/zones/<zone>/in.
/// Errors: RequestMalformed.
base::Result<ZoneChange> parseZoneChange(const std::string &text);

boost::json::object configurationToJson(const control::Configuration &config);
boost::json::object zonesToJson(const std::vector<control::ZoneState> &zones,
                                std::uint64_t configVersion);
boost::json::object
workersToJson(const std::vector<control::WorkerState> &workers);
boost::json::object eventsToJson(const std::string &process,
                                 const std::vector<base::EventRecord> &events);

} // namespace endivedoor::server::detail

#endif
