// Tests the distribution of jobs over shards: nodes that choose at the same
// time from the same load records must neither all choose the same shard nor
// fill a shard beyond its capacity while others have headroom.
#include "detail/ColocationRecords.h"
#include "detail/Loads.h"
#include "detail/Rooms.h"
#include "detail/Routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

using namespace endivedoor;
using namespace endivedoor::dispatch;
using detail::drawShard;

namespace {

TEST(ShardSelection, Headroom_DeterminesTheShare) {
  std::vector<std::int64_t> headrooms = {100, 300, 0, -200};
  std::vector<int> jobs(headrooms.size());
  constexpr int draws = 10000;
  for (int i = 0; i < draws; ++i)
    ++jobs[drawShard(headrooms, static_cast<double>(i) / draws)];
  EXPECT_GT(jobs[1], jobs[0]);
  EXPECT_GT(jobs[0], jobs[2]);
  EXPECT_GT(jobs[2], jobs[3]);
  EXPECT_LT(jobs[3], draws / 50);
}

// If a long-running job does not fit as a whole, some of its tasks wait for as
// long as it runs.
TEST(ShardSelection, LongRunningJob_GoesWhereAllOfItFits) {
  std::vector<std::int32_t> shards = {0, 1, 2};
  std::vector<std::int64_t> headrooms = {50, 90, 84};
  detail::filterByHeadroom(84, shards, headrooms);
  EXPECT_EQ(shards, (std::vector<std::int32_t>{1, 2}));
  EXPECT_EQ(headrooms, (std::vector<std::int64_t>{90, 84}));
  detail::filterByHeadroom(500, shards, headrooms);
  EXPECT_EQ(shards.size(), 2u);
}

// 40 nodes submit four jobs each before the next load record.
TEST(ShardSelection, ConcurrentNodes_FillShardsEvenly) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<int> jobs(7);
  for (int i = 0; i < 160; ++i)
    ++jobs[drawShard(std::vector<std::int64_t>(7, 2'000'000), draw(random))];
  for (int it : jobs) {
    EXPECT_GT(it, 160 / 7 / 2);
    EXPECT_LT(it, 160 * 2 / 7);
  }
}

RC_GTEST_PROP(ShardSelection, AnyHeadrooms_SelectAShard,
              (std::vector<std::int32_t> values)) {
  RC_PRE(!values.empty());
  std::vector<std::int64_t> headrooms(values.begin(), values.end());
  for (double at : {0.0, 0.5, 0.999999}) {
    RC_ASSERT(drawShard(headrooms, at) < headrooms.size());
  }
}

// Serving tasks of different programs on one worker leave no worker for the
// fillers that disturb one of them.
TEST(ShardSelection, JobsOfOneServingProgram_GatherInOneShard) {
  std::vector<std::int32_t> shards = {0, 1, 2, 3};
  std::set<std::size_t> used;
  for (const char *program : {"p1", "p2", "p3", "p4", "p5", "p6"}) {
    auto first = detail::preferredShard(program, shards, {90, 90, 90, 90}, 50);
    ASSERT_TRUE(first);
    used.insert(*first);
    std::vector<std::int64_t> headrooms = {90, 80, 70, 60};
    EXPECT_EQ(detail::preferredShard(program, shards, headrooms, 50), first);
    // The rest of a program that does not fit goes to one other shard.
    headrooms[*first] = 40;
    auto second = detail::preferredShard(program, shards, headrooms, 50);
    ASSERT_TRUE(second && *second != *first);
  }
  EXPECT_GT(used.size(), 1u);
  EXPECT_FALSE(detail::preferredShard("p1", shards, {40, 40, 40, 40}, 50));
}

// A shard with room for fillers in general may have none for a program that
// disturbs all of its serving tasks.
TEST(ShardHeadroom, FillerProgram_LimitsTheHeadroom) {
  ShardLoad load;
  load.FillerHeadroom = base::MilliCores{1000};
  load.FillerCpu = {{"harmful", 50}, {"harmless", 2000}};
  model::JobGraph graph;
  graph.Steps.resize(1);
  graph.Steps[0].Filler = true;
  EXPECT_EQ(detail::headroomOf(load, graph), 1000);
  graph.Steps[0].Image = "harmless";
  EXPECT_EQ(detail::headroomOf(load, graph), 1000);
  graph.Steps[0].Image = "harmful";
  EXPECT_EQ(detail::headroomOf(load, graph), 50);
  detail::reserveHeadroom(load, graph, 30);
  EXPECT_EQ(detail::headroomOf(load, graph), 20);
  EXPECT_EQ(count(load.FillerHeadroom), 970);
}

