// Test double for the platform's store: the etcd v3 JSON gateway on top of a
// MemoryStore, with fault injection under /admin.
#include "support/EtcdGateway.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

ABSL_FLAG(std::string, listen, "127.0.0.1:2379", "ip:port to listen on");
ABSL_FLAG(std::string, log, "", "file for a JSON line of each write");
ABSL_FLAG(int, txn_ops, 128, "largest number of operations in a transaction");

namespace endivedoor::standin {

using namespace std::chrono_literals;

class StoreServer {
public:
  explicit StoreServer(const base::Clock &clock)
      : Time(clock), Log(absl::GetFlag(FLAGS_log), clock),
        Store(clock, limits()), Gateway(Store) {
    Store.onWrite([this](std::int64_t revision, const platform::StoreOp &op) {
      bool isPut = op.OpKind == platform::StoreOp::Kind::Put;
      Log.write({{"op", isPut ? "put" : "delete"},
                 {"revision", revision},
                 {"key", op.Key},
                 {"lease", static_cast<std::int64_t>(op.Lease)},
                 {"bytes", op.Value.size()},
                 {"value", platform::parseJson(op.Value) ? op.Value : ""}});
    });
  }

  Awaitable<HttpResponse> handle(HttpRequest request) {
    if (request.Path.starts_with("/admin/"))
      co_return admin(request);
    countCall(request.Path);
    if (Delay > 0ms) {
      asio::steady_timer timer(co_await asio::this_coro::executor, Delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (OutageMode == "hang") {
      asio::steady_timer timer(co_await asio::this_coro::executor, 60s);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (OutageMode == "reject")
      co_return EtcdGateway::errorResponse(503, 14, "etcdserver: no leader");
    if (!OutageMode.empty())
      co_return closeWithoutResponse();
    co_return co_await Gateway.handle(std::move(request));
  }

private:
  static platform::MemoryStoreLimits limits() {
    platform::MemoryStoreLimits limits;
    limits.TxnOps = static_cast<std::size_t>(absl::GetFlag(FLAGS_txn_ops));
    return limits;
  }

  void countCall(const std::string &path) {
    std::string kind = path.substr(path.rfind('/') + 1);
    ++Total[kind];
    ++History[wallMicros(Time) / 1'000'000][kind];
    while (History.size() > 3600)
      History.erase(History.begin());
  }

  static json::object toJson(const std::map<std::string, std::int64_t> &m) {
    json::object o;
    for (const auto &[kind, n] : m)
      o[kind] = n;
    return o;
  }

  json::object counters() const {
    json::array seconds;
    for (const auto &[second, kinds] : History)
      seconds.push_back(
          json::object{{"second", second}, {"calls", toJson(kinds)}});
    json::object all;
    all["total"] = toJson(Total);
    all["seconds"] = std::move(seconds);
    all["revision"] = Store.revision();
    return all;
  }

  HttpResponse admin(const HttpRequest &request) {
    if (request.Path == "/admin/counters")
      return jsonResponse(200, counters());
    return handleJsonBody(request, [&](const JsonView &body,
                                       const std::string &) {
      if (request.Path == "/admin/outage") {
        std::string mode = body.optionalText("mode");
        if (mode.empty())
          mode = "close";
        if (mode != "close" && mode != "reject" && mode != "hang")
          body.setError("mode", "is neither close, reject nor hang");
        OutageMode = body.flag("on") ? mode : "";
      } else if (request.Path == "/admin/delay") {
        Delay = std::chrono::milliseconds(body.number("ms", 0, 600'000));
      } else if (request.Path == "/admin/drop") {
        auto n = static_cast<std::size_t>(body.number("answers", 0, 1'000'000));
        Store.dropResponses(n, body.optionalText("prefix"));
      } else {
        return jsonResponse(404, {{"error", "not found"}});
      }
      return jsonResponse(200, json::object());
    });
  }

  const base::Clock &Time;
  JsonLog Log;
  platform::MemoryStore Store;
  EtcdGateway Gateway;
  /// "close", "reject" or "hang" during an outage, otherwise empty.
  std::string OutageMode;
  std::chrono::milliseconds Delay{0};
  std::map<std::string, std::int64_t> Total;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> History;
};

} // namespace endivedoor::standin

int main(int argc, char **argv) {
  using namespace endivedoor;
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io;
  base::SystemClock clock;
  standin::StoreServer store(clock);
  model::Address listen = standin::parseAddress(absl::GetFlag(FLAGS_listen));
  auto server = standin::startServerOrExit(
      io, listen,
      [&](platform::HttpRequest it) { return store.handle(std::move(it)); },
      16 * 1024 * 1024);
  listen.Port = server->port();
  standin::runUntilSignal(io, listen);
}
