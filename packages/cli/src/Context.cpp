#include "endivedoor/cli/detail/Context.h"

#include "endivedoor/cli/detail/Table.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>

namespace endivedoor::cli::detail {

namespace json = boost::json;
using base::Errc;
using base::Result;

namespace {

constexpr std::size_t MaxFileBytes = 64 << 20;

std::int64_t errorNumber(const json::value &body) {
  json::value number = getMember(getMember(body, "error"), "number");
  return number.is_int64() ? number.get_int64() : 0;
}

bool hasErrorCode(const json::value &body, Errc code) {
  return errorNumber(body) == static_cast<std::int64_t>(code);
}

json::value parseBody(const std::string &text) {
  boost::system::error_code ec;
  json::value body = json::parse(text, ec);
  return ec ? json::value() : body;
}

/// Maps an error response of a daemon to the error that determines the exit
/// status.
base::Error refusalError(unsigned status, const json::value &body,
                         const model::Address &from) {
  std::string detail = from.str() + " answered " + std::to_string(status);
  json::value message = getMember(getMember(body, "error"), "message");
  if (message.is_string())
    detail += ": " + replaceControlCharacters(
                         std::string_view(message.get_string()), true);
  if (status == 504 || hasErrorCode(body, Errc::StoreAnswerLost))
    return {Errc::CliOutcomeUnknown, detail};
  // The daemon rejected the body: it is malformed, too large or has faults.
  if (status == 400 || status == 413 || status == 422)
    return {Errc::CliInputInvalid, detail};
  return {Errc::CliRefused, detail};
}

} // namespace

std::uint64_t readVersion(const json::value &body) {
  for (const json::value &it :
       {getMember(body, "version"), getMember(body, "configVersion"),
        getMember(getMember(body, "current"), "version")}) {
    boost::system::error_code ec;
    auto version = it.is_number() ? it.to_number<std::uint64_t>(ec) : 0;
    if (!ec && version > 0)
      return version;
  }
  return 0;
}

Result<std::string> readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  if (!in || !(out << in.rdbuf()))
    return base::fail(Errc::CliInputInvalid, path + " could not be read");
  std::string text = std::move(out).str();
  if (text.size() > MaxFileBytes)
    return base::fail(Errc::CliInputInvalid, path + " is larger than 64MiB");
  return text;
}

Result<platform::HttpResponse> Context::send(const model::Address &to,
                                             const std::string &method,
                                             const std::string &path,
                                             const std::string &body) {
  platform::HttpRequest request{method, path, {}, body};
  if (!body.empty())
    request.Headers.emplace_back("Content-Type", "application/json");
  return Client.send(to, std::move(request), Args.Flags.RequestTimeout);
}

Result<JsonResponse>
Context::toJsonResponse(const platform::HttpResponse &response,
                        const model::Address &from) {
  json::value body = parseBody(response.Body);
  if (response.Status / 100 != 2 && response.Status != 409)
    return refusalError(response.Status, body, from);
  if (!body.is_object() && !response.Body.empty())
    return base::fail(Errc::CliAnswerInvalid,
                      from.str() + " sent no JSON object");
  return JsonResponse{response.Status, std::move(body), from};
}

Result<JsonResponse> Context::get(const std::string &path) {
  std::string tried;
  std::optional<base::Error> last;
  for (const model::Address &it : std::vector(Daemons)) {
    Result<platform::HttpResponse> response = send(it, "GET", path);
    if (!response) {
      tried += (tried.empty() ? "" : ", ") + it.str();
      continue;
    }
    Result<JsonResponse> parsed = toJsonResponse(response.value(), it);
    if (parsed)
      moveToFront(it);
    if (parsed || response.value().Status < 500)
      return parsed;
    last = parsed.error();
  }
  if (last)
    return base::fail(Errc::CliRefused, last->Detail);
  return base::fail(Errc::CliUnreachable, tried);
}

void Context::moveToFront(const model::Address &daemon) {
  auto at = std::find(Daemons.begin(), Daemons.end(), daemon);
  if (at != Daemons.end())
    std::rotate(Daemons.begin(), at, at + 1);
}

Context::Responses Context::getAll(const std::string &path) {
  Responses all;
  for (const model::Address &it : Daemons) {
    Result<platform::HttpResponse> response = send(it, "GET", path);
    if (!response) {
      all.Unreachable.push_back(it.str());
      continue;
    }
    Result<JsonResponse> parsed = toJsonResponse(response.value(), it);
    if (parsed)
      all.Succeeded.push_back(std::move(parsed).value());
    else
      all.LastRefusal = parsed.error();
  }
  return all;
}

base::Error Context::Responses::error() const {
  if (LastRefusal)
    return *LastRefusal;
  std::string tried;
  for (const std::string &it : Unreachable)
    tried += (tried.empty() ? "" : ", ") + it;
  return {Errc::CliUnreachable, tried};
}

Result<JsonResponse> Context::change(const std::string &method,
                                     const std::string &path,
                                     const json::value &body) {
  std::string text = body.is_null() ? "" : json::serialize(body);
  std::string tried;
  std::optional<base::Error> last;
  for (const model::Address &it : std::vector(Daemons)) {
    Result<platform::HttpResponse> response = send(it, method, path, text);
    if (!response && response.error().Code != Errc::HttpNotSent)
      return base::fail(Errc::CliOutcomeUnknown, response.error().message());
    if (!response) {
      tried += (tried.empty() ? "" : ", ") + it.str();
      continue;
    }
    Result<JsonResponse> parsed = toJsonResponse(response.value(), it);
    bool notRun =
        hasErrorCode(parseBody(response.value().Body), Errc::StoreUnavailable);
    if (parsed)
      moveToFront(it);
    // Another daemon may still reach the store.
    if (parsed || !notRun)
      return parsed;
    last = parsed.error();
  }
  if (last)
    return *last;
  return base::fail(Errc::CliUnreachable, tried);
}

ExitCode Context::reportError(const base::Error &error) {
  std::string text = error.message();
  if (Args.Flags.OutputFormat == "text")
    Streams.Err << text << "\n";
  else
    Streams.Err << json::object{{"error",
                                 {{"number", static_cast<int>(error.Code)},
                                  {"message", text}}}}
                << "\n";
  switch (error.Code) {
  case Errc::CliUsage:
  case Errc::CliInputInvalid:
    return ExitCode::UsageError;
  case Errc::CliUnreachable:
    return ExitCode::Unreachable;
  case Errc::CliOutcomeUnknown:
    return ExitCode::OutcomeUnknown;
  default:
    return ExitCode::Refused;
  }
}

ExitCode Context::printResult(const json::value &json,
                              const std::string &text) {
  if (asJson())
    Streams.Out << json << "\n";
  else
    Streams.Out << text;
  return ExitCode::Success;
}

} // namespace endivedoor::cli::detail