TEST(ShardHeadroom, JobKind_DeterminesWhichHeadroomCounts) {
  ShardLoad load;
  load.ShortTaskHeadroom = base::MilliCores{1};
  load.LongRunningHeadroom = base::MilliCores{2};
  load.FillerHeadroom = base::MilliCores{3};
  model::JobGraph graph;
  graph.Steps.resize(2);
  EXPECT_EQ(count(detail::headroomFor(load, graph)), 1);
  graph.Steps[0].Filler = graph.Steps[1].Filler = true;
  EXPECT_EQ(count(detail::headroomFor(load, graph)), 3);
  graph.Steps[0].LongRunning = true;
  EXPECT_EQ(count(detail::headroomFor(load, graph)), 2);
}

class RoutingFixture : public testing::Test {
protected:
  RoutingFixture() { View.Shards = 2; }

  void addWorker(const std::string &id, std::int32_t shard,
                 std::vector<std::string> labels) {
    model::WorkerProfile worker;
    worker.Id = base::WorkerId(id);
    worker.Service = base::ServiceName("desk");
    worker.Zone = base::ZoneId(shard == 0 ? "a" : "b");
    worker.Labels = std::move(labels);
    worker.Capacity.Cpu = base::MilliCores{8000};
    Workers.Profiles[worker.Id] = worker;
    View.Assignment[worker.Id] = shard;
  }

  static model::AcceptedJob job(const std::string &label, std::int64_t cpu) {
    model::AcceptedJob j;
    j.Policy.Service = base::ServiceName("desk");
    j.Graph.Steps.resize(1);
    j.Graph.Steps[0].Count = 2;
    j.Graph.Steps[0].Requirement = label;
    j.Graph.Steps[0].Size.Cpu = base::MilliCores{cpu};
    return j;
  }

  std::vector<double> shares(const model::AcceptedJob &j) const {
    return detail::suitableShares(View, Workers, j);
  }

  detail::DirectoryView View;
  detail::WorkerView Workers;
};

using RoutingSuitability = RoutingFixture;

// A job that requires a label must not be routed to a shard without a worker
// that has it, where it would wait indefinitely. Soak seed 12.
TEST_F(RoutingSuitability, ShardWithoutTheLabel_HasNoShare) {
  addWorker("w0", 0, {"plain"});
  addWorker("w1", 1, {"plain"});
  addWorker("w2", 1, {"large"});
  EXPECT_EQ(shares(job("large", 100)), (std::vector<double>{0, 0.5}));
  EXPECT_EQ(shares(job("", 100)), (std::vector<double>{1, 1}));
  EXPECT_EQ(shares(job("", 9000)), (std::vector<double>{0, 0}));
}

TEST_F(RoutingSuitability, DrainingWorkersAndZonesOutOfService_DoNotCount) {
  addWorker("w0", 0, {"plain"});
  addWorker("w1", 1, {"plain"});
  Workers.ZonesOutOfService.insert(base::ZoneId("a"));
  EXPECT_EQ(shares(job("", 100)), (std::vector<double>{0, 1}));
  Workers.Profiles[base::WorkerId("w1")].Draining = true;
  EXPECT_EQ(shares(job("", 100)), (std::vector<double>{0, 0}));
}

TEST_F(RoutingSuitability, MaxPerWorker_NeedsAsManyWorkers) {
  addWorker("w0", 0, {});
  addWorker("w1", 1, {});
  addWorker("w2", 1, {});
  model::AcceptedJob longRunning = job("", 100);
  longRunning.Graph.Steps[0].LongRunning = true;
  longRunning.Graph.Steps[0].MaxPerWorker = 1;
  EXPECT_EQ(shares(longRunning), (std::vector<double>{0, 1}));
}

