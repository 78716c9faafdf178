/// \file
/// Environment and functions of the commands.
#ifndef ENDIVEDOOR_CLI_DETAIL_CONTEXT_H
#define ENDIVEDOOR_CLI_DETAIL_CONTEXT_H

#include "endivedoor/cli/detail/Arguments.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace endivedoor::cli::detail {

/// A JSON response with a status of 2xx or 409.
struct JsonResponse {
  unsigned Status = 0;
  boost::json::value Body;
  model::Address Daemon;
};

/// Sends requests to the daemons of the command line and writes output.
class Context {
public:
  Context(const Invocation &invocation, Console console, DaemonClient &client,
          const base::Clock &clock)
      : Args(invocation), Streams(console), Client(client), Clock(clock),
        Daemons(invocation.Flags.Daemons) {}

  /// Sends a GET request to one daemon after another until one responds with a
  /// status below 500.
  ///
  /// Errors: CliUnreachable, CliRefused, CliInputInvalid, CliAnswerInvalid.
  base::Result<JsonResponse> get(const std::string &path);

  /// Responses of all daemons.
  struct Responses {
    std::vector<JsonResponse> Succeeded;
    /// Daemons that could not be reached.
    std::vector<std::string> Unreachable;
    /// Error of the last daemon that refused the request.
    std::optional<base::Error> LastRefusal;
    /// Returns the error to report if no request succeeded. Errors: as get().
    base::Error error() const;
  };
  Responses getAll(const std::string &path);

  /// Sends a change to the first daemon that can be reached. The next daemon is
  /// tried only if the change certainly had no effect.
  ///
  /// Errors: as get(), and CliOutcomeUnknown.
  base::Result<JsonResponse> change(const std::string &method,
                                    const std::string &path,
                                    const boost::json::value &body);

  /// Sends one request to one daemon. Errors: HttpNotSent, HttpAnswerLost.
  base::Result<platform::HttpResponse> send(const model::Address &to,
                                            const std::string &method,
                                            const std::string &path,
                                            const std::string &body = "");

  /// Writes an error and returns its exit status.
  ExitCode reportError(const base::Error &error);
  /// Writes \p json or \p text, depending on --output.
  ExitCode printResult(const boost::json::value &json, const std::string &text);

  bool asJson() const { return Args.Flags.OutputFormat == "json"; }

  const Invocation &Args;
  Console Streams;
  DaemonClient &Client;
  const base::Clock &Clock;

  /// Zones of the settings file; empty if none was given.
  std::vector<base::ZoneId> Zones;

private:
  /// Moves a daemon that responded to the front of the list, so that an
  /// unreachable daemon costs its timeout only once.
  void moveToFront(const model::Address &daemon);
  base::Result<JsonResponse>
  toJsonResponse(const platform::HttpResponse &response,
                 const model::Address &from);

  std::vector<model::Address> Daemons;
};

/// Returns the configuration version in the body of a response, or 0 if it has
/// none.
std::uint64_t readVersion(const boost::json::value &body);

/// Reads a whole file of at most 64 MiB. Errors: CliInputInvalid.
base::Result<std::string> readFile(const std::string &path);

/// Formats the faults of a file, one "E<number> ..." line each.
template <typename Faults> std::string formatDiagnostics(const Faults &faults) {
  std::string text;
  for (const auto &it : faults)
    text += it.message() + "\n";
  return text;
}

/// All commands, in the order of the help text.
const std::vector<Command> &commands();

ExitCode runRulesCheck(Context &context);
ExitCode runRulesApply(Context &context);
ExitCode runRulesShow(Context &context);
ExitCode runZoneOut(Context &context);
ExitCode runZoneIn(Context &context);
ExitCode runZones(Context &context);
ExitCode runWorkers(Context &context);
ExitCode runJobs(Context &context);
ExitCode runJobShow(Context &context);
ExitCode runJobSubmit(Context &context);
ExitCode runJobCancel(Context &context);
ExitCode runMembers(Context &context);
ExitCode runTimeline(Context &context);
ExitCode runReport(Context &context);
ExitCode runStatus(Context &context);
ExitCode runWaitReady(Context &context);
ExitCode runExplain(Context &context);
ExitCode runUnreadable(Context &context);

} // namespace endivedoor::cli::detail

#endif
