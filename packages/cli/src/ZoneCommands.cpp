#include "endivedoor/cli/detail/Context.h"
#include "endivedoor/cli/detail/Table.h"
#include "endivedoor/model/Scalars.h"

#include <ostream>

namespace endivedoor::cli::detail {

namespace json = boost::json;
using base::Errc;
using base::Result;
using namespace std::chrono_literals;

namespace {

/// Guarantee P4: after this time, no daemon starts a task in a zone that is out
/// of service, whether or not the daemon has acknowledged the change.
constexpr std::chrono::milliseconds ZoneOutDeadline{3000};
constexpr std::chrono::milliseconds PollInterval{100};
/// A change that conflicts with a concurrent one has no effect and is sent
/// again.
constexpr int MaxAttempts = 3;

/// A change that was accepted.
struct AcceptedChange {
  std::uint64_t Version = 0;
  /// When the response was received, which is after the change was accepted.
  base::TimePoint ReceivedAt;
};

/// Checks whether a change with an unknown outcome took effect.
Result<JsonResponse> checkOutcome(Context &context, bool out,
                                  const base::Error &unknown) {
  Result<JsonResponse> response = context.get("/v1/zones");
  if (!response)
    return unknown;
  json::value zones = getMember(response.value().Body, "zones");
  for (const json::value &it :
       zones.is_array() ? zones.get_array() : json::array())
    if (formatCell(getMember(it, "zone")) == context.Args.Argument &&
        getMember(it, "out") == json::value(out))
      return response;
  return unknown;
}

Result<AcceptedChange> sendChange(Context &context, bool out) {
  const Options &v = context.Args.Flags;
  std::string path =
      "/v1/zones/" + context.Args.Argument + (out ? "/out" : "/in");
  json::object body{{"author", v.Author}, {"reason", v.Reason}};
  std::string winner;
  for (int i = 0; i < MaxAttempts; ++i) {
    Result<JsonResponse> response = context.change("POST", path, body);
    if (!response && response.error().Code == Errc::CliOutcomeUnknown)
      response = checkOutcome(context, out, response.error());
    if (!response)
      return response.error();
    if (response.value().Status != 409)
      return AcceptedChange{readVersion(response.value().Body),
                            context.Clock.now()};
    winner = formatCell(
        getMember(getMember(response.value().Body, "current"), "author"));
  }
  return base::fail(Errc::CliConflict,
                    "conflicted with " + std::to_string(MaxAttempts) +
                        " concurrent changes, the last one by " + winner);
}

/// Rollout of a configuration version to the daemons.
struct RolloutState {
  json::array Daemons;
  json::array Pending;
  bool Known = false;
  bool complete() const { return Known && Pending.empty(); }
};

RolloutState readRollout(Context &context, std::uint64_t version) {
  RolloutState out;
  Result<JsonResponse> response = context.get("/v1/members");
  json::value members =
      response ? getMember(response.value().Body, "members") : json::value();
  const json::array *list = members.if_array();
  for (const json::value &it : list ? *list : json::array()) {
    boost::system::error_code ec;
    json::value configVersion = getMember(it, "configVersion");
    auto n = configVersion.is_number()
                 ? configVersion.to_number<std::uint64_t>(ec)
                 : 0;
    bool inForce = !ec && version > 0 && n >= version;
    json::value name = getMember(it, "name");
    out.Daemons.push_back(json::object{{"name", name},
                                       {"zone", getMember(it, "zone")},
                                       {"state", getMember(it, "state")},
                                       {"inForce", inForce}});
    if (!inForce)
      out.Pending.push_back(name);
    out.Known = true;
  }
  return out;
}

/// Waits until the version is in force on every daemon or ZoneOutDeadline has
/// passed.
RolloutState waitForRollout(Context &context, const AcceptedChange &accepted) {
  RolloutState state = readRollout(context, accepted.Version);
  while (!state.complete() &&
         context.Clock.now() - accepted.ReceivedAt < ZoneOutDeadline) {
    context.Client.sleep(PollInterval);
    state = readRollout(context, accepted.Version);
  }
  return state;
}

std::string formatRollout(const Context &context, const RolloutState &state,
                          bool out, std::uint64_t version) {
  std::string text = formatObjects(state.Daemons, {{"DAEMON", "name"},
                                                   {"ZONE", "zone"},
                                                   {"STATE", "state"},
                                                   {"IN FORCE", "inForce"}});
  if (!state.Known)
    text += "No daemon reported where the version is in force.\n";
  if (!state.Pending.empty()) {
    text += "Not acknowledged within 3s:";
    for (const json::value &it : state.Pending)
      text += " " + formatCell(it);
    text += "\n";
  }
  return text + "Zone " + context.Args.Argument + " is " +
         (out ? "out" : "in") + ", version " + std::to_string(version) + "\n";
}

ExitCode changeZone(Context &context, bool out) {
  if (!model::isValidName(context.Args.Argument))
    return context.reportError({Errc::CliUsage, "\"" + context.Args.Argument +
                                                    "\" is not a zone name"});
  // The reason is shown to other operators and to customers in the events.
  if (context.Args.Flags.Reason.empty())
    return context.reportError({Errc::CliUsage, "the reason is missing; add "
                                                "--reason=\"WHY\""});
  Result<AcceptedChange> accepted = sendChange(context, out);
  if (!accepted)
    return context.reportError(accepted.error());
  std::uint64_t version = accepted.value().Version;
  if (!context.asJson())
    context.Streams.Out << "Accepted as version " << version << "\n"
                        << std::flush;
  RolloutState state = waitForRollout(context, accepted.value());
  return context.printResult(json::object{{"zone", context.Args.Argument},
                                          {"out", out},
                                          {"version", version},
                                          {"daemons", state.Daemons},
                                          {"unanswered", state.Pending}},
                             formatRollout(context, state, out, version));
}

} // namespace

ExitCode runZoneOut(Context &context) { return changeZone(context, true); }

ExitCode runZoneIn(Context &context) { return changeZone(context, false); }

} // namespace endivedoor::cli::detail
