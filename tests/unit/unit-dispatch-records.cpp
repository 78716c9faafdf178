// Tests that every record that is stored can be read back, and that a malformed
// record is an error, never an exception. A job record that its owner could not
// read was skipped without a word, and the accepted job never ran.
#include "detail/AccountRecords.h"
#include "detail/NodeRecords.h"

#include "endivedoor/dispatch/Records.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

using namespace endivedoor;
using namespace endivedoor::dispatch;
using namespace std::chrono_literals;
using model::JobNumber;

namespace {

model::AcceptedJob makeJob(std::int32_t steps, std::int32_t tasksPerStep) {
  model::AcceptedJob job;
  job.Id = JobNumber{1};
  job.Queue = "q";
  job.Policy.Service = base::ServiceName("s");
  job.Policy.MaxAttempts = 4;
  job.Graph.Steps.resize(static_cast<std::size_t>(steps));
  for (model::StepSpec &it : job.Graph.Steps)
    it.Count = tasksPerStep;
  return job;
}

/// Progress of a job whose tasks have all ended, each after some failed runs.
JobHandover completeProgress(const model::AcceptedJob &job,
                             std::size_t failedRuns,
                             const std::string &checkpoint) {
  JobHandover handover;
  handover.LastRun = 9000;
  OccurrenceProgress o;
  for (std::size_t s = 0; s < job.Graph.Steps.size(); ++s)
    for (std::int32_t i = 0; i < job.Graph.Steps[s].Count; ++i) {
      TaskProgress task;
      task.Step = static_cast<std::int32_t>(s);
      task.Index = i;
      task.Done = true;
      task.FailedRuns.assign(failedRuns, 1'000'000);
      task.Checkpoint = checkpoint;
      o.Tasks.push_back(std::move(task));
    }
  handover.Progress.Occurrences.push_back(std::move(o));
  return handover;
}

std::size_t tasksIn(const base::Result<std::optional<JobHandover>> &decoded) {
  if (!decoded || !decoded.value() ||
      decoded.value()->Progress.Occurrences.empty())
    return 0;
  return decoded.value()->Progress.Occurrences[0].Tasks.size();
}

/// A repeated job of one step.
model::AcceptedJob makeRepeatedJob(std::int32_t occurrences, std::int32_t tasks,
                                   std::chrono::milliseconds firstDue,
                                   std::chrono::milliseconds interval) {
  model::AcceptedJob job = makeJob(1, tasks);
  job.Graph.Occurrences = occurrences;
  job.Graph.FirstDue = firstDue;
  job.Graph.Interval = interval;
  return job;
}

// Due times beyond the range of the clock were taken as past ones, and the
// tasks started at once.
TEST(RecordLimits, DueTimeBeyondTheClock_IsRejected) {
  using std::chrono::milliseconds;
  constexpr milliseconds last = limits::MaxDueTime, any{0};
  for (const auto &[occurrences, first, interval] :
       std::vector<std::tuple<std::int32_t, milliseconds, milliseconds>>{
           {1, last + milliseconds(1), any},
           {1, milliseconds(10'000'000'000'000), any},
           {1, milliseconds::max(), any},
           {2, milliseconds(2), last - milliseconds(1)},
           {9, any, milliseconds::max()}})
    EXPECT_FALSE(encodeJob(makeRepeatedJob(occurrences, 1, first, interval)))
        << occurrences << " " << first.count() << " " << interval.count();
  for (const auto &[occurrences, first, interval] :
       std::vector<std::tuple<std::int32_t, milliseconds, milliseconds>>{
           {1, last, milliseconds::max()},
           {2, milliseconds(1), last - milliseconds(1)}}) {
    auto record = encodeJob(makeRepeatedJob(occurrences, 1, first, interval));
    ASSERT_TRUE(record.has_value());
    EXPECT_TRUE(decodeJob(JobNumber{1}, record.value()).has_value());
  }
  EXPECT_FALSE(decodeJob(JobNumber{1}, R"({"queue":"q","service":"s",
      "repeats":1,"firstDueMs":10000000000000,"steps":[{"count":1}]})"));
}

// All due occurrences are held in memory; one call with a large count ended
// each owner of its shard in turn.
TEST(RecordLimits, TooManyTasksOfAllOccurrences_AreRejected) {
  constexpr std::int32_t most = limits::MaxTasksOfOccurrences;
  for (auto [occurrences, tasks] :
       {std::pair(most + 1, 1), std::pair(INT32_MAX, 1),
        std::pair(INT32_MAX, limits::MaxTasksPerJob), std::pair(most / 4, 5)})
    EXPECT_FALSE(encodeJob(makeRepeatedJob(occurrences, tasks, 0ms, 0ms)))
        << occurrences << " " << tasks;
  for (auto [occurrences, tasks] :
       {std::pair(most, 1), std::pair(2, limits::MaxTasksPerJob)}) {
    auto record = encodeJob(makeRepeatedJob(occurrences, tasks, 0ms, 0ms));
    ASSERT_TRUE(record.has_value());
    EXPECT_TRUE(decodeJob(JobNumber{1}, record.value()).has_value());
  }
  EXPECT_FALSE(decodeJob(JobNumber{1}, R"({"queue":"q","service":"s",
      "repeats":2147483647,"steps":[{"count":1}]})"));
}

// A job with wide steps moved to another shard, whose owner could not read the
// embedded progress of more than 256 bytes.
TEST(RecordLimits, HandoverOfAWideJob_RoundTrips) {
  model::AcceptedJob job = makeJob(2, 39);
  JobHandover handover = completeProgress(job, 0, "00000bb87a21d94b");
  base::Result<std::string> stored = encodeJob(job, &handover);
  ASSERT_TRUE(stored);
  EXPECT_EQ(tasksIn(decodeHandover(stored.value())), 78u);
  EXPECT_TRUE(decodeJob(job.Id, stored.value()));
}

TEST(RecordLimits, HandoverOfTheLargestJob_RoundTrips) {
  model::AcceptedJob job = makeJob(1, limits::MaxTasksPerJob);
  job.Graph.Payload = std::string(limits::MaxPayloadBytes, '"');
  JobHandover handover = completeProgress(job, 2, "00000bb87a21d94b");
  base::Result<std::string> stored = encodeJob(job, &handover);
  ASSERT_TRUE(stored);
  EXPECT_LE(stored.value().size(), limits::MaxRecordBytes);
  EXPECT_EQ(tasksIn(decodeHandover(stored.value())),
            static_cast<std::size_t>(limits::MaxTasksPerJob));
}

// Checkpoints only save work; what has ended must never be lost.
TEST(RecordLimits, ProgressWithLargeCheckpoints_KeepsWhatHasEnded) {
  model::AcceptedJob job = makeJob(1, limits::MaxTasksPerJob);
  JobHandover handover = completeProgress(job, 2, std::string(1000, 'c'));
  std::string stored = encodeProgress(handover.Progress);
  EXPECT_LE(stored.size(), limits::MaxRecordBytes);
  base::Result<JobProgress> decoded = decodeProgress(stored);
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded.value().Occurrences[0].Tasks.size(),
            static_cast<std::size_t>(limits::MaxTasksPerJob));
  EXPECT_TRUE(decoded.value().Occurrences[0].Tasks.back().Done);
}

