// Signals that reach the daemon while it starts.
#include "harness/Process.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace {

using namespace std::chrono_literals;

/// The daemon reads its settings from a pipe, so that the test decides when.
class StartingDaemon : public testing::Test {
protected:
  void SetUp() override {
    // A daemon that has ended must fail the test, not end it.
    std::signal(SIGPIPE, SIG_IGN);
    Folder = std::filesystem::temp_directory_path() /
             ("daemon-signals-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Folder);
    ASSERT_EQ(::mkfifo((Folder / "settings").c_str(), 0600), 0);
  }
  void TearDown() override { std::filesystem::remove_all(Folder); }

  std::filesystem::path Folder;
};

// soak-installation-short, seed 1, beside load: three daemons that had just
// been restarted were ended by the signal of a reload.
TEST_F(StartingDaemon, ReloadBeforeTheSettingsAreRead_IsIgnored) {
  endivedoor::harness::Process daemon(
      {std::string(ENDIVEDOOR_BIN_DIR) + "/endivedoord", "--settings",
       (Folder / "settings").string(), "--check-config"},
      (Folder / "log").string());
  // Returns once the daemon has opened the pipe.
  std::ofstream settings(Folder / "settings");
  daemon.signal(SIGHUP);
  settings << "not: settings\n";
  settings.close();
  constexpr int invalidSettings = 2;
  EXPECT_EQ(daemon.wait(10s), invalidSettings);
}

} // namespace
