// Guards against callers that make the daemon hold more memory than its machine
// has: everything that a request may consist of, without end or unfinished.

#include "ClientsFixture.h"

namespace endivedoor::clients {

constexpr int FewClients = 8;
constexpr std::size_t EndlessBytes = 48 * MiB;
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

class ClientsMemoryTest : public ClientsTest {
protected:
  /// Sends a job submission that continues with \p begin and then with \p
  /// pattern, without end.
  void expectBounded(std::uint16_t port, const std::string &begin,
                     const std::string &pattern) {
    ASSERT_NO_FATAL_FAILURE(start(port));
    Crowd crowd(Callers, FewClients);
    crowd.send(postHead() + begin, pattern, EndlessBytes);
    ASSERT_NO_FATAL_FAILURE(expectServing("connections open"));
    crowd.Members.clear();
    expectServing("connections closed");
  }
};

TEST_F(ClientsMemoryTest, TrailersWithoutEnd_MemoryIsBounded) {
  expectBounded(24000, Chunked + "0\r\n", "a: bbbbbbbbbbbbbbbb\r\n");
}

TEST_F(ClientsMemoryTest, TrailerLineWithoutEnd_MemoryIsBounded) {
  expectBounded(24010, Chunked + "0\r\na: ", "b");
}

TEST_F(ClientsMemoryTest, ChunkExtensionWithoutEnd_MemoryIsBounded) {
  expectBounded(24020, Chunked + "5;a=", "b");
}

TEST_F(ClientsMemoryTest, ChunkSizeOfZerosWithoutEnd_MemoryIsBounded) {
  expectBounded(24030, Chunked, "0");
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

} // namespace endivedoor::clients
