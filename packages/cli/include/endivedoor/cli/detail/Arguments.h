/// \file
/// The command line as values.
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

/// Values of all flags; those that a command does not take stay at their
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
  /// Version that a rules file was edited from; the one in force if absent.
  std::optional<std::uint64_t> BaseVersion;
  /// For each request.
  std::chrono::milliseconds RequestTimeout{0};
  /// For a command that waits.
  std::chrono::milliseconds WaitTimeout{0};
};

class Context;

/// A subcommand.
struct Command {
  /// Words that name it, for example {"zone", "out"}.
  std::vector<std::string> Words;
  /// Name of its one argument; empty if it takes none.
  std::string Argument;
  std::string Summary;
  /// Flags that it takes beside --output, --daemon, --settings and --timeout.
  std::vector<std::string> Flags;
  /// Values of --output beside "text" and "json".
  std::vector<std::string> OutputFormats;
  std::vector<std::string> Examples;
  ExitCode (*Run)(Context &context);
  /// Returns the words separated by spaces.
  std::string name() const;
};

struct Invocation {
  /// Nothing if help on all commands is asked for.
  const Command *Subcommand = nullptr;
  bool HelpRequested = false;
  std::string Argument;
  Options Flags;
};

/// Reads the command line.
///
/// Errors: CliUsage (detail: what is wrong, and a suggestion).
base::Result<Invocation> parseArguments(const std::vector<std::string> &args);

/// Returns the help text of a command, or of all if \p command is null.
std::string helpText(const Command *command);

} // namespace endivedoor::cli::detail

#endif