// Whatever the encoder accepts, the decoder reads back.
RC_GTEST_PROP(RecordLimits, EncodedJob_IsAlwaysReadable, ()) {
  auto name = [] {
    return std::string(
        static_cast<std::size_t>(*rc::gen::element(0, 1, 255, 256, 257, 5000)),
        'n');
  };
  auto amount = [] {
    return *rc::gen::element<std::int64_t>(0, 1, INT32_MAX,
                                           std::int64_t{INT32_MAX} + 1);
  };
  model::AcceptedJob job = makeJob(*rc::gen::inRange(1, 70), 1);
  job.Queue = name();
  job.Policy.Service = base::ServiceName(name());
  job.Policy.Stretch = *rc::gen::element(0.0, 1.0, 1e6, 1e7, -1.0);
  job.Policy.Target = std::chrono::milliseconds(amount());
  model::StepSpec &step = job.Graph.Steps.front();
  step.Count = *rc::gen::element(1, 10000, 20000);
  step.Size.Cpu = base::MilliCores{amount()};
  step.Size.Memory = base::MebiBytes{amount()};
  step.Estimate = std::chrono::milliseconds(amount());
  step.Target = std::chrono::milliseconds(amount());
  step.Requirement = name();
  step.Affinity = name();
  step.Image = name();
  base::Result<std::string> stored = encodeJob(job);
  if (!stored) {
    RC_ASSERT(stored.error().Code == base::Errc::LimitExceeded);
    return;
  }
  base::Result<model::AcceptedJob> decoded = decodeJob(job.Id, stored.value());
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded.value().Graph.Steps.size() == job.Graph.Steps.size());
  RC_ASSERT(decoded.value().Graph.Steps[0].Image == step.Image);
  RC_ASSERT(decoded.value().Graph.Steps[0].Estimate == step.Estimate);
}

