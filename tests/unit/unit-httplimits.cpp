// Tests that clients cannot make the HTTP server hold more memory, connections
// or time than its limits allow, and that ordinary requests are served beside
// clients that try.
#include "support/HttpFixture.h"

#include <sys/resource.h>
#include <unistd.h>

using namespace endivedoor;
using namespace endivedoor::tests;
using namespace endivedoor::platform;

namespace {

/// A client that is not controlled: sends any bytes and notes the answer.
class RawClient {
public:
  /// \param receiveBytes receive buffer, in bytes; 0 for the usual one.
  RawClient(asio::io_context &io, const model::Address &to,
            int receiveBytes = 0)
      : Socket(io, asio::ip::tcp::v4()), Io(io) {
    if (receiveBytes > 0)
      Socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
    Socket.connect({asio::ip::make_address(to.Ip), to.Port});
    Socket.non_blocking(true);
  }

  /// Sends \p text as far as the connection takes it, and lets the server run
  /// in between.
  void send(std::string_view text) {
    while (!text.empty()) {
      boost::system::error_code ec;
      std::size_t n = Socket.write_some(asio::buffer(text), ec);
      text.remove_prefix(n);
      Io.restart();
      Io.poll();
      if (ec && ec != asio::error::would_block)
        return;
      receive();
      if (Closed)
        return;
    }
  }

  /// Reads what has arrived.
  void receive() {
    std::string part(65536, 0);
    boost::system::error_code ec;
    while (!ec) {
      std::size_t n = Socket.read_some(asio::buffer(part), ec);
      Received += part.substr(0, n);
    }
    Closed = Closed || ec != asio::error::would_block;
  }

  /// Lets the server run for up to \p time, until the connection is closed.
  /// \returns the status line, "closed" if there is none, or "open".
  std::string outcome(std::chrono::milliseconds time = 300ms) {
    auto end = std::chrono::steady_clock::now() + time;
    do {
      runFor(Io, 2ms);
      receive();
    } while (!Closed && Received.empty() &&
             std::chrono::steady_clock::now() < end);
    if (!Received.empty())
      return Received.substr(9, 3);
    return Closed ? "closed" : "open";
  }

  std::string Received;
  bool Closed = false;
  asio::ip::tcp::socket Socket;

private:
  asio::io_context &Io;
};

class HttpLimitsTest : public HttpFixture {
protected:
  HttpServerOptions Options;
  std::vector<HttpLimit> Reached;

  HttpLimitsTest() {
    Options.OnLimit = [this](HttpLimit it) { Reached.push_back(it); };
    RequestHandler = [](HttpRequest it) -> asio::awaitable<HttpResponse> {
      co_return HttpResponse{200, {}, it.Body};
    };
  }

  /// Returns the outcome for a client that sends \p text.
  std::string outcomeOf(std::string_view text) {
    RawClient client(Io, To);
    client.send(text);
    return client.outcome();
  }
  static std::string post(std::string_view headers, std::string_view body) {
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + std::string(headers) + "\r\n" +
           std::string(body);
  }
  static std::string postChunks(std::string_view chunks) {
    return post("Transfer-Encoding: chunked\r\n", chunks);
  }
  static std::string repeat(std::string_view text, std::size_t n) {
    std::string all;
    for (std::size_t i = 0; i < n; ++i)
      all += text;
    return all;
  }

