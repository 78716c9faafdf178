// A TCP proxy that injects faults on request.
//
// POST /admin/links/<name> replaces the settings of a link; {} restores the
// defaults. A name that ends with "*" selects all links with that prefix.
#include "Link.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:2390", "ip:port of /admin");
ABSL_FLAG(std::string, link, "",
          "name=ip:port->ip:port: listen and connect; may be repeated");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of jitter and loss");
ABSL_FLAG(std::string, log, "", "file for a JSON line of each change");

namespace endivedoor::standin {

static LinkSettings readSettings(const JsonView &body) {
  LinkSettings settings;
  settings.Delay =
      std::chrono::milliseconds(body.optionalNumber("delayMs", 0, 600'000));
  settings.Jitter =
      std::chrono::milliseconds(body.optionalNumber("jitterMs", 0, 600'000));
  settings.Loss = body.optionalReal("loss", 0, 1);
  settings.Refuse = body.flag("refuse");
  auto readDirections = [&](std::string_view key,
                            std::array<bool, 2> &directions) {
    std::string text = body.optionalText(key);
    directions[Forward] = text == "forward" || text == "both";
    directions[Backward] = text == "backward" || text == "both";
    if (!text.empty() && text != "none" && !directions[Forward] &&
        !directions[Backward])
      body.setError(key, "is neither none, forward, backward nor both");
  };
  readDirections("cut", settings.Cut);
  readDirections("stall", settings.Stall);
  return settings;
}

static HttpResponse change(std::vector<std::unique_ptr<Link>> &links,
                           const std::string &name, const JsonView &body) {
  LinkSettings settings = readSettings(body);
  bool reset = body.flag("reset");
  bool isPrefix = name.ends_with('*');
  std::int64_t changed = 0;
  for (auto &it : links) {
    if (!body.ok() ||
        !(isPrefix ? it->name().starts_with(name.substr(0, name.size() - 1))
                   : it->name() == name))
      continue;
    it->apply(settings);
    if (reset)
      it->reset();
    ++changed;
  }
  return jsonResponse(changed > 0 ? 200 : 404, {{"changed", changed}});
}

} // namespace endivedoor::standin

int main(int argc, char **argv) {
  using namespace endivedoor;
  using namespace endivedoor::standin;
  auto linkSpecs = extractRepeatedFlag(argc, argv, "link");
  absl::ParseCommandLine(argc, argv);
  asio::io_context io(1);
  base::SystemClock clock;
  JsonLog log(absl::GetFlag(FLAGS_log), clock);
  std::vector<std::unique_ptr<Link>> links;
  std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  for (const std::string &it : linkSpecs)
    links.push_back(
        std::make_unique<Link>(io, it, clock, seed * 1'000'003 + links.size()));
  model::Address listen = parseAddress(absl::GetFlag(FLAGS_listen));
  constexpr std::string_view admin = "/admin/links/";
  auto handle = [&](HttpRequest request) -> Awaitable<HttpResponse> {
    if (request.Path == "/admin/links") {
      json::array states;
      for (const auto &it : links)
        states.push_back(it->state());
      json::object answer;
      answer["links"] = std::move(states);
      co_return jsonResponse(200, answer);
    }
    if (request.Method != "POST" || !request.Path.starts_with(admin))
      co_return jsonResponse(404, {{"error", "path"}});
    std::string name =
        platform::decodePathSegment(request.Path.substr(admin.size()));
    log.write({{"link", name}, {"change", request.Body}});
    co_return handleJsonBody(request,
                             [&](const JsonView &body, const std::string &) {
                               return change(links, name, body);
                             });
  };
  auto server = startServerOrExit(io, listen, handle);
  listen.Port = server->port();
  runUntilSignal(io, listen);
}
