/// \file
/// Child processes for tests.
#ifndef ENDIVEDOOR_TESTS_HARNESS_PROCESS_H
#define ENDIVEDOOR_TESTS_HARNESS_PROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace endivedoor::harness {

/// One child process; killed by its id when the object is destroyed.
class Process {
public:
  /// Starts \p arguments[0]; standard output and error go to \p logFile
  /// (appended).
  Process(std::vector<std::string> arguments, std::string logFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int number) const;
  /// Returns the exit status, or the negated signal number if a signal ended
  /// the process; std::nullopt after \p limit.
  std::optional<int> wait(std::chrono::milliseconds limit);
  bool isRunning();
  pid_t pid() const { return Pid; }
  const std::string &logFile() const { return Log; }

private:
  pid_t Pid = -1;
  std::string Log;
  std::optional<int> Status;
};

} // namespace endivedoor::harness

#endif
