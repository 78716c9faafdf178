// Guards the spreading of configurations: every daemon must reach the newest
// version, none may go back, and no message storm may follow.
#include "endivedoor/peer/detail/ConfigDistributor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

using namespace endivedoor;
using namespace endivedoor::peer;
using namespace endivedoor::peer::detail;
using namespace std::chrono_literals;

namespace {

/// Daemons on a simulated network that loses, repeats and delays messages.
class Group {
public:
  Group(std::size_t zones, std::size_t perZone) {
    for (std::size_t i = 0; i < zones * perZone; ++i) {
      Node node;
      node.Self.Name = "n" + std::to_string(i);
      node.Self.Zone = base::ZoneId("z" + std::to_string(i / perZone));
      node.Self.State = MemberState::Live;
      Nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < Nodes.size(); ++i) {
      Nodes[i].Spreader = std::make_unique<ConfigDistributor>(
          Nodes[i].Self.Zone, [this, i] { return peersOf(i); });
      Nodes[i].Seen.resize(Nodes.size());
    }
  }

  void publish(std::size_t at, std::uint64_t version) {
    send(at, Nodes[at].Spreader->publish(version, "{}", Clock.now()));
  }
  /// Delivers the oldest message, or a random one if \p pick is given.
  void deliver(std::size_t pick = 0) {
    Message it = Wire[pick % Wire.size()];
    Wire.erase(Wire.begin() + static_cast<long>(pick % Wire.size()));
    receive(it);
  }
  void deliverAll() {
    while (!Wire.empty())
      deliver();
  }
  /// Lets half a second pass; every daemon hears every other one.
  void beat() {
    Clock.advance(500ms);
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      for (std::size_t k = 0; k < Nodes.size(); ++k)
        if (!Nodes[i].Cut && !Nodes[k].Cut)
          Nodes[i].Seen[k] = Nodes[k].Spreader->activeVersion();
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      send(i, Nodes[i].Spreader->requestNewer(Clock.now()));
  }
  bool allAt(std::uint64_t version) const {
    for (const Node &it : Nodes)
      if (it.Spreader->activeVersion() != version)
        return false;
    return true;
  }

