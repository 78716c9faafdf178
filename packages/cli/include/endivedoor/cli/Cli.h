/// \file
/// Entry points of the operators' command line.
#ifndef ENDIVEDOOR_CLI_CLI_H
#define ENDIVEDOOR_CLI_CLI_H

#include "endivedoor/base/Clock.h"
#include "endivedoor/base/Error.h"
#include "endivedoor/model/Worker.h"
#include "endivedoor/platform/Http.h"

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace endivedoor::cli {

/// Exit status of the program.
enum class ExitCode {
  /// The command succeeded.
  Success = 0,
  /// The daemon refused the request, or it conflicted with a concurrent change.
  Refused = 1,
  /// The command line or an input file is invalid.
  UsageError = 2,
  /// No daemon could be reached; nothing was changed.
  Unreachable = 3,
  /// The request was sent, but it is unknown whether it took effect.
  OutcomeUnknown = 4
};

/// Output streams of the program.
struct Console {
  std::ostream &Out;
  std::ostream &Err;
};

/// Sends requests to daemons, one at a time.
class DaemonClient {
public:
  virtual ~DaemonClient() = default;
  /// Sends a request and waits for the whole response.
  ///
  /// Errors: HttpNotSent, HttpAnswerLost.
  virtual base::Result<platform::HttpResponse>
  send(const model::Address &to, platform::HttpRequest request,
       std::chrono::milliseconds timeout) = 0;
  /// Blocks for the given time.
  virtual void sleep(std::chrono::milliseconds time) = 0;
};

/// Runs one command.
///
/// \param args the arguments without the program name.
/// \returns the exit status; errors are written to \p console.
ExitCode run(const std::vector<std::string> &args, Console console,
             DaemonClient &client, const base::Clock &clock);

/// Runs one command with a client that sends its requests over HTTP.
ExitCode runOverHttp(const std::vector<std::string> &args, Console console);

} // namespace endivedoor::cli

#endif
