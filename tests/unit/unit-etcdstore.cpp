// Tests the etcd store adapter: the wire format, malformed responses, and which
// failed writes are reported as possibly applied.
#include "support/EtcdGateway.h"
#include "support/HttpFixture.h"

#include "endivedoor/platform/Adapters.h"

#include <rapidcheck/gtest.h>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace endivedoor::platform;

namespace {

class EtcdStoreTest : public HttpFixture {
protected:
  base::ManualClock StoreTime;
  MemoryStore Memory{StoreTime};
  standin::EtcdGateway Gateway{Memory};
  model::Address Address;
  std::unique_ptr<Store> Etcd;

  EtcdStoreTest() {
    RequestHandler = [this](HttpRequest it) {
      return Gateway.handle(std::move(it));
    };
    Address = listen();
    Etcd = makeEtcdStore(Client, {Address}, 2000ms);
  }
  static StoreTxn create(const std::string &key, const std::string &value,
                         LeaseId lease = {}) {
    return {{{key, StoreCompare::Field::CreateRevision, 0}},
            {StoreOp::put(key, value, lease), StoreOp::rangePrefix("k")},
            {StoreOp::range(key)}};
  }
};

TEST_F(EtcdStoreTest, RoundTripKeepsEveryByte) {
  std::string bytes;
  for (int i = 0; i < 256; ++i)
    bytes += static_cast<char>(i);
  ASSERT_TRUE(run(Etcd->txn(create(bytes, bytes))));
  auto entries = run(Etcd->range(bytes, {}, 0)).value();
  ASSERT_EQ(entries.size(), 1u);
  EXPECT_EQ(entries[0].Key, bytes);
  EXPECT_EQ(entries[0].Value, bytes);
  EXPECT_EQ(entries[0].ModRevision, Memory.revision());
}

TEST_F(EtcdStoreTest, LeaseRoundTrip) {
  LeaseId lease = run(Etcd->grantLease(3s)).value();
  ASSERT_TRUE(run(Etcd->txn(create("k", "v", lease))));
  EXPECT_TRUE(run(Etcd->keepAlive(lease)));
  StoreTime.advance(3s);
  EXPECT_EQ(codeOf(run(Etcd->keepAlive(lease))), Errc::StoreRejected);
  EXPECT_EQ(codeOf(run(Etcd->revokeLease(lease))), Errc::StoreRejected);
  EXPECT_TRUE(run(Etcd->range("k", {}, 0)).value().empty());
  EXPECT_EQ(Etcd->counts().KeepAlive, 2u);
  EXPECT_EQ(Etcd->counts().Revoke, 1u);
  EXPECT_EQ(Etcd->counts().Grant + Etcd->counts().Txn, 2u);
}

/// Applies a random transaction through the adapter and directly to a second
/// store, and compares the results.
static void compareStores(Store &etcd, MemoryStore &direct,
                          asio::io_context &io) {
  auto key = rc::gen::element<std::string>("a", "a/1", "a/2", "b");
  std::vector<StoreOp> ops;
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      ops.push_back(StoreOp::put(*key, *rc::gen::arbitrary<std::string>()));
      break;
    case 1:
      ops.push_back(StoreOp::remove(*key));
      break;
    case 2:
      ops.push_back(StoreOp::rangePrefix(*key, *rc::gen::inRange(0, 3)));
      break;
    default:
      ops.push_back(StoreOp::range(*key));
    }
  }
  StoreTxn txn{{{*key, StoreCompare::Field::ModRevision,
                 *rc::gen::inRange<std::int64_t>(0, 5)}},
               ops,
               {StoreOp::range(*key)}};
  auto a = await(io, etcd.txn(txn));
  auto b = await(io, direct.txn(txn));
  RC_ASSERT(a.has_value() == b.has_value());
  if (!a) {
    RC_ASSERT(a.error().Code == b.error().Code);
    return;
  }
  RC_ASSERT(a.value().Succeeded == b.value().Succeeded);
  RC_ASSERT(a.value().Revision == b.value().Revision);
  RC_ASSERT(a.value().Ranges.size() == b.value().Ranges.size());
  for (std::size_t i = 0; i < a.value().Ranges.size(); ++i) {
    RC_ASSERT(a.value().Ranges[i].size() == b.value().Ranges[i].size());
    for (std::size_t j = 0; j < a.value().Ranges[i].size(); ++j) {
      const StoreEntry &x = a.value().Ranges[i][j], &y = b.value().Ranges[i][j];
      RC_ASSERT(x.Key == y.Key && x.Value == y.Value &&
                x.CreateRevision == y.CreateRevision &&
                x.ModRevision == y.ModRevision);
    }
  }
}

RC_GTEST_FIXTURE_PROP(EtcdStoreTest, RandomTransactionsMatchTheMemoryStore,
                      ()) {
  MemoryStore direct(StoreTime);
  for (int i = 0; i < 8; ++i)
    compareStores(*Etcd, direct, Io);
}