  struct Message {
    std::size_t From, To;
    SharedDocument Document;
    std::uint64_t Have;
  };
  struct Node {
    Member Self;
    std::unique_ptr<ConfigDistributor> Spreader;
    /// Versions heard from the others.
    std::vector<std::uint64_t> Seen;
    bool Cut = false;
    /// The daemon refuses documents, as it does with invalid rules.
    bool Refuses = false;
    int Delivered = 0;
  };
  base::ManualClock Clock;
  std::vector<Node> Nodes;
  std::deque<Message> Wire;
  int Documents = 0;

private:
  std::vector<Member> peersOf(std::size_t self) const {
    std::vector<Member> peers;
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      if (i != self) {
        peers.push_back(Nodes[i].Self);
        peers.back().ConfigVersion = Nodes[self].Seen[i];
      }
    return peers;
  }
  void send(std::size_t from, const std::vector<ConfigMessage> &sends) {
    for (const ConfigMessage &it : sends) {
      Documents += it.Document ? 1 : 0;
      Wire.push_back({from, std::stoul(it.To.substr(1)), it.Document,
                      Nodes[from].Spreader->activeVersion()});
    }
  }
  void receive(const Message &it) {
    Node &to = Nodes[it.To];
    if (to.Cut || Nodes[it.From].Cut)
      return;
    const std::string &from = Nodes[it.From].Self.Name;
    if (!it.Document)
      return send(it.To,
                  to.Spreader->answerRequest(from, {it.Have}, Clock.now()));
    auto delivery = to.Spreader->receive(from, *it.Document, Clock.now());
    send(it.To, delivery.Messages);
    to.Delivered += delivery.IsNew ? 1 : 0;
    if (delivery.IsNew && !to.Refuses)
      send(it.To, to.Spreader->publish(it.Document->Version, it.Document->Json,
                                       Clock.now()));
  }
};

// Guards against a push that misses a daemon or reaches one twice.
TEST(ConfigSpreading, PushReachesEveryDaemonOnceInTwoHops) {
  Group group(3, 4);
  group.publish(5, 1);
  EXPECT_EQ(group.Wire.size(), 5u); // Three in the own zone, two relays.
  group.deliverAll();
  EXPECT_TRUE(group.allAt(1));
  EXPECT_EQ(group.Documents, 11);
  group.beat();
  EXPECT_TRUE(group.Wire.empty());
}

// Guards against a dead or suspected daemon being chosen as a zone's relay.
TEST(ConfigSpreading, DeadDaemonIsNoRelay) {
  Group group(2, 3);
  group.Nodes[3].Self.State = MemberState::Dead;
  group.Nodes[4].Self.State = MemberState::Suspected;
  group.publish(0, 1);
  ASSERT_EQ(group.Wire.size(), 3u);
  EXPECT_EQ(group.Wire.back().To, 5u);
}

// Guards against a lost push that is never made up for.
TEST(ConfigSpreading, LostPushIsAskedForAfterAHeartbeat) {
  Group group(3, 3);
  group.publish(0, 1);
  group.Wire.clear();
  for (int i = 0; i < 4; ++i) {
    group.beat();
    group.deliverAll();
  }
  EXPECT_TRUE(group.allAt(1));
}

// Guards promise P10 for a daemon that returns after a cut.
TEST(ConfigSpreading, ReturningDaemonHasTheNewestVersionWithinFourSeconds) {
  Group group(3, 3);
  group.Nodes[4].Cut = true;
  for (std::uint64_t version = 1; version < 5; ++version) {
    group.publish(version, version);
    group.deliverAll();
    group.beat();
    group.deliverAll();
  }
  group.Nodes[4].Cut = false;
  auto start = group.Clock.now();
  while (!group.allAt(4) && group.Clock.now() - start < 4s) {
    group.beat();
    group.deliverAll();
  }
  EXPECT_TRUE(group.allAt(4));
}

// Guards against a late document that replaces a newer one.
TEST(ConfigSpreading, LateAndRepeatedDocumentsAreNotDelivered) {
  Group group(1, 2);
  auto &spreader = *group.Nodes[0].Spreader;
  EXPECT_TRUE(spreader.receive("n1", {3, "{}", false}, {}).IsNew);
  EXPECT_FALSE(spreader.receive("n1", {3, "{}", false}, {}).IsNew);
  EXPECT_FALSE(spreader.receive("n1", {2, "{}", false}, {}).IsNew);
  spreader.publish(3, "{}", {});
  EXPECT_FALSE(
      spreader.receive("n1", {3, "{}", false}, base::TimePoint(1h)).IsNew);
  EXPECT_TRUE(spreader.publish(2, "{}", {}).empty());
  EXPECT_EQ(spreader.activeVersion(), 3u);
}

// Guards against a flood of requests that makes a daemon send without limit.
TEST(ConfigSpreading, RepeatedRequestsAreAnsweredOncePerSecond) {
  Group group(1, 2);
  auto &spreader = *group.Nodes[0].Spreader;
  spreader.publish(1, "{}", {});
  int answers = 0;
  for (int i = 0; i < 1000; ++i)
    answers += spreader.answerRequest("n1", {0}, base::TimePoint(10s)).size();
  EXPECT_EQ(answers, 1);
  EXPECT_TRUE(
      spreader.answerRequest("stranger", {0}, base::TimePoint(20s)).empty());
  EXPECT_TRUE(spreader.answerRequest("n1", {1}, base::TimePoint(20s)).empty());
  spreader.sendFailed("n1");
  EXPECT_EQ(spreader.answerRequest("n1", {0}, base::TimePoint(10s)).size(), 1u);
}

// Guards against a version that stays out of force after one refusal, and
// against asking for it more than once a second.
TEST(ConfigSpreading, RefusedDocumentIsAskedForAgainAtMostOnceASecond) {
  Group group(1, 2);
  group.Nodes[1].Refuses = true;
  group.publish(0, 1);
  for (int i = 0; i < 20; ++i) {
    group.deliverAll();
    group.beat();
  }
  EXPECT_GE(group.Nodes[1].Delivered, 3);
  EXPECT_LE(group.Nodes[1].Delivered, 11);
}

// Guards against one document with a far too high version that keeps every
// later one from being delivered or pushed.
TEST(ConfigSpreading, RefusedHighVersionDoesNotBlockLaterOnes) {
  Group group(1, 3);
  auto &spreader = *group.Nodes[0].Spreader;
  EXPECT_TRUE(
      spreader.receive("n1", {1000000, "{}", false}, group.Clock.now()).IsNew);
  group.Clock.advance(1s);
  EXPECT_TRUE(
      spreader.receive("n1", {1, "{}", false}, group.Clock.now()).IsNew);
  spreader.publish(1, "{}", group.Clock.now());
  EXPECT_EQ(spreader.publish(2, "{}", group.Clock.now()).size(), 2u);
}

// Guards against any order, loss or repetition of messages that makes a daemon
// go back, or keeps it from the newest version once messages arrive again.
RC_GTEST_PROP(ConfigSpreading, AnyDeliveryOrderConverges, ()) {
  Group group(3, 3);
  std::uint64_t version = 0;
  std::vector<std::uint64_t> before(group.Nodes.size());
  for (int i = 0; i < 120; ++i) {
    auto action = *rc::gen::inRange(0, 12);
    auto pick = *rc::gen::inRange<std::size_t>(0, 1000);
    if (action == 0)
      group.publish(pick % group.Nodes.size(), ++version);
    else if (action == 1)
      group.beat();
    else if (action == 2 && !group.Wire.empty())
      group.Wire.erase(group.Wire.begin());
    else if (action == 3 && !group.Wire.empty())
      group.Wire.push_back(group.Wire[pick % group.Wire.size()]);
    else if (action == 4)
      group.Nodes[pick % group.Nodes.size()].Cut ^= true;
    else if (!group.Wire.empty())
      group.deliver(pick);
    for (std::size_t k = 0; k < before.size(); ++k) {
      RC_ASSERT(group.Nodes[k].Spreader->activeVersion() >= before[k]);
      before[k] = group.Nodes[k].Spreader->activeVersion();
    }
  }
  for (auto &it : group.Nodes)
    it.Cut = false;
  auto start = group.Clock.now();
  while (!group.allAt(version) && group.Clock.now() - start < 4s) {
    group.deliverAll();
    group.beat();
  }
  group.deliverAll();
  RC_ASSERT(group.allAt(version));
}

} // namespace