// A coroutine that a decoder leaves by an exception ends silently: the node
// would stop reading its records.
TEST(RecordDecoders, MalformedRecords_AreErrors) {
  for (const char *it :
       {R"({"steps":[1],"queue":"q","service":"s"})",
        R"({"steps":[{"after":["x"]}],"queue":"q","service":"s"})",
        R"({"steps":{},"queue":"q","service":"s"})", R"([1])", "7", "null",
        R"({"steps":[[]],"queue":"q","service":"s"})"}) {
    base::Result<model::AcceptedJob> job =
        base::fail(base::Errc::ParseFailed, "");
    EXPECT_NO_THROW(job = decodeJob(JobNumber{1}, it)) << it;
    EXPECT_FALSE(job) << it;
  }
  for (const char *it : {R"({"o":[1]})", R"({"o":[{"t":[1]}]})",
                         R"({"o":[{"t":7}]})", R"({"o":[{"t":[{"f":["x"]}]}]})",
                         R"({"o":[{"t":[{"f":3}]}]})", R"({"o":7})", "[]"}) {
    base::Result<JobProgress> progress =
        base::fail(base::Errc::ParseFailed, "");
    EXPECT_NO_THROW(progress = decodeProgress(it)) << it;
    EXPECT_FALSE(progress) << it;
  }
  for (const char *it : {"[]", "7", R"("x")", R"({"earlier":[1]})"}) {
    base::Result<detail::OwnerEntry> owner =
        base::fail(base::Errc::ParseFailed, "");
    EXPECT_NO_THROW(owner = detail::decodeOwner(it)) << it;
    EXPECT_FALSE(owner) << it;
  }
}

// A directory record that cannot be read must leave the last valid one in
// force: with a layout of 0 shards or an empty assignment a node would act on
// workers of other nodes.
TEST(RecordDecoders, MalformedDirectoryRecords_ChangeNothing) {
  detail::DirectoryView view;
  view.apply({keys::layout(), R"({"shards":3})", 1});
  view.apply({keys::assignment(), R"({"workers":{"w1":2}})", 2});
  view.apply({keys::member("n1"), R"({"instance":"n1-1","cores":0.5})", 3});
  for (const char *it :
       {"7", "[]", "null", R"({"shards":0})", R"({"shards":"x"})",
        R"({"workers":7})", R"({"instance":7,"cores":"x"})"}) {
    EXPECT_NO_THROW(view.apply({keys::layout(), it, 4})) << it;
    EXPECT_NO_THROW(view.apply({keys::assignment(), it, 4})) << it;
    EXPECT_NO_THROW(view.apply({keys::member("n1"), it, 4})) << it;
    EXPECT_NO_THROW(view.apply({keys::shardEntry(0), it, 4})) << it;
  }
  EXPECT_EQ(view.Shards, 3);
  EXPECT_EQ(view.Assignment.size(), 1u);
  EXPECT_EQ(view.Members["n1"].Instance, "n1-1");
}

// Amounts outside the bounds would overflow the sum of the shares.
TEST(RecordDecoders, MalformedShares_AreErrors) {
  for (const char *it :
       {"7", "[]", "null", "{}", R"({"shares":7})", R"({"shares":[7]})",
        R"({"shares":[{}]})", R"({"shares":[{"shard":-1}]})",
        R"({"shares":[{"shard":4096}]})",
        R"({"shares":[{"shard":1},{"shard":1}]})",
        R"({"shares":[{"shard":1,"held":7}]})",
        R"({"shares":[{"shard":1,"held":{"cpu":-1}}]})",
        R"({"shares":[{"shard":1,"held":{"cpu":9223372036854775807}}]})",
        R"({"shares":[{"shard":1,"wanted":{"memory":"x"}}]})"}) {
    base::Result<policy::ShareRecord> record =
        base::fail(base::Errc::ParseFailed, "");
    EXPECT_NO_THROW(record = detail::decodeShares(it)) << it;
    EXPECT_FALSE(record) << it;
  }
}