// A write whose response is lost may have been applied. Reporting it as
// unavailable would lead to a second booking.
TEST_F(EtcdStoreTest, LostResponseIsDistinguishedFromOutage) {
  Memory.dropResponses(1);
  EXPECT_EQ(codeOf(run(Etcd->txn(create("k", "v")))), Errc::StoreAnswerLost);
  EXPECT_EQ(run(Etcd->range("k", {}, 0)).value().size(), 1u);
  Memory.setOutage(true);
  EXPECT_EQ(codeOf(run(Etcd->txn(create("j", "v")))), Errc::StoreUnavailable);
  respondWith(503, R"({"code":14,"message":"etcdserver: request timed out"})");
  EXPECT_EQ(codeOf(run(Etcd->txn(create("j", "v")))), Errc::StoreAnswerLost);
  respondWith(502, "<html>");
  EXPECT_EQ(codeOf(run(Etcd->txn(create("j", "v")))), Errc::StoreAnswerLost);
}

TEST_F(EtcdStoreTest, OnlyUnsentCallsGoToTheNextEndpoint) {
  RawServer cut(Io, "");
  auto first = makeEtcdStore(Client, {closedAddress(), Address}, 2000ms);
  EXPECT_TRUE(run(first->txn(create("k", "v"))));
  auto lost = makeEtcdStore(Client, {cut.address(), Address}, 2000ms);
  EXPECT_EQ(codeOf(run(lost->txn(create("j", "v")))), Errc::StoreAnswerLost);
  EXPECT_TRUE(run(Etcd->range("j", {}, 0)).value().empty());
  EXPECT_TRUE(run(lost->txn(create("j", "v"))));
  auto none = makeEtcdStore(Client, {closedAddress()}, 2000ms);
  EXPECT_EQ(codeOf(run(none->txn(create("j", "v")))), Errc::StoreUnavailable);
}

// An entry outside the requested range would be mistaken for the record of
// another zone or another booking.
TEST_F(EtcdStoreTest, ProtocolViolationsAreInvalid) {
  const char *entry = R"({"kvs":[{"key":"%","value":"dg==",
                          "create_revision":"2","mod_revision":"3"}]})";
  auto withKey = [&](std::string key) {
    std::string text = entry;
    return text.replace(text.find('%'), 1, key);
  };
  respondWith(200, withKey("aw=="));
  EXPECT_TRUE(run(Etcd->range("k", {}, 0)));
  std::vector<std::string> bad = {
      "",
      "[]",
      "null",
      "{\"kvs\":{}}",
      std::string(10000, '['),
      withKey("ag=="),
      withKey("***"),
      R"({"kvs":[{"key":"aw==","create_revision":"3","mod_revision":"2"}]})",
      R"({"kvs":[{"key":"aw==","create_revision":"x","mod_revision":"2"}]})",
      R"({"kvs":[{"key":"aw==","mod_revision":"2"}]})",
      R"({"kvs":[{"key":"aw==","create_revision":"-1","mod_revision":"2"}]})"};
  for (const std::string &body : bad) {
    respondWith(200, body);
    EXPECT_EQ(codeOf(run(Etcd->range("k", {}, 0))), Errc::PlatformAnswerInvalid)
        << body;
  }
  for (const char *body :
       {"{}", R"({"header":{"revision":"5"},"succeeded":true})",
        R"({"header":{"revision":"5"},"responses":[{"response_put":{}}]})",
        R"({"header":{"revision":"5"},"succeeded":"yes"})"}) {
    respondWith(200, body);
    EXPECT_EQ(codeOf(run(Etcd->txn(create("k", "v")))),
              Errc::PlatformAnswerInvalid)
        << body;
  }
  respondWith(200, R"({"ID":"7","TTL":"1"})");
  EXPECT_EQ(codeOf(run(Etcd->grantLease(3s))), Errc::PlatformAnswerInvalid);
  respondWith(200, R"({"result":{"ID":"8","TTL":"3"}})");
  EXPECT_EQ(codeOf(run(Etcd->keepAlive(LeaseId{7}))),
            Errc::PlatformAnswerInvalid);
}

RC_GTEST_FIXTURE_PROP(EtcdStoreTest, CorruptedResponsesNeverCrash, ()) {
  std::string text =
      R"({"header":{"revision":"5"},"succeeded":true,"responses":[)"
      R"({"response_put":{}},{"response_range":{"kvs":[{"key":"aw==",)"
      R"("create_revision":"2","mod_revision":"3","value":"dg=="}]}}]})";
  for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
    text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
  respondWith(200, text);
  auto result = run(Etcd->txn(create("k", "v")));
  if (!result)
    RC_ASSERT(result.error().Code == Errc::PlatformAnswerInvalid);
  else if (result.value().Succeeded)
    RC_ASSERT(result.value().Ranges.size() == 1u);
}

} // namespace
