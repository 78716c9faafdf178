// Guards against workers and stores whose answers have no end.

#include "ClientsFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace endivedoor::clients {

namespace asio = boost::asio;
using asio::ip::tcp;
using standin::Awaitable;

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// The daemon opens few connections to its peers, so that one answer must be
/// able to exceed the bound alone.
constexpr std::size_t AnswerBytes = 192 * MiB, AllBytes = 384 * MiB;
/// How long a peer misbehaves, unless it has sent AllBytes before.
constexpr auto AttackTime = 10s;

/// Passes connections on to a stand-in; answers requests itself, without end,
/// while switched on.
struct Link : std::enable_shared_from_this<Link> {
  Link(asio::io_context &io, const model::Address &listen,
       const model::Address &target)
      : Io(io), Acceptor(io, endpoint(listen)), Target(endpoint(target)) {}

  static tcp::endpoint endpoint(const model::Address &address) {
    return {asio::ip::make_address(address.Ip), address.Port};
  }

  Awaitable<void> run() {
    auto self = shared_from_this();
    while (true) {
      auto [ec, socket] = co_await Acceptor.async_accept(AsTuple);
      if (!ec)
        asio::co_spawn(Io,
                       serve(std::make_shared<tcp::socket>(std::move(socket))),
                       asio::detached);
    }
  }

  Awaitable<void> serve(std::shared_ptr<tcp::socket> client) {
    auto self = shared_from_this();
    auto server = std::make_shared<tcp::socket>(Io);
    auto [ec] = co_await server->async_connect(Target, AsTuple);
    if (ec)
      co_return;
    asio::co_spawn(Io, pass(server, client, false), asio::detached);
    co_await pass(client, server, true);
  }

  Awaitable<void> pass(std::shared_ptr<tcp::socket> from,
                       std::shared_ptr<tcp::socket> to, bool isRequest) {
    auto self = shared_from_this();
    std::string buf(WriteBytes, 0);
    while (true) {
      auto [ec, n] = co_await from->async_read_some(asio::buffer(buf), AsTuple);
      if (!ec && isRequest && Endless) {
        co_await answer(*from);
        break;
      }
      if (ec)
        break;
      auto [writeError, written] =
          co_await asio::async_write(*to, asio::buffer(buf.data(), n), AsTuple);
      if (writeError)
        break;
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
  }

  Awaitable<void> answer(tcp::socket &to) {
    ++Answers;
    std::string block = Pattern;
    while (block.size() + Pattern.size() <= WriteBytes)
      block += Pattern;
    auto [ec, n] = co_await asio::async_write(to, asio::buffer(Begin), AsTuple);
    for (std::size_t sent = 0; !ec && sent < AnswerBytes && Sent < AllBytes;
         sent += block.size()) {
      auto [writeError, written] =
          co_await asio::async_write(to, asio::buffer(block), AsTuple);
      Sent += written;
      if (writeError)
        break;
    }
  }

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  tcp::endpoint Target;
  std::string Begin, Pattern;
  std::atomic<bool> Endless = false;
  std::atomic<std::size_t> Sent = 0;
  std::atomic<int> Answers = 0;
};

class ClientsPeersTest : public ClientsTest {
protected:
  static constexpr int LinkOffset = 5;

  /// Starts everything with \p link replaced, which then answers with \p begin
  /// and \p pattern, without end.
  ///
  /// \param link offset of the daemon's link to the store or to the worker.
  void expectBounded(std::uint16_t port, int &link, const std::string &begin,
                     const std::string &pattern) {
    auto peer = std::make_shared<Link>(Io, address(port + LinkOffset),
                                       address(port + link));
    link = LinkOffset;
    peer->Begin = begin;
    peer->Pattern = pattern;
    asio::co_spawn(Io, peer->run(), asio::detached);
    ASSERT_NO_FATAL_FAILURE(start(port));
    peer->Endless = true;
    SteadyTime end = std::chrono::steady_clock::now() + AttackTime;
    while (std::chrono::steady_clock::now() < end && peer->Sent < AllBytes)
      std::this_thread::sleep_for(10ms);
    peer->Endless = false;
    std::cout << peer->Answers << " answers, " << peer->Sent / MiB << " MiB\n";
    EXPECT_GT(peer->Answers, 0);
    ASSERT_TRUE(waitUntilServing()) << "the daemon does not recover";
    expectServing("after the attack");
  }

  const std::string Trailers = "HTTP/1.1 200 OK\r\nContent-Type: "
                               "application/json\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n2\r\n{}\r\n0\r\n";
  const std::string Header = "HTTP/1.1 200 OK\r\na: ";
};

TEST_F(ClientsPeersTest, WorkerTrailersWithoutEnd_MemoryIsBounded) {
  expectBounded(25000, WorkerLink, Trailers, "a: bbbbbbbbbbbbbbbb\r\n");
}

TEST_F(ClientsPeersTest, WorkerHeaderWithoutEnd_MemoryIsBounded) {
  expectBounded(25010, WorkerLink, Header, "b");
}

TEST_F(ClientsPeersTest, StoreTrailersWithoutEnd_MemoryIsBounded) {
  expectBounded(25020, StoreLink, Trailers, "a: bbbbbbbbbbbbbbbb\r\n");
}

TEST_F(ClientsPeersTest, StoreHeaderWithoutEnd_MemoryIsBounded) {
  expectBounded(25030, StoreLink, Header, "b");
}

} // namespace endivedoor::clients
