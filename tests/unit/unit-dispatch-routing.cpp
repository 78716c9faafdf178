// Guards the spreading of jobs over shards: nodes that choose at the same time
// from the same records must neither all choose the same shard nor fill a shard
// beyond what it holds while others have room.
#include "detail/Loads.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace endivedoor;
using namespace endivedoor::dispatch;
using detail::drawShard;

namespace {

TEST(ShardDraw, RoomOfShards_DecidesTheirShare) {
  std::vector<std::int64_t> rooms = {100, 300, 0, -200};
  std::vector<int> jobs(rooms.size());
  constexpr int draws = 10000;
  for (int i = 0; i < draws; ++i)
    ++jobs[static_cast<std::size_t>(
        drawShard(rooms, static_cast<double>(i) / draws))];
  EXPECT_GT(jobs[1], jobs[0]);
  EXPECT_GT(jobs[0], jobs[2]);
  EXPECT_GT(jobs[2], jobs[3]);
  EXPECT_LT(jobs[3], draws / 50);
}

// 40 nodes hand in four jobs each before the next load record.
TEST(ShardDraw, ManyNodesAtOnce_FillShardsAlike) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<int> jobs(7);
  for (int i = 0; i < 160; ++i)
    ++jobs[static_cast<std::size_t>(
        drawShard(std::vector<std::int64_t>(7, 2'000'000), draw(random)))];
  for (int it : jobs) {
    EXPECT_GT(it, 160 / 7 / 2);
    EXPECT_LT(it, 160 * 2 / 7);
  }
}

RC_GTEST_PROP(ShardDraw, AnyRooms_GiveAShard,
              (std::vector<std::int32_t> some)) {
  RC_PRE(!some.empty());
  std::vector<std::int64_t> rooms(some.begin(), some.end());
  for (double at : {0.0, 0.5, 0.999999}) {
    std::int32_t shard = drawShard(rooms, at);
    RC_ASSERT(shard >= 0);
    RC_ASSERT(static_cast<std::size_t>(shard) < rooms.size());
  }
}

TEST(ShardRoom, SortOfJob_DecidesWhichRoomCounts) {
  ShardLoad load;
  load.RoomForShort = base::MilliCores{1};
  load.RoomForLasting = base::MilliCores{2};
  load.RoomForFillers = base::MilliCores{3};
  model::JobGraph graph;
  graph.Steps.resize(2);
  EXPECT_EQ(count(detail::roomFor(load, graph)), 1);
  graph.Steps[0].Filler = graph.Steps[1].Filler = true;
  EXPECT_EQ(count(detail::roomFor(load, graph)), 3);
  graph.Steps[0].Lasting = true;
  EXPECT_EQ(count(detail::roomFor(load, graph)), 2);
}

TEST(ShardLoads, Record_SurvivesItsTextForm) {
  ShardLoad load;
  load.RoomForShort = base::MilliCores{-5};
  load.RoomForFillers = base::MilliCores{7};
  load.Pending["q"] = 3;
  auto back = detail::decodeLoad(detail::encodeLoad(load));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(count(back.value().RoomForShort), -5);
  EXPECT_EQ(count(back.value().RoomForFillers), 7);
  EXPECT_EQ(back.value().Pending["q"], 3);
}

} // namespace
