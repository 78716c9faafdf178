/// \file
/// Blocking HTTP calls for tests.
#ifndef ENDIVEDOOR_TESTS_HARNESS_HTTP_H
#define ENDIVEDOOR_TESTS_HARNESS_HTTP_H

#include "endivedoor/base/Error.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Http.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <string>

namespace endivedoor::harness {

/// Sends one request on a new connection and waits for the response.
base::Result<platform::HttpResponse>
call(const model::Address &to, platform::HttpRequest request,
     std::chrono::milliseconds timeout = std::chrono::seconds(5));

/// Sends GET or, with a body, POST; returns the JSON of a 2xx response, or
/// null.
boost::json::value callJson(const model::Address &to, const std::string &path,
                            const std::string &body = {});

} // namespace endivedoor::harness

#endif
