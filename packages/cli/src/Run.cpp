#include "endivedoor/cli/Cli.h"
#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/platform/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <ostream>

namespace endivedoor::cli {

using base::Errc;
using base::Result;
using detail::Context;
using detail::Invocation;

namespace {

/// Limits of headers and body; the largest responses list the events or workers
/// of an installation of the design size.
constexpr platform::HttpLimits ResponseLimits{16 * 1024, 64 << 20};

/// Sends requests over HTTP, one at a time.
class HttpDaemonClient final : public DaemonClient {
public:
  explicit HttpDaemonClient(const base::Clock &clock)
      : Client(Io.get_executor(), clock, ResponseLimits) {}

  Result<platform::HttpResponse>
  send(const model::Address &to, platform::HttpRequest request,
       std::chrono::milliseconds timeout) override {
    Result<platform::HttpResponse> out =
        base::fail(Errc::HttpAnswerLost, to.str());
    boost::asio::co_spawn(Io, sendRequest(to, std::move(request), timeout, out),
                          [](std::exception_ptr) {});
    Io.restart();
    Io.run();
    return out;
  }

  void sleep(std::chrono::milliseconds time) override {
    boost::asio::steady_timer timer(Io, time);
    timer.async_wait([](boost::system::error_code) {});
    Io.restart();
    Io.run();
  }

private:
  boost::asio::awaitable<void>
  sendRequest(model::Address to, platform::HttpRequest request,
              std::chrono::milliseconds timeout,
              Result<platform::HttpResponse> &out) {
    out = co_await Client.send(to, std::move(request), timeout);
  }

  boost::asio::io_context Io;
  platform::HttpClient Client;
};

/// Adds the daemon addresses of the settings file, if one is given, and returns
/// its zones.
Result<std::vector<base::ZoneId>> readSettings(Invocation &in) {
  const std::string &file = in.Flags.Settings;
  if (file.empty())
    return std::vector<base::ZoneId>();
  BOOST_OUTCOME_TRY(auto text, detail::readFile(file));
  model::SettingsOutcome out = model::parseSettings(file, text);
  if (!out.Diagnostics.empty())
    return base::fail(Errc::CliInputInvalid,
                      "faults in the settings\n" +
                          detail::formatDiagnostics(out.Diagnostics));
  std::vector<model::Address> &daemons = in.Flags.Daemons;
  auto add = [&](const model::Address &it) {
    if (std::find(daemons.begin(), daemons.end(), it) == daemons.end())
      daemons.push_back(it);
  };
  add(out.Value.Operators);
  for (const model::PeerSettings &it : out.Value.Peers)
    add(it.Operator);
  return out.Value.Zones;
}

} // namespace

ExitCode run(const std::vector<std::string> &args, Console console,
             DaemonClient &client, const base::Clock &clock) {
  Result<Invocation> parsed = detail::parseArguments(args);
  if (!parsed) {
    console.Err << parsed.error().message() << "\n";
    return ExitCode::UsageError;
  }
  Invocation in = std::move(parsed).value();
  if (in.HelpRequested) {
    console.Out << detail::helpText(in.Subcommand);
    return ExitCode::Success;
  }
  Result<std::vector<base::ZoneId>> zones = readSettings(in);
  Context context(in, console, client, clock);
  if (!zones)
    return context.reportError(zones.error());
  context.Zones = zones.value();
  // These read log files only and need no daemon.
  bool readsLogs = in.Subcommand->Run == detail::runExplain ||
                   in.Subcommand->Run == detail::runUnreadable;
  if (in.Flags.Daemons.empty() && !readsLogs)
    return context.reportError({Errc::CliUsage,
                                "no daemon is given; add --daemon=ip:port or "
                                "--settings=FILE"});
  return in.Subcommand->Run(context);
}

ExitCode runOverHttp(const std::vector<std::string> &args, Console console) {
  base::SystemClock clock;
  HttpDaemonClient client(clock);
  return run(args, console, client, clock);
}

} // namespace endivedoor::cli
