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

/// Promise P4: after this time no daemon starts a task in a zone that is out,
/// whether it acknowledged or not.
constexpr std::chrono::milliseconds ZoneOutBound{3000};
constexpr std::chrono::milliseconds PollInterval{100};
/// A change that lost a race had no effect and is sent again.
constexpr int MaxTries = 3;

/// A change that was accepted.
struct Accepted {
  std::uint64_t Version = 0;
  /// When the answer came, which is later than the acceptance.
  base::TimePoint At;
};

/// Looks whether a change with an unknown outcome took effect.
Result<Answer> readBack(Context &context, bool out,
                        const base::Error &unknown) {
  Result<Answer> answer = context.get("/v1/zones");
  if (!answer)
    return unknown;
  json::value zones = member(answer.value().Body, "zones");
  for (const json::value &it :
       zones.is_array() ? zones.get_array() : json::array())
    if (toCell(member(it, "zone")) == context.In.Argument &&
        member(it, "out") == json::value(out))
      return answer;
  return unknown;
}

Result<Accepted> sendChange(Context &context, bool out) {
  const Options &v = context.In.Values;
  std::string path =
      "/v1/zones/" + context.In.Argument + (out ? "/out" : "/in");
  json::object body{{"author", v.Author}, {"reason", v.Reason}};
  std::string winner;
  for (int i = 0; i < MaxTries; ++i) {
    Result<Answer> answer = context.change("POST", path, body);
    if (!answer && answer.error().Code == Errc::CliOutcomeUnknown)
      answer = readBack(context, out, answer.error());
    if (!answer)
      return answer.error();
    if (answer.value().Status != 409)
      return Accepted{versionOf(answer.value().Body), context.Clock.now()};
    winner = toCell(member(member(answer.value().Body, "current"), "author"));
  }
  return base::fail(Errc::CliConflict, "lost " + std::to_string(MaxTries) +
                                           " races, the last one to " + winner);
}

/// State of a version on the daemons.
struct InForce {
  json::array Daemons;
  json::array Unanswered;
  bool Known = false;
  bool complete() const { return Known && Unanswered.empty(); }
};

InForce readInForce(Context &context, std::uint64_t version) {
  InForce out;
  Result<Answer> answer = context.get("/v1/members");
  json::value members =
      answer ? member(answer.value().Body, "members") : json::value();
  const json::array *list = members.if_array();
  for (const json::value &it : list ? *list : json::array()) {
    boost::system::error_code ec;
    json::value has = member(it, "configVersion");
    auto n = has.is_number() ? has.to_number<std::uint64_t>(ec) : 0;
    bool inForce = !ec && version > 0 && n >= version;
    json::value name = member(it, "name");
    out.Daemons.push_back(json::object{{"name", name},
                                       {"zone", member(it, "zone")},
                                       {"state", member(it, "state")},
                                       {"inForce", inForce}});
    if (!inForce)
      out.Unanswered.push_back(name);
    out.Known = true;
  }
  return out;
}

/// Waits until every daemon has the version in force, or the bound has passed.
InForce waitInForce(Context &context, const Accepted &accepted) {
  InForce state = readInForce(context, accepted.Version);
  while (!state.complete() &&
         context.Clock.now() - accepted.At < ZoneOutBound) {
    context.Source.pause(PollInterval);
    state = readInForce(context, accepted.Version);
  }
  return state;
}

std::string describe(const Context &context, const InForce &state, bool out,
                     std::uint64_t version) {
  std::string text = formatObjects(state.Daemons, {{"DAEMON", "name"},
                                                   {"ZONE", "zone"},
                                                   {"STATE", "state"},
                                                   {"IN FORCE", "inForce"}});
  if (!state.Known)
    text += "No daemon told which daemons have the version in force.\n";
  if (!state.Unanswered.empty()) {
    text += "Not acknowledged within 3s:";
    for (const json::value &it : state.Unanswered)
      text += " " + toCell(it);
    text += "\n";
  }
  return text + "Zone " + context.In.Argument + " is " + (out ? "out" : "in") +
         ", version " + std::to_string(version) + "\n";
}

ExitCode changeZone(Context &context, bool out) {
  if (!model::isName(context.In.Argument))
    return context.fail(
        {Errc::CliUsage, "\"" + context.In.Argument + "\" is not a zone name"});
  // Other operators and customers see it in the events.
  if (context.In.Values.Reason.empty())
    return context.fail({Errc::CliUsage, "the reason is missing; add "
                                         "--reason=\"WHY\""});
  Result<Accepted> accepted = sendChange(context, out);
  if (!accepted)
    return context.fail(accepted.error());
  std::uint64_t version = accepted.value().Version;
  if (!context.asJson())
    context.Io.Out << "Accepted as version " << version << "\n" << std::flush;
  InForce state = waitInForce(context, accepted.value());
  return context.show(json::object{{"zone", context.In.Argument},
                                   {"out", out},
                                   {"version", version},
                                   {"daemons", state.Daemons},
                                   {"unanswered", state.Unanswered}},
                      describe(context, state, out, version));
}

} // namespace

ExitCode runZoneOut(Context &context) { return changeZone(context, true); }

ExitCode runZoneIn(Context &context) { return changeZone(context, false); }

} // namespace endivedoor::cli::detail
