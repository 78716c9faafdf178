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

// A job's story must not contain the lines of jobs whose ids begin like its
// own.
TEST(LogFilter, IdThatBeginsAnother_SelectsOnlyItsOwnLines) {
  std::vector<std::string> lines;
  appendEventLines("event=7501 name=JobQueued hlc=1.0 job=j-1\n"
                   "event=7501 name=JobQueued hlc=2.0 job=j-17\n"
                   "event=7505 name=RunStarted hlc=3.0 task=j-1.0.0.2\n"
                   "event=7505 name=RunStarted hlc=4.0 task=aj-1.0.0.2\n",
                   lines);
  EXPECT_EQ(selectRelatedLines(lines, "j-1").size(), 2u);
}

TEST(LogFilter, UnreadableRecords_AreListedOnceWithTheirCause) {
  std::vector<std::string> lines;
  for (const char *process : {"n1", "n2"})
    appendEventLines(
        "event=7527 name=RecordUnreadable process=" + std::string(process) +
            " hlc=1.0 key=endivedoor/s/7/j/aa bytes=512 "
            "cause=\"field progress is too long\"\n",
        lines);
  auto records = selectUnreadableRecords(lines);
  ASSERT_EQ(records.size(), 1u);
  const UnreadableRecord &record = records["endivedoor/s/7/j/aa"];
  EXPECT_EQ(record.Bytes, "512");
  EXPECT_EQ(record.Cause, "field progress is too long");
  EXPECT_EQ(record.Process, "n2");
  EXPECT_EQ(record.Reports, 2);
}

TEST(LogFilter, UnknownId_SelectsNoLines) {
  EXPECT_TRUE(
      selectRelatedLines({" event=1 name=ShardOwned hlc=1.0"}, "bb").empty());
}

} // namespace
