// Tests configuration distribution: every daemon must reach the newest version,
// no daemon may regress, and the number of messages must stay bounded.
#include "endivedoor/peer/detail/ConfigDistributor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

using namespace endivedoor;
using namespace endivedoor::peer;
using namespace endivedoor::peer::detail;
using namespace std::chrono_literals;

namespace {

/// Daemons on a simulated network that loses, duplicates and delays messages.
class SimulatedCluster {
public:
  SimulatedCluster(std::size_t zones, std::size_t perZone) {
    for (std::size_t i = 0; i < zones * perZone; ++i) {
      Node node;
      node.Self.Name = "n" + std::to_string(i);
      node.Self.Zone = base::ZoneId("z" + std::to_string(i / perZone));
      node.Self.State = MemberState::Live;
      Nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < Nodes.size(); ++i) {
      Nodes[i].Distributor = std::make_unique<ConfigDistributor>(
          Nodes[i].Self.Zone, [this, i] { return peersOf(i); });
      Nodes[i].KnownVersions.resize(Nodes.size());
    }
  }

  void publish(std::size_t at, std::uint64_t version) {
    send(at, Nodes[at].Distributor->publish(version, "{}", Clock.now()));
  }
  /// Delivers the oldest message, or a random one if \p pick is given.
  void deliver(std::size_t pick = 0) {
    Message it = PendingMessages[pick % PendingMessages.size()];
    PendingMessages.erase(PendingMessages.begin() +
                          static_cast<long>(pick % PendingMessages.size()));
    receive(it);
  }
  void deliverAll() {
    while (!PendingMessages.empty())
      deliver();
  }
  /// Advances the clock by 500 ms and exchanges heartbeats between all daemons
  /// that are not partitioned.
  void exchangeHeartbeats() {
    Clock.advance(500ms);
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      for (std::size_t k = 0; k < Nodes.size(); ++k)
        if (!Nodes[i].IsPartitioned && !Nodes[k].IsPartitioned)
          Nodes[i].KnownVersions[k] = Nodes[k].Distributor->activeVersion();
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      send(i, Nodes[i].Distributor->requestNewer(Clock.now()));
  }
  bool allHaveVersion(std::uint64_t version) const {
    for (const Node &it : Nodes)
      if (it.Distributor->activeVersion() != version)
        return false;
    return true;
  }