TEST(RecordDecoders, Shares_RoundTrip) {
  policy::ShareRecord record{{0, {{1000, 20, 3}, {2000, 0, 0}}},
                             {79, {{}, {0, 5, 0}}}};
  auto decoded = detail::decodeShares(detail::encodeShares(record));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value(), record);
}

// Two names must not share a key, and a name must not leave the prefix.
TEST(RecordKeys, NameOfAnAccount_IsEscaped) {
  for (const std::string name :
       {"acme", "a/b", "a%2fb", "", "\xff\x80", "../q/0", "a b"}) {
    std::string key = keys::account(name);
    EXPECT_EQ(key.find('/', keys::accountPrefix().size()), std::string::npos);
    auto read = detail::accountOfKey(key);
    ASSERT_TRUE(read) << key;
    EXPECT_EQ(read.value(), name);
  }
  for (const char *it :
       {"endivedoor/a/%", "endivedoor/a/%2", "endivedoor/a/%x1",
        "endivedoor/a/%-1", "endivedoor/q/0"})
    EXPECT_FALSE(detail::accountOfKey(it)) << it;
}

TEST(Roster, TermsAndTasks_RoundTrip) {
  using Tasks = std::vector<model::TaskKey>;
  Tasks some{{JobNumber{1}, 0, 1, 2}, {JobNumber{1}, 3, 0, 0}, {JobNumber{2}}};
  std::vector<RosterEntry> roster{
      {base::WorkerId("any"), {"10.0.0.1", 80}},
      {base::WorkerId("none"), {"10.0.0.2", 80}, 4, Tasks{}},
      {base::WorkerId("some"), {"10.0.0.3", 80}, 5, some, 2500ms},
      {base::WorkerId("restarted"), {"10.0.0.4", 80}, 5, {}, {}, 0ms},
      {base::WorkerId("reborn"), {"10.0.0.5", 80}, 5, {}, {}, 77ms, true},
      {base::WorkerId("late"),
       {"10.0.0.6", 80},
       5,
       Tasks{},
       {},
       77ms,
       false,
       some}};
  auto read = decodeRoster(encodeRoster(roster));
  ASSERT_TRUE(read) << read.error().message();
  EXPECT_EQ(read.value(), roster);
  EXPECT_FALSE(decodeRoster(
      R"({"workers":[{"id":"w","ip":"10.0.0.1","port":80,"tasks":{"1":[0]}}]})"));
}

/// Truncations and replaced bytes of valid records.
RC_GTEST_PROP(RecordDecoders, DamagedRecords_DoNotThrow, ()) {
  model::AcceptedJob job = makeJob(2, 3);
  job.Graph.Steps[1].Dependencies = {0};
  JobHandover handover = completeProgress(job, 1, "c");
  detail::OwnerEntry owner{{"n1", "n1-1"}, 3, {{{"n2", "n2-1"}, 2}}};
  std::string text = *rc::gen::element(
      encodeJob(job, &handover).value(), encodeProgress(handover.Progress),
      detail::encodeOwner(owner),
      encodeRoster({{base::WorkerId("w"),
                     {"10.0.0.1", 80},
                     3,
                     std::vector<model::TaskKey>{{JobNumber{1}, 0, 1, 2}}}}),
      detail::encodeShares({{3, {{1000, 20, 3}, {2000, 0, 0}}}}));
  auto at = static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(text.size())));
  if (*rc::gen::arbitrary<bool>())
    text.resize(at);
  else
    text[at] = *rc::gen::element('0', '"', '{', '[', ']', '}', ',', 'x');
  (void)decodeJob(job.Id, text);
  (void)decodeHandover(text);
  (void)decodeProgress(text);
  (void)decodeIndex(text);
  (void)decodeRoster(text);
  (void)detail::decodeOwner(text);
  (void)detail::decodeShares(text);
  (void)detail::accountOfKey(keys::accountPrefix() + text);
  detail::DirectoryView view;
  (void)view.apply({keys::assignment(), text, 1});
  (void)view.apply({keys::layout(), text, 1});
}

} // namespace
