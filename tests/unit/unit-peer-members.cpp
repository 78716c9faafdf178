// Tests the member table and the peer message codec: late, duplicate or
// malicious messages must not change the state of a peer, and failure detection
// must follow the configured timeouts.
#include "endivedoor/peer/detail/MemberTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace endivedoor;
using namespace endivedoor::peer;
using namespace endivedoor::peer::detail;
using namespace std::chrono_literals;

namespace {

const Sender First{"g-2", base::InstanceId("first"), 0};
const Sender Second{"g-2", base::InstanceId("second"), 0};

class MemberTableOfTwoPeers : public testing::Test {
protected:
  MessageDisposition receiveHeartbeat(Sender from, std::uint64_t incarnation,
                                      std::uint64_t stamp,
                                      MemberState state = MemberState::Live,
                                      std::uint64_t version = 0) {
    from.Incarnation = incarnation;
    return Table.receive(from, {{stamp, 0}, Heartbeat{state, version}},
                         Clock.now());
  }
  Member peer() const { return *Table.find("g-2", Clock.now()); }

  base::ManualClock Clock;
  MemberTable Table{{{"g-2", base::ZoneId("germiston"), {}, {}},
                     {"m-1", base::ZoneId("midrand"), {}, {}}},
                    model::TimingSettings(),
                    Clock.now()};
};

// A silent peer must become suspected, then dead, exactly at the timeouts.
TEST_F(MemberTableOfTwoPeers, SilentPeerIsSuspectedThenDeadThenLiveAgain) {
  receiveHeartbeat(First, 5, 1);
  ASSERT_EQ(Table.updateStates(Clock.now()).size(), 1u);
  Clock.advance(1499ms);
  EXPECT_EQ(peer().State, MemberState::Live);
  Clock.advance(1ms);
  EXPECT_EQ(peer().State, MemberState::Suspected);
  EXPECT_EQ(Table.updateStates(Clock.now()).at(0).To, MemberState::Suspected);
  Clock.advance(1500ms);
  EXPECT_EQ(peer().State, MemberState::Dead);
  EXPECT_EQ(Table.updateStates(Clock.now()).size(), 2u);
  EXPECT_TRUE(Table.updateStates(Clock.now()).empty());
  receiveHeartbeat(First, 5, 2);
  EXPECT_EQ(Table.updateStates(Clock.now()).at(0).To, MemberState::Live);
  EXPECT_EQ(peer().SinceLastMessage, 0ms);
}

// A peer that never sent a message must not count as live.
TEST_F(MemberTableOfTwoPeers, PeerWithoutMessagesIsSuspectedThenDead) {
  EXPECT_EQ(peer().State, MemberState::Suspected);
  EXPECT_EQ(peer().SinceLastMessage, std::nullopt);
  Clock.advance(3s);
  EXPECT_EQ(peer().State, MemberState::Dead);
}

// A duplicate message must not reset the failure detector of its sender.
TEST_F(MemberTableOfTwoPeers, DuplicateMessageDoesNotProveLiveness) {
  receiveHeartbeat(First, 5, 7, MemberState::Live, 3);
  Clock.advance(2s);
  EXPECT_EQ(receiveHeartbeat(First, 5, 7), MessageDisposition::Repeated);
  EXPECT_EQ(receiveHeartbeat(First, 5, 6, MemberState::Joining, 9),
            MessageDisposition::Repeated);
  EXPECT_EQ(peer().State, MemberState::Suspected);
  EXPECT_EQ(peer().ConfigVersion, 3u);
}

// The state of a run must not regress, for example from leaving to live.
TEST_F(MemberTableOfTwoPeers, StateAndVersionAreMonotonicWithinARun) {
  receiveHeartbeat(First, 5, 1, MemberState::Leaving, 4);
  EXPECT_EQ(receiveHeartbeat(First, 5, 2, MemberState::Live, 3),
            MessageDisposition::Accepted);
  EXPECT_EQ(peer().State, MemberState::Leaving);
  EXPECT_EQ(peer().ConfigVersion, 4u);
}

// Messages of a replaced run must not be attributed to its successor.
TEST_F(MemberTableOfTwoPeers, EarlierRunIsRejectedAfterReplacement) {
  receiveHeartbeat(First, 5, 100, MemberState::Leaving, 8);
  EXPECT_EQ(receiveHeartbeat(Second, 6, 1, MemberState::Joining, 1),
            MessageDisposition::NewRun);
  EXPECT_EQ(receiveHeartbeat(First, 5, 200, MemberState::Leaving, 9),
            MessageDisposition::StaleRun);
  EXPECT_EQ(peer().State, MemberState::Joining);
  EXPECT_EQ(peer().ConfigVersion, 1u);
  EXPECT_TRUE(Table.updateStates(Clock.now()).at(0).NewRun);
}

// Two instances with the same incarnation must be told apart.
TEST_F(MemberTableOfTwoPeers, SameIncarnationOfAnotherInstanceIsRejected) {
  receiveHeartbeat(First, 5, 1);
  EXPECT_EQ(receiveHeartbeat(Second, 5, 2), MessageDisposition::StaleRun);
  EXPECT_EQ(Table.latestRun("g-2").KnownInstance, First.Instance);
  EXPECT_EQ(receiveHeartbeat(Second, 6, 3), MessageDisposition::NewRun);
}

// A sender that is not configured must not be added to the table.
TEST_F(MemberTableOfTwoPeers, UnknownSenderIsRejected) {
  EXPECT_EQ(receiveHeartbeat({"x", base::InstanceId("i"), 0}, 5, 1),
            MessageDisposition::UnknownSender);
  EXPECT_EQ(Table.members(Clock.now()).size(), 2u);
}

// Incarnation and version must not regress under any delivery order.
RC_GTEST_FIXTURE_PROP(MemberTableOfTwoPeers,
                      StateIsMonotonicUnderAnyDeliveryOrder, ()) {
  std::uint64_t run = 0, version = 0;
  for (int i = 0; i < 60; ++i) {
    auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
    receiveHeartbeat(
        {"g-2", base::InstanceId("i" + std::to_string(incarnation)), 0},
        incarnation, *rc::gen::inRange<std::uint64_t>(1, 20),
        static_cast<MemberState>(*rc::gen::inRange(0, 3)),
        *rc::gen::inRange<std::uint64_t>(0, 20));
    Member now = peer();
    RC_ASSERT(now.Incarnation >= run);
    if (now.Incarnation == run)
      RC_ASSERT(now.ConfigVersion >= version);
    run = now.Incarnation;
    version = now.ConfigVersion;
  }
}

class CodecAtFixedTime : public testing::Test {
protected:
  base::Errc codeOf(const PeerMessage &message) {
    auto out = decode(encode(message), Now);
    return out ? base::Errc{} : out.error().Code;
  }
  const base::WallTime Now{std::chrono::hours(500000)};
  const std::uint64_t NowMs = 500000ULL * 3600 * 1000;
  const base::HybridTime Time{NowMs * 1000, 0};
  const base::Errc InvalidMessage = base::Errc::PeerMessageInvalid;
};

// Encoding and decoding must preserve every field.
TEST_F(CodecAtFixedTime, EveryBodyRoundTrips) {
  auto back = [&](auto body) {
    PeerMessage out = decode(encode({Time, body}), Now).value();
    EXPECT_EQ(out.Time, Time);
    return std::get<decltype(body)>(out.Body);
  };
  EXPECT_EQ(back(Heartbeat{MemberState::Leaving, 9}).State,
            MemberState::Leaving);
  EXPECT_EQ(back(Heartbeat{MemberState::Joining, 9}).ConfigVersion, 9u);
  EXPECT_EQ(back(ConfigRequest{7}).HaveVersion, 7u);
  ConfigDocument document = back(ConfigDocument{7, R"({"version":7})", true});
  EXPECT_EQ(document.Json, R"({"version":7})");
  EXPECT_TRUE(document.Forward);
  EXPECT_EQ(back(StaleIncarnation{8, base::InstanceId("i")}).KnownInstance,
            base::InstanceId("i"));
}

// A malicious message must not advance the hybrid clocks, nor announce a
// version that differs from the document it carries.
TEST_F(CodecAtFixedTime, FieldsOutOfRangeAreRejected) {
  const std::uint64_t late = NowMs + 301000;
  EXPECT_EQ(codeOf({{late * 1000, 0}, ConfigRequest{}}), InvalidMessage);
  EXPECT_EQ(codeOf({{0, 0}, ConfigRequest{}}), InvalidMessage);
  EXPECT_EQ(codeOf({{1, UINT32_MAX}, ConfigRequest{}}), InvalidMessage);
  EXPECT_EQ(codeOf({Time, Heartbeat{MemberState::Dead, 1}}), InvalidMessage);
  EXPECT_EQ(codeOf({Time, StaleIncarnation{late, base::InstanceId("i")}}),
            InvalidMessage);
  EXPECT_EQ(codeOf({Time, StaleIncarnation{1, base::InstanceId()}}),
            InvalidMessage);
  for (const char *json : {"", "[]", "{}", R"({"version":8})", "{\"version\":7",
                           R"({"version":"7"})", "\xff"})
    EXPECT_EQ(codeOf({Time, ConfigDocument{7, json, false}}), InvalidMessage);
  EXPECT_EQ(codeOf({Time, ConfigDocument{0, R"({"version":0})", false}}),
            InvalidMessage);
  const std::string run = "1/" + std::to_string(NowMs) + "/";
  for (const std::string &id :
       {std::string(), run, run + "g-1", run + "/i", run + "g-1/", "2" + run,
        std::string("1/0/g-1/i"), "1/" + std::to_string(late) + "/g-1/i"})
    EXPECT_FALSE(decodeSender(id, Now)) << id;
  Sender sender = decodeSender(run + "g-1/a/b", Now).value();
  EXPECT_EQ(encodeSender(sender), run + "g-1/a/b");
  EXPECT_EQ(sender.Instance.str(), "a/b");
  EXPECT_EQ(sender.Incarnation, NowMs);
  EXPECT_LE(
      encodeSender({"a", base::InstanceId(std::string(900, 'i')), 1}).size(),
      255u);
}

RC_GTEST_FIXTURE_PROP(CodecAtFixedTime, AnyBytesAreHandled,
                      (const std::string &bytes)) {
  auto message = decode(bytes, Now);
  if (message)
    RC_ASSERT(message.value().Time.WallMicros > 0u);
  auto sender = decodeSender(bytes, Now);
  if (sender)
    RC_ASSERT(!sender.value().Name.empty());
}

// Mutated valid messages reach more of the decoder than random bytes.
RC_GTEST_FIXTURE_PROP(CodecAtFixedTime, AnyMutationIsHandled, ()) {
  std::string bytes =
      encode({Time, ConfigDocument{7, R"({"version":7})", true}});
  for (int i = *rc::gen::inRange(1, 5); i > 0; --i)
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
  auto out = decode(bytes, Now);
  if (out)
    RC_ASSERT(out.value().Time.WallMicros > 0u);
}

} // namespace
