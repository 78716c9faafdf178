#include "endivedoor/cli/detail/Arguments.h"

#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/model/Scalars.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <cstdlib>

ABSL_FLAG(std::vector<std::string>, daemon, {},
          "operator address of a daemon, ip:port; repeat the flag to add "
          "daemons that are tried when one is unreachable");
ABSL_FLAG(std::string, settings, "",
          "settings file of a daemon, from which the addresses of all daemons "
          "and the zones are read");
ABSL_FLAG(std::string, output, "text", "output format");
ABSL_FLAG(std::string, timeout, "5s", "timeout of each request");
ABSL_FLAG(std::string, within, "30s", "maximum time to wait");
ABSL_FLAG(std::string, author, "",
          "author of the change; default: the user's name");
ABSL_FLAG(std::string, reason, "", "reason for the change");
ABSL_FLAG(std::string, zone, "", "only events about this zone");
ABSL_FLAG(std::string, worker, "", "only events about this worker");
ABSL_FLAG(std::string, job, "", "only events about this job");
ABSL_FLAG(std::string, contract, "", "name of the contract");
ABSL_FLAG(std::string, request, "", "only events about this request id");
ABSL_FLAG(std::string, base_version, "",
          "version that the file is based on; the change is refused if another "
          "version is in force");

namespace endivedoor::cli::detail {

using base::Errc;
using base::Result;

namespace {

const std::vector<std::string> CommonFlags = {"output", "daemon", "settings",
                                              "timeout"};

auto usageError(const std::string &text, const std::string &hint) {
  return base::fail(Errc::CliUsage, text + "; " + hint);
}

std::string suggest(const std::string &word,
                    const std::vector<std::string> &known) {
  std::optional<std::string> closest = model::closestMatch(word, known);
  return closest ? "did you mean \"" + *closest + "\"?" : "see --help";
}

/// Arguments split into words and flags with their values.
struct RawArguments {
  std::vector<std::string> Words;
  std::vector<std::pair<std::string, std::string>> Flags;
  bool HelpRequested = false;
};

Result<RawArguments> splitArguments(const std::vector<std::string> &args) {
  RawArguments raw;
  for (std::size_t i = 0; i < args.size(); ++i) {
    const std::string &it = args[i];
    if (it == "--help" || it == "-h") {
      raw.HelpRequested = true;
    } else if (!it.starts_with("--")) {
      raw.Words.push_back(it);
    } else if (std::size_t at = it.find('='); at != std::string::npos) {
      raw.Flags.emplace_back(it.substr(2, at - 2), it.substr(at + 1));
    } else if (i + 1 < args.size()) {
      raw.Flags.emplace_back(it.substr(2), args[i + 1]);
      ++i;
    } else {
      return usageError("flag " + it + " has no value",
                        "write " + it + "=VALUE");
    }
    // Flag names contain underscores in Abseil and hyphens on the command line.
    if (!raw.Flags.empty())
      std::replace(raw.Flags.back().first.begin(), raw.Flags.back().first.end(),
                   '-', '_');
  }
  return raw;
}

/// Returns the command with the longest name that is a prefix of \p words, or
/// null if there is none.
const Command *findCommand(const std::vector<std::string> &words) {
  const Command *best = nullptr;
  for (const Command &it : commands())
    if (it.Words.size() <= words.size() &&
        std::equal(it.Words.begin(), it.Words.end(), words.begin()) &&
        (!best || it.Words.size() > best->Words.size()))
      best = &it;
  return best;
}

Result<const Command *> chooseCommand(const std::vector<std::string> &words) {
  if (const Command *it = findCommand(words))
    return it;
  std::vector<std::string> names;
  for (const Command &it : commands())
    names.push_back(it.name());
  std::string requested = words.empty() ? "" : words[0];
  if (words.size() > 1)
    requested += " " + words[1];
  return usageError(requested.empty() ? "no command"
                                      : "unknown command \"" + requested + "\"",
                    suggest(requested, names));
}

/// Resets all flags to their defaults. The flags are global, and
/// absl::FlagSaver would log a line for each flag that it restores.
void resetFlags() {
  std::vector<std::string> names = CommonFlags;
  for (const Command &it : commands())
    names.insert(names.end(), it.Flags.begin(), it.Flags.end());
  std::string error;
  for (const std::string &it : names) {
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag(it);
    flag->ParseFrom(flag->DefaultValue(), &error);
  }
}

Result<void> setFlag(const Command &command, const std::string &name,
                     const std::string &value) {
  std::vector<std::string> known = CommonFlags;
  known.insert(known.end(), command.Flags.begin(), command.Flags.end());
  if (std::find(known.begin(), known.end(), name) == known.end())
    return usageError("unknown flag --" + name, suggest(name, known));
  absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
  std::string text = value;
  // A repeated list flag appends to the values given before.
  if (flag->IsOfType<std::vector<std::string>>() &&
      !flag->CurrentValue().empty())
    text = flag->CurrentValue() + "," + value;
  std::string error;
  if (!flag->ParseFrom(text, &error))
    return usageError("--" + name + ": " + error, "see --help");
  return base::success();
}

Result<std::vector<model::Address>>
parseAddresses(const std::vector<std::string> &texts) {
  std::vector<model::Address> list;
  for (const std::string &it : texts) {
    std::optional<model::Address> address = model::parseAddress(it);
    if (!address)
      return usageError("--daemon: \"" + it + "\" is not an address",
                        "write a numeric IPv4 address and a port, such as "
                        "127.0.0.1:21201");
    list.push_back(*address);
  }
  return list;
}

Result<std::chrono::milliseconds> parseDurationFlag(const char *flag,
                                                    const std::string &text) {
  std::optional<std::chrono::milliseconds> value = model::parseDuration(text);
  if (value && value->count() > 0 && *value <= std::chrono::hours(24))
    return *value;
  return usageError(std::string("--") + flag + ": \"" + text +
                        "\" is not a duration of 1ms to 24h",
                    "write a number and a unit, such as 500ms, 3s or 2m");
}

Result<void> readOutputFlag(const Command &command, Options &to) {
  to.OutputFormat = absl::GetFlag(FLAGS_output);
  std::vector<std::string> known = {"text", "json"};
  known.insert(known.end(), command.OutputFormats.begin(),
               command.OutputFormats.end());
  if (std::find(known.begin(), known.end(), to.OutputFormat) != known.end())
    return base::success();
  std::string all;
  for (const std::string &it : known)
    all += (all.empty() ? "" : ", ") + it;
  return usageError("--output: \"" + to.OutputFormat +
                        "\" is not a supported format",
                    "use one of " + all);
}

std::string defaultAuthor() {
  const char *user = std::getenv("USER");
  return user && *user ? user : "operator";
}

Result<Options> readOptions(const Command &command) {
  Options to;
  BOOST_OUTCOME_TRY(readOutputFlag(command, to));
  BOOST_OUTCOME_TRY(auto daemons, parseAddresses(absl::GetFlag(FLAGS_daemon)));
  BOOST_OUTCOME_TRY(auto timeout,
                    parseDurationFlag("timeout", absl::GetFlag(FLAGS_timeout)));
  BOOST_OUTCOME_TRY(auto within,
                    parseDurationFlag("within", absl::GetFlag(FLAGS_within)));
  to.Daemons = daemons;
  to.RequestTimeout = timeout;
  to.WaitTimeout = within;
  to.Settings = absl::GetFlag(FLAGS_settings);
  to.Author = absl::GetFlag(FLAGS_author);
  if (to.Author.empty())
    to.Author = defaultAuthor();
  to.Reason = absl::GetFlag(FLAGS_reason);
  to.Zone = absl::GetFlag(FLAGS_zone);
  to.Worker = absl::GetFlag(FLAGS_worker);
  to.Job = absl::GetFlag(FLAGS_job);
  to.Contract = absl::GetFlag(FLAGS_contract);
  to.Request = absl::GetFlag(FLAGS_request);
  std::string version = absl::GetFlag(FLAGS_base_version);
  to.BaseVersion = model::parseNumber(version);
  if (!version.empty() && !to.BaseVersion)
    return usageError("--base-version: \"" + version +
                          "\" is not a whole number",
                      "see the version in \"rules show\"");
  return to;
}

Result<std::string> readArgument(const Command &command,
                                 const std::vector<std::string> &words) {
  std::size_t given = words.size() - command.Words.size();
  std::size_t wanted = command.Argument.empty() ? 0 : 1;
  if (given < wanted)
    return usageError(command.Argument + " is missing",
                      "write \"endivedoor " + command.name() + " " +
                          command.Argument + "\"");
  if (given > wanted)
    return usageError("extra argument \"" + words.back() + "\"", "remove it");
  return wanted == 1 ? words.back() : std::string();
}

std::string formatFlag(const std::string &name) {
  std::string shown = name;
  std::replace(shown.begin(), shown.end(), '_', '-');
  const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
  std::string byDefault = flag->DefaultValue();
  return "  --" + shown + "  " + flag->Help() +
         (byDefault.empty() ? "" : " (default " + byDefault + ")") + "\n";
}

constexpr const char *ExitStatusHelp =
    "\nExit status:\n"
    "  0  success\n"
    "  1  refused by the daemon, or in conflict with a concurrent change\n"
    "  2  invalid command line or input file\n"
    "  3  no daemon could be reached; nothing was changed\n"
    "  4  the request was sent, but it is unknown whether it took effect\n";

} // namespace

std::string Command::name() const {
  std::string text;
  for (const std::string &it : Words)
    text += (text.empty() ? "" : " ") + it;
  return text;
}

Result<Invocation> parseArguments(const std::vector<std::string> &args) {
  resetFlags();
  BOOST_OUTCOME_TRY(auto raw, splitArguments(args));
  Invocation out;
  out.HelpRequested = raw.HelpRequested;
  if (raw.HelpRequested) {
    out.Subcommand = findCommand(raw.Words);
    return out;
  }
  BOOST_OUTCOME_TRY(auto command, chooseCommand(raw.Words));
  out.Subcommand = command;
  for (const auto &[name, value] : raw.Flags) {
    BOOST_OUTCOME_TRY(setFlag(*command, name, value));
  }
  BOOST_OUTCOME_TRY(auto argument, readArgument(*command, raw.Words));
  out.Argument = argument;
  BOOST_OUTCOME_TRY(auto values, readOptions(*command));
  out.Flags = values;
  return out;
}

std::string helpText(const Command *command) {
  std::string text;
  if (!command) {
    text = "endivedoor: the operators' command line\n\n"
           "Usage: endivedoor COMMAND [ARGUMENT] [--flag=value ...]\n\n";
    std::size_t width = 0;
    for (const Command &it : commands())
      width = std::max(width, it.name().size() + it.Argument.size() + 3);
    for (const Command &it : commands()) {
      std::string left = it.name() + " " + it.Argument;
      left.resize(width, ' ');
      text += "  " + left + it.Summary + "\n";
    }
    return text +
           "\n\"endivedoor COMMAND --help\" shows flags and examples.\n" +
           ExitStatusHelp;
  }
  text = "endivedoor " + command->name() + ": " + command->Summary +
         "\n\nUsage: endivedoor " + command->name() +
         (command->Argument.empty() ? "" : " " + command->Argument) +
         " [--flag=value ...]\n\nFlags:\n";
  for (const std::string &it : CommonFlags)
    text += formatFlag(it);
  for (const std::string &it : command->Flags)
    text += formatFlag(it);
  text += "\n--output is text or json";
  for (const std::string &it : command->OutputFormats)
    text += " or " + it;
  text += ".\n\nExamples:\n";
  for (const std::string &it : command->Examples)
    text += "  endivedoor " + it + "\n";
  return text + ExitStatusHelp;
}

} // namespace endivedoor::cli::detail