  model::Address To;
};

constexpr std::size_t Endless = 4 * 1024 * 1024;

// The read buffer had no maximum: a chunked body with trailers, extensions or
// a size line without end used up the memory of the process.
TEST_F(HttpLimitsTest, EndlessFraming_IsRefused) {
  To = listen(Options);
  std::string endless(Endless, 'x');
  EXPECT_EQ(outcomeOf(postChunks("0\r\nA: " + endless)), "400");
  EXPECT_EQ(outcomeOf(postChunks("0\r\n" + repeat("A: b\r\n", Endless / 6))),
            "400");
  EXPECT_EQ(outcomeOf(postChunks("1;a=" + endless)), "400");
  EXPECT_EQ(outcomeOf(postChunks(std::string(Endless, '0'))), "400");
  EXPECT_EQ(Reached, std::vector(4, HttpLimit::Framing));
}

// Each chunk line stays below the size of the buffer, but they are discarded
// without a bound.
TEST_F(HttpLimitsTest, ExtensionsOnEachChunk_AreRefused) {
  To = listen(Options);
  std::string chunk = "1;a=" + std::string(1000, 'x') + "\r\ny\r\n";
  EXPECT_EQ(outcomeOf(postChunks(repeat(chunk, 1000))), "400");
}

// RFC 9112 allows chunks of any size; senders flush single bytes.
TEST_F(HttpLimitsTest, ChunksOfOneByteAndShortTrailers_AreServed) {
  To = listen(Options);
  std::string chunks = repeat("1\r\ny\r\n", 50000);
  RawClient client(Io, To);
  client.send(postChunks(chunks + "0\r\nA: b\r\n\r\n"));
  EXPECT_EQ(client.outcome(), "200");
  runFor(Io, 20ms);
  client.receive();
  EXPECT_NE(client.Received.find("\r\n\r\n" + std::string(50000, 'y')),
            std::string::npos);
}

// The parser copies each field; 15 kB of short lines took 0.4 MB.
TEST_F(HttpLimitsTest, HeaderWithManyLines_IsRefused) {
  To = listen(Options);
  EXPECT_EQ(outcomeOf(post(repeat("a:\r\n", 3000), "")), "431");
  EXPECT_EQ(outcomeOf(post(repeat("a:\r\n", 128), "")), "431");
  EXPECT_EQ(outcomeOf("\r\n\r\n" + post(repeat("a:\r\n", 128), "")), "431");
  EXPECT_EQ(outcomeOf(post(repeat("a:\r\n", 127), "")), "200");
  EXPECT_EQ(Reached, std::vector(3, HttpLimit::Header));
}

// Lines of a body or of a pipelined request are not lines of the header.
TEST_F(HttpLimitsTest, BodyWithManyLines_IsServed) {
  To = listen(Options);
  std::string body = repeat("a:\r\n", 900);
  EXPECT_EQ(outcomeOf(post("Content-Length: 3600\r\n", body)), "200");
}

// The parser's own limit counts the bytes that it has not consumed yet.
TEST_F(HttpLimitsTest, OversizedHeader_IsRefusedHoweverItArrives) {
  To = listen(Options);
  std::string line = "A: " + std::string(1000, 'x') + "\r\n";
  EXPECT_EQ(outcomeOf(post(repeat(line, 17), "")), "431");
  RawClient slow(Io, To);
  slow.send("POST /x HTTP/1.1\r\n");
  for (int i = 0; i < 17; ++i)
    slow.send(line);
  EXPECT_EQ(slow.outcome(), "431");
  EXPECT_EQ(outcomeOf(post(repeat(line, 16), "")), "200");
}

TEST_F(HttpLimitsTest, OversizedBody_IsRefused) {
  Options.Limits.BodyBytes = 2000;
  To = listen(Options);
  std::string body(2001, 'x');
  EXPECT_EQ(outcomeOf(post("Content-Length: 2001\r\n", "")), "413");
  EXPECT_EQ(outcomeOf(postChunks("7d1\r\n" + body + "\r\n0\r\n\r\n")), "413");
  EXPECT_EQ(Reached, std::vector(2, HttpLimit::Body));
}

// Connections that sent a header byte by byte were held without a bound, as the
// time limit began anew with each read.
TEST_F(HttpLimitsTest, HeaderThatTakesTooLong_IsAnsweredWith408) {
  Options.HeaderTimeout = 60ms;
  To = listen(Options);
  RawClient client(Io, To);
  for (int i = 0; i < 20 && client.outcome(10ms) == "open"; ++i)
    client.send(i == 0 ? "GET /x HTTP/1.1\r\nA: " : "x");
  EXPECT_EQ(client.outcome(0ms), "408");
  EXPECT_EQ(Reached, std::vector{HttpLimit::HeaderTime});
}

TEST_F(HttpLimitsTest, ConnectionWithoutAByte_IsClosedAfterTheIdleTimeout) {
  Options.IdleTimeout = 40ms;
  To = listen(Options);
  EXPECT_EQ(outcomeOf(""), "closed");
  EXPECT_TRUE(Reached.empty());
}

TEST_F(HttpLimitsTest, SlowBody_IsAnsweredWith408) {
  Options.BodyTimeout = 60ms;
  To = listen(Options);
  RawClient client(Io, To);
  client.send(post("Content-Length: 100000\r\n", ""));
  for (int i = 0; i < 20 && client.outcome(10ms) == "open"; ++i)
    client.send("x");
  EXPECT_EQ(client.outcome(0ms), "408");
  EXPECT_EQ(Reached, std::vector{HttpLimit::BodyTime});
}

// The limit is on the rate; a large body may take several times as long.
TEST_F(HttpLimitsTest, SteadyBody_IsServedAfterTheBodyTimeout) {
  Options.BodyTimeout = 60ms;
  To = listen(Options);
  RawClient client(Io, To);
  client.send(post("Content-Length: 160000\r\n", ""));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(client.outcome(20ms), "open");
    client.send(std::string(20000, 'x'));
  }
  EXPECT_EQ(client.outcome(), "200");
}