  struct Message {
    std::size_t From, To;
    SharedDocument Document;
    std::uint64_t ActiveVersion;
  };
  struct Node {
    Member Self;
    std::unique_ptr<ConfigDistributor> Distributor;
    /// Latest versions received from the other daemons.
    std::vector<std::uint64_t> KnownVersions;
    bool IsPartitioned = false;
    /// The daemon rejects documents, as it does when rules are invalid.
    bool RejectsDocuments = false;
    int Delivered = 0;
  };
  base::ManualClock Clock;
  std::vector<Node> Nodes;
  std::deque<Message> PendingMessages;
  int SentDocuments = 0;

private:
  std::vector<Member> peersOf(std::size_t self) const {
    std::vector<Member> peers;
    for (std::size_t i = 0; i < Nodes.size(); ++i)
      if (i != self) {
        peers.push_back(Nodes[i].Self);
        peers.back().ConfigVersion = Nodes[self].KnownVersions[i];
      }
    return peers;
  }
  void send(std::size_t from, const std::vector<ConfigMessage> &sends) {
    for (const ConfigMessage &it : sends) {
      SentDocuments += it.Document ? 1 : 0;
      PendingMessages.push_back({from, std::stoul(it.To.substr(1)), it.Document,
                                 Nodes[from].Distributor->activeVersion()});
    }
  }
  void receive(const Message &it) {
    Node &to = Nodes[it.To];
    if (to.IsPartitioned || Nodes[it.From].IsPartitioned)
      return;
    const std::string &from = Nodes[it.From].Self.Name;
    if (!it.Document)
      return send(it.To, to.Distributor->answerRequest(from, {it.ActiveVersion},
                                                       Clock.now()));
    auto delivery = to.Distributor->receive(from, *it.Document, Clock.now());
    send(it.To, delivery.Messages);
    to.Delivered += delivery.IsNew ? 1 : 0;
    if (delivery.IsNew && !to.RejectsDocuments)
      send(it.To, to.Distributor->publish(it.Document->Version,
                                          it.Document->Json, Clock.now()));
  }
};

// A push must reach every daemon exactly once.
TEST(ConfigDistribution, PushReachesEveryDaemonOnceInTwoHops) {
  SimulatedCluster cluster(3, 4);
  cluster.publish(5, 1);
  EXPECT_EQ(cluster.PendingMessages.size(),
            5u); // Three in the same zone, two relays.
  cluster.deliverAll();
  EXPECT_TRUE(cluster.allHaveVersion(1));
  EXPECT_EQ(cluster.SentDocuments, 11);
  cluster.exchangeHeartbeats();
  EXPECT_TRUE(cluster.PendingMessages.empty());
}

// A dead or suspected daemon must not be chosen as a zone's relay.
TEST(ConfigDistribution, DeadDaemonIsNotChosenAsRelay) {
  SimulatedCluster cluster(2, 3);
  cluster.Nodes[3].Self.State = MemberState::Dead;
  cluster.Nodes[4].Self.State = MemberState::Suspected;
  cluster.publish(0, 1);
  ASSERT_EQ(cluster.PendingMessages.size(), 3u);
  EXPECT_EQ(cluster.PendingMessages.back().To, 5u);
}

// A lost push must be recovered by a request after a heartbeat.
TEST(ConfigDistribution, LostPushIsRequestedAfterAHeartbeat) {
  SimulatedCluster cluster(3, 3);
  cluster.publish(0, 1);
  cluster.PendingMessages.clear();
  for (int i = 0; i < 4; ++i) {
    cluster.exchangeHeartbeats();
    cluster.deliverAll();
  }
  EXPECT_TRUE(cluster.allHaveVersion(1));
}

// Guarantee P10 must hold for a daemon that reconnects after a partition.
TEST(ConfigDistribution,
     ReconnectedDaemonHasTheNewestVersionWithinFourSeconds) {
  SimulatedCluster cluster(3, 3);
  cluster.Nodes[4].IsPartitioned = true;
  for (std::uint64_t version = 1; version < 5; ++version) {
    cluster.publish(version, version);
    cluster.deliverAll();
    cluster.exchangeHeartbeats();
    cluster.deliverAll();
  }
  cluster.Nodes[4].IsPartitioned = false;
  auto start = cluster.Clock.now();
  while (!cluster.allHaveVersion(4) && cluster.Clock.now() - start < 4s) {
    cluster.exchangeHeartbeats();
    cluster.deliverAll();
  }
  EXPECT_TRUE(cluster.allHaveVersion(4));
}

// A late document must not replace a newer one.
TEST(ConfigDistribution, LateAndDuplicateDocumentsAreNotDelivered) {
  SimulatedCluster cluster(1, 2);
  auto &distributor = *cluster.Nodes[0].Distributor;
  EXPECT_TRUE(distributor.receive("n1", {3, "{}", false}, {}).IsNew);
  EXPECT_FALSE(distributor.receive("n1", {3, "{}", false}, {}).IsNew);
  EXPECT_FALSE(distributor.receive("n1", {2, "{}", false}, {}).IsNew);
  distributor.publish(3, "{}", {});
  EXPECT_FALSE(
      distributor.receive("n1", {3, "{}", false}, base::TimePoint(1h)).IsNew);
  EXPECT_TRUE(distributor.publish(2, "{}", {}).empty());
  EXPECT_EQ(distributor.activeVersion(), 3u);
}

// Responses to repeated requests of a peer must be rate-limited.
TEST(ConfigDistribution, RepeatedRequestsAreAnsweredOncePerSecond) {
  SimulatedCluster cluster(1, 2);
  auto &distributor = *cluster.Nodes[0].Distributor;
  distributor.publish(1, "{}", {});
  int answers = 0;
  for (int i = 0; i < 1000; ++i)
    answers +=
        distributor.answerRequest("n1", {0}, base::TimePoint(10s)).size();
  EXPECT_EQ(answers, 1);
  EXPECT_TRUE(
      distributor.answerRequest("stranger", {0}, base::TimePoint(20s)).empty());
  EXPECT_TRUE(
      distributor.answerRequest("n1", {1}, base::TimePoint(20s)).empty());
  distributor.sendFailed("n1");
  EXPECT_EQ(distributor.answerRequest("n1", {0}, base::TimePoint(10s)).size(),
            1u);
}

// A rejected version must be requested again, at most once per second.
TEST(ConfigDistribution, RejectedDocumentIsRequestedAgainAtMostOncePerSecond) {
  SimulatedCluster cluster(1, 2);
  cluster.Nodes[1].RejectsDocuments = true;
  cluster.publish(0, 1);
  for (int i = 0; i < 20; ++i) {
    cluster.deliverAll();
    cluster.exchangeHeartbeats();
  }
  EXPECT_GE(cluster.Nodes[1].Delivered, 3);
  EXPECT_LE(cluster.Nodes[1].Delivered, 11);
}

// A rejected document with a far too high version must not block the delivery
// or push of later documents.
TEST(ConfigDistribution, RejectedHighVersionDoesNotBlockLaterDocuments) {
  SimulatedCluster cluster(1, 3);
  auto &distributor = *cluster.Nodes[0].Distributor;
  EXPECT_TRUE(
      distributor.receive("n1", {1000000, "{}", false}, cluster.Clock.now())
          .IsNew);
  cluster.Clock.advance(1s);
  EXPECT_TRUE(
      distributor.receive("n1", {1, "{}", false}, cluster.Clock.now()).IsNew);
  distributor.publish(1, "{}", cluster.Clock.now());
  EXPECT_EQ(distributor.publish(2, "{}", cluster.Clock.now()).size(), 2u);
}

// Reordering, loss or duplication of messages must not make a daemon regress,
// nor keep it from the newest version once messages are delivered again.
RC_GTEST_PROP(ConfigDistribution, AnyDeliveryOrderConverges, ()) {
  SimulatedCluster cluster(3, 3);
  std::uint64_t version = 0;
  std::vector<std::uint64_t> before(cluster.Nodes.size());
  for (int i = 0; i < 120; ++i) {
    auto action = *rc::gen::inRange(0, 12);
    auto pick = *rc::gen::inRange<std::size_t>(0, 1000);
    if (action == 0)
      cluster.publish(pick % cluster.Nodes.size(), ++version);
    else if (action == 1)
      cluster.exchangeHeartbeats();
    else if (action == 2 && !cluster.PendingMessages.empty())
      cluster.PendingMessages.erase(cluster.PendingMessages.begin());
    else if (action == 3 && !cluster.PendingMessages.empty())
      cluster.PendingMessages.push_back(
          cluster.PendingMessages[pick % cluster.PendingMessages.size()]);
    else if (action == 4)
      cluster.Nodes[pick % cluster.Nodes.size()].IsPartitioned ^= true;
    else if (!cluster.PendingMessages.empty())
      cluster.deliver(pick);
    for (std::size_t k = 0; k < before.size(); ++k) {
      RC_ASSERT(cluster.Nodes[k].Distributor->activeVersion() >= before[k]);
      before[k] = cluster.Nodes[k].Distributor->activeVersion();
    }
  }
  for (auto &it : cluster.Nodes)
    it.IsPartitioned = false;
  auto start = cluster.Clock.now();
  while (!cluster.allHaveVersion(version) && cluster.Clock.now() - start < 4s) {
    cluster.deliverAll();
    cluster.exchangeHeartbeats();
  }
  cluster.deliverAll();
  RC_ASSERT(cluster.allHaveVersion(version));
}

} // namespace
