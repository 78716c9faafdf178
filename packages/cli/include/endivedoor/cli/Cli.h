/// \file
/// Umbrella header of the package cli: the operators' command line.
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
  /// Done as asked.
  Success = 0,
  /// Refused by the daemon, or another operator was first.
  Refused = 1,
  /// Wrong command line, or a file with faults.
  UsageError = 2,
  /// No daemon could be reached; nothing was changed.
  Unreachable = 3,
  /// The request was sent, but it is unknown whether it took effect.
  OutcomeUnknown = 4
};

/// Where the program writes.
struct Console {
  std::ostream &Out;
  std::ostream &Err;
};

/// Exchanges with daemons, one at a time.
class DaemonClient {
public:
  virtual ~DaemonClient() = default;
  /// Sends a request and waits for the whole response.
  ///
  /// Errors: HttpNotSent, HttpAnswerLost.
  virtual base::Result<platform::HttpResponse>
  send(const model::Address &to, platform::HttpRequest request,
       std::chrono::milliseconds timeout) = 0;
  /// Waits.
  virtual void sleep(std::chrono::milliseconds time) = 0;
};

/// Runs one command.
///
/// \param args the arguments without the program's name.
/// \returns the exit status; errors are written to \p console.
ExitCode run(const std::vector<std::string> &args, Console console,
             DaemonClient &client, const base::Clock &clock);

/// Runs one command over HTTP.
ExitCode runOverHttp(const std::vector<std::string> &args, Console console);

} // namespace endivedoor::cli

#endif
