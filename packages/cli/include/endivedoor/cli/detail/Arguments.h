/// \file
/// Parsing of the command line.
#ifndef ENDIVEDOOR_CLI_DETAIL_ARGUMENTS_H
#define ENDIVEDOOR_CLI_DETAIL_ARGUMENTS_H

#include "endivedoor/base/Error.h"
#include "endivedoor/cli/Cli.h"
#include "endivedoor/model/Worker.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endivedoor::cli::detail {

/// Values of all flags. Flags that a command does not accept keep their
/// defaults.
struct Options {
  std::vector<model::Address> Daemons;
  std::string OutputFormat = "text";
  std::string Settings;
  std::string Author;
  std::string Reason;
  std::string Zone;
  std::string Worker;
  std::string Job;
  std::string Contract;
  std::string Request;
  /// Version that the rules file is based on; if absent, the version in force.
  std::optional<std::uint64_t> BaseVersion;
  /// Timeout of each request.
  std::chrono::milliseconds RequestTimeout{0};
  /// Maximum time that a command such as "wait ready" waits.
  std::chrono::milliseconds WaitTimeout{0};
};

class Context;

/// A subcommand.
struct Command {
  /// Words of the command name, for example {"zone", "out"}.
  std::vector<std::string> Words;
  /// Name of the positional argument; empty if the command takes none.
  std::string Argument;
  std::string Summary;
  /// Flags that the command accepts in addition to --output, --daemon,
  /// --settings and --timeout.
  std::vector<std::string> Flags;
  /// Values of --output that are accepted in addition to "text" and "json".
  std::vector<std::string> OutputFormats;
  std::vector<std::string> Examples;
  ExitCode (*Run)(Context &context);
  /// Returns the words of the name, separated by spaces.
  std::string name() const;
};

struct Invocation {
  /// Null if help on all commands is requested.
  const Command *Subcommand = nullptr;
  bool HelpRequested = false;
  std::string Argument;
  Options Flags;
};

/// Parses the command line.
///
/// Errors: CliUsage (detail: the fault and a suggestion).
base::Result<Invocation> parseArguments(const std::vector<std::string> &args);

/// Returns the help text of a command, or of all commands if \p command is
/// null.
std::string helpText(const Command *command);

} // namespace endivedoor::cli::detail

#endif
