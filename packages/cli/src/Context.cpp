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
  json::value number = member(member(body, "error"), "number");
  return number.is_int64() ? number.get_int64() : 0;
}

bool isNumber(const json::value &body, Errc code) {
  return errorNumber(body) == static_cast<std::int64_t>(code);
}

json::value parseBody(const std::string &text) {
  boost::system::error_code ec;
  json::value body = json::parse(text, ec);
  return ec ? json::value() : body;
}

/// Maps the refusal of a daemon to the error that decides the exit status.
base::Error refusal(unsigned status, const json::value &body,
                    const model::Address &from) {
  std::string detail = from.str() + " answered " + std::to_string(status);
  json::value message = member(member(body, "error"), "message");
  if (message.is_string())
    detail += ": " + printable(std::string_view(message.get_string()), true);
  if (status == 504 || isNumber(body, Errc::StoreAnswerLost))
    return {Errc::CliOutcomeUnknown, detail};
  // A body that the daemon cannot accept: malformed, too large, or with faults.
  if (status == 400 || status == 413 || status == 422)
    return {Errc::CliInputInvalid, detail};
  return {Errc::CliRefused, detail};
}

} // namespace

std::uint64_t versionOf(const json::value &body) {
  for (const json::value &it :
       {member(body, "version"), member(body, "configVersion"),
        member(member(body, "current"), "version")}) {
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
  return Source.send(to, std::move(request), In.Values.Timeout);
}

Result<Answer> Context::toAnswer(const platform::HttpResponse &response,
                                 const model::Address &from) {
  json::value body = parseBody(response.Body);
  if (response.Status / 100 != 2 && response.Status != 409)
    return refusal(response.Status, body, from);
  if (!body.is_object() && !response.Body.empty())
    return base::fail(Errc::CliAnswerInvalid,
                      from.str() + " sent no JSON object");
  return Answer{response.Status, std::move(body), from};
}

Result<Answer> Context::get(const std::string &path) {
  std::string tried;
  std::optional<base::Error> last;
  for (const model::Address &it : std::vector(Daemons)) {
    Result<platform::HttpResponse> response = send(it, "GET", path);
    if (!response) {
      tried += (tried.empty() ? "" : ", ") + it.str();
      continue;
    }
    Result<Answer> answer = toAnswer(response.value(), it);
    if (answer)
      prefer(it);
    if (answer || response.value().Status < 500)
      return answer;
    last = answer.error();
  }
  if (last)
    return base::fail(Errc::CliRefused, last->Detail);
  return base::fail(Errc::CliUnreachable, tried);
}

void Context::prefer(const model::Address &daemon) {
  auto at = std::find(Daemons.begin(), Daemons.end(), daemon);
  if (at != Daemons.end())
    std::rotate(Daemons.begin(), at, at + 1);
}

Context::Gathered Context::getAll(const std::string &path) {
  Gathered all;
  for (const model::Address &it : Daemons) {
    Result<platform::HttpResponse> response = send(it, "GET", path);
    if (!response) {
      all.Unreachable.push_back(it.str());
      continue;
    }
    Result<Answer> answer = toAnswer(response.value(), it);
    if (answer)
      all.Answers.push_back(std::move(answer).value());
    else
      all.Refused = answer.error();
  }
  return all;
}

base::Error Context::Gathered::error() const {
  if (Refused)
    return *Refused;
  std::string tried;
  for (const std::string &it : Unreachable)
    tried += (tried.empty() ? "" : ", ") + it;
  return {Errc::CliUnreachable, tried};
}

Result<Answer> Context::change(const std::string &method,
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
    Result<Answer> answer = toAnswer(response.value(), it);
    bool notRun =
        isNumber(parseBody(response.value().Body), Errc::StoreUnavailable);
    if (answer)
      prefer(it);
    // Another daemon may still reach the store.
    if (answer || !notRun)
      return answer;
    last = answer.error();
  }
  if (last)
    return *last;
  return base::fail(Errc::CliUnreachable, tried);
}

ExitCode Context::fail(const base::Error &error) {
  std::string text = error.message();
  if (In.Values.Output == "text")
    Io.Err << text << "\n";
  else
    Io.Err << json::object{{"error",
                            {{"number", static_cast<int>(error.Code)},
                             {"message", text}}}}
           << "\n";
  switch (error.Code) {
  case Errc::CliUsage:
  case Errc::CliInputInvalid:
    return ExitCode::BadUsage;
  case Errc::CliUnreachable:
    return ExitCode::Unreachable;
  case Errc::CliOutcomeUnknown:
    return ExitCode::Unknown;
  default:
    return ExitCode::Refused;
  }
}

ExitCode Context::show(const json::value &json, const std::string &text) {
  if (asJson())
    Io.Out << json << "\n";
  else
    Io.Out << text;
  return ExitCode::Done;
}

} // namespace endivedoor::cli::detail
