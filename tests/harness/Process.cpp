#include "harness/Process.h"

#include <cstdlib>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace endivedoor::harness {

using namespace std::chrono_literals;

Process::Process(std::vector<std::string> arguments, std::string logFile)
    : Log(std::move(logFile)) {
  std::vector<char *> argv;
  for (std::string &it : arguments)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  pid_t parent = ::getpid();
  Pid = ::fork();
  if (Pid != 0)
    return;
  // Ends the child if the test process is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent)
    ::_exit(127);
  int fd = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (fd >= 0) {
    ::dup2(fd, 1);
    ::dup2(fd, 2);
  }
  ::execv(argv[0], argv.data());
  ::_exit(127);
}

Process::~Process() {
  if (!isRunning())
    return;
  ::kill(Pid, SIGCONT);
  ::kill(Pid, SIGKILL);
  int status = 0;
  ::waitpid(Pid, &status, 0);
}

void Process::signal(int number) const {
  if (!Status && Pid > 0)
    ::kill(Pid, number);
}

std::optional<int> Process::wait(std::chrono::milliseconds limit) {
  auto end = std::chrono::steady_clock::now() + limit;
  while (isRunning()) {
    if (std::chrono::steady_clock::now() >= end)
      return std::nullopt;
    std::this_thread::sleep_for(10ms);
  }
  return Status;
}

bool Process::isRunning() {
  if (Status || Pid <= 0)
    return false;
  int status = 0;
  if (::waitpid(Pid, &status, WNOHANG) != Pid)
    return true;
  Status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

} // namespace endivedoor::harness
