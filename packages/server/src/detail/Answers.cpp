#include "detail/Answers.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace endivedoor::server::detail {

using base::Errc;
using platform::HttpResponse;

std::string_view outcomeName(Outcome outcome) {
  switch (outcome) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

void setOutcome(HttpResponse &response, Outcome outcome) {
  std::erase_if(response.Headers, [](const auto &it) {
    return boost::beast::iequals(it.first, "Endivedoor-Outcome");
  });
  response.Headers.emplace_back("Endivedoor-Outcome", outcomeName(outcome));
}

HttpResponse jsonResponse(unsigned status, const boost::json::value &body) {
  HttpResponse response;
  response.Status = status;
  response.Headers = {{"Content-Type", "application/json"}};
  response.Body = boost::json::serialize(body);
  return response;
}

struct ErrorMapping {
  Errc Code;
  unsigned Status;
  Outcome RequestOutcome;
  bool RetryLater;
};

static const ErrorMapping *findErrorMapping(Errc code) {
  static const ErrorMapping table[] = {
      {Errc::NoTarget, 503, Outcome::NotRun, true},
      {Errc::Overloaded, 503, Outcome::NotRun, true},
      {Errc::DeadlinePassed, 503, Outcome::NotRun, false},
      {Errc::TargetRefused, 503, Outcome::NotRun, true},
      {Errc::HttpNotSent, 503, Outcome::NotRun, true},
      {Errc::HttpNoConnection, 503, Outcome::NotRun, true},
      {Errc::Draining, 503, Outcome::NotRun, true},
      {Errc::StoreUnavailable, 503, Outcome::NotRun, true},
      {Errc::AdmissionClosed, 503, Outcome::NotRun, true},
      {Errc::StoreRejected, 503, Outcome::NotRun, true},
      {Errc::ForwardLoop, 503, Outcome::NotRun, true},
      {Errc::NotOwner, 503, Outcome::NotRun, true},
      {Errc::RequestMalformed, 400, Outcome::NotRun, false},
      {Errc::InvalidArgument, 400, Outcome::NotRun, false},
      {Errc::ParseFailed, 400, Outcome::NotRun, false},
      {Errc::RulesRejected, 422, Outcome::NotRun, false},
      {Errc::LimitExceeded, 413, Outcome::NotRun, false},
      {Errc::PathUnknown, 404, Outcome::NotRun, false},
      {Errc::JobUnknown, 404, Outcome::NotRun, false},
      {Errc::ZoneUnknown, 404, Outcome::NotRun, false},
      {Errc::MethodUnknown, 405, Outcome::NotRun, false},
      {Errc::BookingKeyReused, 422, Outcome::NotRun, false},
      // The repeated request did not run, but the booking with the same key may
      // have.
      {Errc::BookingInProgress, 409, Outcome::Unknown, true},
      {Errc::ChangeConflict, 409, Outcome::NotRun, false},
  };
  auto it = std::ranges::find(table, code, &ErrorMapping::Code);
  return it == std::end(table) ? nullptr : &*it;
}

boost::json::object errorToJson(const base::Error &error) {
  boost::json::object fields{{"number", static_cast<int>(error.Code)},
                             {"message", error.message()}};
  return {{"error", std::move(fields)}};
}

static HttpResponse errorJsonResponse(unsigned status,
                                      const base::Error &error) {
  return jsonResponse(status, errorToJson(error));
}

HttpResponse errorResponse(const base::Error &error) {
  // For any other error the effect of the request is unknown.
  static const ErrorMapping unknown{Errc::AnswerUnknown, 504, Outcome::Unknown,
                                    false};
  const ErrorMapping *it = findErrorMapping(error.Code);
  if (!it)
    it = &unknown;
  HttpResponse response = errorJsonResponse(it->Status, error);
  if (it->RetryLater)
    response.Headers.emplace_back("Retry-After", "1");
  setOutcome(response, it->RequestOutcome);
  return response;
}

HttpResponse protocolErrorResponse(unsigned status, const std::string &reason) {
  Errc code = status == 413 || status == 431 ? Errc::LimitExceeded
                                             : Errc::RequestMalformed;
  HttpResponse response = errorJsonResponse(status, base::Error{code, reason});
  setOutcome(response, Outcome::NotRun);
  return response;
}

} // namespace endivedoor::server::detail
