/// \file
/// Answers of the HTTP servers: JSON bodies, numbered errors, outcomes.
#ifndef ENDIVEDOOR_SERVER_DETAIL_ANSWERS_H
#define ENDIVEDOOR_SERVER_DETAIL_ANSWERS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/platform/Http.h"

#include <boost/json/value.hpp>

namespace endivedoor::server::detail {

/// What a caller may conclude about the effect of a request.
enum class Outcome { Answered, NotRun, Unknown };

/// Returns the value of the header Endivedoor-Outcome.
std::string_view outcomeName(Outcome outcome);

/// Replaces the header Endivedoor-Outcome.
void setOutcome(platform::HttpResponse &response, Outcome outcome);

platform::HttpResponse jsonResponse(unsigned status,
                                    const boost::json::value &body);

/// Returns {"error": {"number": n, "message": text}}.
boost::json::object errorToJson(const base::Error &error);

/// Returns errorToJson with the status and the outcome that
/// belong to the error, and Retry-After where repeating can help.
platform::HttpResponse errorResponse(const base::Error &error);

/// Returns the answer to a request that the HTTP server itself refuses.
platform::HttpResponse protocolErrorResponse(unsigned status,
                                             const std::string &reason);

} // namespace endivedoor::server::detail

#endif
