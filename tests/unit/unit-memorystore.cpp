// Tests the store semantics that bookings and shard ownership depend on:
// compare-and-swap, leases, and the effects of outages and lost responses.
#include "support/HttpFixture.h"

#include "endivedoor/platform/MemoryStore.h"

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace endivedoor::platform;

namespace {

class MemoryStoreTest : public testing::Test {
protected:
  asio::io_context Io;
  base::ManualClock Time;
  MemoryStore Store{Time};

  template <typename T> T run(asio::awaitable<T> op) {
    return await(Io, std::move(op));
  }
  static StoreTxn create(const std::string &key, const std::string &value,
                         LeaseId lease = {}) {
    return {{{key, StoreCompare::Field::CreateRevision, 0}},
            {StoreOp::put(key, value, lease)},
            {StoreOp::range(key)}};
  }
  std::vector<StoreEntry> read(const std::string &key) {
    return run(Store.range(key, {}, 0)).value();
  }
};

// If two daemons could both create the claim of a booking, it would run twice.
TEST_F(MemoryStoreTest, SecondCreateOfAKeyReadsTheFirst) {
  auto first = run(Store.txn(create("k", "a"))).value();
  auto second = run(Store.txn(create("k", "b"))).value();
  EXPECT_TRUE(first.Succeeded);
  ASSERT_FALSE(second.Succeeded);
  EXPECT_EQ(second.Ranges.at(0).at(0).Value, "a");
  EXPECT_EQ(second.Revision, first.Revision);
}

// The create revision is the epoch of a shard owner: it must not change on
// updates, and must increase when the key is deleted and created again.
TEST_F(MemoryStoreTest, CreateRevisionSurvivesPutsAndGrowsAfterDelete) {
  auto created = run(Store.txn(create("k", "a"))).value().Revision;
  ASSERT_TRUE(run(Store.txn({{}, {StoreOp::put("k", "b")}, {}})));
  EXPECT_EQ(read("k").at(0).CreateRevision, created);
  EXPECT_EQ(read("k").at(0).ModRevision, created + 1);
  ASSERT_TRUE(run(Store.txn({{}, {StoreOp::remove("k")}, {}})));
  ASSERT_TRUE(run(Store.txn(create("k", "c"))));
  EXPECT_EQ(read("k").at(0).CreateRevision, created + 3);
}

// The keys of a lease must be deleted when it expires, and not earlier.
TEST_F(MemoryStoreTest, ExpiredLeaseDeletesItsKeys) {
  LeaseId lease = run(Store.grantLease(3s)).value();
  ASSERT_TRUE(run(Store.txn(create("owner", "a", lease))));
  Time.advance(2900ms);
  ASSERT_TRUE(run(Store.keepAlive(lease)));
  Time.advance(2900ms);
  EXPECT_EQ(read("owner").size(), 1u);
  Time.advance(100ms);
  EXPECT_TRUE(read("owner").empty());
  EXPECT_EQ(run(Store.keepAlive(lease)).error().Code, Errc::StoreRejected);
  EXPECT_EQ(run(Store.txn(create("k", "a", lease))).error().Code,
            Errc::StoreRejected);
}

TEST_F(MemoryStoreTest, KeyPutAgainWithoutLeaseOutlivesTheLease) {
  LeaseId lease = run(Store.grantLease(3s)).value();
  ASSERT_TRUE(run(Store.txn(create("k", "a", lease))));
  ASSERT_TRUE(run(Store.txn({{}, {StoreOp::put("k", "b")}, {}})));
  ASSERT_TRUE(run(Store.revokeLease(lease)));
  EXPECT_EQ(read("k").size(), 1u);
}

// Keys that sort next to a prefix must not be included in its range.
TEST_F(MemoryStoreTest, PrefixRangeHoldsExactlyThePrefix) {
  for (const char *key : {"/a", "/a/", "/a/1", "/a/2", "/a0", "/b"})
    ASSERT_TRUE(run(Store.txn(create(key, ""))));
  auto txn = run(Store.txn({{}, {StoreOp::rangePrefix("/a/")}, {}})).value();
  EXPECT_EQ(txn.Ranges.at(0).size(), 3u);
  EXPECT_EQ(run(Store.range("/a/", prefixEnd("/a/"), 2)).value().size(), 2u);
  EXPECT_EQ(run(Store.range("/a/", std::string(1, '\0'), 0)).value().size(),
            5u);
}

TEST_F(MemoryStoreTest, TransactionBeyondTheLimitsChangesNothing) {
  StoreTxn large{{}, {}, {}};
  for (int i = 0; i < 129; ++i)
    large.Success.push_back(StoreOp::put("k" + std::to_string(i), ""));
  StoreTxn twice{{}, {StoreOp::put("k", "a"), StoreOp::put("k", "b")}, {}};
  StoreTxn both{{}, {StoreOp::put("k", "a"), StoreOp::remove("k")}, {}};
  StoreTxn oversized{
      {}, {StoreOp::put("k", std::string(1024 * 1024 + 1, 'x'))}, {}};
  auto before = Store.revision();
  for (const StoreTxn &it : {large, twice, both, oversized})
    EXPECT_EQ(run(Store.txn(it)).error().Code, Errc::StoreRejected);
  EXPECT_EQ(Store.revision(), before);
}

TEST_F(MemoryStoreTest, OutageHasNoEffect) {
  Store.setOutage(true);
  EXPECT_EQ(run(Store.txn(create("k", "a"))).error().Code,
            Errc::StoreUnavailable);
  Store.setOutage(false);
  EXPECT_TRUE(read("k").empty());
}

// Tests of the read-back after commits and claims rely on this: the write whose
// response is lost must have been applied.
TEST_F(MemoryStoreTest, DroppedResponseAppliesWriteUnderPrefixOnly) {
  Store.dropResponses(1, "/x/");
  EXPECT_TRUE(run(Store.txn(create("/y/1", "a"))));
  EXPECT_EQ(run(Store.txn(create("/x/1", "a"))).error().Code,
            Errc::StoreAnswerLost);
  EXPECT_EQ(read("/x/1").size(), 1u);
  EXPECT_TRUE(run(Store.txn(create("/x/2", "a"))));
  EXPECT_EQ(Store.counts().Txn, 3u);
  EXPECT_EQ(Store.counts().Range, 1u);
}

} // namespace
