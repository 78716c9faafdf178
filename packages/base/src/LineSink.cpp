#include "endivedoor/base/LineSink.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace endivedoor::base {

/// Lines below warning severity are buffered until the buffer reaches this
/// size.
constexpr std::size_t FlushThresholdBytes = 4096;

LineSink::LineSink(int descriptor, std::size_t capacity)
    : Descriptor(descriptor), Capacity(capacity) {
  // A log reader that goes away must not end the daemon.
  std::signal(SIGPIPE, SIG_IGN);
  int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void LineSink::send(google::LogSeverity severity, const char *, const char *,
                    int, const google::LogMessageTime &, const char *message,
                    std::size_t length) {
  std::lock_guard lock(Mutex);
  if (Buffer.size() + length + 1 > Capacity) {
    ++Dropped;
    return;
  }
  Buffer.append(message, length);
  Buffer += '\n';
  if (severity >= google::GLOG_WARNING || Buffer.size() >= FlushThresholdBytes)
    flushLocked();
}

void LineSink::flush() {
  std::lock_guard lock(Mutex);
  flushLocked();
}

void LineSink::flushLocked() {
  while (!Buffer.empty()) {
    ssize_t n = ::write(Descriptor, Buffer.data(), Buffer.size());
    if (n < 0 && errno == EPIPE) {
      // The reader is gone for good; buffered lines would only fill the buffer.
      Dropped += static_cast<std::uint64_t>(
          std::count(Buffer.begin(), Buffer.end(), '\n'));
      Buffer.clear();
      return;
    }
    // The rest stays buffered until the reader catches up.
    if (n <= 0)
      return;
    Buffer.erase(0, static_cast<std::size_t>(n));
  }
}

std::uint64_t LineSink::takeDropped() {
  std::lock_guard lock(Mutex);
  return std::exchange(Dropped, 0);
}

} // namespace endivedoor::base