// A client that read no answer held the connection and the answer for the idle
// timeout of 60 s. The time for the size of the answer is not for such clients.
TEST_F(HttpLimitsTest, UnreadResponse_IsGivenUp) {
  Options.ResponseTimeout = 50ms;
  To = listen(Options);
  respondWith(200, std::string(16 * 1024 * 1024, 'x'));
  RawClient client(Io, To);
  client.send(post("", ""));
  runFor(Io, 150ms);
  EXPECT_EQ(Server->openConnections(), 0u);
  EXPECT_EQ(Reached, std::vector{HttpLimit::ResponseTime});
}

// The kernel took 1 MB and more of a response that is not read, and kept it
// after the server counted it as sent.
TEST_F(HttpLimitsTest, UnreadResponses_StayOutOfTheKernel) {
  To = listen(Options);
  int served = 0;
  RequestHandler = [&](HttpRequest) -> asio::awaitable<HttpResponse> {
    ++served;
    co_return HttpResponse{200, {}, std::string(15000, 'x')};
  };
  RawClient client(Io, To, 4096);
  asio::write(client.Socket, asio::buffer(repeat(post("", ""), 100)));
  runFor(Io, 100ms);
  EXPECT_LE(served * 15000, 100000);
}

// Takes longer than ResponseTimeout, but some of it within each.
TEST_F(HttpLimitsTest, LargeResponse_IsSentToASlowReader) {
  Options.ResponseTimeout = 50ms;
  To = listen(Options);
  constexpr std::size_t size = 512 * 1024;
  respondWith(200, std::string(size, 'x'));
  RawClient client(Io, To);
  client.send(post("", ""));
  for (int i = 0; i < 30; ++i) {
    runFor(Io, 5ms);
    client.receive();
  }
  EXPECT_GE(client.Received.size(), size);
}

// Clients that send a header byte by byte kept a daemon from stopping.
TEST_F(HttpLimitsTest, Drain_EndsBesideIncompleteRequests) {
  Options.DrainGrace = 10ms;
  Options.HeaderTimeout = 80ms;
  To = listen(Options);
  RawClient body(Io, To);
  body.send(post("Content-Length: 100\r\n", "x"));
  RawClient header(Io, To);
  header.send("GET /x HT");
  runFor(Io, 5ms);
  Server->beginDrain();
  runFor(Io, 40ms);
  EXPECT_EQ(Server->openConnections(), 2u);
  EXPECT_EQ(header.outcome(), "408");
  EXPECT_EQ(body.outcome(), "408");
}

// Silent connections filled the table and shut out all other clients until
// their idle timeout.
TEST_F(HttpLimitsTest, FullTableOfSilentClients_ServesNewOnes) {
  Options.MaxConnections = 4;
  To = listen(Options);
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int i = 0; i < 10; ++i) {
    silent.push_back(std::make_unique<RawClient>(Io, To));
    silent.back()->send(i % 2 == 0 ? "" : "GET /x HT");
    runFor(Io, 1ms);
  }
  EXPECT_EQ(Server->openConnections(), 4u);
  EXPECT_EQ(outcomeOf(post("", "")), "200");
  EXPECT_EQ(silent[6]->outcome(0ms), "closed");
  EXPECT_EQ(silent[9]->outcome(0ms), "open");
}

// A caller that reuses its connection keeps it beside clients that bring
// nothing.
TEST_F(HttpLimitsTest, FullTable_ClosesFreshThenIdleConnections) {
  Options.MaxConnections = 3;
  To = listen(Options);
  RawClient older(Io, To);
  older.send(post("", ""));
  EXPECT_EQ(older.outcome(), "200");
  RawClient newer(Io, To);
  newer.send(post("", ""));
  EXPECT_EQ(newer.outcome(), "200");
  RawClient partial(Io, To);
  partial.send("GET /x");
  runFor(Io, 2ms);
  RawClient third(Io, To);
  third.send(post("", ""));
  EXPECT_EQ(third.outcome(), "200");
  EXPECT_EQ(partial.outcome(), "closed");
  older.send("GET /x HT");
  runFor(Io, 2ms);
  EXPECT_EQ(outcomeOf(post("", "")), "200");
  newer.receive();
  older.receive();
  EXPECT_TRUE(newer.Closed);
  EXPECT_FALSE(older.Closed);
}

