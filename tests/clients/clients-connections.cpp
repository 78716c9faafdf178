// Guards against connections that hold places or delay the end of the daemon:
// silent, slow, half-sent, or with answers that nobody reads.

#include "ClientsFixture.h"

namespace endivedoor::clients {

constexpr int ManyClients = 200;

class ClientsConnectionsTest : public ClientsTest {};

TEST_F(ClientsConnectionsTest, FullTable_OrdinaryCallerIsServed) {
  ASSERT_NO_FATAL_FAILURE(start(24600));
  Crowd silent(Callers, ManyClients);
  ASSERT_NO_FATAL_FAILURE(expectServing("silent connections"));
  Crowd halves(Callers, ManyClients);
  halves.send("POST /short/1 HTTP/1.1\r\nHost: 127");
  expectServing("silent connections and half headers");
}

TEST_F(ClientsConnectionsTest, SilentOnCallersAndMetrics_ReadinessIsServed) {
  ASSERT_NO_FATAL_FAILURE(start(24610));
  Crowd callers(Callers, ManyClients);
  Crowd metrics(Metrics, ManyClients);
  expectServing("silent connections");
}

TEST_F(ClientsConnectionsTest, StopWithOpenConnections_EndsByItself) {
  ASSERT_NO_FATAL_FAILURE(start(24620));
  constexpr int each = 20, few = 3;
  Crowd silent(Callers, each), halfHeader(Callers, each),
      halfBody(Callers, each), notReading(Callers, few),
      metricsNotRead(Metrics, each);
  halfHeader.send("POST /short/1 HTTP/1.1\r\nHost: 127");
  halfBody.send(postHead() + "Content-Length: 1000\r\n\r\n{");
  notReading.send("", get("/nowhere"), 4 * MiB, false);
  metricsNotRead.send("", get("/metrics"), MiB, false);
  Daemon->signal(SIGTERM);
  EXPECT_EQ(Daemon->wait(WaitLimit), 0);
}

TEST_F(ClientsConnectionsTest, SlowSenders_OrdinaryCallerIsServed) {
  ASSERT_NO_FATAL_FAILURE(start(24630));
  constexpr int each = ManyClients / 2, bytes = 100, asksEvery = 25;
  Crowd headers(Callers, each), bodies(Callers, each);
  headers.send("GET /short/ HTTP/1.1\r\nHost: 127.0.0.1\r\na: ");
  bodies.send(postHead() + "Content-Length: 1000\r\n\r\n");
  for (int i = 1; i <= bytes; ++i) {
    for (Crowd *crowd : {&headers, &bodies})
      for (auto &it : crowd->Members)
        it->write("b");
    if (i % asksEvery == 0) {
      EXPECT_EQ(askAgain(Callers, post()), 200);
      EXPECT_EQ(askReadiness(), 200);
    }
    std::this_thread::sleep_for(100ms);
  }
  expectServing("connections open");
}

} // namespace endivedoor::clients
