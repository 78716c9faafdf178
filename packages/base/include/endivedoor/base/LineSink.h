/// \file
/// Non-blocking log sink for a file descriptor, with a bounded buffer.
#ifndef ENDIVEDOOR_BASE_LINESINK_H
#define ENDIVEDOOR_BASE_LINESINK_H

#include <glog/logging.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace endivedoor::base {

/// Buffers glog lines and writes them to a file descriptor without blocking. A
/// line that does not fit into the buffer is dropped and counted. Thread-safe.
class LineSink final : public google::LogSink {
public:
  /// Ignores SIGPIPE in the whole process.
  ///
  /// \param descriptor file descriptor; the constructor makes it non-blocking.
  /// \param capacity maximum number of buffered bytes.
  explicit LineSink(int descriptor, std::size_t capacity = 256 * 1024);

  void send(google::LogSeverity severity, const char *fullFilename,
            const char *baseFilename, int line,
            const google::LogMessageTime &time, const char *message,
            std::size_t length) override;

  /// Writes as much of the buffer as the descriptor accepts without blocking.
  void flush();

  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped();

private:
  void flushLocked();

  int Descriptor;
  std::size_t Capacity;
  std::mutex Mutex;
  std::string Buffer;
  std::uint64_t Dropped = 0;
};

} // namespace endivedoor::base

#endif
