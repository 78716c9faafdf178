// Tests that a slow log reader never blocks the daemon: excess lines are
// dropped and counted.
#include "endivedoor/base/LineSink.h"

#include <gtest/gtest.h>

#include <string>
#include <unistd.h>

using endivedoor::base::LineSink;

namespace {

TEST(LineSink, FullPipe_DropsLinesWithoutBlocking) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  LineSink sink(ends[1], 4096);
  std::string line(1000, 'x');
  google::LogMessageTime time;
  // Exceeds the combined capacity of the pipe and the buffer; a blocking write
  // would never return.
  constexpr int lines = 500;
  for (int i = 0; i < lines; ++i)
    sink.send(google::GLOG_WARNING, "", "", 0, time, line.data(), line.size());
  std::uint64_t dropped = sink.takeDropped();
  EXPECT_GT(dropped, 0u);
  EXPECT_LT(dropped, 500u);
  EXPECT_EQ(sink.takeDropped(), 0u);
  ::close(ends[0]);
  ::close(ends[1]);
}

// A daemon whose log reader ends must go on: the write raised SIGPIPE, which
// ended the process.
TEST(LineSink, ReaderGone_DropsAndCountsLines) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  LineSink sink(ends[1], 4096);
  ::close(ends[0]);
  google::LogMessageTime time;
  for (int i = 0; i < 10; ++i)
    sink.send(google::GLOG_WARNING, "", "", 0, time, "line", 4);
  EXPECT_EQ(sink.takeDropped(), 10u);
  ::close(ends[1]);
}

TEST(LineSink, Lines_AreWrittenCompleteAndInOrder) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  LineSink sink(ends[1]);
  google::LogMessageTime time;
  sink.send(google::GLOG_INFO, "", "", 0, time, "one", 3);
  sink.send(google::GLOG_INFO, "", "", 0, time, "two", 3);
  sink.flush();
  char buf[16];
  ssize_t n = ::read(ends[0], buf, sizeof buf);
  EXPECT_EQ(std::string(buf, static_cast<std::size_t>(n)), "one\ntwo\n");
  ::close(ends[0]);
  ::close(ends[1]);
}

} // namespace
