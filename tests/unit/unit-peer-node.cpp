// Tests the peer sockets between daemons on loopback: heartbeats, configuration
// pushes, restarts, malicious senders and slow peers.
#include "endivedoor/peer/Peer.h"
#include "endivedoor/peer/detail/Codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <zmq.hpp>

#include <functional>

using namespace endivedoor;
using namespace endivedoor::peer;
using namespace std::chrono_literals;

namespace {

/// Timeout for conditions that need a few heartbeats, with a margin for a
/// loaded host.
constexpr auto WaitTimeout = 10s;

std::uint16_t freePort() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

class PeerNodes : public testing::Test {
protected:
  struct Daemon {
    model::Settings Settings;
    base::HybridClock Hybrid;
    base::EventLog Events;
    std::unique_ptr<PeerNode> Node;
    std::vector<std::string> Received;
  };

  /// Prepares \p n daemons in zones of two; none is started.
  void prepare(int n) {
    std::vector<model::PeerSettings> all;
    for (int i = 0; i < n; ++i)
      all.push_back({"n" + std::to_string(i),
                     base::ZoneId("z" + std::to_string(i / 2)),
                     {"127.0.0.1", freePort()},
                     {}});
    for (int i = 0; i < n; ++i) {
      model::Settings settings;
      settings.Name = all[i].Name;
      settings.Zone = all[i].Zone;
      settings.Peer = all[i].Peer;
      settings.Limits.PeerMessageBytes = 256 * 1024;
      settings.Timing.Heartbeat = 50ms;
      settings.Timing.PeerSuspected = 400ms;
      settings.Timing.PeerDead = 800ms;
      for (int k = 0; k < n; ++k)
        if (k != i)
          settings.Peers.push_back(all[k]);
      Daemons.emplace_back(new Daemon{
          settings,
          base::HybridClock(Clock),
          base::EventLog(settings.Name,
                         Daemons.empty() ? Shared : Daemons[0]->Hybrid, 64),
          nullptr,
          {}});
    }
  }

  void startNode(int i, const std::string &instance = "run-1") {
    Daemon &it = *Daemons[i];
    it.Node = std::make_unique<PeerNode>(Io.get_executor(), it.Settings,
                                         it.Hybrid, Clock, it.Events,
                                         base::InstanceId(instance));
    it.Node->onConfiguration([&it](std::string json) {
      it.Received.push_back(json);
      it.Node->publishConfiguration(it.Received.size(), json);
    });
    ASSERT_TRUE(it.Node->start());
    it.Node->setState(MemberState::Live);
  }
  void startAll(int n) {
    prepare(n);
    for (int i = 0; i < n; ++i)
      startNode(i);
  }

  /// Runs all nodes until \p done returns true or the timeout expires.
  /// \returns the last result of \p done.
  bool runUntil(const std::function<bool()> &done) {
    auto end = Clock.now() + WaitTimeout;
    while (!done() && Clock.now() < end)
      Io.run_for(5ms);
    return done();
  }
  /// Returns the member entry for \p name in the table of daemon \p at.
  Member view(int at, const std::string &name) {
    for (const Member &it : Daemons[at]->Node->members())
      if (it.Name == name)
        return it;
    return {};
  }
  bool allLive() {
    for (auto &it : Daemons)
      for (const Member &member : it->Node->members())
        if (member.State != MemberState::Live)
          return false;
    return true;
  }

