/// \file
/// Log lines to a descriptor, bounded and without waiting for its reader.
#ifndef ENDIVEDOOR_BASE_LINESINK_H
#define ENDIVEDOOR_BASE_LINESINK_H

#include <glog/logging.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace endivedoor::base {

/// Receives the lines of glog. A line that finds the buffer full is dropped and
/// counted. Thread-safe.
class LineSink final : public google::LogSink {
public:
  /// \param descriptor is made non-blocking.
  /// \param capacity bytes kept while the reader is slow.
  explicit LineSink(int descriptor, std::size_t capacity = 256 * 1024);

  void send(google::LogSeverity severity, const char *fullFilename,
            const char *baseFilename, int line,
            const google::LogMessageTime &time, const char *message,
            std::size_t length) override;

  /// Writes what the descriptor takes now.
  void flush();

  /// Returns the lines dropped since the last call.
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
