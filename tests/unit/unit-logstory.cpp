// Tests the selection of log lines for a job: lines of several processes are
// merged in order, with the related events of shard owners and workers.
#include "endivedoor/cli/detail/LogFilter.h"

#include <gtest/gtest.h>

using namespace endivedoor::cli::detail;

namespace {

TEST(LogFilter, LinesOfTwoProcesses_AreMergedInOrder) {
  std::vector<std::string> lines;
  appendEventLines(
      "level=info event=7505 name=RunStarted hlc=20.0 task=aa.0.0.1 "
      "worker=w1\n"
      "not an event\n"
      "level=info event=7514 name=WorkerSilent hlc=30.0 worker=w1\n"
      "level=info event=7514 name=WorkerSilent hlc=30.0 worker=w2\n"
      "level=info event=7507 name=RunEnded hlc=40.1 task=aa.0.0.1 "
      "worker=w1\n",
      lines);
  appendEventLines("level=info event=7501 name=JobQueued hlc=10.0 job=aa\n"
                   "level=info event=7516 name=ShardOwned hlc=5.0 shard=0\n"
                   "level=info event=7516 name=ShardOwned hlc=35.0 shard=0\n",
                   lines);
  std::vector<std::string> related = selectRelatedLines(lines, "aa");
  ASSERT_EQ(related.size(), 5u);
  EXPECT_NE(related[0].find("JobQueued"), std::string::npos);
  EXPECT_NE(related[1].find("RunStarted"), std::string::npos);
  EXPECT_NE(related[2].find("worker=w1"), std::string::npos);
  EXPECT_NE(related[3].find("ShardOwned"), std::string::npos);
  EXPECT_NE(related[4].find("RunEnded"), std::string::npos);
}

TEST(LogFilter, UnknownId_SelectsNoLines) {
  EXPECT_TRUE(
      selectRelatedLines({" event=1 name=ShardOwned hlc=1.0"}, "bb").empty());
}

} // namespace
