/// \file
/// Responses of the HTTP servers: JSON bodies, error numbers and outcomes.
#ifndef ENDIVEDOOR_SERVER_DETAIL_ANSWERS_H
#define ENDIVEDOOR_SERVER_DETAIL_ANSWERS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/platform/Http.h"

#include <boost/json/value.hpp>

namespace endivedoor::server::detail {

/// What a caller can conclude about the effect of a request.
enum class Outcome { Answered, NotRun, Unknown };

/// Returns the value of the header Endivedoor-Outcome.
std::string_view outcomeName(Outcome outcome);

/// Sets the header Endivedoor-Outcome and replaces an existing one.
void setOutcome(platform::HttpResponse &response, Outcome outcome);

platform::HttpResponse jsonResponse(unsigned status,
                                    const boost::json::value &body);

/// Returns {"error": {"number": n, "message": text}}.
boost::json::object errorToJson(const base::Error &error);

/// Returns a response with the body errorToJson(), the status and the outcome
/// for the error code, and Retry-After if a retry can succeed.
platform::HttpResponse errorResponse(const base::Error &error);

/// Returns the response to a request that the HTTP server itself rejects.
platform::HttpResponse protocolErrorResponse(unsigned status,
                                             const std::string &reason);

} // namespace endivedoor::server::detail

#endif