  boost::asio::io_context Io;
  base::SystemClock Clock;
  base::HybridClock Shared{Clock};
  std::vector<std::unique_ptr<Daemon>> Daemons;
};

// All daemons must discover each other and receive a pushed configuration.
TEST_F(PeerNodes, ThreeNodesConnectAndShareAConfiguration) {
  startAll(3);
  ASSERT_TRUE(runUntil([&] { return allLive(); }));
  Daemons[0]->Node->publishConfiguration(1, R"({"version":1})");
  ASSERT_TRUE(runUntil([&] {
    return view(0, "n1").ConfigVersion == 1 && view(0, "n2").ConfigVersion == 1;
  }));
  EXPECT_EQ(Daemons[2]->Received, std::vector<std::string>{R"({"version":1})"});
  const Counters &counts = Daemons[0]->Node->counters();
  EXPECT_EQ(counts.Sent[2].Messages, 2u);
  EXPECT_GT(counts.Received[0].Bytes, 0u);
  EXPECT_EQ(counts.Rejected.Messages, 0u);
}

// A daemon that starts later must fetch the current configuration.
TEST_F(PeerNodes, LateDaemonRequestsTheConfiguration) {
  prepare(2);
  startNode(0);
  Daemons[0]->Node->publishConfiguration(1, R"({"version":1})");
  Io.run_for(200ms);
  startNode(1);
  EXPECT_TRUE(runUntil([&] { return view(1, "n1").ConfigVersion == 1; }));
}

// Peers must detect a planned shutdown and a failure, and must accept a
// replacement host.
TEST_F(PeerNodes, ShutdownFailureAndReplacementAreDetected) {
  startAll(2);
  ASSERT_TRUE(runUntil([&] { return allLive(); }));
  std::uint64_t first = view(0, "n1").Incarnation;
  Daemons[1]->Node->setState(MemberState::Leaving);
  EXPECT_TRUE(
      runUntil([&] { return view(0, "n1").State == MemberState::Leaving; }));
  Daemons[1]->Node->stop();
  EXPECT_TRUE(
      runUntil([&] { return view(0, "n1").State == MemberState::Dead; }));
  startNode(1, "run-2");
  EXPECT_TRUE(
      runUntil([&] { return view(0, "n1").State == MemberState::Live; }));
  EXPECT_GT(view(0, "n1").Incarnation, first);
}

// Malicious input must be ignored and counted, and must not stop the process.
TEST_F(PeerNodes, MaliciousSenderIsCountedAndIgnored) {
  startAll(2);
  ASSERT_TRUE(runUntil([&] { return allLive(); }));
  zmq::context_t context;
  auto sendMessage = [&](const std::string &id,
                         std::vector<std::string> parts) {
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 1000);
    socket.set(zmq::sockopt::routing_id, id);
    socket.connect("tcp://" + Daemons[0]->Settings.Peer.str());
    for (std::size_t i = 0; i < parts.size(); ++i)
      socket.send(zmq::buffer(parts[i]), i + 1 < parts.size()
                                             ? zmq::send_flags::sndmore
                                             : zmq::send_flags::none);
  };
  auto now = Clock.wallNow().time_since_epoch();
  std::uint64_t micros =
      std::chrono::floor<std::chrono::microseconds>(now).count();
  std::string valid =
      detail::encode({{micros, 0}, detail::Heartbeat{MemberState::Live, 9}});
  const std::string run = "1/" + std::to_string(micros / 1000) + "/";
  sendMessage("rubbish", {valid});
  sendMessage(run + "stranger/i", {valid});
  sendMessage(run + "n1/i", {"rubbish"});
  sendMessage(run + "n1/j", {""});
  sendMessage(run + "n1/k", {valid, "extra part"});
  const Counters &counts = Daemons[0]->Node->counters();
  EXPECT_TRUE(runUntil([&] { return counts.Rejected.Messages >= 5; }))
      << counts.Rejected.Messages;
  sendMessage(run + "n1/l",
              {std::string(300 * 1024, 'x')}); // Exceeds PeerMessageBytes.
  Io.run_for(200ms);
  EXPECT_EQ(counts.Rejected.Messages, 5u);
  EXPECT_EQ(view(0, "n1").ConfigVersion, 0u);
  EXPECT_TRUE(runUntil([&] { return allLive(); }));
}

// If another instance uses the name of a running daemon with a higher
// incarnation, the running daemon must raise its own and become live again.
TEST_F(PeerNodes, LowerIncarnationOfARunningDaemonIsRaised) {
  startAll(2);
  ASSERT_TRUE(runUntil([&] { return allLive(); }));
  auto now = Clock.wallNow().time_since_epoch();
  std::uint64_t micros =
      std::chrono::floor<std::chrono::microseconds>(now).count();
  std::uint64_t ahead = micros / 1000 + 60000;
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::routing_id,
             "1/" + std::to_string(ahead) + "/n1/other");
  socket.connect("tcp://" + Daemons[0]->Settings.Peer.str());
  socket.send(zmq::buffer(
      detail::encode({{micros, 0}, detail::Heartbeat{MemberState::Live, 0}})));
  EXPECT_TRUE(runUntil([&] { return view(0, "n1").Incarnation > ahead; }));
  EXPECT_TRUE(runUntil([&] { return allLive(); }));
}

// A stalled peer must neither block the sender nor grow its queue.
TEST_F(PeerNodes, MessagesToAStalledPeerAreDropped) {
  prepare(2);
  startNode(0);
  // A listener that accepts connections and sends nothing.
  boost::asio::ip::tcp::acceptor silent(
      Io, {boost::asio::ip::address_v4::loopback(),
           Daemons[1]->Settings.Peer.Port});
  auto start = Clock.now();
  for (std::uint64_t i = 1; i <= 200; ++i)
    Daemons[0]->Node->publishConfiguration(i, R"({"version":)" +
                                                  std::to_string(i) + "}");
  EXPECT_LT(Clock.now() - start, 1s);
  EXPECT_GE(Daemons[0]->Node->counters().Dropped[2].Messages, 184u);
}

// The queue for a connected peer that does not read must stay bounded: 300
// documents of 100 kB far exceed what TCP buffers.
TEST_F(PeerNodes, MessagesToAPeerThatDoesNotReadAreDropped) {
  prepare(2);
  zmq::context_t context;
  zmq::socket_t unread(context, zmq::socket_type::router);
  unread.set(zmq::sockopt::rcvhwm, 1);
  unread.bind("tcp://" + Daemons[1]->Settings.Peer.str());
  startNode(0);
  const Counters &counts = Daemons[0]->Node->counters();
  ASSERT_TRUE(runUntil([&] { return counts.Sent[0].Messages > 0; }));
  const std::string padding(100000, 'x');
  auto start = Clock.now();
  for (std::uint64_t i = 1; i <= 300; ++i)
    Daemons[0]->Node->publishConfiguration(
        i, R"({"version":)" + std::to_string(i) + R"(,"text":")" + padding +
               "\"}");
  EXPECT_LT(Clock.now() - start, 1s);
  EXPECT_GT(counts.Sent[2].Messages, 0u);
  EXPECT_GT(counts.Dropped[2].Messages, 100u);
}

// An address in use must be reported as an error, not thrown as an exception.
TEST_F(PeerNodes, AddressInUseIsAnError) {
  startAll(1);
  base::Result<void> second =
      PeerNode(Io.get_executor(), Daemons[0]->Settings, Daemons[0]->Hybrid,
               Clock, Daemons[0]->Events, base::InstanceId("other"))
          .start();
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().Code, base::Errc::PeerSocketFailed);
}

} // namespace