// A request that a handler has begun may have had an effect, so it is never
// broken off.
TEST_F(HttpLimitsTest, FullTableOfBusyConnections_ClosesTheNewOne) {
  Options.MaxConnections = 2;
  To = listen(Options);
  asio::steady_timer release(Io, 1h);
  RequestHandler = [&](HttpRequest) -> asio::awaitable<HttpResponse> {
    co_await release.async_wait(Tuple);
    co_return HttpResponse{200, {}, "done"};
  };
  RawClient first(Io, To);
  first.send(post("", ""));
  RawClient second(Io, To);
  second.send(post("", ""));
  runFor(Io, 5ms);
  EXPECT_EQ(outcomeOf(post("", "")), "closed");
  release.cancel();
  EXPECT_EQ(first.outcome(), "200");
  EXPECT_EQ(second.outcome(), "200");
}

// Without a free descriptor, accept fails before the table is full.
TEST_F(HttpLimitsTest, ShortageOfDescriptors_ServesNewClients) {
  To = listen(Options);
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int i = 0; i < 5; ++i)
    silent.push_back(std::make_unique<RawClient>(Io, To));
  runFor(Io, 5ms);
  ASSERT_EQ(Server->openConnections(), 5u);
  RawClient caller(Io, To);
  rlimit limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
  rlimit small = limit;
  small.rlim_cur = 256;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &small), 0);
  std::vector<int> taken;
  for (int fd = ::dup(0); fd >= 0; fd = ::dup(0))
    taken.push_back(fd);
  caller.send(post("", ""));
  std::string outcome = caller.outcome();
  for (int fd : taken)
    ::close(fd);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  EXPECT_EQ(outcome, "200");
}

// The client read chunk lines and trailers of a response without a bound, and
// copied any number of fields.
TEST_F(HttpLimitsTest, ResponseWithTooMuchFramingOrTooManyFields_IsLost) {
  std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  auto errorFor = [&](const std::string &response) {
    RawServer server(Io, response);
    server.CloseAfterResponse = false;
    auto before = std::chrono::steady_clock::now();
    Errc code = codeOf(run(Client.send(server.address(), {}, 2000ms)));
    EXPECT_LT(std::chrono::steady_clock::now() - before, 1000ms);
    return code;
  };
  std::string lines = repeat("a:\r\n", 3000);
  std::string chunk = "1;a=" + std::string(1000, 'x') + "\r\ny\r\n";
  std::string ok = "1\r\ny\r\n0\r\nA: b\r\n\r\n";
  EXPECT_EQ(errorFor(head + "\r\n0\r\n" + lines), Errc::HttpAnswerLost);
  EXPECT_EQ(errorFor(head + "\r\n1;a=" + std::string(Endless, 'x')),
            Errc::HttpAnswerLost);
  EXPECT_EQ(errorFor(head + "\r\n" + repeat(chunk, 50)), Errc::HttpAnswerLost);
  EXPECT_EQ(errorFor(head + repeat("a:\r\n", 300) + "\r\n" + ok),
            Errc::HttpAnswerLost);
  EXPECT_EQ(errorFor(head + repeat("a:\r\n", 100) + "\r\n" + ok), Errc{0});
}

class HttpBudgetTest : public HttpLimitsTest {
protected:
  /// Listens with a budget of \p bytes.
  void listenWith(std::size_t bytes) {
    Options.Budget = std::make_shared<ByteBudget>(bytes);
    To = listen(Options);
  }
  std::size_t used() const { return Options.Budget->used(); }
};

// 1,000 unfinished bodies of 900 kB ended the process. The largest one makes
// room for others, so that small requests are served beside them.
TEST_F(HttpBudgetTest, UnfinishedBodies_LeaveRoomForSmallRequests) {
  listenWith(2 * 1024 * 1024);
  std::vector<std::unique_ptr<RawClient>> clients;
  int refused = 0;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(std::make_unique<RawClient>(Io, To));
    clients.back()->send(post("Content-Length: 900000\r\n", "x"));
    EXPECT_LE(used(), Options.Budget->limit());
    EXPECT_EQ(outcomeOf(post("", "")), "200");
  }
  for (auto &it : clients) {
    refused += it->outcome(0ms) == "503";
    if (!it->Received.empty()) {
      EXPECT_NE(it->Received.find("Retry-After: 1"), std::string::npos);
    }
  }
  EXPECT_EQ(refused, 4);
  clients.clear();
  runFor(Io, 20ms);
  EXPECT_EQ(used(), 0u);
}

