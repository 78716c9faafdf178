// Test double for the platform's host list; changes become visible after a
// configurable delay.
#include "support/Standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <map>
#include <sstream>

ABSL_FLAG(std::string, listen, "127.0.0.1:2380", "ip:port to listen on");
ABSL_FLAG(std::string, file, "", "JSON file in the format of the response");
ABSL_FLAG(std::string, worker, "",
          "name/zone/rack/ip:port, added to the file's hosts; may be repeated, "
          "and may hold several, separated by commas");
ABSL_FLAG(absl::Duration, lag, absl::Seconds(2),
          "time until a change becomes visible");

namespace endivedoor::standin {

class HostListServer {
public:
  explicit HostListServer(const base::Clock &clock)
      : Time(clock), Lag(absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_lag))) {}

  void add(const std::string &name, const std::string &zone,
           const std::string &rack, const std::string &address,
           const std::string &state) {
    Hosts[name] = {zone, rack, address, state, state, {}};
  }

  HttpResponse handle(const HttpRequest &request) {
    constexpr std::string_view admin = "/admin/hosts/";
    if (request.Path == "/v1/hosts")
      return jsonResponse(200, list());
    if (request.Method != "POST" || !request.Path.starts_with(admin))
      return jsonResponse(404, {{"error", "not found"}});
    return handleJsonBody(
        request, [&](const JsonView &body, const std::string &) {
          return change(request.Path.substr(admin.size()), body);
        });
  }

private:
  struct Host {
    std::string Zone, Rack, Address, VisibleState, PendingState;
    base::TimePoint PendingFrom;
  };

  /// State "gone" removes a host from the list; the other fields are required
  /// to add a new host.
  HttpResponse change(const std::string &name, const JsonView &body) {
    std::string state = body.text("state");
    if (state != "live" && state != "leaving" && state != "gone")
      body.setError("state", "is neither live, leaving nor gone");
    if (!Hosts.contains(name)) {
      if (!body.has("address"))
        return jsonResponse(404, {{"error", "unknown host"}});
      add(name, body.text("zone"), body.text("rack"), body.text("address"),
          "gone");
    }
    Host &host = Hosts[name];
    applyDueChange(host);
    host.PendingState = state;
    host.PendingFrom = Time.now() + Lag;
    return jsonResponse(200, json::object());
  }

  void applyDueChange(Host &host) {
    if (Time.now() >= host.PendingFrom)
      host.VisibleState = host.PendingState;
  }

  json::object list() {
    json::array hosts;
    for (auto &[name, host] : Hosts) {
      applyDueChange(host);
      if (host.VisibleState != "gone")
        hosts.push_back(json::object{{"name", name},
                                     {"zone", host.Zone},
                                     {"rack", host.Rack},
                                     {"address", host.Address},
                                     {"state", host.VisibleState}});
    }
    json::object answer;
    answer["hosts"] = std::move(hosts);
    return answer;
  }

  const base::Clock &Time;
  base::Duration Lag;
  std::map<std::string, Host> Hosts;
};

static void readFile(HostListServer &server, const std::string &path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  auto value = platform::parseJson(text.str());
  std::string error = value ? "" : value.error().Detail;
  if (value)
    for (const JsonView &it :
         JsonView(value.value(), error).list("hosts", 100'000))
      server.add(it.text("name"), it.text("zone"), it.text("rack"),
                 it.text("address"), it.text("state"));
  if (!error.empty()) {
    std::cerr << path << ": " << error << "\n";
    std::exit(2);
  }
}

static void readFlag(HostListServer &server, const std::string &text) {
  std::vector<std::string> parts = absl::StrSplit(text, '/');
  if (parts.size() != 4) {
    std::cerr << "invalid worker \"" << text
              << "\"; expected name/zone/rack/ip:port\n";
    std::exit(2);
  }
  server.add(parts[0], parts[1], parts[2], parts[3], "live");
}

} // namespace endivedoor::standin

int main(int argc, char **argv) {
  using namespace endivedoor;
  auto workers = standin::extractRepeatedFlag(argc, argv, "worker");
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io;
  base::SystemClock clock;
  standin::HostListServer hosts(clock);
  if (std::string path = absl::GetFlag(FLAGS_file); !path.empty())
    standin::readFile(hosts, path);
  for (const std::string &list : workers)
    for (const std::string &it :
         std::vector<std::string>(absl::StrSplit(list, ',')))
      standin::readFlag(hosts, it);
  model::Address listen = standin::parseAddress(absl::GetFlag(FLAGS_listen));
  auto server = standin::startServerOrExit(
      io, listen,
      [&](platform::HttpRequest it)
          -> standin::Awaitable<standin::HttpResponse> {
        co_return hosts.handle(it);
      });
  listen.Port = server->port();
  standin::runUntilSignal(io, listen);
}
