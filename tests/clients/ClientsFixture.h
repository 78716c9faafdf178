/// \file
/// Fixture of the client tests: a daemon as a process with stand-ins of the
/// platform, crowds of raw connections, and the bounds on the daemon.
#ifndef ENDIVEDOOR_TESTS_CLIENTS_CLIENTSFIXTURE_H
#define ENDIVEDOOR_TESTS_CLIENTS_CLIENTSFIXTURE_H

#include "harness/Process.h"
#include "standins/installation/WorkerServer.h"

#include "endivedoor/dispatch/Records.h"

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace endivedoor::clients {

namespace fs = std::filesystem;
namespace json = boost::json;
using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Longest wait for anything; far above what a busy machine needs.
constexpr auto WaitLimit = 60s;
/// A crowd gives up when no connection accepts or closes for this long.
constexpr auto StallLimit = 5s;
/// Longest wait for figures that stay the same.
constexpr auto SettleLimit = 10s;
/// Bounds with the settings below: a small entry host has 260 MB and 4,100
/// descriptors, and the settings lower both.
constexpr std::size_t MaxMemoryKiB = 160 * 1024;
constexpr std::size_t MaxDescriptors = 400;
constexpr std::size_t MiB = 1024 * 1024;
/// Attempts of an ordinary caller whose connection is closed.
constexpr int CallerAttempts = 5;
constexpr std::size_t WriteBytes = 64 * 1024;

/// Section of the settings with the limits on callers.
constexpr const char *Limits = "limits:\n  callerMemoryMiB: 24\n"
                               "  callerConnections: 200\n"
                               "  headerTimeout: 2s\n  bodyTimeout: 2s\n"
                               "  responseTimeout: 2s\n  idleTimeout: 60s\n";

/// One connection to a daemon; closed with the object.
class Connection {
public:
  /// \param bufferBytes size of the socket buffers; 0 for the system's.
  explicit Connection(std::uint16_t port, int bufferBytes = 0)
      : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (bufferBytes > 0)
      for (int option : {SO_SNDBUF, SO_RCVBUF})
        ::setsockopt(Fd, SOL_SOCKET, option, &bufferBytes, sizeof bufferBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Closed = ::connect(Fd, reinterpret_cast<sockaddr *>(&address),
                       sizeof address) != 0;
    ::fcntl(Fd, F_SETFL, O_NONBLOCK);
  }
  ~Connection() { ::close(Fd); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Sends what the socket accepts; returns the number of bytes.
  std::size_t write(std::string_view text) {
    ssize_t n = ::send(Fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN)
      Closed = true;
    if (n > 0)
      Sent += static_cast<std::size_t>(n);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  /// Reads what is there and keeps it.
  void read() {
    char buf[4096];
    ssize_t n = ::recv(Fd, buf, sizeof buf, 0);
    if (n > 0)
      Answer.append(buf, static_cast<std::size_t>(n));
    else if (n == 0 || errno != EAGAIN)
      Closed = true;
  }
  /// Returns how many of the sent bytes the other side has received.
  std::size_t taken() const {
    int waiting = 0;
    ::ioctl(Fd, SIOCOUTQ, &waiting);
    return Sent - static_cast<std::size_t>(waiting);
  }

  int Fd;
  bool Closed = false;
  std::size_t Sent = 0;
  std::string Answer;
};

/// Connections that all send the same, driven by one thread.
class Crowd {
public:
  Crowd(std::uint16_t port, int count) {
    for (int i = 0; i < count; ++i)
      Members.push_back(std::make_unique<Connection>(port, WriteBytes));
  }

  /// Sends \p prefix, then \p pattern again and again up to \p bytes in all on
  /// each connection. Ends when each is done, closed or answered, or when
  /// none accepts more.
  ///
  /// \param reads whether answers are read.
  void send(const std::string &prefix, const std::string &pattern,
            std::size_t bytes, bool reads = true) {
    std::string block = pattern;
    while (!pattern.empty() && block.size() + pattern.size() <= WriteBytes)
      block += pattern;
    std::vector<std::size_t> begins;
    for (auto &it : Members)
      begins.push_back(it->Sent);
    SteadyTime begun = std::chrono::steady_clock::now(), progress = begun;
    for (bool active = true; active;) {
      active = false;
      for (std::size_t i = 0; i < Members.size(); ++i) {
        Connection &it = *Members[i];
        if (it.Closed || !it.Answer.empty())
          continue;
        if (reads)
          it.read();
        std::size_t sent = it.Sent - begins[i];
        if (it.Closed || !it.Answer.empty() || sent >= bytes)
          continue;
        active = true;
        std::string_view rest(prefix);
        if (sent < prefix.size())
          rest.remove_prefix(sent);
        else
          rest = std::string_view(block).substr((sent - prefix.size()) %
                                                block.size());
        if (it.write(rest.substr(0, bytes - sent)) > 0 || it.Closed)
          progress = std::chrono::steady_clock::now();
      }
      auto now = std::chrono::steady_clock::now();
      if (now - progress > StallLimit || now - begun > WaitLimit)
        break;
      if (now - progress > 1ms)
        std::this_thread::sleep_for(1ms);
    }
  }
  void send(const std::string &text, bool reads = true) {
    send(text, "", text.size(), reads);
  }

  /// Waits until each connection is closed or answered; returns false if one
  /// is neither.
  bool waitUntilEnded() {
    SteadyTime end = std::chrono::steady_clock::now() + WaitLimit;
    for (auto &it : Members)
      while (!it->Closed && it->Answer.empty()) {
        if (std::chrono::steady_clock::now() > end)
          return false;
        std::this_thread::sleep_for(1ms);
        it->read();
      }
    return true;
  }

  std::vector<std::unique_ptr<Connection>> Members;
};

class ClientsTest : public ::testing::Test {
protected:
  /// Starts the stand-ins and the daemon and waits until it serves.
  ///
  /// \param port first of ten ports; each test has its own.
  void start(std::uint16_t port) {
    const auto *info = ::testing::UnitTest::GetInstance()->current_test_info();
    Folder = std::string(ENDIVEDOOR_CLIENTS_FOLDER) + "/" + info->name();
    fs::remove_all(Folder);
    fs::create_directories(Folder);
    Callers = port;
    Health = static_cast<std::uint16_t>(port + 1);
    Metrics = static_cast<std::uint16_t>(port + 2);
    StoreServer = standin::startServerOrExit(
        Io, address(port + 3), [this](platform::HttpRequest request) {
          return Store.handle(std::move(request));
        });
    json::object route{{"name", "/short/"},   {"host", "127.0.0.1"},
                       {"prefix", "/short/"}, {"service", "desk"},
                       {"priority", 0},       {"max_attempts", 3},
                       {"stretch", 1.5},      {"target_latency_ms", 250}};
    Store.put("op/config",
              json::serialize(json::object{
                  {"version", 1},
                  {"routes", json::array{std::move(route)}},
                  {"services", json::array{json::object{{"name", "desk"}}}},
                  {"limits", json::object{}}}));
    model::WorkerProfile profile;
    profile.Id = base::WorkerId("w-0");
    profile.Service = base::ServiceName("desk");
    profile.Zone = base::ZoneId("a");
    profile.Endpoint = address(port + WorkerLink);
    profile.Capacity = {.Cpu = base::MilliCores{8000},
                        .Memory = base::MebiBytes{16000}};
    Worker = std::make_unique<standin::WorkerServer>(
        Io, Clock, Store, Checker, profile, address(port + 4), 1);
    std::ofstream(Folder + "/daemon.yaml")
        << "name: entry-0\nzone: a\nlisten:\n  callers: " << address(port).str()
        << "\n  health: " << address(Health).str()
        << "\n  metrics: " << address(Metrics).str()
        << "\ninstallation:\n  store: " << address(port + StoreLink).str()
        << "\nbounds:\n  stopGrace: 6s\n"
        << limitsSection(Limits);
    Stand = std::thread([this] { Io.run(); });
    Daemon = std::make_unique<harness::Process>(
        std::vector<std::string>{std::string(ENDIVEDOOR_BIN_DIR) +
                                     "/endivedoord",
                                 "--settings", Folder + "/daemon.yaml"},
        Folder + "/daemon.log");
    ASSERT_TRUE(waitUntilServing()) << "the daemon does not start";
  }

  ~ClientsTest() override {
    Daemon.reset();
    Io.stop();
    if (Stand.joinable())
      Stand.join();
  }

  /// Returns the settings' section with the limits, or nothing for a daemon
  /// that does not know it.
  static std::string limitsSection(const std::string &text) {
    return std::getenv("ENDIVEDOOR_TEST_WITHOUT_LIMITS") ? "" : text;
  }

  static model::Address address(int port) {
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
  }

  /// Returns the status of the answer to a request on a new connection, 0 if
  /// there is none.
  static int ask(std::uint16_t port, const std::string &request) {
    Connection connection(port);
    SteadyTime end = std::chrono::steady_clock::now() + WaitLimit;
    std::string_view rest(request);
    std::string &answer = connection.Answer;
    constexpr std::size_t statusAt = 9, statusEnd = 12;
    while (!connection.Closed && answer.size() < statusEnd &&
           std::chrono::steady_clock::now() < end) {
      rest.remove_prefix(connection.write(rest));
      pollfd fd{connection.Fd, POLLIN, 0};
      ::poll(&fd, 1, 10);
      connection.read();
    }
    return answer.size() < statusEnd ? 0 : std::atoi(answer.c_str() + statusAt);
  }

  /// The same as an ordinary caller, who tries again if it gets no answer.
  static int askAgain(std::uint16_t port, const std::string &request) {
    int status = 0;
    for (int i = 0; i < CallerAttempts && status == 0; ++i) {
      if (i > 0)
        std::this_thread::sleep_for(200ms);
      status = ask(port, request);
    }
    return status;
  }

  static std::string get(const std::string &path) {
    return "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  }

  /// Returns the head of a job submission with an id of its own, without the
  /// empty line at its end.
  static std::string postHead() {
    static std::atomic<std::int64_t> last = 0;
    return "POST /short/" +
           dispatch::formatJobNumber(model::JobNumber(++last)) +
           " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
           "Content-Type: application/json\r\n";
  }

  /// Returns a job submission.
  static std::string post(int steps = 1, int tasks = 1) {
    json::array list;
    for (int i = 0; i < steps; ++i)
      list.push_back(json::object{{"count", tasks},
                                  {"cpu", 300},
                                  {"mem_mb", 200},
                                  {"estimated_ms", 100},
                                  {"image", "image-0"}});
    std::string body = json::serialize(
        json::object{{"spec", "payload"}, {"steps", std::move(list)}});
    return postHead() + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  int askReadiness() const {
    return askAgain(Health, get("/endivedoor/readiness"));
  }

  bool waitUntilServing() {
    SteadyTime end = std::chrono::steady_clock::now() + WaitLimit;
    while (std::chrono::steady_clock::now() < end && Daemon->isRunning()) {
      if (askReadiness() == 200 && askAgain(Callers, post()) == 200)
        return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  std::size_t memoryKiB() const {
    std::ifstream in("/proc/" + std::to_string(Daemon->pid()) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.starts_with("VmHWM:"))
        return std::strtoul(line.c_str() + 6, nullptr, 10);
    return 0;
  }

  std::size_t descriptors() const {
    std::error_code ec;
    fs::directory_iterator it("/proc/" + std::to_string(Daemon->pid()) + "/fd",
                              ec);
    return static_cast<std::size_t>(std::distance(it, {}));
  }

  /// Waits until the daemon has taken what the crowd has sent: until its memory
  /// and its descriptors stay the same for a while.
  void settle() const {
    auto sample = [this] { return std::pair(memoryKiB(), descriptors()); };
    SteadyTime end = std::chrono::steady_clock::now() + SettleLimit;
    auto last = sample();
    for (int same = 0; same < 3 && std::chrono::steady_clock::now() < end;) {
      std::this_thread::sleep_for(100ms);
      auto next = sample();
      same = next == last ? same + 1 : 0;
      last = next;
    }
  }

  /// Checks that the daemon lives within its bounds and serves an ordinary
  /// caller and the load balancer.
  void expectServing(const std::string &when) {
    SCOPED_TRACE(when);
    EXPECT_EQ(askAgain(Callers, post()), 200);
    EXPECT_EQ(askReadiness(), 200);
    settle();
    ASSERT_TRUE(Daemon->isRunning());
    std::cout << when << ": VmHWM " << memoryKiB() / 1024 << " MiB, "
              << descriptors() << " descriptors\n";
    EXPECT_LT(memoryKiB(), MaxMemoryKiB);
    EXPECT_LT(descriptors(), MaxDescriptors);
  }

  /// Offsets of the daemon's links to the store and to the worker, which tests
  /// may replace.
  int StoreLink = 3, WorkerLink = 4;
  std::uint16_t Callers = 0, Health = 0, Metrics = 0;
  std::string Folder;
  base::SystemClock Clock;
  boost::asio::io_context Io;
  standin::KeyValueStore Store{Io, Clock, 1};
  standin::InvariantChecker Checker{Clock};
  std::unique_ptr<platform::HttpServer> StoreServer;
  std::unique_ptr<standin::WorkerServer> Worker;
  std::thread Stand;
  std::unique_ptr<harness::Process> Daemon;
};

} // namespace endivedoor::clients

#endif