// A chunked body announces no length; it counts as it grows, and a request that
// holds less stays.
TEST_F(HttpBudgetTest, LargestRequest_IsRefusedForASmallerOne) {
  listenWith(670000);
  RawClient large(Io, To);
  large.send(postChunks("186a0\r\n" + std::string(99999, 'x')));
  RawClient small(Io, To);
  small.send(post("Content-Length: 50000\r\n", "x"));
  RawClient other(Io, To);
  other.send(post("Content-Length: 190000\r\n", "x"));
  EXPECT_EQ(large.outcome(20ms), "open");
  EXPECT_EQ(
      outcomeOf(post("Content-Length: 150000\r\n", std::string(150000, 'x'))),
      "200");
  EXPECT_EQ(large.outcome(), "503");
  EXPECT_EQ(small.outcome(2ms), "open");
  EXPECT_EQ(other.outcome(2ms), "open");
  EXPECT_EQ(Reached, std::vector{HttpLimit::Memory});
}

TEST_F(HttpBudgetTest, RequestLargerThanAllOthers_IsRefused) {
  listenWith(400000);
  RawClient small(Io, To);
  small.send(post("Content-Length: 200000\r\n", "x"));
  EXPECT_EQ(outcomeOf(post("Content-Length: 300000\r\n", "x")), "503");
  EXPECT_EQ(small.outcome(2ms), "open");
}

// A single request inside the limits is served, and gives everything back.
TEST_F(HttpBudgetTest, LargeRequests_AreServedOneAfterTheOther) {
  listenWith(4 * 1024 * 1024);
  std::string body(1024 * 1024, 'x');
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(outcomeOf(post("Content-Length: 1048576\r\n", body)), "200");
    EXPECT_EQ(outcomeOf(postChunks("100000\r\n" + body + "\r\n0\r\n\r\n")),
              "200");
  }
  runFor(Io, 20ms);
  EXPECT_TRUE(Reached.empty());
  EXPECT_EQ(used(), 0u);
}

// Silent connections use up the budget before the table is full.
TEST_F(HttpBudgetTest, SilentConnections_LeaveRoomForSmallRequests) {
  listenWith(200000);
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int i = 0; i < 20; ++i) {
    silent.push_back(std::make_unique<RawClient>(Io, To));
    runFor(Io, 1ms);
    EXPECT_LE(used(), Options.Budget->limit());
  }
  EXPECT_EQ(outcomeOf(post("", "")), "200");
}

// The answers of requests that have had an effect are sent even then.
TEST_F(HttpBudgetTest,
       AnswerBeyondTheBudget_IsOnlySentIfTheRequestMayHaveActed) {
  listenWith(100000);
  respondWith(200, std::string(200000, 'x'));
  EXPECT_EQ(outcomeOf("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"), "503");
  EXPECT_EQ(outcomeOf(post("", "")), "200");
  EXPECT_EQ(Reached, std::vector(2, HttpLimit::Memory));
}

// Clients that read nothing shut out all others until ResponseTimeout, because
// responses that were being written used up the budget.
TEST_F(HttpBudgetTest, UnreadResponses_LeaveRoomForSmallRequests) {
  listenWith(1500000);
  RequestHandler = [](HttpRequest it) -> asio::awaitable<HttpResponse> {
    std::size_t size = it.Path == "/large" ? 400000 : 2;
    co_return HttpResponse{200, {}, std::string(size, 'x')};
  };
  std::string request = "POST /large HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::unique_ptr<RawClient>> unread;
  for (int i = 0; i < 60; ++i) {
    unread.push_back(std::make_unique<RawClient>(Io, To, 4096));
    boost::system::error_code ec;
    unread.back()->Socket.write_some(asio::buffer(request), ec);
    runFor(Io, 2ms);
  }
  runFor(Io, 600ms);
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(outcomeOf(post("", "")), "200");
}

// A request that a handler has begun is never broken off for another one.
TEST_F(HttpBudgetTest, RequestInProgress_KeepsItsShare) {
  listenWith(600000);
  asio::steady_timer release(Io, 1h);
  RequestHandler = [&](HttpRequest it) -> asio::awaitable<HttpResponse> {
    if (!it.Body.empty())
      co_await release.async_wait(Tuple);
    co_return HttpResponse{200, {}, "done"};
  };
  RawClient busy(Io, To);
  busy.send(post("Content-Length: 400000\r\n", std::string(400000, 'x')));
  EXPECT_EQ(outcomeOf(post("Content-Length: 300000\r\n", "x")), "503");
  EXPECT_EQ(outcomeOf(post("", "")), "200");
  release.cancel();
  EXPECT_EQ(busy.outcome(), "200");
}

} // namespace
