#include "Daemon.h"
#include "DispatchDaemon.h"

#include "endivedoor/model/DispatchSettings.h"
#include "endivedoor/model/Settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings");
ABSL_FLAG(bool, check_config, false,
          "check the settings, print all faults, and exit");

namespace endivedoor::daemon {

constexpr const char *Usage =
    "runs the endivedoor daemon of one entry host\n\n"
    "Examples:\n"
    "  endivedoord --settings /etc/endivedoor/entry-1.yaml\n"
    "  endivedoord --settings entry-1.yaml --check-config\n\n"
    "Signals: SIGTERM starts a planned stop; a second signal ends the process "
    "immediately.\n"
    "Exit status: 0 after a planned stop, 1 after a failure, 2 if the settings "
    "are invalid.\n";

constexpr int InvalidSettingsStatus = 2;

static std::optional<std::string> readSettingsFile(const std::string &file) {
  std::ifstream in(file);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (in.is_open() && !in.bad())
    return text;
  base::Error error{base::Errc::IoFailed, "--settings " + file};
  std::cerr << error.message() << "\n";
  return std::nullopt;
}

/// Prints the faults of the settings and returns whether there are none.
static bool printDiagnostics(const std::vector<model::Diagnostic> &faults) {
  for (const model::Diagnostic &it : faults)
    std::cerr << it.message() << "\n";
  return faults.empty();
}

static bool checksOnly() {
  if (absl::GetFlag(FLAGS_check_config))
    std::cout << "the settings are valid\n";
  return absl::GetFlag(FLAGS_check_config);
}

static int runDaemon(const std::string &file, const std::string &text) {
  model::SettingsOutcome outcome = model::parseSettings(file, text);
  if (!printDiagnostics(outcome.Diagnostics))
    return InvalidSettingsStatus;
  if (checksOnly())
    return 0;
  std::signal(SIGHUP, SIG_DFL);
  auto *daemon = new Daemon(std::move(outcome.Value));
  return daemon->run();
}

static int runDispatch(const std::string &file, const std::string &text) {
  model::DispatchSettingsOutcome outcome =
      model::parseDispatchSettings(file, text);
  if (!printDiagnostics(outcome.Diagnostics))
    return InvalidSettingsStatus;
  if (checksOnly())
    return 0;
  auto *daemon = new DispatchDaemon(std::move(outcome.Value));
  return daemon->run();
}

/// Replaces hyphens in flag names by the underscores of Abseil, so that
/// --check-config is accepted.
static void normalizeFlagNames(int argc, char **argv) {
  for (int i = 1; i < argc; ++i) {
    if (std::strncmp(argv[i], "--", 2) != 0)
      continue;
    for (char *p = argv[i] + 2; *p != '\0' && *p != '='; ++p)
      if (*p == '-')
        *p = '_';
  }
}

static int run(int argc, char **argv) {
  normalizeFlagNames(argc, argv);
  absl::SetProgramUsageMessage(Usage);
  absl::FlagsUsageConfig usage;
  usage.contains_help_flags = [](absl::string_view file) {
    return file.find("packages/daemon/") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
  std::string file = absl::GetFlag(FLAGS_settings);
  std::optional<std::string> text = readSettingsFile(file);
  if (!text)
    return InvalidSettingsStatus;
  bool dispatch = model::isDispatchSettings(*text);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return dispatch ? runDispatch(file, *text) : runDaemon(file, *text);
}

} // namespace endivedoor::daemon

int main(int argc, char **argv) {
  // A reload may be requested before DispatchDaemon handles the signal.
  std::signal(SIGHUP, SIG_IGN);
  int status = endivedoor::daemon::run(argc, argv);
  google::FlushLogFiles(google::INFO);
  std::cout.flush();
  // Exits without running destructors, because other threads are still running.
  std::_Exit(status);
}
