// Guards against callers that make the daemon hold more memory than its machine
// has: everything that a request may consist of, without end or unfinished.

#include "ClientsFixture.h"

namespace endivedoor::clients {

constexpr int FewClients = 8;
constexpr std::size_t EndlessBytes = 48 * MiB;
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

class ClientsMemoryTest : public ClientsTest {
protected:
  /// Sends \p begin and then \p pattern, without end.
  void expectBounded(std::uint16_t port, const std::string &begin,
                     const std::string &pattern) {
    ASSERT_NO_FATAL_FAILURE(start(port));
    Crowd crowd(Callers, FewClients);
    crowd.send(begin, pattern, EndlessBytes);
    ASSERT_NO_FATAL_FAILURE(expectServing("connections open"));
    crowd.Members.clear();
    expectServing("connections closed");
  }
};

TEST_F(ClientsMemoryTest, TrailersWithoutEnd_MemoryIsBounded) {
  expectBounded(24000, postHead() + Chunked + "0\r\n",
                "a: bbbbbbbbbbbbbbbb\r\n");
}

TEST_F(ClientsMemoryTest, TrailerLineWithoutEnd_MemoryIsBounded) {
  expectBounded(24010, postHead() + Chunked + "0\r\na: ", "b");
}

TEST_F(ClientsMemoryTest, ChunkExtensionWithoutEnd_MemoryIsBounded) {
  expectBounded(24020, postHead() + Chunked + "5;a=", "b");
}

TEST_F(ClientsMemoryTest, ChunkSizeOfZerosWithoutEnd_MemoryIsBounded) {
  expectBounded(24030, postHead() + Chunked, "0");
}

TEST_F(ClientsMemoryTest, UnfinishedBodies_MemoryIsBounded) {
  ASSERT_NO_FATAL_FAILURE(start(24040));
  constexpr int clients = 300;
  constexpr std::size_t bodyBytes = 900'000;
  Crowd crowd(Callers, clients);
  crowd.send(postHead() + "Content-Length: 1000000\r\n\r\n", "b", bodyBytes);
  ASSERT_NO_FATAL_FAILURE(expectServing("connections open"));
  crowd.Members.clear();
  expectServing("connections closed");
}

TEST_F(ClientsMemoryTest, HeaderLineWithoutEnd_MemoryIsBounded) {
  expectBounded(24050, postHead() + "a: ", "b");
}

TEST_F(ClientsMemoryTest, TargetWithoutEnd_MemoryIsBounded) {
  expectBounded(24060, "GET /", "b");
}

TEST_F(ClientsMemoryTest, EmptyLinesWithoutEnd_MemoryIsBounded) {
  expectBounded(24070, "", "\r\n");
}

TEST_F(ClientsMemoryTest, SmallChunksWithExtensions_AreRefusedEarly) {
  ASSERT_NO_FATAL_FAILURE(start(24080));
  constexpr int clients = 4;
  constexpr std::size_t extensionBytes = 4000, maxTaken = 4 * MiB;
  Crowd crowd(Callers, clients);
  crowd.send(postHead() + Chunked,
             "1;a=" + std::string(extensionBytes, 'b') + "\r\nc\r\n", 64 * MiB);
  for (const auto &it : crowd.Members)
    ASSERT_LT(it->taken(), maxTaken);
  EXPECT_TRUE(crowd.waitUntilEnded());
  expectServing("connections open");
}

/// Guards against the space that each of many tiny header fields takes.
TEST_F(ClientsMemoryTest, ManyHeaderFields_MemoryIsBounded) {
  ASSERT_NO_FATAL_FAILURE(start(24090));
  constexpr int clients = 600;
  std::string fields;
  for (constexpr std::size_t bytes = 15'000; fields.size() < bytes;)
    fields += "a:\r\n";
  const std::string get = "GET /short/ HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  Crowd unfinished(Callers, clients);
  unfinished.send(get + fields);
  expectServing("unfinished headers");
  unfinished.Members.clear();
  Crowd withoutBody(Callers, clients);
  withoutBody.send(postHead() + fields + "Content-Length: 10\r\n\r\n");
  expectServing("finished headers without the body");
  withoutBody.Members.clear();
  Crowd finished(Callers, clients);
  finished.send(get + fields + "\r\n");
  expectServing("finished requests");
}

TEST_F(ClientsMemoryTest, AnswersNotRead_MemoryIsBounded) {
  ASSERT_NO_FATAL_FAILURE(start(24100));
  constexpr int clients = 100, few = 10;
  Crowd metrics(Metrics, clients);
  metrics.send("", get("/metrics"), MiB, false);
  expectServing("metrics pages not read");
  Crowd refused(Callers, few);
  refused.send("", get("/short/x"), 4 * MiB, false);
  expectServing("refusals not read");
}

} // namespace endivedoor::clients