TEST(ShardLoads, Record_RoundTrips) {
  ShardLoad load;
  load.ShortTaskHeadroom = base::MilliCores{-5};
  load.FillerHeadroom = base::MilliCores{7};
  load.Pending["q"] = 3;
  load.FillerCpu["filler"] = -8;
  base::Resources room;
  room.Cpu = base::MilliCores{1850};
  room.Memory = base::MebiBytes{4000};
  room.Accelerators = 2;
  load.LongRunningRooms["desk"] = {room, {}};
  auto decoded = detail::decodeLoad(detail::encodeLoad(load));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(count(decoded.value().ShortTaskHeadroom), -5);
  EXPECT_EQ(count(decoded.value().FillerHeadroom), 7);
  EXPECT_EQ(decoded.value().Pending["q"], 3);
  EXPECT_EQ(decoded.value().FillerCpu["filler"], -8);
  EXPECT_EQ(decoded.value().LongRunningRooms, load.LongRunningRooms);
}

TEST(ShardLoads, MalformedRooms_TakeNoTask) {
  auto decoded = detail::decodeLoad(
      R"({"rooms":{"a":7,"b":[[1,2],["x",5,-1],9]},"roomForShort":1})");
  ASSERT_TRUE(decoded.has_value());
  EXPECT_FALSE(decoded.value().LongRunningRooms.contains("a"));
  std::vector<base::Resources> rooms = decoded.value().LongRunningRooms["b"];
  ASSERT_EQ(rooms.size(), 2u);
  EXPECT_EQ(count(rooms[1].Cpu), 0);
  EXPECT_EQ(rooms[1].Accelerators, 0);
}

static model::JobGraph lastingSteps(std::int32_t count, std::int64_t cpu,
                                    std::int32_t maxPerWorker = 0) {
  model::JobGraph graph;
  graph.Steps.resize(1);
  graph.Steps[0].Count = count;
  graph.Steps[0].Size.Cpu = base::MilliCores{cpu};
  graph.Steps[0].MaxPerWorker = maxPerWorker;
  graph.Steps[0].LongRunning = true;
  return graph;
}

static std::vector<base::Resources> roomsOf(std::vector<std::int64_t> cpus) {
  std::vector<base::Resources> rooms(cpus.size());
  for (std::size_t i = 0; i < cpus.size(); ++i)
    rooms[i].Cpu = base::MilliCores{cpus[i]};
  return rooms;
}

TEST(Rooms, TasksThatFit_ArePlacedWhereTheLeastRemains) {
  std::vector<base::Resources> rooms = roomsOf({5000, 2000, 1700});
  model::JobGraph graph = lastingSteps(4, 1800);
  EXPECT_EQ(
      detail::placeInRooms(rooms, graph, detail::allTasksOf(graph)).size(), 3u);
  EXPECT_EQ(rooms, roomsOf({1400, 200, 1700}));
}

TEST(Rooms, LimitPerWorker_NeedsAsManyRooms) {
  std::vector<base::Resources> rooms = roomsOf({9000, 9000});
  model::JobGraph graph = lastingSteps(4, 1800, 1);
  EXPECT_EQ(
      detail::placeInRooms(rooms, graph, detail::allTasksOf(graph)).size(), 2u);
}

TEST(ColocationRecords, Statistics_RoundTrip) {
  policy::ColocationStatistics statistics{
      "desk", {"x"}, {{1.5, 0.25}, {0.25, 2}}, {3, 4}};
  auto decoded =
      detail::decodeColocation(detail::encodeColocation({statistics}));
  ASSERT_TRUE(decoded && decoded.value().size() == 1);
  EXPECT_EQ(decoded.value()[0].NormalMatrix, statistics.NormalMatrix);
  EXPECT_EQ(decoded.value()[0].RightHandSide, statistics.RightHandSide);
  EXPECT_EQ(decoded.value()[0].Fillers, statistics.Fillers);
}

TEST(ColocationRecords, MalformedText_IsRejected) {
  for (const char *it :
       {"", "{}", "[7]", "[{}]",
        R"([{"serving":"s","fillers":[7],"normal":[[1]],"right":[1]}])",
        R"([{"serving":"s","fillers":[],"normal":[7],"right":[1]}])",
        R"([{"serving":"s","fillers":[],"normal":[["x"]],"right":[1]}])"})
    EXPECT_FALSE(detail::decodeColocation(it).has_value()) << it;
}

} // namespace
